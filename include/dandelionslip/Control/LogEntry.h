// One entry of the replicated log.
#pragma once

#include "dandelionslip/Control/BinaryField.h"
#include "dandelionslip/Control/ReplicaId.h"

#include <tuple>

namespace dandelionslip {

enum class EntryKind
{
  NoOp,       ///< Appended by a leader at the start of its term; carries nothing.
  Command,    ///< Payload is a command for the state machine.
  Membership, ///< Payload is the resulting RaftMembership in CBOR.
};

std::span<const EnumName<EntryKind>> EnumNames(EntryKind);

/// Identifies an entry: no two different entries have the same index and term.
struct EntryId
{
  LogIndex mIndex = 0;
  Term mTerm = 0;

  bool operator==(const EntryId&) const = default;
  bool operator<(const EntryId& aOther) const
  {
    return std::tie(mIndex, mTerm) < std::tie(aOther.mIndex, aOther.mTerm);
  }
};

/// One entry of the replicated log.
struct LogEntry
{
  LogIndex mIndex = 0;
  Term mTerm = 0;
  EntryKind mKind = EntryKind::NoOp;
  Bytes mPayload;

  EntryId Id() const { return {mIndex, mTerm}; }

  bool operator==(const LogEntry&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, LogEntry& aValue)
{
  aVisitor.Field("index", aValue.mIndex);
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("kind", aValue.mKind);
  BinaryField(aVisitor, "payload", aValue.mPayload);
}

} // namespace dandelionslip
