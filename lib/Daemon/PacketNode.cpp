// Control link and sockets of packet nodes.
#include "PacketNode.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// The settings file may change without a signal; it is read this often while control is out of
// reach, and only then is a new seed needed.
constexpr Milliseconds kSeedInterval{2'000};

// Added to the incarnation when control knows a higher one: the wall clock was set back since the
// earlier process started. Larger than the steps of the clock that were seen, up to 2.4 s.
constexpr std::uint64_t kIncarnationStep = 5'000;

// A node that has just started announces itself this often for a short time, so that it takes part
// in the first views after a restart of everything.
constexpr Milliseconds kEagerInterval{100};
constexpr Milliseconds kEagerTime{3'000};

} // namespace

PacketNode::PacketNode(const PacketNodeSettings& aSettings, Handlers aHandlers)
  : mSettings(aSettings)
  , mHandlers(std::move(aHandlers))
  , mPool(1)
  , mClients(mPool.Loop())
  , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
  , mSeeds(aSettings.mControlEndpoints)
  , mLink(mPool.Loop(), mClients, aSettings, mRegistry,
          {[this] { return Describe(); }, [this](const auto& aAnswer, const auto& aState,
                                                 TimePoint) { OnAnswer(aAnswer, aState); }})
{
}

Announcement PacketNode::Describe() const
{
  Announcement announcement;
  Member& member = announcement.mMember;
  member.mName = mSettings.mNode;
  member.mDataCentre = mSettings.mDataCentre;
  member.mDatagramEndpoint = mSettings.mDatagramEndpoint;
  member.mRequestEndpoint = mSettings.mStatusEndpoint;
  member.mIncarnation = mIncarnation;
  mHandlers.mDescribe(member);
  return announcement;
}

void PacketNode::Start()
{
  OpenMetrics();
  mLink.FetchState([this](const NodeState& aState) {
    mHandlers.mOnState(aState);
    mLink.Start();
    mEagerTimer = std::make_unique<RepeatingTimer>(mPool.Loop(), kEagerInterval,
                                                   [this] { mLink.AnnounceNow(); });
    CallAfter(mPool.Loop(), kEagerTime, [this] { mEagerTimer.reset(); });
  });
  mPool.OnReload([this] { ReadSeeds(); });
  mSeedTimer =
    std::make_unique<RepeatingTimer>(mPool.Loop(), kSeedInterval, [this] { CheckSeeds(); });
}

// A node without its metrics still serves callers.
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

void PacketNode::OnAnswer(const AnnouncementAnswer& aAnswer, const NodeState& aState)
{
  if (aAnswer.mFenced) {
    mIncarnation += kIncarnationStep;
    LogEvent(LogLevel::Info, "incarnation_raised").With("incarnation", mIncarnation);
  }
  mHandlers.mOnState(aState);
}

void PacketNode::CheckSeeds()
{
  if (!mLink.InContact(kSeedInterval)) {
    ReadSeeds();
  }
}

void PacketNode::ReadSeeds()
{
  if (auto seeds = mHandlers.mReadSeeds(); !seeds.empty() && seeds != mSeeds) {
    mSeeds = seeds;
    LogEvent(LogLevel::Info, "seeds_changed").With("first", mSeeds.front());
    mLink.SetSeeds(std::move(seeds));
  }
}

Result<std::unique_ptr<UdpSocket>> PacketNode::BindNodes(NodeHandler aHandler)
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

void SocketOutput::Count(bool aSent)
{
  if (!aSent) {
    mNotSent.Add();
  }
}

void SocketOutput::SendToNode(const Endpoint& aNode, const NodeMessageHeader& aHeader,
                              std::span<const std::uint8_t> aPacket)
{
  const auto header = aHeader.Encode();
  mBuffer.assign(header.begin(), header.end());
  mBuffer.insert(mBuffer.end(), aPacket.begin(), aPacket.end());
  Count(mSockets.mNodes->Send(mBuffer, aNode));
}

void SocketOutput::SendToCaller(const FlowKey& aFlow, std::span<const std::uint8_t> aPacket)
{
  Count(mSockets.mCallers->Send(aPacket, Endpoint::FromV4(aFlow.mCallerAddress, mCallerPort)));
}

void SocketOutput::SendToUpstream(std::span<const std::uint8_t> aPacket)
{
  Count(mSockets.mUpstream->Send(aPacket, mSockets.mUpstreamEndpoint));
}

} // namespace dandelionslip
