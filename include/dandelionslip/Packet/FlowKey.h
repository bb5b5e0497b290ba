// Identifies a flow by its addresses and ports.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace dandelionslip {

/// IPv4 addresses and ports of a flow in host byte order, the same for both directions.
struct FlowKey
{
  std::uint32_t mCallerAddress = 0;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mServicePort = 0;
  std::uint32_t mServiceAddress = 0;

  auto operator<=>(const FlowKey&) const = default;
};

/// "caller address:port>service address:port", for logs.
std::string ToString(const FlowKey& aKey);

/// A well-mixed hash, equal on every node.
std::uint64_t HashOf(const FlowKey& aKey);

struct FlowKeyHash
{
  std::size_t operator()(const FlowKey& aKey) const { return HashOf(aKey); }
};

} // namespace dandelionslip
