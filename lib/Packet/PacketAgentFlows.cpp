// Handling of callers' and upstream packets at a packet agent.
#include "dandelionslip/Packet/PacketAgent.h"

#include "RouteKey.h"
#include "SequenceWindow.h"

#include "dandelionslip/Support/Durations.h"
#include "dandelionslip/Support/Log.h"

#include <utility>

namespace dandelionslip {

namespace {

// Whether sequence number aFirst comes after aSecond. Sequence numbers wrap around: the one that is
// less than half of the range ahead is the later one.
bool IsLater(std::uint32_t aFirst, std::uint32_t aSecond)
{
  return static_cast<std::int32_t>(aFirst - aSecond) > 0;
}

// An upstream answers an opening packet within milliseconds unless it is saturated.
constexpr Milliseconds kOpeningOverdue{250};

// A copy of an opening packet that comes sooner after the first one does not show that the upstream
// has not answered: a balancer that stood still forwards both at once. Callers wait 200 ms.
constexpr Milliseconds kMinOpeningTime{100};

// CheckUnanswered is called every 250 ms. After a longer interval the process has stood still.
constexpr Milliseconds kMaxCheckInterval{600};

// Limit of flow probes that await the upstream's reaction; each takes one exchange with it.
constexpr std::size_t kMaxProbes = 10'000;

} // namespace

void PacketAgent::OnNodePacket(const Endpoint& aFrom, const NodeMessageHeader& aHeader,
                               std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                               TimePoint aNow)
{
  if (aHeader.mType == NodeMessageType::Query || aHeader.mType == NodeMessageType::QueryLocal) {
    OnQuery(aFrom, aHeader.mType, aPacket, aOutput, aNow);
    return;
  }
  if (aHeader.mType == NodeMessageType::Register) {
    OnRegister(aFrom, aPacket, aOutput, aNow);
    return;
  }
  if (aHeader.mType == NodeMessageType::RegisterAck) {
    OnRegisterAck(aFrom, aPacket);
    return;
  }
  const auto packetHeader = mCodec.DecodeFromCaller(aPacket);
  const bool offer =
    aHeader.mType == NodeMessageType::Offer || aHeader.mType == NodeMessageType::LastOffer;
  const bool carriesPacket =
    aHeader.mType == NodeMessageType::Deliver || aHeader.mType == NodeMessageType::Probe || offer;
  if (!packetHeader || !carriesPacket || packetHeader->mBounced ||
      (offer && !packetHeader->mOpens)) {
    mMalformed.Add();
    return;
  }
  if (packetHeader->mOpens) {
    OnOpening(aFrom, offer ? aHeader.mType : NodeMessageType::Deliver, *packetHeader, aPacket,
              aOutput, aNow);
    return;
  }
  OnFlowPacket(aFrom, aHeader.mType, *packetHeader, aPacket, aOutput, aNow);
}

void PacketAgent::OnOpening(const Endpoint& aFrom, NodeMessageType aType,
                            const PacketHeader& aPacketHeader, std::span<std::uint8_t> aPacket,
                            PacketOutput& aOutput, TimePoint aNow)
{
  auto found = mFlows.find(aPacketHeader.mFlow);
  const bool ofOtherFlow = found != mFlows.end() && !IsOpeningOf(found->second, aPacketHeader);
  // The upstream decides whether the packet or the flow is the earlier one.
  const bool replaces = ofOtherFlow && (!found->second.mAccepted || found->second.mClosed);
  const bool copyOfReplacing =
    ofOtherFlow && !replaces && found->second.mOtherOpeningSequence == aPacketHeader.mSequence;
  if (replaces) {
    RemoveFlow(aPacketHeader.mFlow, RemovalReason::Opening, aNow);
  }
  if (ofOtherFlow) {
    found = mFlows.end();
  }
  if (found != mFlows.end() && found->second.mEstablished) {
    // The caller has the upstream's answer already.
    mLateOpenings.Add();
    return;
  }
  if (found != mFlows.end() && aPacketHeader.mRetransmission > 0 && !found->second.mAccepted) {
    const Flow& flow = found->second;
    NoteStandstill(aNow);
    if (flow.mOpenedAt && !flow.mOverdue &&
        UnansweredFor(*flow.mOpenedAt, aNow) > kMinOpeningTime) {
      OnFailure(flow, FlowFailure::OpeningUnanswered, *flow.mOpenedAt, aNow);
    }
    RemoveFlow(aPacketHeader.mFlow, RemovalReason::Unanswered, aNow);
    Return(aFrom, ReturnReason::Unresponsive, aPacket, aOutput);
    return;
  }
  // A copy of an opening that was delivered must not be returned as busy: the balancer would place
  // it at another upstream while this one opens the flow.
  const bool copy = found != mFlows.end() || copyOfReplacing;
  const NodeMessageType type = copy ? NodeMessageType::Deliver : aType;
  if (const auto reason = AdmitOpening(aFrom, type, aPacketHeader, aNow)) {
    LogOpening(aPacketHeader.mFlow, *reason, aNow);
    Return(aFrom, *reason, aPacket, aOutput);
    return;
  }
  LogOpening(aPacketHeader.mFlow, ReturnReason::None, aNow);
  if (ofOtherFlow && !replaces) {
    mFlows.at(aPacketHeader.mFlow).mOtherOpeningSequence = aPacketHeader.mSequence;
  } else {
    Flow& flow = FindOrAddFlow(aPacketHeader.mFlow, aNow);
    flow.mKnownByOpening = flow.mKnownByOpening || !flow.mAnsweredAt;
    flow.mDeliveredAt = aNow;
    flow.mOpeningSequence = flow.mDeliveredEnd = aPacketHeader.mSequence;
    flow.mOpenedAt = flow.mOpenedAt.value_or(aNow);
    flow.mOpenedBy = aFrom;
  }
  mAdmission.OnOpened(aPacketHeader.mFlow, RouteKeyOf(aPacketHeader.mFlow), aNow);
  if (mUnansweredOpenings++ == 0) {
    mUnansweredSince = aNow;
  }
  Deliver(aFrom, NodeMessageType::Deliver, 0, aPacket, aOutput, aNow);
}

// If the upstream has accepted the opening packet of another flow of the port, it no longer holds
// the one in the table. It may also have repeated its answer to that one's opening packet.
void PacketAgent::OnOpeningAccepted(const PacketHeader& aPacketHeader, TimePoint aNow)
{
  const auto found = mFlows.find(aPacketHeader.mFlow);
  if (found == mFlows.end() || !found->second.mOtherOpeningSequence) {
    return;
  }
  const std::optional<std::uint32_t> known = found->second.mOpeningSequence;
  if (known && aPacketHeader.mAcknowledged == *known + 1) {
    return;
  }
  const std::uint32_t sequence = *found->second.mOtherOpeningSequence;
  RemoveFlow(aPacketHeader.mFlow, RemovalReason::Opening, aNow);
  mAdmission.OnOpened(aPacketHeader.mFlow, RouteKeyOf(aPacketHeader.mFlow), aNow);
  Flow& flow = FindOrAddFlow(aPacketHeader.mFlow, aNow);
  flow.mKnownByOpening = true;
  flow.mDeliveredAt = aNow;
  flow.mOpeningSequence = flow.mDeliveredEnd = sequence;
}

void PacketAgent::LogOpening(const FlowKey& aFlow, ReturnReason aReason, TimePoint aNow) const
{
  const auto age =
    mUpstream ? std::chrono::duration_cast<Milliseconds>(aNow - mUpstream->mHeardAt).count() : -1;
  LogEvent(LogLevel::Info, aReason == ReturnReason::None ? "flow_opened" : "flow_declined")
    .With("flow", ToString(aFlow))
    .With("reason", ToString(aReason))
    .With("upstream", mUpstream ? mUpstream->mLastHeartbeat.mId : "")
    .With("started_ms", mUpstream ? mUpstream->mLastHeartbeat.mStartedMs : 0)
    .With("heartbeat_age_ms", age)
    .With("cold", IsCold(aNow) ? "true" : "false")
    .With("flows", mOpenFlows)
    .With("requests", mPendingRequests)
    .With("routes", mRoutes.mVersion);
}

// Whether the packet opens this flow, not another one of the same caller port. Without any sequence
// number of the caller, a retransmission is taken for one of the known flow.
bool PacketAgent::IsOpeningOf(const Flow& aFlow, const PacketHeader& aPacketHeader)
{
  if (aFlow.mOpeningSequence) {
    return *aFlow.mOpeningSequence == aPacketHeader.mSequence;
  }
  return aFlow.mDeliveredEnd ? IsNear(aPacketHeader.mSequence, *aFlow.mDeliveredEnd)
                             : aPacketHeader.mRetransmission > 0;
}

// Whether the caller or the upstream has sent more than what opens the flow, and not both have
// ended it.
bool PacketAgent::IsOpen(const FlowKey& aKey) const
{
  const auto found = mFlows.find(aKey);
  return found != mFlows.end() && !found->second.mClosed &&
         (found->second.mEstablished || found->second.mCallerSent);
}

// Whether an upstream's packet, or a caller's acknowledgement, with this sequence number belongs to
// another flow of the port or to another upstream's answer. An agent that has not seen the opening
// packet does not know which flow the upstream's first packet belonged to.
bool PacketAgent::IsOfOtherAnswer(const Flow& aFlow, std::uint32_t aSequence)
{
  return aFlow.mOpeningSequence && aFlow.mUpstreamSequence &&
         !IsNear(aSequence, *aFlow.mUpstreamSequence);
}

// Whether the packet belongs to an earlier or later flow of the same caller port.
bool PacketAgent::IsOfOtherFlow(const Flow& aFlow, const PacketHeader& aPacketHeader)
{
  return IsOfOtherFlow(aFlow, aPacketHeader.mSequence);
}

bool PacketAgent::IsOfOtherFlow(const Flow& aFlow, std::uint32_t aSequence)
{
  return aFlow.mDeliveredEnd && !IsNear(aSequence, *aFlow.mDeliveredEnd);
}

void PacketAgent::OnFlowPacket(const Endpoint& aFrom, NodeMessageType aType,
                               const PacketHeader& aPacketHeader, std::span<std::uint8_t> aPacket,
                               PacketOutput& aOutput, TimePoint aNow)
{
  const auto found = mFlows.find(aPacketHeader.mFlow);
  const bool ofOtherFlow = found != mFlows.end() && IsOfOtherFlow(found->second, aPacketHeader);
  if (found == mFlows.end() || ofOtherFlow) {
    if (ofOtherFlow) {
      found->second.mPortReused = true;
    }
    if (TableIsComplete(aNow)) {
      ReportNotHeld({0, aFrom, aType, aNow, aPacketHeader.mTag}, aPacketHeader, aPacket, aOutput,
                    aNow);
      return;
    }
    if (aType == NodeMessageType::Probe && mProbes.size() < kMaxProbes) {
      mProbes[aPacketHeader.mFlow] = {aFrom, aNow, aPacketHeader.mTag};
    }
    Deliver(aFrom, aType, aPacketHeader.mTag, aPacket, aOutput, aNow);
    return;
  }
  Flow& flow = found->second;
  flow.mUsedAt = aNow;
  flow.mDeliveredAt = aNow;
  if (!IsOfOtherAnswer(flow, aPacketHeader.mAcknowledged)) {
    flow.mCallerSent = true;
    TrackRequest(flow, aPacketHeader, aNow);
  }
  if (aType == NodeMessageType::Probe) {
    SendFlowAnswer(aFrom, NodeMessageType::HolderFound, aPacketHeader.mTag, aPacketHeader.mFlow,
                   mSettings.mEndpoint, aOutput);
  }
  Deliver(aFrom, aType, aPacketHeader.mTag, aPacket, aOutput, aNow);
  if (aPacketHeader.mResets) {
    RemoveFlow(aPacketHeader.mFlow, RemovalReason::CallerReset, aNow);
    return;
  }
  flow.mCallerEnded = flow.mCallerEnded || aPacketHeader.mEnds;
  if (flow.mCallerEnded && flow.mUpstreamEnded) {
    Close(aPacketHeader.mFlow, flow, aNow);
  }
}

void PacketAgent::OnUpstreamPacket(std::span<std::uint8_t> aPacket, PacketOutput& aOutput,
                                   TimePoint aNow)
{
  mUnansweredOpenings = 0;
  if (mCodec.IsBounced(aPacket)) {
    // Does not show that an upstream runs: packets to a removed one come back too.
    OnBounced(aPacket, aOutput, aNow);
    return;
  }
  mUpstreamSentAt = aNow;
  mUpstreamAbsent = false;
  const auto packetHeader = mCodec.DecodeFromUpstream(aPacket);
  if (!packetHeader) {
    mMalformed.Add();
    return;
  }
  if (packetHeader->mResets) {
    OnUpstreamReset(*packetHeader, aPacket, aOutput, aNow);
    return;
  }
  mReplies.Add();
  aOutput.SendToCaller(packetHeader->mFlow, aPacket);
  if (packetHeader->mAcceptsOpening) {
    OnOpeningAccepted(*packetHeader, aNow);
  }
  Flow& flow = FindOrAddFlow(packetHeader->mFlow, aNow);
  AnswerProbe(packetHeader->mFlow, aOutput);
  // An upstream that has started again repeats nothing, so a new answer replaces the known one.
  const bool answersOpening = packetHeader->mAcceptsOpening && flow.mOpeningSequence &&
                              packetHeader->mAcknowledged == *flow.mOpeningSequence + 1;
  if (!answersOpening && IsOfOtherAnswer(flow, packetHeader->mSequence)) {
    // The upstream repeats a packet of an earlier flow of the port.
    return;
  }
  flow.mUpstreamSequence = packetHeader->mSequence;
  flow.mAnsweredAt = aNow;
  if (const auto opened = std::exchange(flow.mOpenedAt, std::nullopt)) {
    mOpeningSeconds.Observe(Seconds(aNow - *opened));
  }
  if (!std::exchange(flow.mAccepted, true)) {
    Registrations registrations;
    AddRegistrations(packetHeader->mFlow, flow, registrations, aOutput, aNow);
    SendRegistrations(registrations, aOutput);
  }
  flow.mEstablished = flow.mEstablished || !packetHeader->mAcceptsOpening;
  if (packetHeader->mDataBytes > 0 && flow.mRequestPending) {
    OnRequestAnswered(*packetHeader, flow, aNow);
  }
  flow.mUpstreamEnded = flow.mUpstreamEnded || packetHeader->mEnds;
  if (flow.mCallerEnded && flow.mUpstreamEnded) {
    Close(packetHeader->mFlow, flow, aNow);
  }
}

void PacketAgent::OnRequestAnswered(const PacketHeader& aPacketHeader, Flow& aFlow, TimePoint aNow)
{
  const auto duration = aNow - aFlow.mRequestSince;
  mRequestSeconds.Observe(Seconds(duration));
  mAdmission.OnAnswered(aPacketHeader.mFlow, aNow);
  mRequestAnsweredAt = aNow;
  if (++aFlow.mAnswers == 1 && aFlow.mKnownByOpening) {
    mFlowLength.OnFirstAnswer(aNow);
  }
  bool wasRun = true;
  if (mSettings.mHealthMayBeWrong) {
    const std::string& dataCentre = DataCentreOf(aFlow.mOpenedBy);
    wasRun = mFailureDetector.OnAnswered(
      dataCentre, {duration, aPacketHeader.mDataBytes, aFlow.mHadFreeSlot, aFlow.mOverdue}, aNow);
    LogVerdict(dataCentre, aNow);
  }
  // An upstream that rejects requests is not fast, and those that wait are not overtaken.
  if (wasRun) {
    mSpeedEstimator.OnCompleted();
    mLatestAnsweredSince = std::max(mLatestAnsweredSince, aFlow.mRequestSince);
  }
  SetRequestPending(aFlow, false, aNow);
}

void PacketAgent::OnFailure(const Flow& aFlow, FlowFailure aFailure, TimePoint aDeliveredAt,
                            TimePoint aNow)
{
  if (!mSettings.mHealthMayBeWrong) {
    return;
  }
  mFlowFailures[static_cast<std::size_t>(aFailure)]->Add();
  const std::string& dataCentre = DataCentreOf(aFlow.mOpenedBy);
  mFailureDetector.OnFailure(dataCentre, aFailure, aDeliveredAt, aNow);
  LogVerdict(dataCentre, aNow);
}

void PacketAgent::NoteStandstill(TimePoint aNow)
{
  if (mCheckedAt && aNow - *mCheckedAt > kMaxCheckInterval) {
    mResumedChecksAt = aNow;
  }
}

RuntimeClock::duration PacketAgent::UnansweredFor(TimePoint aDeliveredAt, TimePoint aNow) const
{
  return aNow - std::max(aDeliveredAt, mResumedChecksAt);
}

void PacketAgent::CheckUnanswered(TimePoint aNow)
{
  mAdmission.Expire(aNow);
  if (!mSettings.mHealthMayBeWrong) {
    return;
  }
  NoteStandstill(aNow);
  mCheckedAt = aNow;
  const auto overdueAfter = mFailureDetector.OverdueAfter();
  for (auto& [key, flow] : mFlows) {
    if (flow.mOverdue || flow.mClosed) {
      continue;
    }
    // A busy upstream answers the requests before this one, and none after it.
    const bool isDue = flow.mHadFreeSlot || mLatestAnsweredSince > flow.mRequestSince ||
                       mRequestAnsweredAt <= flow.mRequestSince;
    if (flow.mOpenedAt && !flow.mAccepted &&
        UnansweredFor(*flow.mOpenedAt, aNow) > kOpeningOverdue) {
      flow.mOverdue = true;
      OnFailure(flow, FlowFailure::OpeningUnanswered, *flow.mOpenedAt, aNow);
    } else if (flow.mRequestPending && isDue &&
               UnansweredFor(flow.mRequestSince, aNow) > overdueAfter) {
      flow.mOverdue = true;
      OnFailure(flow, FlowFailure::Overdue, flow.mRequestSince, aNow);
    }
  }
}

// A reset of a flow that is not open here is a reaction to a flow probe, or ends an opening whose
// caller took another upstream's answer. It must not reach the caller, because the flow may be open
// at another upstream. A reset with a sequence number far from the flow's is about an earlier flow
// of the port.
void PacketAgent::OnUpstreamReset(const PacketHeader& aPacketHeader,
                                  std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                                  TimePoint aNow)
{
  const FlowKey& key = aPacketHeader.mFlow;
  if (!IsOpen(key)) {
    mProbeResetsDropped.Add();
    LogProbeReset(key, aNow);
    RemoveFlow(key, RemovalReason::UpstreamReset, aNow);
    return;
  }
  const Flow& flow = mFlows.at(key);
  if (IsOfOtherAnswer(flow, aPacketHeader.mSequence)) {
    mProbeResetsDropped.Add();
    LogProbeReset(key, aNow);
    return;
  }
  mReplies.Add();
  mResetsPassedOn.Add();
  aOutput.SendToCaller(key, aPacket);
  LogUpstreamReset(key, flow, aNow);
  // An upstream that has more connections than it can hold resets some; that is no failure.
  if (flow.mRequestPending && flow.mHadFreeSlot) {
    OnFailure(flow, FlowFailure::Reset, flow.mRequestSince, aNow);
  }
  RemoveFlow(key, RemovalReason::UpstreamReset, aNow);
}

// Whether the upstream holds the flow unless it has started again since its last packet of the
// flow.
bool PacketAgent::MustBeHeld(const Flow& aFlow, TimePoint aNow) const
{
  return aFlow.mEstablished && !aFlow.mUpstreamEnded && !aFlow.mClosed && !aFlow.mPortReused &&
         aFlow.mAnsweredAt && aNow - *aFlow.mAnsweredAt < IdleTimeout() &&
         aNow - aFlow.mFirstUsedAt < mSettings.mMaxFlowAge;
}

void PacketAgent::OnBounced(std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow)
{
  mBounced.Add();
  const auto packetHeader = mCodec.DecodeFromCaller(aPacket);
  if (!packetHeader) {
    mMalformed.Add();
    return;
  }
  const Delivery delivery = mDeliveries[packetHeader->mTag % kRememberedDeliveries];
  if (delivery.mTag != packetHeader->mTag) {
    return;
  }
  mCodec.ClearBounce(aPacket);
  mProbes.erase(packetHeader->mFlow);
  const auto found = mFlows.find(packetHeader->mFlow);
  if (packetHeader->mOpens) {
    // The bounce of a copy does not end what the upstream has accepted.
    if (found != mFlows.end() && !found->second.mAccepted) {
      RemoveFlow(packetHeader->mFlow, RemovalReason::Bounced, aNow);
    }
    Return(delivery.mBalancer, ReturnReason::Refused, aPacket, aOutput);
    return;
  }
  if (found != mFlows.end() && IsOfOtherFlow(found->second, *packetHeader)) {
    ReportNotHeld(delivery, *packetHeader, aPacket, aOutput, aNow);
    return;
  }
  if (found != mFlows.end() && MustBeHeld(found->second, aNow)) {
    // The upstream has started again, and may be cold before its first heartbeat.
    mColdUntilHeartbeat = true;
  }
  if (found != mFlows.end() && found->second.mEstablished && found->second.mOpeningSequence &&
      !found->second.mPortReused) {
    // The flow was open at this upstream, which no longer holds it, so no upstream does.
    const bool ended = found->second.mUpstreamEnded || found->second.mClosed;
    if (!ended) {
      mFlowsLost.Add();
      LogLostFlow(packetHeader->mFlow, found->second, delivery.mDeliveredAt, aNow);
      aOutput.SendToCaller(packetHeader->mFlow,
                           mCodec.EncodeReset(packetHeader->mFlow, packetHeader->mAcknowledged));
    }
    RemoveFlow(packetHeader->mFlow, RemovalReason::Bounced, aNow);
    return;
  }
  RemoveFlow(packetHeader->mFlow, RemovalReason::Bounced, aNow);
  ReportNotHeld(delivery, *packetHeader, aPacket, aOutput, aNow);
}

void PacketAgent::Deliver(const Endpoint& aBalancer, NodeMessageType aType, std::uint32_t aNumber,
                          std::span<std::uint8_t> aPacket, PacketOutput& aOutput, TimePoint aNow)
{
  mDelivered.Add();
  const std::uint32_t tag = mNextTag++;
  mDeliveries[tag % kRememberedDeliveries] = {tag, aBalancer, aType, aNow, aNumber};
  mCodec.SetTag(aPacket, tag);
  aOutput.SendToUpstream(aPacket);
}

void PacketAgent::Return(const Endpoint& aBalancer, ReturnReason aReason,
                         std::span<const std::uint8_t> aPacket, PacketOutput& aOutput)
{
  mReturned[static_cast<std::size_t>(aReason)]->Add();
  aOutput.SendToNode(aBalancer, {NodeMessageType::Returned, aReason}, aPacket);
}

void PacketAgent::ReportNotHeld(const Delivery& aDelivery, const PacketHeader& aPacketHeader,
                                std::span<const std::uint8_t> aPacket, PacketOutput& aOutput,
                                TimePoint aNow)
{
  const bool probe = aDelivery.mType == NodeMessageType::Probe;
  OnDenial(aPacketHeader.mFlow, probe ? "not_found" : "not_held", aDelivery.mBalancer, aNow);
  if (probe) {
    SendFlowAnswer(aDelivery.mBalancer, NodeMessageType::NotFound, aDelivery.mNumber,
                   aPacketHeader.mFlow, {}, aOutput);
  } else {
    Return(aDelivery.mBalancer, ReturnReason::NotHeld, aPacket, aOutput);
  }
}

PacketAgent::Flow& PacketAgent::FindOrAddFlow(const FlowKey& aFlow, TimePoint aNow)
{
  const auto [item, isNew] = mFlows.try_emplace(aFlow);
  Flow& flow = item->second;
  if (isNew) {
    ++mOpenFlows;
    flow.mFirstUsedAt = aNow;
  }
  flow.mUsedAt = aNow;
  return flow;
}

// Marks a request as pending if the packet carries data that was not delivered before; a
// retransmission starts no request.
void PacketAgent::TrackRequest(Flow& aFlow, const PacketHeader& aPacketHeader, TimePoint aNow)
{
  if (aPacketHeader.mDataBytes == 0) {
    return;
  }
  const std::uint32_t end = aPacketHeader.mSequence + aPacketHeader.mDataBytes;
  if (aFlow.mDeliveredEnd && !IsLater(end, *aFlow.mDeliveredEnd)) {
    return;
  }
  aFlow.mDeliveredEnd = end;
  if (!aFlow.mRequestPending) {
    aFlow.mHadFreeSlot = mAdmission.HasFreeSlot();
    aFlow.mOverdue = false;
    mAdmission.OnRequest(aPacketHeader.mFlow, RouteKeyOf(aPacketHeader.mFlow), aNow);
  }
  SetRequestPending(aFlow, true, aNow);
}

void PacketAgent::SetRequestPending(Flow& aFlow, bool aPending, TimePoint aNow)
{
  if (aFlow.mRequestPending == aPending) {
    return;
  }
  aFlow.mRequestPending = aPending;
  aFlow.mRequestSince = aNow;
  mPendingRequests = aPending ? mPendingRequests + 1 : mPendingRequests - 1;
  mSpeedEstimator.OnActiveChanged(mPendingRequests,
                                  mUpstream ? mUpstream->mLastHeartbeat.mSlots : 1, aNow);
}

void PacketAgent::Close(const FlowKey& aKey, Flow& aFlow, TimePoint aNow)
{
  mAdmission.OnGone(aKey, aNow);
  SetRequestPending(aFlow, false, aNow);
  if (!aFlow.mClosed) {
    // Of a flow that an earlier process opened, only the last answers are known.
    if (aFlow.mKnownByOpening && aFlow.mCallerEnded && aFlow.mUpstreamEnded) {
      mFlowLength.OnEnded(aFlow.mAnswers, aNow);
    }
    aFlow.mClosed = true;
    --mOpenFlows;
  }
}

void PacketAgent::RemoveFlow(const FlowKey& aFlow, RemovalReason aReason, TimePoint aNow)
{
  if (const auto found = mFlows.find(aFlow); found != mFlows.end()) {
    const Flow& flow = found->second;
    mRemovedFlows.Add({aFlow, aReason, flow.mEstablished, flow.mFirstUsedAt, flow.mUsedAt, aNow});
    Close(aFlow, found->second, aNow);
    mFlows.erase(found);
  }
}

} // namespace dandelionslip
