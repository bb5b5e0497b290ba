// A stopping replica's request to be replaced as a voter before it ends.
#pragma once

#include "dandelionslip/Control/LogEntry.h"
#include "dandelionslip/Control/ReplicaId.h"
#include "dandelionslip/Support/Fields.h"

#include <cstdint>

namespace dandelionslip {

/// Identifies a message of a leader: the term and the leader's clock when it sent the message.
struct LeaderStamp
{
  Term mTerm = 0;
  std::int64_t mSentNs = 0; ///< Comparable only with the clock of the leader of mTerm.

  bool operator==(const LeaderStamp&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, LeaderStamp& aValue)
{
  aVisitor.Field("term", aValue.mTerm);
  aVisitor.Field("sent_ns", aValue.mSentNs);
}

/// Sent to the leader by a replica that was told to stop, until the answer lets it end.
struct LeaveRequest
{
  ReplicaId mReplica;
  /// Newest message received from the leader. Lets the leader refuse a copy that was held up on its
  /// way, because the replica may have been started again since.
  LeaderStamp mStamp;

  bool operator==(const LeaveRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, LeaveRequest& aValue)
{
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Field("stamp", aValue.mStamp);
}

/// What a stopping replica may do.
enum class LeaveState
{
  Refused,     ///< The receiver does not lead or the request is too old: ask again.
  Wait,        ///< A successor takes over the vote, or may soon.
  Released,    ///< The replica has no vote and gets none: it may end.
  NoSuccessor, ///< No learner can take over the vote: it may end, and keeps its vote.
};

std::span<const EnumName<LeaveState>> EnumNames(LeaveState);

struct LeaveAnswer
{
  LeaveState mState = LeaveState::Refused;

  bool operator==(const LeaveAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, LeaveAnswer& aValue)
{
  aVisitor.Field("state", aValue.mState);
}

} // namespace dandelionslip
