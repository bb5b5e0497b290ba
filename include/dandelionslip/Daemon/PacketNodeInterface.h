// Interface between a packet node and its adapter, which serves the platform's and the upstream's
// requests.
#pragma once

#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// The functions of a node that its adapter calls, on the thread of the event loop.
class PacketNodeInterface
{
public:
  virtual ~PacketNodeInterface() = default;

  /// Whether callers' packets may be sent to this node.
  virtual bool Ready() = 0;
  virtual HttpResponse Metrics() = 0;
  virtual boost::asio::io_context& Loop() = 0;
};

/// The functions that only an agent has.
class PacketAgentInterface : public PacketNodeInterface
{
public:
  virtual HeartbeatOutcome OnUpstreamHeartbeat(const UpstreamHeartbeat& aHeartbeat) = 0;
  /// aStartedMs: as in UpstreamHeartbeat; empty if the upstream did not state it.
  virtual void OnUpstreamLeft(const std::string& aId, std::optional<std::int64_t> aStartedMs) = 0;
};

/// An adapter; it lives as long as its node.
class PacketNodeAdapter
{
public:
  virtual ~PacketNodeAdapter() = default;
};

template <typename Interface>
using PacketAdapterFactory = std::function<Result<std::unique_ptr<PacketNodeAdapter>>(Interface&)>;

} // namespace dandelionslip
