// Raft messages between control replicas.
#pragma once

#include "dandelionslip/Control/LogEntry.h"
#include "dandelionslip/Control/RaftMembership.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionslip {

/// Asks whether the receiver would vote for the sender in mProposedTerm. The receiver's term stays
/// as it is.
struct PreVoteRequest
{
  Term mProposedTerm = 0;
  LogIndex mLastIndex = 0;
  Term mLastTerm = 0;

  bool operator==(const PreVoteRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, PreVoteRequest& aValue)
{
  aVisitor.Field("proposed_term", aValue.mProposedTerm);
  aVisitor.Field("last_index", aValue.mLastIndex);
  aVisitor.Field("last_term", aValue.mLastTerm);
}

struct PreVoteAnswer
{
  Term mProposedTerm = 0;
  bool mGranted = false;

  bool operator==(const PreVoteAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, PreVoteAnswer& aValue)
{
  aVisitor.Field("proposed_term", aValue.mProposedTerm);
  aVisitor.Field("granted", aValue.mGranted);
}

/// Asks for a vote in the sender's term.
struct VoteRequest
{
  LogIndex mLastIndex = 0;
  Term mLastTerm = 0;
  /// The leader asked for this election: a recent message from it is no reason to refuse.
  bool mTransfer = false;

  bool operator==(const VoteRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, VoteRequest& aValue)
{
  aVisitor.Field("last_index", aValue.mLastIndex);
  aVisitor.Field("last_term", aValue.mLastTerm);
  aVisitor.Field("transfer", aValue.mTransfer);
}

struct VoteAnswer
{
  bool mGranted = false;

  bool operator==(const VoteAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, VoteAnswer& aValue)
{
  aVisitor.Field("granted", aValue.mGranted);
}

/// A reading of the sender's clock that the receiver returns unchanged. The session identifies the
/// process that took the reading: readings of different processes cannot be compared.
struct ClockStamp
{
  std::uint64_t mSession = 0;
  std::int64_t mNs = 0;

  bool operator==(const ClockStamp&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ClockStamp& aValue)
{
  aVisitor.Field("session", aValue.mSession);
  aVisitor.Field("ns", aValue.mNs);
}

/// Log entries from the leader; a heartbeat if there are none.
struct AppendRequest
{
  LogIndex mPreviousIndex = 0;
  Term mPreviousTerm = 0;
  std::vector<LogEntry> mEntries;
  LogIndex mCommitIndex = 0;
  std::int64_t mSentNs = 0; ///< Leader's clock; returned in the answer.
  /// Nanoseconds since the leader's last quorum contact: the latest time at which a majority of the
  /// voters is known to have followed it. Absent before the leader has committed an entry of its
  /// term.
  std::optional<std::int64_t> mQuorumAgeNs;
  /// Latest clock stamp received from this follower, and how long ago the leader received it.
  std::optional<ClockStamp> mEcho;
  std::int64_t mEchoHeldNs = 0;

  bool operator==(const AppendRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, AppendRequest& aValue)
{
  aVisitor.Field("previous_index", aValue.mPreviousIndex);
  aVisitor.Field("previous_term", aValue.mPreviousTerm);
  aVisitor.Field("entries", aValue.mEntries);
  aVisitor.Field("commit", aValue.mCommitIndex);
  aVisitor.Field("sent_ns", aValue.mSentNs);
  aVisitor.Field("quorum_age_ns", aValue.mQuorumAgeNs);
  aVisitor.Field("echo", aValue.mEcho);
  aVisitor.Field("echo_held_ns", aValue.mEchoHeldNs);
}

struct AppendAnswer
{
  bool mSuccess = false;
  /// On success: the log is durable and equal to the leader's up to here.
  LogIndex mMatchIndex = 0;
  LogIndex mPreviousIndex = 0; ///< Copied from the request.
  LogIndex mHint = 0;          ///< On failure: highest index that may match.
  std::int64_t mSentNs = 0;    ///< Copied from the request.
  ClockStamp mStamp;           ///< Follower's clock.

