// Reads service files.
#pragma once

#include "dandelionslip/Model/ServiceSpec.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Name ending by which service files are found.
inline constexpr std::string_view kServiceFileSuffix = ".service.json";

/// A service declaration and the file that holds it.
struct ServiceFile
{
  std::string mPath;
  ServiceSpec mSpec;

  bool operator==(const ServiceFile&) const = default;
};

/// Decodes and checks a service declaration; errors (InvalidInput) name aSource and the key path.
Result<ServiceSpec> ParseServiceSpec(std::string_view aText, std::string_view aSource);

/// Reads and checks one service file. Errors: Io, or InvalidInput with file and key path.
Result<ServiceSpec> LoadServiceFile(const std::string& aPath);

/// Reads the service files directly inside the folders, ordered by service name. A folder that is
/// missing or holds no service file is refused (Io), and so are two files that declare one service
/// or two services on one address (InvalidInput, naming both files).
Result<std::vector<ServiceFile>> CollectServices(const std::vector<std::string>& aFolders);

} // namespace dandelionslip
