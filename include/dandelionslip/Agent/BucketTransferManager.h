// Transfers bucket directories between the agents of a service.
#pragma once

#include "dandelionslip/Agent/BackupRole.h"
#include "dandelionslip/Agent/BucketDirectory.h"
#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Agent/FlowActions.h"
#include "dandelionslip/Agent/FlowContext.h"

namespace dandelionslip {

/// Keeps an agent's bucket directory complete while the assignment of buckets changes.
///
/// At most one agent has the complete directory of a bucket. It transfers the directory when the
/// owner in a newer table requests it. An agent that owned the bucket in between but never received
/// the directory answers with the entries that it knows and the member to ask next. If this chain
/// breaks, because a member is lost or its data centre is out of service, the new owner asks all
/// live members which flows they hold and rebuilds the directory.
class BucketTransferManager
{
public:
  BucketTransferManager(FlowContext& aContext, BackupRole& aBackupRole, BucketRecords* aRecords);

  /// Handles the change of the service table from aOld to the context's. If aOwnershipUncertain,
  /// others may have owned this agent's buckets in between, and the buckets are rebuilt.
  void OnTable(const ServiceTable& aOld, bool aOwnershipUncertain, TimePoint aNow,
               FlowActions& aOut);

  void OnTransferRequest(const TransferRequest& aRequest, FlowActions& aOut);
  void OnTransferAnswer(const TransferAnswer& aAnswer, TimePoint aNow, FlowActions& aOut);
  void OnHeldFlowsQuery(const HeldFlowsQuery& aQuery, FlowActions& aOut);
  void OnHeldFlowsAnswer(const HeldFlowsAnswer& aAnswer, TimePoint aNow);
  void OnDirectoryUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow, FlowActions& aOut);

  /// Repeats unanswered requests and expires old entries.
  void Tick(TimePoint aNow, FlowActions& aOut);

  /// Clears the directory, for example because the data centre was taken out of service.
  void Reset();

  /// Restores directory and request records from before a restart.
  void Restore(const StateHandover& aState, TimePoint aNow);

  /// The agent has run before, so a bucket without a previous owner is treated as lost, not as new.
  void SetResumed() { mResumed = true; }

  /// Whether the directories of all owned buckets are complete.
  bool IsComplete() const;

  BucketDirectory& Directory() { return mDirectory; }
  const BucketDirectory& Directory() const { return mDirectory; }

private:
  /// The owner of each bucket in aOld or, when aOld is of another service or has another number of
  /// buckets, in the generation before the newest. Empty names where there is none.
  std::vector<std::string> PreviousOwners(const ServiceTable& aOld) const;
  void UpdateOwned(std::uint32_t aBucket, const std::string& aPrevious, bool aSameBuckets,
                   bool aOwnershipUncertain, TimePoint aNow);
  void StartTransfer(std::uint32_t aBucket, const std::string& aPrevious, TimePoint aNow);
  /// aNewBucket: the bucket never had an owner. The members are still asked for flows, but no
  /// request records are lost.
  void StartRebuild(std::uint32_t aBucket, TimePoint aNow, bool aNewBucket = false);
  void UpdateRebuild(Bucket& aBucket, TimePoint aNow);
  void FinishRebuildIfAnswered(Bucket& aBucket);
  void SendRequests(TimePoint aNow, FlowActions& aOut);
  void SendTransferRequests(TimePoint aNow, FlowActions& aOut);
  void SendHeldFlowsQueries(TimePoint aNow, FlowActions& aOut);
  void InitialiseRecords();
  void ApplyTransfer(const BucketTransfer& aTransfer, TimePoint aNow, FlowActions& aOut);
  void RequestFromNext(std::uint32_t aBucket, const std::string& aNext, TimePoint aNow);
  void MergeFlows(const std::vector<DirectoryEntry>& aFlows, TimePoint aNow);
  bool MayTransfer(std::uint32_t aBucket, const TableEpoch& aEpoch) const;

  FlowContext& mContext;
  BackupRole& mBackupRole;
  BucketRecords* mRecords;
  BucketDirectory mDirectory;
  /// Buckets whose rebuild has started and whose request records are lost, for
  /// StartWithoutRecords.
  std::vector<std::uint32_t> mBucketsWithoutRecords;
  /// Buckets that never had an owner before, for StartAsFirstOwner.
  std::vector<std::uint32_t> mNewBuckets;
  bool mResumed = false;
};

} // namespace dandelionslip
