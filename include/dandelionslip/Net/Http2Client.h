// HTTP/2 client over one cleartext TCP connection, reopened on demand.
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

/// Bytes on the wire of one client, frames included.
struct TrafficCount
{
  std::atomic<std::uint64_t> mRead{0};
  std::atomic<std::uint64_t> mWritten{0};
};

/// Sends requests to one peer. Thread-safe.
class Http2Client
{
public:
  /// Receives a complete response or an error:
  /// Unavailable when the request certainly never reached the peer's application,
  /// Unknown when it may have, Timeout and Cancelled when the wait ended first.
  using Callback = std::function<void(Result<HttpResponse>)>;

  Http2Client(boost::asio::io_context& aLoop, const Endpoint& aPeer);
  ~Http2Client();

  /// Sends a request and returns an id for Cancel. The callback runs once on a loop thread.
  std::uint64_t Send(HttpRequest aRequest, Milliseconds aTimeout, Callback aCallback);

  /// Resets the stream of a request; its callback receives Cancelled.
  void Cancel(std::uint64_t aRequestId);

  /// Closes the connection; requests in flight fail.
  void Close();

  const TrafficCount& Traffic() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
