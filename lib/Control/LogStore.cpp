// Changes to the durable log of a replica.
#include "dandelionslip/Control/LogStore.h"

#include "LogStoreFormat.h"
#include "RecordCodec.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace dandelionslip {

LogStore::LogStore(FileSystem& aFiles, LogStoreSettings aSettings)
  : mFiles(aFiles)
  , mSettings(std::move(aSettings))
{
}

LogStore::~LogStore()
{
  CloseNewestSegment();
}

RecoveredState LogStore::TakeRecovered()
{
  return std::move(mRecovered);
}

Status LogStore::Bootstrap(const RaftMembership& aMembership)
{
  if (mLastIndex != 0) {
    return Fail(ErrorCode::Conflict, "store.bootstrap", mSettings.mDirectory,
                "the store already holds a log");
  }
  // Every initial replica writes the same first entry, so their logs match.
  const LogEntry first{1, 1, EntryKind::Membership, ToCbor(aMembership)};
  const HardState state{1, {}};
  BOOST_OUTCOME_TRY(SaveHardState(state));
  BOOST_OUTCOME_TRY(Append({&first, 1}));
  mRecovered.mHardState = state;
  mRecovered.mEntries = {first};
  return Ok();
}

Status LogStore::SaveHardState(const HardState& aState)
{
  BOOST_OUTCOME_TRY(CheckUsable("store.hard_state"));
  return RecordFailure(
    WriteFileAtomically(PathOf(std::string(kHardStateName)), EncodeRecord(ToCbor(aState))));
}

Status LogStore::Append(std::span<const LogEntry> aEntries)
{
  BOOST_OUTCOME_TRY(CheckUsable("store.append"));
  LogIndex expected = mLastIndex + 1;
  for (const LogEntry& entry : aEntries) {
    if (entry.mIndex != expected++) {
      return Fail(ErrorCode::InvalidInput, "store.append", mSettings.mDirectory,
                  "entry " + std::to_string(entry.mIndex) + " does not follow entry " +
                    std::to_string(expected - 2));
    }
  }
  while (!aEntries.empty()) {
    if (mSegments.empty() || mSegments.rbegin()->second.mSize >= mSettings.mSegmentBytes) {
      BOOST_OUTCOME_TRY(RecordFailure(StartSegment(mLastIndex + 1, mLastTerm)));
    }
    const LogIndex before = mLastIndex;
    BOOST_OUTCOME_TRY(RecordFailure(AppendToSegment(aEntries)));
    aEntries = aEntries.subspan(mLastIndex - before);
  }
  return Ok();
}

Status LogStore::TruncateFrom(LogIndex aFirst)
{
  BOOST_OUTCOME_TRY(CheckUsable("store.truncate"));
  if (aFirst <= mSnapshotId.mIndex) {
    return Fail(ErrorCode::InvalidInput, "store.truncate", mSettings.mDirectory,
                "entry " + std::to_string(aFirst) + " is covered by the snapshot");
  }
  const Term term = TermAt(aFirst - 1).value_or(mLastTerm);
  // Each removal is synced before the next one, so a crash never leaves a gap.
  while (!mSegments.empty() && mSegments.rbegin()->first >= aFirst) {
    BOOST_OUTCOME_TRY(RecordFailure(RemoveNewestSegment()));
  }
  if (!mSegments.empty() && mLastIndex >= aFirst) {
    BOOST_OUTCOME_TRY(RecordFailure(ShortenNewestSegment(aFirst)));
  }
  if (mLastIndex >= aFirst) {
    mLastIndex = aFirst - 1;
    mLastTerm = term;
  }
  return Ok();
}

