// Request handling of a balancer: attempts at agents, retries, deadlines and replies.
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
  std::uint32_t mMaxTries = 8; ///< Largest number of tries for one request; at most kMaxTries.
  /// Time allowed for one hop: subtracted from the remaining time of each request that is sent.
  Milliseconds mHopAllowance{2};
  BackoffLimits mBackoff;
  RetryBudgetLimits mBudget;
};

/// State machine for the requests of one balancer. It does no I/O: each event returns the actions
/// that the balancer process has to perform, in order. Not thread-safe.
///
/// A request that is not idempotent goes to the agent that owns the bucket of its id, in each try.
/// An idempotent request goes to any agent that takes new work, but first to the owner when the
/// caller chose the id.
class BalancerRequestCore
{
public:
  /// aTargets and aRegistry outlive the core.
  BalancerRequestCore(BalancerRequestSettings aSettings, const RequestTargets& aTargets,
                      std::uint64_t aSeed, MetricsRegistry& aRegistry);
  ~BalancerRequestCore();

  /// A caller sent a request.
  BalancerRequestActions OnRequest(CallerRequest aRequest, const RequestTime& aTime);
  /// The caller cancelled the request, or the link to the caller was lost.
  BalancerRequestActions OnCallerCancelled(ReplyHandle aHandle, const RequestTime& aTime);

  /// An agent replied to an attempt. aReceived is used only when the outcome is Answered; a
  /// truncated answer counts as a lost link.
  BalancerRequestActions OnAgentReply(const AttemptKey& aKey, RequestOutcome aOutcome,
                                      const std::optional<Refusal>& aRefusal,
                                      ReceivedAnswer aReceived, const RequestTime& aTime);
  /// The link to the agent failed; aSent tells whether any part of the attempt was sent.
  BalancerRequestActions OnAgentLinkFailed(const AttemptKey& aKey, bool aSent,
                                           const RequestTime& aTime);

  /// Makes due retries and ends overdue requests. Call at least every 10 ms while Active() is true.
  BalancerRequestActions OnTick(const RequestTime& aTime);

  /// Whether any request is open.
  bool Active() const;

private:
  struct Internals;

  std::unique_ptr<Internals> mInternals;
};

} // namespace dandelionslip
