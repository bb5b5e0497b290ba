// Address and port of a service, packed into one number.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FlowKey.h"

namespace dandelionslip {

inline std::uint64_t RouteKeyOf(const FlowKey& aFlow)
{
  return std::uint64_t{aFlow.mServiceAddress} << 16U | aFlow.mServicePort;
}

inline std::uint64_t RouteKeyOf(const Endpoint& aAddress)
{
  return std::uint64_t{aAddress.V4Address()} << 16U | aAddress.mPort;
}

} // namespace dandelionslip
