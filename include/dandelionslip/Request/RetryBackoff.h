// Delays between the attempts of one request.
#pragma once

#include "dandelionslip/Support/Random.h"
#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// First and largest window from which a delay is drawn.
struct BackoffLimits
{
  Milliseconds mFirst{20};
  Milliseconds mLargest{1'000};
};

/// Returns a delay with full jitter: uniform between zero and a window that doubles with each
/// retry. aRetry counts from zero.
RuntimeClock::duration FullJitterDelay(std::uint32_t aRetry, const BackoffLimits& aLimits,
                                       Random& aRandom);

} // namespace dandelionslip
