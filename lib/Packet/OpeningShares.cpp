// Round-robin assignment of permits to open flows to balancers.
#include "dandelionslip/Packet/OpeningShares.h"

namespace dandelionslip {

std::vector<std::uint32_t> OpeningShares::Split(std::uint32_t aAllowed, std::size_t aBalancers)
{
  std::vector<std::uint32_t> shares(aBalancers, 0);
  mUnassigned = aBalancers == 0 ? aAllowed : 0;
  for (std::uint32_t i = 0; i < aAllowed && aBalancers > 0; ++i) {
    ++shares[mNextBalancer++ % aBalancers];
  }
  return shares;
}

std::uint32_t OpeningShares::ShareForNewBalancer()
{
  if (mUnassigned == 0) {
    return 0;
  }
  --mUnassigned;
  return 1;
}

} // namespace dandelionslip
