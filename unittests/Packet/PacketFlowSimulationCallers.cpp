// Callers of the simulated packet plane.
#include "PacketFlowSimulationParts.h"

namespace dandelionslip {

namespace {

constexpr std::uint32_t kCallerAddress = 0x64400000;  // 100.64.0.0
constexpr std::uint32_t kServiceAddress = 0xc6120001; // 198.18.0.1
constexpr std::array<std::uint16_t, 3> kServicePorts{443, 8443, 8080};
constexpr std::uint16_t kFirstPort = 10'000;

// When the copies of an opening packet are sent and when the caller gives up, after the original.
constexpr std::array<Milliseconds, 3> kOpeningTimes{Milliseconds(200), Milliseconds(600),
                                                    Milliseconds(1'400)};
constexpr unsigned kMaxEndAttempts = 4;

constexpr Milliseconds kMaxPortRest{5'000}; ///< Before a port is used again.

Milliseconds RetransmissionDelay(unsigned aAttempt)
{
  return Milliseconds(200 << std::min(aAttempt, 3U));
}

} // namespace

FlowKey PacketFlowSimulation::NextFlowKey()
{
  std::erase_if(mUsedPorts, [&](const auto& aItem) { return mNow - aItem.second > kMaxPortRest; });
  if (!mUsedPorts.empty() && Chance(0.7)) {
    const auto chosen =
      mUsedPorts.begin() + static_cast<std::ptrdiff_t>(mRandom.Below(mUsedPorts.size()));
    const FlowKey key = chosen->first;
    mUsedPorts.erase(chosen);
    FlowTruth& truth = mTruths[key];
    truth.mOpen = truth.mDied = truth.mReported = false;
    Note(key, "caller uses the port again");
    return key;
  }
  const std::uint32_t number = mNextFlow++;
  FlowKey key;
  key.mCallerAddress = kCallerAddress + number % 250;
  key.mCallerPort = static_cast<std::uint16_t>(kFirstPort + number / 250 + number % 7 * 1'000);
  key.mServiceAddress = kServiceAddress;
  key.mServicePort = kServicePorts[mRandom.Below(kServicePorts.size())];
  return key;
}

void PacketFlowSimulation::OpenFlow()
{
  const FlowKey key = NextFlowKey();
  CallerFlow& flow = mCallerFlows[key];
  flow.mSequence = static_cast<std::uint32_t>(mRandom.Next());
  mTruths[key].mCallerSequence = flow.mSequence;
  const bool isLong = Chance(0.6);
  flow.mEndsAt = mNow + (isLong ? Between(Milliseconds(5'000), Milliseconds(55'000))
                                : Between(Milliseconds(100), Milliseconds(3'000)));
  SendOpening(key, 0);
}

void PacketFlowSimulation::SendOpening(const FlowKey& aFlow, unsigned aAttempt)
{
  const auto found = mCallerFlows.find(aFlow);
  if (found == mCallerFlows.end() || found->second.mUpstreamSequence) {
    return;
  }
  if (aAttempt + 1 > kOpeningTimes.size()) {
    Note(aFlow, "caller gives up the opening");
    Abandon(aFlow);
    return;
  }
  SendFromCaller(aFlow, CallerPacket(aFlow, FlagSyn, found->second.mSequence, aAttempt));
  const Milliseconds sentAt = aAttempt == 0 ? Milliseconds(0) : kOpeningTimes[aAttempt - 1];
  AfterIfUsed(aFlow, kOpeningTimes[aAttempt] - sentAt,
              [this, aFlow, aAttempt] { SendOpening(aFlow, aAttempt + 1); });
}

// Forgets the flow; the caller tries again on a new one.
void PacketFlowSimulation::Abandon(const FlowKey& aFlow)
{
  mCallerFlows.erase(aFlow);
  if (mFaultKinds == PacketFlowFaults::PortReuse) {
    mUsedPorts.emplace_back(aFlow, mNow);
  }
  After(Between(Milliseconds(0), Milliseconds(500)), [this] { OpenFlow(); });
}

// Runs the task unless the caller has given the flow up, also if it uses the port again.
void PacketFlowSimulation::AfterIfUsed(const FlowKey& aFlow, Duration aDelay, Task aTask)
{
  After(aDelay,
        [this, aFlow, sequence = mCallerFlows.at(aFlow).mSequence, task = std::move(aTask)] {
          const auto found = mCallerFlows.find(aFlow);
          if (found != mCallerFlows.end() && found->second.mSequence == sequence) {
            task();
          }
        });
}

// Whether the caller heeds the upstream's packet or a reset, by its sequence number.
bool PacketFlowSimulation::FitsCaller(const FlowKey& aFlow, const PacketHeader& aHeader) const
{
  const auto found = mCallerFlows.find(aFlow);
  if (found == mCallerFlows.end()) {
    return false;
  }
  const CallerFlow& flow = found->second;
  if (aHeader.mAcceptsOpening) {
    return aHeader.mAcknowledged == flow.mSequence + 1;
  }
  return !flow.mUpstreamSequence ||
         IsNear(aHeader.mSequence, *flow.mUpstreamSequence + 1 + flow.mRequest * kMessageBytes);
}

void PacketFlowSimulation::OnUpstreamPacket(const FlowKey& aFlow, const PacketBytes& aPacket)
{
  const auto found = mCallerFlows.find(aFlow);
  const auto header = mCodec.DecodeFromUpstream(aPacket);
  if (found == mCallerFlows.end() || !header ||
      (mFaultKinds == PacketFlowFaults::PortReuse && !FitsCaller(aFlow, *header))) {
    return;
  }
  CallerFlow& flow = found->second;
  if (header->mResets) {
    Note(aFlow, "caller gets a reset");
    const FlowTruth& truth = mTruths[aFlow];
    mCounts.mDeadReset += truth.mDied ? 1 : 0;
    mCounts.mRemovedReset += truth.mDied && truth.mHolder->mNode->mGone ? 1 : 0;
    Abandon(aFlow);
    return;
  }
  const auto acknowledge = [&] {
    const std::uint32_t received = flow.mRequest;
    SendFromCaller(aFlow,
                   CallerPacket(aFlow, FlagAck, flow.mSequence + 1 + flow.mRequest * kMessageBytes,
                                *flow.mUpstreamSequence + 1 + received * kMessageBytes));
  };
  if (header->mAcceptsOpening) {
    const bool first = !flow.mUpstreamSequence;
    if (first) {
      flow.mUpstreamSequence = header->mSequence;
      Note(aFlow, "caller gets an answer to the opening");
    }
    if (*flow.mUpstreamSequence != header->mSequence) {
      return;
    }
    if (!first || Chance(0.5)) {
      if (!flow.mCloses) {
        acknowledge();
      }
    }
    if (first) {
      AfterIfUsed(aFlow, Between(Milliseconds(0), Milliseconds(20)),
                  [this, aFlow] { ContinueFlow(aFlow); });
    }
    return;
  }
  if (!flow.mUpstreamSequence) {
    return;
  }
  if (header->mDataBytes > 0) {
    const std::uint32_t response =
      (header->mSequence - *flow.mUpstreamSequence - 1) / kMessageBytes;
    if (flow.mWaits && response == flow.mRequest) {
      ++mCounts.mAnswered;
      flow.mWaits = false;
      ++flow.mRequest;
      Note(aFlow, "caller gets response " + std::to_string(response));
      if (!header->mEnds) {
        const Duration pause = Chance(0.4)   ? Between(Milliseconds(0), Milliseconds(200))
                               : Chance(0.7) ? Between(Milliseconds(200), Milliseconds(4'000))
                                             : Between(Milliseconds(4'000), Milliseconds(14'000));
        AfterIfUsed(aFlow, pause, [this, aFlow] { ContinueFlow(aFlow); });
      }
    }
    if (!header->mEnds) {
      acknowledge();
    }
  }
  if (header->mEnds) {
    if (!flow.mCloses) {
      flow.mCloses = true;
      CloseFlow(aFlow, 0);
    } else if (header->mDataBytes == 0) {
      Abandon(aFlow);
    }
  }
}

void PacketFlowSimulation::ContinueFlow(const FlowKey& aFlow)
{
  const auto found = mCallerFlows.find(aFlow);
  if (found == mCallerFlows.end() || found->second.mCloses || found->second.mWaits) {
    return;
  }
  CallerFlow& flow = found->second;
  if (mNow < flow.mEndsAt) {
    flow.mWaits = true;
    flow.mDeadline = mNow + Between(Milliseconds(500), Milliseconds(1'500));
    SendRequest(aFlow, flow.mRequest, 0);
  } else if (Chance(0.8)) {
    flow.mCloses = true;
    CloseFlow(aFlow, 0);
  } else {
    Note(aFlow, "caller falls silent");
    Abandon(aFlow);
  }
}

void PacketFlowSimulation::SendRequest(const FlowKey& aFlow, std::uint32_t aRequest,
                                       unsigned aAttempt)
{
  const auto found = mCallerFlows.find(aFlow);
  if (found == mCallerFlows.end() || !found->second.mWaits || found->second.mRequest != aRequest) {
    return;
  }
  const CallerFlow& flow = found->second;
  if (mNow >= flow.mDeadline) {
    Note(aFlow, "caller gives up the request");
    ++mCounts.mTimedOut;
    mCounts.mDeadTimedOut += mTruths[aFlow].mDied ? 1 : 0;
    mCounts.mExpectedTimeOuts += ExpectsTimeOut(mTruths[aFlow]) ? 1 : 0;
    Abandon(aFlow);
    return;
  }
  SendFromCaller(aFlow, CallerPacket(aFlow, FlagAck, flow.mSequence + 1 + aRequest * kMessageBytes,
                                     *flow.mUpstreamSequence + 1 + aRequest * kMessageBytes,
                                     kMessageBytes));
  AfterIfUsed(aFlow, std::min<Duration>(RetransmissionDelay(aAttempt), flow.mDeadline - mNow),
              [this, aFlow, aRequest, aAttempt] { SendRequest(aFlow, aRequest, aAttempt + 1); });
}

void PacketFlowSimulation::CloseFlow(const FlowKey& aFlow, unsigned aAttempt)
{
  const auto found = mCallerFlows.find(aFlow);
  if (found == mCallerFlows.end()) {
    return;
  }
  if (aAttempt > kMaxEndAttempts) {
    Abandon(aFlow);
    return;
  }
  const CallerFlow& flow = found->second;
  SendFromCaller(aFlow, CallerPacket(aFlow, FlagFin | FlagAck,
                                     flow.mSequence + 1 + flow.mRequest * kMessageBytes,
                                     *flow.mUpstreamSequence + 1 + flow.mRequest * kMessageBytes));
  AfterIfUsed(aFlow, RetransmissionDelay(aAttempt),
              [this, aFlow, aAttempt] { CloseFlow(aFlow, aAttempt + 1); });
}

} // namespace dandelionslip
