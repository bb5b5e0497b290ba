// Detects service files that declare the same service or use the same address.
#pragma once

#include "dandelionslip/Config/ServiceFiles.h"
#include "dandelionslip/Model/Endpoint.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// What a file has in common with an earlier one.
struct ServiceFileConflict
{
  std::string mKey;
  std::string mDetail; ///< What was found, and in which other file.
};

/// Service names and addresses of the files added so far.
class ServiceFileIndex
{
public:
  /// Adds a file. InvalidInput, naming both files, when an earlier file, or an earlier key of the
  /// same file, has the same service name or address.
  Result<void> Add(const ServiceFile& aFile);
  /// The same, but returns all conflicts.
  std::vector<ServiceFileConflict> AddAll(const ServiceFile& aFile);

private:
  std::map<std::string, std::string> mPathByName;
  std::map<Endpoint, std::string> mPathByAddress;
};

} // namespace dandelionslip
