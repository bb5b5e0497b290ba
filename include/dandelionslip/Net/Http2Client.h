// HTTP/2 client over one cleartext TCP connection.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Bytes received and sent by one client, HTTP/2 framing included.
struct TrafficCount
{
  std::atomic<std::uint64_t> mRead{0};
  std::atomic<std::uint64_t> mWritten{0};
};

/// Sends requests to one peer over one connection, which is opened when a request needs it.
/// Thread-safe.
class Http2Client
{
public:
  /// Receives the complete response or an error: Unavailable when the peer certainly did not
  /// process the request, Unknown when it may have, Timeout when it was sent and no complete
  /// response arrived in time, Cancelled after Cancel.
  using Callback = std::function<void(Result<HttpResponse>)>;

  Http2Client(boost::asio::io_context& aLoop, const Endpoint& aPeer);
  ~Http2Client();

  /// Sends a request and returns its id for Cancel. The callback runs once, on a thread of the
  /// event loop.
  std::uint64_t Send(HttpRequest aRequest, Milliseconds aTimeout, Callback aCallback);

  /// Cancels a pending request: resets its stream and calls its callback with Cancelled.
  void Cancel(std::uint64_t aRequestId);

  /// Closes the connection. Requests in progress and later ones fail.
  void Close();

  const TrafficCount& Traffic() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
