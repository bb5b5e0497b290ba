// Divides the openings that a cold upstream accepts among the balancers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandelionslip {

/// A cold upstream accepts few openings per second. Each is offered to only one balancer at a time:
/// balancers that competed for it would send opening packets that the agent must return. Openings
/// that a balancer does not use are offered to the next ones in the following round. This serves
/// the load when the callers of many balancers all return to cold upstreams. Not thread-safe.
class OpeningShares
{
public:
  /// Starts a round: divides aAllowed openings among aBalancers balancers and returns the share of
  /// each. Openings that do not divide evenly go to different balancers in turn.
  std::vector<std::uint32_t> Split(std::uint32_t aAllowed, std::size_t aBalancers);

  /// The share of a balancer that becomes known during a round: one opening if any is unassigned,
  /// which is the case only if the round started without balancers.
  std::uint32_t ShareForNewBalancer();

private:
  std::size_t mNextBalancer = 0; ///< Gets the first opening of the next round.
  std::uint32_t mUnassigned = 0; ///< Openings of the round that no balancer has.
};

} // namespace dandelionslip
