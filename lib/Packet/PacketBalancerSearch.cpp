// Search for the holder of a flow that is not in the balancer's flow table.
#include "dandelionslip/Packet/PacketBalancer.h"

#include "SequenceWindow.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

// A packet of the flow that arrives more than this after the last queries triggers new ones.
// Slightly less than the first retransmission interval of callers.
constexpr Milliseconds kRetryInterval{180};

// A search that has not ended in this time starts over with the directory agents when the next
// packet comes, because the flow may have been registered since and the agents' answers are out of
// date.
constexpr Milliseconds kSearchLifetime{2'000};

// Limit of packets that are kept until the holder is found. A caller has up to 16 in flight and
// retransmits the others.
constexpr std::size_t kMaxKeptPackets = 4;

// A load report that arrives this much after a packet was sent after it, unless the network delays
// reports for longer than callers' packets.
constexpr Milliseconds kMaxReportDelay{50};

// Shortest interval between checks whether searches that wait for load reports may go on.
constexpr Milliseconds kReportCheckInterval{20};

bool Contains(std::span<const Endpoint> aEndpoints, const Endpoint& aEndpoint)
{
  return std::find(aEndpoints.begin(), aEndpoints.end(), aEndpoint) != aEndpoints.end();
}

} // namespace

Bytes PacketBalancer::QueryOf(const FlowKey& aKey, const Search& aSearch) const
{
  return FlowMessage{
    {}, {aKey}, mDirectoryAgents.Digest(), aSearch.mDenialNumber, aSearch.mSequence}
    .Encode();
}

// Queries all agents that have not answered. In stage AllAgents, the search budget limits the
// number of queries. Agents outside the view may be the directory agents of a holder outside the
// view, and are queried as such.
void PacketBalancer::SendQueries(const FlowKey& aKey, Search& aSearch, NodeMessageType aType,
                                 PacketOutput& aOutput, TimePoint aNow)
{
  const bool limited = aSearch.mStage == SearchStage::AllAgents;
  const Bytes message = QueryOf(aKey, aSearch);
  for (const Endpoint& agent : aSearch.mUnanswered) {
    if (limited && !mSearchBudget.TryTake(aNow)) {
      return;
    }
    const auto known = mAgents.find(agent);
    const bool outside = limited && known != mAgents.end() && !known->second.mInView;
    aOutput.SendToNode(agent, {outside ? NodeMessageType::Query : aType, ReturnReason::None},
                       message);
  }
}

// Digests of the present and earlier agents by which the flow has the present directory agents. An
// agent with such a view has registered the flow with them, and a directory agent with such a view
// is the process that this balancer knows.
std::vector<std::uint64_t> PacketBalancer::AgreeingDigests(const FlowKey& aKey) const
{
  std::vector<std::uint64_t> digests;
  if (mDirectoryAgents.Digest() == 0) {
    return digests;
  }
  digests.push_back(mDirectoryAgents.Digest());
  for (const DirectoryAgents& earlier : mEarlierDirectoryAgents) {
    if (earlier.Digest() != 0 && mDirectoryAgents.HasSameAgentsFor(aKey, earlier)) {
      digests.push_back(earlier.Digest());
    }
  }
  return digests;
}

// Whether the directory agents know all flows of the agent, so that it need not be queried itself.
bool PacketBalancer::IsCoveredByDirectory(const Agent& aAgent,
                                          std::span<const std::uint64_t> aDigests,
                                          TimePoint aNow) const
{
  return aAgent.mReportedAt && aNow - *aAgent.mReportedAt <= mSettings.mReportLifetime &&
         std::find(aDigests.begin(), aDigests.end(), aAgent.mReport.mConfirmedAgentsDigest) !=
           aDigests.end();
}

