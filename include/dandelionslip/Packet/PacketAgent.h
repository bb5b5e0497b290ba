// Decisions of a packet agent, independent of sockets and timers.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/Member.h"
#include "dandelionslip/Model/RouteTerms.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/DirectoryAgents.h"
#include "dandelionslip/Packet/FailureDetector.h"
#include "dandelionslip/Packet/FlowDirectory.h"
#include "dandelionslip/Packet/FlowLengthEstimator.h"
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Packet/OpeningAdmission.h"
#include "dandelionslip/Packet/OpeningLimiter.h"
#include "dandelionslip/Packet/PacketOutput.h"
#include "dandelionslip/Packet/RemovedFlows.h"
#include "dandelionslip/Packet/SpeedEstimator.h"
#include "dandelionslip/Packet/UpstreamHeartbeat.h"
#include "dandelionslip/Support/Metrics.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace dandelionslip {

class LogEvent;

/// Settings, timeouts and limits of a packet agent.
struct PacketAgentSettings
{
  std::string mService;
  std::string mDataCentre;
  Endpoint mEndpoint;             ///< Where other nodes reach this agent.
  Milliseconds mHeartbeat{1'000}; ///< Interval of the upstream's heartbeats.
  /// No flow lasts longer. After this time the flow table of a restarted agent is complete.
  Milliseconds mMaxFlowAge{60'000};
  /// At most mColdExcessFactor * rate + mColdSlack flows a second are opened at a cold upstream,
  /// where rate is mColdOpeningsPerSecond of the service.
  double mColdExcessFactor = 1.0;
  std::uint32_t mColdSlack = 0;
  std::size_t mMaxFlows = 50'000;
  /// The upstream's heartbeats may say that it is ready although it fails; see FailureDetector.
  bool mHealthMayBeWrong = false;
};

/// Outcome of an upstream's heartbeat.
enum class HeartbeatOutcome
{
  Accepted,
  Stale,        ///< From before a restart, overtaken by a newer one, or after OnUpstreamLeft.
  WrongService, ///< Names another service than the settings of this agent.
};

/// Delivers packets to its upstream and decides which new flows to accept for it.
///
/// The upstream is the authority on which flows it holds. The agent's flow table is a cache,
/// rebuilt from the traffic after the agent restarts. Until the table is complete, a packet of an
/// unknown flow is delivered, and the upstream bounces it if it does not hold the flow. Not
/// thread-safe.
class PacketAgent
{
public:
  static constexpr std::uint32_t kReportsPerName = 4;

  PacketAgent(const PacketAgentSettings& aSettings, const PacketCodec& aCodec,
              MetricsRegistry& aRegistry, TimePoint aNow);

  void OnConfiguration(const Configuration& aConfiguration, TimePoint aNow);
  void OnRouteTerms(const RouteTerms& aTerms);
  /// aOwnIncarnation: the incarnation that this process announces.
  void OnView(const View& aView, std::uint64_t aOwnIncarnation);
  /// Until aLeaseEnd, the configuration that control has given to this agent is in force.
  void OnLease(TimePoint aLeaseEnd) { mLeaseEnd = aLeaseEnd; }
  HeartbeatOutcome OnUpstreamHeartbeat(const UpstreamHeartbeat& aHeartbeat, TimePoint aNow);
  /// The upstream has announced that it exits. An announcement of another start is ignored.
  /// aStartedMs: as in UpstreamHeartbeat; empty if the upstream did not state it.
  void OnUpstreamLeft(const std::string& aId, std::optional<std::int64_t> aStartedMs);
  /// Whether to try a connection to the upstream now: no heartbeat has come since the start, and
  /// either a balancer has asked for an unknown flow or nothing else has come for three intervals.
  /// Silence does not show whether the upstream runs and holds flows. True at most once for each of
  /// the two, because new connections load an upstream.
  bool TakeConnectionCheck(TimePoint aNow);
  /// The upstream's VM has refused the connection, so the upstream does not run and holds no flow.
  /// Other outcomes show nothing.
  void OnConnectionRefused();
  /// Handles a message from a balancer or another agent; aPacket is what follows the header.
  void OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                    std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// Handles a packet that the upstream sent or bounced.
  void OnUpstreamPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// Registers new and unconfirmed flows, and all flows after a change of the directory agents or
  /// when their refresh is due. Must be called every 250 ms.
  void RegisterFlows(PacketOutput& aOutput, TimePoint aNow);
  /// Reports requests and openings that are unanswered for too long to the failure detector. Must
  /// be called every 250 ms. After a longer interval the process has stood still, and answers may
  /// not have been read.
  void CheckUnanswered(TimePoint aNow);
  /// Removes idle flows and expired registrations. Must be called every second.
  void OnTick(TimePoint aNow);
  /// Begins a planned stop: new flows are refused from now on. A connection that the upstream's VM
  /// refuses afterwards shows that no flow is left.
  void StopAccepting() { mStopping = true; }
  /// Whether the agent stops and it is not known that its upstream has ended.
  bool StopsBesideUpstream() const { return mStopping && !IsFinished(); }

  /// The first load report for a balancer, in format 1.
  LoadReport CurrentLoad(TimePoint aNow) const;
  /// The load report for balancers that have got one, in format 2. Names one unseen holder in every
  /// kReportsPerName, so that reports stay small. aInterval: time until the next one.
  LoadReport NextLoad(Milliseconds aInterval, TimePoint aNow);
  /// Replaces the verdict in a load report by the one for callers of the balancer's data centre.
  void SetVerdictFor(const Endpoint& aBalancer, LoadDetails& aDetails, TimePoint aNow) const;
  /// The state that this agent announces to control.
  MemberState State(TimePoint aNow) const;

private:
  /// What shows that this process ran when its upstream started, and so opened all of its flows.
  enum class StartEvidence
  {
    None,
    Pending, ///< Depends on the warm-up time of the service, which is not known yet.
    Certain,
  };

  /// The upstream as known from its newest heartbeat.
  struct Upstream
  {
    UpstreamHeartbeat mLastHeartbeat;
    UpstreamHeartbeat mFirstHeartbeat; ///< First one of the start that this process accepted.
    TimePoint mFoundAt;                ///< When mFirstHeartbeat came.
    TimePoint mHeardAt;
    TimePoint mColdUntil;
    bool mLeft = false;
    bool mConfirmed = false; ///< The only start that this process has heard of, or heard twice.
    StartEvidence mStartEvidence = StartEvidence::None;
  };

  /// Stale heartbeats of one start, with rising sequence numbers, since a heartbeat was accepted.
  struct StaleHeartbeats
  {
    std::string mId;
    std::int64_t mStartedMs = 0;
    std::uint64_t mSequence = 0;
    TimePoint mFirstAt;
    TimePoint mLastAt;
  };

  struct Flow
  {
    TimePoint mFirstUsedAt;
    TimePoint mUsedAt;
    std::optional<TimePoint> mDeliveredAt; ///< Last packet to the upstream.
    std::optional<TimePoint> mAnsweredAt;  ///< Last packet of the upstream.
    bool mKnownByOpening = false;          ///< Else by a packet of the upstream.
    /// When the opening packet was delivered; empty once it is answered.
    std::optional<TimePoint> mOpenedAt;
    std::optional<TimePoint> mRegisteredAt; ///< When registrations were last sent.
    /// Hashes of the endpoints of directory agents that have not confirmed the registration; 0 for
    /// a free slot.
    std::array<std::uint64_t, DirectoryAgents::kDirectoryAgentsPerFlow> mUnconfirmedAgents{};
    bool mAccepted = false; ///< The upstream has sent a packet of the flow.
    /// The upstream has sent a packet other than its answer to the opening packet.
    bool mEstablished = false;
    /// A packet of another flow of the caller's port has come; a reset could reach that flow.
    bool mPortReused = false;
    /// The caller has sent a packet that acknowledges this upstream's answer to the opening packet.
    bool mCallerSent = false;
    bool mCallerEnded = false;
    bool mUpstreamEnded = false;
    bool mClosed = false;         ///< Both sides have ended the flow; kept for late packets.
    bool mRequestPending = false; ///< A request was delivered and is not answered yet.
    TimePoint mRequestSince;
    bool mHadFreeSlot = false;  ///< The upstream had a free slot when the request was delivered.
    bool mOverdue = false;      ///< Reported to the failure detector as unanswered.
    std::uint32_t mAnswers = 0; ///< Requests that were answered.
    Endpoint mOpenedBy;         ///< The balancer that sent the opening packet.
    /// Of the opening packet; empty if this process has not seen it.
    std::optional<std::uint32_t> mOpeningSequence;
    /// Of the last opening packet of another flow of the port, until the upstream answers it. It
    /// may be a late one of an earlier flow.
    std::optional<std::uint32_t> mOtherOpeningSequence;
    /// Sequence number that follows the caller's last delivered byte.
    std::optional<std::uint32_t> mDeliveredEnd;
    std::optional<std::uint32_t> mUpstreamSequence; ///< Of the upstream's last packet.
  };

  /// A delivered packet, remembered in case the upstream bounces it.
  struct Delivery
  {
    std::uint32_t mTag = 0;
    Endpoint mBalancer;
    NodeMessageType mType = NodeMessageType::Deliver;
    TimePoint mDeliveredAt;
    std::uint32_t mNumber = 0; ///< Of the search that a probe belongs to.
  };

  /// A flow probe that the upstream has not reacted to yet.
  struct PendingProbe
  {
    Endpoint mBalancer;
    TimePoint mSentAt;
    std::uint32_t mNumber = 0; ///< Of the search that it belongs to.
  };

  /// Registrations to send, batched by directory agent.
  using Registrations = std::map<Endpoint, FlowMessage>;

  /// At 20,000 packets a second this covers 200 ms; a bounce takes 1 ms.
  static constexpr std::size_t kRememberedDeliveries = 4096;

  /// Returns why the opening packet is refused; empty if it is admitted. Counts an admitted flow
  /// against the limit of a cold upstream.
  std::optional<ReturnReason> AdmitOpening(const Endpoint& aFrom, NodeMessageType aType,
                                           const PacketHeader& aPacketHeader, TimePoint aNow);
  /// Why an offered opening is returned; empty if it is accepted.
  std::optional<ReturnReason> DeclineOffer(const Endpoint& aFrom, NodeMessageType aType,
                                           const FlowKey& aFlow, TimePoint aNow);
  const std::string& DataCentreOf(const Endpoint& aBalancer) const;
  /// aDeliveredAt: when the request or opening that failed was delivered.
  void OnFailure(const Flow& aFlow, FlowFailure aFailure, TimePoint aDeliveredAt, TimePoint aNow);
  /// Lets waiting times start anew after the process has stood still.
  void NoteStandstill(TimePoint aNow);
  /// How long something that was delivered has been unanswered while this process ran.
  RuntimeClock::duration UnansweredFor(TimePoint aDeliveredAt, TimePoint aNow) const;
  /// Notes a stale heartbeat; returns whether its start replaces the known one, which is silent.
  bool ReplacesSilentStart(const UpstreamHeartbeat& aHeartbeat, TimePoint aNow);
  StartEvidence EvidenceOfStart(const UpstreamHeartbeat& aFirst) const;
  bool HeardEarlierStart(const UpstreamHeartbeat& aHeartbeat) const;
  bool MustBeHeld(const Flow& aFlow, TimePoint aNow) const;
  Milliseconds IdleTimeout() const;
  ReturnReason ReasonForNoNewFlows(TimePoint aNow) const;
  void OnDataCentre(const Configuration& aConfiguration, TimePoint aNow);
  bool StoodStill(TimePoint aNow) const;
  bool MayActOnOldState(TimePoint aNow) const;
  bool RouteTargetsService(const FlowKey& aFlow) const;
  bool IsCold(TimePoint aNow) const;
  bool IsFinished() const;
  std::size_t ColdLimit() const;
  bool SawUpstreamStart() const;
  bool TableIsComplete(TimePoint aNow) const;
  void Deliver(const Endpoint& aBalancer, NodeMessageType aType, std::uint32_t aNumber,
               std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void Return(const Endpoint& aBalancer, ReturnReason aReason,
              std::span<const std::uint8_t> aPacket, PacketOutput& aOutput);
  void OnOpening(const Endpoint& aFrom, NodeMessageType aType, const PacketHeader& aPacketHeader,
                 std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  bool IsOpen(const FlowKey& aKey) const;
  static bool IsOfOtherAnswer(const Flow& aFlow, std::uint32_t aSequence);
  void OnUpstreamReset(const PacketHeader& aPacketHeader, std::span<const std::uint8_t> aPacket,
                       PacketOutput& aOutput, TimePoint aNow);
  bool Holds(const FlowKey& aKey, std::uint32_t aSequence) const;
  static bool IsOpeningOf(const Flow& aFlow, const PacketHeader& aPacketHeader);
  void OnOpeningAccepted(const PacketHeader& aPacketHeader, TimePoint aNow);
  static bool IsOfOtherFlow(const Flow& aFlow, const PacketHeader& aPacketHeader);
  static bool IsOfOtherFlow(const Flow& aFlow, std::uint32_t aSequence);
  void LogOpening(const FlowKey& aFlow, ReturnReason aReason, TimePoint aNow) const;
  /// Handles a packet that is not an opening packet.
  void OnFlowPacket(const Endpoint& aFrom, NodeMessageType aType, const PacketHeader& aPacketHeader,
                    std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void OnQuery(const Endpoint& aFrom, NodeMessageType aType, std::span<const std::uint8_t> aBytes,
               PacketOutput& aOutput, TimePoint aNow);
  void OnRegister(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                  PacketOutput& aOutput, TimePoint aNow);
  void OnRegisterAck(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes);
  /// Adds the flow to the registrations for its directory agents and marks it as unconfirmed.
  void AddRegistrations(const FlowKey& aKey, Flow& aFlow, Registrations& aRegistrations,
                        PacketOutput& aOutput, TimePoint aNow);
  static void SendRegistrations(const Registrations& aRegistrations, PacketOutput& aOutput);
  static bool HasUnconfirmedAgents(const Flow& aFlow);
  bool AllFlowsConfirmed() const;
  std::vector<Endpoint> UnseenHolders(TimePoint aNow) const;
  NodeMessageType NegativeAnswer(NodeMessageType aQuery, TimePoint aNow) const;
  /// aNumber: of the query or, for a probe, of its search.
  void SendFlowAnswer(const Endpoint& aBalancer, NodeMessageType aType, std::uint32_t aNumber,
                      const FlowKey& aFlow, const Endpoint& aHolder, PacketOutput& aOutput);
  void ReportNotHeld(const Delivery& aDelivery, const PacketHeader& aPacketHeader,
                     std::span<const std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void AnswerProbe(const FlowKey& aFlow, PacketOutput& aOutput);
  void OnBounced(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  Flow& FindOrAddFlow(const FlowKey& aFlow, TimePoint aNow);
  void TrackRequest(Flow& aFlow, const PacketHeader& aPacketHeader, TimePoint aNow);
  void OnRequestAnswered(const PacketHeader& aPacketHeader, Flow& aFlow, TimePoint aNow);
  void SetRequestPending(Flow& aFlow, bool aPending, TimePoint aNow);
  void Close(const FlowKey& aKey, Flow& aFlow, TimePoint aNow);
  void RemoveFlow(const FlowKey& aFlow, RemovalReason aReason, TimePoint aNow);
  void AddUpstream(LogEvent& aEvent, TimePoint aNow) const;
  static void AddFlow(LogEvent& aEvent, const Flow& aFlow, TimePoint aNow);
  /// aDeliveredAt: when the bounced packet was delivered.
  void LogLostFlow(const FlowKey& aKey, const Flow& aFlow, TimePoint aDeliveredAt,
                   TimePoint aNow) const;
  void LogUpstreamReset(const FlowKey& aKey, const Flow& aFlow, TimePoint aNow) const;
  void LogProbeReset(const FlowKey& aKey, TimePoint aNow) const;
  /// Logs the failure detector's verdict for callers of the data centre if it has changed.
  void LogVerdict(const std::string& aCallerDataCentre, TimePoint aNow);
  /// Counts a statement that the flow is not held here, and logs it if the flow was held earlier.
  void OnDenial(const FlowKey& aKey, std::string_view aAnswer, const Endpoint& aBalancer,
                TimePoint aNow);

  PacketAgentSettings mSettings;
  const PacketCodec& mCodec;
  TimePoint mStartedAt;
  std::optional<Upstream> mUpstream;
  std::optional<StaleHeartbeats> mStaleHeartbeats;
  bool mCheckedAfterSilence = false;
  bool mCheckedForQuery = false;
  bool mUnknownFlowQueried = false; ///< While this process did not know its upstream's flows.
  /// The upstream refused a connection and has sent nothing since. One that starts later sends a
  /// heartbeat before it gets flows.
  bool mUpstreamAbsent = false;
  std::optional<TimePoint> mUpstreamSentAt; ///< Last packet of the upstream.
  bool mStopping = false;
  TimePoint mLeaseEnd = TimePoint::max();
  std::optional<TimePoint> mTickedAt;
  TimePoint mResumedAt; ///< When the first tick came after the process had stood still.
  bool mDataCentreOutOfService = false;
  std::optional<std::uint64_t> mDataCentreVersion; ///< Of the newest configuration.
  /// Set when the data centre returns to service, or when the upstream has lost an open flow, until
  /// the next heartbeat shows whether the upstream is cold.
  bool mColdUntilHeartbeat = false;
  TimePoint mHeartbeatsCountFrom; ///< Earlier heartbeats do not end mColdUntilHeartbeat.
  RouteTable mRoutes;
  /// What this agent needs of a route.
  struct RouteEntry
  {
    bool mTargetsService = false;
    std::uint32_t mPriority = 0;
    Milliseconds mTimeout{0};
  };

  std::unordered_map<std::uint64_t, RouteEntry> mRouteEntries; ///< By route address and port.
  std::unordered_map<std::uint64_t, RouteTerm> mRouteTerms;    ///< By route address and port.
  std::uint64_t mTermsVersion = 0; ///< Of the route table that mRouteTerms are of.
  std::map<Endpoint, std::string> mBalancerDataCentres;
  std::unordered_map<FlowKey, Flow, FlowKeyHash> mFlows;
  std::unordered_map<FlowKey, PendingProbe, FlowKeyHash>
    mProbes; ///< For flows that are not in mFlows.
  DirectoryAgents mDirectoryAgents;
  RemovedFlows mRemovedFlows;
  std::uint64_t mViewRevision = 0;
  bool mDirectoryAgentsChanged = false; ///< Since RegisterFlows was last called.
  /// Whether the view contains this process, which other agents need to register flows with it.
  bool mInView = false;
  FlowDirectory mDirectory;
  std::set<Endpoint> mAgentsInView; ///< Agents in any state.
  std::array<Delivery, kRememberedDeliveries> mDeliveries{};
  std::uint32_t mNextTag = 1;
  std::uint32_t mNextLoads = 0; ///< Load reports for balancers that had got one.
  OpeningLimiter mColdLimiter;
  SpeedEstimator mSpeedEstimator;
  OpeningAdmission mAdmission;
  FlowLengthEstimator mFlowLength;
  FailureDetector mFailureDetector;
  std::map<std::string, UpstreamVerdict> mLoggedVerdicts; ///< By data centre of callers.
  /// When the last delivered one of the requests that are answered was delivered.
  TimePoint mLatestAnsweredSince;
  TimePoint mRequestAnsweredAt;        ///< When a request was last answered.
  std::optional<TimePoint> mCheckedAt; ///< Last CheckUnanswered().
  TimePoint mResumedChecksAt;          ///< When the process last noticed that it had stood still.
  std::uint32_t mOpenFlows = 0;        ///< Flows in mFlows that are not closed.
  std::uint32_t mPendingRequests = 0;
  std::uint32_t mUnansweredOpenings = 0; ///< Opening packets since the upstream last sent anything.
  TimePoint mUnansweredSince;
  Summary& mRequestSeconds; ///< From a request's first packet to the upstream's first answer.
  Summary& mOpeningSeconds; ///< From an opening packet to the upstream's answer.
  Counter& mDelivered;
  Counter& mReplies;
  Counter& mBounced;
  Counter& mFlowsLost; ///< Flows that were reset because the upstream no longer holds them.
  /// Resets that the upstream sent for flows that are not open here.
  Counter& mProbeResetsDropped;
  Counter& mMalformed;
  Counter& mLateOpenings;   ///< Copies of opening packets that came after the flow was open.
  Counter& mResetsPassedOn; ///< Resets that the upstream sent for flows in the table.
  std::array<Counter*, kFlowFailures> mFlowFailures{};
  /// By RemovalReason of the flow; the last one for flows of which no removal is remembered.
  std::array<Counter*, kRemovalReasons + 1> mDenied{};
  std::array<Counter*, kReturnReasons> mReturned{};
};

} // namespace dandelionslip
