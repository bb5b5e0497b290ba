// Adds, updates and removes single records within the limits of the table.
#include "dandelionslip/Request/RequestRecords.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

RequestRecord MakeRecord(RecordState aState, Attempt aAttempt, std::string aAgent)
{
  RequestRecord record;
  record.mState = aState;
  record.mAttempt = aAttempt;
  record.mHandlingAgent = std::move(aAgent);
  return record;
}

} // namespace

RequestRecords::RequestRecords(std::string aSelf, std::uint32_t aBuckets, RecordLimits aLimits)
  : mSelf(std::move(aSelf))
  , mBuckets(aBuckets)
  , mLimits(aLimits)
  , mBucketStates(aBuckets)
{
}

const RequestRecord* RequestRecords::Find(const RequestId& aId) const
{
  const auto found = mRecords.find(aId);
  return found == mRecords.end() ? nullptr : &found->second;
}

IdFreshness RequestRecords::CheckFreshness(const RequestId& aId, std::int64_t aWallMs,
                                           bool aMayHaveRun)
{
  RaiseCutoff(aWallMs);
  const std::int64_t timestamp = aId.TimestampMs();
  const bool lost = aMayHaveRun && timestamp < mBucketStates[BucketFor(aId)].mCompleteSince;
  if (lost || timestamp < mCutoffMs) {
    return IdFreshness::TooOld;
  }
  return timestamp > aWallMs + kClockSkewBound.count() ? IdFreshness::InFuture : IdFreshness::New;
}

bool RequestRecords::TryAddPending(const RequestId& aId, Attempt aAttempt)
{
  const std::size_t notRefused = mRecords.size() - mRefusedCount;
  if (notRefused >= mLimits.mMaxRecords || mBytesInUse + kMaxKeptAnswerBytes > mLimits.mMaxBytes) {
    return false;
  }
  RequestRecord record = MakeRecord(RecordState::Pending, aAttempt, mSelf);
  record.mFirstAttempt = aAttempt;
  Store(aId, std::move(record));
  return true;
}

bool RequestRecords::TryMarkRefused(const RequestId& aId, Attempt aAttempt, const Refusal& aRefusal)
{
  const RequestRecord* previous = Find(aId);
  const bool wasRefused = previous != nullptr && previous->mState == RecordState::Refused;
  if (!wasRefused && mRefusedCount >= mLimits.mMaxRefused) {
    return false;
  }
  const Attempt covered = std::max(aAttempt, previous == nullptr ? 0 : previous->mAttempt);
  RequestRecord record = MakeRecord(RecordState::Refused, covered, mSelf);
  record.mRefusal = aRefusal;
  Store(aId, std::move(record));
  return true;
}

void RequestRecords::RaiseAttempt(const RequestId& aId, Attempt aAttempt)
{
  if (const auto found = mRecords.find(aId); found != mRecords.end()) {
    found->second.mAttempt = std::max(found->second.mAttempt, aAttempt);
  }
}

void RequestRecords::MarkDone(const RequestId& aId, const UpstreamAnswer& aAnswer)
{
  const RequestRecord* previous = Find(aId);
  RequestRecord record =
    MakeRecord(RecordState::Done, previous == nullptr ? 0 : previous->mAttempt, mSelf);
  record.mDigest = {aAnswer.mBody.size(), Hash64(std::span<const std::uint8_t>(aAnswer.mBody))};
  if (aAnswer.mBody.size() <= kMaxKeptAnswerBytes) {
    record.mAnswer = aAnswer;
  }
  Store(aId, std::move(record));
}

void RequestRecords::MarkUnknown(const RequestId& aId)
{
  const RequestRecord* previous = Find(aId);
  const Attempt covered = previous == nullptr ? 0 : previous->mAttempt;
  Store(aId, MakeRecord(RecordState::Unknown, covered, mSelf));
}

void RequestRecords::Expire(std::int64_t aWallMs)
{
  RaiseCutoff(aWallMs);
  std::vector<RequestId> expired;
  for (const RequestId& id : mByAge) {
    if (id.TimestampMs() >= mCutoffMs) {
      break;
    }
    if (!IsOwnPending(mRecords.at(id))) {
      expired.push_back(id);
    }
  }
  for (const RequestId& id : expired) {
    Erase(id);
  }
}

std::vector<RequestId> RequestRecords::MarkAgentLost(const std::string& aAgent)
{
  std::vector<RequestId> lost;
  for (const auto& [id, record] : mRecords) {
    if (record.mState == RecordState::Pending && record.mHandlingAgent == aAgent &&
        aAgent != mSelf) {
      lost.push_back(id);
    }
  }
  // The hash map has no fixed order. Sorting makes test runs with the same seed repeatable.
  std::sort(lost.begin(), lost.end());
  for (const RequestId& id : lost) {
    MarkUnknown(id);
  }
  return lost;
}

bool RequestRecords::IsOwnPending(const RequestRecord& aRecord) const
{
  return aRecord.mState == RecordState::Pending && aRecord.mHandlingAgent == mSelf;
}

std::size_t RequestRecords::BytesOf(const RequestRecord& aRecord) const
{
  if (IsOwnPending(aRecord)) {
    return kMaxKeptAnswerBytes;
  }
  return aRecord.mAnswer ? aRecord.mAnswer->mBody.size() : 0;
}

void RequestRecords::Store(const RequestId& aId, RequestRecord aRecord)
{
  Erase(aId);
  if (mBytesInUse + BytesOf(aRecord) > mLimits.mMaxBytes) {
    aRecord.mAnswer.reset();
  }
  mBytesInUse += BytesOf(aRecord);
  mRefusedCount += aRecord.mState == RecordState::Refused ? 1 : 0;
  mRecords.emplace(aId, std::move(aRecord));
  mByAge.insert(aId);
}

void RequestRecords::Erase(const RequestId& aId)
{
  const auto found = mRecords.find(aId);
  if (found == mRecords.end()) {
    return;
  }
  mBytesInUse -= BytesOf(found->second);
  mRefusedCount -= found->second.mState == RecordState::Refused ? 1 : 0;
  mRecords.erase(found);
  mByAge.erase(aId);
}

void RequestRecords::RaiseCutoff(std::int64_t aWallMs)
{
  mCutoffMs = std::max(mCutoffMs, aWallMs - mLimits.mRetention.count());
}

} // namespace dandelionslip
