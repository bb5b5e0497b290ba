// The replicas of the control log.
#pragma once

#include "dandelionslip/Control/ReplicaId.h"
#include "dandelionslip/Support/Fields.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// A replica in the membership.
struct ReplicaInfo
{
  std::string mAddress; ///< Numeric address and port of the replica's control listener.
  bool mVoter = false;  ///< False for a learner.
  /// Disk that was promoted. Zero for the voters of the first membership, whose disks are
  /// initialised by Bootstrap.
  StoreId mStore = 0;

  bool operator==(const ReplicaInfo&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ReplicaInfo& aValue)
{
  aVisitor.Field("address", aValue.mAddress);
  aVisitor.Field("voter", aValue.mVoter);
  aVisitor.Field("store", aValue.mStore);
}

/// Voters, learners and the identities that are removed for good.
struct Membership
{
  std::map<ReplicaId, ReplicaInfo> mReplicas;
  std::vector<ReplicaId> mRemoved;

  /// The replica with this identity, or null.
  const ReplicaInfo* Find(const ReplicaId& aId) const;
  bool IsVoter(const ReplicaId& aId) const;
  bool IsRemoved(const ReplicaId& aId) const;
  std::size_t VoterCount() const;
  /// Smallest number of voters that forms a majority.
  std::size_t Quorum() const { return VoterCount() / 2 + 1; }

  bool operator==(const Membership&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Membership& aValue)
{
  aVisitor.Field("replicas", aValue.mReplicas);
  aVisitor.Field("removed", aValue.mRemoved);
}

enum class MembershipChangeKind
{
  AddLearner,
  Promote, ///< Learner to voter.
  Remove,  ///< For good; the identity is refused afterwards.
};

std::span<const EnumName<MembershipChangeKind>> EnumNames(MembershipChangeKind);

/// A change of one replica.
struct MembershipChange
{
  MembershipChangeKind mKind = MembershipChangeKind::AddLearner;
  ReplicaId mReplica;
  std::string mAddress; ///< For AddLearner only.

  bool operator==(const MembershipChange&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, MembershipChange& aValue)
{
  aVisitor.Field("kind", aValue.mKind);
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Optional("address", aValue.mAddress);
}

} // namespace dandelionslip
