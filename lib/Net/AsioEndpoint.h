// Conversion between Endpoint and Asio's endpoints, and opening of listening sockets.
#pragma once

#include "dandelionslip/Model/Endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>

namespace dandelionslip {

template <typename Protocol>
typename Protocol::endpoint ToAsio(const Endpoint& aEndpoint)
{
  boost::asio::ip::address_v6::bytes_type bytes{};
  std::copy(aEndpoint.mAddress.begin(), aEndpoint.mAddress.end(), bytes.begin());
  const boost::asio::ip::address_v6 address(bytes);
  if (address.is_v4_mapped()) {
    return {boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, address), aEndpoint.mPort};
  }
  return {address, aEndpoint.mPort};
}

template <typename AsioEndpoint>
Endpoint FromAsio(const AsioEndpoint& aEndpoint)
{
  const auto address = aEndpoint.address();
  const auto bytes =
    (address.is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, address.to_v4())
                     : address.to_v6())
      .to_bytes();
  Endpoint endpoint;
  std::copy(bytes.begin(), bytes.end(), endpoint.mAddress.begin());
  endpoint.mPort = aEndpoint.port();
  return endpoint;
}

/// Opens, binds and listens. Fails with ErrorCode::Io; the error names aStep and the address.
inline Result<void> OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor,
                                 const Endpoint& aEndpoint, const char* aStep)
{
  using boost::asio::ip::tcp;
  const auto local = ToAsio<tcp>(aEndpoint);
  boost::system::error_code error;
  aAcceptor.open(local.protocol(), error);
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(local, error);
  }
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::Io, aStep, aEndpoint.ToString(), error.message());
  }
  return Ok();
}

} // namespace dandelionslip
