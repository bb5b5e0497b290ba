// Spreads the retries of refused callers over time.
#include "dandelionslip/Agent/RetrySchedule.h"

#include <algorithm>

namespace dandelionslip {

Milliseconds RetrySchedule::Next(TimePoint aNow, RuntimeClock::duration aInterval)
{
  mLastRetryTime = std::max(mLastRetryTime, aNow) + aInterval;
  if (mLastRetryTime > aNow + kLongest) {
    // Callers beyond kLongest are spread over the second half of it; with the same time for all of
    // them they would retry together.
    mLastRetryTime = aNow + kLongest / 2;
  }
  const auto delay = std::chrono::ceil<Milliseconds>(mLastRetryTime - aNow);
  return std::clamp(delay, kShortest, kLongest);
}

} // namespace dandelionslip
