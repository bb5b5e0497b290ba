// Tests of generations, weights and view revisions.
#include "ControlFixtures.h"

#include "dandelionslip/Control/ViewBuilder.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

using namespace std::chrono_literals;

// One leader with its builder and leases; every step takes 500 ms, one announcement interval.
struct Leader
{
  MembershipSettings mSettings;
  LeaseTable mLeases{mSettings};
  ViewBuilder mBuilder{mSettings};
  Configuration mConfiguration = PlannerConfiguration();
  std::map<std::string, Announcement> mAgents;
  std::set<std::string> mNotAcknowledging;
  TimePoint mNow = kTestStart;

  Leader() { mBuilder.StartTerm(1, View{}); }

  void Add(const std::string& aName, std::uint32_t aWeight = kFullWeight)
  {
    mAgents[aName] = AgentAnnouncement(aName, 1, MemberState::Serving, aWeight);
  }

  const std::vector<Generation>& Generations() const
  {
    static const std::vector<Generation> kNone;
    const auto found = mBuilder.Current().mServices.find("planner");
    return found == mBuilder.Current().mServices.end() ? kNone : found->second.mGenerations;
  }

  std::uint32_t NewestNumber() const
  {
    return Generations().empty() ? 0 : Generations()[0].mNumber;
  }

  std::uint32_t WeightOf(const std::string& aName) const
  {
    for (const WeightedMember& member : Generations().at(0).mMembers) {
      if (member.mMember == aName) {
        return member.mWeight;
      }
    }
    return 0;
  }

  void Announce()
  {
    for (auto& [name, agent] : mAgents) {
      if (!mNotAcknowledging.contains(name)) {
        agent.mAckedGeneration = NewestNumber();
      }
      mLeases.Renew(agent, mNow);
    }
  }

  bool Step(std::chrono::milliseconds aPause = 500ms)
  {
    mNow += aPause;
    Announce();
    mLeases.Expire(mNow);
    return mBuilder.Update(mConfiguration, mLeases, mNow);
  }

  void Settle(int aSteps = 80)
  {
    for (int i = 0; i < aSteps; ++i) {
      Step();
    }
  }
};

class ViewBuilderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ViewBuilderTest);
  CPPUNIT_TEST(FirstGenerationUsesAnnouncedWeights);
  CPPUNIT_TEST(JoiningMembersStartLowAndGrowInSteps);
  CPPUNIT_TEST(ColdMembersGetTheirLowWeightAtOnce);
  CPPUNIT_TEST(WeightNoiseCreatesNoGeneration);
  CPPUNIT_TEST(PlannedChangesWaitForAcknowledgement);
  CPPUNIT_TEST(LossAndDataCentreOutDoNotWait);
  CPPUNIT_TEST(ForcedChangesKeepAnAcknowledgedGeneration);
  CPPUNIT_TEST(RestartingMembersKeepTheirWeight);
  CPPUNIT_TEST(LastMembersKeepTheirBuckets);
  CPPUNIT_TEST(ReturningDataCentreStartsWithLowWeight);
  CPPUNIT_TEST(RecreatedServicesGetNewGenerations);
  CPPUNIT_TEST(TermsNeverReuseGenerationNumbers);
  CPPUNIT_TEST(RandomChangesKeepTheRules);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a service that starts with needless bucket moves.
  void FirstGenerationUsesAnnouncedWeights()
  {
    Leader leader;
    leader.Add("a");
    leader.Add("b", 400);
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(1000U, leader.WeightOf("a"));
    CPPUNIT_ASSERT_EQUAL(400U, leader.WeightOf("b"));
    leader.Settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.Generations().size());
  }

  // Guards against a new upstream that gets its full share at once.
  void JoiningMembersStartLowAndGrowInSteps()
  {
    Leader leader;
    leader.Add("a");
    leader.Settle(4);
    leader.Add("b");
    std::uint32_t before = 0;
    TimePoint last = leader.mNow - 10s;
    while (leader.WeightOf("b") < kFullWeight) {
      CPPUNIT_ASSERT(leader.mNow < kTestStart + 60s);
      leader.Step(100ms);
      const std::uint32_t weight = leader.WeightOf("b");
      if (weight != before) {
        CPPUNIT_ASSERT(before == 0 ? weight == kJoinWeight : weight * 4 <= before * 5);
        CPPUNIT_ASSERT(leader.mNow - last >= 1s);
        last = leader.mNow;
        before = weight;
      }
    }
  }

  // Guards against a cold member that keeps the weight that it had before.
  void ColdMembersGetTheirLowWeightAtOnce()
  {
    Leader leader;
    leader.Add("a");
    leader.Add("b");
    leader.Settle(4);
    leader.mAgents["a"].mMember.mState = MemberState::Cold;
    leader.mAgents["a"].mWeight = 50;
    leader.mAgents["b"].mWeight = 500;
    leader.Step(1s);
    CPPUNIT_ASSERT_EQUAL(50U, leader.WeightOf("a"));
    CPPUNIT_ASSERT_EQUAL(800U, leader.WeightOf("b"));
  }

  // Guards against bucket moves caused by noise of the capacity estimate.
  void WeightNoiseCreatesNoGeneration()
  {
    constexpr std::uint64_t kSeed = 11;
    Random random(kSeed);
    Leader leader;
    leader.Add("a");
    leader.Add("b");
    leader.Settle(4);
    const std::uint32_t number = leader.NewestNumber();
    for (int i = 0; i < 100; ++i) {
      leader.mAgents["a"].mWeight = static_cast<std::uint32_t>(971 + random.Below(59));
      leader.Step();
    }
    CPPUNIT_ASSERT_EQUAL(number, leader.NewestNumber());
    leader.mAgents["a"].mWeight = 960;
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(number + kGenerationStride, leader.NewestNumber());
  }

  // Guards against a new owner that fetches a directory from a previous owner whose directory is
  // not complete itself.
  void PlannedChangesWaitForAcknowledgement()
  {
    Leader leader;
    for (const char* name : {"a", "b", "c"}) {
      leader.Add(name);
    }
    leader.mNotAcknowledging = {"c"};
    leader.Step();
    const std::uint32_t first = leader.NewestNumber();
    leader.mAgents["a"].mMember.mState = MemberState::Draining;
    leader.Add("d");
    leader.Settle(10);
    CPPUNIT_ASSERT_EQUAL(first, leader.NewestNumber());
    leader.mNotAcknowledging.clear();
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(first + kGenerationStride, leader.NewestNumber());
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("a"));
    leader.mConfiguration.mDrained["b"] = true;
    leader.Step(10ms);
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("b"));
    CPPUNIT_ASSERT(MemberState::Draining == leader.mBuilder.Current().FindMember("b")->mState);
    leader.mAgents["c"].mMember.mState = MemberState::Left;
    leader.mNotAcknowledging = {"c"};
    leader.Step(10ms);
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("c"));
  }

  // Guards against buckets that stay without a live owner because a bucket transfer is not
  // complete.
  void LossAndDataCentreOutDoNotWait()
  {
    Leader leader;
    for (const char* name : {"a", "b", "c", "d"}) {
      leader.Add(name);
    }
    leader.mAgents["d"].mMember.mDataCentre = "klang-b";
    leader.mNotAcknowledging = {"a", "b"};
    leader.Step();
    leader.mAgents["b"].mWeight = 500;
    leader.mConfiguration.mDataCentres["klang-b"].mOutOfService = true;
    leader.Step(10ms);
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("d"));
    CPPUNIT_ASSERT_EQUAL(1000U, leader.WeightOf("b"));
    leader.mAgents.erase("c");
    leader.Step(1s);
    CPPUNIT_ASSERT_EQUAL(1000U, leader.WeightOf("c"));
    leader.Step(1'500ms);
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("c"));
    CPPUNIT_ASSERT(MemberState::Lost == leader.mBuilder.Current().FindMember("c")->mState);
    CPPUNIT_ASSERT_EQUAL(1000U, leader.WeightOf("b"));
  }

  // Guards against repeated losses that remove the last acknowledged generation from the view,
  // after which no agent can find out where a flow is.
  void ForcedChangesKeepAnAcknowledgedGeneration()
  {
    Leader leader;
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      leader.Add(name);
      leader.mAgents[name].mMember.mDataCentre = name;
    }
    leader.Settle(4);
    const std::uint32_t acknowledged = leader.NewestNumber();
    leader.mNotAcknowledging = {"a"};
    for (const char* out : {"b", "c", "d"}) {
      leader.mConfiguration.mDataCentres[out].mOutOfService = true;
      leader.Step();
    }
    CPPUNIT_ASSERT_EQUAL(acknowledged, leader.Generations().back().mNumber);
    CPPUNIT_ASSERT_EQUAL(kMaxGenerations, leader.Generations().size());
    CPPUNIT_ASSERT_EQUAL(1000U, leader.WeightOf("d"));
    leader.mNotAcknowledging.clear();
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("d"));
  }

  // Guards against a planned restart that moves buckets.
  void RestartingMembersKeepTheirWeight()
  {
    Leader leader;
    leader.Add("a");
    leader.Add("b");
    leader.Settle(4);
    const std::uint32_t number = leader.NewestNumber();
    leader.mAgents["a"].mMember.mState = MemberState::Restarting;
    leader.mAgents["a"].mWeight = 0;
    leader.Step();
    leader.mAgents.erase("a");
    for (int i = 0; i < 19; ++i) {
      leader.Step();
      CPPUNIT_ASSERT_EQUAL(number, leader.NewestNumber());
    }
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("a"));
  }

  // Guards against flows of a drained or unreachable service that lose their owner although no
  // other member could take them.
  void LastMembersKeepTheirBuckets()
  {
    Leader leader;
    leader.Add("a");
    leader.Settle(4);
    const std::uint32_t number = leader.NewestNumber();
    leader.mConfiguration.mDrained["a"] = true;
    leader.Settle(4);
    CPPUNIT_ASSERT_EQUAL(1000U, leader.WeightOf("a"));
    leader.mConfiguration.mDrained.clear();
    const auto agents = leader.mAgents;
    leader.mAgents.clear();
    leader.Settle(10);
    CPPUNIT_ASSERT(MemberState::Lost == leader.mBuilder.Current().FindMember("a")->mState);
    leader.mAgents = agents;
    leader.Settle(4);
    CPPUNIT_ASSERT_EQUAL(number, leader.NewestNumber());
  }

  // Guards against full load on members whose data centre has just returned to service.
  void ReturningDataCentreStartsWithLowWeight()
  {
    Leader leader;
    leader.Add("a");
    leader.Add("b");
    leader.mAgents["b"].mMember.mDataCentre = "klang-b";
    leader.Settle(4);
    leader.mConfiguration.mDataCentres["klang-b"].mOutOfService = true;
    leader.Settle(4);
    CPPUNIT_ASSERT_EQUAL(0U, leader.WeightOf("b"));
    leader.mConfiguration.mDataCentres["klang-b"].mOutOfService = false;
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(kJoinWeight, leader.WeightOf("b"));
  }

  // Guards against generations of a deleted service that are taken for those of a new service with
  // the same name.
  void RecreatedServicesGetNewGenerations()
  {
    Leader leader;
    leader.Add("a");
    leader.Settle(4);
    leader.mConfiguration.mServices["planner"].mId = 9;
    leader.Step();
    CPPUNIT_ASSERT_EQUAL(ServiceId{9},
                         leader.mBuilder.Current().mServices.at("planner").mServiceId);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.Generations().size());
    leader.mConfiguration.mServices.clear();
    leader.Step();
    CPPUNIT_ASSERT(leader.mBuilder.Current().mServices.empty());
  }

  // Guards against two leaders that use one generation number for different assignments.
  void TermsNeverReuseGenerationNumbers()
  {
    Leader known;
    known.Add("a");
    known.Add("b");
    known.Settle(4);
    std::set<std::uint32_t> used;
    for (const std::uint64_t term : {2U, 3U, 4U}) {
      Leader leader = known;
      leader.mBuilder.StartTerm(term, known.mBuilder.Current());
      leader.mAgents["a"].mWeight = 500;
      for (std::uint64_t i = 0; i < kMaxUnheldViews; ++i) {
        const std::uint32_t before = leader.NewestNumber();
        leader.mAgents["a"].mWeight = i % 2 == 0 ? 500 : 1000;
        leader.Step(1s);
        CPPUNIT_ASSERT(leader.NewestNumber() == before ||
                       used.insert(leader.NewestNumber()).second);
      }
      CPPUNIT_ASSERT(leader.mBuilder.Current().mRevision >> 32U == term);
    }
    CPPUNIT_ASSERT(used.size() > kMaxUnheldViews);
  }

  static bool IsAcknowledged(const Leader& aLeader, const Generation& aGeneration)
  {
    return ViewBuilder::Unacknowledged(aGeneration, aLeader.mConfiguration, aLeader.mLeases)
      .empty();
  }

  static std::map<std::string, std::uint32_t> WeightsOf(const Generation& aGeneration)
  {
    std::map<std::string, std::uint32_t> weights;
    for (const WeightedMember& member : aGeneration.mMembers) {
      CPPUNIT_ASSERT(weights.empty() || weights.rbegin()->first < member.mMember);
      weights[member.mMember] = member.mWeight;
    }
    return weights;
  }

  // Returns whether weights of members in both generations differ.
  static bool CheckStep(const Generation& aBefore, const Generation& aAfter)
  {
    const auto before = WeightsOf(aBefore);
    bool stepped = false;
    for (const auto& [name, weight] : WeightsOf(aAfter)) {
      if (const auto old = before.find(name); old != before.end()) {
        CPPUNIT_ASSERT(weight * 4 <= old->second * 5 && old->second * 4 <= weight * 5);
        stepped = stepped || weight != old->second;
      }
    }
    return stepped;
  }

  static void CheckForced(const Leader& aLeader, const Generation& aBefore,
                          const Generation& aAfter)
  {
    const auto after = WeightsOf(aAfter);
    for (const auto& [name, weight] : WeightsOf(aBefore)) {
      const Member* member = aLeader.mBuilder.Current().FindMember(name);
      const bool alive = member != nullptr && HoldsFlows(member->mState) &&
                         !aLeader.mConfiguration.IsDataCentreOut(member->mDataCentre);
      CPPUNIT_ASSERT(after.contains(name) == alive);
      CPPUNIT_ASSERT(!alive || after.at(name) == weight);
    }
  }

  static void CheckRules(const Leader& aLeader, const View& aBefore, TimePoint& aLastStep)
  {
    CPPUNIT_ASSERT(aLeader.mBuilder.Current().mRevision >= aBefore.mRevision);
    const auto& generations = aLeader.Generations();
    const auto service = aBefore.mServices.find("planner");
    if (service == aBefore.mServices.end() || service->second.mGenerations.empty() ||
        service->second.mGenerations[0] == generations[0]) {
      return;
    }
    const Generation& previous = service->second.mGenerations[0];
    CPPUNIT_ASSERT(generations[0].mNumber > previous.mNumber && generations[1] == previous);
    if (CheckStep(previous, generations[0])) {
      CPPUNIT_ASSERT(aLeader.mNow - aLastStep >= 1s);
      aLastStep = aLeader.mNow;
    }
    if (!IsAcknowledged(aLeader, previous)) {
      CheckForced(aLeader, previous, generations[0]);
    }
    // An acknowledged generation was dropped only if another one is still there.
    CPPUNIT_ASSERT(service->second.mGenerations.size() < kMaxGenerations ||
                   IsAcknowledged(aLeader, generations[1]) ||
                   IsAcknowledged(aLeader, generations[2]));
  }

  // Guards against sequences of loss, drain, data centre out, slow acknowledgement and new terms
  // after which weight steps come too early, the last acknowledged generation is dropped, or a
  // revision goes down.
  void RandomChangesKeepTheRules()
  {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Random random(seed);
      Leader leader;
      std::uint64_t term = 1;
      TimePoint lastStep;
      for (int step = 0; step < 300; ++step) {
        const std::string name(1, static_cast<char>('a' + random.Below(8)));
        const std::string dataCentre =
          "klang-" + std::string(1, static_cast<char>('a' + random.Below(3)));
        switch (random.Below(9)) {
          case 0:
            leader.mAgents.erase(name);
            break;
          case 1:
            leader.mConfiguration.mDrained[name] = random.Below(2) == 0;
            break;
          case 2:
            leader.mConfiguration.mDataCentres[dataCentre].mOutOfService = random.Below(3) == 0;
            break;
          case 3:
            leader.mNotAcknowledging.insert(name);
            break;
          case 4:
            leader.mNotAcknowledging.clear();
            break;
          case 5:
            leader.mBuilder.StartTerm(++term, View(leader.mBuilder.Current()));
            break;
          default:
            leader.Add(name, static_cast<std::uint32_t>(random.Below(1200)));
            leader.mAgents[name].mMember.mDataCentre = dataCentre;
        }
        const View before = leader.mBuilder.Current();
        leader.Step(Milliseconds(random.Below(1'000)));
        CheckRules(leader, before, lastStep);
      }
      CPPUNIT_ASSERT(leader.NewestNumber() > 20 * kGenerationStride);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewBuilderTest);

} // namespace

} // namespace dandelionslip
