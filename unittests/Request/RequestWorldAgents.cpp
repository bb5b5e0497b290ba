// Agents and fake upstreams of the request world.
#include "RequestWorldParts.h"

namespace dandelionslip::requesttest {

void RequestWorld::StartAgent(std::size_t aAgent)
{
  Agent& agent = *mAgents[aAgent];
  AgentRequestSettings settings;
  settings.mSelf = agent.mName;
  settings.mIncarnation = ++agent.mIncarnation;
  settings.mBuckets = kBuckets;
  settings.mSlots = 2;
  agent.mStopping = false;
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

// Sends a request with delays, loss of the link and, for recorded requests, duplicates.
void RequestWorld::Deliver(std::size_t aAgent, const ReceivedRequest& aRequest,
                           const Replied& aReplied, const Task& aLost, const AttemptKey& aKey)
{
  const int copies = !aRequest.mIdempotent && Chance(0.1) ? 2 : 1;
  const bool linkFails = Chance(0.06);
  for (int i = 0; i < copies; ++i) {
    if (!linkFails || Chance(0.5)) {
      After(Delay(), [this, aAgent, aRequest, aReplied, aLost, aKey] {
        Arrive(aAgent, aRequest, aReplied, aLost, aKey);
      });
    }
  }
  if (linkFails) {
    After(Delay(), aLost);
  }
}

void RequestWorld::Arrive(std::size_t aAgent, ReceivedRequest aRequest, Replied aReplied,
                          Task aLost, const AttemptKey& aKey)
{
  Agent& agent = *mAgents[aAgent];
  if (!agent.mCore) {
    aLost();
    return;
  }
  aRequest.mHandle = mNextHandle++;
  agent.mReplies[aRequest.mHandle] = {aKey, !aRequest.mIdempotent && !aRequest.mRelayed,
                                      std::move(aReplied), std::move(aLost)};
  PerformHome(aAgent, agent.mCore->OnRequest(std::move(aRequest), TimeOf(agent)));
}

void RequestWorld::PerformHome(std::size_t aAgent, const AgentRequestActions& aActions)
{
  for (const AgentRequestAction& action : aActions) {
    if (const auto* run = std::get_if<RunAtUpstream>(&action)) {
      RunUpstream(aAgent, *run);
    } else if (const auto* relay = std::get_if<RelayToAlternate>(&action)) {
      Relay(aAgent, *relay);
    } else if (const auto* answer = std::get_if<ReplyToSender>(&action)) {
      PerformAnswer(aAgent, *answer);
    } else if (const auto* cancel = std::get_if<CancelRun>(&action)) {
      After(Delay(), [this, aAgent, run = cancel->mRun] { CancelRunAt(aAgent, run); });
    } else if (const auto& send = std::get<SendRecord>(action); !Chance(0.1)) {
      const std::string from = mAgents[aAgent]->mName;
      const Bytes message = EncodeCbor(send.mRecord);
      ++mTotals.mRecordUpdates;
      After(Delay(), [this, from, message, to = IndexOf(send.mAgent)] {
        Control(to, [this, from, message, to](AgentRequestCore& aCore) {
          const Json record = DecodeCbor(message, from).value();
          return aCore.OnRecordUpdate(record, from, TimeOf(*mAgents[to])).value();
        });
      });
    }
  }
}

void RequestWorld::PerformAnswer(std::size_t aAgent, const ReplyToSender& aAnswer)
{
  const auto open = mAgents[aAgent]->mReplies.extract(aAnswer.mHandle);
  CPPUNIT_ASSERT_MESSAGE("a second reply to one message", !open.empty());
  const OpenReply& reply = open.mapped();
  if (reply.mRecorded) {
    mHistory.Claimed(reply.mKey.mId, reply.mKey.mAttempt, aAnswer.mReply);
  }
  reply.mReplied(aAnswer.mReply);
}

void RequestWorld::RunUpstream(std::size_t aAgent, const RunAtUpstream& aRun)
{
  auto run = std::make_shared<UpstreamRun>();
  mAgents[aAgent]->mRuns[aRun.mRun] = run;
  const RunId number = aRun.mRun;
  if (Chance(0.08)) {
    const Refusal shed{RefusalReason::UpstreamShed, Milliseconds(10)};
    EndRun(aAgent, number, [this, number, shed](AgentRequestCore& aCore) {
      return aCore.OnUpstreamShed(number, shed, Time(0));
    });
    return;
  }
  const auto failed = [this, number](AgentRequestCore& aCore) {
    return aCore.OnUpstreamFailed(number, Time(0));
  };
  After(Delay(), [this, run, aRun, aAgent, number, failed] {
    if (run->mCancelled || run->mEnded) {
      EndRun(aAgent, number, failed);
      return;
    }
    const std::size_t index = mHistory.Started(aRun.mId, aRun.mAttempt);
    ++mTotals.mRuns;
    const std::string body = aRun.mId.ToString() + "#" + std::to_string(index);
    After(10'000 + Delay() * 4, [this, run, aRun, aAgent, number, index, body] {
      if (run->mEnded) {
        return;
      }
      mHistory.Produced(aRun.mId, index, BytesOf(body));
      const ReceivedAnswer received = OnTheWire({200, "text/plain", BytesOf(body)});
      EndRun(aAgent, number, [this, number, received](AgentRequestCore& aCore) {
        return aCore.OnUpstreamAnswer(number, received, Time(0));
      });
    });
  });
}

// Reports the end of a run to the process that started it, after a delay.
void RequestWorld::EndRun(std::size_t aAgent, RunId aRun,
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
      PerformHome(aAgent, aEnd(*agent.mCore));
    }
  });
}

