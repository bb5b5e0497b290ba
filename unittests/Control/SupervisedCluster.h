// Control replicas with everything that acts on them in a deployment: restarts, repair, an
// operator.
#pragma once

#include "Control/SimulatedCluster.h"

#include "dandelionslip/Control/JoinEndpoints.h"
#include "dandelionslip/Control/ReplicaDeparture.h"
#include "dandelionslip/Control/ReplicaRepairPlanner.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionslip {

/// When an ended process is started again.
enum class RestartRule
{
  AfterDelay, ///< 500 ms after its end, also while its disk is still full.
  AfterRoom,  ///< 500 ms after its end, but not while its disk is full.
};

/// A process that ended by itself because of a failed write.
struct ProcessEnd
{
  std::size_t mReplica = 0;
  TimePoint mTime;
};

/// A change that the operator wants to have acknowledged.
struct OperatorChange
{
  TimePoint mSent;
  std::optional<TimePoint> mAcknowledged;
  EntryId mEntry;
};

/// A SimulatedCluster that is driven as ControlDaemon drives it. A process whose write fails ends
/// and is restarted with its files; a refused identity is replaced by a new one; leaders replace
/// silent voters; an operator sends changes to any replica, which passes them to the leader.
class SupervisedCluster
{
public:
  /// aVoters replicas start as voters; aLearners more join. Equal seeds give equal runs.
  SupervisedCluster(std::size_t aVoters, std::size_t aLearners, RestartRule aRestart,
                    std::uint64_t aSeed);

  void RunFor(Milliseconds aTime);
  /// Lets the operator send a change at each interval; std::nullopt ends this.
  void SendChangesEvery(std::optional<Milliseconds> aInterval);
  /// Whether every replica runs, is a member, has applied all of the leader's log, is confirmed,
  /// and the voters are as many as at first, or one more, because a voter came back after its
  /// replacement was promoted.
  bool Settled();
  /// Names other seeds in the settings file that every process can read.
  void WriteSeeds(const std::vector<std::size_t>& aReplicas);
  /// Ends a process; it is started again only by AddVm.
  void RemoveVm(std::size_t aIndex);
  /// Tells a process to stop, as SIGTERM does; once it has ended, it is started again only by
  /// AddVm.
  void StopVm(std::size_t aIndex);
  /// Whether the process was told to stop and has not ended yet.
  bool Stopping(std::size_t aIndex) const { return mProcesses[aIndex].mDeparture.has_value(); }
  /// Starts the process with its disk, with the seeds of the settings file.
  void AddVm(std::size_t aIndex);
  /// Cuts all connections of a replica until Heal.
  void Isolate(std::size_t aIndex);
  void Heal();
  /// Whether there is a leader and all voters that it knows run, as many as at first.
  bool AllVotersRun();
  /// Cuts the power of all replicas at the same time and starts them again.
  void LosePower();
  /// Cuts the power of all replicas that run, and removes the contents of some disks; all of these
  /// replicas are started again after a while.
  void LosePowerAndDisks(const std::set<std::size_t>& aLostDisks);
  void SetFaults(NetworkFaults aFaults) { mCluster.SetFaults(aFaults); }

  SimulatedReplica& At(std::size_t aIndex) { return mCluster.At(aIndex); }
  std::size_t Size() const { return mCluster.Size(); }
  /// Position of the leader, if there is one.
  std::optional<std::size_t> Leader();
  TimePoint Now() const { return mCluster.Now(); }
  const std::vector<ProcessEnd>& Ends() const { return mEnds; }
  const std::vector<OperatorChange>& Changes() const { return mChanges; }
  std::size_t NewIdentities() const { return mNewIdentities; }
  /// The first violated invariant, or an empty text.
  std::string FirstViolation();
  /// The state of each replica, for failure texts.
  std::string Describe();

private:
  struct Process
  {
    bool mRunning = true;
    std::size_t mStarts = 1;
    TimePoint mRestartAt;
    TimePoint mMaintainAt;
    TimePoint mJoinAt;
    Term mLedTerm = 0;
    std::optional<ReplicaRepairPlanner> mPlanner;
    std::optional<JoinEndpoints> mJoinEndpoints;
    std::optional<ReplicaDeparture> mDeparture;
    std::optional<TimePoint> mEndAt; ///< After the departure, open requests end until then.
  };

  /// One attempt of the operator to have a change acknowledged by one replica.
  struct Attempt
  {
    std::size_t mChange = 0;
    std::size_t mReplica = 0;
    std::size_t mReplicaStarts = 0;
    TimePoint mDeadline;
    TimePoint mNextTry;
    std::optional<EntryId> mEntry;
    std::size_t mProposer = 0;
    std::size_t mProposerStarts = 0;
  };

  void Step();
  void Supervise(std::size_t aIndex);
  void OnEnded(std::size_t aIndex);
  /// Starts a process that reads the settings file.
  void StartWithSeeds(std::size_t aIndex);
  /// Starts a process, or lets it go on under a new identity.
  void StartProcess(std::size_t aIndex);
  /// Tells the planner of a replica that has become the leader.
  void NoteLeadership(std::size_t aIndex);
  void Maintain(std::size_t aIndex);
  void ContinueDeparture(std::size_t aIndex);
  void SendLeave(std::size_t aIndex, const LeaderStamp& aStamp);
  ReplicaGroup GroupOf(std::size_t aIndex, const RaftMembership& aMembers);
  void SendJoin(std::size_t aIndex);
  void ReceiveJoin(std::size_t aIndex, const ReplicaId& aFrom, bool aMayForward);
  void MaybeSnapshot(std::size_t aIndex);
  void SendChanges();
  void Continue(Attempt& aAttempt);
  void StartAttempt(Attempt& aAttempt);
  bool Runs(std::size_t aIndex, std::size_t aStarts);
  std::string AddressOf(const ReplicaId& aId);
  static std::string Address(std::size_t aIndex);
  /// The members that the replica knows, with their addresses.
  RaftMembership MembersOf(std::size_t aIndex);
  std::optional<std::size_t> IndexOf(const ReplicaId& aId);

  RestartRule mRestart;
  std::size_t mVoters;
  Random mRandom;
  SimulatedCluster mCluster;
  std::vector<Process> mProcesses;
  std::vector<std::string> mSeeds; ///< In the settings file.
  std::set<std::size_t> mIsolated;
  std::map<ReplicaId, std::size_t> mIndexes; ///< Of all identities that were ever used.
  std::vector<ProcessEnd> mEnds;
  std::vector<OperatorChange> mChanges;
  std::vector<Attempt> mAttempts; ///< Of the changes that are not acknowledged yet.
  std::optional<Milliseconds> mInterval;
  TimePoint mNextChange;
  std::uint64_t mNextPayload = 1;
  std::size_t mNewIdentities = 0;
  std::string mUnusableStore;
};

} // namespace dandelionslip
