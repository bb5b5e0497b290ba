// Owner and alternate of each bucket of a service.
#pragma once

#include "dandelionslip/Route/AssignmentStrategy.h"

namespace dandelionslip {

/// Number of buckets that each member owns: its share by weight, rounded with the largest remainder
/// method so that the quotas add up to aBuckets. All are 0 when no member has a positive weight.
std::vector<std::uint32_t> BucketQuotas(std::span<const WeightedMember> aMembers,
                                        std::uint32_t aBuckets);

/// Weighted rendezvous assignment with quotas. Equal input gives the same table on every node.
class AssignmentTable
{
public:
  AssignmentTable() = default;

  /// aAlternateEligible says for each member whether it may be an alternate; empty means that all
  /// members may.
  AssignmentTable(std::span<const WeightedMember> aMembers, std::uint32_t aBuckets,
                  const std::vector<bool>& aAlternateEligible = {});

  std::uint32_t Buckets() const { return static_cast<std::uint32_t>(mOwners.size()); }

  /// The member that owns the bucket, or kNoMember.
  MemberIndex Owner(std::uint32_t aBucket) const { return mOwners[aBucket]; }

  /// The member that takes the bucket's new flows and requests when its owner cannot. Never the
  /// owner; kNoMember when no other member is eligible.
  MemberIndex Alternate(std::uint32_t aBucket) const { return mAlternates[aBucket]; }

private:
  std::vector<MemberIndex> mOwners;
  std::vector<MemberIndex> mAlternates;
};

} // namespace dandelionslip
