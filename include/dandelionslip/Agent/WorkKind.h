// Kinds of work whose latency is compared separately.
#pragma once

#include <cstddef>

namespace dandelionslip {

enum class WorkKind
{
  Request, ///< From the start of a request to its complete answer.
  Flow,    ///< From a caller's datagram to the next datagram of the upstream on that flow.
};

inline constexpr std::size_t kWorkKindCount = 2;

} // namespace dandelionslip
