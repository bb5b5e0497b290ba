// Estimates how many requests per second one busy slot of an upstream completes.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>

namespace dandelionslip {

/// Divides completed requests by the time that slots were busy, so that an idle upstream does not
/// look slow. The weight of observations decays exponentially. Not thread-safe.
class SpeedEstimator
{
public:
  /// The number of requests in progress changed to aActive. aSlots of them run at once, the others
  /// wait.
  void OnActiveChanged(std::uint32_t aActive, std::uint32_t aSlots, TimePoint aNow);
  void OnCompleted() { mCompleted += 1; }

  /// Requests per second of a busy slot; 0 until enough requests were completed.
  double RequestsPerSlotSecond() const;

private:
  /// Completed requests before the estimate is used. With a relative deviation of 0.5, the mean of
  /// ten samples has a standard error of 16%.
  static constexpr double kMinCompleted = 10;
  /// Busy time after which the weight of an observation has halved.
  static constexpr double kHalfLifeSeconds = 4;

  double mCompleted = 0;
  double mBusySeconds = 0;
  std::uint32_t mBusySlots = 0;
  TimePoint mChangedAt;
};

} // namespace dandelionslip
