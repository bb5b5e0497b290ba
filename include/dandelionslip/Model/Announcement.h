// Announcement of a node to a control replica, and the replica's answer.
#pragma once

#include "dandelionslip/Model/ConfigurationDifference.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Model/ViewDifference.h"

#include <optional>

namespace dandelionslip {

/// Sent periodically by a balancer or agent to renew its lease and to learn of newer state.
struct Announcement
{
  Member mMember;
  /// Capacity estimate of the upstream; kFullWeight is its declared capacity.
  std::uint32_t mWeight = 0;
  std::uint32_t mAckedGeneration = 0; ///< Newest generation whose bucket transfers are complete.
  std::uint64_t mConfigurationRevision = 0; ///< Current revision at the node.
  std::uint64_t mViewRevision = 0;          ///< Current revision at the node.

  bool operator==(const Announcement&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Announcement& aValue)
{
  aVisitor.Field("member", aValue.mMember);
  aVisitor.Field("weight", aValue.mWeight, {0, 1'000'000});
  aVisitor.Field("acked_generation", aValue.mAckedGeneration);
  aVisitor.Field("configuration_revision", aValue.mConfigurationRevision);
  aVisitor.Field("view_revision", aValue.mViewRevision);
}

/// A control replica's answer. When mConfirmed is false it carries neither a lease nor state.
struct AnnouncementAnswer
{
  bool mConfirmed = false; ///< The replica has had contact with a quorum recently.
  bool mFenced = false; ///< A higher incarnation of the same member exists; the process must stop.
  /// Duration of the lease from the time at which the announcement was sent. Zero grants no lease
  /// and does not shorten one that an earlier answer granted.
  Milliseconds mLease{0};
  std::uint64_t mConfigurationRevision = 0; ///< Newest revision at the replica.
  std::uint64_t mViewRevision = 0;          ///< Newest revision that the replica may send to nodes.
  /// Present when the node has no state or the replica does not keep the differences since the
  /// announced revision.
  std::optional<Configuration> mConfiguration;
  /// Changes since the announced revision.
  std::optional<ConfigurationDifference> mConfigurationDifference;
  std::optional<View> mView; ///< Present under the same condition as mConfiguration.
  std::optional<ViewDifference> mViewDifference; ///< Changes since the announced revision.
  /// All control replicas, "address:port"; empty when this replica does not know them.
  std::vector<std::string> mControlEndpoints;

  bool operator==(const AnnouncementAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, AnnouncementAnswer& aValue)
{
  aVisitor.Field("confirmed", aValue.mConfirmed);
  aVisitor.Optional("fenced", aValue.mFenced);
  aVisitor.Field("lease_ms", aValue.mLease);
  aVisitor.Field("configuration_revision", aValue.mConfigurationRevision);
  aVisitor.Field("view_revision", aValue.mViewRevision);
  aVisitor.Optional("configuration", aValue.mConfiguration);
  aVisitor.Optional("configuration_difference", aValue.mConfigurationDifference);
  aVisitor.Optional("view", aValue.mView);
  aVisitor.Optional("view_difference", aValue.mViewDifference);
  aVisitor.Optional("control_endpoints", aValue.mControlEndpoints);
}

} // namespace dandelionslip
