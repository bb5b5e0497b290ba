// Choice of the upstream for a new flow.
#include "dandelionslip/Packet/Placement.h"

#include <algorithm>
#include <vector>

namespace dandelionslip {

namespace {

// Factor on the capacity of a cold upstream, which runs requests at about half its speed and
// accepts few flows.
constexpr double kColdSpeedFactor = 0.5;

constexpr double kMilli = 1000.0;

double SlotSpeed(const LoadReport& aReport, double aMeanSpeed)
{
  return aReport.mMilliRequestsPerSlotSecond == 0 ? aMeanSpeed
                                                  : aReport.mMilliRequestsPerSlotSecond / kMilli;
}

} // namespace

double MeanSlotSpeed(std::span<const PlacementCandidate> aCandidates)
{
  double sum = 0;
  std::size_t known = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    if (candidate.mReport->mMilliRequestsPerSlotSecond > 0) {
      sum += candidate.mReport->mMilliRequestsPerSlotSecond / kMilli;
      ++known;
    }
  }
  return known == 0 ? kDefaultSlotSpeed : sum / static_cast<double>(known);
}

double PlacementScore(const PlacementCandidate& aCandidate, double aMeanSpeed)
{
  const LoadReport& report = *aCandidate.mReport;
  const double slots = std::max<std::uint32_t>(report.mSlots, 1);
  const double capacity =
    slots * SlotSpeed(report, aMeanSpeed) * (report.mCold ? kColdSpeedFactor : 1.0);
  // Requests that exceed the slots wait. Each counts like a flow that sends all the time.
  const double waiting = report.mRequests > report.mSlots ? report.mRequests - slots : 0.0;
  return (report.mFlows + aCandidate.mPlacedSinceReport + 1.0 + waiting) / capacity;
}

std::optional<std::size_t> ChoosePlacement(std::span<const PlacementCandidate> aCandidates,
                                           Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const double meanSpeed = MeanSlotSpeed(aCandidates);
  std::vector<double> scores;
  scores.reserve(aCandidates.size());
  for (const PlacementCandidate& candidate : aCandidates) {
    scores.push_back(PlacementScore(candidate, meanSpeed));
  }
  const double limit = *std::min_element(scores.begin(), scores.end()) * kPlacementTolerance;
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < scores.size(); ++i) {
    if (scores[i] <= limit) {
      best.push_back(aCandidates[i].mIndex);
    }
  }
  return best[aRandom.Below(best.size())];
}

} // namespace dandelionslip
