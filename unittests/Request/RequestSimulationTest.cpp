// Checks the request histories of simulations with faults.
#include "RequestSimulation.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestSimulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestSimulationTest);
  CPPUNIT_TEST(SingleFaultAtEachMillisecond);
  CPPUNIT_TEST(RandomFaultsKeepHistoriesCorrect);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kSeeds = 1000;

  static void CheckSeed(std::uint64_t aSeed, SimulationTotals& aTotals,
                        std::optional<Scenario> aScenario = {})
  {
    RequestSimulation simulation(aSeed, aScenario);
    simulation.Run();
    const auto violations = simulation.History().Check();
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(aSeed) + ": " +
                             (violations.empty() ? "" : violations.front()),
                           violations.empty());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(aSeed) + ": messages without a reply",
                                 std::size_t(0), simulation.Totals().mWithoutReply);
    constexpr std::array kMembers{&SimulationTotals::mRequests,
                                  &SimulationTotals::mRuns,
                                  &SimulationTotals::mAnswered,
                                  &SimulationTotals::mNotRun,
                                  &SimulationTotals::mUnknown,
                                  &SimulationTotals::mCancelled,
                                  &SimulationTotals::mResends,
                                  &SimulationTotals::mRelayed,
                                  &SimulationTotals::mTransferMessages,
                                  &SimulationTotals::mCrashes,
                                  &SimulationTotals::mBucketsOfLostOwners,
                                  &SimulationTotals::mRecordUpdates,
                                  &SimulationTotals::mRestarts};
    for (const auto member : kMembers) {
      aTotals.*member += simulation.Totals().*member;
    }
  }

  // Guards against a moment at which the failure of one part causes a second run or a wrong reply:
  // in each simulation one part fails, at one of the first 100 ms of a request.
  void SingleFaultAtEachMillisecond()
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

  // Guards against a second run, an answer of another request, a wrong "not run" and a request
  // without a reply, under random combinations of lost, repeated, delayed and reordered messages,
  // crashes, restarts and bucket transfers.
  void RandomFaultsKeepHistoriesCorrect()
  {
    SimulationTotals totals;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CheckSeed(seed, totals);
    }
    std::cout << " requests=" << totals.mRequests << " runs=" << totals.mRuns
              << " answered=" << totals.mAnswered << " not_run=" << totals.mNotRun
              << " unknown=" << totals.mUnknown << " cancelled=" << totals.mCancelled
              << " resends=" << totals.mResends << " relayed=" << totals.mRelayed
              << " transfers=" << totals.mTransferMessages
              << " lost_owners=" << totals.mBucketsOfLostOwners
              << " record_updates=" << totals.mRecordUpdates << " crashes=" << totals.mCrashes
              << " restarts=" << totals.mRestarts << std::flush;
    // The checks above mean something only if these events happened often.
    CPPUNIT_ASSERT(totals.mAnswered > totals.mRequests / 3);
    for (const std::size_t count :
         {totals.mNotRun, totals.mUnknown, totals.mResends, totals.mRelayed,
          totals.mTransferMessages, totals.mBucketsOfLostOwners, totals.mRecordUpdates}) {
      CPPUNIT_ASSERT(count > kSeeds / 2);
    }
    CPPUNIT_ASSERT(totals.mCancelled > kSeeds / 10);
    CPPUNIT_ASSERT(totals.mCrashes > kSeeds / 4);
    CPPUNIT_ASSERT(totals.mRestarts > kSeeds / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestSimulationTest);

} // namespace

} // namespace dandelionslip
