// State and internal functions of AgentRequestCore.
#pragma once

#include "RequestJob.h"

#include "dandelionslip/Request/AgentRequestCore.h"

#include <list>
#include <map>
#include <unordered_map>

namespace dandelionslip {

/// A request that waits until its bucket is complete.
struct DeferredRequest
{
  ReceivedRequest mRequest;
  TimePoint mDeadline;
};

struct AgentRequestCore::Internals
{
  Internals(AgentRequestSettings aSettings, SlotAdmission& aSlots, AlternateLookup aAlternate,
            MetricsRegistry& aRegistry);

  // Arrival of requests (AgentRequestArrival.cpp).
  void Arrive(ReceivedRequest aRequest, TimePoint aDeadline, const RequestTime& aTime);
  void HandleNonIdempotent(ReceivedRequest aRequest, TimePoint aDeadline, const RequestTime& aTime);
  bool HandleResend(const ReceivedRequest& aRequest, TimePoint aDeadline);
  void JoinPending(const ReceivedRequest& aRequest, TimePoint aDeadline);
  bool RefuseIfNotRunnable(const ReceivedRequest& aRequest, const RequestTime& aTime);
  void Defer(ReceivedRequest aRequest, TimePoint aDeadline);
  void RefuseAttempt(const ReceivedRequest& aRequest, const Refusal& aRefusal);
  RequestJob& AddJob(ReceivedRequest aRequest, TimePoint aDeadline);

  // Queue, runs and relay (AgentRequestRuns.cpp).
  void Dispatch(RequestJob& aJob, const RequestTime& aTime);
  void Enqueue(RequestJob& aJob, const RequestTime& aTime);
  void StartRun(RequestJob& aJob, const RequestTime& aTime);
  void RelayOrRefuse(RequestJob& aJob, const Refusal& aRefusal, const RequestTime& aTime);
  void StartQueued(const RequestTime& aTime);
  RequestJob* TakeRun(RunId aRun, JobPhase aPhase);
  void ReleaseSlot(const RequestJob& aJob, RunResult aResult, const RequestTime& aTime);
  void CancelJob(RequestJob& aJob);

  // End of requests (AgentRequestEnds.cpp).
  void EndAnswered(RequestJob& aJob, const UpstreamAnswer& aAnswer);
  void EndRefused(RequestJob& aJob, const Refusal& aRefusal, bool aCancelled = false);
  void EndUnknown(RequestJob& aJob);
  void EndFromRecord(RequestJob& aJob);
  void FinishJob(RequestJob& aJob, const RequestReply& aReply);
  RequestReply ReplyFor(const RequestRecord& aRecord) const;
  void Reply(ReplyHandle aHandle, RequestReply aReply);
  void ReportToNewOwner(const RequestId& aId);

  // Cancellation and deadlines (AgentRequestDeadlines.cpp).
  void Cancel(ReplyHandle aHandle);
  void EndWaiter(RequestJob& aJob, ReplyHandle aHandle);
  void EndOverdueWaiters(const RequestTime& aTime);
  void EndOverdueDeferred(const RequestTime& aTime);
  void RefuseQueuedNonIdempotent(const Refusal& aRefusal);

  // Bucket ownership (AgentRequestBuckets.cpp).
  void ProcessDeferred(const RequestTime& aTime);
  void FinishJobAtPreviousOwner(const RequestId& aId);

  RequestRecords& RecordsFor(bool aRelayed) { return aRelayed ? mRelayedRecords : mRecords; }
  std::unordered_map<RequestId, std::uint64_t, RequestIdHash>& JobIndexFor(bool aRelayed)
  {
    return aRelayed ? mRelayedJobs : mOwnedJobs;
  }
  RequestJob* FindJob(std::uint64_t aToken);
  std::vector<std::uint64_t> JobTokens() const;
  AgentRequestActions TakeActions() { return std::exchange(mActions, {}); }

  AgentRequestSettings mSettings;
  SlotAdmission& mSlots;
  AlternateLookup mAlternate;
  RequestCounters mCounters;
  RequestRecords mRecords;        ///< Ids whose bucket this agent owns or owned.
  RequestRecords mRelayedRecords; ///< Ids that other agents relayed to this one.
  RequestQueue mQueue;
  std::map<std::uint64_t, RequestJob> mJobs; ///< By token; the maps below hold tokens.
  std::unordered_map<RequestId, std::uint64_t, RequestIdHash> mOwnedJobs;
  std::unordered_map<RequestId, std::uint64_t, RequestIdHash> mRelayedJobs;
  std::unordered_map<RunId, std::uint64_t> mJobByRun;
  std::unordered_map<ReplyHandle, std::uint64_t> mJobByHandle;
  std::list<DeferredRequest> mDeferred;
  std::uint64_t mNextToken = 1;
  RunId mNextRun;
  std::size_t mRunningCount = 0;
  bool mLeaseValid = false;
  bool mStopping = false;
  AgentRequestActions mActions;
};

} // namespace dandelionslip
