// Seeded schedules of message faults, crashes and membership changes.
//
// The environment variable DANDELIONSLIP_RAFT_SEED replays one seed.
#include "Control/SimulatedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace dandelionslip {

namespace {

constexpr std::uint64_t kSchedules = 1000;
constexpr int kFaultySteps = 600; // 6 s of simulated time.
constexpr Milliseconds kRecovery{20000};

// Small limits, so that a short run reaches each of them.
RaftSettings ScheduleSettings()
{
  RaftSettings settings;
  settings.mMaxAppendBytes = 100;
  settings.mMaxAppendEntries = 4;
  settings.mMaxInFlight = 3;
  settings.mSnapshotChunkBytes = 100;
  return settings;
}

// Counts over all schedules, to check that the faults took place.
struct Totals
{
  std::size_t mReportedApplied = 0;
  std::size_t mCrashes = 0;
  std::size_t mSnapshotsInstalled = 0;
  std::size_t mChanges = 0;
  std::size_t mWipes = 0;
  Term mTerms = 0;
};

class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : mCount(3 + aSeed % 3)
    , mCluster(mCount, aSeed % 2 == 0 ? mCount : mCount - 1, aSeed, ScheduleSettings())
    , mRandom(aSeed)
    , mMayWipe(aSeed % 4 == 0)
  {
    NetworkFaults faults;
    faults.mLoss = 0.15 * mRandom.Unit();
    faults.mDuplicate = 0.1 * mRandom.Unit();
    faults.mLongDelay = 0.05 * mRandom.Unit();
    faults.mMaxDelay = Milliseconds(1 + static_cast<int>(mRandom.Below(80)));
    mCluster.SetFaults(faults);
  }

  // Runs the schedule; returns the first violation or an empty text.
  std::string Run(Totals& aTotals)
  {
    for (int step = 0; step < kFaultySteps && mCluster.Checker().FirstViolation().empty(); ++step) {
      TakeRandomAction();
      mCluster.Step();
    }
    const std::string recovery = Recover();
    aTotals.mReportedApplied += mCluster.Checker().ReportedAppliedCount();
    aTotals.mCrashes += mCrashes;
    aTotals.mChanges += mChanges;
    aTotals.mWipes += mWipes;
    for (std::size_t i = 0; i < mCount; ++i) {
      aTotals.mSnapshotsInstalled += mCluster.At(i).SnapshotsInstalled();
      aTotals.mTerms += mCluster.At(i).Running() ? mCluster.At(i).Core().CurrentTerm() : 0;
    }
    const std::string violation = mCluster.Checker().FirstViolation();
    return violation.empty() ? recovery : violation;
  }

private:
  bool Chance(double aShare) { return mRandom.Unit() < aShare; }

  void TakeRandomAction()
  {
    const std::size_t index = mRandom.Below(mCount);
    SimulatedReplica& replica = mCluster.At(index);
    if (!replica.Running()) {
      mCrashes += mDown.insert(index).second ? 1 : 0;
      if (Chance(0.05) && replica.Start(mCluster.Now())) {
        mDown.erase(index);
      }
      return;
    }
    if (mMayWipe && Chance(0.003)) {
      mMayWipe = false;
      ++mWipes;
      mWiped = replica.Id();
      replica.Crash();
      replica.Files().Wipe();
      replica.Start(mCluster.Now());
      return;
    }
    if (Chance(0.3)) {
      mCluster.Propose(replica).has_value();
    }
    if (Chance(0.01)) {
      replica.Files().CrashBefore(mRandom.Below(8));
    } else if (Chance(0.003)) {
      replica.Files().FailSync(mRandom.Below(4));
    }
    if (Chance(0.01)) {
      mCluster.Isolate(index);
    } else if (Chance(0.02)) {
      mCluster.Heal();
    }
    if (Chance(0.02) && replica.Running()) {
      replica.TakeSnapshot();
    }
    if (replica.IsLeader()) {
      TakeRandomLeaderAction(replica);
    }
  }

  void TakeRandomLeaderAction(SimulatedReplica& aLeader)
  {
    if (Chance(0.01)) {
      aLeader.Transfer(mCluster.Now()).has_value();
    } else if (Chance(0.1)) {
      const ReplicaId target = mCluster.At(mRandom.Below(mCount)).Id();
      const RaftMembership& members = aLeader.Core().Members();
      RaftMembershipChange change{RaftMembershipChangeKind::AddLearner, target, "127.0.0.1:1"};
      if (members.IsVoter(target)) {
        change.mKind = RaftMembershipChangeKind::Remove;
      } else if (members.Find(target) != nullptr) {
        change.mKind = RaftMembershipChangeKind::Promote;
      }
      // A voter that lost its disk and a removed voter together may leave no quorum.
      const bool mayRemove = !mMayWipe && mWipes == 0 && members.VoterCount() > 2 && Chance(0.1);
      const bool allowed = change.mKind != RaftMembershipChangeKind::Remove || mayRemove;
      mChanges += allowed && aLeader.Change(mCluster.Now(), change) ? 1 : 0;
    }
  }

