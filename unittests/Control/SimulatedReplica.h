// One control replica with a simulated disk, for runs in one process.
#pragma once

#include "Control/FakeFileSystem.h"
#include "Control/HistoryChecker.h"
#include "dandelionslip/Control/ProposalTracker.h"
#include "dandelionslip/Control/RaftCore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionslip {

/// What happens to the files of a simulated replica whose write fails.
enum class AfterFailedWrite
{
  LosePower, ///< Changes that were not synced may be lost.
  KeepFiles, ///< Only the process ends, as the daemon does.
};

/// One control replica with a simulated disk.
class SimulatedReplica
{
public:
  SimulatedReplica(ReplicaId aId, RaftSettings aSettings, std::uint64_t aSeed,
                   HistoryChecker& aChecker);

  /// Starts the process with the contents of the disk. Returns false if the store cannot be opened.
  bool Start(TimePoint aNow);
  /// Writes the first membership to the empty disk of a process that is not started.
  void Bootstrap(const RaftMembership& aMembers);
  /// Ends the process without notice, by a loss of power.
  void Crash();
  /// Ends the process without notice; the files stay as they are.
  void End();
  /// Applies from the next failed write on; LosePower at first.
  void SetAfterFailedWrite(AfterFailedWrite aEffect) { mAfterFailedWrite = aEffect; }
  /// Removes the files of a process that is not started and takes a new identity, as the daemon
  /// does when the group refuses its identity.
  Status TakeNewIdentity();
  bool Running() const { return mCore != nullptr; }
  /// Why the process ended, if it did because its identity was refused or its store is unusable.
  const std::string& StopReason() const { return mStopReason; }

  void Tick(TimePoint aNow);
  void Receive(TimePoint aNow, const RaftMessage& aMessage);
  /// Receives the join request of a replica.
  void ReceiveJoin(TimePoint aNow, const ReplicaId& aReplica);
  /// Proposes a unique command; its outcome goes to the checker.
  Result<EntryId> Propose(TimePoint aNow, const Bytes& aPayload);
  Result<EntryId> Change(TimePoint aNow, const RaftMembershipChange& aChange);
  Status Transfer(TimePoint aNow, const ReplicaId& aTarget = {},
                  std::span<const ReplicaId> aAvoided = {});
  /// Stores a snapshot of the applied entries and compacts the log.
  void TakeSnapshot();
  /// Index of the last entry that the newest snapshot covers.
  LogIndex SnapshotIndex() const { return mSnapshotIndex; }
  /// Messages sent since the last call.
  std::vector<RaftMessage> TakeSent();

  const RaftCore& Core() const { return *mCore; }
  bool IsLeader() const { return Running() && mCore->Role() == RaftRole::Leader; }
  const ReplicaId& Id() const { return mId; }
  FakeFileSystem& Files() { return mFiles; }
  std::size_t PeersRefused() const { return mPeersRefused; }
  std::size_t SnapshotsInstalled() const { return mSnapshotsInstalled; }

private:
  void StopAfterFailedWrite();
  void Run(TimePoint aNow, RaftActions aActions);
  Status Execute(TimePoint aNow, PersistAction& aAction);
  Status Execute(TimePoint aNow, InstallSnapshotAction& aAction);
  Status Execute(TimePoint aNow, ApplyAction& aAction);
  Status Execute(TimePoint aNow, SendAction& aAction);
  Status Execute(TimePoint aNow, RoleChangedAction& aAction);
  Status Execute(TimePoint aNow, PeerRefusedAction& aAction);
  Status Execute(TimePoint aNow, StopAction& aAction);
  void Report(TimePoint aNow, const std::vector<ProposalResult>& aResults, const LogEntry* aEntry);

  ReplicaId mId;
  RaftSettings mSettings;
  Random mRandom;
  HistoryChecker& mChecker;
  FakeFileSystem mFiles;
  std::unique_ptr<LogStore> mStore;
  std::unique_ptr<RaftCore> mCore;
  std::deque<RaftAction> mActions; ///< Not carried out yet.
  ProposalTracker mProposals;
  std::map<EntryId, Bytes> mPayloads;
  std::vector<RaftMessage> mSent;
  LogIndex mSnapshotIndex = 0;
  std::string mStopReason;
  AfterFailedWrite mAfterFailedWrite = AfterFailedWrite::LosePower;
  std::size_t mPeersRefused = 0;
  std::size_t mSnapshotsInstalled = 0;
};

} // namespace dandelionslip
