// The newest state, and recent differences with which nodes are updated to it.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <utility>

namespace dandelionslip {

/// Differences that a RevisionHistory keeps. At one new view a second they suffice for a node that
/// was disconnected for about a minute; after a longer time a node receives the whole state.
inline constexpr std::size_t kKeptDifferences = 64;

/// Keeps the newest State and the latest Differences that led to it. Not thread-safe.
template <typename State, typename Difference>
class RevisionHistory
{
public:
  const State& Newest() const { return mNewest; }

  /// Replaces the newest state if aNext has a higher revision, and returns whether it did.
  bool Advance(State aNext)
  {
    if (aNext.mRevision <= mNewest.mRevision) {
      return false;
    }
    Keep(DifferenceBetween(mNewest, aNext));
    mNewest = std::move(aNext);
    return true;
  }

  /// Applies a difference to the newest state. Errors are those of ApplyDifference.
  Result<void> Apply(const Difference& aDifference)
  {
    if (auto applied = ApplyDifference(mNewest, aDifference); !applied) {
      return applied;
    }
    Keep(aDifference);
    return Ok();
  }

  /// The difference from aRevision to the highest revision that is kept and at most aLimit. Empty
  /// when no kept difference up to aLimit starts at aRevision.
  std::optional<Difference> DifferenceFrom(
    std::uint64_t aRevision, std::uint64_t aLimit = std::numeric_limits<std::uint64_t>::max()) const
  {
    std::optional<Difference> total;
    for (const Difference& step : mDifferences) {
      if (step.mToRevision > aLimit) {
        break;
      }
      if (total) {
        MergeDifference(*total, step);
      } else if (step.mFromRevision == aRevision) {
        total = step;
      }
    }
    return total;
  }

private:
  void Keep(Difference aDifference)
  {
    mDifferences.push_back(std::move(aDifference));
    if (mDifferences.size() > kKeptDifferences) {
      mDifferences.pop_front();
    }
  }

  State mNewest;
  std::deque<Difference> mDifferences;
};

} // namespace dandelionslip
