// Decides how much load the agent's upstream gets; all new work is admitted here.
#pragma once

#include "dandelionslip/Agent/AdmissionSnapshot.h"
#include "dandelionslip/Agent/ColdStartRamp.h"
#include "dandelionslip/Agent/EndpointReports.h"
#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Agent/RetrySchedule.h"
#include "dandelionslip/Agent/TokenBucket.h"
#include "dandelionslip/Agent/UpstreamStateMachine.h"
#include "dandelionslip/Agent/WeightEstimator.h"

#include <cstdint>
#include <optional>

namespace dandelionslip {

/// Admits flows and requests within the ramp's limit. Work that is already admitted is never
/// withdrawn when the limit falls. Not thread-safe.
class UpstreamAdmission : public FlowAdmission
{
public:
  using Duration = RuntimeClock::duration;

  UpstreamAdmission(const ServiceSpec& aSpec, TimePoint aNow);

  /// Reserves room for one opening flow. Refusals: Draining, ConnectionsFull, Cold, RateLimited.
  std::optional<Refusal> TryOpenFlow(TimePoint aNow) override;

  /// Releases the room of one flow.
  void CloseFlow(TimePoint aNow) override;

  /// Counts a flow that was taken over from an earlier process, even above the limit.
  void AddRestoredFlow();

  /// Reserves a slot for one request. Refusals: Draining, SlotsFull, Cold.
  std::optional<Refusal> TryStartRequest(TimePoint aNow);

  /// Releases the slot of a request that ended after aLatency.
  void FinishRequest(TimePoint aNow, Duration aLatency, CompletionResult aResult);

  /// Records that the upstream answered a caller's datagram after aLatency. Answers on established
  /// flows count too; without them a service that has only flows could not ramp up again.
  void ObserveAnswer(TimePoint aNow, Duration aLatency);

  /// Records that the upstream shed a flow or datagram.
  void ObserveShed(TimePoint aNow);

  /// Records that the upstream was seen to restart.
  void ObserveRestart(TimePoint aNow);

  /// Reports of the upstream's health and load endpoints; they can lower the limit and never raise
  /// it.
  void ReportHealth(TimePoint aNow, bool aHealthy);
  void ReportLoad(TimePoint aNow, double aLoad);

  /// Mean completion rate of the service, see WeightEstimator.
  void SetServiceMean(double aCompletionRate);

  void Drain();
  void Undrain();
  void Stop();

  /// Applies a changed service declaration. The limit in force still rises only by the ramp.
  void UpdateSpec(const ServiceSpec& aSpec, TimePoint aNow);

  UpstreamState State() const { return mState.State(); }
  std::uint32_t SlotsInUse() const { return mSlotsInUse; }
  std::uint32_t ConnectionsInUse() const { return mConnectionsInUse; }

  /// The limit now in force: the ramp's, lowered by the endpoints' reports.
  LoadLimit Limit(TimePoint aNow) const;

  const ColdStartRamp& Ramp() const { return mRamp; }
  const WeightEstimator& Estimator() const { return mEstimator; }

  /// Advances the estimate and returns the weight to announce; 0 while draining or stopped.
  std::uint32_t UpdateWeight(TimePoint aNow);

  AdmissionSnapshot Snapshot() const;

  /// Restores the state of an earlier process of this agent. Call before any admission.
  void Restore(const AdmissionSnapshot& aSnapshot, TimePoint aNow);

private:
  bool TakesNewWork() const;
  /// Cold while the ramp, not the full limit, is the bound; else aReasonIfWarm.
  RefusalReason RefusalReasonWhenFull(std::uint32_t aInUse, std::uint32_t aFullLimit,
                                      RefusalReason aReasonIfWarm) const;
  void ResetToCold(TimePoint aNow, ColdReason aReason);
  void ApplyRamp(TimePoint aNow);
  void UpdateState();
  double OpensPerSecond() const;
  Duration FlowInterval(TimePoint aNow, bool aRamping) const;
  Duration SlotInterval(TimePoint aNow) const;
  double ClosesPerSecond(TimePoint aNow) const;

  std::uint32_t mDeclaredOpensPerSecond;
  std::uint32_t mSlotsInUse = 0;
  std::uint32_t mConnectionsInUse = 0;
  ColdStartRamp mRamp;
  EndpointReports mReports;
  UpstreamStateMachine mState;
  TokenBucket mOpenTokens;
  RetrySchedule mFlowRetries;
  RetrySchedule mSlotRetries;
  WeightEstimator mEstimator;
  double mClosesPerSecond = 0;
  TimePoint mClosedAt;
};

} // namespace dandelionslip
