// Records of the requests that an agent decided about, so that each request runs at most once.
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

/// Largest tolerated difference between the wall clocks of any two machines.
inline constexpr Milliseconds kClockSkewBound{30'000};

/// Largest answer body that is kept for resends.
inline constexpr std::size_t kMaxKeptAnswerBytes = std::size_t{64} * 1024;

/// Limits of a record table.
struct RecordLimits
{
  std::size_t mMaxRecords = 100'000;  ///< Pending, done and unknown records.
  std::size_t mMaxRefused = 400'000;  ///< Refused records, which hold no answer.
  std::size_t mMaxBytes = 64U << 20U; ///< Kept answers, and room reserved by pending records.
  Milliseconds mRetention{600'000};   ///< A record expires when its id is older than this.
};

enum class RecordState
{
  Pending, ///< Queued, running or relayed.
  Done,    ///< Ran; the answer or its digest is kept.
  Refused, ///< The attempts up to mAttempt never ran and never will; a higher one may run.
  Unknown, ///< May have run, so it is not run again.
};

std::span<const EnumName<RecordState>> EnumNames(RecordState);

/// What is known about one request id.
struct RequestRecord
{
  RecordState mState = RecordState::Pending;
  Attempt mAttempt = 0;      ///< Highest attempt that the state covers.
  Attempt mFirstAttempt = 0; ///< Pending: the attempt that the record was added for.
  /// Pending: the agent that queues, runs or relays the request. The record of a bucket's owner
  /// names the owner also while the request runs at the alternate agent.
  std::string mHandlingAgent;
  std::optional<UpstreamAnswer> mAnswer; ///< Done, when small enough to keep.
  AnswerDigest mDigest;                  ///< Done.
  Refusal mRefusal;                      ///< Refused.

  bool operator==(const RequestRecord&) const = default;
};

/// Whether an agent owns a bucket and knows the history of its ids.
enum class RecordBucketState
{
  NotOwned,   ///< Another agent decides about the ids.
  Incomplete, ///< Owned, but the previous owner's records have not arrived.
  Complete,   ///< Owned; every id that was seen and is not older than CompleteSince has a record.
  /// Transferred to another agent. The records are used only for replies to resends. Pending
  /// requests still end here, and their records are then sent to the new owner.
  Frozen,
};

std::span<const EnumName<RecordBucketState>> EnumNames(RecordBucketState);

/// Whether an id without a record is certainly new.
enum class IdFreshness
{
  New,      ///< No earlier attempt of the id can have run.
  TooOld,   ///< An earlier attempt may have run: its record may have expired or been lost.
  InFuture, ///< The timestamp is further ahead of the local clock than kClockSkewBound.
};

/// Records by request id, and the state of each bucket. Not thread-safe.
///
/// A record is removed only when its id is older than the retention. The timestamp below which
/// records may have been removed never decreases. So an id whose record has expired does not count
/// as new again when the wall clock steps back.
///
/// The generations here number the owners of each bucket's records: every change of owner raises
/// the number. The agent process chooses them; they need not be the generations of the assignment.
class RequestRecords
{
public:
  /// aSelf is the name of this agent; aBuckets, the number of buckets, is a power of two.
  RequestRecords(std::string aSelf, std::uint32_t aBuckets, RecordLimits aLimits = {});

  std::uint32_t BucketFor(const RequestId& aId) const { return BucketOf(aId, mBuckets); }

  /// The record of an id, or null.
  const RequestRecord* Find(const RequestId& aId) const;

  /// Whether an id without a record, in a complete bucket, is new. aMayHaveRun is false when no
  /// earlier attempt can have run; the id is then new even if records of its age were lost.
  IdFreshness CheckFreshness(const RequestId& aId, std::int64_t aWallMs, bool aMayHaveRun = true);

  /// Adds a pending record; false when the table is full. Call it before the request runs. Reserves
  /// room for an answer of kMaxKeptAnswerBytes, so that the answer of a started request can be
  /// kept.
  [[nodiscard]] bool TryAddPending(const RequestId& aId, Attempt aAttempt);

  /// Records that attempts up to aAttempt never ran; false when there is no room for the record.
  [[nodiscard]] bool TryMarkRefused(const RequestId& aId, Attempt aAttempt,
                                    const Refusal& aRefusal);

  /// Raises the highest attempt that a record covers to aAttempt.
  void RaiseAttempt(const RequestId& aId, Attempt aAttempt);

  /// Records the answer of a request. The record keeps the answer itself if it is small enough.
  void MarkDone(const RequestId& aId, const UpstreamAnswer& aAnswer);
  /// Records that it is unknown whether a request ran.
  void MarkUnknown(const RequestId& aId);

  /// Removes records whose id is older than the retention, except pending records of this agent.
  void Expire(std::int64_t aWallMs);

  RecordBucketState StateOf(std::uint32_t aBucket) const;
  /// The agent that a frozen bucket was transferred to.
  const std::string& NewOwner(std::uint32_t aBucket) const;
  /// In a complete bucket, every id that was seen and has at least this timestamp, in milliseconds
  /// since 1970, has a record.
  std::int64_t CompleteSince(std::uint32_t aBucket) const;
  /// Generation in which the bucket entered its state.
  std::uint32_t GenerationOf(std::uint32_t aBucket) const;

  /// This agent became the owner in aGeneration. The bucket is incomplete until Import or
  /// CompleteWithoutTransfer completes it. Has no effect unless aGeneration is newer than the
  /// bucket's.
  void Acquire(std::uint32_t aBucket, std::uint32_t aGeneration);
  /// This agent became the owner in aGeneration, and the bucket had no owner before. Has no effect
  /// unless aGeneration is newer than the bucket's.
  void AcquireAsFirstOwner(std::uint32_t aBucket, std::uint32_t aGeneration);
  /// Completes an incomplete bucket whose previous owner was lost with its records. That owner may
  /// have run any id generated until aWallMs, also one generated by a clock that is ahead by
  /// kClockSkewBound. So an id with a timestamp below aWallMs + kClockSkewBound does not count as
  /// new if an earlier attempt can have run.
  void CompleteWithoutTransfer(std::uint32_t aBucket, std::int64_t aWallMs);
  /// Another agent became the owner in aGeneration without a transfer. Has no effect unless
  /// aGeneration is newer than the bucket's.
  void MarkTakenOver(std::uint32_t aBucket, std::uint32_t aGeneration);

  /// Freezes the buckets for a transfer to aNewOwner, the owner in aGeneration, and returns the
  /// transfer message with their records. Call it again with the same arguments when the message
  /// was lost. Fails without any change: with InvalidInput when a bucket is out of range, with
  /// Unavailable when it is incomplete, not owned, frozen for another transfer, or was acquired in
  /// aGeneration or later.
  Result<Json> FreezeAndExport(const std::set<std::uint32_t>& aBuckets,
                               const std::string& aNewOwner, std::uint32_t aGeneration,
                               std::int64_t aWallMs);

  /// Imports a transfer message. Completes those of its buckets that are incomplete and were
  /// acquired here in the generation of the message, and returns them. Ignores the others, so that
  /// a late or repeated message has no effect. An invalid message changes nothing. The number of
  /// records may exceed the limit afterwards; of answers beyond the byte limit only the digests are
  /// kept.
  Result<std::vector<std::uint32_t>> Import(const Json& aTransfer, std::string_view aPeer);

  /// Returns all records and bucket states for the next process of this agent.
  Json ExportAll(std::int64_t aWallMs);

  /// Loads what ExportAll of the previous process returned. Its pending records become unknown.
  Result<void> ImportAll(const Json& aTable, std::string_view aPeer);

  /// Returns the message that tells the new owner of a bucket about one record.
  Json ExportRecord(const RequestId& aId) const;

  /// Merges a record that another agent exported with ExportRecord. Returns its id.
  Result<RequestId> MergeRecord(const Json& aRecord, std::string_view aPeer);

  /// Marks the pending records of another agent, which was lost, as unknown and returns their ids
  /// in ascending order.
  std::vector<RequestId> MarkAgentLost(const std::string& aAgent);

  std::size_t Size() const { return mRecords.size(); }
  std::size_t RefusedCount() const { return mRefusedCount; }
  std::size_t BytesInUse() const { return mBytesInUse; }

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
  std::set<RequestId> mByAge; ///< Ids of mRecords; they sort by timestamp, their first field.
  std::size_t mRefusedCount = 0;
  std::size_t mBytesInUse = 0;
  std::int64_t mCutoffMs = 0; ///< Records of ids with a lower timestamp may have been removed.
};

} // namespace dandelionslip
