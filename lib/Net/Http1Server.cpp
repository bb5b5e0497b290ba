// HTTP/1.1 server on Boost.Beast.
#include "dandelionslip/Net/Http1Server.h"

#include "AsioEndpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>

namespace dandelionslip {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Limit for receiving a request and, separately, for writing its response. An idle connection is
// closed after this time; clients of the control interface send their next request within a few
// seconds.
constexpr std::chrono::seconds kConnectionTimeout{30};

// Largest accepted request body: 1 MiB, 16 times the route table (64 KiB) of the largest deployment
// that the system is designed for.
constexpr std::uint64_t kMaxHttp1BodyBytes = 1U << 20U;

using BeastRequest = http::request<http::vector_body<std::uint8_t>>;

HttpRequest ConvertRequest(BeastRequest aRequest)
{
  HttpRequest request;
  request.mMethod = std::string(aRequest.method_string());
  request.mPath = std::string(aRequest.target());
  for (const auto& field : aRequest) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char aCharacter) { return std::tolower(aCharacter); });
    request.mHeaders.push_back({std::move(name), std::string(field.value())});
  }
  request.mBody = std::move(aRequest.body());
  return request;
}

struct Connection : std::enable_shared_from_this<Connection>
{
  Connection(tcp::socket aSocket, Http1Server::Handler aHandler, ConnectionUse aUse)
    : mStream(std::move(aSocket))
    , mHandler(std::move(aHandler))
    , mUse(aUse)
  {
    boost::system::error_code error;
    const auto peer = mStream.socket().remote_endpoint(error);
    mPeer = error ? std::string("unknown") : FromAsio(peer).ToString();
  }

  void Read();
  void Write(HttpResponse aResponse);
  /// Whether the client has shut down or lost the connection.
  bool IsClosedByClient();
  /// Calls the function once the client closes the connection; not after the next response.
  void NotifyClosed(std::function<void()> aFunction);
  void Close()
  {
    boost::system::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    mStream.close();
  }

  boost::beast::tcp_stream mStream;
  Http1Server::Handler mHandler;
  ConnectionUse mUse;
  TimePoint mAcceptedAt = RuntimeClock::now();
  std::string mPeer;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<http::request_parser<http::vector_body<std::uint8_t>>> mParser;
  http::response<http::vector_body<std::uint8_t>> mResponse;
  bool mKeepAlive = false;
  unsigned mVersion = 11;
};

class Exchange : public HttpExchange
{
public:
  Exchange(std::shared_ptr<Connection> aConnection, HttpRequest aRequest)
    : mConnection(std::move(aConnection))
    , mRequest(std::move(aRequest))
  {
  }
  // Closes the connection if the handler released the exchange without a response, so that the
  // client does not wait for its own timeout.
  ~Exchange() override
  {
    if (!mResponded) {
      asio::post(mConnection->mStream.get_executor(),
                 [connection = mConnection] { connection->Close(); });
    }
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const HttpRequest& Request() const override { return mRequest; }
  const std::string& Peer() const override { return mConnection->mPeer; }
  TimePoint ConnectedAt() const override { return mConnection->mAcceptedAt; }

  void Respond(HttpResponse aResponse) override
  {
    if (mResponded.exchange(true)) {
      return;
    }
    asio::dispatch(mConnection->mStream.get_executor(),
                   [connection = mConnection, response = std::move(aResponse)]() mutable {
                     connection->Write(std::move(response));
                   });
  }

  void OnCancel(std::function<void()> aFunction) override
  {
    mConnection->NotifyClosed(std::move(aFunction));
  }

private:
  std::shared_ptr<Connection> mConnection;
  HttpRequest mRequest;
  std::atomic<bool> mResponded{false};
};

void Connection::Read()
{
  mParser = std::make_unique<http::request_parser<http::vector_body<std::uint8_t>>>();
  mParser->body_limit(kMaxHttp1BodyBytes);
  mStream.expires_after(kConnectionTimeout);
  http::async_read(
    mStream, mBuffer, *mParser,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Close();
        return;
      }
      auto request = self->mParser->release();
      self->mKeepAlive = request.keep_alive() && self->mUse == ConnectionUse::ManyRequests;
      self->mVersion = request.version();
      self->mHandler(std::make_shared<Exchange>(self, ConvertRequest(std::move(request))));
    });
}

bool Connection::IsClosedByClient()
{
  std::uint8_t byte = 0;
  const auto count =
    ::recv(mStream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Connection::NotifyClosed(std::function<void()> aFunction)
{
  if (IsClosedByClient()) {
    aFunction();
    return;
  }
  mStream.socket().async_wait(tcp::socket::wait_read,
                              [self = shared_from_this(), function = std::move(aFunction)](
                                const boost::system::error_code& aError) {
                                if (!aError && self->IsClosedByClient()) {
                                  function();
                                }
                              });
}

void Connection::Write(HttpResponse aResponse)
{
  mResponse = {};
  mResponse.version(mVersion);
  mResponse.result(static_cast<unsigned>(aResponse.mStatus));
  for (const auto& [name, value] : aResponse.mHeaders) {
    mResponse.set(name, value);
  }
  mResponse.keep_alive(mKeepAlive);
  mResponse.body() = std::move(aResponse.mBody);
  mResponse.prepare_payload();
  mStream.expires_after(kConnectionTimeout);
  http::async_write(mStream, mResponse,
                    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                      if (aError || !self->mKeepAlive) {
                        self->Close();
                        return;
                      }
                      // Ends the wait of NotifyClosed.
                      boost::system::error_code ignored;
                      self->mStream.socket().cancel(ignored);
                      self->Read();
                    });
}

} // namespace

struct Http1Server::State : std::enable_shared_from_this<Http1Server::State>
{
  State(asio::io_context& aLoop, Handler aHandler, ConnectionUse aUse)
    : mLoop(aLoop)
    , mAcceptor(asio::make_strand(aLoop))
    , mHandler(std::move(aHandler))
    , mUse(aUse)
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      asio::make_strand(mLoop),
      [self = shared_from_this()](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (!self->mAcceptor.is_open()) {
          return;
        }
        if (!aError) {
          boost::system::error_code ignored;
          aSocket.set_option(tcp::no_delay(true), ignored);
          std::make_shared<Connection>(std::move(aSocket), self->mHandler, self->mUse)->Read();
        }
        self->Accept();
      });
  }

  asio::io_context& mLoop;
  tcp::acceptor mAcceptor;
  Handler mHandler;
  ConnectionUse mUse;
};

Result<std::unique_ptr<Http1Server>> Http1Server::Listen(asio::io_context& aLoop,
                                                         const Endpoint& aEndpoint,
                                                         Handler aHandler, ConnectionUse aUse)
{
  auto state = std::make_shared<State>(aLoop, std::move(aHandler), aUse);
  if (const auto opened = OpenAcceptor(state->mAcceptor, aEndpoint, "http1.listen"); !opened) {
    return opened.as_failure();
  }
  state->Accept();
  return std::unique_ptr<Http1Server>(new Http1Server(std::move(state)));
}

Http1Server::Http1Server(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

Http1Server::~Http1Server()
{
  asio::post(mState->mAcceptor.get_executor(), [state = mState] {
    boost::system::error_code ignored;
    state->mAcceptor.close(ignored);
  });
}

} // namespace dandelionslip
