// Openings that a balancer offers to agents, which may return them.
#include "RouteKey.h"
#include "dandelionslip/Packet/EjectionPolicy.h"
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Offers that an agent may return for any wait; the next one is the last. Of upstreams that are
// busy with probability p, a request waits at one with probability p^3.
constexpr std::uint32_t kFirstOffers = 2;

// Part of a service's agents that must have seen short flows. Agents that have just started have
// not, and those of services with long flows never do.
constexpr std::size_t kShortFlowShare = 4;

// How long the verdict of an agent's earlier process counts.
constexpr Milliseconds kVerdictLifetime{5'000};

// Shortest interval between two ReportFormat messages to an agent.
constexpr Milliseconds kStateFormatInterval{1'000};

// A service counts as saturated for this long after the offers of an opening were returned as busy:
// one interval of load reports.
constexpr Milliseconds kSaturationTime{200};

constexpr double kMilli = 1000.0;

// Factor on the weight of a cold upstream.
constexpr double kColdWeight = 0.5;

// Greatest speed that counts, in terms of the service's median. Upstreams of one service were seen
// to differ by a factor of 2.2. One that answers errors at once from its start seems many times as
// fast, and its agent has no usual answers to compare them with.
constexpr double kMaxSpeedFactor = 2.5;

// kDefaultSlotSpeed if no speed is known.
double MedianSlotSpeed(std::span<const PlacementCandidate> aCandidates)
{
  std::vector<double> speeds;
  for (const PlacementCandidate& candidate : aCandidates) {
    if (candidate.mReport->mMilliRequestsPerSlotSecond > 0) {
      speeds.push_back(candidate.mReport->mMilliRequestsPerSlotSecond / kMilli);
    }
  }
  if (speeds.empty()) {
    return kDefaultSlotSpeed;
  }
  const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>((speeds.size() - 1) / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return *middle;
}

} // namespace

void PacketBalancer::OnRouteTerms(const RouteTerms& aTerms)
{
  mRouteTerms.clear();
  for (const RouteTerm& term : aTerms.mTerms) {
    const auto address = Endpoint::Parse(term.mAddress);
    if (const auto key = address ? RouteKeyOf(address.value()) : std::nullopt) {
      mRouteTerms[*key] = term;
    }
  }
  mTermsVersion = aTerms.mVersion;
  for (auto& [key, route] : mRoutes) {
    route.mTerm = TermFor(key);
  }
}

// The address may have been that of another route in the table of earlier terms. Its goal is then
// of little harm, but unsafe requests must not become trial flows.
RouteTerm PacketBalancer::TermFor(std::uint64_t aRouteKey) const
{
  const auto found = mRouteTerms.find(aRouteKey);
  if (found == mRouteTerms.end()) {
    return {};
  }
  RouteTerm term = found->second;
  term.mRepeatable = term.mRepeatable && mTermsVersion >= mRouteVersion;
  return term;
}

const PacketBalancer::ServiceAgents& PacketBalancer::AgentsOf(const std::string& aService)
{
  if (mServiceAgents.empty()) {
    for (auto& [endpoint, agent] : mAgents) {
      mServiceAgents[agent.mService].emplace_back(endpoint, &agent);
    }
  }
  return mServiceAgents[aService];
}

bool PacketBalancer::IsOfShortFlows(const std::string& aService)
{
  std::size_t known = 0;
  std::size_t shortFlows = 0;
  for (const auto& [endpoint, agent] : AgentsOf(aService)) {
    known += agent->mDetails ? 1 : 0;
    shortFlows += agent->mDetails && agent->mDetails->mOneRequestPerFlow ? 1 : 0;
  }
  return shortFlows > 0 && shortFlows * kShortFlowShare >= known;
}

bool PacketBalancer::UsesOffers(const RouteEntry& aRoute, const std::string& aService)
{
  return aRoute.mTerm.mGoal.count() > 0 && IsOfShortFlows(aService);
}

// The verdict of an agent's earlier process stays, for as long as the same upstream runs, until the
// new process has a verdict of its own. Before its first heartbeat, that process does not know the
// upstream's start.
bool PacketBalancer::KeepsVerdict(const Agent& aAgent, const LoadDetails& aDetails, TimePoint aNow)
{
  return aAgent.mDetails && aAgent.mDetails->mVerdict == UpstreamVerdict::Failing &&
         aDetails.mVerdict == UpstreamVerdict::Healthy && aDetails.mVerdictAge.count() == 0 &&
         (aDetails.mUpstreamStartedMs == 0 ||
          aDetails.mUpstreamStartedMs == aAgent.mDetails->mUpstreamStartedMs) &&
         aNow - aAgent.mDetailsAt <= kVerdictLifetime;
}

void PacketBalancer::NoteDetails(const Endpoint& aEndpoint, Agent& aAgent, PacketOutput& aOutput,
                                 TimePoint aNow)
{
  if (aAgent.mReport.mDetails) {
    LoadDetails& details = *aAgent.mReport.mDetails;
    if (KeepsVerdict(aAgent, details, aNow)) {
      details.mVerdict = aAgent.mDetails->mVerdict;
      details.mVerdictAge = aAgent.mDetails->mVerdictAge;
      details.mAdmittedPermille = aAgent.mDetails->mAdmittedPermille;
      details.mUpstreamStartedMs = aAgent.mDetails->mUpstreamStartedMs;
    } else {
      aAgent.mDetailsAt = aNow;
    }
    aAgent.mDetails = details;
    return;
  }
  if (mRouteTerms.empty() ||
      (aAgent.mFormatStatedAt && aNow - *aAgent.mFormatStatedAt < kStateFormatInterval)) {
    return;
  }
  aAgent.mFormatStatedAt = aNow;
  const std::array<std::uint8_t, 1> format{LoadReport::kFormatWithDetails};
  aOutput.SendToNode(aEndpoint, {NodeMessageType::ReportFormat, ReturnReason::None}, format);
}

std::optional<PacketBalancer::PlacementChoice> PacketBalancer::ChooseOffer(
  const RouteEntry& aRoute, const std::string& aService, const Flow& aFlow, TimePoint aNow)
{
  const bool saturated = IsSaturated(aService, aNow);
  if (aFlow.mOffers > (saturated ? 0 : kFirstOffers)) {
    return std::nullopt;
  }
  static const LoadReport kUnreported;
  const ServiceAgents& agents = AgentsOf(aService);
  std::vector<EjectionCandidate> ejectionCandidates;
  std::vector<PlacementCandidate> placementCandidates;
  for (const auto& [endpoint, agent] : agents) {
    const bool failing = agent->mDetails && agent->mDetails->mVerdict == UpstreamVerdict::Failing;
    ejectionCandidates.push_back({agent->mDataCentre, AcceptsNow(endpoint, *agent, {}, aNow),
                                  failing,
                                  failing ? agent->mDetails->mVerdictAge : Milliseconds{0}});
    placementCandidates.push_back({placementCandidates.size(),
                                   agent->mReportedAt ? &agent->mReport : &kUnreported,
                                   agent->mPlacedSinceReport});
  }
  const std::vector<bool> ejected = ChooseEjected(ejectionCandidates);
  const double medianSpeed = MedianSlotSpeed(placementCandidates);
  std::vector<SelectorCandidate> candidates;
  for (std::size_t i = 0; i < agents.size(); ++i) {
    const auto& [endpoint, agent] = agents[i];
    if (!ejectionCandidates[i].mAccepts || !IsEligible(endpoint, *agent, aFlow)) {
      continue;
    }
    const LoadReport& report = *placementCandidates[i].mReport;
    const double speed =
      report.mMilliRequestsPerSlotSecond == 0
        ? medianSpeed
        : std::min(report.mMilliRequestsPerSlotSecond / kMilli, kMaxSpeedFactor * medianSpeed);
    double weight = std::max<std::uint32_t>(report.mSlots, 1) * speed;
    weight *= report.mCold ? kColdWeight : 1.0;
    if (agent->mDetails && (!ejectionCandidates[i].mFailing || ejected[i])) {
      weight *= agent->mDetails->mAdmittedPermille / kMilli;
    }
    if (ejected[i] && !aRoute.mTerm.mRepeatable) {
      weight = 0;
    }
    candidates.push_back({i, agent->mEndpointHash, weight,
                          agent->mDataCentre == mSettings.mDataCentre,
                          agent->mDetails ? agent->mDetails->mBusyPermille / kMilli : 0.0});
  }
  const auto chosen = mSelector.Choose(candidates);
  if (!chosen) {
    return std::nullopt;
  }
  const auto& [endpoint, agent] = agents[*chosen];
  // An agent that has not stated that it understands offers gets the packet as before; so does one
  // that fails but may not be ejected.
  const bool deliver =
    !agent->mDetails || (ejectionCandidates[*chosen].mFailing && !ejected[*chosen]);
  const bool last = saturated || aFlow.mOffers == kFirstOffers || candidates.size() == 1;
  return PlacementChoice{endpoint, deliver ? NodeMessageType::Deliver
                                   : last  ? NodeMessageType::LastOffer
                                           : NodeMessageType::Offer};
}

// While openings wait because all upstreams that were asked are busy, first offers of further ones
// would only cost messages and come back.
bool PacketBalancer::IsSaturated(const std::string& aService, TimePoint aNow) const
{
  const auto found = mSaturatedAt.find(aService);
  return found != mSaturatedAt.end() && mWaiting.Size() > 0 &&
         aNow - found->second <= kSaturationTime;
}

bool PacketBalancer::WillHaveRoomInTime(const RouteEntry& aRoute, const Flow& aFlow,
                                        TimePoint aArrivedAt, TimePoint aNow)
{
  if (!ViewMayBeComplete(aNow)) {
    return true;
  }
  std::vector<ForecastUpstream> upstreams;
  for (const auto& [endpoint, agent] : mAgents) {
    if (!aRoute.HasTarget(agent.mService)) {
      continue;
    }
    const LoadReport& report = agent.mReport;
    const bool silent = !agent.mReportedAt || aNow - *agent.mReportedAt > mSettings.mReportLifetime;
    ForecastUpstream upstream;
    upstream.mUnknown =
      silent ? agent.mInView && IsEligible(endpoint, agent, aFlow) : report.mStarting;
    upstream.mAccepts = !silent && report.mAccepts;
    upstream.mCold = report.mCold;
    upstream.mColdLeft = report.mColdLeft;
    upstream.mColdPerSecond = report.mOpeningsPerSecond;
    upstream.mWarmPerSecond = report.mMilliRequestsPerSlotSecond / kMilli * report.mSlots;
    upstreams.push_back(upstream);
  }
  double accepted = 0;
  for (const auto& [service, rate] : mAcceptedRates) {
    accepted += aRoute.HasTarget(service) ? rate.PerSecond(aNow) : 0.0;
  }
  const auto wait = ForecastWait(upstreams, mBalancers, mWaiting.Size(), accepted);
  return wait && aNow + *wait <= aArrivedAt + aRoute.mTimeout;
}

} // namespace dandelionslip
