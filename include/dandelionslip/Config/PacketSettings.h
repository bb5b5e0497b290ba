// Settings of the nodes of the packet plane.
#pragma once

#include "dandelionslip/Config/CommonSettings.h"

#include <string>

namespace dandelionslip {

/// Keys of both kinds of node.
struct PacketNodeSettings : CommonSettings
{
  std::string mDatagramEndpoint; ///< UDP "address:port" towards other nodes.
  std::string mStatusEndpoint;   ///< TCP "address:port" for readiness and metrics.
  std::uint16_t mCallerPort = 0; ///< UDP port at a caller's address that takes its packets.

  bool operator==(const PacketNodeSettings&) const = default;
};

/// Settings of a balancer of the packet plane.
struct PacketBalancerNodeSettings : PacketNodeSettings
{
  std::string mCallerEndpoint;  ///< UDP "address:port" that receives the callers' packets.
  double mProcessorShare = 1.0; ///< Of a core that the balancer may use.
  double mLinkMbps = 1'000.0;   ///< Of the VM's own link.

  bool operator==(const PacketBalancerNodeSettings&) const = default;
};

/// Settings of an agent of the packet plane.
struct PacketAgentNodeSettings : PacketNodeSettings
{
  std::string mService;
  std::string mUpstreamEndpoint;          ///< UDP "address:port" of the upstream.
  std::string mUpstreamOutboundEndpoint;  ///< UDP "address:port" that the upstream sends to.
  std::string mUpstreamHeartbeatEndpoint; ///< TCP "address:port" for the upstream's heartbeats.
  Milliseconds mHeartbeat{1'000};         ///< Interval of the upstream's heartbeats.
  Milliseconds mMaxFlowAge{60'000};
  double mColdExcessFactor = 1.0; ///< Multiplies the cold opens a second of the service.
  std::uint32_t mColdSlack = 0;   ///< Added to them.

  bool operator==(const PacketAgentNodeSettings&) const = default;
};

} // namespace dandelionslip