// Whether the agent is known and may hold flows. A lost agent does not if it last reported that it
// knew all flows of its upstream, had none and took none: it reports before it takes any again.
bool PacketBalancer::MayHoldFlows(const Endpoint& aEndpoint) const
{
  const auto found = mAgents.find(aEndpoint);
  if (found == mAgents.end()) {
    return false;
  }
  const Agent& agent = found->second;
  const LoadReport& report = agent.mReport;
  return !agent.mLostAt || !agent.mReportedAt || report.mConfirmedAgentsDigest == 0 ||
         report.mFlows > 0 || report.mAccepts;
}

// Whether the directory agents show that no covered agent holds the flow. Each of them must have
// answered NotRegistered, which shows that its view contains its current incarnation. Each must
// also be covered itself, which shows that it knows the flow's directory agents as this balancer.
bool PacketBalancer::DirectoryRulesOut(const FlowKey& aKey, const Search& aSearch,
                                       TimePoint aNow) const
{
  const bool queried = aSearch.mStage == SearchStage::DirectoryAgents ||
                       aSearch.mStage == SearchStage::DirectoryAgentsAgain;
  const auto directoryAgents = mDirectoryAgents.AgentsFor(aKey);
  const auto digests = AgreeingDigests(aKey);
  return queried && !directoryAgents.empty() &&
         std::all_of(directoryAgents.begin(), directoryAgents.end(), [&](const Endpoint& aAgent) {
           const auto agent = mAgents.find(aAgent);
           return Contains(aSearch.mDirectoryAgentsWithoutEntry, aAgent) &&
                  agent != mAgents.end() && IsCoveredByDirectory(agent->second, digests, aNow);
         });
}

// Time of the oldest load report among the covered agents. Each of them reports that all of its
// flows were registered at that time.
TimePoint PacketBalancer::OldestCoveringReport(const FlowKey& aKey, TimePoint aNow) const
{
  const auto digests = AgreeingDigests(aKey);
  TimePoint oldest = TimePoint::max();
  for (const auto& [endpoint, agent] : mAgents) {
    if (IsCoveredByDirectory(agent, digests, aNow)) {
      oldest = std::min(oldest, *agent.mReportedAt);
    }
  }
  return oldest;
}

// Queries the directory agents a second time, once the covered agents have sent load reports after
// the search began. Reports from before it say nothing about a flow that was opened since, and the
// first answers may be older than its registration.
void PacketBalancer::ConfirmWithDirectory(const FlowKey& aKey, Search& aSearch,
                                          PacketOutput& aOutput, TimePoint aNow)
{
  if (OldestCoveringReport(aKey, aNow) < aSearch.mStartedAt + kMaxReportDelay) {
    if (!std::exchange(aSearch.mAwaitsReports, true)) {
      mAwaitingReports.push_back(aKey);
    }
    return;
  }
  aSearch.mStage = SearchStage::DirectoryAgentsAgain;
  aSearch.mDenialNumber = mNextNumber++;
  aSearch.mDirectoryAgentsWithoutEntry.clear();
  aSearch.mUnanswered = mDirectoryAgents.AgentsFor(aKey);
  SendQueries(aKey, aSearch, NodeMessageType::Query, aOutput, aNow);
}

// Continues the searches that waited for load reports and have them now.
void PacketBalancer::ContinueAwaitingSearches(PacketOutput& aOutput, TimePoint aNow)
{
  if (mAwaitingReports.empty() || aNow - mReportsCheckedAt < kReportCheckInterval) {
    return;
  }
  mReportsCheckedAt = aNow;
  for (const FlowKey& key : std::exchange(mAwaitingReports, {})) {
    const auto found = mFlows.find(key);
    if (found == mFlows.end() || !found->second.mSearch || !found->second.mSearch->mAwaitsReports) {
      continue;
    }
    if (OldestCoveringReport(key, aNow) < found->second.mSearch->mStartedAt + kMaxReportDelay) {
      mAwaitingReports.push_back(key);
      continue;
    }
    found->second.mSearch->mAwaitsReports = false;
    FinishSearch(key, found->second, aOutput, aNow);
  }
}

