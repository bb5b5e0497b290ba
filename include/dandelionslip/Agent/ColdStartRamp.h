// Load limit of an upstream that starts cold or has become cold again.
#pragma once

#include "dandelionslip/Agent/CompletionResult.h"
#include "dandelionslip/Agent/LatencyBaseline.h"
#include "dandelionslip/Agent/LoadLimit.h"
#include "dandelionslip/Agent/WorkKind.h"

#include <array>
#include <optional>
#include <string_view>

namespace dandelionslip {

/// Shortest time between two steps up.
inline constexpr Milliseconds kRampStepInterval{1000};

/// Why the limit was set to the cold limit.
enum class ColdReason
{
  Started,     ///< The agent started.
  LatencyStep, ///< See LatencyBaseline::IsStepped.
  Shed,        ///< The upstream shed load.
  Failures,    ///< kWindowCompletions failures in a row.
  Restarted,   ///< The upstream was seen to restart.
};

std::span<const EnumName<ColdReason>> EnumNames(ColdReason);

/// Raises the limit in steps from the cold to the full limit. Each step needs a window of
/// successful completions at normal latency. Reports of health and load endpoints are not an input.
/// Not thread-safe.
class ColdStartRamp
{
public:
  using Duration = RuntimeClock::duration;

  ColdStartRamp(const ServiceSpec& aSpec, TimePoint aNow);

  /// Records how work ended. Returns the reason if this lowered the limit to the cold limit.
  std::optional<ColdReason> OnCompletion(TimePoint aNow, Duration aLatency,
                                         CompletionResult aResult, WorkKind aKind);

  /// Lowers the limit to the cold limit at once.
  void ResetToCold(TimePoint aNow, ColdReason aReason);

  /// Applies changed limits; this never raises the current limit.
  void UpdateSpec(const ServiceSpec& aSpec, TimePoint aNow);

  const LoadLimit& Limit() const { return mLimit; }
  const LoadLimit& Full() const { return mFull; }
  const LoadLimit& Cold() const { return mCold; }
  bool IsComplete() const { return mLimit == mFull; }
  ColdReason LastReason() const { return mReason; }
  const LatencyBaseline& Baseline(WorkKind aKind) const;

  /// Current limit divided by full limit, for slots or connections, whichever gives less; 0 to 1.
  double Share() const;

  /// Restores limit and baselines of an earlier process; the limit is clamped to the range from the
  /// cold to the full limit.
  void Restore(const LoadLimit& aLimit, Duration aRequestBaseline, Duration aFlowBaseline,
               TimePoint aNow);

private:
  std::optional<ColdReason> DetectCold(const LatencyBaseline& aBaseline) const;
  void CountSuccess(TimePoint aNow, Duration aLatency, const LatencyBaseline& aBaseline);
  void StepUp(TimePoint aNow);
  std::uint32_t SuccessesPerStep() const;
  /// The connection limit that lies as far between cold and full limit as aSlots does. Connections
  /// do not grow beyond it, so that they are not ahead of the slots.
  std::uint32_t MatchingConnections(std::uint32_t aSlots) const;
  LatencyBaseline& BaselineOf(WorkKind aKind);

  LoadLimit mFull;
  LoadLimit mCold;
  LoadLimit mLimit;
  ColdReason mReason = ColdReason::Started;
  TimePoint mChangedAt;
  std::uint32_t mSuccesses = 0;
  std::uint32_t mFailuresInRow = 0;
  std::array<LatencyBaseline, kWorkKindCount> mBaselines;
};

} // namespace dandelionslip
