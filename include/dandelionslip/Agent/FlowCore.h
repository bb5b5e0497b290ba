// Flow handling of an agent, without I/O.
#pragma once

#include "dandelionslip/Agent/BucketTransferManager.h"
#include "dandelionslip/Agent/FlowActions.h"
#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Net/CallerDatagram.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace dandelionslip {

/// Number of forwards between agents after which a datagram is dropped.
inline constexpr std::uint8_t kMaxHops = 4;

/// Handles the datagrams and peer messages of one agent. Each event appends the actions for the
/// daemon to aOut. Not thread-safe: the daemon serialises the events of one core.
class FlowCore
{
public:
  /// aAdmission must outlive the core. aRecords may be null.
  FlowCore(FlowSettings aSettings, FlowAdmission& aAdmission, BucketRecords* aRecords = nullptr);

  /// Applies view and configuration. Each of them is ignored unless its revision is newer.
  void OnViewAndConfiguration(const View& aView, const Configuration& aConfiguration,
                              TimePoint aNow, FlowActions& aOut);

  /// The agent's lease has expired. Other members may own its buckets from now on, so the buckets
  /// are rebuilt when the next view or configuration arrives.
  void OnLeaseExpired() { mOwnershipUncertain = true; }

  /// The lease is valid again, and the newest view and configuration were applied before this call.
  /// If they were newer, the buckets are being rebuilt already; if not, no other member has owned
  /// them.
  void OnLeaseRenewed() { mOwnershipUncertain = false; }

  /// A datagram of kind Forward from a balancer or another agent.
  void OnForward(const DatagramHeader& aHeader, std::span<const std::uint8_t> aPayload,
                 const Endpoint& aSender, TimePoint aNow, FlowActions& aOut);

  /// A state probe from a balancer without a valid lease. aConfirmed says whether this agent's
  /// lease is valid.
  void OnStateProbe(const DatagramHeader& aHeader, const Endpoint& aSender, bool aConfirmed,
                    FlowActions& aOut);

  /// A datagram that the upstream sent on the flow's port.
  void OnUpstreamDatagram(FlowId aFlow, std::span<const std::uint8_t> aPayload, TimePoint aNow,
                          FlowActions& aOut);

  /// The daemon opened the flow's port, or could not (aPort 0).
  void OnUpstreamPortOpened(FlowId aFlow, std::uint16_t aPort, TimePoint aNow, FlowActions& aOut);

  /// A message from the agent aFrom.
  void OnPeerMessage(const std::string& aFrom, const PeerMessage& aMessage, TimePoint aNow,
                     FlowActions& aOut);

  /// To be called about every 50 ms: ends idle flows and repeats unanswered requests.
  void OnTick(TimePoint aNow, FlowActions& aOut);

  /// Starts a planned stop: hands the whole state over to a backup. aAdmissionSnapshot is passed
  /// unread to the resumed process. From here on packets of the agent's own flows are dropped,
  /// because the exported state must not change. Ends with HandoverDone, which names no backup when
  /// no other agent can take the state.
  void BeginHandover(Json aAdmissionSnapshot, TimePoint aNow, FlowActions& aOut);

  /// Starts the resumption: requests the state from before the restart from the backup. Ends with
  /// ResumptionDone; until then no flow is admitted.
  void BeginResumption(const std::string& aBackup, TimePoint aNow, FlowActions& aOut);

  /// Newest generation in which all owned buckets are complete, for announcements.
  std::uint32_t AckedGeneration() const { return mAckedGeneration; }

  std::uint64_t ViewRevision() const { return mContext.mView.mRevision; }
  std::uint64_t ConfigurationRevision() const { return mContext.mConfiguration.mRevision; }
  const ServiceTable& Table() const { return mContext.mTable; }
  const FlowTable& Flows() const { return mContext.mFlows; }
  const BucketDirectory& Directory() const { return mBucketTransfers.Directory(); }

  /// Dropped datagrams by reason since the start.
  const std::map<RefusalReason, std::uint64_t>& Drops() const { return mDrops; }

