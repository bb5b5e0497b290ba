// Bounds how many flows a cold upstream is opened within any second.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <deque>

namespace dandelionslip {

/// Counts openings in a sliding window. Not thread-safe.
class OpeningLimiter
{
public:
  /// Whether one more opening stays within aLimit openings a second; counts it if so.
  bool TryOpen(std::size_t aLimit, TimePoint aNow);

  /// Openings that would be allowed now.
  std::size_t Allowed(std::size_t aLimit, TimePoint aNow) const;

  /// Allows nothing until a window has passed, because openings before aNow are not known.
  void Block(TimePoint aNow) { mBlockedUntil = aNow + kWindow; }

private:
  /// The second that the limit is stated for, and a tenth for the way from agent to upstream.
  static constexpr Milliseconds kWindow{1'100};

  std::deque<TimePoint> mOpened;
  TimePoint mBlockedUntil;
};

} // namespace dandelionslip
