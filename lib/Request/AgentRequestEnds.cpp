// Ends requests: updates the record, replies to all waiters, and informs a bucket's new owner.
#include "AgentRequestInternals.h"

namespace dandelionslip {

void AgentRequestCore::Internals::EndAnswered(RequestJob& aJob, const UpstreamAnswer& aAnswer)
{
  if (aJob.IsRecorded()) {
    RecordsFor(aJob.mRequest.mRelayed).MarkDone(aJob.mId, aAnswer);
  }
  FinishJob(aJob, AnsweredReply(aAnswer));
}

// When there is no room for a refused record, the request ends as unknown although it did not run:
// without a record, a late copy of the attempt could still run. An unknown record takes the place
// of the pending one.
void AgentRequestCore::Internals::EndRefused(RequestJob& aJob, const Refusal& aRefusal,
                                             bool aCancelled)
{
  RequestRecords& table = RecordsFor(aJob.mRequest.mRelayed);
  if (aJob.IsRecorded() && !table.TryMarkRefused(aJob.mId, aJob.mRequest.mAttempt, aRefusal)) {
    EndUnknown(aJob);
    return;
  }
  if (!aCancelled) {
    mCounters.CountRefusal(aRefusal.mReason);
  }
  FinishJob(aJob, aCancelled ? CancelledReply() : NotRunReply(aRefusal));
}

void AgentRequestCore::Internals::EndUnknown(RequestJob& aJob)
{
  if (aJob.IsRecorded()) {
    RecordsFor(aJob.mRequest.mRelayed).MarkUnknown(aJob.mId);
  }
  FinishJob(aJob, UnknownReply());
}

// Ends a request that ran at the bucket's previous owner, according to its record.
void AgentRequestCore::Internals::EndFromRecord(RequestJob& aJob)
{
  const RequestRecord* record = mRecords.Find(aJob.mId);
  FinishJob(aJob, record == nullptr ? UnknownReply() : ReplyFor(*record));
}

void AgentRequestCore::Internals::FinishJob(RequestJob& aJob, const RequestReply& aReply)
{
  for (const JobWaiter& waiter : aJob.mWaiters) {
    mJobByHandle.erase(waiter.mHandle);
    Reply(waiter.mHandle, aReply);
  }
  const RequestId id = aJob.mId;
  const bool recorded = aJob.IsRecorded();
  const bool relayed = aJob.mRequest.mRelayed;
  if (recorded) {
    JobIndexFor(relayed).erase(id);
  }
  mJobs.erase(aJob.mToken);
  if (recorded && !relayed) {
    ReportToNewOwner(id);
  }
}

RequestReply AgentRequestCore::Internals::ReplyFor(const RequestRecord& aRecord) const
{
  switch (aRecord.mState) {
    case RecordState::Done:
      if (aRecord.mAnswer) {
        return AnsweredReply(*aRecord.mAnswer);
      }
      return {RequestOutcome::Unknown, {}, {}, aRecord.mDigest};
    case RecordState::Refused:
      return NotRunReply(aRecord.mRefusal);
    case RecordState::Pending:
    case RecordState::Unknown:
      return UnknownReply();
  }
  return UnknownReply();
}

void AgentRequestCore::Internals::Reply(ReplyHandle aHandle, RequestReply aReply)
{
  mCounters.CountOutcome(aReply.mOutcome);
  mActions.emplace_back(ReplyToSender{aHandle, std::move(aReply)});
}

// If the bucket has a new owner, sends it the record of the ended request.
void AgentRequestCore::Internals::ReportToNewOwner(const RequestId& aId)
{
  const std::uint32_t bucket = mRecords.BucketFor(aId);
  if (mRecords.StateOf(bucket) == RecordBucketState::Frozen) {
    mActions.emplace_back(SendRecord{mRecords.NewOwner(bucket), mRecords.ExportRecord(aId)});
  }
}

} // namespace dandelionslip
