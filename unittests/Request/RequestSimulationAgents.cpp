// Agents and simulated upstreams of the request simulation.
#include "RequestSimulationParts.h"

namespace dandelionslip::requesttest {

void RequestSimulation::StartAgent(std::size_t aAgent)
{
  Agent& agent = *mAgents[aAgent];
  AgentRequestSettings settings;
  settings.mSelf = agent.mName;
  settings.mIncarnation = ++agent.mIncarnation;
  settings.mBuckets = kBuckets;
  settings.mSlots = 2;
  agent.mIneligible = false;
  agent.mSlots = std::make_unique<FixedSlots>(settings.mSlots);
  agent.mRegistry = std::make_unique<MetricsRegistry>();
  const auto alternate = [this, aAgent](std::uint32_t aBucket) -> std::optional<AlternateAgent> {
    const std::size_t other = (aAgent + 1 + aBucket % (kAgents - 1)) % kAgents;
    return AlternateAgent{mAgents[other]->mName, mAgents[other]->mIncarnation};
  };
  agent.mCore =
    std::make_unique<AgentRequestCore>(settings, *agent.mSlots, alternate, *agent.mRegistry);
  agent.mCore->OnLease(!agent.mLost, TimeOf(agent));
}

// Sends a request to an agent after a delay. The link may fail, and a request that is not
// idempotent may arrive twice.
void RequestSimulation::Deliver(std::size_t aAgent, const ReceivedRequest& aRequest,
                                const OnReply& aOnReply, const Task& aOnLinkLost,
                                const AttemptKey& aKey)
{
  const int copies = !aRequest.mIdempotent && Chance(0.1) ? 2 : 1;
  const bool linkFails = Chance(0.06);
  for (int i = 0; i < copies; ++i) {
    if (!linkFails || Chance(0.5)) {
      After(Delay(), [this, aAgent, aRequest, aOnReply, aOnLinkLost, aKey] {
        Arrive(aAgent, aRequest, aOnReply, aOnLinkLost, aKey);
      });
    }
  }
  if (linkFails) {
    After(Delay(), aOnLinkLost);
  }
}

void RequestSimulation::Arrive(std::size_t aAgent, ReceivedRequest aRequest, OnReply aOnReply,
                               Task aOnLinkLost, const AttemptKey& aKey)
{
  Agent& agent = *mAgents[aAgent];
  if (!agent.mCore) {
    aOnLinkLost();
    return;
  }
  aRequest.mHandle = mNextHandle++;
  agent.mReplies[aRequest.mHandle] = {aKey, !aRequest.mIdempotent && !aRequest.mRelayed,
                                      std::move(aOnReply), std::move(aOnLinkLost)};
  PerformAgentActions(aAgent, agent.mCore->OnRequest(std::move(aRequest), TimeOf(agent)));
}

void RequestSimulation::PerformAgentActions(std::size_t aAgent, const AgentRequestActions& aActions)
{
  for (const AgentRequestAction& action : aActions) {
    if (const auto* run = std::get_if<RunAtUpstream>(&action)) {
      RunUpstream(aAgent, *run);
    } else if (const auto* relay = std::get_if<RelayToAlternate>(&action)) {
      Relay(aAgent, *relay);
    } else if (const auto* reply = std::get_if<ReplyToSender>(&action)) {
      PerformReply(aAgent, *reply);
    } else if (const auto* cancel = std::get_if<CancelRun>(&action)) {
      After(Delay(), [this, aAgent, run = cancel->mRun] { CancelRunAt(aAgent, run); });
    } else if (const auto& send = std::get<SendRecord>(action); !Chance(0.1)) {
      const std::string from = mAgents[aAgent]->mName;
      const Bytes message = EncodeCbor(send.mRecord);
      ++mTotals.mRecordUpdates;
      After(Delay(), [this, from, message, to = IndexOf(send.mAgent)] {
        DeliverEvent(to, [this, from, message, to](AgentRequestCore& aCore) {
          const Json record = DecodeCbor(message, from).value();
          return aCore.OnRecordUpdate(record, from, TimeOf(*mAgents[to])).value();
        });
      });
    }
  }
}

void RequestSimulation::PerformReply(std::size_t aAgent, const ReplyToSender& aReply)
{
  const auto open = mAgents[aAgent]->mReplies.extract(aReply.mHandle);
  CPPUNIT_ASSERT_MESSAGE("a second reply to one message", !open.empty());
  const OpenReply& reply = open.mapped();
  if (reply.mIsClaim) {
    mHistory.AddClaim(reply.mKey.mId, reply.mKey.mAttempt, aReply.mReply);
  }
  reply.mOnReply(aReply.mReply);
}

void RequestSimulation::RunUpstream(std::size_t aAgent, const RunAtUpstream& aRun)
{
  auto run = std::make_shared<SimulatedRun>();
  mAgents[aAgent]->mRuns[aRun.mRun] = run;
  const RunId runId = aRun.mRun;
  if (Chance(0.08)) {
    const Refusal shed{RefusalReason::UpstreamShed, Milliseconds(10)};
    EndRun(aAgent, runId, [this, runId, shed](AgentRequestCore& aCore) {
      return aCore.OnUpstreamShed(runId, shed, Time(0));
    });
    return;
  }
  const auto failed = [this, runId](AgentRequestCore& aCore) {
    return aCore.OnUpstreamFailed(runId, Time(0));
  };
  After(Delay(), [this, run, aRun, aAgent, runId, failed] {
    if (run->mCancelled || run->mEnded) {
      EndRun(aAgent, runId, failed);
      return;
    }
    const std::size_t index = mHistory.AddRun(aRun.mId, aRun.mAttempt);
    ++mTotals.mRuns;
    const std::string body = aRun.mId.ToString() + "#" + std::to_string(index);
    After(10'000 + Delay() * 4, [this, run, aRun, aAgent, runId, index, body] {
      if (run->mEnded) {
        return;
      }
      mHistory.SetAnswer(aRun.mId, index, BytesOf(body));
      const ReceivedAnswer received = Transmit({200, "text/plain", BytesOf(body)});
      EndRun(aAgent, runId, [this, runId, received](AgentRequestCore& aCore) {
        return aCore.OnUpstreamAnswer(runId, received, Time(0));
      });
    });
  });
}

