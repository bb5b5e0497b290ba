// Non-blocking UDP socket on the event loop.
#pragma once

#include "dandelionslip/Model/Endpoint.h"

#include <functional>
#include <memory>
#include <span>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Receives datagrams on the loop's threads and sends from any thread.
class UdpSocket
{
public:
  /// The bytes may be changed; they are valid only during the call.
  using Handler = std::function<void(std::span<std::uint8_t>, const Endpoint&)>;

  /// Binds to an address; port 0 takes any free port. Fails with ErrorCode::Io.
  static Result<std::unique_ptr<UdpSocket>> Bind(boost::asio::io_context& aLoop,
                                                 const Endpoint& aLocal, Handler aHandler);
  ~UdpSocket();

  /// Sends one datagram; false when the kernel did not take it.
  bool Send(std::span<const std::uint8_t> aBytes, const Endpoint& aTo);

  /// The bound address and port.
  Endpoint Local() const;

private:
  struct State;
  explicit UdpSocket(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
