// A std::chrono clock that tests can pause and advance.
#pragma once

#include <chrono>

namespace dandelionslip {

/// Monotonic clock of all timers. Includes the time for which the VM is suspended. Thread-safe.
struct RuntimeClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;

  /// The current time; constant while paused.
  static time_point now();

  /// Stops the clock at its current time. Used by tests.
  static void Pause();

  /// Moves a paused clock forward. Has no effect on a running clock.
  static void Advance(duration aStep);

  /// Lets a paused clock run again, starting at the time at which it is paused.
  static void Resume();
};

using TimePoint = RuntimeClock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time in milliseconds since 1970. For identifiers, incarnations and times that are
/// compared between nodes; never for timers.
std::int64_t WallClockMs();

} // namespace dandelionslip
