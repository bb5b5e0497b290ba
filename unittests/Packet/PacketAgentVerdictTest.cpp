// Tests of what PacketAgent reports to its failure detector, and of its use of the verdict.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/PacketAgent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Milliseconds kCheckInterval{250};
constexpr Milliseconds kRun{13};
constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kManySlots = 16;
constexpr std::uint16_t kAnswerBytes = 1'000;
constexpr unsigned kNorth = 9; // Balancers.
constexpr unsigned kSouth = 10;

class PacketAgentVerdictTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketAgentVerdictTest);
  CPPUNIT_TEST(UpstreamsThatAnswerNothingGetOnlyTrials);
  CPPUNIT_TEST(SlowUpstreamsWithAllSlotsBusyAreNotFailing);
  CPPUNIT_TEST(ResetsByAFullUpstreamAreNoFailures);
  CPPUNIT_TEST(RequestsOfAnEarlierStartAreNoFailures);
  CPPUNIT_TEST(AnswersThatAFrozenAgentHasNotReadAreNoFailures);
  CPPUNIT_TEST(CopiesThatAFrozenBalancerForwardsAtOnceAreNoFailures);
  CPPUNIT_TEST(FailuresTowardsOneDataCentreLeaveCallersOfOthers);
  CPPUNIT_TEST(AnswersToRequestsFromBeforeTheVerdictAreNoTrials);
  CPPUNIT_TEST_SUITE_END();

  platform::PlatformPacketCodec mCodec;
  MetricsRegistry mRegistry;
  RecordingOutput mOutput;
  TimePoint mNow = kStart;
  PacketAgent mAgent{Settings(), mCodec, mRegistry, kStart};
  std::uint16_t mCallers = 0;
  std::uint64_t mHeartbeats = 0;

  static PacketAgentSettings Settings()
  {
    PacketAgentSettings settings;
    settings.mService = "web";
    settings.mDataCentre = "north";
    settings.mHealthMayBeWrong = true;
    return settings;
  }

  static Member Balancer(unsigned aNode, const std::string& aDataCentre)
  {
    Member member;
    member.mName = "balancer-" + std::to_string(aNode);
    member.mKind = MemberKind::Balancer;
    member.mDataCentre = aDataCentre;
    member.mDatagramEndpoint = NodeEndpoint(aNode).ToString();
    return member;
  }

  void Heartbeat(std::uint32_t aSlots, std::int64_t aStarted = 1'000)
  {
    mAgent.OnUpstreamHeartbeat({"i-1", "web", false, {}, aSlots, aStarted, ++mHeartbeats}, mNow);
  }

  void FromBalancer(unsigned aNode, NodeMessageType aType, PacketBytes aPacket)
  {
    mAgent.OnNodePacket(NodeEndpoint(aNode), {aType, ReturnReason::None}, aPacket, mOutput, mNow);
  }

  void FromUpstream(PacketBytes aPacket) { mAgent.OnUpstreamPacket(aPacket, mOutput, mNow); }

  // A request on a new flow, which the upstream has accepted.
  FlowKey Request(unsigned aBalancer = kNorth)
  {
    const FlowKey flow = TestFlow(++mCallers);
    FromBalancer(aBalancer, NodeMessageType::Deliver, CallerPacket(flow, FlagSyn));
    FromUpstream(UpstreamPacket(flow, FlagSyn | FlagAck));
    FromBalancer(aBalancer, NodeMessageType::Deliver, CallerPacket(flow, FlagAck, 2, 2, 100));
    return flow;
  }

  // The answer ends the flow.
  void Answer(const FlowKey& aFlow, unsigned aBalancer = kNorth)
  {
    FromUpstream(UpstreamPacket(aFlow, FlagAck | FlagFin, 2, kAnswerBytes));
    FromBalancer(aBalancer, NodeMessageType::Deliver, CallerPacket(aFlow, FlagAck | FlagFin, 102));
  }

  void Reset(const FlowKey& aFlow) { FromUpstream(UpstreamPacket(aFlow, FlagRst, 2)); }

  // The upstream has answered requests for a while.
  void Serve(std::uint32_t aSlots)
  {
    mAgent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    mAgent.OnRouteTerms({1, {{"198.18.0.1:443", true, Milliseconds{200}}}});
    mAgent.OnView(TestView(1, {Balancer(kNorth, "north"), Balancer(kSouth, "south")}), 1);
    Heartbeat(aSlots);
    for (int i = 0; i < 40; ++i) {
      const FlowKey flow = Request();
      mNow += kRun;
      Answer(flow);
    }
    mAgent.CheckUnanswered(mNow);
  }

  void Advance(Milliseconds aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      mNow += kCheckInterval;
      mAgent.CheckUnanswered(mNow);
    }
  }

  // Whether an opening that is offered is returned because the upstream fails.
  bool IsFailingFor(unsigned aBalancer)
  {
    mOutput.Clear();
    FromBalancer(aBalancer, NodeMessageType::LastOffer,
                 CallerPacket(TestFlow(++mCallers), FlagSyn));
    return !mOutput.mToNodes.empty() &&
           mOutput.mToNodes.back().mHeader.mReason == ReturnReason::Failing;
  }

  std::uint64_t Failures(FlowFailure aFailure)
  {
    return mRegistry
      .CounterFor("dandelionslip_flow_failures_total",
                  "reason=\"" + std::string(ToString(aFailure)) + "\"")
      .Value();
  }

  // Guards against an upstream that hangs and keeps getting flows: its slots are taken by requests
  // that it never answers, so the later ones find no free slot.
  void UpstreamsThatAnswerNothingGetOnlyTrials()
  {
    Serve(kSlots);
    for (int i = 0; i < 6; ++i) {
      Request();
    }
    Advance(Milliseconds{500});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, Failures(FlowFailure::Overdue));
    CPPUNIT_ASSERT(IsFailingFor(kNorth));
  }

  // Guards against a verdict on an upstream that is only busy: a queue of four times its slots with
  // requests that take three times as long as usual.
  void SlowUpstreamsWithAllSlotsBusyAreNotFailing()
  {
    Serve(kSlots);
    std::vector<FlowKey> flows;
    for (std::uint32_t i = 0; i < 5 * kSlots; ++i) {
      flows.push_back(Request());
    }
    for (std::size_t i = 0; i < flows.size(); ++i) {
      mNow += i % kSlots == 0 ? 3 * kRun : Milliseconds{0};
      Answer(flows[i]);
      mAgent.CheckUnanswered(mNow);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Failures(FlowFailure::Overdue));
    CPPUNIT_ASSERT(!IsFailingFor(kNorth));
  }

  // Guards against a verdict on an upstream that is only busy and has more connections than it can
  // hold.
  void ResetsByAFullUpstreamAreNoFailures()
  {
    Serve(kSlots);
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      Request();
    }
    for (int i = 0; i < 10; ++i) {
      Reset(Request());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Failures(FlowFailure::Reset));
  }

  // Guards against a verdict on a process of the upstream that has just started, from requests that
  // ended with the process before it.
  void RequestsOfAnEarlierStartAreNoFailures()
  {
    Serve(kManySlots);
    for (int i = 0; i < 6; ++i) {
      Request();
    }
    mNow += kCheckInterval;
    Heartbeat(kManySlots, 2'000);
    Advance(Milliseconds{1'500});
    // A failing upstream would accept the first one as a trial.
    CPPUNIT_ASSERT(!IsFailingFor(kNorth));
    CPPUNIT_ASSERT(!IsFailingFor(kNorth));
  }

  // Guards against a verdict on a healthy upstream whose agent stood still: the answers are in the
  // receive queue when the overdue check is done.
  void AnswersThatAFrozenAgentHasNotReadAreNoFailures()
  {
    Serve(kManySlots);
    const std::vector<FlowKey> flows{Request(), Request(), Request(), Request(), Request()};
    mNow += Milliseconds{1'200};
    mAgent.CheckUnanswered(mNow);
    for (const FlowKey& flow : flows) {
      Answer(flow);
    }
    CPPUNIT_ASSERT(!IsFailingFor(kNorth));
    // Openings of which the caller's copy is read before the upstream's answer.
    mNow += Milliseconds{1'200};
    const std::uint16_t first = mCallers;
    for (std::uint16_t i = 1; i <= 6; ++i) {
      FromBalancer(kNorth, NodeMessageType::Deliver, CallerPacket(TestFlow(first + i), FlagSyn));
    }
    mNow += Milliseconds{1'200};
    for (std::uint16_t i = 1; i <= 6; ++i) {
      FromBalancer(kNorth, NodeMessageType::Deliver,
                   CallerPacket(TestFlow(first + i), FlagSyn, 1, 1));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Failures(FlowFailure::OpeningUnanswered));
  }

  // Guards against a verdict on a healthy upstream after a balancer stood still: it forwards an
  // opening packet and its copy at once, and the upstream had no time to answer.
  void CopiesThatAFrozenBalancerForwardsAtOnceAreNoFailures()
  {
    Serve(kManySlots);
    for (std::uint16_t caller = 1'000; caller < 1'006; ++caller) {
      FromBalancer(kNorth, NodeMessageType::Deliver, CallerPacket(TestFlow(caller), FlagSyn));
      mNow += Milliseconds{1};
      FromBalancer(kNorth, NodeMessageType::Deliver, CallerPacket(TestFlow(caller), FlagSyn, 1, 1));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Failures(FlowFailure::OpeningUnanswered));
    CPPUNIT_ASSERT(!IsFailingFor(kNorth));
    // The upstream had time.
    const FlowKey flow = TestFlow(2'000);
    FromBalancer(kNorth, NodeMessageType::Deliver, CallerPacket(flow, FlagSyn));
    mNow += Milliseconds{200};
    FromBalancer(kNorth, NodeMessageType::Deliver, CallerPacket(flow, FlagSyn, 1, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Failures(FlowFailure::OpeningUnanswered));
  }

  // Guards against an upstream that resets only the callers of one data centre and is left out for
  // all.
  void FailuresTowardsOneDataCentreLeaveCallersOfOthers()
  {
    Serve(kManySlots);
    for (int i = 0; i < 8; ++i) {
      Reset(Request(kSouth));
      const FlowKey flow = Request(kNorth);
      mNow += kRun;
      Answer(flow);
    }
    CPPUNIT_ASSERT(IsFailingFor(kSouth));
    CPPUNIT_ASSERT(!IsFailingFor(kNorth));
    // Each balancer gets the verdict for its own callers, so that EjectionPolicy bounds both.
    LoadDetails details;
    mAgent.SetVerdictFor(NodeEndpoint(kSouth), details, mNow);
    CPPUNIT_ASSERT(details.mVerdict == UpstreamVerdict::Failing);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, details.mAdmittedPermille);
    mAgent.SetVerdictFor(NodeEndpoint(kNorth), details, mNow);
    CPPUNIT_ASSERT(details.mVerdict == UpstreamVerdict::Healthy);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1'000}, details.mAdmittedPermille);
  }

  // Guards against an upstream that fails part of its requests and returns at once, because
  // requests that it got before the verdict are counted as answered trials.
  void AnswersToRequestsFromBeforeTheVerdictAreNoTrials()
  {
    Serve(kManySlots);
    std::vector<FlowKey> flows(10);
    std::generate(flows.begin(), flows.end(), [this] { return Request(); });
    mNow += kRun;
    for (std::size_t i = 0; i < flows.size(); ++i) {
      if (i < 4) {
        Reset(flows[i]);
      } else {
        Answer(flows[i]);
      }
    }
    // A returning upstream accepts one opening in four.
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT(IsFailingFor(kNorth));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketAgentVerdictTest);

} // namespace

} // namespace dandelionslip
