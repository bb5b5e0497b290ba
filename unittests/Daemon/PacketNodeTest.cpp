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
constexpr const char* kSecondSeed = "127.0.0.1:17423";
constexpr Milliseconds kLimit{10'000}; // The seeds are read at least every two seconds.

PacketNodeSettings Settings(const std::vector<std::string>& aSeeds)
{
  PacketNodeSettings settings;
  settings.mNode = "balancer-1";
  settings.mDataCentre = "a";
  settings.mControlEndpoints = aSeeds;
  return settings;
}

// Lets the node run until aDone returns true or kLimit has passed.
template <typename Done>
void RunUntil(PacketNode& aNode, Done aDone)
{
  aNode.Start();
  std::thread runner([&] { aNode.Pool().Run(); });
  const TimePoint end = RuntimeClock::now() + kLimit;
  while (!aDone() && RuntimeClock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(20));
  }
  aNode.Pool().Exit(0);
  runner.join();
}

/// A control replica that grants leases and announces one route version.
class StandInReplica
{
public:
  /// Answers a request for terms; the argument counts these requests from 1.
  using TermsHandler = std::function<void(HttpExchange&, int)>;

  StandInReplica(PacketNode& aNode, const char* aEndpoint, TermsHandler aOnTerms)
    : mOnTerms(std::move(aOnTerms))
  {
    auto server = Http2Server::Listen(
      aNode.Loop(), Endpoint::Parse(aEndpoint).value(),
      [this](const std::shared_ptr<HttpExchange>& aExchange) { OnRequest(*aExchange); });
    CPPUNIT_ASSERT(server.has_value());
    mServer = std::move(server.value());
  }

  std::atomic<std::uint64_t> mRouteVersion{1};
  std::atomic<int> mAnnouncements{0};
  std::atomic<int> mTermsRequests{0};

private:
  void OnRequest(HttpExchange& aExchange)
  {
    if (aExchange.Request().mPath == "/v1/route-terms") {
      mOnTerms(aExchange, ++mTermsRequests);
      return;
    }
    mAnnouncements += aExchange.Request().mPath == "/v1/announce" ? 1 : 0;
    AnnouncementAnswer answer;
    answer.mConfirmed = true;
    answer.mConfiguration.emplace();
    answer.mConfiguration->mRevision = mRouteVersion;
    answer.mConfiguration->mRoutes.mVersion = mRouteVersion;
    answer.mView.emplace();
    answer.mLease = Milliseconds(500);
    RespondCbor(aExchange, answer);
  }

  TermsHandler mOnTerms;
  std::unique_ptr<Http2Server> mServer;
};

RouteTerms TermsOfVersion(std::uint64_t aVersion)
{
  return {aVersion, {{"198.18.0.1:443", true, Milliseconds(static_cast<int>(100 * aVersion))}}};
}

class PacketNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacketNodeTest);
  CPPUNIT_TEST(NodesReturnToUnchangedSeedsAfterAllListedReplicasAreGone);
  CPPUNIT_TEST(NodesFetchTheTermsOfEachRouteVersion);
  CPPUNIT_TEST(NodesAskOtherReplicasForTermsThatTheirReplicaDoesNotHave);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a node that asks only the replicas of the last list from control, which are all
  // gone, because the seeds are the ones that it read before.
  void NodesReturnToUnchangedSeedsAfterAllListedReplicasAreGone()
  {
    PacketNode node(Settings({kSeed}),
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
    RunUntil(node, [&] { return announcements >= 2; });
    CPPUNIT_ASSERT(announcements >= 2);
  }

  // Guards against a node that keeps the terms of an earlier route table: its replica may answer
  // late, with an error, with something else, or with the terms of the version before.
  void NodesFetchTheTermsOfEachRouteVersion()
  {
    std::vector<RouteTerms> received;
    std::atomic<std::size_t> count{0};
    PacketNode node(Settings({kSeed}), {[](Member&) {}, [](const NodeState&) {},
                                        [] { return std::vector<std::string>{kSeed}; },
                                        [&](const RouteTerms& aTerms) {
                                          received.push_back(aTerms);
                                          count = received.size();
                                        }});
    StandInReplica replica(node, kSeed, [](HttpExchange& aExchange, int aRequest) {
      switch (aRequest) {
        case 1:
        case 2: // The replica is behind.
          RespondCbor(aExchange, TermsOfVersion(1));
          return;
        case 3:
          RespondCbor(aExchange, AnnouncementAnswer{});
          return;
        case 4:
          RespondError(aExchange, kStatusUnavailable, "not confirmed");
          return;
        case 5:
          return; // Not answered.
        default:
          RespondCbor(aExchange, TermsOfVersion(3));
      }
    });
    RunUntil(node, [&] {
      replica.mRouteVersion = count == 0 ? 1 : 3;
      return count >= 2;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.size());
    CPPUNIT_ASSERT(received[0] == TermsOfVersion(1) && received[1] == TermsOfVersion(3));
    CPPUNIT_ASSERT_EQUAL(6, replica.mTermsRequests.load());
  }

  // Guards against a node that has no terms during an upgrade of control, because the replica to
  // which it is attached is of the last release and answers all else.
  void NodesAskOtherReplicasForTermsThatTheirReplicaDoesNotHave()
  {
    std::atomic<bool> received{false};
    PacketNode node(Settings({kSeed, kSecondSeed}),
                    {[](Member&) {}, [](const NodeState&) {},
                     [] {
                       return std::vector<std::string>{kSeed, kSecondSeed};
                     },
                     [&](const RouteTerms& aTerms) { received = aTerms == TermsOfVersion(1); }});
    StandInReplica first(node, kSeed, [](HttpExchange& aExchange, int) {
      RespondError(aExchange, kStatusNotFound, "no such path");
    });
    StandInReplica second(node, kSecondSeed, [](HttpExchange& aExchange, int) {
      RespondCbor(aExchange, TermsOfVersion(1));
    });
    RunUntil(node, [&] { return received.load(); });
    CPPUNIT_ASSERT(received);
    CPPUNIT_ASSERT_EQUAL(1, first.mTermsRequests.load());
    // The node stays attached to its replica.
    CPPUNIT_ASSERT(first.mAnnouncements > 0);
    CPPUNIT_ASSERT_EQUAL(0, second.mAnnouncements.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketNodeTest);

} // namespace

} // namespace dandelionslip
