// Control VMs that are replaced at new addresses, so that the seeds of the first start are gone.
#include "Control/SupervisedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace dandelionslip {

namespace {

constexpr std::size_t kVoters = 5;
constexpr std::size_t kSuccessors = 4;
constexpr std::uint64_t kSeeds = 5;
constexpr Milliseconds kCatchUp{4'000}; // After it, the next replacement or loss may come.
constexpr Milliseconds kSuccessorDelay{1'000};
constexpr Milliseconds kLeaderTime{700}; // Shorter than ReplicaRepairSettings::mVoterTimeout.
constexpr Milliseconds kElection{100};
constexpr Milliseconds kShortCut{800}; // Longer than ReplicaRepairSettings::mLeaderObservation.
constexpr Milliseconds kFreeze{7'000}; // Longer than ReplicaRepairSettings::mVoterTimeout.

// Set DANDELIONSLIP_DEPARTURE_SEEDS for a long run.
std::uint64_t LossSeedCount()
{
  constexpr std::uint64_t kLossSeeds = 25;
  const char* text = std::getenv("DANDELIONSLIP_DEPARTURE_SEEDS");
  return text == nullptr ? kLossSeeds : std::strtoull(text, nullptr, 10);
}

class ReplicaReplacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaReplacementTest);
  CPPUNIT_TEST(ReplacedReplicasJoinAgainAfterAllSeedsAreGone);
  CPPUNIT_TEST(ReplicasThatKnowNoLivingMemberReadTheSeedsAgain);
  CPPUNIT_TEST(VotersLostWhileLeadersChangeAreReplaced);
  CPPUNIT_TEST(VoterThatMissesAChangeOfLeaderIsKept);
  CPPUNIT_TEST_SUITE_END();

  // Replaces VM i by VM kVoters + i, for the first three.
  static void ReplaceSeeds(SupervisedCluster& aCluster)
  {
    for (std::size_t i = 0; i < kSuccessors; ++i) {
      aCluster.RemoveVm(kVoters + i);
    }
    aCluster.WriteSeeds({0, 1, 2});
    aCluster.RunFor(kCatchUp);
    for (std::size_t i = 0; i < 3; ++i) {
      aCluster.AddVm(kVoters + i);
      aCluster.RunFor(kCatchUp);
      aCluster.RemoveVm(i);
      aCluster.RunFor(kCatchUp);
      if (i == 0) {
        aCluster.WriteSeeds({kVoters, 1, 2});
      }
    }
    aCluster.WriteSeeds({kVoters, kVoters + 1, kVoters + 2});
    aCluster.RunFor(kCatchUp);
    CPPUNIT_ASSERT_MESSAGE(aCluster.Describe(), aCluster.AllVotersRun());
  }

  static void LoseTwoDisks(SupervisedCluster& aCluster)
  {
    for (const std::size_t lost : {kVoters, kVoters + 1}) {
      aCluster.RemoveVm(lost);
      CPPUNIT_ASSERT(aCluster.At(lost).TakeNewIdentity());
    }
    aCluster.RunFor(kCatchUp);
    CPPUNIT_ASSERT_MESSAGE(aCluster.Describe(), aCluster.Leader().has_value());
  }

  // Guards against a group that keeps a voter on a removed VM, because a replica that was replaced
  // while it could not be reached asks only the seeds of its start, which are gone, to join again.
  // The loss of two disks then leaves no quorum.
  void ReplacedReplicasJoinAgainAfterAllSeedsAreGone()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SupervisedCluster cluster(kVoters, kSuccessors, RestartRule::AfterDelay, seed);
      ReplaceSeeds(cluster);
      cluster.Isolate(3);
      cluster.AddVm(kVoters + 3);
      cluster.RunFor(kFreeze);
      cluster.Heal();
      cluster.RunFor(kCatchUp);
      cluster.RemoveVm(4);
      cluster.RunFor(kCatchUp);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + cluster.Describe(),
                             cluster.AllVotersRun());
      LoseTwoDisks(cluster);
      CPPUNIT_ASSERT_EQUAL(std::string(), cluster.FirstViolation());
    }
  }

  // Guards against a replica that knows no member that still exists, because it was cut off while
  // all others were replaced, and that does not read the seeds again.
  void ReplicasThatKnowNoLivingMemberReadTheSeedsAgain()
  {
    SupervisedCluster cluster(kVoters, kSuccessors, RestartRule::AfterDelay, 1);
    for (std::size_t i = 0; i < kSuccessors; ++i) {
      cluster.RemoveVm(kVoters + i);
    }
    cluster.RunFor(kCatchUp);
    cluster.Isolate(4);
    for (std::size_t i = 0; i < kSuccessors; ++i) {
      cluster.AddVm(kVoters + i);
      cluster.RunFor(kCatchUp);
      cluster.RemoveVm(i);
      cluster.WriteSeeds({kVoters, (i + 1) % kVoters, kVoters + i});
      cluster.RunFor(kCatchUp);
    }
    cluster.WriteSeeds({kVoters, kVoters + 1, kVoters + 2});
    cluster.Heal();
    cluster.RunFor(kCatchUp);
    CPPUNIT_ASSERT_MESSAGE(cluster.Describe(), cluster.AllVotersRun());
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.FirstViolation());
  }

  // Guards against lost voters that stay in the group because no leader lasts long enough to find
  // them silent by itself; the loss of two disks then leaves no quorum (review/11).
  void VotersLostWhileLeadersChangeAreReplaced()
  {
    for (std::uint64_t seed = 1; seed <= LossSeedCount(); ++seed) {
      Random random(seed);
      SupervisedCluster cluster(kVoters, 2, RestartRule::AfterDelay, seed);
      cluster.RemoveVm(kVoters);
      cluster.RemoveVm(kVoters + 1);
      cluster.RunFor(kCatchUp);
      const std::size_t first = random.Below(kVoters);
      cluster.RemoveVm(first);
      cluster.RemoveVm((first + 1 + random.Below(kVoters - 1)) % kVoters);
      cluster.RunFor(kSuccessorDelay);
      cluster.AddVm(kVoters);
      cluster.AddVm(kVoters + 1);
      const TimePoint end = cluster.Now() + kCatchUp;
      while (cluster.Now() < end) {
        cluster.RunFor(
          std::min(kLeaderTime, std::chrono::duration_cast<Milliseconds>(end - cluster.Now())));
        if (const auto leader = cluster.Leader()) {
          static_cast<void>(cluster.At(*leader).Transfer(cluster.Now()).has_value());
        }
      }
      cluster.RunFor(kElection);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + cluster.Describe(),
                             cluster.AllVotersRun());
      LoseTwoDisks(cluster);
      CPPUNIT_ASSERT_EQUAL(std::string(), cluster.FirstViolation());
    }
  }

  // Guards against a new leader that takes a voter for lost after a moment of silence, because
  // followers do not hear from each other.
  void VoterThatMissesAChangeOfLeaderIsKept()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SupervisedCluster cluster(kVoters, 1, RestartRule::AfterDelay, seed);
      cluster.RunFor(kCatchUp);
      const std::size_t leader = *cluster.Leader();
      const std::size_t away = (leader + 1) % kVoters;
      cluster.Isolate(away);
      const std::vector<ReplicaId> avoided{cluster.At(away).Id()};
      CPPUNIT_ASSERT(cluster.At(leader).Transfer(cluster.Now(), {}, avoided));
      cluster.RunFor(kShortCut);
      CPPUNIT_ASSERT_MESSAGE(cluster.Describe(), cluster.Leader() && cluster.Leader() != leader);
      cluster.Heal();
      cluster.RunFor(kCatchUp);
      const RaftMembership& members = cluster.At(*cluster.Leader()).Core().Members();
      CPPUNIT_ASSERT_MESSAGE(cluster.Describe(), members.IsVoter(cluster.At(away).Id()));
      CPPUNIT_ASSERT_MESSAGE(cluster.Describe(), !members.IsVoter(cluster.At(kVoters).Id()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaReplacementTest);

} // namespace

} // namespace dandelionslip
