// A view sent by the leader to a replica, and the replica's answer.
#pragma once

#include "dandelionslip/Model/ViewDifference.h"

#include <optional>
#include <string>

namespace dandelionslip {

/// Carries the leader's newest view, as a difference if the leader has one from the replica's
/// revision. Carries neither if only the held revision is new.
struct ViewUpdate
{
  std::uint64_t mTerm = 0;
  std::uint64_t mHeldRevision = 0; ///< Newest view revision that a quorum has.
  std::optional<View> mView;
  std::optional<ViewDifference> mDifference;

  bool operator==(const ViewUpdate&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ViewUpdate& aValue)
{
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("held_revision", aValue.mHeldRevision);
  aVisitor.Optional("view", aValue.mView);
  aVisitor.Optional("difference", aValue.mDifference);
}

/// The replica's view revision after a view update, whether or not it applied the update.
struct ViewUpdateAnswer
{
  std::string mReplica;
  std::uint64_t mTerm = 0;
  std::uint64_t mViewRevision = 0;

  bool operator==(const ViewUpdateAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ViewUpdateAnswer& aValue)
{
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("view_revision", aValue.mViewRevision);
}

/// Decodes a view update within the size bounds. LimitExceeded: a bound is exceeded; InvalidInput:
/// malformed.
Result<ViewUpdate> DecodeViewUpdate(std::span<const std::uint8_t> aBytes, std::string_view aSource);

} // namespace dandelionslip
