// Event handling and placement of flows at a packet balancer.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "RouteKey.h"
#include "SequenceWindow.h"

#include "dandelionslip/Packet/FlowDirectory.h"
#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Hash.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace dandelionslip {

namespace {

// An agent that is not in the view is removed when it has not reported, and no other agent has
// reported that it holds flows, for this long. Until then its upstream may hold flows.
constexpr Milliseconds kAgentRetention{10'000};

// Other agents may name an agent that has finished until its registrations have expired; its last
// ones may be a second old.
constexpr Milliseconds kFinishedRetention = FlowDirectory::kLifetime + Milliseconds{10'000};

// Earlier views that agents may still have. Nodes get views within 500 ms; after a start of all
// nodes some ten follow each other in that time.
constexpr std::size_t kEarlierDirectories = 12;

// Limit of flow probes in searches among all agents. At 1,200 bytes each, they take a quarter of
// the smallest link, 1.9 Mbit/s.
constexpr std::uint32_t kProbesPerSecond = 50;

// Limit of packets of open flows that are kept until the balancer is ready. At 1,200 bytes each,
// they take 0.3 MB.
constexpr std::size_t kMaxEarlyPackets = 256;

// Shortest interval between checks for openings that waited too long when load reports arrive. They
// are also checked every second.
constexpr Milliseconds kExpiryInterval{50};

// An opening waits at most this part of its route's timeout: requests that start later rarely end
// in time.
constexpr double kMaxWaitFraction = 0.8;

Milliseconds MaxWait(Milliseconds aTimeout, const PacketBalancerSettings& aSettings)
{
  const auto wait = std::chrono::duration_cast<Milliseconds>(aTimeout * kMaxWaitFraction);
  return std::min(aSettings.mMaxPacketWait, wait);
}

} // namespace

PacketBalancer::PacketBalancer(const PacketBalancerSettings& aSettings, const PacketCodec& aCodec,
                               MetricsRegistry& aRegistry, Random aRandom, TimePoint aNow)
  : mSettings(aSettings)
  , mCodec(aCodec)
  , mRandom(aRandom)
  , mSelector(aRandom)
  , mSearchBudget(aSettings.mCapacity, aNow)
  // Start at another number in each process: answers to an earlier one must not count here.
  , mNextNumber(static_cast<std::uint32_t>(aNow.time_since_epoch().count()))
  , mWaitSeconds(aRegistry.SummaryFor("dandelionslip_opening_wait_seconds"))
  , mForwarded(aRegistry.CounterFor("dandelionslip_packets_forwarded_total"))
  , mSearched(aRegistry.CounterFor("dandelionslip_flow_searches_total"))
  , mMalformed(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"malformed\""))
  , mNoRoute(aRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"no_route\""))
  , mNoUpstream(aRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"no_upstream\""))
  , mNotFound(aRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"not_found\""))
  , mResetByDirectory(
      aRegistry.CounterFor("dandelionslip_flows_reset_total", "reason=\"not_registered\""))
  , mResetByDenials(aRegistry.CounterFor("dandelionslip_flows_reset_total", "reason=\"denied\""))
  , mNoRoom(aRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"no_room\""))
  , mOffered(aRegistry.CounterFor("dandelionslip_openings_offered_total"))
  , mPlaced(aRegistry.CounterFor("dandelionslip_flows_placed_total"))
  , mFlowsFull(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"flows_full\""))
  , mWaited(aRegistry.CounterFor("dandelionslip_openings_waited_total"))
  , mWaitExpired(aRegistry.CounterFor("dandelionslip_openings_waited_in_vain_total"))
{
  for (std::size_t i = 0; i < kRefusalDropReasons; ++i) {
    const auto reason = ToText(static_cast<RefusalDropReason>(i));
    mRefusalsDropped[i] = &aRegistry.CounterFor("dandelionslip_refusals_dropped_total",
                                                "reason=\"" + std::string(reason) + "\"");
  }
  for (std::size_t i = 0; i < kReturnReasons; ++i) {
    const auto reason = ToString(static_cast<ReturnReason>(i));
    mReturned[i] = &aRegistry.CounterFor("dandelionslip_packets_returned_total",
                                         "reason=\"" + std::string(reason) + "\"");
  }
}

