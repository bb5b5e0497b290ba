// Decision core of a balancer of the packet plane.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/FlowHomes.h"
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Packet/OpeningQueue.h"
#include "dandelionslip/Packet/PacketOutput.h"
#include "dandelionslip/Packet/Placement.h"
#include "dandelionslip/Packet/SearchBudget.h"
#include "dandelionslip/Support/Metrics.h"

#include <array>
#include <map>
#include <memory>
#include <unordered_map>

namespace dandelionslip {

/// Times and bounds of a packet balancer.
struct PacketBalancerSettings
{
  /// An agent that has not reported for this long takes no new flows; five reports of 200 ms.
  Milliseconds mReportLifetime{1'000};
  /// How long a flow's holder is remembered without packets; longer than an idle flow may live.
  Milliseconds mFlowMemory{20'000};
  Milliseconds mMaxFlowAge{60'000}; ///< Older flows may be given up.
  std::size_t mMaxFlows = 500'000;
  /// How long an opening packet waits for an upstream that may be about to accept it. Callers give
  /// up 1.4 s after the first packet.
  Milliseconds mOpeningWait{1'300};
  /// After the first agents are known, others may still be missing from the view for this long:
  /// agents announce themselves every 100 ms after their start.
  Milliseconds mSettleTime{1'000};
  std::size_t mMaxWaiting = 10'000; ///< Opening packets that wait at once; 32 bytes each.
  NodeCapacity mCapacity;           ///< Of the balancer's VM.
};

/// Sends each packet of a caller to the agent whose upstream holds the flow, and places new flows.
/// What it remembers of flows is a cache: for an unknown flow it asks the flow's home agents, and
/// all agents when these do not know. Not thread-safe.
class PacketBalancer
{
public:
  PacketBalancer(const PacketBalancerSettings& aSettings, const SegmentCodec& aCodec,
                 MetricsRegistry& aRegistry, Random aRandom, TimePoint aNow = RuntimeClock::now());

  /// Takes a configuration and view; neither ever has a lower revision than the one before.
  void OnState(const Configuration& aConfiguration, const View& aView, PacketOutput& aOutput,
               TimePoint aNow);
  /// A packet of a caller. The packet may be changed.
  void OnCallerPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// A datagram of an agent after its hop header.
  void OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                    std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// Forgets idle flows and gives up openings that waited too long; called every second.
  void OnTick(PacketOutput& aOutput, TimePoint aNow);

  /// Whether the balancer knows routes and agents, so that it can serve callers.
  bool Ready() const { return mRouteVersion != 0 && !mAgents.empty(); }
  std::uint64_t RouteVersion() const { return mRouteVersion; }

private:
  /// An agent as known from the view and from its own reports.
  struct Agent
  {
    std::string mService;
    std::string mDataCentre;
    std::uint64_t mSeed = 0; ///< Ranks the agent for a flow.
    bool mInView = false;
    bool mTakesNewWork = false; ///< By the view; used without a report.
    /// Since when the view shows it as lost: its upstream may live on and hold flows.
    std::optional<TimePoint> mLostAt;
    LoadReport mReport;
    std::optional<TimePoint> mReportedAt;
    std::uint32_t mPlaced = 0; ///< Flows placed since the report.
  };

  struct RouteEntry
  {
    std::string mName;
    std::vector<RouteTarget> mTargets;
    std::uint64_t mTotalWeight = 0;
    std::uint32_t mPriority = 0; ///< 0 is the highest.
    Milliseconds mWait{0};       ///< Longest wait of an opening packet for an upstream.

    /// Whether new flows of the route may go to the service.
    bool LeadsTo(const std::string& aService) const;
  };

  /// Whom a search asks, one stage after the other.
  enum class SearchStage
  {
    Homes,      ///< The agents with which the flow would be registered.
    Choices,    ///< The agents among which the flow was placed.
    Everywhere, ///< All agents but those for which the homes speak.
  };

  /// A flow whose holder is being looked for.
  struct Search
  {
    TimePoint mBegan;
    TimePoint mSince; ///< When agents were last asked.
    SearchStage mStage = SearchStage::Homes;
    std::vector<Endpoint> mAsked;                    ///< Agents that have not answered yet.
    std::vector<Endpoint> mDenied;                   ///< Agents that do not hold the flow.
    std::vector<Endpoint> mUnregistered;             ///< Homes that have no registration of it.
    std::vector<std::vector<std::uint8_t>> mPackets; ///< Delivered once the holder is found.
  };

  /// A packet that came before the balancer knew routes and agents.
  struct EarlyPacket
  {
    std::vector<std::uint8_t> mPacket;
    TimePoint mAt;
  };

  /// Where a flow is, as far as this balancer knows.
  struct Flow
  {
    std::optional<Endpoint> mHolder;
    std::vector<Endpoint> mTried; ///< Agents that returned a packet of the flow.
    TimePoint mUsedAt;
    std::unique_ptr<Search> mSearch;
  };

  using AgentMap = std::map<Endpoint, Agent>;

  const RouteEntry* FindRoute(const FlowKey& aFlow) const;
  const std::string& ServiceFor(const RouteEntry& aRoute, const FlowKey& aFlow) const;
  Flow& FlowOf(const FlowKey& aFlow, TimePoint aNow);
  void Open(const Segment& aSegment, std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
            TimePoint aNow);
  void Place(const Segment& aSegment, Flow& aFlow, const RouteEntry& aRoute,
             std::span<const std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void Wait(const Segment& aSegment, std::uint32_t aPriority, Milliseconds aWait,
            std::span<const std::uint8_t> aPacket, TimePoint aNow);
  void PlaceWaiting(std::size_t aCount, const OpeningQueue::Condition& aCondition,
                    PacketOutput& aOutput, TimePoint aNow);
  void OfferToWaiting(const Agent& aAgent, PacketOutput& aOutput, TimePoint aNow);
  void GiveUpExpired(PacketOutput& aOutput, TimePoint aNow);
  bool MayAcceptSoon(const RouteEntry& aRoute, const Flow& aFlow, TimePoint aNow) const;
  std::uint32_t OpensLeft(const Agent& aAgent) const;
  std::optional<Endpoint> ChooseAgent(const std::string& aService, const FlowKey& aKey,
                                      const Flow& aFlow, TimePoint aNow);
  std::optional<Endpoint> ChooseAmong(std::span<const Endpoint> aAgents, const Flow& aFlow,
                                      TimePoint aNow);
  bool Accepts(const Endpoint& aEndpoint, const Agent& aAgent, const Flow& aFlow,
               TimePoint aNow) const;
  bool MayPlace(const Endpoint& aEndpoint, const Agent& aAgent, const Flow& aFlow) const;
  void LookFor(const Segment& aSegment, Flow& aFlow, std::span<const std::uint8_t> aPacket,
               PacketOutput& aOutput, TimePoint aNow);
  void Continue(const Segment& aSegment, Flow& aFlow, std::span<const std::uint8_t> aPacket,
                PacketOutput& aOutput, TimePoint aNow);
  void ForwardEarly(PacketOutput& aOutput, TimePoint aNow);
  void Ask(const FlowKey& aKey, Search& aSearch, NodeMessageType aKind, PacketOutput& aOutput,
           TimePoint aNow);
  void AskNext(const FlowKey& aKey, Search& aSearch, PacketOutput& aOutput, TimePoint aNow);
  void Probe(const Endpoint& aAgent, const Search& aSearch, PacketOutput& aOutput);
  void EndFruitless(const FlowKey& aKey, const Search& aSearch, PacketOutput& aOutput,
                    TimePoint aNow);
  bool IsCovered(const Agent& aAgent, TimePoint aNow) const;
  bool HomesDeny(const FlowKey& aKey, const Search& aSearch, TimePoint aNow) const;
  std::vector<Endpoint> ChoicesFor(const std::string& aService, const FlowKey& aKey) const;
  bool IsSettled(TimePoint aNow) const;
  void OnFlowMessage(const Endpoint& aFrom, NodeMessageType aKind,
                     std::span<const std::uint8_t> aBytes, PacketOutput& aOutput, TimePoint aNow);
  void OnHeld(const FlowKey& aKey, Flow& aFlow, const Endpoint& aHolder, PacketOutput& aOutput,
              TimePoint aNow);
  void OnDenied(const FlowKey& aKey, Search& aSearch, const Endpoint& aFrom, PacketOutput& aOutput,
                TimePoint aNow);
  void OnReturned(const Endpoint& aFrom, ReturnReason aReason, std::span<std::uint8_t> aPacket,
                  PacketOutput& aOutput, TimePoint aNow);
  void OnLoad(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes, PacketOutput& aOutput,
              TimePoint aNow);
  void TakeView(const View& aView, TimePoint aNow);
  void TakeAgent(const Member& aMember, TimePoint aNow);
  void LogPlacement(const Segment& aSegment, const Endpoint& aHolder, TimePoint aNow);
  void Reset(const Segment& aSegment, PacketOutput& aOutput, Counter& aCounter);

  PacketBalancerSettings mSettings;
  const SegmentCodec& mCodec;
  Random mRandom;
  std::uint64_t mRouteVersion = 0;
  std::unordered_map<std::uint64_t, RouteEntry> mRoutes; ///< By address and port.
  std::map<std::string, DataCentreState> mDataCentres;
  std::uint64_t mViewRevision = 0;
  std::uint64_t mRevision = 0;
  AgentMap mAgents; ///< By datagram endpoint.
  FlowHomes mHomes;
  std::optional<TimePoint> mFirstAgentAt;
  SearchBudget mSearchBudget;
  std::uint32_t mProbesLeft = 0; ///< Probes of all agents that may be sent in this second.
  std::unordered_map<FlowKey, Flow, FlowKeyHash> mFlows;
  std::vector<EarlyPacket> mEarly; ///< In order of arrival.
  OpeningQueue mWaiting;
  TimePoint mExpiryCheckedAt; ///< When openings that waited too long were last given up.
  /// When the opening that is being placed again arrived; it keeps its place if it waits again.
  std::optional<TimePoint> mPlacedSince;
  std::size_t mBalancers = 1; ///< In the view, this one included.
  Summary& mWaitSeconds;      ///< Of openings that waited and were placed.
  Counter& mForwarded;
  Counter& mSearched;
  Counter& mMalformed;
  Counter& mNoRoute;
  Counter& mNoUpstream;
  Counter& mNotFound;
  Counter& mPlaced;
  Counter& mFlowsFull;
  Counter& mWaited;
  Counter& mWaitedInVain;
  std::array<Counter*, kReturnReasons> mReturned{};
};

} // namespace dandelionslip
