// Packets of a packet agent.
#include "dandelionslip/Packet/PacketAgent.h"

#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

// Sequence numbers wrap around; aFirst is later when the distance is below half of the range.
bool IsLater(std::uint32_t aFirst, std::uint32_t aSecond)
{
  return static_cast<std::int32_t>(aFirst - aSecond) > 0;
}

// Four times the data that a caller has in flight: sequence numbers further apart belong to two
// flows that used the same port one after the other.
constexpr std::uint32_t kSequenceWindow = 76'800;

// Probes that await the upstream's reaction at once; each lasts for one exchange with it.
constexpr std::size_t kMaxProbes = 10'000;

bool IsNear(std::uint32_t aFirst, std::uint32_t aSecond)
{
  const std::uint32_t ahead = aFirst - aSecond;
  const std::uint32_t behind = aSecond - aFirst;
  return std::min(ahead, behind) <= kSequenceWindow;
}

} // namespace

void PacketAgent::OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                               std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                               TimePoint aNow)
{
  if (aHeader.mKind == NodeMessageType::Query || aHeader.mKind == NodeMessageType::QueryHeld) {
    OnQuery(aFrom, aHeader.mKind, aPacket, aOutput, aNow);
    return;
  }
  if (aHeader.mKind == NodeMessageType::Register) {
    OnRegister(aFrom, aPacket, aOutput, aNow);
    return;
  }
  if (aHeader.mKind == NodeMessageType::RegisterAck) {
    OnRegistered(aFrom, aPacket);
    return;
  }
  const auto segment = mCodec.DecodeFromCaller(aPacket);
  const bool known =
    aHeader.mKind == NodeMessageType::Deliver || aHeader.mKind == NodeMessageType::DeliverIfHeld;
  if (!segment || !known || segment->mBounced) {
    mMalformed.Add();
    return;
  }
  if (segment->mOpens) {
    OnOpening(aFrom, *segment, aPacket, aOutput, aNow);
    return;
  }
  OnMidFlow(aFrom, aHeader.mKind, *segment, aPacket, aOutput, aNow);
}

void PacketAgent::OnOpening(const Endpoint& aFrom, const Segment& aSegment,
                            std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow)
{
  const auto found = mFlows.find(aSegment.mFlow);
  if (found != mFlows.end() && aSegment.mCopyNumber > 0 && !found->second.mAccepted) {
    Forget(aSegment.mFlow, aNow);
    Return(aFrom, ReturnReason::Unresponsive, aPacket, aOutput);
    return;
  }
  if (const auto reason = ReasonToRefuse(aSegment, aNow)) {
    LogOpening(aSegment.mFlow, *reason, aNow);
    Return(aFrom, *reason, aPacket, aOutput);
    return;
  }
  if (aSegment.mCopyNumber == 0) {
    Forget(aSegment.mFlow, aNow);
  }
  LogOpening(aSegment.mFlow, ReturnReason::None, aNow);
  Flow& flow = FlowOf(aSegment.mFlow, aNow);
  flow.mDelivered = aSegment.mSequence;
  flow.mOpenedAt = flow.mOpenedAt.value_or(aNow);
  if (mUnansweredOpens++ == 0) {
    mUnansweredSince = aNow;
  }
  Deliver(aFrom, NodeMessageType::Deliver, aPacket, aOutput);
}

void PacketAgent::LogOpening(const FlowKey& aFlow, ReturnReason aReason, TimePoint aNow) const
{
  const auto age =
    mUpstream ? std::chrono::duration_cast<Milliseconds>(aNow - mUpstream->mHeardAt).count() : -1;
  LogEvent(LogLevel::Info, aReason == ReturnReason::None ? "flow_opened" : "flow_declined")
    .With("flow", ToString(aFlow))
    .With("reason", ToString(aReason))
    .With("upstream", mUpstream ? mUpstream->mReport.mId : "")
    .With("started_ms", mUpstream ? mUpstream->mReport.mStartedMs : 0)
    .With("heartbeat_age_ms", age)
    .With("cold", IsCold(aNow) ? "true" : "false")
    .With("flows", mOpenFlows)
    .With("requests", mActive)
    .With("routes", mRoutes.mVersion);
}

