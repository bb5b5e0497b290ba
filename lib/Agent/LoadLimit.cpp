// Limits derived from a service declaration.
#include "dandelionslip/Agent/LoadLimit.h"

#include <algorithm>

namespace dandelionslip {

LoadLimit FullLimit(const ServiceSpec& aSpec)
{
  return {aSpec.mSlots, aSpec.mConnections};
}

LoadLimit ColdLoadLimit(const ServiceSpec& aSpec)
{
  return Smaller({aSpec.mColdLimit.mSlots, aSpec.mColdLimit.mConnections}, FullLimit(aSpec));
}

LoadLimit Smaller(const LoadLimit& aFirst, const LoadLimit& aSecond)
{
  return {std::min(aFirst.mSlots, aSecond.mSlots),
          std::min(aFirst.mConnections, aSecond.mConnections)};
}

} // namespace dandelionslip
