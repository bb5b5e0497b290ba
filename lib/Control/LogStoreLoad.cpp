// Reading of the data directory at start.
#include "dandelionslip/Control/LogStore.h"

#include "LogStoreFormat.h"
#include "RecordCodec.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <charconv>

namespace dandelionslip {

namespace {

std::string IndexName(std::string_view aPrefix, LogIndex aIndex)
{
  constexpr std::size_t kDigits = 20;
  const std::string digits = std::to_string(aIndex);
  return std::string(aPrefix) + std::string(kDigits - digits.size(), '0') + digits;
}

// Indexes in the names that start with a prefix, in ascending order.
std::vector<LogIndex> IndexesWithPrefix(const std::vector<std::string>& aNames,
                                        std::string_view aPrefix)
{
  std::vector<LogIndex> indexes;
  for (std::string_view name : aNames) {
    if (!name.starts_with(aPrefix)) {
      continue;
    }
    name.remove_prefix(aPrefix.size());
    LogIndex index = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), index);
    if (error == std::errc() && end == name.data() + name.size()) {
      indexes.push_back(index);
    }
  }
  std::sort(indexes.begin(), indexes.end());
  return indexes;
}

auto Damage(const std::string& aPath, std::uint64_t aOffset, std::string_view aProblem)
{
  return Fail(ErrorCode::Corrupt, "store.open", aPath,
              "offset " + std::to_string(aOffset) + ": " + std::string(aProblem));
}

template <typename T>
Result<T> DecodeRecord(const RecordView& aRecord, const std::string& aPath, std::uint64_t aOffset)
{
  if (aRecord.mStatus != RecordStatus::Complete) {
    return Damage(aPath, aOffset, aRecord.mError);
  }
  auto decoded = FromCbor<T>(aRecord.mPayload, aPath);
  if (!decoded) {
    return Damage(aPath, aOffset, decoded.error().mDetail);
  }
  return decoded;
}

// Reads a file that holds exactly one record.
template <typename T>
Result<T> ReadSingleRecord(FileSystem& aFiles, const std::string& aPath)
{
  BOOST_OUTCOME_TRY(const Bytes bytes, aFiles.Read(aPath));
  if (bytes.empty()) {
    return Damage(aPath, 0, "the file is empty");
  }
  const RecordView record = ReadRecord(bytes, 0);
  if (record.mStatus == RecordStatus::Complete && record.mEnd != bytes.size()) {
    return Damage(aPath, record.mEnd, "unexpected bytes after the record");
  }
  return DecodeRecord<T>(record, aPath, 0);
}

bool Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

Result<std::unique_ptr<LogStore>> LogStore::Open(FileSystem& aFiles, LogStoreSettings aSettings,
                                                 Random& aRandom)
{
  std::unique_ptr<LogStore> store(new LogStore(aFiles, std::move(aSettings)));
  BOOST_OUTCOME_TRY(store->Load(aRandom));
  return store;
}

std::string LogStore::PathOf(const std::string& aName) const
{
  return mSettings.mDirectory + "/" + aName;
}

std::string LogStore::SegmentPath(LogIndex aFirst) const
{
  return PathOf(IndexName(kSegmentPrefix, aFirst));
}

std::string LogStore::SnapshotPath(LogIndex aIndex) const
{
  return PathOf(IndexName(kSnapshotPrefix, aIndex));
}

Status LogStore::Load(Random& aRandom)
{
  BOOST_OUTCOME_TRY(mFiles.MakeDirectory(mSettings.mDirectory));
  BOOST_OUTCOME_TRY(auto names, mFiles.List(mSettings.mDirectory));
  if (Contains(names, kDiscardName)) {
    BOOST_OUTCOME_TRY(FinishDiscard(mFiles, mSettings.mDirectory));
    names.clear();
  }
  BOOST_OUTCOME_TRY(RemoveTemporaryFiles(names));
  const bool hasLog = !IndexesWithPrefix(names, kSegmentPrefix).empty() ||
                      !IndexesWithPrefix(names, kSnapshotPrefix).empty();
  const bool hasHardState = Contains(names, kHardStateName);
  if (Contains(names, kIdentityName)) {
    BOOST_OUTCOME_TRY(LoadIdentity());
  } else if (hasLog || hasHardState) {
    return Fail(ErrorCode::Corrupt, "store.open", PathOf(std::string(kIdentityName)),
                "the file is missing although a log exists");
  } else {
    BOOST_OUTCOME_TRY(CreateIdentity(aRandom));
  }
  // Term and vote are written before the first entry, so a log without them has lost a vote.
  if (hasLog && !hasHardState) {
    return Fail(ErrorCode::Corrupt, "store.open", PathOf(std::string(kHardStateName)),
                "the file is missing although a log exists");
  }
  if (hasHardState) {
    BOOST_OUTCOME_TRY(LoadHardState());
  }
  BOOST_OUTCOME_TRY(LoadSnapshot(names));
  BOOST_OUTCOME_TRY(LoadSegments(names));
  BOOST_OUTCOME_TRY(DropCoveredEntries());
  // The last rename or removal may have been seen here without being durable.
  return mFiles.SyncDirectory(mSettings.mDirectory);
}

