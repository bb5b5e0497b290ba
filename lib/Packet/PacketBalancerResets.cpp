// Resets that a balancer sends, and the log lines that show what decided them.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>

namespace dandelionslip {

namespace {

std::int64_t AgeMs(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aThen).count();
}

} // namespace

void PacketBalancer::RefuseOpening(const PacketHeader& aPacketHeader,
                                   std::span<const FlowDenial> aReturnedBy, Counter& aCounter,
                                   PacketOutput& aOutput, TimePoint aArrivedAt, TimePoint aNow)
{
  aCounter.Add();
  const RouteEntry* route = FindRoute(aPacketHeader.mFlow);
  std::size_t candidates = 0;
  std::size_t silent = 0;
  std::size_t declining = 0;
  std::size_t cold = 0;
  for (const auto& [endpoint, agent] : mAgents) {
    if (route != nullptr && route->HasTarget(agent.mService)) {
      ++candidates;
      const bool reports =
        agent.mReportedAt && aNow - *agent.mReportedAt <= mSettings.mReportLifetime;
      silent += reports ? 0 : 1;
      declining += reports && !agent.mReport.mAccepts ? 1 : 0;
      cold += reports && agent.mReport.mAccepts && agent.mReport.mCold ? 1 : 0;
    }
  }
  LogEvent(LogLevel::Info, "flow_refused")
    .With("flow", ToString(aPacketHeader.mFlow))
    .With("copy", aPacketHeader.mRetransmission)
    .With("reason", &aCounter == &mNoRoute       ? "no_route"
                    : &aCounter == &mWaitExpired ? "waited_too_long"
                                                 : "no_upstream")
    .With("waited_ms", AgeMs(aArrivedAt, aNow))
    .With("returned_by", ToText(aReturnedBy, aNow))
    .With("candidates", candidates)
    .With("silent", silent)
    .With("declining", declining)
    .With("cold", cold)
    .With("routes", mRouteVersion)
    .With("view", mViewRevision)
    .With("view_age_ms", AgeMs(mViewAppliedAt, aNow))
    .With("agents", mAgents.size())
    .With("waiting", mWaiting.Size());
  aOutput.SendToCaller(aPacketHeader.mFlow,
                       mCodec.EncodeReset(aPacketHeader.mFlow, aPacketHeader.mAcknowledged));
}

void PacketBalancer::ResetFlow(const PacketHeader& aPacketHeader, const Flow& aFlow,
                               PacketOutput& aOutput, TimePoint aNow)
{
  mNotFound.Add();
  const Search& search = *aFlow.mSearch;
  std::size_t covered = 0;
  std::int64_t coveredAgeMs = 0;
  for (const auto& [endpoint, agent] : mAgents) {
    if (!IsDeniedBy(search.mRuledOut, endpoint)) {
      ++covered;
      coveredAgeMs =
        std::max(coveredAgeMs, agent.mReportedAt ? AgeMs(*agent.mReportedAt, aNow) : -1);
    }
  }
  const bool openingReturned =
    std::any_of(search.mRuledOut.begin(), search.mRuledOut.end(),
                [](const FlowDenial& aDenial) { return aDenial.mOfOpening; });
  Counter& counter = openingReturned ? mResetByOpening
                     : covered > 0   ? mResetByDirectory
                                     : mResetByDenials;
  counter.Add();
  LogEvent(LogLevel::Info, "flow_reset", LogPriority::High)
    .With("flow", ToString(aPacketHeader.mFlow))
    .With("reason", "not_found")
    .With("known_ms", AgeMs(aFlow.mFirstUsedAt, aNow))
    .With("search_ms", AgeMs(search.mStartedAt, aNow))
    .With("ruled_out", ToText(search.mRuledOut, aNow))
    .With("covered", covered)
    .With("covered_report_age_ms", coveredAgeMs)
    .With("directory", mDirectoryAgents.Digest())
    .With("agents", mAgents.size())
    .With("routes", mRouteVersion)
    .With("view", mViewRevision)
    .With("view_age_ms", AgeMs(mViewAppliedAt, aNow));
  aOutput.SendToCaller(aPacketHeader.mFlow,
                       mCodec.EncodeReset(aPacketHeader.mFlow, aPacketHeader.mAcknowledged));
}

} // namespace dandelionslip
