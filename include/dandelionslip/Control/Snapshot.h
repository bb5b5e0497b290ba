// Snapshot of the state machine after an applied entry.
#pragma once

#include "dandelionslip/Control/LogEntry.h"
#include "dandelionslip/Control/RaftMembership.h"

namespace dandelionslip {

/// Replaces all entries up to and including mIndex.
struct Snapshot
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
  RaftMembership mMembership;
  Bytes mState; ///< Encoded by the state machine; opaque to the log.

  EntryId Id() const { return {mIndex, mTerm}; }

  bool operator==(const Snapshot&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Snapshot& aValue)
{
  aVisitor.Field("index", aValue.mIndex);
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("membership", aValue.mMembership);
  BinaryField(aVisitor, "state", aValue.mState);
}

} // namespace dandelionslip
