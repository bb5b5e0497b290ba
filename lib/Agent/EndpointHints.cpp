// Lowers a limit by what the upstream's endpoints report.
#include "dandelionslip/Agent/EndpointHints.h"

#include <algorithm>
#include <cmath>

namespace dandelionslip {

namespace {

// A report that lapses gives back at most a factor of 1.25, the largest step of the ramp.
constexpr double kSmallestFactor = 0.8;

// Lagging reports must not make the limit swing, so it follows them slowly.
constexpr double kFollowSeconds = 10;

std::uint32_t Scaled(std::uint32_t aLimit, std::uint32_t aCold, double aFactor)
{
  const auto scaled = static_cast<std::uint32_t>(std::lround(aLimit * aFactor));
  return std::clamp(scaled, std::min(aLimit, aCold), aLimit);
}

} // namespace

void EndpointHints::ReportHealth(TimePoint aNow, bool aHealthy)
{
  mHealthy = aHealthy;
  mHealthAt = aNow;
}

void EndpointHints::ReportLoad(TimePoint aNow, double aLoad)
{
  if (std::isnan(aLoad)) {
    return;
  }
  mFactor = LoadFactor(aNow);
  mTarget = aLoad > 1.0 ? std::max(kSmallestFactor, 1.0 / aLoad) : 1.0;
  mLoadAt = aNow;
}

LoadLimit EndpointHints::Apply(TimePoint aNow, const LoadLimit& aLimit,
                               const LoadLimit& aCold) const
{
  if (!mHealthy && aNow - mHealthAt <= kReportLifetime) {
    return Smaller(aLimit, aCold);
  }
  const double factor = LoadFactor(aNow);
  return {Scaled(aLimit.mSlots, aCold.mSlots, factor),
          Scaled(aLimit.mConnections, aCold.mConnections, factor)};
}

double EndpointHints::LoadFactor(TimePoint aNow) const
{
  if (aNow - mLoadAt > kReportLifetime) {
    return 1.0;
  }
  const double elapsed = std::chrono::duration<double>(aNow - mLoadAt).count();
  return mTarget + (mFactor - mTarget) * std::exp(-std::max(0.0, elapsed) / kFollowSeconds);
}

} // namespace dandelionslip
