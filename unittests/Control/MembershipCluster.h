// Three membership cores with nodes that call each other directly; roles change as under Raft.
#pragma once

#include "ControlFixtures.h"

#include "dandelionslip/Control/MembershipCore.h"
#include "dandelionslip/Model/NodeState.h"
#include "dandelionslip/Support/Random.h"

#include <memory>
#include <optional>

namespace dandelionslip {

inline constexpr std::size_t kClusterReplicas = 3;

/// Simulates Raft and the transport between the cores; every tick takes 20 ms.
class MembershipCluster
{
public:
  struct Node
  {
    Announcement mAnnouncement;
    NodeState mState;
    TimePoint mLeaseEnd;
    std::size_t mReplica = 0;
    Milliseconds mAnnounceOffset{0};
    bool mRunning = true;
  };

  explicit MembershipCluster(std::uint64_t aSeed);

  void AddNode(const std::string& aName, std::size_t aReplica);

  /// Restarts a replica; it loses its views and attached nodes.
  void Restart(std::size_t aReplica);

  /// Cuts a replica off from the other replicas, but not from its nodes; std::nullopt reconnects
  /// it.
  void Isolate(std::optional<std::size_t> aReplica) { mIsolated = aReplica; }

  /// Sets the share of messages between replicas that are lost, in percent.
  void LoseMessages(std::uint64_t aPercent) { mLossPercent = aPercent; }

  /// Runs ticks and checks the invariants after each one.
  void Run(Milliseconds aTime);

  void Elect(std::size_t aReplica);

  /// Applies the command on all replicas.
  void Commit(const Command& aCommand);

  MembershipCore& Core(std::size_t aReplica) { return *mReplicas[aReplica].mCore; }
  Node& NodeOf(const std::string& aName) { return mNodes.at(aName); }
  bool IsReplicaConfirmed(std::size_t aReplica) const;
  std::size_t Leader() const { return mLeader; }
  TimePoint Now() const { return mNow; }

  /// Counts the losses and generations seen in views; tests use them to check that runs had both.
  std::size_t Losses() const { return mLosses; }
  std::size_t GenerationsSeen() const { return mGenerations.size(); }

private:
  struct Replica
  {
    std::unique_ptr<MembershipCore> mCore;
    TimePoint mLastQuorumContact;
    std::uint64_t mTerm = 0;
    bool mKnowsLeader = false;
  };

  static std::string NameOf(std::size_t aReplica) { return Numbered("r", aReplica); }
  bool Reachable(std::size_t aFrom, std::size_t aTo) const;
  bool DrawDelivery(std::size_t aFrom, std::size_t aTo);
  void ReportRole(std::size_t aReplica, bool aKnowsLeader);
  void UpdateRoles();
  void Deliver(std::size_t aFrom, const MembershipAction& aAction);
  void Announce(Node& aNode);
  void CheckViews();
  void CheckLost(const View& aView, const std::string& aName);

  Random mRandom;
  TimePoint mNow = kTestStart;
  std::array<Replica, kClusterReplicas> mReplicas;
  std::vector<std::pair<std::uint64_t, Command>> mLog;
  std::map<std::string, Node> mNodes;
  std::optional<std::size_t> mIsolated;
  std::uint64_t mLossPercent = 0;
  std::size_t mLeader = 0;
  std::uint64_t mTerm = 0;
  std::size_t mLosses = 0;
  std::map<std::string, MemberState> mLastState;
  std::map<std::uint32_t, std::vector<WeightedMember>> mGenerations;
};

} // namespace dandelionslip
