// Events and decisions of a packet balancer.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "RouteKey.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Searches for one flow without an answer before packets of it are dropped in between, and the
// pause from then on: the first retransmission interval of callers.
constexpr std::uint32_t kFreeSearches = 3;
constexpr Milliseconds kSearchPause{200};

// An agent without a place in the view is kept while it reports, and this much longer, since its
// upstream may still hold flows.
constexpr Milliseconds kAgentMemory{5'000};

} // namespace

PacketBalancer::PacketBalancer(const PacketBalancerSettings& aSettings, const SegmentCodec& aCodec,
                               MetricsRegistry& aRegistry, Random aRandom)
  : mSettings(aSettings)
  , mCodec(aCodec)
  , mRandom(aRandom)
  , mForwarded(aRegistry.CounterFor("dandelionslip_packets_forwarded_total"))
  , mSearched(aRegistry.CounterFor("dandelionslip_flow_searches_total"))
  , mMalformed(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"malformed\""))
  , mNoRoute(aRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"no_route\""))
  , mNoUpstream(aRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"no_upstream\""))
  , mPlaced(aRegistry.CounterFor("dandelionslip_flows_placed_total"))
  , mFlowsFull(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"flows_full\""))
{
  for (std::size_t i = 0; i < kReturnReasons; ++i) {
    const auto reason = ToString(static_cast<ReturnReason>(i));
    mReturned[i] = &aRegistry.CounterFor("dandelionslip_packets_returned_total",
                                         "reason=\"" + std::string(reason) + "\"");
  }
}

void PacketBalancer::OnState(const Configuration& aConfiguration, const View& aView)
{
  if (aConfiguration.mRevision > mRevision) {
    mRevision = aConfiguration.mRevision;
    mDataCentres = aConfiguration.mDataCentres;
  }
  if (aConfiguration.mRoutes.mVersion > mRouteVersion) {
    mRouteVersion = aConfiguration.mRoutes.mVersion;
    mRoutes.clear();
    for (const Route& route : aConfiguration.mRoutes.mRoutes) {
      RouteEntry entry{route.mName, route.mTargets, 0};
      for (const RouteTarget& target : route.mTargets) {
        entry.mTotalWeight += target.mWeight;
      }
      mRoutes[RouteKeyOf(Endpoint::Parse(route.mAddress).value())] = std::move(entry);
    }
    LogEvent(LogLevel::Info, "routes_in_force")
      .With("version", mRouteVersion)
      .With("revision", mRevision)
      .With("routes", mRoutes.size());
  }
  if (aView.mRevision <= mViewRevision) {
    return;
  }
  mViewRevision = aView.mRevision;
  for (auto& [endpoint, agent] : mAgents) {
    agent.mInView = false;
    agent.mTakesNewWork = false;
  }
  for (const auto& [name, member] : aView.mMembers) {
    const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
    if (member.mKind != MemberKind::Agent || !HoldsFlows(member.mState) || !endpoint) {
      continue;
    }
    Agent& agent = mAgents[endpoint.value()];
    agent.mService = member.mService;
    agent.mDataCentre = member.mDataCentre;
    agent.mInView = true;
    agent.mTakesNewWork = TakesNewWork(member.mState);
  }
}

const PacketBalancer::RouteEntry* PacketBalancer::FindRoute(const FlowKey& aFlow) const
{
  const auto found = mRoutes.find(RouteKeyOf(aFlow));
  return found == mRoutes.end() ? nullptr : &found->second;
}

// The same on every balancer, so that a copy of an opening packet goes to the same service.
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

PacketBalancer::Flow& PacketBalancer::FlowOf(const FlowKey& aFlow, TimePoint aNow)
{
  Flow& flow = mFlows[aFlow];
  flow.mUsedAt = aNow;
  return flow;
}

