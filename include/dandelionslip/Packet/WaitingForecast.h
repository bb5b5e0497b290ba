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

/// Flows per second that a balancer offers and agents do not return, over about the last second.
/// They take upstreams' capacity before openings that wait. Not thread-safe.
class AcceptedRate
{
public:
  void OnOffered(TimePoint aNow);
  void OnReturned(TimePoint aNow);
  double PerSecond(TimePoint aNow) const;

private:
  double mAccepted = 0; ///< Each weighed by its age.
  TimePoint mDecayedAt;
};

/// Expected time until this balancer, one of aBalancers with equal shares, can place an opening
/// behind aAhead others, while it places aAcceptedPerSecond without a wait. Empty if no upstream
/// will take any. Zero if it is not known what upstreams will take.
std::optional<Milliseconds> ForecastWait(std::span<const ForecastUpstream> aUpstreams,
                                         std::size_t aBalancers, std::size_t aAhead,
                                         double aAcceptedPerSecond = 0);

} // namespace dandelionslip
