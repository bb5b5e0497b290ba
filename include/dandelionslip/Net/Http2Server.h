// HTTP/2 server over cleartext TCP.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// A request received by a server. Respond may be called from any thread.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// The remote address and port. HTTP/1.1 servers return "unknown" if the connection was lost
  /// before they could read it.
  virtual const std::string& Peer() const = 0;

  /// When the server accepted the connection. The network may have held the request up since.
  virtual TimePoint ConnectedAt() const = 0;

  /// Sends the response. Ignored after an earlier response and when the stream no longer exists.
  virtual void Respond(HttpResponse aResponse) = 0;

  /// Calls the function once if the client resets the stream or the connection is lost before
  /// Respond. Calls it immediately if that has already happened. For HTTP/1.1 the client's end of
  /// the connection counts as lost once it is shut down. Call it from the handler.
  virtual void OnCancel(std::function<void()> aFunction) = 0;
};

/// Accepts connections and calls a handler with each complete request on the event loop's threads.
class Http2Server
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Binds and starts accepting. Fails with ErrorCode::Io when the address cannot be bound.
  static Result<std::unique_ptr<Http2Server>> Listen(boost::asio::io_context& aLoop,
                                                     const Endpoint& aEndpoint, Handler aHandler);
  ~Http2Server();

  /// Stops accepting connections and sends GOAWAY on the open ones; requests in progress continue.
  void StopAccepting();

  /// Number of received requests whose response has not been sent completely.
  std::size_t OpenRequests() const;

private:
  struct State;
  explicit Http2Server(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
