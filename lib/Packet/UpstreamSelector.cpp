// Smooth weighted round robin with a preference for near upstreams.
#include "dandelionslip/Packet/UpstreamSelector.h"

namespace dandelionslip {

namespace {

// Credits of upstreams that are candidates no more are dropped when there are this many times as
// many as candidates.
constexpr std::size_t kMaxCreditsPerCandidate = 8;

bool PrefersNear(std::span<const SelectorCandidate> aCandidates)
{
  double busy = 0;
  double weight = 0;
  for (const SelectorCandidate& candidate : aCandidates) {
    if (candidate.mNear) {
      busy += candidate.mBusyShare * candidate.mWeight;
      weight += candidate.mWeight;
    }
  }
  return weight > 0 && busy <= UpstreamSelector::kNearBusyShare * weight;
}

} // namespace

UpstreamSelector::UpstreamSelector(Random aRandom)
  : mRandom(aRandom)
{
}

std::optional<std::size_t> UpstreamSelector::Choose(std::span<const SelectorCandidate> aCandidates)
{
  if (mCredits.size() > kMaxCreditsPerCandidate * (aCandidates.size() + 1)) {
    mCredits.clear();
  }
  const bool nearOnly = PrefersNear(aCandidates);
  double total = 0;
  const SelectorCandidate* best = nullptr;
  double bestCredit = 0;
  for (const SelectorCandidate& candidate : aCandidates) {
    if (candidate.mWeight <= 0 || (nearOnly && !candidate.mNear)) {
      continue;
    }
    const auto [item, isNew] = mCredits.try_emplace(candidate.mIdentity, 0.0);
    if (isNew) {
      item->second = mRandom.Unit() * candidate.mWeight;
    }
    item->second += candidate.mWeight;
    total += candidate.mWeight;
    if (best == nullptr || item->second > bestCredit) {
      best = &candidate;
      bestCredit = item->second;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  mCredits[best->mIdentity] -= total;
  return best->mIndex;
}

} // namespace dandelionslip
