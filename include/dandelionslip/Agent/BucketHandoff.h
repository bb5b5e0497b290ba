// Moves bucket directories between the agents of a service.
#pragma once

#include "dandelionslip/Agent/BucketDirectory.h"
#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Agent/FlowActions.h"
#include "dandelionslip/Agent/FlowContext.h"
#include "dandelionslip/Agent/FlowCustody.h"

namespace dandelionslip {

/// Keeps an agent's bucket directory complete while tables change.
///
/// The complete directory of a bucket exists once. It moves when the owner in a newer table asks
/// for it; a member that was skipped names the member to ask next. When the chain breaks, because a
/// member is lost or its data centre is out, all live members are asked for the flows they hold.
class BucketHandoff
{
public:
  BucketHandoff(FlowContext& aContext, FlowCustody& aCustody, BucketRecords* aRecords);

  /// Follows a change of the table from aOld to the context's. aDoubtful says that others may have
  /// owned this agent's buckets in between; they are then rebuilt.
  void OnTable(const ServiceTable& aOld, bool aDoubtful, TimePoint aNow, FlowActions& aOut);

  void OnRequest(const TransferRequest& aRequest, FlowActions& aOut);
  void OnAnswer(const TransferAnswer& aAnswer, TimePoint aNow, FlowActions& aOut);
  void OnQuery(const HeldFlowsQuery& aQuery, FlowActions& aOut);
  void OnQueryAnswer(const HeldFlowsAnswer& aAnswer, TimePoint aNow);
  void OnUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow, FlowActions& aOut);

  /// Repeats unanswered questions and expires old entries.
  void Tick(TimePoint aNow, FlowActions& aOut);

  /// Forgets everything, for example because the data centre was taken out.
  void Reset();

  /// Takes over the directory from before a restart.
  void Restore(const Handover& aState, TimePoint aNow);

  /// The agent has run before, so a bucket without a previous owner is not a new one.
  void NoteResumption() { mResumed = true; }

  /// Whether the directories of all buckets owned are complete.
  bool IsComplete() const;

  BucketDirectory& Directory() { return mDirectory; }
  const BucketDirectory& Directory() const { return mDirectory; }

private:
  std::vector<std::string> PreviousOwners(const ServiceTable& aOld) const;
  void UpdateOwned(std::uint32_t aBucket, const std::string& aPrevious, bool aFollowed,
                   bool aDoubtful, TimePoint aNow);
  void StartFrom(std::uint32_t aBucket, const std::string& aPrevious, TimePoint aNow);
  void StartRebuild(std::uint32_t aBucket, TimePoint aNow, bool aFirst = false);
  void UpdateRebuild(Bucket& aBucket, TimePoint aNow);
  void FinishIfAnswered(Bucket& aBucket);
  void Ask(TimePoint aNow, FlowActions& aOut);
  void AskPreviousOwners(TimePoint aNow, FlowActions& aOut);
  void AskMembers(TimePoint aNow, FlowActions& aOut);
  void StartRecords();
  void TakeBucket(const BucketTransfer& aTransfer, TimePoint aNow, FlowActions& aOut);
  void FollowChain(std::uint32_t aBucket, const std::string& aNext, TimePoint aNow);
  void MergeFlows(const std::vector<DirectoryEntry>& aFlows, TimePoint aNow);
  bool MayGive(std::uint32_t aBucket, const TableEpoch& aEpoch) const;

  FlowContext& mContext;
  FlowCustody& mCustody;
  BucketRecords* mRecords;
  BucketDirectory mDirectory;
  std::vector<std::uint32_t> mLostRecords;  ///< Buckets that start without records.
  std::vector<std::uint32_t> mFirstRecords; ///< Buckets that never had an owner.
  bool mResumed = false;
};

} // namespace dandelionslip