  // Ends all faults; the replicas must agree and accept proposals again.
  std::string Recover()
  {
    mCluster.Heal();
    mCluster.SetFaults({});
    for (std::size_t i = 0; i < mCount; ++i) {
      mCluster.At(i).Files().CancelFaults();
    }
    const bool accepted =
      mCluster.RunUntil([this] { return RestartAll(); }, kRecovery) && mCluster.ProposeAndAwait();
    if (!accepted) {
      return "no proposal is accepted after the faults have ended" + Describe();
    }
    const bool converged =
      mCluster.RunUntil([this] { return RestartAll() && mCluster.Converged(); }, kRecovery);
    if (!converged) {
      return "the replicas do not agree after the faults have ended" + Describe();
    }
    return OnlyRefusedAreDown() ? "" : "a replica was refused without a reason" + Describe();
  }

  // Only the replica with the wiped disk and removed ones may have been stopped.
  bool OnlyRefusedAreDown()
  {
    const RaftMembership& members = mCluster.Leader()->Core().Members();
    for (std::size_t i = 0; i < mCount; ++i) {
      const ReplicaId& id = mCluster.At(i).Id();
      if (!mCluster.At(i).Running() && id != mWiped && !members.IsRemoved(id)) {
        return false;
      }
    }
    return true;
  }

  // The state of each replica, for failure texts.
  std::string Describe()
  {
    std::string text;
    for (std::size_t i = 0; i < mCount; ++i) {
      SimulatedReplica& replica = mCluster.At(i);
      text += "; " + replica.Id().substr(0, 8) + ": ";
      if (!replica.Running()) {
        text += "down " + replica.StopReason();
        continue;
      }
      const RaftCore& core = replica.Core();
      text += std::string(ToString(core.Role())) + " term " + std::to_string(core.CurrentTerm()) +
              " last " + std::to_string(core.LastIndex()) + " commit " +
              std::to_string(core.CommitIndex()) + " leader " +
              core.Leader().value_or("none").substr(0, 8) + " members " +
              ToJson(core.Members()).dump();
    }
    return text;
  }

  // Starts the replicas that are down. Returns whether all replicas that were not refused are
  // running.
  bool RestartAll()
  {
    bool all = true;
    for (std::size_t i = 0; i < mCount; ++i) {
      SimulatedReplica& replica = mCluster.At(i);
      if (!replica.Running()) {
        const bool refused = !replica.StopReason().empty();
        all = all && (refused || replica.Start(mCluster.Now()));
      }
    }
    return all;
  }

  std::size_t mCount;
  SimulatedCluster mCluster;
  Random mRandom;
  std::set<std::size_t> mDown;
  std::size_t mCrashes = 0;
  std::size_t mChanges = 0;
  std::size_t mWipes = 0;
  ReplicaId mWiped;
  bool mMayWipe; ///< One replica may lose its disk and come back under its old identity.
};

class RaftScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftScheduleTest);
  CPPUNIT_TEST(SeededSchedulesKeepTheInvariants);
  CPPUNIT_TEST(EqualSeedsGiveEqualRuns);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two leaders in a term, lost or reordered entries that were reported as applied,
  // applied indexes that go down, differing logs, stale confirmed replicas, and a group that does
  // not recover.
  void SeededSchedulesKeepTheInvariants()
  {
    const char* replay = std::getenv("DANDELIONSLIP_RAFT_SEED");
    const std::uint64_t first = replay != nullptr ? std::strtoull(replay, nullptr, 10) : 1;
    const std::uint64_t last = replay != nullptr ? first : kSchedules;
    Totals totals;
    std::string failures;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
      const std::string violation = Schedule(seed).Run(totals);
      if (!violation.empty()) {
        failures += "seed " + std::to_string(seed) + ": " + violation + "\n";
      }
    }
    std::cout << " (accepted " << totals.mReportedApplied << ", crashes " << totals.mCrashes
              << ", snapshots installed " << totals.mSnapshotsInstalled << ", membership changes "
              << totals.mChanges << ", wiped disks " << totals.mWipes << ", sum of last terms "
              << totals.mTerms << ")";
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    if (replay == nullptr) {
      CPPUNIT_ASSERT(totals.mCrashes > kSchedules);
      CPPUNIT_ASSERT(totals.mSnapshotsInstalled > kSchedules / 4);
      CPPUNIT_ASSERT(totals.mChanges > kSchedules / 4);
      CPPUNIT_ASSERT(totals.mWipes > kSchedules / 10);
    }
  }

  // Guards against schedules that cannot be replayed.
  void EqualSeedsGiveEqualRuns()
  {
    Totals first;
    Totals second;
    Schedule(7).Run(first);
    Schedule(7).Run(second);
    CPPUNIT_ASSERT_EQUAL(first.mReportedApplied, second.mReportedApplied);
    CPPUNIT_ASSERT_EQUAL(first.mTerms, second.mTerms);
    CPPUNIT_ASSERT_EQUAL(first.mCrashes, second.mCrashes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftScheduleTest);

} // namespace

} // namespace dandelionslip
