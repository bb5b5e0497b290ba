// Finds the agent that holds a flow which this balancer does not know.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Agents that have not answered a search are asked again when this has passed: the first
// retransmission interval of callers.
constexpr Milliseconds kSearchPause{180};

// A search that has not ended asks the homes again after this time; a registration may have come
// since.
constexpr Milliseconds kSearchLifetime{2'000};

// Packets kept until the holder is found; a caller has up to 16 in flight, and sends the others
// again.
constexpr std::size_t kKeptPackets = 4;

bool Contains(std::span<const Endpoint> aEndpoints, const Endpoint& aEndpoint)
{
  return std::find(aEndpoints.begin(), aEndpoints.end(), aEndpoint) != aEndpoints.end();
}

} // namespace

void PacketBalancer::Ask(const FlowKey& aKey, Search& aSearch, NodeMessageType aKind,
                         PacketOutput& aOutput, TimePoint aNow)
{
  const bool rationed = aSearch.mStage == SearchStage::Everywhere;
  const auto message = FlowMessage{{}, {aKey}}.Encode();
  for (const Endpoint& agent : aSearch.mAsked) {
    if (rationed && !mSearchBudget.TryTake(aNow)) {
      return;
    }
    aOutput.SendToNode(agent, {aKind, ReturnReason::None}, message);
  }
}

// Whether the homes know all flows of the agent, so that it need not be asked itself.
bool PacketBalancer::IsCovered(const Agent& aAgent, TimePoint aNow) const
{
  return aAgent.mReportedAt && aNow - *aAgent.mReportedAt <= mSettings.mReportLifetime &&
         mHomes.Digest() != 0 && aAgent.mReport.mRegisteredWith == mHomes.Digest();
}

// Whether both homes deny a flow that they would know if a covered agent held it. The homes must
// have seen the view that this balancer has, with their present process in it.
bool PacketBalancer::HomesDeny(const FlowKey& aKey, const Search& aSearch, TimePoint aNow) const
{
  const auto homes = mHomes.Of(aKey);
  return aSearch.mStage == SearchStage::Homes && !homes.empty() &&
         std::all_of(homes.begin(), homes.end(), [&](const Endpoint& aHome) {
           const auto agent = mAgents.find(aHome);
           return Contains(aSearch.mUnregistered, aHome) && agent != mAgents.end() &&
                  IsCovered(agent->second, aNow);
         });
}

// The agents of the next stage that have not denied the flow. The last stage asks every agent, or
// those that the homes do not speak for.
void PacketBalancer::AskNext(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput,
                             TimePoint aNow)
{
  const bool denied = HomesDeny(aKey, aSearch, aNow);
  aSearch.mAsked.clear();
  const auto add = [&](const Endpoint& aAgent) {
    if (!Contains(aSearch.mDenied, aAgent)) {
      aSearch.mAsked.push_back(aAgent);
    }
  };
  if (aSearch.mStage == SearchStage::Homes && !denied) {
    aSearch.mStage = SearchStage::Choices;
    const RouteEntry* route = FindRoute(aKey);
    for (std::size_t i = 0; route != nullptr && i < route->mTargets.size(); ++i) {
      const auto choices = ChoicesFor(route->mTargets[i].mService, aKey);
      std::for_each(choices.begin(), choices.end(), add);
    }
  }
  if (aSearch.mAsked.empty()) {
    aSearch.mStage = SearchStage::Everywhere;
    for (const auto& [endpoint, agent] : mAgents) {
      if (!denied || !IsCovered(agent, aNow)) {
        add(endpoint);
      }
    }
  }
  Ask(aKey, aSearch, NodeMessageType::QueryHeld, aOutput, aNow);
}

// The homes of the flow are asked first. When they do not answer, or named an agent that does not
// hold the flow, the search goes on.
void PacketBalancer::LookFor(const Segment& aSegment, Flow& aFlow,
                             std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                             TimePoint aNow)
{
  if (aFlow.mSearch && aNow - aFlow.mSearch->mBegan <= kSearchLifetime) {
    Continue(aSegment, aFlow, aPacket, aOutput, aNow);
    return;
  }
  aFlow.mSearch = std::make_unique<Search>();
  Search& search = *aFlow.mSearch;
  search.mBegan = search.mSince = aNow;
  search.mDenied = aFlow.mTried;
  search.mPackets.emplace_back(aPacket.begin(), aPacket.end());
  mSearched.Add();
  search.mAsked = mHomes.Of(aSegment.mFlow);
  if (search.mAsked.empty() || !aFlow.mTried.empty()) {
    AskNext(aSegment.mFlow, search, aOutput, aNow);
  } else {
    Ask(aSegment.mFlow, search, NodeMessageType::Query, aOutput, aNow);
  }
  EndFruitless(aSegment.mFlow, search, aOutput, aNow);
}

