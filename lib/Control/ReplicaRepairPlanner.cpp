// Decides which replica to add, promote or remove.
#include "dandelionslip/Control/ReplicaRepairPlanner.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

ReplicaRepairPlanner::ReplicaRepairPlanner(const ReplicaRepairSettings& aSettings)
  : mSettings(aSettings)
{
}

void ReplicaRepairPlanner::OnJoinRequest(const ReplicaId& aReplica, const std::string& aAddress,
                                         TimePoint aNow)
{
  std::erase_if(mJoining, [&](const auto& aItem) {
    return aNow - aItem.second.mReceivedAt > mSettings.mJoinLifetime ||
           (aItem.second.mAddress == aAddress && aItem.first != aReplica);
  });
  if (mJoining.size() < mSettings.mMaxReplicas || mJoining.contains(aReplica)) {
    mJoining[aReplica] = {aAddress, aNow};
  }
  OnMessageFrom(aReplica, aNow);
  mLeaving.erase(aReplica);
}

LeaveState ReplicaRepairPlanner::OnLeaveRequest(const LeaveRequest& aRequest,
                                                const ReplicaGroup& aGroup, TimePoint aNow)
{
  const auto age = aNow - TimePoint(RuntimeClock::duration(aRequest.mStamp.mSentNs));
  if (aRequest.mStamp.mTerm != aGroup.mTerm || age > mSettings.mLeaveRequestAge) {
    return LeaveState::Refused;
  }
  const ReplicaId& leaving = aRequest.mReplica;
  const ReplicaInfo* info = aGroup.mMembers.Find(leaving);
  if (info == nullptr) {
    mJoining.erase(leaving);
    return LeaveState::Released;
  }
  std::erase_if(mLeaving,
                [&](const auto& aItem) { return aGroup.mMembers.Find(aItem.first) == nullptr; });
  mLeaving[leaving] = aNow;
  mJoining.erase(leaving);
  if (!info->mVoter) {
    return aGroup.mMembersCommitted ? LeaveState::Released : LeaveState::Wait;
  }
  // A new leader has not received the join requests of all learners yet.
  const bool newLeader = aNow - mLeaderSince < mSettings.mJoinLifetime;
  const auto& members = aGroup.mMembers.mReplicas;
  const bool successor = std::any_of(members.begin(), members.end(), [&](const auto& aItem) {
    const auto& [id, other] = aItem;
    return MaySucceed(aGroup, id, aNow) || (newLeader && !other.mVoter && !IsLeaving(id));
  });
  const bool wait = successor || aGroup.mMembers.VoterCount() > mSettings.mTargetVoters ||
                    NextAddition(aGroup, aNow);
  return wait ? LeaveState::Wait : LeaveState::NoSuccessor;
}

std::vector<ReplicaId> ReplicaRepairPlanner::Leaving() const
{
  std::vector<ReplicaId> leaving;
  for (const auto& [id, time] : mLeaving) {
    leaving.push_back(id);
  }
  return leaving;
}

void ReplicaRepairPlanner::OnMessageFrom(const ReplicaId& aReplica, TimePoint aNow)
{
  NoteGap(aNow);
  mLastMessageOfAny = aNow;
  if (mLastMessage.size() >= 2 * mSettings.mMaxReplicas) {
    // Identities of replicas that were replaced. A forgotten voter counts as never heard.
    std::erase_if(mLastMessage, [&](const auto& aItem) {
      return aNow - aItem.second > mSettings.mLearnerTimeout;
    });
  }
  mLastMessage[aReplica] = aNow;
}

void ReplicaRepairPlanner::NoteGap(TimePoint aNow)
{
  if (aNow - mLastMessageOfAny > mSettings.mDeafTimeout) {
    mLastMessage.clear();
    mListeningSince = aNow;
  }
}

void ReplicaRepairPlanner::OnBecameLeader(TimePoint aNow)
{
  NoteGap(aNow);
  mLeaderSince = aNow;
  mJoining.clear();
}

