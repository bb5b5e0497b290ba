// Runs a RaftCore: writes to disk, sends messages to peers and applies entries.
#pragma once

#include "Http2ClientPool.h"

#include "dandelionslip/Control/LogStore.h"
#include "dandelionslip/Control/ProposalTracker.h"
#include "dandelionslip/Control/RaftCore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <map>
#include <mutex>

namespace dandelionslip {

/// The replicated state machine and the handler of the runtime's events. Called on the runtime's
/// strand, except for LoadState during Start().
class RaftStateMachine
{
public:
  virtual ~RaftStateMachine() = default;
  /// Applies a committed command entry.
  virtual void OnCommand(const LogEntry& aEntry) = 0;
  /// Replaces the whole state, at start or by a snapshot from the leader.
  virtual Result<void> LoadState(std::span<const std::uint8_t> aState) = 0;
  /// Encodes the whole state for a snapshot.
  virtual Bytes EncodeState() = 0;
  virtual void OnRole(RaftRole aRole, Term aTerm, const std::string& aLeader,
                      const RaftMembership& aMembers) = 0;
  /// The replica must stop, for example after a failed sync.
  virtual void OnFatal(const Error& aError) = 0;
};

/// Serialises the events of a RaftCore on a strand; disk writes block only this strand. The core's
/// mutex is not held during writes, so reading its state never waits for the disk.
class RaftRuntime
{
public:
  using ProposalCallback = std::function<void(Result<ProposalOutcome>)>;

  /// aEndpoint is the address and port at which peers reach this replica.
  RaftRuntime(boost::asio::io_context& aLoop, Http2ClientPool& aClients,
              RaftStateMachine& aStateMachine, std::string aEndpoint,
              std::unique_ptr<LogStore> aStore, RaftSettings aSettings, Random aRandom);

  /// Loads the state machine from the newest snapshot. Call once before any other event.
  Result<void> Start();
  void Tick();
  void Receive(RaftMessage aMessage);
  /// Handles a join request of the replica at this address and port.
  void ReceiveJoin(const ReplicaId& aReplica, const std::string& aAddress);

  /// Proposes a command; the callback tells whether it was applied.
  void Propose(Bytes aPayload, ProposalCallback aCallback);
  void ProposeChange(const RaftMembershipChange& aChange, ProposalCallback aCallback);
  /// Proposes the membership change that aDecide returns, if any. aDecide is called on the strand,
  /// and only if this replica leads.
  void MaintainReplicas(
    std::function<std::optional<RaftMembershipChange>(const RaftCore&, TimePoint)> aDecide);
  /// Calls aReader at once with the state of the core, which does not change during the call.
  void Inspect(const std::function<void(const RaftCore&)>& aReader);
  /// Starts a leadership transfer before a planned stop, to a replica in aAvoided only if there is
  /// no other; the callback then runs on the strand.
  void TransferLeadership(std::vector<ReplicaId> aAvoided, std::function<void()> aCallback);

  bool Confirmed();
  bool IsLeader();
  std::string LeaderAddress();
  std::string AddressOf(const ReplicaId& aReplica);
  RaftMembership Members();
  /// The Raft part of the answer to /v1/status.
  Json StatusJson();
  const ReplicaId& Self() const { return mSelf; }

private:
  using Event = std::function<RaftActions(RaftCore&, TimePoint)>;

  void PostEvent(const Event& aEvent);
  void Perform(RaftActions aActions);
  bool CheckStorage(const Status& aStatus);
  void Do(PersistAction& aAction);
  void Do(SendAction& aAction);
  void Do(ApplyAction& aAction);
  void Do(InstallSnapshotAction& aAction);
  void Do(RoleChangedAction& aAction);
  void Do(PeerRefusedAction& aAction);
  void Do(StopAction& aAction);
  std::string AddressOfLocked(const ReplicaId& aReplica) const;
  void Send(const RaftMessage& aMessage);
  void Resolve(const std::vector<ProposalResult>& aResults);
  void MaybeSnapshot();
  void Track(const Result<EntryId>& aEntry, const ProposalCallback& aCallback);

  Http2ClientPool& mClients;
  RaftStateMachine& mStateMachine;
  std::string mEndpoint;
  std::unique_ptr<LogStore> mStore;
  ReplicaId mSelf;
  boost::asio::strand<boost::asio::io_context::executor_type> mStrand;
  std::mutex mMutex;                         ///< Guards mCore and mSenders.
  std::map<ReplicaId, std::string> mSenders; ///< Endpoints of replicas that sent messages.
  std::unique_ptr<RaftCore> mCore;
  std::shared_ptr<const Snapshot> mRecoveredSnapshot;
  // The members below are used on the strand only.
  ProposalTracker mTracker;
  std::map<EntryId, ProposalCallback> mCallbacks;
  EntryId mLastApplied;
  bool mFailed = false;
};

} // namespace dandelionslip
