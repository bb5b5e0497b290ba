// Implementation of RaftCore.
#pragma once

#include "RaftLog.h"
#include "RaftPeer.h"
#include "RoleStateMachine.h"

#include "dandelionslip/Control/RaftCore.h"

#include <map>
#include <set>

namespace dandelionslip {

/// Implementation of RaftCore. Each public event function returns the actions it caused.
class RaftCore::Impl
{
public:
  Impl(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow);

  RaftActions Tick(TimePoint aNow);
  RaftActions Receive(TimePoint aNow, const RaftMessage& aMessage);
  RaftActions ReceiveJoin(TimePoint aNow, const ReplicaId& aReplica);
  RaftActions OnPersisted(TimePoint aNow, EntryId aLast);
  Result<EntryId> Propose(TimePoint aNow, Bytes aPayload, RaftActions& aActions);
  Result<EntryId> ProposeChange(TimePoint aNow, const RaftMembershipChange& aChange,
                                RaftActions& aActions);
  Status TransferLeadership(TimePoint aNow, const ReplicaId& aTarget, RaftActions& aActions,
                            std::span<const ReplicaId> aAvoided);
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);

  bool SnapshotDue() const;
  bool Confirmed(TimePoint aNow) const;
  const std::optional<ReplicaId>& Leader() const { return mLeader; }
  std::optional<LeaderStamp> NewestLeaderStamp() const;
  RaftRole Role() const { return mRole.Role(); }
  Term CurrentTerm() const { return mHardState.mTerm; }
  LogIndex CommitIndex() const { return mCommitIndex; }
  LogIndex AppliedIndex() const { return mAppliedIndex; }
  const RaftLog& Log() const { return mLog; }
  LogIndex MatchIndexOf(const ReplicaId& aReplica) const;

private:
  struct IncomingSnapshot
  {
    EntryId mId;
    Bytes mState;
  };

