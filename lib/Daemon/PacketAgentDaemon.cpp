// A packet agent as a process.
#include "PacketNode.h"

#include "dandelionslip/Daemon/PacketDaemons.h"
#include "dandelionslip/Net/ConnectionCheck.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Packet/OpeningShares.h"
#include "dandelionslip/Packet/PacketAgent.h"
#include "dandelionslip/Packet/ReportRecipient.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <functional>
#include <map>

namespace dandelionslip {

namespace {

constexpr Milliseconds kTick{1'000};

// Time within which placement follows a changed load. Each balancer gets a datagram per interval.
constexpr Milliseconds kLoadReportInterval{200};

// Flows that end within this time need no registration.
constexpr Milliseconds kRegisterInterval{250};

// Load reports to a balancer stop when it has neither been in a view nor sent a packet for this
// long.
constexpr Milliseconds kBalancerTimeout{5'000};

// Time for the last load reports and packets to arrive.
constexpr Milliseconds kStopDelay{100};

PacketAgentSettings CoreSettings(const PacketAgentNodeSettings& aSettings)
{
  PacketAgentSettings settings;
  settings.mService = aSettings.mService;
  settings.mDataCentre = aSettings.mDataCentre;
  settings.mEndpoint = Endpoint::Parse(aSettings.mDatagramEndpoint).value();
  settings.mHeartbeat = aSettings.mHeartbeat;
  settings.mMaxFlowAge = aSettings.mMaxFlowAge;
  settings.mColdExcessFactor = aSettings.mColdExcessFactor;
  settings.mColdSlack = aSettings.mColdSlack;
  settings.mHealthMayBeWrong = aSettings.mHealthMayBeWrong;
  return settings;
}

class PacketAgentDaemon : public PacketAgentInterface
{
public:
  PacketAgentDaemon(const PacketAgentNodeSettings& aSettings,
                    const PacketPlatform<PacketAgentInterface>& aPlatform)
    : mSettings(aSettings)
    , mNode(aSettings, {[this](Member& aMember) { FillMember(aMember); },
                        [this](const NodeState& aState) { OnState(aState); }, aPlatform.mReadSeeds,
                        [this](const RouteTerms& aTerms) { mCore.OnRouteTerms(aTerms); }})
    , mCore(CoreSettings(aSettings), aPlatform.mCodec, mNode.Registry(), RuntimeClock::now())
    , mOutput(aSettings.mCallerReceivePort, mNode.Registry())
    , mAdapterFactory(aPlatform.mAdapter)
  {
  }

  Result<int> Run()
  {
    if (const auto opened = Open(); !opened) {
      return opened.as_failure();
    }
    mTimer = std::make_unique<RepeatingTimer>(mNode.Loop(), kTick,
                                              [this] { mCore.OnTick(RuntimeClock::now()); });
    mRegisterTimer = std::make_unique<RepeatingTimer>(mNode.Loop(), kRegisterInterval, [this] {
      mCore.RegisterFlows(mOutput, RuntimeClock::now());
      mCore.CheckUnanswered(RuntimeClock::now());
      CheckConnection();
    });
    mLoadReportTimer = std::make_unique<RepeatingTimer>(mNode.Loop(), kLoadReportInterval,
                                                        [this] { SendLoadReports(); });
    mNode.Pool().OnStop([this] { Stop(); });
    mNode.Start();
    if (!mSettings.mUpstreamConnectionEndpoint.empty()) {
      // An upstream that does not run yet will have started after this process.
      TryUpstream("upstream_at_start", [] {});
    }
    LogEvent(LogLevel::Info, "started")
      .With("nodes", mSettings.mDatagramEndpoint)
      .With("upstream", mSettings.mUpstreamEndpoint)
      .With("service", mSettings.mService)
      .With("version", DANDELIONSLIP_VERSION);
    return mNode.Pool().Run();
  }

  bool Ready() override { return !mStopping; }
  HttpResponse Metrics() override { return RenderMetrics(mNode.Registry()); }
  boost::asio::io_context& Loop() override { return mNode.Loop(); }

  HeartbeatOutcome OnUpstreamHeartbeat(const UpstreamHeartbeat& aHeartbeat) override
  {
    const MemberState before = mCore.State(RuntimeClock::now());
    const HeartbeatOutcome outcome = mCore.OnUpstreamHeartbeat(aHeartbeat, RuntimeClock::now());
    ReportStateChange(before);
    if (mCore.State(RuntimeClock::now()) == MemberState::Cold && !mReportsWhenWarm) {
      // Openings that wait for the upstream need not wait for the next interval as well.
      mReportsWhenWarm = true;
      CallAfter(mNode.Loop(), aHeartbeat.mColdLeft, [this] {
        mReportsWhenWarm = false;
        SendLoadReports();
      });
    }
    return outcome;
  }

  void OnUpstreamLeft(const std::string& aId, std::optional<std::int64_t> aStartedMs) override
  {
    const MemberState before = mCore.State(RuntimeClock::now());
    mCore.OnUpstreamLeft(aId, aStartedMs);
    ReportStateChange(before);
  }

private:
  Result<void> Open()
  {
    auto nodes =
      mNode.BindNodeSocket([this](const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                                  auto aPacket) { OnNodePacket(aFrom, aHeader, aPacket); });
    if (!nodes) {
      return nodes.as_failure();
    }
    mNodeSocket = std::move(nodes.value());
    auto upstream =
      UdpSocket::Bind(mNode.Loop(), Endpoint::Parse(mSettings.mUpstreamOutboundEndpoint).value(),
                      [this](auto aBytes, const Endpoint&) {
                        mCore.OnUpstreamPacket(aBytes, mOutput, RuntimeClock::now());
                      });
    if (!upstream) {
      return upstream.as_failure();
    }
    mUpstreamSocket = std::move(upstream.value());
    // An agent sends packets to callers from its node socket.
    mOutput.SetSockets({mNodeSocket.get(), mNodeSocket.get(), mUpstreamSocket.get(),
                        Endpoint::Parse(mSettings.mUpstreamEndpoint).value()});
    auto adapter = mAdapterFactory(*this);
    if (!adapter) {
      return adapter.as_failure();
    }
    mAdapter = std::move(adapter.value());
    return Ok();
  }

  void OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                    std::span<std::uint8_t> aPacket)
  {
    // Register and RegisterAck come from other agents, all other messages from balancers.
    if (aHeader.mType != NodeMessageType::Register &&
        aHeader.mType != NodeMessageType::RegisterAck) {
      OnBalancerSeen(aFrom);
    }
    if (aHeader.mType == NodeMessageType::ReportFormat) {
      mBalancers[aFrom].OnFormatStated(aPacket.empty() ? 1 : aPacket.front());
      return;
    }
    mCore.OnNodePacket(aFrom, aHeader, aPacket, mOutput, RuntimeClock::now());
  }

  void FillMember(Member& aMember) const
  {
    aMember.mKind = MemberKind::Agent;
    aMember.mService = mSettings.mService;
    aMember.mState = mCore.State(RuntimeClock::now());
  }

  void OnState(const NodeState& aState)
  {
    mCore.OnConfiguration(aState.CurrentConfiguration(), RuntimeClock::now());
    mCore.OnLease(mNode.LeaseEnd());
    mCore.OnView(aState.CurrentView(), mNode.Incarnation());
    for (const auto& [name, member] : aState.CurrentView().mMembers) {
      const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
      if (member.mKind == MemberKind::Balancer && HoldsFlows(member.mState) && endpoint) {
        OnBalancerSeen(endpoint.value());
        mBalancers.at(endpoint.value()).OnInView(member.mIncarnation);
      }
    }
  }

  // Called for balancers in the view and for senders of packets: after a restart of all nodes,
  // packets may come before the first view.
  void OnBalancerSeen(const Endpoint& aBalancer)
  {
    const auto [item, isNew] = mBalancers.try_emplace(aBalancer);
    item->second.mSeenAt = RuntimeClock::now();
    if (isNew) {
      LoadReport report = mCore.CurrentLoad(RuntimeClock::now());
      report.mOpeningsAllowed = mShares.ShareForNewBalancer();
      SendLoadReport(aBalancer, report.Encode());
    }
  }

  void CheckConnection()
  {
    if (!mSettings.mUpstreamConnectionEndpoint.empty() &&
        mCore.TakeConnectionCheck(RuntimeClock::now())) {
      TryUpstream("upstream_silent", [] {});
    }
  }

  // Tries one connection; logs its outcome as the event aEvent.
  void TryUpstream(std::string_view aEvent, std::function<void()> aOnRefused)
  {
    TryConnection(mNode.Loop(), Endpoint::Parse(mSettings.mUpstreamConnectionEndpoint).value(),
                  [this, aEvent, onRefused = std::move(aOnRefused)](ConnectionOutcome aOutcome) {
                    LogEvent(LogLevel::Info, aEvent)
                      .With("upstream", mSettings.mUpstreamConnectionEndpoint)
                      .With("connection", ToString(aOutcome));
                    if (aOutcome == ConnectionOutcome::Refused) {
                      mCore.OnConnectionRefused();
                      onRefused();
                    }
                  });
  }

  void SendLoadReport(const Endpoint& aBalancer, const Bytes& aReport)
  {
    mOutput.SendToNode(aBalancer, {NodeMessageType::LoadReport, ReturnReason::None}, aReport);
  }

  void SendLoadReports()
  {
    const TimePoint now = RuntimeClock::now();
    std::erase_if(mBalancers,
                  [&](const auto& aItem) { return now - aItem.second.mSeenAt > kBalancerTimeout; });
    LoadReport report = mCore.NextLoad(kLoadReportInterval, now);
    const LoadDetails details = *report.mDetails;
    const auto shares = mShares.Split(report.mOpeningsAllowed, mBalancers.size());
    // A share for a balancer that cannot read it would be lost.
    const auto readers = static_cast<std::size_t>(
      std::count_if(mBalancers.begin(), mBalancers.end(),
                    [](const auto& aItem) { return aItem.second.ReadsDetails(); }));
    const auto rooms = mRoomShares.Split(details.mRoom, readers);
    Bytes encoded;
    std::optional<LoadReport> last;
    std::size_t reader = 0;
    for (std::size_t i = 0; const auto& [balancer, state] : mBalancers) {
      report.mOpeningsAllowed = shares[i];
      report.mDetails.reset();
      if (state.ReadsDetails()) {
        report.mDetails = details;
        report.mDetails->mRoom = rooms[reader++];
        mCore.SetVerdictFor(balancer, *report.mDetails, now);
      }
      if (last != report) {
        last = report;
        encoded = report.Encode();
      }
      SendLoadReport(balancer, encoded);
      ++i;
    }
  }

  // Reports a changed state to balancers and control at once, before the next interval.
  void ReportStateChange(MemberState aBefore)
  {
    if (mCore.State(RuntimeClock::now()) != aBefore) {
      SendLoadReports();
      mNode.Link().AnnounceNow();
    }
  }

  void Stop()
  {
    mStopping = true;
    mCore.StopAccepting();
    SendLoadReports();
    if (mCore.StopsBesideUpstream() && !mSettings.mUpstreamConnectionEndpoint.empty()) {
      // Balancers would search for flows at an agent that has not reported that it is finished.
      TryUpstream("upstream_silent", [this] {
        SendLoadReports();
        mNode.Link().AnnounceNow([](bool) {});
      });
    }
    mNode.AnnounceAndExit(kStopDelay);
  }

  PacketAgentNodeSettings mSettings;
  PacketNode mNode;
  PacketAgent mCore;
  SocketOutput mOutput;
  PacketAdapterFactory<PacketAgentInterface> mAdapterFactory;
  std::map<Endpoint, ReportRecipient> mBalancers;
  OpeningShares mShares;
  OpeningShares mRoomShares; ///< Of the room of a warm upstream.
  std::unique_ptr<UdpSocket> mNodeSocket;
  std::unique_ptr<UdpSocket> mUpstreamSocket;
  std::unique_ptr<RepeatingTimer> mTimer;
  std::unique_ptr<RepeatingTimer> mLoadReportTimer;
  std::unique_ptr<RepeatingTimer> mRegisterTimer;
  std::unique_ptr<PacketNodeAdapter> mAdapter;
  bool mReportsWhenWarm = false; ///< A report is due when the upstream turns warm.
  bool mStopping = false;
};

} // namespace

Result<int> RunPacketAgent(const PacketAgentNodeSettings& aSettings,
                           const PacketPlatform<PacketAgentInterface>& aPlatform)
{
  InitialiseLog("dandelionslip-agent", aSettings.mNode, aSettings.mLogLevel);
  PacketAgentDaemon daemon(aSettings, aPlatform);
  return daemon.Run();
}

} // namespace dandelionslip
