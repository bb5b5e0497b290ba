// Chooses the upstream of a new flow.
#pragma once

#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Support/Random.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <span>

namespace dandelionslip {

/// An upstream that may accept a new flow.
struct PlacementCandidate
{
  std::size_t mIndex = 0; ///< Index in the list of agents to choose from.
  const LoadReport* mReport = nullptr;
  std::uint32_t mPlacedSinceReport = 0; ///< Flows that this balancer has placed since mReport.
};

/// Flows per unit of capacity if the candidate got one more flow; placement balances this value.
/// Requests that wait for a slot count as flows. Capacity is the number of slots times the speed of
/// a slot, or times aMeanSpeed if that speed is not known yet; a cold upstream has half of it.
/// Lower is better.
double PlacementScore(const PlacementCandidate& aCandidate, double aMeanSpeed);

/// Mean speed of a slot, in requests per second, over the candidates whose speed is known;
/// kDefaultSlotSpeed if there are none.
double MeanSlotSpeed(std::span<const PlacementCandidate> aCandidates);

/// Returns mIndex of a random candidate whose score is within kPlacementTolerance of the lowest.
/// The choice is random so that balancers which have the same reports and open many long flows at
/// the same moment do not all choose the same upstream. Empty without candidates.
std::optional<std::size_t> ChoosePlacement(std::span<const PlacementCandidate> aCandidates,
                                           Random& aRandom);

/// Number of upstreams of a service that are preferred for a flow, chosen by the flow's hash. Few
/// preferred agents balance the load nearly as well as all, and after a restart of all nodes the
/// search for a flow can query these first.
inline constexpr std::size_t kPreferredAgents = 6;

/// Scores up to this factor above the best count as equal, a difference of one flow in ten.
inline constexpr double kPlacementTolerance = 1.1;

/// Speed of a slot, in requests per second, until any upstream's speed is known: 50 ms a request.
inline constexpr double kDefaultSlotSpeed = 20.0;

} // namespace dandelionslip
