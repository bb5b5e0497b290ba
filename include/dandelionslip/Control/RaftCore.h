// Raft for the control log, without I/O, clock or threads.
#pragma once

#include "dandelionslip/Control/LeaveRequest.h"
#include "dandelionslip/Control/LogStore.h"
#include "dandelionslip/Control/RaftAction.h"
#include "dandelionslip/Support/Random.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <memory>
#include <optional>
#include <span>

namespace dandelionslip {

/// Timeouts and limits of RaftCore.
struct RaftSettings
{
  Milliseconds mHeartbeat{100};
  Milliseconds mElectionMin{500};
  Milliseconds mElectionMax{1000};
  /// Replaces mElectionMax in the first second after a start, when probably all replicas have
  /// restarted and none leads, so that a leader is elected sooner. A live leader is not disturbed,
  /// because it and its followers refuse the pre-vote. Zero: mElectionMax applies from the start.
  Milliseconds mFirstElectionTimeout{0};
  Milliseconds mConfirmWindow{500}; ///< How long a quorum contact confirms reads.
  std::size_t mMaxAppendBytes = 64U << 10U;
  std::size_t mMaxAppendEntries = 256;
  std::size_t mMaxInFlight = 8; ///< Append messages with entries, for each follower.
  std::size_t mMaxPayloadBytes = 1U << 20U;
  std::size_t mSnapshotChunkBytes = 64U << 10U;
  LogIndex mSnapshotEntries = 4096; ///< Applied entries after which a snapshot is due.
  /// Payload bytes of applied entries after which a snapshot is due, unless the last snapshot is
  /// large: then four times its size.
  std::uint64_t mSnapshotBytes = 16U << 20U;
};

/// Raft with pre-vote, check-quorum, learners, single-server membership changes and snapshots.
///
/// Each event returns actions. The code that uses the core (the daemon) carries them out in the
/// order of the returned list and in the order of the events: an action starts only after every
/// earlier PersistAction and InstallSnapshotAction is synced. If one of them fails, the replica
/// stops. Not thread-safe.
class RaftCore
{
public:
  RaftCore(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow);
  ~RaftCore();
  RaftCore(const RaftCore&) = delete;
  RaftCore& operator=(const RaftCore&) = delete;

  /// Handles timeouts; call every 20 ms.
  RaftActions Tick(TimePoint aNow);
  /// Handles a message from another replica.
  RaftActions Receive(TimePoint aNow, const RaftMessage& aMessage);
  /// Handles a join request. If the identity was removed, its replica is made to answer, so that it
  /// gets a refusal: the leader sends it nothing any more, and a learner sends no vote requests.
  RaftActions ReceiveJoin(TimePoint aNow, const ReplicaId& aReplica);
  /// The entries up to this one are synced to the local disk.
  RaftActions OnPersisted(TimePoint aNow, EntryId aLast);

  /// Appends a command. On success the outcome is open until an ApplyAction contains the entry with
  /// the returned index: if that entry has the returned term, the command is applied, otherwise it
  /// never will be. If an InstallSnapshotAction covers the index, the outcome stays unknown. An
  /// error means that the command was not appended: Unavailable (not the leader, or a leadership
  /// transfer is running) or LimitExceeded (payload too large).
  Result<EntryId> Propose(TimePoint aNow, Bytes aPayload, RaftActions& aActions);
  /// Appends a membership change under the same rules. Further errors: Conflict (the previous
  /// change is not committed, this term has no committed entry yet, or the learner's log is not
  /// durable up to the commit index), InvalidInput (the change does not fit the membership),
  /// NotFound (the replica is not in the membership).
  Result<EntryId> ProposeChange(TimePoint aNow, const RaftMembershipChange& aChange,
                                RaftActions& aActions);
  /// Transfers leadership to aTarget, or to the voter with the longest matching log if aTarget is
  /// empty, once that voter has the whole log. For use before a planned stop. Proposals are refused
  /// until the transfer succeeds or one election timeout has passed. The replicas in aAvoided are
  /// chosen only if there is no other.
  Status TransferLeadership(TimePoint aNow, const ReplicaId& aTarget, RaftActions& aActions,
                            std::span<const ReplicaId> aAvoided = {});
  /// Whether enough entries, or bytes of entries, were applied since the last snapshot.
  bool SnapshotDue() const;
  /// Builds a snapshot of the applied entries. Call it only when every ApplyAction returned so far
  /// is carried out; aState is the state machine's state at that time.
  Snapshot MakeSnapshot(Bytes aState) const;
  /// Drops the entries that a snapshot covers. Call it once the snapshot is stored.
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);

  /// Whether reads from this replica are current: the leader that it follows had a quorum contact
  /// (see AppendRequest::mQuorumAgeNs) within the last mConfirmWindow, and this replica has applied
  /// all that was committed at that time.
  bool Confirmed(TimePoint aNow) const;
  /// The leader of the current term, if known.
  std::optional<ReplicaId> Leader() const;
  /// The newest message from the leader of the current term; empty if none was received or this
  /// replica leads.
  std::optional<LeaderStamp> NewestLeaderStamp() const;
  RaftRole Role() const;
  Term CurrentTerm() const;
  LogIndex CommitIndex() const;
  LogIndex AppliedIndex() const;
  LogIndex LastIndex() const;
  /// Term of an entry that is still in the log or of the snapshot's last entry.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  /// The newest membership in the log, which may not be committed yet.
  const RaftMembership& Members() const;
  /// The newest committed membership.
  const RaftMembership& CommittedMembers() const;
  /// Index up to which a replica's log is known to be durable and equal to the log of
  /// this replica. 0 for other replicas unless this one leads.
  LogIndex MatchIndexOf(const ReplicaId& aReplica) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dandelionslip
