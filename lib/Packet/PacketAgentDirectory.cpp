// Registration of flows with their home agents, and answers to balancers that look for a flow.
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"

#include <map>
#include <utility>

namespace dandelionslip {

void PacketAgent::OnView(const View& aView)
{
  mHomesChanged = mHomes.Update(aView) || mHomesChanged;
}

void PacketAgent::SayWhere(const Endpoint& aBalancer, HopKind aKind, const FlowKey& aFlow,
                           const Endpoint& aHolder, PacketOutput& aOutput)
{
  const FlowMessage message{aHolder, {aFlow}};
  aOutput.SendToNode(aBalancer, {aKind, ReturnReason::None}, message.Encode());
}

// The upstream has reacted to a probe with a packet of the flow, so it holds it.
void PacketAgent::AnswerProbe(const FlowKey& aFlow, PacketOutput& aOutput)
{
  if (const auto probe = mProbes.find(aFlow); probe != mProbes.end()) {
    SayWhere(probe->second.mBalancer, HopKind::Held, aFlow, mSettings.mEndpoint, aOutput);
    mProbes.erase(probe);
  }
}

void PacketAgent::OnQuery(const Endpoint& aFrom, HopKind aKind,
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
    SayWhere(aFrom, HopKind::Held, key, mSettings.mEndpoint, aOutput);
    return;
  }
  if (aKind == HopKind::Query) {
    if (const auto holder = mDirectory.Find(key)) {
      SayWhere(aFrom, HopKind::Held, key, *holder, aOutput);
      return;
    }
  }
  const bool absent = UpstreamIsAbsent(aNow);
  // Whether the upstream has started, and holds flows of before this agent's start, is not known.
  if (!mUpstream && !mUpstreamSentPackets && !absent) {
    return;
  }
  const bool denied = absent || TableIsComplete(aNow);
  SayWhere(aFrom, denied ? HopKind::NotFound : HopKind::Unsure, key, {}, aOutput);
}

void PacketAgent::OnRegister(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                             TimePoint aNow)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  for (const FlowKey& flow : message.value().mFlows) {
    mDirectory.Register(flow, aFrom, aNow);
  }
}

void PacketAgent::RegisterFlows(PacketOutput& aOutput, TimePoint aNow)
{
  const bool all = std::exchange(mHomesChanged, false);
  std::map<Endpoint, FlowMessage> messages;
  const auto send = [&](const Endpoint& aHome, FlowMessage& aMessage) {
    aOutput.SendToNode(aHome, {HopKind::Register, ReturnReason::None}, aMessage.Encode());
    aMessage.mFlows.clear();
  };
  for (auto& [key, flow] : mFlows) {
    const bool due =
      all || !flow.mRegisteredAt || aNow - *flow.mRegisteredAt >= FlowDirectory::kRefresh;
    if (!flow.mAccepted || flow.mClosed || !due) {
      continue;
    }
    flow.mRegisteredAt = aNow;
    for (const Endpoint& home : mHomes.Of(key)) {
      if (home == mSettings.mEndpoint) {
        continue;
      }
      FlowMessage& message = messages[home];
      message.mFlows.push_back(key);
      if (message.mFlows.size() == FlowMessage::kMaxFlows) {
        send(home, message);
      }
    }
  }
  for (auto& [home, message] : messages) {
    if (!message.mFlows.empty()) {
      send(home, message);
    }
  }
}

} // namespace dandelionslip
