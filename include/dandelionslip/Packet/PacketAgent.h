// Decision core of an agent of the packet plane.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/Member.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/FlowDirectory.h"
#include "dandelionslip/Packet/FlowHomes.h"
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Packet/OpeningLimiter.h"
#include "dandelionslip/Packet/PacketOutput.h"
#include "dandelionslip/Packet/SpeedEstimator.h"
#include "dandelionslip/Packet/UpstreamHeartbeat.h"
#include "dandelionslip/Support/Metrics.h"

#include <array>
#include <map>
#include <optional>
#include <unordered_map>

namespace dandelionslip {

/// Times and bounds of a packet agent.
struct PacketAgentSettings
{
  std::string mService;
  std::string mDataCentre;
  Endpoint mEndpoint;             ///< Where other nodes reach this agent.
  Milliseconds mHeartbeat{1'000}; ///< Interval of the upstream's heartbeats.
  Milliseconds mMaxFlowAge{60'000};
  double mColdExcessFactor = 1.0; ///< Multiplies the cold opens a second of the service.
  std::uint32_t mColdSlack = 0;   ///< Added to them.
  std::size_t mMaxFlows = 50'000;
};

/// Outcome of an upstream's heartbeat.
enum class HeartbeatOutcome
{
  Accepted,
  Late,         ///< Of an earlier start of the upstream, or overtaken by a newer one.
  WrongService, ///< Names another service than the one beside this agent.
};

/// Delivers packets to the upstream beside it and decides which new flows the upstream takes.
///
/// The upstream knows best which flows it holds: the table here is a cache, rebuilt from the
/// traffic after a restart of the agent. Until it is complete, a packet of an unknown flow is
/// delivered, and the upstream gives it back when it does not hold the flow. Not thread-safe.
class PacketAgent
{
public:
  PacketAgent(const PacketAgentSettings& aSettings, const SegmentCodec& aCodec,
              MetricsRegistry& aRegistry, TimePoint aNow);

  void OnConfiguration(const Configuration& aConfiguration);
  /// aOwnIncarnation is the incarnation that this process announces.
  void OnView(const View& aView, std::uint64_t aOwnIncarnation);
  HeartbeatOutcome OnUpstreamHeartbeat(const UpstreamHeartbeat& aReport, TimePoint aNow);
  /// The upstream says that it exits.
  void OnUpstreamLeft(const std::string& aId);
  /// A datagram of a balancer after its hop header.
  void OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                    std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// A packet that the upstream sent or gave back.
  void OnUpstreamPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  /// Registers flows again where that is due; called every 250 ms.
  void RegisterFlows(PacketOutput& aOutput, TimePoint aNow);
  /// Forgets idle flows; called every second.
  void OnTick(TimePoint aNow);
  /// A planned stop of the agent begins: no new flows.
  void StopAccepting() { mStopping = true; }

  LoadReport Report(TimePoint aNow) const;
  MemberState State(TimePoint aNow) const;

private:
  /// The newest heartbeat and what follows from it.
  struct Upstream
  {
    UpstreamHeartbeat mReport;
    TimePoint mHeardAt;
    TimePoint mColdUntil;
    bool mLeft = false;
  };

  struct Flow
  {
    TimePoint mUsedAt;
    std::optional<TimePoint> mOpenedAt; ///< Delivery of the opening packet, until it is answered.
    std::optional<TimePoint> mRegisteredAt; ///< With its home agents.
    /// Homes that have not confirmed the registration, by the hash of their endpoints; 0 for none.
    std::array<std::uint64_t, FlowHomes::kHomes> mAwaited{};
    TimePoint mAwaitedSince;   ///< Time of the first registration that a home has not confirmed.
    bool mAccepted = false;    ///< The upstream answered the opening packet.
    bool mEstablished = false; ///< The upstream sent more than that answer.
    bool mCallerEnded = false;
    bool mUpstreamEnded = false;
    bool mClosed = false; ///< Both sides have ended it; kept for late packets.
    bool mBusy = false;   ///< A request was delivered and not answered yet.
    TimePoint mBusySince;
    std::optional<std::uint32_t> mDelivered; ///< End of the caller's data delivered so far.
  };

  /// A delivery that the upstream may give back.
  struct Delivery
  {
    std::uint32_t mTag = 0;
    Endpoint mBalancer;
    NodeMessageType mKind = NodeMessageType::Deliver;
  };

  /// A packet that was delivered to see whether the upstream holds its flow.
  struct Probe
  {
    Endpoint mBalancer;
    TimePoint mAt;
  };

  /// Registrations by home, to be sent together.
  using Registrations = std::map<Endpoint, FlowMessage>;

  /// Deliveries remembered; at 20,000 packets a second they cover the time to a bounce, 1 ms,
  /// two hundred times.
  static constexpr std::size_t kDeliveries = 4096;

  std::optional<ReturnReason> ReasonToRefuse(const Segment& aSegment, TimePoint aNow);
  ReturnReason UpstreamCondition(TimePoint aNow) const;
  bool RouteLeadsHere(const FlowKey& aFlow) const;
  bool IsCold(TimePoint aNow) const;
  bool Gone() const;
  std::size_t ColdLimit() const;
  bool TableIsComplete(TimePoint aNow) const;
  bool UpstreamIsAbsent(TimePoint aNow) const;
  void Deliver(const Endpoint& aBalancer, NodeMessageType aKind, std::span<std::uint8_t> aPacket,
               PacketOutput& aOutput);
  void Return(const Endpoint& aBalancer, ReturnReason aReason,
              std::span<const std::uint8_t> aPacket, PacketOutput& aOutput);
  void OnOpening(const Endpoint& aFrom, const Segment& aSegment, std::span<std::uint8_t> aPacket,
                 PacketOutput& aOutput, TimePoint aNow);
  void LogOpening(const FlowKey& aFlow, ReturnReason aReason, TimePoint aNow) const;
  void OnMidFlow(const Endpoint& aFrom, NodeMessageType aKind, const Segment& aSegment,
                 std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  void OnQuery(const Endpoint& aFrom, NodeMessageType aKind, std::span<const std::uint8_t> aBytes,
               PacketOutput& aOutput, TimePoint aNow);
  void OnRegister(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes,
                  PacketOutput& aOutput, TimePoint aNow);
  void OnRegistered(const Endpoint& aFrom, std::span<const std::uint8_t> aBytes);
  void Register(const FlowKey& aKey, Flow& aFlow, Registrations& aRegistrations,
                PacketOutput& aOutput, TimePoint aNow);
  static void SendRegistrations(const Registrations& aRegistrations, PacketOutput& aOutput);
  static bool AwaitsHomes(const Flow& aFlow);
  NodeMessageType Denial(NodeMessageType aQuery, TimePoint aNow) const;
  void SayWhere(const Endpoint& aBalancer, NodeMessageType aKind, const FlowKey& aFlow,
                const Endpoint& aHolder, PacketOutput& aOutput);
  void DenyFlow(const Delivery& aDelivery, const Segment& aSegment,
                std::span<const std::uint8_t> aPacket, PacketOutput& aOutput);
  void AnswerProbe(const FlowKey& aFlow, PacketOutput& aOutput);
  void OnBounced(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow);
  Flow& FlowOf(const FlowKey& aFlow, TimePoint aNow);
  void NoteRequest(Flow& aFlow, const Segment& aSegment, TimePoint aNow);
  void SetBusy(Flow& aFlow, bool aBusy, TimePoint aNow);
  void Close(Flow& aFlow, TimePoint aNow);
  void Forget(const FlowKey& aFlow, TimePoint aNow);

  PacketAgentSettings mSettings;
  const SegmentCodec& mCodec;
  TimePoint mStartedAt;
  std::optional<Upstream> mUpstream;
  bool mUpstreamSentPackets = false; ///< Known to run, even before its first heartbeat.
  bool mUpstreamStartSeen = false;   ///< All flows of the upstream were opened by this process.
  bool mStopping = false;
  bool mDataCentreOut = false;
  bool mReturnUnconfirmed = false; ///< The data centre came back; no heartbeat since then.
  RouteTable mRoutes;
  std::unordered_map<std::uint64_t, bool> mLeadsHere; ///< Routes by address and port.
  std::unordered_map<FlowKey, Flow, FlowKeyHash> mFlows;
  std::unordered_map<FlowKey, Probe, FlowKeyHash> mProbes; ///< Of flows not known to be held.
  FlowHomes mHomes;
  bool mHomesChanged = false; ///< Since the last registration.
  bool mIsHome = false; ///< The view shows this process, so that flows are registered with it.
  /// Digest of the homes that have confirmed all flows; 0 while some have not.
  std::uint64_t mRegisteredWith = 0;
  FlowDirectory mDirectory;
  std::array<Delivery, kDeliveries> mDeliveries{};
  std::uint32_t mNextTag = 1;
  OpeningLimiter mColdOpens;
  SpeedEstimator mSpeed;
  std::uint32_t mOpenFlows = 0;       ///< Of mFlows, those that are not closed.
  std::uint32_t mActive = 0;          ///< Requests delivered and not answered yet.
  std::uint32_t mUnansweredOpens = 0; ///< Since the upstream last sent anything.
  TimePoint mUnansweredSince;
  Summary& mRequestSeconds; ///< From a request's first packet to the upstream's first answer.
  Summary& mOpeningSeconds; ///< From an opening packet to the upstream's answer.
  Counter& mDelivered;
  Counter& mReplies;
  Counter& mBounced;
  Counter& mResets;
  Counter& mProbeResets;
  Counter& mMalformed;
  std::array<Counter*, kReturnReasons> mReturned{};
};

} // namespace dandelionslip