  /// Refusals sent to callers by reason since the start.
  const std::map<RefusalReason, std::uint64_t>& Refusals() const { return mRefusals; }

private:
  /// A datagram being handled, and the list that its actions are appended to.
  struct Packet
  {
    const DatagramHeader& mHeader;
    std::span<const std::uint8_t> mPayload;
    const Endpoint& mSender;
    TimePoint mNow;
    FlowActions& mActions;
  };

  /// A planned stop in progress.
  struct Handover
  {
    Json mAdmissionSnapshot;
    std::string mBackup;
    std::set<std::string> mUnacknowledged; ///< Members whose state the backup has not acknowledged.
    TimePoint mNextSend;
    std::uint32_t mResends = 0; ///< Resends since the backup was chosen or last acknowledged.
    /// Agents that did not acknowledge; they may be stopping too.
    std::set<std::string> mUnresponsive;
  };

  /// A resumption in progress.
  struct Resumption
  {
    std::string mBackup;
    TimePoint mNextRequest;
  };

  void OnTable(const ServiceTable& aOld, TimePoint aNow, FlowActions& aOut);
  bool MissedGeneration(const ServiceTable& aOld) const;
  bool WasOwnDataCentreOut(const Configuration& aOld) const;
  void UpdateBalancers();
  void ClearFlowState(TimePoint aNow, FlowActions& aOut);
  void ReportHeldFlows(const ServiceTable& aOld, FlowActions& aOut);
  void ConfirmFlowsPeriodically(TimePoint aNow, FlowActions& aOut);
  void UpdateAcknowledgement();

  bool Validate(const Packet& aPacket);
  void FetchViewIfBehind(const Packet& aPacket);
  void HandleWhileStopping(const Packet& aPacket);
  void Deliver(FlowEntry& aEntry, const Packet& aPacket);
  void Dispatch(const Packet& aPacket);
  void HandleAsActingMember(const Packet& aPacket, const TableMember& aOwner);
  void HandleByDirectory(const Packet& aPacket, const std::string& aOwner,
                         BucketDirectory& aDirectory);
  bool SendToHolder(const Packet& aPacket, const std::string& aOwner, BucketDirectory& aDirectory);
  void HandlePending(const Packet& aPacket, const std::string& aOwner, BucketDirectory& aDirectory);
  void HandleAsOtherMember(const Packet& aPacket, const TableMember& aOwner,
                           const TableMember& aActing);
  void HandleRedirected(const Packet& aPacket);
  bool SendToRecordedHolder(const Packet& aPacket);

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
  void NotifyOwner(FlowId aFlow, bool aHeld, FlowActions& aOut);
  const Endpoint& BalancerFor(const FlowEntry& aEntry) const;

  void OnResumeAnswer(const ResumeAnswer& aAnswer, TimePoint aNow, FlowActions& aOut);
  void OnHandoverAck(const StateHandoverAck& aAck, FlowActions& aOut);
  void ContinueHandover(TimePoint aNow, FlowActions& aOut);
  void ContinueResumption(TimePoint aNow, FlowActions& aOut);
  void FinishResumption(Json aAdmissionSnapshot, TimePoint aNow, FlowActions& aOut);
  void RestoreFlow(const FlowState& aFlow, TimePoint aNow, FlowActions& aOut);
  std::string ChooseBackup() const;
  StateHandover ExportState() const;

  FlowContext mContext;
  FlowAdmission& mAdmission;
  BucketRecords* mRecords;
  BackupRole mBackupRole;
  BucketTransferManager mBucketTransfers;
  bool mOwnershipUncertain = false;
  std::optional<Handover> mHandover;
  std::optional<Resumption> mResumption;
  std::map<Endpoint, bool> mBalancers; ///< Known balancers and whether they take replies.
  std::uint32_t mAckedGeneration = 0;
  TimePoint mNextFetch{RuntimeClock::duration(0)};
  TimePoint mNextConfirmation{RuntimeClock::duration(0)};
  std::map<RefusalReason, std::uint64_t> mDrops;
  std::map<RefusalReason, std::uint64_t> mRefusals;
};

} // namespace dandelionslip
