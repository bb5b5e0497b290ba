// Decision core of the replicated log.
#pragma once

#include "dandelionslip/Control/LogStore.h"
#include "dandelionslip/Control/RaftAction.h"
#include "dandelionslip/Support/Random.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <memory>
#include <optional>

namespace dandelionslip {

/// Times and bounds of the replicated log.
struct RaftSettings
{
  Milliseconds mHeartbeat{100};
  Milliseconds mElectionMin{500};
  Milliseconds mElectionMax{1000};
  /// Longest election timeout within the first second after a start, when a restart of the whole
  /// group is likely; a leader that is there refuses the pre-vote. Zero uses the usual timeouts.
  Milliseconds mFirstElection{0};
  Milliseconds mConfirmWindow{500}; ///< How long a quorum contact confirms reads.
  std::size_t mMaxAppendBytes = 64U << 10U;
  std::size_t mMaxAppendEntries = 256;
  std::size_t mMaxInFlight = 8; ///< Append messages with entries, for each follower.
  std::size_t mMaxPayloadBytes = 1U << 20U;
  std::size_t mSnapshotChunkBytes = 64U << 10U;
  LogIndex mSnapshotEntries = 4096; ///< Applied entries after which a snapshot is due.
};

/// Raft with pre-vote, check-quorum, learners, single membership changes and snapshots.
///
/// Each event returns actions. The runtime carries them out in the order of the returned list and
/// in the order of the events: an action starts only after every earlier PersistAction and
/// InstallSnapshotAction is synced. If one of them fails, the replica stops. Not thread-safe.
class RaftCore
{
public:
  RaftCore(RaftSettings aSettings, RecoveredState aState, Random aRandom, TimePoint aNow);
  ~RaftCore();
  RaftCore(const RaftCore&) = delete;
  RaftCore& operator=(const RaftCore&) = delete;

  /// Time has passed; call every 20 ms.
  RaftActions Tick(TimePoint aNow);
  /// A message arrived.
  RaftActions Receive(TimePoint aNow, const RaftMessage& aMessage);
  /// The entries up to this one are synced to the local disk.
  RaftActions Persisted(TimePoint aNow, EntryId aLast);

  /// Appends a command. On success the outcome is open until an ApplyAction brings the entry with
  /// the returned index: equal term means applied, another term means certainly not applied. Every
  /// error means that the command was certainly not appended: Unavailable (not the leader, or a
  /// leadership transfer is running) or LimitExceeded (payload too large).
  Result<EntryId> Propose(TimePoint aNow, Bytes aPayload, RaftActions& aActions);
  /// Appends a membership change under the same rules. Further errors: Conflict (another change is
  /// open, or this term has no committed entry yet, or the learner's log is not durable up to the
  /// commit index), InvalidInput (the change does not fit the membership), NotFound.
  Result<EntryId> ProposeChange(TimePoint aNow, const MembershipChange& aChange,
                                RaftActions& aActions);
  /// Hands leadership to an up-to-date voter before a planned stop; any voter when aTarget is
  /// empty. Proposals are refused until it succeeds or one election timeout has passed.
  Status TransferLeadership(TimePoint aNow, const ReplicaId& aTarget, RaftActions& aActions);
  /// Whether enough entries were applied since the last snapshot.
  bool SnapshotDue() const;
  /// Builds a snapshot of the applied entries. Call it only when every ApplyAction returned so far
  /// is carried out; aState is the state machine's state at that time.
  Snapshot MakeSnapshot(Bytes aState) const;
  /// A snapshot of applied entries is stored; drops the entries it covers.
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);

  /// Whether a quorum contact of the leader, no older than mConfirmWindow, has confirmed that this
  /// replica follows it and has applied all that was committed at that time.
  bool Confirmed(TimePoint aNow) const;
  /// The leader of the current term, if known.
  std::optional<ReplicaId> Leader() const;
  RaftRole Role() const;
  Term CurrentTerm() const;
  LogIndex CommitIndex() const;
  LogIndex AppliedIndex() const;
  LogIndex LastIndex() const;
  /// Term of an entry that is still in the log or of the snapshot's last entry.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  /// The newest membership in the log, which may not be committed yet.
  const Membership& Members() const;
  /// The newest committed membership.
  const Membership& CommittedMembers() const;
  /// Leader only: the index up to which a replica's log is known to be durable and equal.
  LogIndex MatchOf(const ReplicaId& aReplica) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace dandelionslip
