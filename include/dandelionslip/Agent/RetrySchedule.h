// Spreads the retries of refused callers over time.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// Gives each refused caller a later retry time than the one before. Retry times are spaced by the
/// expected time between admissions, so that callers refused together do not retry together. Not
/// thread-safe.
class RetrySchedule
{
public:
  static constexpr Milliseconds kShortest{10};
  static constexpr Milliseconds kLongest{30'000};

  /// Time after which the caller should try again, kShortest to kLongest.
  Milliseconds Next(TimePoint aNow, RuntimeClock::duration aInterval);

private:
  TimePoint mLastRetryTime{};
};

} // namespace dandelionslip
