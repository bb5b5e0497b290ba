// State and internal functions of BalancerRequestCore.
#pragma once

#include "dandelionslip/Request/BalancerRequestCore.h"

#include <map>
#include <set>
#include <utility>

namespace dandelionslip {

/// One request of a caller, with its attempts at agents.
struct OpenRequest
{
  std::uint64_t mToken = 0;
  CallerRequest mRequest;
  RequestId mId;
  bool mTryOwnerFirst = false; ///< The first try goes to the owner of the id's bucket.
  TimePoint mDeadline;
  std::uint32_t mTries = 0;
  bool mInFlight = false;
  AttemptKey mKey;    ///< The newest attempt.
  std::string mAgent; ///< Receiver of the newest attempt.
  TimePoint mTimerAt; ///< While an attempt is in flight: the deadline. Else: time of the next try.
  bool mCancelled = false;
  /// Whether an attempt of this balancer, or an earlier one of the caller, may run or have run.
  bool mMayHaveRun = false;
  bool mMayHaveRunBefore = false; ///< Value of mMayHaveRun before the newest attempt.
  std::optional<Refusal> mLastRefusal;
  std::optional<AnswerDigest> mDigest;
};

struct BalancerRequestCore::Internals
{
  Internals(BalancerRequestSettings aSettings, const RequestTargets& aTargets, std::uint64_t aSeed,
            MetricsRegistry& aRegistry);

  // Start and end of requests (BalancerRequestCore.cpp).
  void Accept(CallerRequest aRequest, const RequestTime& aTime);
  void Cancel(OpenRequest& aOpen);
  void Finish(OpenRequest& aOpen, RequestReply aReply);
  void FinishWithoutAnswer(OpenRequest& aOpen);
  void EndOverdue(OpenRequest& aOpen);
  void Reply(ReplyHandle aHandle, const RequestId& aId, RequestReply aReply);

  // Attempts at agents (BalancerRequestAttempts.cpp).
  void Send(OpenRequest& aOpen, const RequestTime& aTime);
  std::optional<std::string> ChooseAgent(const OpenRequest& aOpen);
  std::string ChooseLessLoaded(const std::vector<std::string>& aCandidates);
  OpenRequest* TakeAttempt(const AttemptKey& aKey);
  void HandleAnswered(OpenRequest& aOpen, ReceivedAnswer aReceived, const RequestTime& aTime);
  void HandleNotRun(OpenRequest& aOpen, const Refusal& aRefusal, const RequestTime& aTime);
  void HandleUnknown(OpenRequest& aOpen, const std::optional<Refusal>& aRefusal,
                     const RequestTime& aTime);
  void Retry(OpenRequest& aOpen, RetryReason aReason, Milliseconds aMinDelay,
             const RequestTime& aTime);
  void DenyRetry(OpenRequest& aOpen, RetryDenial aReason);

  OpenRequest* FindByHandle(ReplyHandle aHandle);
  void SetTimer(OpenRequest& aOpen, TimePoint aWhen);
  BalancerRequestActions TakeActions() { return std::exchange(mActions, {}); }

  using CallerAttemptKey = std::pair<RequestId, std::uint32_t>;

  BalancerRequestSettings mSettings;
  const RequestTargets& mTargets;
  Random mRandom;
  RetryBudget mBudget;
  RequestCounters mCounters;
  std::map<std::uint64_t, OpenRequest> mOpenRequests;
  std::map<ReplyHandle, std::uint64_t> mByHandle;
  std::map<CallerAttemptKey, std::uint64_t> mByCallerAttempt;
  std::set<std::pair<TimePoint, std::uint64_t>> mTimers;  ///< One for each open request.
  std::map<std::string, std::uint32_t> mAttemptsInFlight; ///< Attempts in flight by agent.
  std::uint64_t mNextToken = 1;
  BalancerRequestActions mActions;
};

} // namespace dandelionslip
