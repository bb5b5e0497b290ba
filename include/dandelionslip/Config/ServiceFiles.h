// Reads service files.
#pragma once

#include "dandelionslip/Model/ServiceSpec.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Suffix of the names of service files.
inline constexpr std::string_view kServiceFileSuffix = ".service.json";

/// A service declaration and the file that holds it.
struct ServiceFile
{
  std::string mPath;
  ServiceSpec mSpec;

  bool operator==(const ServiceFile&) const = default;
};

/// Decodes and checks a service declaration. Errors (InvalidInput) name aSource and the key path.
Result<ServiceSpec> ParseServiceSpec(std::string_view aText, std::string_view aSource);

/// Reads and checks one service file. Errors: Io, or InvalidInput with file and key path.
Result<ServiceSpec> LoadServiceSpec(const std::string& aPath);

/// Reads the service files that are directly in the folders, and orders them by service name.
/// Errors: Io when a folder is missing or contains no service file; InvalidInput, naming both
/// files, when two files declare the same service or use the same address.
Result<std::vector<ServiceFile>> LoadServiceFiles(const std::vector<std::string>& aFolders);

} // namespace dandelionslip
