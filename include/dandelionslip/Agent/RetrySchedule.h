// Spreads the return of refused callers over time.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// Gives each refused caller a later time than the one before, spaced by the expected interval of
/// admissions, so that callers refused together do not return together. Not thread-safe.
class RetrySchedule
{
public:
  static constexpr Milliseconds kShortest{10};
  static constexpr Milliseconds kLongest{30'000};

  /// Time after which the caller should try again, kShortest to kLongest.
  Milliseconds Next(TimePoint aNow, RuntimeClock::duration aInterval);

private:
  TimePoint mPromised{};
};

} // namespace dandelionslip
