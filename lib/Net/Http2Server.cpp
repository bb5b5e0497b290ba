// HTTP/2 server: accepts connections, assembles complete requests and sends responses.
#include "dandelionslip/Net/Http2Server.h"

#include "AsioEndpoint.h"
#include "Http2Session.h"

#include "dandelionslip/Support/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace dandelionslip {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

class ServerSession;

class Exchange : public HttpExchange
{
public:
  Exchange(std::weak_ptr<ServerSession> aSession, std::int32_t aStream, std::string aPeer,
           TimePoint aConnectedAt)
    : mSession(std::move(aSession))
    , mStream(aStream)
    , mPeer(std::move(aPeer))
    , mConnectedAt(aConnectedAt)
  {
  }

  const HttpRequest& Request() const override { return mRequest; }
  const std::string& Peer() const override { return mPeer; }
  TimePoint ConnectedAt() const override { return mConnectedAt; }
  void Respond(HttpResponse aResponse) override;

  void OnCancel(std::function<void()> aFunction) override
  {
    {
      const std::lock_guard lock(mMutex);
      if (!mCancelled) {
        mOnCancel = std::move(aFunction);
        return;
      }
    }
    aFunction();
  }

  // Calls the OnCancel function unless Respond was called before.
  void Cancel()
  {
    std::function<void()> function;
    {
      const std::lock_guard lock(mMutex);
      mCancelled = true;
      function.swap(mOnCancel);
    }
    if (function && !mResponded.load()) {
      function();
    }
  }

  HttpRequest mRequest;
  bool mComplete = false;
  std::atomic<bool> mResponded{false};

private:
  std::weak_ptr<ServerSession> mSession;
  std::int32_t mStream;
  std::string mPeer;
  TimePoint mConnectedAt;
  std::mutex mMutex;
  std::function<void()> mOnCancel;
  bool mCancelled = false;
};

class ServerSession : public Http2Session
{
public:
  ServerSession(Socket aSocket, std::string aPeer, Http2Server::Handler aHandler,
                std::shared_ptr<std::atomic<std::size_t>> aOpenRequests)
    : Http2Session(std::move(aSocket), Side::Server, std::move(aPeer))
    , mHandler(std::move(aHandler))
    , mOpenRequests(std::move(aOpenRequests))
  {
  }

  std::shared_ptr<ServerSession> Self()
  {
    return std::static_pointer_cast<ServerSession>(shared_from_this());
  }

  void SendResponse(std::int32_t aStream, HttpResponse aResponse)
  {
    if (!IsOpen() || !mExchanges.contains(aStream)) {
      return;
    }
    std::vector<HttpHeader> headers{
      {":status", std::to_string(aResponse.mStatus)},
      {"content-length", std::to_string(aResponse.mBody.size())},
    };
    std::move(aResponse.mHeaders.begin(), aResponse.mHeaders.end(), std::back_inserter(headers));
    Submit(aStream, headers, std::move(aResponse.mBody));
    Flush();
  }

protected:
  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override
  {
    auto& request = FindOrCreate(aStream).mRequest;
    if (aName == ":method") {
      request.mMethod = aValue;
    } else if (aName == ":path") {
      request.mPath = aValue;
    } else if (!aName.starts_with(':')) {
      request.mHeaders.push_back({std::string(aName), std::string(aValue)});
    }
  }

  void OnBody(std::int32_t aStream, std::span<const std::uint8_t> aBytes) override
  {
    auto& body = FindOrCreate(aStream).mRequest.mBody;
    if (body.size() + aBytes.size() > kMaxBodyBytes) {
      Reset(aStream, NGHTTP2_ENHANCE_YOUR_CALM);
      return;
    }
    body.insert(body.end(), aBytes.begin(), aBytes.end());
  }

  void OnMessageEnd(std::int32_t aStream) override
  {
    FindOrCreate(aStream).mComplete = true;
    ++*mOpenRequests;
    mHandler(mExchanges[aStream]);
  }

