// Inputs of AgentRequestCore that carry more than an identifier.
#pragma once

#include "dandelionslip/Request/Attempt.h"
#include "dandelionslip/Request/RequestId.h"
#include "dandelionslip/Request/RequestOutcome.h"
#include "dandelionslip/Request/RequestQueue.h"

namespace dandelionslip {

/// Identifies one received request message; answers refer to it. Never reused by the glue.
using ReplyHandle = std::uint64_t;

/// Identifies one run at the upstream or at the alternate agent; unique over all
/// incarnations of an agent.
using RunId = std::uint64_t;

/// A request as it arrived at an agent.
struct ReceivedRequest
{
  ReplyHandle mHandle = 0;
  std::optional<RequestId> mId; ///< Empty when the id is not a UUID of version 7.
  Attempt mAttempt = 0;
  bool mIdempotent = false; ///< Only if both the service and the request say so.
  /// False only when no earlier attempt of this id can have reached an agent and run. Such a
  /// request is new even in a bucket whose records were lost.
  bool mMayHaveRun = true;
  bool mRelayed = false;                ///< Sent by a home agent that keeps the record.
  std::uint64_t mTargetIncarnation = 0; ///< Relayed: the incarnation the home agent addressed.
  Milliseconds mRemaining{0};           ///< Time left until the deadline.
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

} // namespace dandelionslip
