// The agent's decision core for flows.
#pragma once

#include "dandelionslip/Agent/BucketHandoff.h"
#include "dandelionslip/Agent/FlowActions.h"
#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Net/CallerDatagram.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace dandelionslip {

/// Forwards between agents after which a datagram is dropped.
inline constexpr std::uint8_t kMaxHops = 4;

/// Decides on the datagrams and peer messages of one agent. Each event appends its actions to
/// aOut. Not thread-safe: the daemon serialises the events of one core.
class FlowCore
{
public:
  /// aAdmission must outlive the core. aRecords may be null.
  FlowCore(FlowSettings aSettings, FlowAdmission& aAdmission, BucketRecords* aRecords = nullptr);

  /// Applies view and configuration. Each keeps its newest revision: a lower one is ignored.
  void OnState(const View& aView, const Configuration& aConfiguration, TimePoint aNow,
               FlowActions& aOut);

  /// The agent's lease ended. Other members may own its buckets from now on; they are rebuilt when
  /// the next state arrives.
  void OnLeaseExpired() { mDoubtful = true; }

  /// The lease is valid again, and every state up to then has been applied. Without a newer state
  /// no other member has owned the buckets.
  void OnLeaseRenewed() { mDoubtful = false; }

  /// A datagram of kind forward from a balancer or another agent.
  void OnForward(const DatagramHeader& aHeader, std::span<const std::uint8_t> aPayload,
                 const Endpoint& aSender, TimePoint aNow, FlowActions& aOut);

  /// A probe of an unconfirmed balancer. aConfirmed says whether this agent's lease is valid.
  void OnProbe(const DatagramHeader& aHeader, const Endpoint& aSender, bool aConfirmed,
               FlowActions& aOut);

  /// A datagram that the upstream sent on the flow's port.
  void OnUpstreamDatagram(FlowId aFlow, std::span<const std::uint8_t> aPayload, TimePoint aNow,
                          FlowActions& aOut);

  /// The daemon opened the flow's port, or could not (aPort 0).
  void OnUpstreamPortOpened(FlowId aFlow, std::uint16_t aPort, TimePoint aNow, FlowActions& aOut);

  /// A message from the agent aFrom.
  void OnPeerMessage(const std::string& aFrom, const PeerMessage& aMessage, TimePoint aNow,
                     FlowActions& aOut);

  /// To be called about every 50 ms: idle expiry and repeated questions.
  void OnTick(TimePoint aNow, FlowActions& aOut);

  /// Starts a planned stop: hands the whole state to a custodian. aAdmission (ramp, weights, flow
  /// count) is kept unread for the resumed process. From here on packets of the agent's own flows
  /// are dropped, because the exported state must not change. Ends with HandoverDone, which names
  /// no custodian when no other agent can take the state.
  void BeginHandover(Json aAdmission, TimePoint aNow, FlowActions& aOut);

  /// Starts the resumption from the custodian. Ends with ResumptionDone; until then the core
  /// admits nothing.
  void BeginResumption(const std::string& aBackup, TimePoint aNow, FlowActions& aOut);

  /// Newest generation in which all buckets owned are complete, for announcements.
  std::uint32_t AckedGeneration() const { return mAckedGeneration; }

  std::uint64_t ViewRevision() const { return mContext.mView.mRevision; }
  std::uint64_t ConfigurationRevision() const { return mContext.mConfiguration.mRevision; }
  const ServiceTable& Table() const { return mContext.mTable; }
  const FlowTable& Flows() const { return mContext.mFlows; }
  const BucketDirectory& Directory() const { return mHandoff.Directory(); }

  /// Dropped datagrams by reason since the start.
  const std::map<RefusalReason, std::uint64_t>& Drops() const { return mDrops; }

  /// Refusals sent to callers by reason since the start.
  const std::map<RefusalReason, std::uint64_t>& Refusals() const { return mRefusals; }

private:
  /// A datagram in progress and where its actions go.
  struct Packet
  {
    const DatagramHeader& mHeader;
    std::span<const std::uint8_t> mPayload;
    const Endpoint& mSender;
    TimePoint mNow;
    FlowActions& mOut;
  };

