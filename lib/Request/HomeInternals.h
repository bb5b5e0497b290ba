// State and steps of AgentRequestCore.
#pragma once

#include "HomeJob.h"

#include "dandelionslip/Request/AgentRequestCore.h"

#include <list>
#include <map>
#include <unordered_map>

namespace dandelionslip {

/// A request that waits until its bucket's history is settled.
struct HeldRequest
{
  ReceivedRequest mRequest;
  TimePoint mDeadline;
};

struct AgentRequestCore::Internals
{
  Internals(AgentRequestSettings aSettings, SlotAdmission& aSlots, AlternateLookup aAlternate,
            MetricsRegistry& aRegistry);

  // Arrival (HomeArrival.cpp).
  void Arrive(ReceivedRequest aRequest, TimePoint aDeadline, const RequestTime& aTime);
  void ArriveRecorded(ReceivedRequest aRequest, TimePoint aDeadline, const RequestTime& aTime);
  bool ServeFromRecord(const ReceivedRequest& aRequest, TimePoint aDeadline);
  void JoinPending(const ReceivedRequest& aRequest, TimePoint aDeadline);
  bool DecideUnknownId(const ReceivedRequest& aRequest, const RequestTime& aTime);
  void Hold(ReceivedRequest aRequest, TimePoint aDeadline);
  void RefuseNew(const ReceivedRequest& aRequest, const Refusal& aRefusal);
  HomeJob& AddJob(ReceivedRequest aRequest, TimePoint aDeadline);

  // Runs (HomeRuns.cpp).
  void Dispatch(HomeJob& aJob, const RequestTime& aTime);
  void Enqueue(HomeJob& aJob, const RequestTime& aTime);
  void StartRun(HomeJob& aJob, const RequestTime& aTime);
  void RelayOrRefuse(HomeJob& aJob, const Refusal& aRefusal, const RequestTime& aTime);
  void PumpQueue(const RequestTime& aTime);
  HomeJob* TakeRun(RunId aRun, JobPhase aPhase);
  void ReleaseSlot(const HomeJob& aJob, RunResult aResult, const RequestTime& aTime);
  void CancelJob(HomeJob& aJob);

  // Ends (HomeEnds.cpp).
  void EndAnswered(HomeJob& aJob, const UpstreamAnswer& aAnswer);
  void EndRefused(HomeJob& aJob, const Refusal& aRefusal, bool aCancelled = false);
  void EndUnknown(HomeJob& aJob);
  void EndFromRecord(HomeJob& aJob);
  void FinishJob(HomeJob& aJob, const RequestReply& aAnswer);
  RequestReply AnswerFromRecord(const RequestRecord& aRecord) const;
  void Reply(ReplyHandle aHandle, RequestReply aAnswer);
  void ReportToNewOwner(const RequestId& aId);

  // Time and withdrawal (HomeTime.cpp).
  void Withdraw(ReplyHandle aHandle);
  void WithdrawFromJob(HomeJob& aJob, ReplyHandle aHandle);
  void EndOverdueWaiters(const RequestTime& aTime);
  void EndOverdueHeld(const RequestTime& aTime);
  void RefuseQueuedRecorded(const Refusal& aRefusal);

  // Buckets (HomeBuckets.cpp).
  void ReleaseHeld(const RequestTime& aTime);
  void ResolveElsewhere(const RequestId& aId);

  RequestRecords& TableFor(bool aRelayed) { return aRelayed ? mGuests : mRecords; }
  std::unordered_map<RequestId, std::uint64_t, RequestIdHash>& IndexFor(bool aRelayed)
  {
    return aRelayed ? mGuestJobs : mHomeJobs;
  }
  HomeJob* FindJob(std::uint64_t aToken);
  std::vector<std::uint64_t> Tokens() const;
  AgentRequestActions TakeActions() { return std::exchange(mActions, {}); }

  AgentRequestSettings mSettings;
  SlotAdmission& mSlots;
  AlternateLookup mAlternate;
  RequestCounters mCounters;
  RequestRecords mRecords; ///< Ids whose bucket this agent owns or owned.
  RequestRecords mGuests;  ///< Ids that other home agents relayed to this one.
  RequestQueue mQueue;
  std::map<std::uint64_t, HomeJob> mJobs;
  std::unordered_map<RequestId, std::uint64_t, RequestIdHash> mHomeJobs;
  std::unordered_map<RequestId, std::uint64_t, RequestIdHash> mGuestJobs;
  std::unordered_map<RunId, std::uint64_t> mRuns;
  std::unordered_map<ReplyHandle, std::uint64_t> mWaiting;
  std::list<HeldRequest> mHeld;
  std::uint64_t mNextToken = 1;
  RunId mNextRun;
  std::size_t mRunning = 0;
  bool mLeaseValid = false;
  bool mStopping = false;
  AgentRequestActions mActions;
};

} // namespace dandelionslip
