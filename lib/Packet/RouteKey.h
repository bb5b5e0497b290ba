// Address and port of a service, packed into one number.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FlowKey.h"

#include <optional>

namespace dandelionslip {

inline std::uint64_t RouteKeyOf(const FlowKey& aFlow)
{
  return std::uint64_t{aFlow.mServiceAddress} << 16U | aFlow.mServicePort;
}

/// Empty unless this is an IPv4 address: packets name no others.
inline std::optional<std::uint64_t> RouteKeyOf(const Endpoint& aAddress)
{
  if (!aAddress.IsV4()) {
    return std::nullopt;
  }
  return std::uint64_t{aAddress.V4Address()} << 16U | aAddress.mPort;
}

} // namespace dandelionslip
