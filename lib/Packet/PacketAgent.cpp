// Upstream state and admission of new flows at a packet agent.
#include "dandelionslip/Packet/PacketAgent.h"

#include "RouteKey.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dandelionslip {

namespace {

// The upstream gets no new flows after this many intervals without a heartbeat: a heartbeat may be
// lost, and the interval varies.
constexpr int kMaxMissedHeartbeats = 3;

// The upstream counts as unresponsive after this many unanswered opening packets and this time
// since the first of them. An opening packet is first retransmitted after 200 ms.
constexpr std::uint32_t kMaxUnansweredOpenings = 2;
constexpr Milliseconds kOpenAnswerTimeout{250};

// A request without an answer for this long no longer counts as pending; longer than any request's
// deadline.
constexpr Milliseconds kMaxRequestTime{8'000};

// A flow probe without a reaction for this long is forgotten. Upstreams react within milliseconds,
// or when the flow's request is done.
constexpr Milliseconds kProbeTimeout{3'000};

// How long a closed flow is kept for late packets; retransmissions are up to 1.6 s apart.
constexpr Milliseconds kClosedFlowRetention{4'000};

// An idle flow is removed this long after its timeout, because a packet may be on its way.
constexpr Milliseconds kIdleMargin{2'000};
constexpr Milliseconds kDefaultIdleTimeout{15'000};

// OnTick is called every second. After a longer interval the process has stood still.
constexpr Milliseconds kMaxTickInterval{2'000};

// How long an agent that has stood still waits for control. Nodes announce themselves every 500 ms;
// without control, agents serve callers by the last state that they have.
constexpr Milliseconds kResumeTime{1'000};

// Heartbeats that waited while the process stood still are read within this time.
constexpr Milliseconds kInputDrainTime{200};

constexpr double kMilli = 1000.0;

} // namespace

PacketAgent::PacketAgent(const PacketAgentSettings& aSettings, const PacketCodec& aCodec,
                         MetricsRegistry& aRegistry, TimePoint aNow)
  : mSettings(aSettings)
  , mCodec(aCodec)
  , mStartedAt(aNow)
  , mRequestSeconds(aRegistry.SummaryFor("dandelionslip_request_seconds"))
  , mOpeningSeconds(aRegistry.SummaryFor("dandelionslip_opening_seconds"))
  , mDelivered(aRegistry.CounterFor("dandelionslip_packets_delivered_total"))
  , mReplies(aRegistry.CounterFor("dandelionslip_packets_replied_total"))
  , mBounced(aRegistry.CounterFor("dandelionslip_packets_bounced_total"))
  , mFlowsLost(
      aRegistry.CounterFor("dandelionslip_flows_reset_total", "reason=\"upstream_lost_it\""))
  , mProbeResetsDropped(
      aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"probe_reset\""))
  , mMalformed(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"malformed\""))
  , mLateOpenings(
      aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"late_opening\""))
  , mResetsPassedOn(aRegistry.CounterFor("dandelionslip_upstream_resets_total"))
{
  for (std::size_t i = 0; i < kReturnReasons; ++i) {
    const auto reason = ToString(static_cast<ReturnReason>(i));
    mReturned[i] = &aRegistry.CounterFor("dandelionslip_packets_returned_total",
                                         "reason=\"" + std::string(reason) + "\"");
  }
  for (std::size_t i = 0; i < kFlowFailures; ++i) {
    mFlowFailures[i] = &aRegistry.CounterFor(
      "dandelionslip_flow_failures_total",
      "reason=\"" + std::string(ToString(static_cast<FlowFailure>(i))) + "\"");
  }
  for (std::size_t i = 0; i <= kRemovalReasons; ++i) {
    const auto removed = i == kRemovalReasons ? "unknown" : ToString(static_cast<RemovalReason>(i));
    mDenied[i] = &aRegistry.CounterFor("dandelionslip_flows_denied_total",
                                       "removed=\"" + std::string(removed) + "\"");
  }
  // Start at another tag in each process: a late bounce of a packet that an earlier process
  // delivered must not match a delivery of this one.
  mNextTag = static_cast<std::uint32_t>(aNow.time_since_epoch().count()) | 1U;
}

void PacketAgent::OnConfiguration(const Configuration& aConfiguration, TimePoint aNow)
{
  OnDataCentre(aConfiguration, aNow);
  if (aConfiguration.mRoutes.mVersion <= mRoutes.mVersion) {
    return;
  }
  mRoutes = aConfiguration.mRoutes;
  mRouteEntries.clear();
  for (const Route& route : mRoutes.mRoutes) {
    const bool targetsService =
      std::any_of(route.mTargets.begin(), route.mTargets.end(), [&](const RouteTarget& aTarget) {
        return aTarget.mService == mSettings.mService && aTarget.mWeight > 0;
      });
    if (const auto key = RouteKeyOf(Endpoint::Parse(route.mAddress).value())) {
      mRouteEntries[*key] = {targetsService, route.mPriority, route.mTimeout};
    }
  }
  if (mUpstream && mUpstream->mStartEvidence == StartEvidence::Pending) {
    mUpstream->mStartEvidence = EvidenceOfStart(mUpstream->mFirstHeartbeat);
    if (SawUpstreamStart()) {
      mColdLimiter.Unblock();
    }
  }
  LogEvent(LogLevel::Info, "routes_in_force")
    .With("version", mRoutes.mVersion)
    .With("revision", aConfiguration.mRevision);
}

void PacketAgent::OnDataCentre(const Configuration& aConfiguration, TimePoint aNow)
{
  const auto found = aConfiguration.mDataCentres.find(mSettings.mDataCentre);
  const DataCentreState state =
    found == aConfiguration.mDataCentres.end() ? DataCentreState{} : found->second;
  const bool missed = mDataCentreVersion && state.mVersion > *mDataCentreVersion + 1;
  if (!state.mOutOfService && (mDataCentreOutOfService || missed)) {
    // The upstream may have turned cold in the meantime; its next heartbeat shows it.
    mColdUntilHeartbeat = true;
    mHeartbeatsCountFrom = missed || StoodStill(aNow) ? aNow + kInputDrainTime : aNow;
  }
  mDataCentreOutOfService = state.mOutOfService;
  mDataCentreVersion = state.mVersion;
}

void PacketAgent::OnRouteTerms(const RouteTerms& aTerms)
{
  mTermsVersion = aTerms.mVersion;
  mRouteTerms.clear();
  for (const RouteTerm& term : aTerms.mTerms) {
    const auto address = Endpoint::Parse(term.mAddress);
    if (const auto key = address ? RouteKeyOf(address.value()) : std::nullopt) {
      mRouteTerms[*key] = term;
    }
  }
}

// A heartbeat from another writer, or a clock that was set back before the upstream started again,
// makes the heartbeats of the running upstream stale. Late heartbeats of an earlier start come in a
// burst.
bool PacketAgent::ReplacesSilentStart(const UpstreamHeartbeat& aHeartbeat, TimePoint aNow)
{
  const auto silence = kMaxMissedHeartbeats * mSettings.mHeartbeat;
  auto& stale = mStaleHeartbeats;
  if (!stale || stale->mId != aHeartbeat.mId || stale->mStartedMs != aHeartbeat.mStartedMs ||
      aNow - stale->mLastAt > silence) {
    stale = {aHeartbeat.mId, aHeartbeat.mStartedMs, aHeartbeat.mSequence, aNow, aNow};
    return false;
  }
  if (aHeartbeat.mSequence <= stale->mSequence) {
    return false;
  }
  stale->mSequence = aHeartbeat.mSequence;
  stale->mLastAt = aNow;
  return aNow - stale->mFirstAt >= silence;
}

// Whether the first heartbeat that this process accepted of a start shows that the process ran
// before the start, and so has seen all of its flows. Upstreams may number their heartbeats from 0
// or 1: an earlier process of this agent may have got the one before number 1, and opened flows.
PacketAgent::StartEvidence PacketAgent::EvidenceOfStart(const UpstreamHeartbeat& aFirst) const
{
  if (aFirst.mSequence > 1) {
    return StartEvidence::None;
  }
  if (mUpstreamAbsent) {
    return StartEvidence::Certain;
  }
  // Without a start time, a late heartbeat of an earlier start looks like one of the running start.
  if (aFirst.mStartedMs == 0) {
    return StartEvidence::None;
  }
  if (aFirst.mSequence == 0 || HeardEarlierStart(aFirst)) {
    return StartEvidence::Certain;
  }
  const RoutedService* service = mRoutes.FindService(mSettings.mService);
  if (service == nullptr) {
    return StartEvidence::Pending;
  }
  // Upstreams wait for an interval after a heartbeat that was acknowledged.
  const Milliseconds age = service->mWarmUp - aFirst.mColdLeft;
  return aFirst.mColdLeft.count() > 0 && age.count() >= 0 && 2 * age < mSettings.mHeartbeat
           ? StartEvidence::Certain
           : StartEvidence::None;
}

// Whether this process heard an earlier start of the upstream for too long for late heartbeats.
bool PacketAgent::HeardEarlierStart(const UpstreamHeartbeat& aHeartbeat) const
{
  return mUpstream && mUpstream->mLastHeartbeat.mStartedMs != aHeartbeat.mStartedMs &&
         mUpstream->mHeardAt - mUpstream->mFoundAt >= kMaxMissedHeartbeats * mSettings.mHeartbeat;
}

HeartbeatOutcome PacketAgent::OnUpstreamHeartbeat(const UpstreamHeartbeat& aHeartbeat,
                                                  TimePoint aNow)
{
  if (aHeartbeat.mService != mSettings.mService) {
    return HeartbeatOutcome::WrongService;
  }
  if (mUpstream) {
    const UpstreamHeartbeat& known = mUpstream->mLastHeartbeat;
    const bool sameStart = known.mId == aHeartbeat.mId && known.mStartedMs == aHeartbeat.mStartedMs;
    if (sameStart && mUpstream->mLeft) {
      return HeartbeatOutcome::Stale;
    }
    const bool stale = sameStart ? aHeartbeat.mSequence <= known.mSequence
                                 : aHeartbeat.mStartedMs < known.mStartedMs;
    if (stale && !ReplacesSilentStart(aHeartbeat, aNow)) {
      return HeartbeatOutcome::Stale;
    }
    if (!sameStart || known.mDraining != aHeartbeat.mDraining) {
      LogEvent(LogLevel::Info, "upstream_changed")
        .With("upstream", aHeartbeat.mId)
        .With("started_ms", aHeartbeat.mStartedMs)
        .With("draining", aHeartbeat.mDraining ? "true" : "false")
        .With("cold_left_ms", aHeartbeat.mColdLeft.count());
    }
  } else {
    LogEvent(LogLevel::Info, "upstream_found")
      .With("upstream", aHeartbeat.mId)
      .With("sequence", aHeartbeat.mSequence)
      .With("started_ms", aHeartbeat.mStartedMs)
      .With("cold_left_ms", aHeartbeat.mColdLeft.count());
  }
  const bool newStart = !mUpstream || mUpstream->mLastHeartbeat.mId != aHeartbeat.mId ||
                        mUpstream->mLastHeartbeat.mStartedMs != aHeartbeat.mStartedMs;
  const std::uint32_t slots = std::max<std::uint32_t>(aHeartbeat.mSlots, 1);
  if (!mUpstream) {
    // The upstream may run requests that were delivered before this heartbeat.
    mAdmission.OnUpstreamFound(slots, aNow);
  } else if (newStart) {
    mAdmission.OnUpstreamStarted(slots);
  } else {
    mAdmission.SetSlots(slots, aNow);
  }
  if (newStart) {
    mFailureDetector.OnUpstreamStarted(aNow);
  }
  Upstream upstream{aHeartbeat, aHeartbeat, aNow, aNow, aNow + aHeartbeat.mColdLeft};
  if (newStart) {
    // Another start's first heartbeat may come from another writer; its second one confirms it.
    upstream.mConfirmed = !mUpstream;
    upstream.mStartEvidence = EvidenceOfStart(aHeartbeat);
  } else {
    upstream.mFirstHeartbeat = mUpstream->mFirstHeartbeat;
    upstream.mFoundAt = mUpstream->mFoundAt;
    upstream.mConfirmed = true;
    upstream.mStartEvidence = mUpstream->mStartEvidence;
  }
  mUpstream = std::move(upstream);
  if (mUpstream->mStartEvidence != StartEvidence::Certain) {
    // An earlier process of this agent may have opened flows, also in the limiter's current window.
    mColdLimiter.Block(mStartedAt);
  }
  mUpstreamAbsent = false;
  mStaleHeartbeats.reset();
  mColdUntilHeartbeat = mColdUntilHeartbeat && aNow < mHeartbeatsCountFrom;
  mUnansweredOpenings = 0;
  return HeartbeatOutcome::Accepted;
}

void PacketAgent::OnUpstreamLeft(const std::string& aId, std::optional<std::int64_t> aStartedMs)
{
  if (mUpstream && mUpstream->mLastHeartbeat.mId == aId &&
      aStartedMs.value_or(mUpstream->mLastHeartbeat.mStartedMs) ==
        mUpstream->mLastHeartbeat.mStartedMs) {
    mUpstream->mLeft = true;
    LogEvent(LogLevel::Info, "upstream_left").With("upstream", aId);
  }
}

bool PacketAgent::IsCold(TimePoint aNow) const
{
  return mColdUntilHeartbeat || (mUpstream && aNow < mUpstream->mColdUntil);
}

std::size_t PacketAgent::ColdLimit() const
{
  const RoutedService* service = mRoutes.FindService(mSettings.mService);
  const double rate = service == nullptr ? 0.0 : service->mColdOpeningsPerSecond;
  const double bound = std::floor(rate * mSettings.mColdExcessFactor + mSettings.mColdSlack);
  // Load reports carry the bound in 32 bits.
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::size_t>(std::clamp(bound, 1.0, kMost));
}

// Whether the process has stood still until now or shortly before.
bool PacketAgent::StoodStill(TimePoint aNow) const
{
  return mTickedAt && (aNow - *mTickedAt > kMaxTickInterval ||
                       (mResumedAt != TimePoint{} && aNow - mResumedAt < kResumeTime));
}

// Whether the lease has run out while the process stood still: its data centre may be out of
// service, or the route gone.
bool PacketAgent::MayActOnOldState(TimePoint aNow) const
{
  return StoodStill(aNow) && aNow >= mLeaseEnd;
}

// Why the upstream takes no new flows; ReturnReason::None if it takes them.
ReturnReason PacketAgent::ReasonForNoNewFlows(TimePoint aNow) const
{
  if (!mUpstream || mUpstream->mLeft ||
      aNow - mUpstream->mHeardAt > kMaxMissedHeartbeats * mSettings.mHeartbeat) {
    return ReturnReason::NoUpstream;
  }
  if (mStopping || mDataCentreOutOfService || mUpstream->mLastHeartbeat.mDraining ||
      MayActOnOldState(aNow)) {
    return ReturnReason::Draining;
  }
  if (mUnansweredOpenings >= kMaxUnansweredOpenings &&
      aNow - mUnansweredSince > kOpenAnswerTimeout) {
    return ReturnReason::Unresponsive;
  }
  return ReturnReason::None;
}

bool PacketAgent::RouteTargetsService(const FlowKey& aFlow) const
{
  const auto found = mRouteEntries.find(RouteKeyOf(aFlow));
  return found != mRouteEntries.end() && found->second.mTargetsService;
}

const std::string& PacketAgent::DataCentreOf(const Endpoint& aBalancer) const
{
  static const std::string kUnknown;
  const auto found = mBalancerDataCentres.find(aBalancer);
  return found == mBalancerDataCentres.end() ? kUnknown : found->second;
}

std::optional<ReturnReason> PacketAgent::DeclineOffer(const Endpoint& aFrom, NodeMessageType aType,
                                                      const FlowKey& aFlow, TimePoint aNow)
{
  const std::uint64_t route = RouteKeyOf(aFlow);
  const auto term = mRouteTerms.find(route);
  if (mSettings.mHealthMayBeWrong) {
    const std::string& dataCentre = DataCentreOf(aFrom);
    const bool trial = mFailureDetector.Verdict(dataCentre) == UpstreamVerdict::Failing;
    // In the table of earlier terms, the address may have been that of another route.
    const bool repeatable =
      term != mRouteTerms.end() && term->second.mRepeatable && mTermsVersion >= mRoutes.mVersion;
    if (!mFailureDetector.Admits(dataCentre, repeatable, aNow)) {
      return ReturnReason::Failing;
    }
    if (trial) {
      // Requests that the upstream never answers may seem to take all its slots.
      return std::nullopt;
    }
  }
  const RouteEntry& entry = mRouteEntries.at(route);
  OfferedOpening opening;
  opening.mRoute = route;
  opening.mLast = aType == NodeMessageType::LastOffer;
  opening.mGoal = term == mRouteTerms.end() ? Milliseconds{0} : term->second.mGoal;
  opening.mTimeout = entry.mTimeout;
  opening.mPriority = entry.mPriority;
  return mAdmission.Accepts(opening, aNow) ? std::nullopt : std::optional(ReturnReason::Busy);
}

std::optional<ReturnReason> PacketAgent::AdmitOpening(const Endpoint& aFrom, NodeMessageType aType,
                                                      const PacketHeader& aPacketHeader,
                                                      TimePoint aNow)
{
  if (const auto condition = ReasonForNoNewFlows(aNow); condition != ReturnReason::None) {
    return condition;
  }
  if (!RouteTargetsService(aPacketHeader.mFlow)) {
    return ReturnReason::WrongService;
  }
  if (mFlows.size() >= mSettings.mMaxFlows) {
    return ReturnReason::Refused;
  }
  if (IsCold(aNow) && mColdLimiter.Remaining(ColdLimit(), aNow) == 0) {
    return ReturnReason::Cold;
  }
  if (aType != NodeMessageType::Deliver) {
    if (const auto reason = DeclineOffer(aFrom, aType, aPacketHeader.mFlow, aNow)) {
      return reason;
    }
  }
  mColdLimiter.NoteOpening(aNow);
  return std::nullopt;
}

bool PacketAgent::SawUpstreamStart() const
{
  return mUpstream && mUpstream->mConfirmed && mUpstream->mStartEvidence == StartEvidence::Certain;
}

bool PacketAgent::TableIsComplete(TimePoint aNow) const
{
  return SawUpstreamStart() || mUpstreamAbsent || aNow - mStartedAt > mSettings.mMaxFlowAge;
}

bool PacketAgent::TakeConnectionCheck(TimePoint aNow)
{
  if (mUpstream || mUpstreamAbsent) {
    return false;
  }
  const TimePoint heardAt = std::max(mStartedAt, mUpstreamSentAt.value_or(mStartedAt));
  const bool silent = aNow - heardAt > kMaxMissedHeartbeats * mSettings.mHeartbeat;
  bool& checked = silent ? mCheckedAfterSilence : mCheckedForQuery;
  const bool queried = mUnknownFlowQueried && !mUpstreamSentAt;
  if ((!silent && !queried) || checked) {
    return false;
  }
  checked = true;
  return true;
}

void PacketAgent::OnConnectionRefused()
{
  mUpstreamAbsent = !mUpstream || mStopping;
}

LoadReport PacketAgent::CurrentLoad(TimePoint aNow) const
{
  LoadReport report;
  report.mService = mSettings.mService;
  report.mDataCentre = mSettings.mDataCentre;
  report.mAccepts = ReasonForNoNewFlows(aNow) == ReturnReason::None;
  report.mCold = IsCold(aNow);
  if (report.mCold) {
    report.mOpeningsAllowed = static_cast<std::uint32_t>(mColdLimiter.Remaining(ColdLimit(), aNow));
    report.mColdLeft = mColdUntilHeartbeat
                         ? mSettings.mHeartbeat
                         : std::chrono::duration_cast<Milliseconds>(mUpstream->mColdUntil - aNow);
    report.mOpeningsPerSecond = static_cast<std::uint32_t>(ColdLimit());
  }
  report.mConfirmedAgentsDigest =
    TableIsComplete(aNow) && AllFlowsConfirmed() ? mDirectoryAgents.Digest() : 0;
  report.mUnseenHolders = UnseenHolders(aNow);
  report.mFinished = IsFinished();
  report.mStarting = !mUpstream && aNow - mStartedAt < kMaxMissedHeartbeats * mSettings.mHeartbeat;
  report.mFlows = mOpenFlows;
  report.mRequests = mPendingRequests;
  report.mSlots = mUpstream ? std::max<std::uint32_t>(mUpstream->mLastHeartbeat.mSlots, 1) : 1;
  report.mMilliRequestsPerSlotSecond =
    static_cast<std::uint32_t>(std::lround(mSpeedEstimator.RequestsPerSlotSecond() * kMilli));
  return report;
}

LoadReport PacketAgent::NextLoad(Milliseconds aInterval, TimePoint aNow)
{
  mAdmission.Expire(aNow);
  LoadReport report = CurrentLoad(aNow);
  LoadDetails& details = report.mDetails.emplace();
  details.mOneRequestPerFlow = mFlowLength.OneRequestPerFlow();
  details.mRoom = report.mAccepts && !report.mCold ? mAdmission.Room(aInterval, aNow) : 0;
  details.mBusyPermille =
    static_cast<std::uint32_t>(std::lround(kMilli * mAdmission.Ahead() / report.mSlots));
  details.mUpstreamStartedMs =
    mUpstream ? std::max<std::int64_t>(mUpstream->mLastHeartbeat.mStartedMs, 0) : 0;
  const bool names = mNextLoads++ % kReportsPerName == 0;
  if (report.mUnseenHolders.size() > (names ? 1 : 0)) {
    report.mUnseenHolders.resize(names ? 1 : 0);
  }
  return report;
}

void PacketAgent::SetVerdictFor(const Endpoint& aBalancer, LoadDetails& aDetails,
                                TimePoint aNow) const
{
  if (!mSettings.mHealthMayBeWrong) {
    return;
  }
  const std::string& dataCentre = DataCentreOf(aBalancer);
  aDetails.mVerdict = mFailureDetector.Verdict(dataCentre);
  aDetails.mVerdictAge = mFailureDetector.VerdictAge(dataCentre, aNow);
  aDetails.mAdmittedPermille =
    static_cast<std::uint32_t>(std::lround(kMilli * mFailureDetector.AdmittedShare(dataCentre)));
}

// Whether the agent stops as planned and its upstream has ended, so that no flow is left here.
bool PacketAgent::IsFinished() const
{
  return mStopping && (mUpstreamAbsent || (mUpstream && mUpstream->mLeft));
}

MemberState PacketAgent::State(TimePoint aNow) const
{
  if (mStopping) {
    return IsFinished() ? MemberState::Left : MemberState::Draining;
  }
  if (ReasonForNoNewFlows(aNow) != ReturnReason::None) {
    return mUpstream ? MemberState::Draining : MemberState::Cold;
  }
  return IsCold(aNow) ? MemberState::Cold : MemberState::Serving;
}

// After this time without a packet, the upstream may discard a flow.
Milliseconds PacketAgent::IdleTimeout() const
{
  return mRoutes.mFlowIdleTimeout.count() > 0 ? mRoutes.mFlowIdleTimeout : kDefaultIdleTimeout;
}

void PacketAgent::OnTick(TimePoint aNow)
{
  if (mTickedAt && aNow - *mTickedAt > kMaxTickInterval) {
    mResumedAt = aNow;
  }
  mTickedAt = aNow;
  mDirectory.Expire(aNow);
  std::erase_if(mProbes,
                [&](const auto& aItem) { return aNow - aItem.second.mSentAt > kProbeTimeout; });
  const Milliseconds idleTimeout = IdleTimeout() + kIdleMargin;
  for (auto item = mFlows.begin(); item != mFlows.end();) {
    Flow& flow = item->second;
    if (flow.mRequestPending && aNow - flow.mRequestSince > kMaxRequestTime) {
      mAdmission.OnGone(item->first, aNow);
      SetRequestPending(flow, false, aNow);
    }
    const Milliseconds kept = flow.mClosed ? kClosedFlowRetention : idleTimeout;
    if (aNow - flow.mUsedAt > kept) {
      mRemovedFlows.Add({item->first, flow.mClosed ? RemovalReason::Closed : RemovalReason::Idle,
                         flow.mEstablished, flow.mFirstUsedAt, flow.mUsedAt, aNow});
      Close(item->first, flow, aNow);
      item = mFlows.erase(item);
    } else {
      ++item;
    }
  }
}

} // namespace dandelionslip
