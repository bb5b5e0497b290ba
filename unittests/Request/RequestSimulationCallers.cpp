// Callers and balancers of the request simulation.
#include "RequestSimulationParts.h"

namespace dandelionslip::requesttest {

void RequestSimulation::ScheduleBurst(std::int64_t aStart)
{
  constexpr int kRequests = 25;
  for (int i = 0; i < kRequests; ++i) {
    After(aStart + static_cast<std::int64_t>(mRandom.Below(1'500'000)), [this] { NewRequest(); });
  }
}

void RequestSimulation::NewRequest()
{
  // Sometimes an old id is resent, as by a caller that had no connection for a long time.
  if (!mCalls.empty() && Chance(0.2)) {
    SendCall(mCalls[mRandom.Below(mCalls.size())]);
    return;
  }
  auto call = std::make_shared<Call>();
  const auto wallOffsetMs = static_cast<std::int64_t>(mRandom.Below(14'000)) - 7'000;
  call->mId = RequestId::Make(Time(wallOffsetMs).mWallMs, mRandom);
  call->mIdempotent = Chance(0.15);
  mHistory.AddRequest(call->mId, call->mIdempotent);
  mCalls.push_back(call);
  ++mTotals.mRequests;
  SendCall(call);
}

void RequestSimulation::SendCall(const std::shared_ptr<Call>& aCall)
{
  const std::size_t index = mRandom.Below(kBalancers);
  const ReplyHandle handle = mNextHandle++;
  CallerRequest request;
  request.mHandle = handle;
  request.mService = 1;
  request.mIdText = aCall->mId.ToString();
  request.mCallerAttempt = ++aCall->mAttempt;
  request.mIdempotent = aCall->mIdempotent;
  request.mRemaining = Milliseconds(150 + mRandom.Below(1'000));
  request.mCaller = mRandom.Below(4);
  request.mBody = BytesOf("body");
  ++aCall->mOpen;
  mBalancers[index]->mCalls[handle] = {aCall, request.mCallerAttempt};
  if (Chance(0.1)) {
    ScheduleCancel(index, handle, static_cast<std::int64_t>(mRandom.Below(200'000)));
  }
  if (aCall->mAttempt < 4 && Chance(0.08)) {
    // The link to the caller fails. The caller resends soon, and the balancer notices the failure
    // at another time.
    ScheduleCancel(index, handle, static_cast<std::int64_t>(mRandom.Below(400'000)));
    After(static_cast<std::int64_t>(mRandom.Below(50'000)), [this, aCall] { SendCall(aCall); });
  }
  PerformBalancerActions(index, mBalancers[index]->mCore->OnRequest(std::move(request), Time(0)));
}

void RequestSimulation::ScheduleCancel(std::size_t aBalancer, ReplyHandle aHandle,
                                       std::int64_t aDelay)
{
  After(aDelay, [this, aBalancer, aHandle] {
    PerformBalancerActions(aBalancer,
                           mBalancers[aBalancer]->mCore->OnCallerCancelled(aHandle, Time(0)));
  });
}

void RequestSimulation::OnCallerReply(std::size_t aBalancer, const ReplyToCaller& aReply)
{
  const auto open = mBalancers[aBalancer]->mCalls.extract(aReply.mHandle);
  CPPUNIT_ASSERT_MESSAGE("a second reply to one message", !open.empty());
  const auto [call, attempt] = open.mapped();
  --call->mOpen;
  mHistory.AddClaim(call->mId, MakeAttempt(attempt, kMaxTries - 1), aReply.mReply);
  const RequestOutcome outcome = aReply.mReply.mOutcome;
  CPPUNIT_ASSERT_MESSAGE("an internal outcome reached a caller",
                         outcome != RequestOutcome::NotOwner);
  mTotals.mAnswered += outcome == RequestOutcome::Answered ? 1 : 0;
  mTotals.mNotRun += outcome == RequestOutcome::NotRun ? 1 : 0;
  mTotals.mUnknown += outcome == RequestOutcome::Unknown ? 1 : 0;
  mTotals.mCancelled += outcome == RequestOutcome::Cancelled ? 1 : 0;
  if (outcome != RequestOutcome::Answered && call->mAttempt < 4 && Chance(0.5)) {
    ++mTotals.mResends;
    After(Delay(), [this, call = call] { SendCall(call); });
  }
}

void RequestSimulation::PerformBalancerActions(std::size_t aBalancer,
                                               const BalancerRequestActions& aActions)
{
  for (const BalancerRequestAction& action : aActions) {
    if (const auto* send = std::get_if<SendToAgent>(&action)) {
      SendAttempt(aBalancer, *send);
    } else if (const auto* cancel = std::get_if<CancelAtAgent>(&action)) {
      After(Delay(), [this, cancel = *cancel] { CancelAt(IndexOf(cancel.mAgent), cancel.mKey); });
    } else {
      OnCallerReply(aBalancer, std::get<ReplyToCaller>(action));
    }
  }
}

void RequestSimulation::SendAttempt(std::size_t aBalancer, const SendToAgent& aSend)
{
  ReceivedRequest request;
  request.mId = aSend.mKey.mId;
  request.mAttempt = aSend.mKey.mAttempt;
  request.mIdempotent = aSend.mIdempotent;
  request.mRemaining = aSend.mRemaining;
  request.mCaller = aSend.mCaller;
  request.mClass = aSend.mClass;
  request.mBody = aSend.mBody;
  const AttemptKey key = aSend.mKey;
  const std::uint64_t crashCount = mBalancers[aBalancer]->mCrashCount;
  const auto toCore = [this, aBalancer, crashCount](auto aEvent) {
    After(Delay(), [this, aBalancer, crashCount, aEvent] {
      if (mBalancers[aBalancer]->mCrashCount == crashCount) {
        PerformBalancerActions(aBalancer, aEvent(*mBalancers[aBalancer]->mCore));
      }
    });
  };
  const auto linkFailed = [this, key, toCore](bool aSent) {
    toCore([this, key, aSent](BalancerRequestCore& aCore) {
      return aCore.OnAgentLinkFailed(key, aSent, Time(0));
    });
  };
  const std::size_t agent = IndexOf(aSend.mAgent);
  if (!mAgents[agent]->mCore || Chance(0.02)) {
    linkFailed(false);
    return;
  }
  const auto onReply = [this, key, toCore](const RequestReply& aReply) {
    toCore([this, key, aReply, received = Transmit(aReply.mAnswer)](BalancerRequestCore& aCore) {
      return aCore.OnAgentReply(key, aReply.mOutcome, aReply.mRefusal, received, Time(0));
    });
  };
  Deliver(
    agent, request, onReply, [linkFailed] { linkFailed(true); }, key);
}

void RequestSimulation::CrashBalancer(std::size_t aBalancer)
{
  Balancer& balancer = *mBalancers[aBalancer];
  ++balancer.mCrashCount;
  balancer.mCore.reset();
  balancer.mRegistry = std::make_unique<MetricsRegistry>();
  BalancerRequestSettings settings;
  settings.mBudget.mMaxTokens = 3;
  balancer.mCore =
    std::make_unique<BalancerRequestCore>(settings, balancer, mRandom.Next(), *balancer.mRegistry);
  // The callers notice the crash and resend through another connection.
  for (const auto& [handle, open] : std::exchange(balancer.mCalls, {})) {
    --open.mCall->mOpen;
    if (open.mCall->mAttempt < 4) {
      After(Delay(), [this, call = open.mCall] { SendCall(call); });
    }
  }
}

} // namespace dandelionslip::requesttest
