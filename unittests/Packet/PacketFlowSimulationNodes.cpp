// Balancers and agents of the simulated packet plane, with the timers of their processes.
#include "PacketFlowSimulationParts.h"

namespace dandelionslip {

namespace {

constexpr Milliseconds kTick{1'000};
constexpr Milliseconds kLoadReportInterval{200};
constexpr Milliseconds kRegisterInterval{250};
constexpr Milliseconds kBalancerTimeout{5'000};
constexpr Milliseconds kRestartTime{550};
constexpr Milliseconds kBalancerStopDelay{2'000};
constexpr Milliseconds kAgentStopDelay{100};
constexpr Milliseconds kHeartbeat{770};
constexpr Milliseconds kConnectionTime{1}; // Of an agent's try of a connection at its start.
constexpr std::uint32_t kNodeAddresses = 0x0a000000; // 10.0.0.0
constexpr std::uint16_t kNodePort = 7720;

// More than clocks are set back in a run.
constexpr std::uint64_t kIncarnationBase = 10'000'000;

} // namespace

PacketFlowSimulation::Node& PacketFlowSimulation::AddNode(MemberKind aKind,
                                                          const std::string& aService,
                                                          const std::string& aDataCentre)
{
  const auto number = static_cast<unsigned>(mNodes.size() + 1);
  mNodes.push_back(std::make_unique<Node>(*this, number));
  Node& node = *mNodes.back();
  node.mKind = aKind;
  node.mName = (aKind == MemberKind::Agent ? "agent-" : "balancer-") + std::to_string(number);
  node.mService = aService;
  node.mDataCentre = aDataCentre;
  node.mEndpoint = Endpoint::FromV4(kNodeAddresses + number, kNodePort);
  node.mStateDelay = Milliseconds(50);
  if (aKind == MemberKind::Balancer) {
    After(Between(Milliseconds(0), Milliseconds(500)), [this, &node] { CheckReadiness(node); });
  }
  return node;
}

TimePoint PacketFlowSimulation::NodeTime(const Node& aNode) const
{
  return mNow - aNode.mClockLag;
}

void PacketFlowSimulation::StartProcess(Node& aNode)
{
  if (aNode.mGone || aNode.mUp) {
    return;
  }
  ++aNode.mProcess;
  aNode.mUp = true;
  aNode.mStopping = false;
  aNode.mStartedAt = mNow;
  aNode.mIncarnation =
    kIncarnationBase + static_cast<std::uint64_t>(Ms(mNow) - aNode.mSetBack.count());
  aNode.mViewRevision = 0;
  aNode.mConfigurationRevision = 0;
  aNode.mView = nullptr;
  aNode.mConfiguration = nullptr;
  aNode.mLeaseEnd = {};
  aNode.mDirectoryAgents = {};
  aNode.mReports.clear();
  aNode.mBalancers.clear();
  aNode.mShares = {};
  aNode.mBalancer.reset();
  aNode.mAgent.reset();
  aNode.mRegistry = std::make_unique<MetricsRegistry>();
  if (aNode.mKind == MemberKind::Balancer) {
    aNode.mBalancer = std::make_unique<PacketBalancer>(
      PacketBalancerSettings{}, mCodec, *aNode.mRegistry, Random(mRandom.Next()), NodeTime(aNode));
    Every(aNode, kTick, [this, &aNode] { aNode.mBalancer->OnTick(aNode, NodeTime(aNode)); });
  } else {
    PacketAgentSettings settings;
    settings.mService = aNode.mService;
    settings.mDataCentre = aNode.mDataCentre;
    settings.mEndpoint = aNode.mEndpoint;
    settings.mHeartbeat = kHeartbeat;
    settings.mColdSlack = 5;
    aNode.mAgent =
      std::make_unique<PacketAgent>(settings, mCodec, *aNode.mRegistry, NodeTime(aNode));
    AfterOn(aNode, kConnectionTime, [&aNode] {
      if (aNode.mUpstream == nullptr || !aNode.mUpstream->mUp) {
        aNode.mAgent->OnConnectionRefused();
      }
    });
    Every(aNode, kTick, [this, &aNode] { aNode.mAgent->OnTick(NodeTime(aNode)); });
    Every(aNode, kRegisterInterval,
          [this, &aNode] { aNode.mAgent->RegisterFlows(aNode, NodeTime(aNode)); });
    Every(aNode, kLoadReportInterval, [this, &aNode] { SendLoadReports(aNode); });
  }
  AfterOn(aNode, Between(Milliseconds(5), Milliseconds(100)), [this, &aNode] { SendState(aNode); });
  ScheduleAnnouncement(aNode, mNow);
}

void PacketFlowSimulation::HaltProcess(Node& aNode)
{
  aNode.mUp = false;
  aNode.mFrozen = false;
  aNode.mDeferred.clear();
}

void PacketFlowSimulation::KillProcess(Node& aNode)
{
  HaltProcess(aNode);
  After(kRestartTime + Between(Milliseconds(0), Milliseconds(Chance(0.2) ? 4'000 : 50)),
        [this, &aNode] { StartProcess(aNode); });
}

// A planned stop, after which the process starts again.
void PacketFlowSimulation::StopProcess(Node& aNode)
{
  if (!aNode.mUp || aNode.mStopping) {
    return;
  }
  aNode.mStopping = true;
  if (aNode.mAgent) {
    aNode.mAgent->StopAccepting();
    SendLoadReports(aNode);
  }
  Announce(aNode);
  AfterOn(aNode, aNode.mAgent ? kAgentStopDelay : kBalancerStopDelay,
          [this, &aNode] { KillProcess(aNode); });
}

void PacketFlowSimulation::Freeze(Node& aNode, Duration aTime, bool aClockStands)
{
  if (!aNode.mUp || aNode.mFrozen) {
    return;
  }
  aNode.mFrozen = true;
  aNode.mFrozenAt = mNow;
  After(aTime, [this, &aNode, process = aNode.mProcess, aClockStands] {
    if (!aNode.mFrozen || aNode.mProcess != process) {
      return;
    }
    aNode.mFrozen = false;
    aNode.mClockLag += aClockStands ? mNow - aNode.mFrozenAt : Duration{};
    for (const Task& task : std::exchange(aNode.mDeferred, {})) {
      RunOn(aNode, process, task);
    }
  });
}

void PacketFlowSimulation::OnDatagram(Node& aNode, const Node& aFrom,
                                      const NodeMessageHeader& aHeader, PacketBytes aPacket)
{
  if (aNode.mBalancer) {
    if (aHeader.mType == NodeMessageType::LoadReport) {
      const auto report = LoadReport::Decode(aPacket);
      aNode.mReports[aFrom.mNumber] = {mNow, report.value().mConfirmedAgentsDigest,
                                       report.value().mAccepts};
    }
    aNode.mBalancer->OnNodePacket(aFrom.mEndpoint, aHeader, aPacket, aNode, NodeTime(aNode));
    return;
  }
  if (aHeader.mType != NodeMessageType::Register && aHeader.mType != NodeMessageType::RegisterAck) {
    OnBalancerSeen(aNode, aFrom.mEndpoint);
  }
  aNode.mAgent->OnNodePacket(aFrom.mEndpoint, aHeader, aPacket, aNode, NodeTime(aNode));
}

void PacketFlowSimulation::OnBalancerSeen(Node& aAgent, const Endpoint& aBalancer)
{
  const auto [item, isNew] = aAgent.mBalancers.try_emplace(aBalancer);
  item->second = NodeTime(aAgent);
  if (isNew) {
    LoadReport report = aAgent.mAgent->CurrentLoad(NodeTime(aAgent));
    report.mOpeningsAllowed = aAgent.mShares.ShareForNewBalancer();
    aAgent.SendToNode(aBalancer, {NodeMessageType::LoadReport, ReturnReason::None},
                      report.Encode());
  }
}

void PacketFlowSimulation::SendLoadReports(Node& aAgent)
{
  const TimePoint now = NodeTime(aAgent);
  std::erase_if(aAgent.mBalancers,
                [&](const auto& aItem) { return now - aItem.second > kBalancerTimeout; });
  LoadReport report = aAgent.mAgent->NextLoad(Milliseconds(200), now);
  const auto shares = aAgent.mShares.Split(report.mOpeningsAllowed, aAgent.mBalancers.size());
  auto share = shares.begin();
  for (const auto& [balancer, lastSeen] : aAgent.mBalancers) {
    report.mOpeningsAllowed = *share++;
    aAgent.SendToNode(balancer, {NodeMessageType::LoadReport, ReturnReason::None}, report.Encode());
  }
}

void PacketFlowSimulation::ReportIfChanged(Node& aAgent, MemberState aBefore)
{
  if (aAgent.mAgent->State(NodeTime(aAgent)) != aBefore) {
    SendLoadReports(aAgent);
    Announce(aAgent);
  }
}

} // namespace dandelionslip
