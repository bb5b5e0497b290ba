// Implements metrics with Boost.Accumulators and formats them as text.
#include "dandelionslip/Support/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace dandelionslip {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantileLevels{0.5, 0.9, 0.99};

using Accumulator = accumulators::accumulator_set<
  double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                              accumulators::tag::mean, accumulators::tag::extended_p_square>>;

std::string Series(const std::string& aName, const std::string& aLabels)
{
  return aLabels.empty() ? aName : aName + "{" + aLabels + "}";
}

} // namespace

struct Summary::State
{
  Accumulator mValues{accumulators::extended_p_square_probabilities = kQuantileLevels};
};

Summary::Summary()
  : mState(std::make_unique<State>())
{
}

Summary::~Summary() = default;

void Summary::Observe(double aValue)
{
  const std::lock_guard lock(mMutex);
  mState->mValues(aValue);
}

std::uint64_t Summary::Count() const
{
  const std::lock_guard lock(mMutex);
  return accumulators::count(mState->mValues);
}

double Summary::Mean() const
{
  const std::lock_guard lock(mMutex);
  return accumulators::count(mState->mValues) == 0 ? 0.0 : accumulators::mean(mState->mValues);
}

double Summary::Quantile(double aLevel) const
{
  const std::lock_guard lock(mMutex);
  for (std::size_t i = 0; i < kQuantileLevels.size(); ++i) {
    if (kQuantileLevels[i] == aLevel) {
      return accumulators::extended_p_square(mState->mValues)[i];
    }
  }
  return 0.0;
}

Counter& MetricsRegistry::CounterFor(std::string_view aName, std::string_view aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& slot = mCounters[{std::string(aName), std::string(aLabels)}];
  if (!slot) {
    slot = std::make_unique<Counter>();
  }
  return *slot;
}

Gauge& MetricsRegistry::GaugeFor(std::string_view aName, std::string_view aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& slot = mGauges[{std::string(aName), std::string(aLabels)}];
  if (!slot) {
    slot = std::make_unique<Gauge>();
  }
  return *slot;
}

Summary& MetricsRegistry::SummaryFor(std::string_view aName, std::string_view aLabels)
{
  const std::lock_guard lock(mMutex);
  auto& slot = mSummaries[{std::string(aName), std::string(aLabels)}];
  if (!slot) {
    slot = std::make_unique<Summary>();
  }
  return *slot;
}

std::string MetricsRegistry::Render() const
{
  const std::lock_guard lock(mMutex);
  std::ostringstream out;
  std::string lastName;
  const auto typeLine = [&](const std::string& aName, std::string_view aType) {
    if (aName != lastName) {
      out << "# TYPE " << aName << " " << aType << "\n";
      lastName = aName;
    }
  };
  for (const auto& [key, counter] : mCounters) {
    typeLine(key.first, "counter");
    out << Series(key.first, key.second) << " " << counter->Value() << "\n";
  }
  for (const auto& [key, gauge] : mGauges) {
    typeLine(key.first, "gauge");
    out << Series(key.first, key.second) << " " << gauge->Value() << "\n";
  }
  for (const auto& [key, summary] : mSummaries) {
    typeLine(key.first, "summary");
    const std::string separator = key.second.empty() ? "" : ",";
    for (const double rank : kQuantileLevels) {
      std::ostringstream quantile;
      quantile << "quantile=\"" << rank << "\"" << separator << key.second;
      out << Series(key.first, quantile.str()) << " " << summary->Quantile(rank) << "\n";
    }
    out << Series(key.first + "_count", key.second) << " " << summary->Count() << "\n";
  }
  return out.str();
}

} // namespace dandelionslip
