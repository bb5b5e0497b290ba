// FileSystem in memory that simulates crashes, failed syncs and full disks.
#include "Control/FakeFileSystem.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace dandelionslip {

namespace {

Bytes DataAfterCrash(const Bytes& aSynced, const Bytes& aData, CrashMode aMode, Random& aRandom)
{
  if (aMode == CrashMode::DropAll) {
    return aSynced;
  }
  const bool appended =
    aData.size() >= aSynced.size() && std::equal(aSynced.begin(), aSynced.end(), aData.begin());
  if (!appended) {
    return aRandom.Below(2) == 0 ? aSynced : aData;
  }
  const std::size_t kept = aSynced.size() + aRandom.Below(aData.size() - aSynced.size() + 1);
  return {aData.begin(), aData.begin() + static_cast<std::ptrdiff_t>(kept)};
}

} // namespace

void FakeFileSystem::Restart(CrashMode aMode, Random& aRandom)
{
  mNames = NamesAfterCrash(aMode, aRandom);
  for (auto& [name, file] : mNames) {
    file->mData = DataAfterCrash(file->mSynced, file->mData, aMode, aRandom);
    file->mSynced = file->mData;
    file->mDroppedFrom = file->mDroppedEnd = 0;
  }
  mSyncedNames = mNames;
  RestartProcess();
}

void FakeFileSystem::RestartProcess()
{
  mOpen.clear();
  mCrashed = false;
  CancelFaults();
}

void FakeFileSystem::CancelFaults()
{
  mCrashAt = std::numeric_limits<std::size_t>::max();
  mFailSyncAt = mCrashAt;
}

FakeFileSystem::Names FakeFileSystem::NamesAfterCrash(CrashMode aMode, Random& aRandom) const
{
  Names names = mSyncedNames;
  if (aMode == CrashMode::DropAll) {
    return names;
  }
  for (const auto& [name, file] : mSyncedNames) {
    if (!mNames.contains(name) && aRandom.Below(2) == 0) {
      names.erase(name);
    }
  }
  for (const auto& [name, file] : mNames) {
    const auto synced = mSyncedNames.find(name);
    const bool changed = synced == mSyncedNames.end() || synced->second != file;
    if (changed && aRandom.Below(2) == 0) {
      names[name] = file;
    }
  }
  return names;
}

void FakeFileSystem::Wipe()
{
  mNames.clear();
  mSyncedNames.clear();
  mOpen.clear();
}

Bytes& FakeFileSystem::Contents(const std::string& aPath)
{
  return mNames.at(aPath)->mData;
}

void FakeFileSystem::Fill(FullDisk aMode, std::size_t aRoom)
{
  mFull = aMode;
  mCapacity = UsedBytes() + aRoom;
}

std::size_t FakeFileSystem::UsedBytes() const
{
  std::size_t used = 0;
  for (const auto& [name, file] : mNames) {
    used += file->mData.size();
  }
  return used;
}

std::size_t FakeFileSystem::RoomForBytes() const
{
  if (!mFull) {
    return std::numeric_limits<std::size_t>::max();
  }
  const std::size_t used = UsedBytes();
  return used < mCapacity ? mCapacity - used : 0;
}

Status FakeFileSystem::Refuse(const std::string& aPath)
{
  ++mRefusals;
  return Fail(ErrorCode::Io, "fake", aPath, "simulated full disk");
}

Status FakeFileSystem::CheckChangeAllowed(const std::string& aPath)
{
  if (mFull == FullDisk::Changes) {
    return Refuse(aPath);
  }
  return Ok();
}

Status FakeFileSystem::CountOperation(const std::string& aPath)
{
  mCrashed = mCrashed || mOperations >= mCrashAt;
  ++mOperations;
  if (mCrashed) {
    return Fail(ErrorCode::Io, "fake", aPath, "simulated crash");
  }
  return Ok();
}

Status FakeFileSystem::CountSync(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(CountOperation(aPath));
  BOOST_OUTCOME_TRY(CheckChangeAllowed(aPath));
  if (mSyncs++ == mFailSyncAt) {
    return Fail(ErrorCode::Io, "fake", aPath, "simulated sync failure");
  }
  return Ok();
}

Result<FileHandle> FakeFileSystem::Open(const std::string& aPath, OpenMode aMode)
{
  BOOST_OUTCOME_TRY(CountOperation(aPath));
  if (aMode == OpenMode::Create && RoomForBytes() == 0) {
    BOOST_OUTCOME_TRY(Refuse(aPath));
  }
  if (aMode == OpenMode::Create) {
    mNames[aPath] = std::make_shared<File>();
  }
  const auto found = mNames.find(aPath);
  if (found == mNames.end()) {
    return Fail(ErrorCode::Io, "fake", aPath, "no such file");
  }
  mOpen[mNextHandle].mFile = found->second;
  if (aMode == OpenMode::Overwrite) {
    mOpen[mNextHandle].mPosition = 0;
  }
  return mNextHandle++;
}

