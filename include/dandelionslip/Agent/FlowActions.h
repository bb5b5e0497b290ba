// Actions of an agent's flow core that its daemon carries out.
#pragma once

#include "dandelionslip/Agent/FlowMessages.h"
#include "dandelionslip/Net/DatagramHeader.h"

#include <string>
#include <variant>
#include <vector>

namespace dandelionslip {

/// Send header and payload to a balancer or agent.
struct SendDatagram
{
  Endpoint mTo;
  DatagramHeader mHeader;
  Bytes mPayload;
};

/// Open a local port towards the upstream and report it with OnUpstreamPortOpened. It comes before
/// any SendToUpstream of the flow.
struct OpenUpstreamPort
{
  FlowId mFlow = 0;
  std::uint16_t mPort = 0; ///< The port to reopen after a restart; 0 lets the daemon choose.
};

/// Pass a caller's datagram to the upstream through the flow's port.
struct SendToUpstream
{
  FlowId mFlow = 0;
  Bytes mPayload;
};

/// Close the flow's local port.
struct CloseUpstreamPort
{
  FlowId mFlow = 0;
};

/// Send a message to an agent of the same service. It may be lost; the flow core sends it again
/// where that matters.
struct SendPeerMessage
{
  std::string mTo;
  PeerMessage mMessage;
};

/// Fetch the newest view and configuration from control now.
struct FetchView
{};

/// The handover has ended; announce the backup, if there is one, and exit.
struct HandoverDone
{
  std::string mBackup; ///< Empty when no other agent could take the state.
};

/// The resumption has ended; the agent may announce itself as serving.
struct ResumptionDone
{
  Json mAdmissionSnapshot; ///< As passed to BeginHandover; null when no state was found.
};

using FlowAction = std::variant<SendDatagram, OpenUpstreamPort, SendToUpstream, CloseUpstreamPort,
                                SendPeerMessage, FetchView, HandoverDone, ResumptionDone>;

using FlowActions = std::vector<FlowAction>;

/// Forwards an update to the agent aTo. Drops it when aTo is empty or after kMaxUpdateForwards
/// forwards.
void ForwardUpdate(const std::string& aTo, const DirectoryUpdate& aUpdate, FlowActions& aOut);

} // namespace dandelionslip
