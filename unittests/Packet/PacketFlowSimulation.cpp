// Events, network, router and checks of the simulated packet plane.
#include "PacketFlowSimulationParts.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1'000)};
constexpr std::uint32_t kNodeAddresses = 0x0a000000; // 10.0.0.0
constexpr std::size_t kMaxDeferred = 4'000;
constexpr Milliseconds kReadinessInterval{500};

// Resets are judged only if no unplanned fault ended within this time: the users' contact_ms.
constexpr Milliseconds kContactTime{4'000};
constexpr Milliseconds kMaxFlowAge{60'000};
constexpr Milliseconds kIdleTimeout{15'000};

constexpr std::size_t kBalancers = 5;
constexpr std::size_t kAgents = 8;
constexpr std::size_t kCallers = 70;

const char* TypeText(NodeMessageType aType)
{
  switch (aType) {
    case NodeMessageType::Deliver:
      return "deliver";
    case NodeMessageType::Probe:
      return "probe";
    case NodeMessageType::Returned:
      return "returned";
    case NodeMessageType::LoadReport:
      return "load report";
    case NodeMessageType::Query:
      return "query";
    case NodeMessageType::QueryLocal:
      return "query local";
    case NodeMessageType::HolderFound:
      return "holder found";
    case NodeMessageType::NotFound:
      return "not found";
    case NodeMessageType::ProbeNeeded:
      return "probe needed";
    case NodeMessageType::Register:
      return "register";
    case NodeMessageType::RegisterAck:
      return "register ack";
    case NodeMessageType::NotRegistered:
      return "not registered";
    case NodeMessageType::Offer:
      return "offer";
    case NodeMessageType::LastOffer:
      return "last offer";
    case NodeMessageType::ReportFormat:
      return "report format";
  }
  return "";
}

bool CarriesPacket(NodeMessageType aType)
{
  return aType == NodeMessageType::Deliver || aType == NodeMessageType::Probe ||
         aType == NodeMessageType::Returned || aType == NodeMessageType::Offer ||
         aType == NodeMessageType::LastOffer;
}

std::string PacketText(const PacketHeader& aHeader)
{
  std::string text = aHeader.mOpens ? "opening copy " + std::to_string(aHeader.mRetransmission)
                                    : "packet seq " + std::to_string(aHeader.mSequence);
  text += aHeader.mEnds ? " fin" : "";
  return text;
}

} // namespace

const char* ToText(PacketFlowFaults aFaults)
{
  switch (aFaults) {
    case PacketFlowFaults::PlannedWork:
      return "planned work";
    case PacketFlowFaults::Nodes:
      return "faults of nodes";
    case PacketFlowFaults::Upstreams:
      return "faults of upstreams";
    case PacketFlowFaults::Membership:
      return "faults of membership";
    case PacketFlowFaults::PortReuse:
      return "ports used again";
  }
  return "";
}

PacketFlowSimulation::PacketFlowSimulation(std::uint64_t aSeed, PacketFlowFaults aFaults)
  : mSeed(aSeed)
  , mFaultKinds(aFaults)
  , mRandom(aSeed)
  , mNow(kStart)
{
  mLease = Between(Milliseconds(1'000), Milliseconds(2'000));
  mPace = static_cast<std::uint32_t>(600 + mRandom.Below(5'000));
  mView.mRevision = 1;
  PublishRoutes();
  const bool spread = mFaultKinds == PacketFlowFaults::Membership;
  for (std::size_t i = 0; i < kAgents; ++i) {
    const std::string dataCentre = i % 2 == 0 ? "north" : "south";
    AddUpstream(i % 3 == 0 ? "render" : "web", spread ? DataCentres()[i / 2 % 3] : dataCentre);
  }
  for (std::size_t i = 0; i < kBalancers; ++i) {
    StartProcess(AddNode(MemberKind::Balancer, "", spread ? DataCentres()[i % 3] : "north"));
  }
  for (std::size_t i = 0; i < kCallers; ++i) {
    After(Between(Milliseconds(500), Milliseconds(5'000)), [this] { OpenFlow(); });
  }
  CheckLeases();
  PublishState();
  ScheduleFault();
}

PacketFlowSimulation::~PacketFlowSimulation() = default;

void PacketFlowSimulation::Run(Milliseconds aTime)
{
  const TimePoint end = mNow + aTime;
  while (!mTasks.empty() && mTasks.begin()->first.first <= end) {
    auto node = mTasks.extract(mTasks.begin());
    mNow = node.key().first;
    node.mapped()();
  }
  mNow = end;
}

std::int64_t PacketFlowSimulation::Ms(TimePoint aTime) const
{
  return std::chrono::duration_cast<Milliseconds>(aTime - kStart).count();
}

PacketFlowSimulation::Duration PacketFlowSimulation::Between(Milliseconds aShortest,
                                                             Milliseconds aLongest)
{
  const auto range = std::chrono::duration_cast<std::chrono::microseconds>(aLongest - aShortest);
  return aShortest +
         std::chrono::microseconds(mRandom.Below(static_cast<std::uint64_t>(range.count()) + 1));
}

void PacketFlowSimulation::After(Duration aDelay, Task aTask)
{
  mTasks.emplace(std::pair(mNow + aDelay, mNextTask++), std::move(aTask));
}

// Runs the task on the node's present process, or after the thaw if the node is frozen then.
void PacketFlowSimulation::AfterOn(Node& aNode, Duration aDelay, Task aTask)
{
  After(aDelay, [this, &aNode, process = aNode.mProcess, task = std::move(aTask)] {
    RunOn(aNode, process, task);
  });
}

void PacketFlowSimulation::RunOn(Node& aNode, std::uint64_t aProcess, const Task& aTask)
{
  if (!aNode.mUp || aNode.mProcess != aProcess) {
    return;
  }
  if (!aNode.mFrozen) {
    aTask();
  } else if (aNode.mDeferred.size() < kMaxDeferred) {
    aNode.mDeferred.push_back(aTask);
  }
}

void PacketFlowSimulation::Every(Node& aNode, Milliseconds aInterval, const Task& aTask)
{
  AfterOn(aNode, aInterval, [this, &aNode, aInterval, aTask] {
    aTask();
    Every(aNode, aInterval, aTask);
  });
}

// Time on the way; empty if the datagram is lost. Callers are null.
std::optional<PacketFlowSimulation::Duration> PacketFlowSimulation::Delay(const Node* aFrom,
                                                                          const Node* aTo)
{
  const double loss =
    std::max(aFrom != nullptr ? aFrom->mLoss : 0.0, aTo != nullptr ? aTo->mLoss : 0.0);
  const double tails =
    std::max(aFrom != nullptr ? aFrom->mTails : 0.0, aTo != nullptr ? aTo->mTails : 0.0);
  if (Chance(loss) || (aFrom != nullptr && aTo != nullptr &&
                       (mCuts.contains({aFrom->mNumber, aTo->mNumber}) ||
                        mSeparated.contains({aFrom->mDataCentre, aTo->mDataCentre})))) {
    return std::nullopt;
  }
  const Duration delay = std::chrono::microseconds(200 + mRandom.Below(2'800));
  return Chance(tails) ? delay + Between(Milliseconds(0), Milliseconds(300)) : delay;
}

void PacketFlowSimulation::SendDatagram(Node& aFrom, const Endpoint& aTo,
                                        const NodeMessageHeader& aHeader,
                                        std::span<const std::uint8_t> aPacket)
{
  const unsigned number = aTo.V4Address() - kNodeAddresses;
  if (number == 0 || number > mNodes.size()) {
    return;
  }
  Node* current = mNodes[number - 1].get();
  while (current->mSuccessor != nullptr) {
    current = current->mSuccessor;
  }
  Node& to = *current;
  const bool isQuery =
    aHeader.mType == NodeMessageType::Query || aHeader.mType == NodeMessageType::QueryLocal;
  mCounts.mQueries += isQuery ? 1 : 0;
  const auto delay = Delay(&aFrom, &to);
  NoteDatagram(aFrom, number, aHeader, aPacket, delay ? "" : " (lost)");
  if (!delay) {
    return;
  }
  After(*delay, [this, &aFrom, &to, aHeader, packet = PacketBytes(aPacket.begin(), aPacket.end())] {
    RunOn(to, to.mProcess,
          [this, &aFrom, &to, aHeader, packet] { OnDatagram(to, aFrom, aHeader, packet); });
  });
}

void PacketFlowSimulation::NoteDatagram(const Node& aFrom, unsigned aTo,
                                        const NodeMessageHeader& aHeader,
                                        std::span<const std::uint8_t> aPacket, const char* aVerb)
{
  if (aHeader.mType == NodeMessageType::LoadReport) {
    return;
  }
  const std::string prefix =
    aFrom.mName + " to node " + std::to_string(aTo) + ": " + TypeText(aHeader.mType) + aVerb;
  if (CarriesPacket(aHeader.mType)) {
    if (const auto header = mCodec.DecodeFromCaller(aPacket)) {
      const bool returned = aHeader.mType == NodeMessageType::Returned;
      mCounts.mOpeningReturns += returned && header->mOpens ? 1 : 0;
      Note(header->mFlow, prefix + ", " + PacketText(*header) +
                            (returned ? ", " + std::string(ToString(aHeader.mReason)) : ""));
    }
    return;
  }
  if (const auto message = FlowMessage::Decode(aPacket)) {
    const FlowMessage& value = message.value();
    const std::string holder =
      aHeader.mType == NodeMessageType::HolderFound
        ? ", node " + std::to_string(value.mHolder.V4Address() - kNodeAddresses)
        : "";
    for (const FlowKey& flow : value.mFlows) {
      Note(flow, prefix + holder);
    }
  }
}

void PacketFlowSimulation::Note(const FlowKey& aFlow, std::string aText)
{
  mTruths[aFlow].mEvents.push_back({mNow, std::move(aText)});
}

void PacketFlowSimulation::SendToCaller(Node& aFrom, const FlowKey& aFlow,
                                        std::span<const std::uint8_t> aPacket)
{
  const bool resets = (aPacket[8] & FlagRst) != 0;
  std::uint32_t sequence = 0;
  if (resets) {
    sequence = mCodec.DecodeFromUpstream(aPacket)->mSequence;
    Note(aFlow, aFrom.mName + " sends a reset, seq " + std::to_string(sequence));
    CheckReset(aFrom, aFlow, sequence, "sent");
  }
  const auto delay = Delay(&aFrom, nullptr);
  if (!delay) {
    return;
  }
  After(*delay, [this, &aFrom, aFlow, resets, sequence,
                 packet = PacketBytes(aPacket.begin(), aPacket.end())] {
    if (resets) {
      CheckReset(aFrom, aFlow, sequence, "received");
    }
    OnUpstreamPacket(aFlow, packet);
  });
}

void PacketFlowSimulation::SendToUpstream(Node& aFrom, std::span<const std::uint8_t> aPacket)
{
  if (aFrom.mUpstream == nullptr) {
    return;
  }
  After(std::chrono::microseconds(50 + mRandom.Below(300)),
        [this, upstream = aFrom.mUpstream, packet = PacketBytes(aPacket.begin(), aPacket.end())] {
          OnCallerPacket(*upstream, packet);
        });
}

const std::vector<std::string>& PacketFlowSimulation::DataCentres()
{
  static const std::vector<std::string> kDataCentres{"north", "south", "west"};
  return kDataCentres;
}

// Whether the balancer's view has the agent as live.
bool PacketFlowSimulation::ViewHas(const Node& aBalancer, const Node& aAgent)
{
  const Member* member = aBalancer.mView ? aBalancer.mView->FindMember(aAgent.mName) : nullptr;
  return member != nullptr && HoldsFlows(member->mState);
}

// The router: selects a balancer by the flow's hash.
void PacketFlowSimulation::SendFromCaller(const FlowKey& aFlow, const PacketBytes& aPacket)
{
  std::vector<Node*> inRotation;
  std::vector<Node*> all;
  for (const auto& node : mNodes) {
    if (node->mKind == MemberKind::Balancer && !node->mGone) {
      all.push_back(node.get());
      if (node->mMisses < 2) {
        inRotation.push_back(node.get());
      }
    }
  }
  const auto& chosen = inRotation.size() * 2 < all.size() ? all : inRotation;
  Node& to = *chosen[(HashOf(aFlow) >> 7U) % chosen.size()];
  FlowTruth& truth = mTruths[aFlow];
  const bool moved = truth.mBalancer != 0 && truth.mBalancer != to.mNumber;
  mCounts.mMoved += moved ? 1 : 0;
  mCounts.mMovedUnseen += moved && truth.mOpen && !ViewHas(to, *truth.mHolder->mNode) ? 1 : 0;
  truth.mBalancer = to.mNumber;
  const auto delay = Delay(nullptr, &to);
  const auto header = mCodec.DecodeFromCaller(aPacket);
  Note(aFlow, "caller to " + to.mName + ": " + PacketText(*header) + (delay ? "" : " (lost)"));
  if (!delay) {
    return;
  }
  After(*delay, [this, &to, aPacket] {
    RunOn(to, to.mProcess, [this, &to, packet = aPacket]() mutable {
      to.mBalancer->OnCallerPacket(packet, to, NodeTime(to));
    });
  });
}

void PacketFlowSimulation::CheckReadiness(Node& aNode)
{
  if (aNode.mGone) {
    return;
  }
  const bool ready = aNode.mUp && !aNode.mFrozen && !aNode.mStopping && aNode.mBalancer->Ready();
  aNode.mMisses = ready ? 0 : aNode.mMisses + 1;
  After(kReadinessInterval, [this, &aNode] { CheckReadiness(aNode); });
}

// Asserts that no upstream holds a flow that a balancer or an agent resets.
void PacketFlowSimulation::CheckReset(Node& aSender, const FlowKey& aFlow, std::uint32_t aSequence,
                                      const char* aWhen)
{
  FlowTruth& truth = mTruths[aFlow];
  // Flows that are older or were idle for longer may be discarded.
  if (!truth.mOpen || truth.mReported || truth.mRouteDropped ||
      mNow - truth.mOpenedAt > kMaxFlowAge || mNow - truth.mLastPacketAt > kIdleTimeout) {
    return;
  }
  PacketHeader header;
  header.mSequence = aSequence;
  const bool fits = FitsCaller(aFlow, header);
  // Callers ignore the resets of earlier flows of the port; a later one may fit.
  truth.mReported = fits || mFaultKinds != PacketFlowFaults::PortReuse;
  // Unplanned faults excuse the nodes that they hit, and no others, until the contact time is over.
  const auto inTouch = [&](const Node& aNode) {
    return mNow - aNode.mDisturbedUntil > kContactTime;
  };
  const Node& balancer = *mNodes[truth.mBalancer - 1];
  mViolations.push_back({std::string("reset ") + aWhen + Describe(aSender, aFlow, truth),
                         inTouch(aSender) && inTouch(balancer) && inTouch(*truth.mHolder->mNode),
                         fits});
}

std::string PacketFlowSimulation::Describe(const Node& aSender, const FlowKey& aFlow,
                                           const FlowTruth& aTruth) const
{
  const auto ms = [&](TimePoint aTime) { return std::to_string(Ms(aTime)); };
  const Node& holder = *aTruth.mHolder->mNode;
  std::string text =
    ": seed " + std::to_string(mSeed) + ", " + ToText(mFaultKinds) + ", at " + ms(mNow) +
    " ms, flow " + ToString(aFlow) + "\n  sender " + aSender.mName + " (process since " +
    ms(aSender.mStartedAt) + ", last fault until " + ms(aSender.mDisturbedUntil) + ", view " +
    std::to_string(aSender.mViewRevision) + ", directory " +
    std::to_string(aSender.mDirectoryAgents.Digest()) + ")\n  holder " + holder.mName +
    " (process since " + ms(holder.mStartedAt) + ", last fault until " +
    ms(holder.mDisturbedUntil) + ", view " + std::to_string(holder.mViewRevision) + ", directory " +
    std::to_string(holder.mDirectoryAgents.Digest()) + "), upstream " + aTruth.mHolder->mId +
    " since " + ms(aTruth.mHolder->mStartedAt) + "\n  open since " + ms(aTruth.mOpenedAt) +
    ", last packet at the upstream " + ms(aTruth.mLastPacketAt) +
    "\n  balancer of the last packet: node " + std::to_string(aTruth.mBalancer) +
    ", last fault until " + ms(mNodes[aTruth.mBalancer - 1]->mDisturbedUntil) +
    "\n  directory agents by the sender's view:";
  for (const Endpoint& agent : aSender.mDirectoryAgents.AgentsFor(aFlow)) {
    text += " node " + std::to_string(agent.V4Address() - kNodeAddresses);
  }
  text += "\n  reports at the sender:";
  for (const auto& [agent, report] : aSender.mReports) {
    text += " node " + std::to_string(agent) + " at " + ms(report.mAt) + " confirmed " +
            std::to_string(report.mConfirmedAgentsDigest) + ";";
  }
  text += "\n";
  for (const auto& event : aTruth.mEvents) {
    text += "  " + ms(event.mAt) + " " + event.mText + "\n";
  }
  text += "  faults:\n";
  for (const std::string& fault : mFaults) {
    text += "    " + fault + "\n";
  }
  return text;
}

} // namespace dandelionslip
