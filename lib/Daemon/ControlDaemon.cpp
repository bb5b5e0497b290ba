// Connects the cores of a control replica to its disk, its peers, nodes and operators.
#include "dandelionslip/Daemon/ControlDaemon.h"

#include "HttpResponses.h"
#include "RaftRuntime.h"

#include "dandelionslip/Control/DataCentreChanges.h"
#include "dandelionslip/Control/JoinEndpoints.h"
#include "dandelionslip/Control/JoinRequest.h"
#include "dandelionslip/Control/MembershipCore.h"
#include "dandelionslip/Control/PosixFileSystem.h"
#include "dandelionslip/Control/ReplicaDeparture.h"
#include "dandelionslip/Control/ReplicaRepairPlanner.h"
#include "dandelionslip/Control/SubmittedCommand.h"
#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Support/Hash.h"
#include "dandelionslip/Support/InputAge.h"
#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <set>

namespace dandelionslip {

namespace {

constexpr Milliseconds kTick{20};
constexpr Milliseconds kPeerTimeout{1'000};
// An operator's command that no quorum has committed is answered with outcome_unknown after this
// time.
constexpr Milliseconds kCommandTimeout{5'000};
constexpr Milliseconds kResubmitDelay{40};   // Before an undecided command is submitted again.
constexpr Milliseconds kForwardTimeout{500}; // For the leader's answer to a forwarded command.
// Interval of the join requests of a replica that has no vote yet.
constexpr Milliseconds kNonVoterJoinInterval{200};
// A voter repeats its join request too: the leader then deletes the requests of other identities at
// the same address, which would mark the voter as replaceable. Below
// ReplicaRepairSettings::mJoinLifetime.
constexpr Milliseconds kVoterJoinInterval{800};
constexpr Milliseconds kReplicaCheckInterval{100};
constexpr int kFatalExit = 3;

// Computes the identity of an initial replica from its node name or endpoint, so that all initial
// replicas write the same first membership without communication.
ReplicaId InitialReplicaId(const std::string& aNameOrEndpoint)
{
  const std::uint64_t high = Hash64(aNameOrEndpoint, 1);
  const std::uint64_t low = Hash64(aNameOrEndpoint, 2);
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-8%03x-8%03x-%012llx",
                static_cast<unsigned>(high >> 32U), static_cast<unsigned>((high >> 16U) & 0xffffU),
                static_cast<unsigned>(high & 0xfffU), static_cast<unsigned>(low >> 52U),
                static_cast<unsigned long long>(low & 0xffffffffffffULL));
  return text.data();
}

RaftMembership InitialMembership(const ControlSettings& aSettings)
{
  RaftMembership membership;
  for (const auto& endpoint : aSettings.mInitialReplicas) {
    membership.mReplicas[InitialReplicaId(endpoint)] = {endpoint, true, 0};
  }
  if (!aSettings.mInitialReplicas.empty()) {
    return membership;
  }
  membership.mReplicas[InitialReplicaId(aSettings.mNode)] = {aSettings.mEndpoint, true, 0};
  for (const auto& peer : aSettings.mPeers) {
    membership.mReplicas[InitialReplicaId(peer.mName)] = {peer.mEndpoint, true, 0};
  }
  return membership;
}

RaftSettings RaftSettingsFrom(const ControlSettings& aSettings)
{
  RaftSettings settings;
  settings.mHeartbeat = aSettings.mHeartbeat;
  settings.mElectionMin = aSettings.mElectionTimeoutMin;
  settings.mElectionMax = aSettings.mElectionTimeoutMax;
  settings.mFirstElectionTimeout = aSettings.mFirstElectionTimeout;
  settings.mSnapshotEntries = aSettings.mSnapshotEntries;
  settings.mSnapshotBytes = aSettings.mSnapshotBytes;
  return settings;
}

// Whether this replica writes the group's first membership. Initial replicas that the settings list
// by endpoint are identified by the endpoint, because they do not know each other's names.
bool BootstrapsGroup(const ControlSettings& aSettings, const ControlStart& aStart)
{
  const auto& initialReplicas = aSettings.mInitialReplicas;
  return aStart.mBootstrap &&
         (initialReplicas.empty() || std::find(initialReplicas.begin(), initialReplicas.end(),
                                               aSettings.mEndpoint) != initialReplicas.end());
}

ReplicaRepairSettings RepairSettingsFrom(const ControlSettings& aSettings)
{
  ReplicaRepairSettings settings;
  settings.mTargetVoters = aSettings.mTargetVoters;
  return settings;
}

// Leaves time for the rest of a planned stop; see ControlDaemon::EndProcess().
ReplicaDepartureSettings DepartureSettingsFrom(const ControlSettings& aSettings)
{
  ReplicaDepartureSettings settings;
  settings.mLimit =
    std::max(Milliseconds{0},
             aSettings.mStopDeadline - aSettings.mElectionTimeoutMin - aSettings.mHeartbeat);
  settings.mTransferPause = aSettings.mElectionTimeoutMax;
  return settings;
}

MembershipSettings MembershipSettingsFrom(const ControlSettings& aSettings)
{
  MembershipSettings settings;
  settings.mLease = aSettings.mLease;
  settings.mSummaryInterval = aSettings.mSummaryInterval;
  return settings;
}

Result<std::unique_ptr<LogStore>> OpenStore(PosixFileSystem& aFiles,
                                            const ControlSettings& aSettings,
                                            const ControlStart& aStart, Random& aRandom)
{
  LogStoreSettings storeSettings;
  storeSettings.mDirectory = aSettings.mDataFolder;
  const bool bootstraps = BootstrapsGroup(aSettings, aStart);
  if (bootstraps) {
    storeSettings.mReplica =
      InitialReplicaId(aSettings.mInitialReplicas.empty() ? aSettings.mNode : aSettings.mEndpoint);
  }
  auto store = LogStore::Open(aFiles, storeSettings, aRandom);
  if (!store) {
    return store;
  }
  if (!bootstraps) {
    const bool emptyLog = store.value()->LastIndex() == 0;
    if (emptyLog && !aSettings.mJoin) {
      return Fail(
        ErrorCode::InvalidInput, "control.start", aSettings.mDataFolder,
        "the data folder is empty: create a new group with --bootstrap, or set \"join\" for "
        "a replica that joins an existing group");
    }
    return store;
  }
  // An initial replica keeps its log when it restarts while its settings still say to bootstrap.
  if (!aSettings.mInitialReplicas.empty() && store.value()->LastIndex() != 0) {
    return store;
  }
  if (const auto written = store.value()->Bootstrap(InitialMembership(aSettings)); !written) {
    return written.as_failure();
  }
  return store;
}

class ControlDaemon
  : public RaftStateMachine
  , public ControlInterface
{
public:
  /// aJoinEndpoints outlives the daemon, and so the identity of its store.
  ControlDaemon(const ControlSettings& aSettings, std::unique_ptr<LogStore> aStore, Random aRandom,
                JoinEndpoints& aJoinEndpoints, const ControlStart& aStart)
    : mSettings(aSettings)
    , mReadSeeds(aStart.mReadSeeds)
    , mReadTerms(aStart.mReadTerms)
    , mPool(aSettings.mWorkers)
    , mClients(mPool.Loop())
    , mRaft(mPool.Loop(), mClients, *this, aSettings.mEndpoint, std::move(aStore),
            RaftSettingsFrom(aSettings), aRandom)
    , mJoinEndpoints(aJoinEndpoints)
    , mMembershipCore(mRaft.Self(), MembershipSettingsFrom(aSettings))
    , mRepairPlanner(RepairSettingsFrom(aSettings))
  {
  }

  Result<int> Run(const ControlAdapterFactory& aAdapter)
  {
    if (const auto started = mRaft.Start(); !started) {
      return started.as_failure();
    }
    const auto endpoint = Endpoint::Parse(mSettings.mEndpoint);
    auto server = Http2Server::Listen(mPool.Loop(), endpoint.value(),
                                      [this](auto aExchange) { OnRequest(aExchange); });
    if (!server) {
      return server.as_failure();
    }
    mServer = std::move(server.value());
    if (const auto metrics = StartMetrics(); !metrics) {
      return metrics.as_failure();
    }
    if (aAdapter) {
      auto adapter = aAdapter(*this);
      if (!adapter) {
        return adapter.as_failure();
      }
      mAdapter = std::move(adapter.value());
    }
    mTimer = std::make_unique<RepeatingTimer>(mPool.Loop(), kTick, [this] { OnTick(); });
    if (mSettings.mTargetVoters > 0) {
      mReplicaTimer = std::make_unique<RepeatingTimer>(mPool.Loop(), kReplicaCheckInterval,
                                                       [this] { MaintainReplicas(); });
    }
    mPool.OnStop([this] { Stop(); });
    mPool.OnReload([this] { ReloadSeeds(); });
    LogEvent(LogLevel::Info, "started")
      .With("replica", mRaft.Self())
      .With("endpoint", mSettings.mEndpoint)
      .With("version", DANDELIONSLIP_VERSION);
    return mPool.Run();
  }

  void OnCommand(const LogEntry& aEntry) override
  {
    const auto command = FromCbor<Command>(aEntry.mPayload, "log entry");
    if (!command) {
      // Every replica gets the same bytes, so all replicas skip the entry.
      LogEvent(LogLevel::Error, "entry_not_decoded")
        .With("index", aEntry.mIndex)
        .With(command.error());
      return;
    }
    CommandAnswer answer;
    {
      const std::lock_guard lock(mMutex);
      answer = mMembershipCore.OnCommitted(aEntry.mIndex, command.value());
      mLastAnswer = answer;
      mDataCentreChanges.Note(mMembershipCore.Store().Current(), RuntimeClock::now());
    }
    mRegistry
      .CounterFor("dandelionslip_commands_total",
                  "outcome=\"" + ToJson(answer.mOutcome).get<std::string>() + "\"")
      .Add();
    LogEvent(LogLevel::Info, "command_applied")
      .With("publication_id", command.value().mPublicationId)
      .With("operator", command.value().mOperator)
      .With("outcome", ToJson(answer.mOutcome).get<std::string>())
      .With("revision", aEntry.mIndex)
      .With("detail", answer.mDetail);
  }

  Result<void> LoadState(std::span<const std::uint8_t> aState) override
  {
    const auto state = DecodeCbor(aState, "snapshot");
    if (!state) {
      return state.as_failure();
    }
    const std::lock_guard lock(mMutex);
    auto loaded = mMembershipCore.OnSnapshot(state.value());
    mDataCentreChanges.Note(mMembershipCore.Store().Current(), RuntimeClock::now());
    return loaded;
  }

  Bytes EncodeState() override
  {
    const std::lock_guard lock(mMutex);
    return EncodeCbor(mMembershipCore.Store().Snapshot());
  }

  void OnRole(RaftRole aRole, Term aTerm, const std::string& aLeader,
              const RaftMembership& aMembers) override
  {
    RaftStatus change{aTerm, aRole == RaftRole::Leader, aLeader, {}};
    for (const auto& [id, info] : aMembers.mReplicas) {
      if (info.mVoter) {
        change.mVoters.push_back(id);
      }
    }
    const std::lock_guard lock(mMutex);
    mMembershipCore.OnRaftStatus(change, RuntimeClock::now());
    if (change.mLeading && mNewestLedTerm != aTerm) {
      mNewestLedTerm = aTerm;
      mRepairPlanner.OnBecameLeader(RuntimeClock::now());
    }
  }

  void OnFatal(const Error& aError) override
  {
    LogEvent(LogLevel::Error, "replica_stopped").With(aError);
    const bool identityRefused = aError.mStep == "raft.identity";
    // A replica that was told to stop does not join again.
    const bool mayEnd = identityRefused && mStopping;
    mIdentityRefused = identityRefused && !mStopping;
    mPool.Exit(mayEnd ? 0 : kFatalExit);
  }

  /// Whether the replica stopped because the group no longer accepts its identity.
  bool IdentityRefused() const { return mIdentityRefused; }

  void Submit(Command aCommand, CommandSender aSender,
              std::function<void(const CommandAnswer&)> aCallback) override
  {
    std::shared_ptr<SubmitCall> call;
    {
      const std::lock_guard lock(mMutex);
      call = std::make_shared<SubmitCall>(SubmitCall{
        {std::move(aCommand), mMembershipCore.Store().Current(), mDataCentreChanges,
         CommandTimes{aSender.mConnectedAt, mInputAge.EarliestArrival(aSender.mConnectedAt),
                      RuntimeClock::now()}},
        std::move(aSender.mWaits),
        std::move(aCallback)});
    }
    TrySubmit(call);
  }

  Result<std::string> ConfirmedRouteDocument() override
  {
    if (!mRaft.Confirmed()) {
      return Fail(ErrorCode::Unavailable, "routes.read", mRaft.LeaderAddress(),
                  "no quorum has confirmed this replica's state recently");
    }
    const std::lock_guard lock(mMutex);
    if (mMembershipCore.Store().Current().mRoutes.mVersion == 0) {
      return Fail(ErrorCode::NotFound, "routes.read", "", "no route table was published yet");
    }
    return mMembershipCore.Store().RouteDocument();
  }

  boost::asio::io_context& Loop() override { return mPool.Loop(); }

private:
  using Handler = void (ControlDaemon::*)(const std::shared_ptr<HttpExchange>&);

  /// A command of the adapter that is not decided yet.
  struct SubmitCall
  {
    SubmittedCommand mCommand;
    std::function<bool()> mSenderWaits;
    std::function<void(const CommandAnswer&)> mCallback;
    CommandAnswer mLastAnswer{CommandOutcome::NotApplied, 0,
                              "the command may have been held up while its sender sent it to "
                              "another replica; send it again if it still holds"};
  };

  struct PathHandler
  {
    std::string_view mPath;
    Handler mHandler;
  };

  Result<void> StartMetrics()
  {
    if (mSettings.mMetricsEndpoint.empty()) {
      return Ok();
    }
    auto endpoint =
      MetricsEndpoint::Listen(mPool.Loop(), Endpoint::Parse(mSettings.mMetricsEndpoint).value(),
                              mRegistry, [this] { RefreshMetrics(); });
    if (!endpoint) {
      return endpoint.as_failure();
    }
    mMetrics = std::move(endpoint.value());
    return Ok();
  }

  void RefreshMetrics()
  {
    const Json status = mRaft.StatusJson();
    mRegistry.GaugeFor("dandelionslip_raft_term").Set(status["term"].get<double>());
    mRegistry.GaugeFor("dandelionslip_raft_commit_index").Set(status["commit_index"].get<double>());
    mRegistry.GaugeFor("dandelionslip_raft_leader").Set(status["role"] == "leader" ? 1 : 0);
    mRegistry.GaugeFor("dandelionslip_raft_confirmed").Set(status["confirmed"] == true ? 1 : 0);
    const std::lock_guard lock(mMutex);
    mRegistry.GaugeFor("dandelionslip_configuration_revision")
      .Set(static_cast<double>(mMembershipCore.Store().Current().mRevision));
    mRegistry.GaugeFor("dandelionslip_view_revision")
      .Set(static_cast<double>(mMembershipCore.CurrentView().mRevision));
    mRegistry.GaugeFor("dandelionslip_view_members")
      .Set(static_cast<double>(mMembershipCore.CurrentView().mMembers.size()));
  }

  void OnTick()
  {
    mRaft.Tick();
    std::vector<MembershipAction> actions;
    {
      const std::lock_guard lock(mMutex);
      mInputAge.NoteTurn(RuntimeClock::now());
      actions = mMembershipCore.OnTick(RuntimeClock::now());
    }
    for (auto& action : actions) {
      std::visit([this](auto& aAction) { Send(aAction); }, action);
    }
  }

  // Proposes the command here or passes it to the leader, unless its sender no longer waits.
  void TrySubmit(const std::shared_ptr<SubmitCall>& aCall)
  {
    const SubmittedCommand& command = aCall->mCommand;
    if (command.Expired(RuntimeClock::now()) ||
        (command.MayBeOvertaken() && !aCall->mSenderWaits())) {
      aCall->mCallback(aCall->mLastAnswer);
      return;
    }
    if (mRaft.IsLeader()) {
      ProposeCommand(command.Encoded(),
                     [this, aCall](const auto& aAnswer) { OnSubmitAnswer(aCall, aAnswer); });
      return;
    }
    const std::string leader = mRaft.LeaderAddress();
    if (leader.empty() || leader == mSettings.mEndpoint) {
      OnSubmitAnswer(aCall, {CommandOutcome::NotApplied, 0, "no leader is known"});
      return;
    }
    mClients.Post(leader, "/v1/command", command.Encoded(), kForwardTimeout,
                  [this, aCall, leader](const Result<Bytes>& aResult) {
                    const auto answer = aResult ? FromCbor<CommandAnswer>(aResult.value(), leader)
                                                : Result<CommandAnswer>(aResult.as_failure());
                    OnSubmitAnswer(aCall, answer ? answer.value()
                                                 : CommandAnswer{CommandOutcome::OutcomeUnknown, 0,
                                                                 answer.error().Message()});
                  });
  }

  // Passes on a decided answer, or submits the command again while time is left. This is safe: the
  // state machine applies a publication id once.
  void OnSubmitAnswer(const std::shared_ptr<SubmitCall>& aCall, const CommandAnswer& aAnswer)
  {
    const bool undecided = SubmittedCommand::Undecided(aAnswer);
    // A copy whose outcome is unknown may still be applied, also if a later copy was not.
    if (!undecided || aCall->mLastAnswer.mOutcome != CommandOutcome::OutcomeUnknown) {
      aCall->mLastAnswer = aAnswer;
    }
    if (!undecided || aCall->mCommand.Expired(RuntimeClock::now() + kResubmitDelay)) {
      aCall->mCallback(aCall->mLastAnswer);
      return;
    }
    CallAfter(mPool.Loop(), kResubmitDelay, [this, aCall] { TrySubmit(aCall); });
  }

  // Whether commands must wait for more voters. As long as no route table is published, they wait
  // until the group has all its voters. Otherwise the first table could be lost with fewer disks
  // than the deployment is built to lose at once.
  bool MustAwaitVoters()
  {
    if (mSettings.mTargetVoters == 0) {
      return false;
    }
    const std::size_t voters = mRaft.Members().VoterCount();
    const std::lock_guard lock(mMutex);
    return mMembershipCore.Store().Current().mRoutes.mVersion == 0 &&
           voters < mSettings.mTargetVoters;
  }

  void ProposeCommand(const Bytes& aBody, std::function<void(const CommandAnswer&)> aCallback)
  {
    if (MustAwaitVoters()) {
      aCallback(
        {CommandOutcome::NotApplied, 0,
         "the control group does not have all its voters yet; try again when all have joined"});
      return;
    }
    mRaft.Propose(aBody, [this, callback = std::move(aCallback)](auto aResult) {
      callback(AnswerFor(aResult));
    });
  }

  // Sends join requests and, as the leader, replaces lost replicas.
  void MaintainReplicas()
  {
    const TimePoint now = RuntimeClock::now();
    const RaftMembership members = mRaft.Members();
    const Milliseconds interval =
      members.IsVoter(mRaft.Self()) ? kVoterJoinInterval : kNonVoterJoinInterval;
    // A stopping replica sends no join request: it would count as started again.
    if (!mStopping && (!mJoinSentAt || now - *mJoinSentAt >= interval)) {
      mJoinSentAt = now;
      SendJoin(members);
    }
    ProposeNextChange();
  }

  void ProposeNextChange()
  {
    mRaft.MaintainReplicas([this](const RaftCore& aCore, TimePoint aNow) {
      const std::lock_guard lock(mMutex);
      return mRepairPlanner.Next(GroupOf(aCore), aNow);
    });
  }

  // The returned value refers to aCore.
  ReplicaGroup GroupOf(const RaftCore& aCore) const
  {
    return {.mMembers = aCore.Members(),
            .mSelf = mRaft.Self(),
            .mTerm = aCore.CurrentTerm(),
            .mMembersCommitted = aCore.CommittedMembers() == aCore.Members(),
            .mCommitIndex = aCore.CommitIndex(),
            .mMatchIndexOf = [&aCore](const ReplicaId& aId) { return aCore.MatchIndexOf(aId); }};
  }

  void SendJoin(const RaftMembership& aMembers)
  {
    if (mRaft.IsLeader()) {
      return;
    }
    const std::string leader = mRaft.LeaderAddress();
    bool seedsAreDue = false;
    {
      const std::lock_guard lock(mMutex);
      seedsAreDue = mJoinEndpoints.SeedsAreDue(!leader.empty(), RuntimeClock::now());
    }
    if (seedsAreDue) {
      ReloadSeeds();
    }
    std::set<std::string> targets;
    std::set<std::string> observers;
    {
      const std::lock_guard lock(mMutex);
      mJoinEndpoints.OnMembers(aMembers);
      targets = mJoinEndpoints.Targets(leader);
      if (aMembers.IsVoter(mRaft.Self())) {
        observers = mJoinEndpoints.Observers(leader);
      }
    }
    JoinRequest request{mRaft.Self(), mSettings.mEndpoint, false};
    PostJoin(targets, request);
    // Shows the other members that this voter runs, because one of them may be the next leader.
    // They do not pass on what is marked as forwarded.
    request.mForwarded = true;
    PostJoin(observers, request);
  }

  void PostJoin(const std::set<std::string>& aEndpoints, const JoinRequest& aRequest)
  {
    const Bytes body = ToCbor(aRequest);
    for (const std::string& endpoint : aEndpoints) {
      mClients.Post(endpoint, "/v1/join", body, kPeerTimeout, [](const auto&) {});
    }
  }

  void ReloadSeeds()
  {
    if (!mReadSeeds) {
      return;
    }
    std::vector<std::string> seeds = mReadSeeds();
    const std::string first = seeds.empty() ? "" : seeds.front();
    const std::lock_guard lock(mMutex);
    if (mJoinEndpoints.SetSeeds(std::move(seeds))) {
      LogEvent(LogLevel::Info, "seeds_changed").With("first", first);
    }
  }

  void OnJoin(const std::shared_ptr<HttpExchange>& aExchange)
  {
    auto decoded = DecodeJoinRequest(aExchange->Request().mBody, aExchange->Peer());
    if (!decoded) {
      mRegistry.CounterFor("dandelionslip_malformed_messages_total").Add();
      RespondError(*aExchange, kStatusBadRequest, decoded.error().Message());
      return;
    }
    JoinRequest& request = decoded.value();
    mRaft.ReceiveJoin(request.mReplica, request.mAddress);
    if (mRaft.IsLeader()) {
      const std::lock_guard lock(mMutex);
      mRepairPlanner.OnJoinRequest(request.mReplica, request.mAddress, RuntimeClock::now());
    } else {
      {
        const std::lock_guard lock(mMutex);
        mRepairPlanner.OnMessageFrom(request.mReplica, RuntimeClock::now());
      }
      if (const std::string leader = mRaft.LeaderAddress();
          !request.mForwarded && !leader.empty()) {
        request.mForwarded = true;
        mClients.Post(leader, "/v1/join", ToCbor(request), kPeerTimeout, [](const auto&) {});
      }
    }
    aExchange->Respond({});
  }

  void OnLeave(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto request = Decode<LeaveRequest>(aExchange);
    if (!request) {
      return;
    }
    LeaveAnswer answer;
    mRaft.Inspect([&](const RaftCore& aCore) {
      if (aCore.Role() != RaftRole::Leader) {
        return;
      }
      const std::lock_guard lock(mMutex);
      answer.mState = mRepairPlanner.OnLeaveRequest(*request, GroupOf(aCore), RuntimeClock::now());
    });
    RespondCbor(*aExchange, answer);
    if (answer.mState == LeaveState::Wait) {
      ProposeNextChange();
    }
  }

  void Send(const SendSummary& aAction)
  {
    PostToReplica<SummaryAnswer>(aAction.mTo, "/v1/summary", ToCbor(aAction.mSummary),
                                 &MembershipCore::OnSummaryAnswer);
  }

  void Send(const SendViewUpdate& aAction)
  {
    PostToReplica<ViewUpdateAnswer>(aAction.mTo, "/v1/view", ToCbor(aAction.mUpdate),
                                    &MembershipCore::OnViewUpdateAnswer);
  }

  // Posts a message to a replica and passes the decoded answer to the membership core.
  template <typename Answer>
  void PostToReplica(const ReplicaId& aTo, const char* aPath, const Bytes& aBody,
                     void (MembershipCore::*aHandler)(const Answer&))
  {
    const std::string address = mRaft.AddressOf(aTo);
    mClients.Post(address, aPath, aBody, kPeerTimeout, [this, address, aHandler](auto aResult) {
      if (!aResult) {
        return;
      }
      const auto answer = FromCbor<Answer>(aResult.value(), address);
      if (!answer) {
        LogEvent(LogLevel::Warning, "answer_not_decoded").With(answer.error());
        return;
      }
      const std::lock_guard lock(mMutex);
      (mMembershipCore.*aHandler)(answer.value());
    });
  }

  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    static constexpr std::array<PathHandler, 11> kPathHandlers{{
      {"/v1/announce", &ControlDaemon::OnAnnounce},
      {"/v1/raft", &ControlDaemon::OnRaft},
      {"/v1/join", &ControlDaemon::OnJoin},
      {"/v1/leave", &ControlDaemon::OnLeave},
      {"/v1/summary", &ControlDaemon::OnSummary},
      {"/v1/view", &ControlDaemon::OnView},
      {"/v1/state", &ControlDaemon::OnStateRequest},
      {"/v1/route-terms", &ControlDaemon::OnRouteTermsRequest},
      {"/v1/command", &ControlDaemon::OnCommandRequest},
      {"/v1/replica", &ControlDaemon::OnReplicaRequest},
      {"/v1/status", &ControlDaemon::OnStatusRequest},
    }};
    for (const auto& [path, handler] : kPathHandlers) {
      if (path == aExchange->Request().mPath) {
        (this->*handler)(aExchange);
        return;
      }
    }
    RespondError(*aExchange, kStatusNotFound, "no such path");
  }

  // Decodes the body or answers with the error.
  template <typename T>
  std::optional<T> Decode(const std::shared_ptr<HttpExchange>& aExchange)
  {
    auto value = FromCbor<T>(aExchange->Request().mBody, aExchange->Peer());
    if (!value) {
      mRegistry.CounterFor("dandelionslip_malformed_messages_total").Add();
      RespondError(*aExchange, kStatusBadRequest, value.error().Message());
      return std::nullopt;
    }
    return std::move(value.value());
  }

  void OnAnnounce(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto announcement = Decode<Announcement>(aExchange);
    if (!announcement) {
      return;
    }
    const bool confirmed = mRaft.Confirmed();
    AnnouncementAnswer answer;
    {
      const std::lock_guard lock(mMutex);
      answer = mMembershipCore.OnAnnouncement(*announcement, confirmed, RuntimeClock::now());
    }
    if (confirmed) {
      for (const auto& [id, info] : mRaft.Members().mReplicas) {
        answer.mControlEndpoints.push_back(info.mAddress);
      }
    }
    RespondCbor(*aExchange, answer);
  }

  // The terms come from the document, because the route table keeps the format of the last release.
  void OnRouteTermsRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto document = ConfirmedRouteDocument();
    if (!document || !mReadTerms) {
      RespondError(*aExchange, document ? kStatusNotFound : kStatusUnavailable,
                   document ? "routes have no terms" : document.error().Message());
      return;
    }
    const std::lock_guard lock(mTermsMutex);
    if (!mTerms || mTermsDocument != document.value()) {
      auto terms = mReadTerms(document.value());
      if (!terms) {
        RespondError(*aExchange, kStatusUnavailable, terms.error().Message());
        return;
      }
      mTermsDocument = document.value();
      mTerms = std::move(terms.value());
    }
    RespondCbor(*aExchange, *mTerms);
  }

