// Registration of flows with their directory agents, and answers to balancers' queries for flows.
#include "dandelionslip/Packet/PacketAgent.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

// Time between two load reports that name an unseen holder.
constexpr Milliseconds kUnseenHoldersTurn{PacketAgent::kReportsPerName * 200};

} // namespace

void PacketAgent::OnView(const View& aView, std::uint64_t aOwnIncarnation)
{
  mDirectoryAgentsChanged = mDirectoryAgents.Update(aView) || mDirectoryAgentsChanged;
  if (aView.mRevision != mViewRevision) {
    mAgentsInView.clear();
    mBalancerDataCentres.clear();
    for (const auto& [name, member] : aView.mMembers) {
      const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
      if (endpoint && member.mKind == MemberKind::Agent) {
        mAgentsInView.insert(endpoint.value());
      } else if (endpoint) {
        mBalancerDataCentres[endpoint.value()] = member.mDataCentre;
      }
    }
  }
  mViewRevision = aView.mRevision;
  const std::string own = mSettings.mEndpoint.ToString();
  mInView = std::any_of(aView.mMembers.begin(), aView.mMembers.end(), [&](const auto& aItem) {
    const Member& member = aItem.second;
    return member.mDatagramEndpoint == own && member.mIncarnation == aOwnIncarnation &&
           HoldsFlows(member.mState);
  });
}

void PacketAgent::SendFlowAnswer(const Endpoint& aBalancer, NodeMessageType aType,
                                 std::uint32_t aNumber, const FlowKey& aFlow,
                                 const Endpoint& aHolder, PacketOutput& aOutput)
{
  const FlowMessage message{aHolder, {aFlow}, mDirectoryAgents.Digest(), aNumber};
  aOutput.SendToNode(aBalancer, {aType, ReturnReason::None}, message.Encode());
}

// The upstream has sent a packet of the flow, so it holds the flow. Answers a pending flow probe.
void PacketAgent::AnswerProbe(const FlowKey& aFlow, PacketOutput& aOutput)
{
  if (const auto probe = mProbes.find(aFlow); probe != mProbes.end()) {
    SendFlowAnswer(probe->second.mBalancer, NodeMessageType::HolderFound, probe->second.mNumber,
                   aFlow, mSettings.mEndpoint, aOutput);
    mProbes.erase(probe);
  }
}

void PacketAgent::OnQuery(const Endpoint& aFrom, NodeMessageType aType,
                          std::span<const std::uint8_t> aBytes, PacketOutput& aOutput,
                          TimePoint aNow)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  const FlowKey& key = message.value().mFlows.front();
  const std::uint32_t number = message.value().mNumber;
  if (Holds(key, message.value().mSequence)) {
    SendFlowAnswer(aFrom, NodeMessageType::HolderFound, number, key, mSettings.mEndpoint, aOutput);
    return;
  }
  if (aType == NodeMessageType::Query) {
    if (const auto holder = mDirectory.Find(key)) {
      SendFlowAnswer(aFrom, NodeMessageType::HolderFound, number, key, *holder, aOutput);
      return;
    }
  }
  const NodeMessageType answer = NegativeAnswer(aType, aNow);
  if (answer == NodeMessageType::ProbeNeeded) {
    mUnknownFlowQueried = true;
  } else {
    OnDenial(key, answer == NodeMessageType::NotFound ? "not_found" : "not_registered", aFrom,
             aNow);
  }
  SendFlowAnswer(aFrom, answer, number, key, {}, aOutput);
}

// Whether the table has the flow of the caller's packet with this sequence number. A copy of the
// opening packet may come after more data than the window.
bool PacketAgent::Holds(const FlowKey& aKey, std::uint32_t aSequence) const
{
  const auto found = mFlows.find(aKey);
  return found != mFlows.end() &&
         (!IsOfOtherFlow(found->second, aSequence) || found->second.mOpeningSequence == aSequence);
}

// The answer to a query for a flow that is neither in the table nor in the directory.
NodeMessageType PacketAgent::NegativeAnswer(NodeMessageType aQuery, TimePoint aNow) const
{
  if (!TableIsComplete(aNow)) {
    return NodeMessageType::ProbeNeeded;
  }
  return aQuery == NodeMessageType::Query && mInView ? NodeMessageType::NotRegistered
                                                     : NodeMessageType::NotFound;
}

void PacketAgent::OnRegister(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                             PacketOutput& aOutput, TimePoint aNow)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  bool stored = true;
  for (const FlowKey& flow : message.value().mFlows) {
    stored = mDirectory.Register(flow, aFrom, aNow) && stored;
  }
  if (stored) {
    aOutput.SendToNode(aFrom, {NodeMessageType::RegisterAck, ReturnReason::None}, aBytes);
  }
}

