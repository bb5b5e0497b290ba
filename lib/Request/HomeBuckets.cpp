// Ownership changes of buckets and the restart of the agent.
#include "HomeInternals.h"

namespace dandelionslip {

// Handles the held requests again; those whose bucket is still incomplete are held again.
void AgentRequestCore::Internals::ReleaseHeld(const RequestTime& aTime)
{
  std::list<HeldRequest> held;
  held.swap(mHeld);
  for (HeldRequest& request : held) {
    Arrive(std::move(request.mRequest), request.mDeadline, aTime);
  }
}

// Answers resends of a request that ran at the bucket's previous owner.
void AgentRequestCore::Internals::ResolveElsewhere(const RequestId& aId)
{
  const auto found = mHomeJobs.find(aId);
  const RequestRecord* record = mRecords.Find(aId);
  if (found == mHomeJobs.end() || record == nullptr || record->mState == RecordState::Pending) {
    return;
  }
  if (HomeJob& job = mJobs.at(found->second); job.mPhase == JobPhase::Elsewhere) {
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

AgentRequestActions AgentRequestCore::OnBucketFirstOwner(std::uint32_t aBucket,
                                                         std::uint32_t aGeneration,
                                                         const RequestTime& aTime)
{
  mInternals->mRecords.CompleteFirst(aBucket, aGeneration);
  mInternals->ReleaseHeld(aTime);
  return mInternals->TakeActions();
}

Result<AgentRequestActions> AgentRequestCore::OnHandoff(const Json& aHandoff,
                                                        std::string_view aPeer,
                                                        const RequestTime& aTime)
{
  const auto taken = mInternals->mRecords.Import(aHandoff, aPeer);
  if (!taken) {
    return taken.as_failure();
  }
  mInternals->ReleaseHeld(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnPreviousOwnerLost(std::uint32_t aBucket,
                                                          const RequestTime& aTime)
{
  mInternals->mRecords.CompleteAfterLoss(aBucket, aTime.mWallMs);
  mInternals->ReleaseHeld(aTime);
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnBucketDropped(std::uint32_t aBucket,
                                                      std::uint32_t aGeneration,
                                                      const RequestTime& aTime)
{
  mInternals->mRecords.Drop(aBucket, aGeneration);
  mInternals->ReleaseHeld(aTime);
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
  mInternals->ResolveElsewhere(id.value());
  mInternals->ReportToNewOwner(id.value());
  return mInternals->TakeActions();
}

AgentRequestActions AgentRequestCore::OnAgentLost(const std::string& aAgent,
                                                  const RequestTime& /*aTime*/)
{
  for (const RequestId& id : mInternals->mRecords.LoseHolder(aAgent)) {
    mInternals->ResolveElsewhere(id);
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