// A packet of a flow that is being looked for. Agents that have not answered are asked again; what
// others have denied stays denied.
void PacketBalancer::Continue(const Segment& aSegment, Flow& aFlow,
                              std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                              TimePoint aNow)
{
  Search& search = *aFlow.mSearch;
  const bool pause = aNow - search.mSince > kSearchPause;
  if (pause) {
    search.mPackets.clear();
  }
  if (search.mPackets.size() < kKeptPackets) {
    search.mPackets.emplace_back(aPacket.begin(), aPacket.end());
  }
  if (!pause) {
    return;
  }
  search.mSince = aNow;
  if (search.mStage == SearchStage::Everywhere) {
    Ask(aSegment.mFlow, search, NodeMessageType::QueryHeld, aOutput, aNow);
  } else {
    AskNext(aSegment.mFlow, search, aOutput, aNow);
  }
  EndFruitless(aSegment.mFlow, search, aOutput, aNow);
}

bool PacketBalancer::IsSettled(TimePoint aNow) const
{
  return mFirstAgentAt && aNow - *mFirstAgentAt >= mSettings.mSettleTime;
}

void PacketBalancer::OnFlowMessage(const Endpoint& aFrom, NodeMessageType aKind,
                                   std::span<const std::uint8_t> aBytes, PacketOutput& aOutput,
                                   TimePoint aNow)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  const FlowKey& key = message.value().mFlows.front();
  const auto found = mFlows.find(key);
  if (found == mFlows.end() || !found->second.mSearch) {
    return;
  }
  Flow& flow = found->second;
  if (aKind == NodeMessageType::Unsure) {
    Probe(aFrom, *flow.mSearch, aOutput);
  } else if (aKind == NodeMessageType::Held) {
    OnHeld(key, flow, message.value().mHolder, aOutput, aNow);
  } else {
    if (aKind == NodeMessageType::Unregistered) {
      flow.mSearch->mUnregistered.push_back(aFrom);
    }
    OnDenied(key, *flow.mSearch, aFrom, aOutput, aNow);
  }
}

// Only the agent's upstream knows: it gets a packet of the flow.
void PacketBalancer::Probe(const Endpoint& aAgent, const Search& aSearch, PacketOutput& aOutput)
{
  const bool rationed = aSearch.mStage == SearchStage::Everywhere;
  if (rationed && mProbesLeft == 0) {
    return;
  }
  mProbesLeft -= rationed ? 1 : 0;
  aOutput.SendToNode(aAgent, {NodeMessageType::DeliverIfHeld, ReturnReason::None},
                     aSearch.mPackets.back());
}

void PacketBalancer::OnHeld(const FlowKey& aKey, Flow& aFlow, const Endpoint& aHolder,
                            PacketOutput& aOutput, TimePoint aNow)
{
  if (Contains(aFlow.mTried, aHolder) && aFlow.mSearch->mStage == SearchStage::Homes) {
    // The registration is out of date.
    AskNext(aKey, *aFlow.mSearch, aOutput, aNow);
    return;
  }
  const auto search = std::move(aFlow.mSearch);
  aFlow.mHolder = aHolder;
  aFlow.mTried.clear();
  LogEvent(LogLevel::Info, "flow_found")
    .With("flow", ToString(aKey))
    .With("agent", aHolder.ToString())
    .With("asked", search->mStage == SearchStage::Homes     ? "homes"
                   : search->mStage == SearchStage::Choices ? "choices"
                                                            : "all")
    .With("view", mViewRevision);
  for (const auto& packet : search->mPackets) {
    mForwarded.Add();
    aOutput.SendToNode(aHolder, {NodeMessageType::Deliver, ReturnReason::None}, packet);
  }
}

void PacketBalancer::OnDenied(const FlowKey& aKey, Search& aSearch, const Endpoint& aFrom,
                              PacketOutput& aOutput, TimePoint aNow)
{
  if (!Contains(aSearch.mDenied, aFrom)) {
    aSearch.mDenied.push_back(aFrom);
  }
  if (std::erase(aSearch.mAsked, aFrom) == 0 || !aSearch.mAsked.empty()) {
    return;
  }
  if (aSearch.mStage != SearchStage::Everywhere) {
    AskNext(aKey, aSearch, aOutput, aNow);
  }
  EndFruitless(aKey, aSearch, aOutput, aNow);
}

// A flow that no upstream holds is reset, so that its caller does not wait for an answer until its
// deadline.
void PacketBalancer::EndFruitless(const FlowKey& aKey, const Search& aSearch, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  if (aSearch.mStage != SearchStage::Everywhere || !aSearch.mAsked.empty() || !IsSettled(aNow)) {
    return;
  }
  const auto segment = mCodec.DecodeFromCaller(aSearch.mPackets.back());
  mFlows.erase(aKey);
  if (segment && !segment->mResets) {
    Reset(*segment, aOutput, mNotFound);
  }
}

} // namespace dandelionslip
