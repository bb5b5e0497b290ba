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
  /// Counts one opened flow. Call it for each, also while the limit is not applied: the upstream
  /// may have been cold for some time when that becomes known.
  void NoteOpening(TimePoint aNow);

  /// Number of flows that may be opened now so that there are at most aLimit in any second.
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
