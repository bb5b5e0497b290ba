// Ownership changes, crashes and restarts of the request world.
#include "RequestWorldParts.h"

namespace dandelionslip::requesttest {

namespace {

constexpr std::int64_t kLeaseUs = 250'000;

} // namespace

void RequestWorld::ScheduleFaults(std::int64_t aStart)
{
  const auto at = [this, aStart](Task aTask) {
    After(aStart + 50'000 + static_cast<std::int64_t>(mRandom.Below(1'500'000)), std::move(aTask));
  };
  for (int i = 0; i < 5; ++i) {
    at([this] { MoveBuckets(); });
  }
  using Fault = void (RequestWorld::*)(std::size_t);
  constexpr std::array<std::pair<Fault, double>, 4> kFaults{{{&RequestWorld::CrashAgent, 0.5},
                                                             {&RequestWorld::CutOff, 0.4},
                                                             {&RequestWorld::RestartAgent, 0.6},
                                                             {&RequestWorld::CrashUpstream, 0.5}}};
  for (const auto& [fault, share] : kFaults) {
    if (Chance(share)) {
      at([this, fault = fault] { (this->*fault)(mRandom.Below(kAgents)); });
    }
  }
  if (Chance(0.4)) {
    at([this] { CrashBalancer(mRandom.Below(kBalancers)); });
  }
}

// Lets what the only request depends on fail.
void RequestWorld::Inject(Fault aFault)
{
  const std::shared_ptr<Call> call = mCalls.front();
  const std::size_t home = mOwners[BucketOf(call->mId, kBuckets)];
  switch (aFault) {
    case Fault::CallerLink:
      for (std::size_t i = 0; i < kBalancers; ++i) {
        for (const auto& [handle, open] : mBalancers[i]->mCalls) {
          Withdraw(i, handle, Delay());
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
      CrashAgent(home);
      break;
    case Fault::Upstream:
      CrashUpstream(home);
      break;
    case Fault::Restart:
      RestartAgent(home);
      break;
    case Fault::ControlContact:
      CutOff(home);
      break;
  }
}

// Tells the current life of an agent about a change; waits while a planned restart is under way.
void RequestWorld::Control(std::size_t aAgent,
                           std::function<AgentRequestActions(AgentRequestCore&)> aEvent)
{
  Agent& agent = *mAgents[aAgent];
  if (agent.mCore) {
    PerformHome(aAgent, aEvent(*agent.mCore));
    return;
  }
  After(20'000, [this, aAgent, life = agent.mLife, aEvent = std::move(aEvent)] {
    if (mAgents[aAgent]->mLife == life) {
      Control(aAgent, aEvent);
    }
  });
}

bool RequestWorld::IsUsable(std::size_t aAgent) const
{
  const Agent& agent = *mAgents[aAgent];
  return agent.mCore && !agent.mLost && !agent.mStopping;
}

std::optional<std::size_t> RequestWorld::PickOwner(std::size_t aNot)
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

void RequestWorld::SetOwner(std::uint32_t aBucket, std::size_t aOwner)
{
  mOwners[aBucket] = aOwner;
  for (std::size_t i = 0; i < kBalancers; ++i) {
    After(Delay(), [this, i] { mBalancers[i]->mOwners = mOwners; });
  }
}

void RequestWorld::MoveBuckets()
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
    After(Delay(), [this, bucket, generation = mGeneration, to = *to, life = mAgents[*to]->mLife] {
      if (mAgents[to]->mLife == life) {
        Control(to, [this, bucket, generation](AgentRequestCore& aCore) {
          return aCore.OnBucketAcquired(bucket, generation, Time(0));
        });
        AskForBucket(bucket, generation);
      }
    });
  }
}

// Asks the previous owner again and again, as messages are lost, until the bucket is complete.
void RequestWorld::AskForBucket(std::uint32_t aBucket, std::uint32_t aGeneration)
{
  const Transfer* transfer = mTransfers[aBucket].get();
  if (transfer == nullptr || transfer->mGeneration != aGeneration) {
    return;
  }
  const std::size_t from = transfer->mFrom;
  const std::size_t to = transfer->mTo;
  Agent& asker = *mAgents[to];
  if (asker.mCore && asker.mCore->Records().StateOf(aBucket) == RecordBucketState::Complete) {
    mTransfers[aBucket].reset();
    return;
  }
  if (transfer->mFromLost) {
    // The loss may have been reported before the bucket was acquired.
    Control(to, [this, aBucket, to](AgentRequestCore& aCore) {
      return aCore.OnPreviousOwnerLost(aBucket, TimeOf(*mAgents[to]));
    });
  }
  After(60'000, [this, aBucket, aGeneration] { AskForBucket(aBucket, aGeneration); });
  for (int copy = Chance(0.2) ? 2 : 1; copy > 0; --copy) {
    After(Delay(), [this, aBucket, aGeneration, from, to, life = asker.mLife] {
      Agent& owner = *mAgents[from];
      if (!owner.mCore || Chance(0.15)) {
        return;
      }
      const auto table =
        owner.mCore->FreezeAndExport({aBucket}, mAgents[to]->mName, aGeneration, TimeOf(owner));
      if (!table || Chance(0.15)) {
        return;
      }
      After(Delay(), [this, to, life, name = owner.mName, message = EncodeCbor(table.value())] {
        if (mAgents[to]->mLife != life || !mAgents[to]->mCore) {
          return;
        }
        ++mTotals.mHandoffs;
        AgentRequestCore& core = *mAgents[to]->mCore;
        PerformHome(
          to,
          core.OnHandoff(DecodeCbor(message, name).value(), name, TimeOf(*mAgents[to])).value());
      });
    });
  }
}

void RequestWorld::CrashAgent(std::size_t aAgent)
{
  if (!IsUsable(aAgent) || !PickOwner(aAgent)) {
    return;
  }
  Agent& agent = *mAgents[aAgent];
  ++mTotals.mCrashes;
  ++agent.mLife;
  agent.mCore.reset();
  DropLinks(aAgent);
  After(kLeaseUs, [this, aAgent] { DeclareLost(aAgent); });
  After(kLeaseUs + 300'000, [this, aAgent] {
    mAgents[aAgent]->mLost = false;
    StartAgent(aAgent);
  });
}

// The agent loses control contact: its own lease ends before control declares it lost.
void RequestWorld::CutOff(std::size_t aAgent)
{
  if (!IsUsable(aAgent) || !PickOwner(aAgent)) {
    return;
  }
  Agent& agent = *mAgents[aAgent];
  agent.mStopping = true;
  PerformHome(aAgent, agent.mCore->OnLease(false, TimeOf(agent)));
  After(20'000 + Delay(), [this, aAgent] { DeclareLost(aAgent); });
  After(900'000, [this, aAgent] {
    Agent& back = *mAgents[aAgent];
    for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
      PerformHome(aAgent, back.mCore->OnBucketDropped(bucket, mGeneration, TimeOf(back)));
    }
    ++mGeneration;
    back.mLost = false;
    back.mStopping = false;
    PerformHome(aAgent, back.mCore->OnLease(true, TimeOf(back)));
  });
}

