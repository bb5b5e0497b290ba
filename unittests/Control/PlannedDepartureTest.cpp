// Control replicas that are told to stop, and the faults that a deployment must bear right after.
#include "Control/SupervisedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace dandelionslip {

namespace {

constexpr std::size_t kVoters = 5;
constexpr Milliseconds kCatchUp{4'000};   // After it, a learner can be the successor of a voter.
constexpr Milliseconds kGrace{6'000};     // Longest planned stop.
constexpr Milliseconds kRecovery{12'000}; // After a loss of power.
constexpr Milliseconds kChangeInterval{100};
constexpr Milliseconds kStep{10};

// Set DANDELIONSLIP_DEPARTURE_SEEDS for a long run.
std::uint64_t SeedCount()
{
  constexpr std::uint64_t kSeeds = 25;
  const char* text = std::getenv("DANDELIONSLIP_DEPARTURE_SEEDS");
  return text == nullptr ? kSeeds : std::strtoull(text, nullptr, 10);
}

class PlannedDepartureTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlannedDepartureTest);
  CPPUNIT_TEST(TwoDisksCanBeLostRightAfterAPlannedReplacement);
  CPPUNIT_TEST(ThreePlannedReplacementsInSeriesKeepTheGroup);
  CPPUNIT_TEST(ReplacementsAtTheSameTimeKeepTheGroup);
  CPPUNIT_TEST(LeaderThatDiesDuringAHandOverLeavesNoVoteBehind);
  CPPUNIT_TEST(PacketLossLeavesNoVoteBehind);
  CPPUNIT_TEST(RestartsInTurnBesideASuccessorKeepVotersAndIdentities);
  CPPUNIT_TEST(DeparturesWithoutASuccessorEndSoon);
  CPPUNIT_TEST(DeparturesBeyondTheSuccessorsLeaveAQuorum);
  CPPUNIT_TEST(SuccessorThatHasJustStartedGetsTheVoteInTime);
  CPPUNIT_TEST(DepartureBesideACutOffVoterLeavesNoVoteBehind);
  CPPUNIT_TEST_SUITE_END();

  // A group whose successors have just had the time to catch up, with an operator at work.
  struct Group
  {
    Group(std::size_t aSuccessors, std::uint64_t aSeed, Milliseconds aSuccessorAge = kCatchUp)
      : mSeed(aSeed)
      , mRandom(aSeed)
      , mCluster(kVoters, aSuccessors, RestartRule::AfterDelay, aSeed)
    {
      for (std::size_t i = 0; i < aSuccessors; ++i) {
        mCluster.RemoveVm(kVoters + i);
      }
      mCluster.SendChangesEvery(kChangeInterval);
      mCluster.RunFor(Milliseconds{2'000});
      for (std::size_t i = 0; i < aSuccessors; ++i) {
        mCluster.AddVm(kVoters + i);
      }
      mCluster.RunFor(aSuccessorAge);
    }

    std::string Describe() { return "seed " + std::to_string(mSeed) + mCluster.Describe(); }

    // Distinct initial replicas, the leader first for each second seed.
    std::vector<std::size_t> Departures(std::size_t aCount)
    {
      std::vector<std::size_t> chosen;
      if (const auto leader = mCluster.Leader(); leader && mSeed % 2 == 0 && *leader < kVoters) {
        chosen.push_back(*leader);
      }
      while (chosen.size() < aCount) {
        const std::size_t next = mRandom.Below(kVoters);
        if (std::find(chosen.begin(), chosen.end(), next) == chosen.end()) {
          chosen.push_back(next);
        }
      }
      return chosen;
    }

    // Runs until all these processes have ended, in steps so that what follows comes at once.
    void AwaitEnd(const std::vector<std::size_t>& aIndexes)
    {
      const TimePoint limit = mCluster.Now() + kGrace;
      const auto stopping = [&](std::size_t aIndex) { return mCluster.Stopping(aIndex); };
      while (std::any_of(aIndexes.begin(), aIndexes.end(), stopping)) {
        CPPUNIT_ASSERT_MESSAGE("outlasts its grace: " + Describe(), mCluster.Now() < limit);
        mCluster.RunFor(kStep);
      }
    }

    // Loses power everywhere and the disks of two replicas that run. The settings files name
    // replicas that run, as the platform sees to.
    void LoseTwoDisks()
    {
      std::vector<std::size_t> running;
      for (std::size_t i = 0; i < mCluster.Size(); ++i) {
        if (mCluster.At(i).Running()) {
          running.push_back(i);
        }
      }
      running.resize(3);
      mCluster.WriteSeeds(running);
      std::set<std::size_t> lost;
      while (lost.size() < 2) {
        const std::size_t next = mRandom.Below(mCluster.Size());
        if (mCluster.At(next).Running()) {
          lost.insert(next);
        }
      }
      mCluster.LosePowerAndDisks(lost);
    }

    // The checker reports a new leader that lacks an acknowledged change.
    void AssertRecovers()
    {
      mCluster.RunFor(kRecovery);
      CPPUNIT_ASSERT_MESSAGE(Describe(), mCluster.Leader().has_value());
      CPPUNIT_ASSERT_MESSAGE(Describe(), mCluster.AllVotersRun());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(), std::string(), mCluster.FirstViolation());
    }

    std::uint64_t mSeed;
    Random mRandom;
    SupervisedCluster mCluster;
  };

  // Stops replicas one after another and loses two disks as soon as the last one has ended.
  static void ReplaceAndLoseTwoDisks(std::size_t aCount, Milliseconds aGap)
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(aCount, seed);
      const auto departures = group.Departures(aCount);
      for (const std::size_t index : departures) {
        group.mCluster.StopVm(index);
        group.mCluster.RunFor(aGap);
      }
      group.AwaitEnd(departures);
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }

  // Guards against a replica that ends with its vote although a successor has caught up: the loss
  // of two further disks then leaves two of five voters (review/12).
  void TwoDisksCanBeLostRightAfterAPlannedReplacement()
  {
    ReplaceAndLoseTwoDisks(1, Milliseconds{0});
  }

  // Guards against a group that replaces one stopped voter in some seconds, so that planned stops
  // which follow each other faster end it (review/13).
  void ThreePlannedReplacementsInSeriesKeepTheGroup()
  {
    ReplaceAndLoseTwoDisks(3, Milliseconds{500});
  }

  // Guards against hand-overs that go to a replica which is stopping too, or wait for each other.
  void ReplacementsAtTheSameTimeKeepTheGroup() { ReplaceAndLoseTwoDisks(3, Milliseconds{0}); }

  // Guards against a hand-over that is forgotten with the leader that began it.
  void LeaderThatDiesDuringAHandOverLeavesNoVoteBehind()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(1, seed);
      const std::size_t leader = *group.mCluster.Leader();
      const std::size_t leaving = (leader + 1 + group.mRandom.Below(kVoters - 1)) % kVoters;
      group.mCluster.StopVm(leaving);
      group.mCluster.RunFor(kStep * group.mRandom.Below(6));
      group.mCluster.RemoveVm(leader);
      group.AwaitEnd({leaving});
      // One machine is lost, so one disk more may be.
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.Leader().has_value());
      group.mCluster.AddVm(leader);
      group.mCluster.RunFor(kCatchUp);
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }

