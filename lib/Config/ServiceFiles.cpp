// Finds service files in folders and reads them.
#include "dandelionslip/Config/ServiceFiles.h"

#include "ServiceFileIndex.h"

#include "dandelionslip/Config/TextFile.h"

#include <algorithm>
#include <filesystem>
#include <set>

namespace dandelionslip {

namespace {

namespace fs = std::filesystem;

std::error_code ListFolder(const std::string& aFolder, std::vector<fs::path>& aFound)
{
  std::error_code failure;
  for (fs::directory_iterator entry(aFolder, failure), end; !failure && entry != end;
       entry.increment(failure)) {
    if (entry->path().string().ends_with(kServiceFileSuffix)) {
      aFound.push_back(entry->path());
    }
  }
  return failure;
}

// Appends the paths of the service files in a folder. Skips files in aSeen, so that a folder that
// is given twice, also by different paths, is read once.
Result<void> FindFiles(const std::string& aFolder, std::set<fs::path>& aSeen,
                       std::vector<std::string>& aPaths)
{
  std::vector<fs::path> found;
  if (const auto failure = ListFolder(aFolder, found)) {
    return Fail(ErrorCode::Io, "service.collect", aFolder, failure.message());
  }
  if (found.empty()) {
    return Fail(ErrorCode::Io, "service.collect", aFolder,
                "found no file whose name ends with " + std::string(kServiceFileSuffix));
  }
  for (const fs::path& path : found) {
    std::error_code failure;
    const fs::path canonical = fs::weakly_canonical(path, failure);
    if (aSeen.insert(failure ? path : canonical).second) {
      aPaths.push_back(path.string());
    }
  }
  return Ok();
}

} // namespace

Result<ServiceSpec> ParseServiceSpec(std::string_view aText, std::string_view aSource)
{
  const auto json = ParseJson(aText, aSource);
  if (!json) {
    return json.as_failure();
  }
  auto spec = FromJson<ServiceSpec>(json.value(), aSource);
  if (!spec) {
    return spec;
  }
  if (const auto checked = CheckServiceSpec(spec.value(), aSource); !checked) {
    return checked.as_failure();
  }
  return spec;
}

Result<ServiceSpec> LoadServiceSpec(const std::string& aPath)
{
  const auto text = ReadTextFile(aPath);
  if (!text) {
    return text.as_failure();
  }
  return ParseServiceSpec(text.value(), aPath);
}

Result<std::vector<ServiceFile>> LoadServiceFiles(const std::vector<std::string>& aFolders)
{
  std::set<fs::path> seen;
  std::vector<std::string> paths;
  for (const std::string& folder : aFolders) {
    if (const auto found = FindFiles(folder, seen, paths); !found) {
      return found.as_failure();
    }
  }
  // Sorted, so that the reported file does not depend on the order in which the file system lists
  // entries.
  std::sort(paths.begin(), paths.end());
  ServiceFileIndex index;
  std::vector<ServiceFile> files;
  for (const std::string& path : paths) {
    auto spec = LoadServiceSpec(path);
    if (!spec) {
      return spec.as_failure();
    }
    files.push_back({path, std::move(spec.value())});
    if (const auto added = index.Add(files.back()); !added) {
      return added.as_failure();
    }
  }
  std::sort(files.begin(), files.end(), [](const ServiceFile& aLeft, const ServiceFile& aRight) {
    return aLeft.mSpec.mName < aRight.mSpec.mName;
  });
  return files;
}

} // namespace dandelionslip
