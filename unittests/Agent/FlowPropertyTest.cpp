// Property tests of routing and flow cores under mixed planned changes.
#include "FlowSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <map>
#include <set>

namespace dandelionslip {

namespace {

// More seeds can be run by setting the environment variable.
std::uint64_t SeedCount()
{
  const char* text = std::getenv("DANDELIONSLIP_SEEDS");
  return text == nullptr ? 10 : std::stoull(text);
}

class FlowPropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FlowPropertyTest);
  CPPUNIT_TEST(FlowsSurviveMixedPlannedChanges);
  CPPUNIT_TEST(SeedsThatFailedBefore);
  CPPUNIT_TEST(OtherFlowsSurviveDataCentreOut);
  CPPUNIT_TEST(ReusedAddressNeverMixesServices);
  CPPUNIT_TEST(CheckerFailsWithoutTransfer);
  CPPUNIT_TEST(CheckerFailsWithoutResumption);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<FlowSimulation> MakeSimulation(std::uint64_t aSeed,
                                                        FlowSimulationFaults aFaults = {})
  {
    auto simulation = std::make_unique<FlowSimulation>(aSeed, aFaults);
    simulation->Publish("planner", {"127.0.2.1:80"});
    simulation->Publish("render", {"127.0.2.2:80"});
    for (int i = 0; i < 6; ++i) {
      simulation->AddAgent("planner-" + std::to_string(i), "planner",
                           "dc-" + std::to_string(i % 3));
    }
    for (int i = 0; i < 4; ++i) {
      simulation->AddAgent("render-" + std::to_string(i), "render", "dc-" + std::to_string(i % 3));
    }
    for (int i = 0; i < 3; ++i) {
      simulation->AddBalancer("balancer-" + std::to_string(i), "dc-" + std::to_string(i));
    }
    simulation->AddCallers("127.0.2.1:80", 120);
    simulation->AddCallers("127.0.2.2:80", 40);
    return simulation;
  }

  static void Churn(FlowSimulation& aSimulation)
  {
    aSimulation.Run(Milliseconds(5'000));
    for (int i = 0; i < 40; ++i) {
      aSimulation.ChangeAtRandom();
      aSimulation.Run(Milliseconds(i % 3 == 0 ? 50 : 700));
    }
    aSimulation.Settle();
  }

  static std::string Describe(std::uint64_t aSeed, const std::vector<std::string>& aViolations)
  {
    std::string text =
      "seed " + std::to_string(aSeed) + ": " + std::to_string(aViolations.size()) + " violations";
    for (std::size_t i = 0; i < std::min<std::size_t>(aViolations.size(), 5); ++i) {
      text += "\n" + aViolations[i];
    }
    return text;
  }

  // Guards against established flows that break or move during planned changes.
  void FlowsSurviveMixedPlannedChanges()
  {
    std::size_t transfers = 0;
    std::size_t redirects = 0;
    std::size_t resumptions = 0;
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      const auto simulation = MakeSimulation(seed);
      Churn(*simulation);
      const auto violations = CheckFlowHistory(simulation->History());
      CPPUNIT_ASSERT_MESSAGE(Describe(seed, violations), violations.empty());
      CPPUNIT_ASSERT_MESSAGE(Describe(seed, {"bucket transfers never finished"}),
                             simulation->AllAcknowledged());
      CPPUNIT_ASSERT(simulation->EstablishedSessions() > 160);
      transfers += simulation->TransfersWithFlows();
      redirects += simulation->RedirectedFlows();
      resumptions += simulation->Resumptions();
    }
    // Checks that the runs exercised transfers, redirects and resumptions.
    CPPUNIT_ASSERT(transfers > SeedCount());
    CPPUNIT_ASSERT(redirects > SeedCount());
    CPPUNIT_ASSERT(resumptions > SeedCount());
  }

  // Guards against agents that stop at the same time and wait for each other as backups (seed 123).
  void SeedsThatFailedBefore()
  {
    for (const std::uint64_t seed : {std::uint64_t{123}}) {
      const auto simulation = MakeSimulation(seed);
      Churn(*simulation);
      const auto violations = CheckFlowHistory(simulation->History());
      CPPUNIT_ASSERT_MESSAGE(Describe(seed, violations), violations.empty());
      CPPUNIT_ASSERT_MESSAGE(Describe(seed, {"bucket transfers never finished"}),
                             simulation->AllAcknowledged());
    }
  }

  // Guards against packets to a data centre that a balancer knows to be out of service, and against
  // flows in other data centres that break while one is taken out and put back.
  void OtherFlowsSurviveDataCentreOut()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      const auto simulation = MakeSimulation(seed);
      simulation->Run(Milliseconds(5'000));
      for (int round = 0; round < 3; ++round) {
        simulation->SetDataCentreOut("dc-1", true);
        simulation->Run(Milliseconds(4'000));
        simulation->SetDataCentreOut("dc-1", false);
        simulation->Run(Milliseconds(3'000));
      }
      simulation->Settle();
      const auto violations = CheckFlowHistory(simulation->History());
      CPPUNIT_ASSERT_MESSAGE(Describe(seed, violations), violations.empty());
    }
  }

  // Guards against packets that reach another service when it takes over an address. Sessions that
  // were being opened while the balancers' configurations differed are not checked: their opening
  // packets may correctly reach both services.
  void ReusedAddressNeverMixesServices()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      const auto simulation = MakeSimulation(seed);
      simulation->Run(Milliseconds(4'000));
      const std::size_t eventsBeforeChange = simulation->History().size();
      simulation->Publish("planner", {"127.0.2.3:80"});
      simulation->Publish("render", {"127.0.2.1:80", "127.0.2.2:80"});
      simulation->Run(Milliseconds(1'000));
      const std::size_t eventsWhenApplied = simulation->History().size();
      simulation->Run(Milliseconds(4'000));
      std::map<std::uint64_t, std::set<std::string>> services;
      std::map<std::uint64_t, std::size_t> firstEvents;
      std::set<std::uint64_t> checkedSessions;
      for (std::size_t i = 0; i < simulation->History().size(); ++i) {
        const FlowEvent& event = simulation->History()[i];
        const std::size_t first = firstEvents.emplace(event.mSession, i).first->second;
        if (event.mKind == FlowEventKind::Established &&
            (i < eventsBeforeChange || first > eventsWhenApplied)) {
          checkedSessions.insert(event.mSession);
        }
        if (event.mKind == FlowEventKind::Delivered) {
          services[event.mSession].insert(event.mService);
        }
      }
      CPPUNIT_ASSERT(checkedSessions.size() > 150);
      for (const std::uint64_t session : checkedSessions) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, services[session].size());
      }
    }
  }

  // Guards against a checker that accepts every history.
  void CheckerFailsWithoutTransfer()
  {
    FlowSimulationFaults faults;
    faults.mTransferDisabled = true;
    const auto simulation = MakeSimulation(1, faults);
    Churn(*simulation);
    CPPUNIT_ASSERT(!CheckFlowHistory(simulation->History()).empty());
  }

  // Guards against a checker that does not notice flows lost in a restart.
  void CheckerFailsWithoutResumption()
  {
    FlowSimulationFaults faults;
    faults.mResumptionDisabled = true;
    const auto simulation = MakeSimulation(1, faults);
    Churn(*simulation);
    CPPUNIT_ASSERT(!CheckFlowHistory(simulation->History()).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowPropertyTest);

} // namespace

} // namespace dandelionslip
