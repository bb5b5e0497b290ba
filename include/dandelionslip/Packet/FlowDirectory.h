// The registrations that a directory agent keeps.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace dandelionslip {

/// Maps flows to the agents that hold them. A registration expires unless it is refreshed. Not
/// thread-safe.
class FlowDirectory
{
public:
  /// Interval at which agents refresh the registrations of their open flows.
  static constexpr Milliseconds kRefreshInterval{20'000};
  /// A registration survives the loss of two refreshes.
  static constexpr Milliseconds kLifetime{65'000};
  /// 200,000 entries take about 20 MB. A system of the target size needs 7,300 per directory agent.
  static constexpr std::size_t kMaxEntries = 200'000;

  /// Adds or refreshes a registration. Returns false if the directory is full.
  bool Register(const FlowKey& aFlow, const Endpoint& aHolder, TimePoint aNow);
  std::optional<Endpoint> Find(const FlowKey& aFlow) const;
  void Expire(TimePoint aNow);
  std::size_t Size() const { return mEntries.size(); }
  /// Agents that have registered flows within kLifetime, and when each last did.
  const std::map<Endpoint, TimePoint>& Holders() const { return mHolders; }

private:
  struct Entry
  {
    Endpoint mHolder;
    TimePoint mRegisteredAt;
  };

  std::unordered_map<FlowKey, Entry, FlowKeyHash> mEntries;
  std::map<Endpoint, TimePoint> mHolders;
};

} // namespace dandelionslip
