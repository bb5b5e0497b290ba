// What the health and load endpoints of an upstream report.
#pragma once

#include "dandelionslip/Agent/LoadLimit.h"
#include "dandelionslip/Support/RuntimeClock.h"

namespace dandelionslip {

/// Turns reports into a factor on the limit that is never above 1: reports may lag, be stuck or be
/// wrong, so they can lower the load but never attract it. Not thread-safe.
class EndpointHints
{
public:
  /// A report older than this has no effect. Longer than the largest known lag of 10 s.
  static constexpr Milliseconds kReportLifetime{15'000};

  /// Records the reported health.
  void ReportHealth(TimePoint aNow, bool aHealthy);

  /// Records the reported load; 1 is full, larger values mean overload.
  void ReportLoad(TimePoint aNow, double aLoad);

  /// Lowers a limit, but not below the smaller of it and aCold.
  LoadLimit Apply(TimePoint aNow, const LoadLimit& aLimit, const LoadLimit& aCold) const;

private:
  double LoadFactor(TimePoint aNow) const;

  bool mHealthy = true;
  TimePoint mHealthAt{};
  double mFactor = 1.0;
  double mTarget = 1.0;
  TimePoint mLoadAt{};
};

} // namespace dandelionslip
