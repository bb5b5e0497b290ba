// A packet balancer as a process.
#include "PacketNode.h"

#include "dandelionslip/Daemon/PacketDaemons.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Packet/PacketBalancer.h"
#include "dandelionslip/Support/Log.h"

namespace dandelionslip {

namespace {

constexpr Milliseconds kTick{1'000};

// After a stop signal the balancer reports that it is not ready, and forwards packets until the
// network fabric sends it no more: two readiness checks half a second apart, and time for the last
// packets to arrive.
constexpr Milliseconds kStopDelay{2'000};

PacketBalancerSettings CoreSettings(const PacketBalancerNodeSettings& aSettings)
{
  PacketBalancerSettings settings;
  settings.mDataCentre = aSettings.mDataCentre;
  settings.mCapacity = {aSettings.mProcessorShare, aSettings.mLinkMbps};
  return settings;
}

class PacketBalancerDaemon : public PacketNodeInterface
{
public:
  PacketBalancerDaemon(const PacketBalancerNodeSettings& aSettings,
                       const PacketPlatform<PacketNodeInterface>& aPlatform)
    : mSettings(aSettings)
    , mNode(aSettings, {[this](Member& aMember) { FillMember(aMember); },
                        [this](const NodeState& aState) { OnState(aState); }, aPlatform.mReadSeeds,
                        [this](const RouteTerms& aTerms) { mCore.OnRouteTerms(aTerms); }})
    , mCore(CoreSettings(aSettings), aPlatform.mCodec, mNode.Registry(), Random(SystemSeed()))
    , mOutput(aSettings.mCallerReceivePort, mNode.Registry())
    , mAdapterFactory(aPlatform.mAdapter)
  {
  }

  Result<int> Run()
  {
    if (const auto opened = Open(); !opened) {
      return opened.as_failure();
    }
    mTimer = std::make_unique<RepeatingTimer>(
      mNode.Loop(), kTick, [this] { mCore.OnTick(mOutput, RuntimeClock::now()); });
    mNode.Pool().OnStop([this] { Stop(); });
    mNode.Start();
    LogEvent(LogLevel::Info, "started")
      .With("callers", mSettings.mListenEndpoint)
      .With("nodes", mSettings.mDatagramEndpoint)
      .With("version", DANDELIONSLIP_VERSION);
    return mNode.Pool().Run();
  }

  bool Ready() override { return mCore.Ready() && !mStopping; }
  HttpResponse Metrics() override { return RenderMetrics(mNode.Registry()); }
  boost::asio::io_context& Loop() override { return mNode.Loop(); }

private:
  Result<void> Open()
  {
    auto callers = UdpSocket::Bind(mNode.Loop(), Endpoint::Parse(mSettings.mListenEndpoint).value(),
                                   [this](auto aBytes, const Endpoint&) {
                                     mCore.OnCallerPacket(aBytes, mOutput, RuntimeClock::now());
                                   });
    if (!callers) {
      return callers.as_failure();
    }
    mCallerSocket = std::move(callers.value());
    auto nodes = mNode.BindNodeSocket(
      [this](const Endpoint& aFrom, const NodeMessageHeader& aHeader, auto aPacket) {
        mCore.OnNodePacket(aFrom, aHeader, aPacket, mOutput, RuntimeClock::now());
      });
    if (!nodes) {
      return nodes.as_failure();
    }
    mNodeSocket = std::move(nodes.value());
    mOutput.SetSockets({mNodeSocket.get(), mCallerSocket.get(), nullptr, {}});
    auto adapter = mAdapterFactory(*this);
    if (!adapter) {
      return adapter.as_failure();
    }
    mAdapter = std::move(adapter.value());
    return Ok();
  }

  void FillMember(Member& aMember) const
  {
    aMember.mKind = MemberKind::Balancer;
    aMember.mState = mStopping ? MemberState::Draining : MemberState::Serving;
  }

  void OnState(const NodeState& aState)
  {
    mCore.OnState(aState.CurrentConfiguration(), aState.CurrentView(), mOutput, RuntimeClock::now(),
                  mNode.LeaseEnd());
    if (mCore.Ready() && !std::exchange(mWasReady, true)) {
      LogEvent(LogLevel::Info, "ready").With("routes", mCore.RouteVersion());
    }
  }

  void Stop()
  {
    mStopping = true;
    mNode.AnnounceAndExit(kStopDelay);
  }

  PacketBalancerNodeSettings mSettings;
  PacketNode mNode;
  PacketBalancer mCore;
  SocketOutput mOutput;
  PacketAdapterFactory<PacketNodeInterface> mAdapterFactory;
  std::unique_ptr<UdpSocket> mCallerSocket;
  std::unique_ptr<UdpSocket> mNodeSocket;
  std::unique_ptr<RepeatingTimer> mTimer;
  std::unique_ptr<PacketNodeAdapter> mAdapter;
  bool mStopping = false;
  bool mWasReady = false;
};

} // namespace

Result<int> RunPacketBalancer(const PacketBalancerNodeSettings& aSettings,
                              const PacketPlatform<PacketNodeInterface>& aPlatform)
{
  InitialiseLog("dandelionslip-balancer", aSettings.mNode, aSettings.mLogLevel);
  PacketBalancerDaemon daemon(aSettings, aPlatform);
  return daemon.Run();
}

} // namespace dandelionslip