  void OnStreamClosed(std::int32_t aStream, std::uint32_t /*aCode*/) override
  {
    if (const auto entry = mExchanges.extract(aStream); !entry.empty()) {
      OnExchangeEnded(*entry.mapped());
    }
  }

  void OnClosed(const std::string& /*aReason*/) override
  {
    for (auto exchanges = std::move(mExchanges); auto& [stream, exchange] : exchanges) {
      OnExchangeEnded(*exchange);
    }
    mExchanges.clear();
  }

private:
  Exchange& FindOrCreate(std::int32_t aStream)
  {
    auto& slot = mExchanges[aStream];
    if (!slot) {
      slot = std::make_shared<Exchange>(Self(), aStream, Peer(), mConnectedAt);
    }
    return *slot;
  }

  void OnExchangeEnded(Exchange& aExchange)
  {
    if (aExchange.mComplete) {
      --*mOpenRequests;
    }
    aExchange.Cancel();
  }

  Http2Server::Handler mHandler;
  TimePoint mConnectedAt = RuntimeClock::now();
  std::shared_ptr<std::atomic<std::size_t>> mOpenRequests;
  std::map<std::int32_t, std::shared_ptr<Exchange>> mExchanges;
};

void Exchange::Respond(HttpResponse aResponse)
{
  if (mResponded.exchange(true)) {
    return;
  }
  if (auto session = mSession.lock()) {
    asio::post(session->Transport().get_executor(),
               [session, stream = mStream, response = std::move(aResponse)]() mutable {
                 session->SendResponse(stream, std::move(response));
               });
  }
}

} // namespace

struct Http2Server::State : std::enable_shared_from_this<Http2Server::State>
{
  State(asio::io_context& aLoop, Handler aHandler)
    : mLoop(aLoop)
    , mAcceptor(asio::make_strand(aLoop))
    , mHandler(std::move(aHandler))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      asio::make_strand(mLoop),
      [self = shared_from_this()](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted || !self->mAcceptor.is_open()) {
          return;
        }
        if (!aError) {
          self->StartSession(std::move(aSocket));
        }
        self->Accept();
      });
  }

  void StartSession(tcp::socket aSocket)
  {
    boost::system::error_code error;
    const auto remote = aSocket.remote_endpoint(error);
    if (error) {
      return;
    }
    auto session = std::make_shared<ServerSession>(std::move(aSocket), FromAsio(remote).ToString(),
                                                   mHandler, mOpenRequests);
    std::erase_if(mSessions, [](const auto& aSession) { return aSession.expired(); });
    mSessions.push_back(session);
    asio::post(session->Transport().get_executor(), [session] { session->Start(); });
  }

  asio::io_context& mLoop;
  tcp::acceptor mAcceptor;
  Handler mHandler;
  std::vector<std::weak_ptr<ServerSession>> mSessions;
  std::shared_ptr<std::atomic<std::size_t>> mOpenRequests =
    std::make_shared<std::atomic<std::size_t>>(0);
};

Result<std::unique_ptr<Http2Server>> Http2Server::Listen(asio::io_context& aLoop,
                                                         const Endpoint& aEndpoint,
                                                         Handler aHandler)
{
  auto state = std::make_shared<State>(aLoop, std::move(aHandler));
  if (const auto opened = OpenAcceptor(state->mAcceptor, aEndpoint, "http2.listen"); !opened) {
    return opened.as_failure();
  }
  state->Accept();
  return std::unique_ptr<Http2Server>(new Http2Server(std::move(state)));
}

Http2Server::Http2Server(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

Http2Server::~Http2Server()
{
  StopAccepting();
}

void Http2Server::StopAccepting()
{
  asio::post(mState->mAcceptor.get_executor(), [state = mState] {
    boost::system::error_code ignored;
    state->mAcceptor.close(ignored);
    for (const auto& weak : state->mSessions) {
      if (auto session = weak.lock()) {
        asio::post(session->Transport().get_executor(), [session] { session->SendGoAway(); });
      }
    }
    state->mSessions.clear();
  });
}

std::size_t Http2Server::OpenRequests() const
{
  return mState->mOpenRequests->load();
}

} // namespace dandelionslip
