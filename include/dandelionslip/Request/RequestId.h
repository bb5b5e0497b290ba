// Request identifiers: UUIDs of version 7. The timestamp in an id decides when its record expires.
#pragma once

#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Random.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionslip {

/// A UUID of version 7 (RFC 9562). The default value is the nil UUID, which Parse never returns.
class RequestId
{
public:
  RequestId() = default;

  /// Parses the 36-character text form. Fails with InvalidInput for other UUID versions and
  /// variants.
  static Result<RequestId> Parse(std::string_view aText);

  /// Generates an id from the low 48 bits of aWallMs, milliseconds since 1970, and 74 random bits.
  static RequestId Make(std::int64_t aWallMs, Random& aRandom);

  /// Milliseconds since 1970 at which the id was generated, by the clock of the machine that
  /// generated it.
  std::int64_t TimestampMs() const;

  /// Hash that selects the bucket; the same on every node.
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
