// Reports of the upstream's health and load endpoints.
#pragma once

#include "dandelionslip/Agent/LoadLimit.h"
#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// Keeps the latest reports and lowers a load limit according to them. Reports may be late, stuck
/// or wrong, so they never raise the limit. Not thread-safe.
class EndpointReports
{
public:
  /// A report older than this has no effect. Longer than the largest known lag of 10 s.
  static constexpr Milliseconds kReportLifetime{15'000};

  void ReportHealth(TimePoint aNow, bool aHealthy);

  /// Records the reported load; 1 is full, larger values mean overload.
  void ReportLoad(TimePoint aNow, double aLoad);

  /// Returns aLimit lowered by the reports, but not below the smaller of aLimit and aCold.
  LoadLimit Apply(TimePoint aNow, const LoadLimit& aLimit, const LoadLimit& aCold) const;

private:
  double LoadFactor(TimePoint aNow) const;

  bool mHealthy = true;
  TimePoint mHealthAt{};
  double mFactorAtReport = 1.0; ///< Load factor when the last load report arrived.
  double mTargetFactor = 1.0;   ///< Load factor that the last load report asks for.
  TimePoint mLoadAt{};
};

} // namespace dandelionslip
