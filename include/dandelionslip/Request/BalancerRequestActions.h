// Inputs and outputs of BalancerRequestCore.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Request/ReceivedRequest.h"

#include <variant>
#include <vector>

namespace dandelionslip {

/// A request as it arrived at a balancer.
struct CallerRequest
{
  ReplyHandle mHandle = 0;
  ServiceId mService = 0;
  std::optional<std::string> mIdText; ///< Empty when the caller sent none; the balancer makes one.
  std::uint32_t mCallerAttempt = 1;   ///< Raised by the caller with each resend of the same id.
  bool mIdempotent = false;           ///< Only if both the service and the request say so.
  Milliseconds mRemaining{0};
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

/// Identifies one attempt towards an agent.
struct AttemptKey
{
  RequestId mId;
  Attempt mAttempt = 0;

  bool operator==(const AttemptKey&) const = default;
};

/// Send a request to an agent. Ends with at most one of BalancerRequestCore::OnAgentAnswer and
/// OnAgentLinkFailed.
struct SendToAgent
{
  std::string mAgent;
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
  std::string mAgent;
  AttemptKey mKey;
};

/// Send the outcome to the caller.
struct ReplyToCaller
{
  ReplyHandle mHandle = 0;
  RequestId mId; ///< The id to resend with.
  RequestReply mReply;
};

using BalancerRequestAction = std::variant<SendToAgent, CancelAtAgent, ReplyToCaller>;
using BalancerRequestActions = std::vector<BalancerRequestAction>;

} // namespace dandelionslip
