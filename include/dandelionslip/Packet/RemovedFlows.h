// Flows that an agent has recently removed from its table, for its log.
#pragma once

#include "dandelionslip/Packet/FlowKey.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace dandelionslip {

/// Why an agent removed a flow from its table.
enum class RemovalReason
{
  Idle,          ///< No packet for the idle timeout.
  Closed,        ///< Both sides had ended it.
  CallerReset,   ///< The caller reset it.
  UpstreamReset, ///< The upstream reset it.
  Opening,       ///< A new opening packet of the same caller address and port.
  Unanswered,    ///< The upstream did not answer the opening packet before its retransmission.
  Bounced,       ///< The upstream bounced a packet.
};
inline constexpr std::size_t kRemovalReasons = 7;

/// Name of the reason for log lines and metrics.
std::string_view ToString(RemovalReason aReason);

/// A flow that was removed from the table.
struct RemovedFlow
{
  FlowKey mKey;
  RemovalReason mReason = RemovalReason::Idle;
  bool mEstablished = false; ///< The flow was open at the upstream.
  TimePoint mFirstUsedAt;
  TimePoint mUsedAt;
  TimePoint mRemovedAt;
};

/// Remembers the last removed flows. Ordinary ends (closed, caller's reset) have a ring of their
/// own, so that they do not displace the rarer reasons. Not thread-safe.
class RemovedFlows
{
public:
  /// Flows that are remembered in each ring.
  static constexpr std::size_t kCapacity = 256;

  void Add(const RemovedFlow& aFlow);
  /// The latest removal of the flow; nullptr if none is remembered. Valid until the next Add.
  const RemovedFlow* Find(const FlowKey& aKey) const;

private:
  struct Ring
  {
    std::array<RemovedFlow, kCapacity> mFlows{};
    std::size_t mAdded = 0;
  };

  Ring mOrdinary;
  Ring mOthers;
};

} // namespace dandelionslip