Status LogStore::SaveSnapshot(const Snapshot& aSnapshot)
{
  BOOST_OUTCOME_TRY(CheckUsable("store.snapshot"));
  if (aSnapshot.mIndex <= mSnapshotId.mIndex || TermAt(aSnapshot.mIndex) != aSnapshot.mTerm) {
    return Fail(ErrorCode::InvalidInput, "store.snapshot", mSettings.mDirectory,
                "entry " + std::to_string(aSnapshot.mIndex) + " of term " +
                  std::to_string(aSnapshot.mTerm) + " is not in the log after the stored snapshot");
  }
  BOOST_OUTCOME_TRY(RecordFailure(WriteSnapshotFile(aSnapshot)));
  return RecordFailure(RemoveCoveredSegments());
}

Status LogStore::InstallSnapshot(const Snapshot& aSnapshot, bool aKeepSuffix)
{
  if (aKeepSuffix) {
    return SaveSnapshot(aSnapshot);
  }
  BOOST_OUTCOME_TRY(CheckUsable("store.install"));
  if (aSnapshot.mIndex <= mSnapshotId.mIndex) {
    return Fail(ErrorCode::InvalidInput, "store.install", mSettings.mDirectory,
                "a snapshot of entry " + std::to_string(mSnapshotId.mIndex) + " is stored already");
  }
  BOOST_OUTCOME_TRY(RecordFailure(WriteSnapshotFile(aSnapshot)));
  BOOST_OUTCOME_TRY(RecordFailure(RemoveAllSegments()));
  mLastIndex = aSnapshot.mIndex;
  mLastTerm = aSnapshot.mTerm;
  return Ok();
}

Status LogStore::RecordFailure(Status aStatus)
{
  if (!aStatus && !mFailure) {
    mFailure = aStatus.error();
  }
  return aStatus;
}

Status LogStore::CheckUsable(const char* aStep) const
{
  if (mFailure) {
    return Fail(ErrorCode::Io, aStep, mSettings.mDirectory,
                "the store has stopped after an earlier error: " + mFailure->Message());
  }
  return Ok();
}

Status LogStore::WriteFileAtomically(const std::string& aPath, std::span<const std::uint8_t> aBytes)
{
  const std::string temporary = aPath + std::string(kTemporarySuffix);
  BOOST_OUTCOME_TRY(const FileHandle file, mFiles.Open(temporary, OpenMode::Create));
  Status written = mFiles.Write(file, aBytes);
  if (written) {
    written = mFiles.Sync(file);
  }
  mFiles.Close(file);
  BOOST_OUTCOME_TRY(std::move(written));
  BOOST_OUTCOME_TRY(mFiles.Rename(temporary, aPath));
  return mFiles.SyncDirectory(mSettings.mDirectory);
}

Status LogStore::WriteSnapshotFile(const Snapshot& aSnapshot)
{
  BOOST_OUTCOME_TRY(
    WriteFileAtomically(SnapshotPath(aSnapshot.mIndex), EncodeRecord(ToCbor(aSnapshot))));
  const LogIndex previous = mSnapshotId.mIndex;
  mSnapshotId = aSnapshot.Id();
  // Not synced: a file that reappears after a crash is removed at the next start.
  return previous == 0 ? Status(Ok()) : mFiles.Remove(SnapshotPath(previous));
}

Status LogStore::StartSegment(LogIndex aFirst, Term aPreviousTerm)
{
  CloseNewestSegment();
  const SegmentHeader header{aFirst, aPreviousTerm};
  const Bytes record = EncodeRecord(ToCbor(header));
  BOOST_OUTCOME_TRY(WriteFileAtomically(SegmentPath(aFirst), record));
  Segment& segment = mSegments[aFirst];
  segment = Segment{SegmentPath(aFirst), aPreviousTerm, {}, {}, record.size()};
  return OpenNewestSegment();
}

