// Tests of the load limit during cold start.
#include "dandelionslip/Agent/ColdStartRamp.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

using Result = CompletionResult;

// A ramp with its own clock and 20 completions a second.
struct RampDriver
{
  explicit RampDriver(std::uint32_t aSlots = 4)
    : mSpec(Spec(aSlots))
    , mRamp(mSpec, mNow)
  {
  }

  static ServiceSpec Spec(std::uint32_t aSlots)
  {
    ServiceSpec spec;
    spec.mSlots = aSlots;
    return spec;
  }

  std::optional<ColdReason> Complete(Milliseconds aLatency, Result aResult = Result::Success)
  {
    mNow += Milliseconds(50);
    return mRamp.OnCompletion(mNow, aLatency, aResult, WorkKind::Request);
  }

  // Completions of about aLatency; stops when the ramp is reset to the cold limit.
  std::optional<ColdReason> Run(int aCount, Milliseconds aLatency)
  {
    for (int i = 0; i < aCount; ++i) {
      const double jitter = 0.8 + 0.4 * mRandom.Unit();
      const auto latency =
        static_cast<std::int64_t>(jitter * static_cast<double>(aLatency.count()));
      if (const auto reason = Complete(Milliseconds(latency))) {
        return reason;
      }
    }
    return std::nullopt;
  }

  TimePoint mNow{std::chrono::hours(1)};
  Random mRandom{11};
  ServiceSpec mSpec;
  ColdStartRamp mRamp;
};

// More completions than a ramp of four slots needs to reach the full limit.
constexpr int kRampCompletions = 1000;

class ColdStartRampTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ColdStartRampTest);
  CPPUNIT_TEST(GrowthIsBounded);
  CPPUNIT_TEST(UnannouncedColdUpstreamIsSeenInEightCompletions);
  CPPUNIT_TEST(ColdUpstreamIsSeenInSparseTraffic);
  CPPUNIT_TEST(ShedRestartAndFailuresResetAtOnce);
  CPPUNIT_TEST(NoiseDoesNotResetToCold);
  CPPUNIT_TEST(SlowUpstreamDoesNotGrow);
  CPPUNIT_TEST(PermanentlySlowerUpstreamRampsUpAgain);
  CPPUNIT_TEST(WorkStartedBeforeAChangeIsNotCounted);
  CPPUNIT_TEST(ChangedServiceNeverRaisesTheLimit);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a limit that grows by more than one step a second.
  void GrowthIsBounded()
  {
    for (const std::uint32_t slots : {1U, 4U, 64U}) {
      RampDriver driver(slots);
      LoadLimit last = driver.mRamp.Limit();
      CPPUNIT_ASSERT(last == ColdLoadLimit(driver.mSpec));
      TimePoint steppedAt = driver.mNow;
      for (int i = 0; i < kRampCompletions * 3; ++i) {
        driver.Run(1, Milliseconds(20));
        const LoadLimit limit = driver.mRamp.Limit();
        if (limit != last) {
          CPPUNIT_ASSERT(driver.mNow - steppedAt >= kRampStepInterval);
          CPPUNIT_ASSERT(limit.mSlots <= std::max(last.mSlots + 1, last.mSlots * 5 / 4));
          CPPUNIT_ASSERT(limit.mConnections <= last.mConnections * 5 / 4);
          steppedAt = driver.mNow;
          last = limit;
        }
      }
      CPPUNIT_ASSERT(driver.mRamp.IsComplete());
      CPPUNIT_ASSERT_EQUAL(1.0, driver.mRamp.Share());
    }
  }

  // Guards against full load on an upstream that became cold without reporting it.
  void UnannouncedColdUpstreamIsSeenInEightCompletions()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(20));
    CPPUNIT_ASSERT(driver.mRamp.IsComplete());
    for (int i = 0; i < 7; ++i) {
      CPPUNIT_ASSERT(driver.mRamp.IsComplete());
      const auto reason = driver.Complete(Milliseconds(100));
      CPPUNIT_ASSERT(!reason || i == 6);
    }
    driver.Complete(Milliseconds(100));
    CPPUNIT_ASSERT(driver.mRamp.Limit() == driver.mRamp.Cold());
    CPPUNIT_ASSERT(driver.mRamp.LastReason() == ColdReason::LatencyStep);
    driver.Run(kRampCompletions, Milliseconds(20));
    CPPUNIT_ASSERT(driver.mRamp.IsComplete());
  }

  // Guards against a baseline that follows a step so fast that the step is not detected.
  void ColdUpstreamIsSeenInSparseTraffic()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(20));
    for (int i = 0; i < 8; ++i) {
      driver.mNow += std::chrono::seconds(5);
      driver.Complete(Milliseconds(100));
    }
    CPPUNIT_ASSERT(driver.mRamp.LastReason() == ColdReason::LatencyStep);
  }

  // Guards against a limit that stays high after the upstream shed load, restarted or failed eight
  // times in a row.
  void ShedRestartAndFailuresResetAtOnce()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(20));
    CPPUNIT_ASSERT(driver.Complete(Milliseconds(1), Result::Shed) == ColdReason::Shed);
    CPPUNIT_ASSERT(driver.mRamp.Limit() == driver.mRamp.Cold());
    driver.Run(kRampCompletions, Milliseconds(20));
    CPPUNIT_ASSERT(driver.mRamp.IsComplete());
    driver.mRamp.ResetToCold(driver.mNow, ColdReason::Restarted);
    CPPUNIT_ASSERT(driver.mRamp.Limit() == driver.mRamp.Cold());
    driver.Run(kRampCompletions, Milliseconds(20));
    std::optional<ColdReason> reason;
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(!reason);
      reason = driver.Complete(Milliseconds(2), Result::Failed);
    }
    CPPUNIT_ASSERT(reason == ColdReason::Failures);
  }

  // Guards against a reset to cold because of single slow or failed requests, cancelled requests,
  // scheduling delays of upstreams that answer within a millisecond, or a gradual change.
  void NoiseDoesNotResetToCold()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(20));
    for (int i = 0; i < kRampCompletions; ++i) {
      CPPUNIT_ASSERT(!driver.Run(4, Milliseconds(20)));
      CPPUNIT_ASSERT(!driver.Complete(Milliseconds(900)));
      CPPUNIT_ASSERT(!driver.Complete(Milliseconds(20), Result::Failed));
      CPPUNIT_ASSERT(!driver.Complete(Milliseconds(900), Result::Cancelled));
    }
    // The completions of 900 ms above have raised the baseline, so that 100 ms is not a step.
    for (int latencyMs = 100; latencyMs < 1000; ++latencyMs) {
      CPPUNIT_ASSERT(!driver.Run(4, Milliseconds(latencyMs)));
    }
    CPPUNIT_ASSERT(driver.mRamp.IsComplete());
    RampDriver fast;
    fast.Run(kRampCompletions, Milliseconds(0));
    CPPUNIT_ASSERT(!fast.Run(kRampCompletions, Milliseconds(3)));
  }

  // Guards against a cold upstream being given more load while it is still slow.
  void SlowUpstreamDoesNotGrow()
  {
    for (const int factor : {3, 5, 10, 100}) {
      RampDriver driver;
      driver.Run(kRampCompletions, Milliseconds(20));
      driver.mRamp.ResetToCold(driver.mNow, ColdReason::Restarted);
      const TimePoint start = driver.mNow;
      while (driver.mNow - start < std::chrono::seconds(60)) {
        driver.Run(1, Milliseconds(20 * factor));
        CPPUNIT_ASSERT(driver.mRamp.Limit() == driver.mRamp.Cold());
      }
    }
  }

  // Guards against an upstream that a new release made slower staying at its cold limit for ever.
  void PermanentlySlowerUpstreamRampsUpAgain()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(20));
    CPPUNIT_ASSERT(driver.Run(kRampCompletions, Milliseconds(200)) == ColdReason::LatencyStep);
    constexpr int kCompletionsInTenMinutes = 10 * 60 * 20;
    CPPUNIT_ASSERT(!driver.Run(kCompletionsInTenMinutes, Milliseconds(200)));
    CPPUNIT_ASSERT(driver.mRamp.IsComplete());
  }

  // Guards against a limit raised by completions of work that started before the reset to cold.
  void WorkStartedBeforeAChangeIsNotCounted()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(1500));
    driver.mRamp.ResetToCold(driver.mNow, ColdReason::Restarted);
    const TimePoint start = driver.mNow;
    while (driver.mNow - start < Milliseconds(1500)) {
      driver.Complete(Milliseconds(1500));
      CPPUNIT_ASSERT(driver.mRamp.Limit() == driver.mRamp.Cold());
    }
    driver.Run(kRampCompletions * 2, Milliseconds(1500));
    CPPUNIT_ASSERT(driver.mRamp.IsComplete());
  }

  // Guards against a changed service declaration that raises a cold upstream to its full limit.
  void ChangedServiceNeverRaisesTheLimit()
  {
    RampDriver driver;
    driver.Run(kRampCompletions, Milliseconds(20));
    ServiceSpec larger = driver.mSpec;
    larger.mSlots = 8;
    larger.mConnections = 4000;
    driver.mRamp.UpdateSpec(larger, driver.mNow);
    CPPUNIT_ASSERT((driver.mRamp.Limit() == LoadLimit{4, 2000}));
    CPPUNIT_ASSERT_EQUAL(0.5, driver.mRamp.Share());
    ServiceSpec smaller = driver.mSpec;
    smaller.mSlots = 2;
    driver.mRamp.UpdateSpec(smaller, driver.mNow);
    CPPUNIT_ASSERT((driver.mRamp.Limit() == LoadLimit{2, 2000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartRampTest);

} // namespace

} // namespace dandelionslip
