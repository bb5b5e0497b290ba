// Upstream VMs that lose power or are removed, and dropped routes, in the simulated packet plane.
#include "PacketFlowSimulationParts.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// An upstream is disturbed for this long after its VM has started.
constexpr Milliseconds kStartDisturbance{2'000};

} // namespace

// Upstream and agent end at the same moment; the agent starts again first.
void PacketFlowSimulation::LosePower(Upstream& aUpstream)
{
  Node& node = *aUpstream.mNode;
  const Duration time = Between(Milliseconds(1'000), Milliseconds(6'000));
  LogFault("power loss of " + node.mName + " for " +
           std::to_string(std::chrono::duration_cast<Milliseconds>(time).count()) + " ms");
  Disturb(node, time + kStartDisturbance);
  EndUpstream(aUpstream);
  HaltProcess(node);
  After(time, [this, &node] { StartProcess(node); });
  After(time + Between(Milliseconds(0), Milliseconds(5'000)),
        [this, &aUpstream] { StartUpstream(aUpstream); });
}

void PacketFlowSimulation::RemoveVm(Upstream& aUpstream)
{
  LogFault("removal of " + aUpstream.mNode->mName);
  EndVm(aUpstream);
}

// Planned: the upstream drains and leaves, then the agent stops.
void PacketFlowSimulation::RemoveVmOnceDrained(Upstream& aUpstream)
{
  if (aUpstream.mNode->mGone) {
    return;
  }
  if (aUpstream.mUp) {
    DrainUpstream(aUpstream);
    After(Milliseconds(100), [this, &aUpstream] { RemoveVmOnceDrained(aUpstream); });
    return;
  }
  LogFault("planned removal of " + aUpstream.mNode->mName);
  StopProcess(*aUpstream.mNode);
  After(Between(Milliseconds(120), Milliseconds(200)), [this, &aUpstream] {
    if (!aUpstream.mNode->mGone) {
      EndVm(aUpstream);
    }
  });
}

// Another VM follows, mostly at the same endpoint and for the other service.
void PacketFlowSimulation::EndVm(Upstream& aUpstream)
{
  Node& node = *aUpstream.mNode;
  EndUpstream(aUpstream);
  HaltProcess(node);
  node.mGone = true;
  const bool sameEndpoint = Chance(0.8);
  const bool otherService = Chance(0.7);
  After(Between(Milliseconds(2'000), Milliseconds(4'000)),
        [this, &node, sameEndpoint, otherService] {
          const bool isWeb = node.mService == "web";
          LogFault("new VM" + (sameEndpoint ? " in place of " + node.mName : ""));
          mCounts.mReplacedVms += sameEndpoint ? 1 : 0;
          AddUpstream(isWeb == otherService ? "render" : "web", node.mDataCentre,
                      sameEndpoint ? &node : nullptr);
        });
}

// The flows of the route may be reset from now on, also when a later configuration has the route.
void PacketFlowSimulation::DropRoute(Upstream& /*aUpstream*/)
{
  PublishRoutes();
  auto& routes = mConfiguration.mRoutes.mRoutes;
  const auto dropped = routes.begin() + static_cast<std::ptrdiff_t>(mRandom.Below(routes.size()));
  const Duration time = Between(Milliseconds(100), Milliseconds(Chance(0.3) ? 8'000 : 1'500));
  LogFault("route " + dropped->mName + " dropped" + " for " +
           std::to_string(std::chrono::duration_cast<Milliseconds>(time).count()) + " ms");
  routes.erase(dropped);
  for (auto& [key, truth] : mTruths) {
    if (!truth.mRouteDropped && !HasRoute(key)) {
      truth.mRouteDropped = true;
      mCounts.mRouteDropped += truth.mOpen ? 1 : 0;
    }
  }
  After(time, [this] { PublishRoutes(); });
}

bool PacketFlowSimulation::HasRoute(const FlowKey& aFlow) const
{
  const auto& routes = mConfiguration.mRoutes.mRoutes;
  const std::string address =
    Endpoint::FromV4(aFlow.mServiceAddress, aFlow.mServicePort).ToString();
  return std::any_of(routes.begin(), routes.end(),
                     [&](const Route& aRoute) { return aRoute.mAddress == address; });
}

} // namespace dandelionslip
