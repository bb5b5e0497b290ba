// How requests end: record, replies, and the report to a bucket's new owner.
#include "HomeInternals.h"

namespace dandelionslip {

void AgentRequestCore::Internals::EndAnswered(HomeJob& aJob, const UpstreamAnswer& aAnswer)
{
  if (aJob.IsRecorded()) {
    TableFor(aJob.mRequest.mRelayed).Complete(aJob.mId, aAnswer);
  }
  FinishJob(aJob, AnsweredWith(aAnswer));
}

// Without room to remember the refusal the request is recorded as unknown: it did not run, but a
// record of its own would have to stay.
void AgentRequestCore::Internals::EndRefused(HomeJob& aJob, const Refusal& aRefusal,
                                             bool aCancelled)
{
  RequestRecords& table = TableFor(aJob.mRequest.mRelayed);
  if (aJob.IsRecorded() && !table.TryRefuse(aJob.mId, aJob.mRequest.mAttempt, aRefusal)) {
    EndUnknown(aJob);
    return;
  }
  if (!aCancelled) {
    mCounters.CountRefusal(aRefusal.mReason);
  }
  FinishJob(aJob, aCancelled ? CancelledOutcome() : NotRunReply(aRefusal));
}

void AgentRequestCore::Internals::EndUnknown(HomeJob& aJob)
{
  if (aJob.IsRecorded()) {
    TableFor(aJob.mRequest.mRelayed).MarkUnknown(aJob.mId);
  }
  FinishJob(aJob, UnknownOutcome());
}

// Ends a request that ran elsewhere with what its record now says.
void AgentRequestCore::Internals::EndFromRecord(HomeJob& aJob)
{
  const RequestRecord* record = mRecords.Find(aJob.mId);
  FinishJob(aJob, record == nullptr ? UnknownOutcome() : AnswerFromRecord(*record));
}

void AgentRequestCore::Internals::FinishJob(HomeJob& aJob, const RequestReply& aAnswer)
{
  for (const JobWaiter& waiter : aJob.mWaiters) {
    mWaiting.erase(waiter.mHandle);
    Reply(waiter.mHandle, aAnswer);
  }
  const RequestId id = aJob.mId;
  const bool recorded = aJob.IsRecorded();
  const bool relayed = aJob.mRequest.mRelayed;
  if (recorded) {
    IndexFor(relayed).erase(id);
  }
  mJobs.erase(aJob.mToken);
  if (recorded && !relayed) {
    ReportToNewOwner(id);
  }
}

RequestReply AgentRequestCore::Internals::AnswerFromRecord(const RequestRecord& aRecord) const
{
  switch (aRecord.mState) {
    case RecordState::Done:
      if (aRecord.mAnswer) {
        return AnsweredWith(*aRecord.mAnswer);
      }
      return {RequestOutcome::Unknown, {}, {}, aRecord.mDigest};
    case RecordState::Refused:
      return NotRunReply(aRecord.mRefusal);
    case RecordState::Pending:
    case RecordState::Unknown:
      return UnknownOutcome();
  }
  return UnknownOutcome();
}

void AgentRequestCore::Internals::Reply(ReplyHandle aHandle, RequestReply aAnswer)
{
  mCounters.CountOutcome(aAnswer.mOutcome);
  mActions.emplace_back(ReplyToSender{aHandle, std::move(aAnswer)});
}

void AgentRequestCore::Internals::ReportToNewOwner(const RequestId& aId)
{
  const std::uint32_t bucket = mRecords.BucketFor(aId);
  if (mRecords.StateOf(bucket) == RecordBucketState::Frozen) {
    mActions.emplace_back(SendRecord{mRecords.NewOwner(bucket), mRecords.ExportRecord(aId)});
  }
}

} // namespace dandelionslip
