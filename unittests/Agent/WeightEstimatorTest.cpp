// Tests of the weight that an agent announces.
#include "WeightSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

class WeightEstimatorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WeightEstimatorTest);
  CPPUNIT_TEST(UnevenUpstreamsConverge);
  CPPUNIT_TEST(StepsAreBounded);
  CPPUNIT_TEST(ColdWeightFollowsTheRampDownAtOnce);
  CPPUNIT_TEST(FastFailuresDoNotAttractLoad);
  CPPUNIT_TEST_SUITE_END();

  // Guards against weights that oscillate because reports are late, and against upstreams of
  // unequal speed being loaded unequally.
  void UnevenUpstreamsConverge()
  {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      WeightSimulation simulation(seed, 20, 0.6);
      simulation.Run(seconds(60));
      simulation.RestartSome(3);
      simulation.Run(seconds(120));
      const auto measuredTicks = static_cast<std::ptrdiff_t>(180 * 4);
      simulation.Run(seconds(180));
      double widestSwing = 0;
      double busiest = 0;
      double busySum = 0;
      for (const auto& upstream : simulation.Upstreams()) {
        CPPUNIT_ASSERT(upstream.mAdmission.State() == UpstreamState::Serving);
        CPPUNIT_ASSERT(!upstream.mExceededShare);
        const auto& weights = upstream.mWeights;
        const auto [low, high] = std::minmax_element(weights.end() - measuredTicks, weights.end());
        widestSwing = std::max(widestSwing, static_cast<double>(*high) / *low);
        const auto& total = upstream.mBusySeconds;
        const double busy = total.back() - *(total.end() - 1 - measuredTicks);
        busiest = std::max(busiest, busy);
        busySum += busy;
      }
      const double imbalance = busiest * 20 / busySum;
      // One step of the weight is a factor of 1.25; a larger range would be an oscillation.
      CPPUNIT_ASSERT(widestSwing <= WeightEstimator::kMaxStepFactor);
      constexpr double kMaxImbalance = 1.05;
      CPPUNIT_ASSERT(imbalance <= kMaxImbalance);
    }
  }

  // Guards against a single outlier that moves many buckets.
  void StepsAreBounded()
  {
    WeightEstimator estimator(kStart);
    TimePoint now = kStart;
    Random random(5);
    std::uint32_t last = estimator.Update(now, 1.0);
    TimePoint changedAt = now - seconds(1);
    for (int i = 0; i < 20'000; ++i) {
      now += Milliseconds(random.Below(100));
      estimator.SetServiceMean(1.0 + 30.0 * random.Unit());
      estimator.OnOccupancy(now, static_cast<std::uint32_t>(random.Below(5)));
      estimator.OnCompletion(now, CompletionResult::Success);
      const std::uint32_t weight = estimator.Update(now, 1.0);
      if (weight != last) {
        CPPUNIT_ASSERT(now - changedAt >= seconds(1));
        CPPUNIT_ASSERT(weight <= last * 1.25 && weight >= last / 1.25 - 1e-9);
        changedAt = now;
        last = weight;
      }
    }
    CPPUNIT_ASSERT(changedAt - kStart > seconds(100));
  }

  // Guards against a cold upstream being announced with the weight of a warm one.
  void ColdWeightFollowsTheRampDownAtOnce()
  {
    WeightEstimator estimator(kStart);
    CPPUNIT_ASSERT_EQUAL(50U, estimator.Update(kStart, 0.05));
    TimePoint now = kStart;
    for (int second = 1; second <= 14; ++second) {
      now += seconds(1);
      const std::uint32_t before = estimator.Weight();
      CPPUNIT_ASSERT(estimator.Update(now, 1.0) <= before * 1.25);
    }
    CPPUNIT_ASSERT_EQUAL(kFullWeight, estimator.Weight());
    CPPUNIT_ASSERT_EQUAL(50U, estimator.Update(now, 0.05));
    CPPUNIT_ASSERT_EQUAL(1U, WeightEstimator(kStart).Update(kStart, 0.0));
  }

  // Guards against an upstream that fails quickly being taken for a fast one.
  void FastFailuresDoNotAttractLoad()
  {
    WeightEstimator estimator(kStart);
    estimator.SetServiceMean(20);
    TimePoint now = kStart;
    for (int i = 0; i < 20'000; ++i) {
      estimator.OnOccupancy(now, 1);
      const bool fails = i % 2 == 0;
      now += Milliseconds(fails ? 1 : 50);
      estimator.OnCompletion(now, fails ? CompletionResult::Failed : CompletionResult::Success);
      estimator.OnOccupancy(now, 0);
      estimator.Update(now, 1.0);
    }
    CPPUNIT_ASSERT(estimator.Weight() <= kFullWeight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightEstimatorTest);

} // namespace

} // namespace dandelionslip
