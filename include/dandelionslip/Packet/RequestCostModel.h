// Distribution of the run times of requests, by route.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace dandelionslip {

/// Learns how long an upstream runs the requests of each route. Recent requests count more. A route
/// with few samples is taken to cost what the service's requests cost on average. Not thread-safe.
class RequestCostModel
{
public:
  using Duration = RuntimeClock::duration;

  /// A request of the route ran for aDuration without waiting for a slot.
  void OnCompleted(std::uint64_t aRoute, Duration aDuration);

  /// Mean run time; empty if the service is unknown.
  std::optional<Duration> Mean(std::uint64_t aRoute) const;
  /// Mean over all routes; empty if the service is unknown.
  std::optional<Duration> Mean() const;
  /// Run time that a share aLevel (0 to 1) of requests does not exceed.
  std::optional<Duration> Quantile(std::uint64_t aRoute, double aLevel) const;
  /// Expected further run time of a request that has run for aElapsed. Grows with aElapsed when few
  /// requests cost many times the mean.
  std::optional<Duration> Remaining(std::uint64_t aRoute, Duration aElapsed) const;
  /// The shortest run time seen recently, over all routes; empty if unknown.
  std::optional<Duration> Shortest() const;
};

} // namespace dandelionslip
