// What an agent remembers about requests, so that each runs at most once.
#pragma once

#include "dandelionslip/Request/Attempt.h"
#include "dandelionslip/Request/RequestId.h"
#include "dandelionslip/Request/RequestOutcome.h"
#include "dandelionslip/Request/RequestTime.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace dandelionslip {

/// Largest difference between the clocks of any two machines that the design tolerates.
inline constexpr Milliseconds kClockSkewBound{30'000};

/// Largest answer body that is kept for resends.
inline constexpr std::size_t kMaxKeptAnswerBytes = std::size_t{64} * 1024;

/// Bounds of a record table.
struct RecordLimits
{
  std::size_t mMaxRecords = 100'000;  ///< Pending, done and unknown records.
  std::size_t mMaxRefused = 400'000;  ///< Refused records, which hold no answer.
  std::size_t mMaxBytes = 64U << 20U; ///< Kept answers, including room reserved for pending ones.
  Milliseconds mRetention{600'000};
};

enum class RecordState
{
  Pending, ///< Passed on or queued; may run.
  Done,    ///< Ran; the answer or its digest is kept.
  Refused, ///< The attempts up to mAttempt never ran.
  Unknown, ///< May have run; it never runs again.
};

std::span<const EnumName<RecordState>> EnumNames(RecordState);

/// What is known about one request id.
struct RequestRecord
{
  RecordState mState = RecordState::Pending;
  Attempt mAttempt = 0;                  ///< Highest attempt that the state covers.
  Attempt mFirstAttempt = 0;             ///< Pending: the attempt that its holder started with.
  std::string mHolder;                   ///< Pending: the agent that runs it.
  std::optional<UpstreamAnswer> mAnswer; ///< Done, when small enough to keep.
  AnswerDigest mDigest;                  ///< Done.
  Refusal mRefusal;                      ///< Refused.

  bool operator==(const RequestRecord&) const = default;
};

/// How much an agent knows about the ids of a bucket.
enum class RecordBucketState
{
  NotOwned,   ///< Another agent decides.
  Incomplete, ///< Owned; the previous owner's records have not arrived.
  Complete,   ///< Owned; every id since complete_since that was seen has a record.
  Frozen,     ///< Handed to another agent; records serve resends only.
};

std::span<const EnumName<RecordBucketState>> EnumNames(RecordBucketState);

/// Whether an id without a record can be decided about.
enum class IdKnowledge
{
  New,      ///< It was never seen.
  TooOld,   ///< It may have been seen; its record may be gone.
  InFuture, ///< Its timestamp is further ahead than the skew bound.
};

/// Records by request id and the completeness of each bucket. Not thread-safe.
///
/// Records leave the table only when their id is older than the retention. The cut-off never
/// decreases, so a wall clock that steps back does not make an evicted id look new.
class RequestRecords
{
public:
  /// aSelf is the name of this agent; aBuckets a power of two.
  RequestRecords(std::string aSelf, std::uint32_t aBuckets, RecordLimits aLimits = {});

  std::uint32_t BucketFor(const RequestId& aId) const { return BucketOf(aId, mBuckets); }

  /// The record of an id, or null.
  const RequestRecord* Find(const RequestId& aId) const;

  /// Whether an id without a record was surely never seen, for a complete bucket.
  /// aMayHaveRun is false when the request cannot have run before, so that lost records say nothing
  /// about it.
  IdKnowledge Judge(const RequestId& aId, std::int64_t aWallMs, bool aMayHaveRun = true);

  /// Writes a pending record before a run; false when the table is full. Reserves room for the
  /// answer, so that the answer of a request that was started can always be kept.
  [[nodiscard]] bool TryPending(const RequestId& aId, Attempt aAttempt);

  /// Records that attempts up to aAttempt never ran; false when there is no room to remember it.
  [[nodiscard]] bool TryRefuse(const RequestId& aId, Attempt aAttempt, const Refusal& aRefusal);

  /// Raises the attempt that a pending record covers.
  void Join(const RequestId& aId, Attempt aAttempt);

  /// Ends a pending record.
  void Complete(const RequestId& aId, const UpstreamAnswer& aAnswer);
  void MarkUnknown(const RequestId& aId);

  /// Removes records older than the retention. Requests that run here are kept.
  void Expire(std::int64_t aWallMs);

  RecordBucketState StateOf(std::uint32_t aBucket) const;
  /// The agent a frozen bucket was handed to.
  const std::string& NewOwner(std::uint32_t aBucket) const;
  std::int64_t CompleteSince(std::uint32_t aBucket) const;
  /// Number under which the bucket's state was entered.
  std::uint32_t GenerationOf(std::uint32_t aBucket) const;

  /// This agent became the owner in generation aGeneration; the bucket stays incomplete until its
  /// history is settled. Has no effect for a generation that is not newer than the bucket's.
  void Acquire(std::uint32_t aBucket, std::uint32_t aGeneration);
  /// The bucket never had an owner before aGeneration.
  void CompleteFirst(std::uint32_t aBucket, std::uint32_t aGeneration);
  /// The previous owner was lost: nothing is known about ids made until now.
  void CompleteAfterLoss(std::uint32_t aBucket, std::int64_t aWallMs);
  /// Another agent took the bucket over after this agent's lease had ended.
  void Drop(std::uint32_t aBucket, std::uint32_t aGeneration);

  /// Freezes the buckets for a hand-off to aNewOwner, the owner in aGeneration, and returns their
  /// records and completeness. Can be repeated after a lost message. Fails with Unavailable,
  /// without any change, when a bucket is incomplete, is not owned or was acquired in a newer
  /// generation.
  Result<Json> FreezeAndExport(const std::set<std::uint32_t>& aBuckets,
                               const std::string& aNewOwner, std::uint32_t aGeneration,
                               std::int64_t aWallMs);

  /// Takes over those handed-off buckets that were acquired here in the generation of the message
  /// and are incomplete; returns them. Others are left as they are, so that a late or repeated
  /// message has no effect. Nothing changes when the message is invalid. Imported records may
  /// exceed the limits; answers beyond the byte limit are reduced to digests.
  Result<std::vector<std::uint32_t>> Import(const Json& aHandoff, std::string_view aPeer);

  /// The whole table for the successor of this process.
  Json ExportAll(std::int64_t aWallMs);

  /// Loads the table of the process before; pending requests become unknown.
  Result<void> ImportAll(const Json& aTable, std::string_view aPeer);

  /// One record as sent to the agent that took over its bucket.
  Json ExportRecord(const RequestId& aId) const;

  /// Merges a record received from another agent. Returns the id.
  Result<RequestId> MergeRecord(const Json& aRecord, std::string_view aPeer);

  /// Marks pending records held by a lost agent as unknown and returns their ids.
  std::vector<RequestId> LoseHolder(const std::string& aHolder);

  std::size_t Size() const { return mRecords.size(); }
  std::size_t RefusedCount() const { return mRefused; }
  std::size_t BytesInUse() const { return mBytes; }

private:
  struct Bucket
  {
    RecordBucketState mState = RecordBucketState::NotOwned;
    std::uint32_t mGeneration = 0; ///< Generation in which the state was entered.
    std::int64_t mCompleteSince = 0;
    std::string mNewOwner;
  };

  bool IsOwnPending(const RequestRecord& aRecord) const;
  std::size_t BytesOf(const RequestRecord& aRecord) const;
  void Store(const RequestId& aId, RequestRecord aRecord);
  void Erase(const RequestId& aId);
  void Merge(const RequestId& aId, RequestRecord aIncoming);
  void MergePending(const RequestId& aId, RequestRecord aLocal, RequestRecord aIncoming);
  void MergeRefused(const RequestId& aId, const RequestRecord& aLocal, RequestRecord aIncoming);
  void RaiseCutoff(std::int64_t aWallMs);
  Result<void> CheckFreeze(std::uint32_t aBucket, const std::string& aNewOwner,
                           std::uint32_t aGeneration) const;

  std::string mSelf;
  std::uint32_t mBuckets;
  RecordLimits mLimits;
  std::vector<Bucket> mBucketStates;
  std::unordered_map<RequestId, RequestRecord, RequestIdHash> mRecords;
  std::set<RequestId> mByAge; ///< Ids sort by timestamp, which is their first field.
  std::size_t mRefused = 0;
  std::size_t mBytes = 0;
  std::int64_t mCutoffMs = 0; ///< Ids older than this may have been removed.
};

} // namespace dandelionslip
