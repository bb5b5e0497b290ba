// Tests of FlowDenial.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/FlowDenial.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

class FlowDenialTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FlowDenialTest);
  CPPUNIT_TEST(TextNamesAgentAnswerAndAge);
  CPPUNIT_TEST(TextIsBounded);
  CPPUNIT_TEST_SUITE_END();

  void TextNamesAgentAnswerAndAge()
  {
    const auto agent = [](unsigned aNode) { return NodeEndpoint(aNode).ToString(); };
    const std::vector<FlowDenial> denials{
      {NodeEndpoint(1), NodeMessageType::Returned, ReturnReason::Cold, true,
       kNow - Milliseconds{11'000}},
      {NodeEndpoint(2), NodeMessageType::Returned, ReturnReason::NotHeld, false,
       kNow - Milliseconds{30}},
      {NodeEndpoint(3), NodeMessageType::NotFound, ReturnReason::None, false,
       kNow - Milliseconds{2}},
      {NodeEndpoint(4), NodeMessageType::NotRegistered, ReturnReason::None, false, kNow}};
    const std::string cold(ToString(ReturnReason::Cold));
    const std::string notHeld(ToString(ReturnReason::NotHeld));
    CPPUNIT_ASSERT_EQUAL(agent(1) + "/opening_" + cold + "/11000," + agent(2) + "/packet_" +
                           notHeld + "/30," + agent(3) + "/not_found/2," + agent(4) +
                           "/not_registered/0",
                         ToText(denials, kNow));
    CPPUNIT_ASSERT_EQUAL(std::string(), ToText({}, kNow));
    CPPUNIT_ASSERT(IsDeniedBy(denials, NodeEndpoint(3)));
    CPPUNIT_ASSERT(!IsDeniedBy(denials, NodeEndpoint(5)));
  }

  // Guards against a line that is truncated because many agents were asked.
  void TextIsBounded()
  {
    std::vector<FlowDenial> denials(100);
    denials.front().mAgent = NodeEndpoint(1);
    denials.back().mAgent = NodeEndpoint(2);
    const std::string text = ToText(denials, kNow);
    CPPUNIT_ASSERT(text.size() < 2'000);
    CPPUNIT_ASSERT(text.find(NodeEndpoint(1).ToString()) == std::string::npos);
    CPPUNIT_ASSERT(text.find(NodeEndpoint(2).ToString()) != std::string::npos);
    CPPUNIT_ASSERT(text.ends_with(",older:70"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowDenialTest);

} // namespace

} // namespace dandelionslip
