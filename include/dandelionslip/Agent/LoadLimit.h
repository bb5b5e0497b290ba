// Limit on the load that an upstream is given.
#pragma once

#include "dandelionslip/Model/ServiceSpec.h"

#include <cstdint>

namespace dandelionslip {

/// Work that an upstream may have at once.
struct LoadLimit
{
  std::uint32_t mSlots = 0;       ///< Requests running.
  std::uint32_t mConnections = 0; ///< Open flows; services and metrics call them connections.

  bool operator==(const LoadLimit&) const = default;
};

/// The limit of an upstream that is warm.
LoadLimit FullLoadLimit(const ServiceSpec& aSpec);

/// The limit of an upstream in cold start, not above the full limit.
LoadLimit ColdLoadLimit(const ServiceSpec& aSpec);

/// The element-wise minimum of two limits.
LoadLimit ElementwiseMin(const LoadLimit& aFirst, const LoadLimit& aSecond);

} // namespace dandelionslip
