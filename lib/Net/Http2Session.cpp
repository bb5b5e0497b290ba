// Reading and writing of HTTP/2 frames on a connection.
#include "Http2Session.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>

namespace dandelionslip {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t kMaxConcurrentStreams = 4096;
constexpr std::int32_t kWindowBytes = 1024 * 1024;
constexpr std::size_t kWriteBatchBytes = std::size_t{256} * 1024;

nghttp2_nv MakeField(const HttpHeader& aHeader)
{
  // nghttp2 copies names and values and does not write through these pointers.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(aHeader.mName.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(aHeader.mValue.data())),
          aHeader.mName.size(), aHeader.mValue.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

nghttp2_session_callbacks* Http2Session::MakeCallbacks()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
    callbacks, [](nghttp2_session*, const nghttp2_frame* aFrame, const std::uint8_t* aName,
                  std::size_t aNameLength, const std::uint8_t* aValue, std::size_t aValueLength,
                  std::uint8_t, void* aUser) {
      static_cast<Http2Session*>(aUser)->OnHeader(
        aFrame->hd.stream_id, {reinterpret_cast<const char*>(aName), aNameLength},
        {reinterpret_cast<const char*>(aValue), aValueLength});
      return 0;
    });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
    callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t aStream, const std::uint8_t* aData,
                  std::size_t aLength, void* aUser) {
      static_cast<Http2Session*>(aUser)->OnBody(aStream, {aData, aLength});
      return 0;
    });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
    callbacks, [](nghttp2_session*, const nghttp2_frame* aFrame, void* aUser) {
      const bool carriesEnd = aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS;
      if (carriesEnd && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        static_cast<Http2Session*>(aUser)->OnMessageEnd(aFrame->hd.stream_id);
      }
      return 0;
    });
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, [](nghttp2_session*, std::int32_t aStream, std::uint32_t aCode, void* aUser) {
      auto* self = static_cast<Http2Session*>(aUser);
      self->mOutgoing.erase(aStream);
      self->OnStreamClosed(aStream, aCode);
      return 0;
    });
  return callbacks;
}

Http2Session::Http2Session(Socket aSocket, Side aSide, std::string aPeer,
                           std::shared_ptr<TrafficCount> aTraffic)
  : mSocket(std::move(aSocket))
  , mSide(aSide)
  , mPeer(std::move(aPeer))
  , mTraffic(std::move(aTraffic))
{
  static nghttp2_session_callbacks* const kCallbacks = MakeCallbacks();
  if (mSide == Side::Server) {
    nghttp2_session_server_new(&mSession, kCallbacks, this);
  } else {
    nghttp2_session_client_new(&mSession, kCallbacks, this);
  }
}

Http2Session::~Http2Session()
{
  nghttp2_session_del(mSession);
}

void Http2Session::Start()
{
  boost::system::error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const std::array<nghttp2_settings_entry, 2> settings{{
    {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
    {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(kWindowBytes)},
  }};
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(mSession, NGHTTP2_FLAG_NONE, 0, 4 * kWindowBytes);
  Flush();
  Read();
}

void Http2Session::Close(const std::string& aReason)
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  boost::system::error_code ignored;
  mSocket.shutdown(Socket::shutdown_both, ignored);
  mSocket.close(ignored);
  OnClosed(aReason);
}

void Http2Session::SendGoAway()
{
  if (mOpen) {
    nghttp2_submit_shutdown_notice(mSession);
    nghttp2_submit_goaway(mSession, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(mSession), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    Flush();
  }
}

void Http2Session::Reset(std::int32_t aStream, std::uint32_t aCode)
{
  if (mOpen) {
    nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, aStream, aCode);
    Flush();
  }
}

ssize_t Http2Session::ReadBody(nghttp2_session* /*aSession*/, std::int32_t aStream,
                               std::uint8_t* aBuffer, std::size_t aLength, std::uint32_t* aFlags,
                               nghttp2_data_source* /*aSource*/, void* aUser)
{
  auto& outgoing = static_cast<Http2Session*>(aUser)->mOutgoing[aStream];
  const std::size_t size = std::min(aLength, outgoing.mBody.size() - outgoing.mOffset);
  std::copy_n(outgoing.mBody.data() + outgoing.mOffset, size, aBuffer);
  outgoing.mOffset += size;
  if (outgoing.mOffset == outgoing.mBody.size()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(size);
}

std::int32_t Http2Session::Submit(std::int32_t aStream, const std::vector<HttpHeader>& aHeaders,
                                  Bytes aBody)
{
  std::vector<nghttp2_nv> fields;
  fields.reserve(aHeaders.size());
  std::transform(aHeaders.begin(), aHeaders.end(), std::back_inserter(fields), MakeField);
  nghttp2_data_provider provider{};
  provider.read_callback = &Http2Session::ReadBody;
  const nghttp2_data_provider* body = aBody.empty() ? nullptr : &provider;
  std::int32_t stream = aStream;
  int status = 0;
  if (mSide == Side::Client) {
    stream = nghttp2_submit_request(mSession, nullptr, fields.data(), fields.size(), body, nullptr);
    status = stream;
  } else {
    status = nghttp2_submit_response(mSession, stream, fields.data(), fields.size(), body);
  }
  if (status < 0) {
    return status;
  }
  mOutgoing[stream] = Outgoing{std::move(aBody), 0};
  return stream;
}

void Http2Session::Flush()
{
  // nghttp2 must not be asked for output from within its callbacks. Read flushes after they return,
  // and Write after the previous write.
  if (mWriting || mReceiving || !mOpen) {
    return;
  }
  mWriteBuffer.clear();
  while (mWriteBuffer.size() < kWriteBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(mSession, &data);
    if (size < 0) {
      Close(nghttp2_strerror(static_cast<int>(size)));
      return;
    }
    if (size == 0) {
      break;
    }
    mWriteBuffer.insert(mWriteBuffer.end(), data, data + size);
  }
  if (!mWriteBuffer.empty()) {
    Write();
  } else if (nghttp2_session_want_read(mSession) == 0 &&
             nghttp2_session_want_write(mSession) == 0) {
    Close("the session ended");
  }
}

void Http2Session::Write()
{
  mWriting = true;
  mTraffic->mWritten += mWriteBuffer.size();
  asio::async_write(
    mSocket, asio::buffer(mWriteBuffer),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      self->mWriting = false;
      if (aError) {
        self->Close(aError.message());
      } else {
        self->Flush();
      }
    });
}

void Http2Session::Read()
{
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aSize) {
      if (aError) {
        self->Close(aError.message());
        return;
      }
      self->mTraffic->mRead += aSize;
      self->mReceiving = true;
      const ssize_t used =
        nghttp2_session_mem_recv(self->mSession, self->mReadBuffer.data(), aSize);
      self->mReceiving = false;
      if (used < 0) {
        self->Close(nghttp2_strerror(static_cast<int>(used)));
        return;
      }
      self->Flush();
      if (self->mOpen) {
        self->Read();
      }
    });
}

} // namespace dandelionslip