void RequestWorld::Relay(std::size_t aAgent, const RelayToAlternate& aRelay)
{
  auto run = std::make_shared<UpstreamRun>();
  mAgents[aAgent]->mRuns[aRelay.mRun] = run;
  ++mTotals.mRelayed;
  const RunId number = aRelay.mRun;
  const auto lost = [this, aAgent, number](bool aSent) {
    EndRun(aAgent, number, [this, number, aSent](AgentRequestCore& aCore) {
      return aCore.OnAlternateLinkFailed(number, aSent, Time(0));
    });
  };
  const std::size_t to = IndexOf(aRelay.mAgent);
  if (!mAgents[to]->mCore || Chance(0.05)) {
    lost(false);
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
  const auto replied = [this, aAgent, number, incarnation](const RequestReply& aAnswer) {
    if (mAgents[aAgent]->mIncarnation != incarnation) {
      return;
    }
    EndRun(aAgent, number,
           [this, number, aAnswer, received = OnTheWire(aAnswer.mAnswer)](AgentRequestCore& aCore) {
             return aCore.OnAlternateAnswer(
               number, aAnswer.mOutcome, aAnswer.mRefusal.value_or(Refusal{}), received, Time(0));
           });
  };
  const auto linkLost = [this, aAgent, incarnation, lost] {
    if (mAgents[aAgent]->mIncarnation == incarnation) {
      lost(true);
    }
  };
  Deliver(to, request, replied, linkLost, key);
}

void RequestWorld::CancelRunAt(std::size_t aAgent, RunId aRun)
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

void RequestWorld::CancelAt(std::size_t aAgent, const AttemptKey& aKey)
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
      PerformHome(aAgent, agent.mCore->OnCancel(handle, TimeOf(agent)));
    }
  }
}

// Breaks the links to an agent whose process ended.
void RequestWorld::DropLinks(std::size_t aAgent)
{
  mAgents[aAgent]->mRuns.clear();
  for (const auto& [handle, reply] : std::exchange(mAgents[aAgent]->mReplies, {})) {
    After(Delay(), reply.mLost);
  }
}

ReceivedAnswer RequestWorld::OnTheWire(const UpstreamAnswer& aAnswer)
{
  ReceivedAnswer received{aAnswer, aAnswer.mBody.size(), true};
  if (!received.mAnswer.mBody.empty() && Chance(0.04)) {
    received.mAnswer.mBody.pop_back();
    received.mEndOfStream = Chance(0.5);
  }
  return received;
}

} // namespace dandelionslip::requesttest
