// 64-bit hashing with XXH3.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace dandelionslip {

/// XXH3 of a byte range.
std::uint64_t Hash64(std::span<const std::uint8_t> aBytes, std::uint64_t aSeed = 0);

/// XXH3 of a text.
std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed = 0);

/// Hashes two 64-bit values together; the order of the arguments matters.
std::uint64_t CombineHash(std::uint64_t aFirst, std::uint64_t aSecond);

} // namespace dandelionslip