// Continues the searches that all known agents have denied, with the directory agents that the
// balancer knows now; a flow may have been registered since. Otherwise callers of dead flows would
// wait for their next retransmission, up to 1.6 s.
void PacketBalancer::ContinueSearchesAwaitingAgents(PacketOutput& aOutput, TimePoint aNow)
{
  if (mAwaitingAgents.empty() || !KnowsAllAgents(aNow)) {
    return;
  }
  for (const FlowKey& key : std::exchange(mAwaitingAgents, {})) {
    const auto found = mFlows.find(key);
    if (found == mFlows.end() || !IsSearching(found->second, aNow)) {
      continue;
    }
    Search& search = *found->second.mSearch;
    search.mNumber = search.mDenialNumber = mNextNumber++;
    search.mLastQueriedAt = aNow;
    QueryDirectory(key, search, aOutput, aNow);
    FinishSearch(key, found->second, aOutput, aNow);
  }
}

// Adds the agents that may hold the flow: all that are not ruled out and, if the directory rules
// out the agents that it covers, not covered.
void PacketBalancer::AddAgentsNotRuledOut(const FlowKey& aKey, Search& aSearch, TimePoint aNow)
{
  const auto digests = AgreeingDigests(aKey);
  for (const auto& [endpoint, agent] : mAgents) {
    const bool ruledOut =
      (aSearch.mDirectoryRulesOut && IsCoveredByDirectory(agent, digests, aNow)) ||
      IsDeniedBy(aSearch.mRuledOut, endpoint) || !MayHoldFlows(endpoint);
    if (!ruledOut) {
      aSearch.mUnanswered.push_back(endpoint);
    }
  }
}

// Goes on to the next stage that has agents which are not ruled out, and queries them. The last
// stage consists of all agents or, if the directory rules out the covered agents, of the others.
void PacketBalancer::QueryNextStage(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput,
                                    TimePoint aNow)
{
  aSearch.mDirectoryRulesOut = DirectoryRulesOut(aKey, aSearch, aNow);
  aSearch.mUnanswered.clear();
  if (aSearch.mStage == SearchStage::DirectoryAgents && !aSearch.mDirectoryRulesOut) {
    aSearch.mStage = SearchStage::PreferredAgents;
    const RouteEntry* route = FindRoute(aKey);
    for (std::size_t i = 0; route != nullptr && i < route->mTargets.size(); ++i) {
      for (const Endpoint& agent : PreferredAgentsFor(route->mTargets[i].mService, aKey)) {
        if (!IsDeniedBy(aSearch.mRuledOut, agent)) {
          aSearch.mUnanswered.push_back(agent);
        }
      }
    }
    SendQueries(aKey, aSearch, NodeMessageType::QueryLocal, aOutput, aNow);
    // The last stage queries lost agents again; an answer is not to be expected.
    std::erase_if(aSearch.mUnanswered,
                  [&](const Endpoint& aAgent) { return mAgents.at(aAgent).mLostAt.has_value(); });
    if (!aSearch.mUnanswered.empty()) {
      return;
    }
  }
  aSearch.mStage = SearchStage::AllAgents;
  AddAgentsNotRuledOut(aKey, aSearch, aNow);
  SendQueries(aKey, aSearch, NodeMessageType::QueryLocal, aOutput, aNow);
}

bool PacketBalancer::IsOfHeldFlow(const Flow& aFlow, const PacketHeader& aPacketHeader)
{
  return aFlow.mHolder && IsNear(aFlow.mSequence, aPacketHeader.mSequence);
}

bool PacketBalancer::IsSearchedFor(const Search& aSearch, const PacketHeader& aPacketHeader)
{
  return IsNear(aSearch.mSequence, aPacketHeader.mSequence);
}

bool PacketBalancer::IsSearching(const Flow& aFlow, TimePoint aNow)
{
  return aFlow.mSearch && aNow - aFlow.mSearch->mStartedAt <= kSearchLifetime;
}

