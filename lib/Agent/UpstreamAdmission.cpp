// Admits flows and requests for the agent's upstream.
#include "dandelionslip/Agent/UpstreamAdmission.h"

#include <algorithm>
#include <cmath>

namespace dandelionslip {

namespace {

// Time constant over which the rate of closed flows is averaged.
constexpr double kCloseRateSeconds = 10;

// For retry times: lower bound of the expected admissions of flows a second.
constexpr double kMinFlowRate = 1;

// For retry times: admissions of requests a second that are assumed while the completion rate is
// not known.
constexpr double kAssumedSlotRate = 10;

RuntimeClock::duration IntervalOf(double aPerSecond)
{
  return std::chrono::duration_cast<RuntimeClock::duration>(
    std::chrono::duration<double>(1.0 / aPerSecond));
}

std::int64_t Nanoseconds(const LatencyBaseline& aBaseline)
{
  return aBaseline.IsKnown() ? aBaseline.Baseline().count() : 0;
}

} // namespace

UpstreamAdmission::UpstreamAdmission(const ServiceSpec& aSpec, TimePoint aNow)
  : mDeclaredOpensPerSecond(aSpec.mOpensPerSecond)
  , mRamp(aSpec, aNow)
  , mOpenTokens(OpensPerSecond(), aNow)
  , mEstimator(aNow)
  , mClosedAt(aNow)
{
  UpdateState();
}

std::optional<Refusal> UpstreamAdmission::TryOpenFlow(TimePoint aNow)
{
  if (!TakesNewWork()) {
    return Refusal{RefusalReason::Draining, RetrySchedule::kShortest};
  }
  if (mConnectionsInUse >= Limit(aNow).mConnections) {
    const RefusalReason reason = RefusalReasonWhenFull(mConnectionsInUse, mRamp.Full().mConnections,
                                                       RefusalReason::ConnectionsFull);
    const bool ramping = reason == RefusalReason::Cold;
    return Refusal{reason, mFlowRetries.Next(aNow, FlowInterval(aNow, ramping))};
  }
  if (!mOpenTokens.TryTake(aNow)) {
    return Refusal{RefusalReason::RateLimited, mFlowRetries.Next(aNow, mOpenTokens.Interval())};
  }
  ++mConnectionsInUse;
  return std::nullopt;
}

void UpstreamAdmission::CloseFlow(TimePoint aNow)
{
  if (mConnectionsInUse == 0) {
    return;
  }
  --mConnectionsInUse;
  mClosesPerSecond = ClosesPerSecond(aNow) + 1.0 / kCloseRateSeconds;
  mClosedAt = std::max(mClosedAt, aNow);
}

void UpstreamAdmission::AddRestoredFlow()
{
  ++mConnectionsInUse;
}

std::optional<Refusal> UpstreamAdmission::TryStartRequest(TimePoint aNow)
{
  if (!TakesNewWork()) {
    return Refusal{RefusalReason::Draining, RetrySchedule::kShortest};
  }
  if (mSlotsInUse >= Limit(aNow).mSlots) {
    const RefusalReason reason =
      RefusalReasonWhenFull(mSlotsInUse, mRamp.Full().mSlots, RefusalReason::SlotsFull);
    return Refusal{reason, mSlotRetries.Next(aNow, SlotInterval(aNow))};
  }
  mEstimator.OnOccupancy(aNow, ++mSlotsInUse);
  return std::nullopt;
}

void UpstreamAdmission::FinishRequest(TimePoint aNow, Duration aLatency, CompletionResult aResult)
{
  if (mSlotsInUse == 0) {
    return;
  }
  mEstimator.OnCompletion(aNow, aResult);
  mEstimator.OnOccupancy(aNow, --mSlotsInUse);
  mRamp.OnCompletion(aNow, aLatency, aResult, WorkKind::Request);
  ApplyRamp(aNow);
}

void UpstreamAdmission::ObserveAnswer(TimePoint aNow, Duration aLatency)
{
  mRamp.OnCompletion(aNow, aLatency, CompletionResult::Success, WorkKind::Flow);
  ApplyRamp(aNow);
}

void UpstreamAdmission::ObserveShed(TimePoint aNow)
{
  ResetToCold(aNow, ColdReason::Shed);
}

void UpstreamAdmission::ObserveRestart(TimePoint aNow)
{
  ResetToCold(aNow, ColdReason::Restarted);
}

void UpstreamAdmission::ReportHealth(TimePoint aNow, bool aHealthy)
{
  mReports.ReportHealth(aNow, aHealthy);
}

void UpstreamAdmission::ReportLoad(TimePoint aNow, double aLoad)
{
  mReports.ReportLoad(aNow, aLoad);
}

void UpstreamAdmission::SetServiceMean(double aCompletionRate)
{
  mEstimator.SetServiceMean(aCompletionRate);
}

void UpstreamAdmission::Drain()
{
  mState.OnDrain();
}

void UpstreamAdmission::Undrain()
{
  mState.OnUndrain();
  UpdateState();
}

void UpstreamAdmission::Stop()
{
  mState.OnStop();
}

void UpstreamAdmission::UpdateSpec(const ServiceSpec& aSpec, TimePoint aNow)
{
  mDeclaredOpensPerSecond = aSpec.mOpensPerSecond;
  mRamp.UpdateSpec(aSpec, aNow);
  ApplyRamp(aNow);
}

LoadLimit UpstreamAdmission::Limit(TimePoint aNow) const
{
  return mReports.Apply(aNow, mRamp.Limit(), mRamp.Cold());
}

std::uint32_t UpstreamAdmission::UpdateWeight(TimePoint aNow)
{
  const std::uint32_t weight = mEstimator.Update(aNow, mRamp.Share());
  return TakesNewWork() ? weight : 0;
}

AdmissionSnapshot UpstreamAdmission::Snapshot() const
{
  AdmissionSnapshot snapshot;
  snapshot.mSlotLimit = mRamp.Limit().mSlots;
  snapshot.mConnectionLimit = mRamp.Limit().mConnections;
  snapshot.mRequestBaselineNs = Nanoseconds(mRamp.Baseline(WorkKind::Request));
  snapshot.mFlowBaselineNs = Nanoseconds(mRamp.Baseline(WorkKind::Flow));
  snapshot.mWeight = mEstimator.Weight();
  snapshot.mCompletionRate = mEstimator.CompletionRate();
  return snapshot;
}

void UpstreamAdmission::Restore(const AdmissionSnapshot& aSnapshot, TimePoint aNow)
{
  mRamp.Restore({aSnapshot.mSlotLimit, aSnapshot.mConnectionLimit},
                Duration(aSnapshot.mRequestBaselineNs), Duration(aSnapshot.mFlowBaselineNs), aNow);
  mEstimator.Restore(aSnapshot.mCompletionRate, aSnapshot.mWeight);
  ApplyRamp(aNow);
}

bool UpstreamAdmission::TakesNewWork() const
{
  return mState.State() == UpstreamState::Cold || mState.State() == UpstreamState::Serving;
}

RefusalReason UpstreamAdmission::RefusalReasonWhenFull(std::uint32_t aInUse,
                                                       std::uint32_t aFullLimit,
                                                       RefusalReason aReasonIfWarm) const
{
  return aInUse < aFullLimit && !mRamp.IsComplete() ? RefusalReason::Cold : aReasonIfWarm;
}

void UpstreamAdmission::ResetToCold(TimePoint aNow, ColdReason aReason)
{
  mRamp.ResetToCold(aNow, aReason);
  ApplyRamp(aNow);
}

void UpstreamAdmission::ApplyRamp(TimePoint aNow)
{
  UpdateState();
  mOpenTokens.SetRate(OpensPerSecond(), aNow);
}

void UpstreamAdmission::UpdateState()
{
  mRamp.IsComplete() ? mState.OnRampCompleted() : mState.OnResetToCold();
}

double UpstreamAdmission::OpensPerSecond() const
{
  const double share =
    static_cast<double>(mRamp.Limit().mConnections) / std::max(1U, mRamp.Full().mConnections);
  return std::max(1.0, mDeclaredOpensPerSecond * share);
}

UpstreamAdmission::Duration UpstreamAdmission::FlowInterval(TimePoint aNow, bool aRamping) const
{
  // A ramp makes room for up to a quarter of its limit with each step.
  const double growth = aRamping ? mRamp.Limit().mConnections / 4.0 : 0.0;
  const double freed = std::max({kMinFlowRate, growth, ClosesPerSecond(aNow)});
  return IntervalOf(std::min(freed, OpensPerSecond()));
}

UpstreamAdmission::Duration UpstreamAdmission::SlotInterval(TimePoint aNow) const
{
  const double perSlot = mEstimator.CompletionRate();
  return IntervalOf(perSlot > 0 ? perSlot * std::max(1U, Limit(aNow).mSlots) : kAssumedSlotRate);
}

double UpstreamAdmission::ClosesPerSecond(TimePoint aNow) const
{
  const double elapsed = std::chrono::duration<double>(aNow - mClosedAt).count();
  return mClosesPerSecond * std::exp(-std::max(0.0, elapsed) / kCloseRateSeconds);
}

} // namespace dandelionslip