Status LogStore::RemoveTemporaryFiles(std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (name.ends_with(kTemporarySuffix)) {
      BOOST_OUTCOME_TRY(mFiles.Remove(PathOf(name)));
    }
  }
  std::erase_if(aNames, [](const std::string& aName) { return aName.ends_with(kTemporarySuffix); });
  return Ok();
}

Status LogStore::LoadIdentity()
{
  const std::string path = PathOf(std::string(kIdentityName));
  BOOST_OUTCOME_TRY(const auto identity, ReadSingleRecord<Identity>(mFiles, path));
  if (!mSettings.mReplica.empty() && mSettings.mReplica != identity.mReplica) {
    return Fail(ErrorCode::Conflict, "store.open", path,
                "the directory belongs to replica " + identity.mReplica + ", not to " +
                  mSettings.mReplica);
  }
  mRecovered.mReplica = identity.mReplica;
  mRecovered.mStore = identity.mStore;
  return Ok();
}

Status LogStore::CreateIdentity(Random& aRandom)
{
  if (!mSettings.mReplica.empty() && !IsReplicaId(mSettings.mReplica)) {
    return Fail(ErrorCode::InvalidInput, "store.open", mSettings.mReplica,
                "expected a UUID in lower-case form");
  }
  mRecovered.mReplica = mSettings.mReplica.empty() ? NewReplicaId(aRandom) : mSettings.mReplica;
  do {
    mRecovered.mStore = aRandom.Next();
  } while (mRecovered.mStore == 0);
  const Identity identity{mRecovered.mReplica, mRecovered.mStore};
  return WriteFileAtomically(PathOf(std::string(kIdentityName)), EncodeRecord(ToCbor(identity)));
}

Status LogStore::LoadHardState()
{
  BOOST_OUTCOME_TRY(auto state,
                    ReadSingleRecord<HardState>(mFiles, PathOf(std::string(kHardStateName))));
  mRecovered.mHardState = std::move(state);
  return Ok();
}

Status LogStore::LoadSnapshot(const std::vector<std::string>& aNames)
{
  const auto indexes = IndexesWithPrefix(aNames, kSnapshotPrefix);
  if (indexes.empty()) {
    return Ok();
  }
  const std::string path = SnapshotPath(indexes.back());
  BOOST_OUTCOME_TRY(auto snapshot, ReadSingleRecord<Snapshot>(mFiles, path));
  if (snapshot.mIndex != indexes.back()) {
    return Damage(path, 0, "the snapshot's index differs from the file name");
  }
  mSnapshotId = snapshot.Id();
  mRecovered.mSnapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  for (std::size_t i = 0; i + 1 < indexes.size(); ++i) {
    BOOST_OUTCOME_TRY(mFiles.Remove(SnapshotPath(indexes[i])));
  }
  return Ok();
}

Status LogStore::LoadSegments(const std::vector<std::string>& aNames)
{
  const auto firsts = IndexesWithPrefix(aNames, kSegmentPrefix);
  mLastIndex = mSnapshotId.mIndex;
  mLastTerm = mSnapshotId.mTerm;
  for (std::size_t i = 0; i < firsts.size(); ++i) {
    const bool newest = i + 1 == firsts.size();
    // Removals of covered segments are synced together, so a crash may bring back any of them.
    if (!newest && firsts[i + 1] <= mSnapshotId.mIndex + 1) {
      BOOST_OUTCOME_TRY(mFiles.Remove(SegmentPath(firsts[i])));
      continue;
    }
    const LogIndex expected = mSegments.empty() ? mSnapshotId.mIndex + 1 : mLastIndex + 1;
    if (mSegments.empty() ? firsts[i] > expected : firsts[i] != expected) {
      return Damage(SegmentPath(firsts[i]), 0,
                    "the segment does not follow entry " + std::to_string(expected - 1));
    }
    BOOST_OUTCOME_TRY(LoadSegment(firsts[i], newest));
  }
  return Ok();
}