void PacketBalancer::SearchHolder(const PacketHeader& aPacketHeader, Flow& aFlow,
                                  std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  if (IsSearching(aFlow, aNow) && IsSearchedFor(*aFlow.mSearch, aPacketHeader)) {
    ContinueSearch(aPacketHeader, aFlow, aPacket, aOutput, aNow);
  } else {
    StartSearch(aPacketHeader, aFlow, {}, aPacket, aOutput, aNow);
  }
}

void PacketBalancer::SearchAfterReturn(const PacketHeader& aPacketHeader, Flow& aFlow,
                                       const FlowDenial& aDenial,
                                       std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                                       TimePoint aNow)
{
  if (!IsSearching(aFlow, aNow)) {
    // With a holder, the packet is a late one of another flow of the port.
    if (!aFlow.mHolder) {
      StartSearch(aPacketHeader, aFlow, {aDenial}, aPacket, aOutput, aNow);
    }
    return;
  }
  if (!IsSearchedFor(*aFlow.mSearch, aPacketHeader)) {
    return;
  }
  KeepPacket(*aFlow.mSearch, aPacket);
  OnDenied(aPacketHeader.mFlow, aFlow, aDenial, aOutput, aNow);
}

// The directory agents are queried first, unless there are none or an agent has already returned a
// packet of the flow: then they probably name that agent. The next stage follows if they do not
// answer, do not know the holder, or name an agent that does not hold the flow.
void PacketBalancer::StartSearch(const PacketHeader& aPacketHeader, Flow& aFlow,
                                 std::vector<FlowDenial> aRuledOut,
                                 std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                                 TimePoint aNow)
{
  aFlow.mSearch = std::make_unique<Search>();
  Search& search = *aFlow.mSearch;
  search.mStartedAt = search.mLastQueriedAt = aNow;
  search.mNumber = search.mDenialNumber = mNextNumber++;
  search.mSequence = aPacketHeader.mSequence;
  search.mRuledOut = std::move(aRuledOut);
  KeepPacket(search, aPacket);
  mSearched.Add();
  if (search.mRuledOut.empty()) {
    QueryDirectory(aPacketHeader.mFlow, search, aOutput, aNow);
  } else {
    QueryNextStage(aPacketHeader.mFlow, search, aOutput, aNow);
  }
  FinishSearch(aPacketHeader.mFlow, aFlow, aOutput, aNow);
}

// Queries the flow's directory agents or, if none is known, the next stage's agents.
void PacketBalancer::QueryDirectory(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput,
                                    TimePoint aNow)
{
  aSearch.mStage = SearchStage::DirectoryAgents;
  aSearch.mDirectoryAgentsWithoutEntry.clear();
  aSearch.mUnanswered = mDirectoryAgents.AgentsFor(aKey);
  if (aSearch.mUnanswered.empty()) {
    QueryNextStage(aKey, aSearch, aOutput, aNow);
  } else {
    SendQueries(aKey, aSearch, NodeMessageType::Query, aOutput, aNow);
  }
}

void PacketBalancer::KeepPacket(Search& aSearch, std::span<const std::uint8_t> aPacket)
{
  if (aSearch.mPackets.size() < kMaxKeptPackets) {
    aSearch.mPackets.emplace_back(aPacket.begin(), aPacket.end());
  }
}

// Handles a further packet of a flow during a search: keeps it and, after kRetryInterval, sends new
// queries. Agents that were ruled out are not queried again.
void PacketBalancer::ContinueSearch(const PacketHeader& aPacketHeader, Flow& aFlow,
                                    std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                                    TimePoint aNow)
{
  Search& search = *aFlow.mSearch;
  const bool retry = aNow - search.mLastQueriedAt > kRetryInterval;
  if (retry) {
    // The caller retransmits: the kept packets are out of date.
    search.mPackets.clear();
  }
  KeepPacket(search, aPacket);
  if (!retry) {
    return;
  }
  search.mLastQueriedAt = aNow;
  // Some may have finished since they were queried.
  std::erase_if(search.mUnanswered, [&](const Endpoint& aAgent) { return !MayHoldFlows(aAgent); });
  if (search.mStage == SearchStage::AllAgents) {
    SendQueries(aPacketHeader.mFlow, search, NodeMessageType::QueryLocal, aOutput, aNow);
  } else if (search.mStage == SearchStage::DirectoryAgentsAgain) {
    SendQueries(aPacketHeader.mFlow, search, NodeMessageType::Query, aOutput, aNow);
  } else {
    QueryNextStage(aPacketHeader.mFlow, search, aOutput, aNow);
  }
  FinishSearch(aPacketHeader.mFlow, aFlow, aOutput, aNow);
}

