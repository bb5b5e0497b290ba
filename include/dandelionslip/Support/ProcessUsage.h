// Processor time and memory of this process.
#pragma once

#include <cstdint>

namespace dandelionslip {

/// Resources that this process uses, as the operating system reports them.
struct ProcessUsage
{
  double mCpuSeconds = 0;
  std::uint64_t mResidentBytes = 0;
};

/// Reads the current values; a field is 0 when the operating system does not report it.
ProcessUsage ReadProcessUsage();

} // namespace dandelionslip
