// Attempt numbers, which order the attempts of one request.
#pragma once

#include <cstdint>

namespace dandelionslip {

/// Number of an attempt of one request id: the caller's attempt number in the upper 24 bits, the
/// balancer's try in the lower 8. A caller raises its number when it resends through another
/// balancer, so every attempt of the later balancer is higher than all tries of the earlier one.
using Attempt = std::uint32_t;

inline constexpr std::uint32_t kTryBits = 8;
inline constexpr std::uint32_t kMaxTries = 1U << kTryBits;
inline constexpr std::uint32_t kMaxCallerAttempt = (1U << (32 - kTryBits)) - 1;

constexpr Attempt MakeAttempt(std::uint32_t aCallerAttempt, std::uint32_t aTry)
{
  return (aCallerAttempt << kTryBits) | aTry;
}

} // namespace dandelionslip
