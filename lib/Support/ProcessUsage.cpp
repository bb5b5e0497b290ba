// Reads processor time and memory from the operating system.
#include "dandelionslip/Support/ProcessUsage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace dandelionslip {

namespace {

double Seconds(const timeval& aTime)
{
  constexpr double kMicrosecondsInSecond = 1e6;
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / kMicrosecondsInSecond;
}

} // namespace

ProcessUsage ReadProcessUsage()
{
  ProcessUsage result;
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    result.mCpuSeconds = Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
  }
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  if (std::ifstream("/proc/self/statm") >> total >> resident) {
    result.mResidentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }
  return result;
}

} // namespace dandelionslip
