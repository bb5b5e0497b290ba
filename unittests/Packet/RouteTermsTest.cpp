// Tests of the use of route terms by PacketBalancer and PacketAgent.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/PacketAgent.h"
#include "dandelionslip/Packet/PacketBalancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Milliseconds kSettled{1'500};
constexpr unsigned kFailingNode = 1;

RouteTerms Terms(std::uint64_t aVersion, bool aRepeatable)
{
  return {aVersion, {{"198.18.0.1:443", aRepeatable, Milliseconds{200}}}};
}

class RouteTermsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RouteTermsTest);
  CPPUNIT_TEST(BalancersTryFailingUpstreamsOnlyByTermsOfTheRoutesInForce);
  CPPUNIT_TEST(AgentsAdmitTrialsOnlyByTermsOfTheRoutesInForce);
  CPPUNIT_TEST_SUITE_END();

  platform::PlatformPacketCodec mCodec;
  MetricsRegistry mRegistry;
  RecordingOutput mOutput;
  TimePoint mNow = kStart;
  std::uint16_t mCaller = 0;

  void Report(PacketBalancer& aBalancer, unsigned aNode)
  {
    LoadReport report;
    report.mService = "web";
    report.mDataCentre = "north";
    report.mAccepts = true;
    report.mSlots = 4;
    LoadDetails& details = report.mDetails.emplace();
    details.mOneRequestPerFlow = true;
    if (aNode == kFailingNode) {
      details.mVerdict = UpstreamVerdict::Failing;
      details.mVerdictAge = Milliseconds{500};
      details.mAdmittedPermille = 20;
    }
    Bytes bytes = report.Encode();
    aBalancer.OnNodePacket(NodeEndpoint(aNode), {NodeMessageType::LoadReport, ReturnReason::None},
                           bytes, mOutput, mNow);
  }

  // How many of 600 openings are sent to the failing upstream.
  std::size_t Trials(PacketBalancer& aBalancer)
  {
    mOutput.Clear();
    for (int i = 0; i < 600; ++i) {
      PacketBytes opening = CallerPacket(TestFlow(++mCaller), FlagSyn);
      aBalancer.OnCallerPacket(opening, mOutput, mNow);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, mOutput.mToNodes.size());
    return static_cast<std::size_t>(
      std::count_if(mOutput.mToNodes.begin(), mOutput.mToNodes.end(), [](const auto& aSent) {
        CPPUNIT_ASSERT(aSent.mHeader.mType == NodeMessageType::Offer);
        return aSent.mNode == NodeEndpoint(kFailingNode);
      }));
  }

  // Guards against unsafe requests that become trial flows of a failing upstream, because the route
  // of the new table has the address of an earlier route whose requests could be repeated and the
  // new terms have not arrived.
  void BalancersTryFailingUpstreamsOnlyByTermsOfTheRoutesInForce()
  {
    PacketBalancer balancer{{}, mCodec, mRegistry, Random(1)};
    const View view = TestView(
      1, {TestAgentMember(1, "web"), TestAgentMember(2, "web"), TestAgentMember(3, "web")});
    // The terms may also arrive before the routes.
    balancer.OnRouteTerms(Terms(1, true));
    balancer.OnState(TestConfiguration(1, {"web"}), view, mOutput, mNow);
    mNow += kSettled;
    for (const unsigned node : {1U, 2U, 3U}) {
      Report(balancer, node);
    }
    CPPUNIT_ASSERT(Trials(balancer) > 0);
    balancer.OnState(TestConfiguration(2, {"web"}), view, mOutput, mNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Trials(balancer));
    balancer.OnRouteTerms(Terms(2, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Trials(balancer));
    balancer.OnState(TestConfiguration(3, {"web"}), view, mOutput, mNow);
    balancer.OnRouteTerms(Terms(3, true));
    CPPUNIT_ASSERT(Trials(balancer) > 0);
  }

  // The agent's answer to an offered opening; None if it was delivered.
  ReturnReason Offer(PacketAgent& aAgent)
  {
    mOutput.Clear();
    PacketBytes opening = CallerPacket(TestFlow(++mCaller), FlagSyn);
    aAgent.OnNodePacket(NodeEndpoint(9), {NodeMessageType::Offer, ReturnReason::None}, opening,
                        mOutput, mNow);
    return mOutput.mToNodes.empty() ? ReturnReason::None : mOutput.mToNodes.back().mHeader.mReason;
  }

  // Lets the upstream accept the last opening and reset it when its request arrives.
  void ResetRequest(PacketAgent& aAgent)
  {
    const FlowKey flow = TestFlow(mCaller);
    PacketBytes accepted = UpstreamPacket(flow, FlagSyn | FlagAck);
    aAgent.OnUpstreamPacket(accepted, mOutput, mNow);
    PacketBytes request = CallerPacket(flow, FlagAck, 2, 2, 100);
    aAgent.OnNodePacket(NodeEndpoint(9), {NodeMessageType::Deliver, ReturnReason::None}, request,
                        mOutput, mNow);
    PacketBytes reset = UpstreamPacket(flow, FlagRst, 2);
    aAgent.OnUpstreamPacket(reset, mOutput, mNow);
  }

  // As above, for an agent that is offered such a request.
  void AgentsAdmitTrialsOnlyByTermsOfTheRoutesInForce()
  {
    PacketAgentSettings settings;
    settings.mService = "web";
    settings.mDataCentre = "north";
    settings.mEndpoint = NodeEndpoint(30);
    settings.mHealthMayBeWrong = true;
    PacketAgent agent{settings, mCodec, mRegistry, kStart};
    agent.OnConfiguration(TestConfiguration(1, {"web"}), mNow);
    agent.OnRouteTerms(Terms(1, true));
    agent.OnUpstreamHeartbeat({"i-1", "web", false, Milliseconds{0}, 4, 1'000, 1}, mNow);
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(Offer(agent) == ReturnReason::None);
      ResetRequest(agent);
    }
    CPPUNIT_ASSERT(Offer(agent) == ReturnReason::Failing);
    mNow += Milliseconds{500};
    CPPUNIT_ASSERT(Offer(agent) == ReturnReason::None);
    ResetRequest(agent);
    mNow += Milliseconds{500};
    agent.OnConfiguration(TestConfiguration(2, {"web"}), mNow);
    CPPUNIT_ASSERT(Offer(agent) == ReturnReason::Failing);
    agent.OnRouteTerms(Terms(2, true));
    CPPUNIT_ASSERT(Offer(agent) == ReturnReason::None);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTermsTest);

} // namespace

} // namespace dandelionslip