  void OnRaft(const std::shared_ptr<HttpExchange>& aExchange)
  {
    auto message = DecodeRaftMessage(aExchange->Request().mBody, aExchange->Peer());
    if (!message) {
      mRegistry.CounterFor("dandelionslip_malformed_messages_total").Add();
      RespondError(*aExchange, kStatusBadRequest, message.error().Message());
      return;
    }
    {
      const std::lock_guard lock(mMutex);
      mRepairPlanner.OnMessageFrom(message.value().mFrom, RuntimeClock::now());
    }
    mRaft.Receive(std::move(message.value()));
    aExchange->Respond({});
  }

  void OnSummary(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto summary = DecodeMemberSummary(aExchange->Request().mBody, aExchange->Peer());
    if (!summary) {
      RespondError(*aExchange, kStatusBadRequest, summary.error().Message());
      return;
    }
    SummaryAnswer answer;
    {
      const std::lock_guard lock(mMutex);
      answer = mMembershipCore.OnSummary(summary.value(), RuntimeClock::now());
    }
    RespondCbor(*aExchange, answer);
  }

  void OnView(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto update = DecodeViewUpdate(aExchange->Request().mBody, aExchange->Peer());
    if (!update) {
      RespondError(*aExchange, kStatusBadRequest, update.error().Message());
      return;
    }
    ViewUpdateAnswer answer;
    {
      const std::lock_guard lock(mMutex);
      answer = mMembershipCore.OnViewUpdate(update.value());
    }
    RespondCbor(*aExchange, answer);
  }

