// States of buckets, and the transfer of their records to other agents and other processes.
#include "RecordWire.h"

#include <algorithm>

namespace dandelionslip {

namespace {

const EnumName<RecordBucketState>& NameOf(RecordBucketState aState)
{
  return EnumNames(aState)[static_cast<std::size_t>(aState)];
}

// Sorts exported records, so that tables with the same records give the same message.
void SortById(std::vector<RecordWire>& aRecords)
{
  std::sort(
    aRecords.begin(), aRecords.end(),
    [](const RecordWire& aLeft, const RecordWire& aRight) { return aLeft.mId < aRight.mId; });
}

} // namespace

RecordBucketState RequestRecords::StateOf(std::uint32_t aBucket) const
{
  return mBucketStates[aBucket].mState;
}

const std::string& RequestRecords::NewOwner(std::uint32_t aBucket) const
{
  return mBucketStates[aBucket].mNewOwner;
}

std::int64_t RequestRecords::CompleteSince(std::uint32_t aBucket) const
{
  return mBucketStates[aBucket].mCompleteSince;
}

std::uint32_t RequestRecords::GenerationOf(std::uint32_t aBucket) const
{
  return mBucketStates[aBucket].mGeneration;
}

void RequestRecords::Acquire(std::uint32_t aBucket, std::uint32_t aGeneration)
{
  Bucket& bucket = mBucketStates[aBucket];
  if (aGeneration > bucket.mGeneration) {
    bucket = {RecordBucketState::Incomplete, aGeneration, bucket.mCompleteSince, ""};
  }
}

void RequestRecords::AcquireAsFirstOwner(std::uint32_t aBucket, std::uint32_t aGeneration)
{
  Bucket& bucket = mBucketStates[aBucket];
  if (aGeneration > bucket.mGeneration) {
    bucket = {RecordBucketState::Complete, aGeneration, 0, ""};
  }
}

void RequestRecords::CompleteWithoutTransfer(std::uint32_t aBucket, std::int64_t aWallMs)
{
  Bucket& bucket = mBucketStates[aBucket];
  if (bucket.mState == RecordBucketState::Incomplete) {
    bucket.mState = RecordBucketState::Complete;
    bucket.mCompleteSince = std::max(bucket.mCompleteSince, aWallMs + kClockSkewBound.count());
  }
}

void RequestRecords::MarkTakenOver(std::uint32_t aBucket, std::uint32_t aGeneration)
{
  Bucket& bucket = mBucketStates[aBucket];
  if (aGeneration > bucket.mGeneration) {
    bucket = {RecordBucketState::NotOwned, aGeneration, bucket.mCompleteSince, ""};
  }
}

Result<void> RequestRecords::CheckFreeze(std::uint32_t aBucket, const std::string& aNewOwner,
                                         std::uint32_t aGeneration) const
{
  if (aBucket >= mBuckets) {
    return Fail(ErrorCode::InvalidInput, "records.freeze", aNewOwner,
                "found bucket " + std::to_string(aBucket) + ", expected less than " +
                  std::to_string(mBuckets));
  }
  const Bucket& bucket = mBucketStates[aBucket];
  const bool canFreeze =
    bucket.mState == RecordBucketState::Complete && aGeneration > bucket.mGeneration;
  const bool isRepeated = bucket.mState == RecordBucketState::Frozen &&
                          aGeneration == bucket.mGeneration && aNewOwner == bucket.mNewOwner;
  if (canFreeze || isRepeated) {
    return Ok();
  }
  return Fail(ErrorCode::Unavailable, "records.freeze", aNewOwner,
              "cannot freeze bucket " + std::to_string(aBucket) + ": its state is " +
                std::string(NameOf(bucket.mState).mName) + ", entered in generation " +
                std::to_string(bucket.mGeneration));
}

Result<Json> RequestRecords::FreezeAndExport(const std::set<std::uint32_t>& aBuckets,
                                             const std::string& aNewOwner,
                                             std::uint32_t aGeneration, std::int64_t aWallMs)
{
  for (const std::uint32_t bucket : aBuckets) {
    if (const auto checked = CheckFreeze(bucket, aNewOwner, aGeneration); !checked) {
      return checked.as_failure();
    }
  }
  RaiseCutoff(aWallMs);
  TableWire table;
  for (const std::uint32_t index : aBuckets) {
    Bucket& bucket = mBucketStates[index];
    bucket.mState = RecordBucketState::Frozen;
    bucket.mGeneration = aGeneration;
    bucket.mNewOwner = aNewOwner;
    // Records below the cut-off have expired here. The wall clock of the new owner may be behind,
    // so that it would take their ids for new without this bound.
    bucket.mCompleteSince = std::max(bucket.mCompleteSince, mCutoffMs);
    table.mBuckets.push_back({.mBucket = index,
                              .mGeneration = aGeneration,
                              .mCompleteSince = bucket.mCompleteSince,
                              .mNewOwner = aNewOwner});
  }
  for (const auto& [id, record] : mRecords) {
    if (aBuckets.contains(BucketFor(id))) {
      table.mRecords.push_back(EncodeRecord(id, record));
    }
  }
  SortById(table.mRecords);
  return ToJson(table);
}

Result<std::vector<std::uint32_t>> RequestRecords::Import(const Json& aTransfer,
                                                          std::string_view aPeer)
{
  const auto table = FromJson<TableWire>(aTransfer, aPeer);
  if (!table) {
    return table.as_failure();
  }
  auto records = DecodeRecords(table.value().mRecords, aPeer);
  if (!records) {
    return records.as_failure();
  }
  std::vector<std::uint32_t> completed;
  for (const BucketWire& wire : table.value().mBuckets) {
    if (wire.mBucket >= mBuckets || wire.mNewOwner != mSelf) {
      return Fail(ErrorCode::InvalidInput, "records.import", std::string(aPeer),
                  "bucket " + std::to_string(wire.mBucket) +
                    " does not exist or is not transferred to this agent");
    }
    const Bucket& bucket = mBucketStates[wire.mBucket];
    if (bucket.mState == RecordBucketState::Incomplete && bucket.mGeneration == wire.mGeneration) {
      completed.push_back(wire.mBucket);
    }
  }
  for (const BucketWire& wire : table.value().mBuckets) {
    Bucket& bucket = mBucketStates[wire.mBucket];
    if (std::find(completed.begin(), completed.end(), wire.mBucket) != completed.end()) {
      bucket.mState = RecordBucketState::Complete;
      bucket.mCompleteSince = std::max(bucket.mCompleteSince, wire.mCompleteSince);
    }
  }
  for (auto& [id, record] : records.value()) {
    if (std::find(completed.begin(), completed.end(), BucketFor(id)) != completed.end()) {
      Merge(id, std::move(record));
    }
  }
  return completed;
}

Json RequestRecords::ExportAll(std::int64_t aWallMs)
{
  RaiseCutoff(aWallMs);
  TableWire table{.mCutoffMs = mCutoffMs, .mBuckets = {}, .mRecords = {}};
  for (std::uint32_t index = 0; index < mBuckets; ++index) {
    const Bucket& bucket = mBucketStates[index];
    table.mBuckets.push_back(
      {index, bucket.mState, bucket.mGeneration, bucket.mCompleteSince, bucket.mNewOwner});
  }
  for (const auto& [id, record] : mRecords) {
    table.mRecords.push_back(EncodeRecord(id, record));
  }
  SortById(table.mRecords);
  return ToJson(table);
}

Result<void> RequestRecords::ImportAll(const Json& aTable, std::string_view aPeer)
{
  const auto table = FromJson<TableWire>(aTable, aPeer);
  if (!table) {
    return table.as_failure();
  }
  auto records = DecodeRecords(table.value().mRecords, aPeer);
  if (!records) {
    return records.as_failure();
  }
  if (table.value().mBuckets.size() != mBuckets) {
    return Fail(ErrorCode::InvalidInput, "records.import", std::string(aPeer),
                "found " + std::to_string(table.value().mBuckets.size()) + " buckets, expected " +
                  std::to_string(mBuckets));
  }
  for (const BucketWire& wire : table.value().mBuckets) {
    if (wire.mBucket >= mBuckets) {
      return Fail(ErrorCode::InvalidInput, "records.import", std::string(aPeer),
                  "bucket " + std::to_string(wire.mBucket) + " is out of range");
    }
    mBucketStates[wire.mBucket] = {wire.mState, wire.mGeneration, wire.mCompleteSince,
                                   wire.mNewOwner};
  }
  mCutoffMs = std::max(mCutoffMs, table.value().mCutoffMs);
  for (auto& [id, record] : records.value()) {
    Merge(id, std::move(record));
  }
  return Ok();
}

Json RequestRecords::ExportRecord(const RequestId& aId) const
{
  const RequestRecord* record = Find(aId);
  return record == nullptr ? Json() : ToJson(EncodeRecord(aId, *record));
}

Result<RequestId> RequestRecords::MergeRecord(const Json& aRecord, std::string_view aPeer)
{
  const auto wire = FromJson<RecordWire>(aRecord, aPeer);
  if (!wire) {
    return wire.as_failure();
  }
  auto record = DecodeRecord(wire.value(), aPeer);
  if (!record) {
    return record.as_failure();
  }
  const RequestId id = record.value().mId;
  Merge(id, std::move(record).value().mRecord);
  return id;
}

} // namespace dandelionslip
