// Event simulation of one service whose upstreams differ in speed and in the lag of their reports.
#pragma once

#include "dandelionslip/Agent/UpstreamAdmission.h"
#include "dandelionslip/Support/Random.h"

#include <cmath>
#include <deque>
#include <queue>
#include <vector>

namespace dandelionslip {

/// Distributes requests in proportion to the announced weights. Weights, completion rates and load
/// reports take effect with the lag of each upstream.
class WeightSimulation
{
public:
  static constexpr Milliseconds kTick{250};
  static constexpr std::uint64_t kLargestLagTicks = 40; ///< 10 s.

  struct Upstream
  {
    Upstream(const ServiceSpec& aSpec, TimePoint aNow, double aLatencySeconds, std::size_t aLag)
      : mAdmission(aSpec, aNow)
      , mLatencySeconds(aLatencySeconds)
      , mLagTicks(aLag)
    {
    }

    template <typename T>
    T Lagged(const std::vector<T>& aHistory) const
    {
      return aHistory[aHistory.size() - 1 - std::min(mLagTicks, aHistory.size() - 1)];
    }

    UpstreamAdmission mAdmission;
    double mLatencySeconds; ///< When idle; 1.5 times this when full.
    std::size_t mLagTicks;
    // The vectors have one entry for each tick.
    std::vector<std::uint32_t> mWeights{1};
    std::vector<double> mRates{0};
    std::vector<double> mLoads{0};
    std::vector<double> mBusySeconds{0}; ///< Total up to each tick.
    bool mExceededShare = false;         ///< Announced more than its ramp share.
  };

  WeightSimulation(std::uint64_t aSeed, std::size_t aUpstreams, double aLoad)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      const double latency = 0.05 * (1.0 + 3.0 * mRandom.Unit());
      mUpstreams.emplace_back(mSpec, mNow, latency, mRandom.Below(kLargestLagTicks + 1));
      mArrivalsPerSecond += aLoad * mSpec.mSlots / (1.5 * latency);
    }
  }

  void Run(std::chrono::seconds aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      Tick();
      const TimePoint next = mNow + kTick;
      for (TimePoint arrival = NextArrival(mNow); arrival < next; arrival = NextArrival(arrival)) {
        FinishUntil(arrival);
        // A refused request goes to one other upstream.
        Start(arrival, Choose()) || Start(arrival, Choose());
      }
      FinishUntil(next);
      mNow = next;
    }
  }

  /// Makes the first upstreams cold.
  void RestartSome(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mUpstreams[i].mAdmission.ObserveRestart(mNow);
    }
  }

  const std::deque<Upstream>& Upstreams() const { return mUpstreams; }

private:
  struct Running
  {
    TimePoint mEnd;
    TimePoint mStart;
    Upstream* mUpstream;
    bool operator>(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };

  TimePoint NextArrival(TimePoint aAfter)
  {
    const std::chrono::duration<double> gap(-std::log(1.0 - mRandom.Unit()) / mArrivalsPerSecond);
    return aAfter + std::chrono::duration_cast<RuntimeClock::duration>(gap);
  }

  void Tick()
  {
    double total = 0;
    for (const Upstream& upstream : mUpstreams) {
      total += upstream.Lagged(upstream.mRates);
    }
    for (Upstream& upstream : mUpstreams) {
      UpstreamAdmission& admission = upstream.mAdmission;
      admission.SetServiceMean(total / static_cast<double>(mUpstreams.size()));
      ReportLoad(upstream);
      const std::uint32_t weight = admission.UpdateWeight(mNow);
      const ColdStartRamp& ramp = admission.Ramp();
      upstream.mExceededShare |= !ramp.IsComplete() && weight > ramp.Share() * kFullWeight;
      upstream.mWeights.push_back(weight);
      upstream.mRates.push_back(admission.Estimator().CompletionRate());
      upstream.mBusySeconds.push_back(upstream.mBusySeconds.back());
    }
  }

  // The load endpoint reports the work of up to 10 s ago and counts one request too many, so that
  // it at times reports overload. Endpoints whose lag is a multiple of five ticks always report an
  // idle upstream.
  void ReportLoad(Upstream& aUpstream)
  {
    UpstreamAdmission& admission = aUpstream.mAdmission;
    aUpstream.mLoads.push_back((1.0 + admission.SlotsInUse()) / mSpec.mSlots);
    const bool reportsIdle = aUpstream.mLagTicks % 5 == 0;
    admission.ReportLoad(mNow, reportsIdle ? 0.0 : aUpstream.Lagged(aUpstream.mLoads));
    admission.ReportHealth(mNow, true);
  }

  Upstream& Choose()
  {
    std::uint64_t total = 0;
    for (const Upstream& upstream : mUpstreams) {
      total += upstream.Lagged(upstream.mWeights);
    }
    std::uint64_t point = mRandom.Below(total);
    std::size_t chosen = 0;
    while (point >= mUpstreams[chosen].Lagged(mUpstreams[chosen].mWeights)) {
      point -= mUpstreams[chosen].Lagged(mUpstreams[chosen].mWeights);
      ++chosen;
    }
    return mUpstreams[chosen];
  }

  bool Start(TimePoint aNow, Upstream& aUpstream)
  {
    if (aUpstream.mAdmission.TryStartRequest(aNow)) {
      return false;
    }
    const double occupancy = 1.0 * aUpstream.mAdmission.SlotsInUse() / mSpec.mSlots;
    const double jitter = 0.8 + 0.4 * mRandom.Unit();
    const double latency = aUpstream.mLatencySeconds * (1.0 + 0.5 * occupancy) * jitter;
    aUpstream.mBusySeconds.back() += latency;
    const auto length =
      std::chrono::duration_cast<RuntimeClock::duration>(std::chrono::duration<double>(latency));
    mRunning.push({aNow + length, aNow, &aUpstream});
    return true;
  }

  void FinishUntil(TimePoint aTime)
  {
    for (; !mRunning.empty() && mRunning.top().mEnd <= aTime; mRunning.pop()) {
      const auto& [end, start, upstream] = mRunning.top();
      upstream->mAdmission.FinishRequest(end, end - start, CompletionResult::Success);
    }
  }

  Random mRandom;
  ServiceSpec mSpec;
  TimePoint mNow{std::chrono::hours(1)};
  std::deque<Upstream> mUpstreams;
  double mArrivalsPerSecond = 0;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> mRunning;
};

} // namespace dandelionslip