void PacketAgent::OnMidFlow(const Endpoint& aFrom, NodeMessageType aKind, const Segment& aSegment,
                            std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow)
{
  auto found = mFlows.find(aSegment.mFlow);
  if (found != mFlows.end() && found->second.mDelivered &&
      !IsNear(aSegment.mSequence, *found->second.mDelivered)) {
    Forget(aSegment.mFlow, aNow);
    found = mFlows.end();
  }
  if (found == mFlows.end()) {
    if (!TableIsComplete(aNow)) {
      if (aKind == NodeMessageType::DeliverIfHeld && mProbes.size() < kMaxProbes) {
        mProbes[aSegment.mFlow] = {aFrom, aNow};
      }
      Deliver(aFrom, aKind, aPacket, aOutput);
    } else {
      DenyFlow({0, aFrom, aKind}, aSegment, aPacket, aOutput);
    }
    return;
  }
  Flow& flow = found->second;
  flow.mUsedAt = aNow;
  NoteRequest(flow, aSegment, aNow);
  if (aKind == NodeMessageType::DeliverIfHeld) {
    SayWhere(aFrom, NodeMessageType::Held, aSegment.mFlow, mSettings.mEndpoint, aOutput);
  }
  Deliver(aFrom, aKind, aPacket, aOutput);
  if (aSegment.mResets) {
    Forget(aSegment.mFlow, aNow);
    return;
  }
  flow.mCallerEnded = flow.mCallerEnded || aSegment.mEnds;
  if (flow.mCallerEnded && flow.mUpstreamEnded) {
    Close(flow, aNow);
  }
}

void PacketAgent::OnUpstreamPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                   TimePoint aNow)
{
  mUnansweredOpens = 0;
  mUpstreamSentPackets = true;
  if (mCodec.IsBounced(aPacket)) {
    OnBounced(aPacket, aOutput, aNow);
    return;
  }
  const auto segment = mCodec.DecodeFromUpstream(aPacket);
  if (!segment) {
    mMalformed.Add();
    return;
  }
  // An upstream that resets a flow which it does not hold answers a probe; the flow may be open
  // elsewhere.
  if (segment->mResets && !mFlows.contains(segment->mFlow)) {
    mProbeResets.Add();
    return;
  }
  mReplies.Add();
  aOutput.SendToCaller(segment->mFlow, aPacket);
  if (segment->mResets) {
    Forget(segment->mFlow, aNow);
    return;
  }
  Flow& flow = FlowOf(segment->mFlow, aNow);
  AnswerProbe(segment->mFlow, aOutput);
  if (const auto opened = std::exchange(flow.mOpenedAt, std::nullopt)) {
    mOpeningSeconds.Observe(Seconds(aNow - *opened));
  }
  if (!std::exchange(flow.mAccepted, true)) {
    Registrations registrations;
    Register(segment->mFlow, flow, registrations, aOutput, aNow);
    SendRegistrations(registrations, aOutput);
  }
  flow.mEstablished = flow.mEstablished || !segment->mAccepts;
  if (segment->mDataBytes > 0 && flow.mBusy) {
    mSpeed.OnCompleted();
    mRequestSeconds.Observe(Seconds(aNow - flow.mBusySince));
    SetBusy(flow, false, aNow);
  }
  flow.mUpstreamEnded = flow.mUpstreamEnded || segment->mEnds;
  if (flow.mCallerEnded && flow.mUpstreamEnded) {
    Close(flow, aNow);
  }
}

