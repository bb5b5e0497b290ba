// Faults of upstreams in the simulated packet plane.
#include "PacketFlowSimulationParts.h"

namespace dandelionslip {

namespace {

constexpr std::size_t kMaxDeferred = 500; // Heartbeats, timers and packets of one upstream.
// An upstream is disturbed for this long after its end.
constexpr Milliseconds kCrashDisturbance{2'000};

std::string DurationText(RuntimeClock::duration aTime)
{
  return " for " + std::to_string(std::chrono::duration_cast<Milliseconds>(aTime).count()) + " ms";
}

} // namespace

void PacketFlowSimulation::InjectUpstreamFault()
{
  using Fault = void (PacketFlowSimulation::*)(Upstream&);
  static constexpr std::array<Fault, 9> kFaults{
    &PacketFlowSimulation::FreezeUpstream,
    &PacketFlowSimulation::FreezeVm,
    &PacketFlowSimulation::RestartAgentOfFrozenUpstream,
    &PacketFlowSimulation::FlapUpstream,
    &PacketFlowSimulation::ServeBadly,
    &PacketFlowSimulation::LosePower,
    &PacketFlowSimulation::RemoveVm,
    &PacketFlowSimulation::RemoveVmOnceDrained,
    &PacketFlowSimulation::DropRoute,
  };
  Upstream& upstream = RandomUpstream();
  (this->*kFaults[mRandom.Below(kFaults.size())])(upstream);
}

PacketFlowSimulation::Upstream& PacketFlowSimulation::RandomUpstream()
{
  while (true) {
    Upstream& upstream = *mUpstreams[mRandom.Below(mUpstreams.size())];
    if (!upstream.mNode->mGone) {
      return upstream;
    }
  }
}

bool PacketFlowSimulation::Defer(Upstream& aUpstream, Task aTask)
{
  if (aUpstream.mFrozen && aUpstream.mDeferred.size() < kMaxDeferred) {
    aUpstream.mDeferred.push_back(std::move(aTask));
  }
  return aUpstream.mFrozen;
}

// The upstream neither reads nor sends anything, but holds its flows.
void PacketFlowSimulation::FreezeUpstreamFor(Upstream& aUpstream, Duration aTime)
{
  if (!aUpstream.mUp || aUpstream.mFrozen) {
    return;
  }
  LogFault("freeze of " + aUpstream.mId + DurationText(aTime));
  Disturb(*aUpstream.mNode, aTime);
  aUpstream.mFrozen = true;
  After(aTime, [this, &aUpstream, start = aUpstream.mStart] {
    if (aUpstream.mFrozen && aUpstream.mStart == start) {
      ThawUpstream(aUpstream);
    }
  });
}

void PacketFlowSimulation::ThawUpstream(Upstream& aUpstream)
{
  aUpstream.mFrozen = false;
  aUpstream.mThawedAt = mNow;
  for (auto& [key, flow] : aUpstream.mFlows) {
    flow.mThawed = flow.mState == UpstreamFlow::State::Open;
  }
  for (const Task& task : std::exchange(aUpstream.mDeferred, {})) {
    task();
  }
}

void PacketFlowSimulation::FreezeUpstream(Upstream& aUpstream)
{
  FreezeUpstreamFor(aUpstream,
                    Between(Milliseconds(300), Milliseconds(Chance(0.4) ? 9'000 : 2'000)));
}

void PacketFlowSimulation::FreezeVm(Upstream& aUpstream)
{
  const Duration time = Between(Milliseconds(300), Milliseconds(Chance(0.4) ? 9'000 : 2'000));
  LogFault("freeze of VM of " + aUpstream.mNode->mName + DurationText(time));
  Disturb(*aUpstream.mNode, time);
  FreezeUpstreamFor(aUpstream, time);
  Freeze(*aUpstream.mNode, time, false);
}

// The new agent hears nothing of the upstream for a while, and then of all of its flows.
void PacketFlowSimulation::RestartAgentOfFrozenUpstream(Upstream& aUpstream)
{
  FreezeUpstreamFor(aUpstream, Between(Milliseconds(1'500), Milliseconds(9'000)));
  After(Between(Milliseconds(0), Milliseconds(500)), [this, &node = *aUpstream.mNode] {
    if (node.mUp && Chance(0.5)) {
      LogFault("kill of " + node.mName);
      Disturb(node, Milliseconds(600));
      KillProcess(node);
    } else {
      LogFault("planned stop of " + node.mName);
      StopProcess(node);
    }
  });
}

void PacketFlowSimulation::FlapUpstream(Upstream& aUpstream)
{
  Flap(aUpstream, 3 + mRandom.Below(4));
}

void PacketFlowSimulation::Flap(Upstream& aUpstream, std::uint64_t aRounds)
{
  if (aRounds == 0 || !aUpstream.mUp) {
    return;
  }
  LogFault("crash of " + aUpstream.mId + ", " + std::to_string(aRounds - 1) + " follow");
  ++mCounts.mFlaps;
  Disturb(*aUpstream.mNode, kCrashDisturbance);
  EndUpstream(aUpstream);
  After(Between(Milliseconds(100), Milliseconds(1'200)), [this, &aUpstream, aRounds] {
    StartUpstream(aUpstream);
    After(Between(Milliseconds(100), Milliseconds(1'500)),
          [this, &aUpstream, aRounds] { Flap(aUpstream, aRounds - 1); });
  });
}

// The upstream is healthy, but answers requests late or not at all, refuses openings in bursts and
// resets flows. That is no disturbance.
void PacketFlowSimulation::ServeBadly(Upstream& aUpstream)
{
  if (!aUpstream.mUp) {
    return;
  }
  const Duration time = Between(Milliseconds(500), Milliseconds(6'000));
  LogFault(aUpstream.mId + " serves badly" + DurationText(time));
  aUpstream.mBadUntil = mNow + time;
  RefuseOrReset(aUpstream, aUpstream.mStart);
}

void PacketFlowSimulation::RefuseOrReset(Upstream& aUpstream, std::uint64_t aStart)
{
  if (!aUpstream.mUp || aUpstream.mStart != aStart || mNow >= aUpstream.mBadUntil) {
    return;
  }
  if (Chance(0.4)) {
    aUpstream.mRefusesUntil = mNow + Between(Milliseconds(50), Milliseconds(500));
  } else if (!aUpstream.mFrozen) {
    ResetSomeFlow(aUpstream);
  }
  After(Between(Milliseconds(50), Milliseconds(1'000)),
        [this, &aUpstream, aStart] { RefuseOrReset(aUpstream, aStart); });
}

// Also of a flow that is only half open here, and may be open at another upstream.
void PacketFlowSimulation::ResetSomeFlow(Upstream& aUpstream)
{
  if (aUpstream.mFlows.empty()) {
    return;
  }
  const auto item = std::next(aUpstream.mFlows.begin(),
                              static_cast<std::ptrdiff_t>(mRandom.Below(aUpstream.mFlows.size())));
  const auto [key, flow] = *item;
  if (flow.mState == UpstreamFlow::State::Open) {
    mTruths[key].mOpen = false;
    ++mCounts.mUpstreamResets;
  }
  Note(key, aUpstream.mId + " resets the flow");
  aUpstream.mFlows.erase(item);
  SendFromUpstream(aUpstream, UpstreamPacket(key, FlagRst, flow.mSequence + 1));
}

// Whether the upstream or the route explains why a request on the open flow has no answer.
bool PacketFlowSimulation::ExpectsTimeOut(const FlowTruth& aTruth) const
{
  const Upstream* holder = aTruth.mHolder;
  return aTruth.mDied || aTruth.mRouteDropped ||
         (holder != nullptr && (holder->mFrozen || mNow - holder->mThawedAt < Milliseconds(1'500) ||
                                mNow - holder->mBadUntil < Milliseconds(1'500)));
}

} // namespace dandelionslip
