// Settings of dandelionslip-control.
#pragma once

#include "dandelionslip/Config/CommonSettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

/// Another control replica.
struct PeerSettings
{
  std::string mName;     ///< The peer's node name.
  std::string mEndpoint; ///< TCP "address:port" of the peer.

  bool operator==(const PeerSettings&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, PeerSettings& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("endpoint", aValue.mEndpoint);
}

/// The settings file of a control replica. The replica's identity is not a setting: it is created
/// in the data folder at first start.
struct ControlSettings : CommonSettings
{
  std::string mEndpoint;            ///< TCP "address:port" for peers, nodes and operators.
  std::vector<PeerSettings> mPeers; ///< The other replicas, without this one.
  std::string mDataFolder;          ///< Holds the log, the snapshots and the replica's identity.
  Milliseconds mHeartbeat{100};
  Milliseconds mElectionTimeoutMin{500};
  Milliseconds mElectionTimeoutMax{1'000};
  Milliseconds mFirstElectionTimeout{
    0}; ///< Longest election timeout right after a start; 0: as usual.
  std::uint32_t mSnapshotEntries = 4'096; ///< Log entries between two snapshots.
  Milliseconds mLease{2'000};
  Milliseconds mSummaryInterval{250}; ///< Between two reports of a replica on its nodes.
  bool mJoin = false;                 ///< Start as a learner of an existing group.
  /// Endpoints of the replicas that found the group together, this one possibly among them. Used in
  /// place of mPeers where the replicas of the group are not known beforehand: all others join.
  std::vector<std::string> mInitialReplicas;
  /// Voters that the leader keeps by promoting learners; 0 leaves membership to the operator.
  std::uint32_t mTargetVoters = 0;

  bool operator==(const ControlSettings&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ControlSettings& aValue)
{
  DescribeCommonFields(aVisitor, aValue);
  aVisitor.Field("endpoint", aValue.mEndpoint);
  aVisitor.Optional("peers", aValue.mPeers);
  aVisitor.Field("data_folder", aValue.mDataFolder);
  aVisitor.Optional("heartbeat_ms", aValue.mHeartbeat, {10, 5'000});
  aVisitor.Optional("election_timeout_min_ms", aValue.mElectionTimeoutMin, {50, 60'000});
  aVisitor.Optional("election_timeout_max_ms", aValue.mElectionTimeoutMax, {50, 120'000});
  aVisitor.Optional("first_election_ms", aValue.mFirstElectionTimeout, {0, 10'000});
  aVisitor.Optional("snapshot_entries", aValue.mSnapshotEntries, {16, 1'000'000});
  aVisitor.Optional("lease_ms", aValue.mLease, {500, 60'000});
  aVisitor.Optional("summary_interval_ms", aValue.mSummaryInterval, {10, 5'000});
  aVisitor.Optional("join", aValue.mJoin);
  aVisitor.Optional("founders", aValue.mInitialReplicas);
  aVisitor.Optional("target_voters", aValue.mTargetVoters, {0, 7});
}

} // namespace dandelionslip
