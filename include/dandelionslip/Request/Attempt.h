// Attempt numbers, which order the attempts of one request.
#pragma once

#include <cstdint>

namespace dandelionslip {

/// Number of an attempt. An attempt is one message of a balancer to an agent. Its number has the
/// caller's attempt number in the upper 24 bits, and the balancer's try for this message of the
/// caller, counted from 0, in the lower 8. A caller raises its number with each resend, so the
/// attempts for a resend are numbered higher than all earlier ones, also if the resend goes through
/// another balancer.
using Attempt = std::uint32_t;

inline constexpr std::uint32_t kTryBits = 8;
inline constexpr std::uint32_t kMaxTries = 1U << kTryBits;
inline constexpr std::uint32_t kMaxCallerAttempt = (1U << (32 - kTryBits)) - 1;

constexpr Attempt MakeAttempt(std::uint32_t aCallerAttempt, std::uint32_t aTry)
{
  return (aCallerAttempt << kTryBits) | aTry;
}

} // namespace dandelionslip
