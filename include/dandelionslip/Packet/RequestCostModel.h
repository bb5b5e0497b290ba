// Distribution of the run times of requests, by route.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <boost/histogram.hpp>

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
  /// requests cost many times the mean. At least aElapsed if it has run longer than all others.
  std::optional<Duration> Remaining(std::uint64_t aRoute, Duration aElapsed) const;
  /// The shortest run time seen recently, over all routes; empty if unknown.
  std::optional<Duration> Shortest() const;

private:
  /// Run times in milliseconds, in bins whose widths grow by about a fifth.
  using Histogram = decltype(boost::histogram::make_weighted_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>()));

  class Distribution
  {
  public:
    Distribution();

    void Add(double aMs);
    bool IsKnown() const { return mCount >= kMinSamples; }
    double Mean() const { return mSum / mCount; }
    double Quantile(double aLevel) const;
    double Remaining(double aElapsedMs) const;

  private:
    Histogram mBins;
    double mCount = 0;
    double mSum = 0;
  };

  /// Samples before a distribution is used. With a relative deviation of 0.5, the mean of eight
  /// samples has a standard error of 18%.
  static constexpr double kMinSamples = 8;
  /// When a distribution has this many samples, the weight of all is halved.
  static constexpr double kMaxSamples = 1'000;

  const Distribution* Find(std::uint64_t aRoute) const;

  std::unordered_map<std::uint64_t, Distribution> mRoutes;
  Distribution mService; ///< All routes.
};

} // namespace dandelionslip
