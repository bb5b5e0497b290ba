// Tests of FailureDetector.
#include "dandelionslip/Packet/FailureDetector.h"
#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <queue>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr double kMeanMs = 13;
constexpr std::uint32_t kBytes = 1'000;
constexpr std::uint32_t kErrorBytes = 120;
constexpr int kMaxLost = 20;
constexpr std::uint64_t kSeeds = 200;
constexpr double kPart = 0.45; // Of its requests that an upstream fails.
const std::array<std::string, 3> kDataCentres{"north", "south", "west"};
const std::string kFailingSide = kDataCentres[1];
constexpr std::array kFailures{FlowFailure::Reset, FlowFailure::Rejected, FlowFailure::Overdue,
                               FlowFailure::OpeningUnanswered};

RuntimeClock::duration Ms(double aMilliseconds)
{
  return std::chrono::duration_cast<RuntimeClock::duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

class FailureDetectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailureDetectorTest);
  CPPUNIT_TEST(UpstreamsThatFailAllRequestsGetOnlyTrials);
  CPPUNIT_TEST(UpstreamsThatFailPartOfTheRequestsGetOnlyTrials);
  CPPUNIT_TEST(UpstreamsThatFailOneDataCentreGetOnlyTrialsFromThere);
  CPPUNIT_TEST(UpstreamsThatFailPartFromTheirStartGetOnlyTrials);
  CPPUNIT_TEST(BusyUpstreamsWithUnevenRequestsAreNotFailing);
  CPPUNIT_TEST(RejectionsOfAFullQueueAreNoFailures);
  CPPUNIT_TEST(ShortAnswersAfterAUsualRunAreNoFailures);
  CPPUNIT_TEST(LateAnswersDoNotHideOverdueRequests);
  CPPUNIT_TEST(ThreeFailuresInAWindowAreNoVerdict);
  CPPUNIT_TEST(TrialsAreFewAndOnlyOfRepeatableRequests);
  CPPUNIT_TEST(ReturnIsGradualAndTakesLongerAfterARelapse);
  CPPUNIT_TEST(LateResultsDoNotDecideATrial);
  CPPUNIT_TEST(VerdictsAndBaselinesEndWithTheUpstreamsStart);
  CPPUNIT_TEST(SlowServicesRaiseTheTimeAfterWhichRequestsAreOverdue);
  CPPUNIT_TEST_SUITE_END();

  TimePoint mNow = kStart;
  FailureDetector mDetector;
  Random mRandom{1};

  void Restart(std::uint64_t aSeed)
  {
    mRandom = Random(aSeed);
    mDetector.OnUpstreamStarted(mNow);
  }

  // Lognormal with a deviation of half the mean; 3% cost seven times as much.
  double RunMs()
  {
    const double variance = std::log(1.25);
    const double normal = std::sqrt(-2 * std::log(1 - mRandom.Unit())) *
                          std::cos(2 * std::numbers::pi * mRandom.Unit());
    const double cost = std::exp(std::sqrt(variance) * normal - variance / 2);
    return kMeanMs * cost * (mRandom.Unit() < 0.03 ? 7 : 1);
  }

  const std::string& AnyDataCentre() { return kDataCentres[mRandom.Below(kDataCentres.size())]; }

  void Answer(const std::string& aDataCentre)
  {
    const auto duration = Ms(RunMs());
    mNow += duration;
    mDetector.OnAnswered(aDataCentre, {duration, kBytes, true}, mNow);
  }

  void Answer(int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      Answer(AnyDataCentre());
    }
  }

  void Fail(const std::string& aDataCentre, FlowFailure aFailure)
  {
    const TimePoint deliveredAt = mNow;
    if (aFailure == FlowFailure::Rejected) {
      mNow += Ms(0.3);
      mDetector.OnAnswered(aDataCentre, {Ms(0.3), kErrorBytes, true}, mNow);
      return;
    }
    mNow += aFailure == FlowFailure::Reset ? Ms(0.3) : Ms(250);
    mDetector.OnFailure(aDataCentre, aFailure, deliveredAt, mNow);
  }

  // How many callers are lost before those of the data centre (of all, if empty) get only trials,
  // when part of the requests of these callers fail.
  int LostBeforeVerdict(FlowFailure aFailure, double aPart, const std::string& aDataCentre)
  {
    for (int lost = 0; lost <= kMaxLost;) {
      const std::string& caller = AnyDataCentre();
      if ((aDataCentre.empty() || caller == aDataCentre) && mRandom.Unit() < aPart) {
        Fail(caller, aFailure);
        ++lost;
      } else {
        Answer(caller);
      }
      const bool all =
        std::all_of(kDataCentres.begin(), kDataCentres.end(), [&](const auto& aName) {
          return mDetector.Verdict(aName) == UpstreamVerdict::Failing;
        });
      if (aDataCentre.empty() ? all : mDetector.Verdict(aDataCentre) == UpstreamVerdict::Failing) {
        return lost;
      }
    }
    return kMaxLost + 1;
  }

  void AssertEachFailureIsDetected(double aPart, const std::string& aDataCentre)
  {
    for (const FlowFailure failure : kFailures) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Restart(seed);
        Answer(60);
        const int lost = LostBeforeVerdict(failure, aPart, aDataCentre);
        CPPUNIT_ASSERT_MESSAGE(std::string(ToString(failure)) + ", seed " + std::to_string(seed),
                               lost <= kMaxLost);
        const std::string& caller = aDataCentre.empty() ? kDataCentres[0] : aDataCentre;
        CPPUNIT_ASSERT(!mDetector.Admits(caller, true, mNow));
        CPPUNIT_ASSERT(aDataCentre.empty() || mDetector.Admits(kDataCentres[0], false, mNow));
      }
    }
  }

  // Guards against an upstream that fails every request while its heartbeat is good.
  void UpstreamsThatFailAllRequestsGetOnlyTrials() { AssertEachFailureIsDetected(1, {}); }

  // Guards against an upstream whose answered requests hide the failed ones.
  void UpstreamsThatFailPartOfTheRequestsGetOnlyTrials() { AssertEachFailureIsDetected(kPart, {}); }

  // Guards against failures towards one data centre that the answers to others hide, and against a
  // verdict for the others.
  void UpstreamsThatFailOneDataCentreGetOnlyTrialsFromThere()
  {
    AssertEachFailureIsDetected(1, kFailingSide);
    AssertEachFailureIsDetected(kPart, kFailingSide);
  }

  // Guards against rejections that hide themselves in the baseline that is learned from them.
  void UpstreamsThatFailPartFromTheirStartGetOnlyTrials()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Restart(seed);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             LostBeforeVerdict(FlowFailure::Rejected, kPart, {}) <= kMaxLost);
    }
  }

  // Guards against a false verdict: 50,000 requests in the order of arrival on two slots, at 90%
  // load, without a queue limit.
  void BusyUpstreamsWithUnevenRequestsAreNotFailing()
  {
    Restart(1);
    constexpr double kMeanCost = kMeanMs * (0.97 + 0.03 * 7);
    std::array<double, 2> freeAt{};
    double arrival = 0;
    for (int i = 0; i < 50'000; ++i) {
      arrival += -std::log(1 - mRandom.Unit()) * kMeanCost / (0.9 * freeAt.size());
      double& slot = *std::min_element(freeAt.begin(), freeAt.end());
      const bool free = slot <= arrival;
      slot = std::max(slot, arrival) + RunMs();
      const std::string& caller = AnyDataCentre();
      const TimePoint deliveredAt = kStart + Ms(arrival);
      const TimePoint answeredAt = kStart + Ms(slot);
      const bool overdue = free && answeredAt - deliveredAt > mDetector.OverdueAfter();
      if (overdue) {
        mDetector.OnFailure(caller, FlowFailure::Overdue, deliveredAt, answeredAt);
      }
      mDetector.OnAnswered(caller, {answeredAt - deliveredAt, kBytes, free, overdue}, answeredAt);
      for (const std::string& name : kDataCentres) {
        CPPUNIT_ASSERT(mDetector.Verdict(name) == UpstreamVerdict::Healthy);
      }
    }
  }

  // Guards against a verdict on an upstream that is only busy.
  void RejectionsOfAFullQueueAreNoFailures()
  {
    Answer(60);
    for (int i = 0; i < 100; ++i) {
      mNow += Ms(1);
      mDetector.OnAnswered(kDataCentres[0], {Ms(0.3), kErrorBytes, false}, mNow);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
  }

  // Guards against a verdict on an upstream whose requests have short answers as well as long ones.
  void ShortAnswersAfterAUsualRunAreNoFailures()
  {
    Answer(60);
    for (int i = 0; i < 100; ++i) {
      mNow += Ms(kMeanMs / 2);
      mDetector.OnAnswered(kDataCentres[0], {Ms(kMeanMs / 2), kErrorBytes, true}, mNow);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
  }

  // Guards against an upstream that answers many requests only after their callers have given up:
  // each is one lost caller, not one lost and one served.
  void LateAnswersDoNotHideOverdueRequests()
  {
    Answer(60);
    for (int i = 0; i < 4; ++i) {
      const TimePoint deliveredAt = mNow;
      mNow += Ms(250);
      mDetector.OnFailure(kDataCentres[0], FlowFailure::Overdue, deliveredAt, mNow);
      mNow += Ms(1);
      mDetector.OnAnswered(kDataCentres[0], {mNow - deliveredAt, kBytes, true, true}, mNow);
      if (i < 3) {
        Answer(kDataCentres[0]);
        Answer(kDataCentres[0]);
      }
    }
    CPPUNIT_ASSERT(mDetector.Verdict(kDataCentres[0]) == UpstreamVerdict::Failing);
  }

  // Guards against a verdict from single lost packets, and from failures that are long past, and
  // against failures that are forgotten too early.
  void ThreeFailuresInAWindowAreNoVerdict()
  {
    Answer(60);
    for (int i = 0; i < 50; ++i) {
      for (int failure = 0; failure < 3; ++failure) {
        Fail(kDataCentres[0], FlowFailure::Reset);
      }
      for (int answer = 0; answer < 7; ++answer) {
        Answer(kDataCentres[0]);
      }
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
    for (const FlowFailure failure : kFailures) {
      Restart(1);
      Answer(60);
      Fail(kDataCentres[0], failure);
      Answer(6);
      Fail(kDataCentres[1], failure);
      Fail(kDataCentres[0], failure);
      CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
      Fail(kDataCentres[0], failure);
      CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Failing);
    }
    Restart(1);
    for (int i = 0; i < 10; ++i) {
      mNow += Milliseconds{3'400};
      Fail(kDataCentres[0], FlowFailure::Reset);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
    // Four in ten seconds.
    for (int i = 0; i < 2; ++i) {
      mNow += Milliseconds{2'000};
      Fail(kDataCentres[0], FlowFailure::Reset);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Failing);
  }

  void MakeFail(FlowFailure aFailure = FlowFailure::Reset)
  {
    for (int i = 0; i < 8 && mDetector.OverallVerdict() != UpstreamVerdict::Failing; ++i) {
      Fail(kDataCentres[static_cast<std::size_t>(i) % 2], aFailure);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Failing);
  }

  // Offers a repeatable request every 10 ms; returns how many are admitted.
  int Admitted(Milliseconds aTime)
  {
    int admitted = 0;
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      mNow += Milliseconds{10};
      admitted += mDetector.Admits(kDataCentres[0], true, mNow) ? 1 : 0;
    }
    return admitted;
  }

  // Guards against requests that may run only once and are lost in trials, and against trials that
  // cost many callers.
  void TrialsAreFewAndOnlyOfRepeatableRequests()
  {
    Answer(60);
    MakeFail();
    for (int i = 0; i < 500; ++i) {
      mNow += Milliseconds{10};
      CPPUNIT_ASSERT(!mDetector.Admits(kDataCentres[0], false, mNow));
    }
    CPPUNIT_ASSERT_EQUAL(10, Admitted(Milliseconds{4'000}));
  }

  // Answers trials until the upstream returns; returns how many.
  int AnswerTrials()
  {
    int trials = 0;
    while (mDetector.OverallVerdict() == UpstreamVerdict::Failing && trials < 100) {
      mNow += Milliseconds{10};
      if (mDetector.Admits(kDataCentres[0], true, mNow)) {
        ++trials;
        mNow += Ms(kMeanMs);
        mDetector.OnAnswered(kDataCentres[0], {Ms(kMeanMs), kBytes, true}, mNow);
      }
    }
    return trials;
  }

  // Guards against the full share of flows for an upstream that still fails, and against one that
  // fails and returns without end.
  void ReturnIsGradualAndTakesLongerAfterARelapse()
  {
    Answer(60);
    MakeFail();
    CPPUNIT_ASSERT(mDetector.AdmittedShare(kDataCentres[0]) < 0.05);
    // A failed trial starts the count again.
    CPPUNIT_ASSERT_EQUAL(1, Admitted(Milliseconds{400}));
    Answer(4);
    Fail(kDataCentres[0], FlowFailure::Reset);
    CPPUNIT_ASSERT_EQUAL(5, AnswerTrials());
    for (const double share : {0.25, 0.5}) {
      CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Returning);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(share, mDetector.AdmittedShare(kDataCentres[0]), 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(share * 80, Admitted(Milliseconds{800}), 1.0);
      Answer(1);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(share, mDetector.AdmittedShare(kDataCentres[0]), 1e-9);
      mNow += Milliseconds{300};
      Answer(1);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, mDetector.AdmittedShare(kDataCentres[0]), 1e-9);
    MakeFail();
    CPPUNIT_ASSERT_EQUAL(5, Admitted(Milliseconds{2'000}));
    for (const int trials : {5, 2, 1, 1}) {
      AnswerTrials();
      MakeFail();
      CPPUNIT_ASSERT_EQUAL(trials, Admitted(Milliseconds{4'000}));
    }
  }

  // Guards against an upstream that returns, or stays out, by results of requests from before its
  // verdict.
  void LateResultsDoNotDecideATrial()
  {
    Answer(60);
    const TimePoint before = mNow;
    MakeFail();
    const TimePoint verdictAt = mNow;
    for (int i = 0; i < 20; ++i) {
      mNow += Ms(1);
      mDetector.OnAnswered(kDataCentres[0], {mNow - before, kBytes, true}, mNow);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Failing);
    mNow = verdictAt;
    CPPUNIT_ASSERT_EQUAL(5, AnswerTrials());
    for (int i = 0; i < 10; ++i) {
      mDetector.OnFailure(kDataCentres[static_cast<std::size_t>(i) % 2], FlowFailure::Overdue,
                          before, mNow);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Returning);
  }

  // Guards against a verdict or a baseline of another process of the upstream.
  void VerdictsAndBaselinesEndWithTheUpstreamsStart()
  {
    Answer(60);
    const TimePoint before = mNow;
    MakeFail();
    mNow += Milliseconds{700};
    CPPUNIT_ASSERT(mDetector.VerdictAge(kDataCentres[0], mNow) >= Milliseconds{700});
    mDetector.OnUpstreamStarted(mNow);
    CPPUNIT_ASSERT(mDetector.VerdictAge(kDataCentres[0], mNow) == Milliseconds{0});
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(mDetector.Admits(kDataCentres[0], false, mNow));
      mNow += Ms(1);
      mDetector.OnFailure(kDataCentres[0], FlowFailure::Overdue, before, mNow);
      mDetector.OnAnswered(kDataCentres[0], {mNow - before, kBytes, true}, mNow);
      // Short answers are usual for the new process.
      mDetector.OnAnswered(kDataCentres[0], {Ms(0.3), kErrorBytes, true}, mNow);
    }
    CPPUNIT_ASSERT(mDetector.OverallVerdict() == UpstreamVerdict::Healthy);
    CPPUNIT_ASSERT(mDetector.OverdueAfter() == Milliseconds{200});
  }

  // Guards against a verdict on an upstream whose usual requests take longer than the time that is
  // assumed before the first answers.
  void SlowServicesRaiseTheTimeAfterWhichRequestsAreOverdue()
  {
    CPPUNIT_ASSERT(mDetector.OverdueAfter() == Milliseconds{1'000});
    mNow += Milliseconds{2'000};
    mDetector.OnAnswered(kDataCentres[0], {Milliseconds{2'000}, kBytes, true}, mNow);
    CPPUNIT_ASSERT(mDetector.OverdueAfter() == Milliseconds{20'000});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);

} // namespace

} // namespace dandelionslip
