// Converts request records to and from messages.
#include "RecordWire.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<RecordState>> EnumNames(RecordState)
{
  static constexpr std::array<EnumName<RecordState>, 4> kNames{{
    {RecordState::Pending, "pending"},
    {RecordState::Done, "done"},
    {RecordState::Refused, "refused"},
    {RecordState::Unknown, "unknown"},
  }};
  return kNames;
}

std::span<const EnumName<RecordBucketState>> EnumNames(RecordBucketState)
{
  static constexpr std::array<EnumName<RecordBucketState>, 4> kNames{{
    {RecordBucketState::NotOwned, "not_owned"},
    {RecordBucketState::Incomplete, "incomplete"},
    {RecordBucketState::Complete, "complete"},
    {RecordBucketState::Frozen, "frozen"},
  }};
  return kNames;
}

RecordWire EncodeRecord(const RequestId& aId, const RequestRecord& aRecord)
{
  RecordWire wire;
  wire.mId = aId.ToString();
  wire.mState = aRecord.mState;
  wire.mAttempt = aRecord.mAttempt;
  wire.mFirstAttempt = aRecord.mFirstAttempt;
  wire.mHandlingAgent = aRecord.mHandlingAgent;
  wire.mLength = aRecord.mDigest.mLength;
  wire.mHash = aRecord.mDigest.mHash;
  wire.mReason = aRecord.mRefusal.mReason;
  wire.mRetryAfter = aRecord.mRefusal.mRetryAfter;
  if (aRecord.mAnswer) {
    wire.mKept = true;
    wire.mStatus = aRecord.mAnswer->mStatus;
    wire.mContentType = aRecord.mAnswer->mContentType;
    wire.mBody = Json::binary(aRecord.mAnswer->mBody);
  }
  return wire;
}

Result<IdentifiedRecord> DecodeRecord(const RecordWire& aWire, std::string_view aPeer)
{
  const auto id = RequestId::Parse(aWire.mId);
  if (!id) {
    return id.as_failure();
  }
  RequestRecord record{.mState = aWire.mState,
                       .mAttempt = aWire.mAttempt,
                       .mFirstAttempt = aWire.mFirstAttempt,
                       .mHandlingAgent = aWire.mHandlingAgent,
                       .mAnswer = {},
                       .mDigest = {aWire.mLength, aWire.mHash},
                       .mRefusal = {aWire.mReason, aWire.mRetryAfter}};
  if (!aWire.mKept) {
    return IdentifiedRecord{id.value(), std::move(record)};
  }
  if (!aWire.mBody.is_binary() || aWire.mBody.get_binary().size() != aWire.mLength ||
      aWire.mState != RecordState::Done) {
    return Fail(ErrorCode::InvalidInput, "records.decode", std::string(aPeer),
                aWire.mId + ": expected a done record with a body of the stated length");
  }
  record.mAnswer = UpstreamAnswer{aWire.mStatus, aWire.mContentType, aWire.mBody.get_binary()};
  return IdentifiedRecord{id.value(), std::move(record)};
}

Result<std::vector<IdentifiedRecord>> DecodeRecords(const std::vector<RecordWire>& aWires,
                                                    std::string_view aPeer)
{
  std::vector<IdentifiedRecord> records;
  records.reserve(aWires.size());
  for (const RecordWire& wire : aWires) {
    auto record = DecodeRecord(wire, aPeer);
    if (!record) {
      return record.as_failure();
    }
    records.push_back(std::move(record).value());
  }
  return records;
}

} // namespace dandelionslip
