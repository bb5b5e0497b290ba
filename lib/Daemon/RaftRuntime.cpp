// Performs the actions of a RaftCore.
#include "RaftRuntime.h"

#include "dandelionslip/Support/Log.h"

#include <boost/asio/post.hpp>

namespace dandelionslip {

namespace {

constexpr Milliseconds kMessageTimeout{1'000};

} // namespace

RaftRuntime::RaftRuntime(boost::asio::io_context& aLoop, Http2ClientPool& aClients,
                         RaftStateMachine& aStateMachine, std::string aEndpoint,
                         std::unique_ptr<LogStore> aStore, RaftSettings aSettings, Random aRandom)
  : mClients(aClients)
  , mStateMachine(aStateMachine)
  , mEndpoint(std::move(aEndpoint))
  , mStore(std::move(aStore))
  , mStrand(boost::asio::make_strand(aLoop))
{
  RecoveredState recovered = mStore->TakeRecovered();
  mSelf = recovered.mReplica;
  mRecoveredSnapshot = recovered.mSnapshot;
  mCore = std::make_unique<RaftCore>(aSettings, std::move(recovered), aRandom, RuntimeClock::now());
}

Result<void> RaftRuntime::Start()
{
  if (!mRecoveredSnapshot) {
    return Ok();
  }
  mLastApplied = mRecoveredSnapshot->Id();
  const bool hasState = !mRecoveredSnapshot->mState.empty();
  auto loaded = hasState ? mStateMachine.LoadState(mRecoveredSnapshot->mState) : Ok();
  mRecoveredSnapshot.reset();
  return loaded;
}

void RaftRuntime::PostEvent(const Event& aEvent)
{
  boost::asio::post(mStrand, [this, aEvent] {
    RaftActions actions;
    {
      const std::lock_guard lock(mMutex);
      actions = aEvent(*mCore, RuntimeClock::now());
    }
    Perform(std::move(actions));
  });
}

void RaftRuntime::Perform(RaftActions aActions)
{
  for (auto& action : aActions) {
    if (mFailed) {
      return;
    }
    std::visit([this](auto& aAction) { this->Do(aAction); }, action);
  }
}

void RaftRuntime::Tick()
{
  PostEvent([](RaftCore& aCore, TimePoint aNow) { return aCore.Tick(aNow); });
}

void RaftRuntime::Receive(RaftMessage aMessage)
{
  if (!aMessage.mFromAddress.empty()) {
    const std::lock_guard lock(mMutex);
    mSenders[aMessage.mFrom] = aMessage.mFromAddress;
  }
  PostEvent([message = std::move(aMessage)](RaftCore& aCore, TimePoint aNow) {
    return aCore.Receive(aNow, message);
  });
}

void RaftRuntime::ReceiveJoin(const ReplicaId& aReplica, const std::string& aAddress)
{
  {
    const std::lock_guard lock(mMutex);
    mSenders[aReplica] = aAddress;
  }
  PostEvent([replica = aReplica](RaftCore& aCore, TimePoint aNow) {
    return aCore.ReceiveJoin(aNow, replica);
  });
}

void RaftRuntime::Propose(Bytes aPayload, ProposalCallback aCallback)
{
  boost::asio::post(
    mStrand, [this, payload = std::move(aPayload), callback = std::move(aCallback)]() mutable {
      RaftActions actions;
      {
        const std::lock_guard lock(mMutex);
        const auto entry = mCore->Propose(RuntimeClock::now(), std::move(payload), actions);
        Track(entry, callback);
      }
      Perform(std::move(actions));
    });
}

void RaftRuntime::ProposeChange(const RaftMembershipChange& aChange, ProposalCallback aCallback)
{
  boost::asio::post(mStrand, [this, change = aChange, callback = std::move(aCallback)] {
    RaftActions actions;
    {
      const std::lock_guard lock(mMutex);
      Track(mCore->ProposeChange(RuntimeClock::now(), change, actions), callback);
    }
    Perform(std::move(actions));
  });
}

void RaftRuntime::MaintainReplicas(
  std::function<std::optional<RaftMembershipChange>(const RaftCore&, TimePoint)> aDecide)
{
  boost::asio::post(mStrand, [this, decide = std::move(aDecide)] {
    RaftActions actions;
    {
      const std::lock_guard lock(mMutex);
      const TimePoint now = RuntimeClock::now();
      const bool leads = mCore->Role() == RaftRole::Leader;
      const auto change = leads ? decide(*mCore, now) : std::nullopt;
      if (!change) {
        return;
      }
      const auto entry = mCore->ProposeChange(now, *change, actions);
      // A conflict means that an earlier change is not committed yet; the next call tries again.
      LogEvent(entry ? LogLevel::Info : LogLevel::Debug, "membership_change")
        .With("kind", ToJson(change->mKind).get<std::string>())
        .With("replica", change->mReplica)
        .With("address", change->mAddress)
        .With("outcome", entry ? "proposed" : entry.error().mDetail);
    }
    Perform(std::move(actions));
  });
}

RaftMembership RaftRuntime::Members()
{
  const std::lock_guard lock(mMutex);
  return mCore->Members();
}

void RaftRuntime::Track(const Result<EntryId>& aEntry, const ProposalCallback& aCallback)
{
  if (!aEntry) {
    aCallback(aEntry.as_failure());
    return;
  }
  mTracker.Track(aEntry.value());
  mCallbacks[aEntry.value()] = aCallback;
}

void RaftRuntime::Inspect(const std::function<void(const RaftCore&)>& aReader)
{
  const std::lock_guard lock(mMutex);
  aReader(*mCore);
}

void RaftRuntime::TransferLeadership(std::vector<ReplicaId> aAvoided,
                                     std::function<void()> aCallback)
{
  boost::asio::post(mStrand, [this, avoided = std::move(aAvoided),
                              callback = std::move(aCallback)] {
    RaftActions actions;
    {
      const std::lock_guard lock(mMutex);
      if (const auto status = mCore->TransferLeadership(RuntimeClock::now(), {}, actions, avoided);
          !status) {
        LogEvent(LogLevel::Info, "leadership_not_transferred").With(status.error());
      }
    }
    Perform(std::move(actions));
    callback();
  });
}

// Returns whether a write succeeded; otherwise the replica stops.
bool RaftRuntime::CheckStorage(const Status& aStatus)
{
  if (aStatus) {
    return true;
  }
  mFailed = true;
  mStateMachine.OnFatal(aStatus.error());
  return false;
}

void RaftRuntime::Do(PersistAction& aAction)
{
  if (aAction.mHardState && !CheckStorage(mStore->SaveHardState(*aAction.mHardState))) {
    return;
  }
  if (aAction.mTruncateFrom && !CheckStorage(mStore->TruncateFrom(*aAction.mTruncateFrom))) {
    return;
  }
  if (!aAction.mEntries.empty() && !CheckStorage(mStore->Append(aAction.mEntries))) {
    return;
  }
  for (const auto& message : aAction.mMessagesAfterSync) {
    Send(message);
  }
  if (!aAction.mEntries.empty()) {
    PostEvent([last = aAction.mEntries.back().Id()](RaftCore& aCore, TimePoint aNow) {
      return aCore.OnPersisted(aNow, last);
    });
  }
}

void RaftRuntime::Do(SendAction& aAction)
{
  Send(aAction.mMessage);
}

void RaftRuntime::Do(ApplyAction& aAction)
{
  for (const auto& entry : aAction.mEntries) {
    if (entry.mKind == EntryKind::Command) {
      mStateMachine.OnCommand(entry);
    }
    mLastApplied = entry.Id();
    Resolve(mTracker.OnApplied(entry));
  }
  MaybeSnapshot();
}

void RaftRuntime::Do(InstallSnapshotAction& aAction)
{
  const Snapshot& snapshot = *aAction.mSnapshot;
  if (!CheckStorage(mStore->InstallSnapshot(snapshot, aAction.mKeepSuffix))) {
    return;
  }
  if (!snapshot.mState.empty()) {
    if (const auto loaded = mStateMachine.LoadState(snapshot.mState); !loaded) {
      mFailed = true;
      mStateMachine.OnFatal(loaded.error());
      return;
    }
  }
  mLastApplied = snapshot.Id();
  Resolve(mTracker.OnSnapshotInstalled(snapshot.mIndex));
  for (const auto& message : aAction.mMessagesAfterSync) {
    Send(message);
  }
}

void RaftRuntime::Do(RoleChangedAction& aAction)
{
  RaftMembership members;
  {
    const std::lock_guard lock(mMutex);
    members = mCore->Members();
  }
  LogEvent(LogLevel::Info, "role_changed")
    .With("role", ToString(aAction.mRole))
    .With("term", aAction.mTerm)
    .With("leader", aAction.mLeader.value_or(""));
  mStateMachine.OnRole(aAction.mRole, aAction.mTerm, aAction.mLeader.value_or(""), members);
}

void RaftRuntime::Do(PeerRefusedAction& aAction)
{
  LogEvent(LogLevel::Warning, "replica_refused")
    .With("peer", aAction.mPeer)
    .With("reason", aAction.mReason);
}

void RaftRuntime::Do(StopAction& aAction)
{
  mFailed = true;
  mStateMachine.OnFatal(Error{ErrorCode::Conflict, "raft.identity", mSelf, aAction.mReason});
}

void RaftRuntime::Send(const RaftMessage& aMessage)
{
  const std::string address = AddressOf(aMessage.mTo);
  if (address.empty()) {
    return;
  }
  RaftMessage message = aMessage;
  message.mFromAddress = mEndpoint;
  mClients.Post(address, "/v1/raft", EncodeRaftMessage(message), kMessageTimeout,
                [](const auto&) {});
}

void RaftRuntime::Resolve(const std::vector<ProposalResult>& aResults)
{
  for (const auto& result : aResults) {
    if (const auto node = mCallbacks.extract(result.mEntry); !node.empty()) {
      node.mapped()(result.mOutcome);
    }
  }
}

void RaftRuntime::MaybeSnapshot()
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mIndex = mLastApplied.mIndex;
  snapshot->mTerm = mLastApplied.mTerm;
  {
    const std::lock_guard lock(mMutex);
    if (!mCore->SnapshotDue()) {
      return;
    }
    snapshot->mMembership = mCore->CommittedMembers();
  }
  snapshot->mState = mStateMachine.EncodeState();
  if (!CheckStorage(mStore->SaveSnapshot(*snapshot))) {
    return;
  }
  LogEvent(LogLevel::Info, "snapshot_saved")
    .With("index", snapshot->mIndex)
    .With("bytes", snapshot->mState.size());
  const std::lock_guard lock(mMutex);
  mCore->Compact(snapshot);
}

bool RaftRuntime::Confirmed()
{
  const std::lock_guard lock(mMutex);
  return mCore->Confirmed(RuntimeClock::now());
}

bool RaftRuntime::IsLeader()
{
  const std::lock_guard lock(mMutex);
  return mCore->Role() == RaftRole::Leader;
}

std::string RaftRuntime::LeaderAddress()
{
  const std::lock_guard lock(mMutex);
  const auto leader = mCore->Leader();
  return leader ? AddressOfLocked(*leader) : "";
}

std::string RaftRuntime::AddressOf(const ReplicaId& aReplica)
{
  const std::lock_guard lock(mMutex);
  return AddressOfLocked(aReplica);
}

std::string RaftRuntime::AddressOfLocked(const ReplicaId& aReplica) const
{
  if (const auto* info = mCore->Members().Find(aReplica)) {
    return info->mAddress;
  }
  const auto sender = mSenders.find(aReplica);
  return sender == mSenders.end() ? "" : sender->second;
}

Json RaftRuntime::StatusJson()
{
  const std::lock_guard lock(mMutex);
  Json status;
  status["replica"] = mSelf;
  status["role"] = ToString(mCore->Role());
  status["term"] = mCore->CurrentTerm();
  status["leader"] = mCore->Leader().value_or("");
  status["commit_index"] = mCore->CommitIndex();
  status["applied_index"] = mCore->AppliedIndex();
  status["last_index"] = mCore->LastIndex();
  status["confirmed"] = mCore->Confirmed(RuntimeClock::now());
  status["members"] = ToJson(mCore->Members());
  return status;
}

} // namespace dandelionslip