Status LogStore::AppendToSegment(std::span<const LogEntry> aEntries)
{
  BOOST_OUTCOME_TRY(OpenNewestSegment());
  Segment& segment = mSegments.rbegin()->second;
  Bytes batch;
  std::size_t count = 0;
  std::vector<std::uint64_t> offsets;
  // At least one entry, even if the bound is smaller than the header of a segment.
  while (count < aEntries.size() &&
         (count == 0 || segment.mSize + batch.size() < mSettings.mSegmentBytes)) {
    const Bytes record = EncodeRecord(ToCbor(aEntries[count++]));
    offsets.push_back(segment.mSize + batch.size());
    batch.insert(batch.end(), record.begin(), record.end());
  }
  BOOST_OUTCOME_TRY(mFiles.Write(*mNewestFile, batch));
  BOOST_OUTCOME_TRY(mFiles.Sync(*mNewestFile));
  segment.mSize += batch.size();
  for (std::size_t i = 0; i < count; ++i) {
    segment.mOffsets.push_back(offsets[i]);
    segment.mTerms.push_back(aEntries[i].mTerm);
  }
  mLastIndex = aEntries[count - 1].mIndex;
  mLastTerm = aEntries[count - 1].mTerm;
  return Ok();
}

Status LogStore::OpenNewestSegment()
{
  if (!mNewestFile) {
    BOOST_OUTCOME_TRY(const FileHandle file,
                      mFiles.Open(mSegments.rbegin()->second.mPath, OpenMode::Append));
    mNewestFile = file;
  }
  return Ok();
}

void LogStore::CloseNewestSegment()
{
  if (mNewestFile) {
    mFiles.Close(*mNewestFile);
    mNewestFile.reset();
  }
}

Status LogStore::RemoveNewestSegment()
{
  CloseNewestSegment();
  const auto newest = std::prev(mSegments.end());
  BOOST_OUTCOME_TRY(mFiles.Remove(newest->second.mPath));
  BOOST_OUTCOME_TRY(mFiles.SyncDirectory(mSettings.mDirectory));
  mLastIndex = newest->first - 1;
  mLastTerm = newest->second.mPreviousTerm;
  mSegments.erase(newest);
  return Ok();
}

Status LogStore::ShortenNewestSegment(LogIndex aFirst)
{
  BOOST_OUTCOME_TRY(OpenNewestSegment());
  auto& [first, segment] = *mSegments.rbegin();
  const std::size_t kept = aFirst - first;
  BOOST_OUTCOME_TRY(mFiles.Truncate(*mNewestFile, segment.mOffsets[kept]));
  BOOST_OUTCOME_TRY(mFiles.Sync(*mNewestFile));
  segment.mSize = segment.mOffsets[kept];
  segment.mOffsets.resize(kept);
  segment.mTerms.resize(kept);
  return Ok();
}

Status LogStore::RemoveCoveredSegments()
{
  bool removed = false;
  while (mSegments.size() > 1 && std::next(mSegments.begin())->first <= mSnapshotId.mIndex + 1) {
    BOOST_OUTCOME_TRY(mFiles.Remove(mSegments.begin()->second.mPath));
    mSegments.erase(mSegments.begin());
    removed = true;
  }
  return removed ? mFiles.SyncDirectory(mSettings.mDirectory) : Status(Ok());
}

Status LogStore::RemoveAllSegments()
{
  while (!mSegments.empty()) {
    BOOST_OUTCOME_TRY(RemoveNewestSegment());
  }
  return Ok();
}

std::optional<Term> LogStore::TermAt(LogIndex aIndex) const
{
  return aIndex == mSnapshotId.mIndex ? mSnapshotId.mTerm : SegmentTermAt(aIndex);
}

std::optional<Term> LogStore::SegmentTermAt(LogIndex aIndex) const
{
  const auto next = mSegments.upper_bound(aIndex);
  if (next != mSegments.begin()) {
    const auto& [first, segment] = *std::prev(next);
    if (aIndex - first < segment.mTerms.size()) {
      return segment.mTerms[aIndex - first];
    }
  }
  if (next != mSegments.end() && next->first == aIndex + 1) {
    return next->second.mPreviousTerm;
  }
  return std::nullopt;
}

} // namespace dandelionslip
