// Attempt numbers order the resends of one request.
#pragma once

#include <cstdint>

namespace dandelionslip {

/// Orders the attempts of one request id: the caller's own attempt number in the upper 24 bits and
/// the balancer's try in the lower 8. A caller that resends through another balancer raises its
/// number, so no try of the earlier balancer can exceed an attempt of the later one.
using Attempt = std::uint32_t;

inline constexpr std::uint32_t kTryBits = 8;
inline constexpr std::uint32_t kMaxTries = 1U << kTryBits;
inline constexpr std::uint32_t kMaxCallerAttempt = (1U << (32 - kTryBits)) - 1;

constexpr Attempt MakeAttempt(std::uint32_t aCallerAttempt, std::uint32_t aTry)
{
  return (aCallerAttempt << kTryBits) | aTry;
}

} // namespace dandelionslip
