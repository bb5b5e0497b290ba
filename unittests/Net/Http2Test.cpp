// Tests of HTTP/2 requests over loopback connections.
#include "dandelionslip/Net/Http2Client.h"
#include "dandelionslip/Net/Http2Server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include <optional>

namespace dandelionslip {

namespace {

constexpr Milliseconds kTimeout{5000};

class Http2Test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(Http2Test);
  CPPUNIT_TEST(LargeBodiesArriveComplete);
  CPPUNIT_TEST(ResponsesAreMatchedToTheirRequests);
  CPPUNIT_TEST(RefusedConnectionIsUnavailable);
  CPPUNIT_TEST(LostConnectionAfterSendIsUnknown);
  CPPUNIT_TEST(CancelReachesTheServer);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context mLoop;
  std::unique_ptr<Http2Server> mServer;
  std::vector<std::shared_ptr<HttpExchange>> mHeld;
  Endpoint mEndpoint = Endpoint::Parse("127.0.0.1:17441").value();

  void Serve(Http2Server::Handler aHandler)
  {
    auto server = Http2Server::Listen(mLoop, mEndpoint, std::move(aHandler));
    CPPUNIT_ASSERT(server);
    mServer = std::move(server.value());
  }

  // Runs the event loop until the condition holds. Fails if nothing runs for kTimeout.
  template <typename Condition>
  void RunUntil(Condition aCondition)
  {
    while (!aCondition()) {
      CPPUNIT_ASSERT(mLoop.run_one_for(kTimeout) > 0);
    }
  }

  static HttpRequest RequestWithBody(Bytes aBody)
  {
    HttpRequest request;
    request.mBody = std::move(aBody);
    return request;
  }

public:
  void tearDown() override
  {
    mHeld.clear();
    mServer.reset();
    mLoop.poll();
  }

  // Guards against truncation of bodies that are larger than the flow-control window.
  void LargeBodiesArriveComplete()
  {
    Serve([](auto aExchange) {
      HttpResponse response;
      response.mBody = aExchange->Request().mBody;
      aExchange->Respond(std::move(response));
    });
    Bytes body(5'000'000);
    for (std::size_t i = 0; i < body.size(); ++i) {
      body[i] = static_cast<std::uint8_t>(i * 31);
    }
    Http2Client client(mLoop, mEndpoint);
    std::optional<Result<HttpResponse>> result;
    client.Send(RequestWithBody(body), kTimeout,
                [&](auto aResult) { result.emplace(std::move(aResult)); });
    RunUntil([&] { return result.has_value(); });
    CPPUNIT_ASSERT(result->has_value());
    CPPUNIT_ASSERT(result->value().mBody == body);
  }

  // Guards against a response that reaches the wrong request when responses are sent in another
  // order than the requests.
  void ResponsesAreMatchedToTheirRequests()
  {
    Serve([this](auto aExchange) { mHeld.push_back(aExchange); });
    Http2Client client(mLoop, mEndpoint);
    constexpr std::uint8_t kRequests = 20;
    std::size_t matched = 0;
    std::size_t finished = 0;
    for (std::uint8_t i = 0; i < kRequests; ++i) {
      client.Send(RequestWithBody({i}), kTimeout, [&, i](auto aResult) {
        matched += aResult && aResult.value().mBody == Bytes{i} ? 1 : 0;
        ++finished;
      });
    }
    RunUntil([&] { return mHeld.size() == kRequests; });
    for (auto exchange = mHeld.rbegin(); exchange != mHeld.rend(); ++exchange) {
      HttpResponse response;
      response.mBody = (*exchange)->Request().mBody;
      (*exchange)->Respond(std::move(response));
    }
    RunUntil([&] { return finished == kRequests; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRequests}, matched);
  }

  // Guards against reporting a request that was never sent as possibly processed.
  void RefusedConnectionIsUnavailable()
  {
    Http2Client client(mLoop, Endpoint::Parse("127.0.0.1:17442").value());
    std::optional<ErrorCode> code;
    client.Send({}, kTimeout, [&](auto aResult) { code = aResult.error().mCode; });
    RunUntil([&] { return code.has_value(); });
    CPPUNIT_ASSERT(code == ErrorCode::Unavailable);
  }

  // Guards against reporting a request that may have been processed as not processed.
  void LostConnectionAfterSendIsUnknown()
  {
    Serve([this](auto aExchange) { mHeld.push_back(aExchange); });
    Http2Client client(mLoop, mEndpoint);
    std::optional<ErrorCode> code;
    client.Send({}, kTimeout, [&](auto aResult) { code = aResult.error().mCode; });
    RunUntil([&] { return !mHeld.empty(); });
    client.Close();
    RunUntil([&] { return code.has_value(); });
    CPPUNIT_ASSERT(code == ErrorCode::Unknown);
  }

  // Guards against a server that continues to work on a cancelled request.
  void CancelReachesTheServer()
  {
    Serve([this](auto aExchange) { mHeld.push_back(aExchange); });
    Http2Client client(mLoop, mEndpoint);
    std::optional<ErrorCode> code;
    const auto id = client.Send({}, kTimeout, [&](auto aResult) { code = aResult.error().mCode; });
    RunUntil([&] { return !mHeld.empty(); });
    bool cancelled = false;
    mHeld.front()->OnCancel([&] { cancelled = true; });
    client.Cancel(id);
    RunUntil([&] { return cancelled; });
    CPPUNIT_ASSERT(code == ErrorCode::Cancelled);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2Test);

} // namespace

} // namespace dandelionslip
