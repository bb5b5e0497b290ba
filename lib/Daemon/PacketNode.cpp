// Control link and sockets of the packet balancers and packet agents.
#include "PacketNode.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

// The settings file may change without a signal. It is read again at this interval while no control
// replica grants a lease; only then are new seeds needed.
constexpr Milliseconds kSeedCheckInterval{2'000};

// In milliseconds, as incarnations are. If the wall clock was set back after an earlier process had
// started, control knows a higher incarnation and answers mFenced; this step is then added until it
// does so no more. Larger than the clock steps that were observed, up to 2.4 s.
constexpr std::uint64_t kIncarnationStepMs = 5'000;

// After its start a node announces itself at this shorter interval for some time, so that the first
// views after a restart of all nodes contain it.
constexpr Milliseconds kStartupAnnounceInterval{100};
constexpr Milliseconds kStartupAnnounceTime{3'000};

// Shortest interval between two requests for the terms of routes: configurations may follow each
// other every 60 ms, and the terms of all routes take some 3 KB.
constexpr Milliseconds kTermsInterval{500};
constexpr Milliseconds kTermsTimeout{400};

} // namespace

PacketNode::PacketNode(const PacketNodeSettings& aSettings, Handlers aHandlers)
  : mSettings(aSettings)
  , mHandlers(std::move(aHandlers))
  , mPool(1)
  , mClients(mPool.Loop())
  , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
  , mSeeds(aSettings.mControlEndpoints)
  , mLink(mPool.Loop(), mClients, aSettings, mRegistry,
          {[this] { return MakeAnnouncement(); },
           [this](const auto& aAnswer, const auto& aState, TimePoint aSentAt) {
             OnAnnouncementAnswer(aAnswer, aState, aSentAt);
           }})
{
}

Announcement PacketNode::MakeAnnouncement() const
{
  Announcement announcement;
  Member& member = announcement.mMember;
  member.mName = mSettings.mNode;
  member.mDataCentre = mSettings.mDataCentre;
  member.mDatagramEndpoint = mSettings.mDatagramEndpoint;
  member.mRequestEndpoint = mSettings.mStatusEndpoint;
  member.mIncarnation = mIncarnation;
  mHandlers.mFillMember(member);
  return announcement;
}

void PacketNode::Start()
{
  OpenMetrics();
  mLink.FetchState([this](const NodeState& aState) {
    ApplyState(aState);
    mLink.Start();
    mStartupTimer = std::make_unique<RepeatingTimer>(mPool.Loop(), kStartupAnnounceInterval,
                                                     [this] { mLink.AnnounceNow(); });
    CallAfter(mPool.Loop(), kStartupAnnounceTime, [this] { mStartupTimer.reset(); });
  });
  mPool.OnReload([this] { ReloadSeeds(); });
  mSeedTimer = std::make_unique<RepeatingTimer>(mPool.Loop(), kSeedCheckInterval,
                                                [this] { ReloadSeedsWithoutLease(); });
}

// A node that cannot serve its metrics still serves callers.
void PacketNode::OpenMetrics()
{
  if (mSettings.mMetricsEndpoint.empty()) {
    return;
  }
  auto metrics = MetricsEndpoint::Listen(
    mPool.Loop(), Endpoint::Parse(mSettings.mMetricsEndpoint).value(), mRegistry, [] {});
  if (!metrics) {
    LogEvent(LogLevel::Warning, "metrics_not_served").With(metrics.error());
    return;
  }
  mMetrics = std::move(metrics.value());
}

void PacketNode::OnAnnouncementAnswer(const AnnouncementAnswer& aAnswer, const NodeState& aState,
                                      TimePoint aSentAt)
{
  if (aAnswer.mConfirmed && !aAnswer.mFenced) {
    mLeaseEnd = std::max(mLeaseEnd, aSentAt + aAnswer.mLease);
  }
  if (aAnswer.mFenced) {
    mIncarnation += kIncarnationStepMs;
    LogEvent(LogLevel::Info, "incarnation_raised").With("incarnation", mIncarnation);
  }
  ApplyState(aState);
}

void PacketNode::ApplyState(const NodeState& aState)
{
  mHandlers.mOnState(aState);
  FetchTerms(aState.CurrentConfiguration().mRoutes.mVersion);
}

// A replica of a release without terms answers with an error, but may grant leases for as long as
// it runs, so the node stays attached to it and asks another replica for the terms.
void PacketNode::FetchTerms(std::uint64_t aRouteVersion)
{
  const TimePoint now = RuntimeClock::now();
  if (aRouteVersion <= mTermsVersion || mFetchingTerms ||
      (mTermsFetchedAt && now - *mTermsFetchedAt < kTermsInterval)) {
    return;
  }
  mFetchingTerms = true;
  mTermsFetchedAt = now;
  mLink.Post("/v1/route-terms", mReplicasSkipped, kTermsTimeout,
             [this, aRouteVersion](const Result<Bytes>& aResult) {
               mFetchingTerms = false;
               OnTermsAnswer(aRouteVersion, aResult ? FromCbor<RouteTerms>(aResult.value(), "")
                                                    : Result<RouteTerms>(aResult.as_failure()));
             });
}

void PacketNode::OnTermsAnswer(std::uint64_t aRouteVersion, const Result<RouteTerms>& aTerms)
{
  if (!aTerms || aTerms.value().mVersion < aRouteVersion) {
    ++mReplicasSkipped;
  }
  if (!aTerms) {
    if (!std::exchange(mTermsFailureLogged, true)) {
      LogEvent(LogLevel::Warning, "route_terms_not_fetched")
        .With("version", aRouteVersion)
        .With(aTerms.error());
    }
    return;
  }
  mTermsFailureLogged = false;
  if (aTerms.value().mVersion > mTermsVersion) {
    mTermsVersion = aTerms.value().mVersion;
    mHandlers.mOnTerms(aTerms.value());
    LogEvent(LogLevel::Info, "route_terms_in_force")
      .With("version", mTermsVersion)
      .With("terms", aTerms.value().mTerms.size());
  }
}

void PacketNode::ReloadSeedsWithoutLease()
{
  if (!mLink.HadLeaseWithin(kSeedCheckInterval)) {
    ReloadSeeds();
  }
}

void PacketNode::ReloadSeeds()
{
  auto seeds = mHandlers.mReadSeeds();
  if (seeds.empty()) {
    return;
  }
  if (seeds != mSeeds) {
    mSeeds = seeds;
    LogEvent(LogLevel::Info, "seeds_changed").With("first", mSeeds.front());
  }
  // Unchanged seeds are added too: a list from control has replaced them meanwhile, and none of its
  // replicas may exist any more.
  mLink.AddSeeds(std::move(seeds));
}

Result<std::unique_ptr<UdpSocket>> PacketNode::BindNodeSocket(NodeHandler aHandler)
{
  return UdpSocket::Bind(
    mPool.Loop(), Endpoint::Parse(mSettings.mDatagramEndpoint).value(),
    [this, handler = std::move(aHandler)](auto aBytes, const Endpoint& aFrom) {
      const auto header = NodeMessageHeader::Decode(aBytes);
      if (!header) {
        mRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"malformed\"").Add();
        return;
      }
      handler(aFrom, header.value(), aBytes.subspan(NodeMessageHeader::kBytes));
    });
}

