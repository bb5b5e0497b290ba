// Routing decisions of a packet balancer, independent of sockets and timers.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/RouteTerms.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/DirectoryAgents.h"
#include "dandelionslip/Packet/FlowDenial.h"
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Packet/OpeningQueue.h"
#include "dandelionslip/Packet/PacketOutput.h"
#include "dandelionslip/Packet/Placement.h"
#include "dandelionslip/Packet/SearchBudget.h"
#include "dandelionslip/Packet/UpstreamSelector.h"
#include "dandelionslip/Packet/WaitingForecast.h"
#include "dandelionslip/Support/Metrics.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace dandelionslip {

/// Timeouts and limits of a packet balancer.
struct PacketBalancerSettings
{
  std::string mDataCentre; ///< In which the balancer runs; its upstreams are near.
  /// An agent without a load report for this long gets no new flows. Agents report every 200 ms, so
  /// this is five reports.
  Milliseconds mReportLifetime{1'000};
  /// How long the holder of an idle flow is remembered; longer than the idle timeout of flows.
  Milliseconds mFlowRetention{20'000};
  /// No flow lasts longer. An agent that the view shows as lost is kept for this long, because its
  /// upstream may hold flows.
  Milliseconds mMaxFlowAge{60'000};
  std::size_t mMaxFlows = 500'000;
  /// Longest time that an opening packet waits for an upstream to accept it, or an early packet for
  /// the balancer to be ready. Callers give up 1.4 s after their first packet.
  Milliseconds mMaxPacketWait{1'300};
  /// After the first agents are known, others may be missing from the view for this long. Agents
  /// announce themselves every 100 ms after their start.
  Milliseconds mViewCompletionTime{1'000};
  std::size_t mMaxWaiting = 10'000; ///< Opening packets queued at once; 32 bytes each.
  /// Openings at once whose refusal awaits answers of directory agents; about 300 bytes each.
  std::size_t mMaxPendingRefusals = 4'096;
  NodeCapacity mCapacity; ///< Of the balancer's VM.
};

/// Forwards each packet of a caller to the holder of its flow, the agent whose upstream has the
/// flow open, and chooses the agent of each new flow.
///
/// The flow table is only a cache. For a flow that is not in it, the balancer queries the flow's
/// directory agents first and further agents when these do not know the holder. Not thread-safe.
class PacketBalancer
{
public:
  PacketBalancer(const PacketBalancerSettings& aSettings, const PacketCodec& aCodec,
                 MetricsRegistry& aRegistry, Random aRandom, TimePoint aNow = RuntimeClock::now());

  /// Applies a configuration and a view. Their revisions never decrease from call to call. Until
  /// aLeaseEnd, control counts this balancer as live, so that agents that join learn of it.
  void OnState(const Configuration& aConfiguration, const View& aView, PacketOutput& aOutput,
               TimePoint aNow, TimePoint aLeaseEnd = TimePoint::max());
  /// Applies the terms of routes. Routes without a term are served without offers.
  void OnRouteTerms(const RouteTerms& aTerms);
  /// Handles a packet of a caller; may modify it.
  void OnCallerPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// Handles a message from an agent; aPacket is what follows the header.
  void OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                    std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// Removes idle flows and agents that have left the view and no longer report, and resets
  /// openings that waited too long. Must be called every second.
  void OnTick(PacketOutput& aOutput, TimePoint aNow);

  /// Whether the balancer knows routes and agents, which it needs to serve callers.
  bool Ready() const { return mRouteVersion != 0 && !mAgents.empty(); }
  std::uint64_t RouteVersion() const { return mRouteVersion; }

private:
  /// An agent, as known from the view and its load reports.
  struct Agent
  {
    std::string mService;
    std::string mDataCentre;
    /// Combined with a flow's hash to choose its preferred agents.
    std::uint64_t mEndpointHash = 0;
    bool mInView = false;
    bool mTakesNewWork = false; ///< According to the view; used until the first load report.
    /// When the view first showed it as lost; its upstream may still run and hold flows.
    std::optional<TimePoint> mLostAt;
    LoadReport mReport;
    std::optional<TimePoint> mReportedAt;
    /// When another agent last reported that this one has registered flows.
    std::optional<TimePoint> mNamedAt;
    std::uint32_t mPlacedSinceReport = 0; ///< Flows that this balancer placed since mReport.
    /// Of the last report of format 2, or of an earlier process of the agent; see KeepsVerdict().
    std::optional<LoadDetails> mDetails;
    TimePoint mDetailsAt;
    std::optional<TimePoint> mFormatStatedAt; ///< When it was last sent a ReportFormat.
  };

  struct RouteEntry
  {
    std::string mName;
    std::vector<RouteTarget> mTargets;
    std::uint64_t mTotalWeight = 0;
    std::uint32_t mPriority = 0; ///< 0 is the highest.
    Milliseconds mMaxWait{0};    ///< Longest time that an opening packet waits for an upstream.
    Milliseconds mTimeout{0};    ///< Maximum duration of a request.
    RouteTerm mTerm;             ///< Without a goal if the route states none.

    /// Whether the route sends new flows to the service.
    bool HasTarget(const std::string& aService) const;
  };

  /// The agents that a search queries; the stages follow each other.
  enum class SearchStage
  {
    DirectoryAgents, ///< The agents with which the flow would be registered.
    PreferredAgents, ///< The agents that a balancer prefers when it places the flow.
    /// All other agents; if the directory agents show that no agent that they cover holds the flow,
    /// only those that they do not cover.
    AllAgents,
    /// The directory agents once more, if they rule out the agents that they cover.
    DirectoryAgentsAgain,
  };

  /// A search for the holder of a flow.
  struct Search
  {
    /// Of the search's queries. Answers to others are about earlier flows, or older than the flow.
    std::uint32_t mNumber = 0;
    /// Of the queries whose negative answers count: mNumber, or that of the directory agents'
    /// second queries.
    std::uint32_t mDenialNumber = 0;
    std::uint32_t mSequence = 0; ///< Of the first packet; packets of other flows are not near it.
    TimePoint mStartedAt;
    TimePoint mLastQueriedAt;
    SearchStage mStage = SearchStage::DirectoryAgents;
    std::vector<Endpoint> mUnanswered; ///< Agents of the stage that have not answered yet.
    /// By agents that do not hold the flow, received during this search.
    std::vector<FlowDenial> mRuledOut;
    /// Directory agents that answered NotRegistered.
    std::vector<Endpoint> mDirectoryAgentsWithoutEntry;
    /// The directory agents showed, when the last stage began, that no agent that they cover holds
    /// the flow.
    bool mDirectoryRulesOut = false;
    bool mAwaitsReports = false;                     ///< The flow is in mAwaitingReports.
    std::vector<std::vector<std::uint8_t>> mPackets; ///< Forwarded when the holder is found.
  };

  /// A packet of an open flow that came before the balancer was ready.
  struct EarlyPacket
  {
    std::vector<std::uint8_t> mPacket;
    TimePoint mArrivedAt;
  };

  /// What this balancer knows of a flow.
  struct Flow
  {
    std::optional<Endpoint> mHolder;
    /// Of the last packet that was sent to mHolder. A packet whose number is not near it belongs to
    /// an earlier or later flow of the caller's port.
    std::uint32_t mSequence = 0;
    /// By agents that returned the opening packet; they get it no more. Says nothing about who
    /// holds the flow once it is open: an agent may accept a later copy, from any balancer.
    std::vector<FlowDenial> mOpeningReturnedBy;
    TimePoint mFirstUsedAt;
    TimePoint mUsedAt;
    std::uint32_t mOffers = 0; ///< Times that the opening packet was offered.
    std::unique_ptr<Search> mSearch;
  };

  /// Where an opening packet is sent, and with which type of message.
  struct PlacementChoice
  {
    Endpoint mAgent;
    NodeMessageType mType = NodeMessageType::Deliver;
  };

  /// An opening that is reset unless a directory agent answers that the flow is open.
  struct PendingRefusal
  {
    PacketHeader mPacketHeader;
    std::vector<FlowDenial> mReturnedBy;
    Counter* mCounter = nullptr;
    TimePoint mArrivedAt;
    TimePoint mQueriedAt;
    std::uint32_t mNumber = 0;         ///< Of the queries.
    std::vector<Endpoint> mUnanswered; ///< Directory agents that have not answered yet.
    bool mRepeated = false;            ///< The agents that did not answer were queried again.
    bool mAllQueried = false;          ///< The search budget allowed all queries.
    bool mUnsure = false;              ///< A directory agent does not know what was registered.
  };

  /// Why an opening that cannot be placed is not reset: its flow may be open.
  enum class RefusalDropReason
  {
    NoAnswer,    ///< A directory agent did not answer.
    Unsure,      ///< A directory agent has restarted, or its process is not in its view.
    NoBudget,    ///< The search budget did not allow a query.
    Full,        ///< Too many refusals await answers.
    NoDirectory, ///< No directory agent is known.
  };
  static constexpr std::size_t kRefusalDropReasons = 5;
  static std::string_view ToText(RefusalDropReason aReason);

  using AgentMap = std::map<Endpoint, Agent>;

  const RouteEntry* FindRoute(const FlowKey& aFlow) const;
  const std::string& ServiceFor(const RouteEntry& aRoute, const FlowKey& aFlow) const;
  Flow& FindOrAddFlow(const FlowKey& aFlow, TimePoint aNow);
  void OnOpening(const PacketHeader& aPacketHeader, std::span<const std::uint8_t> aPacket,
                 PacketOutput& aOutput, TimePoint aNow);
  void PlaceFlow(const PacketHeader& aPacketHeader, Flow& aFlow, const RouteEntry& aRoute,
                 std::span<const std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void EnqueueOpening(const PacketHeader& aPacketHeader, const RouteEntry& aRoute,
                      TimePoint aArrivedAt, std::span<const std::uint8_t> aPacket);
  void PlaceWaitingOpenings(std::size_t aCount, const OpeningQueue::Condition& aCondition,
                            PacketOutput& aOutput, TimePoint aNow);
  void PlaceWaitingForServiceOf(const Endpoint& aEndpoint, const Agent& aAgent,
                                PacketOutput& aOutput, TimePoint aNow);
  void ResetExpiredOpenings(PacketOutput& aOutput, TimePoint aNow);
  bool MayAcceptSoon(const RouteEntry& aRoute, const Flow& aFlow, TimePoint aNow) const;
  std::uint32_t ColdOpeningsLeft(const Agent& aAgent) const;
  std::optional<PlacementChoice> Choose(const RouteEntry& aRoute, const std::string& aService,
                                        const FlowKey& aKey, const Flow& aFlow, TimePoint aNow);
  std::optional<Endpoint> ChooseAgent(const std::string& aService, const FlowKey& aKey,
                                      const Flow& aFlow, TimePoint aNow);
  using ServiceAgents = std::vector<std::pair<Endpoint, Agent*>>;
  const ServiceAgents& AgentsOf(const std::string& aService);
  /// Whether the flows of the service carry one request each, as far as its agents know.
  bool IsOfShortFlows(const std::string& aService);
  /// Whether openings of the route are offered to the service's agents, which may return them.
  bool UsesOffers(const RouteEntry& aRoute, const std::string& aService);
  RouteTerm TermFor(std::uint64_t aRouteKey) const;
  /// The agent to offer the opening to; empty if none accepts, or it was offered often enough.
  std::optional<PlacementChoice> ChooseOffer(const RouteEntry& aRoute, const std::string& aService,
                                             const Flow& aFlow, TimePoint aNow);
  /// Whether openings to the service wait for room, so that a new one is offered only once.
  bool IsSaturated(const std::string& aService, TimePoint aNow) const;
  /// Whether an opening that cannot be placed now can be within the route's timeout.
  bool WillHaveRoomInTime(const RouteEntry& aRoute, const Flow& aFlow, TimePoint aArrivedAt,
                          TimePoint aNow);
  static bool KeepsVerdict(const Agent& aAgent, const LoadDetails& aDetails, TimePoint aNow);
  void NoteDetails(const Endpoint& aEndpoint, Agent& aAgent, PacketOutput& aOutput, TimePoint aNow);
  std::optional<Endpoint> ChooseAmong(std::span<const Endpoint> aAgents, const Flow& aFlow,
                                      TimePoint aNow);
  /// Whether the agent is eligible and accepts a new flow now, as far as its last report or, before
  /// the first one, the view shows.
  bool AcceptsNow(const Endpoint& aEndpoint, const Agent& aAgent, const Flow& aFlow,
                  TimePoint aNow) const;
  /// Whether the agent's data centre is in service and the agent has not returned the opening
  /// packet.
  bool IsEligible(const Endpoint& aEndpoint, const Agent& aAgent, const Flow& aFlow) const;
  void SearchHolder(const PacketHeader& aPacketHeader, Flow& aFlow,
                    std::span<const std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// An agent has returned a packet of an open flow: continues or starts the search for its holder.
  void SearchAfterReturn(const PacketHeader& aPacketHeader, Flow& aFlow, const FlowDenial& aDenial,
                         std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                         TimePoint aNow);
  void StartSearch(const PacketHeader& aPacketHeader, Flow& aFlow,
                   std::vector<FlowDenial> aRuledOut, std::span<const std::uint8_t> aPacket,
                   PacketOutput& aOutput, TimePoint aNow);
  /// Keeps a packet for the holder, up to a limit.
  static void KeepPacket(Search& aSearch, std::span<const std::uint8_t> aPacket);
  static bool IsSearching(const Flow& aFlow, TimePoint aNow);
  /// Whether the packet belongs to the flow that mHolder holds.
  static bool IsOfHeldFlow(const Flow& aFlow, const PacketHeader& aPacketHeader);
  static bool IsSearchedFor(const Search& aSearch, const PacketHeader& aPacketHeader);
  void ContinueSearch(const PacketHeader& aPacketHeader, Flow& aFlow,
                      std::span<const std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void ForwardEarlyPackets(PacketOutput& aOutput, TimePoint aNow);
  Bytes QueryOf(const FlowKey& aKey, const Search& aSearch) const;
  void SendQueries(const FlowKey& aKey, Search& aSearch, NodeMessageType aType,
                   PacketOutput& aOutput, TimePoint aNow);
  void QueryDirectory(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput, TimePoint aNow);
  void AddAgentsNotRuledOut(const FlowKey& aKey, Search& aSearch, TimePoint aNow);
  void QueryNextStage(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput, TimePoint aNow);
  void SendProbe(const Endpoint& aAgent, const Search& aSearch, PacketOutput& aOutput);
  void FinishSearch(const FlowKey& aKey, Flow& aFlow, PacketOutput& aOutput, TimePoint aNow);
  std::vector<std::uint64_t> AgreeingDigests(const FlowKey& aKey) const;
  bool IsCoveredByDirectory(const Agent& aAgent, std::span<const std::uint64_t> aDigests,
                            TimePoint aNow) const;
  bool MayHoldFlows(const Endpoint& aEndpoint) const;
  bool DirectoryRulesOut(const FlowKey& aKey, const Search& aSearch, TimePoint aNow) const;
  TimePoint OldestCoveringReport(const FlowKey& aKey, TimePoint aNow) const;
  void ConfirmWithDirectory(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput,
                            TimePoint aNow);
  void ContinueAwaitingSearches(PacketOutput& aOutput, TimePoint aNow);
  void ContinueSearchesAwaitingAgents(PacketOutput& aOutput, TimePoint aNow);
  std::vector<Endpoint> PreferredAgentsFor(const std::string& aService, const FlowKey& aKey) const;
  bool ViewMayBeComplete(TimePoint aNow) const;
  bool KnowsAllAgents(TimePoint aNow) const;
  void OnFlowMessage(const Endpoint& aFrom, NodeMessageType aType,
                     std::span<const std::uint8_t> aBytes, PacketOutput& aOutput, TimePoint aNow);
  /// aFrom: the agent that answered.
  void OnHolderFound(const FlowKey& aKey, Flow& aFlow, const Endpoint& aFrom,
                     const Endpoint& aHolder, PacketOutput& aOutput, TimePoint aNow);
  void OnDenied(const FlowKey& aKey, Flow& aFlow, const FlowDenial& aDenial, PacketOutput& aOutput,
                TimePoint aNow);
  void OnReturned(const Endpoint& aFrom, ReturnReason aReason, std::span<std::uint8_t> aPacket,
                  PacketOutput& aOutput, TimePoint aNow);
  void OnOpeningReturned(const Endpoint& aFrom, ReturnReason aReason,
                         const PacketHeader& aPacketHeader, std::span<std::uint8_t> aPacket,
                         PacketOutput& aOutput, TimePoint aNow);
  void OnLoadReport(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                    PacketOutput& aOutput, TimePoint aNow);
  void AddUnseenHolders(std::span<const Endpoint> aHolders, TimePoint aNow);
  void ApplyView(const View& aView, TimePoint aNow);
  void ApplyAgent(const Member& aMember, TimePoint aNow);
  void LogPlacement(const PacketHeader& aPacketHeader, const PlacementChoice& aChoice,
                    std::uint32_t aOffers, TimePoint aNow);
  /// Resets an opening that cannot be placed. If the caller may have sent a copy of the packet in
  /// the meantime, which may have opened the flow through another balancer, resets it only after
  /// all directory agents have answered that they do not know the flow; without directory agents,
  /// their answers, or search budget for the queries, its caller is left to its own timeout.
  /// aArrivedAt: when the packet came.
  void RefuseOpening(const PacketHeader& aPacketHeader, std::span<const FlowDenial> aReturnedBy,
                     Counter& aCounter, PacketOutput& aOutput, TimePoint aArrivedAt,
                     TimePoint aNow);
  /// Resets an opening and logs what decided it: the agents that returned it and the state of the
  /// agents of its route.
  void ResetOpening(const PendingRefusal& aRefusal, PacketOutput& aOutput, TimePoint aNow);
  void QueryForRefusal(PendingRefusal& aRefusal, PacketOutput& aOutput, TimePoint aNow);
  std::string_view ReasonOf(const PendingRefusal& aRefusal) const;
  /// Counts and logs an opening that cannot be placed and is not reset.
  void DropRefusal(const PendingRefusal& aRefusal, RefusalDropReason aReason, TimePoint aNow);
  bool MayHaveStoodStill(TimePoint aNow) const;
  void NoteTick(TimePoint aNow);
  /// Handles a directory agent's answer to a query with this number. Returns whether it was the
  /// answer to the query of a refusal, and so does not belong to a search.
  bool AnswerPendingRefusal(const FlowKey& aKey, std::uint32_t aNumber, const Endpoint& aFrom,
                            NodeMessageType aType, PacketOutput& aOutput, TimePoint aNow);
  /// Queries directory agents that have not answered once more, and drops refusals that have waited
  /// for too long.
  void RepeatOrDropRefusals(PacketOutput& aOutput, TimePoint aNow);
  /// Resets a flow that no agent holds and logs what decided it: which agents were ruled out, by
  /// which answer of which age, and those for which the directory agents spoke.
  void ResetFlow(const PacketHeader& aPacketHeader, const Flow& aFlow, PacketOutput& aOutput,
                 TimePoint aNow);

  PacketBalancerSettings mSettings;
  const PacketCodec& mCodec;
  Random mRandom;
  std::uint64_t mRouteVersion = 0;
  std::unordered_map<std::uint64_t, RouteEntry> mRoutes; ///< By address and port.
  std::map<std::string, DataCentreState> mDataCentres;
  std::uint64_t mViewRevision = 0;
  TimePoint mViewAppliedAt;
  std::uint64_t mConfigurationRevision = 0;
  AgentMap mAgents; ///< By datagram endpoint.
  /// Index of mAgents by service; empty after mAgents has changed.
  std::unordered_map<std::string, ServiceAgents> mServiceAgents;
  std::unordered_map<std::uint64_t, RouteTerm> mRouteTerms; ///< By address and port.
  std::uint64_t mTermsVersion = 0; ///< Of the route table that mRouteTerms are of.
  UpstreamSelector mSelector;
  /// When all offers of an opening to the service were last returned as busy.
  std::unordered_map<std::string, TimePoint> mSaturatedAt;
  /// Agents that reported that no flow is left there, and when. Registrations of their flows may
  /// still name them. Another process at the endpoint reports itself or is in the view.
  std::map<Endpoint, TimePoint> mFinishedAgents;
  DirectoryAgents mDirectoryAgents;
  std::deque<DirectoryAgents> mEarlierDirectoryAgents; ///< Of earlier views, newest last.
  std::optional<TimePoint> mFirstAgentAt;
  TimePoint mLeaseEnd; ///< Until then, control counts this balancer as live.
  SearchBudget mSearchBudget;
  std::uint32_t mProbesLeft = 0; ///< Flow probes still allowed this second in stage AllAgents.
  std::unordered_map<FlowKey, Flow, FlowKeyHash> mFlows;
  std::vector<FlowKey> mAwaitingReports; ///< Flows whose search waits for load reports.
  TimePoint mReportsCheckedAt;           ///< When these searches were last continued.
  /// Flows that no known agent holds, whose search waits until all agents are known.
  std::unordered_set<FlowKey, FlowKeyHash> mAwaitingAgents;
  std::vector<EarlyPacket> mEarlyPackets; ///< In order of arrival.
  OpeningQueue mWaiting;
  std::unordered_map<FlowKey, PendingRefusal, FlowKeyHash> mPendingRefusals;
  std::uint32_t mNextNumber;          ///< Of searches and refusals.
  std::optional<TimePoint> mTickedAt; ///< Last OnTick(); before it, the first OnState().
  TimePoint mCaughtUpAt; ///< Until then, packets from before the process stood still may be read.
  TimePoint mExpiryCheckedAt; ///< When openings that waited too long were last reset.
  /// Set while a waiting opening is placed again: its time of arrival, which keeps its position in
  /// the queue if it has to wait again.
  std::optional<TimePoint> mRetriedArrival;
  /// Set while a waiting opening is placed at an agent that has reported room for it.
  std::optional<Endpoint> mGrantedBy;
  std::map<std::string, AcceptedRate> mAcceptedRates; ///< Of offered openings, by service.
  std::size_t mBalancers = 1;                         ///< In the view, including this one.
  /// Waiting time of openings that were placed or refused before they expired.
  Summary& mWaitSeconds;
  Counter& mForwarded;
  Counter& mSearched;
  Counter& mMalformed;
  Counter& mNoRoute;
  Counter& mNoUpstream;
  Counter& mNotFound;
  // The flows of mNotFound by the weakest statement that ruled out an agent.
  Counter& mResetByDirectory; ///< The directory agents spoke for an agent.
  Counter& mResetByDenials;   ///< All agents denied the flow themselves.
  Counter& mNoRoom;           ///< Openings that all upstreams which were asked returned as busy.
  Counter& mOffered;
  Counter& mPlaced;
  Counter& mFlowsFull;
  Counter& mWaited;
  Counter& mWaitExpired;
  std::array<Counter*, kRefusalDropReasons> mRefusalsDropped{};
  std::array<Counter*, kReturnReasons> mReturned{};
};

} // namespace dandelionslip
