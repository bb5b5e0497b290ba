// What an adapter for calls of the platform and the upstream may ask of a packet node.
#pragma once

#include "dandelionslip/Net/HttpMessage.h"
#include "dandelionslip/Packet/PacketAgent.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Calls of an adapter on the node that it runs in; on the loop's thread.
class PacketNodeCalls
{
public:
  virtual ~PacketNodeCalls() = default;

  /// Whether callers' packets may be sent to this node.
  virtual bool Ready() = 0;
  virtual HttpResponse Metrics() = 0;
  virtual boost::asio::io_context& Loop() = 0;
};

/// Calls that only an agent answers.
class PacketAgentCalls : public PacketNodeCalls
{
public:
  virtual HeartbeatOutcome OnUpstreamHeartbeat(const UpstreamHeartbeat& aReport) = 0;
  virtual void OnUpstreamLeft(const std::string& aId) = 0;
};

/// An adapter lives as long as the node that it serves.
class PacketNodeAdapter
{
public:
  virtual ~PacketNodeAdapter() = default;
};

template <typename Calls>
using PacketAdapterFactory = std::function<Result<std::unique_ptr<PacketNodeAdapter>>(Calls&)>;

} // namespace dandelionslip
