// Reads configuration files as text.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <string>

namespace dandelionslip {

/// Largest settings or service file accepted, so that a wrong path does not exhaust the memory.
inline constexpr std::size_t kMaxConfigurationFileBytes = 1024UL * 1024UL;

/// Reads a regular file. Errors: Io when it is missing, not a regular file or unreadable,
/// LimitExceeded when it is larger than kMaxConfigurationFileBytes.
Result<std::string> ReadTextFile(const std::string& aPath);

} // namespace dandelionslip
