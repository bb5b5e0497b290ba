// Spreads the return of refused callers over time.
#include "dandelionslip/Agent/RetrySchedule.h"

#include <algorithm>

namespace dandelionslip {

Milliseconds RetrySchedule::Next(TimePoint aNow, RuntimeClock::duration aInterval)
{
  mPromised = std::max(mPromised, aNow) + aInterval;
  if (mPromised > aNow + kLongest) {
    // Beyond the longest time callers are spread over its second half; giving all of them the same
    // time would bring them back together.
    mPromised = aNow + kLongest / 2;
  }
  const auto delay = std::chrono::ceil<Milliseconds>(mPromised - aNow);
  return std::clamp(delay, kShortest, kLongest);
}

} // namespace dandelionslip