Status FakeFileSystem::Write(FileHandle aFile, std::span<const std::uint8_t> aBytes)
{
  BOOST_OUTCOME_TRY(CountOperation("write"));
  auto& [file, position] = mOpen.at(aFile);
  const std::size_t at = position.value_or(file->mData.size());
  const std::size_t replaced = std::min(aBytes.size(), file->mData.size() - at);
  const std::size_t added = std::min(aBytes.size() - replaced, RoomForBytes());
  WriteAt(*file, at, aBytes.first(replaced + added));
  if (position) {
    *position += replaced + added;
  }
  return replaced + added == aBytes.size() ? Status(Ok()) : Refuse("write");
}

void FakeFileSystem::WriteAt(File& aFile, std::size_t aAt, std::span<const std::uint8_t> aBytes)
{
  const std::size_t end = aAt + aBytes.size();
  aFile.mData.resize(std::max(aFile.mData.size(), end));
  std::copy(aBytes.begin(), aBytes.end(), aFile.mData.begin() + static_cast<std::ptrdiff_t>(aAt));
  if (aAt <= aFile.mDroppedFrom) {
    aFile.mDroppedFrom = std::max(aFile.mDroppedFrom, end);
  }
}

void FakeFileSystem::DropUnsynced(File& aFile)
{
  const auto [synced, data] = std::mismatch(aFile.mSynced.begin(), aFile.mSynced.end(),
                                            aFile.mData.begin(), aFile.mData.end());
  const auto first = static_cast<std::size_t>(data - aFile.mData.begin());
  const bool dropped = aFile.mDroppedFrom < aFile.mDroppedEnd;
  aFile.mDroppedFrom = dropped ? std::min(aFile.mDroppedFrom, first) : first;
  aFile.mDroppedEnd = aFile.mData.size();
}

Status FakeFileSystem::Sync(FileHandle aFile)
{
  File& file = *mOpen.at(aFile).mFile;
  Status counted = CountSync("sync");
  if (!counted && !mCrashed) {
    DropUnsynced(file);
  }
  BOOST_OUTCOME_TRY(std::move(counted));
  file.mSynced = file.mData;
  const std::size_t droppedEnd = std::min(file.mDroppedEnd, file.mData.size());
  for (std::size_t at = file.mDroppedFrom; at < droppedEnd; ++at) {
    file.mSynced[at] = 0;
  }
  return Ok();
}

Status FakeFileSystem::Truncate(FileHandle aFile, std::uint64_t aSize)
{
  BOOST_OUTCOME_TRY(CountOperation("truncate"));
  BOOST_OUTCOME_TRY(CheckChangeAllowed("truncate"));
  mOpen.at(aFile).mFile->mData.resize(aSize);
  return Ok();
}

void FakeFileSystem::Close(FileHandle aFile)
{
  mOpen.erase(aFile);
}

Result<Bytes> FakeFileSystem::Read(const std::string& aPath)
{
  const auto found = mNames.find(aPath);
  if (mCrashed || found == mNames.end()) {
    return Fail(ErrorCode::Io, "fake", aPath, "no such file");
  }
  return found->second->mData;
}

Status FakeFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  BOOST_OUTCOME_TRY(CountOperation(aFrom));
  BOOST_OUTCOME_TRY(CheckChangeAllowed(aFrom));
  mNames[aTo] = mNames.at(aFrom);
  mNames.erase(aFrom);
  return Ok();
}

Status FakeFileSystem::Remove(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(CountOperation(aPath));
  BOOST_OUTCOME_TRY(CheckChangeAllowed(aPath));
  if (mNames.erase(aPath) == 0) {
    return Fail(ErrorCode::Io, "fake", aPath, "no such file");
  }
  return Ok();
}

Status FakeFileSystem::MakeDirectory(const std::string& aPath)
{
  return CountOperation(aPath);
}

Status FakeFileSystem::SyncDirectory(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(CountSync(aPath));
  mSyncedNames = mNames;
  return Ok();
}

Result<std::vector<std::string>> FakeFileSystem::List(const std::string& aPath)
{
  std::vector<std::string> names;
  for (const auto& [name, file] : mNames) {
    names.push_back(name.substr(aPath.size() + 1));
  }
  return names;
}

} // namespace dandelionslip
