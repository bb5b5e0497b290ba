// Checks the histories of concurrent runs under faults.
#include "RequestWorld.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestWorldTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestWorldTest);
  CPPUNIT_TEST(EveryStepSurvivesEveryFault);
  CPPUNIT_TEST(HistoriesAreCorrect);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kSeeds = 1000;

  static void CheckSeed(std::uint64_t aSeed, SimulationTotals& aTotals,
                        std::optional<Scenario> aScenario = {})
  {
    RequestSimulation world(aSeed, aScenario);
    world.Run();
    const auto violations = world.History().Check();
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(aSeed) + ": " +
                             (violations.empty() ? "" : violations.front()),
                           violations.empty());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(aSeed) + ": messages without a reply",
                                 std::size_t(0), world.Totals().mUnanswered);
    constexpr std::array kMembers{&SimulationTotals::mRequests,   &SimulationTotals::mRuns,
                                  &SimulationTotals::mAnswered,   &SimulationTotals::mNotRun,
                                  &SimulationTotals::mUnknown,    &SimulationTotals::mCancelled,
                                  &SimulationTotals::mResends,    &SimulationTotals::mRelayed,
                                  &SimulationTotals::mHandoffs,   &SimulationTotals::mCrashes,
                                  &SimulationTotals::mLostOwners, &SimulationTotals::mRecordUpdates,
                                  &SimulationTotals::mRestarts};
    for (const auto member : kMembers) {
      aTotals.*member += world.Totals().*member;
    }
  }

  // Guards against a step of a request at which the failure of one part breaks the rules: each part
  // fails at each millisecond of the request's life.
  void EveryStepSurvivesEveryFault()
  {
    constexpr std::int64_t kLifeUs = 100'000;
    for (const Fault fault : {Fault::CallerLink, Fault::Balancer, Fault::Agent, Fault::Upstream,
                              Fault::Restart, Fault::ControlContact}) {
      SimulationTotals totals;
      for (std::int64_t at = 500; at < kLifeUs; at += 1'000) {
        CheckSeed(static_cast<std::uint64_t>(at), totals,
                  Scenario{fault, Scenario::kRequestUs + at});
      }
      CPPUNIT_ASSERT(totals.mRuns > 50);
      CPPUNIT_ASSERT(totals.mAnswered > 30);
    }
  }

  // Guards against a second run, a foreign answer or a false "not run" under any combination of
  // lost, repeated, delayed and crossed messages, crashes, restarts and hand-offs, and against a
  // message that never gets a reply.
  void HistoriesAreCorrect()
  {
    SimulationTotals totals;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CheckSeed(seed, totals);
    }
    std::cout << " requests=" << totals.mRequests << " runs=" << totals.mRuns
              << " answered=" << totals.mAnswered << " not_run=" << totals.mNotRun
              << " unknown=" << totals.mUnknown << " cancelled=" << totals.mCancelled
              << " resends=" << totals.mResends << " relayed=" << totals.mRelayed
              << " handoffs=" << totals.mHandoffs << " lost_owners=" << totals.mLostOwners
              << " record_updates=" << totals.mRecordUpdates << " crashes=" << totals.mCrashes
              << " restarts=" << totals.mRestarts << std::flush;
    // Without these the checks above would have had nothing to check.
    CPPUNIT_ASSERT(totals.mAnswered > totals.mRequests / 3);
    for (const std::size_t count :
         {totals.mNotRun, totals.mUnknown, totals.mResends, totals.mRelayed, totals.mHandoffs,
          totals.mLostOwners, totals.mRecordUpdates}) {
      CPPUNIT_ASSERT(count > kSeeds / 2);
    }
    CPPUNIT_ASSERT(totals.mCancelled > kSeeds / 10);
    CPPUNIT_ASSERT(totals.mCrashes > kSeeds / 4);
    CPPUNIT_ASSERT(totals.mRestarts > kSeeds / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestWorldTest);

} // namespace

} // namespace dandelionslip
