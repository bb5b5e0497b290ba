// Upstreams of the simulated packet plane.
#include "PacketFlowSimulationParts.h"

#include <boost/endian/conversion.hpp>

namespace dandelionslip {

namespace {

constexpr Milliseconds kHeartbeat{770};
constexpr Milliseconds kColdTime{2'000};
constexpr unsigned kMaxRetransmissions = 8;
constexpr std::size_t kAcknowledgedOffset = 28;

Milliseconds RetransmissionDelay(unsigned aAttempt)
{
  return Milliseconds(200 << std::min(aAttempt, 3U));
}

} // namespace

void PacketFlowSimulation::AddUpstream(const std::string& aService, const std::string& aDataCentre,
                                       Node* aPredecessor)
{
  Node& node = AddNode(MemberKind::Agent, aService, aDataCentre);
  if (aPredecessor != nullptr) {
    node.mEndpoint = aPredecessor->mEndpoint;
    aPredecessor->mSuccessor = &node;
  }
  mUpstreams.push_back(std::make_unique<Upstream>());
  Upstream& upstream = *mUpstreams.back();
  upstream.mNode = &node;
  upstream.mNumber = node.mNumber;
  node.mUpstream = &upstream;
  StartProcess(node);
  After(Between(Milliseconds(0), Milliseconds(300)),
        [this, &upstream] { StartUpstream(upstream); });
}

void PacketFlowSimulation::StartUpstream(Upstream& aUpstream)
{
  if (aUpstream.mUp || aUpstream.mNode->mGone) {
    return;
  }
  aUpstream.mUp = true;
  aUpstream.mDraining = false;
  ++aUpstream.mStart;
  aUpstream.mStartedAt = mNow;
  // The platform does not say with which number heartbeats begin.
  aUpstream.mNextHeartbeat = (aUpstream.mNumber + aUpstream.mStart) % 2;
  aUpstream.mFlows.clear();
  // An upstream may start again under its earlier id.
  if (aUpstream.mId.empty() || Chance(0.7)) {
    aUpstream.mId =
      "upstream-" + std::to_string(aUpstream.mNumber) + "-" + std::to_string(aUpstream.mStart);
  }
  SendHeartbeats(aUpstream, aUpstream.mStart);
}

void PacketFlowSimulation::EndUpstream(Upstream& aUpstream)
{
  for (const auto& [key, flow] : aUpstream.mFlows) {
    FlowTruth& truth = mTruths[key];
    if (truth.mOpen && truth.mHolder == &aUpstream &&
        flow.mCallerSequence == truth.mCallerSequence) {
      truth.mOpen = false;
      truth.mDied = true;
      Note(key, aUpstream.mId + " ends");
    }
  }
  aUpstream.mUp = false;
  aUpstream.mFrozen = false;
  aUpstream.mDeferred.clear();
  ++aUpstream.mStart;
  aUpstream.mFlows.clear();
}

void PacketFlowSimulation::CrashUpstream(Upstream& aUpstream)
{
  EndUpstream(aUpstream);
  After(Between(Milliseconds(300), Milliseconds(3'000)),
        [this, &aUpstream] { StartUpstream(aUpstream); });
}

// Reports that the upstream drains, then that it leaves; it starts anew later.
void PacketFlowSimulation::DrainUpstream(Upstream& aUpstream)
{
  if (!aUpstream.mUp || aUpstream.mDraining) {
    return;
  }
  aUpstream.mDraining = true;
  After(Between(Milliseconds(2'000), Milliseconds(12'000)),
        [this, &aUpstream, start = aUpstream.mStart] { LeaveUpstream(aUpstream, start); });
}

void PacketFlowSimulation::LeaveUpstream(Upstream& aUpstream, std::uint64_t aStart)
{
  if (!aUpstream.mUp || aUpstream.mStart != aStart ||
      Defer(aUpstream, [this, &aUpstream, aStart] { LeaveUpstream(aUpstream, aStart); })) {
    return;
  }
  EndUpstream(aUpstream);
  Node& node = *aUpstream.mNode;
  RunOn(node, node.mProcess, [this, &node, id = aUpstream.mId] {
    const MemberState before = node.mAgent->State(NodeTime(node));
    node.mAgent->OnUpstreamLeft(id, std::nullopt);
    ReportIfChanged(node, before);
  });
  After(Between(Milliseconds(300), Milliseconds(6'000)),
        [this, &aUpstream] { StartUpstream(aUpstream); });
}

void PacketFlowSimulation::SendHeartbeats(Upstream& aUpstream, std::uint64_t aStart)
{
  if (aUpstream.mStart != aStart ||
      Defer(aUpstream, [this, &aUpstream, aStart] { SendHeartbeats(aUpstream, aStart); })) {
    return;
  }
  UpstreamHeartbeat heartbeat;
  heartbeat.mId = aUpstream.mId;
  heartbeat.mService = aUpstream.mNode->mService;
  heartbeat.mDraining = aUpstream.mDraining;
  heartbeat.mSlots = 4;
  heartbeat.mStartedMs = Ms(aUpstream.mStartedAt);
  heartbeat.mSequence = aUpstream.mNextHeartbeat++;
  const Duration age = mNow - aUpstream.mStartedAt;
  heartbeat.mColdLeft =
    age < kColdTime ? std::chrono::duration_cast<Milliseconds>(kColdTime - age) : Milliseconds(0);
  if (!Chance(0.02)) {
    const Duration delay = Chance(0.05) ? Between(Milliseconds(1), Milliseconds(1'000))
                                        : Between(Milliseconds(1), Milliseconds(3));
    Node& node = *aUpstream.mNode;
    After(delay, [this, &node, heartbeat] {
      RunOn(node, node.mProcess, [this, &node, heartbeat] {
        const MemberState before = node.mAgent->State(NodeTime(node));
        node.mAgent->OnUpstreamHeartbeat(heartbeat, NodeTime(node));
        ReportIfChanged(node, before);
      });
    });
  }
  After(kHeartbeat, [this, &aUpstream, aStart] { SendHeartbeats(aUpstream, aStart); });
}

void PacketFlowSimulation::SendFromUpstream(Upstream& aUpstream, const PacketBytes& aPacket)
{
  Node& node = *aUpstream.mNode;
  After(std::chrono::microseconds(50 + mRandom.Below(300)), [this, &node, aPacket] {
    RunOn(node, node.mProcess, [this, &node, packet = aPacket]() mutable {
      node.mAgent->OnUpstreamPacket(packet, node, NodeTime(node));
    });
  });
}

void PacketFlowSimulation::Bounce(Upstream& aUpstream, PacketBytes aPacket)
{
  const auto header = mCodec.DecodeFromCaller(aPacket);
  Note(header->mFlow, aUpstream.mId + " bounces");
  aPacket[8] |= FlagBounced;
  SendFromUpstream(aUpstream, aPacket);
}

// Runs the task unless the upstream has discarded the flow, also if it holds the port's next one.
void PacketFlowSimulation::AfterIfHeld(Upstream& aUpstream, const FlowKey& aFlow, Duration aDelay,
                                       Task aTask)
{
  After(aDelay, [&aUpstream, aFlow, sequence = aUpstream.mFlows.at(aFlow).mCallerSequence,
                 task = std::move(aTask)] {
    const auto found = aUpstream.mFlows.find(aFlow);
    if (found != aUpstream.mFlows.end() && found->second.mCallerSequence == sequence) {
      task();
    }
  });
}

bool PacketFlowSimulation::IsOfOtherFlow(const UpstreamFlow& aFlow,
                                         const PacketHeader& aHeader) const
{
  return mFaultKinds == PacketFlowFaults::PortReuse &&
         !IsNear(aHeader.mSequence, aFlow.mCallerSequence);
}

// Acknowledges the caller's sequence number, so that the caller can tell its flows apart.
PacketBytes PacketFlowSimulation::AnswerToOpening(const FlowKey& aKey, const UpstreamFlow& aFlow)
{
  PacketBytes packet = UpstreamPacket(aKey, FlagSyn | FlagAck, aFlow.mSequence);
  boost::endian::store_big_u32(packet.data() + kAcknowledgedOffset, aFlow.mCallerSequence + 1);
  return packet;
}

void PacketFlowSimulation::OnOpening(Upstream& aUpstream, const PacketHeader& aHeader,
                                     PacketBytes aPacket)
{
  const FlowKey& key = aHeader.mFlow;
  if (const auto found = aUpstream.mFlows.find(key); found != aUpstream.mFlows.end()) {
    const bool same = found->second.mCallerSequence == aHeader.mSequence;
    if (same && found->second.mState == UpstreamFlow::State::Opening) {
      SendFromUpstream(aUpstream, AnswerToOpening(key, found->second));
    }
    if (same || aHeader.mSequence != mTruths[key].mCallerSequence) {
      return;
    }
    aUpstream.mFlows.erase(found);
  }
  if (mNow < aUpstream.mRefusesUntil ||
      (mNow < aUpstream.mFullUntil ? Chance(0.7) : Chance(0.01))) {
    Bounce(aUpstream, std::move(aPacket));
    return;
  }
  UpstreamFlow& flow = aUpstream.mFlows[key];
  flow.mSequence = static_cast<std::uint32_t>(mRandom.Next());
  flow.mCallerSequence = aHeader.mSequence;
  const bool slow = mNow < aUpstream.mSlowUntil ? Chance(0.7) : Chance(0.03);
  const Duration delay = slow ? Between(Milliseconds(100), Milliseconds(400)) : Milliseconds(1);
  AfterIfHeld(aUpstream, key, delay, [this, &aUpstream, key, start = aUpstream.mStart] {
    AnswerOpening(aUpstream, key, start, 0);
  });
}

void PacketFlowSimulation::AnswerOpening(Upstream& aUpstream, const FlowKey& aFlow,
                                         std::uint64_t aStart, unsigned aAttempt)
{
  if (aUpstream.mStart == aStart && Defer(aUpstream, [this, &aUpstream, aFlow, aStart, aAttempt] {
        AnswerOpening(aUpstream, aFlow, aStart, aAttempt);
      })) {
    return;
  }
  const auto found = aUpstream.mFlows.find(aFlow);
  if (aUpstream.mStart != aStart || found == aUpstream.mFlows.end() ||
      found->second.mState != UpstreamFlow::State::Opening) {
    return;
  }
  if (aAttempt > kMaxRetransmissions) {
    aUpstream.mFlows.erase(found);
    return;
  }
  Note(aFlow, aUpstream.mId + " answers the opening");
  SendFromUpstream(aUpstream, AnswerToOpening(aFlow, found->second));
  AfterIfHeld(aUpstream, aFlow, RetransmissionDelay(aAttempt),
              [this, &aUpstream, aFlow, aStart, aAttempt] {
                AnswerOpening(aUpstream, aFlow, aStart, aAttempt + 1);
              });
}

void PacketFlowSimulation::OnCallerPacket(Upstream& aUpstream, PacketBytes aPacket)
{
  const auto header = mCodec.DecodeFromCaller(aPacket);
  if (!aUpstream.mUp || !header ||
      Defer(aUpstream, [this, &aUpstream, aPacket] { OnCallerPacket(aUpstream, aPacket); })) {
    return;
  }
  const FlowKey& key = header->mFlow;
  if (header->mOpens) {
    OnOpening(aUpstream, *header, std::move(aPacket));
    return;
  }
  const auto found = aUpstream.mFlows.find(key);
  FlowTruth& truth = mTruths[key];
  if (found == aUpstream.mFlows.end() || IsOfOtherFlow(found->second, *header)) {
    Bounce(aUpstream, std::move(aPacket));
    return;
  }
  UpstreamFlow& flow = found->second;
  const bool current = flow.mCallerSequence == truth.mCallerSequence;
  if (flow.mState == UpstreamFlow::State::Opening) {
    if (header->mAcknowledged != flow.mSequence + 1) {
      Bounce(aUpstream, std::move(aPacket));
      return;
    }
    flow.mState = UpstreamFlow::State::Open;
    if (current) {
      truth.mHolder = &aUpstream;
      truth.mOpen = true;
      truth.mOpenedAt = mNow;
      truth.mRouteDropped = truth.mRouteDropped || !HasRoute(key);
    }
    ++mCounts.mOpened;
    Note(key, aUpstream.mId + " has the end of the handshake");
  }
  truth.mLastPacketAt = current ? mNow : truth.mLastPacketAt;
  if (flow.mState == UpstreamFlow::State::Ended) {
    const std::uint8_t flags = header->mEnds ? FlagAck : FlagRst;
    if (header->mEnds || header->mDataBytes > 0) {
      SendFromUpstream(aUpstream, UpstreamPacket(key, flags, flow.mSequence + 1));
    }
    return;
  }
  flow.mAcknowledged =
    std::max(flow.mAcknowledged, (header->mAcknowledged - flow.mSequence - 1) / kMessageBytes);
  if (header->mEnds) {
    flow.mState = UpstreamFlow::State::Ended;
    truth.mOpen = truth.mOpen && !current;
    Note(key, aUpstream.mId + " ends the flow");
    SendFromUpstream(aUpstream, UpstreamPacket(key, FlagFin | FlagAck, flow.mSequence + 1));
    return;
  }
  const std::uint32_t request = (header->mSequence - flow.mCallerSequence - 1) / kMessageBytes;
  if (header->mDataBytes == 0 || request > flow.mNextRequest) {
    return;
  }
  const bool isNew = request == flow.mNextRequest;
  flow.mNextRequest += isNew ? 1 : 0;
  mCounts.mSurvivedFreeze += isNew && std::exchange(flow.mThawed, false) ? 1 : 0;
  const bool bad = isNew && mNow < aUpstream.mBadUntil;
  if (bad && Chance(0.15)) {
    return;
  }
  const Duration work = !isNew               ? Milliseconds(0)
                        : bad && Chance(0.3) ? Between(Milliseconds(400), Milliseconds(3'000))
                        : Chance(0.05)       ? Between(Milliseconds(50), Milliseconds(400))
                                             : Between(Milliseconds(1), Milliseconds(40));
  if (isNew || request < flow.mResponses) {
    AfterIfHeld(aUpstream, key, work, [this, &aUpstream, key, start = aUpstream.mStart, request] {
      Respond(aUpstream, key, start, request, 0);
    });
  }
}

// Sends a response until it is acknowledged; gives the flow up after too many attempts.
void PacketFlowSimulation::Respond(Upstream& aUpstream, const FlowKey& aFlow, std::uint64_t aStart,
                                   std::uint32_t aRequest, unsigned aAttempt)
{
  if (aUpstream.mStart == aStart &&
      Defer(aUpstream, [this, &aUpstream, aFlow, aStart, aRequest, aAttempt] {
        Respond(aUpstream, aFlow, aStart, aRequest, aAttempt);
      })) {
    return;
  }
  const auto found = aUpstream.mFlows.find(aFlow);
  if (aUpstream.mStart != aStart || found == aUpstream.mFlows.end() ||
      found->second.mState != UpstreamFlow::State::Open || found->second.mAcknowledged > aRequest) {
    return;
  }
  UpstreamFlow& flow = found->second;
  flow.mResponses = std::max(flow.mResponses, aRequest + 1);
  if (aAttempt > kMaxRetransmissions) {
    FlowTruth& truth = mTruths[aFlow];
    truth.mOpen = truth.mOpen && flow.mCallerSequence != truth.mCallerSequence;
    Note(aFlow, aUpstream.mId + " gives the flow up");
    aUpstream.mFlows.erase(found);
    return;
  }
  // A draining upstream closes each flow with its next response.
  const std::uint8_t flags = aUpstream.mDraining ? FlagFin | FlagAck : FlagAck;
  SendFromUpstream(
    aUpstream,
    UpstreamPacket(aFlow, flags, flow.mSequence + 1 + aRequest * kMessageBytes, kMessageBytes));
  AfterIfHeld(aUpstream, aFlow, RetransmissionDelay(aAttempt),
              [this, &aUpstream, aFlow, aStart, aRequest, aAttempt] {
                Respond(aUpstream, aFlow, aStart, aRequest, aAttempt + 1);
              });
}

} // namespace dandelionslip
