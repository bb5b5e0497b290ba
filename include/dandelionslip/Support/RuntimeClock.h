// The runtime's clock: a standard chrono clock that tests pause and advance.
#pragma once

#include <chrono>

namespace dandelionslip {

/// Monotonic clock used by all timers. Thread-safe.
struct RuntimeClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;

  /// The current time; constant while paused.
  static time_point now();

  /// Stops the clock at its current reading. Used by tests.
  static void Pause();

  /// Moves a paused clock forward. Has no effect on a running clock.
  static void Advance(duration aStep);

  /// Lets the clock run again from its current reading.
  static void Resume();
};

using TimePoint = RuntimeClock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Milliseconds of wall-clock time since 1970, for identifiers only.
std::int64_t WallClockMs();

} // namespace dandelionslip
