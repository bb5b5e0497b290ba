// Estimates an upstream's capacity from its own completions and occupancy.
#include "dandelionslip/Agent/WeightEstimator.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>
#include <cmath>

namespace dandelionslip {

namespace {

// Fewer completions give no usable rate.
constexpr std::uint32_t kMinSampleCompletions = 8;

// Smaller changes are not announced: each announced change moves buckets.
constexpr double kDeadBand = 0.02;

// A weight of zero would take away the completions by which the upstream could recover.
constexpr double kSmallestWeight = 0.02 * kFullWeight;
constexpr double kLargestWeight = 4.0 * kFullWeight;

} // namespace

WeightEstimator::WeightEstimator(TimePoint aNow)
  : mBusyTimeUntil(aNow)
  , mSampledAt(aNow)
  , mSteppedAt(aNow)
{
}

void WeightEstimator::OnOccupancy(TimePoint aNow, std::uint32_t aSlotsInUse)
{
  AccumulateBusyTime(aNow);
  mSlotsInUse = aSlotsInUse;
}

void WeightEstimator::OnCompletion(TimePoint aNow, CompletionResult aResult)
{
  AccumulateBusyTime(aNow);
  mSuccesses += aResult == CompletionResult::Success ? 1 : 0;
  mCompletions += aResult == CompletionResult::Cancelled ? 0 : 1;
}

void WeightEstimator::SetServiceMean(double aCompletionRate)
{
  if (std::isfinite(aCompletionRate) && aCompletionRate > 0) {
    mServiceMean = aCompletionRate;
  }
}

std::uint32_t WeightEstimator::Update(TimePoint aNow, double aRampShare)
{
  AccumulateBusyTime(aNow);
  if (aNow - mSampledAt >= kStepInterval && mCompletions >= kMinSampleCompletions) {
    AddSample(aNow);
  }
  const double share = std::clamp(aRampShare, 0.0, 1.0);
  const double bound = share < 1.0 ? std::max(1.0, share * kFullWeight) : kLargestWeight;
  const auto target = static_cast<std::uint32_t>(std::min(Target(), bound));
  if (mWeight == 0) {
    mWeight = target;
  } else if (mWeight > bound) {
    mWeight = static_cast<std::uint32_t>(bound);
    mSteppedAt = aNow;
  } else if (aNow - mSteppedAt >= kStepInterval) {
    StepTowards(aNow, target);
  }
  return mWeight;
}

void WeightEstimator::Restore(double aCompletionRate, std::uint32_t aWeight)
{
  mRate = std::isfinite(aCompletionRate) ? std::max(0.0, aCompletionRate) : 0.0;
  mWeight = std::min(aWeight, static_cast<std::uint32_t>(kLargestWeight));
}

void WeightEstimator::AccumulateBusyTime(TimePoint aNow)
{
  if (aNow > mBusyTimeUntil) {
    mBusySeconds += mSlotsInUse * Seconds(aNow - mBusyTimeUntil);
    mBusyTimeUntil = aNow;
  }
}

void WeightEstimator::AddSample(TimePoint aNow)
{
  // A completion that was counted without busy time would give an infinite rate.
  constexpr double kShortestBusySeconds = 1e-4;
  const double sample = mSuccesses / std::max(mBusySeconds, kShortestBusySeconds);
  const double gain = 1.0 - std::exp(-Seconds(aNow - mSampledAt) / Seconds(kTimeConstant));
  const double smoothed = mRate + (sample - mRate) * gain;
  mRate = mRate > 0 ? std::clamp(smoothed, mRate / kMaxStepFactor, mRate * kMaxStepFactor) : sample;
  mBusySeconds = 0;
  mSuccesses = 0;
  mCompletions = 0;
  mSampledAt = aNow;
}

double WeightEstimator::Target() const
{
  if (mRate <= 0 || mServiceMean <= 0) {
    return kFullWeight;
  }
  return std::clamp(kFullWeight * mRate / mServiceMean, kSmallestWeight, kLargestWeight);
}

void WeightEstimator::StepTowards(TimePoint aNow, std::uint32_t aTarget)
{
  const double difference = std::abs(static_cast<double>(aTarget) - mWeight);
  if (aTarget == mWeight || (mSettled && difference <= kDeadBand * mWeight)) {
    mSettled = true;
    return;
  }
  const auto largest = std::max(mWeight + 1, static_cast<std::uint32_t>(mWeight * kMaxStepFactor));
  const auto smallest = static_cast<std::uint32_t>(std::ceil(mWeight / kMaxStepFactor));
  mWeight = std::clamp(aTarget, smallest, largest);
  mSettled = mWeight == aTarget;
  mSteppedAt = aNow;
}

} // namespace dandelionslip
