// FileSystem in memory that simulates crashes, failed syncs and full disks.
#pragma once

#include "dandelionslip/Control/FileSystem.h"
#include "dandelionslip/Support/Random.h"

#include <limits>
#include <map>
#include <memory>
#include <optional>

namespace dandelionslip {

/// What a crash leaves of the changes that were not synced.
enum class CrashMode
{
  DropAll, ///< Nothing.
  Random,  ///< Any subset of the name changes and any prefix of the appended bytes.
};

/// What a full disk refuses.
enum class FullDisk
{
  Bytes,   ///< New files, and bytes beyond its capacity; shorter files make room.
  Changes, ///< Every change, also syncs.
};

/// FileSystem in memory for one directory. Counts the operations that change something, and can
/// crash before any of them or fail any sync.
class FakeFileSystem : public FileSystem
{
public:
  /// Crashes before the operation with this number, counted from this call on, starting with 0.
  void CrashBefore(std::size_t aOperation) { mCrashAt = mOperations + aOperation; }
  /// Fails the sync with this number, counted from this call on, starting with 0.
  void FailSync(std::size_t aSync) { mFailSyncAt = mSyncs + aSync; }
  /// Fills the disk. aRoom bytes can still be appended, so that a write can fail after a part of
  /// it.
  void Fill(FullDisk aMode, std::size_t aRoom);
  /// Ends the effect of Fill.
  void Free() { mFull.reset(); }
  bool Full() const { return mFull.has_value(); }
  /// Changes that the full disk has refused so far.
  std::size_t Refusals() const { return mRefusals; }
  /// Cancels crashes and failures that have not happened yet.
  void CancelFaults();
  bool Crashed() const { return mCrashed; }
  std::size_t Operations() const { return mOperations; }
  /// Drops changes that were not synced, as aMode says, and makes the files usable again.
  void Restart(CrashMode aMode, Random& aRandom);
  /// Makes the files usable again after a crash of the process only: changes that were not synced
  /// stay, and stay unsynced.
  void RestartProcess();
  /// Size of all files.
  std::size_t UsedBytes() const;
  /// Removes all files.
  void Wipe();
  /// Contents of a file, to damage it.
  Bytes& Contents(const std::string& aPath);

  Result<FileHandle> Open(const std::string& aPath, OpenMode aMode) override;
  Status Write(FileHandle aFile, std::span<const std::uint8_t> aBytes) override;
  Status Sync(FileHandle aFile) override;
  Status Truncate(FileHandle aFile, std::uint64_t aSize) override;
  void Close(FileHandle aFile) override;
  Result<Bytes> Read(const std::string& aPath) override;
  Status Rename(const std::string& aFrom, const std::string& aTo) override;
  Status Remove(const std::string& aPath) override;
  Status MakeDirectory(const std::string& aPath) override;
  Status SyncDirectory(const std::string& aPath) override;
  Result<std::vector<std::string>> List(const std::string& aPath) override;

private:
  struct File
  {
    Bytes mData;
    Bytes mSynced;
    /// Bytes that a failed sync dropped: further syncs skip them until they are written again.
    std::size_t mDroppedFrom = 0;
    std::size_t mDroppedEnd = 0;
  };
  struct OpenFile
  {
    std::shared_ptr<File> mFile;
    std::optional<std::size_t> mPosition; ///< The end of the file if empty.
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  static void DropUnsynced(File& aFile);
  static void WriteAt(File& aFile, std::size_t aAt, std::span<const std::uint8_t> aBytes);
  std::size_t RoomForBytes() const;
  Status Refuse(const std::string& aPath);
  Status CheckChangeAllowed(const std::string& aPath);
  Status CountOperation(const std::string& aPath);
  Status CountSync(const std::string& aPath);
  Names NamesAfterCrash(CrashMode aMode, Random& aRandom) const;

  Names mNames;
  Names mSyncedNames;
  std::map<FileHandle, OpenFile> mOpen;
  FileHandle mNextHandle = 1;
  std::size_t mOperations = 0;
  std::size_t mSyncs = 0;
  std::size_t mCrashAt = std::numeric_limits<std::size_t>::max();
  std::size_t mFailSyncAt = std::numeric_limits<std::size_t>::max();
  bool mCrashed = false;
  std::optional<FullDisk> mFull;
  std::size_t mCapacity = 0; ///< In bytes, while mFull.
  std::size_t mRefusals = 0;
};

} // namespace dandelionslip
