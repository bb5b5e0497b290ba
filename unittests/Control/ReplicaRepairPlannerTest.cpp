// Tests of the replacement of lost replicas.
#include "dandelionslip/Control/ReplicaRepairPlanner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

class ReplicaRepairPlannerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaRepairPlannerTest);
  CPPUNIT_TEST(GroupGrowsToItsTarget);
  CPPUNIT_TEST(LearnersBehindAreNotPromoted);
  CPPUNIT_TEST(WipedReplicaIsReplacedBeforeItsOldIdentityGoes);
  CPPUNIT_TEST(DeadVoterIsReplacedBySpare);
  CPPUNIT_TEST(RestartedVoterKeepsItsPlace);
  CPPUNIT_TEST(VotersNeverFallBelowTheTarget);
  CPPUNIT_TEST(NewLeaderWaitsBeforeItCallsAVoterSilent);
  CPPUNIT_TEST_SUITE_END();

  ReplicaRepairPlanner mKeeper{ReplicaRepairSettings{}};
  RaftMembership mMembers;
  std::map<ReplicaId, LogIndex> mMatch;
  TimePoint mNow = kStart;

  static std::string AddressOf(const ReplicaId& aId) { return "10.0.0." + aId + ":7720"; }

  void AddVoters(std::initializer_list<const char*> aIds)
  {
    for (const char* id : aIds) {
      mMembers.mReplicas[id] = {AddressOf(id), true, 1};
    }
    mKeeper.OnBecameLeader(mNow);
  }

  // Time passes; all members but the silent ones are heard.
  void Pass(Milliseconds aTime, const std::set<ReplicaId>& aSilent = {})
  {
    for (Milliseconds step{0}; step < aTime; step += Milliseconds{100}) {
      mNow += Milliseconds{100};
      for (const auto& [id, info] : mMembers.mReplicas) {
        if (!aSilent.contains(id)) {
          mKeeper.OnMessageFrom(id, mNow);
          mKeeper.OnJoinRequest(id, info.mAddress, mNow);
        }
      }
    }
  }

  std::optional<RaftMembershipChange> Next()
  {
    return mKeeper.Next({mMembers, "1", 10, [this](const ReplicaId& aId) { return mMatch[aId]; }},
                        mNow);
  }

  // Applies the next change and returns it as text; empty when there is none.
  std::string Step()
  {
    const auto change = Next();
    if (!change) {
      return "";
    }
    switch (change->mKind) {
      case RaftMembershipChangeKind::AddLearner:
        mMembers.mReplicas[change->mReplica] = {change->mAddress, false, 0};
        mKeeper.OnMessageFrom(change->mReplica, mNow);
        return "add " + change->mReplica;
      case RaftMembershipChangeKind::Promote:
        mMembers.mReplicas[change->mReplica].mVoter = true;
        return "promote " + change->mReplica;
      case RaftMembershipChangeKind::Remove:
        mMembers.mReplicas.erase(change->mReplica);
        mMembers.mRemoved.push_back(change->mReplica);
        return "remove " + change->mReplica;
    }
    return "";
  }

  void AssertStep(const std::string& aExpected) { CPPUNIT_ASSERT_EQUAL(aExpected, Step()); }

  // Guards against a group that stays at its three founders and loses an acknowledged change when
  // two disks are lost.
  void GroupGrowsToItsTarget()
  {
    AddVoters({"1", "2", "3"});
    mKeeper.OnJoinRequest("4", AddressOf("4"), mNow);
    mKeeper.OnJoinRequest("5", AddressOf("5"), mNow);
    mMatch = {{"4", 10}, {"5", 10}};
    AssertStep("add 4");
    AssertStep("promote 4");
    AssertStep("add 5");
    AssertStep("promote 5");
    AssertStep("");
    mKeeper.OnJoinRequest("6", AddressOf("6"), mNow);
    mMatch["6"] = 10;
    AssertStep("add 6");
    AssertStep("");
  }

  // Guards against a voter whose disk lacks committed entries.
  void LearnersBehindAreNotPromoted()
  {
    AddVoters({"1", "2", "3"});
    mKeeper.OnJoinRequest("4", AddressOf("4"), mNow);
    mMatch["4"] = 9;
    AssertStep("add 4");
    AssertStep("");
    mMatch["4"] = 10;
    AssertStep("promote 4");
  }

  // Guards against fewer disks with a committed entry while a wiped replica is replaced.
  void WipedReplicaIsReplacedBeforeItsOldIdentityGoes()
  {
    AddVoters({"1", "2", "3", "4", "5"});
    Pass(Milliseconds{500});
    mKeeper.OnJoinRequest("9", AddressOf("3"), mNow);
    mMatch["9"] = 10;
    AssertStep("add 9");
    AssertStep("promote 9");
    AssertStep("remove 3");
    AssertStep("");
  }

  // Guards against a group that cannot bear its next loss after a VM was replaced by another one.
  void DeadVoterIsReplacedBySpare()
  {
    AddVoters({"1", "2", "3", "4", "5"});
    mMembers.mReplicas["6"] = {AddressOf("6"), false, 0};
    mMatch["6"] = 10;
    Pass(Milliseconds{2'500}, {"4"});
    AssertStep("promote 6");
    AssertStep("remove 4");
    AssertStep("");
  }

  // Guards against replicas that lose their place at every planned restart.
  void RestartedVoterKeepsItsPlace()
  {
    AddVoters({"1", "2", "3", "4", "5"});
    mMembers.mReplicas["6"] = {AddressOf("6"), false, 0};
    mMatch["6"] = 10;
    Pass(Milliseconds{1'500}, {"4"});
    AssertStep("");
    Pass(Milliseconds{3'000});
    AssertStep("");
  }

  // Guards against removals that leave too few disks.
  void VotersNeverFallBelowTheTarget()
  {
    AddVoters({"1", "2", "3", "4", "5"});
    Pass(Milliseconds{60'000}, {"2", "3"});
    AssertStep("");
  }

  // Guards against a new leader that removes voters it had no time to hear.
  void NewLeaderWaitsBeforeItCallsAVoterSilent()
  {
    AddVoters({"1", "2", "3", "4", "5"});
    mMembers.mReplicas["6"] = {AddressOf("6"), false, 0};
    mMatch["6"] = 10;
    mNow += Milliseconds{60'000};
    mKeeper.OnBecameLeader(mNow);
    mKeeper.OnMessageFrom("6", mNow);
    AssertStep("");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaRepairPlannerTest);

} // namespace

} // namespace dandelionslip
