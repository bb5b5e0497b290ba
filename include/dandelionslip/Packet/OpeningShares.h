// Divides among the balancers the flows that may be opened at a cold upstream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandelionslip {

/// A cold upstream accepts few new flows per second. Each permit to open one is given to a single
/// balancer. If balancers competed for permits, the agent would have to return most opening packets
/// when the callers of many balancers all reconnect to cold upstreams. A permit that a balancer
/// does not use may go to another balancer in the next round. Not thread-safe.
class OpeningShares
{
public:
  /// Starts a round, the time between two load reports: divides aAllowed permits among aBalancers
  /// balancers and returns the share of each. Permits that do not divide evenly go to different
  /// balancers in turn.
  std::vector<std::uint32_t> Split(std::uint32_t aAllowed, std::size_t aBalancers);

  /// The share of a balancer that becomes known during a round: one permit if any is unassigned,
  /// which is the case only if the round started without balancers.
  std::uint32_t ShareForNewBalancer();

private:
  std::size_t mNextBalancer = 0; ///< Gets the first permit of the next round.
  std::uint32_t mUnassigned = 0; ///< Permits of the round that no balancer has.
};

} // namespace dandelionslip
