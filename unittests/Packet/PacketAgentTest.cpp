// Tests of PacketAgent.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kFlagsOffset = 8;
constexpr unsigned kSelf = 30;
constexpr Milliseconds kWarmUp{2'000}; // Of the services of TestConfiguration().

class PacketAgentTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketAgentTest);
  CPPUNIT_TEST(OpeningsNeedAnUpstreamAndARoute);
  CPPUNIT_TEST(RoutesToOtherKindsOfAddressesReplaceNoRoute);
  CPPUNIT_TEST(DrainingUpstreamsKeepFlowsAndRefuseOpenings);
  CPPUNIT_TEST(DataCentreOutOfServiceRefusesOpenings);
  CPPUNIT_TEST(ColdUpstreamsStayWithinTheirOpeningLimit);
  CPPUNIT_TEST(ColdOpeningRatesOfAnySizeAreReported);
  CPPUNIT_TEST(ReturnedDataCentreIsColdUntilTheNextHeartbeat);
  CPPUNIT_TEST(EvacuationsThatTheAgentMissedLeaveItsUpstreamCold);
  CPPUNIT_TEST(RepeatedReturnsOfADataCentreDoNotMakeUpstreamsCold);
  CPPUNIT_TEST(HeartbeatsThatWaitedDuringAStandstillDoNotEndTheColdTime);
  CPPUNIT_TEST(UpstreamsThatStartedAgainAreColdFromTheirFirstBounce);
  CPPUNIT_TEST(OpeningsBeforeAColdHeartbeatCountInItsWindow);
  CPPUNIT_TEST(DiscardedFlowsDoNotMakeTheirUpstreamCold);
  CPPUNIT_TEST(RestartedAgentRefusesColdOpeningsForOneWindow);
  CPPUNIT_TEST(RetransmittedUnansweredOpeningsAreReturned);
  CPPUNIT_TEST(RestartedAgentDeliversFlowsItDoesNotKnow);
  CPPUNIT_TEST(UnknownFlowsAreNotFoundWhenTheTableIsComplete);
  CPPUNIT_TEST(BouncedOpeningsAreReturned);
  CPPUNIT_TEST(FlowsThatTheUpstreamLostAreReset);
  CPPUNIT_TEST(ReusedPortsAreNotTakenForTheOldFlow);
  CPPUNIT_TEST(ResetsOfHalfOpenFlowsAreDropped);
  CPPUNIT_TEST(ResetsOfHalfOpenFlowsAreDroppedAfterPacketsForAnotherUpstream);
  CPPUNIT_TEST(PacketsOfAnEndedFlowDoNotEstablishTheNextFlowOfThePort);
  CPPUNIT_TEST(LateResetsOfAnEndedFlowDoNotRemoveTheNextFlowOfThePort);
  CPPUNIT_TEST(LateOpeningsDoNotRemoveAnOpenFlow);
  CPPUNIT_TEST(BouncedOpeningsDoNotRemoveAnAcceptedFlow);
  CPPUNIT_TEST(PacketsWithAnotherSequenceDoNotRemoveAnOpenFlow);
  CPPUNIT_TEST(LateOpeningsDoNotRemoveAnOpenFlowThatWasAnsweredLate);
  CPPUNIT_TEST(ResetsOfAnEndedFlowDoNotReachTheNextFlowOfThePort);
  CPPUNIT_TEST(CopiesOfOpeningsAreNotTakenForTheOldFlow);
  CPPUNIT_TEST(CopiesOfOpeningsReplaceAClosedFlow);
  CPPUNIT_TEST(RestartedAgentsDoNotTakeTheNextFlowOfAPortForTheOldOne);
  CPPUNIT_TEST(LateHeartbeatsDoNotCompleteTheTableOfARestartedAgent);
  CPPUNIT_TEST(AgentsNeedAProbeBeforeTheFirstHeartbeat);
  CPPUNIT_TEST(ASilentUpstreamIsNotTakenAsAbsent);
  CPPUNIT_TEST(AnUpstreamThatFailsAfterTheAgentsStartIsTakenAsAbsent);
  CPPUNIT_TEST(NoConnectionIsTriedToAnUpstreamThatWasHeardOf);
  CPPUNIT_TEST(AgentsWithoutAnUpstreamAnswerNotFound);
  CPPUNIT_TEST(SearchesDoNotWaitForHeartbeatsOfAnAbsentUpstream);
  CPPUNIT_TEST(BouncesDoNotShowThatAnAbsentUpstreamRuns);
  CPPUNIT_TEST(AgentsThatStoodStillTakeNoFlowsBeforeTheirLeaseIsRenewed);
  CPPUNIT_TEST(AgentsThatStopAfterTheirUpstreamsEndAreFinished);
  CPPUNIT_TEST(ARestartedAgentDoesNotTakeItsTableAsCompleteAfterAHeartbeatOfAnotherStart);
  CPPUNIT_TEST(OneFirstHeartbeatOfAnotherStartDoesNotMakeTheTableComplete);
  CPPUNIT_TEST(LateFirstHeartbeatDoesNotMakeTheTableComplete);
  CPPUNIT_TEST(RestartedAgentsBlockColdOpeningsAfterALateHeartbeat);
  CPPUNIT_TEST(SecondHeartbeatsNumberedOneDoNotCompleteTheTable);
  CPPUNIT_TEST(SecondHeartbeatsNumberedOneBlockColdOpenings);
  CPPUNIT_TEST(HeartbeatsNumberedZeroCompleteTheTable);
  CPPUNIT_TEST(HeartbeatsOfANewUpstreamCompleteTheTable);
  CPPUNIT_TEST(HeartbeatsOfANewUpstreamCompleteTheTableOnceTheWarmUpTimeIsKnown);
  CPPUNIT_TEST(HeartbeatsWithoutAStartTimeDoNotCompleteTheTable);
  CPPUNIT_TEST(ResetsOfUnknownFlowsAreDropped);
  CPPUNIT_TEST(BouncedProbesAreAnsweredNotFound);
  CPPUNIT_TEST(StaleHeartbeatsAreIgnored);
  CPPUNIT_TEST(UpstreamIsFoundAgainAfterAStartTimeInTheFuture);
  CPPUNIT_TEST(UpstreamIsFoundAgainAfterASequenceNumberInTheFuture);
  CPPUNIT_TEST(LateHeartbeatsOfAnEarlierStartDoNotReplaceASilentUpstream);
  CPPUNIT_TEST(EarlierStartsDoNotReplaceAnUpstreamWithHeartbeats);
  CPPUNIT_TEST(LateExitOfAnEarlierStartDoesNotEndTheUpstream);
  CPPUNIT_TEST(ReportsCountOpenFlowsAndRequests);
  CPPUNIT_TEST(LatenciesAreMeasured);
  CPPUNIT_TEST(UpstreamsWithoutHeartbeatsTakeNoFlows);
  CPPUNIT_TEST(OffersAreReturnedByFailingUpstreamsAndDeliveriesAccepted);
  CPPUNIT_TEST(FlowsAreRegisteredWithTheirDirectoryAgents);
  CPPUNIT_TEST(RegistrationsAreConfirmed);
  CPPUNIT_TEST(AcknowledgementsOfARestartedDirectoryAgentDoNotConfirmLostRegistrations);
  CPPUNIT_TEST(AcknowledgementsNameTheRegistration);
  CPPUNIT_TEST(AnswersNameTheQuery);
  CPPUNIT_TEST(QueriesForTheNextFlowOfAPortAreNotAnsweredByTheEarlierOne);
  CPPUNIT_TEST(CopiesOfTheOpeningOfALongFlowAreOfThatFlow);
  CPPUNIT_TEST(LateOpeningsOfAnEarlierFlowOfThePortDoNotRemoveTheNextOne);
  CPPUNIT_TEST(AcceptedOpeningsReplaceAnOpenFlowOfThePort);
  CPPUNIT_TEST(DirectoryAgentsAnswerNotRegisteredOnlyWhenInTheView);
  CPPUNIT_TEST(HoldersThatTheViewLacksAreReported);
  CPPUNIT_TEST(OffersAreReturnedAsBusyAndDeliveriesAccepted);
  CPPUNIT_TEST(CopiesOfAcceptedOffersAreNotReturned);
  CPPUNIT_TEST(OpeningsThatReplaceAnOpenFlowCount);
  CPPUNIT_TEST(RequestsBeforeTheFirstHeartbeatCount);
  CPPUNIT_TEST(RestartedAgentsDoNotTakeLongFlowsForShortOnes);
  CPPUNIT_TEST(CopiesOfOpeningsDoNotMakeFlowsLookLong);
  CPPUNIT_TEST_SUITE_END();

  platform::PlatformPacketCodec mCodec;
  MetricsRegistry mRegistry;
  RecordingOutput mOutput;
  TimePoint mNow = kStart;
  PacketAgent mAgent{Settings(), mCodec, mRegistry, kStart};

  static PacketAgentSettings Settings()
  {
    PacketAgentSettings settings;
    settings.mService = "web";
    settings.mDataCentre = "north";
    settings.mEndpoint = NodeEndpoint(kSelf);
    settings.mColdExcessFactor = 1.5;
    settings.mColdSlack = 5;
    return settings;
  }

  HeartbeatOutcome Heartbeat(std::uint64_t aSequence, bool aDraining = false,
                             Milliseconds aCold = Milliseconds{0}, std::int64_t aStarted = 1'000)
  {
    return mAgent.OnUpstreamHeartbeat({"i-1", "web", aDraining, aCold, 4, aStarted, aSequence},
                                      mNow);
  }

  // With aSequence 1 the agent starts before its upstream, which still refuses connections; if it
  // is greater, the agent has restarted while the upstream ran.
  void ApplyRoutesAndHeartbeat(std::uint64_t aSequence = 1, Milliseconds aCold = Milliseconds{0})
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    if (aSequence == 1) {
      mAgent.OnConnectionRefused();
    }
    Heartbeat(aSequence, false, aCold);
  }

  void FromBalancer(PacketBytes aPacket, NodeMessageType aType = NodeMessageType::Deliver)
  {
    mAgent.OnNodePacket(NodeEndpoint(9), {aType, ReturnReason::None}, aPacket, mOutput, mNow);
  }

  void FromUpstream(PacketBytes aPacket) { mAgent.OnUpstreamPacket(aPacket, mOutput, mNow); }

  // The upstream bounces the last packet that was delivered to it.
  void Bounce()
  {
    PacketBytes packet = mOutput.mToUpstream.back();
    packet[kFlagsOffset] |= FlagBounced;
    FromUpstream(packet);
  }

  void Open(std::uint16_t aCaller)
  {
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagSyn));
    FromUpstream(UpstreamPacket(TestFlow(aCaller), FlagSyn | FlagAck));
  }

  void Establish(std::uint16_t aCaller)
  {
    Open(aCaller);
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagAck, 2, 2, 100));
    FromUpstream(UpstreamPacket(TestFlow(aCaller), FlagAck, 2, 200));
  }

  void AssertReturned(ReturnReason aReason)
  {
    CPPUNIT_ASSERT(!mOutput.mToNodes.empty());
    const NodeMessageHeader& header = mOutput.mToNodes.back().mHeader;
    CPPUNIT_ASSERT(header.mType == NodeMessageType::Returned);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(aReason)), std::string(ToString(header.mReason)));
  }

  // Checks the type of the answer to a query; returns the holder that it names.
  Endpoint AssertAnswer(NodeMessageType aExpected, NodeMessageType aQuery, const FlowKey& aFlow,
                        std::uint32_t aSequence = 0)
  {
    FromBalancer(FlowMessage{{}, {aFlow}, 0, 0, aSequence}.Encode(), aQuery);
    const auto& sent = mOutput.mToNodes.back();
    CPPUNIT_ASSERT(sent.mHeader.mType == aExpected);
    const auto message = FlowMessage::Decode(sent.mPacket);
    CPPUNIT_ASSERT(message && message.value().mFlows.front() == aFlow);
    return message.value().mHolder;
  }

  // Guards against a flow that no balancer finds after the network fabric has moved it: its agent
  // must register it with two directory agents, again when these change, and a directory agent must
  // answer queries for it.
  void FlowsAreRegisteredWithTheirDirectoryAgents()
  {
    ApplyRoutesAndHeartbeat();
    std::vector<Member> members;
    for (unsigned node = 20; node < 26; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    mAgent.OnView(TestView(1, members), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    // Not registered, because the upstream has not answered.
    FromBalancer(CallerPacket(TestFlow(2), FlagSyn));
    mOutput.Clear();
    Open(1);
    CPPUNIT_ASSERT_EQUAL(DirectoryAgents::kDirectoryAgentsPerFlow, Registrations());
    // Registrations are repeated until they are confirmed.
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(2 * DirectoryAgents::kDirectoryAgentsPerFlow, Registrations());
    ConfirmRegistrations();
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Registrations());
    members.pop_back();
    mAgent.OnView(TestView(2, members), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(DirectoryAgents::kDirectoryAgentsPerFlow, Registrations());
    FromBalancer(FlowMessage{{}, {TestFlow(3)}}.Encode(), NodeMessageType::Register);
    CPPUNIT_ASSERT(AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::Query,
                                TestFlow(3)) == NodeEndpoint(9));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(3));
    CPPUNIT_ASSERT(AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal,
                                TestFlow(1)) == NodeEndpoint(kSelf));
  }

  std::size_t Registrations() const
  {
    return static_cast<std::size_t>(
      std::count_if(mOutput.mToNodes.begin(), mOutput.mToNodes.end(), [](const auto& aSent) {
        return aSent.mHeader.mType == NodeMessageType::Register;
      }));
  }

  // The directory agents confirm all registrations that were sent to them.
  void ConfirmRegistrations()
  {
    auto sent = std::exchange(mOutput.mToNodes, {});
    for (auto& message : sent) {
      if (message.mHeader.mType == NodeMessageType::Register) {
        mAgent.OnNodePacket(message.mNode, {NodeMessageType::RegisterAck, ReturnReason::None},
                            message.mPacket, mOutput, mNow);
      }
    }
  }

  // Guards against an agent that counts its flows as registered although registrations were lost:
  // balancers would reset these flows.
  void RegistrationsAreConfirmed()
  {
    ApplyRoutesAndHeartbeat();
    std::vector<Member> members;
    for (unsigned node = 20; node < 26; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    DirectoryAgents directoryAgents;
    directoryAgents.Update(TestView(1, members));
    mAgent.OnView(TestView(1, members), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(directoryAgents.Digest(), mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    Open(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    mNow += Milliseconds{500};
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    ConfirmRegistrations();
    CPPUNIT_ASSERT_EQUAL(directoryAgents.Digest(), mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(directoryAgents.Digest(), mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    // The directory agents restart: they must confirm the flow again.
    for (Member& member : members) {
      member.mIncarnation = 2;
    }
    directoryAgents.Update(TestView(2, members));
    mAgent.OnView(TestView(2, members), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    mAgent.RegisterFlows(mOutput, mNow);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    ConfirmRegistrations();
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(directoryAgents.Digest(), mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
  }

  static std::vector<Member> SixAgents(std::uint64_t aIncarnation)
  {
    std::vector<Member> members;
    for (unsigned node = 20; node < 26; ++node) {
      members.push_back(TestAgentMember(node, "web"));
      members.back().mIncarnation = aIncarnation;
    }
    return members;
  }

  // The acknowledgements were sent before the restart and arrive after it; balancers would reset
  // the flow on the word of the new processes.
  void AcknowledgementsOfARestartedDirectoryAgentDoNotConfirmLostRegistrations()
  {
    ApplyRoutesAndHeartbeat();
    mAgent.OnView(TestView(1, SixAgents(1)), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    Open(1);
    auto late = std::exchange(mOutput.mToNodes, {});
    mAgent.OnView(TestView(2, SixAgents(2)), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    std::swap(mOutput.mToNodes, late);
    ConfirmRegistrations();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest);
    mOutput.mToNodes = late;
    ConfirmRegistrations();
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest != 0);
  }

  // Guards against an acknowledgement with the digest of the directory agent's own view, and
  // against answers that do not say by which view they were given.
  void AcknowledgementsNameTheRegistration()
  {
    const View view = TestView(1, SixAgents(1));
    DirectoryAgents own;
    own.Update(view);
    mAgent.OnView(view, 1);
    const FlowMessage registration{{}, {TestFlow(3), TestFlow(4)}, own.Digest() + 1};
    FromBalancer(registration.Encode(), NodeMessageType::Register);
    const auto& sent = mOutput.mToNodes.back();
    CPPUNIT_ASSERT(sent.mHeader.mType == NodeMessageType::RegisterAck);
    const auto acknowledgement = FlowMessage::Decode(sent.mPacket);
    CPPUNIT_ASSERT(acknowledgement && acknowledgement.value().mFlows == registration.mFlows);
    CPPUNIT_ASSERT_EQUAL(registration.mAgentsDigest, acknowledgement.value().mAgentsDigest);
    FromBalancer(FlowMessage{{}, {TestFlow(5)}}.Encode(), NodeMessageType::Query);
    const auto answer = FlowMessage::Decode(mOutput.mToNodes.back().mPacket);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(own.Digest(), answer.value().mAgentsDigest);
  }

  FlowMessage AnswerTo(NodeMessageType aQuery, const FlowMessage& aMessage,
                       NodeMessageType aExpected)
  {
    FromBalancer(aMessage.Encode(), aQuery);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == aExpected);
    return FlowMessage::Decode(mOutput.mToNodes.back().mPacket).value();
  }

  // Guards against answers that count in another search.
  void AnswersNameTheQuery()
  {
    constexpr std::uint32_t kNumber = 0x89abcdef;
    const FlowMessage query{{}, {TestFlow(1)}, 0, kNumber, 5};
    const auto numberOfAnswer = [&](NodeMessageType aQuery, NodeMessageType aExpected) {
      return AnswerTo(aQuery, query, aExpected).mNumber;
    };
    CPPUNIT_ASSERT_EQUAL(kNumber,
                         numberOfAnswer(NodeMessageType::Query, NodeMessageType::ProbeNeeded));
    ApplyRoutesAndHeartbeat(7);
    PacketBytes probe = CallerPacket(TestFlow(1), FlagAck, 5, 5);
    mCodec.SetTag(probe, kNumber);
    const auto numberOfProbe = [&] {
      CPPUNIT_ASSERT(!mOutput.mToNodes.empty());
      return FlowMessage::Decode(mOutput.mToNodes.back().mPacket).value().mNumber;
    };
    FromBalancer(probe, NodeMessageType::Probe);
    Bounce();
    CPPUNIT_ASSERT_EQUAL(kNumber, numberOfProbe());
    FromBalancer(probe, NodeMessageType::Probe);
    mOutput.Clear();
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 2, 200));
    CPPUNIT_ASSERT_EQUAL(kNumber, numberOfProbe());
    mOutput.Clear();
    FromBalancer(probe, NodeMessageType::Probe);
    CPPUNIT_ASSERT_EQUAL(kNumber, numberOfProbe());
    CPPUNIT_ASSERT_EQUAL(kNumber,
                         numberOfAnswer(NodeMessageType::QueryLocal, NodeMessageType::HolderFound));
  }

  // Guards against the search for a flow that ends at the holder of the port's earlier flow.
  void QueriesForTheNextFlowOfAPortAreNotAnsweredByTheEarlierOne()
  {
    constexpr std::uint32_t kNextSequence = 0x40000000;
    ApplyRoutesAndHeartbeat();
    Establish(1);
    const FlowMessage query{{}, {TestFlow(1)}, 0, 1, kNextSequence};
    AnswerTo(NodeMessageType::QueryLocal, query, NodeMessageType::NotFound);
    AnswerTo(NodeMessageType::Query, query, NodeMessageType::NotFound);
    FromBalancer(FlowMessage{{}, {TestFlow(1)}}.Encode(), NodeMessageType::Register);
    const auto answer = AnswerTo(NodeMessageType::Query, query, NodeMessageType::HolderFound);
    CPPUNIT_ASSERT(answer.mHolder == NodeEndpoint(9));
    AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // A balancer that was frozen sends the opening. The upstream bounces or ignores it.
  void LateOpeningsOfAnEarlierFlowOfThePortDoNotRemoveTheNextOne()
  {
    ApplyRoutesAndHeartbeat();
    constexpr std::uint32_t kEarlierSequence = 0x40000000;
    std::uint16_t caller = 0;
    for (const std::size_t packets : {0U, 1U}) {
      for (const bool bounces : {true, false}) {
        ++caller;
        Open(caller);
        std::uint32_t sequence = 2;
        for (std::size_t i = 0; i < packets; ++i) {
          FromBalancer(CallerPacket(TestFlow(caller), FlagAck, sequence, 2, 100));
          FromUpstream(UpstreamPacket(TestFlow(caller), FlagAck, 2, 200));
          sequence += 100;
        }
        for (std::uint32_t copy = 0; copy < 3; ++copy) {
          FromBalancer(CallerPacket(TestFlow(caller), FlagSyn, kEarlierSequence, copy));
          if (bounces) {
            Bounce();
          }
        }
        AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(caller));
        // Its answer to the opening packet, again.
        PacketBytes answer = UpstreamPacket(TestFlow(caller), FlagSyn | FlagAck);
        boost::endian::store_big_u32(answer.data() + 28, 2);
        FromUpstream(answer);
        const std::size_t delivered = mOutput.mToUpstream.size();
        FromBalancer(CallerPacket(TestFlow(caller), FlagAck, sequence, 2, 100));
        CPPUNIT_ASSERT_EQUAL(delivered + 1, mOutput.mToUpstream.size());
      }
    }
  }

  // The caller has given up the first flow without a packet that says so.
  void AcceptedOpeningsReplaceAnOpenFlowOfThePort()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    constexpr std::uint32_t kNextSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, kNextSequence));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck, 700));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(1));
    AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(1),
                 kNextSequence);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, mAgent.CurrentLoad(mNow).mFlows);
    mOutput.Clear();
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kNextSequence + 1, 701, 100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
  }

  // Guards against the refusal of an opening whose flow has moved on by more than the window.
  void CopiesOfTheOpeningOfALongFlowAreOfThatFlow()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    std::uint32_t sequence = 2;
    for (int i = 0; i < 100; ++i) {
      FromBalancer(CallerPacket(TestFlow(1), FlagAck, sequence, 2, 1'000));
      sequence += 1'000;
    }
    AnswerTo(NodeMessageType::Query, {{}, {TestFlow(1)}, 0, 1, 1}, NodeMessageType::HolderFound);
    AnswerTo(NodeMessageType::Query, {{}, {TestFlow(1)}, 0, 1, sequence},
             NodeMessageType::HolderFound);
    AnswerTo(NodeMessageType::Query, {{}, {TestFlow(1)}, 0, 1, 2}, NodeMessageType::NotFound);
  }

  // Guards against a restarted directory agent that answers NotRegistered for flows which were
  // registered with its previous process, and against an agent that counts its flows as registered
  // although it does not know all of them.
  void DirectoryAgentsAnswerNotRegisteredOnlyWhenInTheView()
  {
    ApplyRoutesAndHeartbeat();
    const std::vector<Member> members{TestAgentMember(kSelf, "web"), TestAgentMember(20, "web")};
    mAgent.OnView(TestView(1, members), 2);
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::Query, TestFlow(1));
    mAgent.OnView(TestView(2, members), 1);
    AssertAnswer(NodeMessageType::NotRegistered, NodeMessageType::Query, TestFlow(1));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(1));
    PacketAgent restarted(Settings(), mCodec, mRegistry, kStart);
    restarted.OnView(TestView(1, members), 1);
    restarted.RegisterFlows(mOutput, mNow);
    restarted.OnUpstreamHeartbeat({"i-1", "web", false, {}, 4, 1'000, 7}, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, restarted.CurrentLoad(mNow).mConfirmedAgentsDigest);
  }

  void RegisterFrom(unsigned aNode, const FlowKey& aFlow)
  {
    auto bytes = FlowMessage{{}, {aFlow}}.Encode();
    mAgent.OnNodePacket(NodeEndpoint(aNode), {NodeMessageType::Register, ReturnReason::None}, bytes,
                        mOutput, mNow);
  }

  // Guards against balancers that do not learn of an agent that control does not reach.
  void HoldersThatTheViewLacksAreReported()
  {
    mAgent.OnView(TestView(1, {TestAgentMember(kSelf, "web"), TestAgentMember(20, "web")}), 1);
    RegisterFrom(20, TestFlow(1));
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mUnseenHolders.empty());
    for (unsigned node = 21; node <= 27; ++node) {
      RegisterFrom(node, TestFlow(static_cast<std::uint16_t>(node)));
    }
    std::set<Endpoint> named;
    for (int i = 0; i < 7; ++i) {
      const LoadReport report = mAgent.CurrentLoad(mNow);
      CPPUNIT_ASSERT_EQUAL(LoadReport::kMaxUnseenHolders, report.mUnseenHolders.size());
      named.insert(report.mUnseenHolders.begin(), report.mUnseenHolders.end());
      mNow += Milliseconds{800};
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, named.size());
    CPPUNIT_ASSERT(!named.contains(NodeEndpoint(20)));
    named.clear();
    std::size_t names = 0;
    for (int i = 0; i < 28; ++i) {
      const LoadReport report = mAgent.NextLoad(Milliseconds(200), mNow);
      names += report.mUnseenHolders.size();
      named.insert(report.mUnseenHolders.begin(), report.mUnseenHolders.end());
      mNow += Milliseconds{200};
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, names);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, named.size());
    // Their registrations expire.
    mNow += Milliseconds{65'500};
    mAgent.OnTick(mNow);
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mUnseenHolders.empty());
  }

  // Guards against flows of another service after an address was reused, and against flows for an
  // upstream that has never sent a heartbeat.
  void OpeningsNeedAnUpstreamAndARoute()
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"other"}), mNow);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::NoUpstream);
    Heartbeat(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::WrongService);
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
    mAgent.OnConfiguration(TestConfiguration(2, {"web"}), mNow);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against requests that reach a service to which no route sends them: the IPv6 address of
  // another route ends with the route's IPv4 address.
  void RoutesToOtherKindsOfAddressesReplaceNoRoute()
  {
    Configuration configuration = TestConfiguration(1, {"other"});
    Route web = configuration.mRoutes.mRoutes.front();
    web.mAddress = "[::198.18.0.1]:443";
    web.mTargets = {{"web", 1}};
    configuration.mRoutes.mRoutes.push_back(web);
    mAgent.OnConfiguration(configuration, mNow);
    Heartbeat(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::WrongService);
  }

  // Guards against new flows for a draining upstream and against the loss of its open flows.
  void DrainingUpstreamsKeepFlowsAndRefuseOpenings()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    Heartbeat(2, true);
    FromBalancer(CallerPacket(TestFlow(2), FlagSyn));
    AssertReturned(ReturnReason::Draining);
    const std::size_t before = mOutput.mToUpstream.size();
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    CPPUNIT_ASSERT_EQUAL(before + 1, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mAccepts);
  }

  // Guards against new flows in a data centre that is out of service, from balancers that do not
  // know that yet.
  void DataCentreOutOfServiceRefusesOpenings()
  {
    ApplyRoutesAndHeartbeat();
    Configuration configuration = TestConfiguration(2, {"web"});
    configuration.mDataCentres["north"].mOutOfService = true;
    mAgent.OnConfiguration(configuration, mNow);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Draining);
  }

  // Guards against a large rate that is reported as a small one.
  void ColdOpeningRatesOfAnySizeAreReported()
  {
    mAgent.OnConnectionRefused(); // The upstream starts after the agent.
    std::uint64_t version = 0;
    for (const double rate : {4'294'967'296.0, 1e19, 1e300}) {
      Configuration configuration = TestConfiguration(++version, {"web"});
      configuration.mRoutes.mServices.front().mColdOpeningsPerSecond = rate;
      mAgent.OnConfiguration(configuration, mNow);
      Heartbeat(version, false, Milliseconds{5'000});
      const LoadReport report = mAgent.CurrentLoad(mNow);
      CPPUNIT_ASSERT(report.mCold);
      CPPUNIT_ASSERT_EQUAL(~std::uint32_t{0}, report.mOpeningsPerSecond);
      CPPUNIT_ASSERT_EQUAL(~std::uint32_t{0}, report.mOpeningsAllowed);
    }
  }

  // Guards against more flows in any second than the limit of a cold upstream.
  void ColdUpstreamsStayWithinTheirOpeningLimit()
  {
    ApplyRoutesAndHeartbeat(1, Milliseconds{5'000});
    std::vector<TimePoint> delivered;
    for (std::uint16_t i = 0; i < 400; ++i) {
      mOutput.Clear();
      FromBalancer(CallerPacket(TestFlow(i), FlagSyn));
      if (!mOutput.mToUpstream.empty()) {
        delivered.push_back(mNow);
        FromUpstream(UpstreamPacket(TestFlow(i), FlagSyn | FlagAck));
      } else {
        AssertReturned(ReturnReason::Cold);
      }
      mNow += Milliseconds{10};
      if (i % 50 == 0) {
        Heartbeat(2 + i, false, Milliseconds{5'000});
      }
    }
    constexpr std::size_t kBound = 5;
    for (std::size_t i = kBound; i < delivered.size(); ++i) {
      CPPUNIT_ASSERT(delivered[i] - delivered[i - kBound] >= std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT(delivered.size() >= 3 * kBound);
  }

  // Guards against too many flows for an upstream that turned cold while its data centre was out of
  // service.
  void ReturnedDataCentreIsColdUntilTheNextHeartbeat()
  {
    ApplyRoutesAndHeartbeat();
    Configuration configuration = TestConfiguration(2, {"web"});
    configuration.mDataCentres["north"].mOutOfService = true;
    mAgent.OnConfiguration(configuration, mNow);
    configuration.mRevision = 3;
    configuration.mDataCentres["north"].mOutOfService = false;
    mAgent.OnConfiguration(configuration, mNow);
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mCold);
    Heartbeat(2);
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mCold);
  }

  // A configuration in which the agent's data centre has been changed this many times.
  static Configuration AfterChanges(std::uint64_t aChanges, bool aOutOfService = false)
  {
    Configuration configuration = TestConfiguration(1, {"web"});
    configuration.mDataCentres["north"] = {aOutOfService, aChanges};
    return configuration;
  }

  // Guards against too many flows for a cold upstream: its agent was cut off from control or stood
  // still from before the evacuation until after it.
  void EvacuationsThatTheAgentMissedLeaveItsUpstreamCold()
  {
    ApplyRoutesAndHeartbeat();
    mAgent.OnConfiguration(AfterChanges(0), mNow);
    mAgent.OnConfiguration(AfterChanges(2), mNow);
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mCold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, OpenMany(10, 20));
    mNow += Settings().mHeartbeat;
    Heartbeat(2);
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mCold);
  }

  // Guards against few openings for a warm upstream.
  void RepeatedReturnsOfADataCentreDoNotMakeUpstreamsCold()
  {
    ApplyRoutesAndHeartbeat();
    mAgent.OnConfiguration(AfterChanges(2), mNow);
    mNow += Settings().mHeartbeat;
    Heartbeat(2);
    mAgent.OnConfiguration(AfterChanges(3), mNow);
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mCold);
  }

  // Guards against a heartbeat that was sent before the upstream turned cold, and waited in the
  // socket of a process that stood still.
  void HeartbeatsThatWaitedDuringAStandstillDoNotEndTheColdTime()
  {
    for (const bool sawEvacuation : {false, true}) {
      mNow = kStart;
      PacketAgent agent{Settings(), mCodec, mRegistry, mNow};
      std::uint64_t sequence = 7;
      const auto heartbeat = [&] {
        agent.OnUpstreamHeartbeat({"i-1", "web", false, {}, 4, 1'000, sequence++}, mNow);
      };
      agent.OnConfiguration(AfterChanges(0), mNow);
      heartbeat();
      agent.OnConfiguration(AfterChanges(sawEvacuation ? 1 : 0, sawEvacuation), mNow);
      agent.OnTick(mNow);
      mNow += Milliseconds{5'400};
      agent.OnConfiguration(AfterChanges(2), mNow);
      mNow += Milliseconds{20};
      heartbeat();
      agent.OnTick(mNow);
      heartbeat();
      CPPUNIT_ASSERT(agent.CurrentLoad(mNow).mCold);
      mNow += Settings().mHeartbeat;
      heartbeat();
      CPPUNIT_ASSERT(!agent.CurrentLoad(mNow).mCold);
    }
  }

  // Tries this many openings at once; returns how many were delivered to the upstream.
  std::size_t OpenMany(std::uint16_t aFirst, std::uint16_t aCount)
  {
    const std::size_t before = mOutput.mToUpstream.size();
    for (std::uint16_t i = 0; i < aCount; ++i) {
      FromBalancer(CallerPacket(TestFlow(aFirst + i), FlagSyn));
      FromUpstream(UpstreamPacket(TestFlow(aFirst + i), FlagSyn | FlagAck));
    }
    return mOutput.mToUpstream.size() - before;
  }

  // Guards against openings at the full rate at a cold upstream: it starts again within a second,
  // and its first heartbeat comes half a second later.
  void UpstreamsThatStartedAgainAreColdFromTheirFirstBounce()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    mNow += Milliseconds{2'000};
    Heartbeat(2);
    mNow += Milliseconds{700};
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    Bounce();
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mCold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, OpenMany(10, 20));
    mNow += Milliseconds{500};
    Heartbeat(1, false, Milliseconds{1'500}, 2'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OpenMany(40, 20));
    mNow += Milliseconds{700};
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, OpenMany(70, 20));
  }

  // Guards against more openings in a second than the limit: the upstream has been cold for longer
  // than its agent knows.
  void OpeningsBeforeAColdHeartbeatCountInItsWindow()
  {
    ApplyRoutesAndHeartbeat();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, OpenMany(10, 3));
    mNow += Milliseconds{500};
    Heartbeat(2, false, Milliseconds{1'500});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, OpenMany(20, 20));
  }

  // Guards against a warm upstream that gets few openings, because it has discarded a flow as it
  // may.
  void DiscardedFlowsDoNotMakeTheirUpstreamCold()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    for (int i = 0; i < 16; ++i) {
      mNow += Milliseconds{1'000};
      Heartbeat(2 + i);
    }
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mCold);
  }

  // Guards against twice the cold limit in one second when the agent is killed and restarted.
  void RestartedAgentRefusesColdOpeningsForOneWindow()
  {
    ApplyRoutesAndHeartbeat(7, Milliseconds{5'000});
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Cold);
    mNow += Milliseconds{1'200};
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against retransmissions of an opening packet that all go to a dead upstream.
  void RetransmittedUnansweredOpeningsAreReturned()
  {
    ApplyRoutesAndHeartbeat();
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    mNow += Milliseconds{200};
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 1, 1));
    AssertReturned(ReturnReason::Unresponsive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against broken flows when the agent restarts and its upstream does not.
  void RestartedAgentDeliversFlowsItDoesNotKnow()
  {
    ApplyRoutesAndHeartbeat(7);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5, 10));
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 5, 5, 10), NodeMessageType::Probe);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mOutput.mToUpstream.size());
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck));
    // The balancer is told at once that the flow probe has found the flow.
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::HolderFound);
    mOutput.mToNodes.clear();
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck, 2, 100));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 15, 5, 10), NodeMessageType::Probe);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::HolderFound);
  }

  // Guards against searches that never end because no agent answers NotFound.
  void UnknownFlowsAreNotFoundWhenTheTableIsComplete()
  {
    ApplyRoutesAndHeartbeat(1);
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5));
    AssertReturned(ReturnReason::NotHeld);
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
  }

  // Guards against the loss of an opening packet that a full upstream bounced, and against bounce
  // marks that the next upstream would see.
  void BouncedOpeningsAreReturned()
  {
    ApplyRoutesAndHeartbeat();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagSyn);
    FromBalancer(packet);
    Bounce();
    AssertReturned(ReturnReason::Refused);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, mAgent.CurrentLoad(mNow).mFlows);
  }

  // Guards against callers that wait for an answer on a flow which its upstream lost in a restart.
  void FlowsThatTheUpstreamLostAreReset()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against the reset of a flow that is open at another upstream: its caller reuses the port
  // of an earlier flow, and a balancer that remembers that flow sends the packets here.
  void ReusedPortsAreNotTakenForTheOldFlow()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    constexpr std::uint32_t kOtherSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kOtherSequence, 7, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    AssertReturned(ReturnReason::NotHeld);
  }

  // Another upstream has accepted a copy of the opening packet, and the caller has taken its
  // answer.
  void ResetsOfHalfOpenFlowsAreDropped()
  {
    ApplyRoutesAndHeartbeat();
    Open(1);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Open(2);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100));
    FromUpstream(UpstreamPacket(TestFlow(2), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // An opening packet that was queued at a frozen VM comes while its flow is open.
  // A balancer that remembers the half-open flow sends the packets of the open one here, and the
  // upstream has given up.
  void ResetsOfHalfOpenFlowsAreDroppedAfterPacketsForAnotherUpstream()
  {
    ApplyRoutesAndHeartbeat();
    Open(1);
    mNow += Milliseconds{11'200};
    mOutput.Clear();
    mOutput.mToCallers.clear();
    constexpr std::uint32_t kOtherUpstreamSequence = 0x70000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 2, kOtherUpstreamSequence, 100));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // The upstream repeats the end of the earlier flow; the next one is open at another upstream.
  void PacketsOfAnEndedFlowDoNotEstablishTheNextFlowOfThePort()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagFin | FlagAck, 102, 202));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagFin | FlagAck, 202));
    constexpr std::uint32_t kOtherSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, kOtherSequence, 1));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck, 0x60000000));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 102, 100));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kOtherSequence + 1, 7, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // A late packet of the earlier flow has reached the upstream, which answers it with a reset.
  void LateResetsOfAnEndedFlowDoNotRemoveTheNextFlowOfThePort()
  {
    ApplyRoutesAndHeartbeat();
    constexpr std::uint32_t kSequence = 0x40000000;
    constexpr std::uint32_t kUpstreamSequence = 0x60000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, kSequence));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck, kUpstreamSequence));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kSequence + 1, kUpstreamSequence + 1, 100));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, kUpstreamSequence + 1, 200));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    mOutput.Clear();
    PacketBytes query = FlowMessage{{}, {TestFlow(1)}, 0, 1, kSequence + 101}.Encode();
    mAgent.OnNodePacket(NodeEndpoint(9), {NodeMessageType::QueryLocal, ReturnReason::None}, query,
                        mOutput, mNow);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::HolderFound);
  }

  void LateOpeningsDoNotRemoveAnOpenFlow()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    mOutput.Clear();
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 1, 1));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
    CPPUNIT_ASSERT(AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal,
                                TestFlow(1)) == NodeEndpoint(kSelf));
  }

  // The upstream has no room for a copy of an opening packet that it has accepted.
  void BouncedOpeningsDoNotRemoveAnAcceptedFlow()
  {
    ApplyRoutesAndHeartbeat();
    Open(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 1, 1));
    Bounce();
    AssertReturned(ReturnReason::Refused);
    AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // The packet belongs to another flow of the caller port, which is not held here.
  void PacketsWithAnotherSequenceDoNotRemoveAnOpenFlow()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 0x40000000, 7, 100));
    AssertReturned(ReturnReason::NotHeld);
    AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // The upstream answers the opening packet after its agent has returned a copy as unanswered.
  void LateOpeningsDoNotRemoveAnOpenFlowThatWasAnsweredLate()
  {
    ApplyRoutesAndHeartbeat();
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 1, 1));
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 1, 2));
    AssertReturned(ReturnReason::Unresponsive);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 2, 2, 100));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 2, 200));
    // A frozen balancer thaws. The upstream may bounce the packet.
    const std::size_t delivered = mOutput.mToUpstream.size();
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    if (mOutput.mToUpstream.size() > delivered) {
      Bounce();
    }
    AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // A balancer that remembers the earlier flow sends packets of the next one here.
  void ResetsOfAnEndedFlowDoNotReachTheNextFlowOfThePort()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagFin | FlagAck, 102, 202));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagFin | FlagAck, 202));
    mOutput.Clear();
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 0x40000000, 7, 100));
    if (!mOutput.mToUpstream.empty()) {
      FromUpstream(UpstreamPacket(TestFlow(1), FlagRst, 203));
    }
    CPPUNIT_ASSERT(mOutput.mToCallers.empty());
  }

  // Guards against the reset of a flow that is open at another upstream and half-open here, where
  // an earlier flow of the port was open.
  void CopiesOfOpeningsAreNotTakenForTheOldFlow()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    constexpr std::uint32_t kOtherSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, kOtherSequence, 1));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kOtherSequence + 1, 7, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    AssertReturned(ReturnReason::NotHeld);
  }

  // Guards against an open flow that is removed from the table like the closed one of its port.
  void CopiesOfOpeningsReplaceAClosedFlow()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagFin | FlagAck, 102, 202));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagFin | FlagAck, 202));
    mNow += Milliseconds{600};
    constexpr std::uint32_t kOtherSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, kOtherSequence, 1));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kOtherSequence + 1, 2, 100));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 2, 200));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, mAgent.CurrentLoad(mNow).mFlows);
    mNow += Milliseconds{6'655};
    mAgent.OnTick(mNow);
    AssertAnswer(NodeMessageType::HolderFound, NodeMessageType::QueryLocal, TestFlow(1),
                 kOtherSequence + 1);
  }

  // The upstream still sends packets of the old flow, whose caller has fallen silent.
  void RestartedAgentsDoNotTakeTheNextFlowOfAPortForTheOldOne()
  {
    ApplyRoutesAndHeartbeat(57);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 2, 200));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 0x40000000, 7, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // The first heartbeat comes late, from a start of the upstream that has ended.
  void LateHeartbeatsDoNotCompleteTheTableOfARestartedAgent()
  {
    ApplyRoutesAndHeartbeat(57);
    CPPUNIT_ASSERT(Heartbeat(30, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // Guards against a NotFound from an agent that has just restarted although its upstream runs, and
  // against flows that are not found until the upstream's next heartbeat.
  void AgentsNeedAProbeBeforeTheFirstHeartbeat()
  {
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::Query, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5, 10), NodeMessageType::Probe);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
    Heartbeat(7);
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::Query, TestFlow(1));
  }

  // Guards against a reset of the flows of an upstream that is frozen or slow, or whose heartbeats
  // are late.
  void ASilentUpstreamIsNotTakenAsAbsent()
  {
    ApplyDirectoryAgents();
    CPPUNIT_ASSERT(!mAgent.TakeConnectionCheck(mNow));
    mNow += std::chrono::seconds(4);
    AssertTableComplete(false);
    CPPUNIT_ASSERT(mAgent.TakeConnectionCheck(mNow));
    CPPUNIT_ASSERT(!mAgent.TakeConnectionCheck(mNow));
    AssertTableComplete(false);
  }

  // Guards against searches that do not end until the caller's deadline: the upstream fails after
  // it has given a packet back.
  void AnUpstreamThatFailsAfterTheAgentsStartIsTakenAsAbsent()
  {
    ApplyDirectoryAgents();
    mNow += std::chrono::seconds(2);
    FromUpstream(UpstreamPacket(TestFlow(2), FlagRst));
    mNow += std::chrono::seconds(2);
    CPPUNIT_ASSERT(!mAgent.TakeConnectionCheck(mNow));
    mNow += std::chrono::seconds(2);
    CPPUNIT_ASSERT(mAgent.TakeConnectionCheck(mNow));
    mAgent.OnConnectionRefused();
    AssertTableComplete(true);
    Heartbeat(5);
    AssertTableComplete(false);
  }

  void NoConnectionIsTriedToAnUpstreamThatWasHeardOf()
  {
    ApplyRoutesAndHeartbeat(7);
    mNow += std::chrono::seconds(4);
    CPPUNIT_ASSERT(!mAgent.TakeConnectionCheck(mNow));
    mAgent.OnConnectionRefused();
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // Guards against searches that never end: the VM of a removed upstream lost power and started
  // again, and its agent waits for heartbeats that never come.
  void AgentsWithoutAnUpstreamAnswerNotFound()
  {
    mNow += std::chrono::seconds(4);
    CPPUNIT_ASSERT(mAgent.TakeConnectionCheck(mNow));
    mAgent.OnConnectionRefused();
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::Query, TestFlow(1));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5, 10), NodeMessageType::Probe);
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
    // The upstream runs after all and may hold flows from before the agent's start.
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck));
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // Callers of dead flows would wait for three heartbeats more.
  void SearchesDoNotWaitForHeartbeatsOfAnAbsentUpstream()
  {
    mNow += Milliseconds{200};
    CPPUNIT_ASSERT(!mAgent.TakeConnectionCheck(mNow));
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::QueryLocal, TestFlow(1));
    CPPUNIT_ASSERT(mAgent.TakeConnectionCheck(mNow));
    CPPUNIT_ASSERT(!mAgent.TakeConnectionCheck(mNow));
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::QueryLocal, TestFlow(1));
    mAgent.OnConnectionRefused();
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(1));
  }

  // A probe that was sent before the connection was refused comes back after it.
  void BouncesDoNotShowThatAnAbsentUpstreamRuns()
  {
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5, 10), NodeMessageType::Probe);
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::QueryLocal, TestFlow(1));
    mAgent.OnConnectionRefused();
    Bounce();
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryLocal, TestFlow(2));
  }

  // The data centre was taken out of service while the process was paused.
  void AgentsThatStoodStillTakeNoFlowsBeforeTheirLeaseIsRenewed()
  {
    ApplyRoutesAndHeartbeat();
    mAgent.OnLease(mNow + Milliseconds{3'000});
    mAgent.OnTick(mNow);
    mNow += Milliseconds{9'000};
    Heartbeat(8);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Draining);
    mAgent.OnTick(mNow);
    FromBalancer(CallerPacket(TestFlow(2), FlagSyn));
    AssertReturned(ReturnReason::Draining);
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
    mAgent.OnLease(mNow + Milliseconds{3'000});
    FromBalancer(CallerPacket(TestFlow(3), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
    // Without control, callers are served by the last known state.
    mAgent.OnLease(mNow);
    mNow += Milliseconds{1'100};
    mAgent.OnTick(mNow);
    FromBalancer(CallerPacket(TestFlow(4), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mOutput.mToUpstream.size());
  }

  // Balancers would count the agent as lost, and reset no flow that they do not know for 60 s.
  void AgentsThatStopAfterTheirUpstreamsEndAreFinished()
  {
    ApplyRoutesAndHeartbeat();
    mAgent.StopAccepting();
    CPPUNIT_ASSERT(mAgent.StopsBesideUpstream());
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mFinished);
    mAgent.OnConnectionRefused();
    CPPUNIT_ASSERT(!mAgent.StopsBesideUpstream());
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mFinished);
    CPPUNIT_ASSERT(mAgent.State(mNow) == MemberState::Left);
  }

  void ApplyDirectoryAgents()
  {
    mAgent.OnView(TestView(1, {TestAgentMember(20, "web"), TestAgentMember(21, "web")}), 1);
    mAgent.RegisterFlows(mOutput, mNow);
  }

  void AssertTableComplete(bool aExpected)
  {
    AssertAnswer(aExpected ? NodeMessageType::NotFound : NodeMessageType::ProbeNeeded,
                 NodeMessageType::QueryLocal, TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(aExpected, mAgent.CurrentLoad(mNow).mConfirmedAgentsDigest != 0);
  }

  // Guards against resets of flows that the upstream holds from before the agent's start.
  void ARestartedAgentDoesNotTakeItsTableAsCompleteAfterAHeartbeatOfAnotherStart()
  {
    ApplyRoutesAndHeartbeat(7);
    ApplyDirectoryAgents();
    CPPUNIT_ASSERT(Heartbeat(9, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    AssertTableComplete(false);
    CPPUNIT_ASSERT(Heartbeat(10, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    AssertTableComplete(false);
    mNow += Settings().mMaxFlowAge + Milliseconds{1};
    AssertTableComplete(true);
  }

  // Guards against such resets after a foreign heartbeat, until the upstream is found again.
  void OneFirstHeartbeatOfAnotherStartDoesNotMakeTheTableComplete()
  {
    ApplyRoutesAndHeartbeat(7);
    ApplyDirectoryAgents();
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    for (std::uint64_t sequence = 8; sequence < 18; ++sequence) {
      AssertTableComplete(false);
      mNow += Settings().mHeartbeat;
      Heartbeat(sequence);
    }
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 3'000) == HeartbeatOutcome::Accepted);
    AssertTableComplete(false);
    CPPUNIT_ASSERT(Heartbeat(2, false, Milliseconds{0}, 3'000) == HeartbeatOutcome::Accepted);
    AssertTableComplete(true);
  }

  // Guards against such resets after a late heartbeat that an earlier start sent first.
  void LateFirstHeartbeatDoesNotMakeTheTableComplete()
  {
    ApplyRoutesAndHeartbeat(1);
    ApplyDirectoryAgents();
    CPPUNIT_ASSERT(Heartbeat(9, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    AssertTableComplete(false);
  }

  // Guards against resets of open flows: the upstream numbers its heartbeats from 0, and an earlier
  // process of the agent got the first one and opened flows.
  void SecondHeartbeatsNumberedOneDoNotCompleteTheTable()
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    ApplyDirectoryAgents();
    Heartbeat(1, false, kWarmUp - Settings().mHeartbeat);
    AssertTableComplete(false);
    Heartbeat(2);
    AssertTableComplete(false);
  }

  // Guards against twice the cold limit in one second after such a heartbeat.
  void SecondHeartbeatsNumberedOneBlockColdOpenings()
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    Heartbeat(1, false, kWarmUp - Settings().mHeartbeat);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Cold);
  }

  // Guards against callers of dead flows that wait for their deadline after a loss of power.
  void HeartbeatsNumberedZeroCompleteTheTable()
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    ApplyDirectoryAgents();
    Heartbeat(0);
    AssertTableComplete(true);
    Heartbeat(1);
    AssertTableComplete(true);
  }

  // Guards against such waiting where the upstream numbers its heartbeats from 1 and its VM has
  // started it shortly before the agent.
  void HeartbeatsOfANewUpstreamCompleteTheTable()
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    ApplyDirectoryAgents();
    Heartbeat(1, false, kWarmUp - Milliseconds{20});
    AssertTableComplete(true);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Control may answer after the heartbeat.
  void HeartbeatsOfANewUpstreamCompleteTheTableOnceTheWarmUpTimeIsKnown()
  {
    ApplyDirectoryAgents();
    Heartbeat(1, false, kWarmUp - Milliseconds{20});
    AssertTableComplete(false);
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    AssertTableComplete(true);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against resets of open flows: a late heartbeat of an earlier start cannot be told from
  // one of the running upstream.
  void HeartbeatsWithoutAStartTimeDoNotCompleteTheTable()
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    ApplyDirectoryAgents();
    Heartbeat(0, false, kWarmUp, 0);
    AssertTableComplete(false);
    Heartbeat(9, false, Milliseconds{0}, 0);
    AssertTableComplete(false);
  }

  // Guards against twice the cold limit in one second when the first heartbeat heard is a late one.
  void RestartedAgentsBlockColdOpeningsAfterALateHeartbeat()
  {
    ApplyRoutesAndHeartbeat(1, Milliseconds{5'000});
    CPPUNIT_ASSERT(Heartbeat(9, false, Milliseconds{5'000}, 2'000) == HeartbeatOutcome::Accepted);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Cold);
  }

  // Guards against the reset of a flow by an upstream that only received a flow probe.
  void ResetsOfUnknownFlowsAreDropped()
  {
    ApplyRoutesAndHeartbeat(7);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5), NodeMessageType::Probe);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Establish(2);
    FromUpstream(UpstreamPacket(TestFlow(2), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against a flow that counts as held because a restarted agent has delivered its packet.
  void BouncedProbesAreAnsweredNotFound()
  {
    ApplyRoutesAndHeartbeat(7);
    AssertAnswer(NodeMessageType::ProbeNeeded, NodeMessageType::Query, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5), NodeMessageType::Probe);
    Bounce();
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::NotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against heartbeats that arrive late, also from before a restart of the upstream.
  void StaleHeartbeatsAreIgnored()
  {
    ApplyRoutesAndHeartbeat(5);
    CPPUNIT_ASSERT(Heartbeat(4, true) == HeartbeatOutcome::Stale);
    CPPUNIT_ASSERT(Heartbeat(9, true, Milliseconds{0}, 500) == HeartbeatOutcome::Stale);
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mAccepts);
    // After a restart with the same id, the sequence starts over.
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    CPPUNIT_ASSERT(mAgent.OnUpstreamHeartbeat({"i-2", "other", false, {}, 4, 9'000, 1}, mNow) ==
                   HeartbeatOutcome::WrongService);
  }

  // Guards against heartbeats that stay stale after a foreign one or after the clock was set back.
  void UpstreamIsFoundAgainAfterAStartTimeInTheFuture()
  {
    ApplyRoutesAndHeartbeat(5);
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 9'000'000'000) ==
                   HeartbeatOutcome::Accepted);
    for (std::uint64_t sequence = 6; sequence < 26; ++sequence) {
      mNow += Settings().mHeartbeat;
      Heartbeat(sequence);
    }
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mAccepts);
  }

  // Guards against heartbeats that stay stale after a foreign one under the upstream's own name.
  void UpstreamIsFoundAgainAfterASequenceNumberInTheFuture()
  {
    ApplyRoutesAndHeartbeat(5);
    CPPUNIT_ASSERT(Heartbeat(9'000'000'000) == HeartbeatOutcome::Accepted);
    for (std::uint64_t sequence = 6; sequence < 26; ++sequence) {
      mNow += Settings().mHeartbeat;
      Heartbeat(sequence);
    }
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mAccepts);
  }

  // Guards against flows for an upstream that is gone, while its successor is silent.
  void LateHeartbeatsOfAnEarlierStartDoNotReplaceASilentUpstream()
  {
    ApplyRoutesAndHeartbeat(5);
    Heartbeat(1, false, Milliseconds{0}, 2'000);
    for (std::uint64_t burst = 1; burst < 4; ++burst) {
      mNow += 4 * Settings().mHeartbeat;
      for (std::uint64_t i = 0; i < 10; ++i) {
        CPPUNIT_ASSERT(Heartbeat(burst * 10 + i) == HeartbeatOutcome::Stale);
        mNow += Milliseconds{1};
      }
    }
    // The same heartbeat again and again is no sign of a running upstream.
    for (int i = 0; i < 10; ++i) {
      mNow += Settings().mHeartbeat;
      CPPUNIT_ASSERT(Heartbeat(39) == HeartbeatOutcome::Stale);
    }
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mAccepts);
  }

  // Guards against an upstream that is replaced by an earlier start while its heartbeats come.
  void EarlierStartsDoNotReplaceAnUpstreamWithHeartbeats()
  {
    ApplyRoutesAndHeartbeat(5);
    for (std::uint64_t sequence = 1; sequence < 12; ++sequence) {
      CPPUNIT_ASSERT(Heartbeat(sequence, false, Milliseconds{0}, 2'000) ==
                     HeartbeatOutcome::Accepted);
      for (std::uint64_t i = 0; i < 2; ++i) {
        mNow += Settings().mHeartbeat;
        CPPUNIT_ASSERT(Heartbeat(6 + 2 * sequence + i, true) == HeartbeatOutcome::Stale);
      }
    }
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mAccepts);
  }

  // Guards against an upstream that takes no flows for as long as it runs.
  void LateExitOfAnEarlierStartDoesNotEndTheUpstream()
  {
    ApplyRoutesAndHeartbeat(5);
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    mAgent.OnUpstreamLeft("i-1", 1'000);
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mAccepts);
    CPPUNIT_ASSERT(Heartbeat(2, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    mAgent.OnUpstreamLeft("i-1", 2'000);
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mAccepts);
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 3'000) == HeartbeatOutcome::Accepted);
    mAgent.OnUpstreamLeft("i-1", std::nullopt);
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mAccepts);
  }

  // Guards against load reports that count closed flows or answered requests.
  void ReportsCountOpenFlowsAndRequests()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    Open(2);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100));
    LoadReport report = mAgent.CurrentLoad(mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, report.mFlows);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, report.mRequests);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100)); // a retransmission
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck, 2, 300));
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100)); // a late copy
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, mAgent.CurrentLoad(mNow).mRequests);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck | FlagFin, 102, 302));
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck | FlagFin, 302));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, mAgent.CurrentLoad(mNow).mFlows);
    mNow += std::chrono::seconds(60);
    mAgent.OnTick(mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, mAgent.CurrentLoad(mNow).mFlows);
  }

  // Guards against metrics that do not show a slow upstream.
  void LatenciesAreMeasured()
  {
    ApplyRoutesAndHeartbeat();
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    mNow += Milliseconds{20};
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 2, 2, 100));
    mNow += Milliseconds{300};
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 2, 200));
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 202, 200));
    const Summary& opening = mRegistry.SummaryFor("dandelionslip_opening_seconds");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, opening.Count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, opening.Mean(), 1e-9);
    const Summary& request = mRegistry.SummaryFor("dandelionslip_request_seconds");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, request.Count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, request.Mean(), 1e-9);
  }

  // Guards against new flows for an upstream that has crashed and sends no heartbeats.
  void UpstreamsWithoutHeartbeatsTakeNoFlows()
  {
    ApplyRoutesAndHeartbeat();
    CPPUNIT_ASSERT(mAgent.CurrentLoad(mNow).mAccepts);
    mNow += std::chrono::seconds(4);
    CPPUNIT_ASSERT(!mAgent.CurrentLoad(mNow).mAccepts);
  }

  LoadDetails Details() { return *mAgent.NextLoad(Milliseconds{200}, mNow).mDetails; }

  void Offer(std::uint16_t aCaller, std::uint32_t aSequence = 1)
  {
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagSyn, aSequence), NodeMessageType::Offer);
  }

  // Offers openings for all four slots of the upstream.
  void OfferAllSlots()
  {
    ApplyRoutesAndHeartbeat();
    mAgent.OnRouteTerms({1, {{"198.18.0.1:443", true, Milliseconds{200}}}});
    for (std::uint16_t caller = 1; caller <= 4; ++caller) {
      Offer(caller);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT_EQUAL(1'000U, Details().mBusyPermille);
  }

  // One request on a flow that is open, and the end of the flow.
  void AnswerOneRequestAndEnd(std::uint16_t aCaller)
  {
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagAck, 2, 2, 100));
    FromUpstream(UpstreamPacket(TestFlow(aCaller), FlagAck, 2, 200));
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagAck | FlagFin, 102, 202));
    FromUpstream(UpstreamPacket(TestFlow(aCaller), FlagAck | FlagFin, 202));
  }

  // Guards against openings that wait here while another upstream is free, against a returned
  // opening that is delivered or counted all the same, and against the return of an opening that no
  // other upstream can take.
  void OffersAreReturnedAsBusyAndDeliveriesAccepted()
  {
    OfferAllSlots();
    Offer(5);
    AssertReturned(ReturnReason::Busy);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == CallerPacket(TestFlow(5), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT_EQUAL(1'000U, Details().mBusyPermille);
    CPPUNIT_ASSERT_EQUAL(4U, mAgent.CurrentLoad(mNow).mFlows);
    mOutput.Clear();
    FromBalancer(CallerPacket(TestFlow(5), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT_EQUAL(1'250U, Details().mBusyPermille);
  }

  // Guards against a flow that opens at two upstreams, because a copy of its opening is returned
  // and placed elsewhere after the upstream has got the first one.
  void CopiesOfAcceptedOffersAreNotReturned()
  {
    OfferAllSlots();
    Offer(1);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck));
    Offer(1);
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT_EQUAL(1'000U, Details().mBusyPermille);
    // The port is used again, and the new opening replaces the open flow.
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 0x40000000));
    Offer(1, 0x40000000);
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, mOutput.mToUpstream.size());
  }

  // Guards against slots that are given away twice when callers use a port again.
  void OpeningsThatReplaceAnOpenFlowCount()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    CPPUNIT_ASSERT_EQUAL(0U, Details().mBusyPermille);
    Offer(1, 0x40000000);
    CPPUNIT_ASSERT_EQUAL(250U, Details().mBusyPermille);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagSyn | FlagAck, 700));
    CPPUNIT_ASSERT_EQUAL(250U, Details().mBusyPermille);
  }

  // Guards against a restarted agent that forgets requests at the first heartbeat and takes their
  // slots for free.
  void RequestsBeforeTheFirstHeartbeatCount()
  {
    for (std::uint16_t caller = 1; caller <= 4; ++caller) {
      FromUpstream(UpstreamPacket(TestFlow(caller), FlagAck, 2));
      FromBalancer(CallerPacket(TestFlow(caller), FlagAck, 2, 2, 100));
    }
    ApplyRoutesAndHeartbeat(7);
    CPPUNIT_ASSERT_EQUAL(1'000U, Details().mBusyPermille);
    Offer(5);
    AssertReturned(ReturnReason::Busy);
    Heartbeat(1, false, Milliseconds{0}, 2'000); // The upstream starts again.
    CPPUNIT_ASSERT_EQUAL(0U, Details().mBusyPermille);
  }

  // Guards against offers to a service with long flows, of which a restarted agent sees only the
  // last request.
  void RestartedAgentsDoNotTakeLongFlowsForShortOnes()
  {
    ApplyRoutesAndHeartbeat(7);
    for (std::uint16_t caller = 1; caller <= 10; ++caller) {
      FromUpstream(UpstreamPacket(TestFlow(caller), FlagAck, 2));
      AnswerOneRequestAndEnd(caller);
    }
    CPPUNIT_ASSERT(!Details().mOneRequestPerFlow);
    for (std::uint16_t caller = 11; caller <= 13; ++caller) {
      Open(caller);
      AnswerOneRequestAndEnd(caller);
    }
    CPPUNIT_ASSERT(Details().mOneRequestPerFlow);
  }

  // Guards against short flows that are not recognised while links lose packets.
  void CopiesOfOpeningsDoNotMakeFlowsLookLong()
  {
    ApplyRoutesAndHeartbeat();
    for (std::uint16_t caller = 1; caller <= 4; ++caller) {
      Open(caller);
      FromBalancer(CallerPacket(TestFlow(caller), FlagSyn));
      FromBalancer(CallerPacket(TestFlow(caller), FlagSyn));
      AnswerOneRequestAndEnd(caller);
    }
    CPPUNIT_ASSERT(Details().mOneRequestPerFlow);
  }

  // Guards against flows for an upstream that resets all of them, and against an agent that also
  // returns those for which the balancer has no other upstream.
  void OffersAreReturnedByFailingUpstreamsAndDeliveriesAccepted()
  {
    PacketAgentSettings settings = Settings();
    settings.mHealthMayBeWrong = true;
    PacketAgent agent(settings, mCodec, mRegistry, kStart);
    const auto fromBalancer = [&](NodeMessageType aType, PacketBytes aPacket) {
      agent.OnNodePacket(NodeEndpoint(9), {aType, ReturnReason::None}, aPacket, mOutput, mNow);
    };
    const auto fromUpstream = [&](PacketBytes aPacket) {
      agent.OnUpstreamPacket(aPacket, mOutput, mNow);
    };
    agent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    agent.OnUpstreamHeartbeat({"i-1", "web", false, {}, 4, 1'000, 1}, mNow);
    fromBalancer(NodeMessageType::Offer, CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    for (std::uint16_t caller = 2; caller < 6; ++caller) {
      fromBalancer(NodeMessageType::Deliver, CallerPacket(TestFlow(caller), FlagSyn));
      fromUpstream(UpstreamPacket(TestFlow(caller), FlagSyn | FlagAck));
      fromBalancer(NodeMessageType::Deliver, CallerPacket(TestFlow(caller), FlagAck, 2, 2, 100));
      fromUpstream(UpstreamPacket(TestFlow(caller), FlagRst, 2));
    }
    for (const NodeMessageType offer : {NodeMessageType::Offer, NodeMessageType::LastOffer}) {
      mOutput.Clear();
      fromBalancer(offer, CallerPacket(TestFlow(6), FlagSyn));
      AssertReturned(ReturnReason::Failing);
      CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
    }
    mOutput.Clear();
    fromBalancer(NodeMessageType::Deliver, CallerPacket(TestFlow(6), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
    // Another process of the upstream.
    agent.OnUpstreamHeartbeat({"i-1", "web", false, {}, 4, 2'000, 1}, mNow);
    mOutput.Clear();
    fromBalancer(NodeMessageType::Offer, CallerPacket(TestFlow(7), FlagSyn));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketAgentTest);

} // namespace

} // namespace dandelionslip