  bool operator==(const AppendAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, AppendAnswer& aValue)
{
  aVisitor.Field("success", aValue.mSuccess);
  aVisitor.Field("match", aValue.mMatchIndex);
  aVisitor.Field("previous_index", aValue.mPreviousIndex);
  aVisitor.Field("hint", aValue.mHint);
  aVisitor.Field("sent_ns", aValue.mSentNs);
  aVisitor.Field("stamp", aValue.mStamp);
}

/// One chunk of a snapshot. A chunk without data is a heartbeat during the transfer.
struct SnapshotRequest
{
  LogIndex mIndex = 0;
  Term mLastTerm = 0; ///< Term of the entry at mIndex.
  RaftMembership mMembership;
  std::uint64_t mSize = 0; ///< Size of the whole state in bytes.
  std::uint64_t mOffset = 0;
  Bytes mData;
  std::int64_t mSentNs = 0;

  bool operator==(const SnapshotRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, SnapshotRequest& aValue)
{
  aVisitor.Field("index", aValue.mIndex);
  aVisitor.Field("last_term", aValue.mLastTerm);
  aVisitor.Field("membership", aValue.mMembership);
  aVisitor.Field("size", aValue.mSize);
  aVisitor.Field("offset", aValue.mOffset);
  BinaryField(aVisitor, "data", aValue.mData);
  aVisitor.Field("sent_ns", aValue.mSentNs);
}

struct SnapshotAnswer
{
  LogIndex mIndex = 0;
  std::uint64_t mNextOffset = 0;
  bool mInstalled = false; ///< The log is durable and committed up to mIndex.
  std::int64_t mSentNs = 0;

  bool operator==(const SnapshotAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, SnapshotAnswer& aValue)
{
  aVisitor.Field("index", aValue.mIndex);
  aVisitor.Field("next_offset", aValue.mNextOffset);
  aVisitor.Field("installed", aValue.mInstalled);
  aVisitor.Field("sent_ns", aValue.mSentNs);
}

/// Asks an up-to-date voter to start an election at once.
struct TimeoutNow
{
  bool operator==(const TimeoutNow&) const = default;
};

template <typename V>
void DescribeFields(V&, TimeoutNow&)
{
}

/// Tells the receiver that it must not take part under its identity. The receiver then stops.
struct ReplicaRefusal
{
  std::string mReason;

  bool operator==(const ReplicaRefusal&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ReplicaRefusal& aValue)
{
  aVisitor.Field("reason", aValue.mReason);
}

using RaftBody =
  std::variant<PreVoteRequest, PreVoteAnswer, VoteRequest, VoteAnswer, AppendRequest, AppendAnswer,
               SnapshotRequest, SnapshotAnswer, TimeoutNow, ReplicaRefusal>;

/// A message with its sender and receiver.
struct RaftMessage
{
  ReplicaId mFrom;
  ReplicaId mTo;
  Term mTerm = 0;
  StoreId mFromStore = 0;
  bool mFromEmptyLog = false; ///< The sender has neither entries nor a snapshot.
  StoreId mToStore = 0; ///< Receiver's data directory as known to the sender; zero when unknown.
  RaftBody mBody;
  /// Endpoint of the sender, filled in by its daemon. A learner with an empty log does not know the
  /// members yet and sends its answers to this endpoint.
  std::string mFromAddress = {};

  bool operator==(const RaftMessage&) const = default;
};

/// Encodes a message as CBOR.
Bytes EncodeRaftMessage(const RaftMessage& aMessage);

/// Decodes a message; errors name aSource and the key path.
Result<RaftMessage> DecodeRaftMessage(std::span<const std::uint8_t> aBytes,
                                      std::string_view aSource);

} // namespace dandelionslip