// Whether the view has had time to become complete since the first agents were known.
bool PacketBalancer::ViewMayBeComplete(TimePoint aNow) const
{
  return mFirstAgentAt && aNow - *mFirstAgentAt >= mSettings.mViewCompletionTime;
}

// Whether every agent that may hold flows is known. Agents report to the balancers that control
// counts as live, so without a lease some may have joined unnoticed.
bool PacketBalancer::KnowsAllAgents(TimePoint aNow) const
{
  return ViewMayBeComplete(aNow) && aNow < mLeaseEnd;
}

void PacketBalancer::OnFlowMessage(const Endpoint& aFrom, NodeMessageType aType,
                                   std::span<const std::uint8_t> aBytes, PacketOutput& aOutput,
                                   TimePoint aNow)
{
  const auto message = FlowMessage::Decode(aBytes);
  if (!message) {
    mMalformed.Add();
    return;
  }
  const FlowKey& key = message.value().mFlows.front();
  // A directory agent speaks only for the registrations by the agents of its own view.
  if (aType == NodeMessageType::NotRegistered) {
    const auto digests = AgreeingDigests(key);
    if (std::find(digests.begin(), digests.end(), message.value().mAgentsDigest) == digests.end()) {
      aType = NodeMessageType::NotFound;
    }
  }
  const std::uint32_t number = message.value().mNumber;
  if (AnswerPendingRefusal(key, number, aFrom, aType, aOutput, aNow)) {
    return;
  }
  const auto found = mFlows.find(key);
  if (found == mFlows.end() || !found->second.mSearch) {
    return;
  }
  Flow& flow = found->second;
  const bool denies = aType == NodeMessageType::NotFound || aType == NodeMessageType::NotRegistered;
  if (number != flow.mSearch->mDenialNumber && (denies || number != flow.mSearch->mNumber)) {
    return;
  }
  if (aType == NodeMessageType::HolderFound) {
    OnHolderFound(key, flow, aFrom, message.value().mHolder, aOutput, aNow);
    return;
  }
  if (!IsSearching(flow, aNow)) {
    // The search's other answers are too old to decide anything together with this one.
    return;
  }
  if (aType == NodeMessageType::ProbeNeeded) {
    SendProbe(aFrom, *flow.mSearch, aOutput);
  } else {
    if (aType == NodeMessageType::NotRegistered) {
      flow.mSearch->mDirectoryAgentsWithoutEntry.push_back(aFrom);
    }
    OnDenied(key, flow, {aFrom, aType, ReturnReason::None, false, aNow}, aOutput, aNow);
  }
}

// Sends the agent a packet of the flow to deliver, because only its upstream knows whether it holds
// the flow.
void PacketBalancer::SendProbe(const Endpoint& aAgent, const Search& aSearch, PacketOutput& aOutput)
{
  const bool limited = aSearch.mStage == SearchStage::AllAgents;
  if (limited && mProbesLeft == 0) {
    return;
  }
  mProbesLeft -= limited ? 1 : 0;
  auto packet = aSearch.mPackets.back();
  mCodec.SetTag(packet, aSearch.mDenialNumber);
  aOutput.SendToNode(aAgent, {NodeMessageType::Probe, ReturnReason::None}, packet);
}

