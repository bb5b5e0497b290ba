// The packet balancer and the packet agent as processes.
#pragma once

#include "dandelionslip/Config/PacketSettings.h"
#include "dandelionslip/Daemon/PacketNodeInterface.h"

namespace dandelionslip {

/// What a platform provides to a packet node.
template <typename Calls>
struct PacketPlatform
{
  const PacketCodec& mCodec;
  PacketAdapterFactory<Calls> mAdapter;
  /// Reads the control endpoints again after the settings may have changed; empty on an error.
  std::function<std::vector<std::string>()> mReadSeeds;
};

/// Runs a balancer until it is stopped by a signal; returns the exit code of the process. An error
/// means that it could not start.
Result<int> RunPacketBalancer(const PacketBalancerNodeSettings& aSettings,
                              const PacketPlatform<PacketNodeInterface>& aPlatform);

/// Runs an agent until it is stopped by a signal.
Result<int> RunPacketAgent(const PacketAgentNodeSettings& aSettings,
                           const PacketPlatform<PacketAgentInterface>& aPlatform);

} // namespace dandelionslip
