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
  /// Counts one opening and returns true if it stays within aLimit openings per second.
  bool TryOpen(std::size_t aLimit, TimePoint aNow);

  /// Number of openings that would be allowed now.
  std::size_t Remaining(std::size_t aLimit, TimePoint aNow) const;

  /// Allows no opening until a window has passed, because openings before aNow are not known.
  void Block(TimePoint aNow) { mBlockedUntil = aNow + kWindow; }

private:
  /// The limit holds at the upstream for any second; another tenth allows for varying delays on the
  /// way from agent to upstream.
  static constexpr Milliseconds kWindow{1'100};

  std::deque<TimePoint> mOpenings;
  TimePoint mBlockedUntil;
};

} // namespace dandelionslip
