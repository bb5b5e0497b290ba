// One attempt to connect, with Asio.
#include "dandelionslip/Net/ConnectionCheck.h"

#include "AsioEndpoint.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace dandelionslip {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string_view ToString(ConnectionOutcome aOutcome)
{
  switch (aOutcome) {
    case ConnectionOutcome::Accepted:
      return "accepted";
    case ConnectionOutcome::Refused:
      return "refused";
    case ConnectionOutcome::Unknown:
      break;
  }
  return "unknown";
}

void TryConnection(asio::io_context& aLoop, const Endpoint& aTo,
                   std::function<void(ConnectionOutcome)> aDone)
{
  const auto socket = std::make_shared<tcp::socket>(aLoop);
  socket->async_connect(
    ToAsio<tcp>(aTo), [socket, done = std::move(aDone)](const boost::system::error_code& aError) {
      boost::system::error_code ignored;
      socket->close(ignored);
      done(!aError                                     ? ConnectionOutcome::Accepted
           : aError == asio::error::connection_refused ? ConnectionOutcome::Refused
                                                       : ConnectionOutcome::Unknown);
    });
}

} // namespace dandelionslip
