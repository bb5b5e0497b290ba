// HTTP/2 server over cleartext TCP.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Net/HttpMessage.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// One request at the server, to be answered once from any thread.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// The remote address and port.
  virtual const std::string& Peer() const = 0;

  /// Sends the answer. Ignored when the stream is gone or was answered before.
  virtual void Respond(HttpResponse aResponse) = 0;

  /// Calls the function once if the caller resets the stream or its connection is lost before the
  /// answer was given. Calls it at once if that has already happened.
  virtual void OnCancel(std::function<void()> aFunction) = 0;
};

/// Accepts connections and hands whole requests to a handler on the loop's threads.
class Http2Server
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Binds and starts accepting. Fails with ErrorCode::Io when the address cannot be bound.
  static Result<std::unique_ptr<Http2Server>> Listen(boost::asio::io_context& aLoop,
                                                     const Endpoint& aEndpoint, Handler aHandler);
  ~Http2Server();

  /// Stops accepting and sends GOAWAY on every connection; running requests continue.
  void StopAccepting();

  /// Number of requests that have not been answered and written yet.
  std::size_t OpenRequests() const;

private:
  struct State;
  explicit Http2Server(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