void PacketAgent::OnRegisterAck(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  // An earlier process of the directory agent may have sent it. It then answers a registration by
  // an earlier view, because this one contains the incarnation of the present process.
  if (message.value().mAgentsDigest != mDirectoryAgents.Digest()) {
    return;
  }
  const std::uint64_t agent = HashOf(aFrom);
  for (const FlowKey& key : message.value().mFlows) {
    if (const auto found = mFlows.find(key); found != mFlows.end()) {
      auto& unconfirmed = found->second.mUnconfirmedAgents;
      std::replace(unconfirmed.begin(), unconfirmed.end(), agent, std::uint64_t{0});
    }
  }
}

bool PacketAgent::HasUnconfirmedAgents(const Flow& aFlow)
{
  return std::any_of(aFlow.mUnconfirmedAgents.begin(), aFlow.mUnconfirmedAgents.end(),
                     [](std::uint64_t aAgent) { return aAgent != 0; });
}

void PacketAgent::AddRegistrations(const FlowKey& aKey, Flow& aFlow, Registrations& aRegistrations,
                                   PacketOutput& aOutput, TimePoint aNow)
{
  aFlow.mRegisteredAt = aNow;
  aFlow.mUnconfirmedAgents = {};
  std::size_t count = 0;
  for (const Endpoint& agent : mDirectoryAgents.AgentsFor(aKey)) {
    if (agent == mSettings.mEndpoint) {
      continue;
    }
    aFlow.mUnconfirmedAgents[count++] = HashOf(agent);
    FlowMessage& message = aRegistrations[agent];
    message.mAgentsDigest = mDirectoryAgents.Digest();
    message.mFlows.push_back(aKey);
    if (message.mFlows.size() == FlowMessage::kMaxFlows) {
      SendRegistrations({{agent, message}}, aOutput);
      message.mFlows.clear();
    }
  }
}

void PacketAgent::SendRegistrations(const Registrations& aRegistrations, PacketOutput& aOutput)
{
  for (const auto& [agent, message] : aRegistrations) {
    if (!message.mFlows.empty()) {
      aOutput.SendToNode(agent, {NodeMessageType::Register, ReturnReason::None}, message.Encode());
    }
  }
}

// Registers flows that are new, not confirmed or due for a refresh, and all flows after the
// directory agents have changed.
void PacketAgent::RegisterFlows(PacketOutput& aOutput, TimePoint aNow)
{
  const bool registerAll = std::exchange(mDirectoryAgentsChanged, false);
  Registrations registrations;
  for (auto& [key, flow] : mFlows) {
    if (!flow.mAccepted || flow.mClosed) {
      continue;
    }
    if (registerAll || HasUnconfirmedAgents(flow) || !flow.mRegisteredAt ||
        aNow - *flow.mRegisteredAt >= FlowDirectory::kRefreshInterval) {
      AddRegistrations(key, flow, registrations, aOutput, aNow);
    }
  }
  SendRegistrations(registrations, aOutput);
}

// Some of the holders that are missing from the view; others at other agents and times, so that
// balancers learn of all.
std::vector<Endpoint> PacketAgent::UnseenHolders(TimePoint aNow) const
{
  std::vector<Endpoint> unseen;
  for (const auto& [holder, registeredAt] : mDirectory.Holders()) {
    if (!mAgentsInView.contains(holder) && holder != mSettings.mEndpoint) {
      unseen.push_back(holder);
    }
  }
  if (!unseen.empty()) {
    const std::uint64_t turn = HashOf(mSettings.mEndpoint) +
                               static_cast<std::uint64_t>((aNow - mStartedAt) / kUnseenHoldersTurn);
    std::rotate(unseen.begin(), unseen.begin() + static_cast<std::ptrdiff_t>(turn % unseen.size()),
                unseen.end());
    unseen.resize(std::min(unseen.size(), LoadReport::kMaxUnseenHolders));
  }
  return unseen;
}

// Whether the directory agents of the view know all flows that are open here.
bool PacketAgent::AllFlowsConfirmed() const
{
  return !mDirectoryAgentsChanged &&
         std::all_of(mFlows.begin(), mFlows.end(), [](const auto& aItem) {
           const Flow& flow = aItem.second;
           return !flow.mAccepted || flow.mClosed ||
                  (flow.mRegisteredAt && !HasUnconfirmedAgents(flow));
         });
}

} // namespace dandelionslip
