// Tests of settings files.
#include "dandelionslip/Config/LoadSettings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

const std::string kNode = R"("node": "n1", "data_centre": "klang-a",
  "control_endpoints": ["10.0.0.1:7000"],)";

const std::string kBalancer =
  kNode + R"("datagram_endpoint": "10.0.0.2:7100", "request_endpoint": "10.0.0.2:7101")";

const std::string kAgent = kNode + R"("service": "planner",
  "datagram_endpoint": "10.0.0.3:7200", "request_endpoint": "10.0.0.3:7201",
  "upstream_datagram_endpoint": "127.0.0.1:9000", "upstream_request_endpoint": "127.0.0.1:9001")";

const std::string kControl = R"("node": "c1", "data_centre": "klang-a", "data_folder": "/data",
  "endpoint": "10.0.0.1:7000", "peers": [{"name": "c2", "endpoint": "10.0.1.1:7000"}])";

template <typename T>
std::string ErrorOf(const std::string& aKeys)
{
  const auto settings = ParseSettings<T>("{" + aKeys + "}", "x.json");
  return settings ? "accepted" : settings.error().Message();
}

template <typename T>
void AssertRejected(const std::string& aKeys, const std::vector<std::string>& aParts)
{
  const std::string message = ErrorOf<T>(aKeys);
  for (const std::string& part : aParts) {
    CPPUNIT_ASSERT_MESSAGE(message, message.find(part) != std::string::npos);
  }
  CPPUNIT_ASSERT_MESSAGE(message, message.find("x.json") != std::string::npos);
}

class LoadSettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadSettingsTest);
  CPPUNIT_TEST(MinimalSettingsGetDefaults);
  CPPUNIT_TEST(WrongKeysAndTypesAreRejected);
  CPPUNIT_TEST(WrongEndpointsAreRejected);
  CPPUNIT_TEST(ConflictingTimesAreRejected);
  CPPUNIT_TEST(ConflictingPeersAreRejected);
  CPPUNIT_TEST(UnusableFilesAreRejected);
  CPPUNIT_TEST_SUITE_END();

  // Guards against defaults that differ from the documented ones.
  void MinimalSettingsGetDefaults()
  {
    const auto control = ParseSettings<ControlSettings>("{" + kControl + "}", "x.json");
    CPPUNIT_ASSERT_MESSAGE(ErrorOf<ControlSettings>(kControl), control.has_value());
    CPPUNIT_ASSERT(control.value().mHeartbeat == Milliseconds(100));
    CPPUNIT_ASSERT(control.value().mElectionTimeoutMax == Milliseconds(1000));
    CPPUNIT_ASSERT(control.value().mLease == Milliseconds(2000));
    CPPUNIT_ASSERT(control.value().mAnnounceInterval == Milliseconds(500));
    CPPUNIT_ASSERT(control.value().mStopDeadline == Milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL(2U, control.value().mWorkers);
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), ErrorOf<BalancerSettings>(kBalancer));
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), ErrorOf<AgentSettings>(kAgent));
  }

  // Guards against a misspelt key or a wrong value that is ignored.
  void WrongKeysAndTypesAreRejected()
  {
    AssertRejected<BalancerSettings>(kBalancer + R"(, "worker": 2)", {"worker: found 2"});
    AssertRejected<BalancerSettings>(kBalancer + R"(, "workers": "2")",
                                     {"workers: found \"2\"", "an integer"});
    AssertRejected<BalancerSettings>(kBalancer + R"(, "workers": 0)",
                                     {"workers: found 0", "from 1 to 64"});
    AssertRejected<BalancerSettings>(kBalancer + R"(, "node": "n2")", {"duplicate key \"node\""});
    AssertRejected<BalancerSettings>(kBalancer + R"(, "log_level": "loud")",
                                     {"log_level: found \"loud\"", "debug, info, warning, error"});
    AssertRejected<ControlSettings>(kControl + R"(, "replica_id": "x")", {"replica_id"});
    AssertRejected<AgentSettings>(kNode + R"("service": "")", {"datagram_endpoint: missing"});
    AssertRejected<AgentSettings>(kAgent + R"(, "upstream_health_path": "health")",
                                  {"upstream_health_path: found \"health\"", "starts with '/'"});
  }

  // Guards against wrong endpoints that are detected only when they are bound.
  void WrongEndpointsAreRejected()
  {
    AssertRejected<BalancerSettings>(kBalancer + R"(, "metrics_endpoint": "10.0.0.2")",
                                     {"metrics_endpoint: found \"10.0.0.2\"", "address:port"});
    AssertRejected<BalancerSettings>(kBalancer + R"(, "metrics_endpoint": "10.0.0.2:7101")",
                                     {"request_endpoint", "other than that of metrics_endpoint"});
    AssertRejected<BalancerSettings>(kBalancer + R"(, "listen_address": "10.0.0.2:1")",
                                     {"listen_address: found", "without a port"});
    AssertRejected<AgentSettings>(kAgent + R"(, "local_address": "::1")",
                                  {"local_address: found \"::1\"", "address family"});
    const std::string noControl = R"("node": "n1", "data_centre": "a",
      "datagram_endpoint": "10.0.0.2:7100", "request_endpoint": "10.0.0.2:7101")";
    AssertRejected<BalancerSettings>(noControl, {"control_endpoints: found none"});
    AssertRejected<BalancerSettings>(noControl +
                                       R"(, "control_endpoints": ["[::1]:5", "[0::1]:5"])",
                                     {"control_endpoints[1]: found \"[0::1]:5\"", "distinct"});
  }

  // Guards against elections because of a single late heartbeat, and against leases that expire
  // between two announcements.
  void ConflictingTimesAreRejected()
  {
    AssertRejected<ControlSettings>(kControl + R"(, "election_timeout_min_ms": 300)",
                                    {"election_timeout_min_ms: found 300", "above 300"});
    CPPUNIT_ASSERT_EQUAL(
      std::string("accepted"),
      ErrorOf<ControlSettings>(kControl + R"(, "election_timeout_min_ms": 301)"));
    AssertRejected<ControlSettings>(kControl + R"(, "election_timeout_max_ms": 499)",
                                    {"election_timeout_max_ms: found 499", "above 500"});
    AssertRejected<ControlSettings>(kControl + R"(, "election_timeout_max_ms": 500)",
                                    {"election_timeout_max_ms: found 500"});
    AssertRejected<ControlSettings>(kControl + R"(, "lease_ms": 999)",
                                    {"lease_ms: found 999", "that is 1000"});
  }

  // Guards against a replica that counts itself or another replica twice in its quorum.
  void ConflictingPeersAreRejected()
  {
    const std::string base =
      R"("node": "c1", "data_centre": "a", "data_folder": "/d", "endpoint": "10.0.0.1:7000")";
    const auto peers = [&](const std::string& aPeers) {
      return base + ", \"peers\": [" + aPeers + "]";
    };
    const std::string second = R"({"name": "c2", "endpoint": "10.0.1.1:7000"})";
    AssertRejected<ControlSettings>(
      peers(second + R"(, {"name": "c2", "endpoint": "10.0.2.1:7000"})"),
      {"peers[1].name: found \"c2\""});
    AssertRejected<ControlSettings>(
      peers(second + R"(, {"name": "c3", "endpoint": "10.0.1.1:7000"})"),
      {"peers[1].endpoint: found \"10.0.1.1:7000\""});
    AssertRejected<ControlSettings>(peers(R"({"name": "c1", "endpoint": "10.0.2.1:7000"})"),
                                    {"peers[0].name"});
    AssertRejected<ControlSettings>(peers(R"({"name": "c2", "endpoint": "10.0.0.1"})"),
                                    {"peers[0].endpoint: found \"10.0.0.1\"", "address:port"});
    AssertRejected<ControlSettings>(base + R"(, "join": true)", {"join: found true"});
  }

  // Guards against a wrong path that is read as an empty file.
  void UnusableFilesAreRejected()
  {
    const auto missing = LoadSettings<BalancerSettings>("/nonexistent/balancer.json");
    CPPUNIT_ASSERT(missing.error().mCode == ErrorCode::Io);
    const auto folder = LoadSettings<BalancerSettings>("/");
    CPPUNIT_ASSERT(folder.error().mCode == ErrorCode::Io);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadSettingsTest);

} // namespace

} // namespace dandelionslip