void PacketBalancer::OnCallerPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                    TimePoint aNow)
{
  const auto segment = mCodec.DecodeFromCaller(aPacket);
  if (!segment || segment->mBounced) {
    mMalformed.Add();
    return;
  }
  if (mFlows.size() >= mSettings.mMaxFlows && !mFlows.contains(segment->mFlow)) {
    mFlowsFull.Add();
    return;
  }
  if (segment->mOpens) {
    Open(*segment, aPacket, aOutput, aNow);
    return;
  }
  if (FindRoute(segment->mFlow) == nullptr) {
    mNoRoute.Add();
    return;
  }
  Flow& flow = FlowOf(segment->mFlow, aNow);
  if (!flow.mHolder) {
    Search(*segment, flow, aPacket, std::nullopt, aOutput, aNow);
    return;
  }
  mForwarded.Add();
  aOutput.SendToNode(*flow.mHolder, {HopKind::Deliver, ReturnReason::None}, aPacket);
}

void PacketBalancer::Open(const Segment& aSegment, std::span<const std::uint8_t> aPacket,
                          PacketOutput& aOutput, TimePoint aNow)
{
  const RouteEntry* route = FindRoute(aSegment.mFlow);
  if (route == nullptr) {
    Reset(aSegment, aOutput, mNoRoute);
    return;
  }
  Flow& flow = FlowOf(aSegment.mFlow, aNow);
  if (aSegment.mCopyNumber > 0 && flow.mHolder) {
    mForwarded.Add();
    aOutput.SendToNode(*flow.mHolder, {HopKind::Deliver, ReturnReason::None}, aPacket);
    return;
  }
  flow = Flow{};
  flow.mUsedAt = aNow;
  Place(aSegment, flow, *route, aPacket, aOutput, aNow);
}

void PacketBalancer::Place(const Segment& aSegment, Flow& aFlow, const RouteEntry& aRoute,
                           std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                           TimePoint aNow)
{
  auto holder = ChooseAgent(ServiceFor(aRoute, aSegment.mFlow), aFlow, aNow);
  // Where the drawn service has no upstream left, the other services of the route may serve.
  for (auto target = aRoute.mTargets.begin(); !holder && target != aRoute.mTargets.end();
       ++target) {
    if (target->mWeight > 0) {
      holder = ChooseAgent(target->mService, aFlow, aNow);
    }
  }
  aFlow.mHolder = holder;
  if (!holder) {
    mFlows.erase(aSegment.mFlow);
    Reset(aSegment, aOutput, mNoUpstream);
    return;
  }
  mPlaced.Add();
  ++mAgents[*holder].mPlaced;
  aOutput.SendToNode(*holder, {HopKind::Deliver, ReturnReason::None}, aPacket);
}

bool PacketBalancer::MayPlace(const Endpoint& aEndpoint, const Agent& aAgent,
                              const Flow& aFlow) const
{
  const auto dataCentre = mDataCentres.find(aAgent.mDataCentre);
  if (dataCentre != mDataCentres.end() && dataCentre->second.mOut) {
    return false;
  }
  return std::find(aFlow.mTried.begin(), aFlow.mTried.end(), aEndpoint) == aFlow.mTried.end();
}

std::optional<Endpoint> PacketBalancer::ChooseAgent(const std::string& aService, const Flow& aFlow,
                                                    TimePoint aNow)
{
  static const LoadReport kUnreported;
  std::vector<PlacementCandidate> candidates;
  std::vector<Endpoint> endpoints;
  for (const auto& [endpoint, agent] : mAgents) {
    const bool accepts = agent.mReportedAt ? agent.mReport.mAccepts && aNow - *agent.mReportedAt <=
                                                                         mSettings.mReportLifetime
                                           : agent.mTakesNewWork;
    if (agent.mService != aService || !accepts || !MayPlace(endpoint, agent, aFlow)) {
      continue;
    }
    candidates.push_back(
      {endpoints.size(), agent.mReportedAt ? &agent.mReport : &kUnreported, agent.mPlaced});
    endpoints.push_back(endpoint);
  }
  const auto chosen = ChoosePlacement(candidates, mRandom);
  return chosen ? std::optional(endpoints[*chosen]) : std::nullopt;
}