Status LogStore::LoadSegment(LogIndex aFirst, bool aNewest)
{
  Segment segment;
  segment.mPath = SegmentPath(aFirst);
  BOOST_OUTCOME_TRY(const Bytes bytes, mFiles.Read(segment.mPath));
  if (bytes.empty()) {
    return Damage(segment.mPath, 0, "the file is empty");
  }
  RecordView record = ReadRecord(bytes, 0);
  BOOST_OUTCOME_TRY(const auto header, DecodeRecord<SegmentHeader>(record, segment.mPath, 0));
  if (header.mFirst != aFirst) {
    return Damage(segment.mPath, 0, "the first index differs from the file name");
  }
  if (!mSegments.empty() && header.mPreviousTerm != mLastTerm) {
    return Damage(segment.mPath, 0, "the header's term of the previous entry differs from the log");
  }
  segment.mPreviousTerm = header.mPreviousTerm;
  segment.mSize = record.mEnd;
  BOOST_OUTCOME_TRY(LoadEntries(segment, aFirst, bytes, aNewest));
  if (aNewest) {
    BOOST_OUTCOME_TRY(MakeDurable(segment, bytes));
  }
  const LogIndex next = aFirst + segment.mTerms.size();
  mLastIndex = next - 1;
  mLastTerm = segment.mTerms.empty() ? segment.mPreviousTerm : segment.mTerms.back();
  mSegments.emplace(aFirst, std::move(segment));
  return Ok();
}

Status LogStore::LoadEntries(Segment& aSegment, LogIndex aFirst,
                             std::span<const std::uint8_t> aBytes, bool aNewest)
{
  while (aSegment.mSize < aBytes.size()) {
    const std::uint64_t offset = aSegment.mSize;
    const RecordView record = ReadRecord(aBytes, offset);
    if (record.mStatus == RecordStatus::Incomplete && aNewest) {
      NoteDroppedTail(aSegment, aBytes.size());
      return Ok();
    }
    BOOST_OUTCOME_TRY(auto entry, DecodeRecord<LogEntry>(record, aSegment.mPath, offset));
    if (const LogIndex expected = aFirst + aSegment.mTerms.size(); entry.mIndex != expected) {
      return Damage(aSegment.mPath, offset,
                    "found entry " + std::to_string(entry.mIndex) + ", expected entry " +
                      std::to_string(expected));
    }
    if (entry.mKind == EntryKind::Membership) {
      const auto members = FromCbor<RaftMembership>(entry.mPayload, aSegment.mPath);
      if (!members) {
        return Damage(aSegment.mPath, offset, members.error().mDetail);
      }
    }
    aSegment.mOffsets.push_back(offset);
    aSegment.mTerms.push_back(entry.mTerm);
    aSegment.mSize = record.mEnd;
    mRecovered.mEntries.push_back(std::move(entry));
  }
  return Ok();
}

void LogStore::NoteDroppedTail(const Segment& aSegment, std::uint64_t aSize)
{
  mRecovered.mDroppedTail =
    Error{ErrorCode::Corrupt, "store.open", aSegment.mPath,
          "offset " + std::to_string(aSegment.mSize) + ": dropped " +
            std::to_string(aSize - aSegment.mSize) + " bytes of an incomplete record"};
}

// Writes the loaded bytes again before the sync: a sync that succeeds after a failed one does not
// cover bytes that were written before both.
Status LogStore::MakeDurable(const Segment& aSegment, std::span<const std::uint8_t> aBytes)
{
  BOOST_OUTCOME_TRY(const FileHandle file, mFiles.Open(aSegment.mPath, OpenMode::Overwrite));
  Status status = mFiles.Truncate(file, aSegment.mSize);
  if (status) {
    status = mFiles.Write(file, aBytes.first(aSegment.mSize));
  }
  if (status) {
    status = mFiles.Sync(file);
  }
  mFiles.Close(file);
  return status;
}

Status LogStore::DropCoveredEntries()
{
  // An installation that was interrupted after it wrote its snapshot leaves a log that ends before
  // the snapshot's index or has another term there.
  const bool interrupted =
    mLastIndex < mSnapshotId.mIndex || SegmentTermAt(mSnapshotId.mIndex) != mSnapshotId.mTerm;
  if (!mSegments.empty() && interrupted) {
    BOOST_OUTCOME_TRY(RemoveAllSegments());
    mLastIndex = mSnapshotId.mIndex;
    mLastTerm = mSnapshotId.mTerm;
    mRecovered.mEntries.clear();
  }
  std::erase_if(mRecovered.mEntries,
                [this](const LogEntry& aEntry) { return aEntry.mIndex <= mSnapshotId.mIndex; });
  return Ok();
}

} // namespace dandelionslip
