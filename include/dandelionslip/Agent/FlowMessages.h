// Messages between agents about flows and bucket directories.
#pragma once

#include "dandelionslip/Agent/FlowTable.h"
#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Support/Fields.h"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace dandelionslip {

/// Orders the tables of two nodes: by view revision, then by configuration revision.
struct TableEpoch
{
  std::uint64_t mViewRevision = 0;
  std::uint64_t mConfigurationRevision = 0;

  bool operator==(const TableEpoch&) const = default;
  auto operator<=>(const TableEpoch& aOther) const
  {
    return std::tie(mViewRevision, mConfigurationRevision) <=>
           std::tie(aOther.mViewRevision, aOther.mConfigurationRevision);
  }
};

template <typename V>
void DescribeFields(V& aVisitor, TableEpoch& aValue)
{
  aVisitor.Field("view_revision", aValue.mViewRevision);
  aVisitor.Field("configuration_revision", aValue.mConfigurationRevision);
}

/// A flow and its holder, as sent between agents.
struct DirectoryEntry
{
  FlowId mFlow = 0;
  std::string mHolder; ///< Agent name.

  bool operator==(const DirectoryEntry&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, DirectoryEntry& aValue)
{
  aVisitor.Field("flow", aValue.mFlow);
  aVisitor.Field("holder", aValue.mHolder);
}

enum class TransferStatus
{
  Complete, ///< The entries are all flows of the bucket.
  Partial,  ///< The entries are what the member knows; the others come from mNext.
  Unknown,  ///< The member never owned the bucket or is rebuilding it; the entries are the flows
            ///< that it knows.
  Stale,    ///< The member, or the one that it is backup for, still owns the bucket in a table at
            ///< least as new as the requester's; the requester fetches the view.
};

std::span<const EnumName<TransferStatus>> EnumNames(TransferStatus);

/// One bucket in a TransferAnswer or StateHandover.
struct BucketTransfer
{
  std::uint32_t mBucket = 0;
  TransferStatus mStatus = TransferStatus::Complete;
  std::string mNext; ///< Status Partial, or Unknown in a StateHandover: the member to ask next.
  std::vector<DirectoryEntry> mFlows;

