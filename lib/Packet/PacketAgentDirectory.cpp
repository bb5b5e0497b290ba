// Registration of flows with their home agents, and answers to balancers that look for a flow.
#include "dandelionslip/Packet/PacketAgent.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

// A registration that its homes have not confirmed within this time, two attempts, may be lost: the
// balancers must ask this agent itself.
constexpr Milliseconds kConfirmTime{400};

} // namespace

void PacketAgent::OnView(const View& aView, std::uint64_t aOwnIncarnation)
{
  mHomesChanged = mHomes.Update(aView) || mHomesChanged;
  mRegisteredWith = mHomesChanged ? 0 : mRegisteredWith;
  const std::string own = mSettings.mEndpoint.ToString();
  mIsHome = std::any_of(aView.mMembers.begin(), aView.mMembers.end(), [&](const auto& aItem) {
    const Member& member = aItem.second;
    return member.mDatagramEndpoint == own && member.mIncarnation == aOwnIncarnation &&
           HoldsFlows(member.mState);
  });
}

void PacketAgent::SayWhere(const Endpoint& aBalancer, NodeMessageType aKind, const FlowKey& aFlow,
                           const Endpoint& aHolder, PacketOutput& aOutput)
{
  const FlowMessage message{aHolder, {aFlow}};
  aOutput.SendToNode(aBalancer, {aKind, ReturnReason::None}, message.Encode());
}

// The upstream has reacted to a probe with a packet of the flow, so it holds it.
void PacketAgent::AnswerProbe(const FlowKey& aFlow, PacketOutput& aOutput)
{
  if (const auto probe = mProbes.find(aFlow); probe != mProbes.end()) {
    SayWhere(probe->second.mBalancer, NodeMessageType::Held, aFlow, mSettings.mEndpoint, aOutput);
    mProbes.erase(probe);
  }
}

void PacketAgent::OnQuery(const Endpoint& aFrom, NodeMessageType aKind,
                          std::span<const std::uint8_t> aBytes, PacketOutput& aOutput,
                          TimePoint aNow)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  const FlowKey& key = message.value().mFlows.front();
  if (mFlows.contains(key)) {
    SayWhere(aFrom, NodeMessageType::Held, key, mSettings.mEndpoint, aOutput);
    return;
  }
  if (aKind == NodeMessageType::Query) {
    if (const auto holder = mDirectory.Find(key)) {
      SayWhere(aFrom, NodeMessageType::Held, key, *holder, aOutput);
      return;
    }
  }
  SayWhere(aFrom, Denial(aKind, aNow), key, {}, aOutput);
}

NodeMessageType PacketAgent::Denial(NodeMessageType aQuery, TimePoint aNow) const
{
  if (!TableIsComplete(aNow) && !UpstreamIsAbsent(aNow)) {
    return NodeMessageType::Unsure;
  }
  return aQuery == NodeMessageType::Query && mIsHome ? NodeMessageType::Unregistered
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

void PacketAgent::OnRegistered(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  const std::uint64_t home = HashOf(aFrom);
  for (const FlowKey& key : message.value().mFlows) {
    if (const auto found = mFlows.find(key); found != mFlows.end()) {
      auto& awaited = found->second.mAwaited;
      std::replace(awaited.begin(), awaited.end(), home, std::uint64_t{0});
    }
  }
}

bool PacketAgent::AwaitsHomes(const Flow& aFlow)
{
  return std::any_of(aFlow.mAwaited.begin(), aFlow.mAwaited.end(),
                     [](std::uint64_t aHome) { return aHome != 0; });
}

void PacketAgent::Register(const FlowKey& aKey, Flow& aFlow, Registrations& aRegistrations,
                           PacketOutput& aOutput, TimePoint aNow)
{
  if (!AwaitsHomes(aFlow)) {
    aFlow.mAwaitedSince = aNow;
  }
  aFlow.mRegisteredAt = aNow;
  aFlow.mAwaited = {};
  std::size_t count = 0;
  for (const Endpoint& home : mHomes.Of(aKey)) {
    if (home == mSettings.mEndpoint) {
      continue;
    }
    aFlow.mAwaited[count++] = HashOf(home);
    FlowMessage& message = aRegistrations[home];
    message.mFlows.push_back(aKey);
    if (message.mFlows.size() == FlowMessage::kMaxFlows) {
      SendRegistrations({{home, message}}, aOutput);
      message.mFlows.clear();
    }
  }
}

void PacketAgent::SendRegistrations(const Registrations& aRegistrations, PacketOutput& aOutput)
{
  for (const auto& [home, message] : aRegistrations) {
    if (!message.mFlows.empty()) {
      aOutput.SendToNode(home, {NodeMessageType::Register, ReturnReason::None}, message.Encode());
    }
  }
}

// Flows that their homes have not confirmed are registered again, and all flows after the homes
// have changed.
void PacketAgent::RegisterFlows(PacketOutput& aOutput, TimePoint aNow)
{
  const bool all = std::exchange(mHomesChanged, false);
  bool confirmed = true;
  Registrations registrations;
  for (auto& [key, flow] : mFlows) {
    if (!flow.mAccepted || flow.mClosed) {
      continue;
    }
    const bool overdue = AwaitsHomes(flow) && aNow - flow.mAwaitedSince > kConfirmTime;
    confirmed = confirmed && !all && !overdue;
    if (all || AwaitsHomes(flow) || !flow.mRegisteredAt ||
        aNow - *flow.mRegisteredAt >= FlowDirectory::kRefresh) {
      Register(key, flow, registrations, aOutput, aNow);
    }
  }
  // After a change of the homes, a flow that awaits them is one they may not know at all.
  const bool knownBefore = mRegisteredWith == mHomes.Digest();
  const bool open =
    !knownBefore && std::any_of(mFlows.begin(), mFlows.end(), [](const auto& aItem) {
      return !aItem.second.mClosed && AwaitsHomes(aItem.second);
    });
  mRegisteredWith = confirmed && !open ? mHomes.Digest() : 0;
  SendRegistrations(registrations, aOutput);
}

} // namespace dandelionslip
