// Load on 42 upstreams as callers see it, with the placement of this release and with simpler ones.
#include "PlacementPlay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace dandelionslip {

namespace {

constexpr std::array<const char*, 5> kPolicyNames{"selector", "today", "random", "fewest",
                                                  "two choices"};
constexpr std::uint64_t kSeed = 1;

double Part(const PlayOutcomes& aOutcomes, PlayOutcome aOutcome)
{
  return aOutcomes[aOutcome] / (aOutcomes[0] + aOutcomes[1] + aOutcomes[2] + aOutcomes[3]);
}

class PlacementLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementLoadTest);
  CPPUNIT_TEST(FewOpeningsAreRejectedWhileUpstreamsAreFree);
  CPPUNIT_TEST(LoadIsEven);
  CPPUNIT_TEST(BaselinesAreNoBetter);
  CPPUNIT_TEST(UrgentRequestsKeepTheirGoalInOverload);
  CPPUNIT_TEST(LesserKindsGetTheRestInOverload);
  CPPUNIT_TEST(DataCentresGetEqualSharesInOverload);
  CPPUNIT_TEST(BusyUpstreamsAreNotTakenForFailing);
  CPPUNIT_TEST(FullUpstreamsAreNotTakenForFailing);
  CPPUNIT_TEST(UnknownUpstreamsAreNotTakenForFailing);
  CPPUNIT_TEST_SUITE_END();

  static void Print(const char* aName, const PlayOutcomes& aOutcomes)
  {
    std::cout << "  " << std::setw(9) << aName << std::fixed << std::setprecision(4) << " in goal "
              << Part(aOutcomes, InGoal) << ", late " << Part(aOutcomes, Late) << ", refused "
              << Part(aOutcomes, Refused) << ", lost " << Part(aOutcomes, Lost) << "\n";
  }

  // Runs each play once and prints what callers get.
  static const PlayResults& Play(PlacementPolicy aPolicy, double aLoad, Milliseconds aTime)
  {
    static std::map<std::pair<PlacementPolicy, double>, PlayResults> plays;
    const auto [item, isNew] = plays.try_emplace({aPolicy, aLoad});
    PlayResults& results = item->second;
    if (!isNew) {
      return results;
    }
    results = PlacementPlay(aPolicy, aLoad, aTime, kSeed).Run();
    std::cout << "\n"
              << kPolicyNames[static_cast<std::size_t>(aPolicy)] << ", load " << aLoad
              << std::setprecision(4) << ": busy " << results.mBusyShare << ", busiest over mean "
              << results.mBusiest << ", openings " << std::setprecision(0) << std::fixed
              << results.mOpenings << ", rejected " << results.mRejected << " ("
              << results.mRejectedNeedless << " while another had a free slot), failing verdicts "
              << results.mFailingVerdicts << "\n";
    for (std::size_t i = 0; i < kPlayKinds.size(); ++i) {
      Print(kPlayKinds[i].mName, results.mByKind[i]);
    }
    for (std::size_t i = 0; i < PlayResults::kDataCentres; ++i) {
      Print(("centre " + std::to_string(i)).c_str(), results.mByDataCentre[i]);
    }
    std::cout << std::defaultfloat << std::flush;
    return results;
  }

  static const PlayResults& AtLow(PlacementPolicy aPolicy = PlacementPolicy::Selector)
  {
    return Play(aPolicy, 0.4, Milliseconds{45'000});
  }

  static const PlayResults& InOverload(PlacementPolicy aPolicy = PlacementPolicy::Selector)
  {
    return Play(aPolicy, 1.5, Milliseconds{15'000});
  }

  // Guards against balancers that choose the same upstreams at the same moment.
  void FewOpeningsAreRejectedWhileUpstreamsAreFree()
  {
    const PlayResults& results = AtLow();
    CPPUNIT_ASSERT(results.mOpenings > 50'000);
    CPPUNIT_ASSERT(results.mRejectedNeedless <= results.mOpenings / 10'000);
  }

  // Guards against slow upstreams that get as many requests as fast ones.
  void LoadIsEven()
  {
    CPPUNIT_ASSERT(AtLow().mBusyShare > 0.38 && AtLow().mBusyShare < 0.42);
    CPPUNIT_ASSERT(AtLow().mBusiest <= 1.2);
  }

  // Guards against a placement by which more openings fail than by one that keeps no state and asks
  // nobody. At low load the parts in goal are not compared: requests of seven times the usual cost
  // miss their goal at the slowest upstreams, and baselines that use these less look better by
  // 0.1%.
  void BaselinesAreNoBetter()
  {
    for (const auto policy : {PlacementPolicy::Today, PlacementPolicy::Random,
                              PlacementPolicy::Fewest, PlacementPolicy::TwoChoices}) {
      CPPUNIT_ASSERT(AtLow(policy).mRejected >= AtLow().mRejected);
      CPPUNIT_ASSERT(Part(InOverload(policy).mByKind[0], InGoal) <=
                     Part(InOverload().mByKind[0], InGoal));
    }
  }

  // Guards against admission that refuses requests of an urgent route like any other.
  void UrgentRequestsKeepTheirGoalInOverload()
  {
    CPPUNIT_ASSERT(Part(InOverload().mByKind[0], InGoal) >= 0.95);
  }

  // Guards against slots that stay free for urgent requests while others are refused, and against
  // kinds that get nothing.
  void LesserKindsGetTheRestInOverload()
  {
    const PlayResults& results = InOverload();
    CPPUNIT_ASSERT(results.mBusyShare >= 0.95);
    for (std::size_t i = 1; i < kPlayKinds.size(); ++i) {
      CPPUNIT_ASSERT(Part(results.mByKind[i], InGoal) >= 0.1);
    }
  }

  // Guards against callers that get less because their balancers are further from free upstreams.
  void DataCentresGetEqualSharesInOverload()
  {
    std::array<double, PlayResults::kDataCentres> inGoal{};
    double sum = 0;
    for (std::size_t i = 0; i < inGoal.size(); ++i) {
      inGoal[i] = Part(InOverload().mByDataCentre[i], InGoal);
      sum += inGoal[i];
    }
    const double mean = sum / static_cast<double>(inGoal.size());
    CPPUNIT_ASSERT(*std::min_element(inGoal.begin(), inGoal.end()) >= 0.9 * mean);
  }

  // Guards against costly requests and full queues that count as failures.
  void BusyUpstreamsAreNotTakenForFailing()
  {
    const PlayResults& results = Play(PlacementPolicy::Selector, 0.9, Milliseconds{30'000});
    CPPUNIT_ASSERT(results.mBusyShare > 0.85);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, results.mFailingVerdicts);
  }

  // Guards against requests that count as overdue because later ones were rejected by a full queue,
  // and against rejections that lower what is usual. Balancers of the last release and those of
  // routes without a goal don't ask, so that queues are full in overload.
  void FullUpstreamsAreNotTakenForFailing()
  {
    for (const auto policy : {PlacementPolicy::Today, PlacementPolicy::Random,
                              PlacementPolicy::Fewest, PlacementPolicy::TwoChoices}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InOverload(policy).mFailingVerdicts);
    }
  }

  // Guards against verdicts on a slow upstream whose queue is full before its usual answers are
  // known.
  void UnknownUpstreamsAreNotTakenForFailing()
  {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      PlacementPlay play(PlacementPolicy::Today, 1.5, Milliseconds{1'000}, seed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, play.Run().mFailingVerdicts);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementLoadTest);

} // namespace

} // namespace dandelionslip
