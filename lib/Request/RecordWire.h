// Messages that carry request records.
#pragma once

#include "dandelionslip/Request/RequestRecords.h"

namespace dandelionslip {

/// One record in a message.
struct RecordWire
{
  std::string mId;
  RecordState mState = RecordState::Pending;
  Attempt mAttempt = 0;
  Attempt mFirstAttempt = 0;
  std::string mHandlingAgent;
  bool mKept = false; ///< Whether the answer itself is included, not only its digest.
  std::uint32_t mStatus = 0;
  std::string mContentType;
  Json mBody; ///< A binary value when mKept is set, else null.
  std::uint64_t mLength = 0;
  std::uint64_t mHash = 0;
  RefusalReason mReason = RefusalReason::NoUpstream;
  Milliseconds mRetryAfter{0};
};

template <typename V>
void DescribeFields(V& aVisitor, RecordWire& aValue)
{
  aVisitor.Field("id", aValue.mId);
  aVisitor.Field("state", aValue.mState);
  aVisitor.Field("attempt", aValue.mAttempt);
  aVisitor.Optional("first_attempt", aValue.mFirstAttempt);
  aVisitor.Optional("holder", aValue.mHandlingAgent);
  aVisitor.Optional("kept", aValue.mKept);
  aVisitor.Optional("status", aValue.mStatus, {0, 999});
  aVisitor.Optional("content_type", aValue.mContentType);
  aVisitor.Optional("body", aValue.mBody);
  aVisitor.Optional("length", aValue.mLength);
  aVisitor.Optional("hash", aValue.mHash);
  aVisitor.Optional("reason", aValue.mReason);
  aVisitor.Optional("retry_after_ms", aValue.mRetryAfter, {0, 3'600'000});
}

/// State of one bucket in a message.
struct BucketWire
{
  std::uint32_t mBucket = 0;
  RecordBucketState mState = RecordBucketState::Complete;
  std::uint32_t mGeneration = 0;
  std::int64_t mCompleteSince = 0;
  std::string mNewOwner;
};

template <typename V>
void DescribeFields(V& aVisitor, BucketWire& aValue)
{
  aVisitor.Field("bucket", aValue.mBucket);
  aVisitor.Optional("state", aValue.mState);
  aVisitor.Field("generation", aValue.mGeneration);
  aVisitor.Field("complete_since_ms", aValue.mCompleteSince);
  aVisitor.Optional("new_owner", aValue.mNewOwner);
}

/// Message with the states and records of buckets.
struct TableWire
{
  std::int64_t mCutoffMs = 0;
  std::vector<BucketWire> mBuckets;
  std::vector<RecordWire> mRecords;
};

template <typename V>
void DescribeFields(V& aVisitor, TableWire& aValue)
{
  aVisitor.Optional("cutoff_ms", aValue.mCutoffMs);
  aVisitor.Field("buckets", aValue.mBuckets);
  aVisitor.Field("records", aValue.mRecords);
}

/// Converts a record to its message form.
RecordWire EncodeRecord(const RequestId& aId, const RequestRecord& aRecord);

/// A record with its id.
struct IdentifiedRecord
{
  RequestId mId;
  RequestRecord mRecord;
};

/// Checks and converts one record; errors name aPeer.
Result<IdentifiedRecord> DecodeRecord(const RecordWire& aWire, std::string_view aPeer);

/// Checks and converts a list of records; errors name aPeer.
Result<std::vector<IdentifiedRecord>> DecodeRecords(const std::vector<RecordWire>& aWires,
                                                    std::string_view aPeer);

} // namespace dandelionslip
