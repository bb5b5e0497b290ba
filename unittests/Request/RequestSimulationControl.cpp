// Ownership changes, crashes and restarts of the request simulation.
#include "RequestSimulationParts.h"

namespace dandelionslip::requesttest {

namespace {

constexpr std::int64_t kLeaseUs = 250'000;

} // namespace

void RequestSimulation::ScheduleFaults(std::int64_t aStart)
{
  const auto at = [this, aStart](Task aTask) {
    After(aStart + 50'000 + static_cast<std::int64_t>(mRandom.Below(1'500'000)), std::move(aTask));
  };
  for (int i = 0; i < 5; ++i) {
    at([this] { MoveBuckets(); });
  }
  using FaultFunction = void (RequestSimulation::*)(std::size_t);
  constexpr std::array<std::pair<FaultFunction, double>, 4> kFaults{
    {{&RequestSimulation::CrashAgent, 0.5},
     {&RequestSimulation::CutOffFromControl, 0.4},
     {&RequestSimulation::RestartAgent, 0.6},
     {&RequestSimulation::CrashUpstream, 0.5}}};
  for (const auto& [fault, share] : kFaults) {
    if (Chance(share)) {
      at([this, fault = fault] { (this->*fault)(mRandom.Below(kAgents)); });
    }
  }
  if (Chance(0.4)) {
    at([this] { CrashBalancer(mRandom.Below(kBalancers)); });
  }
}

// Injects a fault into the part that the only request depends on.
void RequestSimulation::Inject(Fault aFault)
{
  const std::shared_ptr<Call> call = mCalls.front();
  const std::size_t owner = mOwners[BucketOf(call->mId, kBuckets)];
  switch (aFault) {
    case Fault::CallerLink:
      for (std::size_t i = 0; i < kBalancers; ++i) {
        for (const auto& [handle, open] : mBalancers[i]->mCalls) {
          ScheduleCancel(i, handle, Delay());
        }
      }
      SendCall(call);
      break;
    case Fault::Balancer:
      for (std::size_t i = 0; i < kBalancers; ++i) {
        if (!mBalancers[i]->mCalls.empty()) {
          CrashBalancer(i);
        }
      }
      break;
    case Fault::Agent:
      CrashAgent(owner);
      break;
    case Fault::Upstream:
      CrashUpstream(owner);
      break;
    case Fault::Restart:
      RestartAgent(owner);
      break;
    case Fault::ControlContact:
      CutOffFromControl(owner);
      break;
  }
}

// Passes an event to an agent. During a planned restart the event waits for the next process; after
// a crash it is discarded.
void RequestSimulation::DeliverEvent(std::size_t aAgent,
                                     std::function<AgentRequestActions(AgentRequestCore&)> aEvent)
{
  Agent& agent = *mAgents[aAgent];
  if (agent.mCore) {
    PerformAgentActions(aAgent, aEvent(*agent.mCore));
    return;
  }
  After(20'000, [this, aAgent, crashCount = agent.mCrashCount, aEvent = std::move(aEvent)] {
    if (mAgents[aAgent]->mCrashCount == crashCount) {
      DeliverEvent(aAgent, aEvent);
    }
  });
}

bool RequestSimulation::IsUsable(std::size_t aAgent) const
{
  const Agent& agent = *mAgents[aAgent];
  return agent.mCore && !agent.mLost && !agent.mIneligible;
}

std::optional<std::size_t> RequestSimulation::PickOwner(std::size_t aNot)
{
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < kAgents; ++i) {
    if (i != aNot && IsUsable(i)) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) {
    return {};
  }
  return usable[mRandom.Below(usable.size())];
}

void RequestSimulation::SetOwner(std::uint32_t aBucket, std::size_t aOwner)
{
  mOwners[aBucket] = aOwner;
  for (std::size_t i = 0; i < kBalancers; ++i) {
    After(Delay(), [this, i] { mBalancers[i]->mOwners = mOwners; });
  }
}

