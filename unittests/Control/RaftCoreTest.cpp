// Scenarios of the replicated log: elections, losses, catch-up and membership.
#include "Control/SimulatedCluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class RaftCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RaftCoreTest);
  CPPUNIT_TEST(OneReplicaCommitsAlone);
  CPPUNIT_TEST(ThreeReplicasElectAndCommit);
  CPPUNIT_TEST(IsolatedLeaderStepsDownAndIsNotConfirmed);
  CPPUNIT_TEST(IsolatedFollowerDoesNotDisturbTheLeader);
  CPPUNIT_TEST(LargeEntriesDoNotFillTheDisk);
  CPPUNIT_TEST(LongIsolatedReplicaCatchesUpBySnapshot);
  CPPUNIT_TEST(LeaderLostBeforeAnswerLeavesOneOutcome);
  CPPUNIT_TEST(RefusedProposalIsNotAppended);
  CPPUNIT_TEST(SecondLossRightAfterTheRepair);
  CPPUNIT_TEST(LearnerIsPromotedOnlyWhenDurable);
  CPPUNIT_TEST(OneMembershipChangeAtATime);
  CPPUNIT_TEST(LearnersNeedAnAddressThatNodesCanUse);
  CPPUNIT_TEST(RemovedIdentityIsRefusedForGood);
  CPPUNIT_TEST(LearnerForgetsASilentLeader);
  CPPUNIT_TEST(WipedVoterIsRefused);
  CPPUNIT_TEST(WipedPromotedReplicaIsRefused);
  CPPUNIT_TEST(WipedLearnerStartsAgain);
  CPPUNIT_TEST(LateMessagesDoNotFillAWipedDisk);
  CPPUNIT_TEST(FailedSyncStopsTheReplica);
  CPPUNIT_TEST(EntriesOfEarlierTermsAreNotCommittedByCount);
  CPPUNIT_TEST(VoterWithEmptyLogIsNotCountedBeforeTheFirstCommit);
  CPPUNIT_TEST(FollowerOfALiveLeaderGrantsNoVote);
  CPPUNIT_TEST(ReplacedEntryIsNotDurable);
  CPPUNIT_TEST(ReplicaWithEmptyLogGrantsNoVote);
  CPPUNIT_TEST(LearnerVotesBeforeItKnowsItsPromotion);
  CPPUNIT_TEST(LeadershipTransferNeedsNoElectionTimeout);
  CPPUNIT_TEST(LeadershipGoesToAReplicaThatStays);
  CPPUNIT_TEST(DemotedVoterKeepsItsDataAndCanBePromotedAgain);
  CPPUNIT_TEST(DelayedAppendDoesNotConfirm);
  CPPUNIT_TEST_SUITE_END();

  static void CheckHistory(SimulatedCluster& aCluster)
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), aCluster.Checker().FirstViolation());
  }

  static void CommitSome(SimulatedCluster& aCluster, int aCount = 5)
  {
    for (int i = 0; i < aCount; ++i) {
      CPPUNIT_ASSERT(aCluster.ProposeAndAwait());
    }
  }

  static void AwaitConverged(SimulatedCluster& aCluster)
  {
    CPPUNIT_ASSERT(aCluster.RunUntil([&] { return aCluster.Converged(); }));
    CheckHistory(aCluster);
  }

  static bool Change(SimulatedCluster& aCluster, RaftMembershipChangeKind aKind,
                     const ReplicaId& aId)
  {
    return aCluster.ChangeAndAwait({aKind, aId, "127.0.0.1:1"});
  }

  // Guards against a single replica that waits for answers of others.
  void OneReplicaCommitsAlone()
  {
    SimulatedCluster cluster(1, 1, 1);
    CommitSome(cluster);
    AwaitConverged(cluster);
  }

  // Guards against a group that elects no leader or commits nothing although there are no faults.
  void ThreeReplicasElectAndCommit()
  {
    SimulatedCluster cluster(3, 3, 1);
    CommitSome(cluster, 20);
    AwaitConverged(cluster);
    for (std::size_t i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(cluster.At(i).Core().Confirmed(cluster.Now()));
    }
  }

  // Guards against an isolated leader that goes on answering reads and accepting proposals.
  void IsolatedLeaderStepsDownAndIsNotConfirmed()
  {
    SimulatedCluster cluster(3, 3, 2);
    const std::size_t old = cluster.AwaitLeader();
    CommitSome(cluster);
    cluster.Isolate(old);
    CPPUNIT_ASSERT(cluster.Propose(cluster.At(old)));
    cluster.RunFor(Milliseconds(520));
    CPPUNIT_ASSERT(!cluster.At(old).Core().Confirmed(cluster.Now()));
    CPPUNIT_ASSERT(cluster.RunUntil([&] { return !cluster.At(old).IsLeader(); }));
    CPPUNIT_ASSERT(!cluster.At(old).Core().Leader());
    CommitSome(cluster);
    cluster.Heal();
    AwaitConverged(cluster);
  }

  // Guards against a returning replica that forces a new election.
  void IsolatedFollowerDoesNotDisturbTheLeader()
  {
    SimulatedCluster cluster(3, 3, 3);
    const std::size_t leader = cluster.AwaitLeader();
    const Term term = cluster.At(leader).Core().CurrentTerm();
    const std::size_t follower = (leader + 1) % 3;
    cluster.Isolate(follower);
    cluster.RunFor(Milliseconds(20000));
    CPPUNIT_ASSERT(!cluster.At(follower).Core().Confirmed(cluster.Now()));
    cluster.Heal();
    AwaitConverged(cluster);
    CPPUNIT_ASSERT_EQUAL(term, cluster.At(leader).Core().CurrentTerm());
    CPPUNIT_ASSERT(cluster.At(leader).IsLeader());
  }

  // Guards against a log of few large entries that fills the disk before a snapshot is due by the
  // number of entries.
  void LargeEntriesDoNotFillTheDisk()
  {
    constexpr std::size_t kNumbers = 1'000; // Some 3 kB encoded.
    RaftSettings settings;
    settings.mSnapshotBytes = 64U << 10U;
    SimulatedCluster cluster(3, 3, 5, settings);
    cluster.AwaitLeader();
    std::size_t peak = 0;
    for (std::uint64_t i = 0; i < 300; ++i) {
      SimulatedReplica* leader = cluster.Leader();
      CPPUNIT_ASSERT(leader != nullptr);
      CPPUNIT_ASSERT(
        leader->Propose(cluster.Now(), ToCbor(std::vector<std::uint64_t>(kNumbers, 1'000 + i))));
      cluster.RunFor(Milliseconds(30));
      for (std::size_t replica = 0; replica < cluster.Size(); ++replica) {
        if (cluster.At(replica).Core().SnapshotDue()) {
          cluster.At(replica).TakeSnapshot();
        }
        peak = std::max(peak, cluster.At(replica).Files().UsedBytes());
      }
    }
    AwaitConverged(cluster);
    CPPUNIT_ASSERT(peak > settings.mSnapshotBytes);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak < 2 * settings.mSnapshotBytes);
  }

  // Guards against a replica that cannot return once the entries it needs are compacted.
  void LongIsolatedReplicaCatchesUpBySnapshot()
  {
    RaftSettings settings;
    settings.mSnapshotChunkBytes = 64;
    settings.mSnapshotEntries = 10;
    SimulatedCluster cluster(3, 3, 4, settings);
    const std::size_t follower = (cluster.AwaitLeader() + 1) % 3;
    cluster.Isolate(follower);
    for (int i = 0; i < 5; ++i) {
      CommitSome(cluster, 10);
      CPPUNIT_ASSERT(cluster.Leader()->Core().SnapshotDue());
      cluster.Leader()->TakeSnapshot();
      CPPUNIT_ASSERT(!cluster.Leader()->Core().SnapshotDue());
    }
    cluster.Heal();
    AwaitConverged(cluster);
    CPPUNIT_ASSERT(cluster.At(follower).SnapshotsInstalled() > 0);
    cluster.At(follower).Crash();
    CPPUNIT_ASSERT(cluster.At(follower).Start(cluster.Now()));
    CommitSome(cluster);
    AwaitConverged(cluster);
  }

  // Guards against an entry that is both answered as lost and applied, when the leader fails after
  // the append and before the answer. The leader is lost either right after the append or one
  // simulation step (10 ms) later: RunFor rounds 1 to 7 ms up to one step.
  void LeaderLostBeforeAnswerLeavesOneOutcome()
  {
    for (int steps = 0; steps < 8; ++steps) {
      SimulatedCluster cluster(3, 3, 5);
      const std::size_t old = cluster.AwaitLeader();
      CPPUNIT_ASSERT(cluster.Propose(cluster.At(old)));
      cluster.RunFor(Milliseconds(steps));
      cluster.Isolate(old);
      CommitSome(cluster);
      cluster.Heal();
      AwaitConverged(cluster);
    }
  }

  // Guards against a proposal that is appended although it was refused.
  void RefusedProposalIsNotAppended()
  {
    RaftSettings settings;
    settings.mMaxPayloadBytes = 8;
    SimulatedCluster cluster(3, 3, 6, settings);
    const std::size_t leader = cluster.AwaitLeader();
    SimulatedReplica& follower = cluster.At((leader + 1) % 3);
    const LogIndex last = follower.Core().LastIndex();
    const auto refused = cluster.Propose(follower);
    CPPUNIT_ASSERT(refused.error().mCode == ErrorCode::Unavailable);
    CPPUNIT_ASSERT_EQUAL(cluster.At(leader).Id(), refused.error().mSubject);
    CPPUNIT_ASSERT_EQUAL(last, follower.Core().LastIndex());
    const auto large = cluster.At(leader).Propose(cluster.Now(), Bytes(9));
    CPPUNIT_ASSERT(large.error().mCode == ErrorCode::LimitExceeded);
  }

  // Guards against a quorum that counts a replica without the log: a second replica is lost right
  // after the first was replaced, so the replacement and one other replica must have the whole log.
  void SecondLossRightAfterTheRepair()
  {
    SimulatedCluster cluster(4, 3, 7);
    CommitSome(cluster);
    const std::size_t leader = cluster.AwaitLeader();
    const std::size_t lost = (leader + 1) % 3;
    cluster.At(lost).Crash();
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::AddLearner, cluster.At(3).Id()));
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::Promote, cluster.At(3).Id()));
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::Remove, cluster.At(lost).Id()));
    cluster.At(leader).Crash();
    CommitSome(cluster);
    AwaitConverged(cluster);
    CPPUNIT_ASSERT(cluster.At(3).Core().Members().IsVoter(cluster.At(3).Id()));
  }

  // Guards against a promotion of a learner that lacks committed entries or is out of contact.
  void LearnerIsPromotedOnlyWhenDurable()
  {
    SimulatedCluster cluster(4, 3, 8);
    CommitSome(cluster, 20);
    cluster.Isolate(3);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::AddLearner, cluster.At(3).Id()));
    const RaftMembershipChange promote{RaftMembershipChangeKind::Promote, cluster.At(3).Id(), ""};
    const auto refused = cluster.Leader()->Change(cluster.Now(), promote);
    CPPUNIT_ASSERT(refused.error().mCode == ErrorCode::Conflict);
    CommitSome(cluster);
    CPPUNIT_ASSERT(cluster.At(3).Core().Role() == RaftRole::Follower);
    cluster.Heal();
    AwaitConverged(cluster);
    cluster.RunFor(Milliseconds(50)); // The leader receives the last answers.
    cluster.Isolate(3);
    cluster.RunFor(Milliseconds(700));
    const auto silent = cluster.Leader()->Change(cluster.Now(), promote);
    CPPUNIT_ASSERT(!silent && silent.error().mCode == ErrorCode::Conflict);
    cluster.Heal();
    CPPUNIT_ASSERT(cluster.ChangeAndAwait(promote));
    AwaitConverged(cluster);
    const ReplicaInfo* info = cluster.Leader()->Core().Members().Find(cluster.At(3).Id());
    CPPUNIT_ASSERT(info->mVoter && info->mStore != 0);
  }

  // Guards against two uncommitted changes at once, whose majorities need not overlap.
  void OneMembershipChangeAtATime()
  {
    SimulatedCluster cluster(5, 3, 9);
    SimulatedReplica& leader = cluster.At(cluster.AwaitLeader());
    const auto add = [&](std::size_t aIndex) {
      return leader.Change(cluster.Now(), {RaftMembershipChangeKind::AddLearner,
                                           cluster.At(aIndex).Id(), "127.0.0.1:1"});
    };
    CPPUNIT_ASSERT(add(3));
    CPPUNIT_ASSERT(add(4).error().mCode == ErrorCode::Conflict);
    cluster.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(add(4));
    const RaftMembershipChange self{RaftMembershipChangeKind::Remove, leader.Id(), ""};
    cluster.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(leader.Change(cluster.Now(), self).error().mCode == ErrorCode::InvalidInput);
    AwaitConverged(cluster);
  }

  // Guards against a replica list that no node can use.
  void LearnersNeedAnAddressThatNodesCanUse()
  {
    SimulatedCluster cluster(4, 3, 9);
    SimulatedReplica& leader = cluster.At(cluster.AwaitLeader());
    for (const char* address : {"", "host:7300", "192.0.2.1:0", "192.0.2.1:65536"}) {
      const RaftMembershipChange add{RaftMembershipChangeKind::AddLearner, cluster.At(3).Id(),
                                     address};
      const auto added = leader.Change(cluster.Now(), add);
      CPPUNIT_ASSERT_MESSAGE(address, !added);
      CPPUNIT_ASSERT(added.error().mCode == ErrorCode::InvalidInput);
    }
  }

  // Guards against a removed replica that comes back under its old identity.
  void RemovedIdentityIsRefusedForGood()
  {
    SimulatedCluster cluster(3, 3, 10);
    CommitSome(cluster);
    const std::size_t removed = (cluster.AwaitLeader() + 1) % 3;
    const ReplicaId id = cluster.At(removed).Id();
    cluster.Isolate(removed);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::Remove, id));
    const RaftMembershipChange back{RaftMembershipChangeKind::AddLearner, id, "127.0.0.1:1"};
    CPPUNIT_ASSERT(cluster.Leader()->Change(cluster.Now(), back).error().mCode ==
                   ErrorCode::InvalidInput);
    cluster.Heal();
    CPPUNIT_ASSERT(cluster.RunUntil([&] { return !cluster.At(removed).Running(); }));
    CPPUNIT_ASSERT(cluster.At(removed).StopReason().find("removed") != std::string::npos);
    CommitSome(cluster);
    CheckHistory(cluster);
  }

  // Guards against a learner that sends its join requests to a lost leader only.
  void LearnerForgetsASilentLeader()
  {
    SimulatedCluster cluster(4, 3, 11);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::AddLearner, cluster.At(3).Id()));
    AwaitConverged(cluster);
    CPPUNIT_ASSERT(cluster.At(3).Core().Leader());
    cluster.Isolate(3);
    cluster.RunFor(Milliseconds(1'100));
    CPPUNIT_ASSERT(!cluster.At(3).Core().Leader());
    cluster.Heal();
    CPPUNIT_ASSERT(cluster.RunUntil([&] { return cluster.At(3).Core().Leader().has_value(); }));
    CommitSome(cluster);
    AwaitConverged(cluster);
  }

  // Crashes a replica, empties its data directory and starts it under its old identity.
  static void Wipe(SimulatedCluster& aCluster, std::size_t aIndex)
  {
    aCluster.At(aIndex).Crash();
    aCluster.At(aIndex).Files().Wipe();
    CPPUNIT_ASSERT(aCluster.At(aIndex).Start(aCluster.Now()));
  }

  static void AwaitRefused(SimulatedCluster& aCluster, std::size_t aIndex)
  {
    CPPUNIT_ASSERT(aCluster.RunUntil([&] { return !aCluster.At(aIndex).Running(); }));
    CPPUNIT_ASSERT(aCluster.At(aIndex).StopReason().find("data directory") != std::string::npos);
    CommitSome(aCluster);
    CheckHistory(aCluster);
  }

  // Guards against a voter that takes part without its earlier votes and acknowledged entries.
  void WipedVoterIsRefused()
  {
    SimulatedCluster cluster(3, 3, 11);
    CommitSome(cluster);
    const std::size_t wiped = (cluster.AwaitLeader() + 1) % 3;
    Wipe(cluster, wiped);
    AwaitRefused(cluster, wiped);
  }

  // Guards against a promoted replica that takes part with an empty data directory under a leader
  // that did not promote it.
  void WipedPromotedReplicaIsRefused()
  {
    SimulatedCluster cluster(4, 3, 12);
    CommitSome(cluster);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::AddLearner, cluster.At(3).Id()));
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::Promote, cluster.At(3).Id()));
    AwaitConverged(cluster);
    cluster.At(3).Crash();
    const std::size_t old = cluster.AwaitLeader();
    cluster.At(old).Crash();
    CPPUNIT_ASSERT(cluster.At(old).Start(cluster.Now()));
    Wipe(cluster, 3);
    AwaitRefused(cluster, 3);
  }

  // Guards against a learner, which never voted, that cannot start again with an empty data
  // directory.
  void WipedLearnerStartsAgain()
  {
    SimulatedCluster cluster(4, 3, 13);
    CommitSome(cluster);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::AddLearner, cluster.At(3).Id()));
    AwaitConverged(cluster);
    Wipe(cluster, 3);
    CommitSome(cluster);
    AwaitConverged(cluster);
    CPPUNIT_ASSERT(cluster.At(3).Core().LastIndex() > 5);
  }

  // Guards against late messages to a lost data directory that are stored in the new one, which
  // would then look like the lost one.
  void LateMessagesDoNotFillAWipedDisk()
  {
    HistoryChecker checker;
    Random random(14);
    SimulatedReplica replica(NewReplicaId(random), {}, 14, checker);
    const TimePoint now{std::chrono::hours(1)};
    CPPUNIT_ASSERT(replica.Start(now));
    AppendRequest append;
    append.mEntries = {{1, 1, EntryKind::NoOp, {}}};
    SnapshotRequest snapshot;
    snapshot.mIndex = 5;
    snapshot.mLastTerm = 1;
    constexpr StoreId kLostStore = 99;
    for (const StoreId store : {StoreId(0), kLostStore}) {
      replica.Receive(now, {"leader", replica.Id(), 1, 1, false, store, append});
      replica.Receive(now, {"leader", replica.Id(), 1, 1, false, store, snapshot});
    }
    CPPUNIT_ASSERT_EQUAL(LogIndex(0), replica.Core().LastIndex());
    const auto sent = replica.TakeSent();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), sent.size());
    for (const RaftMessage& message : sent) {
      CPPUNIT_ASSERT(message.mFromEmptyLog);
      const auto* answer = std::get_if<AppendAnswer>(&message.mBody);
      CPPUNIT_ASSERT(answer == nullptr || !answer->mSuccess);
    }
  }

  // Guards against a replica that acknowledges after a failed sync.
  void FailedSyncStopsTheReplica()
  {
    SimulatedCluster cluster(3, 3, 15);
    const std::size_t leader = cluster.AwaitLeader();
    CommitSome(cluster);
    const std::size_t failed = (leader + 1) % 3;
    cluster.At(failed).Files().FailSync(0);
    CommitSome(cluster);
    CPPUNIT_ASSERT(cluster.RunUntil([&] { return !cluster.At(failed).Running(); }));
    CPPUNIT_ASSERT(cluster.At(failed).Start(cluster.Now()));
    AwaitConverged(cluster);
  }

  static RaftMessage MessageTo(const RecoveredState& aState, Term aTerm, RaftBody aBody)
  {
    return {"b", aState.mReplica, aTerm, 2, false, aState.mStore, std::move(aBody)};
  }

  static RecoveredState StateWithOldEntry()
  {
    RaftMembership members;
    for (const ReplicaId id : {"a", "b", "c"}) {
      members.mReplicas[id].mVoter = true;
    }
    RecoveredState state;
    state.mReplica = "a";
    state.mStore = 1;
    state.mHardState.mTerm = 3;
    state.mEntries = {{1, 1, EntryKind::Membership, ToCbor(members)},
                      {2, 2, EntryKind::Command, {1}}};
    return state;
  }

  // Makes a core the leader of term 4; its entry 3 is not synced yet.
  static std::unique_ptr<RaftCore> LeaderOfTermFour(const RecoveredState& aState, TimePoint aNow)
  {
    auto core = std::make_unique<RaftCore>(RaftSettings{}, aState, Random(1), TimePoint());
    core->Tick(aNow);
    core->Receive(aNow, MessageTo(aState, 3, PreVoteAnswer{4, true}));
    core->Receive(aNow, MessageTo(aState, 4, VoteAnswer{true}));
    CPPUNIT_ASSERT(core->Role() == RaftRole::Leader);
    return core;
  }

  // Guards against the commit of an entry of an earlier term because a majority stores it: a later
  // leader whose log ends with an entry of a term in between may still replace it. Also against a
  // leader that counts its own log before it is synced.
  void EntriesOfEarlierTermsAreNotCommittedByCount()
  {
    const RecoveredState state = StateWithOldEntry();
    const TimePoint now(std::chrono::hours(1));
    const auto core = LeaderOfTermFour(state, now);
    core->Receive(now, MessageTo(state, 4, AppendAnswer{true, 2, 2, 2, 0, {}}));
    CPPUNIT_ASSERT_EQUAL(LogIndex(2), core->MatchIndexOf("b"));
    CPPUNIT_ASSERT_EQUAL(LogIndex(0), core->CommitIndex());
    core->Receive(now, MessageTo(state, 4, AppendAnswer{true, 3, 2, 3, 0, {}}));
    CPPUNIT_ASSERT_EQUAL(LogIndex(0), core->CommitIndex());
    core->OnPersisted(now, {3, 4});
    CPPUNIT_ASSERT_EQUAL(LogIndex(3), core->CommitIndex());
  }

  // Guards against a new leader that sends entries to a voter with an empty data directory before
  // it has committed the membership that shows that this voter must be refused.
  void VoterWithEmptyLogIsNotCountedBeforeTheFirstCommit()
  {
    const RecoveredState state = StateWithOldEntry();
    const TimePoint now(std::chrono::hours(1));
    const auto core = LeaderOfTermFour(state, now);
    RaftMessage answer = MessageTo(state, 4, AppendAnswer{true, 3, 2, 3, 0, {}});
    answer.mFromEmptyLog = true;
    const RaftActions actions = core->Receive(now, answer);
    CPPUNIT_ASSERT(std::none_of(actions.begin(), actions.end(), [](const RaftAction& aAction) {
      return std::holds_alternative<SendAction>(aAction);
    }));
    core->OnPersisted(now, {3, 4});
    CPPUNIT_ASSERT_EQUAL(LogIndex(0), core->CommitIndex());
  }

  // Guards against a replica without contact to the leader that replaces a leader in contact with
  // the others.
  void FollowerOfALiveLeaderGrantsNoVote()
  {
    const RecoveredState state = StateWithOldEntry();
    const TimePoint now(std::chrono::hours(1));
    RaftCore core({}, state, Random(1), now);
    AppendRequest heartbeat;
    heartbeat.mPreviousIndex = 2;
    heartbeat.mPreviousTerm = 2;
    core.Receive(now, MessageTo(state, 3, heartbeat));
    RaftMessage request = MessageTo(state, 3, PreVoteRequest{4, 9, 3});
    request.mFrom = "c";
    const RaftActions actions = core.Receive(now, request);
    const auto& answer = std::get<SendAction>(actions.at(0)).mMessage;
    CPPUNIT_ASSERT(!std::get<PreVoteAnswer>(answer.mBody).mGranted);
    request.mTerm = 4;
    request.mBody = VoteRequest{9, 3, false};
    CPPUNIT_ASSERT(core.Receive(now, request).empty());
    CPPUNIT_ASSERT_EQUAL(Term(3), core.CurrentTerm());
    core.Receive(now + Milliseconds(500), request);
    CPPUNIT_ASSERT_EQUAL(Term(4), core.CurrentTerm());
  }

  // Guards against a replica that counts an entry as durable because the one it replaced was.
  void ReplacedEntryIsNotDurable()
  {
    const RecoveredState state = StateWithOldEntry();
    const TimePoint now(std::chrono::hours(1));
    RaftCore core({}, state, Random(1), now);
    CPPUNIT_ASSERT_EQUAL(LogIndex(2), core.MatchIndexOf("a"));
    AppendRequest append;
    append.mPreviousIndex = 1;
    append.mPreviousTerm = 1;
    append.mEntries = {{2, 3, EntryKind::NoOp, {}}};
    core.Receive(now, MessageTo(state, 3, append));
    CPPUNIT_ASSERT_EQUAL(Term(3), core.TermAt(2).value());
    CPPUNIT_ASSERT_EQUAL(LogIndex(1), core.MatchIndexOf("a"));
    core.OnPersisted(now, {2, 2});
    CPPUNIT_ASSERT_EQUAL(LogIndex(1), core.MatchIndexOf("a"));
    core.OnPersisted(now, {2, 3});
    CPPUNIT_ASSERT_EQUAL(LogIndex(2), core.MatchIndexOf("a"));
  }

  // Guards against a vote of a replica that may have lost the record of an earlier one.
  void ReplicaWithEmptyLogGrantsNoVote()
  {
    RecoveredState state;
    state.mReplica = "a";
    state.mStore = 1;
    const TimePoint now(std::chrono::hours(1));
    RaftCore core({}, state, Random(1), now);
    for (const RaftAction& action :
         core.Receive(now, MessageTo(state, 4, VoteRequest{9, 3, false}))) {
      const auto* persist = std::get_if<PersistAction>(&action);
      CPPUNIT_ASSERT(persist == nullptr || persist->mHardState->mVotedFor.empty());
    }
  }

  // Guards against a cluster that never elects a leader again, because the replica that was
  // promoted last has not received its promotion.
  void LearnerVotesBeforeItKnowsItsPromotion()
  {
    SimulatedCluster cluster(2, 1, 18);
    CommitSome(cluster);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::AddLearner, cluster.At(1).Id()));
    AwaitConverged(cluster);
    cluster.RunFor(Milliseconds(50)); // The leader receives the last answers.
    cluster.Isolate(1);
    const RaftMembershipChange promote{RaftMembershipChangeKind::Promote, cluster.At(1).Id(), ""};
    CPPUNIT_ASSERT(cluster.At(0).Change(cluster.Now(), promote));
    cluster.RunFor(Milliseconds(50));
    cluster.At(0).Crash();
    CPPUNIT_ASSERT(cluster.At(0).Start(cluster.Now()));
    cluster.Heal();
    CPPUNIT_ASSERT(!cluster.At(1).Core().Members().IsVoter(cluster.At(1).Id()));
    CommitSome(cluster);
    AwaitConverged(cluster);
  }

  // Guards against a planned stop of the leader after which the others wait for an election
  // timeout.
  void LeadershipTransferNeedsNoElectionTimeout()
  {
    SimulatedCluster cluster(3, 3, 16);
    const std::size_t old = cluster.AwaitLeader();
    CommitSome(cluster);
    CPPUNIT_ASSERT(cluster.At(old).Transfer(cluster.Now()));
    CPPUNIT_ASSERT(!cluster.Propose(cluster.At(old)));
    CPPUNIT_ASSERT(cluster.RunUntil(
      [&] { return cluster.Leader() != nullptr && cluster.Leader() != &cluster.At(old); },
      Milliseconds(100)));
    CommitSome(cluster);
    AwaitConverged(cluster);
  }

  // Guards against replicas that are all told to stop and pass leadership to each other.
  void LeadershipGoesToAReplicaThatStays()
  {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SimulatedCluster cluster(5, 5, seed);
      const std::size_t old = cluster.AwaitLeader();
      CommitSome(cluster);
      AwaitConverged(cluster);
      const std::size_t staying = (old + seed % 4 + 1) % 5;
      std::vector<ReplicaId> stopping;
      for (std::size_t i = 0; i < cluster.Size(); ++i) {
        if (i != staying) {
          stopping.push_back(cluster.At(i).Id());
        }
      }
      CPPUNIT_ASSERT(cluster.At(old).Transfer(cluster.Now(), {}, stopping));
      CPPUNIT_ASSERT(cluster.RunUntil([&] { return cluster.Leader() == &cluster.At(staying); },
                                      Milliseconds(100)));
      stopping.push_back(cluster.At(staying).Id());
      CommitSome(cluster);
      CPPUNIT_ASSERT(cluster.At(staying).Transfer(cluster.Now(), {}, stopping));
    }
  }

  // Guards against a demoted voter that still counts for the quorum or starts elections, loses its
  // log or identity, or cannot get its vote back; and against a leader that demotes itself.
  void DemotedVoterKeepsItsDataAndCanBePromotedAgain()
  {
    SimulatedCluster cluster(3, 3, 16);
    CommitSome(cluster);
    const std::size_t leader = cluster.AwaitLeader();
    const ReplicaId id = cluster.At((leader + 1) % 3).Id();
    const RaftMembershipChange self{RaftMembershipChangeKind::Demote, cluster.At(leader).Id(), ""};
    CPPUNIT_ASSERT(cluster.At(leader).Change(cluster.Now(), self).error().mCode ==
                   ErrorCode::InvalidInput);
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::Demote, id));
    AwaitConverged(cluster);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.At(leader).Core().Members().VoterCount());
    const RaftMembershipChange again{RaftMembershipChangeKind::Demote, id, ""};
    CPPUNIT_ASSERT(cluster.Leader()->Change(cluster.Now(), again).error().mCode ==
                   ErrorCode::InvalidInput);
    cluster.At((leader + 1) % 3).Crash();
    CommitSome(cluster);
    CPPUNIT_ASSERT(cluster.At((leader + 1) % 3).Start(cluster.Now()));
    cluster.Isolate((leader + 1) % 3);
    cluster.RunFor(Milliseconds(3'000));
    CPPUNIT_ASSERT(cluster.At((leader + 1) % 3).Core().Role() == RaftRole::Follower);
    cluster.Heal();
    AwaitConverged(cluster);
    cluster.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(Change(cluster, RaftMembershipChangeKind::Promote, id));
    AwaitConverged(cluster);
    CheckHistory(cluster);
  }

  // Guards against a replica that takes a long-delayed append message for proof of a recent quorum
  // contact.
  void DelayedAppendDoesNotConfirm()
  {
    SimulatedCluster cluster(3, 3, 17);
    const std::size_t leader = cluster.AwaitLeader();
    CommitSome(cluster);
    AwaitConverged(cluster);
    const std::size_t follower = (leader + 1) % 3;
    std::optional<RaftMessage> kept;
    cluster.At(leader).Tick(cluster.Now() + Milliseconds(100));
    for (const RaftMessage& message : cluster.At(leader).TakeSent()) {
      if (message.mTo == cluster.At(follower).Id()) {
        kept = message;
      }
    }
    CPPUNIT_ASSERT(kept);
    CPPUNIT_ASSERT(std::get<AppendRequest>(kept->mBody).mQuorumAgeNs);
    cluster.Isolate(follower);
    cluster.RunFor(Milliseconds(600));
    CPPUNIT_ASSERT(!cluster.At(follower).Core().Confirmed(cluster.Now()));
    cluster.At(follower).Receive(cluster.Now(), *kept);
    CPPUNIT_ASSERT(!cluster.At(follower).Core().Confirmed(cluster.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftCoreTest);

} // namespace

} // namespace dandelionslip