void PacketNode::AnnounceAndExit(Milliseconds aDelay)
{
  mLink.AnnounceNow([](bool) {});
  CallAfter(mPool.Loop(), aDelay, [this, aDelay] {
    LogEvent(LogLevel::Info, "stopped").With("after_ms", aDelay.count());
    mPool.Exit(0);
  });
}

SocketOutput::SocketOutput(std::uint16_t aCallerPort, MetricsRegistry& aRegistry)
  : mCallerPort(aCallerPort)
  , mNotSent(aRegistry.CounterFor("dandelionslip_packets_dropped_total", "reason=\"not_sent\""))
{
}

void SocketOutput::CountIfNotSent(bool aSent)
{
  if (!aSent) {
    mNotSent.Add();
  }
}

void SocketOutput::SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                              std::span<const std::uint8_t> aPacket)
{
  const auto header = aHeader.Encode();
  mDatagram.assign(header.begin(), header.end());
  mDatagram.insert(mDatagram.end(), aPacket.begin(), aPacket.end());
  CountIfNotSent(mSockets.mNodeSocket->Send(mDatagram, aNode));
}

void SocketOutput::SendToCaller(const FlowKey& aFlow, std::span<const std::uint8_t> aPacket)
{
  CountIfNotSent(
    mSockets.mCallerSocket->Send(aPacket, Endpoint::FromV4(aFlow.mCallerAddress, mCallerPort)));
}

void SocketOutput::SendToUpstream(std::span<const std::uint8_t> aPacket)
{
  CountIfNotSent(mSockets.mUpstreamSocket->Send(aPacket, mSockets.mUpstreamEndpoint));
}

} // namespace dandelionslip