  bool operator==(const BucketTransfer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, BucketTransfer& aValue)
{
  aVisitor.Field("bucket", aValue.mBucket, {0, 65'535});
  aVisitor.Field("status", aValue.mStatus);
  aVisitor.Optional("next", aValue.mNext);
  aVisitor.Field("flows", aValue.mFlows);
}

/// The new owner of buckets requests their directory and request records from a previous owner.
struct TransferRequest
{
  std::string mRequester;
  /// Of the requester. A new process has not received the answers sent to an earlier one.
  std::uint64_t mIncarnation = 0;
  std::string mOwner; ///< The previous owner; the receiver may be its backup.
  ServiceId mServiceId = 0;
  TableEpoch mEpoch;
  std::vector<std::uint32_t> mBuckets;

  bool operator==(const TransferRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, TransferRequest& aValue)
{
  aVisitor.Field("requester", aValue.mRequester);
  aVisitor.Field("incarnation", aValue.mIncarnation);
  aVisitor.Field("owner", aValue.mOwner);
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("epoch", aValue.mEpoch);
  aVisitor.Field("buckets", aValue.mBuckets, {0, 65'535});
}

/// Answer to TransferRequest.
struct TransferAnswer
{
  std::string mOwner;
  ServiceId mServiceId = 0;
  TableEpoch mEpoch; ///< Of the request that is answered.
  std::vector<BucketTransfer> mBuckets;
  Json mRecords; ///< Request records of the complete buckets, opaque here.

  bool operator==(const TransferAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, TransferAnswer& aValue)
{
  aVisitor.Field("owner", aValue.mOwner);
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("epoch", aValue.mEpoch);
  aVisitor.Field("buckets", aValue.mBuckets);
  aVisitor.Optional("records", aValue.mRecords);
}

/// After the loss of a bucket's owner, its new owner asks every live member which flows of the
/// buckets it holds. A receiver that still acts as owner of the buckets stops doing so.
struct HeldFlowsQuery
{
  std::string mRequester;
  ServiceId mServiceId = 0;
  TableEpoch mEpoch;
  std::vector<std::uint32_t> mBuckets;

  bool operator==(const HeldFlowsQuery&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, HeldFlowsQuery& aValue)
{
  aVisitor.Field("requester", aValue.mRequester);
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("epoch", aValue.mEpoch);
  aVisitor.Field("buckets", aValue.mBuckets, {0, 65'535});
}

/// Answer to HeldFlowsQuery.
struct HeldFlowsAnswer
{
  std::string mMember;
  ServiceId mServiceId = 0;
  TableEpoch mEpoch; ///< Of the query that is answered.
  std::vector<std::uint32_t> mBuckets;
  std::vector<DirectoryEntry> mFlows;

  bool operator==(const HeldFlowsAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, HeldFlowsAnswer& aValue)
{
  aVisitor.Field("member", aValue.mMember);
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("epoch", aValue.mEpoch);
  aVisitor.Field("buckets", aValue.mBuckets, {0, 65'535});
  aVisitor.Field("flows", aValue.mFlows);
}

/// A holder tells a bucket's owner about flows that it began or ceased to hold.
struct DirectoryUpdate
{
  std::string mHolder;
  std::string mOwner; ///< The owner; the receiver may be its backup.
  ServiceId mServiceId = 0;
  std::vector<FlowId> mHeld;
  std::vector<FlowId> mEnded;
  std::uint32_t mForwards = 0; ///< How often earlier owners have forwarded it.

  bool operator==(const DirectoryUpdate&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, DirectoryUpdate& aValue)
{
  aVisitor.Field("holder", aValue.mHolder);
  aVisitor.Field("owner", aValue.mOwner);
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("held", aValue.mHeld);
  aVisitor.Field("ended", aValue.mEnded);
  aVisitor.Field("forwards", aValue.mForwards, {0, 255});
}

/// One flow in a StateHandover.
struct FlowState
{
  FlowId mFlow = 0;
  std::string mCaller;
  std::string mService;
  std::string mBalancer;
  std::uint16_t mUpstreamPort = 0;
  bool mEstablished = false;
  std::uint64_t mSessionTag = 0;

  bool operator==(const FlowState&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, FlowState& aValue)
{
  aVisitor.Field("flow", aValue.mFlow);
  aVisitor.Field("caller", aValue.mCaller);
  aVisitor.Field("service", aValue.mService);
  aVisitor.Field("balancer", aValue.mBalancer);
  aVisitor.Field("upstream_port", aValue.mUpstreamPort);
  aVisitor.Field("established", aValue.mEstablished);
  aVisitor.Field("session_tag", aValue.mSessionTag);
}

/// The whole state of an agent that stops as planned, for its backup.
struct StateHandover
{
  std::string mMember;
  ServiceId mServiceId = 0;
  std::uint64_t mIncarnation = 0;
  /// Of the sender, which is another agent when a backup itself stops and passes the state on.
  /// Distinguishes a second handover of the same state from a repeated message.
  std::uint64_t mSenderIncarnation = 0;
  std::vector<FlowState> mFlows;
  /// Status Complete: the bucket's directory is complete. Partial: the bucket was transferred to
  /// mNext. Unknown: the directory is incomplete; it is requested from mNext, or rebuilt by asking
  /// all members when mNext is empty.
  std::vector<BucketTransfer> mDirectory;
  Json mRecords;           ///< Request records of the complete buckets, opaque here.
  Json mAdmissionSnapshot; ///< As passed to FlowCore::BeginHandover, opaque here.

  bool operator==(const StateHandover&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, StateHandover& aValue)
{
  aVisitor.Field("member", aValue.mMember);
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("incarnation", aValue.mIncarnation);
  aVisitor.Field("sender_incarnation", aValue.mSenderIncarnation);
  aVisitor.Field("flows", aValue.mFlows);
  aVisitor.Field("directory", aValue.mDirectory);
  aVisitor.Optional("records", aValue.mRecords);
  aVisitor.Optional("admission", aValue.mAdmissionSnapshot);
}

/// The backup has the state of mMember. The sender of the handover may exit when every state that
/// it sent is acknowledged.
struct StateHandoverAck
{
  std::string mBackup;
  std::string mMember; ///< Whose state it is.
  std::uint64_t mIncarnation = 0;

  bool operator==(const StateHandoverAck&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, StateHandoverAck& aValue)
{
  aVisitor.Field("custodian", aValue.mBackup);
  aVisitor.Field("member", aValue.mMember);
  aVisitor.Field("incarnation", aValue.mIncarnation);
}

/// A restarted agent requests its state from its backup.
struct ResumeRequest
{
  std::string mMember;
  std::uint64_t mIncarnation = 0; ///< Of the new process.

  bool operator==(const ResumeRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ResumeRequest& aValue)
{
  aVisitor.Field("member", aValue.mMember);
  aVisitor.Field("incarnation", aValue.mIncarnation);
}

/// Answer to ResumeRequest; without state when the backup has none.
struct ResumeAnswer
{
  std::string mBackup;
  std::uint64_t mIncarnation = 0; ///< Of the request.
  std::optional<StateHandover> mState;
  /// States that the restarted agent itself kept for others when it stopped.
  std::vector<StateHandover> mKeptStates;

  bool operator==(const ResumeAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ResumeAnswer& aValue)
{
  aVisitor.Field("custodian", aValue.mBackup);
  aVisitor.Field("incarnation", aValue.mIncarnation);
  aVisitor.Optional("state", aValue.mState);
  aVisitor.Optional("custody", aValue.mKeptStates);
}

/// Number of forwards between agents after which a directory update is dropped: agents whose tables
/// differ, or that stop at the same time, may forward it to each other.
inline constexpr std::uint32_t kMaxUpdateForwards = 4;

/// Any message between agents.
using PeerMessage =
  std::variant<TransferRequest, TransferAnswer, HeldFlowsQuery, HeldFlowsAnswer, DirectoryUpdate,
               StateHandover, StateHandoverAck, ResumeRequest, ResumeAnswer>;

/// Encodes the message with its type as CBOR.
Bytes EncodePeerMessage(const PeerMessage& aMessage);

/// Decodes a message. Error: InvalidInput with aSource and the key.
Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> aBytes,
                                      std::string_view aSource);

} // namespace dandelionslip
