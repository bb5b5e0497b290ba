// FileSystem on POSIX files.
#include "dandelionslip/Control/PosixFileSystem.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace dandelionslip {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kDirectoryMode = 0700;

auto FailWithErrno(const char* aStep, const std::string& aPath)
{
  return Fail(ErrorCode::Io, aStep, aPath, std::generic_category().message(errno));
}

Status Check(int aResult, const char* aStep, const std::string& aPath)
{
  if (aResult != 0) {
    return FailWithErrno(aStep, aPath);
  }
  return Ok();
}

int FlagsOf(OpenMode aMode)
{
  switch (aMode) {
    case OpenMode::Create:
      return O_CREAT | O_TRUNC | O_APPEND;
    case OpenMode::Append:
      return O_APPEND;
    case OpenMode::Overwrite:
      return 0;
  }
  return 0;
}

std::string HandleName(FileHandle aFile)
{
  return "descriptor " + std::to_string(aFile);
}

} // namespace

Result<FileHandle> PosixFileSystem::Open(const std::string& aPath, OpenMode aMode)
{
  const int file = ::open(aPath.c_str(), O_WRONLY | O_CLOEXEC | FlagsOf(aMode), kFileMode);
  if (file < 0) {
    return FailWithErrno("file.open", aPath);
  }
  return file;
}

Status PosixFileSystem::Write(FileHandle aFile, std::span<const std::uint8_t> aBytes)
{
  while (!aBytes.empty()) {
    const auto written = ::write(aFile, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return FailWithErrno("file.write", HandleName(aFile));
    }
    aBytes = aBytes.subspan(static_cast<std::size_t>(written));
  }
  return Ok();
}

Status PosixFileSystem::Sync(FileHandle aFile)
{
  return Check(::fsync(aFile), "file.sync", HandleName(aFile));
}

Status PosixFileSystem::Truncate(FileHandle aFile, std::uint64_t aSize)
{
  return Check(::ftruncate(aFile, static_cast<off_t>(aSize)), "file.truncate", HandleName(aFile));
}

void PosixFileSystem::Close(FileHandle aFile)
{
  ::close(aFile);
}

Result<Bytes> PosixFileSystem::Read(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return FailWithErrno("file.read", aPath);
  }
  Bytes bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad()) {
    return FailWithErrno("file.read", aPath);
  }
  return bytes;
}

Status PosixFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  return Check(::rename(aFrom.c_str(), aTo.c_str()), "file.rename", aFrom);
}

Status PosixFileSystem::Remove(const std::string& aPath)
{
  return Check(::unlink(aPath.c_str()), "file.remove", aPath);
}

Status PosixFileSystem::MakeDirectory(const std::string& aPath)
{
  if (::mkdir(aPath.c_str(), kDirectoryMode) != 0 && errno != EEXIST) {
    return FailWithErrno("directory.make", aPath);
  }
  return Ok();
}

Status PosixFileSystem::SyncDirectory(const std::string& aPath)
{
  const int directory = ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directory < 0) {
    return FailWithErrno("directory.open", aPath);
  }
  auto status = Check(::fsync(directory), "directory.sync", aPath);
  ::close(directory);
  return status;
}

Result<std::vector<std::string>> PosixFileSystem::List(const std::string& aPath)
{
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator at(aPath, error), end; !error && at != end;
       at.increment(error)) {
    names.push_back(at->path().filename().string());
  }
  if (error) {
    return Fail(ErrorCode::Io, "directory.list", aPath, error.message());
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace dandelionslip
