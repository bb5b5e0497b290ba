// State that an agent holds for others while they restart.
#pragma once

#include "dandelionslip/Agent/BucketDirectory.h"
#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Agent/FlowActions.h"
#include "dandelionslip/Agent/FlowContext.h"

#include <map>
#include <set>
#include <span>

namespace dandelionslip {

/// One restarting agent's state.
struct Custody
{
  Handover mState;
  BucketDirectory mDirectory;
  std::set<FlowId> mFlows; ///< Flows that the restarting agent holds.
  /// The custodian that handed the state on because it restarts itself; empty when the state came
  /// from its member.
  std::string mVia;
  std::string mSender; ///< Who handed the state over.
  /// Incarnation of the process that fetched the state; 0 while it has not been fetched.
  std::uint64_t mReturnedTo = 0;
  TimePoint mKeepUntil;
};

/// Keeps the state of restarting agents and acts for them. Not thread-safe.
class FlowCustody
{
public:
  FlowCustody(FlowContext& aContext, BucketRecords* aRecords);

  /// Takes over the state of an agent from aFrom and acknowledges it.
  void OnHandover(const std::string& aFrom, const Handover& aState, TimePoint aNow,
                  FlowActions& aOut);

  /// Gives the state back to its agent's new process.
  void OnResumeRequest(const ResumeRequest& aRequest, TimePoint aNow, FlowActions& aOut);

  /// Answers a transfer request for buckets of an agent in custody; empty when there is no such
  /// custody or it was given back.
  std::optional<TransferAnswer> Answer(const TransferRequest& aRequest);

  /// Applies an update to the directory of an agent in custody. Returns false when there is none.
  bool OnUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow, FlowActions& aOut);

  /// The custody for a member, or null.
  Custody* Find(const std::string& aMember);

  /// Flows of these buckets that agents in custody hold.
  std::vector<DirectoryEntry> HeldFlows(std::span<const std::uint32_t> aBuckets) const;

  /// All states not given back, to be handed on when this agent stops itself.
  std::vector<Handover> Export(const std::string& aBackup) const;

  /// Forgets states that are no longer needed.
  void Tick(TimePoint aNow);

private:
  void Add(const std::string& aFrom, const Handover& aState, TimePoint aNow);
  Handover Return(Custody& aCustody, std::uint64_t aIncarnation, TimePoint aNow);

  FlowContext& mContext;
  BucketRecords* mRecords;
  std::map<std::string, Custody> mCustody;
};

} // namespace dandelionslip
