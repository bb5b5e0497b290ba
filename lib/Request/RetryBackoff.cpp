// Back-off delays with full jitter.
#include "dandelionslip/Request/RetryBackoff.h"

#include <algorithm>

namespace dandelionslip {

RuntimeClock::duration FullJitterDelay(std::uint32_t aRetry, const BackoffLimits& aLimits,
                                       Random& aRandom)
{
  // More doublings would only exceed the largest window.
  constexpr std::uint32_t kMaxDoublings = 16;
  const Milliseconds window =
    std::min(aLimits.mLargest, aLimits.mFirst * (1U << std::min(aRetry, kMaxDoublings)));
  const auto span = static_cast<std::uint64_t>(RuntimeClock::duration(window).count());
  return RuntimeClock::duration(static_cast<std::int64_t>(aRandom.Below(span + 1)));
}

} // namespace dandelionslip
