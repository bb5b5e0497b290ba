// One request in progress at an agent.
#pragma once

#include "dandelionslip/Request/AgentRequestActions.h"

namespace dandelionslip {

enum class JobPhase
{
  Queued,      ///< Waits for a slot; has not run.
  Running,     ///< Passed to the upstream.
  AtAlternate, ///< Passed to the alternate's agent.
  Elsewhere,   ///< Runs at the bucket's previous owner; only resends wait here.
};

/// A message that waits for the outcome.
struct JobWaiter
{
  ReplyHandle mHandle = 0;
  TimePoint mDeadline;
};

/// A request with everyone who waits for it.
struct HomeJob
{
  std::uint64_t mToken = 0;
  ReceivedRequest mRequest;
  RequestId mId; ///< Nil for an idempotent request without an id.
  JobPhase mPhase = JobPhase::Queued;
  RunId mRun = 0;
  TimePoint mStarted;
  TimePoint mDeadline; ///< Latest deadline of its waiters.
  bool mTriedAlternate = false;
  bool mCancelSent = false;
  std::vector<JobWaiter> mWaiters;

  /// Whether a record decides about this request.
  bool IsRecorded() const { return !mRequest.mIdempotent; }
};

} // namespace dandelionslip
