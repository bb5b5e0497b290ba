// Actions that AgentRequestCore returns for the agent process to perform.
#pragma once

#include "dandelionslip/Request/ReceivedRequest.h"

#include <variant>
#include <vector>

namespace dandelionslip {

/// Pass a request to the upstream. The agent process reports the end of each run, also of one that
/// CancelRun cancelled, by exactly one call of AgentRequestCore::OnUpstreamAnswer, OnUpstreamShed
/// or OnUpstreamFailed.
struct RunAtUpstream
{
  RunId mRun = 0;
  RequestId mId;
  Attempt mAttempt = 0;
  Milliseconds mRemaining{0};
  Bytes mBody;
};

/// Pass a request to the alternate agent with ReceivedRequest::mRelayed set. The agent process
/// reports the end, also after CancelRun, by exactly one call of
/// AgentRequestCore::OnAlternateReply or OnAlternateLinkFailed.
struct RelayToAlternate
{
  RunId mRun = 0;
  std::string mAgent; ///< Member name.
  std::uint64_t mIncarnation = 0;
  RequestId mId;
  Attempt mAttempt = 0;
  bool mIdempotent = false;
  Milliseconds mRemaining{0};
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

/// Reply to the sender of the message with this handle.
struct ReplyToSender
{
  ReplyHandle mHandle = 0;
  RequestReply mReply;
};

/// Cancel a run at the upstream or at the alternate agent (RST_STREAM).
struct CancelRun
{
  RunId mRun = 0;
};

/// Send the record of a request that ended after its bucket was transferred. The receiver, the
/// bucket's new owner, passes it to AgentRequestCore::OnRecordUpdate.
struct SendRecord
{
  std::string mAgent; ///< Member name.
  Json mRecord;
};

using AgentRequestAction =
  std::variant<RunAtUpstream, RelayToAlternate, ReplyToSender, CancelRun, SendRecord>;
using AgentRequestActions = std::vector<AgentRequestAction>;

} // namespace dandelionslip
