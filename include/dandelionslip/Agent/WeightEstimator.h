// The weight that an agent announces for its upstream.
#pragma once

#include "dandelionslip/Agent/CompletionResult.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>

namespace dandelionslip {

/// Estimates the capacity of an upstream relative to the mean of its service. Capacity is measured
/// as successful completions for each second that a slot was busy. Reports of the load endpoint are
/// not an input. Not thread-safe.
class WeightEstimator
{
public:
  /// Time constant of the smoothed completion rate.
  static constexpr Milliseconds kTimeConstant{10'000};
  /// Shortest time between two changes of the weight, and between two samples of the rate.
  static constexpr Milliseconds kStepInterval{1'000};
  /// Largest factor by which one change raises or lowers the weight, or one sample the rate.
  static constexpr double kMaxStepFactor = 1.25;

  explicit WeightEstimator(TimePoint aNow);

  /// Records that the number of busy slots changes to aSlotsInUse at aNow.
  void OnOccupancy(TimePoint aNow, std::uint32_t aSlotsInUse);

  /// Records the end of a request.
  void OnCompletion(TimePoint aNow, CompletionResult aResult);

  /// Sets the mean completion rate over the upstreams of the service, as distributed by control; it
  /// may be old. Without it the upstream counts as an average one. Values that are not positive are
  /// ignored.
  void SetServiceMean(double aCompletionRate);

  /// Advances the estimate to aNow and returns the weight to announce. aRampShare (0 to 1) bounds
  /// the weight of a cold upstream at once; the weight grows by at most kMaxStepFactor a second.
  std::uint32_t Update(TimePoint aNow, double aRampShare);

  /// Smoothed successes a second of one busy slot; 0 while unknown.
  double CompletionRate() const { return mRate; }

  /// The last result of Update.
  std::uint32_t Weight() const { return mWeight; }

  /// Restores the estimate of an earlier process.
  void Restore(double aCompletionRate, std::uint32_t aWeight);

private:
  void AccumulateBusyTime(TimePoint aNow);
  void AddSample(TimePoint aNow);
  double Target() const;
  void StepTowards(TimePoint aNow, std::uint32_t aTarget);

  std::uint32_t mSlotsInUse = 0;
  TimePoint mBusyTimeUntil; ///< Up to here busy time is in mBusySeconds.
  double mBusySeconds = 0;
  std::uint32_t mSuccesses = 0;
  std::uint32_t mCompletions = 0;
  TimePoint mSampledAt;
  double mRate = 0;
  double mServiceMean = 0;
  TimePoint mSteppedAt;
  std::uint32_t mWeight = 0;
  /// The weight has reached its target; changes within the dead band are then ignored.
  bool mSettled = false;
};

} // namespace dandelionslip
