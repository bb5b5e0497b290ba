// Tests of the log lines of a packet agent's resets and denials.
#include "PacketFixtures.h"
#include "Support/CapturedLog.h"

#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"
#include "dandelionslip/Support/LineWriter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kFlagsOffset = 8;

class PacketAgentLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketAgentLogTest);
  CPPUNIT_TEST(ResetsOfLostFlowsSayWhatDecided);
  CPPUNIT_TEST(ResetsPassedOnAreLogged);
  CPPUNIT_TEST(DroppedResetsAreLogged);
  CPPUNIT_TEST(DenialsOfIdleFlowsSayWhyTheyWereRemoved);
  CPPUNIT_TEST(DenialsAfterAnUnexpectedSequenceAreCounted);
  CPPUNIT_TEST(DenialsOfUnknownFlowsAreOnlyCounted);
  CPPUNIT_TEST(ClosedFlowsDoNotDisplaceOtherRemovals);
  CPPUNIT_TEST_SUITE_END();

  std::optional<CapturedLog> mLog; ///< Only during a test: all fixtures exist from the start.
  platform::PlatformPacketCodec mCodec;
  MetricsRegistry mRegistry;
  RecordingOutput mOutput;
  TimePoint mNow = kStart;
  PacketAgent mAgent{Settings(), mCodec, mRegistry, kStart};

public:
  void setUp() override { mLog.emplace(); }
  void tearDown() override { mLog.reset(); }

