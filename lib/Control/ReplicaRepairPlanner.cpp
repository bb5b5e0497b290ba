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
}

void ReplicaRepairPlanner::OnMessageFrom(const ReplicaId& aReplica, TimePoint aNow)
{
  mLastMessage[aReplica] = aNow;
}

void ReplicaRepairPlanner::OnBecameLeader(TimePoint aNow)
{
  mLeaderSince = aNow;
  mLastMessage.clear();
}

Milliseconds ReplicaRepairPlanner::TimeSinceLastMessage(const ReplicaId& aReplica,
                                                        TimePoint aNow) const
{
  const auto last = mLastMessage.find(aReplica);
  const TimePoint since = last == mLastMessage.end() ? mLeaderSince : last->second;
  return std::chrono::duration_cast<Milliseconds>(aNow - since);
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
  Milliseconds longest = mSettings.mVoterTimeout;
  for (const auto& [id, info] : aGroup.mMembers.mReplicas) {
    if (!info.mVoter || id == aGroup.mSelf) {
      continue;
    }
    if (IsSuperseded(aGroup, id, aNow)) {
      return id;
    }
    if (const Milliseconds idle = TimeSinceLastMessage(id, aNow); idle > longest) {
      longest = idle;
      longestIdle = id;
    }
  }
  return longestIdle;
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
    const bool live = !info.mVoter && TimeSinceLastMessage(id, aNow) < mSettings.mVoterTimeout &&
                      !IsSuperseded(aGroup, id, aNow);
    if (live && aGroup.mMatchIndexOf(id) >= aGroup.mCommitIndex) {
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
      return RaftMembershipChange{RaftMembershipChangeKind::Remove, *voter, {}};
    }
  }
  for (const auto& [id, info] : aGroup.mMembers.mReplicas) {
    const bool gone =
      IsSuperseded(aGroup, id, aNow) || TimeSinceLastMessage(id, aNow) > mSettings.mLearnerTimeout;
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
