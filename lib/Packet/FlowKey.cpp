// Hash of a flow.
#include "dandelionslip/Packet/FlowKey.h"

#include "dandelionslip/Support/Hash.h"

namespace dandelionslip {

std::uint64_t HashOf(const FlowKey& aKey)
{
  const std::uint64_t caller =
    (std::uint64_t{aKey.mCallerAddress} << 16U) | std::uint64_t{aKey.mCallerPort};
  const std::uint64_t service =
    (std::uint64_t{aKey.mServiceAddress} << 16U) | std::uint64_t{aKey.mServicePort};
  return CombineHash(caller, service);
}

} // namespace dandelionslip
