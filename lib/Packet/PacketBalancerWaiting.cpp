// Opening packets that wait at a balancer until an upstream may accept them.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>

namespace dandelionslip {

void PacketBalancer::Wait(const Segment& aSegment, std::uint32_t aPriority, Milliseconds aWait,
                          std::span<const std::uint8_t> aPacket, TimePoint aNow)
{
  if (mWaiting.Size() >= mSettings.mMaxWaiting) {
    mFlowsFull.Add();
    return;
  }
  const bool isNew = mWaiting.Add({aSegment.mFlow,
                                   {aPacket.begin(), aPacket.end()},
                                   aPriority,
                                   mPlacedSince.value_or(aNow),
                                   aWait});
  if (!isNew || mPlacedSince) {
    return;
  }
  mWaited.Add();
  LogEvent(LogLevel::Info, "flow_waits")
    .With("flow", ToString(aSegment.mFlow))
    .With("wait_ms", aWait.count())
    .With("waiting", mWaiting.Size())
    .With("routes", mRouteVersion)
    .With("view", mViewRevision);
}

// Tries openings that wait again. One that must wait on keeps its place.
void PacketBalancer::PlaceWaiting(std::size_t aCount, const OpeningQueue::Condition& aCondition,
                                  PacketOutput& aOutput, TimePoint aNow)
{
  for (const WaitingOpening& opening : mWaiting.Take(aCount, aCondition)) {
    if (const auto segment = mCodec.DecodeFromCaller(opening.mPacket)) {
      mPlacedSince = opening.mSince;
      Open(*segment, opening.mPacket, aOutput, aNow);
      mPlacedSince.reset();
      if (!mWaiting.Contains(opening.mFlow)) {
        mWaitSeconds.Observe(Seconds(aNow - opening.mSince));
      }
    }
  }
}

// An agent that takes flows is offered the openings of its service that wait: as many as it has
// allowed while its upstream is cold, and all afterwards.
void PacketBalancer::OfferToWaiting(const Agent& aAgent, PacketOutput& aOutput, TimePoint aNow)
{
  const std::size_t room = !aAgent.mReport.mAccepts ? 0
                           : aAgent.mReport.mCold   ? OpensLeft(aAgent)
                                                    : mWaiting.Size();
  if (room == 0 || mRouteVersion == 0) {
    return;
  }
  const std::string service = aAgent.mService;
  PlaceWaiting(
    room,
    [&](const WaitingOpening& aOpening) {
      const RouteEntry* route = FindRoute(aOpening.mFlow);
      return route == nullptr || route->LeadsTo(service);
    },
    aOutput, aNow);
}

// A caller whose opening has waited too long learns it at once, so that it need not wait for the
// end of its own patience.
void PacketBalancer::GiveUpExpired(PacketOutput& aOutput, TimePoint aNow)
{
  mExpiryCheckedAt = aNow;
  for (const WaitingOpening& opening : mWaiting.TakeExpired(aNow)) {
    if (const auto segment = mCodec.DecodeFromCaller(opening.mPacket)) {
      Reset(*segment, aOutput, mWaitedInVain);
    }
  }
}

std::uint32_t PacketBalancer::OpensLeft(const Agent& aAgent) const
{
  const LoadReport& report = aAgent.mReport;
  return aAgent.mPlaced >= report.mOpensAllowed ? 0 : report.mOpensAllowed - aAgent.mPlaced;
}

// Whether an upstream of the route may accept the flow shortly: its agent has just started or has
// not been heard from for so long that its last report says nothing; or cold upstreams, which are
// opened few flows a second, will have taken those that wait before the caller gives up.
bool PacketBalancer::MayAcceptSoon(const RouteEntry& aRoute, const Flow& aFlow,
                                   TimePoint aNow) const
{
  double coldOpens = 0;
  for (const auto& [endpoint, agent] : mAgents) {
    if (!aRoute.LeadsTo(agent.mService)) {
      continue;
    }
    const bool silent = !agent.mReportedAt || aNow - *agent.mReportedAt > mSettings.mReportLifetime;
    if ((silent && agent.mInView && MayPlace(endpoint, agent, aFlow)) ||
        (!silent && agent.mReport.mStarting)) {
      return true;
    }
    if (!silent && agent.mReport.mAccepts && agent.mReport.mCold) {
      if (agent.mReport.mColdLeft < aRoute.mWait) {
        return true;
      }
      coldOpens += agent.mReport.mOpensPerSecond;
    }
  }
  const double share = coldOpens / static_cast<double>(std::max<std::size_t>(mBalancers, 1));
  const double seconds = std::chrono::duration<double>(aRoute.mWait).count();
  return !IsSettled(aNow) || static_cast<double>(mWaiting.Size()) < share * seconds;
}

} // namespace dandelionslip
