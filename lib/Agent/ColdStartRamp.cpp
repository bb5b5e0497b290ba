// Raises the load limit of a cold upstream and resets it when the upstream seems to be cold again.
#include "dandelionslip/Agent/ColdStartRamp.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// A step raises a limit by a quarter, that is by a factor of 1.25, but by at least one.
constexpr std::uint32_t kStepDivisor = 4;

std::uint32_t OneStepUp(std::uint32_t aLimit)
{
  return aLimit + std::max<std::uint32_t>(1, aLimit / kStepDivisor);
}

double Ratio(std::uint32_t aPart, std::uint32_t aWhole)
{
  return aWhole == 0 ? 1.0 : static_cast<double>(aPart) / aWhole;
}

} // namespace

std::span<const EnumName<ColdReason>> EnumNames(ColdReason)
{
  static constexpr std::array<EnumName<ColdReason>, 5> kNames{{
    {ColdReason::Started, "started"},
    {ColdReason::LatencyStep, "latency_step"},
    {ColdReason::Shed, "shed"},
    {ColdReason::Failures, "failures"},
    {ColdReason::Restarted, "restarted"},
  }};
  return kNames;
}

ColdStartRamp::ColdStartRamp(const ServiceSpec& aSpec, TimePoint aNow)
  : mFull(FullLoadLimit(aSpec))
  , mCold(ColdLoadLimit(aSpec))
  , mLimit(mCold)
  , mChangedAt(aNow)
{
}

std::optional<ColdReason> ColdStartRamp::OnCompletion(TimePoint aNow, Duration aLatency,
                                                      CompletionResult aResult, WorkKind aKind)
{
  if (aResult == CompletionResult::Cancelled) {
    return std::nullopt;
  }
  const bool wasAboveCold = mLimit != mCold;
  if (aResult == CompletionResult::Shed) {
    ResetToCold(aNow, ColdReason::Shed);
    return wasAboveCold ? std::optional(ColdReason::Shed) : std::nullopt;
  }
  const bool succeeded = aResult == CompletionResult::Success;
  LatencyBaseline& baseline = BaselineOf(aKind);
  baseline.Record(aNow, aLatency, succeeded);
  mFailuresInRow = succeeded ? 0 : mFailuresInRow + 1;
  if (const auto reason = DetectCold(baseline); reason && wasAboveCold) {
    ResetToCold(aNow, *reason);
    return reason;
  }
  if (!succeeded) {
    mSuccesses = 0;
    return std::nullopt;
  }
  CountSuccess(aNow, aLatency, baseline);
  return std::nullopt;
}

void ColdStartRamp::ResetToCold(TimePoint aNow, ColdReason aReason)
{
  mLimit = mCold;
  mReason = aReason;
  mChangedAt = aNow;
  mSuccesses = 0;
  mFailuresInRow = 0;
  for (LatencyBaseline& baseline : mBaselines) {
    baseline.ClearRecent();
  }
}

void ColdStartRamp::UpdateSpec(const ServiceSpec& aSpec, TimePoint aNow)
{
  mFull = FullLoadLimit(aSpec);
  mCold = ColdLoadLimit(aSpec);
  mLimit = ElementwiseMin(mLimit, mFull);
  mChangedAt = aNow;
  mSuccesses = 0;
}

const LatencyBaseline& ColdStartRamp::Baseline(WorkKind aKind) const
{
  return mBaselines[static_cast<std::size_t>(aKind)];
}

double ColdStartRamp::Share() const
{
  return std::min(Ratio(mLimit.mSlots, mFull.mSlots),
                  Ratio(mLimit.mConnections, mFull.mConnections));
}

void ColdStartRamp::Restore(const LoadLimit& aLimit, Duration aRequestBaseline,
                            Duration aFlowBaseline, TimePoint aNow)
{
  mLimit = {std::clamp(aLimit.mSlots, mCold.mSlots, mFull.mSlots),
            std::clamp(aLimit.mConnections, mCold.mConnections, mFull.mConnections)};
  BaselineOf(WorkKind::Request).Restore(aRequestBaseline);
  BaselineOf(WorkKind::Flow).Restore(aFlowBaseline);
  mChangedAt = aNow;
  mSuccesses = 0;
}

std::optional<ColdReason> ColdStartRamp::DetectCold(const LatencyBaseline& aBaseline) const
{
  if (mFailuresInRow >= kWindowCompletions) {
    return ColdReason::Failures;
  }
  return aBaseline.IsStepped() ? std::optional(ColdReason::LatencyStep) : std::nullopt;
}

void ColdStartRamp::CountSuccess(TimePoint aNow, Duration aLatency,
                                 const LatencyBaseline& aBaseline)
{
  // Work that started before the last change says nothing about the limit now in force.
  if (IsComplete() || aNow - aLatency < mChangedAt || ++mSuccesses < SuccessesPerStep()) {
    return;
  }
  if (!aBaseline.IsNormal()) {
    mSuccesses = 0;
    return;
  }
  if (aNow - mChangedAt >= kRampStepInterval) {
    StepUp(aNow);
  }
}

void ColdStartRamp::StepUp(TimePoint aNow)
{
  const std::uint32_t slots = std::min(OneStepUp(mLimit.mSlots), mFull.mSlots);
  const std::uint32_t connections =
    std::min(OneStepUp(mLimit.mConnections), MatchingConnections(slots));
  mLimit = {slots, std::max(mLimit.mConnections, connections)};
  mChangedAt = aNow;
  mSuccesses = 0;
}

std::uint32_t ColdStartRamp::SuccessesPerStep() const
{
  // A larger limit needs more completions before it counts as tested.
  constexpr std::uint32_t kCompletionsPerSlot = 2;
  return std::max<std::uint32_t>(kWindowCompletions, kCompletionsPerSlot * mLimit.mSlots);
}

std::uint32_t ColdStartRamp::MatchingConnections(std::uint32_t aSlots) const
{
  const std::uint32_t range = mFull.mSlots - mCold.mSlots;
  if (aSlots >= mFull.mSlots || range == 0) {
    return mFull.mConnections;
  }
  const std::uint64_t grown = aSlots > mCold.mSlots ? aSlots - mCold.mSlots : 0;
  const std::uint64_t connections = mFull.mConnections - mCold.mConnections;
  return mCold.mConnections + static_cast<std::uint32_t>(connections * grown / range);
}

LatencyBaseline& ColdStartRamp::BaselineOf(WorkKind aKind)
{
  return mBaselines[static_cast<std::size_t>(aKind)];
}

} // namespace dandelionslip
