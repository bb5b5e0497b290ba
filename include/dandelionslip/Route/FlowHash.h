// Hash of a flow and the bucket that the hash selects.
#pragma once

#include "dandelionslip/Model/Endpoint.h"

#include <cstdint>

namespace dandelionslip {

/// Hash of the caller's and the service's address and port. Every node computes the same value.
std::uint64_t FlowHashOf(const Endpoint& aCaller, const Endpoint& aService);

/// The bucket of a flow hash or request id hash; aBuckets is a power of two.
inline std::uint32_t BucketOf(std::uint64_t aHash, std::uint32_t aBuckets)
{
  return static_cast<std::uint32_t>(aHash) & (aBuckets - 1);
}

} // namespace dandelionslip
