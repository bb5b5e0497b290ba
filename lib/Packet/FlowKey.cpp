// Text form and hash of a flow key.
#include "dandelionslip/Packet/FlowKey.h"

#include "dandelionslip/Support/Hash.h"

namespace dandelionslip {

namespace {

std::string AddressText(std::uint32_t aAddress, std::uint16_t aPort)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((aAddress >> static_cast<unsigned>(shift)) & 0xffU);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(aPort);
}

} // namespace

std::string ToString(const FlowKey& aKey)
{
  return AddressText(aKey.mCallerAddress, aKey.mCallerPort) + ">" +
         AddressText(aKey.mServiceAddress, aKey.mServicePort);
}

std::uint64_t HashOf(const FlowKey& aKey)
{
  const std::uint64_t caller =
    (std::uint64_t{aKey.mCallerAddress} << 16U) | std::uint64_t{aKey.mCallerPort};
  const std::uint64_t service =
    (std::uint64_t{aKey.mServiceAddress} << 16U) | std::uint64_t{aKey.mServicePort};
  return CombineHash(caller, service);
}

} // namespace dandelionslip
