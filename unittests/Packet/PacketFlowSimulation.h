// Packet balancers and packet agents in one process, with simulated callers, upstreams, network and
// control.
#pragma once

#include "PacketFixtures.h"

#include "dandelionslip/Packet/DirectoryAgents.h"
#include "dandelionslip/Packet/OpeningShares.h"
#include "dandelionslip/Packet/PacketAgent.h"
#include "dandelionslip/Packet/PacketBalancer.h"
#include "dandelionslip/Support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace dandelionslip {

/// The faults and planned work of a run.
enum class PacketFlowFaults
{
  PlannedWork, ///< Nothing else.
  Nodes,       ///< Also unplanned faults of balancers, agents and their links, and crashes.
  Upstreams,   ///< Also frozen upstreams, removed VMs and dropped routes.
  Membership,  ///< Also nodes that control does not reach, and incomplete views.
  PortReuse,   ///< As Nodes, and callers use ports again that they used a moment ago.
};

const char* ToText(PacketFlowFaults aFaults);

/// What happened in a run; shows that the simulation exercises the code.
struct PacketFlowCounts
{
  std::size_t mOpened = 0;         ///< Flows whose handshake reached its upstream.
  std::size_t mMoved = 0;          ///< Times that a flow's packets changed the balancer.
  std::size_t mQueries = 0;        ///< Query and QueryLocal messages.
  std::size_t mOpeningReturns = 0; ///< Opening packets that agents returned.
  std::size_t mAnswered = 0;       ///< Requests that were answered.
  std::size_t mTimedOut = 0;       ///< Requests on an open flow without an answer in time.
  std::size_t mDeadTimedOut = 0;   ///< Flows that died with their upstream; the caller timed out.
  std::size_t mDeadReset = 0;      ///< Flows that died with their upstream; the caller got a reset.
  // Only with faults of membership, except for mMovedUnseen.
  std::size_t mMovedUnseen = 0; ///< Times that an open flow moved to a balancer whose view lacks
                                ///< its holder.
  std::size_t mCutOff = 0;      ///< Times that control could not reach a node.
  std::size_t mControlRestarts = 0;
  std::size_t mSeparations = 0; ///< Times that two data centres did not reach each other.
  std::size_t mBalancersAdded = 0;
  std::size_t mFenced = 0; ///< Announcements with an incarnation that was too low.
  // With faults of upstreams.
  std::size_t mSurvivedFreeze = 0;   ///< Flows that were used after a freeze of their upstream.
  std::size_t mFlaps = 0;            ///< Ends of upstreams that crash again and again.
  std::size_t mUpstreamResets = 0;   ///< Flows that their upstream reset by itself.
  std::size_t mRemovedReset = 0;     ///< Flows of removed VMs; the caller got a reset.
  std::size_t mReplacedVms = 0;      ///< VMs with another name at the endpoint of an earlier one.
  std::size_t mRouteDropped = 0;     ///< Open flows whose route a configuration dropped.
  std::size_t mExpectedTimeOuts = 0; ///< Of mTimedOut, those that the upstream or the route caused.
};

/// A reset of a flow that an upstream held open.
struct PacketFlowViolation
{
  std::string mText; ///< Circumstances and history of the flow.
  /// Whether balancer, agent and holder had no unplanned fault within the contact time.
  bool mInTouch = false;
  /// Whether its sequence number is near the caller's last acknowledgement; callers ignore others.
  bool mFits = false;
};

/// The simulated system. Every run with the same seed is the same.
class PacketFlowSimulation
{
public:
  PacketFlowSimulation(std::uint64_t aSeed, PacketFlowFaults aFaults);
  ~PacketFlowSimulation();

  /// Lets aTime pass, with random faults and planned work.
  void Run(Milliseconds aTime);

  const PacketFlowCounts& Counts() const { return mCounts; }
  const std::vector<PacketFlowViolation>& Violations() const { return mViolations; }

private:
  using Task = std::function<void()>;
  using Duration = RuntimeClock::duration;

  struct Node;
  struct Upstream;
  struct UpstreamFlow;
  struct CallerFlow;

  /// What is true of a flow, as the upstreams see it.
  struct FlowTruth
  {
    struct Event
    {
      TimePoint mAt;
      std::string mText;
    };

    unsigned mBalancer = 0; ///< That got the flow's last packet.
    Upstream* mHolder = nullptr;
    bool mOpen = false;
    bool mDied = false; ///< Its upstream crashed or left.
    bool mReported = false;
    bool mRouteDropped = false;        ///< By a configuration since the flow's first packet.
    std::uint32_t mCallerSequence = 0; ///< Of the opening packet of the port's last flow.
    TimePoint mOpenedAt;
    TimePoint mLastPacketAt; ///< At the upstream.
    std::vector<Event> mEvents;
  };

