// The common part of packet balancers and packet agents.
#pragma once

#include "ControlLink.h"
#include "Http2ClientPool.h"

#include "dandelionslip/Config/PacketSettings.h"
#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Model/RouteTerms.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Net/UdpSocket.h"
#include "dandelionslip/Packet/PacketOutput.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandelionslip {

/// Event loop, control link and sockets of a packet node. One thread runs everything.
class PacketNode
{
public:
  struct Handlers
  {
    std::function<void(Member&)> mFillMember; ///< Fills in kind, service and state.
    std::function<void(const NodeState&)> mOnState;
    std::function<std::vector<std::string>()> mReadSeeds; ///< As PacketPlatform::mReadSeeds.
    std::function<void(const RouteTerms&)> mOnTerms;
  };

  PacketNode(const PacketNodeSettings& aSettings, Handlers aHandlers);

  /// Fetches the state from control and announces the node from then on.
  void Start();

  /// Gets the sender, header and packet of a datagram from another node.
  using NodeHandler =
    std::function<void(const Endpoint&, const NodeMessageHeader&, std::span<std::uint8_t>)>;
  /// Opens the socket towards other nodes. aHandler gets the datagrams with a valid header.
  Result<std::unique_ptr<UdpSocket>> BindNodeSocket(NodeHandler aHandler);

  /// Announces the node now, so that control gets its last state, and exits after aDelay.
  void AnnounceAndExit(Milliseconds aDelay);

  WorkerPool& Pool() { return mPool; }
  boost::asio::io_context& Loop() { return mPool.Loop(); }
  ControlLink& Link() { return mLink; }
  std::uint64_t Incarnation() const { return mIncarnation; }
  /// End of the lease that control has granted; the epoch before the first one.
  TimePoint LeaseEnd() const { return mLeaseEnd; }
  MetricsRegistry& Registry() { return mRegistry; }

private:
  Announcement MakeAnnouncement() const;
  void OnAnnouncementAnswer(const AnnouncementAnswer& aAnswer, const NodeState& aState,
                            TimePoint aSentAt);
  void OpenMetrics();
  void ApplyState(const NodeState& aState);
  /// Fetches the terms of the routes if those that the node has are of another route table.
  void FetchTerms(std::uint64_t aRouteVersion);
  /// Takes a replica's answer, or the failure, to a request for the terms of aRouteVersion.
  void OnTermsAnswer(std::uint64_t aRouteVersion, const Result<RouteTerms>& aTerms);
  /// Reloads the seeds if no replica has granted a lease recently.
  void ReloadSeedsWithoutLease();
  void ReloadSeeds();

  PacketNodeSettings mSettings;
  Handlers mHandlers;
  WorkerPool mPool;
  Http2ClientPool mClients;
  MetricsRegistry mRegistry;
  std::unique_ptr<MetricsEndpoint> mMetrics;
  std::uint64_t mIncarnation;
  TimePoint mLeaseEnd;
  std::uint64_t mTermsVersion = 0; ///< Of the route table whose terms the node has.
  bool mFetchingTerms = false;
  std::optional<TimePoint> mTermsFetchedAt; ///< When they were last requested.
  /// How far behind the replica in use the one is that is asked for terms.
  std::size_t mReplicasSkipped = 0;
  bool mTermsFailureLogged = false; ///< Since terms last arrived.
  std::vector<std::string> mSeeds;
  ControlLink mLink;
  std::unique_ptr<RepeatingTimer> mSeedTimer;
  std::unique_ptr<RepeatingTimer> mStartupTimer;
};

/// Sends the packets of a node's core through the node's sockets.
class SocketOutput : public PacketOutput
{
public:
  /// Owned by the daemon; must be set before the first packet.
  struct Sockets
  {
    UdpSocket* mNodeSocket = nullptr;
    UdpSocket* mCallerSocket = nullptr;
    UdpSocket* mUpstreamSocket = nullptr;
    Endpoint mUpstreamEndpoint;
  };

  SocketOutput(std::uint16_t aCallerPort, MetricsRegistry& aRegistry);

  void SetSockets(const Sockets& aSockets) { mSockets = aSockets; }

  void SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                  std::span<const std::uint8_t> aPacket) override;
  void SendToCaller(const FlowKey& aFlow, std::span<const std::uint8_t> aPacket) override;
  void SendToUpstream(std::span<const std::uint8_t> aPacket) override;

private:
  void CountIfNotSent(bool aSent);

  std::uint16_t mCallerPort;
  Counter& mNotSent;
  Sockets mSockets;
  std::vector<std::uint8_t> mDatagram;
};

} // namespace dandelionslip
