// Learns the normal latency of an upstream and detects steps away from it.
#include "dandelionslip/Agent/LatencyBaseline.h"

#include "dandelionslip/Support/Durations.h"

#include <algorithm>

namespace dandelionslip {

namespace {

using Duration = LatencyBaseline::Duration;

// Shorter latencies count as this long. Otherwise scheduling delays of the operating system would
// look like a step of an upstream that answers in microseconds.
constexpr Duration kShortestLatency = Milliseconds(1);

// Time constant with which the baseline follows normal completions.
constexpr double kLearnSeconds = 10;

// While the recent completions are not normal, the baseline follows 60 times more slowly. An
// upstream that stays cold for a minute then does not count as normal, but one that has become
// permanently slower does in the end and is not held at the cold limit for ever.
constexpr double kSlowLearnSeconds = 600;

constexpr double kLargestGain = 1.0 / kWindowCompletions;

} // namespace

void LatencyBaseline::Record(TimePoint aNow, Duration aLatency, bool aSucceeded)
{
  const Sample sample{std::max(aLatency, kShortestLatency), aSucceeded};
  if (aSucceeded && !mKnown) {
    LearnInitial(sample.mLatency);
    mLearntAt = aNow;
  }
  // A completion affects the baseline only when it leaves the recent ones, so that a step is
  // compared with the baseline from before the step.
  const Sample& oldest = mRecent[mNext];
  if (mKnown && mRecentCount == kWindowCompletions && oldest.mSucceeded) {
    Learn(aNow, oldest.mLatency);
  }
  mRecent[mNext] = sample;
  mNext = (mNext + 1) % kWindowCompletions;
  mRecentCount = std::min(mRecentCount + 1, kWindowCompletions);
}

bool LatencyBaseline::IsNormal() const
{
  return mKnown && CountAtLeast(kNormalFactor) * 2 <= mRecentCount;
}

bool LatencyBaseline::IsStepped() const
{
  return mKnown && mRecentCount == kWindowCompletions &&
         CountAtLeast(kLatencyStepFactor) + 1 >= kWindowCompletions;
}

void LatencyBaseline::ClearRecent()
{
  mRecentCount = 0;
  mNext = 0;
}

void LatencyBaseline::Restore(Duration aBaseline)
{
  mKnown = aBaseline > Duration::zero();
  mBaseline = mKnown ? std::max(aBaseline, kShortestLatency) : Duration::zero();
  mLearntCount = 0;
  ClearRecent();
}

void LatencyBaseline::LearnInitial(Duration aLatency)
{
  ++mLearntCount;
  mBaseline += (aLatency - mBaseline) / mLearntCount;
  mKnown = mLearntCount >= static_cast<std::int64_t>(kWindowCompletions);
}

void LatencyBaseline::Learn(TimePoint aNow, Duration aLatency)
{
  const double elapsed = std::max(0.0, Seconds(aNow - mLearntAt));
  const double gain =
    std::min(kLargestGain, elapsed / (IsNormal() ? kLearnSeconds : kSlowLearnSeconds));
  mBaseline += std::chrono::duration_cast<Duration>((aLatency - mBaseline) * gain);
  mLearntAt = aNow;
}

std::size_t LatencyBaseline::CountAtLeast(std::int64_t aFactor) const
{
  const auto last = mRecent.begin() + static_cast<std::ptrdiff_t>(mRecentCount);
  return static_cast<std::size_t>(
    std::count_if(mRecent.begin(), last, [bound = mBaseline * aFactor](const Sample& aSample) {
      return aSample.mLatency >= bound;
    }));
}

} // namespace dandelionslip
