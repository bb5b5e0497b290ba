// Decides which replica to add, promote or remove so that the group keeps its voters.
#pragma once

#include "dandelionslip/Control/LeaveRequest.h"
#include "dandelionslip/Control/LogEntry.h"
#include "dandelionslip/Control/RaftMembership.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace dandelionslip {

/// Settings of ReplicaRepairPlanner.
struct ReplicaRepairSettings
{
  std::size_t mTargetVoters = 5; ///< Twice the number of disks that may be lost at once, plus one.
  /// A voter that sends nothing for longer than this may be replaced by a learner. It must be
  /// longer than a process takes to restart and shorter than the time until the next loss must be
  /// survived. Counts from the last message that this replica received, also as a follower, or from
  /// the start of its process.
  Milliseconds mVoterTimeout{2'000};
  /// A new leader gives each voter at least this time to answer it. Several heartbeats.
  Milliseconds mLeaderObservation{300};
  /// A replica that received nothing from anybody for longer than this was cut off or stood still,
  /// and forgets when it heard from the others.
  Milliseconds mDeafTimeout{1'000};
  Milliseconds mJoinLifetime{2'000}; ///< A join request expires after this time.
  /// A learner that sends nothing for longer than this is removed.
  Milliseconds mLearnerTimeout{30'000};
  /// A leave request counts only if it answers a message that the leader sent within this time.
  Milliseconds mLeaveRequestAge{1'000};
  std::size_t mMaxReplicas = 16; ///< Voters and learners.
};

/// What the leader knows of the Raft group.
struct ReplicaGroup
{
  const RaftMembership& mMembers; ///< The newest membership in the log.
  ReplicaId mSelf;
  Term mTerm = 0;
  bool mMembersCommitted = true; ///< mMembers is committed.
  LogIndex mCommitIndex = 0;
  std::function<LogIndex(const ReplicaId&)> mMatchIndexOf; ///< See RaftCore::MatchIndexOf.
};

/// Plans the membership changes that keep the number of voters at the target while disks are lost
/// and VMs are replaced. A replica that lost its disk comes back under a new identity at its old
/// address; it is promoted before the old identity is removed, so that at no time fewer disks hold
/// a committed entry. A voter that is told to stop is replaced before it ends, if a learner can
/// take over its vote. It stays in the group as a learner, because it may come back with its data.
/// Every replica notes what it hears; only the leader asks for plans. Not thread-safe.
class ReplicaRepairPlanner
{
public:
  explicit ReplicaRepairPlanner(const ReplicaRepairSettings& aSettings);

  /// A replica asked to join, or repeated its request. A request replaces those of other identities
  /// at the same address.
  void OnJoinRequest(const ReplicaId& aReplica, const std::string& aAddress, TimePoint aNow);
  /// A message of a replica arrived. Call it in all roles: if leaders follow each other faster than
  /// mVoterTimeout, none of them alone would find a voter silent.
  void OnMessageFrom(const ReplicaId& aReplica, TimePoint aNow);
  /// A replica that was told to stop asks to be replaced as a voter. Until its next join request,
  /// which only a process that was started again sends, it gets no vote. Returns what it may do.
  LeaveState OnLeaveRequest(const LeaveRequest& aRequest, const ReplicaGroup& aGroup,
                            TimePoint aNow);
  /// The replicas that were told to stop and have not come back, as far as known.
  std::vector<ReplicaId> Leaving() const;
  /// This replica became the leader.
  void OnBecameLeader(TimePoint aNow);

  /// The next change to propose, if any. Call it only when the previous change is committed.
  std::optional<RaftMembershipChange> Next(const ReplicaGroup& aGroup, TimePoint aNow) const;

private:
  struct JoinRecord
  {
    std::string mAddress;
    TimePoint mReceivedAt;
  };

  void NoteGap(TimePoint aNow);
  Milliseconds SilenceOf(const ReplicaId& aReplica, TimePoint aNow) const;
  Milliseconds SilenceTowardsLeader(const ReplicaId& aReplica, TimePoint aNow) const;
  bool IsSilent(const ReplicaId& aReplica, TimePoint aNow) const;
  bool HasJoinRequest(const ReplicaId& aReplica, TimePoint aNow) const;
  bool IsLeaving(const ReplicaId& aReplica) const;
  bool MaySucceed(const ReplicaGroup& aGroup, const ReplicaId& aReplica, TimePoint aNow) const;
  bool IsSuperseded(const ReplicaGroup& aGroup, const ReplicaId& aReplica, TimePoint aNow) const;
  std::optional<ReplicaId> ReplaceableVoter(const ReplicaGroup& aGroup, TimePoint aNow) const;
  std::optional<RaftMembershipChange> NextAddition(const ReplicaGroup& aGroup,
                                                   TimePoint aNow) const;
  std::optional<RaftMembershipChange> NextPromotion(const ReplicaGroup& aGroup,
                                                    TimePoint aNow) const;
  std::optional<RaftMembershipChange> NextRemoval(const ReplicaGroup& aGroup, TimePoint aNow) const;

  ReplicaRepairSettings mSettings;
  TimePoint mLeaderSince;
  std::map<ReplicaId, TimePoint> mLastMessage;
  TimePoint mLastMessageOfAny;
  TimePoint mListeningSince; ///< This replica has heard from others since then without a long gap.
  std::map<ReplicaId, JoinRecord> mJoining; ///< At most one identity for each address.
  std::map<ReplicaId, TimePoint> mLeaving;  ///< Time of the newest leave request.
};

} // namespace dandelionslip
