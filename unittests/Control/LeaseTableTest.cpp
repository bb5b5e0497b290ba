// Tests of leases, fencing and planned stops.
#include "ControlFixtures.h"

#include "dandelionslip/Control/AttachedNodes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

using namespace std::chrono_literals;

class LeaseTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseTableTest);
  CPPUNIT_TEST(LossComesAfterLeaseAndMargin);
  CPPUNIT_TEST(PlannedStopIsNotALoss);
  CPPUNIT_TEST(LowerIncarnationsAreFenced);
  CPPUNIT_TEST(LateAnnouncementsDoNotRevertAStop);
  CPPUNIT_TEST(NewLeaderGivesAFullLease);
  CPPUNIT_TEST(RenewedLeaseRestoresTheState);
  CPPUNIT_TEST(TheTableIsBounded);
  CPPUNIT_TEST(InvalidAnnouncementsAreRefused);
  CPPUNIT_TEST(IncarnationsThatAreNoStartTimeAreRefused);
  CPPUNIT_TEST_SUITE_END();

  static MemberState StateOf(const LeaseTable& aTable, const std::string& aName)
  {
    return aTable.Find(aName)->mAnnouncement.mMember.mState;
  }

  // Guards against a member that is declared lost while it may still act on its lease.
  void LossComesAfterLeaseAndMargin()
  {
    LeaseTable table{MembershipSettings{}};
    table.Renew(AgentAnnouncement("a"), kTestStart);
    CPPUNIT_ASSERT(table.Expire(kTestStart + 2'499ms).empty());
    CPPUNIT_ASSERT(MemberState::Serving == StateOf(table, "a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Expire(kTestStart + 2'500ms).size());
    CPPUNIT_ASSERT(MemberState::Lost == StateOf(table, "a"));
    CPPUNIT_ASSERT(table.Expire(kTestStart + 2'600ms).empty());
  }

  // Guards against buckets that move while an upstream's process restarts as planned.
  void PlannedStopIsNotALoss()
  {
    LeaseTable table{MembershipSettings{}};
    auto stop = AgentAnnouncement("a", 1, MemberState::Restarting);
    stop.mMember.mBackup = "b";
    table.Renew(AgentAnnouncement("a"), kTestStart);
    table.Renew(stop, kTestStart + 100ms);
    CPPUNIT_ASSERT(table.Expire(kTestStart + 10'099ms).empty());
    CPPUNIT_ASSERT(MemberState::Restarting == StateOf(table, "a"));
    table.Renew(AgentAnnouncement("a", 2, MemberState::Cold), kTestStart + 5s);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), table.Find("a")->mAnnouncement.mMember.mBackup);
    table.Renew(AgentAnnouncement("a", 2), kTestStart + 6s);
    CPPUNIT_ASSERT(table.Find("a")->mAnnouncement.mMember.mBackup.empty());
    table.Renew(AgentAnnouncement("a", 2, MemberState::Restarting), kTestStart + 7s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Expire(kTestStart + 17s).size());
    table.Renew(AgentAnnouncement("c", 1, MemberState::Left), kTestStart);
    CPPUNIT_ASSERT(table.Expire(kTestStart + 60s).empty());
    CPPUNIT_ASSERT(MemberState::Left == StateOf(table, "c"));
  }

  // Guards against two processes that both act for one upstream.
  void LowerIncarnationsAreFenced()
  {
    LeaseTable table{MembershipSettings{}};
    table.Renew(AgentAnnouncement("a", 5), kTestStart);
    CPPUNIT_ASSERT(RenewalOutcome::Fenced == table.Renew(AgentAnnouncement("a", 4), kTestStart));
    CPPUNIT_ASSERT(RenewalOutcome::Fenced == table.RenewUnchanged("a", 4, kTestStart + 1s));
    CPPUNIT_ASSERT(RenewalOutcome::Accepted == table.Renew(AgentAnnouncement("a", 6), kTestStart));
    CPPUNIT_ASSERT(RenewalOutcome::Fenced == table.Renew(AgentAnnouncement("a", 5), kTestStart));
    CPPUNIT_ASSERT(RenewalOutcome::Invalid == table.RenewUnchanged("a", 7, kTestStart));
    table.Expire(kTestStart + 3s);
    CPPUNIT_ASSERT(RenewalOutcome::Fenced ==
                   table.Renew(AgentAnnouncement("a", 5), kTestStart + 4s));
  }

  // Guards against a stopped process that reappears because an older announcement arrives late
  // through another replica.
  void LateAnnouncementsDoNotRevertAStop()
  {
    LeaseTable table{MembershipSettings{}};
    table.Renew(AgentAnnouncement("a", 1, MemberState::Restarting), kTestStart);
    CPPUNIT_ASSERT(RenewalOutcome::Fenced == table.Renew(AgentAnnouncement("a"), kTestStart + 1s));
    CPPUNIT_ASSERT(MemberState::Restarting == StateOf(table, "a"));
    table.Renew(AgentAnnouncement("a", 1, MemberState::Left), kTestStart + 2s);
    CPPUNIT_ASSERT(RenewalOutcome::Fenced == table.RenewUnchanged("a", 1, kTestStart + 3s));
    CPPUNIT_ASSERT(MemberState::Left == StateOf(table, "a"));
  }

  // Guards against a new leader that declares members lost because they have not announced
  // themselves to it yet.
  void NewLeaderGivesAFullLease()
  {
    View view;
    view.mMembers["a"] = AgentAnnouncement("a", 3).mMember;
    view.mMembers["b"] = AgentAnnouncement("b", 3, MemberState::Restarting).mMember;
    view.mMembers["c"] = AgentAnnouncement("c", 3).mMember;
    view.mMembers["c"].mState = MemberState::Lost;
    LeaseTable table{MembershipSettings{}};
    table.Adopt(view, kTestStart);
    CPPUNIT_ASSERT(table.Expire(kTestStart + 2'499ms).empty());
    CPPUNIT_ASSERT(MemberState::Lost == StateOf(table, "c"));
    CPPUNIT_ASSERT(RenewalOutcome::Fenced ==
                   table.Renew(AgentAnnouncement("a", 2), kTestStart + 1s));
    table.Renew(AgentAnnouncement("a", 3), kTestStart + 2s);
    table.Adopt(view, kTestStart + 2'200ms);
    CPPUNIT_ASSERT(table.Find("a")->mHasAnnounced);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Expire(kTestStart + 4'500ms).size());
    CPPUNIT_ASSERT(MemberState::Restarting == StateOf(table, "b"));
  }

  // Guards against members that stay lost after a partition has healed.
  void RenewedLeaseRestoresTheState()
  {
    LeaseTable table{MembershipSettings{}};
    table.Renew(AgentAnnouncement("a", 1, MemberState::Draining), kTestStart);
    table.Expire(kTestStart + 60s);
    CPPUNIT_ASSERT(RenewalOutcome::Accepted == table.RenewUnchanged("a", 1, kTestStart + 61s));
    CPPUNIT_ASSERT(MemberState::Draining == StateOf(table, "a"));
  }

  // Guards against memory that grows with every name ever announced.
  void TheTableIsBounded()
  {
    MembershipSettings settings;
    settings.mMaxMembers = 2;
    LeaseTable table(settings);
    table.Renew(AgentAnnouncement("a"), kTestStart);
    table.Renew(AgentAnnouncement("b"), kTestStart);
    CPPUNIT_ASSERT(RenewalOutcome::Full == table.Renew(AgentAnnouncement("c"), kTestStart));
    table.Expire(kTestStart + 3s);
    View view;
    view.mServices["planner"].mGenerations = {{1, {{"b", 1}}}};
    table.Forget(view, kTestStart + 602s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.Entries().size());
    table.Forget(view, kTestStart + 604s);
    CPPUNIT_ASSERT(table.Find("a") == nullptr);
    CPPUNIT_ASSERT(table.Find("b") != nullptr);
  }

  // Guards against a lease for an announcement that breaks a rule, such as an empty name.
  void InvalidAnnouncementsAreRefused()
  {
    LeaseTable table{MembershipSettings{}};
    const auto refuses = [&](auto aChange) {
      Announcement announcement = AgentAnnouncement("a");
      aChange(announcement.mMember);
      return table.Renew(announcement, kTestStart) == RenewalOutcome::Invalid;
    };
    CPPUNIT_ASSERT(refuses([](Member& aMember) { aMember.mName.clear(); }));
    CPPUNIT_ASSERT(refuses([](Member& aMember) { aMember.mName = std::string(256, 'a'); }));
    CPPUNIT_ASSERT(refuses([](Member& aMember) { aMember.mState = MemberState::Lost; }));
    CPPUNIT_ASSERT(refuses([](Member& aMember) { aMember.mService.clear(); }));
    CPPUNIT_ASSERT(refuses([](Member& aMember) { aMember.mIncarnation = 0; }));
    CPPUNIT_ASSERT(refuses([](Member& aMember) { aMember.mDataCentre.clear(); }));
  }

  // Guards against a node that stays fenced because no start time exceeds the known incarnation.
  void IncarnationsThatAreNoStartTimeAreRefused()
  {
    LeaseTable table{MembershipSettings{}};
    constexpr std::uint64_t kNow = 1'800'000'000'000;
    for (const std::uint64_t incarnation :
         {~std::uint64_t{0}, std::uint64_t{1} << 63U, std::uint64_t{1} << 53U,
          (std::uint64_t{1} << 43U) + 1}) {
      CPPUNIT_ASSERT(table.Renew(AgentAnnouncement("a", incarnation), kTestStart) ==
                     RenewalOutcome::Invalid);
    }
    CPPUNIT_ASSERT(table.Renew(AgentAnnouncement("a", kNow), kTestStart) ==
                   RenewalOutcome::Accepted);
    AttachedNodes nodes{MembershipSettings{}};
    CPPUNIT_ASSERT(nodes.RecordAnnouncement(AgentAnnouncement("a", ~std::uint64_t{0}),
                                            kTestStart) == RenewalOutcome::Invalid);
    CPPUNIT_ASSERT(nodes.RecordAnnouncement(AgentAnnouncement("a", kNow), kTestStart) ==
                   RenewalOutcome::Accepted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTableTest);

} // namespace

} // namespace dandelionslip
