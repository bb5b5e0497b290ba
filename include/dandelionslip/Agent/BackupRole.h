// State that an agent keeps for others while they restart.
#pragma once

#include "dandelionslip/Agent/BucketDirectory.h"
#include "dandelionslip/Agent/BucketRecords.h"
#include "dandelionslip/Agent/FlowActions.h"
#include "dandelionslip/Agent/FlowContext.h"

#include <map>
#include <set>
#include <span>

namespace dandelionslip {

/// State kept for one restarting agent.
struct KeptState
{
  /// As received. Its directory and records are replaced by the current ones when the state is
  /// returned.
  StateHandover mHandover;
  BucketDirectory mDirectory;
  std::set<FlowId> mFlows; ///< Flows that the restarting agent holds.
  /// The earlier backup that passed the state on because it restarts too; then equal to mSender.
  /// Empty when the state came from its own agent.
  std::string mPreviousBackup;
  std::string mSender; ///< The agent that sent the state.
  /// Incarnation of the process that fetched the state; 0 while it has not been fetched.
  std::uint64_t mFetchedBy = 0;
  TimePoint mExpiresAt;
};

/// Keeps the state of restarting agents and acts for them. Not thread-safe.
class BackupRole
{
public:
  BackupRole(FlowContext& aContext, BucketRecords* aRecords);

  /// Takes over the state of an agent from aFrom and acknowledges it.
  void OnHandover(const std::string& aFrom, const StateHandover& aState, TimePoint aNow,
                  FlowActions& aOut);

  /// Returns the state to its agent's new process.
  void OnResumeRequest(const ResumeRequest& aRequest, TimePoint aNow, FlowActions& aOut);

  /// Answers a transfer request for buckets of a restarting agent; empty when its state is not kept
  /// here or was returned.
  std::optional<TransferAnswer> AnswerTransferRequest(const TransferRequest& aRequest);

  /// Applies an update to the directory of a restarting agent. Returns false when its state is not
  /// kept here.
  bool OnDirectoryUpdate(const DirectoryUpdate& aUpdate, TimePoint aNow, FlowActions& aOut);

  /// The state kept for a member, or null.
  KeptState* FindKeptState(const std::string& aMember);

  /// Flows of these buckets that the restarting agents hold.
  std::vector<DirectoryEntry> HeldFlows(std::span<const std::uint32_t> aBuckets) const;

  /// The states that were not returned yet, to be passed on to aBackup when this agent stops too.
  std::vector<StateHandover> Export(const std::string& aBackup) const;

  /// Removes expired states.
  void Tick(TimePoint aNow);

private:
  void Add(const std::string& aFrom, const StateHandover& aState, TimePoint aNow);
  StateHandover ReturnState(KeptState& aKept, std::uint64_t aIncarnation, TimePoint aNow);

  FlowContext& mContext;
  BucketRecords* mRecords;
  std::map<std::string, KeptState> mKeptStates;
};

} // namespace dandelionslip
