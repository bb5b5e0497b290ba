// Tests of the platform's packet, configuration, heartbeat and settings formats.
#include "NodeApi.h"
#include "NodeFile.h"
#include "PlatformPacketCodec.h"
#include "RouteDocument.h"

#include "dandelionslip/Config/LoadSettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace dandelionslip::platform {

namespace {

constexpr std::string_view kDocument = R"({"version":7,"routes":[
  {"name":"a","host":"198.18.0.1","path_prefix":"/8443/","type":"safe","timeout_ms":500,
   "priority":2,"split":[{"service":"x","weight":90},{"service":"y","weight":10}],"attempts":2},
  {"name":"b","host":"198.18.0.1","path_prefix":"/8080/","timeout_ms":600,"service":"x"}],
  "services":[{"name":"x","max_conns":2000,"warmup_s":2.5,"ramp_per_s":1.5},{"name":"y"}],
  "limits":{"idle_timeout_ms":15000},"later":"ignored"})";

constexpr std::string_view kHeartbeat =
  R"({"service":"x","addr":"10.0.0.1:80","zone":"z","version":"v1","concurrency":2,
  "state":"ready","cold_left_ms":12.5,"seq":4,"born":1700000000000})";

std::string Replaced(std::string_view aText, std::string_view aFrom, std::string_view aTo)
{
  std::string text(aText);
  const auto at = text.find(aFrom);
  CPPUNIT_ASSERT(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

class PlatformCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformCodecTest);
  CPPUNIT_TEST(PacketsMatchThePublishedExamples);
  CPPUNIT_TEST(DamagedPacketsAreRejected);
  CPPUNIT_TEST(TagsAndBounceMarksChangeNothingElse);
  CPPUNIT_TEST(RouteDocumentsBecomeRouteTables);
  CPPUNIT_TEST(InvalidRouteDocumentsAreRejected);
  CPPUNIT_TEST(HostsThatPacketsCannotNameAreRejected);
  CPPUNIT_TEST(RouteDocumentsStateTermsOfRoutes);
  CPPUNIT_TEST(MalformedTermsStateNothing);
  CPPUNIT_TEST(MalformedHeartbeatsAreRejected);
  CPPUNIT_TEST(MalformedExitsAreRejected);
  CPPUNIT_TEST(NodeFilesBecomeSettings);
  CPPUNIT_TEST(ContractsBecomeSettings);
  CPPUNIT_TEST(NodeFilesWithoutContractsAreLoaded);
  CPPUNIT_TEST(IncompleteNodeFilesAreRejected);
  CPPUNIT_TEST_SUITE_END();

  // Guards against headers that callers or upstreams cannot read: compares them with the examples
  // that the platform publishes.
  void PacketsMatchThePublishedExamples()
  {
    const std::vector<std::uint8_t> syn{
      0xa1, 0xb2, 0xc3, 0xd5, 0,    0,    0, 0,    0x40, 0,    0,    0,    0x9c, 0x41, 0x01, 0xbb,
      0x64, 0x40, 0,    0x07, 0xc6, 0x12, 0, 0x01, 0x11, 0x22, 0x33, 0x44, 0,    0,    0,    0};
    const std::vector<std::uint8_t> reset{
      0,    0,    0, 0,    0,    0,    0, 0,    0x10, 0, 0, 0, 0x01, 0xbb, 0x9c, 0x41,
      0xc6, 0x12, 0, 0x01, 0x64, 0x40, 0, 0x07, 0,    0, 0, 0, 0,    0,    0,    0};
    const PlatformPacketCodec codec;
    const auto segment = codec.DecodeFromCaller(syn);
    CPPUNIT_ASSERT(segment && segment->mOpens && !segment->mAcceptsOpening && !segment->mBounced);
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"), ToString(segment->mFlow));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x11223344}, segment->mSequence);
    CPPUNIT_ASSERT(codec.EncodeReset(segment->mFlow, 0) == reset);
    const auto back = codec.DecodeFromUpstream(reset);
    CPPUNIT_ASSERT(back && back->mResets && back->mFlow == segment->mFlow);
  }

  // Guards against reads beyond the end of a short packet, and against a length field that does not
  // match the packet.
  void DamagedPacketsAreRejected()
  {
    const PlatformPacketCodec codec;
    const std::vector<std::uint8_t> whole = codec.EncodeReset({1, 2, 3, 4}, 5);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!codec.DecodeFromCaller(std::span(whole).first(size)));
    }
    std::vector<std::uint8_t> longer = whole;
    longer.push_back(0);
    CPPUNIT_ASSERT(!codec.DecodeFromCaller(longer));
    const std::vector<std::uint8_t> huge(32 + 1201, 0);
    CPPUNIT_ASSERT(!codec.DecodeFromCaller(huge));
  }

  // Guards against changes to a packet other than its tag and bounce flag, which the checksum does
  // not cover.
  void TagsAndBounceMarksChangeNothingElse()
  {
    const PlatformPacketCodec codec;
    const auto original = codec.EncodeReset({1, 2, 3, 4}, 5);
    auto packet = original;
    codec.SetTag(packet, 0xdeadbeef);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0xdeadbeef}, codec.DecodeFromCaller(packet)->mTag);
    packet[8] |= 32;
    CPPUNIT_ASSERT(codec.IsBounced(packet));
    codec.ClearBounce(packet);
    CPPUNIT_ASSERT(packet == original);
  }

  // Guards against fields that are lost or misread when the document is decoded.
  void RouteDocumentsBecomeRouteTables()
  {
    const auto table = DecodeRouteDocument(kDocument);
    CPPUNIT_ASSERT(table && CheckRouteTable(table.value()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table.value().mVersion);
    const Route& first = table.value().mRoutes.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:8443"), first.mAddress);
    CPPUNIT_ASSERT(first.mTimeout == Milliseconds{500} && first.mPriority == 2);
    CPPUNIT_ASSERT_EQUAL(9 * first.mTargets.at(1).mWeight, first.mTargets.at(0).mWeight);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.value().mRoutes.at(1).mTargets.size());
    const RoutedService* service = table.value().FindService("x");
    CPPUNIT_ASSERT(service->mWarmUp == Milliseconds{2'500} &&
                   service->mColdOpeningsPerSecond == 1.5);
    CPPUNIT_ASSERT(table.value().mFlowIdleTimeout == Milliseconds{15'000});
  }

  // Guards against an invalid configuration that is accepted.
  void InvalidRouteDocumentsAreRejected()
  {
    const auto assertRejected = [](const std::string& aText) {
      const auto table = DecodeRouteDocument(aText);
      CPPUNIT_ASSERT_MESSAGE(aText, !table || !CheckRouteTable(table.value()));
    };
    for (std::size_t size = 0; size < kDocument.size(); size += 7) {
      assertRejected(std::string(kDocument.substr(0, size)));
    }
    assertRejected(Replaced(kDocument, "\"version\":7", "\"version\":0"));
    assertRejected(Replaced(kDocument, "\"version\":7", "\"version\":\"7\""));
    assertRejected(
      Replaced(kDocument, "\"service\":\"x\",\"weight\":90", "\"service\":\"q\",\"weight\":90"));
    assertRejected(Replaced(kDocument, "/8080/", "/8443/"));
    assertRejected(Replaced(kDocument, "/8080/", "/web/"));
    assertRejected(Replaced(kDocument, "\"timeout_ms\":600", "\"timeout_ms\":0"));
    assertRejected(Replaced(kDocument, "\"timeout_ms\":600", "\"timeout_ms\":-5"));
    assertRejected(Replaced(Replaced(kDocument, "\"weight\":90", "\"weight\":0"), "\"weight\":10",
                            "\"weight\":0"));
    assertRejected(Replaced(kDocument, "\"weight\":90", "\"share\":90"));
    assertRejected(Replaced(kDocument, "\"host\":\"198.18.0.1\"", "\"host\":\"web.example\""));
  }

  // Guards against a route that is acknowledged although no packet can be sent to it, and whose
  // address has the IPv4 address of another route in its last bytes.
  void HostsThatPacketsCannotNameAreRejected()
  {
    CPPUNIT_ASSERT(CheckRouteAddresses(DecodeRouteDocument(kDocument).value()));
    for (const std::string host :
         {"[::198.18.0.9]", "[::ffff:198.18.0.9]", "[2001:db8::1]", "[::1]"}) {
      const std::string text =
        Replaced(kDocument, "\"host\":\"198.18.0.1\"", "\"host\":\"" + host + "\"");
      const auto table = DecodeRouteDocument(text);
      CPPUNIT_ASSERT_MESSAGE(host, table && CheckRouteTable(table.value()));
      CPPUNIT_ASSERT_MESSAGE(host, !CheckRouteAddresses(table.value()));
    }
  }

  // The terms of the document, after a check that it is still a valid route table.
  static std::vector<RouteTerm> TermsOf(const std::string& aText)
  {
    CPPUNIT_ASSERT_MESSAGE(aText, DecodeRouteDocument(aText).has_value());
    const auto terms = DecodeRouteTerms(aText);
    CPPUNIT_ASSERT_MESSAGE(aText, terms.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, terms.value().mVersion);
    return terms.value().mTerms;
  }

  // Guards against terms that are lost, assigned to another route or taken from another type of
  // request: unsafe requests must not become trial flows.
  void RouteDocumentsStateTermsOfRoutes()
  {
    const std::vector<RouteTerm> safe{{"198.18.0.1:8443", true, Milliseconds{0}}};
    CPPUNIT_ASSERT(TermsOf(std::string(kDocument)) == safe);
    const auto withGoals = Replaced(Replaced(kDocument, "\"timeout_ms\":500", //
                                             "\"timeout_ms\":500,\"slo_ms\":199.6"),
                                    "\"timeout_ms\":600", "\"timeout_ms\":600,\"slo_ms\":80");
    const std::vector<RouteTerm> both{{"198.18.0.1:8443", true, Milliseconds{200}},
                                      {"198.18.0.1:8080", false, Milliseconds{80}}};
    CPPUNIT_ASSERT(TermsOf(withGoals) == both);
    for (const std::string type : {"unsafe", "upload", "Safe", ""}) {
      const auto terms = TermsOf(Replaced(withGoals, "\"safe\"", "\"" + type + "\""));
      CPPUNIT_ASSERT_MESSAGE(type, terms.size() == 2 && !terms.front().mRepeatable);
    }
    CPPUNIT_ASSERT(TermsOf(Replaced(withGoals, "\"safe\"", "\"download\"")) == both);
    const auto decoded = FromCbor<RouteTerms>(ToCbor(DecodeRouteTerms(withGoals).value()), "test");
    CPPUNIT_ASSERT(decoded && decoded.value().mVersion == 7 && decoded.value().mTerms == both);
    CPPUNIT_ASSERT(!DecodeRouteTerms(Replaced(kDocument, "\"version\":7", "\"version\":0")));
  }

  // Guards against a document that is refused, or a term that is guessed, because of members that
  // the last release ignored.
  void MalformedTermsStateNothing()
  {
    for (const char* goal : {"0", "0.4", "-1", "null", "\"200\"", "[200]", "86400001", "1e300"}) {
      const std::string member = std::string(",\"slo_ms\":") + goal;
      CPPUNIT_ASSERT(
        TermsOf(Replaced(kDocument, "\"timeout_ms\":600", "\"timeout_ms\":600" + member)).size() ==
        1);
    }
    for (const char* type : {"null", "7", "[\"safe\"]", "{}", "true"}) {
      CPPUNIT_ASSERT(TermsOf(Replaced(kDocument, "\"safe\"", type)).empty());
    }
  }

  // Guards against a malformed heartbeat that is taken as the upstream's state.
  void MalformedHeartbeatsAreRejected()
  {
    const auto good = DecodeHeartbeat("i-1", kHeartbeat);
    CPPUNIT_ASSERT(good && good.value().mId == "i-1" && good.value().mSlots == 2);
    CPPUNIT_ASSERT(good.value().mColdLeft == Milliseconds{13} && good.value().mSequence == 4);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1'700'000'000'000}, good.value().mStartedMs);
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"resting\""},
           {"\"ready\"", "1"},
           {"\"service\":\"x\",", ""},
           {"\"concurrency\":2", "\"concurrency\":\"2\""},
           {"\"concurrency\":2", "\"concurrency\":0"},
           {"\"seq\":4", "\"seq\":null"},
           {"\"seq\":4", "\"seq\":-1"},
           {"\"seq\":4", "\"seq\":-0"},
           {"\"seq\":4", "\"seq\":1.5"},
           {"\"seq\":4", "\"seq\":1e400"},
           {"\"seq\":4", "\"seq\":9223372036854775808"},
           {"\"seq\":4", "\"seq\":18446744073709551615"},
           {"\"seq\":4", "\"seq\":18446744073709551616"},
           {"1700000000000", "-1"},
           {"1700000000000", "9223372036854775807"},
           {"1700000000000", "18446744073709551615"},
           {"1700000000000", "1e30"},
           {"\"concurrency\":2", "\"concurrency\":4294967296"},
           {"\"concurrency\":2", "\"concurrency\":1e30"},
           {"12.5", "1e400"},
           {"12.5", "18446744073709551616"},
           {"\"addr\":\"10.0.0.1:80\",", ""},
           {"\"10.0.0.1:80\"", "7"},
           {"10.0.0.1:80", ""},
           {"10.0.0.1:80", "10.0.0.1"},
           {"10.0.0.1:80", "10.0.0.1:0"},
           {"10.0.0.1:80", "10.0.0.1:65536"},
           {"10.0.0.1:80", "10.0.0.1:99999"},
           {"10.0.0.1:80", "10.0.0.1:70000000000"},
           {"10.0.0.1:80", " 10.0.0.1:80"},
           {"10.0.0.1:80", "web.example:80"},
           {"10.0.0.1:80", "10.0.0.1\\u0000.9:80"},
           {"12.5", "[]"},
           {"1700000000000", "1.5"},
           {"}", "]"}}) {
      CPPUNIT_ASSERT_MESSAGE(to, !DecodeHeartbeat("i-1", Replaced(kHeartbeat, from, to)));
    }
  }

  // Guards against an exit that ends another start of the upstream.
  void MalformedExitsAreRejected()
  {
    for (const std::string_view text : {"", "{}", R"({"id":"i-1"})"}) {
      const auto started = DecodeLeave("i-1", text);
      CPPUNIT_ASSERT(started && !started.value());
    }
    const auto started = DecodeLeave("i-1", R"({"born":1700000000000})");
    CPPUNIT_ASSERT(started && started.value() == std::int64_t{1'700'000'000'000});
    for (const std::string_view text :
         {"x", "[]", "7", "null", R"({"born":-1})", R"({"born":null})", R"({"born":"1"})",
          R"({"born":1.5})", R"({"born":18446744073709551615})"}) {
      CPPUNIT_ASSERT(!DecodeLeave("i-1", text));
    }
  }

  static NodeFile File()
  {
    NodeFile file;
    file.mNode = "core-1";
    file.mDataCentre = "north";
    file.mAddress = "10.1.0.1";
    file.mSeeds = {"10.1.0.1:8166", "10.2.0.1:8166"};
    file.mPeerPort = 7720;
    file.mPacketEndpoint = "10.1.0.1:8172";
    file.mReadyEndpoint = "10.1.0.1:8167";
    file.mControlEndpoint = "10.1.0.1:8166";
    file.mOutboundEndpoint = "10.1.0.1:8162";
    file.mUpstreamEndpoint = "10.1.0.1:8165";
    file.mService = "web";
    file.mDataFolder = "/data/replica";
    file.mDisksLost = 2;
    return file;
  }

  // Guards against values that are lost between the file and the settings, and against control
  // settings that fail CheckSettings.
  void NodeFilesBecomeSettings()
  {
    const auto control = ControlSettingsFrom(File());
    CPPUNIT_ASSERT(control && CheckSettings(control.value(), "test"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, control.value().mTargetVoters);
    CPPUNIT_ASSERT_EQUAL(std::string("10.2.0.1:7720"), control.value().mInitialReplicas.at(1));
    CPPUNIT_ASSERT(control.value().mStopDeadline == Milliseconds(4'500));
    const auto balancer = BalancerSettingsFrom(File());
    CPPUNIT_ASSERT(balancer && balancer.value().mCallerReceivePort == 8172);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.1:7720"), balancer.value().mDatagramEndpoint);
    CPPUNIT_ASSERT(AgentSettingsFrom(File()).has_value());
  }

  // Guards against upstreams that are judged by their answers where their health reports are
  // right, and against failing ones that are not detected where the contract is in force.
  void ContractsBecomeSettings()
  {
    const std::vector<std::pair<std::vector<std::string>, bool>> cases{
      {{}, false}, {{"health"}, true}, {{"other", "health"}, true}, {{"Health", "healthy"}, false}};
    for (const auto& [contracts, expected] : cases) {
      NodeFile file = File();
      file.mContracts = contracts;
      CPPUNIT_ASSERT_EQUAL(expected, AgentSettingsFrom(file).value().mHealthMayBeWrong);
      CPPUNIT_ASSERT_EQUAL(expected, BalancerSettingsFrom(file).value().mHealthMayBeWrong);
    }
  }

  // Guards against a process that does not start with the settings file of the last release, and
  // against contracts that are lost when the file is read.
  void NodeFilesWithoutContractsAreLoaded()
  {
    NodeFile file = File();
    file.mContracts = {"health"};
    Json json = ToJson(file);
    const auto load = [&json] {
      const std::string path =
        (std::filesystem::temp_directory_path() / ("node-" + std::to_string(getpid()) + ".json"))
          .string();
      std::ofstream(path) << json.dump();
      auto loaded = LoadNodeFile(path);
      std::filesystem::remove(path);
      return loaded;
    };
    const auto with = load();
    CPPUNIT_ASSERT(with && with.value().mContracts == file.mContracts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json.erase("contracts"));
    const auto without = load();
    CPPUNIT_ASSERT(without && without.value().mContracts.empty());
    json["contracts"] = "health";
    CPPUNIT_ASSERT(!load());
  }

  // Guards against a role that starts without a setting that it needs.
  void IncompleteNodeFilesAreRejected()
  {
    NodeFile file = File();
    file.mDataFolder.clear();
    CPPUNIT_ASSERT(!ControlSettingsFrom(file) && BalancerSettingsFrom(file));
    file = File();
    file.mUpstreamEndpoint = "localhost:80";
    const auto agent = AgentSettingsFrom(file);
    CPPUNIT_ASSERT(!agent);
    CPPUNIT_ASSERT(agent.error().mDetail.find("upstream_endpoint: found \"localhost:80\"") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!LoadNodeFile("/nonexistent/node.json"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);

} // namespace

} // namespace dandelionslip::platform
