// Tests of the membership core on three replicas.
#include "MembershipCluster.h"

#include "dandelionslip/Packet/PacketBalancer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

using namespace std::chrono_literals;

class MembershipCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipCoreTest);
  CPPUNIT_TEST(NodesGetStateAndLease);
  CPPUNIT_TEST(UnconfirmedReplicasGrantNothing);
  CPPUNIT_TEST(FirstFollowerAnswerGrantsNoLease);
  CPPUNIT_TEST(LeasesNeedAHeldView);
  CPPUNIT_TEST(OlderProcessesAreFencedEverywhere);
  CPPUNIT_TEST(NewLeaderTakesTheNewestViewOfAQuorum);
  CPPUNIT_TEST(RestartedControlRebuildsTheView);
  CPPUNIT_TEST(ViewsAreCompleteSoonAfterARestartOfControl);
  CPPUNIT_TEST(DigestMismatchRequestsAWholeSummary);
  CPPUNIT_TEST(ViewsOfOtherTermsAreRefused);
  CPPUNIT_TEST(HeldRevisionsBeyondTheTermAreIgnored);
  CPPUNIT_TEST(RandomFaultsKeepTheInvariants);
  CPPUNIT_TEST_SUITE_END();

  static void Populate(MembershipCluster& aCluster)
  {
    aCluster.Commit(PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    for (std::size_t i = 0; i < 6; ++i) {
      aCluster.AddNode(Numbered("n", i), i % kClusterReplicas);
    }
  }

  // Guards against nodes that never get the configuration, the view or a lease.
  void NodesGetStateAndLease()
  {
    MembershipCluster cluster(1);
    Populate(cluster);
    cluster.Run(6s);
    const View& view = cluster.Core(0).CurrentView();
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, view.mMembers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.GenerationsSeen());
    for (const char* name : {"n0", "n1", "n2", "n5"}) {
      const auto& node = cluster.NodeOf(name);
      CPPUNIT_ASSERT(view == node.mState.CurrentView());
      CPPUNIT_ASSERT(cluster.Core(0).Store().Current() == node.mState.CurrentConfiguration());
      CPPUNIT_ASSERT(node.mLeaseEnd > cluster.Now() + 1s);
    }
    cluster.NodeOf("n1").mRunning = false;
    cluster.Run(4s);
    CPPUNIT_ASSERT(MemberState::Lost == cluster.Core(0).CurrentView().FindMember("n1")->mState);
    CPPUNIT_ASSERT(cluster.Core(0).CurrentView() == cluster.Core(2).CurrentView());
  }

  // Guards against an isolated control replica that serves an outdated configuration to a new node.
  void UnconfirmedReplicasGrantNothing()
  {
    MembershipCluster cluster(1);
    Populate(cluster);
    cluster.Run(6s);
    const auto answer =
      cluster.Core(1).OnAnnouncement(AgentAnnouncement("n1"), false, cluster.Now());
    CPPUNIT_ASSERT(answer == AnnouncementAnswer{});
    const auto unknown =
      cluster.Core(1).OnAnnouncement(AgentAnnouncement("x"), true, cluster.Now());
    CPPUNIT_ASSERT(unknown.mConfirmed && unknown.mConfiguration && unknown.mView);
    CPPUNIT_ASSERT(unknown.mLease == 0ms);
  }

  // Guards against a lease that the leader does not know of when it declares the node lost.
  void FirstFollowerAnswerGrantsNoLease()
  {
    MembershipCluster cluster(1);
    Populate(cluster);
    cluster.Run(6s);
    // The node has just moved to a replica whose summaries do not arrive any more.
    cluster.NodeOf("n0").mReplica = 1;
    cluster.Isolate(1);
    const TimePoint before = cluster.NodeOf("n0").mLeaseEnd;
    cluster.Run(400ms);
    CPPUNIT_ASSERT(before == cluster.NodeOf("n0").mLeaseEnd);
  }

  // Guards against a lease that depends on a view that the next leader may not know or that the
  // replica has not received: in the newer view the member may be lost or own other buckets.
  void LeasesNeedAHeldView()
  {
    MembershipCore leader("r0", MembershipSettings{});
    leader.OnRaftStatus({1, true, "r0", {"r0", "r1", "r2"}}, kTestStart);
    CPPUNIT_ASSERT(leader.OnAnnouncement(AgentAnnouncement("a"), true, kTestStart).mLease == 0ms);
    AttachedNodes nodes{MembershipSettings{}};
    nodes.RecordAnnouncement(AgentAnnouncement("a"), kTestStart);
    nodes.BuildSummary("r", 1, 4, kTestStart);
    SummaryAnswer answer{1, 1, true, 5, false, false, {}, {}};
    nodes.HandleAnswer(answer, 4);
    CPPUNIT_ASSERT(nodes.LeaseFor("a", 1, kTestStart) == 0ms);
    nodes.HandleAnswer(answer, 5);
    CPPUNIT_ASSERT(nodes.LeaseFor("a", 1, kTestStart) == 2'000ms);
  }

  // Guards against an older process that keeps a lease at another replica.
  void OlderProcessesAreFencedEverywhere()
  {
    MembershipCluster cluster(1);
    Populate(cluster);
    cluster.Run(6s);
    cluster.Core(2).OnAnnouncement(AgentAnnouncement("n1", 2), true, cluster.Now());
    cluster.NodeOf("n1").mRunning = false;
    cluster.Run(600ms);
    for (std::size_t i = 0; i < kClusterReplicas; ++i) {
      const auto answer =
        cluster.Core(i).OnAnnouncement(AgentAnnouncement("n1", 1), true, cluster.Now());
      CPPUNIT_ASSERT(answer.mFenced && !answer.mConfirmed && answer.mLease == 0ms);
    }
  }

  // Guards against a new leader that starts from an outdated view and moves buckets back.
  void NewLeaderTakesTheNewestViewOfAQuorum()
  {
    MembershipCluster cluster(1);
    Populate(cluster);
    cluster.Run(6s);
    const auto generation = cluster.Core(0).CurrentView().mServices.at("planner").mGenerations[0];
    cluster.Restart(2);
    cluster.Elect(2);
    CPPUNIT_ASSERT(!cluster.Core(2).IssuesViews());
    cluster.Run(1s);
    CPPUNIT_ASSERT(cluster.Core(2).IssuesViews());
    const View& view = cluster.Core(2).CurrentView();
    CPPUNIT_ASSERT(view.mRevision >> 32U == 2);
    CPPUNIT_ASSERT(generation == view.mServices.at("planner").mGenerations[0]);
    cluster.Run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.Losses());
  }

  // All control replicas restart without views. Guards against all buckets given to the first agent
  // that announces itself, and against acknowledgements of earlier generations that count for new
  // ones.
  void RestartedControlRebuildsTheView()
  {
    MembershipCluster cluster(1);
    Populate(cluster);
    cluster.Run(6s);
    // Creates several generations, so that numbers that started again at 1 would be lower than
    // acknowledged ones.
    cluster.NodeOf("n0").mAnnouncement.mWeight = 640;
    cluster.Run(8s);
    const auto before = cluster.Core(0).CurrentView().mServices.at("planner").mGenerations[0];
    for (std::size_t i = 0; i < kClusterReplicas; ++i) {
      cluster.Restart(i);
    }
    cluster.Elect(1);
    cluster.Run(6s);
    const auto& after = cluster.Core(1).CurrentView().mServices.at("planner").mGenerations;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, after.size());
    CPPUNIT_ASSERT(before.mMembers == after[0].mMembers);
    CPPUNIT_ASSERT(after[0].mNumber > before.mNumber);
    CPPUNIT_ASSERT(cluster.Core(1).CurrentView() == cluster.NodeOf("n2").mState.CurrentView());
  }

  // Without services, the first view does not wait for all live nodes. Guards against packet
  // balancers that reset a flow because an agent is still missing.
  void ViewsAreCompleteSoonAfterARestartOfControl()
  {
    constexpr std::size_t kNodes = 12;
    std::size_t incomplete = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      MembershipCluster cluster(seed);
      for (std::size_t i = 0; i < kNodes; ++i) {
        cluster.AddNode(Numbered("n", i), i % kClusterReplicas);
      }
      cluster.Run(6s);
      for (std::size_t i = 0; i < kClusterReplicas; ++i) {
        cluster.Restart(i);
      }
      cluster.Elect(seed % kClusterReplicas);
      const TimePoint end = cluster.Now() + 5s;
      std::optional<TimePoint> firstAt;
      std::size_t members = 0;
      while (members < kNodes && cluster.Now() < end) {
        cluster.Run(20ms);
        const View& view = cluster.Core(cluster.Leader()).CurrentView();
        members = view.mMembers.size();
        if (!firstAt && view.mRevision > 0) {
          firstAt = cluster.Now();
          incomplete += members < kNodes ? 1 : 0;
        }
        CPPUNIT_ASSERT(!firstAt ||
                       cluster.Now() - *firstAt < PacketBalancerSettings{}.mViewCompletionTime);
      }
      CPPUNIT_ASSERT_EQUAL(kNodes, members);
    }
    CPPUNIT_ASSERT(incomplete > 50);
  }

  // Guards against a leader that renews nodes that are no longer attached to the replica.
  void DigestMismatchRequestsAWholeSummary()
  {
    const MembershipSettings settings;
    AttachedNodes nodes(settings);
    LeaseTable leases(settings);
    SummaryReceiver receiver;
    nodes.RecordAnnouncement(AgentAnnouncement("a"), kTestStart);
    nodes.RecordAnnouncement(AgentAnnouncement("b"), kTestStart);
    leases.Renew(AgentAnnouncement("a"), kTestStart);
    leases.Renew(AgentAnnouncement("b"), kTestStart);
    leases.MarkLiveInView(1);
    const auto first = nodes.BuildSummary("r", 1, 1, kTestStart);
    nodes.HandleAnswer(receiver.HandleSummary(first, leases, 1, kTestStart), 1);
    CPPUNIT_ASSERT(nodes.BuildSummary("r", 1, 0, kTestStart).mChanged.empty());
    SummaryReceiver restarted;
    const TimePoint later = kTestStart + 250ms;
    const auto answer =
      restarted.HandleSummary(nodes.BuildSummary("r", 1, 0, later), leases, 1, later);
    CPPUNIT_ASSERT(answer.mWholeWanted && !answer.mAccepted);
    nodes.HandleAnswer(answer, 1);
    CPPUNIT_ASSERT(nodes.LeaseFor("a", 1, later) == 1'750ms);
    const auto whole = nodes.BuildSummary("r", 1, 0, later);
    CPPUNIT_ASSERT(whole.mWhole && whole.mChanged.size() == 2);
    nodes.HandleAnswer(restarted.HandleSummary(whole, leases, 1, later), 1);
    CPPUNIT_ASSERT(nodes.LeaseFor("a", 1, later) == 2'000ms);
    nodes.RecordAnnouncement(AgentAnnouncement("a"), later + 600ms);
    const auto last = nodes.BuildSummary("r", 1, 0, later + 600ms);
    CPPUNIT_ASSERT(last.mDetached == std::vector<std::string>{"b"} && last.mChanged.empty());
    CPPUNIT_ASSERT(restarted.HandleSummary(last, leases, 1, later + 600ms).mAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leases.Expire(later + 2'500ms).size());
  }

  // Guards against a view of a deposed leader, and against a revision that no later leader could
  // exceed.
  void ViewsOfOtherTermsAreRefused()
  {
    MembershipCore core("r1", MembershipSettings{});
    core.OnRaftStatus({5, false, "r0", {"r0", "r1", "r2"}}, kTestStart);
    const auto update = [](std::uint64_t aTerm, std::uint64_t aRevisionTerm) {
      ViewUpdate message;
      message.mTerm = aTerm;
      message.mView = View{};
      message.mView->mRevision = (aRevisionTerm << 32U) + 1;
      return message;
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.OnViewUpdate(update(4, 4)).mViewRevision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.OnViewUpdate(update(5, 6)).mViewRevision);
    CPPUNIT_ASSERT(core.OnViewUpdate(update(5, 5)).mViewRevision > 0);
  }

  // Guards against a replica that serves no newer view as long as it runs.
  void HeldRevisionsBeyondTheTermAreIgnored()
  {
    constexpr std::uint64_t kFirst = (std::uint64_t{5} << 32U) + 1;
    for (const std::uint64_t held : {std::uint64_t{6} << 32U, ~std::uint64_t{0}}) {
      MembershipCore core("r1", MembershipSettings{});
      core.OnRaftStatus({5, false, "r0", {"r0", "r1", "r2"}}, kTestStart);
      ViewUpdate update;
      update.mTerm = 5;
      update.mView = View{};
      update.mView->mRevision = kFirst;
      update.mHeldRevision = held;
      core.OnViewUpdate(update);
      SummaryAnswer answer;
      answer.mTerm = 5;
      answer.mHeldRevision = held;
      core.OnSummaryAnswer(answer);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.ServedView().mRevision);
      update.mView->mRevision = kFirst + 1;
      update.mHeldRevision = kFirst + 1;
      core.OnViewUpdate(update);
      CPPUNIT_ASSERT_EQUAL(kFirst + 1, core.ServedView().mRevision);
    }
  }

  static void InjectFault(MembershipCluster& aCluster, Random& aRandom)
  {
    const std::string name = Numbered("n", aRandom.Below(6));
    MembershipCluster::Node& node = aCluster.NodeOf(name);
    switch (aRandom.Below(8)) {
      case 0:
        aCluster.Isolate(aRandom.Below(kClusterReplicas));
        break;
      case 1:
        aCluster.Isolate(std::nullopt);
        break;
      case 2:
        aCluster.LoseMessages(aRandom.Below(60));
        break;
      case 3:
        node.mRunning = false;
        break;
      case 4:
        node.mRunning = true;
        break;
      case 5:
        node.mReplica = aRandom.Below(kClusterReplicas);
        break;
      case 6:
        node.mAnnouncement.mWeight = static_cast<std::uint32_t>(aRandom.Below(1'500));
        break;
      default:
        // Reconnects first: another restart while a replica is cut off could lose the only copy of
        // a view.
        aCluster.Isolate(std::nullopt);
        aCluster.LoseMessages(0);
        aCluster.Run(2s);
        aCluster.Restart(aRandom.Below(kClusterReplicas));
        aCluster.Elect(aRandom.Below(kClusterReplicas));
        aCluster.Run(2s);
    }
  }

  // Guards against role changes, partitions, lost messages and moving nodes that together make a
  // view revision go down, reuse a generation number, or declare a node lost that holds a lease.
  void RandomFaultsKeepTheInvariants()
  {
    std::size_t losses = 0;
    std::size_t generations = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      Random random(seed);
      MembershipCluster cluster(seed);
      Populate(cluster);
      for (int step = 0; step < 60; ++step) {
        InjectFault(cluster, random);
        cluster.Run(Milliseconds(20 * random.Below(60)));
      }
      losses += cluster.Losses();
      generations += cluster.GenerationsSeen();
    }
    CPPUNIT_ASSERT(losses > 100);
    CPPUNIT_ASSERT(generations > 300);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipCoreTest);

} // namespace

} // namespace dandelionslip
