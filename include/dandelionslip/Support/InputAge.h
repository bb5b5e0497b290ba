// How old the input may be that a process reads.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <array>
#include <cstddef>

namespace dandelionslip {

/// Bounds how long input may have waited in the sockets of a process before it is read. While the
/// process stands still, or a handler blocks its event loop, input waits unseen; afterwards it
/// looks like new input. Not thread-safe.
class InputAge
{
public:
  explicit InputAge(TimePoint aNow);

  /// Call this regularly from a timer of the event loop that reads the input.
  void NoteTurn(TimePoint aNow);

  /// The earliest time at which input that is read now may have arrived.
  TimePoint EarliestArrival() const { return mTurns[mOldest]; }

private:
  /// A connection that waited is accepted and read within two turns of the loop; a third one is
  /// under way.
  static constexpr std::size_t kTurns = 3;

  std::array<TimePoint, kTurns> mTurns;
  std::size_t mOldest = 0;
};

} // namespace dandelionslip