private:
  static PacketAgentSettings Settings()
  {
    PacketAgentSettings settings;
    settings.mService = "web";
    settings.mDataCentre = "north";
    settings.mEndpoint = NodeEndpoint(30);
    return settings;
  }

  // If aSequence is greater than 1, the agent has restarted while the upstream ran.
  void ApplyRoutesAndHeartbeat(std::uint64_t aSequence = 1)
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    if (aSequence == 1) {
      mAgent.OnConnectionRefused(); // The upstream starts after the agent.
    }
    mAgent.OnUpstreamHeartbeat({"i-1", "web", false, Milliseconds{0}, 4, 1'000, aSequence}, mNow);
  }

  void FromBalancer(PacketBytes aPacket, NodeMessageType aType = NodeMessageType::Deliver)
  {
    mAgent.OnNodePacket(NodeEndpoint(9), {aType, ReturnReason::None}, aPacket, mOutput, mNow);
  }

  void FromUpstream(PacketBytes aPacket) { mAgent.OnUpstreamPacket(aPacket, mOutput, mNow); }

  void Query(std::uint16_t aCaller)
  {
    FromBalancer(FlowMessage{{}, {TestFlow(aCaller)}}.Encode(), NodeMessageType::QueryLocal);
  }

  void Establish(std::uint16_t aCaller)
  {
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagSyn));
    FromUpstream(UpstreamPacket(TestFlow(aCaller), FlagSyn | FlagAck));
    FromBalancer(CallerPacket(TestFlow(aCaller), FlagAck, 2, 2, 100));
    FromUpstream(UpstreamPacket(TestFlow(aCaller), FlagAck, 2, 200));
  }

  std::uint64_t Denied(const std::string& aRemoved)
  {
    return mRegistry.CounterFor("dandelionslip_flows_denied_total", "removed=\"" + aRemoved + "\"")
      .Value();
  }

  // Checks that exactly one line of the event was written and that it ends in these pairs.
  void AssertLine(std::string_view aEvent, const std::string& aPairs)
  {
    const auto lines = mLog->Lines(aEvent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    const std::size_t pairs = lines.front().find(" flow=");
    CPPUNIT_ASSERT(pairs != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(aPairs, lines.front().substr(pairs + 1));
    CPPUNIT_ASSERT(lines.front().size() < LineWriter::kMaxLineBytes);
  }

  void ResetsOfLostFlowsSayWhatDecided()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    mNow += Milliseconds{300};
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 102, 202, 100));
    PacketBytes packet = mOutput.mToUpstream.back();
    packet[kFlagsOffset] |= FlagBounced;
    mNow += Milliseconds{2};
    FromUpstream(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    AssertLine("flow_reset", "flow=" + ToString(TestFlow(1)) +
                               " reason=upstream_lost_it bounce_ms=2 known_ms=302"
                               " known_by=opening established=true delivered_age_ms=2"
                               " answered_age_ms=302 caller_ended=false upstream_ended=false"
                               " pending=true upstream=i-1 started_ms=1000 heartbeat_age_ms=302"
                               " agent_age_ms=302 complete=true routes=1 view=0");
  }

  void ResetsPassedOnAreLogged()
  {
    ApplyRoutesAndHeartbeat(7);
    FromUpstream(UpstreamPacket(TestFlow(1), FlagAck, 2, 200));
    mNow += Milliseconds{10};
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mOutput.Resets());
    AssertLine("upstream_reset",
               "flow=" + ToString(TestFlow(1)) +
                 " known_ms=10 known_by=upstream_packet established=true delivered_age_ms=-1"
                 " answered_age_ms=10 caller_ended=false upstream_ended=false pending=false"
                 " upstream=i-1 started_ms=1000 heartbeat_age_ms=10 agent_age_ms=10"
                 " complete=false routes=1 view=0");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         mRegistry.CounterFor("dandelionslip_upstream_resets_total").Value());
  }

  void DroppedResetsAreLogged()
  {
    ApplyRoutesAndHeartbeat(7);
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, 5, 5), NodeMessageType::Probe);
    mNow += Milliseconds{3};
    FromUpstream(UpstreamPacket(TestFlow(1), FlagRst));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mOutput.Resets());
    AssertLine("probe_reset", "flow=" + ToString(TestFlow(1)) +
                                " probe_age_ms=3 removed=unknown removed_age_ms=-1 upstream=i-1"
                                " started_ms=1000 heartbeat_age_ms=3 agent_age_ms=3"
                                " complete=false routes=1 view=0");
  }

  void DenialsOfIdleFlowsSayWhyTheyWereRemoved()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    mNow += std::chrono::seconds(30);
    mAgent.OnTick(mNow);
    mNow += Milliseconds{50};
    Query(1);
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mType == NodeMessageType::NotFound);
    AssertLine("flow_denied",
               "flow=" + ToString(TestFlow(1)) +
                 " answer=not_found to=" + NodeEndpoint(9).ToString() +
                 " removed=idle removed_age_ms=50 used_age_ms=30050 known_ms=30000"
                 " established=true upstream=i-1 started_ms=1000 heartbeat_age_ms=30050"
                 " agent_age_ms=30050 complete=true routes=1 view=0");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Denied("idle"));
  }

  // The flow stays in the table, so no removal explains the denial.
  void DenialsAfterAnUnexpectedSequenceAreCounted()
  {
    ApplyRoutesAndHeartbeat();
    Establish(1);
    constexpr std::uint32_t kOtherSequence = 0x40000000;
    FromBalancer(CallerPacket(TestFlow(1), FlagAck, kOtherSequence, 7, 100));
    CPPUNIT_ASSERT(mOutput.mToNodes.back().mHeader.mReason == ReturnReason::NotHeld);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Denied("unknown"));
    CPPUNIT_ASSERT(mLog->Lines("flow_denied").empty());
  }

  // Guards against a line for each agent that a balancer asks in vain.
  void DenialsOfUnknownFlowsAreOnlyCounted()
  {
    ApplyRoutesAndHeartbeat();
    Query(1);
    CPPUNIT_ASSERT(mLog->Lines("flow_denied").empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Denied("unknown"));
  }

  void ClosedFlowsDoNotDisplaceOtherRemovals()
  {
    RemovedFlows removed;
    removed.Add({TestFlow(1), RemovalReason::Opening, true, kStart, kStart, kStart});
    for (std::uint16_t caller = 2; caller < 2'000; ++caller) {
      removed.Add({TestFlow(caller), RemovalReason::Closed, true, kStart, kStart, kStart});
    }
    CPPUNIT_ASSERT(removed.Find(TestFlow(1)) != nullptr);
    CPPUNIT_ASSERT(removed.Find(TestFlow(2)) == nullptr);
    CPPUNIT_ASSERT(removed.Find(TestFlow(1'999)) != nullptr);
    removed.Add(
      {TestFlow(1), RemovalReason::Closed, true, kStart, kStart, kStart + std::chrono::seconds(1)});
    CPPUNIT_ASSERT(removed.Find(TestFlow(1))->mReason == RemovalReason::Closed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketAgentLogTest);

} // namespace

} // namespace dandelionslip
