// Checks concurrent histories of a compare-and-set register for linearizability.
#pragma once

#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

namespace dandelionslip {

inline constexpr std::uint64_t kNeverReturned = std::numeric_limits<std::uint64_t>::max();

/// Version of a service and the publication that wrote it.
struct RegisterState
{
  std::uint64_t mVersion = 0;
  std::uint64_t mWriter = 0;

  bool operator==(const RegisterState&) const = default;
  bool operator<(const RegisterState& aOther) const
  {
    return std::tie(mVersion, mWriter) < std::tie(aOther.mVersion, aOther.mWriter);
  }
};

enum class RegisterOutcome
{
  Applied,
  Conflict, ///< mSeen.mWriter is the winner that was named.
  Unknown,  ///< No answer arrived; the write may have happened or may still happen.
  Read,     ///< mSeen is what was read.
};

/// One operation of a client with the times between which it took effect.
struct RegisterOperation
{
  std::uint64_t mInvoked = 0;
  std::uint64_t mReturned = kNeverReturned;
  std::uint64_t mExpected = 0; ///< Version that a write expects.
  std::uint64_t mWriter = 0;
  RegisterOutcome mOutcome = RegisterOutcome::Unknown;
  RegisterState mSeen;
};

/// Whether some order of the operations respects their times and explains every answer. Searches
/// as Wing and Gong describe; at most 64 operations.
bool IsLinearizable(const std::vector<RegisterOperation>& aHistory);

} // namespace dandelionslip
