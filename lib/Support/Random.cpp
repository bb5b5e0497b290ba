// Reads seeds from the operating system.
#include "dandelionslip/Support/Random.h"

namespace dandelionslip {

std::uint64_t SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace dandelionslip