void PacketBalancer::OnState(const Configuration& aConfiguration, const View& aView,
                             PacketOutput& aOutput, TimePoint aNow, TimePoint aLeaseEnd)
{
  mLeaseEnd = aLeaseEnd;
  if (aConfiguration.mRevision > mConfigurationRevision) {
    mConfigurationRevision = aConfiguration.mRevision;
    mDataCentres = aConfiguration.mDataCentres;
  }
  mTickedAt = mTickedAt.value_or(aNow);
  const bool newRoutes = aConfiguration.mRoutes.mVersion > mRouteVersion;
  const bool hadAgents = !mAgents.empty();
  if (newRoutes) {
    mRouteVersion = aConfiguration.mRoutes.mVersion;
    mRoutes.clear();
    for (const Route& route : aConfiguration.mRoutes.mRoutes) {
      const auto key = RouteKeyOf(Endpoint::Parse(route.mAddress).value());
      if (!key) {
        continue;
      }
      RouteEntry entry{route.mName,
                       route.mTargets,
                       0,
                       route.mPriority,
                       MaxWait(route.mTimeout, mSettings),
                       route.mTimeout,
                       {}};
      for (const RouteTarget& target : route.mTargets) {
        entry.mTotalWeight += target.mWeight;
      }
      entry.mTerm = TermFor(*key);
      mRoutes[*key] = std::move(entry);
    }
    LogEvent(LogLevel::Info, "routes_in_force")
      .With("version", mRouteVersion)
      .With("revision", mConfigurationRevision)
      .With("routes", mRoutes.size());
  }
  if (aView.mRevision > mViewRevision) {
    mViewRevision = aView.mRevision;
    mViewAppliedAt = aNow;
    ApplyView(aView, aNow);
  }
  if (mRouteVersion != 0 && (newRoutes || !hadAgents)) {
    PlaceWaitingOpenings(
      mWaiting.Size(), [](const WaitingOpening&) { return true; }, aOutput, aNow);
  }
  if (Ready() && !mEarlyPackets.empty()) {
    ForwardEarlyPackets(aOutput, aNow);
  }
}

void PacketBalancer::ApplyView(const View& aView, TimePoint aNow)
{
  mServiceAgents.clear();
  for (auto& [endpoint, agent] : mAgents) {
    agent.mInView = false;
    agent.mTakesNewWork = false;
  }
  mBalancers = static_cast<std::size_t>(
    std::count_if(aView.mMembers.begin(), aView.mMembers.end(), [](const auto& aItem) {
      return aItem.second.mKind == MemberKind::Balancer && HoldsFlows(aItem.second.mState);
    }));
  // The endpoint of a lost agent may meanwhile belong to a live one, which must be applied last.
  for (const bool lost : {true, false}) {
    for (const auto& [name, member] : aView.mMembers) {
      if (member.mKind == MemberKind::Agent && member.mState != MemberState::Left &&
          (member.mState == MemberState::Lost) == lost) {
        ApplyAgent(member, aNow);
      }
    }
  }
  if (DirectoryAgents before = mDirectoryAgents; mDirectoryAgents.Update(aView)) {
    mEarlierDirectoryAgents.push_back(std::move(before));
    if (mEarlierDirectoryAgents.size() > kEarlierDirectories) {
      mEarlierDirectoryAgents.pop_front();
    }
  }
  if (!mFirstAgentAt && !mAgents.empty()) {
    mFirstAgentAt = aNow;
  }
}

