// Lookups of the membership.
#include "dandelionslip/Control/Membership.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

std::span<const EnumName<MembershipChangeKind>> EnumNames(MembershipChangeKind)
{
  static constexpr std::array<EnumName<MembershipChangeKind>, 3> kNames{{
    {MembershipChangeKind::AddLearner, "add_learner"},
    {MembershipChangeKind::Promote, "promote"},
    {MembershipChangeKind::Remove, "remove"},
  }};
  return kNames;
}

const ReplicaInfo* Membership::Find(const ReplicaId& aId) const
{
  const auto found = mReplicas.find(aId);
  return found == mReplicas.end() ? nullptr : &found->second;
}

bool Membership::IsVoter(const ReplicaId& aId) const
{
  const ReplicaInfo* info = Find(aId);
  return info != nullptr && info->mVoter;
}

bool Membership::IsRemoved(const ReplicaId& aId) const
{
  return std::find(mRemoved.begin(), mRemoved.end(), aId) != mRemoved.end();
}

std::size_t Membership::VoterCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mReplicas.begin(), mReplicas.end(), [](const auto& aItem) { return aItem.second.mVoter; }));
}

} // namespace dandelionslip
