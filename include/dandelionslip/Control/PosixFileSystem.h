// FileSystem on POSIX files.
#pragma once

#include "dandelionslip/Control/FileSystem.h"

namespace dandelionslip {

/// FileSystem on POSIX files.
class PosixFileSystem : public FileSystem
{
public:
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
};

} // namespace dandelionslip
