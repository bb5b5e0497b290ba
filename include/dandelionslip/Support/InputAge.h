// How old the input may be that a process reads.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <deque>

namespace dandelionslip {

/// Bounds how long input may have waited in the sockets of a process before it is read. While the
/// process stands still, or a handler blocks its event loop, input waits unseen; afterwards it
/// looks like new input. Not thread-safe.
class InputAge
{
public:
  /// aNow: start of the process.
  explicit InputAge(TimePoint aNow);

  /// Call this regularly from a timer of the event loop that reads the input.
  void NoteTurn(TimePoint aNow);

  /// The earliest time at which input that was read, or a connection that was accepted, at
  /// aReadAt may have arrived. TimePoint::min() if aReadAt is more than kHorizon ago.
  TimePoint EarliestArrival(TimePoint aReadAt) const;

  /// How far back EarliestArrival() reaches.
  static constexpr Milliseconds kHorizon{2'000};

private:
  /// A connection that waited is accepted and read within two turns of the loop; a third one is
  /// under way.
  static constexpr std::size_t kTurns = 3;

  TimePoint mStartedAt;
  std::deque<TimePoint> mTurns; ///< Those within kHorizon, and kTurns before them.
  bool mForgotTurns = false;
};

} // namespace dandelionslip
