// Tests of RequestCostModel.
#include "dandelionslip/Packet/RequestCostModel.h"
#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace dandelionslip {

namespace {

constexpr std::uint64_t kRoute = 1;
constexpr std::uint64_t kOther = 2;

class RequestCostModelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestCostModelTest);
  CPPUNIT_TEST(FewSamplesAreNoEstimate);
  CPPUNIT_TEST(RoutesAreKeptApart);
  CPPUNIT_TEST(QuantilesFollowTheDistribution);
  CPPUNIT_TEST(LongRunningRequestsAreExpectedToRunOn);
  CPPUNIT_TEST(RequestsThatOutrunAllOthersAreNotAlmostDone);
  CPPUNIT_TEST(OldSamplesLoseWeight);
  CPPUNIT_TEST(SingleFastAnswersAreNotTheShortestRun);
  CPPUNIT_TEST_SUITE_END();

  RequestCostModel mModel;

  void Add(std::uint64_t aRoute, Milliseconds aDuration, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mModel.OnCompleted(aRoute, aDuration);
    }
  }

  static double Ms(const std::optional<RequestCostModel::Duration>& aDuration)
  {
    CPPUNIT_ASSERT(aDuration);
    return 1'000 * Seconds(*aDuration);
  }

  // Guards against decisions on the first few requests of an upstream.
  void FewSamplesAreNoEstimate()
  {
    Add(kRoute, Milliseconds{10}, 7);
    CPPUNIT_ASSERT(!mModel.Mean() && !mModel.Mean(kRoute) && !mModel.Quantile(kRoute, 0.5));
    CPPUNIT_ASSERT(!mModel.Remaining(kRoute, Milliseconds{1}) && !mModel.Shortest());
    Add(kOther, Milliseconds{26}, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, Ms(mModel.Mean()), 0.01);
    // Neither route has enough samples of its own.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, Ms(mModel.Mean(kRoute)), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, Ms(mModel.Mean(kOther)), 0.01);
  }

  // Guards against cheap requests that are expected to cost as much as expensive ones.
  void RoutesAreKeptApart()
  {
    Add(kRoute, Milliseconds{10}, 20);
    Add(kOther, Milliseconds{100}, 20);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, Ms(mModel.Mean(kRoute)), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, Ms(mModel.Mean(kOther)), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(55.0, Ms(mModel.Mean()), 0.01);
    CPPUNIT_ASSERT(Ms(mModel.Remaining(kRoute, Milliseconds{0})) < 12);
  }

  // Guards against bins that are counted from the wrong end or not at all. Run times are
  // exponentially distributed around 50 ms; a bin is a fifth wide.
  void QuantilesFollowTheDistribution()
  {
    Random random(3);
    for (int i = 0; i < 900; ++i) {
      mModel.OnCompleted(kRoute, std::chrono::microseconds(static_cast<std::int64_t>(
                                   -50'000 * std::log(1.0 - random.Unit()))));
    }
    for (const double level : {0.1, 0.5, 0.9}) {
      const double exact = -50 * std::log(1.0 - level);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(exact, Ms(mModel.Quantile(kRoute, level)), exact / 5);
    }
    // The expected rest of an exponentially distributed time does not depend on its age.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, Ms(mModel.Remaining(kRoute, Milliseconds{40})), 8.0);
  }

  // Guards against requests with 7 times the mean cost that seem to end soon.
  void LongRunningRequestsAreExpectedToRunOn()
  {
    Add(kRoute, Milliseconds{20}, 97);
    Add(kRoute, Milliseconds{140}, 3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(23.6, Ms(mModel.Remaining(kRoute, Milliseconds{0})), 2.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8.6, Ms(mModel.Remaining(kRoute, Milliseconds{15})), 2.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, Ms(mModel.Remaining(kRoute, Milliseconds{60})), 14.0);
  }

  // Guards against an upstream that answers nothing and seems about to be free.
  void RequestsThatOutrunAllOthersAreNotAlmostDone()
  {
    Add(kRoute, Milliseconds{20}, 100);
    CPPUNIT_ASSERT(Ms(mModel.Remaining(kRoute, Milliseconds{600})) >= 600);
  }

  // Guards against estimates that follow a changed cost only after many times as many requests.
  void OldSamplesLoseWeight()
  {
    Add(kRoute, Milliseconds{100}, 5'000);
    Add(kRoute, Milliseconds{10}, 2'500);
    CPPUNIT_ASSERT(Ms(mModel.Mean(kRoute)) < 20);
    CPPUNIT_ASSERT(Ms(mModel.Quantile(kRoute, 0.9)) < 12);
  }

  // Guards against a rejection that is taken for a run, after which no other would be recognised,
  // and against durations outside the range of the bins.
  void SingleFastAnswersAreNotTheShortestRun()
  {
    Add(kRoute, Milliseconds{20}, 197);
    Add(kRoute, Milliseconds{0}, 1);
    Add(kRoute, Milliseconds{3'600'000}, 1);
    CPPUNIT_ASSERT(Ms(mModel.Shortest()) > 16);
    Add(kRoute, Milliseconds{0}, 2);
    CPPUNIT_ASSERT(Ms(mModel.Shortest()) < 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestCostModelTest);

} // namespace

} // namespace dandelionslip
