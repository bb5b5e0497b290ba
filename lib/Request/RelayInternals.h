// State and steps of BalancerRequestCore.
#pragma once

#include "dandelionslip/Request/BalancerRequestCore.h"

#include <map>
#include <set>
#include <utility>

namespace dandelionslip {

/// One request of a caller with its attempts.
struct RelayExchange
{
  std::uint64_t mToken = 0;
  CallerRequest mRequest;
  RequestId mId;
  bool mFixedHome = false; ///< Goes to the home agent of its id first.
  TimePoint mDeadline;
  std::uint32_t mTries = 0;
  bool mInFlight = false;
  AttemptKey mKey; ///< The newest attempt.
  std::string mAgent;
  TimePoint mWakeAt; ///< The next attempt is due, or, when in flight, the deadline.
  bool mCancelled = false;
  /// Whether an attempt that left the balancer may run or have run.
  bool mMayHaveRun = false;
  /// mMayHaveRun before the newest attempt.
  bool mMayHaveRunBefore = false;
  std::optional<Refusal> mLastRefusal;
  std::optional<AnswerDigest> mDigest;
};

struct BalancerRequestCore::Internals
{
  Internals(BalancerRequestSettings aSettings, const RequestTargets& aTargets, std::uint64_t aSeed,
            MetricsRegistry& aRegistry);

  // Requests and their ends (BalancerRequestCore.cpp).
  void Accept(CallerRequest aRequest, const RequestTime& aTime);
  void Withdraw(RelayExchange& aExchange);
  void Finish(RelayExchange& aExchange, RequestReply aAnswer);
  void FinishWithoutAnswer(RelayExchange& aExchange);
  void EndOverdue(RelayExchange& aExchange);
  void Reply(ReplyHandle aHandle, const RequestId& aId, RequestReply aAnswer);

  // Attempts (RelayAttempts.cpp).
  void Send(RelayExchange& aExchange, const RequestTime& aTime);
  std::optional<std::string> ChooseAgent(const RelayExchange& aExchange);
  std::string BetterOfTwo(const std::vector<std::string>& aCandidates);
  RelayExchange* TakeAttempt(const AttemptKey& aKey);
  void HandleAnswered(RelayExchange& aExchange, ReceivedAnswer aReceived, const RequestTime& aTime);
  void HandleNotRun(RelayExchange& aExchange, const Refusal& aRefusal, const RequestTime& aTime);
  void HandleUnknown(RelayExchange& aExchange, const std::optional<Refusal>& aRefusal,
                     const RequestTime& aTime);
  void Retry(RelayExchange& aExchange, RetryReason aReason, Milliseconds aAtLeast,
             const RequestTime& aTime);
  void Deny(RelayExchange& aExchange, RetryDenial aReason);

  RelayExchange* FindByHandle(ReplyHandle aHandle);
  void WakeAt(RelayExchange& aExchange, TimePoint aWhen);
  BalancerRequestActions TakeActions() { return std::exchange(mActions, {}); }

  using CallerAttempt = std::pair<RequestId, std::uint32_t>;

  BalancerRequestSettings mSettings;
  const RequestTargets& mTargets;
  Random mRandom;
  RetryBudget mBudget;
  RequestCounters mCounters;
  std::map<std::uint64_t, RelayExchange> mExchanges;
  std::map<ReplyHandle, std::uint64_t> mByHandle;
  std::map<CallerAttempt, std::uint64_t> mByCallerAttempt;
  std::set<std::pair<TimePoint, std::uint64_t>> mWakeUps; ///< One for each exchange.
  std::map<std::string, std::uint32_t> mInFlight;         ///< Attempts in flight by agent.
  std::uint64_t mNextToken = 1;
  BalancerRequestActions mActions;
};

} // namespace dandelionslip
