// Limits how many flows are opened at a cold upstream within any second.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <deque>

namespace dandelionslip {

/// Rate limiter with a sliding window. Not thread-safe.
class OpeningLimiter
{
public:
  /// Counts one opened flow and returns true if it stays within aLimit flows per second.
  bool TryOpen(std::size_t aLimit, TimePoint aNow);

  /// Number of flows that may be opened now.
  std::size_t Remaining(std::size_t aLimit, TimePoint aNow) const;

  /// Allows no flow to be opened for one window from aSince on, because it is not known which were
  /// opened before.
  void Block(TimePoint aSince) { mBlockedUntil = aSince + kWindow; }

  /// Takes Block() back, because no flow was opened before.
  void Unblock() { mBlockedUntil = {}; }

private:
  /// The upstream must not see more than the limit in any second. The window is 100 ms longer
  /// because delays from agent to upstream vary.
  static constexpr Milliseconds kWindow{1'100};

  std::deque<TimePoint> mOpenings;
  TimePoint mBlockedUntil;
};

} // namespace dandelionslip
