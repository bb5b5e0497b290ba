// One HTTP/2 connection: nghttp2 on an Asio socket. Base of the client and server sessions.
#pragma once

#include "dandelionslip/Net/Http2Client.h"
#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Support/Error.h"

#include <nghttp2/nghttp2.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Reads and writes frames. All methods must be called on the socket's strand.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  virtual ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Sends the SETTINGS frame and starts reading.
  void Start();

  /// Closes the socket and calls OnClosed with aReason. Does nothing if already closed.
  void Close(const std::string& aReason);

  /// Sends GOAWAY; streams in progress continue.
  void SendGoAway();

  /// Resets one stream.
  void Reset(std::int32_t aStream, std::uint32_t aCode);

  bool IsOpen() const { return mOpen; }
  Socket& Transport() { return mSocket; }
  const std::string& Peer() const { return mPeer; }

protected:
  enum class Side
  {
    Server,
    Client,
  };

  Http2Session(Socket aSocket, Side aSide, std::string aPeer,
               std::shared_ptr<TrafficCount> aTraffic = std::make_shared<TrafficCount>());

  virtual void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) = 0;
  virtual void OnBody(std::int32_t aStream, std::span<const std::uint8_t> aBytes) = 0;
  /// The complete message has been received; nghttp2 has checked its body against content-length.
  virtual void OnMessageEnd(std::int32_t aStream) = 0;
  /// aCode is an HTTP/2 error code, 0 if the stream ended normally.
  virtual void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) = 0;
  virtual void OnClosed(const std::string& aReason) = 0;

  /// Queues a request (client; aStream is ignored) or the response on aStream (server). Returns the
  /// stream or a negative nghttp2 error code.
  std::int32_t Submit(std::int32_t aStream, const std::vector<HttpHeader>& aHeaders, Bytes aBody);

  /// Writes queued frames to the socket.
  void Flush();

private:
  struct Outgoing
  {
    Bytes mBody;
    std::size_t mOffset = 0;
  };

  static ssize_t ReadBody(nghttp2_session* aSession, std::int32_t aStream, std::uint8_t* aBuffer,
                          std::size_t aLength, std::uint32_t* aFlags, nghttp2_data_source* aSource,
                          void* aUser);
  static nghttp2_session_callbacks* MakeCallbacks();
  void Read();
  void Write();

  Socket mSocket;
  Side mSide;
  std::string mPeer;
  std::shared_ptr<TrafficCount> mTraffic;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, Outgoing> mOutgoing;
  std::array<std::uint8_t, 65'536> mReadBuffer{};
  Bytes mWriteBuffer;
  bool mWriting = false;
  bool mReceiving = false;
  bool mOpen = true;
};

} // namespace dandelionslip
