// Finds services that claim one name or address.
#pragma once

#include "dandelionslip/Config/ServiceFiles.h"
#include "dandelionslip/Model/Endpoint.h"

#include <map>
#include <string>

namespace dandelionslip {

/// Names and addresses of the service files seen so far.
class AddressIndex
{
public:
  /// Adds a file; refuses a name or address that an earlier file, or an earlier key of the same
  /// file, has claimed (InvalidInput, naming both files).
  Result<void> Add(const ServiceFile& aFile);

private:
  std::map<std::string, std::string> mNames;
  std::map<Endpoint, std::string> mAddresses;
};

} // namespace dandelionslip
