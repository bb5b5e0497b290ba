// Local UDP ports towards the upstream.
#include "UpstreamPorts.h"

#include "dandelionslip/Support/Log.h"

namespace dandelionslip {

UpstreamPorts::UpstreamPorts(boost::asio::io_context& aLoop, const Endpoint& aLocal,
                             const Endpoint& aUpstream, Handler aHandler)
  : mLoop(aLoop)
  , mLocal(aLocal)
  , mUpstream(aUpstream)
  , mHandler(std::move(aHandler))
{
}

std::uint16_t UpstreamPorts::Open(FlowId aFlow, std::uint16_t aPort)
{
  Endpoint local = mLocal;
  local.mPort = aPort;
  auto socket = UdpSocket::Bind(mLoop, local, [this, aFlow](auto aBytes, const Endpoint& aFrom) {
    if (aFrom == mUpstream) {
      mHandler(aFlow, aBytes);
    }
  });
  if (!socket) {
    LogEvent(LogLevel::Warning, "upstream_port_failed").With(socket.error());
    return 0;
  }
  const std::uint16_t port = socket.value()->Local().mPort;
  const std::lock_guard lock(mMutex);
  mSockets[aFlow] = std::move(socket.value());
  return port;
}

void UpstreamPorts::Send(FlowId aFlow, std::span<const std::uint8_t> aPayload)
{
  const std::lock_guard lock(mMutex);
  if (const auto found = mSockets.find(aFlow); found != mSockets.end()) {
    found->second->Send(aPayload, mUpstream);
  }
}

void UpstreamPorts::Close(FlowId aFlow)
{
  const std::lock_guard lock(mMutex);
  mSockets.erase(aFlow);
}

} // namespace dandelionslip