void RequestSimulation::MoveBuckets()
{
  ++mGeneration;
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    const std::size_t from = mOwners[bucket];
    const auto to = PickOwner(from);
    if (!to || mTransfers[bucket] || !IsUsable(from) || !Chance(0.3)) {
      continue;
    }
    mTransfers[bucket] = std::make_unique<Transfer>(Transfer{mGeneration, from, *to});
    SetOwner(bucket, *to);
    After(Delay(), [this, bucket, generation = mGeneration, to = *to,
                    crashCount = mAgents[*to]->mCrashCount] {
      if (mAgents[to]->mCrashCount == crashCount) {
        DeliverEvent(to, [this, bucket, generation](AgentRequestCore& aCore) {
          return aCore.OnBucketAcquired(bucket, generation, Time(0));
        });
        PullBucket(bucket, generation);
      }
    });
  }
}

// Requests a bucket from its previous owner every 60 ms, because messages are lost, until the
// bucket is complete.
void RequestSimulation::PullBucket(std::uint32_t aBucket, std::uint32_t aGeneration)
{
  const Transfer* transfer = mTransfers[aBucket].get();
  if (transfer == nullptr || transfer->mGeneration != aGeneration) {
    return;
  }
  const std::size_t from = transfer->mFrom;
  const std::size_t to = transfer->mTo;
  Agent& newOwner = *mAgents[to];
  if (newOwner.mCore && newOwner.mCore->Records().StateOf(aBucket) == RecordBucketState::Complete) {
    mTransfers[aBucket].reset();
    return;
  }
  if (transfer->mFromLost) {
    // The loss may have been reported before the bucket was acquired.
    DeliverEvent(to, [this, aBucket, to](AgentRequestCore& aCore) {
      return aCore.OnPreviousOwnerLost(aBucket, TimeOf(*mAgents[to]));
    });
  }
  After(60'000, [this, aBucket, aGeneration] { PullBucket(aBucket, aGeneration); });
  for (int copy = Chance(0.2) ? 2 : 1; copy > 0; --copy) {
    After(Delay(), [this, aBucket, aGeneration, from, to, crashCount = newOwner.mCrashCount] {
      Agent& owner = *mAgents[from];
      if (!owner.mCore || Chance(0.15)) {
        return;
      }
      const auto table =
        owner.mCore->FreezeAndExport({aBucket}, mAgents[to]->mName, aGeneration, TimeOf(owner));
      if (!table || Chance(0.15)) {
        return;
      }
      After(
        Delay(), [this, to, crashCount, name = owner.mName, message = EncodeCbor(table.value())] {
          if (mAgents[to]->mCrashCount != crashCount || !mAgents[to]->mCore) {
            return;
          }
          ++mTotals.mTransferMessages;
          AgentRequestCore& core = *mAgents[to]->mCore;
          PerformAgentActions(
            to, core.OnBucketTransfer(DecodeCbor(message, name).value(), name, TimeOf(*mAgents[to]))
                  .value());
        });
    });
  }
}

void RequestSimulation::CrashAgent(std::size_t aAgent)
{
  if (!IsUsable(aAgent) || !PickOwner(aAgent)) {
    return;
  }
  Agent& agent = *mAgents[aAgent];
  ++mTotals.mCrashes;
  ++agent.mCrashCount;
  agent.mCore.reset();
  DropLinks(aAgent);
  After(kLeaseUs, [this, aAgent] { DeclareLost(aAgent); });
  After(kLeaseUs + 300'000, [this, aAgent] {
    mAgents[aAgent]->mLost = false;
    StartAgent(aAgent);
  });
}

// Ends the contact between an agent and control for a while: the agent's lease expires, and then
// control declares the agent lost.
void RequestSimulation::CutOffFromControl(std::size_t aAgent)
{
  if (!IsUsable(aAgent) || !PickOwner(aAgent)) {
    return;
  }
  Agent& agent = *mAgents[aAgent];
  agent.mIneligible = true;
  PerformAgentActions(aAgent, agent.mCore->OnLease(false, TimeOf(agent)));
  After(20'000 + Delay(), [this, aAgent] { DeclareLost(aAgent); });
  After(900'000, [this, aAgent] {
    Agent& reconnected = *mAgents[aAgent];
    for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
      PerformAgentActions(
        aAgent, reconnected.mCore->OnBucketTakenOver(bucket, mGeneration, TimeOf(reconnected)));
    }
    ++mGeneration;
    reconnected.mLost = false;
    reconnected.mIneligible = false;
    PerformAgentActions(aAgent, reconnected.mCore->OnLease(true, TimeOf(reconnected)));
  });
}

