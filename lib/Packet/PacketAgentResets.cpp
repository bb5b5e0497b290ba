// Log lines of an agent that show what decided a reset or a denial.
#include "dandelionslip/Packet/PacketAgent.h"

#include "dandelionslip/Support/Log.h"

namespace dandelionslip {

namespace {

std::int64_t AgeMs(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aThen).count();
}

std::int64_t AgeMs(const std::optional<TimePoint>& aThen, TimePoint aNow)
{
  return aThen ? AgeMs(*aThen, aNow) : -1;
}

std::string_view YesNo(bool aValue)
{
  return aValue ? "true" : "false";
}

} // namespace

void PacketAgent::AddUpstream(LogEvent& aEvent, TimePoint aNow) const
{
  aEvent.With("upstream", mUpstream ? mUpstream->mLastHeartbeat.mId : "")
    .With("started_ms", mUpstream ? mUpstream->mLastHeartbeat.mStartedMs : 0)
    .With("heartbeat_age_ms", mUpstream ? AgeMs(mUpstream->mHeardAt, aNow) : -1)
    .With("agent_age_ms", AgeMs(mStartedAt, aNow))
    .With("complete", YesNo(TableIsComplete(aNow)))
    .With("routes", mRoutes.mVersion)
    .With("view", mViewRevision);
}

void PacketAgent::AddFlow(LogEvent& aEvent, const Flow& aFlow, TimePoint aNow)
{
  aEvent.With("known_ms", AgeMs(aFlow.mFirstUsedAt, aNow))
    .With("known_by", aFlow.mKnownByOpening ? "opening" : "upstream_packet")
    .With("established", YesNo(aFlow.mEstablished))
    .With("delivered_age_ms", AgeMs(aFlow.mDeliveredAt, aNow))
    .With("answered_age_ms", AgeMs(aFlow.mAnsweredAt, aNow))
    .With("caller_ended", YesNo(aFlow.mCallerEnded))
    .With("upstream_ended", YesNo(aFlow.mUpstreamEnded))
    .With("pending", YesNo(aFlow.mRequestPending));
}

void PacketAgent::LogLostFlow(const FlowKey& aKey, const Flow& aFlow, TimePoint aDeliveredAt,
                              TimePoint aNow) const
{
  LogEvent event(LogLevel::Info, "flow_reset", LogPriority::High);
  event.With("flow", ToString(aKey)).With("reason", "upstream_lost_it");
  event.With("bounce_ms", AgeMs(aDeliveredAt, aNow));
  AddFlow(event, aFlow, aNow);
  AddUpstream(event, aNow);
}

void PacketAgent::LogUpstreamReset(const FlowKey& aKey, const Flow& aFlow, TimePoint aNow) const
{
  LogEvent event(LogLevel::Info, "upstream_reset",
                 aFlow.mEstablished ? LogPriority::High : LogPriority::Ordinary);
  event.With("flow", ToString(aKey));
  AddFlow(event, aFlow, aNow);
  AddUpstream(event, aNow);
}

void PacketAgent::LogProbeReset(const FlowKey& aKey, TimePoint aNow) const
{
  const auto probe = mProbes.find(aKey);
  const RemovedFlow* removed = mRemovedFlows.Find(aKey);
  LogEvent event(LogLevel::Info, "probe_reset");
  event.With("flow", ToString(aKey))
    .With("probe_age_ms", probe == mProbes.end() ? -1 : AgeMs(probe->second.mSentAt, aNow))
    .With("removed", removed == nullptr ? "unknown" : ToString(removed->mReason))
    .With("removed_age_ms", removed == nullptr ? -1 : AgeMs(removed->mRemovedAt, aNow));
  AddUpstream(event, aNow);
}

void PacketAgent::LogVerdict(const std::string& aCallerDataCentre, TimePoint aNow)
{
  const UpstreamVerdict verdict = mFailureDetector.Verdict(aCallerDataCentre);
  UpstreamVerdict& logged = mLoggedVerdicts[aCallerDataCentre];
  if (verdict == logged) {
    return;
  }
  LogEvent event(LogLevel::Info, "upstream_verdict", LogPriority::High);
  event.With("verdict", ToString(verdict))
    .With("before", ToString(logged))
    .With("callers_data_centre", aCallerDataCentre)
    .With("all_callers",
          mFailureDetector.OverallVerdict() != UpstreamVerdict::Healthy ? "true" : "false")
    .With("overdue_after_ms",
          std::chrono::duration_cast<Milliseconds>(mFailureDetector.OverdueAfter()).count())
    .With("requests", mPendingRequests);
  for (std::size_t i = 0; i < kFlowFailures; ++i) {
    event.With(ToString(static_cast<FlowFailure>(i)), mFlowFailures[i]->Value());
  }
  AddUpstream(event, aNow);
  logged = verdict;
}

void PacketAgent::OnDenial(const FlowKey& aKey, std::string_view aAnswer, const Endpoint& aBalancer,
                           TimePoint aNow)
{
  const RemovedFlow* removed = mRemovedFlows.Find(aKey);
  mDenied[removed == nullptr ? kRemovalReasons : static_cast<std::size_t>(removed->mReason)]->Add();
  if (removed == nullptr) {
    return;
  }
  LogEvent event(LogLevel::Info, "flow_denied");
  event.With("flow", ToString(aKey))
    .With("answer", aAnswer)
    .With("to", aBalancer.ToString())
    .With("removed", ToString(removed->mReason))
    .With("removed_age_ms", AgeMs(removed->mRemovedAt, aNow))
    .With("used_age_ms", AgeMs(removed->mUsedAt, aNow))
    .With("known_ms", AgeMs(removed->mFirstUsedAt, removed->mRemovedAt))
    .With("established", YesNo(removed->mEstablished));
  AddUpstream(event, aNow);
}

} // namespace dandelionslip