void PacketBalancer::ApplyAgent(const Member& aMember, TimePoint aNow)
{
  const auto endpoint = Endpoint::Parse(aMember.mDatagramEndpoint);
  if (!endpoint) {
    LogEvent(LogLevel::Warning, "member_ignored")
      .With("member", aMember.mName)
      .With(endpoint.error());
    return;
  }
  Agent& agent = mAgents[endpoint.value()];
  agent.mService = aMember.mService;
  agent.mEndpointHash = HashOf(endpoint.value());
  agent.mDataCentre = aMember.mDataCentre;
  if (aMember.mState == MemberState::Lost) {
    agent.mLostAt = agent.mLostAt.value_or(aNow);
    return;
  }
  if (aMember.mState != MemberState::Draining) {
    // The view may still show the last state before the agent finished, which is Draining.
    mFinishedAgents.erase(endpoint.value());
  }
  agent.mLostAt.reset();
  agent.mInView = true;
  agent.mTakesNewWork = TakesNewWork(aMember.mState);
}

const PacketBalancer::RouteEntry* PacketBalancer::FindRoute(const FlowKey& aFlow) const
{
  const auto found = mRoutes.find(RouteKeyOf(aFlow));
  return found == mRoutes.end() ? nullptr : &found->second;
}

// Chooses a target of the route by weight. The choice depends only on the flow and the route, so
// that every balancer sends a retransmitted opening packet to the same service.
const std::string& PacketBalancer::ServiceFor(const RouteEntry& aRoute, const FlowKey& aFlow) const
{
  std::uint64_t point = HashOf(aFlow) % aRoute.mTotalWeight;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (point < target.mWeight) {
      return target.mService;
    }
    point -= target.mWeight;
  }
  return aRoute.mTargets.back().mService;
}

PacketBalancer::Flow& PacketBalancer::FindOrAddFlow(const FlowKey& aFlow, TimePoint aNow)
{
  const auto [item, isNew] = mFlows.try_emplace(aFlow);
  Flow& flow = item->second;
  if (isNew) {
    flow.mFirstUsedAt = aNow;
  }
  flow.mUsedAt = aNow;
  return flow;
}

void PacketBalancer::OnCallerPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                    TimePoint aNow)
{
  const auto packetHeader = mCodec.DecodeFromCaller(aPacket);
  if (!packetHeader || packetHeader->mBounced) {
    mMalformed.Add();
    return;
  }
  if (mFlows.size() >= mSettings.mMaxFlows && !mFlows.contains(packetHeader->mFlow)) {
    mFlowsFull.Add();
    return;
  }
  // The caller goes on; answers that are still awaited may be older than the flow.
  mPendingRefusals.erase(packetHeader->mFlow);
  if (packetHeader->mOpens) {
    OnOpening(*packetHeader, aPacket, aOutput, aNow);
    return;
  }
  // The caller sends further packets only on a flow that an upstream has accepted.
  mWaiting.Remove(packetHeader->mFlow);
  if (!Ready()) {
    if (mEarlyPackets.size() < kMaxEarlyPackets) {
      mEarlyPackets.push_back({{aPacket.begin(), aPacket.end()}, aNow});
    }
    return;
  }
  if (FindRoute(packetHeader->mFlow) == nullptr) {
    mNoRoute.Add();
    return;
  }
  Flow& flow = FindOrAddFlow(packetHeader->mFlow, aNow);
  if (!IsOfHeldFlow(flow, *packetHeader)) {
    SearchHolder(*packetHeader, flow, aPacket, aOutput, aNow);
    return;
  }
  flow.mSequence = packetHeader->mSequence;
  mForwarded.Add();
  aOutput.SendToNode(*flow.mHolder, {NodeMessageType::Deliver, ReturnReason::None}, aPacket);
}

// Handles the packets of open flows that came before the balancer was ready, because callers may
// wait up to 1.6 s before they retransmit. Packets that are too old are dropped.
void PacketBalancer::ForwardEarlyPackets(PacketOutput& aOutput, TimePoint aNow)
{
  for (EarlyPacket& early : std::exchange(mEarlyPackets, {})) {
    if (aNow - early.mArrivedAt <= mSettings.mMaxPacketWait) {
      OnCallerPacket(early.mPacket, aOutput, aNow);
    }
  }
}

