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

/// Receives datagrams on the event loop's threads and sends from any thread.
class UdpSocket
{
public:
  /// Called with a datagram and its sender. The handler may modify the bytes, which are valid only
  /// during the call.
  using Handler = std::function<void(std::span<std::uint8_t>, const Endpoint&)>;

  /// Binds to an address; port 0 selects a free port. Fails with ErrorCode::Io.
  static Result<std::unique_ptr<UdpSocket>> Bind(boost::asio::io_context& aLoop,
                                                 const Endpoint& aLocal, Handler aHandler);
  ~UdpSocket();

  /// Sends one datagram without blocking. Returns false if the kernel did not accept it.
  bool Send(std::span<const std::uint8_t> aBytes, const Endpoint& aTo);

  /// The bound address and port.
  Endpoint Local() const;

private:
  struct State;
  explicit UdpSocket(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace dandelionslip