void RequestSimulation::RestartAgent(std::size_t aAgent)
{
  if (!IsUsable(aAgent)) {
    return;
  }
  ++mTotals.mRestarts;
  Agent& agent = *mAgents[aAgent];
  agent.mIneligible = true;
  PerformAgentActions(aAgent, agent.mCore->OnPlannedStop(TimeOf(agent)));
  FinishRestart(aAgent, mNow + static_cast<std::int64_t>(mRandom.Below(200'000)));
}

void RequestSimulation::FinishRestart(std::size_t aAgent, std::int64_t aGiveUpAt)
{
  Agent& agent = *mAgents[aAgent];
  if (agent.mCore->Active() && mNow < aGiveUpAt) {
    After(10'000, [this, aAgent, aGiveUpAt] { FinishRestart(aAgent, aGiveUpAt); });
    return;
  }
  const Bytes table = EncodeCbor(agent.mCore->ExportAll(TimeOf(agent)));
  agent.mCore.reset();
  DropLinks(aAgent);
  After(50'000, [this, aAgent, table] {
    StartAgent(aAgent);
    const Json decoded = DecodeCbor(table, "restart").value();
    CPPUNIT_ASSERT(mAgents[aAgent]->mCore->ImportAll(decoded, "restart"));
  });
}

void RequestSimulation::CrashUpstream(std::size_t aAgent)
{
  std::vector<RunId> runs;
  for (const auto& [runId, run] : mAgents[aAgent]->mRuns) {
    if (!run->mAlternate && !run->mEnded) {
      runs.push_back(runId);
    }
  }
  for (const RunId runId : runs) {
    EndRun(aAgent, runId, [this, runId](AgentRequestCore& aCore) {
      return aCore.OnUpstreamFailed(runId, Time(0));
    });
  }
}

void RequestSimulation::DeclareLost(std::size_t aAgent)
{
  mAgents[aAgent]->mLost = true;
  ++mGeneration;
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (mOwners[bucket] == aAgent) {
      Reassign(bucket, aAgent);
    } else if (mTransfers[bucket] && mTransfers[bucket]->mFrom == aAgent) {
      ++mTotals.mBucketsOfLostOwners;
      const std::size_t to = mTransfers[bucket]->mTo;
      mTransfers[bucket]->mFromLost = true;
      DeliverEvent(to, [this, bucket, to](AgentRequestCore& aCore) {
        return aCore.OnPreviousOwnerLost(bucket, TimeOf(*mAgents[to]));
      });
    }
  }
  for (std::size_t i = 0; i < kAgents; ++i) {
    if (i != aAgent && !mAgents[i]->mLost) {
      After(Delay(),
            [this, i, name = mAgents[aAgent]->mName, crashCount = mAgents[i]->mCrashCount] {
              if (mAgents[i]->mCrashCount == crashCount) {
                DeliverEvent(i, [this, name](AgentRequestCore& aCore) {
                  return aCore.OnAgentLost(name, Time(0));
                });
              }
            });
    }
  }
}

void RequestSimulation::Reassign(std::uint32_t aBucket, std::size_t aLostAgent)
{
  const auto to = PickOwner(aLostAgent);
  if (!to) {
    return;
  }
  // If the bucket was still in transfer to the lost agent, tells its previous owner that another
  // agent owns it now. Otherwise that agent would keep deciding about its ids.
  if (const auto transfer = std::move(mTransfers[aBucket]); transfer && mAgents[transfer->mFrom]) {
    DeliverEvent(transfer->mFrom,
                 [this, aBucket, generation = mGeneration](AgentRequestCore& aCore) {
                   return aCore.OnBucketTakenOver(aBucket, generation, Time(0));
                 });
  }
  ++mTotals.mBucketsOfLostOwners;
  const std::uint32_t generation = ++mGeneration;
  SetOwner(aBucket, *to);
  DeliverEvent(*to, [this, aBucket, generation, to = *to](AgentRequestCore& aCore) {
    const RequestTime time = TimeOf(*mAgents[to]);
    aCore.OnBucketAcquired(aBucket, generation, time);
    return aCore.OnPreviousOwnerLost(aBucket, time);
  });
}

} // namespace dandelionslip::requesttest