void RequestWorld::RestartAgent(std::size_t aAgent)
{
  if (!IsUsable(aAgent)) {
    return;
  }
  ++mTotals.mRestarts;
  Agent& agent = *mAgents[aAgent];
  agent.mStopping = true;
  PerformHome(aAgent, agent.mCore->OnPlannedStop(TimeOf(agent)));
  FinishRestart(aAgent, mNow + static_cast<std::int64_t>(mRandom.Below(200'000)));
}

void RequestWorld::FinishRestart(std::size_t aAgent, std::int64_t aGiveUpAt)
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

void RequestWorld::CrashUpstream(std::size_t aAgent)
{
  std::vector<RunId> runs;
  for (const auto& [number, run] : mAgents[aAgent]->mRuns) {
    if (!run->mAlternate && !run->mEnded) {
      runs.push_back(number);
    }
  }
  for (const RunId number : runs) {
    EndRun(aAgent, number, [this, number](AgentRequestCore& aCore) {
      return aCore.OnUpstreamFailed(number, Time(0));
    });
  }
}

void RequestWorld::DeclareLost(std::size_t aAgent)
{
  mAgents[aAgent]->mLost = true;
  ++mGeneration;
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (mOwners[bucket] == aAgent) {
      Reassign(bucket, aAgent);
    } else if (mTransfers[bucket] && mTransfers[bucket]->mFrom == aAgent) {
      ++mTotals.mLostOwners;
      const std::size_t to = mTransfers[bucket]->mTo;
      mTransfers[bucket]->mFromLost = true;
      Control(to, [this, bucket, to](AgentRequestCore& aCore) {
        return aCore.OnPreviousOwnerLost(bucket, TimeOf(*mAgents[to]));
      });
    }
  }
  for (std::size_t i = 0; i < kAgents; ++i) {
    if (i != aAgent && !mAgents[i]->mLost) {
      After(Delay(), [this, i, name = mAgents[aAgent]->mName, life = mAgents[i]->mLife] {
        if (mAgents[i]->mLife == life) {
          Control(
            i, [this, name](AgentRequestCore& aCore) { return aCore.OnAgentLost(name, Time(0)); });
        }
      });
    }
  }
}

void RequestWorld::Reassign(std::uint32_t aBucket, std::size_t aLost)
{
  const auto to = PickOwner(aLost);
  if (!to) {
    return;
  }
  // The lost agent may not have got the bucket yet; whoever had it before must have let go of it.
  if (const auto transfer = std::move(mTransfers[aBucket]); transfer && mAgents[transfer->mFrom]) {
    Control(transfer->mFrom, [this, aBucket, generation = mGeneration](AgentRequestCore& aCore) {
      return aCore.OnBucketDropped(aBucket, generation, Time(0));
    });
  }
  ++mTotals.mLostOwners;
  const std::uint32_t generation = ++mGeneration;
  SetOwner(aBucket, *to);
  Control(*to, [this, aBucket, generation, to = *to](AgentRequestCore& aCore) {
    const RequestTime time = TimeOf(*mAgents[to]);
    aCore.OnBucketAcquired(aBucket, generation, time);
    return aCore.OnPreviousOwnerLost(aBucket, time);
  });
}

} // namespace dandelionslip::requesttest
