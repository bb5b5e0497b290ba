// Conversion of endpoints to and from text, and their hash.
#include "dandelionslip/Model/Endpoint.h"

#include "dandelionslip/Support/Hash.h"

#include <arpa/inet.h>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace dandelionslip {

namespace {

constexpr std::array<std::uint8_t, 12> kV4Prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

} // namespace

Result<Endpoint> Endpoint::Parse(std::string_view aText)
{
  const auto invalid = [&] {
    return Fail(ErrorCode::InvalidInput, "endpoint.parse", std::string(aText),
                "expected a numeric address:port such as 192.0.2.1:80 or [2001:db8::1]:80");
  };
  const auto colon = aText.rfind(':');
  // inet_pton ignores what follows a NUL.
  if (colon == std::string_view::npos || aText.find('\0') != std::string_view::npos) {
    return invalid();
  }
  std::string address(aText.substr(0, colon));
  const std::string_view port = aText.substr(colon + 1);
  Endpoint endpoint;
  const auto [end, status] =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.mPort);
  if (status != std::errc() || end != port.data() + port.size() || endpoint.mPort == 0) {
    return invalid();
  }
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
    if (inet_pton(AF_INET6, address.c_str(), endpoint.mAddress.data()) != 1) {
      return invalid();
    }
    return endpoint;
  }
  std::copy(kV4Prefix.begin(), kV4Prefix.end(), endpoint.mAddress.begin());
  if (inet_pton(AF_INET, address.c_str(), endpoint.mAddress.data() + kV4Prefix.size()) != 1) {
    return invalid();
  }
  return endpoint;
}

Endpoint Endpoint::FromV4(std::uint32_t aAddress, std::uint16_t aPort)
{
  Endpoint endpoint;
  std::copy(kV4Prefix.begin(), kV4Prefix.end(), endpoint.mAddress.begin());
  boost::endian::store_big_u32(endpoint.mAddress.data() + kV4Prefix.size(), aAddress);
  endpoint.mPort = aPort;
  return endpoint;
}

std::uint32_t Endpoint::V4Address() const
{
  return boost::endian::load_big_u32(mAddress.data() + kV4Prefix.size());
}

bool Endpoint::IsV4() const
{
  return std::equal(kV4Prefix.begin(), kV4Prefix.end(), mAddress.begin());
}

std::string Endpoint::AddressText() const
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (IsV4()) {
    inet_ntop(AF_INET, mAddress.data() + kV4Prefix.size(), text.data(), text.size());
  } else {
    inet_ntop(AF_INET6, mAddress.data(), text.data(), text.size());
  }
  return text.data();
}

std::string Endpoint::ToString() const
{
  const std::string address = AddressText();
  return (IsV4() ? address : "[" + address + "]") + ":" + std::to_string(mPort);
}

std::uint64_t HashOf(const Endpoint& aEndpoint, std::uint64_t aSeed)
{
  std::array<std::uint8_t, 18> bytes{};
  std::copy(aEndpoint.mAddress.begin(), aEndpoint.mAddress.end(), bytes.begin());
  bytes[16] = static_cast<std::uint8_t>(aEndpoint.mPort >> 8U);
  bytes[17] = static_cast<std::uint8_t>(aEndpoint.mPort & 0xffU);
  return Hash64(bytes, aSeed);
}

} // namespace dandelionslip
