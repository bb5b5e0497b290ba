// Tests of admission to the agent's upstream.
#include "dandelionslip/Agent/UpstreamAdmission.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>
#include <map>
#include <vector>

namespace dandelionslip {

namespace {

using Result = CompletionResult;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

void MakeWarm(UpstreamAdmission& aAdmission, TimePoint& aNow)
{
  while (aAdmission.State() == UpstreamState::Cold) {
    aNow += Milliseconds(100);
    aAdmission.ObserveAnswer(aNow, Milliseconds(5));
  }
}

// The largest limit that one step a second from the cold limit permits.
std::uint32_t LargestAfter(std::uint32_t aLimit, std::int64_t aSteps, std::uint32_t aFull)
{
  for (; aSteps > 0 && aLimit < aFull; --aSteps) {
    aLimit = std::max(aLimit + 1, aLimit * 5 / 4);
  }
  return std::min(aLimit, aFull);
}

// Applies random events to an admission. Counts the admitted work itself and asserts that it stays
// within the limit that the time since the last reset to cold permits.
class RandomEventDriver
{
public:
  explicit RandomEventDriver(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mSpec.mSlots = 16;
    mSpec.mConnections = 200;
    mSpec.mColdLimit = {2, 10};
    mAdmission.emplace(mSpec, mNow);
  }

  void Step()
  {
    mNow += std::chrono::microseconds(mRandom.Below(4000));
    const auto event = mRandom.Below(2000);
    if (event <= 1) {
      event == 0 ? mAdmission->ObserveRestart(mNow) : mAdmission->ObserveShed(mNow);
      mColdAt = mNow;
    } else if (event == 2) {
      mAdmission->ReportHealth(mNow, mRandom.Below(4) != 0);
      mAdmission->ReportLoad(mNow, 2.0 * mRandom.Unit());
    } else {
      Work(event % 4);
    }
    CPPUNIT_ASSERT_EQUAL(mSlots, mAdmission->SlotsInUse());
    CPPUNIT_ASSERT_EQUAL(mFlows, mAdmission->ConnectionsInUse());
  }

  std::uint32_t mPeakSlots = 0;
  std::uint32_t mPeakFlows = 0;

private:
  void Work(std::uint64_t aKind)
  {
    const auto steps = std::chrono::duration_cast<seconds>(mNow - mColdAt).count();
    if (aKind == 0 && !mAdmission->TryStartRequest(mNow)) {
      CPPUNIT_ASSERT(++mSlots <= LargestAfter(2, steps, mSpec.mSlots));
    } else if (aKind == 1 && !mAdmission->TryOpenFlow(mNow)) {
      CPPUNIT_ASSERT(++mFlows <= LargestAfter(10, steps, mSpec.mConnections));
    } else if (aKind == 2 && mSlots > 0) {
      --mSlots;
      const bool shed = mRandom.Below(3000) == 0;
      mColdAt = shed ? mNow : mColdAt;
      mAdmission->FinishRequest(mNow, Milliseconds(5), shed ? Result::Shed : Result::Success);
    } else if (aKind == 3 && mFlows > 0 && mRandom.Below(3) == 0) {
      --mFlows;
      mAdmission->CloseFlow(mNow);
    }
    mPeakSlots = std::max(mPeakSlots, mSlots);
    mPeakFlows = std::max(mPeakFlows, mFlows);
  }

