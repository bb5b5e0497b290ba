// Control replicas and a faulty network in one process, driven by a seed.
#pragma once

#include "Control/SimulatedReplica.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace dandelionslip {

/// What the simulated network does to messages.
struct NetworkFaults
{
  double mLoss = 0;
  double mDuplicate = 0;
  double mLongDelay = 0; ///< Share of messages that are delayed by up to 2 s.
  Milliseconds mMaxDelay{2};
};

/// Control replicas and a faulty network. Equal seeds give equal runs.
class SimulatedCluster
{
public:
  /// Creates aCount replicas; the first aVoters of them are bootstrapped.
  SimulatedCluster(std::size_t aCount, std::size_t aVoters, std::uint64_t aSeed,
                   RaftSettings aSettings = {});

  /// Advances the time by one step: delivers messages, ticks and checks the invariants.
  void Step();
  void RunFor(Milliseconds aTime);
  /// Runs until aDone holds; false if it does not within aLimit.
  bool RunUntil(const std::function<bool()>& aDone, Milliseconds aLimit = Milliseconds(10000));

  SimulatedReplica& At(std::size_t aIndex) { return *mReplicas[aIndex]; }
  std::size_t Size() const { return mReplicas.size(); }
  /// The leader of the highest term, or null.
  SimulatedReplica* Leader();
  /// Position of the leader; runs until there is one that can accept proposals.
  std::size_t AwaitLeader();

  /// Proposes a new unique command.
  Result<EntryId> Propose(SimulatedReplica& aReplica);
  /// Proposes a command at the leader and runs until it is accepted; false on a timeout.
  bool ProposeAndAwait();
  /// Runs until a membership change of the leader is committed.
  bool ChangeAndAwait(const RaftMembershipChange& aChange);
  /// Whether all running members have applied the leader's whole log.
  bool Converged();

  /// Cuts all connections of a replica.
  void Isolate(std::size_t aIndex) { mIsolated.insert(mReplicas[aIndex]->Id()); }
  void Heal() { mIsolated.clear(); }
  void SetFaults(NetworkFaults aFaults) { mFaults = aFaults; }

  /// Calls aObserver with each message that a replica has received.
  void ObserveMessages(
    std::function<void(const SimulatedReplica& aTo, const RaftMessage& aMessage)> aObserver)
  {
    mObserver = std::move(aObserver);
  }

  HistoryChecker& Checker() { return mChecker; }
  Random& RandomSource() { return mRandom; }
  TimePoint Now() const { return mNow; }

private:
  void Post(const RaftMessage& aMessage);
  void Deliver();
  void CheckConfirmed();
  SimulatedReplica* Find(const ReplicaId& aId);

  Random mRandom;
  RaftSettings mSettings;
  HistoryChecker mChecker;
  std::vector<std::unique_ptr<SimulatedReplica>> mReplicas;
  std::multimap<TimePoint, RaftMessage> mNetwork;
  std::set<ReplicaId> mIsolated;
  NetworkFaults mFaults;
  std::function<void(const SimulatedReplica&, const RaftMessage&)> mObserver;
  TimePoint mNow{std::chrono::hours(1)};
  std::uint64_t mNextPayload = 1;
};

} // namespace dandelionslip
