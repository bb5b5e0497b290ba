// Requests that BalancerRequestCore receives, and actions that it returns for the balancer process
// to perform.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Request/ReceivedRequest.h"

#include <variant>
#include <vector>

namespace dandelionslip {

/// A request as a balancer received it from a caller.
struct CallerRequest
{
  ReplyHandle mHandle = 0;
  ServiceId mService = 0;
  std::optional<std::string> mIdText; ///< Without a value the balancer generates an id.
  std::uint32_t mCallerAttempt = 1;   ///< Raised by the caller with each resend of the same id.
  /// Set if the service is declared idempotent and the request does not opt out.
  bool mIdempotent = false;
  Milliseconds mRemaining{0};
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

/// Identifies one attempt that was sent to an agent.
struct AttemptKey
{
  RequestId mId;
  Attempt mAttempt = 0;

  bool operator==(const AttemptKey&) const = default;
};

/// Send a request to an agent. The balancer process reports the end of the attempt by at most one
/// call of BalancerRequestCore::OnAgentReply or OnAgentLinkFailed; an attempt without a report
/// ends at the deadline.
struct SendToAgent
{
  std::string mAgent; ///< As returned by RequestTargets.
  AttemptKey mKey;
  ServiceId mService = 0;
  bool mIdempotent = false;
  bool mMayHaveRun = true; ///< An earlier attempt may have reached an agent and run.
  Milliseconds mRemaining{0};
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

/// Cancel an attempt at an agent (RST_STREAM).
struct CancelAtAgent
{
  std::string mAgent; ///< As in SendToAgent.
  AttemptKey mKey;
};

/// Reply to the caller.
struct ReplyToCaller
{
  ReplyHandle mHandle = 0;
  RequestId mId; ///< The id to resend with; nil when the request was refused for its id.
  RequestReply mReply;
};

using BalancerRequestAction = std::variant<SendToAgent, CancelAtAgent, ReplyToCaller>;
using BalancerRequestActions = std::vector<BalancerRequestAction>;

} // namespace dandelionslip