  // Sends the whole state to a node that starts, or none if no quorum has confirmed this replica.
  void OnStateRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    AnnouncementAnswer answer;
    answer.mConfirmed = mRaft.Confirmed();
    if (answer.mConfirmed) {
      const std::lock_guard lock(mMutex);
      answer.mConfiguration = mMembershipCore.Store().Current();
      answer.mView = mMembershipCore.CurrentView();
      answer.mConfigurationRevision = answer.mConfiguration->mRevision;
      answer.mViewRevision = answer.mView->mRevision;
    }
    RespondCbor(*aExchange, answer);
  }

  void OnCommandRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto command = Decode<Command>(aExchange);
    if (!command) {
      return;
    }
    CallAfter(mPool.Loop(), kCommandTimeout, [aExchange] {
      RespondCbor(*aExchange,
                  CommandAnswer{CommandOutcome::OutcomeUnknown, 0,
                                "no quorum answered in time; resend with the same publication id"});
    });
    ProposeCommand(aExchange->Request().mBody,
                   [aExchange](const auto& aAnswer) { RespondCbor(*aExchange, aAnswer); });
  }

  // Runs on the Raft strand. For a command it runs right after OnCommand for the same entry, so
  // mLastAnswer is its answer. A membership change has no OnCommand: mLastAnswer then belongs to an
  // earlier command, and OnReplicaRequest replaces the returned answer.
  CommandAnswer AnswerFor(const Result<ProposalOutcome>& aResult)
  {
    if (!aResult) {
      return {CommandOutcome::NotApplied, 0, aResult.error().Message()};
    }
    if (aResult.value() == ProposalOutcome::NotApplied) {
      return {CommandOutcome::NotApplied, 0,
              "the entry of another leader replaced this entry in the log"};
    }
    if (aResult.value() == ProposalOutcome::Applied) {
      const std::lock_guard lock(mMutex);
      return mLastAnswer;
    }
    return {CommandOutcome::OutcomeUnknown, 0,
            "the outcome is unknown; resend with the same publication id"};
  }

  void OnReplicaRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto change = Decode<RaftMembershipChange>(aExchange);
    if (!change) {
      return;
    }
    mRaft.ProposeChange(*change, [this, aExchange](auto aResult) {
      CommandAnswer answer = AnswerFor(aResult);
      if (aResult && aResult.value() == ProposalOutcome::Applied) {
        answer = {CommandOutcome::Applied, 0, ""};
      }
      RespondCbor(*aExchange, answer);
    });
  }

  void OnStatusRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    Json status = mRaft.StatusJson();
    status["node"] = mSettings.mNode;
    status["leader_endpoint"] = mRaft.LeaderAddress();
    {
      const std::lock_guard lock(mMutex);
      status["configuration"] = ToJson(mMembershipCore.Store().Current());
      status["view"] = ToJson(mMembershipCore.CurrentView());
    }
    HttpResponse response;
    response.mBody = EncodeCbor(status);
    aExchange->Respond(std::move(response));
  }

  // Lets a learner take over this replica's vote, if there is one, and ends the process. Only where
  // the leader maintains the voters: otherwise the operator replaces replicas.
  void Stop()
  {
    if (mSettings.mTargetVoters == 0) {
      EndProcess();
      return;
    }
    mStopping = true;
    {
      const std::lock_guard lock(mMutex);
      mDeparture.emplace(DepartureSettingsFrom(mSettings), RuntimeClock::now());
    }
    mDepartureTimer =
      std::make_unique<RepeatingTimer>(mPool.Loop(), kTick, [this] { ContinueDeparture(); });
  }

  void ContinueDeparture()
  {
    DepartureView view;
    std::optional<LeaderStamp> stamp;
    mRaft.Inspect([&](const RaftCore& aCore) {
      stamp = aCore.NewestLeaderStamp();
      view.mLeads = aCore.Role() == RaftRole::Leader;
      view.mLeaderKnown = stamp.has_value();
      view.mOtherLearner = aCore.Members().HasLearnerBesides(mRaft.Self());
    });
    DepartureStep step{};
    std::vector<ReplicaId> leaving;
    {
      const std::lock_guard lock(mMutex);
      if (!mDeparture) {
        return;
      }
      step = mDeparture->Next(view, RuntimeClock::now());
      leaving = mRepairPlanner.Leaving();
      if (step == DepartureStep::End) {
        mDeparture.reset();
      }
    }
    switch (step) {
      case DepartureStep::Wait:
        break;
      case DepartureStep::TransferLeadership:
        mRaft.TransferLeadership(std::move(leaving), [] {});
        break;
      case DepartureStep::AskLeader:
        SendLeave(*stamp);
        break;
      case DepartureStep::End:
        EndProcess();
        break;
    }
  }

  void SendLeave(const LeaderStamp& aStamp)
  {
    const std::string leader = mRaft.LeaderAddress();
    if (leader.empty()) {
      return;
    }
    mClients.Post(leader, "/v1/leave", ToCbor(LeaveRequest{mRaft.Self(), aStamp}), kPeerTimeout,
                  [this, leader](const Result<Bytes>& aResult) {
                    const auto answer = aResult ? FromCbor<LeaveAnswer>(aResult.value(), leader)
                                                : Result<LeaveAnswer>(aResult.as_failure());
                    const std::lock_guard lock(mMutex);
                    if (!mDeparture) {
                      return;
                    }
                    if (answer) {
                      const LeaveState state = answer.value().mState;
                      if (mLeaveState != state) {
                        mLeaveState = state;
                        LogEvent(LogLevel::Info, "leave_answered")
                          .With("leader", leader)
                          .With("state", ToJson(state).get<std::string>());
                      }
                      mDeparture->OnAnswer(state);
                    } else if (answer.error().mCode == ErrorCode::NotFound) {
                      mDeparture->OnUnsupported();
                    }
                  });
  }

  // Transfers leadership, waits for the minimal election timeout so that a new leader can be
  // elected, then for one heartbeat interval so that open requests can end, and exits.
  void EndProcess()
  {
    std::vector<ReplicaId> leaving;
    {
      const std::lock_guard lock(mMutex);
      leaving = mRepairPlanner.Leaving();
    }
    mRaft.TransferLeadership(std::move(leaving), [this] {
      CallAfter(mPool.Loop(), mSettings.mElectionTimeoutMin, [this] {
        mServer->StopAccepting();
        CallAfter(mPool.Loop(), mSettings.mHeartbeat, [this] {
          LogEvent(LogLevel::Info, "stopped").With("open_requests", mServer->OpenRequests());
          mPool.Exit(0);
        });
      });
    });
  }

  ControlSettings mSettings;
  SeedReader mReadSeeds;
  RouteTermsReader mReadTerms;
  std::mutex mTermsMutex; ///< Guards the two members below.
  std::string mTermsDocument;
  std::optional<RouteTerms> mTerms; ///< Of mTermsDocument.
  WorkerPool mPool;
  Http2ClientPool mClients;
  MetricsRegistry mRegistry;
  RaftRuntime mRaft;
  /// Guards mInputAge, mDataCentreChanges, mMembershipCore, mLastAnswer, mRepairPlanner,
  /// mNewestLedTerm, mJoinEndpoints, mDeparture and mLeaveState; taken after the mutex of the Raft
  /// core.
  std::mutex mMutex;
  InputAge mInputAge{RuntimeClock::now()};
  DataCentreChanges mDataCentreChanges;
  JoinEndpoints& mJoinEndpoints;
  MembershipCore mMembershipCore;
  CommandAnswer mLastAnswer; ///< Of the newest applied command.
  std::unique_ptr<Http2Server> mServer;
  std::unique_ptr<MetricsEndpoint> mMetrics;
  std::unique_ptr<RepeatingTimer> mTimer;
  ReplicaRepairPlanner mRepairPlanner;
  std::uint64_t mNewestLedTerm = 0; ///< Newest term in which this replica was the leader.
  std::unique_ptr<RepeatingTimer> mReplicaTimer;
  std::optional<TimePoint> mJoinSentAt;
  std::atomic<bool> mStopping = false;        ///< This replica was told to stop.
  std::optional<ReplicaDeparture> mDeparture; ///< Set while this replica waits to end.
  std::optional<LeaveState> mLeaveState;      ///< The last answer of a leader.
  std::unique_ptr<RepeatingTimer> mDepartureTimer;
  bool mIdentityRefused = false;
  std::unique_ptr<ControlAdapter> mAdapter;
};

} // namespace

Result<int> RunControl(const ControlSettings& aSettings, const ControlStart& aStart)
{
  InitialiseLog("dandelionslip-control", aSettings.mNode, aSettings.mLogLevel);
  PosixFileSystem files;
  Random random(SystemSeed());
  ControlStart start = aStart;
  JoinEndpoints joinEndpoints(aSettings.mEndpoint, aSettings.mInitialReplicas);
  while (true) {
    auto store = OpenStore(files, aSettings, start, random);
    if (!store) {
      return store.as_failure();
    }
    ControlDaemon daemon(aSettings, std::move(store.value()), Random(random.Next()), joinEndpoints,
                         start);
    auto code = daemon.Run(start.mAdapter);
    if (!code || !daemon.IdentityRefused() || !aSettings.mJoin) {
      return code;
    }
    // The group replaced this replica while it was not running or not reachable, so it joins again
    // under a new identity.
    start.mBootstrap = false;
    if (const auto discarded = LogStore::Discard(files, aSettings.mDataFolder); !discarded) {
      return discarded.as_failure();
    }
    LogEvent(LogLevel::Warning, "data_discarded").With("folder", aSettings.mDataFolder);
  }
}

} // namespace dandelionslip