  Random mRandom;
  TimePoint mNow = kStart;
  TimePoint mColdAt = kStart;
  ServiceSpec mSpec;
  std::optional<UpstreamAdmission> mAdmission;
  std::uint32_t mSlots = 0;
  std::uint32_t mFlows = 0;
};

class UpstreamAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamAdmissionTest);
  CPPUNIT_TEST(LoadNeverExceedsTheBound);
  CPPUNIT_TEST(MisleadingEndpointsNeverRaiseTheLimit);
  CPPUNIT_TEST(HealthyReportsDoNotHideAResetToCold);
  CPPUNIT_TEST(BadReportsLowerTheLimit);
  CPPUNIT_TEST(ColdUpstreamTakesFlowsSlowly);
  CPPUNIT_TEST(SimultaneousReconnectsAreRateLimited);
  CPPUNIT_TEST(EstablishedFlowsSurviveAResetToCold);
  CPPUNIT_TEST(DrainingTakesNoNewWork);
  CPPUNIT_TEST(RefusalsNameTheLimitAndSpreadRetries);
  CPPUNIT_TEST(StateIsHandedOver);
  CPPUNIT_TEST_SUITE_END();

  // Guards against more work in flight than the ramp permits, whatever the order of events.
  void LoadNeverExceedsTheBound()
  {
    std::uint32_t peakSlots = 0;
    std::uint32_t peakFlows = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      RandomEventDriver run(seed);
      for (int i = 0; i < 20'000; ++i) {
        run.Step();
      }
      peakSlots = std::max(peakSlots, run.mPeakSlots);
      peakFlows = std::max(peakFlows, run.mPeakFlows);
    }
    // Checks that the runs came near the bound.
    CPPUNIT_ASSERT(peakSlots > 4);
    CPPUNIT_ASSERT(peakFlows > 20);
  }

  // Guards against endpoint reports that raise the load: idle, healthy, stuck, late or invalid
  // ones.
  void MisleadingEndpointsNeverRaiseTheLimit()
  {
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    const std::vector<double> loads{0, -5, kInfinity, -kInfinity, std::nan(""), 0.5, 1.5, 40};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      Random random(seed);
      UpstreamAdmission silent(ServiceSpec{}, kStart);
      UpstreamAdmission reported(ServiceSpec{}, kStart);
      TimePoint now = kStart;
      for (int i = 0; i < 4'000; ++i) {
        now += Milliseconds(random.Below(100));
        const Milliseconds latency(5 + random.Below(3) + (random.Below(500) == 0 ? 500 : 0));
        silent.ObserveAnswer(now, latency);
        reported.ObserveAnswer(now, latency);
        reported.ReportLoad(now, loads[random.Below(loads.size())]);
        reported.ReportHealth(now, random.Below(3) != 0);
        const LoadLimit limit = reported.Limit(now);
        CPPUNIT_ASSERT(limit == ElementwiseMin(limit, silent.Limit(now)));
        CPPUNIT_ASSERT(silent.Ramp().Cold() == ElementwiseMin(limit, silent.Ramp().Cold()));
        CPPUNIT_ASSERT(reported.UpdateWeight(now) <= silent.UpdateWeight(now));
      }
    }
  }

  // Guards against endpoint reports of low load and good health that hide a restart.
  void HealthyReportsDoNotHideAResetToCold()
  {
    TimePoint now = kStart;
    UpstreamAdmission admission(ServiceSpec{}, now);
    MakeWarm(admission, now);
    for (int i = 0; i < 8; ++i) {
      now += Milliseconds(10);
      admission.ReportHealth(now, true);
      admission.ReportLoad(now, 0.0);
      admission.ObserveAnswer(now, Milliseconds(50));
    }
    CPPUNIT_ASSERT(admission.State() == UpstreamState::Cold);
    CPPUNIT_ASSERT(admission.Limit(now) == admission.Ramp().Cold());
    CPPUNIT_ASSERT_EQUAL(50U, admission.UpdateWeight(now));
  }

  // Guards against reports of bad health or high load being ignored, or having an effect after
  // their lifetime.
  void BadReportsLowerTheLimit()
  {
    TimePoint now = kStart;
    UpstreamAdmission admission(ServiceSpec{}, now);
    MakeWarm(admission, now);
    admission.ReportHealth(now, false);
    CPPUNIT_ASSERT(admission.Limit(now) == admission.Ramp().Cold());
    CPPUNIT_ASSERT(admission.Limit(now + seconds(16)) == admission.Ramp().Full());
    admission.ReportHealth(now, true);
    admission.ReportLoad(now, 10);
    CPPUNIT_ASSERT(admission.Limit(now) == admission.Ramp().Full());
    now += seconds(14);
    CPPUNIT_ASSERT_EQUAL(3U, admission.Limit(now).mSlots);
    CPPUNIT_ASSERT(admission.Limit(now).mConnections >= 1600);
    CPPUNIT_ASSERT(admission.Limit(now).mConnections < 1750);
  }

  // Guards against a cold upstream being given flows at the rate of a warm one.
  void ColdUpstreamTakesFlowsSlowly()
  {
    UpstreamAdmission admission(ServiceSpec{}, kStart);
    int admitted = 0;
    for (int millisecond = 0; millisecond < 1000; ++millisecond) {
      admitted += admission.TryOpenFlow(kStart + Milliseconds(millisecond)) ? 0 : 1;
    }
    // 5% of 500 a second, plus a burst of a tenth of that.
    CPPUNIT_ASSERT(admitted >= 25 && admitted <= 28);
  }

  // Guards against overload when all callers reconnect at the same time.
  void SimultaneousReconnectsAreRateLimited()
  {
    TimePoint now = kStart;
    UpstreamAdmission admission(ServiceSpec{}, now);
    MakeWarm(admission, now);
    constexpr std::uint32_t kEstablished = 100;
    constexpr std::uint32_t kCallers = 1900;
    for (std::uint32_t i = 0; i < kEstablished; ++i) {
      admission.AddRestoredFlow();
    }
    const TimePoint begin = now;
    std::multimap<TimePoint, std::uint32_t> attempts;
    for (std::uint32_t i = 0; i < kCallers; ++i) {
      attempts.emplace(begin + std::chrono::microseconds(i * 50), 1);
    }
    std::map<std::int64_t, std::uint32_t> admittedBySecond;
    std::uint32_t mostAttempts = 0;
    while (!attempts.empty()) {
      const auto [time, attempt] = *attempts.begin();
      attempts.erase(attempts.begin());
      mostAttempts = std::max(mostAttempts, attempt);
      if (const auto refusal = admission.TryOpenFlow(time)) {
        CPPUNIT_ASSERT(refusal->mReason == RefusalReason::RateLimited);
        CPPUNIT_ASSERT(refusal->mRetryAfter >= RetrySchedule::kShortest);
        attempts.emplace(time + refusal->mRetryAfter, attempt + 1);
      } else {
        ++admittedBySecond[std::chrono::duration_cast<seconds>(time - begin).count()];
      }
    }
    // 500 a second plus a burst of 50.
    for (const auto& [second, admitted] : admittedBySecond) {
      CPPUNIT_ASSERT(admitted <= 550);
    }
    CPPUNIT_ASSERT(admittedBySecond.rbegin()->first <= 5);
    CPPUNIT_ASSERT(mostAttempts <= 4);
    CPPUNIT_ASSERT_EQUAL(kEstablished + kCallers, admission.ConnectionsInUse());
  }

  // Guards against breaking established flows when the limit falls, and against a service without
  // requests that could then never ramp up again.
  void EstablishedFlowsSurviveAResetToCold()
  {
    TimePoint now = kStart;
    UpstreamAdmission admission(ServiceSpec{}, now);
    MakeWarm(admission, now);
    for (int i = 0; i < 1500; ++i) {
      admission.AddRestoredFlow();
    }
    admission.ObserveRestart(now);
    CPPUNIT_ASSERT_EQUAL(1500U, admission.ConnectionsInUse());
    const auto refusal = admission.TryOpenFlow(now);
    CPPUNIT_ASSERT(refusal && refusal->mReason == RefusalReason::Cold);
    MakeWarm(admission, now);
    CPPUNIT_ASSERT(now - kStart < seconds(60));
    CPPUNIT_ASSERT(!admission.TryOpenFlow(now));
  }

  // Guards against new work on a draining upstream, and against losing count of its running work.
  void DrainingTakesNoNewWork()
  {
    TimePoint now = kStart;
    UpstreamAdmission admission(ServiceSpec{}, now);
    CPPUNIT_ASSERT(!admission.TryStartRequest(now));
    CPPUNIT_ASSERT(!admission.TryOpenFlow(now));
    admission.Drain();
    CPPUNIT_ASSERT(admission.TryStartRequest(now)->mReason == RefusalReason::Draining);
    CPPUNIT_ASSERT(admission.TryOpenFlow(now)->mReason == RefusalReason::Draining);
    CPPUNIT_ASSERT_EQUAL(0U, admission.UpdateWeight(now));
    admission.FinishRequest(now, Milliseconds(1), Result::Success);
    admission.CloseFlow(now);
    CPPUNIT_ASSERT_EQUAL(0U, admission.SlotsInUse() + admission.ConnectionsInUse());
    admission.Undrain();
    CPPUNIT_ASSERT(!admission.TryStartRequest(now));
  }

  // Guards against refusals that name the wrong limit, and against refused callers that retry at
  // the same time.
  void RefusalsNameTheLimitAndSpreadRetries()
  {
    TimePoint now = kStart;
    UpstreamAdmission admission(ServiceSpec{}, now);
    CPPUNIT_ASSERT(!admission.TryStartRequest(now));
    CPPUNIT_ASSERT(admission.TryStartRequest(now)->mReason == RefusalReason::Cold);
    MakeWarm(admission, now);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(!admission.TryStartRequest(now));
    }
    const auto first = admission.TryStartRequest(now);
    const auto second = admission.TryStartRequest(now);
    CPPUNIT_ASSERT(first->mReason == RefusalReason::SlotsFull);
    CPPUNIT_ASSERT(second->mRetryAfter > first->mRetryAfter);
    for (int i = 0; i < 2000; ++i) {
      admission.AddRestoredFlow();
    }
    CPPUNIT_ASSERT(admission.TryOpenFlow(now)->mReason == RefusalReason::ConnectionsFull);
    // Callers that get the longest delays must not retry together.
    std::map<Milliseconds, int> callersByDelay;
    for (int i = 0; i < 1000; ++i) {
      const Milliseconds delay = admission.TryOpenFlow(now)->mRetryAfter;
      CPPUNIT_ASSERT(delay <= RetrySchedule::kLongest);
      CPPUNIT_ASSERT(++callersByDelay[delay] <= 100);
    }
  }

  // Guards against a planned restart of the agent that makes its upstream cold, and against a
  // damaged snapshot that raises the limit.
  void StateIsHandedOver()
  {
    TimePoint now = kStart;
    UpstreamAdmission before(ServiceSpec{}, now);
    MakeWarm(before, now);
    before.UpdateWeight(now);
    const AdmissionSnapshot snapshot = before.Snapshot();
    CPPUNIT_ASSERT(FromCbor<AdmissionSnapshot>(ToCbor(snapshot), "test").value() == snapshot);
    UpstreamAdmission after(ServiceSpec{}, now);
    after.Restore(snapshot, now);
    CPPUNIT_ASSERT(after.State() == UpstreamState::Serving);
    CPPUNIT_ASSERT(after.Snapshot() == snapshot);
    AdmissionSnapshot damaged = snapshot;
    damaged.mSlotLimit = 1'000'000;
    damaged.mConnectionLimit = 0;
    damaged.mFlowBaselineNs = -1;
    damaged.mCompletionRate = std::nan("");
    UpstreamAdmission other(ServiceSpec{}, now);
    other.Restore(damaged, now);
    CPPUNIT_ASSERT((other.Limit(now) == LoadLimit{4, 100}));
    CPPUNIT_ASSERT(other.UpdateWeight(now) <= 50);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamAdmissionTest);

} // namespace

} // namespace dandelionslip
