// Processor time and memory of this process.
#pragma once

#include <cstdint>

namespace dandelionslip {

/// What the operating system accounts to this process.
struct ProcessUsage
{
  double mCpuSeconds = 0;
  std::uint64_t mResidentBytes = 0;
};

/// Reads the current values; fields stay 0 when the system does not tell.
ProcessUsage ReadProcessUsage();

} // namespace dandelionslip
