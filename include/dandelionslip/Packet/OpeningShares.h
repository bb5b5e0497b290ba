// Divides the openings that a cold upstream takes among balancers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dandelionslip {

/// A cold upstream takes few openings a second. Each is offered to one balancer at a time, because
/// balancers that compete for it send opening packets that the agent must return. What a balancer
/// leaves unused is offered to the next ones in the following round. Answers the load of many
/// balancers whose callers all return to cold upstreams. Not thread-safe.
class OpeningShares
{
public:
  /// Begins a round: aAllowed openings for aBalancers balancers, in turn over the rounds. Returns
  /// the share of each.
  std::vector<std::uint32_t> Split(std::uint32_t aAllowed, std::size_t aBalancers);

  /// The share of a balancer that becomes known during a round: one opening if one is left.
  std::uint32_t ShareForNewBalancer();

private:
  std::size_t mNext = 0;   ///< Whose turn it is in the next round.
  std::uint32_t mLeft = 0; ///< Openings of the round that no balancer was offered.
};

} // namespace dandelionslip
