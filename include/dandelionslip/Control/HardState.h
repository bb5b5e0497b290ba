// Term and vote of a replica; synced before any message that depends on them is sent.
#pragma once

#include "dandelionslip/Control/ReplicaId.h"
#include "dandelionslip/Support/Fields.h"

namespace dandelionslip {

/// Term and vote of a replica.
struct HardState
{
  Term mTerm = 0;
  ReplicaId mVotedFor; ///< Empty when no vote was given in mTerm.

  bool operator==(const HardState&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, HardState& aValue)
{
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("voted_for", aValue.mVotedFor);
}

} // namespace dandelionslip
