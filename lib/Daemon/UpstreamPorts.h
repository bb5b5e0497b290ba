// The agent's local UDP ports towards its upstream, one for each flow.
#pragma once

#include "dandelionslip/Agent/FlowTable.h"
#include "dandelionslip/Net/UdpSocket.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace dandelionslip {

/// Opens and closes the ports, and exchanges datagrams with the upstream. Thread-safe.
class UpstreamPorts
{
public:
  using Handler = std::function<void(FlowId, std::span<const std::uint8_t>)>;

  UpstreamPorts(boost::asio::io_context& aLoop, const Endpoint& aLocal, const Endpoint& aUpstream,
                Handler aHandler);

  /// Opens the port of a flow; aPort 0 takes any free one. Returns the port, or 0 on failure.
  std::uint16_t Open(FlowId aFlow, std::uint16_t aPort);
  void Send(FlowId aFlow, std::span<const std::uint8_t> aPayload);
  void Close(FlowId aFlow);

private:
  boost::asio::io_context& mLoop;
  Endpoint mLocal;
  Endpoint mUpstream;
  Handler mHandler;
  std::mutex mMutex;
  std::unordered_map<FlowId, std::unique_ptr<UdpSocket>> mSockets;
};

} // namespace dandelionslip
