// Finds the agent that holds a flow which this balancer does not know.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// A search without an answer is begun anew when this has passed: the first retransmission interval
// of callers.
constexpr Milliseconds kSearchPause{180};

// Packets kept until the holder is found; a caller has up to 16 in flight, and sends the others
// again.
constexpr std::size_t kKeptPackets = 4;

} // namespace

void PacketBalancer::Ask(const FlowKey& aKey, Search& aSearch, HopKind aKind, PacketOutput& aOutput)
{
  const auto message = FlowMessage{{}, {aKey}}.Encode();
  for (const Endpoint& agent : aSearch.mAsked) {
    aOutput.SendToNode(agent, {aKind, ReturnReason::None}, message);
  }
}

// The next stage of a search that has someone to ask; the last one asks every agent.
void PacketBalancer::AskNext(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput)
{
  aSearch.mAsked.clear();
  if (aSearch.mStage == SearchStage::Homes) {
    aSearch.mStage = SearchStage::Choices;
    const RouteEntry* route = FindRoute(aKey);
    for (std::size_t i = 0; route != nullptr && i < route->mTargets.size(); ++i) {
      const auto choices = ChoicesFor(route->mTargets[i].mService, aKey);
      aSearch.mAsked.insert(aSearch.mAsked.end(), choices.begin(), choices.end());
    }
  }
  if (aSearch.mAsked.empty()) {
    for (const auto& [endpoint, agent] : mAgents) {
      aSearch.mAsked.push_back(endpoint);
    }
  }
  if (aSearch.mAsked.size() == mAgents.size()) {
    aSearch.mStage = SearchStage::Everywhere;
  }
  Ask(aKey, aSearch, HopKind::QueryHeld, aOutput);
}

// The homes of the flow are asked first. When they do not answer, or named an agent that does not
// hold the flow, the search goes on.
void PacketBalancer::LookFor(const Segment& aSegment, Flow& aFlow,
                             std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                             TimePoint aNow)
{
  const bool again = aFlow.mSearch && aNow - aFlow.mSearch->mSince > kSearchPause;
  const SearchStage before = aFlow.mSearch ? aFlow.mSearch->mStage : SearchStage::Homes;
  if (aFlow.mSearch && !again) {
    if (aFlow.mSearch->mPackets.size() < kKeptPackets) {
      aFlow.mSearch->mPackets.emplace_back(aPacket.begin(), aPacket.end());
    }
    return;
  }
  aFlow.mSearch = std::make_unique<Search>();
  Search& search = *aFlow.mSearch;
  search.mSince = aNow;
  search.mPackets.emplace_back(aPacket.begin(), aPacket.end());
  mSearched.Add();
  search.mAsked = mHomes.Of(aSegment.mFlow);
  if (again || search.mAsked.empty() || !aFlow.mTried.empty()) {
    // A search without an answer begins anew with the stage after the one that it reached.
    search.mStage = before == SearchStage::Everywhere ? SearchStage::Homes : before;
    AskNext(aSegment.mFlow, search, aOutput);
    return;
  }
  Ask(aSegment.mFlow, search, HopKind::Query, aOutput);
}

bool PacketBalancer::IsSettled(TimePoint aNow) const
{
  return mFirstAgentAt && aNow - *mFirstAgentAt >= mSettings.mSettleTime;
}

void PacketBalancer::OnFlowMessage(const Endpoint& aFrom, HopKind aKind,
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
  if (aKind == HopKind::Unsure) {
    if (flow.mSearch->mStage == SearchStage::Everywhere && mProbesLeft == 0) {
      return;
    }
    mProbesLeft -= flow.mSearch->mStage == SearchStage::Everywhere ? 1 : 0;
    aOutput.SendToNode(aFrom, {HopKind::DeliverIfHeld, ReturnReason::None},
                       flow.mSearch->mPackets.back());
  } else if (aKind == HopKind::Held) {
    OnHeld(key, flow, message.value().mHolder, aOutput);
  } else {
    OnNotFound(key, flow, aFrom, aOutput, aNow);
  }
}

void PacketBalancer::OnHeld(const FlowKey& aKey, Flow& aFlow, const Endpoint& aHolder,
                            PacketOutput& aOutput)
{
  const bool denied =
    std::find(aFlow.mTried.begin(), aFlow.mTried.end(), aHolder) != aFlow.mTried.end();
  if (denied && aFlow.mSearch->mStage == SearchStage::Homes) {
    // The registration is out of date.
    AskNext(aKey, *aFlow.mSearch, aOutput);
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
    aOutput.SendToNode(aHolder, {HopKind::Deliver, ReturnReason::None}, packet);
  }
}

// A flow that no upstream holds is reset, so that its caller does not wait for an answer until its
// deadline.
void PacketBalancer::OnNotFound(const FlowKey& aKey, Flow& aFlow, const Endpoint& aFrom,
                                PacketOutput& aOutput, TimePoint aNow)
{
  Search& search = *aFlow.mSearch;
  if (std::erase(search.mAsked, aFrom) == 0 || !search.mAsked.empty()) {
    return;
  }
  if (search.mStage != SearchStage::Everywhere) {
    AskNext(aKey, search, aOutput);
    return;
  }
  const auto segment = mCodec.DecodeFromCaller(search.mPackets.back());
  if (IsSettled(aNow) && segment && !segment->mResets) {
    mFlows.erase(aKey);
    Reset(*segment, aOutput, mNotFound);
  }
}

} // namespace dandelionslip
