// The periodic exchange between a node and a control replica.
#pragma once

#include "dandelionslip/Model/ConfigurationDifference.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Model/ViewDifference.h"

#include <optional>

namespace dandelionslip {

/// Heartbeat of a balancer or agent.
struct Announcement
{
  Member mMember;
  std::uint32_t mWeight = 0;          ///< Capacity estimate; kFullWeight is the declared capacity.
  std::uint32_t mAckedGeneration = 0; ///< Newest generation whose hand-offs are complete.
  std::uint64_t mConfigurationRevision = 0;
  std::uint64_t mViewRevision = 0;

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

/// A control replica's answer. An unconfirmed answer carries neither a lease nor state.
struct AnnouncementAnswer
{
  bool mConfirmed = false; ///< The replica has confirmed a quorum recently.
  bool mFenced = false; ///< A higher incarnation of the same member exists; the process must stop.
  /// Validity from the moment the announcement was sent. Zero grants nothing; it does not shorten
  /// a lease that an earlier answer granted.
  Milliseconds mLease{0};
  std::uint64_t mConfigurationRevision = 0;
  std::uint64_t mViewRevision = 0;
  std::optional<Configuration> mConfiguration; ///< Present when the node is far behind.
  std::optional<ConfigurationDifference> mConfigurationDifference; ///< From the announced revision.
  std::optional<View> mView;                     ///< Present when the node is far behind.
  std::optional<ViewDifference> mViewDifference; ///< From the announced revision.
  /// All control replicas, "address:port"; empty when the replica knows of no membership.
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
