// Numeric IP address and port.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace dandelionslip {

/// An IPv4 or IPv6 address with a port; IPv4 is stored as an IPv4-mapped IPv6 address.
struct Endpoint
{
  std::array<std::uint8_t, 16> mAddress{};
  std::uint16_t mPort = 0;

  /// Parses "192.0.2.1:80" or "[2001:db8::1]:80". Host names are rejected.
  static Result<Endpoint> Parse(std::string_view aText);

  /// The endpoint of an IPv4 address in host byte order.
  static Endpoint FromV4(std::uint32_t aAddress, std::uint16_t aPort);

  std::string ToString() const;
  bool IsV4() const;

  /// The IPv4 address in host byte order; requires IsV4().
  std::uint32_t V4Address() const;

  /// The address without the port.
  std::string AddressText() const;

  bool operator==(const Endpoint&) const = default;
  auto operator<=>(const Endpoint& aOther) const
  {
    return std::tie(mAddress, mPort) <=> std::tie(aOther.mAddress, aOther.mPort);
  }
};

/// Hash of address and port.
std::uint64_t HashOf(const Endpoint& aEndpoint, std::uint64_t aSeed = 0);

} // namespace dandelionslip
