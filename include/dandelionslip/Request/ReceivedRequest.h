// A request as an agent receives it, and the identifiers of messages and runs.
#pragma once

#include "dandelionslip/Request/Attempt.h"
#include "dandelionslip/Request/RequestId.h"
#include "dandelionslip/Request/RequestOutcome.h"
#include "dandelionslip/Request/RequestQueue.h"

namespace dandelionslip {

/// Identifies one received request message, so that a reply can refer to it. The receiving process
/// chooses it and uses each value only once.
using ReplyHandle = std::uint64_t;

/// Identifies one run at the upstream or at the alternate agent; unique over all incarnations of
/// the agent that started it.
using RunId = std::uint64_t;

/// A request as an agent received it.
struct ReceivedRequest
{
  ReplyHandle mHandle = 0;
  std::optional<RequestId> mId; ///< Empty when the id is not a UUID of version 7.
  Attempt mAttempt = 0;
  /// Set if the service is declared idempotent and the request does not opt out.
  bool mIdempotent = false;
  /// False only when no earlier attempt of this id can have reached an agent and run. Such a
  /// request counts as new even in a bucket whose records were lost.
  bool mMayHaveRun = true;
  bool mRelayed = false;                ///< Sent by the owner of the id's bucket.
  std::uint64_t mTargetIncarnation = 0; ///< Relayed: the incarnation that the owner addressed.
  Milliseconds mRemaining{0};           ///< Time left until the deadline.
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

} // namespace dandelionslip
