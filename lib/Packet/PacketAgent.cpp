// State and admission of a packet agent.
#include "dandelionslip/Packet/PacketAgent.h"

#include "RouteKey.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace dandelionslip {

namespace {

// Heartbeats that may be missing before the upstream takes no new flows; one may be lost, and the
// interval varies.
constexpr int kMissedHeartbeats = 3;

// Opening packets without any answer before the upstream counts as unresponsive, and the silence
// that it takes: the first copy of an opening packet comes after 200 ms.
constexpr std::uint32_t kMaxUnansweredOpens = 2;
constexpr Milliseconds kOpenAnswerTime{250};

// A request without an answer for this long no longer counts as running; longer than the longest
// deadline of a request.
constexpr Milliseconds kMaxRequestTime{8'000};

// An upstream reacts to a probe within milliseconds, or when its request is done.
constexpr Milliseconds kProbeTime{3'000};

// How long a closed flow is remembered for late packets; retransmissions come up to 1.6 s apart.
constexpr Milliseconds kClosedMemory{4'000};

// An idle flow is forgotten this long after its timeout, because a packet may be on its way.
constexpr Milliseconds kIdleMargin{2'000};
constexpr Milliseconds kDefaultIdleTimeout{15'000};

constexpr double kMilli = 1000.0;

} // namespace

PacketAgent::PacketAgent(const PacketAgentSettings& aSettings, const SegmentCodec& aCodec,
                         MetricsRegistry& aRegistry, TimePoint aNow)
  : mSettings(aSettings)
  , mCodec(aCodec)
  , mStartedAt(aNow)
  , mRequestSeconds(aRegistry.SummaryFor("dandelionslip_request_seconds"))
  , mOpeningSeconds(aRegistry.SummaryFor("dandelionslip_opening_seconds"))
  , mDelivered(aRegistry.CounterFor("dandelionslip_packets_delivered_total"))
  , mReplies(aRegistry.CounterFor("dandelionslip_packets_replied_total"))
  , mBounced(aRegistry.CounterFor("dandelionslip_packets_bounced_total"))
  , mResets(aRegistry.CounterFor("dandelionslip_flows_reset_total", "reason=\"upstream_lost_it\""))
  , mProbeResets(
      aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"probe_reset\""))
  , mMalformed(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"malformed\""))
{
  for (std::size_t i = 0; i < kReturnReasons; ++i) {
    const auto reason = ToString(static_cast<ReturnReason>(i));
    mReturned[i] = &aRegistry.CounterFor("dandelionslip_packets_returned_total",
                                         "reason=\"" + std::string(reason) + "\"");
  }
  // Tags of an earlier process that come back late must not match deliveries of this one.
  mNextTag = static_cast<std::uint32_t>(aNow.time_since_epoch().count()) | 1U;
}

void PacketAgent::OnConfiguration(const Configuration& aConfiguration)
{
  const bool out = aConfiguration.IsDataCentreOut(mSettings.mDataCentre);
  if (mDataCentreOut && !out) {
    // The upstream may have turned cold meanwhile; its next heartbeat tells.
    mReturnUnconfirmed = true;
  }
  mDataCentreOut = out;
  if (aConfiguration.mRoutes.mVersion <= mRoutes.mVersion) {
    return;
  }
  mRoutes = aConfiguration.mRoutes;
  mLeadsHere.clear();
  for (const Route& route : mRoutes.mRoutes) {
    const bool leads =
      std::any_of(route.mTargets.begin(), route.mTargets.end(), [&](const RouteTarget& aTarget) {
        return aTarget.mService == mSettings.mService && aTarget.mWeight > 0;
      });
    mLeadsHere[RouteKeyOf(Endpoint::Parse(route.mAddress).value())] = leads;
  }
  LogEvent(LogLevel::Info, "routes_in_force")
    .With("version", mRoutes.mVersion)
    .With("revision", aConfiguration.mRevision);
}

HeartbeatOutcome PacketAgent::OnUpstreamHeartbeat(const UpstreamHeartbeat& aReport, TimePoint aNow)
{
  if (aReport.mService != mSettings.mService) {
    return HeartbeatOutcome::WrongService;
  }
  if (mUpstream) {
    const UpstreamHeartbeat& known = mUpstream->mReport;
    const bool sameStart = known.mId == aReport.mId && known.mStartedMs == aReport.mStartedMs;
    if (sameStart ? aReport.mSequence <= known.mSequence : aReport.mStartedMs < known.mStartedMs) {
      return HeartbeatOutcome::Late;
    }
    if (sameStart && mUpstream->mLeft) {
      return HeartbeatOutcome::Late;
    }
    mUpstreamStartSeen = mUpstreamStartSeen || !sameStart;
    if (!sameStart || known.mDraining != aReport.mDraining) {
      LogEvent(LogLevel::Info, "upstream_changed")
        .With("upstream", aReport.mId)
        .With("started_ms", aReport.mStartedMs)
        .With("draining", aReport.mDraining ? "true" : "false")
        .With("cold_left_ms", aReport.mColdLeft.count());
    }
  } else {
    LogEvent(LogLevel::Info, "upstream_found")
      .With("upstream", aReport.mId)
      .With("sequence", aReport.mSequence)
      .With("started_ms", aReport.mStartedMs)
      .With("cold_left_ms", aReport.mColdLeft.count());
    // Without its first heartbeat, an earlier process of this agent may have opened flows.
    mUpstreamStartSeen = aReport.mSequence <= 1;
    if (!mUpstreamStartSeen) {
      mColdOpens.Block(mStartedAt);
    }
  }
  mUpstream = Upstream{aReport, aNow, aNow + aReport.mColdLeft, false};
  mReturnUnconfirmed = false;
  mUnansweredOpens = 0;
  return HeartbeatOutcome::Accepted;
}

void PacketAgent::OnUpstreamLeft(const std::string& aId)
{
  if (mUpstream && mUpstream->mReport.mId == aId) {
    mUpstream->mLeft = true;
    LogEvent(LogLevel::Info, "upstream_left").With("upstream", aId);
  }
}

bool PacketAgent::IsCold(TimePoint aNow) const
{
  return mReturnUnconfirmed || (mUpstream && aNow < mUpstream->mColdUntil);
}

std::size_t PacketAgent::ColdLimit() const
{
  const RoutedService* service = mRoutes.FindService(mSettings.mService);
  const double rate = service == nullptr ? 0.0 : service->mColdOpensPerSecond;
  const double bound = std::floor(rate * mSettings.mColdExcessFactor + mSettings.mColdSlack);
  return bound < 1 ? 1 : static_cast<std::size_t>(bound);
}

// ReturnReason::None when the upstream takes new flows.
ReturnReason PacketAgent::UpstreamCondition(TimePoint aNow) const
{
  if (!mUpstream || mUpstream->mLeft ||
      aNow - mUpstream->mHeardAt > kMissedHeartbeats * mSettings.mHeartbeat) {
    return ReturnReason::NoUpstream;
  }
  if (mStopping || mDataCentreOut || mUpstream->mReport.mDraining) {
    return ReturnReason::Draining;
  }
  if (mUnansweredOpens >= kMaxUnansweredOpens && aNow - mUnansweredSince > kOpenAnswerTime) {
    return ReturnReason::Unresponsive;
  }
  return ReturnReason::None;
}

bool PacketAgent::RouteLeadsHere(const FlowKey& aFlow) const
{
  const auto found = mLeadsHere.find(RouteKeyOf(aFlow));
  return found != mLeadsHere.end() && found->second;
}

std::optional<ReturnReason> PacketAgent::ReasonToRefuse(const Segment& aSegment, TimePoint aNow)
{
  if (const auto condition = UpstreamCondition(aNow); condition != ReturnReason::None) {
    return condition;
  }
  if (!RouteLeadsHere(aSegment.mFlow)) {
    return ReturnReason::WrongService;
  }
  if (mFlows.size() >= mSettings.mMaxFlows) {
    return ReturnReason::Refused;
  }
  if (IsCold(aNow) && !mColdOpens.TryOpen(ColdLimit(), aNow)) {
    return ReturnReason::Cold;
  }
  return std::nullopt;
}

bool PacketAgent::TableIsComplete(TimePoint aNow) const
{
  return mUpstreamStartSeen || aNow - mStartedAt > mSettings.mMaxFlowAge;
}

// The machine of a removed upstream may start again without it.
bool PacketAgent::UpstreamIsAbsent(TimePoint aNow) const
{
  return !mUpstream && !mUpstreamSentPackets &&
         aNow - mStartedAt > kMissedHeartbeats * mSettings.mHeartbeat;
}

LoadReport PacketAgent::Report(TimePoint aNow) const
{
  LoadReport report;
  report.mService = mSettings.mService;
  report.mDataCentre = mSettings.mDataCentre;
  report.mAccepts = UpstreamCondition(aNow) == ReturnReason::None;
  report.mCold = IsCold(aNow);
  if (report.mCold) {
    report.mOpensAllowed = static_cast<std::uint32_t>(mColdOpens.Allowed(ColdLimit(), aNow));
    report.mColdLeft = mReturnUnconfirmed
                         ? mSettings.mHeartbeat
                         : std::chrono::duration_cast<Milliseconds>(mUpstream->mColdUntil - aNow);
    report.mOpensPerSecond = static_cast<std::uint32_t>(ColdLimit());
  }
  report.mRegisteredWith = TableIsComplete(aNow) || UpstreamIsAbsent(aNow) ? mRegisteredWith : 0;
  report.mGone = Gone();
  report.mStarting = !mUpstream && aNow - mStartedAt < kMissedHeartbeats * mSettings.mHeartbeat;
  report.mFlows = mOpenFlows;
  report.mRequests = mActive;
  report.mSlots = mUpstream ? std::max<std::uint32_t>(mUpstream->mReport.mSlots, 1) : 1;
  report.mMilliRequestsPerSlot =
    static_cast<std::uint32_t>(std::lround(mSpeed.RequestsPerSlot() * kMilli));
  return report;
}

// The upstream has said that it exits, so no flow is left here.
bool PacketAgent::Gone() const
{
  return mStopping && mUpstream && mUpstream->mLeft;
}

MemberState PacketAgent::State(TimePoint aNow) const
{
  if (mStopping) {
    return Gone() ? MemberState::Left : MemberState::Draining;
  }
  if (UpstreamCondition(aNow) != ReturnReason::None) {
    return mUpstream ? MemberState::Draining : MemberState::Cold;
  }
  return IsCold(aNow) ? MemberState::Cold : MemberState::Serving;
}

void PacketAgent::OnTick(TimePoint aNow)
{
  mDirectory.Expire(aNow);
  std::erase_if(mProbes, [&](const auto& aItem) { return aNow - aItem.second.mAt > kProbeTime; });
  const Milliseconds idleTimeout =
    (mRoutes.mFlowIdleTimeout.count() > 0 ? mRoutes.mFlowIdleTimeout : kDefaultIdleTimeout) +
    kIdleMargin;
  for (auto item = mFlows.begin(); item != mFlows.end();) {
    Flow& flow = item->second;
    if (flow.mBusy && aNow - flow.mBusySince > kMaxRequestTime) {
      SetBusy(flow, false, aNow);
    }
    const Milliseconds kept = flow.mClosed ? kClosedMemory : idleTimeout;
    if (aNow - flow.mUsedAt > kept) {
      Close(flow, aNow);
      item = mFlows.erase(item);
    } else {
      ++item;
    }
  }
}

} // namespace dandelionslip
