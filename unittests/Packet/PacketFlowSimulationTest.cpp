// Checks of flows under random faults and planned work, in the simulated packet plane.
#include "PacketFlowSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace dandelionslip {

namespace {

constexpr Milliseconds kRunTime{60'000};

struct Seeds
{
  std::uint64_t mFirst = 1;
  std::uint64_t mCount = 10;
};

// DANDELIONSLIP_SIMULATION_SEEDS=FIRST:COUNT selects other seeds.
Seeds SeedsToRun()
{
  const char* text = std::getenv("DANDELIONSLIP_SIMULATION_SEEDS");
  if (text == nullptr) {
    return {};
  }
  const std::string value(text);
  const auto colon = value.find(':');
  return {std::stoull(value),
          colon == std::string::npos ? 1 : std::stoull(value.substr(colon + 1))};
}

class PacketFlowSimulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketFlowSimulationTest);
  CPPUNIT_TEST(OpenFlowsAreNotResetByPlannedWork);
  CPPUNIT_TEST(OpenFlowsAreNotResetUnderFaults);
  CPPUNIT_TEST(RunsContainWhatTheyTest);
  CPPUNIT_TEST(RunsAreRepeatable);
  CPPUNIT_TEST_SUITE_END();

  static void CheckSeeds(bool aPlannedOnly)
  {
    const auto [first, count] = SeedsToRun();
    std::size_t inTouch = 0;
    std::size_t outOfTouch = 0;
    std::string firstText;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      PacketFlowSimulation simulation(seed, aPlannedOnly);
      simulation.Run(kRunTime);
      for (const PacketFlowViolation& violation : simulation.Violations()) {
        ++(violation.mInTouch ? inTouch : outOfTouch);
        if (firstText.empty() && violation.mInTouch) {
          firstText = violation.mText;
        }
        if (std::getenv("DANDELIONSLIP_SIMULATION_SEEDS") != nullptr) {
          std::cout << (violation.mInTouch ? "VIOLATION " : "out of touch ") << violation.mText
                    << std::endl;
        }
      }
    }
    if (outOfTouch > 0) {
      std::cout << outOfTouch << " resets of open flows within the contact time of a fault\n";
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(firstText, std::size_t{0}, inTouch);
  }

  void OpenFlowsAreNotResetByPlannedWork() { CheckSeeds(true); }
  void OpenFlowsAreNotResetUnderFaults() { CheckSeeds(false); }

  // Guards against a simulation in which nothing happens.
  void RunsContainWhatTheyTest()
  {
    PacketFlowCounts sum;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      PacketFlowSimulation simulation(seed, false);
      simulation.Run(kRunTime);
      const PacketFlowCounts& counts = simulation.Counts();
      sum.mOpened += counts.mOpened;
      sum.mMoved += counts.mMoved;
      sum.mQueries += counts.mQueries;
      sum.mOpeningReturns += counts.mOpeningReturns;
      sum.mAnswered += counts.mAnswered;
      sum.mTimedOut += counts.mTimedOut;
      sum.mDeadTimedOut += counts.mDeadTimedOut;
      sum.mDeadReset += counts.mDeadReset;
    }
    const std::string text =
      "opened " + std::to_string(sum.mOpened) + ", moved " + std::to_string(sum.mMoved) +
      ", queries " + std::to_string(sum.mQueries) + ", returns " +
      std::to_string(sum.mOpeningReturns) + ", answered " + std::to_string(sum.mAnswered) +
      ", timed out " + std::to_string(sum.mTimedOut) + ", dead flows timed out " +
      std::to_string(sum.mDeadTimedOut) + ", dead flows reset " + std::to_string(sum.mDeadReset);
    if (std::getenv("DANDELIONSLIP_SIMULATION_SEEDS") != nullptr) {
      std::cout << text << std::endl;
    }
    CPPUNIT_ASSERT_MESSAGE(text, sum.mOpened > 1'000 && sum.mMoved > 1'000);
    CPPUNIT_ASSERT_MESSAGE(text, sum.mQueries > 1'000 && sum.mOpeningReturns > 20);
    CPPUNIT_ASSERT_MESSAGE(text, sum.mAnswered > 20 * sum.mTimedOut);
    CPPUNIT_ASSERT_MESSAGE(text, sum.mDeadReset > 10 && sum.mDeadReset > sum.mDeadTimedOut);
  }

  void RunsAreRepeatable()
  {
    PacketFlowSimulation first(7, false);
    PacketFlowSimulation second(7, false);
    first.Run(kRunTime);
    second.Run(kRunTime);
    CPPUNIT_ASSERT_EQUAL(first.Counts().mAnswered, second.Counts().mAnswered);
    CPPUNIT_ASSERT_EQUAL(first.Counts().mQueries, second.Counts().mQueries);
    CPPUNIT_ASSERT_EQUAL(first.Violations().size(), second.Violations().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketFlowSimulationTest);

} // namespace

} // namespace dandelionslip
