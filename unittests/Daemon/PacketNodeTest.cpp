// Tests of a packet node's link to control, over loopback.
#include "../../lib/Daemon/PacketNode.h"
#include "../../lib/Daemon/HttpResponses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace dandelionslip {

namespace {

constexpr const char* kSeed = "127.0.0.1:17421";
constexpr const char* kUnusedEndpoint = "127.0.0.1:17422";
constexpr Milliseconds kLimit{10'000}; // The seeds are read at least every two seconds.

class PacketNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketNodeTest);
  CPPUNIT_TEST(NodesReturnToUnchangedSeedsAfterAllListedReplicasAreGone);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a node that asks only the replicas of the last list from control, which are all
  // gone, because the seeds are the ones that it read before.
  void NodesReturnToUnchangedSeedsAfterAllListedReplicasAreGone()
  {
    PacketNodeSettings settings;
    settings.mNode = "balancer-1";
    settings.mDataCentre = "a";
    settings.mControlEndpoints = {kSeed};
    PacketNode node(settings,
                    {[](Member&) {}, [](const NodeState&) {},
                     [] { return std::vector<std::string>{kSeed}; }, [](const RouteTerms&) {}});
    std::atomic<int> announcements{0};
    auto server =
      Http2Server::Listen(node.Loop(), Endpoint::Parse(kSeed).value(), [&](const auto& aExchange) {
        AnnouncementAnswer answer;
        answer.mConfirmed = true;
        answer.mConfiguration.emplace();
        answer.mView.emplace();
        answer.mLease = Milliseconds(500);
        if (aExchange->Request().mPath == "/v1/announce") {
          ++announcements;
          answer.mControlEndpoints = {kUnusedEndpoint};
        }
        RespondCbor(*aExchange, answer);
      });
    CPPUNIT_ASSERT(server.has_value());
    node.Start();
    std::thread runner([&] { node.Pool().Run(); });
    const TimePoint end = RuntimeClock::now() + kLimit;
    while (announcements < 2 && RuntimeClock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(20));
    }
    node.Pool().Exit(0);
    runner.join();
    CPPUNIT_ASSERT(announcements >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketNodeTest);

} // namespace

} // namespace dandelionslip
