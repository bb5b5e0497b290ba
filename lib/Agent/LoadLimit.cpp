// Limits derived from a service declaration.
#include "dandelionslip/Agent/LoadLimit.h"

#include <algorithm>

namespace dandelionslip {

LoadLimit FullLoadLimit(const ServiceSpec& aSpec)
{
  return {aSpec.mSlots, aSpec.mConnections};
}

LoadLimit ColdLoadLimit(const ServiceSpec& aSpec)
{
  return ElementwiseMin({aSpec.mColdLimit.mSlots, aSpec.mColdLimit.mConnections},
                        FullLoadLimit(aSpec));
}

LoadLimit ElementwiseMin(const LoadLimit& aFirst, const LoadLimit& aSecond)
{
  return {std::min(aFirst.mSlots, aSecond.mSlots),
          std::min(aFirst.mConnections, aSecond.mConnections)};
}

} // namespace dandelionslip
