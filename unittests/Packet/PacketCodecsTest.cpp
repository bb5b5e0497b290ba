// Tests of the messages between packet nodes, DirectoryAgents and SpeedEstimator.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/DirectoryAgents.h"
#include "dandelionslip/Packet/FlowMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"
#include "dandelionslip/Packet/ReportRecipient.h"
#include "dandelionslip/Packet/SpeedEstimator.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

class PacketCodecsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketCodecsTest);
  CPPUNIT_TEST(MessagesSurviveARoundTrip);
  CPPUNIT_TEST(DamagedMessagesAreRejected);
  CPPUNIT_TEST(ReportsOfFormatOneContainNoDetails);
  CPPUNIT_TEST(DamagedDetailsAreRejected);
  CPPUNIT_TEST(ReplacedBalancersGetFormatOneFirst);
  CPPUNIT_TEST(FlowMessagesFitIntoADatagram);
  CPPUNIT_TEST(FlowMessagesOfEarlierFormatsAreRejected);
  CPPUNIT_TEST(ReportsAreSmall);
  CPPUNIT_TEST(FewDirectoryAgentsChangeWhenAnAgentJoins);
  CPPUNIT_TEST(IdleTimeDoesNotLowerTheEstimate);
  CPPUNIT_TEST_SUITE_END();

  static LoadReport Report()
  {
    LoadReport report{"huvo11a", "fukuoka", true, false, false, true, 120, 7, 4, 66'000, 3, 5};
    report.mColdLeft = Milliseconds{1'500};
    report.mConfirmedAgentsDigest = 0xfedcba9876543210;
    return report;
  }

  static LoadReport ReportWithDetails()
  {
    LoadReport report = Report();
    report.mDetails = LoadDetails{
      true, 17, 2'345, UpstreamVerdict::Returning, Milliseconds{67'890}, 125, 1'796'000'000'000};
    return report;
  }

  // Guards against fields that are lost or swapped.
  void MessagesSurviveARoundTrip()
  {
    const NodeMessageHeader header{NodeMessageType::Returned, ReturnReason::Cold};
    const auto back = NodeMessageHeader::Decode(header.Encode());
    CPPUNIT_ASSERT(back && back.value().mType == NodeMessageType::Returned);
    CPPUNIT_ASSERT(back.value().mReason == ReturnReason::Cold);
    const FlowMessage message{
      NodeEndpoint(3), {TestFlow(1), TestFlow(2)}, 0xfedcba9876543210, 0x89abcdef, 0x98765432};
    const auto decoded = FlowMessage::Decode(message.Encode());
    CPPUNIT_ASSERT(decoded && decoded.value().mHolder == message.mHolder);
    CPPUNIT_ASSERT(decoded.value().mFlows == message.mFlows);
    CPPUNIT_ASSERT_EQUAL(message.mAgentsDigest, decoded.value().mAgentsDigest);
    CPPUNIT_ASSERT_EQUAL(message.mNumber, decoded.value().mNumber);
    CPPUNIT_ASSERT_EQUAL(message.mSequence, decoded.value().mSequence);
    for (const std::vector<Endpoint>& holders :
         {std::vector<Endpoint>{}, {NodeEndpoint(3), NodeEndpoint(4)}}) {
      LoadReport sent = Report();
      sent.mUnseenHolders = holders;
      const auto report = LoadReport::Decode(sent.Encode());
      CPPUNIT_ASSERT(report && report.value() == sent);
      sent.mDetails = ReportWithDetails().mDetails;
      const auto detailed = LoadReport::Decode(sent.Encode());
      CPPUNIT_ASSERT(detailed && detailed.value() == sent);
    }
    LoadReport tooMany = Report();
    tooMany.mUnseenHolders.resize(LoadReport::kMaxUnseenHolders + 1, NodeEndpoint(3));
    CPPUNIT_ASSERT(!LoadReport::Decode(tooMany.Encode()));
  }

  // Guards against reads beyond the end of a message and against values that cannot be encoded.
  void DamagedMessagesAreRejected()
  {
    const auto flows = FlowMessage{NodeEndpoint(3), {TestFlow(1), TestFlow(2)}}.Encode();
    const Bytes report = Report().Encode();
    for (std::size_t size = 0; size < flows.size(); ++size) {
      const bool wholeFlow = size == flows.size() - 12;
      CPPUNIT_ASSERT(wholeFlow || !FlowMessage::Decode(std::span(flows).first(size)));
    }
    for (std::size_t size = 0; size < report.size(); ++size) {
      CPPUNIT_ASSERT(!LoadReport::Decode(std::span(report).first(size)));
    }
    Random random(5);
    for (int i = 0; i < 2'000; ++i) {
      Bytes changed = report;
      changed[random.Below(changed.size())] = static_cast<std::uint8_t>(random.Next());
      if (const auto decoded = LoadReport::Decode(changed)) {
        CPPUNIT_ASSERT(LoadReport::Decode(decoded.value().Encode()).has_value());
      }
    }
    for (const NodeMessageHeader& header :
         {NodeMessageHeader{NodeMessageType::Deliver, ReturnReason::None}}) {
      auto bytes = header.Encode();
      for (auto& byte : bytes) {
        const auto kept = std::exchange(byte, std::uint8_t{0xee});
        CPPUNIT_ASSERT(!NodeMessageHeader::Decode(bytes));
        byte = kept;
      }
    }
  }

  // Guards against reports that balancers of the last release reject: they read an array of two
  // strings, nine numbers of 32 bits, one of 64 bits, and up to four numbers of 48 bits.
  void ReportsOfFormatOneContainNoDetails()
  {
    LoadReport report = Report();
    report.mUnseenHolders.resize(LoadReport::kMaxUnseenHolders, NodeEndpoint(3));
    const Json fields = DecodeCbor(report.Encode(), "test").value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{11 + LoadReport::kMaxUnseenHolders}, fields.size());
    for (std::size_t i = 0; i < fields.size(); ++i) {
      CPPUNIT_ASSERT(i < 2 ? fields[i].is_string() : fields[i].is_number_unsigned());
      const unsigned bits = i < 10 ? 32 : 48;
      CPPUNIT_ASSERT(i < 2 || i == 10 || fields[i].get<std::uint64_t>() >> bits == 0);
    }
    // The agent's first report to a balancer, which has stated nothing yet.
    const platform::PlatformPacketCodec codec;
    MetricsRegistry registry;
    PacketAgent agent({}, codec, registry, TimePoint{std::chrono::seconds(10)});
    CPPUNIT_ASSERT(!agent.CurrentLoad(TimePoint{std::chrono::seconds(10)}).mDetails);
  }

  // Guards against a verdict or a share that no agent states, and against a report that is taken
  // for one of format 1 because its details cannot be read.
  void DamagedDetailsAreRejected()
  {
    const Bytes whole = ReportWithDetails().Encode();
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!LoadReport::Decode(std::span(whole).first(size)));
    }
    const Json fields = DecodeCbor(whole, "test").value();
    const auto decodes = [&](const Json& aDetails) {
      Json changed = fields;
      changed.back() = aDetails;
      return LoadReport::Decode(EncodeCbor(changed)).has_value();
    };
    const Json details = fields.back();
    CPPUNIT_ASSERT(decodes(details));
    for (std::size_t i = 0; i < details.size(); ++i) {
      for (const Json& value :
           {Json("1"), Json(-1), Json(1.5), Json(), Json::array(), Json(std::uint64_t{1} << 63U)}) {
        Json changed = details;
        changed[i] = value;
        CPPUNIT_ASSERT(!decodes(changed));
      }
      Json shorter = details;
      shorter.erase(i);
      CPPUNIT_ASSERT(!decodes(shorter));
    }
    Json changed = details;
    changed[3] = 3;
    CPPUNIT_ASSERT(!decodes(changed));
    changed = details;
    changed[5] = 1'001;
    CPPUNIT_ASSERT(!decodes(changed));
    changed = details;
    changed.push_back(1); // A field of a later format.
    CPPUNIT_ASSERT(decodes(changed));
    CPPUNIT_ASSERT(!decodes(Json::object()) && !decodes(Json::array()));
    Json twice = fields;
    twice.push_back(details);
    CPPUNIT_ASSERT(!LoadReport::Decode(EncodeCbor(twice)));
  }

  // Guards against reports that a balancer of the last release rejects, after it has replaced one
  // at the same endpoint that reads details.
  void ReplacedBalancersGetFormatOneFirst()
  {
    ReportRecipient recipient;
    CPPUNIT_ASSERT(!recipient.ReadsDetails());
    recipient.OnInView(1);
    recipient.OnFormatStated(LoadReport::kFormatWithDetails - 1);
    CPPUNIT_ASSERT(!recipient.ReadsDetails());
    recipient.OnFormatStated(LoadReport::kFormatWithDetails);
    recipient.OnInView(1);
    CPPUNIT_ASSERT(recipient.ReadsDetails());
    recipient.OnInView(2);
    CPPUNIT_ASSERT(!recipient.ReadsDetails());
  }

  // Guards against registrations that the link fragments, and against more flows than the limit.
  void FlowMessagesFitIntoADatagram()
  {
    FlowMessage message;
    message.mFlows.resize(FlowMessage::kMaxFlows);
    const auto largest = message.Encode();
    CPPUNIT_ASSERT(NodeMessageHeader::kBytes + largest.size() <= 1'200);
    CPPUNIT_ASSERT(FlowMessage::Decode(largest));
    message.mFlows.emplace_back();
    CPPUNIT_ASSERT(!FlowMessage::Decode(message.Encode()));
  }

  // Guards against nodes of two versions that read each other's fields as addresses.
  void FlowMessagesOfEarlierFormatsAreRejected()
  {
    constexpr std::size_t kFlowBytes = 12;
    for (const std::size_t headerBytes : {6U, 14U}) {
      for (std::size_t flows = 1; flows <= FlowMessage::kMaxFlows; ++flows) {
        CPPUNIT_ASSERT(!FlowMessage::Decode(Bytes(headerBytes + flows * kFlowBytes)));
        FlowMessage message;
        message.mFlows.resize(flows);
        CPPUNIT_ASSERT((message.Encode().size() - headerBytes) % kFlowBytes != 0);
      }
    }
  }

  // Guards against reports that fill a balancer's link: 63 agents send five per second each to a
  // balancer with 1.9 Mbit/s, and may use a tenth of that.
  void ReportsAreSmall()
  {
    constexpr double kLinkBytesPerSecond = 1.9e6 / 8;
    constexpr double kReportsPerSecond = 63 * 5;
    constexpr double kPacketHeaders = 28;
    LoadReport naming = Report();
    naming.mUnseenHolders = {NodeEndpoint(3)};
    const double nameBytes =
      static_cast<double>(naming.Encode().size() - Report().Encode().size()) /
      PacketAgent::kReportsPerName;
    const double bytes = static_cast<double>(Report().Encode().size() + NodeMessageHeader::kBytes) +
                         kPacketHeaders + nameBytes;
    CPPUNIT_ASSERT(bytes * kReportsPerSecond <= kLinkBytesPerSecond / 10);
  }

  // Guards against a change of all directory agents, after which no flow could be found.
  void FewDirectoryAgentsChangeWhenAnAgentJoins()
  {
    std::vector<Member> members;
    for (unsigned node = 1; node <= 20; ++node) {
      members.push_back(TestAgentMember(node, "web"));
    }
    DirectoryAgents before;
    CPPUNIT_ASSERT(before.Update(TestView(1, members)));
    CPPUNIT_ASSERT(!before.Update(TestView(2, members)));
    members.push_back(TestAgentMember(21, "web"));
    DirectoryAgents after;
    after.Update(TestView(3, members));
    std::size_t lostBoth = 0;
    std::size_t moved = 0;
    constexpr std::uint16_t kFlows = 2'000;
    for (std::uint16_t i = 0; i < kFlows; ++i) {
      const auto old = before.AgentsFor(TestFlow(i));
      const auto fresh = after.AgentsFor(TestFlow(i));
      CPPUNIT_ASSERT_EQUAL(DirectoryAgents::kDirectoryAgentsPerFlow, fresh.size());
      const auto kept = std::count_if(fresh.begin(), fresh.end(), [&](const Endpoint& aAgent) {
        return std::find(old.begin(), old.end(), aAgent) != old.end();
      });
      lostBoth += kept == 0 ? 1 : 0;
      moved += kept < 2 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lostBoth);
    CPPUNIT_ASSERT(moved < kFlows / 5);
  }

  // Guards against an upstream that looks slow, and so gets few flows, because it had few before.
  void IdleTimeDoesNotLowerTheEstimate()
  {
    SpeedEstimator estimator;
    TimePoint now{std::chrono::seconds(10)};
    estimator.OnActiveChanged(0, 4, now);
    for (int i = 0; i < 100; ++i) {
      estimator.OnActiveChanged(1, 4, now);
      now += Milliseconds{20};
      estimator.OnCompleted();
      estimator.OnActiveChanged(0, 4, now);
      now += Milliseconds{500};
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, estimator.RequestsPerSlotSecond(), 5.0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketCodecsTest);

} // namespace

} // namespace dandelionslip
