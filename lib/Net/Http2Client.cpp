// HTTP/2 client: pending requests, and one connection that is opened when a request needs it.
#include "dandelionslip/Net/Http2Client.h"

#include "AsioEndpoint.h"
#include "Http2Session.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <charconv>
#include <optional>

namespace dandelionslip {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using AsioTimer = asio::basic_waitable_timer<RuntimeClock>;
// A peer that is powered off or unreachable does not answer a connection attempt, and the operating
// system repeats the attempt only after seconds. A reachable peer answers within a few
// milliseconds.
constexpr Milliseconds kConnectTimeout{700};

using Strand = asio::strand<asio::io_context::executor_type>;

// A request whose callback has not been called yet.
struct PendingRequest
{
  std::uint64_t mId = 0;
  HttpRequest mRequest;
  HttpResponse mResponse;
  Http2Client::Callback mCallback;
  std::unique_ptr<AsioTimer> mTimer;
  std::int32_t mStream = 0;
  bool mComplete = false;
};

class ClientSession : public Http2Session
{
public:
  struct Listener
  {
    virtual ~Listener() = default;
    virtual void OnFinished(std::shared_ptr<PendingRequest> aPending,
                            Result<HttpResponse> aResult) = 0;
    virtual void OnDisconnected(const ClientSession* aSession) = 0;
  };

  ClientSession(Socket aSocket, std::string aPeer, std::shared_ptr<TrafficCount> aTraffic,
                std::weak_ptr<Listener> aListener)
    : Http2Session(std::move(aSocket), Side::Client, std::move(aPeer), std::move(aTraffic))
    , mListener(std::move(aListener))
  {
  }

  // Sends the request. Returns false without sending it if the session accepts no new streams.
  bool SendRequest(const std::shared_ptr<PendingRequest>& aPending)
  {
    if (!IsOpen()) {
      return false;
    }
    auto& request = aPending->mRequest;
    std::vector<HttpHeader> headers{
      {":method", request.mMethod},
      {":scheme", "http"},
      {":authority", Peer()},
      {":path", request.mPath},
      {"content-length", std::to_string(request.mBody.size())},
    };
    std::move(request.mHeaders.begin(), request.mHeaders.end(), std::back_inserter(headers));
    const std::int32_t stream = Submit(0, headers, std::move(request.mBody));
    if (stream < 0) {
      return false;
    }
    aPending->mStream = stream;
    mPending[stream] = aPending;
    Flush();
    return true;
  }

  // Whether response data has arrived since the last call of ClearReceivedFlag.
  bool HasReceived() const { return mReceived; }
  void ClearReceivedFlag() { mReceived = false; }

protected:
  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override
  {
    mReceived = true;
    const auto found = mPending.find(aStream);
    if (found == mPending.end()) {
      return;
    }
    auto& response = found->second->mResponse;
    if (aName == ":status") {
      std::from_chars(aValue.data(), aValue.data() + aValue.size(), response.mStatus);
    } else if (!aName.starts_with(':')) {
      response.mHeaders.push_back({std::string(aName), std::string(aValue)});
    }
  }

  void OnBody(std::int32_t aStream, std::span<const std::uint8_t> aBytes) override
  {
    mReceived = true;
    const auto found = mPending.find(aStream);
    if (found == mPending.end()) {
      return;
    }
    auto& body = found->second->mResponse.mBody;
    if (body.size() + aBytes.size() > kMaxBodyBytes) {
      Reset(aStream, NGHTTP2_CANCEL);
      return;
    }
    body.insert(body.end(), aBytes.begin(), aBytes.end());
  }

  void OnMessageEnd(std::int32_t aStream) override
  {
    if (const auto found = mPending.find(aStream); found != mPending.end()) {
      found->second->mComplete = true;
    }
  }

  void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) override
  {
    const auto entry = mPending.extract(aStream);
    if (entry.empty()) {
      return;
    }
    auto& pending = entry.mapped();
    if (pending->mComplete && aCode == NGHTTP2_NO_ERROR) {
      Finish(pending, std::move(pending->mResponse));
      return;
    }
    // With REFUSED_STREAM the peer guarantees that the request was not processed.
    const ErrorCode code =
      aCode == NGHTTP2_REFUSED_STREAM ? ErrorCode::Unavailable : ErrorCode::Unknown;
    Finish(pending, Fail(code, "http2.response", Peer(),
                         std::string("the stream was reset: ") + nghttp2_http2_strerror(aCode)));
  }

  void OnClosed(const std::string& aReason) override
  {
    for (auto all = std::move(mPending); auto& [stream, pending] : all) {
      Finish(pending, Fail(ErrorCode::Unknown, "http2.connection", Peer(),
                           "the connection was lost before the response was complete: " + aReason));
    }
    mPending.clear();
    if (auto listener = mListener.lock()) {
      listener->OnDisconnected(this);
    }
  }

private:
  void Finish(const std::shared_ptr<PendingRequest>& aPending, Result<HttpResponse> aResult)
  {
    if (auto listener = mListener.lock()) {
      listener->OnFinished(aPending, std::move(aResult));
    }
  }

  std::weak_ptr<Listener> mListener;
  std::map<std::int32_t, std::shared_ptr<PendingRequest>> mPending;
  bool mReceived = true;
};

} // namespace

