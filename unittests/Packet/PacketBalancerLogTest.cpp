// Tests of the log lines of a packet balancer's resets.
#include "PacketFixtures.h"
#include "Support/CapturedLog.h"

#include "dandelionslip/Packet/PacketBalancer.h"
#include "dandelionslip/Support/LineWriter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Milliseconds kSettled{1'500};

class PacketBalancerLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketBalancerLogTest);
  CPPUNIT_TEST(ResetsNameTheAgentsThatDeniedTheFlow);
  CPPUNIT_TEST(ResetsCountTheAgentsThatTheDirectoryRuledOut);
  CPPUNIT_TEST(RefusedOpeningsNameTheAgentsThatReturnedThem);
  CPPUNIT_TEST(OpeningsThatNoAgentHasRoomForAreLoggedAsSuch);
  CPPUNIT_TEST(RefusalsWithoutAnswersAreLogged);
  CPPUNIT_TEST(LinesOfResetsByManyAgentsAreBounded);
  CPPUNIT_TEST_SUITE_END();

  std::optional<CapturedLog> mLog; ///< Only during a test: all fixtures exist from the start.
  platform::PlatformPacketCodec mCodec;
  MetricsRegistry mRegistry;
  RecordingOutput mOutput;
  TimePoint mNow = kStart;
  PacketBalancer mBalancer{{}, mCodec, mRegistry, Random(1)};
  DirectoryAgents mDirectoryAgents;

public:
  void setUp() override { mLog.emplace(); }
  void tearDown() override { mLog.reset(); }

