// Disks that are full for some seconds, one after the other, while an operator sends changes.
//
// The environment variable DANDELIONSLIP_RAFT_SEED replays one seed.
#include "Control/SupervisedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr Milliseconds kChangeInterval{250};
constexpr Milliseconds kAcknowledgeBound{5'000};
constexpr Milliseconds kEndsAfterRoom{1'000}; // A process may end so long after its disk was full.
constexpr Milliseconds kCalm{15'000};         // With changes, after the last disk has room again.
constexpr std::size_t kMostRoomBytes = 400;   // Some records, or a part of one.

enum class FillOrder
{
  LeaderFirst,
  LeaderLast,
  LeaderEachTime,
  Random,
};

struct DiskSchedule
{
  std::size_t mVoters;
  std::size_t mLearners;
  FillOrder mOrder;
  FullDisk mFull;
  RestartRule mRestart;

  std::string Text() const
  {
    return std::to_string(mVoters) + " voters, " + std::to_string(mLearners) + " learners, order " +
           std::to_string(static_cast<int>(mOrder)) + ", full disk " +
           std::to_string(static_cast<int>(mFull)) + ", restart " +
           std::to_string(static_cast<int>(mRestart));
  }
};

// Counts over all runs, to check that the faults took place.
struct Totals
{
  std::size_t mRuns = 0;
  std::size_t mChanges = 0;
  std::size_t mEnds = 0;
  std::size_t mRefusals = 0;
  std::size_t mNewIdentities = 0;
  std::size_t mSnapshotsInstalled = 0;
  Milliseconds mSlowestAcknowledgement{0};
};

class DiskRun
{
public:
  DiskRun(const DiskSchedule& aSchedule, std::uint64_t aSeed)
    : mSchedule(aSchedule)
    , mRandom(aSeed)
    , mCluster(aSchedule.mVoters, aSchedule.mLearners, aSchedule.mRestart, aSeed)
    , mFullUntil(mCluster.Size())
  {
  }

  // Returns the first violation or an empty text.
  std::string Run(Totals& aTotals)
  {
    mCluster.SendChangesEvery(kChangeInterval);
    mCluster.RunFor(Milliseconds(2'000));
    if (!mCluster.Settled()) {
      mCluster.RunFor(Milliseconds(100)); // The newest change may be under way.
    }
    for (std::size_t round = 0; round < mCluster.Size(); ++round) {
      FillOneDisk();
    }
    mCluster.RunFor(kCalm);
    mCluster.SendChangesEvery(std::nullopt);
    mCluster.RunFor(kAcknowledgeBound);
    AddTo(aTotals);
    if (std::string violation = CheckAfterCalm(); !violation.empty()) {
      return violation + mCluster.Describe();
    }
    mCluster.LosePower();
    mCluster.RunFor(kAcknowledgeBound);
    const std::string violation = CheckAfterPowerLoss();
    return violation.empty() ? violation : violation + mCluster.Describe();
  }

private:
  void FillOneDisk()
  {
    const std::size_t index = NextDisk();
    mVisited.insert(index);
    mCluster.At(index).Files().Fill(mSchedule.mFull, mRandom.Below(kMostRoomBytes));
    mFullUntil[index].emplace_back(mCluster.Now(), TimePoint::max());
    mCluster.RunFor(Milliseconds(3'000 + mRandom.Below(2'000)));
    mCluster.At(index).Files().Free();
    mFullUntil[index].back().second = mCluster.Now();
    mLastRoom = mCluster.Now();
    mCluster.RunFor(Milliseconds(300 + mRandom.Below(1'200)));
  }

  std::size_t NextDisk()
  {
    const auto leader = mCluster.Leader();
    if (mSchedule.mOrder == FillOrder::LeaderEachTime && leader) {
      return *leader;
    }
    if (mSchedule.mOrder == FillOrder::LeaderFirst && leader && mVisited.empty()) {
      return *leader;
    }
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < mCluster.Size(); ++i) {
      const bool spared = mSchedule.mOrder == FillOrder::LeaderLast && leader == i;
      if (!mVisited.contains(i) && !spared) {
        candidates.push_back(i);
      }
    }
    if (candidates.empty()) {
      return leader.value_or(0);
    }
    return candidates[mRandom.Below(candidates.size())];
  }

  std::string CheckAfterCalm()
  {
    if (std::string violation = mCluster.FirstViolation(); !violation.empty()) {
      return violation;
    }
    for (const OperatorChange& change : mCluster.Changes()) {
      const TimePoint until = change.mAcknowledged.value_or(TimePoint::max());
      if (until - change.mSent > kAcknowledgeBound) {
        const auto sent = std::chrono::duration_cast<Milliseconds>(change.mSent - mLastRoom);
        return "a change was not acknowledged in time; it was sent " +
               std::to_string(sent.count()) + " ms after the last disk had room again";
      }
    }
    for (const ProcessEnd& end : mCluster.Ends()) {
      if (!EndIsExcused(end)) {
        return "replica " + std::to_string(end.mReplica) + " ended although its disk had room";
      }
    }
    return mCluster.Settled() ? "" : "the replicas do not agree after the faults have ended";
  }

  std::string CheckAfterPowerLoss()
  {
    if (std::string violation = mCluster.FirstViolation(); !violation.empty()) {
      return "after the loss of power: " + violation;
    }
    if (!mCluster.Settled()) {
      return "the replicas do not agree after the loss of power";
    }
    const LogIndex committed = mCluster.At(*mCluster.Leader()).Core().CommitIndex();
    const bool kept = std::ranges::all_of(mCluster.Changes(), [&](const OperatorChange& aChange) {
      return aChange.mEntry.mIndex <= committed;
    });
    return kept ? "" : "an acknowledged change is gone after the loss of power";
  }

  bool EndIsExcused(const ProcessEnd& aEnd) const
  {
    return std::ranges::any_of(mFullUntil[aEnd.mReplica], [&](const auto& aSpan) {
      return aSpan.first <= aEnd.mTime &&
             (aSpan.second == TimePoint::max() || aEnd.mTime <= aSpan.second + kEndsAfterRoom);
    });
  }

  void AddTo(Totals& aTotals)
  {
    ++aTotals.mRuns;
    aTotals.mChanges += mCluster.Changes().size();
    aTotals.mEnds += mCluster.Ends().size();
    aTotals.mNewIdentities += mCluster.NewIdentities();
    for (std::size_t i = 0; i < mCluster.Size(); ++i) {
      aTotals.mRefusals += mCluster.At(i).Files().Refusals();
      aTotals.mSnapshotsInstalled += mCluster.At(i).SnapshotsInstalled();
    }
    for (const OperatorChange& change : mCluster.Changes()) {
      if (change.mAcknowledged) {
        const auto time =
          std::chrono::duration_cast<Milliseconds>(*change.mAcknowledged - change.mSent);
        aTotals.mSlowestAcknowledgement = std::max(aTotals.mSlowestAcknowledgement, time);
      }
    }
  }

  DiskSchedule mSchedule;
  Random mRandom;
  SupervisedCluster mCluster;
  std::set<std::size_t> mVisited;
  std::vector<std::vector<std::pair<TimePoint, TimePoint>>> mFullUntil; ///< By replica.
  TimePoint mLastRoom;
};

class FullDiskScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FullDiskScheduleTest);
  CPPUNIT_TEST(ChangesAreAcknowledgedAfterDisksWereFullInTurn);
  CPPUNIT_TEST(LearnerRemovedWhileItsDiskIsFullJoinsAgain);
  CPPUNIT_TEST(EqualSeedsGiveEqualRuns);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<DiskSchedule> Schedules()
  {
    std::vector<DiskSchedule> schedules;
    for (const auto& [voters, learners] : {std::pair{3, 0}, {5, 0}, {3, 2}, {5, 2}}) {
      for (const auto order : {FillOrder::LeaderFirst, FillOrder::LeaderLast,
                               FillOrder::LeaderEachTime, FillOrder::Random}) {
        for (const auto full : {FullDisk::Bytes, FullDisk::Changes}) {
          for (const auto restart : {RestartRule::AfterDelay, RestartRule::AfterRoom}) {
            schedules.push_back({static_cast<std::size_t>(voters),
                                 static_cast<std::size_t>(learners), order, full, restart});
          }
        }
      }
    }
    return schedules;
  }

  // Guards against changes that stay unanswered, or acknowledged ones that are lost, although no
  // two disks were full at once.
  void ChangesAreAcknowledgedAfterDisksWereFullInTurn()
  {
    const char* replay = std::getenv("DANDELIONSLIP_RAFT_SEED");
    const std::uint64_t first = replay != nullptr ? std::strtoull(replay, nullptr, 10) : 1;
    const std::uint64_t last = replay != nullptr ? first : kSeeds;
    Totals totals;
    std::string failures;
    for (const DiskSchedule& schedule : Schedules()) {
      for (std::uint64_t seed = first; seed <= last; ++seed) {
        const std::string violation = DiskRun(schedule, seed).Run(totals);
        if (!violation.empty()) {
          failures +=
            "seed " + std::to_string(seed) + ", " + schedule.Text() + ": " + violation + "\n";
        }
      }
    }
    std::cout << " (runs " << totals.mRuns << ", changes " << totals.mChanges
              << ", ended processes " << totals.mEnds << ", refused writes " << totals.mRefusals
              << ", new identities " << totals.mNewIdentities << ", snapshots installed "
              << totals.mSnapshotsInstalled << ", slowest acknowledgement "
              << totals.mSlowestAcknowledgement.count() << " ms)";
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    if (replay == nullptr) {
      CPPUNIT_ASSERT(totals.mEnds > totals.mRuns);
      CPPUNIT_ASSERT(totals.mRefusals > totals.mRuns);
      CPPUNIT_ASSERT(totals.mNewIdentities > totals.mRuns / 10);
      CPPUNIT_ASSERT(totals.mSnapshotsInstalled > totals.mRuns / 10);
    }
  }

  // Guards against a replica that never learns of its removal and answers no change any more.
  void LearnerRemovedWhileItsDiskIsFullJoinsAgain()
  {
    constexpr std::size_t kLearner = 3;
    SupervisedCluster cluster(3, 1, RestartRule::AfterRoom, 1);
    cluster.SendChangesEvery(kChangeInterval);
    cluster.RunFor(Milliseconds(3'000));
    cluster.At(kLearner).Files().Fill(FullDisk::Bytes, 0);
    cluster.RunFor(Milliseconds(1'000));
    CPPUNIT_ASSERT(!cluster.At(kLearner).Running());
    const RaftMembershipChange removal{
      RaftMembershipChangeKind::Remove, cluster.At(kLearner).Id(), {}};
    CPPUNIT_ASSERT(cluster.At(*cluster.Leader()).Change(cluster.Now(), removal).has_value());
    cluster.RunFor(Milliseconds(1'000));
    cluster.At(kLearner).Files().Free();
    cluster.RunFor(kAcknowledgeBound);
    cluster.SendChangesEvery(std::nullopt);
    cluster.RunFor(Milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.FirstViolation());
    CPPUNIT_ASSERT_MESSAGE(cluster.Describe(), cluster.Settled());
  }

  // Guards against schedules that cannot be replayed.
  void EqualSeedsGiveEqualRuns()
  {
    Totals first;
    Totals second;
    const DiskSchedule schedule = Schedules().back();
    DiskRun(schedule, 7).Run(first);
    DiskRun(schedule, 7).Run(second);
    CPPUNIT_ASSERT_EQUAL(first.mChanges, second.mChanges);
    CPPUNIT_ASSERT_EQUAL(first.mEnds, second.mEnds);
    CPPUNIT_ASSERT_EQUAL(first.mSlowestAcknowledgement.count(),
                         second.mSlowestAcknowledgement.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullDiskScheduleTest);

} // namespace

} // namespace dandelionslip