// Asks the agents that may hold the flow: first those of the route's services, later all, since a
// route may have led elsewhere when the flow was opened.
void PacketBalancer::Search(const Segment& aSegment, Flow& aFlow,
                            std::span<const std::uint8_t> aPacket,
                            const std::optional<Endpoint>& aExcept, PacketOutput& aOutput,
                            TimePoint aNow)
{
  const RouteEntry* route = FindRoute(aSegment.mFlow);
  if (route == nullptr ||
      (aFlow.mSearches >= kFreeSearches && aNow - aFlow.mSearchedAt < kSearchPause)) {
    return;
  }
  const bool everywhere = aFlow.mSearches > 0;
  ++aFlow.mSearches;
  aFlow.mSearchedAt = aNow;
  mSearched.Add();
  for (const auto& [endpoint, agent] : mAgents) {
    const bool onRoute =
      std::any_of(route->mTargets.begin(), route->mTargets.end(),
                  [&](const auto& aTarget) { return aTarget.mService == agent.mService; });
    if ((onRoute || everywhere) && endpoint != aExcept) {
      aOutput.SendToNode(endpoint, {HopKind::DeliverIfHeld, ReturnReason::None}, aPacket);
    }
  }
}

void PacketBalancer::OnNodePacket(const Endpoint& aFrom, const HopHeader& aHeader,
                                  std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  if (aHeader.mKind == HopKind::Load) {
    OnLoad(aFrom, aPacket, aNow);
  } else if (aHeader.mKind == HopKind::Returned) {
    OnReturned(aFrom, aHeader.mReason, aPacket, aOutput, aNow);
  } else if (aHeader.mKind == HopKind::Held) {
    if (const auto segment = mCodec.DecodeFromCaller(aPacket)) {
      Flow& flow = FlowOf(segment->mFlow, aNow);
      flow.mHolder = aFrom;
      flow.mSearches = 0;
    }
  } else {
    mMalformed.Add();
  }
}

void PacketBalancer::OnReturned(const Endpoint& aFrom, ReturnReason aReason,
                                std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                TimePoint aNow)
{
  const auto segment = mCodec.DecodeFromCaller(aPacket);
  if (!segment) {
    mMalformed.Add();
    return;
  }
  mReturned[static_cast<std::size_t>(aReason)]->Add();
  Flow& flow = FlowOf(segment->mFlow, aNow);
  if (flow.mHolder && *flow.mHolder != aFrom) {
    // The flow was found or placed elsewhere meanwhile.
    aOutput.SendToNode(*flow.mHolder, {HopKind::Deliver, ReturnReason::None}, aPacket);
    return;
  }
  flow.mHolder.reset();
  if (!segment->mOpens) {
    Search(*segment, flow, aPacket, aFrom, aOutput, aNow);
    return;
  }
  flow.mTried.push_back(aFrom);
  const RouteEntry* route = FindRoute(segment->mFlow);
  if (route == nullptr) {
    Reset(*segment, aOutput, mNoRoute);
    return;
  }
  Place(*segment, flow, *route, aPacket, aOutput, aNow);
}

void PacketBalancer::OnLoad(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                            TimePoint aNow)
{
  auto report = FromCbor<LoadReport>(aBytes, "load report");
  if (!report) {
    mMalformed.Add();
    return;
  }
  Agent& agent = mAgents[aFrom];
  agent.mService = report.value().mService;
  agent.mDataCentre = report.value().mDataCentre;
  agent.mReport = std::move(report.value());
  agent.mReportedAt = aNow;
  agent.mPlaced = 0;
}

void PacketBalancer::Reset(const Segment& aSegment, PacketOutput& aOutput, Counter& aCounter)
{
  aCounter.Add();
  aOutput.SendToCaller(aSegment.mFlow, mCodec.EncodeReset(aSegment.mFlow, aSegment.mAcknowledged));
}

void PacketBalancer::OnTick(TimePoint aNow)
{
  std::erase_if(
    mFlows, [&](const auto& aItem) { return aNow - aItem.second.mUsedAt > mSettings.mFlowMemory; });
  std::erase_if(mAgents, [&](const auto& aItem) {
    const Agent& agent = aItem.second;
    return !agent.mInView && (!agent.mReportedAt || aNow - *agent.mReportedAt > kAgentMemory);
  });
}

} // namespace dandelionslip
