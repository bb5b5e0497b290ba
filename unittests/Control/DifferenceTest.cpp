// Tests of view and configuration differences and of the state that nodes hold.
#include "ControlFixtures.h"

#include "dandelionslip/Model/NodeState.h"
#include "dandelionslip/Model/RevisionHistory.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

std::string RandomName(Random& aRandom)
{
  return Numbered("n", aRandom.Below(12));
}

void Mutate(View& aView, Random& aRandom)
{
  aView.mRevision += 1 + aRandom.Below(3);
  for (std::uint64_t i = aRandom.Below(4); i > 0; --i) {
    const std::string name = RandomName(aRandom);
    switch (aRandom.Below(4)) {
      case 0:
        aView.mMembers.erase(name);
        break;
      case 1:
        aView.mServices.erase(name);
        break;
      case 2:
        aView.mMembers[name].mIncarnation = aRandom.Next();
        break;
      default:
        aView.mServices[name].mGenerations = {
          {static_cast<std::uint32_t>(aRandom.Below(9)), {{name, 1}}}};
    }
  }
}

void MutateRoutes(RouteTable& aTable, Random& aRandom)
{
  ++aTable.mVersion;
  aTable.mFlowIdleTimeout = Milliseconds(aRandom.Below(9'000));
  const std::string address = Numbered("192.0.2.1:", 1'000 + aRandom.Below(8));
  const std::string service = RandomName(aRandom);
  std::erase_if(aTable.mRoutes, [&](const Route& aRoute) { return aRoute.mAddress == address; });
  if (aRandom.Below(2) == 0) {
    aTable.mRoutes.push_back({RandomName(aRandom), address, {{service, 1}}, Milliseconds{500}, 1});
  }
  std::erase_if(aTable.mServices,
                [&](const RoutedService& aService) { return aService.mName == service; });
  if (aRandom.Below(2) == 0) {
    aTable.mServices.push_back({service, 2'000, Milliseconds(aRandom.Below(9'000)), 0.5});
  }
}

// The order of routes and services has no meaning.
View Sorted(View aView)
{
  return aView;
}

Configuration Sorted(Configuration aConfiguration)
{
  RouteTable& table = aConfiguration.mRoutes;
  std::sort(
    table.mRoutes.begin(), table.mRoutes.end(),
    [](const Route& aLeft, const Route& aRight) { return aLeft.mAddress < aRight.mAddress; });
  std::sort(table.mServices.begin(), table.mServices.end(),
            [](const RoutedService& aLeft, const RoutedService& aRight) {
              return aLeft.mName < aRight.mName;
            });
  return aConfiguration;
}

void Mutate(Configuration& aConfiguration, Random& aRandom)
{
  aConfiguration.mRevision += 1 + aRandom.Below(3);
  const std::string name = RandomName(aRandom);
  switch (aRandom.Below(7)) {
    case 6:
      MutateRoutes(aConfiguration.mRoutes, aRandom);
      break;
    case 0:
      aConfiguration.mServices.erase(name);
      break;
    case 1:
      aConfiguration.mDataCentres.erase(name);
      break;
    case 2:
      aConfiguration.mDrained.erase(name);
      break;
    case 3:
      aConfiguration.mServices[name].mId = aRandom.Next();
      break;
    case 4:
      aConfiguration.mDataCentres[name].mVersion = aRandom.Next();
      break;
    default:
      aConfiguration.mDrained[name] = true;
  }
}

class DifferenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DifferenceTest);
  CPPUNIT_TEST(ViewDifferencesReproduceTheView);
  CPPUNIT_TEST(ConfigurationDifferencesReproduceTheConfiguration);
  CPPUNIT_TEST(RouteChangesDoNotGrowWithTheNumberOfRoutes);
  CPPUNIT_TEST(MismatchedDifferencesAreRefused);
  CPPUNIT_TEST(NodesNeverRevertToOlderState);
  CPPUNIT_TEST_SUITE_END();

  // Makes random changes; a reader applies differences from the revision that it has.
  template <typename State, typename Difference>
  static void Follow(std::uint64_t aSeed)
  {
    Random random(aSeed);
    RevisionHistory<State, Difference> history;
    State writer;
    State reader;
    std::size_t applied = 0;
    for (int step = 0; step < 300; ++step) {
      Mutate(writer, random);
      CPPUNIT_ASSERT(history.Advance(writer));
      CPPUNIT_ASSERT(!history.Advance(writer));
      if (random.Below(6) != 0) {
        continue;
      }
      const auto difference = history.DifferenceFrom(reader.mRevision);
      CPPUNIT_ASSERT(difference.has_value());
      const auto copy = FromCbor<Difference>(ToCbor(*difference), "test");
      CPPUNIT_ASSERT(copy && copy.value() == *difference);
      CPPUNIT_ASSERT(ApplyDifference(reader, copy.value()));
      CPPUNIT_ASSERT(Sorted(reader) == Sorted(writer));
      ++applied;
    }
    CPPUNIT_ASSERT(applied > 20);
    CPPUNIT_ASSERT(!history.DifferenceFrom(0));
  }

  // Guards against a node whose view drifts from the leader's.
  void ViewDifferencesReproduceTheView()
  {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Follow<View, ViewDifference>(seed);
    }
  }

  // Guards against a node whose configuration drifts from the replicated one.
  void ConfigurationDifferencesReproduceTheConfiguration()
  {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Follow<Configuration, ConfigurationDifference>(seed);
    }
  }

  // Guards against control that sends every route to every node at each change: a storm of changes
  // with 400 routes and 300 nodes is 20 MB a change.
  void RouteChangesDoNotGrowWithTheNumberOfRoutes()
  {
    Configuration before;
    before.mRevision = 1;
    before.mRoutes.mVersion = 1;
    for (unsigned i = 0; i < 400; ++i) {
      before.mRoutes.mRoutes.push_back(
        {Numbered("r", i), Numbered("192.0.2.1:", 1'000 + i), {{"web", 1}}, Milliseconds{500}, 1});
    }
    Configuration after = before;
    after.mRevision = after.mRoutes.mVersion = 2;
    after.mRoutes.mRoutes[7].mTimeout = Milliseconds{700};
    CPPUNIT_ASSERT(ToCbor(DifferenceBetween(before, after)).size() < 512);
  }

  // Guards against a difference applied to a state that it was not made for.
  void MismatchedDifferencesAreRefused()
  {
    View view;
    view.mRevision = 5;
    ViewDifference difference;
    difference.mFromRevision = 4;
    difference.mToRevision = 6;
    difference.mMembers["a"] = AgentAnnouncement("a").mMember;
    const View before = view;
    CPPUNIT_ASSERT(ErrorCode::Conflict == ApplyDifference(view, difference).error().mCode);
    difference.mFromRevision = 5;
    difference.mToRevision = 5;
    CPPUNIT_ASSERT(ErrorCode::InvalidInput == ApplyDifference(view, difference).error().mCode);
    CPPUNIT_ASSERT(before == view);
  }

  // Guards against a configuration or view that reverts on a node, and against state taken from an
  // isolated control replica.
  void NodesNeverRevertToOlderState()
  {
    NodeState node;
    AnnouncementAnswer answer;
    answer.mConfiguration = PlannerConfiguration();
    CPPUNIT_ASSERT(!node.Apply(answer));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, node.CurrentConfiguration().mRevision);
    answer.mConfirmed = true;
    answer.mConfiguration->mRevision = 8;
    answer.mView = View{};
    answer.mView->mRevision = 9;
    CPPUNIT_ASSERT(node.Apply(answer));
    answer.mConfiguration->mRevision = 7;
    answer.mConfiguration->mServices.clear();
    answer.mView->mRevision = 8;
    CPPUNIT_ASSERT(node.Apply(answer));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, node.CurrentConfiguration().mRevision);
    CPPUNIT_ASSERT(node.CurrentConfiguration().FindService("planner") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, node.CurrentView().mRevision);
    answer = AnnouncementAnswer{};
    answer.mConfirmed = true;
    answer.mConfigurationDifference =
      ConfigurationDifference{8, 10, {}, {}, {}, {}, {}, {}, {}, {}};
    answer.mViewDifference = ViewDifference{8, 10, {}, {}, {}, {}};
    CPPUNIT_ASSERT(!node.Apply(answer));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, node.CurrentConfiguration().mRevision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DifferenceTest);

} // namespace

} // namespace dandelionslip