  // Events and network (PacketFlowSimulation.cpp).
  void After(Duration aDelay, Task aTask);
  void AfterOn(Node& aNode, Duration aDelay, Task aTask);
  void Every(Node& aNode, Milliseconds aInterval, const Task& aTask);
  void RunOn(Node& aNode, std::uint64_t aProcess, const Task& aTask);
  bool Chance(double aShare) { return mRandom.Unit() < aShare; }
  Duration Between(Milliseconds aShortest, Milliseconds aLongest);
  std::optional<Duration> Delay(const Node* aFrom, const Node* aTo);
  void SendDatagram(Node& aFrom, const Endpoint& aTo, const NodeMessageHeader& aHeader,
                    std::span<const std::uint8_t> aPacket);
  void SendToCaller(Node& aFrom, const FlowKey& aFlow, std::span<const std::uint8_t> aPacket);
  void SendToUpstream(Node& aFrom, std::span<const std::uint8_t> aPacket);
  void SendFromCaller(const FlowKey& aFlow, const PacketBytes& aPacket);
  void CheckReadiness(Node& aNode);
  void NoteDatagram(const Node& aFrom, unsigned aTo, const NodeMessageHeader& aHeader,
                    std::span<const std::uint8_t> aPacket, const char* aVerb);
  void Note(const FlowKey& aFlow, std::string aText);
  void CheckReset(Node& aSender, const FlowKey& aFlow, std::uint32_t aSequence, const char* aWhen);
  std::string Describe(const Node& aSender, const FlowKey& aFlow, const FlowTruth& aTruth) const;
  std::int64_t Ms(TimePoint aTime) const;

  // Balancers and agents (PacketFlowSimulationNodes.cpp).
  Node& AddNode(MemberKind aKind, const std::string& aService, const std::string& aDataCentre);
  void StartProcess(Node& aNode);
  void HaltProcess(Node& aNode);
  void KillProcess(Node& aNode);
  void StopProcess(Node& aNode);
  void Freeze(Node& aNode, Duration aTime, bool aClockStands);
  TimePoint NodeTime(const Node& aNode) const;
  void OnDatagram(Node& aNode, const Node& aFrom, const NodeMessageHeader& aHeader,
                  PacketBytes aPacket);
  void OnBalancerSeen(Node& aAgent, const Endpoint& aBalancer);
  void SendLoadReports(Node& aAgent);
  void ReportIfChanged(Node& aAgent, MemberState aBefore);

  // Control and faults (PacketFlowSimulationControl.cpp).
  void PublishRoutes();
  void Announce(Node& aNode);
  void ScheduleAnnouncement(Node& aNode, TimePoint aStartedAt);
  void OnAnnouncement(const Member& aMember);
  void CheckLeases();
  void PublishState();
  void SendState(Node& aNode);
  void ApplyState(Node& aNode, const std::shared_ptr<const View>& aView,
                  const Configuration& aConfiguration);
  void ScheduleFault();
  void InjectFault();
  void LogFault(const std::string& aText);
  Node& RandomNode(MemberKind aKind);
  void Disturb(Node& aNode, Duration aTime);
  // Faults of membership (PacketFlowSimulationMembershipFaults.cpp).
  void InjectMembershipFault();
  void CutOff(Node& aNode, Duration aTime, bool aHeard);
  void CutOffAgent();
  void CutOffAgents();
  void CutOffDataCentre();
  void CutOffBalancer();
  void RestartControl();
  void RestartControlWithoutAgents();
  void SeparateDataCentres();
  void SeparateDataCentresAndControl();
  std::pair<std::string, std::string> Separate(Duration aTime);
  std::size_t CountBalancers() const;
  void AddBalancer();
  void AddBalancerWithoutAgents();
  void RemoveBalancer();
  void SetClockBack();
  void AnswerFenced(const Member& aMember);
  void GrantLease(const Member& aMember);
  void DelayStates();
  static std::string TimeText(Duration aTime);
  static const std::vector<std::string>& DataCentres();
  static bool ViewHas(const Node& aBalancer, const Node& aAgent);

  // Faults of upstreams (PacketFlowSimulationUpstreamFaults.cpp).
  void InjectUpstreamFault();
  Upstream& RandomUpstream();
  void FreezeUpstreamFor(Upstream& aUpstream, Duration aTime);
  void ThawUpstream(Upstream& aUpstream);
  /// Keeps the task until the thaw, if the upstream is frozen; returns whether it is.
  static bool Defer(Upstream& aUpstream, Task aTask);
  void FreezeUpstream(Upstream& aUpstream);
  void FreezeVm(Upstream& aUpstream);
  void RestartAgentOfFrozenUpstream(Upstream& aUpstream);
  void FlapUpstream(Upstream& aUpstream);
  void Flap(Upstream& aUpstream, std::uint64_t aRounds);
  void ServeBadly(Upstream& aUpstream);
  void RefuseOrReset(Upstream& aUpstream, std::uint64_t aStart);
  void ResetSomeFlow(Upstream& aUpstream);
  bool ExpectsTimeOut(const FlowTruth& aTruth) const;

