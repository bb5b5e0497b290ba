// Spreads the retries of refused callers over time.
#include "dandelionslip/Agent/RetrySchedule.h"

#include <algorithm>

namespace dandelionslip {

Milliseconds RetrySchedule::Next(TimePoint aNow, RuntimeClock::duration aInterval)
{
  mLastRetryTime = std::max(mLastRetryTime, aNow) + aInterval;
  if (mLastRetryTime > aNow + kLongest) {
    // Callers whose delay would exceed kLongest get delays from kLongest / 2 on. If all of them got
    // kLongest, they would retry together.
    mLastRetryTime = aNow + kLongest / 2;
  }
  const auto delay = std::chrono::ceil<Milliseconds>(mLastRetryTime - aNow);
  return std::clamp(delay, kShortest, kLongest);
}

} // namespace dandelionslip
