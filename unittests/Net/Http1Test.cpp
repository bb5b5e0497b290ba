// Tests of the HTTP/1.1 server over loopback.
#include "dandelionslip/Net/Http1Server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace dandelionslip {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint16_t kPort = 17'411;

class Http1Test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(Http1Test);
  CPPUNIT_TEST(ConnectionsCarrySeveralRequests);
  CPPUNIT_TEST(ConnectionsForOneRequestAreClosedAfterItsResponse);
  CPPUNIT_TEST(DroppedExchangesEndTheConnection);
  CPPUNIT_TEST(MalformedRequestsEndTheConnection);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context mLoop;
  std::unique_ptr<Http1Server> mServer;
  std::thread mThread;
  std::atomic<bool> mDrop{false};

public:
  void setUp() override
  {
    auto server =
      Http1Server::Listen(mLoop, Endpoint::Parse("127.0.0.1:" + std::to_string(kPort)).value(),
                          [this](const std::shared_ptr<HttpExchange>& aExchange) {
                            if (mDrop) {
                              return;
                            }
                            HttpResponse response;
                            const std::string text =
                              aExchange->Request().mMethod + " " + aExchange->Request().mPath;
                            response.mBody.assign(text.begin(), text.end());
                            aExchange->Respond(std::move(response));
                          });
    CPPUNIT_ASSERT(server.has_value());
    mServer = std::move(server.value());
    mThread = std::thread([this] { mLoop.run(); });
  }

  void tearDown() override
  {
    mServer.reset();
    mThread.join();
  }

private:
  // Sends a text and returns what is received until the marker or the end of the connection.
  static std::string SendAndReceive(tcp::socket& aSocket, const std::string& aText,
                                    const std::string& aMarker)
  {
    asio::write(aSocket, asio::buffer(aText));
    std::string received;
    boost::system::error_code ignored;
    asio::read_until(aSocket, asio::dynamic_buffer(received), aMarker, ignored);
    return received;
  }

  static tcp::socket Connect(asio::io_context& aLoop)
  {
    tcp::socket socket(aLoop);
    socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
    return socket;
  }

  // Guards against a connection that is closed after one response although the client keeps it
  // open.
  void ConnectionsCarrySeveralRequests()
  {
    asio::io_context loop;
    tcp::socket socket = Connect(loop);
    const std::string first =
      SendAndReceive(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /a");
    CPPUNIT_ASSERT(first.find("200") != std::string::npos);
    const std::string second = SendAndReceive(
      socket, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", "POST /b");
    CPPUNIT_ASSERT(second.find("POST /b") != std::string::npos);
  }

  // Guards against a request whose age cannot be told, because it may have been sent at any time
  // since the response to the request before.
  void ConnectionsForOneRequestAreClosedAfterItsResponse()
  {
    asio::io_context loop;
    const TimePoint before = RuntimeClock::now();
    std::atomic<std::int64_t> connectedAfter{-1};
    auto server = Http1Server::Listen(
      mLoop, Endpoint::Parse("127.0.0.1:" + std::to_string(kPort + 1)).value(),
      [&](const std::shared_ptr<HttpExchange>& aExchange) {
        connectedAfter = (aExchange->ConnectedAt() - before).count();
        aExchange->Respond({});
      },
      ConnectionUse::OneRequest);
    CPPUNIT_ASSERT(server.has_value());
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), kPort + 1);
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    tcp::socket socket(loop);
    socket.connect(endpoint);
    // The server accepts connections in turn, so it has accepted the first one before it responds.
    tcp::socket other(loop);
    other.connect(endpoint);
    SendAndReceive(other, request, "never");
    const TimePoint sentAt = RuntimeClock::now();
    const std::string received = SendAndReceive(socket, request, "never");
    CPPUNIT_ASSERT(received.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(connectedAfter >= 0 && connectedAfter < (sentAt - before).count());
  }

  // Guards against a client that waits for its own timeout because the handler did not respond.
  void DroppedExchangesEndTheConnection()
  {
    mDrop = true;
    asio::io_context loop;
    tcp::socket socket = Connect(loop);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         SendAndReceive(socket, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "never"));
  }

  // Guards against a response to a request that cannot be parsed, and against a connection that
  // stays open after it.
  void MalformedRequestsEndTheConnection()
  {
    asio::io_context loop;
    tcp::socket socket = Connect(loop);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         SendAndReceive(socket, "\x01\x02 nonsense\r\n\r\n", "never"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1Test);

} // namespace

} // namespace dandelionslip
