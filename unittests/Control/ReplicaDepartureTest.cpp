// Tests of the steps of a replica that was told to stop.
#include "dandelionslip/Control/ReplicaDeparture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr DepartureView kFollower{.mLeaderKnown = true, .mOtherLearner = true};
constexpr DepartureView kLeader{.mLeads = true, .mOtherLearner = true};
constexpr DepartureView kAlone{.mLeaderKnown = true};

class ReplicaDepartureTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaDepartureTest);
  CPPUNIT_TEST(FollowerWaitsUntilItIsReleased);
  CPPUNIT_TEST(UnansweredReplicaEndsAtItsLimit);
  CPPUNIT_TEST(ReplicaWithoutSuccessorEndsSoon);
  CPPUNIT_TEST(AnnouncedSuccessorIsWaitedFor);
  CPPUNIT_TEST(LeaderTransfersUntilAnotherLeads);
  CPPUNIT_TEST(LeaderOfTheLastReleaseDelaysNothing);
  CPPUNIT_TEST_SUITE_END();

  const ReplicaDepartureSettings mSettings{};
  ReplicaDeparture mDeparture{mSettings, kStart};

  void AssertStep(DepartureStep aExpected, const DepartureView& aView, Milliseconds aTime)
  {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(aExpected),
                         static_cast<int>(mDeparture.Next(aView, kStart + aTime)));
  }

  // Guards against a voter that ends before its successor has its vote, and against one that asks
  // only once although answers get lost and leaders change.
  void FollowerWaitsUntilItIsReleased()
  {
    AssertStep(DepartureStep::AskLeader, kFollower, Milliseconds{0});
    mDeparture.OnAnswer(LeaveState::Wait);
    AssertStep(DepartureStep::Wait, kFollower, mSettings.mAskInterval - Milliseconds{1});
    AssertStep(DepartureStep::AskLeader, kFollower, mSettings.mAskInterval);
    mDeparture.OnAnswer(LeaveState::Refused);
    AssertStep(DepartureStep::Wait, kFollower, mSettings.mAskInterval + Milliseconds{1});
    mDeparture.OnAnswer(LeaveState::Released);
    AssertStep(DepartureStep::End, kFollower, mSettings.mAskInterval + Milliseconds{2});
  }

  // Guards against a process that outlasts its planned stop.
  void UnansweredReplicaEndsAtItsLimit()
  {
    DepartureView view = kFollower;
    view.mLeaderKnown = false;
    AssertStep(DepartureStep::Wait, view, mSettings.mLimit - Milliseconds{1});
    AssertStep(DepartureStep::End, view, mSettings.mLimit);
  }

  // Guards against slow restarts where nobody can take over the vote.
  void ReplicaWithoutSuccessorEndsSoon()
  {
    AssertStep(DepartureStep::AskLeader, kAlone, Milliseconds{0});
    AssertStep(DepartureStep::AskLeader, kAlone, mSettings.mNoticeLimit - Milliseconds{1});
    AssertStep(DepartureStep::End, kAlone, mSettings.mNoticeLimit);
    ReplicaDeparture refused(mSettings, kStart);
    refused.OnAnswer(LeaveState::NoSuccessor);
    CPPUNIT_ASSERT(refused.Next(kFollower, kStart) == DepartureStep::End);
    ReplicaDeparture leading(mSettings, kStart);
    CPPUNIT_ASSERT(leading.Next({.mLeads = true}, kStart) == DepartureStep::End);
    ReplicaDeparture leaderless(mSettings, kStart);
    CPPUNIT_ASSERT(leaderless.Next({}, kStart) == DepartureStep::End);
  }

  // Guards against a replica that does not wait for a learner which only the leader knows yet.
  void AnnouncedSuccessorIsWaitedFor()
  {
    mDeparture.OnAnswer(LeaveState::Wait);
    AssertStep(DepartureStep::AskLeader, kAlone, mSettings.mNoticeLimit);
  }

  // Guards against a leader that ends with its vote because its first transfer failed.
  void LeaderTransfersUntilAnotherLeads()
  {
    AssertStep(DepartureStep::TransferLeadership, kLeader, Milliseconds{0});
    AssertStep(DepartureStep::Wait, kLeader, mSettings.mTransferPause - Milliseconds{1});
    AssertStep(DepartureStep::TransferLeadership, kLeader, mSettings.mTransferPause);
    AssertStep(DepartureStep::AskLeader, kFollower, mSettings.mTransferPause + Milliseconds{1});
  }

  // Guards against upgrades in turn that take the whole time for each stop.
  void LeaderOfTheLastReleaseDelaysNothing()
  {
    AssertStep(DepartureStep::AskLeader, kFollower, Milliseconds{0});
    mDeparture.OnUnsupported();
    AssertStep(DepartureStep::End, kFollower, Milliseconds{1});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaDepartureTest);

} // namespace

} // namespace dandelionslip