Milliseconds ReplicaRepairPlanner::SilenceOf(const ReplicaId& aReplica, TimePoint aNow) const
{
  const auto last = mLastMessage.find(aReplica);
  const TimePoint since = last == mLastMessage.end() ? mListeningSince : last->second;
  return std::chrono::duration_cast<Milliseconds>(aNow - since);
}

Milliseconds ReplicaRepairPlanner::SilenceTowardsLeader(const ReplicaId& aReplica,
                                                        TimePoint aNow) const
{
  return std::min(SilenceOf(aReplica, aNow),
                  std::chrono::duration_cast<Milliseconds>(aNow - mLeaderSince));
}

bool ReplicaRepairPlanner::IsSilent(const ReplicaId& aReplica, TimePoint aNow) const
{
  return SilenceOf(aReplica, aNow) > mSettings.mVoterTimeout &&
         SilenceTowardsLeader(aReplica, aNow) >= mSettings.mLeaderObservation;
}

bool ReplicaRepairPlanner::HasJoinRequest(const ReplicaId& aReplica, TimePoint aNow) const
{
  const auto found = mJoining.find(aReplica);
  return found != mJoining.end() && aNow - found->second.mReceivedAt <= mSettings.mJoinLifetime;
}

// A request received under an earlier leadership does not count: the replica may have come back and
// sent its join requests to another leader.
bool ReplicaRepairPlanner::IsLeaving(const ReplicaId& aReplica) const
{
  const auto found = mLeaving.find(aReplica);
  return found != mLeaving.end() && found->second >= mLeaderSince;
}

// Whether the replica is a learner that can become a voter once its log is up to date. The join
// request shows that it is not about to end: a stopping replica still answers messages but sends
// none.
bool ReplicaRepairPlanner::MaySucceed(const ReplicaGroup& aGroup, const ReplicaId& aReplica,
                                      TimePoint aNow) const
{
  const ReplicaInfo* info = aGroup.mMembers.Find(aReplica);
  return info != nullptr && !info->mVoter && HasJoinRequest(aReplica, aNow) &&
         SilenceTowardsLeader(aReplica, aNow) < mSettings.mVoterTimeout &&
         !IsSuperseded(aGroup, aReplica, aNow);
}

// Whether another replica asked to join from this replica's address. Two replicas cannot share an
// address, so the later identity shows that the disk of the earlier one is gone and its process has
// ended.
bool ReplicaRepairPlanner::IsSuperseded(const ReplicaGroup& aGroup, const ReplicaId& aReplica,
                                        TimePoint aNow) const
{
  const ReplicaInfo* info = aGroup.mMembers.Find(aReplica);
  if (info == nullptr || aReplica == aGroup.mSelf) {
    return false;
  }
  return std::any_of(mJoining.begin(), mJoining.end(), [&](const auto& aItem) {
    const auto& [joining, request] = aItem;
    return joining != aReplica && request.mAddress == info->mAddress &&
           !aGroup.mMembers.IsRemoved(joining) &&
           aNow - request.mReceivedAt <= mSettings.mJoinLifetime;
  });
}

std::optional<ReplicaId> ReplicaRepairPlanner::ReplaceableVoter(const ReplicaGroup& aGroup,
                                                                TimePoint aNow) const
{
  std::optional<ReplicaId> longestIdle;
  std::optional<ReplicaId> firstLeaving;
  Milliseconds longest{0};
  for (const auto& [id, info] : aGroup.mMembers.mReplicas) {
    if (!info.mVoter || id == aGroup.mSelf) {
      continue;
    }
    if (IsSuperseded(aGroup, id, aNow)) {
      return id;
    }
    if (const Milliseconds silence = SilenceOf(id, aNow); IsSilent(id, aNow) && silence > longest) {
      longest = silence;
      longestIdle = id;
    }
    if (IsLeaving(id) && (!firstLeaving || mLeaving.at(id) < mLeaving.at(*firstLeaving))) {
      firstLeaving = id;
    }
  }
  // A voter that is gone is replaced first: one that is leaving still counts while it waits.
  return longestIdle ? longestIdle : firstLeaving;
}