void PacketBalancer::OnOpening(const PacketHeader& aPacketHeader,
                               std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                               TimePoint aNow)
{
  if (mRouteVersion == 0) {
    RouteEntry unknown;
    unknown.mMaxWait = mSettings.mMaxPacketWait;
    EnqueueOpening(aPacketHeader, unknown, mRetriedArrival.value_or(aNow), aPacket);
    return;
  }
  const RouteEntry* route = FindRoute(aPacketHeader.mFlow);
  if (route == nullptr) {
    RefuseOpening(aPacketHeader, {}, mNoRoute, aOutput, mRetriedArrival.value_or(aNow), aNow);
    return;
  }
  if (mWaiting.Contains(aPacketHeader.mFlow)) {
    return;
  }
  Flow& flow = FindOrAddFlow(aPacketHeader.mFlow, aNow);
  if (aPacketHeader.mRetransmission > 0 && IsOfHeldFlow(flow, aPacketHeader)) {
    mForwarded.Add();
    aOutput.SendToNode(*flow.mHolder, {NodeMessageType::Deliver, ReturnReason::None}, aPacket);
    return;
  }
  flow = Flow{};
  flow.mFirstUsedAt = flow.mUsedAt = aNow;
  PlaceFlow(aPacketHeader, flow, *route, aPacket, aOutput, aNow);
}

void PacketBalancer::PlaceFlow(const PacketHeader& aPacketHeader, Flow& aFlow,
                               const RouteEntry& aRoute, std::span<const std::uint8_t> aPacket,
                               PacketOutput& aOutput, TimePoint aNow)
{
  const std::string& service = ServiceFor(aRoute, aPacketHeader.mFlow);
  auto choice = Choose(aRoute, service, aPacketHeader.mFlow, aFlow, aNow);
  // If the chosen service has no upstream for the flow, try the other targets of the route.
  for (auto target = aRoute.mTargets.begin(); !choice && target != aRoute.mTargets.end();
       ++target) {
    if (target->mWeight > 0) {
      choice = Choose(aRoute, target->mService, aPacketHeader.mFlow, aFlow, aNow);
    }
  }
  aFlow.mSequence = aPacketHeader.mSequence;
  if (!choice) {
    const TimePoint arrivedAt = mRetriedArrival.value_or(aFlow.mFirstUsedAt);
    const bool offers = UsesOffers(aRoute, service);
    const bool waits = offers ? WillHaveRoomInTime(aRoute, aFlow, arrivedAt, aNow)
                              : MayAcceptSoon(aRoute, aFlow, aNow);
    Counter& refused = aFlow.mOffers > 0 ? mNoRoom : mNoUpstream;
    if (aFlow.mOffers > 0) {
      mSaturatedAt[service] = aNow;
    }
    const auto returnedBy = std::move(aFlow.mOpeningReturnedBy);
    mFlows.erase(aPacketHeader.mFlow);
    if (waits) {
      EnqueueOpening(aPacketHeader, aRoute, offers ? arrivedAt : mRetriedArrival.value_or(aNow),
                     aPacket);
    } else {
      RefuseOpening(aPacketHeader, returnedBy, refused, aOutput, arrivedAt, aNow);
    }
    return;
  }
  aFlow.mHolder = choice->mAgent;
  if (choice->mType != NodeMessageType::Deliver) {
    mOffered.Add();
    ++aFlow.mOffers;
    mAcceptedRates[mAgents[choice->mAgent].mService].OnOffered(aNow);
  }
  mPlaced.Add();
  LogPlacement(aPacketHeader, *choice, aFlow.mOffers, aNow);
  ++mAgents[choice->mAgent].mPlacedSinceReport;
  aOutput.SendToNode(choice->mAgent, {choice->mType, ReturnReason::None}, aPacket);
}

