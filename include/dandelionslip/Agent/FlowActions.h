// What an agent's flow core asks its daemon to do.
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

/// Send a message to an agent of the same service. It may be lost; the core repeats it where that
/// matters.
struct SendPeerMessage
{
  std::string mTo;
  PeerMessage mMessage;
};

/// Fetch the newest view and configuration from control now.
struct FetchView
{};

/// The custodian has acknowledged the state; announce it and exit.
struct HandoverDone
{
  std::string mBackup;
};

/// The state from before the restart has been taken over; the agent may announce itself serving.
struct ResumptionDone
{
  Json mAdmission; ///< Ramp and weights as passed to BeginHandover; null when none was found.
};

using FlowAction = std::variant<SendDatagram, OpenUpstreamPort, SendToUpstream, CloseUpstreamPort,
                                SendPeerMessage, FetchView, HandoverDone, ResumptionDone>;

using FlowActions = std::vector<FlowAction>;

/// Sends an update that belongs to another agent there, within kMaxUpdateForwards.
void PassUpdateOn(const std::string& aTo, const DirectoryUpdate& aUpdate, FlowActions& aOut);

} // namespace dandelionslip
