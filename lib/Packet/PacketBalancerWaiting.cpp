// Opening packets that a balancer queues until an upstream may accept them.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

namespace {

// When callers send the original and the copies of an opening packet, after the original.
constexpr std::array<Milliseconds, 3> kCopyDelays{Milliseconds{0}, Milliseconds{200},
                                                  Milliseconds{600}};

// How long ago the caller sent the original of this opening packet. If earlier ones were lost, for
// example while no balancer ran, the caller gives up that much earlier.
Milliseconds SentBefore(const PacketHeader& aPacketHeader)
{
  return kCopyDelays[std::min<std::size_t>(aPacketHeader.mRetransmission, kCopyDelays.size() - 1)];
}

} // namespace

void PacketBalancer::EnqueueOpening(const PacketHeader& aPacketHeader, const RouteEntry& aRoute,
                                    TimePoint aArrivedAt, std::span<const std::uint8_t> aPacket)
{
  if (mWaiting.Size() >= mSettings.mMaxWaiting) {
    mFlowsFull.Add();
    return;
  }
  if (aRoute.mTerm.mGoal.count() > 0 && !mRetriedArrival) {
    aArrivedAt -= SentBefore(aPacketHeader);
  }
  const bool isNew = mWaiting.Add({aPacketHeader.mFlow,
                                   {aPacket.begin(), aPacket.end()},
                                   aRoute.mPriority,
                                   aArrivedAt,
                                   aRoute.mMaxWait,
                                   aRoute.mTerm.mGoal});
  if (!isNew || mRetriedArrival) {
    return;
  }
  mWaited.Add();
  LogEvent(LogLevel::Info, "flow_waits")
    .With("flow", ToString(aPacketHeader.mFlow))
    .With("wait_ms", aRoute.mMaxWait.count())
    .With("waiting", mWaiting.Size())
    .With("routes", mRouteVersion)
    .With("view", mViewRevision);
}

// Takes up to aCount openings out of the queue and places them again. An opening that has to wait
// again keeps its position in the queue.
void PacketBalancer::PlaceWaitingOpenings(std::size_t aCount,
                                          const OpeningQueue::Condition& aCondition,
                                          PacketOutput& aOutput, TimePoint aNow)
{
  for (const WaitingOpening& opening : mWaiting.Take(aCount, aCondition, aNow)) {
    if (const auto packetHeader = mCodec.DecodeFromCaller(opening.mPacket)) {
      const RouteEntry* route = FindRoute(opening.mFlow);
      const bool learnedGoal =
        opening.mGoal.count() == 0 && route != nullptr && route->mTerm.mGoal.count() > 0;
      mRetriedArrival =
        opening.mArrivedAt - (learnedGoal ? SentBefore(*packetHeader) : Milliseconds{0});
      OnOpening(*packetHeader, opening.mPacket, aOutput, aNow);
      mRetriedArrival.reset();
      if (!mWaiting.Contains(opening.mFlow)) {
        mWaitSeconds.Observe(Seconds(aNow - opening.mArrivedAt));
      }
    }
  }
}

// Places the waiting openings of routes to the agent's service if the agent accepts flows: as many
// as it allows while its upstream is cold or if the flows carry one request each, otherwise all.
void PacketBalancer::PlaceWaitingForServiceOf(const Endpoint& aEndpoint, const Agent& aAgent,
                                              PacketOutput& aOutput, TimePoint aNow)
{
  if (mWaiting.Size() == 0 || mRouteVersion == 0 || !aAgent.mReport.mAccepts) {
    return;
  }
  const std::string service = aAgent.mService;
  const bool grants = !aAgent.mReport.mCold && aAgent.mDetails && IsOfShortFlows(service);
  // An agent that control does not reach reports room although its data centre is out of service,
  // and the details that are kept may be those of its earlier process.
  const auto& details = aAgent.mReport.mDetails;
  const bool hasRoom =
    details && details->mVerdict == UpstreamVerdict::Healthy && IsEligible(aEndpoint, aAgent, {});
  const std::size_t room = aAgent.mReport.mCold ? ColdOpeningsLeft(aAgent)
                           : !grants            ? mWaiting.Size()
                           : hasRoom            ? details->mRoom
                                                : 0;
  if (room == 0) {
    return;
  }
  mGrantedBy = grants ? std::optional(aEndpoint) : std::nullopt;
  PlaceWaitingOpenings(
    room,
    [&](const WaitingOpening& aOpening) {
      const RouteEntry* route = FindRoute(aOpening.mFlow);
      return (route == nullptr && !mGrantedBy) || (route != nullptr && route->HasTarget(service));
    },
    aOutput, aNow);
  mGrantedBy.reset();
}

// Resets openings that have waited too long, so that their callers do not wait for their own
// timeout.
void PacketBalancer::ResetExpiredOpenings(PacketOutput& aOutput, TimePoint aNow)
{
  mExpiryCheckedAt = aNow;
  RepeatOrDropRefusals(aOutput, aNow);
  for (const WaitingOpening& opening : mWaiting.TakeExpired(aNow)) {
    if (const auto packetHeader = mCodec.DecodeFromCaller(opening.mPacket)) {
      RefuseOpening(*packetHeader, {}, mWaitExpired, aOutput, opening.mArrivedAt, aNow);
    }
  }
}

std::uint32_t PacketBalancer::ColdOpeningsLeft(const Agent& aAgent) const
{
  const LoadReport& report = aAgent.mReport;
  return aAgent.mPlacedSinceReport >= report.mOpeningsAllowed
           ? 0
           : report.mOpeningsAllowed - aAgent.mPlacedSinceReport;
}

// Whether an upstream of the route may accept the flow before the opening's wait expires. This
// holds if agents may still be missing from the view, if an agent has just started or its last load
// report is out of date, if a cold upstream will be warm in time, or if this balancer's share of
// the flows that cold upstreams take during the wait exceeds the number of waiting openings.
bool PacketBalancer::MayAcceptSoon(const RouteEntry& aRoute, const Flow& aFlow,
                                   TimePoint aNow) const
{
  double coldOpenings = 0;
  for (const auto& [endpoint, agent] : mAgents) {
    if (!aRoute.HasTarget(agent.mService)) {
      continue;
    }
    const bool silent = !agent.mReportedAt || aNow - *agent.mReportedAt > mSettings.mReportLifetime;
    if ((silent && agent.mInView && IsEligible(endpoint, agent, aFlow)) ||
        (!silent && agent.mReport.mStarting)) {
      return true;
    }
    if (!silent && agent.mReport.mAccepts && agent.mReport.mCold) {
      if (agent.mReport.mColdLeft < aRoute.mMaxWait) {
        return true;
      }
      coldOpenings += agent.mReport.mOpeningsPerSecond;
    }
  }
  const double share = coldOpenings / static_cast<double>(std::max<std::size_t>(mBalancers, 1));
  const double seconds = std::chrono::duration<double>(aRoute.mMaxWait).count();
  return !ViewMayBeComplete(aNow) || static_cast<double>(mWaiting.Size()) < share * seconds;
}

} // namespace dandelionslip
