// HTTP/1.1 server over cleartext TCP, for callers that do not speak HTTP/2.
#pragma once

#include "dandelionslip/Net/Http2Server.h"

#include <memory>

namespace dandelionslip {

/// How many requests a connection carries.
enum class ConnectionUse
{
  ManyRequests, ///< One at a time; the connection stays open between requests.
  OneRequest,   ///< The server closes the connection after the response.
};

/// Accepts connections and calls a handler with each complete request on the event loop's threads.
class Http1Server
{
public:
  using Handler = Http2Server::Handler;

  /// Binds and starts accepting. Fails with ErrorCode::Io when the address cannot be bound.
  static Result<std::unique_ptr<Http1Server>> Listen(
    boost::asio::io_context& aLoop, const Endpoint& aEndpoint, Handler aHandler,
    ConnectionUse aUse = ConnectionUse::ManyRequests);
  ~Http1Server();

private:
  struct State;
  explicit Http1Server(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
