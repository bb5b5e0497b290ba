// Lookups of the membership.
#include "dandelionslip/Control/RaftMembership.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

std::span<const EnumName<RaftMembershipChangeKind>> EnumNames(RaftMembershipChangeKind)
{
  static constexpr std::array<EnumName<RaftMembershipChangeKind>, 4> kNames{{
    {RaftMembershipChangeKind::AddLearner, "add_learner"},
    {RaftMembershipChangeKind::Promote, "promote"},
    {RaftMembershipChangeKind::Remove, "remove"},
    {RaftMembershipChangeKind::Demote, "demote"},
  }};
  return kNames;
}

const ReplicaInfo* RaftMembership::Find(const ReplicaId& aId) const
{
  const auto found = mReplicas.find(aId);
  return found == mReplicas.end() ? nullptr : &found->second;
}

bool RaftMembership::IsVoter(const ReplicaId& aId) const
{
  const ReplicaInfo* info = Find(aId);
  return info != nullptr && info->mVoter;
}

bool RaftMembership::IsRemoved(const ReplicaId& aId) const
{
  return std::find(mRemoved.begin(), mRemoved.end(), aId) != mRemoved.end();
}

bool RaftMembership::HasLearnerBesides(const ReplicaId& aId) const
{
  return std::any_of(mReplicas.begin(), mReplicas.end(),
                     [&](const auto& aItem) { return !aItem.second.mVoter && aItem.first != aId; });
}

std::size_t RaftMembership::VoterCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mReplicas.begin(), mReplicas.end(), [](const auto& aItem) { return aItem.second.mVoter; }));
}

} // namespace dandelionslip