private:
  void Send(PacketBytes aPacket) { mBalancer.OnCallerPacket(aPacket, mOutput, mNow); }

  void Report(unsigned aNode, std::uint64_t aConfirmedDigest = 0)
  {
    LoadReport report;
    report.mService = "web";
    report.mDataCentre = "north";
    report.mAccepts = true;
    report.mSlots = 4;
    report.mConfirmedAgentsDigest = aConfirmedDigest;
    Bytes bytes = report.Encode();
    mBalancer.OnNodePacket(NodeEndpoint(aNode), {NodeMessageType::LoadReport, ReturnReason::None},
                           bytes, mOutput, mNow);
  }

  void Return(unsigned aNode, ReturnReason aReason, PacketBytes aPacket)
  {
    mBalancer.OnNodePacket(NodeEndpoint(aNode), {NodeMessageType::Returned, aReason}, aPacket,
                           mOutput, mNow);
  }

  void Answer(const Endpoint& aAgent, NodeMessageType aType)
  {
    auto bytes =
      FlowMessage{
        {}, {TestFlow(1)}, mDirectoryAgents.Digest(), mOutput.NumberForAnswer(aAgent, TestFlow(1))}
        .Encode();
    mBalancer.OnNodePacket(aAgent, {aType, ReturnReason::None}, bytes, mOutput, mNow);
  }

  void AnswerNotRegistered()
  {
    for (const Endpoint& agent : mDirectoryAgents.AgentsFor(TestFlow(1))) {
      Answer(agent, NodeMessageType::NotRegistered);
    }
  }

  // Agents of "web", nodes 1 to aAgents, in view 1; kSettled later.
  void Settle(unsigned aAgents)
  {
    std::vector<Member> members;
    for (unsigned node = 1; node <= aAgents; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    const View view = TestView(1, members);
    mDirectoryAgents.Update(view);
    mBalancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    mNow += kSettled;
  }

  std::uint64_t ResetsBy(const std::string& aReason)
  {
    return mRegistry.CounterFor("dandelionslip_flows_reset_total", "reason=\"" + aReason + "\"")
      .Value();
  }

  // The only line of the event, from its flow on.
  std::string Line(std::string_view aEvent)
  {
    const auto lines = mLog->Lines(aEvent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines.front().size() < LineWriter::kMaxLineBytes);
    return lines.front().substr(lines.front().find(" flow=") + 1);
  }

  // Guards against openings that end without a reset, a count or a line.
  void RefusalsWithoutAnswersAreLogged()
  {
    for (const bool restarted : {false, true}) {
      mLog.emplace();
      Settle(2);
      FlowKey flow = TestFlow(1);
      ++flow.mServicePort;
      Send(CallerPacket(flow, FlagSyn, 1, 2));
      if (restarted) {
        // The answer has the number of the query.
        auto bytes = mOutput.mToNodes.back().mPacket;
        mBalancer.OnNodePacket(NodeEndpoint(1), {NodeMessageType::ProbeNeeded, ReturnReason::None},
                               bytes, mOutput, mNow);
      }
      mNow += Milliseconds{310};
      mBalancer.OnTick(mOutput, mNow);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
      const std::string line = Line("refusal_dropped");
      const std::string expected =
        std::string("copy=2 reason=no_route dropped_for=") + (restarted ? "unsure" : "no_answer");
      CPPUNIT_ASSERT_MESSAGE(line, line.find(expected) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(line, line.find("waited_ms=310 unanswered=2") != std::string::npos);
    }
  }

  void ResetsNameTheAgentsThatDeniedTheFlow()
  {
    Settle(2);
    Report(1);
    Report(2);
    const PacketBytes packet = CallerPacket(TestFlow(1), FlagAck, 7, 9, 50);
    Send(packet);
    mNow += Milliseconds{2};
    Answer(NodeEndpoint(1), NodeMessageType::NotFound);
    mNow += Milliseconds{3};
    Answer(NodeEndpoint(2), NodeMessageType::NotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(
      "flow=" + ToString(TestFlow(1)) + " reason=not_found known_ms=5 search_ms=5 ruled_out=" +
        NodeEndpoint(1).ToString() + "/not_found/3," + NodeEndpoint(2).ToString() +
        "/not_found/0 covered=0 covered_report_age_ms=0 directory=" +
        std::to_string(mDirectoryAgents.Digest()) + " agents=2 routes=1 view=1 view_age_ms=1505",
      Line("flow_reset"));
    CPPUNIT_ASSERT(mLog->Lines("flow_refused").empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ResetsBy("denied"));
  }

  void ResetsCountTheAgentsThatTheDirectoryRuledOut()
  {
    Settle(20);
    for (unsigned node = 1; node <= 20; ++node) {
      Report(node, mDirectoryAgents.Digest());
    }
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    AnswerNotRegistered();
    for (int i = 0; i < 2; ++i) {
      mNow += Milliseconds{100};
      for (unsigned node = 1; node <= 20; ++node) {
        Report(node, mDirectoryAgents.Digest());
      }
    }
    mNow += Milliseconds{40};
    AnswerNotRegistered();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    const std::string line = Line("flow_reset");
    CPPUNIT_ASSERT(line.find(" search_ms=240 ") != std::string::npos);
    CPPUNIT_ASSERT(line.find("/not_registered/0,") != std::string::npos);
    CPPUNIT_ASSERT(line.find(" covered=18 covered_report_age_ms=40 ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ResetsBy("not_registered"));
  }

  void RefusedOpeningsNameTheAgentsThatReturnedThem()
  {
    Settle(1);
    Report(1);
    const PacketBytes opening = CallerPacket(TestFlow(1), FlagSyn);
    Send(opening);
    mNow += Milliseconds{4};
    Return(1, ReturnReason::Refused, opening);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT_EQUAL(
      "flow=" + ToString(TestFlow(1)) +
        " copy=0 reason=no_upstream waited_ms=4 returned_by=" + NodeEndpoint(1).ToString() +
        "/opening_refused/0 candidates=1 silent=0 declining=0 cold=0 routes=1"
        " view=1 view_age_ms=1504 agents=1 waiting=0",
      Line("flow_refused"));
    CPPUNIT_ASSERT(mLog->Lines("flow_reset").empty());
  }

  // Guards against a line that gives another reason than the counter: operators would look for
  // missing upstreams where all are busy.
  void OpeningsThatNoAgentHasRoomForAreLoggedAsSuch()
  {
    Settle(1);
    mBalancer.OnRouteTerms({1, {{"198.18.0.1:443", false, Milliseconds{200}}}});
    LoadReport report;
    report.mService = "web";
    report.mDataCentre = "north";
    report.mAccepts = true;
    // Too slow for the route's timeout, so that the opening does not wait.
    report.mMilliRequestsPerSlotSecond = 1;
    report.mDetails.emplace().mOneRequestPerFlow = true;
    Bytes bytes = report.Encode();
    mBalancer.OnNodePacket(NodeEndpoint(1), {NodeMessageType::LoadReport, ReturnReason::None},
                           bytes, mOutput, mNow);
    const PacketBytes opening = CallerPacket(TestFlow(1), FlagSyn);
    Send(opening);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::LastOffer);
    Return(1, ReturnReason::Busy, opening);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{1},
      mRegistry.CounterFor("dandelionslip_flows_refused_total", "reason=\"no_room\"").Value());
    const std::string line = Line("flow_refused");
    CPPUNIT_ASSERT_MESSAGE(line, line.find(" reason=no_room ") != std::string::npos);
  }

  // Guards against a reset whose line is truncated because many agents were asked.
  void LinesOfResetsByManyAgentsAreBounded()
  {
    constexpr unsigned kAgents = 250;
    Settle(kAgents);
    Send(CallerPacket(TestFlow(1), FlagAck, 7, 9, 50));
    for (int round = 0; round < 2; ++round) {
      for (unsigned node = 1; node <= kAgents; ++node) {
        Answer(NodeEndpoint(node), NodeMessageType::NotFound);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    CPPUNIT_ASSERT(Line("flow_reset").ends_with(" view=1 view_age_ms=1500"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketBalancerLogTest);

} // namespace

} // namespace dandelionslip
