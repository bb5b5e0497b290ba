// Hashes the caller's and the service's endpoint with XXH3.
#include "dandelionslip/Route/FlowHash.h"

#include "dandelionslip/Support/Hash.h"

#include <array>
#include <cstring>

namespace dandelionslip {

std::uint64_t FlowHashOf(const Endpoint& aCaller, const Endpoint& aService)
{
  constexpr std::size_t kEndpointSize = 18;
  std::array<std::uint8_t, 2 * kEndpointSize> bytes{};
  std::memcpy(bytes.data(), aCaller.mAddress.data(), aCaller.mAddress.size());
  std::memcpy(bytes.data() + kEndpointSize, aService.mAddress.data(), aService.mAddress.size());
  bytes[16] = static_cast<std::uint8_t>(aCaller.mPort >> 8U);
  bytes[17] = static_cast<std::uint8_t>(aCaller.mPort & 0xffU);
  bytes[kEndpointSize + 16] = static_cast<std::uint8_t>(aService.mPort >> 8U);
  bytes[kEndpointSize + 17] = static_cast<std::uint8_t>(aService.mPort & 0xffU);
  return Hash64(bytes);
}

} // namespace dandelionslip
