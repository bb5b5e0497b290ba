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
  }
  mSyncedNames = mNames;
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
  mOpen[mNextHandle] = found->second;
  return mNextHandle++;
}

Status FakeFileSystem::Append(FileHandle aFile, std::span<const std::uint8_t> aBytes)
{
  BOOST_OUTCOME_TRY(CountOperation("append"));
  Bytes& data = mOpen.at(aFile)->mData;
  const auto fitting = aBytes.first(std::min(aBytes.size(), RoomForBytes()));
  data.insert(data.end(), fitting.begin(), fitting.end());
  return fitting.size() == aBytes.size() ? Status(Ok()) : Refuse("append");
}

Status FakeFileSystem::Sync(FileHandle aFile)
{
  BOOST_OUTCOME_TRY(CountSync("sync"));
  File& file = *mOpen.at(aFile);
  file.mSynced = file.mData;
  return Ok();
}

Status FakeFileSystem::Truncate(FileHandle aFile, std::uint64_t aSize)
{
  BOOST_OUTCOME_TRY(CountOperation("truncate"));
  BOOST_OUTCOME_TRY(CheckChangeAllowed("truncate"));
  mOpen.at(aFile)->mData.resize(aSize);
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
