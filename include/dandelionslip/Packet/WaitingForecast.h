// Forecast of when an opening that waits at a balancer can be placed.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <span>

namespace dandelionslip {

/// What an upstream of the route will take, by its last load report.
struct ForecastUpstream
{
  /// The agent is silent or has just started, so that what it takes is not known yet.
  bool mUnknown = false;
  bool mAccepts = false;
  bool mCold = false;
  Milliseconds mColdLeft{0};
  double mColdPerSecond = 0; ///< New flows a second, from all balancers, while cold.
  double mWarmPerSecond = 0; ///< New flows a second, from all balancers, when warm; 0 if unknown.
};

/// Expected time until this balancer, one of aBalancers with equal shares, can place an opening
/// behind aAhead others. Empty if no upstream will take any. Zero if it is not known what upstreams
/// will take.
std::optional<Milliseconds> ForecastWait(std::span<const ForecastUpstream> aUpstreams,
                                         std::size_t aBalancers, std::size_t aAhead);

} // namespace dandelionslip
