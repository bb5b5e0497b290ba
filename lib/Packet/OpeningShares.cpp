// Round-robin shares of a cold upstream's openings.
#include "dandelionslip/Packet/OpeningShares.h"

namespace dandelionslip {

std::vector<std::uint32_t> OpeningShares::Split(std::uint32_t aAllowed, std::size_t aBalancers)
{
  std::vector<std::uint32_t> shares(aBalancers, 0);
  mLeft = aBalancers == 0 ? aAllowed : 0;
  for (std::uint32_t i = 0; i < aAllowed && aBalancers > 0; ++i) {
    ++shares[mNext++ % aBalancers];
  }
  return shares;
}

std::uint32_t OpeningShares::ShareForNewBalancer()
{
  if (mLeft == 0) {
    return 0;
  }
  --mLeft;
  return 1;
}

} // namespace dandelionslip
