// Run time distributions in histograms with logarithmic bins.
#include "dandelionslip/Packet/RequestCostModel.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

namespace {

constexpr double kMilli = 1000.0;
constexpr unsigned kBins = 60;
constexpr double kLowestMs = 0.2;
constexpr double kHighestMs = 20'000;

// Faster requests are taken for outliers, such as rejections.
constexpr double kShortestLevel = 0.01;

double ToMs(RequestCostModel::Duration aDuration)
{
  return Seconds(aDuration) * kMilli;
}

RequestCostModel::Duration FromMs(double aMs)
{
  return std::chrono::duration_cast<RequestCostModel::Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

// The histogram computes the center of a bin with an exponential function each time.
const std::array<double, kBins>& BinCenters()
{
  static const std::array<double, kBins> kCenters = [] {
    const Axis axis(kBins, kLowestMs, kHighestMs);
    std::array<double, kBins> centers{};
    for (unsigned i = 0; i < kBins; ++i) {
      centers[i] = axis.bin(static_cast<int>(i)).center();
    }
    return centers;
  }();
  return kCenters;
}

} // namespace

RequestCostModel::Distribution::Distribution()
  : mBins(boost::histogram::make_weighted_histogram(Axis(kBins, kLowestMs, kHighestMs)))
{
}

void RequestCostModel::Distribution::Add(double aMs)
{
  const double ms = std::clamp(aMs, kLowestMs, kHighestMs - 1);
  if (mCount >= kMaxSamples) {
    mBins *= 0.5;
    mCount *= 0.5;
    mSum *= 0.5;
  }
  mBins(ms);
  mCount += 1;
  mSum += ms;
}

double RequestCostModel::Distribution::Quantile(double aLevel) const
{
  const auto& centers = BinCenters();
  double below = 0;
  for (unsigned i = 0; i < kBins; ++i) {
    below += mBins.at(static_cast<int>(i)).value();
    if (below >= aLevel * mCount) {
      return centers[i];
    }
  }
  return Mean();
}

double RequestCostModel::Distribution::Remaining(double aElapsedMs) const
{
  const auto& centers = BinCenters();
  double weight = 0;
  double sum = 0;
  for (unsigned i = kBins; i > 0 && centers[i - 1] > aElapsedMs; --i) {
    const double samples = mBins.at(static_cast<int>(i - 1)).value();
    weight += samples;
    sum += samples * (centers[i - 1] - aElapsedMs);
  }
  // Nothing is known of a request that has run longer than all others. It may be one of an upstream
  // that answers nothing, which must not seem about to be free.
  return weight > 0 ? sum / weight : std::max(Mean(), aElapsedMs);
}

void RequestCostModel::OnCompleted(std::uint64_t aRoute, Duration aDuration)
{
  mRoutes[aRoute].Add(ToMs(aDuration));
  mService.Add(ToMs(aDuration));
}

const RequestCostModel::Distribution* RequestCostModel::Find(std::uint64_t aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  if (found != mRoutes.end() && found->second.IsKnown()) {
    return &found->second;
  }
  return mService.IsKnown() ? &mService : nullptr;
}

std::optional<RequestCostModel::Duration> RequestCostModel::Mean(std::uint64_t aRoute) const
{
  const Distribution* known = Find(aRoute);
  return known == nullptr ? std::nullopt : std::optional(FromMs(known->Mean()));
}

std::optional<RequestCostModel::Duration> RequestCostModel::Mean() const
{
  return mService.IsKnown() ? std::optional(FromMs(mService.Mean())) : std::nullopt;
}

std::optional<RequestCostModel::Duration> RequestCostModel::Quantile(std::uint64_t aRoute,
                                                                     double aLevel) const
{
  const Distribution* known = Find(aRoute);
  return known == nullptr ? std::nullopt : std::optional(FromMs(known->Quantile(aLevel)));
}

std::optional<RequestCostModel::Duration> RequestCostModel::Remaining(std::uint64_t aRoute,
                                                                      Duration aElapsed) const
{
  const Distribution* known = Find(aRoute);
  return known == nullptr ? std::nullopt : std::optional(FromMs(known->Remaining(ToMs(aElapsed))));
}

std::optional<RequestCostModel::Duration> RequestCostModel::Shortest() const
{
  return mService.IsKnown() ? std::optional(FromMs(mService.Quantile(kShortestLevel)))
                            : std::nullopt;
}

} // namespace dandelionslip
