// Settings of balancers and agents of the packet plane, which forwards the packets of flows. They
// are not read with LoadSettings: platform/NodeFile fills them.
#pragma once

#include "dandelionslip/Config/CommonSettings.h"

#include <string>

namespace dandelionslip {

/// Settings that these balancers and agents have in common.
struct PacketNodeSettings : CommonSettings
{
  std::string mDatagramEndpoint;        ///< UDP "address:port" for other nodes.
  std::string mStatusEndpoint;          ///< TCP "address:port" for readiness and metrics.
  std::uint16_t mCallerReceivePort = 0; ///< UDP port of the callers, to which replies are sent.
  /// Upstreams may fail although their heartbeats say that they are ready, so that agents judge
  /// them by their answers.
  bool mHealthMayBeWrong = false;

  bool operator==(const PacketNodeSettings&) const = default;
};

/// Settings of a balancer of the packet plane.
struct PacketBalancerNodeSettings : PacketNodeSettings
{
  std::string mListenEndpoint;  ///< UDP "address:port" of the balancer to which callers send.
  double mProcessorShare = 1.0; ///< Share of a processor core that the balancer may use.
  double mLinkMbps = 1'000.0;   ///< Bandwidth of the VM's network link.

  bool operator==(const PacketBalancerNodeSettings&) const = default;
};

/// Settings of an agent of the packet plane.
struct PacketAgentNodeSettings : PacketNodeSettings
{
  std::string mService;
  std::string mUpstreamEndpoint; ///< UDP "address:port" of the upstream.
  /// TCP "address:port" that accepts connections as long as the upstream runs; empty if there is
  /// none. An agent without it never takes an upstream as absent.
  std::string mUpstreamConnectionEndpoint;
  std::string mUpstreamOutboundEndpoint;  ///< UDP "address:port" that the upstream sends to.
  std::string mUpstreamHeartbeatEndpoint; ///< TCP "address:port" for the upstream's heartbeats.
  Milliseconds mHeartbeat{1'000};         ///< Interval of the upstream's heartbeats.
  Milliseconds mMaxFlowAge{60'000};       ///< Flows older than this need not be kept.
  /// A cold upstream takes at most RoutedService::mColdOpeningsPerSecond * mColdExcessFactor +
  /// mColdSlack new flows a second, rounded down but at least 1.
  double mColdExcessFactor = 1.0;
  std::uint32_t mColdSlack = 0;

  bool operator==(const PacketAgentNodeSettings&) const = default;
};

} // namespace dandelionslip
