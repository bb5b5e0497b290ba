// What AgentRequestCore asks its glue to do.
#pragma once

#include "dandelionslip/Request/ReceivedRequest.h"

#include <variant>
#include <vector>

namespace dandelionslip {

/// Pass a request to the upstream. Every run ends with exactly one of
/// AgentRequestCore::OnUpstreamAnswer, OnUpstreamShed and OnUpstreamFailed, also after CancelRun.
struct RunAtUpstream
{
  RunId mRun = 0;
  RequestId mId;
  Attempt mAttempt = 0;
  Milliseconds mRemaining{0};
  Bytes mBody;
};

/// Pass a request to the alternate's agent with ReceivedRequest::mRelayed set. Ends with exactly
/// one of AgentRequestCore::OnAlternateAnswer and OnAlternateLinkFailed, also after CancelRun.
struct RelayToAlternate
{
  RunId mRun = 0;
  std::string mAgent;
  std::uint64_t mIncarnation = 0;
  RequestId mId;
  Attempt mAttempt = 0;
  bool mIdempotent = false;
  Milliseconds mRemaining{0};
  CallerKey mCaller = 0;
  TrafficClass mClass = TrafficClass::Quote;
  Bytes mBody;
};

/// Send the outcome to whoever sent the message with this handle.
struct ReplyToSender
{
  ReplyHandle mHandle = 0;
  RequestReply mReply;
};

/// Cancel a run at the upstream or at the alternate (RST_STREAM).
struct CancelRun
{
  RunId mRun = 0;
};

/// Send a record that ended after its bucket was handed off to the bucket's new owner, which passes
/// it to AgentRequestCore::OnRecordUpdate.
struct SendRecord
{
  std::string mAgent;
  Json mRecord;
};

using AgentRequestAction =
  std::variant<RunAtUpstream, RelayToAlternate, ReplyToSender, CancelRun, SendRecord>;
using AgentRequestActions = std::vector<AgentRequestAction>;

} // namespace dandelionslip