std::optional<PacketBalancer::PlacementChoice> PacketBalancer::Choose(const RouteEntry& aRoute,
                                                                      const std::string& aService,
                                                                      const FlowKey& aKey,
                                                                      const Flow& aFlow,
                                                                      TimePoint aNow)
{
  if (mGrantedBy) {
    return PlacementChoice{*mGrantedBy};
  }
  if (UsesOffers(aRoute, aService)) {
    return ChooseOffer(aRoute, aService, aFlow, aNow);
  }
  const auto agent = ChooseAgent(aService, aKey, aFlow, aNow);
  return agent ? std::optional(PlacementChoice{*agent}) : std::nullopt;
}

void PacketBalancer::LogPlacement(const PacketHeader& aPacketHeader, const PlacementChoice& aChoice,
                                  std::uint32_t aOffers, TimePoint aNow)
{
  const Agent& agent = mAgents[aChoice.mAgent];
  const auto age = agent.mReportedAt
                     ? std::chrono::duration_cast<Milliseconds>(aNow - *agent.mReportedAt).count()
                     : -1;
  LogEvent(LogLevel::Info, "flow_placed")
    .With("flow", ToString(aPacketHeader.mFlow))
    .With("copy", aPacketHeader.mRetransmission)
    .With("service", agent.mService)
    .With("agent", aChoice.mAgent.ToString())
    .With("offers", aOffers)
    .With("report_age_ms", age)
    .With("flows", agent.mReport.mFlows + agent.mPlacedSinceReport)
    .With("requests", agent.mReport.mRequests)
    .With("cold", agent.mReport.mCold ? "true" : "false")
    .With("routes", mRouteVersion)
    .With("view", mViewRevision);
}

bool PacketBalancer::RouteEntry::HasTarget(const std::string& aService) const
{
  return std::any_of(mTargets.begin(), mTargets.end(), [&](const RouteTarget& aTarget) {
    return aTarget.mWeight > 0 && aTarget.mService == aService;
  });
}

bool PacketBalancer::IsEligible(const Endpoint& aEndpoint, const Agent& aAgent,
                                const Flow& aFlow) const
{
  const auto dataCentre = mDataCentres.find(aAgent.mDataCentre);
  if (dataCentre != mDataCentres.end() && dataCentre->second.mOutOfService) {
    return false;
  }
  return !IsDeniedBy(aFlow.mOpeningReturnedBy, aEndpoint);
}

bool PacketBalancer::AcceptsNow(const Endpoint& aEndpoint, const Agent& aAgent, const Flow& aFlow,
                                TimePoint aNow) const
{
  if (!IsEligible(aEndpoint, aAgent, aFlow)) {
    return false;
  }
  if (!aAgent.mReportedAt) {
    return aAgent.mTakesNewWork;
  }
  const bool fresh = aNow - *aAgent.mReportedAt <= mSettings.mReportLifetime;
  const bool coldAndFull = aAgent.mReport.mCold && ColdOpeningsLeft(aAgent) == 0;
  return fresh && aAgent.mReport.mAccepts && !coldAndFull;
}

std::vector<Endpoint> PacketBalancer::PreferredAgentsFor(const std::string& aService,
                                                         const FlowKey& aKey) const
{
  const std::uint64_t hash = HashOf(aKey);
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  for (const auto& [endpoint, agent] : mAgents) {
    if (agent.mService == aService) {
      ranked.emplace_back(CombineHash(hash, agent.mEndpointHash), endpoint);
    }
  }
  const std::size_t count = std::min(ranked.size(), kPreferredAgents);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<Endpoint> preferred;
  for (std::size_t i = 0; i < count; ++i) {
    preferred.push_back(ranked[i].second);
  }
  return preferred;
}

std::optional<Endpoint> PacketBalancer::ChooseAmong(std::span<const Endpoint> aAgents,
                                                    const Flow& aFlow, TimePoint aNow)
{
  static const LoadReport kUnreported;
  std::vector<PlacementCandidate> candidates;
  for (std::size_t i = 0; i < aAgents.size(); ++i) {
    const Agent& agent = mAgents.at(aAgents[i]);
    if (AcceptsNow(aAgents[i], agent, aFlow, aNow)) {
      candidates.push_back(
        {i, agent.mReportedAt ? &agent.mReport : &kUnreported, agent.mPlacedSinceReport});
    }
  }
  const auto chosen = ChoosePlacement(candidates, mRandom);
  return chosen ? std::optional(aAgents[*chosen]) : std::nullopt;
}