  // Upstream VMs and routes (PacketFlowSimulationVmFaults.cpp).
  void LosePower(Upstream& aUpstream);
  void RemoveVm(Upstream& aUpstream);
  void RemoveVmOnceDrained(Upstream& aUpstream);
  void EndVm(Upstream& aUpstream);
  void DropRoute(Upstream& aUpstream);
  bool HasRoute(const FlowKey& aFlow) const;

  // Upstreams (PacketFlowSimulationUpstreams.cpp).
  /// aPredecessor: an ended VM whose endpoint the new one gets; may be null.
  void AddUpstream(const std::string& aService, const std::string& aDataCentre,
                   Node* aPredecessor = nullptr);
  void StartUpstream(Upstream& aUpstream);
  void CrashUpstream(Upstream& aUpstream);
  void DrainUpstream(Upstream& aUpstream);
  void LeaveUpstream(Upstream& aUpstream, std::uint64_t aStart);
  void EndUpstream(Upstream& aUpstream);
  void SendHeartbeats(Upstream& aUpstream, std::uint64_t aStart);
  void OnCallerPacket(Upstream& aUpstream, PacketBytes aPacket);
  void OnOpening(Upstream& aUpstream, const PacketHeader& aHeader, PacketBytes aPacket);
  void Bounce(Upstream& aUpstream, PacketBytes aPacket);
  void SendFromUpstream(Upstream& aUpstream, const PacketBytes& aPacket);
  void AnswerOpening(Upstream& aUpstream, const FlowKey& aFlow, std::uint64_t aStart,
                     unsigned aAttempt);
  void Respond(Upstream& aUpstream, const FlowKey& aFlow, std::uint64_t aStart,
               std::uint32_t aRequest, unsigned aAttempt);
  void AfterIfHeld(Upstream& aUpstream, const FlowKey& aFlow, Duration aDelay, Task aTask);
  bool IsOfOtherFlow(const UpstreamFlow& aFlow, const PacketHeader& aHeader) const;
  static PacketBytes AnswerToOpening(const FlowKey& aKey, const UpstreamFlow& aFlow);

  // Callers (PacketFlowSimulationCallers.cpp).
  void OpenFlow();
  void SendOpening(const FlowKey& aFlow, unsigned aAttempt);
  void OnUpstreamPacket(const FlowKey& aFlow, const PacketBytes& aPacket);
  void SendRequest(const FlowKey& aFlow, std::uint32_t aRequest, unsigned aAttempt);
  void ContinueFlow(const FlowKey& aFlow);
  void CloseFlow(const FlowKey& aFlow, unsigned aAttempt);
  void Abandon(const FlowKey& aFlow);
  void AfterIfUsed(const FlowKey& aFlow, Duration aDelay, Task aTask);
  FlowKey NextFlowKey();
  bool FitsCaller(const FlowKey& aFlow, const PacketHeader& aHeader) const;

  std::uint64_t mSeed;
  PacketFlowFaults mFaultKinds;
  Random mRandom;
  TimePoint mNow;
  std::uint64_t mNextTask = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Task> mTasks;
  platform::PlatformPacketCodec mCodec;

  std::vector<std::unique_ptr<Node>> mNodes; ///< Node number n is at index n - 1.
  std::vector<std::unique_ptr<Upstream>> mUpstreams;
  std::set<std::pair<unsigned, unsigned>> mCuts; ///< Sender and receiver.
  /// Data centres of senders and receivers that do not reach each other.
  std::multiset<std::pair<std::string, std::string>> mSeparated;

  View mView;
  Configuration mConfiguration;
  bool mStateChanged = false;
  bool mControlHears = true;                 ///< Records announcements.
  bool mControlServes = true;                ///< Sends states.
  std::map<std::string, TimePoint> mHeardAt; ///< By member name.
  Duration mLease{};
  std::uint32_t mPace = 0; ///< Longest time between two faults, in ms.

  std::unordered_map<FlowKey, CallerFlow, FlowKeyHash> mCallerFlows;
  std::unordered_map<FlowKey, FlowTruth, FlowKeyHash> mTruths;
  std::uint32_t mNextFlow = 0;
  std::vector<std::pair<FlowKey, TimePoint>> mUsedPorts; ///< With the end of their last use.
  std::vector<std::string> mFaults;

  PacketFlowCounts mCounts;
  std::vector<PacketFlowViolation> mViolations;
};

} // namespace dandelionslip
