// Durable log of one replica: identity, term and vote, snapshot and checksummed segments.
#pragma once

#include "dandelionslip/Control/FileSystem.h"
#include "dandelionslip/Control/HardState.h"
#include "dandelionslip/Control/Snapshot.h"
#include "dandelionslip/Support/Random.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// What a replica finds in its data directory at start; the input of RaftCore.
struct RecoveredState
{
  ReplicaId mReplica;
  StoreId mStore = 0;
  HardState mHardState;
  std::shared_ptr<const Snapshot> mSnapshot; ///< Null when none was taken.
  std::vector<LogEntry> mEntries;            ///< Entries after the snapshot.
  /// Where an incomplete record was dropped; for log messages only.
  std::optional<Error> mDroppedTail;

  /// Whether the data directory holds no log at all, as on the first start of a replica.
  bool IsEmpty() const { return !mSnapshot && mEntries.empty(); }
};

/// Settings of a LogStore.
struct LogStoreSettings
{
  std::string mDirectory;
  std::uint64_t mSegmentBytes = 4U << 20U; ///< A segment that reaches this size is closed.
  /// Identity to use on the first start; a new one is drawn when empty. An existing data directory
  /// with another identity is an error.
  ReplicaId mReplica;
};

/// Durable log of one replica. Every function that changes the store returns only after the change
/// is synced. After a failed write or sync all further changes fail, because the contents of the
/// file are then unknown. Not thread-safe.
class LogStore
{
public:
  /// Opens or creates the store. Drops an incomplete record at the end of the newest segment. What
  /// it finds is durable when it returns; a write or sync that fails gives ErrorCode::Io.
  /// A missing file or damage anywhere else gives ErrorCode::Corrupt with the path and, for damage,
  /// the offset.
  static Result<std::unique_ptr<LogStore>> Open(FileSystem& aFiles, LogStoreSettings aSettings,
                                                Random& aRandom);
  /// Removes the files of a store that is not changed any more, so that the next Open creates an
  /// empty one with a new identity. After an error or a crash the store is either complete or the
  /// next Open finishes the removal.
  static Status Discard(FileSystem& aFiles, const std::string& aDirectory);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// The state that Open found, with the entry that Bootstrap added if it was called. Call this at
  /// most once.
  RecoveredState TakeRecovered();

  /// Writes the first membership to an empty store. aMembership must be the same on all of its
  /// replicas. Call this at most once in the life of a replica, and never for a data directory that
  /// replaces a lost one.
  Status Bootstrap(const RaftMembership& aMembership);

  /// Writes term and vote.
  Status SaveHardState(const HardState& aState);
  /// Appends entries that follow the last one without a gap.
  Status Append(std::span<const LogEntry> aEntries);
  /// Removes the entry with this index and all later ones.
  Status TruncateFrom(LogIndex aFirst);
  /// Writes a snapshot of an applied entry in the log and removes the segments it covers.
  Status SaveSnapshot(const Snapshot& aSnapshot);
  /// Writes a snapshot received from the leader. Entries after it are kept if aKeepSuffix.
  Status InstallSnapshot(const Snapshot& aSnapshot, bool aKeepSuffix);

  /// The first error of a write or sync; all changes after it fail.
  const std::optional<Error>& Failure() const { return mFailure; }
  LogIndex LastIndex() const { return mLastIndex; }

private:
  struct Segment
  {
    std::string mPath;
    Term mPreviousTerm = 0;              ///< Term of the entry before the first one.
    std::vector<std::uint64_t> mOffsets; ///< Offset of each entry.
    std::vector<Term> mTerms;            ///< Term of each entry.
    std::uint64_t mSize = 0;
  };

  LogStore(FileSystem& aFiles, LogStoreSettings aSettings);

  std::string PathOf(const std::string& aName) const;
  std::string SegmentPath(LogIndex aFirst) const;
  std::string SnapshotPath(LogIndex aIndex) const;

  Status Load(Random& aRandom);
  static Status FinishDiscard(FileSystem& aFiles, const std::string& aDirectory);
  Status RemoveTemporaryFiles(std::vector<std::string>& aNames);
  Status LoadIdentity();
  Status CreateIdentity(Random& aRandom);
  Status LoadHardState();
  Status LoadSnapshot(const std::vector<std::string>& aNames);
  Status LoadSegments(const std::vector<std::string>& aNames);
  Status LoadSegment(LogIndex aFirst, bool aNewest);
  Status LoadEntries(Segment& aSegment, LogIndex aFirst, std::span<const std::uint8_t> aBytes,
                     bool aNewest);
  void NoteDroppedTail(const Segment& aSegment, std::uint64_t aSize);
  Status MakeDurable(const Segment& aSegment, std::span<const std::uint8_t> aBytes);
  Status DropCoveredEntries();
  std::optional<Term> TermAt(LogIndex aIndex) const;
  std::optional<Term> SegmentTermAt(LogIndex aIndex) const;

  Status RecordFailure(Status aStatus);
  Status CheckUsable(const char* aStep) const;
  Status WriteFileAtomically(const std::string& aPath, std::span<const std::uint8_t> aBytes);
  Status WriteSnapshotFile(const Snapshot& aSnapshot);
  Status StartSegment(LogIndex aFirst, Term aPreviousTerm);
  Status AppendToSegment(std::span<const LogEntry> aEntries);
  Status OpenNewestSegment();
  void CloseNewestSegment();
  Status RemoveNewestSegment();
  Status ShortenNewestSegment(LogIndex aFirst);
  Status RemoveCoveredSegments();
  Status RemoveAllSegments();

  FileSystem& mFiles;
  LogStoreSettings mSettings;
  std::map<LogIndex, Segment> mSegments; ///< By first index.
  std::optional<FileHandle> mNewestFile; ///< Open for appending; the last of mSegments.
  RecoveredState mRecovered;
  EntryId mSnapshotId;
  LogIndex mLastIndex = 0;
  Term mLastTerm = 0;
  std::optional<Error> mFailure;
};

} // namespace dandelionslip