std::optional<Endpoint> PacketBalancer::ChooseAgent(const std::string& aService,
                                                    const FlowKey& aKey, const Flow& aFlow,
                                                    TimePoint aNow)
{
  if (const auto chosen = ChooseAmong(PreferredAgentsFor(aService, aKey), aFlow, aNow)) {
    return chosen;
  }
  std::vector<Endpoint> all;
  for (const auto& [endpoint, agent] : mAgents) {
    if (agent.mService == aService) {
      all.push_back(endpoint);
    }
  }
  return ChooseAmong(all, aFlow, aNow);
}

void PacketBalancer::OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                                  std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  switch (aHeader.mType) {
    case NodeMessageType::LoadReport:
      OnLoadReport(aFrom, aPacket, aOutput, aNow);
      return;
    case NodeMessageType::Returned:
      OnReturned(aFrom, aHeader.mReason, aPacket, aOutput, aNow);
      return;
    case NodeMessageType::HolderFound:
    case NodeMessageType::NotFound:
    case NodeMessageType::NotRegistered:
    case NodeMessageType::ProbeNeeded:
      OnFlowMessage(aFrom, aHeader.mType, aPacket, aOutput, aNow);
      return;
    default:
      mMalformed.Add();
  }
}

void PacketBalancer::OnReturned(const Endpoint& aFrom, ReturnReason aReason,
                                std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                TimePoint aNow)
{
  const auto packetHeader = mCodec.DecodeFromCaller(aPacket);
  if (!packetHeader) {
    mMalformed.Add();
    return;
  }
  mReturned[static_cast<std::size_t>(aReason)]->Add();
  LogEvent(LogLevel::Info, "flow_returned")
    .With("flow", ToString(packetHeader->mFlow))
    .With("agent", aFrom.ToString())
    .With("reason", ToString(aReason));
  if (packetHeader->mOpens) {
    OnOpeningReturned(aFrom, aReason, *packetHeader, aPacket, aOutput, aNow);
    return;
  }
  Flow& flow = FindOrAddFlow(packetHeader->mFlow, aNow);
  if (IsOfHeldFlow(flow, *packetHeader)) {
    if (*flow.mHolder != aFrom) {
      // The flow was found at another agent in the meantime.
      aOutput.SendToNode(*flow.mHolder, {NodeMessageType::Deliver, ReturnReason::None}, aPacket);
      return;
    }
    flow.mHolder.reset();
  }
  SearchAfterReturn(*packetHeader, flow, {aFrom, NodeMessageType::Returned, aReason, false, aNow},
                    aPacket, aOutput, aNow);
}

void PacketBalancer::OnOpeningReturned(const Endpoint& aFrom, ReturnReason aReason,
                                       const PacketHeader& aPacketHeader,
                                       std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                       TimePoint aNow)
{
  if (aReason == ReturnReason::Cold) {
    // The upstream has reached its limit of new flows; the next report allows more.
    mAgents[aFrom].mReport.mOpeningsAllowed = 0;
  }
  const auto found = mFlows.find(aPacketHeader.mFlow);
  if (found == mFlows.end() || found->second.mHolder != aFrom ||
      !IsOfHeldFlow(found->second, aPacketHeader) ||
      aNow - found->second.mFirstUsedAt > mSettings.mMaxPacketWait) {
    // The flow is placed or open elsewhere, an earlier process placed it, its caller has given up,
    // or the port has another flow.
    return;
  }
  Flow& flow = found->second;
  flow.mUsedAt = aNow;
  flow.mHolder.reset();
  if (flow.mOffers > 0) {
    mAcceptedRates[mAgents[aFrom].mService].OnReturned(aNow);
  }
  if (aReason != ReturnReason::Cold) {
    flow.mOpeningReturnedBy.push_back({aFrom, NodeMessageType::Returned, aReason, true, aNow});
  }
  const RouteEntry* route = FindRoute(aPacketHeader.mFlow);
  if (route == nullptr) {
    RefuseOpening(aPacketHeader, flow.mOpeningReturnedBy, mNoRoute, aOutput, flow.mFirstUsedAt,
                  aNow);
    return;
  }
  PlaceFlow(aPacketHeader, flow, *route, aPacket, aOutput, aNow);
}