void PacketAgent::OnBounced(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow)
{
  mBounced.Add();
  const auto segment = mCodec.DecodeFromCaller(aPacket);
  if (!segment) {
    mMalformed.Add();
    return;
  }
  const Delivery delivery = mDeliveries[segment->mTag % kDeliveries];
  if (delivery.mTag != segment->mTag) {
    return;
  }
  mCodec.ClearBounce(aPacket);
  mProbes.erase(segment->mFlow);
  if (segment->mOpens) {
    Forget(segment->mFlow, aNow);
    Return(delivery.mBalancer, ReturnReason::Refused, aPacket, aOutput);
    return;
  }
  const auto found = mFlows.find(segment->mFlow);
  if (found != mFlows.end() && found->second.mEstablished && found->second.mDelivered) {
    // The flow was open here and its upstream no longer holds it: nobody does.
    const bool ended = found->second.mUpstreamEnded || found->second.mClosed;
    Forget(segment->mFlow, aNow);
    if (!ended) {
      mResets.Add();
      LogEvent(LogLevel::Info, "flow_reset")
        .With("flow", ToString(segment->mFlow))
        .With("reason", "upstream_lost_it")
        .With("upstream", mUpstream ? mUpstream->mReport.mId : "");
      aOutput.SendToCaller(segment->mFlow,
                           mCodec.EncodeReset(segment->mFlow, segment->mAcknowledged));
    }
    return;
  }
  Forget(segment->mFlow, aNow);
  DenyFlow(delivery, *segment, aPacket, aOutput);
}

void PacketAgent::Deliver(const Endpoint& aBalancer, NodeMessageType aKind,
                          std::span<std::uint8_t> aPacket, PacketOutput& aOutput)
{
  mDelivered.Add();
  const std::uint32_t tag = mNextTag++;
  mDeliveries[tag % kDeliveries] = {tag, aBalancer, aKind};
  mCodec.SetTag(aPacket, tag);
  aOutput.SendToUpstream(aPacket);
}

void PacketAgent::Return(const Endpoint& aBalancer, ReturnReason aReason,
                         std::span<const std::uint8_t> aPacket, PacketOutput& aOutput)
{
  mReturned[static_cast<std::size_t>(aReason)]->Add();
  aOutput.SendToNode(aBalancer, {NodeMessageType::Returned, aReason}, aPacket);
}

void PacketAgent::DenyFlow(const Delivery& aDelivery, const Segment& aSegment,
                           std::span<const std::uint8_t> aPacket, PacketOutput& aOutput)
{
  if (aDelivery.mKind == NodeMessageType::DeliverIfHeld) {
    SayWhere(aDelivery.mBalancer, NodeMessageType::NotFound, aSegment.mFlow, {}, aOutput);
  } else {
    Return(aDelivery.mBalancer, ReturnReason::NotHeld, aPacket, aOutput);
  }
}

PacketAgent::Flow& PacketAgent::FlowOf(const FlowKey& aFlow, TimePoint aNow)
{
  const auto [item, isNew] = mFlows.try_emplace(aFlow);
  Flow& flow = item->second;
  if (isNew) {
    ++mOpenFlows;
  }
  flow.mUsedAt = aNow;
  return flow;
}

// A request begins with data that was not delivered before; retransmissions do not count.
void PacketAgent::NoteRequest(Flow& aFlow, const Segment& aSegment, TimePoint aNow)
{
  if (aSegment.mDataBytes == 0) {
    return;
  }
  const std::uint32_t end = aSegment.mSequence + aSegment.mDataBytes;
  if (aFlow.mDelivered && !IsLater(end, *aFlow.mDelivered)) {
    return;
  }
  aFlow.mDelivered = end;
  SetBusy(aFlow, true, aNow);
}

void PacketAgent::SetBusy(Flow& aFlow, bool aBusy, TimePoint aNow)
{
  if (aFlow.mBusy == aBusy) {
    return;
  }
  aFlow.mBusy = aBusy;
  aFlow.mBusySince = aNow;
  mActive = aBusy ? mActive + 1 : mActive - 1;
  mSpeed.OnActive(mActive, mUpstream ? mUpstream->mReport.mSlots : 1, aNow);
}

void PacketAgent::Close(Flow& aFlow, TimePoint aNow)
{
  SetBusy(aFlow, false, aNow);
  if (!aFlow.mClosed) {
    aFlow.mClosed = true;
    --mOpenFlows;
  }
}

void PacketAgent::Forget(const FlowKey& aFlow, TimePoint aNow)
{
  if (const auto found = mFlows.find(aFlow); found != mFlows.end()) {
    Close(found->second, aNow);
    mFlows.erase(found);
  }
}

} // namespace dandelionslip
