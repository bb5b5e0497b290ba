// What a home agent knows of the flows that are registered with it.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace dandelionslip {

/// Maps flows to the agents that hold them. Entries that are not registered again are forgotten.
/// Not thread-safe.
class FlowDirectory
{
public:
  /// Agents register their open flows again after this time.
  static constexpr Milliseconds kRefresh{20'000};
  /// Two refreshes may be lost.
  static constexpr Milliseconds kLifetime{65'000};
  /// 200,000 entries take about 20 MB; the target size needs 7,300 a home agent.
  static constexpr std::size_t kMaxEntries = 200'000;

  /// Returns whether the flow is stored now; false when the directory is full.
  bool Register(const FlowKey& aFlow, const Endpoint& aHolder, TimePoint aNow);
  std::optional<Endpoint> Find(const FlowKey& aFlow) const;
  void Expire(TimePoint aNow);
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    Endpoint mHolder;
    TimePoint mRegisteredAt;
  };

  std::unordered_map<FlowKey, Entry, FlowKeyHash> mEntries;
};

} // namespace dandelionslip