void PacketBalancer::OnLoadReport(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                                  PacketOutput& aOutput, TimePoint aNow)
{
  auto report = LoadReport::Decode(aBytes);
  if (!report) {
    mMalformed.Add();
    return;
  }
  if (report.value().mFinished) {
    mServiceAgents.clear();
    mAgents.erase(aFrom);
    mFinishedAgents[aFrom] = aNow;
    return;
  }
  mFinishedAgents.erase(aFrom);
  AddUnseenHolders(report.value().mUnseenHolders, aNow);
  Agent& agent = mAgents[aFrom];
  if (agent.mService != report.value().mService) {
    mServiceAgents.clear();
  }
  agent.mEndpointHash = HashOf(aFrom);
  agent.mService = report.value().mService;
  agent.mDataCentre = report.value().mDataCentre;
  agent.mReport = std::move(report.value());
  agent.mReportedAt = aNow;
  agent.mPlacedSinceReport = 0;
  NoteDetails(aFrom, agent, aOutput, aNow);
  PlaceWaitingForServiceOf(aFrom, agent, aOutput, aNow);
  ContinueAwaitingSearches(aOutput, aNow);
  ContinueSearchesAwaitingAgents(aOutput, aNow);
  if (aNow - mExpiryCheckedAt >= kExpiryInterval) {
    ResetExpiredOpenings(aOutput, aNow);
  }
}

// Agents that are missing from the reporting agent's view, and perhaps from this balancer's, get no
// new flows before they report, but are queried in searches.
void PacketBalancer::AddUnseenHolders(std::span<const Endpoint> aHolders, TimePoint aNow)
{
  for (const Endpoint& holder : aHolders) {
    if (mFinishedAgents.contains(holder)) {
      continue;
    }
    mServiceAgents.clear();
    Agent& agent = mAgents[holder];
    agent.mEndpointHash = HashOf(holder);
    agent.mNamedAt = aNow;
  }
}

void PacketBalancer::OnTick(PacketOutput& aOutput, TimePoint aNow)
{
  NoteTick(aNow);
  mProbesLeft = kProbesPerSecond;
  ResetExpiredOpenings(aOutput, aNow);
  ContinueAwaitingSearches(aOutput, aNow);
  ContinueSearchesAwaitingAgents(aOutput, aNow);
  std::erase_if(mAwaitingAgents, [&](const FlowKey& aKey) {
    const auto found = mFlows.find(aKey);
    return found == mFlows.end() || !IsSearching(found->second, aNow);
  });
  std::erase_if(mFlows, [&](const auto& aItem) {
    return aNow - aItem.second.mUsedAt > mSettings.mFlowRetention;
  });
  std::erase_if(mFinishedAgents,
                [&](const auto& aItem) { return aNow - aItem.second > kFinishedRetention; });
  mServiceAgents.clear();
  std::erase_if(mAgents, [&](const auto& aItem) {
    const Agent& agent = aItem.second;
    const bool mayHoldFlows = agent.mLostAt && aNow - *agent.mLostAt <= mSettings.mMaxFlowAge;
    const auto isOld = [&](const std::optional<TimePoint>& aTime) {
      return !aTime || aNow - *aTime > kAgentRetention;
    };
    return !agent.mInView && !mayHoldFlows && isOld(agent.mReportedAt) && isOld(agent.mNamedAt);
  });
}

} // namespace dandelionslip
