// Strict JSON and CBOR decoding: allows comments, rejects duplicate keys, limits nesting.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

using Json = nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

/// Deepest nesting accepted. Bounds stack use, because nlohmann-json recurses for each level.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Parses JSON with // and /* */ comments. Errors name aSource with line and column.
Result<Json> ParseJson(std::string_view aText, std::string_view aSource);

/// Reads and parses a file. Errors name the file.
Result<Json> ReadJsonFile(const std::string& aPath);

/// Encodes a value as CBOR.
Bytes EncodeCbor(const Json& aValue);

/// Decodes CBOR; rejects trailing bytes, duplicate keys, deep nesting and strings of indefinite
/// length.
Result<Json> DecodeCbor(std::span<const std::uint8_t> aBytes, std::string_view aSource);

} // namespace dandelionslip
