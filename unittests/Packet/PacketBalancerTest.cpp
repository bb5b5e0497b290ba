// Tests of PacketBalancer.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/PacketAgent.h"
#include "dandelionslip/Packet/PacketBalancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Milliseconds kSettled{1'500};

class PacketBalancerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketBalancerTest);
  CPPUNIT_TEST(FlowsStayWithTheirHolder);
  CPPUNIT_TEST(UnknownFlowsAreSearched);
  CPPUNIT_TEST(FlowsThatNobodyHoldsAreReset);
  CPPUNIT_TEST(DeadFlowsAreResetOnceAllAgentsAreKnownWithoutAnotherPacket);
  CPPUNIT_TEST(AgentsWithConfirmedRegistrationsAreNotQueried);
  CPPUNIT_TEST(AgentsWithAnEarlierViewAreNotQueriedForFlowsWithTheSameDirectoryAgents);
  CPPUNIT_TEST(LoadReportsFromBeforeTheFlowDoNotEndASearch);
  CPPUNIT_TEST(SecondQueriesWaitForLaterLoadReports);
  CPPUNIT_TEST(DirectoryAgentsThatRestartedDuringASearchDoNotEndIt);
  CPPUNIT_TEST(OutdatedDirectoryAgentsDoNotEndASearch);
  CPPUNIT_TEST(DirectoryAgentsWithAnotherViewDoNotEndASearch);
  CPPUNIT_TEST(DirectoryAgentsWithAnotherViewDoNotRefuseAnOpening);
  CPPUNIT_TEST(OnlyAgentsThatDidNotAnswerAreQueriedAgain);
  CPPUNIT_TEST(PacketsAreKeptUntilRoutesAreKnown);
  CPPUNIT_TEST(QueriesStayWithinTheLinkBudget);
  CPPUNIT_TEST(SilentAgentsPreventAReset);
  CPPUNIT_TEST(LateAnswersDoNotEndASearch);
  CPPUNIT_TEST(LostAgentsPreventAReset);
  CPPUNIT_TEST(LostAgentsThatReportedNoFlowsDoNotPreventAReset);
  CPPUNIT_TEST(AgentsThatFinishDuringASearchDoNotPreventAReset);
  CPPUNIT_TEST(FlowsOfAgentsThatJoinWithoutALeaseAreNotReset);
  CPPUNIT_TEST(AgentsThatReturnedTheOpeningAreQueriedBeforeAReset);
  CPPUNIT_TEST(AgentsThatBecomeKnownDuringASearchAreQueriedBeforeAReset);
  CPPUNIT_TEST(AgentsThatOnlyOtherAgentsKnowAreQueriedBeforeAReset);
  CPPUNIT_TEST(AgentsOutsideTheViewAnswerAsDirectoryAgents);
  CPPUNIT_TEST(RestartedAgentsOutsideTheViewAreProbedBeforeAReset);
  CPPUNIT_TEST(FinishedAgentsThatOtherAgentsNameDoNotPreventAReset);
  CPPUNIT_TEST(NewAgentsAtTheEndpointOfAFinishedOnePreventAReset);
  CPPUNIT_TEST(AgentsThatNeedAProbeGetThePacket);
  CPPUNIT_TEST(OutdatedRegistrationsAreNotFollowedTwice);
  CPPUNIT_TEST(ProbesStayFewWhenAllNodesRestart);
  CPPUNIT_TEST(RefusedOpeningsTryAnotherUpstream);
  CPPUNIT_TEST(UnroutableOpeningsAreResetAtOnce);
  CPPUNIT_TEST(OpeningsWaitForRoutes);
  CPPUNIT_TEST(OpeningsWaitForColdUpstreams);
  CPPUNIT_TEST(OpeningsThatCannotBeServedInTimeAreReset);
  CPPUNIT_TEST(WaitingOpeningsOfOpenFlowsAreDropped);
  CPPUNIT_TEST(OpeningsThatWaitedAreNotResetWhileTheFlowIsOpen);
  CPPUNIT_TEST(OpeningsThatWaitedForAViewAreNotReset);
  CPPUNIT_TEST(LaterPacketsEndARefusal);
  CPPUNIT_TEST(AnswersFromBeforeTheFlowDoNotCountInItsSearch);
  CPPUNIT_TEST(ALostQueryBeforeARefusalIsRepeatedOnce);
  CPPUNIT_TEST(AnswersAfterARefusalDoNotCountInALaterSearch);
  CPPUNIT_TEST(QueriesBeforeRefusalsStayWithinTheSearchBudget);
  CPPUNIT_TEST(RefusalsThatAwaitAnswersAreBounded);
  CPPUNIT_TEST(LateReturnedOpeningsAreNotPlacedAgain);
  CPPUNIT_TEST(OpeningsReturnedAfterAnotherPlacementAreDropped);
  CPPUNIT_TEST(OpeningsReturnedDuringASearchAreDropped);
  CPPUNIT_TEST(ReturnedPacketsOfAnEarlierFlowOfThePortRuleOutNoAgent);
  CPPUNIT_TEST(DenialsOfAnEarlierFlowOfThePortDoNotCountForTheNextOne);
  CPPUNIT_TEST(LateAnswersOfAnEarlierSearchDoNotCount);
  CPPUNIT_TEST(DuplicateAnswersDoNotConfirmThemselves);
  CPPUNIT_TEST(ReturnedOpeningsOfAnEarlierFlowOfThePortAreNotPlacedAgain);
  CPPUNIT_TEST(LatePacketsOfAnEarlierFlowOfThePortDoNotEndTheNextOne);
  CPPUNIT_TEST(NextFlowsOfAPortAreNotSentToTheHolderOfTheEarlierOne);
  CPPUNIT_TEST(ReturnedOpeningsOfForgottenFlowsAreNotResetWithoutAQuery);
  CPPUNIT_TEST(LateOpeningsAreNotResetWithoutAQuery);
  CPPUNIT_TEST(RestartedDirectoryAgentsDoNotRefuseAnOpening);
  CPPUNIT_TEST(LateAnswersOfDirectoryAgentsDoNotRefuseAnOpening);
  CPPUNIT_TEST(HighPriorityRoutesLeaveTheQueueFirst);
  CPPUNIT_TEST(DataCentresOutOfServiceGetNoOpenings);
  CPPUNIT_TEST(DataCentresOutOfServiceGetNoWaitingOpenings);
  CPPUNIT_TEST(RoutesToOtherKindsOfAddressesReplaceNoRoute);
  CPPUNIT_TEST(FlowsFollowTheSpeedOfUpstreams);
  CPPUNIT_TEST(VerdictsSurviveTheAgentAndEndWithTheUpstream);
  CPPUNIT_TEST(FailingUpstreamsBeyondTheBoundGetDeliveries);
  CPPUNIT_TEST(UpstreamsThatRejectFromTheirStartDoNotAttractFlows);
  CPPUNIT_TEST_SUITE_END();

  platform::PlatformPacketCodec mCodec;
  MetricsRegistry mRegistry;
  RecordingOutput mOutput;
  TimePoint mNow = kStart;
  PacketBalancer mBalancer{{}, mCodec, mRegistry, Random(1)};
  DirectoryAgents mDirectoryAgents;
  std::uint64_t mDigestDifference = 0; ///< Between the views of agents and of the balancer.

  void Send(PacketBytes aPacket) { mBalancer.OnCallerPacket(aPacket, mOutput, mNow); }

  void Report(unsigned aNode, LoadReport aReport)
  {
    aReport.mDataCentre = "north";
    if (aReport.mService.empty()) {
      aReport.mService = "web";
    }
    Bytes bytes = aReport.Encode();
    mBalancer.OnNodePacket(NodeEndpoint(aNode), {NodeMessageType::LoadReport, ReturnReason::None},
                           bytes, mOutput, mNow);
  }

  static LoadReport Accepting()
  {
    LoadReport report;
    report.mAccepts = true;
    report.mSlots = 4;
    return report;
  }

  static LoadReport Cold(std::uint32_t aAllowed, Milliseconds aLeft)
  {
    LoadReport report = Accepting();
    report.mCold = true;
    report.mOpeningsAllowed = aAllowed;
    report.mOpeningsPerSecond = 5;
    report.mColdLeft = aLeft;
    return report;
  }

  void Return(unsigned aNode, ReturnReason aReason, PacketBytes aPacket)
  {
    mBalancer.OnNodePacket(NodeEndpoint(aNode), {NodeMessageType::Returned, aReason}, aPacket,
                           mOutput, mNow);
  }

  // An agent's answer to the oldest query for a flow that it has not answered.
  void AnswerFrom(const Endpoint& aAgent, NodeMessageType aType, const FlowKey& aFlow,
                  const Endpoint& aHolder = {})
  {
    auto bytes = FlowMessage{aHolder,
                             {aFlow},
                             mDirectoryAgents.Digest() + mDigestDifference,
                             mOutput.NumberForAnswer(aAgent, aFlow)}
                   .Encode();
    mBalancer.OnNodePacket(aAgent, {aType, ReturnReason::None}, bytes, mOutput, mNow);
  }

  void Answer(unsigned aNode, NodeMessageType aType, const FlowKey& aFlow,
              const Endpoint& aHolder = {})
  {
    AnswerFrom(NodeEndpoint(aNode), aType, aFlow, aHolder);
  }

  std::size_t Sent(NodeMessageType aType) const
  {
    return static_cast<std::size_t>(
      std::count_if(mOutput.mToNodes.begin(), mOutput.mToNodes.end(),
                    [&](const auto& aSent) { return aSent.mHeader.mType == aType; }));
  }

  // Two agents of "web", nodes 1 and 2, that accept flows, after the settle time.
  void Settle()
  {
    const View view = TestView(1, {TestAgentMember(1, "web"), TestAgentMember(2, "web")});
    mDirectoryAgents.Update(view);
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    mNow += kSettled;
    Report(1, Accepting());
    Report(2, Accepting());
    mOutput.Clear();
  }

  // Guards against packets of one flow that reach different upstreams.
  void FlowsStayWithTheirHolder()
  {
    Settle();
    Send(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToNodes.size());
    const Endpoint holder = mOutput.mToNodes[0].mNode;
    Report(holder == NodeEndpoint(1) ? 2 : 1, Accepting());
    for (std::uint32_t i = 0; i < 5; ++i) {
      Send(CallerPacket(TestFlow(1), FlagSyn, 1, i + 1));
      Send(CallerPacket(TestFlow(1), FlagAck, 2 + i, 1, 100));
    }
    for (const auto& sent : mOutput.mToNodes) {
      CPPUNIT_ASSERT(sent.mNode == holder);
    }
  }

  // Guards against a broken flow when the network fabric sends its packets to another balancer.
  void UnknownFlowsAreSearched()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Sent(NodeMessageType::Query));
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(2));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(2));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
    mOutput.Clear();
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT(mOutput.mToNodes[0].mNode == NodeEndpoint(2));
    CPPUNIT_ASSERT(mOutput.mToNodes[0].mHeader.mType == NodeMessageType::Deliver);
  }

  // Guards against callers that wait until their deadline on a flow that ended with its upstream.
  void FlowsThatNobodyHoldsAreReset()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    // Both directory agents have answered NotFound, and there are no other agents to query.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Sent(NodeMessageType::QueryLocal));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    const auto reset = mCodec.DecodeFromUpstream(mOutput.mToCallers[0]);
    CPPUNIT_ASSERT(reset && reset->mFlow == TestFlow(1) && reset->mSequence == 9);
  }

  // All nodes have just started. The caller's next retransmission comes 1.6 s after this one.
  void DeadFlowsAreResetOnceAllAgentsAreKnownWithoutAnotherPacket()
  {
    const View view = TestView(1, {TestAgentMember(1, "web"), TestAgentMember(2, "web")});
    mDirectoryAgents.Update(view);
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    Report(1, Accepting());
    Report(2, Accepting());
    mNow += Milliseconds{100};
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    mNow += Milliseconds{1'000};
    Report(1, Accepting());
    // Answers from before all agents were known do not count.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // aAgents agents of "web" whose flows are registered with the directory agents of the same view.
  void SettleMany(unsigned aAgents)
  {
    std::vector<Member> members;
    for (unsigned node = 1; node <= aAgents; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    const View view = TestView(1, members);
    mDirectoryAgents.Update(view);
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    mNow += kSettled;
    ReportRegistered(aAgents, mDirectoryAgents.Digest());
    mOutput.Clear();
  }

  void ReportRegistered(unsigned aAgents, std::uint64_t aDigest)
  {
    for (unsigned node = 1; node <= aAgents; ++node) {
      LoadReport report = Accepting();
      report.mConfirmedAgentsDigest = aDigest;
      Report(node, report);
    }
  }

  // Load reports of the next two intervals.
  void ReportRegisteredLater(unsigned aAgents)
  {
    for (int i = 0; i < 2; ++i) {
      mNow += Milliseconds{100};
      ReportRegistered(aAgents, mDirectoryAgents.Digest());
    }
  }

  void DirectoryAgentsAnswer(NodeMessageType aType, const FlowKey& aFlow)
  {
    for (const Endpoint& agent : mDirectoryAgents.AgentsFor(aFlow)) {
      AnswerFrom(agent, aType, aFlow);
    }
  }

  // Guards against searches that query 60 agents for each flow that a loss of power has ended, and
  // against the reset of a flow whose agent the directory agents do not cover.
  void AgentsWithConfirmedRegistrationsAreNotQueried()
  {
    SettleMany(60);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    // Load reports from after the packet show that nothing that is open is unregistered.
    ReportRegisteredLater(60);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent(NodeMessageType::Query));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Sent(NodeMessageType::QueryLocal));

    // An agent that has restarted does not know its flows: it is the only one that is queried.
    // Chooses an agent that is not a directory agent of the flow.
    unsigned restarted = 1;
    for (const auto directoryAgents = mDirectoryAgents.AgentsFor(TestFlow(2));
         std::find(directoryAgents.begin(), directoryAgents.end(), NodeEndpoint(restarted)) !=
         directoryAgents.end();) {
      ++restarted;
    }
    Report(restarted, Accepting());
    mOutput.Clear();
    Send(CallerPacket(TestFlow(2), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::QueryLocal));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(restarted));
    Answer(restarted, NodeMessageType::NotFound, TestFlow(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    ReportRegisteredLater(60);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::QueryLocal));
  }

  // After a loss of power the view changes often, and each change made 60 agents uncovered. If the
  // changed agent is a directory agent of the flow, the earlier view says nothing.
  void AgentsWithAnEarlierViewAreNotQueriedForFlowsWithTheSameDirectoryAgents()
  {
    SettleMany(60);
    const auto own = mDirectoryAgents.AgentsFor(TestFlow(1));
    std::vector<Member> members;
    for (unsigned node = 1; node <= 60; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    for (unsigned node = 1, changed = 0; changed == 0; ++node) {
      if (std::find(own.begin(), own.end(), NodeEndpoint(node)) == own.end()) {
        members[node - 1].mIncarnation = changed = 2;
      }
    }
    mBalancer.OnState(TestConfiguration(1, {"web"}), TestView(2, members), mOutput, mNow);
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Sent(NodeMessageType::QueryLocal));
    ReportRegisteredLater(60);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());

    const auto directoryAgent =
      std::find_if(members.begin(), members.end(), [&](const Member& aMember) {
        return aMember.mDatagramEndpoint == own.front().ToString();
      });
    directoryAgent->mIncarnation = 3;
    mBalancer.OnState(TestConfiguration(1, {"web"}), TestView(3, members), mOutput, mNow);
    Send(packet);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    ReportRegisteredLater(60);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT(Sent(NodeMessageType::QueryLocal) > 0);
  }

  // A registration is in flight: the directory agents do not know the flow yet, and its agent's
  // last load report is older than the flow.
  void LoadReportsFromBeforeTheFlowDoNotEndASearch()
  {
    SettleMany(60);
    mNow += Milliseconds{100};
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    ReportRegisteredLater(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent(NodeMessageType::Query));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    const unsigned holder = 33;
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(holder));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(holder));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
  }

  // Guards against a second query whose answers are as old as the first ones.
  void SecondQueriesWaitForLaterLoadReports()
  {
    SettleMany(60);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Sent(NodeMessageType::Query));
      mNow += Milliseconds{24};
      ReportRegistered(60, mDirectoryAgents.Digest());
    }
    for (int i = 0; i < 2; ++i) {
      mNow += Milliseconds{100};
      ReportRegistered(59, mDirectoryAgents.Digest());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Sent(NodeMessageType::Query));
    }
    ReportRegisteredLater(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent(NodeMessageType::Query));
  }

  // Their first answers no longer count, and lost queries are repeated.
  void DirectoryAgentsThatRestartedDuringASearchDoNotEndIt()
  {
    SettleMany(60);
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    ReportRegisteredLater(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent(NodeMessageType::Query));
    mNow += Milliseconds{200};
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Sent(NodeMessageType::Query));
    DirectoryAgentsAnswer(NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT(Sent(NodeMessageType::QueryLocal) > 20);
  }

  // Guards against the reset of a flow that is registered with the directory agents of another view
  // or with one that has restarted, or whose agent sends no load reports.
  void OutdatedDirectoryAgentsDoNotEndASearch()
  {
    SettleMany(60);
    ReportRegistered(60, mDirectoryAgents.Digest() + 1);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT(Sent(NodeMessageType::QueryLocal) > 0);

    ReportRegistered(60, mDirectoryAgents.Digest());
    Send(CallerPacket(TestFlow(2), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotFound, TestFlow(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());

    mNow += Milliseconds{1'100};
    Send(CallerPacket(TestFlow(3), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // The directory agents have restarted, and the balancer does not know it yet. Their last load
  // reports here are those of the earlier processes.
  void DirectoryAgentsWithAnotherViewDoNotEndASearch()
  {
    SettleMany(60);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    ReportRegisteredLater(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent(NodeMessageType::Query));
    mDigestDifference = 1;
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT(Sent(NodeMessageType::QueryLocal) > 20);
  }

  void DirectoryAgentsWithAnotherViewDoNotRefuseAnOpening()
  {
    Wait();
    mNow += Milliseconds{200};
    mBalancer.OnTick(mOutput, mNow);
    mDigestDifference = 1;
    Answer(1, NodeMessageType::NotRegistered, TestFlow(1));
    Answer(2, NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against a search that starts over with every retransmission: one agent does not answer,
  // and only that one is queried again.
  void OnlyAgentsThatDidNotAnswerAreQueriedAgain()
  {
    mBalancer.OnState(TestConfiguration(1, {"web"}),
                      TestView(1, {TestAgentMember(1, "web"), TestAgentMember(2, "web"),
                                   TestAgentMember(3, "web")}),
                      mOutput, mNow);
    mNow += kSettled;
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    for (unsigned node = 1; node <= 2; ++node) {
      Answer(node, NodeMessageType::NotFound, TestFlow(1));
    }
    for (int i = 0; i < 4; ++i) {
      mOutput.Clear();
      mNow += Milliseconds{200};
      Send(packet);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::QueryLocal));
      CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    }
    Answer(3, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against the loss of packets that come while a restarted balancer has no routes, and
  // against packets that are forwarded after their callers have given up.
  void PacketsAreKeptUntilRoutesAreKnown()
  {
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    mNow += Milliseconds{1'200};
    Send(CallerPacket(TestFlow(2), FlagAck, 7, 9, 50));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    mNow += Milliseconds{300};
    mBalancer.OnState(TestConfiguration(1, {"web"}), TestView(1, {TestAgentMember(1, "web")}),
                      mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::Query));
    const auto asked = FlowMessage::Decode(mOutput.mToNodes.at(0).mPacket);
    CPPUNIT_ASSERT(asked && asked.value().mFlows.front() == TestFlow(2));
  }

  // Guards against queries that fill a small link: after a loss of power, 60 agents do not answer,
  // and callers send on 200 flows that no upstream holds. A query takes 50 bytes on the wire.
  void QueriesStayWithinTheLinkBudget()
  {
    PacketBalancerSettings settings;
    settings.mCapacity = {0.09, 2.5};
    std::vector<Member> members;
    for (unsigned node = 1; node <= 60; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    PacketBalancer balancer(settings, mCodec, mRegistry, Random(1), mNow);
    balancer.OnState(TestConfiguration(1, {"web"}), TestView(1, members), mOutput, mNow);
    mNow += kSettled;
    mOutput.Clear();
    constexpr int kSeconds = 3;
    for (int step = 0; step < kSeconds * 5; ++step) {
      for (std::uint16_t flow = 0; flow < 200; ++flow) {
        PacketBytes packet = CallerPacket(TestFlow(flow), FlagAck, 7, 9, 50);
        balancer.OnCallerPacket(packet, mOutput, mNow);
      }
      mNow += Milliseconds{200};
    }
    // The queries of the first two stages are not limited and are subtracted.
    constexpr std::size_t kFirstStages =
      DirectoryAgents::kDirectoryAgentsPerFlow + kPreferredAgents;
    const std::size_t allAgentQueries =
      Sent(NodeMessageType::QueryLocal) -
      std::min(Sent(NodeMessageType::QueryLocal), 200 * kFirstStages);
    CPPUNIT_ASSERT(allAgentQueries * 50 * 8 <= kSeconds * 2'500'000 / 4);
  }

  // Guards against the reset of an open flow by a balancer that control does not reach while the
  // flow's agent joins.
  void FlowsOfAgentsThatJoinWithoutALeaseAreNotReset()
  {
    const Configuration configuration = TestConfiguration(1, {"web"});
    mBalancer.OnState(configuration, TestView(1, {TestAgentMember(1, "web")}), mOutput, mNow,
                      mNow + kSettled);
    mNow += kSettled;
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    mNow += Milliseconds{200};
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    mBalancer.OnState(configuration,
                      TestView(2, {TestAgentMember(1, "web"), TestAgentMember(2, "web")}), mOutput,
                      mNow, mNow + Milliseconds{2'000});
    mOutput.Clear();
    mNow += Milliseconds{400};
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::QueryLocal));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(2));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // An agent may accept a repetition of an opening packet that it has returned to this balancer.
  void AgentsThatReturnedTheOpeningAreQueriedBeforeAReset()
  {
    Settle();
    const PacketBytes opening = CallerPacket(TestFlow(1), FlagSyn);
    Send(opening);
    const bool first = mOutput.mToNodes.back().mNode == NodeEndpoint(1);
    const unsigned holder = first ? 1 : 2;
    const unsigned other = first ? 2 : 1;
    Return(holder, ReturnReason::Unresponsive, opening);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(other));

    mNow += Milliseconds{11'000};
    Report(1, Accepting());
    Report(2, Accepting());
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Return(other, ReturnReason::NotHeld, packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(holder, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(holder));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(holder));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
  }

  // The view of a balancer that lagged behind names the flow's holder while the search runs.
  void AgentsThatBecomeKnownDuringASearchAreQueriedBeforeAReset()
  {
    Settle();
    Report(3, Accepting());
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    for (unsigned node = 4; node <= 6; ++node) {
      Report(node, Accepting());
      mOutput.Clear();
      Answer(node - 1, NodeMessageType::NotFound, TestFlow(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::Query));
      CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(node));
    }
    Answer(6, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against the reset of a flow whose agent is restarting while its upstream runs.
  void SilentAgentsPreventAReset()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    for (int i = 0; i < 5; ++i) {
      Send(packet);
      Answer(1, NodeMessageType::NotFound, TestFlow(1));
      mNow += Milliseconds{300};
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against a reset that an agent's late answer triggers and answers of seconds ago decide.
  void LateAnswersDoNotEndASearch()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    mNow += Milliseconds{2'100};
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    // The caller's next packet begins a search whose answers are all new.
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Sent(NodeMessageType::Query));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against the reset of an open flow by a balancer that joined while the flow's agent had
  // no valid lease: a network partition cut the agent off from control, but the agent and its
  // upstream still run.
  void LostAgentsPreventAReset()
  {
    mBalancer.OnState(
      TestConfiguration(1, {"web"}),
      TestView(1, {TestAgentMember(1, "web"), TestAgentMember(2, "web", MemberState::Lost),
                   TestAgentMember(3, "web", MemberState::Left)}),
      mOutput, mNow);
    mNow += kSettled;
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    // The second answer is a duplicate and changes nothing.
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::QueryLocal));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(2));
    mOutput.Clear();
    Send(CallerPacket(TestFlow(2), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.at(0).mNode == NodeEndpoint(1));
    // By now every flow of the lost agent has exceeded the maximum age.
    mNow += std::chrono::seconds(61);
    Report(1, Accepting());
    mBalancer.OnTick(mOutput, mNow);
    Send(packet);
    // The second answer is a duplicate and changes nothing.
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // The VM of a removed upstream lost power and started again for a moment.
  void LostAgentsThatReportedNoFlowsDoNotPreventAReset()
  {
    Settle();
    LoadReport report;
    report.mConfirmedAgentsDigest = mDirectoryAgents.Digest();
    report.mFlows = 1;
    Report(2, report);
    const View view =
      TestView(2, {TestAgentMember(1, "web"), TestAgentMember(2, "web", MemberState::Lost)});
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    mDirectoryAgents.Update(view);
    mNow += kSettled;
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    report.mFlows = 0;
    Report(2, report);
    mNow += Milliseconds{200};
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  void AgentsThatFinishDuringASearchDoNotPreventAReset()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    LoadReport finished;
    finished.mFinished = true;
    Report(2, finished);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    mNow += Milliseconds{200};
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // A view from after a restart of control lacks an agent that control does not reach.
  void AgentsThatOnlyOtherAgentsKnowAreQueriedBeforeAReset()
  {
    SettleMany(4);
    LoadReport report = Accepting();
    report.mConfirmedAgentsDigest = mDirectoryAgents.Digest();
    report.mUnseenHolders = {NodeEndpoint(8)};
    Report(2, report);
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    ReportRegisteredLater(4);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(8));
    Answer(8, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(8));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(8));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
    // It is forgotten when no agent names it any more.
    mNow += Milliseconds{10'500};
    mBalancer.OnTick(mOutput, mNow);
    ReportRegistered(4, mDirectoryAgents.Digest());
    Send(CallerPacket(TestFlow(2), FlagAck, 7, 9, 50));
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(2));
    ReportRegisteredLater(4);
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Control reaches neither the holder, node 9, nor its directory agent, node 8. Guards also
  // against a registration that is out of date and is followed again and again.
  void AgentsOutsideTheViewAnswerAsDirectoryAgents()
  {
    Settle();
    LoadReport report = Accepting();
    report.mUnseenHolders = {NodeEndpoint(8)};
    Report(1, report);
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Sent(NodeMessageType::Query));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(8));
    Answer(8, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(9));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(9));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
    Return(9, ReturnReason::NotHeld, packet);
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    Answer(8, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::Deliver));
    // It may hold the flow itself: an agent that has restarted answers with the registration too.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(8));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::QueryLocal);
    Answer(8, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Node 8 has restarted, and a copy of the opening packet was registered with it by node 2.
  void RestartedAgentsOutsideTheViewAreProbedBeforeAReset()
  {
    Settle();
    PacketAgentSettings settings;
    settings.mService = "web";
    settings.mEndpoint = NodeEndpoint(8);
    PacketAgent agent(settings, mCodec, mRegistry, mNow);
    agent.OnUpstreamHeartbeat({"i-8", "web", false, Milliseconds{0}, 4, 1'000, 57}, mNow);
    RecordingOutput fromAgent;
    PacketBytes registration = FlowMessage{{}, {TestFlow(1)}}.Encode();
    agent.OnNodePacket(NodeEndpoint(2), {NodeMessageType::Register, ReturnReason::None},
                       registration, fromAgent, mNow);
    fromAgent.mToNodes.clear();

    LoadReport report = Accepting();
    report.mUnseenHolders = {NodeEndpoint(8)};
    Report(1, report);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    auto query = mOutput.mToNodes.back();
    CPPUNIT_ASSERT(query.mNode == NodeEndpoint(8));
    agent.OnNodePacket(NodeEndpoint(100), query.mHeader, query.mPacket, fromAgent, mNow);
    auto answer = fromAgent.mToNodes.back();
    mBalancer.OnNodePacket(NodeEndpoint(8), answer.mHeader, answer.mPacket, mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Control has restarted and forgotten the agent; its registrations expire after 65 s.
  void FinishedAgentsThatOtherAgentsNameDoNotPreventAReset()
  {
    Settle();
    LoadReport finished;
    finished.mFinished = true;
    Report(8, finished);
    LoadReport report = Accepting();
    report.mUnseenHolders = {NodeEndpoint(8)};
    Report(1, report);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // The view still shows the finished agent; the next process reports, and is then only named.
  void NewAgentsAtTheEndpointOfAFinishedOnePreventAReset()
  {
    Settle();
    LoadReport finished;
    finished.mFinished = true;
    Report(8, finished);
    Report(8, Accepting());
    mNow += Milliseconds{11'000};
    mBalancer.OnTick(mOutput, mNow);
    LoadReport report = Accepting();
    Report(1, report);
    report.mUnseenHolders = {NodeEndpoint(8)};
    Report(2, report);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against a flow that is not found because its agent has restarted and only the upstream
  // knows that it holds the flow.
  void AgentsThatNeedAProbeGetThePacket()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::ProbeNeeded, TestFlow(1));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::Probe);
    PacketBytes probe = mOutput.mToNodes.back().mPacket;
    mCodec.ClearBounce(probe);
    CPPUNIT_ASSERT(probe == packet);
  }

  // Guards against packets that are forwarded to the same agent again and again because a
  // registration is out of date.
  void OutdatedRegistrationsAreNotFollowedTwice()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(2));
    Return(2, ReturnReason::NotHeld, packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::QueryLocal));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::Deliver));
  }

  // Guards against a flood of flow probes when all nodes restart at once and no agent knows its
  // flows: 60 agents answer ProbeNeeded, for 200 flows per second at one balancer.
  void ProbesStayFewWhenAllNodesRestart()
  {
    std::vector<Member> members;
    for (unsigned node = 1; node <= 60; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    mBalancer.OnState(TestConfiguration(1, {"web"}), TestView(1, members), mOutput, mNow);
    mNow += kSettled;
    mBalancer.OnTick(mOutput, mNow);
    constexpr std::uint16_t kFlows = 200;
    std::size_t foundAmongCandidates = 0;
    for (std::uint16_t i = 0; i < kFlows; ++i) {
      // The flow was placed before the restart, by a balancer like this one.
      mOutput.Clear();
      Send(CallerPacket(TestFlow(i), FlagSyn));
      const Endpoint holder = mOutput.mToNodes.at(0).mNode;
      PacketBalancer restarted({}, mCodec, mRegistry, Random(2));
      restarted.OnState(TestConfiguration(1, {"web"}), TestView(1, members), mOutput, mNow);
      mOutput.Clear();
      PacketBytes packet = CallerPacket(TestFlow(i), FlagAck, 7, 9, 1'000);
      restarted.OnCallerPacket(packet, mOutput, mNow);
      for (std::size_t at = 0; at < mOutput.mToNodes.size(); ++at) {
        const auto sent = mOutput.mToNodes[at];
        const bool probe = sent.mHeader.mType == NodeMessageType::Probe;
        const bool holds = probe && sent.mNode == holder;
        foundAmongCandidates += holds ? 1 : 0;
        if (!holds && sent.mHeader.mType != NodeMessageType::Deliver) {
          const std::uint32_t number = probe ? mCodec.DecodeFromCaller(sent.mPacket)->mTag
                                             : mOutput.NumberForAnswer(sent.mNode, TestFlow(i));
          auto bytes = FlowMessage{{}, {TestFlow(i)}, 0, number}.Encode();
          restarted.OnNodePacket(
            sent.mNode,
            {probe ? NodeMessageType::NotFound : NodeMessageType::ProbeNeeded, ReturnReason::None},
            bytes, mOutput, mNow);
        }
      }
      CPPUNIT_ASSERT(Sent(NodeMessageType::Probe) <=
                     DirectoryAgents::kDirectoryAgentsPerFlow + kPreferredAgents);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kFlows}, foundAmongCandidates);
  }

  // Guards against the reset of a flow that another upstream could accept, and against an endless
  // loop between upstreams.
  void RefusedOpeningsTryAnotherUpstream()
  {
    Settle();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagSyn);
    Send(packet);
    const unsigned first = mOutput.mToNodes[0].mNode == NodeEndpoint(1) ? 1 : 2;
    Return(first, ReturnReason::Refused, packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT(mOutput.mToNodes[1].mNode == NodeEndpoint(3 - first));
    Return(3 - first, ReturnReason::Draining, packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mOutput.mToNodes.size());
  }

  // Guards against a caller that waits although no route matches its flow.
  void UnroutableOpeningsAreResetAtOnce()
  {
    Settle();
    FlowKey flow = TestFlow(1);
    flow.mServicePort = 444;
    Send(CallerPacket(flow, FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against resets that use up a caller's attempts while a balancer starts.
  void OpeningsWaitForRoutes()
  {
    Send(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToCallers.empty() && mOutput.mToNodes.empty());
    mNow += Milliseconds{300};
    Settle();
    // The settle time exceeds the maximum wait of the packet, so delivery is checked with a new
    // balancer.
    PacketBalancer balancer({}, mCodec, mRegistry, Random(1));
    PacketBytes packet = CallerPacket(TestFlow(2), FlagSyn);
    balancer.OnCallerPacket(packet, mOutput, mNow);
    balancer.OnState(TestConfiguration(1, {"web"}), TestView(1, {TestAgentMember(1, "web")}),
                     mOutput, mNow + Milliseconds{400});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against resets of flows that cold upstreams could accept within the callers' deadline,
  // when all callers open their flows again after a loss of power.
  void OpeningsWaitForColdUpstreams()
  {
    Settle();
    Report(1, Cold(2, Milliseconds{500}));
    Report(2, Cold(1, Milliseconds{500}));
    for (std::uint16_t i = 0; i < 20; ++i) {
      Send(CallerPacket(TestFlow(i), FlagSyn));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    mNow += Milliseconds{500};
    Report(1, Accepting());
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, mOutput.mToNodes.size());
  }

  // Guards against callers that wait although they cannot be served: upstreams stay cold for longer
  // than openings of the route may wait, and accept fewer flows in that time than already wait.
  void OpeningsThatCannotBeServedInTimeAreReset()
  {
    Settle();
    Report(1, Cold(0, Milliseconds{30'000}));
    Report(2, Cold(0, Milliseconds{30'000}));
    for (std::uint16_t i = 0; i < 50; ++i) {
      Send(CallerPacket(TestFlow(i), FlagSyn));
    }
    // Eight of 50 wait: ten openings per second for four fifths of the route's timeout of 1 s.
    CPPUNIT_ASSERT_EQUAL(std::size_t{42}, mOutput.Resets());
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
  }

  // An opening of flow 1 that waits for cold upstreams.
  void Wait()
  {
    Settle();
    Report(1, Cold(0, Milliseconds{30'000}));
    Report(2, Cold(0, Milliseconds{30'000}));
    Send(CallerPacket(TestFlow(1), FlagSyn));
    mNow += Milliseconds{700};
    mOutput.Clear();
  }

  // A copy of the opening packet has opened the flow through another balancer.
  void WaitingOpeningsOfOpenFlowsAreDropped()
  {
    Wait();
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(2));
    mNow += Milliseconds{1'000};
    mBalancer.OnTick(mOutput, mNow);
    mNow += Milliseconds{1'000};
    mBalancer.OnTick(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // As above, and the flow's other packets go to that balancer too.
  void OpeningsThatWaitedAreNotResetWhileTheFlowIsOpen()
  {
    for (const bool open : {true, false}) {
      Wait();
      mNow += Milliseconds{200};
      mBalancer.OnTick(mOutput, mNow);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Sent(NodeMessageType::Query));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
      Answer(1, NodeMessageType::NotRegistered, TestFlow(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
      Answer(2, open ? NodeMessageType::HolderFound : NodeMessageType::NotRegistered, TestFlow(1),
             NodeEndpoint(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{open ? 0U : 1U}, mOutput.Resets());
    }
    Wait();
    mNow += Milliseconds{200};
    mBalancer.OnTick(mOutput, mNow);
    mNow += Milliseconds{350};
    mBalancer.OnTick(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // A balancer without a view knows no directory agents, and other balancers may open the flow.
  void OpeningsThatWaitedForAViewAreNotReset()
  {
    Send(CallerPacket(TestFlow(1), FlagSyn));
    mNow += Milliseconds{1'400};
    mBalancer.OnTick(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against the reset of a flow whose next packet comes before the directory agents answer.
  void LaterPacketsEndARefusal()
  {
    Wait();
    mNow += Milliseconds{200};
    mBalancer.OnTick(mOutput, mNow);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    mNow += Milliseconds{150};
    mBalancer.OnTick(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // A directory agent denied the flow before its own upstream accepted a copy of the opening
  // packet.
  void AnswersFromBeforeTheFlowDoNotCountInItsSearch()
  {
    Wait();
    mNow += Milliseconds{200};
    mBalancer.OnTick(mOutput, mNow);
    mNow += Milliseconds{10};
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // The refusal of flow 1 after its query to agent 2 was lost and repeated.
  void RefuseAfterALostQuery()
  {
    Wait();
    mNow += Milliseconds{200};
    mBalancer.OnTick(mOutput, mNow);
    Answer(1, NodeMessageType::NotRegistered, TestFlow(1));
    mNow += Milliseconds{110};
    Report(1, Cold(0, Milliseconds{30'000}));
  }

  // Guards against callers that wait for their own timeout because one datagram was lost.
  void ALostQueryBeforeARefusalIsRepeatedOnce()
  {
    RefuseAfterALostQuery();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Sent(NodeMessageType::Query));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(2));
    mNow += Milliseconds{60};
    Report(1, Cold(0, Milliseconds{30'000}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Sent(NodeMessageType::Query));
    Answer(2, NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // The query was not lost but late, and the next flow of the port is open when its answer comes.
  void AnswersAfterARefusalDoNotCountInALaterSearch()
  {
    RefuseAfterALostQuery();
    Answer(2, NodeMessageType::NotRegistered, TestFlow(1));
    mOutput.Clear();
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  std::uint64_t Dropped(const std::string& aReason)
  {
    return mRegistry
      .CounterFor("dandelionslip_refusals_dropped_total", "reason=\"" + aReason + "\"")
      .Value();
  }

  // Copies of opening packets of aCount flows to an address without a route.
  void SendUnroutableCopies(PacketBalancer& aBalancer, std::uint16_t aCount)
  {
    aBalancer.OnState(TestConfiguration(1, {"web"}),
                      TestView(1, {TestAgentMember(1, "web"), TestAgentMember(2, "web")}), mOutput,
                      mNow);
    for (std::uint16_t i = 0; i < aCount; ++i) {
      FlowKey flow = TestFlow(i);
      ++flow.mServicePort;
      PacketBytes copy = CallerPacket(flow, FlagSyn, 1, 1);
      aBalancer.OnCallerPacket(copy, mOutput, mNow);
    }
  }

  // Guards against a link that is full of queries when many openings cannot be placed.
  void QueriesBeforeRefusalsStayWithinTheSearchBudget()
  {
    PacketBalancerSettings settings;
    settings.mCapacity = {0.03, 1.9};
    PacketBalancer balancer(settings, mCodec, mRegistry, Random(1), mNow);
    constexpr std::uint16_t kFlows = 1'000;
    SendUnroutableCopies(balancer, kFlows);
    const double allowed = SearchBudget::QueriesPerSecond(settings.mCapacity) *
                           std::chrono::duration<double>(TokenBucket::kBurst).count();
    const std::size_t queries = Sent(NodeMessageType::Query);
    CPPUNIT_ASSERT(queries > 0 && static_cast<double>(queries) <= allowed);
    mNow += Milliseconds{350};
    balancer.OnTick(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kFlows}, Dropped("no_budget") + Dropped("no_answer"));
    CPPUNIT_ASSERT(Dropped("no_budget") > Dropped("no_answer"));
  }

  // Guards against memory that grows with the openings that cannot be placed.
  void RefusalsThatAwaitAnswersAreBounded()
  {
    PacketBalancerSettings settings;
    settings.mMaxPendingRefusals = 10;
    PacketBalancer balancer(settings, mCodec, mRegistry, Random(1), mNow);
    SendUnroutableCopies(balancer, 15);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, Sent(NodeMessageType::Query));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Dropped("full"));
  }

  // A frozen agent returns the packet after its caller has given up or opened the flow elsewhere.
  void LateReturnedOpeningsAreNotPlacedAgain()
  {
    Settle();
    const PacketBytes opening = CallerPacket(TestFlow(1), FlagSyn);
    Send(opening);
    const unsigned first = mOutput.mToNodes[0].mNode == NodeEndpoint(1) ? 1 : 2;
    mOutput.Clear();
    mNow += Milliseconds{5'000};
    Report(3 - first, Accepting());
    Return(first, ReturnReason::Unresponsive, opening);
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT(mOutput.mToCallers.empty());
  }

  // Guards against a second holder for the copy of an opening packet.
  void OpeningsReturnedAfterAnotherPlacementAreDropped()
  {
    Settle();
    const PacketBytes opening = CallerPacket(TestFlow(1), FlagSyn);
    const PacketBytes copy = CallerPacket(TestFlow(1), FlagSyn, 1, 1);
    Send(opening);
    Send(copy);
    const unsigned first = mOutput.mToNodes[0].mNode == NodeEndpoint(1) ? 1 : 2;
    Return(first, ReturnReason::Unresponsive, opening);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(3 - first));
    mOutput.Clear();
    Return(first, ReturnReason::Unresponsive, copy);
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT(mOutput.mToCallers.empty());
  }

  // Guards against a second placement of a flow that is open.
  void OpeningsReturnedDuringASearchAreDropped()
  {
    Settle();
    const PacketBytes opening = CallerPacket(TestFlow(1), FlagSyn);
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 2, 1, 100);
    Send(opening);
    Send(packet);
    const unsigned first = mOutput.mToNodes[0].mNode == NodeEndpoint(1) ? 1 : 2;
    Return(first, ReturnReason::NotHeld, packet);
    mOutput.Clear();
    Return(first, ReturnReason::Refused, opening);
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT(mOutput.mToCallers.empty());
  }

  static constexpr std::uint32_t kNextSequence = 0x40000000; ///< Of a port's next flow.

  static PacketBytes PacketOfNextFlow()
  {
    return CallerPacket(TestFlow(1), FlagAck, kNextSequence + 1, 90'009, 50);
  }

  // Opens the port's next flow; returns the node of its holder.
  unsigned OpenNextFlow()
  {
    Settle();
    Send(CallerPacket(TestFlow(1), FlagSyn, kNextSequence));
    const unsigned holder = mOutput.mToNodes.back().mNode == NodeEndpoint(1) ? 1 : 2;
    Send(PacketOfNextFlow());
    mOutput.Clear();
    return holder;
  }

  // The agent has delivered the next flow's packets meanwhile and holds it.
  void ReturnedPacketsOfAnEarlierFlowOfThePortRuleOutNoAgent()
  {
    const unsigned holder = OpenNextFlow();
    Return(holder, ReturnReason::NotHeld, CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Send(PacketOfNextFlow());
    Answer(3 - holder, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(holder));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::Deliver);
  }

  // Agent 1 denies the earlier flow, and its upstream accepts the next one through another
  // balancer before this one has the other answer.
  void DenialsOfAnEarlierFlowOfThePortDoNotCountForTheNextOne()
  {
    Settle();
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(1, NodeMessageType::NotFound, TestFlow(1));
    Send(PacketOfNextFlow());
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(2, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(1));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(1));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == PacketOfNextFlow());
  }

  void LateAnswersOfAnEarlierSearchDoNotCount()
  {
    Settle();
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    mNow += Milliseconds{2'100};
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    for (const std::size_t resets : {0U, 1U}) {
      Answer(1, NodeMessageType::NotFound, TestFlow(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
      Answer(2, NodeMessageType::NotFound, TestFlow(1));
      CPPUNIT_ASSERT_EQUAL(resets, mOutput.Resets());
    }
  }

  // Guards against a second query that the duplicates of the first answers seem to answer.
  void DuplicateAnswersDoNotConfirmThemselves()
  {
    SettleMany(60);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    const auto agents = mDirectoryAgents.AgentsFor(TestFlow(1));
    const std::uint32_t number =
      FlowMessage::Decode(mOutput.mToNodes.back().mPacket).value().mNumber;
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    ReportRegisteredLater(60);
    for (const Endpoint& agent : agents) {
      auto bytes = FlowMessage{{}, {TestFlow(1)}, mDirectoryAgents.Digest(), number}.Encode();
      mBalancer.OnNodePacket(agent, {NodeMessageType::NotRegistered, ReturnReason::None}, bytes,
                             mOutput, mNow);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    DirectoryAgentsAnswer(NodeMessageType::NotRegistered, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  void ReturnedOpeningsOfAnEarlierFlowOfThePortAreNotPlacedAgain()
  {
    const unsigned holder = OpenNextFlow();
    Return(holder, ReturnReason::Refused, CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
  }

  // Guards against a lost holder and against a reset of the port although its flow is open.
  void LatePacketsOfAnEarlierFlowOfThePortDoNotEndTheNextOne()
  {
    const unsigned holder = OpenNextFlow();
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    Answer(holder, NodeMessageType::NotFound, TestFlow(1));
    Answer(3 - holder, NodeMessageType::NotFound, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    mOutput.Clear();
    Send(PacketOfNextFlow());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(holder));
  }

  // Another balancer has placed the next flow.
  void NextFlowsOfAPortAreNotSentToTheHolderOfTheEarlierOne()
  {
    Settle();
    Send(CallerPacket(TestFlow(1), FlagSyn));
    const unsigned earlier = mOutput.mToNodes.back().mNode == NodeEndpoint(1) ? 1 : 2;
    mOutput.Clear();
    Send(PacketOfNextFlow());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Sent(NodeMessageType::Deliver));
    const auto query = FlowMessage::Decode(mOutput.mToNodes.back().mPacket);
    CPPUNIT_ASSERT_EQUAL(kNextSequence + 1, query.value().mSequence);
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(3 - earlier));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(3 - earlier));
    mOutput.Clear();
    Send(PacketOfNextFlow());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent(NodeMessageType::Deliver));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mNode == NodeEndpoint(3 - earlier));
  }

  static LoadReport Declining()
  {
    LoadReport report;
    report.mSlots = 4;
    return report;
  }

  // A frozen agent returns the packet to a balancer that has restarted; a copy has opened the flow.
  void ReturnedOpeningsOfForgottenFlowsAreNotResetWithoutAQuery()
  {
    Settle();
    Report(1, Declining());
    Report(2, Declining());
    Return(1, ReturnReason::Draining, CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // A frozen balancer reads the packet after a copy has opened the flow through another balancer.
  void LateOpeningsAreNotResetWithoutAQuery()
  {
    Settle();
    mNow += Milliseconds{5'000};
    Report(1, Declining());
    Report(2, Declining());
    Send(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Sent(NodeMessageType::Query));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Both directory agents have restarted and do not know what is registered.
  void RestartedDirectoryAgentsDoNotRefuseAnOpening()
  {
    for (const auto answer : {NodeMessageType::ProbeNeeded, NodeMessageType::NotFound}) {
      Wait();
      mNow += Milliseconds{200};
      mBalancer.OnTick(mOutput, mNow);
      Answer(1, answer, TestFlow(1));
      Answer(2, answer, TestFlow(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    }
  }

  // The directory agents' answers wait in a queue of the link.
  void LateAnswersOfDirectoryAgentsDoNotRefuseAnOpening()
  {
    Wait();
    mNow += Milliseconds{200};
    mBalancer.OnTick(mOutput, mNow);
    mNow += Milliseconds{150};
    Report(1, Cold(0, Milliseconds{30'000}));
    Answer(1, NodeMessageType::HolderFound, TestFlow(1), NodeEndpoint(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against flows of low priority that take the openings of flows of high priority.
  void HighPriorityRoutesLeaveTheQueueFirst()
  {
    Configuration configuration = TestConfiguration(1, {"web"});
    configuration.mRoutes.mRoutes[0].mPriority = 3;
    configuration.mRoutes.mRoutes.push_back(
      {"urgent", "198.18.0.1:444", {{"web", 1}}, Milliseconds{1'000}, 0});
    mBalancer.OnState(configuration, TestView(1, {TestAgentMember(1, "web")}), mOutput, mNow);
    mNow += kSettled;
    Report(1, Cold(0, Milliseconds{500}));
    Send(CallerPacket(TestFlow(1), FlagSyn));
    FlowKey urgent = TestFlow(2);
    urgent.mServicePort = 444;
    Send(CallerPacket(urgent, FlagSyn));
    Report(1, Cold(1, Milliseconds{300}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT(mCodec.DecodeFromCaller(mOutput.mToNodes[0].mPacket)->mFlow == urgent);
  }

  // Guards against new flows in a data centre that operators have taken out of service.
  void DataCentresOutOfServiceGetNoOpenings()
  {
    Settle();
    Configuration configuration = TestConfiguration(2, {"web"});
    configuration.mDataCentres["north"].mOutOfService = true;
    mBalancer.OnState(configuration, View{}, mOutput, mNow);
    Send(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against waiting openings for a data centre that is out of service: an agent that control
  // does not reach knows nothing of that and reports room.
  void DataCentresOutOfServiceGetNoWaitingOpenings()
  {
    Settle();
    mBalancer.OnRouteTerms({1, {{"198.18.0.1:443", true, Milliseconds{200}}}});
    Report(1, Cold(0, Milliseconds{500}));
    Report(2, Cold(0, Milliseconds{500}));
    Send(CallerPacket(TestFlow(1), FlagSyn));
    mOutput.Clear();
    Configuration configuration = TestConfiguration(2, {"web"});
    configuration.mDataCentres["north"].mOutOfService = true;
    mBalancer.OnState(configuration, View{}, mOutput, mNow);
    LoadReport report = Accepting();
    LoadDetails& details = report.mDetails.emplace();
    details.mOneRequestPerFlow = true;
    details.mRoom = 5;
    Report(1, report);
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
  }

  // Guards against requests that reach a service to which no route sends them: the IPv6 address of
  // another route ends with the route's IPv4 address.
  void RoutesToOtherKindsOfAddressesReplaceNoRoute()
  {
    Settle();
    Configuration configuration = TestConfiguration(2, {"web"});
    Route other = configuration.mRoutes.mRoutes.front();
    other.mAddress = "[::198.18.0.1]:443";
    other.mTargets = {{"other", 1}};
    configuration.mRoutes.mRoutes.push_back(other);
    mBalancer.OnState(configuration, View{}, mOutput, mNow);
    mOutput.Clear();
    Send(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToNodes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against equal shares for upstreams of unequal speed: many long flows are opened, with
  // load reports only every 40 openings. No upstream may get more than 15% above its share.
  void FlowsFollowTheSpeedOfUpstreams()
  {
    const std::array<std::uint32_t, 3> speeds{30'000, 50'000, 80'000};
    std::vector<Member> members;
    for (unsigned node = 1; node <= speeds.size(); ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    mBalancer.OnState(TestConfiguration(1, {"web"}), TestView(1, members), mOutput, mNow);
    mNow += kSettled;
    std::array<std::uint32_t, 3> flows{};
    constexpr std::uint16_t kFlows = 640;
    for (std::uint16_t i = 0; i < kFlows; ++i) {
      for (unsigned node = 0; i % 40 == 0 && node < speeds.size(); ++node) {
        LoadReport report = Accepting();
        report.mFlows = flows[node];
        report.mMilliRequestsPerSlotSecond = speeds[node];
        Report(node + 1, report);
      }
      Send(CallerPacket(TestFlow(i), FlagSyn));
      for (unsigned node = 0; node < speeds.size(); ++node) {
        flows[node] += mOutput.mToNodes.back().mNode == NodeEndpoint(node + 1) ? 1 : 0;
      }
    }
    constexpr double kSpeedSum = 160'000;
    for (std::size_t node = 0; node < speeds.size(); ++node) {
      CPPUNIT_ASSERT(flows[node] <= 1.15 * kFlows * speeds[node] / kSpeedSum);
    }
  }

  void ReportVerdict(unsigned aNode, UpstreamVerdict aVerdict, std::int64_t aStartedMs,
                     std::uint32_t aMilliSpeed = 0)
  {
    LoadReport report = Accepting();
    report.mMilliRequestsPerSlotSecond = aMilliSpeed;
    LoadDetails& details = report.mDetails.emplace();
    details.mOneRequestPerFlow = true;
    details.mVerdict = aVerdict;
    details.mVerdictAge = Milliseconds{aVerdict == UpstreamVerdict::Failing ? 1'000 : 0};
    details.mAdmittedPermille = aVerdict == UpstreamVerdict::Failing ? 20 : 1'000;
    details.mUpstreamStartedMs = aStartedMs;
    Report(aNode, report);
  }

  // How many of 300 new flows node 1 gets.
  std::size_t FlowsToNode1(std::uint16_t aFirstCaller)
  {
    mOutput.Clear();
    for (std::uint16_t i = 0; i < 300; ++i) {
      Send(CallerPacket(TestFlow(static_cast<std::uint16_t>(aFirstCaller + i)), FlagSyn));
    }
    return static_cast<std::size_t>(
      std::count_if(mOutput.mToNodes.begin(), mOutput.mToNodes.end(),
                    [](const auto& aSent) { return aSent.mNode == NodeEndpoint(1); }));
  }

  // Guards against a failing upstream that gets its full share of flows again because its agent has
  // restarted, and against one that is left out although it has started again.
  void VerdictsSurviveTheAgentAndEndWithTheUpstream()
  {
    const View view = TestView(
      1, {TestAgentMember(1, "web"), TestAgentMember(2, "web"), TestAgentMember(3, "web")});
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    mBalancer.OnRouteTerms({1, {{"198.18.0.1:443", true, Milliseconds{200}}}});
    ReportVerdict(1, UpstreamVerdict::Failing, 5'000);
    ReportVerdict(2, UpstreamVerdict::Healthy, 5'000);
    ReportVerdict(3, UpstreamVerdict::Healthy, 5'000);
    CPPUNIT_ASSERT(FlowsToNode1(1'000) < 10);
    // The agent's new process sends a report of format 1, then one of before its first heartbeat.
    Report(1, Accepting());
    CPPUNIT_ASSERT(FlowsToNode1(2'000) < 10);
    ReportVerdict(1, UpstreamVerdict::Healthy, 0);
    CPPUNIT_ASSERT(FlowsToNode1(3'000) < 10);
    ReportVerdict(1, UpstreamVerdict::Healthy, 5'000);
    CPPUNIT_ASSERT(FlowsToNode1(4'000) < 10);
    ReportVerdict(1, UpstreamVerdict::Healthy, 6'000);
    CPPUNIT_ASSERT(FlowsToNode1(5'000) > 90);
    // Without a verdict of the new process, the one of the earlier process ends after five seconds.
    ReportVerdict(1, UpstreamVerdict::Failing, 6'000);
    mNow += Milliseconds{4'900};
    for (const std::uint16_t first : {6'000, 7'000}) {
      for (const unsigned node : {1U, 2U, 3U}) {
        ReportVerdict(node, UpstreamVerdict::Healthy, 6'000);
      }
      CPPUNIT_ASSERT_EQUAL(first == 6'000, FlowsToNode1(first) < 10);
      mNow += Milliseconds{200};
    }
  }

  // Guards against a service without upstreams because all of them fail, and against trials of
  // requests that may run only once.
  void FailingUpstreamsBeyondTheBoundGetDeliveries()
  {
    const View view = TestView(
      1, {TestAgentMember(1, "web"), TestAgentMember(2, "web"), TestAgentMember(3, "web")});
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    for (const bool repeatable : {true, false}) {
      mBalancer.OnRouteTerms({1, {{"198.18.0.1:443", repeatable, Milliseconds{200}}}});
      for (const unsigned node : {1U, 2U, 3U}) {
        ReportVerdict(node, UpstreamVerdict::Failing, 5'000);
      }
      const std::size_t trials = FlowsToNode1(repeatable ? 1'000 : 2'000);
      CPPUNIT_ASSERT(repeatable ? trials > 0 && trials < 10 : trials == 0);
      CPPUNIT_ASSERT_EQUAL(trials, Sent(NodeMessageType::Offer));
      CPPUNIT_ASSERT_EQUAL(300 - trials, Sent(NodeMessageType::Deliver));
    }
  }

  // Guards against most flows going to an upstream that has answered all requests with short errors
  // at once since its start: its agent has no baseline, and learns a speed of 40 times that of the
  // others. Also guards against a bound on speeds that upstreams may really have.
  void UpstreamsThatRejectFromTheirStartDoNotAttractFlows()
  {
    std::vector<Member> members;
    for (unsigned node = 1; node <= 6; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    mBalancer.OnState(TestConfiguration(1, {"web"}), TestView(1, members), mOutput, mNow);
    mBalancer.OnRouteTerms({1, {{"198.18.0.1:443", true, Milliseconds{200}}}});
    for (unsigned node = 1; node <= 6; ++node) {
      ReportVerdict(node, UpstreamVerdict::Healthy, 5'000, node == 1 ? 3'000'000 : 75'000);
    }
    CPPUNIT_ASSERT(FlowsToNode1(1'000) <= 100);
    ReportVerdict(1, UpstreamVerdict::Healthy, 5'000, 165'000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300 * 2.2 / 7.2, static_cast<double>(FlowsToNode1(2'000)), 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketBalancerTest);

} // namespace

} // namespace dandelionslip
