// Request identifiers: UUIDs of version 7, whose timestamp bounds how long a request is remembered.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Random.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionslip {

/// A UUID of version 7 (RFC 9562). The default value is the nil id, which Parse never returns.
class RequestId
{
public:
  RequestId() = default;

  /// Reads the 36-character text form; refuses other versions and variants with InvalidInput.
  static Result<RequestId> Parse(std::string_view aText);

  /// Makes an id from wall-clock milliseconds (48 bits are kept) and 74 random bits.
  static RequestId Make(std::int64_t aWallMs, Random& aRandom);

  /// Wall-clock milliseconds at which the id was made, as its maker's clock read.
  std::int64_t TimestampMs() const;

  /// Hash that selects the bucket; equal on every node.
  std::uint64_t Hash() const;

  /// The lower-case text form.
  std::string ToString() const;

  bool operator==(const RequestId&) const = default;
  bool operator<(const RequestId& aOther) const { return mBytes < aOther.mBytes; }

private:
  std::array<std::uint8_t, 16> mBytes{};
};

/// Hasher for unordered containers.
struct RequestIdHash
{
  std::size_t operator()(const RequestId& aId) const { return aId.Hash(); }
};

/// The bucket of an id; aBuckets is a power of two.
inline std::uint32_t BucketOf(const RequestId& aId, std::uint32_t aBuckets)
{
  return static_cast<std::uint32_t>(aId.Hash() & (aBuckets - 1));
}

} // namespace dandelionslip
