// The packet balancer and the packet agent as processes. They forward a platform's packets, which
// they read with its PacketCodec; the platform's program runs them. BalancerDaemon.h and
// AgentDaemon.h have the nodes of callers that send datagrams and HTTP/2 requests.
#pragma once

#include "dandelionslip/Config/PacketSettings.h"
#include "dandelionslip/Daemon/PacketNodeInterface.h"

namespace dandelionslip {

/// What a platform provides to a packet node.
template <typename Interface>
struct PacketPlatform
{
  const PacketCodec& mCodec;
  PacketAdapterFactory<Interface> mAdapter;
  /// Reads the seeds (the control endpoints of the settings) again, because the settings may have
  /// changed. Returns an empty list on an error.
  std::function<std::vector<std::string>()> mReadSeeds;
};

/// Runs a packet balancer until it is stopped by a signal; returns the exit code of the process. An
/// error means that it could not start.
Result<int> RunPacketBalancer(const PacketBalancerNodeSettings& aSettings,
                              const PacketPlatform<PacketNodeInterface>& aPlatform);

/// Runs a packet agent until it is stopped by a signal.
Result<int> RunPacketAgent(const PacketAgentNodeSettings& aSettings,
                           const PacketPlatform<PacketAgentInterface>& aPlatform);

} // namespace dandelionslip
