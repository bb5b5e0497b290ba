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
  std::vector<PeerSettings> mPeers; ///< The other replicas.
  std::string mDataFolder;          ///< Holds the log, the snapshots and the replica's identity.
  Milliseconds mHeartbeat{100};
  Milliseconds mElectionTimeoutMin{500};
  Milliseconds mElectionTimeoutMax{1'000};
  /// Longest election timeout just after a start; 0 means mElectionTimeoutMax.
  Milliseconds mFirstElectionTimeout{0};
  std::uint32_t mSnapshotEntries = 4'096; ///< Log entries between two snapshots, at most.
  /// Payload bytes of log entries between two snapshots, at most; see RaftSettings.
  std::uint32_t mSnapshotBytes = 16U << 20U;
  Milliseconds mLease{2'000};
  /// Interval at which a replica sends the leader a summary of the announcements that it received.
  Milliseconds mSummaryInterval{250};
  bool mJoin = false; ///< Whether to start as a learner of an existing Raft group.
  /// Endpoints of the replicas that form the initial Raft group; may include this replica. Used
  /// instead of mPeers when the replicas that are added later are not known. A replica that is not
  /// listed joins the existing group.
  std::vector<std::string> mInitialReplicas;
  /// Number of voters that the leader maintains by promoting learners; 0 when only the operator
  /// changes the membership.
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
  aVisitor.Optional("snapshot_bytes", aValue.mSnapshotBytes, {1 << 16, 1 << 30});
  aVisitor.Optional("lease_ms", aValue.mLease, {500, 60'000});
  aVisitor.Optional("summary_interval_ms", aValue.mSummaryInterval, {10, 5'000});
  aVisitor.Optional("join", aValue.mJoin);
  // The key is an earlier name of the field, kept for compatibility.
  aVisitor.Optional("founders", aValue.mInitialReplicas);
  aVisitor.Optional("target_voters", aValue.mTargetVoters, {0, 7});
}

} // namespace dandelionslip
