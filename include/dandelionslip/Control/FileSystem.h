// File operations used by the log store, so that tests can simulate crashes and failed syncs.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace dandelionslip {

/// Success without a value, or an error.
using Status = Result<void>;

/// An open file of a FileSystem.
using FileHandle = int;

enum class OpenMode
{
  Create,    ///< Creates the file, or empties an existing one.
  Append,    ///< Opens an existing file; writes go to its end.
  Overwrite, ///< Opens an existing file; writes replace its bytes from the start on.
};

/// File operations. Nothing is durable before Sync (contents) and SyncDirectory (names). All errors
/// have the code Io and name the path, or the descriptor of an open file.
class FileSystem
{
public:
  virtual ~FileSystem() = default;

  virtual Result<FileHandle> Open(const std::string& aPath, OpenMode aMode) = 0;
  /// Writes all bytes where the OpenMode says.
  virtual Status Write(FileHandle aFile, std::span<const std::uint8_t> aBytes) = 0;
  /// After an error, bytes that were written before are durable only once they have been written
  /// again and synced: Linux may take them for clean and skip them in the next sync.
  virtual Status Sync(FileHandle aFile) = 0;
  virtual Status Truncate(FileHandle aFile, std::uint64_t aSize) = 0;
  virtual void Close(FileHandle aFile) = 0;
  virtual Result<Bytes> Read(const std::string& aPath) = 0;
  virtual Status Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual Status Remove(const std::string& aPath) = 0;
  /// Creates the directory; succeeds if it exists.
  virtual Status MakeDirectory(const std::string& aPath) = 0;
  virtual Status SyncDirectory(const std::string& aPath) = 0;
  /// Names of the files in a directory, without the path, in ascending order.
  virtual Result<std::vector<std::string>> List(const std::string& aPath) = 0;
};

} // namespace dandelionslip
