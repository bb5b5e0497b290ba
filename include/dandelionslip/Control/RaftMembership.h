// Members of the Raft group of the control replicas.
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
  /// Data directory that was promoted. Zero for the voters of the first membership, whose
  /// directories are initialised by LogStore::Bootstrap.
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
struct RaftMembership
{
  std::map<ReplicaId, ReplicaInfo> mReplicas;
  std::vector<ReplicaId> mRemoved;

  /// The replica with this identity, or null.
  const ReplicaInfo* Find(const ReplicaId& aId) const;
  bool IsVoter(const ReplicaId& aId) const;
  bool IsRemoved(const ReplicaId& aId) const;
  std::size_t VoterCount() const;
  /// Whether a replica other than aId is a learner.
  bool HasLearnerBesides(const ReplicaId& aId) const;
  /// Smallest number of voters that forms a majority.
  std::size_t Quorum() const { return VoterCount() / 2 + 1; }

  bool operator==(const RaftMembership&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RaftMembership& aValue)
{
  aVisitor.Field("replicas", aValue.mReplicas);
  aVisitor.Field("removed", aValue.mRemoved);
}

enum class RaftMembershipChangeKind
{
  AddLearner,
  Promote, ///< Learner to voter.
  Remove,  ///< For good; the identity is refused afterwards.
  Demote,  ///< Voter to learner.
};

std::span<const EnumName<RaftMembershipChangeKind>> EnumNames(RaftMembershipChangeKind);

/// A change of one replica.
struct RaftMembershipChange
{
  RaftMembershipChangeKind mKind = RaftMembershipChangeKind::AddLearner;
  ReplicaId mReplica;
  std::string mAddress; ///< For AddLearner only.

  bool operator==(const RaftMembershipChange&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RaftMembershipChange& aValue)
{
  aVisitor.Field("kind", aValue.mKind);
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Optional("address", aValue.mAddress);
}

} // namespace dandelionslip