struct Http2Client::State
  : ClientSession::Listener
  , std::enable_shared_from_this<Http2Client::State>
{
  State(asio::io_context& aLoop, const Endpoint& aPeer)
    : mStrand(asio::make_strand(aLoop))
    , mPeer(aPeer)
  {
  }

  void StartRequest(const std::shared_ptr<PendingRequest>& aPending, Milliseconds aTimeout)
  {
    mRequests[aPending->mId] = aPending;
    aPending->mTimer = std::make_unique<AsioTimer>(mStrand, aTimeout);
    aPending->mTimer->async_wait(
      [self = shared_from_this(), pending = aPending](const boost::system::error_code& aError) {
        if (!aError) {
          self->OnTimeout(pending);
        }
      });
    if (!mSession) {
      mWaitingForConnection.push_back(aPending);
      Connect();
      return;
    }
    Dispatch(aPending);
  }

  void Dispatch(const std::shared_ptr<PendingRequest>& aPending)
  {
    if (!mRequests.contains(aPending->mId)) {
      return;
    }
    mSession->ClearReceivedFlag();
    if (!mSession->SendRequest(aPending)) {
      // The session accepts no new streams, for example after GOAWAY: send on a new connection.
      mSession.reset();
      mWaitingForConnection.push_back(aPending);
      Connect();
    }
  }

  void Connect()
  {
    if (mConnecting) {
      return;
    }
    mConnecting = true;
    auto socket = std::make_shared<tcp::socket>(mStrand);
    auto timer = std::make_shared<AsioTimer>(mStrand, kConnectTimeout);
    timer->async_wait([socket](const boost::system::error_code& aError) {
      if (!aError) {
        boost::system::error_code ignored;
        socket->close(ignored);
      }
    });
    socket->async_connect(ToAsio<tcp>(mPeer), [self = shared_from_this(), socket,
                                               timer](const boost::system::error_code& aError) {
      timer->cancel();
      self->mConnecting = false;
      auto waiting = std::move(self->mWaitingForConnection);
      self->mWaitingForConnection.clear();
      if (aError || self->mClosed) {
        self->FailWaiting(waiting, aError.message());
        return;
      }
      self->mSession = std::make_shared<ClientSession>(std::move(*socket), self->mPeer.ToString(),
                                                       self->mTraffic, self->weak_from_this());
      self->mSession->Start();
      for (const auto& pending : waiting) {
        if (self->mSession) {
          self->Dispatch(pending);
        } else {
          self->mWaitingForConnection.push_back(pending);
        }
      }
    });
  }

  void FailWaiting(const std::vector<std::shared_ptr<PendingRequest>>& aWaiting,
                   const std::string& aReason)
  {
    for (const auto& pending : aWaiting) {
      OnFinished(pending, Fail(ErrorCode::Unavailable, "http2.connect", mPeer.ToString(), aReason));
    }
  }

  void OnTimeout(const std::shared_ptr<PendingRequest>& aPending)
  {
    if (!mRequests.contains(aPending->mId)) {
      return;
    }
    const bool sent = aPending->mStream != 0;
    OnFinished(aPending, Fail(sent ? ErrorCode::Timeout : ErrorCode::Unavailable, "http2.response",
                              mPeer.ToString(), "no complete response before the timeout"));
    if (!sent || !mSession) {
      return;
    }
    // If no response data has arrived since the last request was sent, the connection may be dead
    // without an error from the network. Close it, so that the next request opens a new one.
    if (!mSession->HasReceived()) {
      const auto session = mSession;
      session->Close("no data from the peer");
      return;
    }
    mSession->Reset(aPending->mStream, NGHTTP2_CANCEL);
  }

  void CancelById(std::uint64_t aId)
  {
    const auto found = mRequests.find(aId);
    if (found == mRequests.end()) {
      return;
    }
    const auto pending = found->second;
    const std::int32_t stream = pending->mStream;
    OnFinished(pending, Fail(ErrorCode::Cancelled, "http2.request", mPeer.ToString(), "cancelled"));
    if (stream != 0 && mSession) {
      mSession->Reset(stream, NGHTTP2_CANCEL);
    }
  }

  void OnFinished(std::shared_ptr<PendingRequest> aPending, Result<HttpResponse> aResult) override
  {
    if (mRequests.erase(aPending->mId) == 0) {
      return;
    }
    aPending->mTimer->cancel();
    aPending->mCallback(std::move(aResult));
  }

  void OnDisconnected(const ClientSession* aSession) override
  {
    if (mSession.get() == aSession) {
      mSession.reset();
    }
  }

  Strand mStrand;
  Endpoint mPeer;
  std::shared_ptr<TrafficCount> mTraffic = std::make_shared<TrafficCount>();
  std::shared_ptr<ClientSession> mSession;
  std::vector<std::shared_ptr<PendingRequest>> mWaitingForConnection;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> mRequests;
  std::atomic<std::uint64_t> mNextId{1};
  bool mConnecting = false;
  bool mClosed = false;
};

Http2Client::Http2Client(asio::io_context& aLoop, const Endpoint& aPeer)
  : mState(std::make_shared<State>(aLoop, aPeer))
{
}

Http2Client::~Http2Client()
{
  Close();
}

std::uint64_t Http2Client::Send(HttpRequest aRequest, Milliseconds aTimeout, Callback aCallback)
{
  auto pending = std::make_shared<PendingRequest>();
  pending->mId = mState->mNextId++;
  pending->mRequest = std::move(aRequest);
  pending->mCallback = std::move(aCallback);
  asio::post(mState->mStrand,
             [state = mState, pending, aTimeout] { state->StartRequest(pending, aTimeout); });
  return pending->mId;
}

void Http2Client::Cancel(std::uint64_t aRequestId)
{
  asio::post(mState->mStrand, [state = mState, aRequestId] { state->CancelById(aRequestId); });
}

void Http2Client::Close()
{
  asio::post(mState->mStrand, [state = mState] {
    state->mClosed = true;
    if (const auto session = state->mSession) {
      session->Close("closed by the client");
    }
  });
}

const TrafficCount& Http2Client::Traffic() const
{
  return *mState->mTraffic;
}

} // namespace dandelionslip
