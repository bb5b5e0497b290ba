// A request in progress at an agent.
#pragma once

#include "dandelionslip/Request/AgentRequestActions.h"

namespace dandelionslip {

enum class JobPhase
{
  Queued,          ///< Waits for a slot; has not run.
  Running,         ///< Passed to the upstream.
  AtAlternate,     ///< Relayed to the alternate agent.
  AtPreviousOwner, ///< Runs at the bucket's previous owner; only resends wait here.
};

/// A received message that waits for the outcome of a request.
struct JobWaiter
{
  ReplyHandle mHandle = 0;
  TimePoint mDeadline;
};

/// A request in progress, with all messages that wait for its outcome: the first attempt and its
/// resends.
struct RequestJob
{
  std::uint64_t mToken = 0;
  ReceivedRequest mRequest;
  RequestId mId; ///< The nil UUID for an idempotent request without an id.
  JobPhase mPhase = JobPhase::Queued;
  RunId mRun = 0;
  TimePoint mStarted;
  TimePoint mDeadline; ///< Latest deadline of all current and former waiters.
  bool mTriedAlternate = false;
  bool mCancelSent = false;
  std::vector<JobWaiter> mWaiters;

  /// Whether the request has a record; idempotent requests have none.
  bool IsRecorded() const { return !mRequest.mIdempotent; }
};

} // namespace dandelionslip
