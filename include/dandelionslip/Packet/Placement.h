// Chooses the upstream of a new flow.
#pragma once

#include "dandelionslip/Packet/LoadReport.h"
#include "dandelionslip/Support/Random.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <span>

namespace dandelionslip {

/// One upstream that may take a new flow.
struct PlacementCandidate
{
  std::size_t mAgent = 0; ///< Position in the caller's own list.
  const LoadReport* mReport = nullptr;
  std::uint32_t mPlacedSinceReport = 0; ///< Flows that this balancer has sent since the report.
};

/// Flows per unit of capacity after one more flow, the value that placement keeps even. Capacity is
/// slots times the speed of a slot; aMeanSpeed stands in for a speed that is not known yet.
double PlacementScore(const PlacementCandidate& aCandidate, double aMeanSpeed);

/// Mean speed of a slot over the candidates that know it, in requests a second; a default if none.
double MeanSlotSpeed(std::span<const PlacementCandidate> aCandidates);

/// Picks the candidate with the lowest score, any of those that are within kPlacementTolerance of
/// it, so that balancers with the same reports do not all choose the same upstream. Empty without
/// candidates. Answers the load of many balancers that open long flows at the same moment.
std::optional<std::size_t> ChoosePlacement(std::span<const PlacementCandidate> aCandidates,
                                           Random& aRandom);

/// Upstreams of a service among which a flow is placed, chosen by the flow's hash. A few choices
/// even out the load nearly as well as all, and after a restart of everything a flow is looked for
/// at these first.
inline constexpr std::size_t kPlacementCandidates = 6;

/// Scores within this factor of the best count as equal: one flow of ten.
inline constexpr double kPlacementTolerance = 1.1;

/// Stands in for the speed of a slot until an upstream has completed requests: 50 ms a request.
inline constexpr double kDefaultSlotSpeed = 20.0;

} // namespace dandelionslip