  // Guards against a hand-over that a lost message ends.
  void PacketLossLeavesNoVoteBehind()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(1, seed);
      group.mCluster.SetFaults({.mLoss = 0.05, .mMaxDelay = Milliseconds{20}});
      const auto departures = group.Departures(1);
      group.mCluster.StopVm(departures.front());
      group.AwaitEnd(departures);
      group.mCluster.SetFaults({});
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }

  // Guards against planned restarts that cost replicas their identities or the group a voter.
  void RestartsInTurnBesideASuccessorKeepVotersAndIdentities()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(1, seed);
      for (std::size_t i = 0; i < kVoters; ++i) {
        group.mCluster.StopVm(i);
        group.AwaitEnd({i});
        group.mCluster.RunFor(Milliseconds{500} + kStep * group.mRandom.Below(100));
        CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.Leader().has_value());
        group.mCluster.AddVm(i);
        group.mCluster.RunFor(kCatchUp);
        CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.mCluster.NewIdentities());
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }

  // Guards against planned restarts that take the whole time for a stop where no learner could take
  // over the vote.
  void DeparturesWithoutASuccessorEndSoon()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(0, seed);
      for (std::size_t i = 0; i < kVoters; ++i) {
        group.mCluster.StopVm(i);
        group.mCluster.RunFor(Milliseconds{500});
        CPPUNIT_ASSERT_MESSAGE(group.Describe(), !group.mCluster.Stopping(i));
        group.mCluster.AddVm(i);
        group.mCluster.RunFor(Milliseconds{1'000});
        CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      }
    }
  }

  // Guards against replicas that wait for a successor which another one gets, and against a group
  // that loses its quorum with them.
  void DeparturesBeyondTheSuccessorsLeaveAQuorum()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(1, seed);
      const auto departures = group.Departures(3);
      for (const std::size_t index : departures) {
        group.mCluster.StopVm(index);
        group.mCluster.RunFor(kStep * group.mRandom.Below(50));
      }
      group.AwaitEnd(departures);
      group.mCluster.RunFor(Milliseconds{1'000});
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.Leader().has_value());
      for (const std::size_t index : departures) {
        group.mCluster.AddVm(index);
      }
      group.mCluster.RunFor(kCatchUp);
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }

  // Guards against a vote that stays behind because the successor had just started when the replica
  // was told to stop. The successor has its time to catch up.
  void SuccessorThatHasJustStartedGetsTheVoteInTime()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      const Milliseconds age = Milliseconds{50} + kStep * (seed % 30);
      Group group(1, seed, age);
      const TimePoint caughtUp = group.mCluster.Now() - age + kCatchUp;
      const auto departures = group.Departures(1);
      group.mCluster.StopVm(departures.front());
      group.AwaitEnd(departures);
      group.mCluster.RunFor(
        std::chrono::duration_cast<Milliseconds>(caughtUp - group.mCluster.Now()));
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }

  // Guards against a planned stop that takes the only successor from a voter that is gone, or waits
  // for it.
  void DepartureBesideACutOffVoterLeavesNoVoteBehind()
  {
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      Group group(2, seed);
      const auto chosen = group.Departures(2);
      group.mCluster.Isolate(chosen.front());
      group.mCluster.RunFor(kStep * group.mRandom.Below(300));
      group.mCluster.StopVm(chosen.back());
      group.AwaitEnd({chosen.back()});
      // Until then one machine is lost for catch_up_s.
      group.mCluster.RunFor(kCatchUp);
      group.mCluster.Heal();
      group.mCluster.RunFor(kCatchUp);
      CPPUNIT_ASSERT_MESSAGE(group.Describe(), group.mCluster.AllVotersRun());
      group.LoseTwoDisks();
      group.AssertRecovers();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedDepartureTest);

} // namespace

} // namespace dandelionslip
