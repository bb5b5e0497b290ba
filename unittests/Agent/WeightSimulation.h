// Event simulation of one service whose upstreams differ in speed and in the lag of their reports.
#pragma once

#include "dandelionslip/Agent/UpstreamAdmission.h"
#include "dandelionslip/Support/Random.h"

#include <cmath>
#include <deque>
#include <queue>
#include <vector>

namespace dandelionslip {

/// Requests are spread in proportion to announced weights; weights, service means and load reports
/// reach their readers with the lag of each upstream.
class WeightSimulation
{
public:
  struct Upstream
  {
    explicit Upstream(const ServiceSpec& aSpec, TimePoint aNow)
      : mAdmission(aSpec, aNow)
    {
    }

    UpstreamAdmission mAdmission;
    double mLatencySeconds = 0; ///< When idle; 1.5 times this when full.
    std::size_t mLagTicks = 0;
    std::deque<std::uint32_t> mWeights; ///< One for each tick, newest first.
    std::deque<double> mRates;
    std::deque<double> mLoads;
    std::vector<std::uint32_t> mWeightHistory;
    double mBusySeconds = 0;
    std::uint32_t mLargestShareExcess = 0; ///< Weight above the ramp share, at its worst.
  };

  static constexpr Milliseconds kTick{250};
  static constexpr std::size_t kLargestLagTicks = 40; ///< 10 s.

  WeightSimulation(std::uint64_t aSeed, std::size_t aUpstreams, double aLoad)
    : mRandom(aSeed)
  {
    double capacity = 0;
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      Upstream& upstream = mUpstreams.emplace_back(mSpec, mNow);
      upstream.mLatencySeconds = 0.05 * (1.0 + 3.0 * mRandom.Unit());
      upstream.mLagTicks = mRandom.Below(kLargestLagTicks + 1);
      capacity += mSpec.mSlots / (1.5 * upstream.mLatencySeconds);
    }
    mArrivalsPerSecond = aLoad * capacity;
  }

  /// Runs for a time and records the weight of every upstream each second.
  void Run(std::chrono::seconds aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      Tick();
      const TimePoint next = mNow + kTick;
      for (TimePoint arrival = NextArrival(mNow); arrival < next; arrival = NextArrival(arrival)) {
        FinishUntil(arrival);
        Arrive(arrival);
      }
      FinishUntil(next);
      mNow = next;
    }
  }

  /// Forgets what has been measured so far.
  void StartMeasuring()
  {
    for (Upstream& upstream : mUpstreams) {
      upstream.mWeightHistory.clear();
      upstream.mBusySeconds = 0;
    }
  }

  /// Makes the first upstreams cold.
  void RestartSome(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mUpstreams[i].mAdmission.ObserveRestart(mNow);
    }
  }

  std::vector<Upstream>& Upstreams() { return mUpstreams; }
  std::uint64_t Refused() const { return mRefused; }
  std::uint64_t Arrived() const { return mArrived; }

