// Lowers a limit by what the upstream's endpoints report.
#include "dandelionslip/Agent/EndpointReports.h"

#include <algorithm>
#include <cmath>

namespace dandelionslip {

namespace {

// When a load report expires, the limit rises by a factor of at most 1.25, the largest step of the
// ramp.
constexpr double kSmallestFactor = 0.8;

// Time constant with which the limit follows reports: late reports must not make it oscillate.
constexpr double kSmoothingSeconds = 10;

std::uint32_t Scaled(std::uint32_t aLimit, std::uint32_t aCold, double aFactor)
{
  const auto scaled = static_cast<std::uint32_t>(std::lround(aLimit * aFactor));
  return std::clamp(scaled, std::min(aLimit, aCold), aLimit);
}

} // namespace

void EndpointReports::ReportHealth(TimePoint aNow, bool aHealthy)
{
  mHealthy = aHealthy;
  mHealthAt = aNow;
}

void EndpointReports::ReportLoad(TimePoint aNow, double aLoad)
{
  if (std::isnan(aLoad)) {
    return;
  }
  mFactorAtReport = LoadFactor(aNow);
  mTargetFactor = aLoad > 1.0 ? std::max(kSmallestFactor, 1.0 / aLoad) : 1.0;
  mLoadAt = aNow;
}

LoadLimit EndpointReports::Apply(TimePoint aNow, const LoadLimit& aLimit,
                                 const LoadLimit& aCold) const
{
  if (!mHealthy && aNow - mHealthAt <= kReportLifetime) {
    return ElementwiseMin(aLimit, aCold);
  }
  const double factor = LoadFactor(aNow);
  return {Scaled(aLimit.mSlots, aCold.mSlots, factor),
          Scaled(aLimit.mConnections, aCold.mConnections, factor)};
}

double EndpointReports::LoadFactor(TimePoint aNow) const
{
  if (aNow - mLoadAt > kReportLifetime) {
    return 1.0;
  }
  const double elapsed = std::chrono::duration<double>(aNow - mLoadAt).count();
  return mTargetFactor +
         (mFactorAtReport - mTargetFactor) * std::exp(-std::max(0.0, elapsed) / kSmoothingSeconds);
}

} // namespace dandelionslip
