// Names and headers of the files in a data directory.
#pragma once

#include "dandelionslip/Control/ReplicaId.h"
#include "dandelionslip/Support/Fields.h"

#include <string>
#include <string_view>

namespace dandelionslip {

inline constexpr std::string_view kTemporarySuffix = ".tmp";
inline constexpr std::string_view kIdentityName = "identity";
inline constexpr std::string_view kHardStateName = "hard-state";
/// Its presence means that all other files of the store are to be removed.
inline constexpr std::string_view kDiscardName = "discard";
inline constexpr std::string_view kSnapshotPrefix = "snapshot-";
inline constexpr std::string_view kSegmentPrefix = "segment-";

/// First record of a segment.
struct SegmentHeader
{
  LogIndex mFirst = 0;
  Term mPreviousTerm = 0; ///< Term of the entry before mFirst; 0 when there is none.
};

template <typename V>
void DescribeFields(V& aVisitor, SegmentHeader& aValue)
{
  aVisitor.Field("first", aValue.mFirst);
  aVisitor.Field("previous_term", aValue.mPreviousTerm);
}

/// Contents of the identity file.
struct Identity
{
  ReplicaId mReplica;
  StoreId mStore = 0;
};

template <typename V>
void DescribeFields(V& aVisitor, Identity& aValue)
{
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Field("store", aValue.mStore);
}

} // namespace dandelionslip
