// Address and port of a route as one number.
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
  constexpr std::size_t kV4Offset = 12;
  std::uint64_t address = 0;
  for (std::size_t i = kV4Offset; i < aAddress.mAddress.size(); ++i) {
    address = address << 8U | aAddress.mAddress[i];
  }
  return address << 16U | aAddress.mPort;
}

} // namespace dandelionslip