void PacketBalancer::OnHolderFound(const FlowKey& aKey, Flow& aFlow, const Endpoint& aFrom,
                                   const Endpoint& aHolder, PacketOutput& aOutput, TimePoint aNow)
{
  const bool outdated = IsDeniedBy(aFlow.mSearch->mRuledOut, aHolder);
  if (outdated && aFlow.mSearch->mStage == SearchStage::DirectoryAgents) {
    // The registration is out of date: this agent has returned a packet of the flow.
    QueryNextStage(aKey, *aFlow.mSearch, aOutput, aNow);
    return;
  }
  if (outdated && aFlow.mSearch->mStage == SearchStage::AllAgents && aHolder != aFrom) {
    // The registration is out of date, and does not say whether aFrom holds the flow itself.
    aOutput.SendToNode(aFrom, {NodeMessageType::QueryLocal, ReturnReason::None},
                       QueryOf(aKey, *aFlow.mSearch));
    return;
  }
  const auto search = std::move(aFlow.mSearch);
  aFlow.mHolder = aHolder;
  aFlow.mSequence = search->mSequence;
  LogEvent(LogLevel::Info, "flow_found")
    .With("flow", ToString(aKey))
    .With("agent", aHolder.ToString())
    .With("asked", search->mStage == SearchStage::AllAgents         ? "all"
                   : search->mStage == SearchStage::PreferredAgents ? "choices"
                                                                    : "homes")
    .With("view", mViewRevision);
  for (const auto& packet : search->mPackets) {
    mForwarded.Add();
    aOutput.SendToNode(aHolder, {NodeMessageType::Deliver, ReturnReason::None}, packet);
  }
}

void PacketBalancer::OnDenied(const FlowKey& aKey, Flow& aFlow, const FlowDenial& aDenial,
                              PacketOutput& aOutput, TimePoint aNow)
{
  Search& search = *aFlow.mSearch;
  const auto earlier =
    std::find_if(search.mRuledOut.begin(), search.mRuledOut.end(),
                 [&](const FlowDenial& aItem) { return aItem.mAgent == aDenial.mAgent; });
  if (earlier == search.mRuledOut.end()) {
    search.mRuledOut.push_back(aDenial);
  } else {
    *earlier = aDenial;
  }
  if (std::erase(search.mUnanswered, aDenial.mAgent) == 0 || !search.mUnanswered.empty()) {
    return;
  }
  if (search.mStage < SearchStage::AllAgents) {
    QueryNextStage(aKey, search, aOutput, aNow);
  }
  FinishSearch(aKey, aFlow, aOutput, aNow);
}

// Once all queried agents have answered in the last stages: queries agents that have become known
// meanwhile, confirms the directory's answers, or resets the flow, so that its caller does not wait
// until the deadline. While agents may be unknown, one of them may hold the flow.
void PacketBalancer::FinishSearch(const FlowKey& aKey, Flow& aFlow, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  Search& search = *aFlow.mSearch;
  if (search.mStage < SearchStage::AllAgents || !search.mUnanswered.empty()) {
    return;
  }
  if (!KnowsAllAgents(aNow)) {
    mAwaitingAgents.insert(aKey);
    return;
  }
  const bool again = search.mStage == SearchStage::DirectoryAgentsAgain;
  search.mDirectoryRulesOut =
    search.mDirectoryRulesOut && (!again || DirectoryRulesOut(aKey, search, aNow));
  AddAgentsNotRuledOut(aKey, search, aNow);
  if (!search.mUnanswered.empty()) {
    search.mStage = SearchStage::AllAgents;
    SendQueries(aKey, search, NodeMessageType::QueryLocal, aOutput, aNow);
    return;
  }
  if (search.mDirectoryRulesOut && !again) {
    ConfirmWithDirectory(aKey, search, aOutput, aNow);
    return;
  }
  if (aFlow.mHolder) {
    // The port has another flow, and a caller uses its port for one flow at a time: either the
    // packet is a late one, or the holder is out of date.
    aFlow.mSearch.reset();
    return;
  }
  if (const auto packetHeader = mCodec.DecodeFromCaller(search.mPackets.back());
      packetHeader && !packetHeader->mResets) {
    ResetFlow(*packetHeader, aFlow, aOutput, aNow);
  }
  mFlows.erase(aKey);
}

} // namespace dandelionslip
