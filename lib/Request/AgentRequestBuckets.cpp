// Changes of bucket ownership, and export and import of all records for a restart of the agent.
#include "AgentRequestInternals.h"

namespace dandelionslip {

// Handles the deferred requests again. Those whose bucket is still incomplete are deferred again.
void AgentRequestCore::Internals::ProcessDeferred(const RequestTime& aTime)
{
  std::list<DeferredRequest> deferred;
  deferred.swap(mDeferred);
  for (DeferredRequest& request : deferred) {
    Arrive(std::move(request.mRequest), request.mDeadline, aTime);
  }
}

// Replies to resends of a request that ran at the bucket's previous owner, once its record says how
// it ended.
void AgentRequestCore::Internals::FinishJobAtPreviousOwner(const RequestId& aId)
{
  const auto found = mOwnedJobs.find(aId);
  const RequestRecord* record = mRecords.Find(aId);
  if (found == mOwnedJobs.end() || record == nullptr || record->mState == RecordState::Pending) {
    return;
  }
  if (RequestJob& job = mJobs.at(found->second); job.mPhase == JobPhase::AtPreviousOwner) {
    EndFromRecord(job);
  }
}

AgentRequestActions AgentRequestCore::OnBucketAcquired(std::uint32_t aBucket,
                                                       std::uint32_t aGeneration,
                                                       const RequestTime& /*aTime*/)
{
  mInternals->mRecords.Acquire(aBucket, aGeneration);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnFirstOwnership(std::uint32_t aBucket,
                                                       std::uint32_t aGeneration,
                                                       const RequestTime& aTime)
{
  mInternals->mRecords.AcquireAsFirstOwner(aBucket, aGeneration);
  mInternals->ProcessDeferred(aTime);
  return mInternals->TakeActions();
}

Result<AgentRequestActions> AgentRequestCore::OnBucketTransfer(const Json& aTransfer,
                                                               std::string_view aPeer,
                                                               const RequestTime& aTime)
{
  const auto completed = mInternals->mRecords.Import(aTransfer, aPeer);
  if (!completed) {
    return completed.as_failure();
  }
  mInternals->ProcessDeferred(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnPreviousOwnerLost(std::uint32_t aBucket,
                                                          const RequestTime& aTime)
{
  mInternals->mRecords.CompleteWithoutTransfer(aBucket, aTime.mWallMs);
  mInternals->ProcessDeferred(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnBucketTakenOver(std::uint32_t aBucket,
                                                        std::uint32_t aGeneration,
                                                        const RequestTime& aTime)
{
  mInternals->mRecords.MarkTakenOver(aBucket, aGeneration);
  mInternals->ProcessDeferred(aTime);
  return mInternals->TakeActions();
}

Result<Json> AgentRequestCore::FreezeAndExport(const std::set<std::uint32_t>& aBuckets,
                                               const std::string& aNewOwner,
                                               std::uint32_t aGeneration, const RequestTime& aTime)
{
  return mInternals->mRecords.FreezeAndExport(aBuckets, aNewOwner, aGeneration, aTime.mWallMs);
}

Result<AgentRequestActions> AgentRequestCore::OnRecordUpdate(const Json& aRecord,
                                                             std::string_view aPeer,
                                                             const RequestTime& /*aTime*/)
{
  const auto id = mInternals->mRecords.MergeRecord(aRecord, aPeer);
  if (!id) {
    return id.as_failure();
  }
  mInternals->FinishJobAtPreviousOwner(id.value());
  mInternals->ReportToNewOwner(id.value());
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnAgentLost(const std::string& aAgent,
                                                  const RequestTime& /*aTime*/)
{
  for (const RequestId& id : mInternals->mRecords.MarkAgentLost(aAgent)) {
    mInternals->FinishJobAtPreviousOwner(id);
    mInternals->ReportToNewOwner(id);
  }
  return mInternals->TakeActions();
}

Json AgentRequestCore::ExportAll(const RequestTime& aTime)
{
  return mInternals->mRecords.ExportAll(aTime.mWallMs);
}

Result<void> AgentRequestCore::ImportAll(const Json& aTable, std::string_view aPeer)
{
  return mInternals->mRecords.ImportAll(aTable, aPeer);
}

} // namespace dandelionslip
