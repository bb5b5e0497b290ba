// Tests of ForecastWait() and AcceptedRate.
#include "dandelionslip/Packet/WaitingForecast.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr ForecastUpstream kWarm{false, true, false, Milliseconds{0}, 0, 100};
constexpr ForecastUpstream kCold{false, true, true, Milliseconds{2'000}, 5, 100};
constexpr ForecastUpstream kStopped{false, false, false, Milliseconds{0}, 5, 100};

class WaitingForecastTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WaitingForecastTest);
  CPPUNIT_TEST(ColdUpstreamsTakeFewUntilWarm);
  CPPUNIT_TEST(UnknownRatesAreNotWaitedFor);
  CPPUNIT_TEST(BalancersShareWhatUpstreamsTake);
  CPPUNIT_TEST(NobodyAccepts);
  CPPUNIT_TEST(AcceptedOffersTakeCapacityFirst);
  CPPUNIT_TEST(RateCountsOffersThatAreNotReturned);
  CPPUNIT_TEST_SUITE_END();

  // Waiting time in milliseconds; -1 if no upstream takes any.
  static std::int64_t Wait(const std::vector<ForecastUpstream>& aUpstreams, std::size_t aBalancers,
                           std::size_t aAhead, double aAccepted = 0)
  {
    const auto wait = ForecastWait(aUpstreams, aBalancers, aAhead, aAccepted);
    return wait ? wait->count() : -1;
  }

  static void Check(std::int64_t aExpected, std::int64_t aWait)
  {
    CPPUNIT_ASSERT_EQUAL(aExpected, aWait);
  }

  // Guards against openings that are refused although the upstream is warm in time, and against
  // ones that are held as if it were warm at once.
  void ColdUpstreamsTakeFewUntilWarm()
  {
    Check(200, Wait({kCold}, 1, 0));
    Check(2'000, Wait({kCold}, 1, 9));
    Check(2'100, Wait({kCold}, 1, 19));
    // A second one that is warm takes 100 a second all the time.
    Check(1'000, Wait({kCold, kWarm}, 1, 104));
  }

  // Guards against refusals, and against waits, for reasons that are not known to be true.
  void UnknownRatesAreNotWaitedFor()
  {
    ForecastUpstream unknown;
    unknown.mUnknown = true;
    ForecastUpstream unmeasured = kWarm;
    unmeasured.mWarmPerSecond = 0;
    ForecastUpstream coldUnmeasured = kCold;
    coldUnmeasured.mWarmPerSecond = 0;
    Check(0, Wait({kCold, unknown}, 1, 1'000));
    Check(0, Wait({kCold, unmeasured}, 1, 1'000));
    Check(2'000, Wait({coldUnmeasured}, 1, 1'000));
  }

  // Guards against twenty balancers that each count on all of an upstream.
  void BalancersShareWhatUpstreamsTake()
  {
    Check(10, Wait({kWarm}, 1, 0));
    Check(200, Wait({kWarm}, 20, 0));
    Check(400, Wait({kWarm}, 20, 1));
    Check(200, Wait({kWarm, kWarm}, 20, 1));
    Check(10, Wait({kWarm}, 0, 0));
  }

  // Guards against openings that are held for upstreams which take none.
  void NobodyAccepts()
  {
    Check(-1, Wait({}, 1, 0));
    Check(-1, Wait({kStopped, kStopped}, 1, 0));
    ForecastUpstream coldForEver = kCold;
    coldForEver.mColdPerSecond = 0;
    Check(2'010, Wait({kStopped, coldForEver}, 1, 0));
  }

  // Guards against openings that are held in overload for capacity that offered openings take: they
  // were refused after 1.3 s, too late for another attempt.
  void AcceptedOffersTakeCapacityFirst()
  {
    Check(40, Wait({kWarm}, 2, 0, 25));
    Check(-1, Wait({kWarm}, 2, 0, 50));
    Check(-1, Wait({kWarm}, 2, 0, 60));
    // 5 a second while cold are all taken; then 90 are left.
    Check(2'100, Wait({kCold}, 1, 8, 10));
  }

  // Guards against returned offers that count as capacity in use, and against a rate that stays.
  void RateCountsOffersThatAreNotReturned()
  {
    AcceptedRate rate;
    TimePoint now = kStart;
    for (int i = 0; i < 500; ++i) {
      now += Milliseconds{10};
      rate.OnOffered(now);
      if (i % 2 == 0) {
        rate.OnReturned(now);
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, rate.PerSecond(now), 2);
    CPPUNIT_ASSERT(rate.PerSecond(now + Milliseconds{3'000}) < 3);
    rate.OnReturned(now + std::chrono::seconds(60));
    CPPUNIT_ASSERT(rate.PerSecond(now + std::chrono::seconds(60)) >= 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingForecastTest);

} // namespace

} // namespace dandelionslip
