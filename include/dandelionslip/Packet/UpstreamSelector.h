// Weighted choice among the upstreams of a service whose flows carry one request each.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Support/Random.h"

#include <optional>
#include <span>
#include <unordered_map>

namespace dandelionslip {

/// An upstream that may get the next flow.
struct SelectorCandidate
{
  std::size_t mIndex = 0;      ///< Index in the caller's list.
  std::uint64_t mIdentity = 0; ///< Hash of the agent's endpoint.
  double mWeight = 0;          ///< Flows that it can take, relative to the others.
  bool mNear = false;          ///< In the balancer's data centre.
  double mBusyShare = 0;       ///< Requests in progress per slot, by its last report.
};

/// Smooth weighted round robin: each candidate gets flows in proportion to its weight, evenly
/// spread over time, without fresh load reports. The start is random, so that balancers do not
/// choose the same upstream at the same moment. Not thread-safe.
class UpstreamSelector
{
public:
  explicit UpstreamSelector(Random aRandom);

  /// mIndex of the chosen candidate; empty without candidates of positive weight. Only near ones
  /// are considered while their mean busy share is at most kNearBusyShare.
  std::optional<std::size_t> Choose(std::span<const SelectorCandidate> aCandidates);

  /// Above this share of busy slots in the near data centre, all upstreams are considered, so that
  /// flows spill over before requests queue.
  static constexpr double kNearBusyShare = 0.4;

private:
  Random mRandom;
  std::unordered_map<std::uint64_t, double> mCredits; ///< By mIdentity.
};

} // namespace dandelionslip
