// Search for a linearization that skips states it has already tried.
#include "Linearizability.h"

#include <algorithm>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace dandelionslip {

namespace {

constexpr std::size_t kMaxOperations = 64;

class Search
{
public:
  explicit Search(const std::vector<RegisterOperation>& aHistory)
    : mHistory(aHistory)
  {
  }

  bool CanComplete(std::uint64_t aDone, RegisterState aState)
  {
    if (AllAnswered(aDone)) {
      return true;
    }
    if (!mTried.emplace(aDone, aState).second) {
      return false;
    }
    const std::uint64_t firstReturn = FirstReturn(aDone);
    for (std::size_t i = 0; i < mHistory.size(); ++i) {
      if (IsDone(aDone, i) || mHistory[i].mInvoked > firstReturn) {
        continue;
      }
      const auto next = After(mHistory[i], aState);
      if (next && CanComplete(aDone | (std::uint64_t{1} << i), *next)) {
        return true;
      }
    }
    return false;
  }

private:
  static bool IsDone(std::uint64_t aDone, std::size_t aIndex)
  {
    return (aDone >> aIndex & 1U) != 0;
  }

  static std::optional<RegisterState> After(const RegisterOperation& aOperation,
                                            RegisterState aState)
  {
    const bool matches = aState.mVersion == aOperation.mExpected;
    const RegisterState written{aOperation.mExpected + 1, aOperation.mWriter};
    switch (aOperation.mOutcome) {
      case RegisterOutcome::Applied:
        return matches ? std::optional(written) : std::nullopt;
      case RegisterOutcome::Conflict:
        return !matches && aState.mWriter == aOperation.mSeen.mWriter ? std::optional(aState)
                                                                      : std::nullopt;
      case RegisterOutcome::Read:
        return aState == aOperation.mSeen ? std::optional(aState) : std::nullopt;
      case RegisterOutcome::Unknown:
        return matches ? written : aState;
    }
    return std::nullopt;
  }

  bool AllAnswered(std::uint64_t aDone) const
  {
    for (std::size_t i = 0; i < mHistory.size(); ++i) {
      if (!IsDone(aDone, i) && mHistory[i].mOutcome != RegisterOutcome::Unknown) {
        return false;
      }
    }
    return true;
  }

  std::uint64_t FirstReturn(std::uint64_t aDone) const
  {
    std::uint64_t first = kNeverReturned;
    for (std::size_t i = 0; i < mHistory.size(); ++i) {
      if (!IsDone(aDone, i)) {
        first = std::min(first, mHistory[i].mReturned);
      }
    }
    return first;
  }

  const std::vector<RegisterOperation>& mHistory;
  std::set<std::pair<std::uint64_t, RegisterState>> mTried;
};

} // namespace

bool IsLinearizable(const std::vector<RegisterOperation>& aHistory)
{
  if (aHistory.size() > kMaxOperations) {
    throw std::invalid_argument("the history holds more than 64 operations");
  }
  return Search(aHistory).CanComplete(0, RegisterState{});
}

} // namespace dandelionslip