  // Common to all events.
  void SetNow(TimePoint aNow) { mNow = aNow; }
  RaftActions CollectActions();
  void CollectMessages(RaftActions& aActions);
  void Send(const ReplicaId& aTo, RaftBody aBody, StoreId aToStore = 0);
  void Answer(const RaftMessage& aRequest, RaftBody aBody);
  void AppendToLog(LogEntry aEntry);
  void SetHardState(Term aTerm, ReplicaId aVotedFor);
  void AdvanceCommit(LogIndex aCommit);
  void ResetElectionDeadline();
  void ForgetLeader();
  void BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader);
  void Stop(std::string aReason);
  void CheckOwnIdentity();
  bool MayStartElection() const;

  // Checks before a message is handled.
  std::optional<std::string> ReasonToRefuse(const RaftMessage& aMessage) const;
  bool AdoptTerm(const RaftMessage& aMessage);
  bool HasRecentLeaderContact() const;

  // Elections.
  void StartPreVote();
  void StartElection(bool aTransfer);
  void BecomeLeader();
  bool IsCandidateLogUpToDate(LogIndex aLastIndex, Term aLastTerm) const;
  bool CountVote(const RaftMessage& aMessage);
  void Handle(const RaftMessage& aMessage, const PreVoteRequest& aRequest);
  void Handle(const RaftMessage& aMessage, const PreVoteAnswer& aAnswer);
  void Handle(const RaftMessage& aMessage, const VoteRequest& aRequest);
  void Handle(const RaftMessage& aMessage, const VoteAnswer& aAnswer);
  void Handle(const RaftMessage& aMessage, const TimeoutNow& aRequest);
  void Handle(const RaftMessage& aMessage, const ReplicaRefusal& aRefusal);

  // Follower side of replication.
  void FollowLeader(const ReplicaId& aLeader, std::int64_t aSentNs);
  bool EntriesAreValid(const AppendRequest& aRequest) const;
  bool PreviousMatches(const AppendRequest& aRequest) const;
  LogIndex ConflictHint(const AppendRequest& aRequest) const;
  bool AppendMissingEntries(const AppendRequest& aRequest);
  void UpdateConfirmation(const AppendRequest& aRequest);
  void AnswerAppend(const RaftMessage& aMessage, const AppendRequest& aRequest, bool aSuccess,
                    LogIndex aMatch);
  void Handle(const RaftMessage& aMessage, const AppendRequest& aRequest);
  void Handle(const RaftMessage& aMessage, const SnapshotRequest& aRequest);
  bool AppendChunk(const SnapshotRequest& aRequest);
  void InstallSnapshot(const SnapshotRequest& aRequest);

  // Leader side of replication.
  void Handle(const RaftMessage& aMessage, const AppendAnswer& aAnswer);
  void Handle(const RaftMessage& aMessage, const SnapshotAnswer& aAnswer);
  /// The peer that an answer comes from, with its store id recorded; null if the answer must be
  /// ignored.
  RaftPeer* PeerOf(const RaftMessage& aMessage);
  /// Records the store id of the peer and restarts replication if its data directory was replaced.
  /// Returns false if the message must be ignored.
  bool AcceptStore(const RaftMessage& aMessage, RaftPeer& aPeer);
  void RecordContact(RaftPeer& aPeer, std::int64_t aSentNs) const;
  void RecordMatch(RaftPeer& aPeer, LogIndex aMatch);
  void RecordMismatch(RaftPeer& aPeer, const AppendAnswer& aAnswer);
  void Replicate(const ReplicaId& aId, RaftPeer& aPeer);
  void SendAppend(const ReplicaId& aId, RaftPeer& aPeer, bool aWithEntries);
  void SendHeartbeat(const ReplicaId& aId, RaftPeer& aPeer);
  void SendChunk(const ReplicaId& aId, RaftPeer& aPeer, bool aWithData);
  void StartSnapshot(const ReplicaId& aId, RaftPeer& aPeer);
  void BroadcastAppends();
  void MaybeCommit();
  std::optional<TimePoint> QuorumContact() const;
  bool HasCommittedInTerm() const;
  void TickLeader();
  void ContinueTransfer();

  // Proposals and membership.
  Status CheckMayPropose(const char* aStep) const;
  EntryId ProposeEntry(EntryKind aKind, Bytes aPayload);
  void UpdatePeers();
  Result<RaftMembership> MembershipAfter(const RaftMembershipChange& aChange) const;
  Status AddLearner(RaftMembership& aMembers, const RaftMembershipChange& aChange) const;
  Status Promote(RaftMembership& aMembers, const RaftMembershipChange& aChange) const;
  Status Remove(RaftMembership& aMembers, const RaftMembershipChange& aChange) const;
  Status Demote(RaftMembership& aMembers, const RaftMembershipChange& aChange) const;

  const RaftSettings mSettings;
  const ReplicaId mSelf;
  const StoreId mStore;
  Random mRandom;
  const std::uint64_t mSession; ///< Of this process's clock stamps; see ClockStamp.
  TimePoint mNow;
  TimePoint mStartedAt;

  RoleStateMachine mRole;
  HardState mHardState;
  RaftLog mLog;
  LogIndex mPersistedIndex; ///< The local log is synced up to here.
  LogIndex mCommitIndex;
  LogIndex mAppliedIndex;
  std::uint64_t mAppliedBytes = 0; ///< Payloads of the applied entries after the snapshot.
  std::optional<ReplicaId> mLeader;
  TimePoint mElectionDeadline;
  bool mOwnIdentityChecked = false;

  // Follower.
  std::optional<TimePoint> mLastLeaderContact;
  std::optional<LeaderStamp> mLeaderStamp; ///< Newest one received; may be of an earlier term.
  std::optional<TimePoint> mConfirmedAt;   ///< Local clock; never later than the newest quorum
                                           ///< contact that the leader reported.
  std::optional<IncomingSnapshot> mIncomingSnapshot;

  // Candidate.
  std::set<ReplicaId> mVotes;

  // Leader.
  std::map<ReplicaId, RaftPeer> mPeers;
  LogIndex mTermStartIndex = 0; ///< Index of the no-op entry of this term.
  TimePoint mLeaderSince;
  TimePoint mHeartbeatDue;
  std::optional<ReplicaId> mTransferTarget;
  TimePoint mTransferDeadline;
  bool mTimeoutNowSent = false;

  // Effects of the current event; CollectActions turns them into actions.
  PersistAction mPersistAction;
  std::shared_ptr<const Snapshot> mSnapshotToInstall;
  bool mInstallKeepsSuffix = false;
  std::vector<RaftMessage> mMessages;
  std::vector<PeerRefusedAction> mRefusedPeers;
  std::optional<std::string> mStopReason;
  RoleChangedAction mReportedRole;
};

} // namespace dandelionslip
