// The balancer's side of a request: attempts, retries, deadlines and answers.
#pragma once

#include "dandelionslip/Request/BalancerRequestActions.h"
#include "dandelionslip/Request/RequestCounters.h"
#include "dandelionslip/Request/RequestTargets.h"
#include "dandelionslip/Request/RequestTime.h"
#include "dandelionslip/Request/RetryBackoff.h"
#include "dandelionslip/Request/RetryBudget.h"

#include <memory>

namespace dandelionslip {

/// Settings of a balancer's request handling.
struct BalancerRequestSettings
{
  std::uint32_t mMaxTries = 8;   ///< Attempts for each request of a caller; at most kMaxTries.
  Milliseconds mHopAllowance{2}; ///< Taken off the remaining time before a request is sent.
  BackoffLimits mBackoff;
  RetryBudgetLimits mBudget;
};

/// Decision core of the balancer. Not thread-safe; every event returns the actions to perform in
/// order.
class BalancerRequestCore
{
public:
  /// aTargets and aRegistry outlive the core.
  BalancerRequestCore(BalancerRequestSettings aSettings, const RequestTargets& aTargets,
                      std::uint64_t aSeed, MetricsRegistry& aRegistry);
  ~BalancerRequestCore();

  /// A caller sent a request.
  BalancerRequestActions OnRequest(CallerRequest aRequest, const RequestTime& aTime);
  /// The caller withdrew the request or its link was lost.
  BalancerRequestActions OnCallerCancelled(ReplyHandle aHandle, const RequestTime& aTime);

  /// An agent answered an attempt. aReceived is checked for completeness when the outcome is
  /// Answered.
  BalancerRequestActions OnAgentAnswer(const AttemptKey& aKey, RequestOutcome aOutcome,
                                       const std::optional<Refusal>& aRefusal,
                                       ReceivedAnswer aReceived, const RequestTime& aTime);
  /// The link to the agent failed; aSent tells whether any of the attempt was sent.
  BalancerRequestActions OnAgentLinkFailed(const AttemptKey& aKey, bool aSent,
                                           const RequestTime& aTime);

  /// Makes due retries and ends what is overdue. Call at least every 10 ms while Active() is true.
  BalancerRequestActions OnTick(const RequestTime& aTime);

  /// Whether any request is open.
  bool Active() const;

private:
  struct Internals;

  std::unique_ptr<Internals> mInternals;
};

} // namespace dandelionslip
