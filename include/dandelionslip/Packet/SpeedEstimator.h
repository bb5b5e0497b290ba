// Measures how many requests a second one busy slot of an upstream completes.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>

namespace dandelionslip {

/// Relates completions to the time that slots were busy, so that an idle upstream is not taken for
/// a slow one. Older observations fade. Not thread-safe.
class SpeedEstimator
{
public:
  /// Requests in progress changed to aActive; aSlots of them run at once, the others wait.
  void OnActiveChanged(std::uint32_t aActive, std::uint32_t aSlots, TimePoint aNow);
  void OnCompleted() { mCompleted += 1; }

  /// Requests a second of a busy slot; 0 until enough were completed.
  double RequestsPerSlotSecond() const;

private:
  /// Completions before the estimate is used; ten samples of a spread of 0.5 are within 16%.
  static constexpr double kMinCompleted = 10;
  /// Busy time after which an observation counts half.
  static constexpr double kHalfLifeSeconds = 4;

  double mCompleted = 0;
  double mBusySeconds = 0;
  std::uint32_t mBusySlots = 0;
  TimePoint mChangedAt;
};

} // namespace dandelionslip
