// Finds out whether a VM refuses TCP connections to an endpoint.
#pragma once

#include "dandelionslip/Model/Endpoint.h"

#include <functional>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// What became of an attempt to connect.
enum class ConnectionOutcome
{
  Accepted,
  Refused, ///< The VM runs, and nothing listens at the endpoint.
  Unknown, ///< Any other error, for example no answer.
};

std::string_view ToString(ConnectionOutcome aOutcome);

/// Tries one connection and closes it at once. Calls aDone on the event loop when the outcome is
/// known; the kernel's timeout of some minutes is the limit.
void TryConnection(boost::asio::io_context& aLoop, const Endpoint& aTo,
                   std::function<void(ConnectionOutcome)> aDone);

} // namespace dandelionslip
