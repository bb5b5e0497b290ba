// Tells the flows that use a caller's port one after the other apart by their sequence numbers.
#pragma once

#include <algorithm>
#include <cstdint>

namespace dandelionslip {

/// Four times the data that a caller has in flight. Sequence numbers that are further apart belong
/// to different flows, which used the same port one after the other.
inline constexpr std::uint32_t kSequenceWindow = 76'800;

/// Whether two sequence numbers of a caller's port may belong to one flow.
inline bool IsNear(std::uint32_t aFirst, std::uint32_t aSecond)
{
  const std::uint32_t ahead = aFirst - aSecond;
  const std::uint32_t behind = aSecond - aFirst;
  return std::min(ahead, behind) <= kSequenceWindow;
}

} // namespace dandelionslip
