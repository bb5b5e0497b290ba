// Tests of the packet agent's decisions.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kFlagsOffset = 8;
constexpr unsigned kSelf = 30;

class PacketAgentTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketAgentTest);
  CPPUNIT_TEST(OpeningsNeedAnUpstreamAndARoute);
  CPPUNIT_TEST(DrainingUpstreamsKeepFlowsAndTakeNone);
  CPPUNIT_TEST(DataCentreOutRefusesOpenings);
  CPPUNIT_TEST(ColdUpstreamsAreOpenedFewFlows);
  CPPUNIT_TEST(ReturnedDataCentreIsColdUntilTheNextHeartbeat);
  CPPUNIT_TEST(RestartedAgentCountsNoOpeningsAsAllowed);
  CPPUNIT_TEST(UnansweredOpeningsGoElsewhere);
  CPPUNIT_TEST(RestartedAgentDeliversFlowsItDoesNotKnow);
  CPPUNIT_TEST(CompleteTablesDenyUnknownFlows);
  CPPUNIT_TEST(BouncedOpeningsAreReturned);
  CPPUNIT_TEST(LostEstablishedFlowsAreReset);
  CPPUNIT_TEST(ReusedPortsAreNotTakenForTheOldFlow);
  CPPUNIT_TEST(AgentsBeforeTheFirstHeartbeatAreUnsure);
  CPPUNIT_TEST(AgentsWhoseUpstreamNeverCameDenyFlows);
  CPPUNIT_TEST(ResetsOfUnknownFlowsStayHere);
  CPPUNIT_TEST(BouncedProbesAreDenied);
  CPPUNIT_TEST(LateHeartbeatsChangeNothing);
  CPPUNIT_TEST(ReportsCountOpenFlowsAndRequests);
  CPPUNIT_TEST(LatenciesAreMeasured);
  CPPUNIT_TEST(SilentUpstreamsTakeNoFlows);
  CPPUNIT_TEST(FlowsAreRegisteredWithTheirHomes);
  CPPUNIT_TEST(RegistrationsAreConfirmed);
  CPPUNIT_TEST(HomesSpeakOnlyInAViewThatShowsThem);
  CPPUNIT_TEST_SUITE_END();

  platform::PacketCodec mCodec;
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

  void Prepare(std::uint64_t aSequence = 1, Milliseconds aCold = Milliseconds{0})
  {
    mAgent.OnConfiguration(TestRoutes(1, {"web"}));
    Heartbeat(aSequence, false, aCold);
  }

  void FromBalancer(PacketBytes aPacket, NodeMessageType aKind = NodeMessageType::Deliver)
  {
    mAgent.OnNodePacket(NodeEndpoint(9), {aKind, ReturnReason::None}, aPacket, mOutput, mNow);
  }

  void FromUpstream(PacketBytes aPacket) { mAgent.OnUpstreamPacket(aPacket, mOutput, mNow); }

  // The upstream gives back the newest packet that it was sent.
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
    CPPUNIT_ASSERT(header.mKind == NodeMessageType::Returned);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(aReason)), std::string(ToString(header.mReason)));
  }

  // The kind of answer to a query, and the holder it names.
  Endpoint AssertAnswer(NodeMessageType aExpected, NodeMessageType aQuery, const FlowKey& aFlow)
  {
    FromBalancer(FlowMessage{{}, {aFlow}}.Encode(), aQuery);
    const auto& sent = mOutput.mToNodes.back();
    CPPUNIT_ASSERT(sent.mHeader.mKind == aExpected);
    const auto message = FlowMessage::Decode(sent.mPacket);
    CPPUNIT_ASSERT(message && message.value().mFlows.front() == aFlow);
    return message.value().mHolder;
  }

  // Guards against a flow that no balancer finds after the fabric has moved it: its agent registers
  // it with two homes, again when the homes change, and a home answers for it.
  void FlowsAreRegisteredWithTheirHomes()
  {
    Prepare();
    std::vector<Member> members;
    for (unsigned node = 20; node < 26; ++node) {
      members.push_back(TestAgent(node, "web"));
    }
    mAgent.OnView(TestView(1, members), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    FromBalancer(CallerPacket(TestFlow(2), FlagSyn));
    mOutput.Clear();
    Open(1);
    CPPUNIT_ASSERT_EQUAL(FlowHomes::kHomes, Registrations());
    // Repeated until the homes have confirmed it.
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(2 * FlowHomes::kHomes, Registrations());
    ConfirmRegistrations();
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Registrations());
    members.pop_back();
    mAgent.OnView(TestView(2, members), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(FlowHomes::kHomes, Registrations());
    FromBalancer(FlowMessage{{}, {TestFlow(3)}}.Encode(), NodeMessageType::Register);
    CPPUNIT_ASSERT(AssertAnswer(NodeMessageType::Held, NodeMessageType::Query, TestFlow(3)) ==
                   NodeEndpoint(9));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryHeld, TestFlow(3));
    CPPUNIT_ASSERT(AssertAnswer(NodeMessageType::Held, NodeMessageType::QueryHeld, TestFlow(1)) ==
                   NodeEndpoint(kSelf));
  }

  std::size_t Registrations() const
  {
    return static_cast<std::size_t>(
      std::count_if(mOutput.mToNodes.begin(), mOutput.mToNodes.end(), [](const auto& aSent) {
        return aSent.mHeader.mKind == NodeMessageType::Register;
      }));
  }

  // The homes confirm all registrations that were sent to them.
  void ConfirmRegistrations()
  {
    auto sent = std::exchange(mOutput.mToNodes, {});
    for (auto& message : sent) {
      if (message.mHeader.mKind == NodeMessageType::Register) {
        mAgent.OnNodePacket(message.mNode, {NodeMessageType::RegisterAck, ReturnReason::None},
                            message.mPacket, mOutput, mNow);
      }
    }
  }

  // Guards against homes that speak for an agent although its registrations were lost: a balancer
  // would reset the flows.
  void RegistrationsAreConfirmed()
  {
    Prepare();
    std::vector<Member> members;
    for (unsigned node = 20; node < 26; ++node) {
      members.push_back(TestAgent(node, "web"));
    }
    FlowHomes homes;
    homes.Update(TestView(1, members));
    mAgent.OnView(TestView(1, members), 1);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(homes.Digest(), mAgent.Report(mNow).mRegisteredWith);
    Open(1);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(homes.Digest(), mAgent.Report(mNow).mRegisteredWith);
    mNow += Milliseconds{500};
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.Report(mNow).mRegisteredWith);
    ConfirmRegistrations();
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(homes.Digest(), mAgent.Report(mNow).mRegisteredWith);
    // A home restarts: it must confirm the flow again.
    for (Member& member : members) {
      member.mIncarnation = 2;
    }
    homes.Update(TestView(2, members));
    mAgent.OnView(TestView(2, members), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.Report(mNow).mRegisteredWith);
    mAgent.RegisterFlows(mOutput, mNow);
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, mAgent.Report(mNow).mRegisteredWith);
    ConfirmRegistrations();
    mAgent.RegisterFlows(mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(homes.Digest(), mAgent.Report(mNow).mRegisteredWith);
  }

  // Guards against a restarted home that denies flows which were registered with the process before
  // it, and against homes that speak for an agent which does not know its own flows.
  void HomesSpeakOnlyInAViewThatShowsThem()
  {
    Prepare();
    const std::vector<Member> members{TestAgent(kSelf, "web"), TestAgent(20, "web")};
    mAgent.OnView(TestView(1, members), 2);
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::Query, TestFlow(1));
    mAgent.OnView(TestView(2, members), 1);
    AssertAnswer(NodeMessageType::Unregistered, NodeMessageType::Query, TestFlow(1));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryHeld, TestFlow(1));
    PacketAgent restarted(Settings(), mCodec, mRegistry, kStart);
    restarted.OnView(TestView(1, members), 1);
    restarted.RegisterFlows(mOutput, mNow);
    restarted.OnUpstreamHeartbeat({"i-1", "web", false, {}, 4, 1'000, 7}, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, restarted.Report(mNow).mRegisteredWith);
  }

  // Guards against flows of another service after an address was reused, and against flows for an
  // upstream that was never heard of.
  void OpeningsNeedAnUpstreamAndARoute()
  {
    mAgent.OnConfiguration(TestRoutes(1, {"other"}));
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::NoUpstream);
    Heartbeat(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::WrongService);
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
    mAgent.OnConfiguration(TestRoutes(2, {"web"}));
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against new work for a leaving upstream and against cut flows on it.
  void DrainingUpstreamsKeepFlowsAndTakeNone()
  {
    Prepare();
    Establish(1);
    Heartbeat(2, true);
    FromBalancer(CallerPacket(TestFlow(2), FlagSyn));
    AssertReturned(ReturnReason::Draining);
    const std::size_t before = mOutput.mToUpstream.size();
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    CPPUNIT_ASSERT_EQUAL(before + 1, mOutput.mToUpstream.size());
    CPPUNIT_ASSERT(!mAgent.Report(mNow).mAccepts);
  }

  // Guards against flows for a data centre that is out, by balancers that do not know it yet.
  void DataCentreOutRefusesOpenings()
  {
    Prepare();
    Configuration configuration = TestRoutes(2, {"web"});
    configuration.mDataCentres["north"].mOutOfService = true;
    mAgent.OnConfiguration(configuration);
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Draining);
  }

  // Guards against a cold upstream that is opened more flows than it bears in any second.
  void ColdUpstreamsAreOpenedFewFlows()
  {
    Prepare(1, Milliseconds{5'000});
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

  // Guards against a crowd on an upstream that turned cold while its data centre was out.
  void ReturnedDataCentreIsColdUntilTheNextHeartbeat()
  {
    Prepare();
    Configuration configuration = TestRoutes(2, {"web"});
    configuration.mDataCentres["north"].mOutOfService = true;
    mAgent.OnConfiguration(configuration);
    configuration.mRevision = 3;
    configuration.mDataCentres["north"].mOutOfService = false;
    mAgent.OnConfiguration(configuration);
    CPPUNIT_ASSERT(mAgent.Report(mNow).mCold);
    Heartbeat(2);
    CPPUNIT_ASSERT(!mAgent.Report(mNow).mCold);
  }

  // Guards against twice the cold limit in one second when the agent is killed and restarts.
  void RestartedAgentCountsNoOpeningsAsAllowed()
  {
    Prepare(7, Milliseconds{5'000});
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    AssertReturned(ReturnReason::Cold);
    mNow += Milliseconds{1'200};
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against copies of an opening packet that all go to a dead upstream.
  void UnansweredOpeningsGoElsewhere()
  {
    Prepare();
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn));
    mNow += Milliseconds{200};
    FromBalancer(CallerPacket(TestFlow(1), FlagSyn, 1, 1));
    AssertReturned(ReturnReason::Unresponsive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
  }

  // Guards against broken flows after a restart of the agent beside a live upstream.
  void RestartedAgentDeliversFlowsItDoesNotKnow()
  {
    Prepare(7);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5, 10));
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 5, 5, 10), NodeMessageType::DeliverIfHeld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, mOutput.mToUpstream.size());
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck));
    // The balancer learns at once that the probe has found the flow.
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mKind == NodeMessageType::Held);
    mOutput.mToNodes.clear();
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck, 2, 100));
    CPPUNIT_ASSERT(mOutput.mToNodes.empty());
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 15, 5, 10), NodeMessageType::DeliverIfHeld);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mKind == NodeMessageType::Held);
  }

  // Guards against a search that never ends.
  void CompleteTablesDenyUnknownFlows()
  {
    Prepare(1);
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryHeld, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5));
    AssertReturned(ReturnReason::NotHeld);
    CPPUNIT_ASSERT(mOutput.mToUpstream.empty());
  }

  // Guards against the loss of an opening packet that a full upstream gave back, and against marks
  // of the bounce that the next upstream would see.
  void BouncedOpeningsAreReturned()
  {
    Prepare();
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagSyn);
    FromBalancer(packet);
    Bounce();
    AssertReturned(ReturnReason::Refused);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mPacket == packet);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, mAgent.Report(mNow).mFlows);
  }

  // Guards against callers that wait on a flow which its upstream lost in a restart.
  void LostEstablishedFlowsAreReset()
  {
    Prepare();
    Establish(1);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against the reset of a new flow at another upstream: its caller uses the port of an
  // earlier flow, and a balancer that remembers that one sends its packets here.
  void ReusedPortsAreNotTakenForTheOldFlow()
  {
    Prepare();
    Establish(1);
    constexpr std::uint32_t kOtherSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kOtherSequence, 7, 100));
    Bounce();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    AssertReturned(ReturnReason::NotHeld);
  }

  // Guards against a denial by an agent that has just restarted beside a live upstream, and against
  // flows that are not found until the upstream's next heartbeat.
  void AgentsBeforeTheFirstHeartbeatAreUnsure()
  {
    AssertAnswer(NodeMessageType::Unsure, NodeMessageType::Query, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5, 10), NodeMessageType::DeliverIfHeld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.mToUpstream.size());
    Heartbeat(7);
    AssertAnswer(NodeMessageType::Unsure, NodeMessageType::Query, TestFlow(1));
  }

  // Guards against searches that never end: the machine of a removed upstream lost power and
  // started again, and its agent waits for heartbeats that never come.
  void AgentsWhoseUpstreamNeverCameDenyFlows()
  {
    mNow += std::chrono::seconds(4);
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::Query, TestFlow(1));
    AssertAnswer(NodeMessageType::NotFound, NodeMessageType::QueryHeld, TestFlow(1));
    // A sign of life: the upstream may hold flows of before the agent's start.
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck));
    AssertAnswer(NodeMessageType::Unsure, NodeMessageType::QueryHeld, TestFlow(1));
  }

  // Guards against the reset of a flow by an upstream that only saw a probe of it.
  void ResetsOfUnknownFlowsStayHere()
  {
    Prepare(7);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5), NodeMessageType::DeliverIfHeld);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    Establish(2);
    FromUpstream(UpstreamPacket(TestFlow(2), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
  }

  // Guards against a flow that counts as held because a restarted agent delivered its packet.
  void BouncedProbesAreDenied()
  {
    Prepare(7);
    AssertAnswer(NodeMessageType::Unsure, NodeMessageType::Query, TestFlow(1));
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5), NodeMessageType::DeliverIfHeld);
    Bounce();
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mKind == NodeMessageType::NotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
  }

  // Guards against a heartbeat of an earlier start that arrives after its successor's.
  void LateHeartbeatsChangeNothing()
  {
    Prepare(5);
    CPPUNIT_ASSERT(Heartbeat(4, true) == HeartbeatOutcome::Late);
    CPPUNIT_ASSERT(Heartbeat(9, true, Milliseconds{0}, 500) == HeartbeatOutcome::Late);
    CPPUNIT_ASSERT(mAgent.Report(mNow).mAccepts);
    // The same id after a restart: its counts start anew.
    CPPUNIT_ASSERT(Heartbeat(1, false, Milliseconds{0}, 2'000) == HeartbeatOutcome::Accepted);
    CPPUNIT_ASSERT(mAgent.OnUpstreamHeartbeat({"i-2", "other", false, {}, 4, 9'000, 1}, mNow) ==
                   HeartbeatOutcome::WrongService);
  }

  // Guards against a load report that drifts: closed flows and answered requests must not count.
  void ReportsCountOpenFlowsAndRequests()
  {
    Prepare();
    Establish(1);
    Open(2);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100));
    LoadReport report = mAgent.Report(mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, report.mFlows);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, report.mRequests);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100)); // a retransmission
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck, 2, 300));
    FromBalancer(CallerPacket(TestFlow(2), FlagAck, 2, 2, 100)); // a late copy
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, mAgent.Report(mNow).mRequests);
    FromBalancer(CallerPacket(TestFlow(2), FlagAck | FlagFin, 102, 302));
    FromUpstream(UpstreamPacket(TestFlow(2), FlagAck | FlagFin, 302));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, mAgent.Report(mNow).mFlows);
    mNow += std::chrono::seconds(60);
    mAgent.OnTick(mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, mAgent.Report(mNow).mFlows);
  }

  // Guards against metrics that do not show a slow upstream.
  void LatenciesAreMeasured()
  {
    Prepare();
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

  // Guards against new flows for an upstream that crashed and says nothing any more.
  void SilentUpstreamsTakeNoFlows()
  {
    Prepare();
    CPPUNIT_ASSERT(mAgent.Report(mNow).mAccepts);
    mNow += std::chrono::seconds(4);
    CPPUNIT_ASSERT(!mAgent.Report(mNow).mAccepts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketAgentTest);

} // namespace

} // namespace dandelionslip
