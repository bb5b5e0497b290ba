// Client side of HTTP/2: one connection to a peer, reopened when a request needs it.
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

using Timer = asio::basic_waitable_timer<RuntimeClock>;
// A peer that is off or cut off does not answer the connection attempt at all, and the operating
// system repeats it only after seconds. The peers are at most a few milliseconds away.
constexpr Milliseconds kConnectTimeout{700};

using Strand = asio::strand<asio::io_context::executor_type>;

// A request from Send until its callback has run.
struct Pending
{
  std::uint64_t mId = 0;
  HttpRequest mRequest;
  HttpResponse mResponse;
  Http2Client::Callback mCallback;
  std::unique_ptr<Timer> mTimer;
  std::int32_t mStream = 0;
  bool mComplete = false;
};

class ClientSession : public Http2Session
{
public:
  struct Listener
  {
    virtual ~Listener() = default;
    virtual void Finished(std::shared_ptr<Pending> aPending, Result<HttpResponse> aResult) = 0;
    virtual void Disconnected(const ClientSession* aSession) = 0;
  };

  ClientSession(Socket aSocket, std::string aPeer, std::shared_ptr<TrafficCount> aTraffic,
                std::weak_ptr<Listener> aListener)
    : Http2Session(std::move(aSocket), Side::Client, std::move(aPeer), std::move(aTraffic))
    , mListener(std::move(aListener))
  {
  }

  // False when the session takes no new streams; the request was not sent.
  bool Begin(const std::shared_ptr<Pending>& aPending)
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

  bool HasReadSinceMark() const { return mReadSinceMark; }
  void Mark() { mReadSinceMark = false; }

protected:
  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override
  {
    mReadSinceMark = true;
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
    mReadSinceMark = true;
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
    const auto node = mPending.extract(aStream);
    if (node.empty()) {
      return;
    }
    auto& pending = node.mapped();
    if (pending->mComplete && aCode == NGHTTP2_NO_ERROR) {
      Finish(pending, std::move(pending->mResponse));
      return;
    }
    // REFUSED_STREAM is the peer's guarantee that the request was not processed.
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
      listener->Disconnected(this);
    }
  }

private:
  void Finish(const std::shared_ptr<Pending>& aPending, Result<HttpResponse> aResult)
  {
    if (auto listener = mListener.lock()) {
      listener->Finished(aPending, std::move(aResult));
    }
  }

  std::weak_ptr<Listener> mListener;
  std::map<std::int32_t, std::shared_ptr<Pending>> mPending;
  bool mReadSinceMark = true;
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

  void Begin(const std::shared_ptr<Pending>& aPending, Milliseconds aTimeout)
  {
    mActive[aPending->mId] = aPending;
    aPending->mTimer = std::make_unique<Timer>(mStrand, aTimeout);
    aPending->mTimer->async_wait(
      [self = shared_from_this(), pending = aPending](const boost::system::error_code& aError) {
        if (!aError) {
          self->Expire(pending);
        }
      });
    if (!mSession) {
      mWaiting.push_back(aPending);
      Connect();
      return;
    }
    Dispatch(aPending);
  }

  void Dispatch(const std::shared_ptr<Pending>& aPending)
  {
    if (!mActive.contains(aPending->mId)) {
      return;
    }
    mSession->Mark();
    if (!mSession->Begin(aPending)) {
      // The session refuses new streams, for example after GOAWAY; the next one gets the request.
      mSession.reset();
      mWaiting.push_back(aPending);
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
    auto timer = std::make_shared<Timer>(mStrand, kConnectTimeout);
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
      auto waiting = std::move(self->mWaiting);
      self->mWaiting.clear();
      if (aError || self->mClosed) {
        self->FailAll(waiting, aError.message());
        return;
      }
      self->mSession = std::make_shared<ClientSession>(std::move(*socket), self->mPeer.ToString(),
                                                       self->mTraffic, self->weak_from_this());
      self->mSession->Start();
      for (const auto& pending : waiting) {
        if (self->mSession) {
          self->Dispatch(pending);
        } else {
          self->mWaiting.push_back(pending);
        }
      }
    });
  }

  void FailAll(const std::vector<std::shared_ptr<Pending>>& aWaiting, const std::string& aReason)
  {
    for (const auto& pending : aWaiting) {
      Finished(pending, Fail(ErrorCode::Unavailable, "http2.connect", mPeer.ToString(), aReason));
    }
  }

  void Expire(const std::shared_ptr<Pending>& aPending)
  {
    if (!mActive.contains(aPending->mId)) {
      return;
    }
    const bool sent = aPending->mStream != 0;
    Finished(aPending, Fail(sent ? ErrorCode::Timeout : ErrorCode::Unavailable, "http2.response",
                            mPeer.ToString(), "no complete response before the timeout"));
    if (!sent || !mSession) {
      return;
    }
    // A connection that has not delivered anything since the last request may be cut off silently.
    if (!mSession->HasReadSinceMark()) {
      const auto session = mSession;
      session->Shut("no data from the peer");
      return;
    }
    mSession->Reset(aPending->mStream, NGHTTP2_CANCEL);
  }

  void CancelById(std::uint64_t aId)
  {
    const auto found = mActive.find(aId);
    if (found == mActive.end()) {
      return;
    }
    const auto pending = found->second;
    const std::int32_t stream = pending->mStream;
    Finished(pending, Fail(ErrorCode::Cancelled, "http2.request", mPeer.ToString(), "cancelled"));
    if (stream != 0 && mSession) {
      mSession->Reset(stream, NGHTTP2_CANCEL);
    }
  }

  void Finished(std::shared_ptr<Pending> aPending, Result<HttpResponse> aResult) override
  {
    if (mActive.erase(aPending->mId) == 0) {
      return;
    }
    aPending->mTimer->cancel();
    aPending->mCallback(std::move(aResult));
  }

  void Disconnected(const ClientSession* aSession) override
  {
    if (mSession.get() == aSession) {
      mSession.reset();
    }
  }

  Strand mStrand;
  Endpoint mPeer;
  std::shared_ptr<TrafficCount> mTraffic = std::make_shared<TrafficCount>();
  std::shared_ptr<ClientSession> mSession;
  std::vector<std::shared_ptr<Pending>> mWaiting;
  std::map<std::uint64_t, std::shared_ptr<Pending>> mActive;
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
  auto pending = std::make_shared<Pending>();
  pending->mId = mState->mNextId++;
  pending->mRequest = std::move(aRequest);
  pending->mCallback = std::move(aCallback);
  asio::post(mState->mStrand,
             [state = mState, pending, aTimeout] { state->Begin(pending, aTimeout); });
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
      session->Shut("closed by the client");
    }
  });
}

const TrafficCount& Http2Client::Traffic() const
{
  return *mState->mTraffic;
}

} // namespace dandelionslip