private:
  struct Running
  {
    TimePoint mEnd;
    TimePoint mStart;
    std::size_t mUpstream;
    bool operator>(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };

  TimePoint NextArrival(TimePoint aAfter)
  {
    const std::chrono::duration<double> gap(-std::log(1.0 - mRandom.Unit()) / mArrivalsPerSecond);
    return aAfter + std::chrono::duration_cast<RuntimeClock::duration>(gap);
  }

  template <typename T>
  static T Lagged(const std::deque<T>& aValues, std::size_t aLagTicks)
  {
    return aValues.empty() ? T{} : aValues[std::min(aLagTicks, aValues.size() - 1)];
  }

  template <typename T>
  static void Keep(std::deque<T>& aValues, T aValue)
  {
    aValues.push_front(aValue);
    aValues.resize(std::min(aValues.size(), kLargestLagTicks + 1));
  }

  void Tick()
  {
    double total = 0;
    for (const Upstream& upstream : mUpstreams) {
      total += Lagged(upstream.mRates, upstream.mLagTicks);
    }
    for (Upstream& upstream : mUpstreams) {
      upstream.mAdmission.SetServiceMean(total / static_cast<double>(mUpstreams.size()));
      ReportLoad(upstream);
      const std::uint32_t weight = upstream.mAdmission.UpdateWeight(mNow);
      CheckShare(upstream, weight);
      Keep(upstream.mWeights, weight);
      Keep(upstream.mRates, upstream.mAdmission.Estimator().CompletionRate());
      upstream.mWeightHistory.push_back(weight);
    }
  }

  // The load endpoint reports the work of up to 10 s ago and counts one request too many, so that
  // it at times reports overload. Every fifth one always reports an idle upstream.
  void ReportLoad(Upstream& aUpstream)
  {
    const double load =
      (1.0 + aUpstream.mAdmission.SlotsInUse()) / static_cast<double>(mSpec.mSlots);
    Keep(aUpstream.mLoads, load);
    const bool reportsIdle = aUpstream.mLagTicks % 5 == 0;
    aUpstream.mAdmission.ReportLoad(
      mNow, reportsIdle ? 0.0 : Lagged(aUpstream.mLoads, aUpstream.mLagTicks));
    aUpstream.mAdmission.ReportHealth(mNow, true);
  }

  static void CheckShare(Upstream& aUpstream, std::uint32_t aWeight)
  {
    const ColdStartRamp& ramp = aUpstream.mAdmission.Ramp();
    const auto share = static_cast<std::uint32_t>(ramp.Share() * kFullWeight);
    if (!ramp.IsComplete() && aWeight > share) {
      aUpstream.mLargestShareExcess = std::max(aUpstream.mLargestShareExcess, aWeight - share);
    }
  }

  std::size_t Choose()
  {
    std::uint64_t total = 0;
    for (const Upstream& upstream : mUpstreams) {
      total += Lagged(upstream.mWeights, upstream.mLagTicks);
    }
    std::uint64_t point = mRandom.Below(total);
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      const std::uint64_t weight = Lagged(mUpstreams[i].mWeights, mUpstreams[i].mLagTicks);
      if (point < weight) {
        return i;
      }
      point -= weight;
    }
    return 0;
  }

  void Arrive(TimePoint aNow)
  {
    ++mArrived;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const std::size_t index = Choose();
      Upstream& upstream = mUpstreams[index];
      if (!upstream.mAdmission.TryStartSlot(aNow)) {
        Start(aNow, index);
        return;
      }
    }
    ++mRefused;
  }

  void Start(TimePoint aNow, std::size_t aIndex)
  {
    Upstream& upstream = mUpstreams[aIndex];
    const double occupancy =
      static_cast<double>(upstream.mAdmission.SlotsInUse()) / static_cast<double>(mSpec.mSlots);
    const std::chrono::duration<double> latency(upstream.mLatencySeconds * (1.0 + 0.5 * occupancy) *
                                                (0.8 + 0.4 * mRandom.Unit()));
    upstream.mBusySeconds += latency.count();
    const auto length = std::chrono::duration_cast<RuntimeClock::duration>(latency);
    mRunning.push({aNow + length, aNow, aIndex});
  }

  void FinishUntil(TimePoint aTime)
  {
    while (!mRunning.empty() && mRunning.top().mEnd <= aTime) {
      const Running done = mRunning.top();
      mRunning.pop();
      mUpstreams[done.mUpstream].mAdmission.FinishSlot(done.mEnd, done.mEnd - done.mStart,
                                                       CompletionResult::Success);
    }
  }

  Random mRandom;
  ServiceSpec mSpec;
  TimePoint mNow{std::chrono::hours(1)};
  std::vector<Upstream> mUpstreams;
  double mArrivalsPerSecond = 0;
  std::uint64_t mArrived = 0;
  std::uint64_t mRefused = 0;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> mRunning;
};

} // namespace dandelionslip
