// Detects service files that declare the same service or use the same address.
#pragma once

#include "dandelionslip/Config/ServiceFiles.h"
#include "dandelionslip/Model/Endpoint.h"

#include <map>
#include <string>

namespace dandelionslip {

/// Service names and addresses of the files added so far.
class ServiceFileIndex
{
public:
  /// Adds a file. InvalidInput, naming both files, when an earlier file, or an earlier key of the
  /// same file, has the same service name or address.
  Result<void> Add(const ServiceFile& aFile);

private:
  std::map<std::string, std::string> mPathByName;
  std::map<Endpoint, std::string> mPathByAddress;
};

} // namespace dandelionslip