std::optional<RaftMembershipChange> ReplicaRepairPlanner::NextAddition(const ReplicaGroup& aGroup,
                                                                       TimePoint aNow) const
{
  if (aGroup.mMembers.mReplicas.size() >= mSettings.mMaxReplicas) {
    return std::nullopt;
  }
  for (const auto& [id, request] : mJoining) {
    const bool fresh = aNow - request.mReceivedAt <= mSettings.mJoinLifetime;
    if (fresh && aGroup.mMembers.Find(id) == nullptr && !aGroup.mMembers.IsRemoved(id)) {
      return RaftMembershipChange{RaftMembershipChangeKind::AddLearner, id, request.mAddress};
    }
  }
  return std::nullopt;
}

std::optional<RaftMembershipChange> ReplicaRepairPlanner::NextPromotion(const ReplicaGroup& aGroup,
                                                                        TimePoint aNow) const
{
  const std::size_t voters = aGroup.mMembers.VoterCount();
  const bool wanted = voters < mSettings.mTargetVoters ||
                      (voters == mSettings.mTargetVoters && ReplaceableVoter(aGroup, aNow));
  if (!wanted) {
    return std::nullopt;
  }
  for (const auto& [id, info] : aGroup.mMembers.mReplicas) {
    if (MaySucceed(aGroup, id, aNow) && aGroup.mMatchIndexOf(id) >= aGroup.mCommitIndex) {
      return RaftMembershipChange{RaftMembershipChangeKind::Promote, id, {}};
    }
  }
  return std::nullopt;
}

std::optional<RaftMembershipChange> ReplicaRepairPlanner::NextRemoval(const ReplicaGroup& aGroup,
                                                                      TimePoint aNow) const
{
  if (aGroup.mMembers.VoterCount() > mSettings.mTargetVoters) {
    if (const auto voter = ReplaceableVoter(aGroup, aNow)) {
      // A voter that was not silent towards this leader for the whole time may only be out of
      // touch with it.
      const bool mayReturn =
        !IsSuperseded(aGroup, *voter, aNow) &&
        (IsLeaving(*voter) || SilenceTowardsLeader(*voter, aNow) <= mSettings.mVoterTimeout);
      return RaftMembershipChange{mayReturn ? RaftMembershipChangeKind::Demote
                                            : RaftMembershipChangeKind::Remove,
                                  *voter,
                                  {}};
    }
  }
  for (const auto& [id, info] : aGroup.mMembers.mReplicas) {
    const bool gone =
      IsSuperseded(aGroup, id, aNow) || SilenceTowardsLeader(id, aNow) > mSettings.mLearnerTimeout;
    if (!info.mVoter && id != aGroup.mSelf && gone) {
      return RaftMembershipChange{RaftMembershipChangeKind::Remove, id, {}};
    }
  }
  return std::nullopt;
}

std::optional<RaftMembershipChange> ReplicaRepairPlanner::Next(const ReplicaGroup& aGroup,
                                                               TimePoint aNow) const
{
  using Step = std::optional<RaftMembershipChange> (ReplicaRepairPlanner::*)(const ReplicaGroup&,
                                                                             TimePoint) const;
  // Removes a surplus voter first: while it counts for the quorum, one more loss can stop the
  // group.
  static constexpr std::array<Step, 3> kSteps{&ReplicaRepairPlanner::NextRemoval,
                                              &ReplicaRepairPlanner::NextPromotion,
                                              &ReplicaRepairPlanner::NextAddition};
  for (const Step step : kSteps) {
    if (auto change = (this->*step)(aGroup, aNow)) {
      return change;
    }
  }
  return std::nullopt;
}

} // namespace dandelionslip
