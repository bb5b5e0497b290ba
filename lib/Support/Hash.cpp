// Implements hashing with XXH3 of the xxHash library.
#include "dandelionslip/Support/Hash.h"

#include <xxhash.h>

#include <array>

namespace dandelionslip {

std::uint64_t Hash64(std::span<const std::uint8_t> aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t CombineHash(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> both{aFirst, aSecond};
  return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace dandelionslip