  /// A planned stop in progress.
  struct Stop
  {
    Json mAdmission;
    std::string mBackup;
    std::set<std::string> mUnacknowledged; ///< Members whose state the custodian has not confirmed.
    TimePoint mNextSend;
    std::uint32_t mAsks = 0;       ///< Sent to the custodian without any acknowledgement.
    std::set<std::string> mSilent; ///< Custodians that did not answer; they may be stopping too.
  };

  /// A resumption in progress.
  struct Resumption
  {
    std::string mBackup;
    TimePoint mNextAsk;
  };

  void OnTable(const ServiceTable& aOld, TimePoint aNow, FlowActions& aOut);
  bool MissedGeneration(const ServiceTable& aOld) const;
  bool WasOwnDataCentreOut(const Configuration& aOld) const;
  void FollowBalancers();
  void GiveUpFlows(TimePoint aNow, FlowActions& aOut);
  void AnnounceFlows(const ServiceTable& aOld, FlowActions& aOut);
  void RefreshFlows(TimePoint aNow, FlowActions& aOut);
  void UpdateAcknowledgement();

  bool Accept(const Packet& aPacket);
  void FetchIfBehind(const Packet& aPacket);
  void HandleStopped(const Packet& aPacket);
  void Deliver(FlowEntry& aEntry, const Packet& aPacket);
  void Dispatch(const Packet& aPacket);
  void HandleOwned(const Packet& aPacket, const TableMember& aOwner);
  void HandleInDirectory(const Packet& aPacket, const std::string& aOwner,
                         BucketDirectory& aDirectory);
  bool SendToHolder(const Packet& aPacket, const std::string& aOwner, BucketDirectory& aDirectory);
  void HandlePending(const Packet& aPacket, const std::string& aOwner, BucketDirectory& aDirectory);
  void HandleOther(const Packet& aPacket, const TableMember& aOwner, const TableMember& aActing);
  void HandleRedirected(const Packet& aPacket);
  bool SendToHintedHolder(const Packet& aPacket);

  void Admit(const Packet& aPacket, const std::string& aOwner, BucketDirectory& aDirectory);
  void AdmitForOwner(const Packet& aPacket);
  std::optional<Refusal> TryAdmit(const Packet& aPacket);
  bool Redirect(const Packet& aPacket, BucketDirectory& aDirectory);
  bool MayAdmit() const;

  void Forward(const Packet& aPacket, const Endpoint& aTo, bool aRedirected);
  void Refuse(const Packet& aPacket, const Refusal& aRefusal);
  void Drop(RefusalReason aReason) { ++mDrops[aReason]; }
  static bool EndsSession(const CallerDatagram& aDatagram, const FlowEntry& aEntry);
  void EndFlow(FlowId aFlow, TimePoint aNow, FlowActions& aOut);
  void TellOwner(FlowId aFlow, bool aHeld, FlowActions& aOut);
  const Endpoint& BalancerFor(const FlowEntry& aEntry) const;

  void OnResumeAnswer(const ResumeAnswer& aAnswer, TimePoint aNow, FlowActions& aOut);
  void OnHandoverAck(const HandoverAck& aAck, FlowActions& aOut);
  void ContinueHandover(TimePoint aNow, FlowActions& aOut);
  void ContinueResumption(TimePoint aNow, FlowActions& aOut);
  void FinishResumption(Json aAdmission, TimePoint aNow, FlowActions& aOut);
  void RestoreFlow(const FlowState& aFlow, TimePoint aNow, FlowActions& aOut);
  std::string ChooseCustodian() const;
  Handover ExportState() const;

  FlowContext mContext;
  FlowAdmission& mAdmission;
  BucketRecords* mRecords;
  FlowCustody mCustody;
  BucketHandoff mHandoff;
  bool mDoubtful = false;
  std::optional<Stop> mStop;
  std::optional<Resumption> mResumption;
  std::map<Endpoint, bool> mBalancers; ///< Known balancers and whether they take replies.
  std::uint32_t mAckedGeneration = 0;
  TimePoint mNextFetch{RuntimeClock::duration(0)};
  TimePoint mNextRefresh{RuntimeClock::duration(0)};
  std::map<RefusalReason, std::uint64_t> mDrops;
  std::map<RefusalReason, std::uint64_t> mRefusals;
};

} // namespace dandelionslip
