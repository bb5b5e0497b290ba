// UDP socket: Asio for receiving, sendto for sending.
#include "dandelionslip/Net/UdpSocket.h"

#include "AsioEndpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <array>

namespace dandelionslip {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// Maximum number of datagrams read per wake-up, so that a busy socket does not starve the others.
constexpr int kReadBatch = 64;
constexpr std::size_t kMaxDatagramBytes = 65'536;
constexpr int kReceiveBufferBytes = 4 * 1024 * 1024;

} // namespace

struct UdpSocket::State : std::enable_shared_from_this<UdpSocket::State>
{
  State(asio::io_context& aLoop, Handler aHandler)
    : mSocket(asio::make_strand(aLoop))
    , mHandler(std::move(aHandler))
  {
  }

  void Wait()
  {
    mSocket.async_wait(udp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& aError) {
                         if (!aError) {
                           self->Read();
                           self->Wait();
                         }
                       });
  }

  void Read()
  {
    for (int i = 0; i < kReadBatch; ++i) {
      udp::endpoint from;
      boost::system::error_code error;
      const std::size_t size = mSocket.receive_from(asio::buffer(mBuffer), from, 0, error);
      if (error == asio::error::would_block) {
        return;
      }
      // An ICMP "port unreachable" caused by an earlier send is reported here as an error; ignore
      // it.
      if (!error && mHandler) {
        mHandler(std::span(mBuffer.data(), size), FromAsio(from));
      }
    }
  }

  udp::socket mSocket;
  Handler mHandler;
  std::array<std::uint8_t, kMaxDatagramBytes> mBuffer{};
};

Result<std::unique_ptr<UdpSocket>> UdpSocket::Bind(asio::io_context& aLoop, const Endpoint& aLocal,
                                                   Handler aHandler)
{
  auto state = std::make_shared<State>(aLoop, std::move(aHandler));
  const auto local = ToAsio<udp>(aLocal);
  boost::system::error_code error;
  state->mSocket.open(local.protocol(), error);
  if (!error) {
    state->mSocket.bind(local, error);
  }
  if (!error) {
    state->mSocket.non_blocking(true, error);
  }
  if (error) {
    return Fail(ErrorCode::Io, "udp.bind", aLocal.ToString(), error.message());
  }
  boost::system::error_code ignored;
  state->mSocket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  state->Wait();
  return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(state)));
}

UdpSocket::UdpSocket(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

UdpSocket::~UdpSocket()
{
  asio::post(mState->mSocket.get_executor(), [state = mState] {
    boost::system::error_code ignored;
    state->mSocket.close(ignored);
    state->mHandler = nullptr;
  });
}

bool UdpSocket::Send(std::span<const std::uint8_t> aBytes, const Endpoint& aTo)
{
  // The Asio socket is not thread-safe; sendto on its descriptor is.
  const auto to = ToAsio<udp>(aTo);
  return ::sendto(mState->mSocket.native_handle(), aBytes.data(), aBytes.size(), MSG_DONTWAIT,
                  to.data(),
                  static_cast<socklen_t>(to.size())) == static_cast<ssize_t>(aBytes.size());
}

Endpoint UdpSocket::Local() const
{
  boost::system::error_code ignored;
  return FromAsio(mState->mSocket.local_endpoint(ignored));
}

} // namespace dandelionslip
