// Learns the normal latency of an upstream and detects steps away from it.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace dandelionslip {

/// Number of latest completions among which a latency step is detected. Also the number of
/// successes after which the baseline is known, of failures in a row that reset the ramp to cold,
/// and the smallest number of successes for a ramp step.
inline constexpr std::size_t kWindowCompletions = 8;

/// A latency this many times the baseline is a step.
inline constexpr std::int64_t kLatencyStepFactor = 4;

/// A latency below this many times the baseline is normal.
inline constexpr std::int64_t kNormalFactor = 2;

/// Learns the normal latency of one kind of work. Not thread-safe.
class LatencyBaseline
{
public:
  using Duration = RuntimeClock::duration;

  /// Records one completion. Failed work counts towards a step but does not change the baseline.
  void Record(TimePoint aNow, Duration aLatency, bool aSucceeded);

  bool IsKnown() const { return mKnown; }
  Duration Baseline() const { return mBaseline; }

  /// Whether the baseline is known and at least half of the recent completions took less than
  /// kNormalFactor times the baseline.
  bool IsNormal() const;

  /// Whether the last kWindowCompletions completions, but for at most one, were at least
  /// kLatencyStepFactor times the baseline.
  bool IsStepped() const;

  /// Forgets the recent completions but keeps the baseline.
  void ClearRecent();

  /// Sets the baseline of an earlier process; zero means unknown.
  void Restore(Duration aBaseline);

private:
  struct Sample
  {
    Duration mLatency{0};
    bool mSucceeded = false;
  };

  void LearnInitial(Duration aLatency);
  void Learn(TimePoint aNow, Duration aLatency);
  std::size_t CountAtLeast(std::int64_t aFactor) const;

  std::array<Sample, kWindowCompletions> mRecent{};
  std::size_t mRecentCount = 0;
  std::size_t mNext = 0;
  std::int64_t mLearntCount = 0;
  bool mKnown = false;
  Duration mBaseline{0};
  TimePoint mLearntAt{};
};

} // namespace dandelionslip