// Reports the end of a run, after a delay, if the process that started it still exists.
void RequestSimulation::EndRun(std::size_t aAgent, RunId aRun,
                               std::function<AgentRequestActions(AgentRequestCore&)> aEnd)
{
  const auto found = mAgents[aAgent]->mRuns.find(aRun);
  if (found == mAgents[aAgent]->mRuns.end()) {
    return;
  }
  const auto run = found->second;
  run->mEnded = true;
  const std::uint64_t incarnation = mAgents[aAgent]->mIncarnation;
  After(Delay(), [this, aAgent, aRun, run, incarnation, aEnd = std::move(aEnd)] {
    Agent& agent = *mAgents[aAgent];
    if (agent.mCore && agent.mIncarnation == incarnation && agent.mRuns.erase(aRun) > 0) {
      PerformAgentActions(aAgent, aEnd(*agent.mCore));
    }
  });
}

void RequestSimulation::Relay(std::size_t aAgent, const RelayToAlternate& aRelay)
{
  auto run = std::make_shared<SimulatedRun>();
  mAgents[aAgent]->mRuns[aRelay.mRun] = run;
  ++mTotals.mRelayed;
  const RunId runId = aRelay.mRun;
  const auto linkFailed = [this, aAgent, runId](bool aSent) {
    EndRun(aAgent, runId, [this, runId, aSent](AgentRequestCore& aCore) {
      return aCore.OnAlternateLinkFailed(runId, aSent, Time(0));
    });
  };
  const std::size_t to = IndexOf(aRelay.mAgent);
  if (!mAgents[to]->mCore || Chance(0.05)) {
    linkFailed(false);
    return;
  }
  ReceivedRequest request;
  request.mId = aRelay.mId;
  request.mAttempt = aRelay.mAttempt;
  request.mIdempotent = aRelay.mIdempotent;
  request.mRelayed = true;
  request.mTargetIncarnation = aRelay.mIncarnation;
  request.mRemaining = aRelay.mRemaining;
  request.mCaller = aRelay.mCaller;
  request.mClass = aRelay.mClass;
  request.mBody = aRelay.mBody;
  const AttemptKey key{aRelay.mId, aRelay.mAttempt};
  run->mAlternate = std::pair(to, key);
  // The first of several replies ends the run; EndRun ignores the others.
  const std::uint64_t incarnation = mAgents[aAgent]->mIncarnation;
  const auto onReply = [this, aAgent, runId, incarnation](const RequestReply& aReply) {
    if (mAgents[aAgent]->mIncarnation != incarnation) {
      return;
    }
    EndRun(aAgent, runId,
           [this, runId, aReply, received = Transmit(aReply.mAnswer)](AgentRequestCore& aCore) {
             return aCore.OnAlternateReply(runId, aReply.mOutcome,
                                           aReply.mRefusal.value_or(Refusal{}), received, Time(0));
           });
  };
  const auto linkFailedAfterSend = [this, aAgent, incarnation, linkFailed] {
    if (mAgents[aAgent]->mIncarnation == incarnation) {
      linkFailed(true);
    }
  };
  Deliver(to, request, onReply, linkFailedAfterSend, key);
}

void RequestSimulation::CancelRunAt(std::size_t aAgent, RunId aRun)
{
  const auto found = mAgents[aAgent]->mRuns.find(aRun);
  if (found == mAgents[aAgent]->mRuns.end()) {
    return;
  }
  const auto run = found->second;
  if (run->mAlternate) {
    CancelAt(run->mAlternate->first, run->mAlternate->second);
    return;
  }
  run->mCancelled = true;
  if (!run->mEnded && Chance(0.7)) {
    EndRun(aAgent, aRun,
           [this, aRun](AgentRequestCore& aCore) { return aCore.OnUpstreamFailed(aRun, Time(0)); });
  }
}

void RequestSimulation::CancelAt(std::size_t aAgent, const AttemptKey& aKey)
{
  std::vector<ReplyHandle> handles;
  for (const auto& [handle, reply] : mAgents[aAgent]->mReplies) {
    if (reply.mKey == aKey) {
      handles.push_back(handle);
    }
  }
  for (const ReplyHandle handle : handles) {
    Agent& agent = *mAgents[aAgent];
    if (agent.mCore && agent.mReplies.contains(handle)) {
      PerformAgentActions(aAgent, agent.mCore->OnCancel(handle, TimeOf(agent)));
    }
  }
}

// Reports the loss of all links to an agent whose process ended.
void RequestSimulation::DropLinks(std::size_t aAgent)
{
  mAgents[aAgent]->mRuns.clear();
  for (const auto& [handle, reply] : std::exchange(mAgents[aAgent]->mReplies, {})) {
    After(Delay(), reply.mOnLinkLost);
  }
}

// Returns the answer as its receiver sees it, sometimes truncated.
ReceivedAnswer RequestSimulation::Transmit(const UpstreamAnswer& aAnswer)
{
  ReceivedAnswer received{aAnswer, aAnswer.mBody.size(), true};
  if (!received.mAnswer.mBody.empty() && Chance(0.04)) {
    received.mAnswer.mBody.pop_back();
    received.mEndOfStream = Chance(0.5);
  }
  return received;
}

} // namespace dandelionslip::requesttest
