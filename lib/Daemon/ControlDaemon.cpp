// Connects the control cores to disk, peers, nodes and operators.
#include "dandelionslip/Daemon/ControlDaemon.h"

#include "HttpReply.h"
#include "RaftRuntime.h"

#include "dandelionslip/Control/MembershipCore.h"
#include "dandelionslip/Control/PosixFileLayer.h"
#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Support/Hash.h"
#include "dandelionslip/Support/Log.h"

#include <array>
#include <cstdio>

namespace dandelionslip {

namespace {

constexpr Milliseconds kTick{20};
constexpr Milliseconds kPeerTimeout{1'000};
// An operator's command without a quorum is answered outcome_unknown after this time.
constexpr Milliseconds kCommandTimeout{5'000};

// The identity of a founding replica follows from its node name, so that all founders write the
// same first membership without talking to each other.
ReplicaId FoundingIdentity(const std::string& aNode)
{
  const std::uint64_t high = Hash64(aNode, 1);
  const std::uint64_t low = Hash64(aNode, 2);
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-8%03x-8%03x-%012llx",
                static_cast<unsigned>(high >> 32U), static_cast<unsigned>((high >> 16U) & 0xffffU),
                static_cast<unsigned>(high & 0xfffU), static_cast<unsigned>(low >> 52U),
                static_cast<unsigned long long>(low & 0xffffffffffffULL));
  return text.data();
}

Membership FoundingMembership(const ControlSettings& aSettings)
{
  Membership membership;
  membership.mReplicas[FoundingIdentity(aSettings.mNode)] = {aSettings.mEndpoint, true, 0};
  for (const auto& peer : aSettings.mPeers) {
    membership.mReplicas[FoundingIdentity(peer.mName)] = {peer.mEndpoint, true, 0};
  }
  return membership;
}

RaftSettings RaftSettingsFrom(const ControlSettings& aSettings)
{
  RaftSettings settings;
  settings.mHeartbeat = aSettings.mHeartbeat;
  settings.mElectionMin = aSettings.mElectionTimeoutMin;
  settings.mElectionMax = aSettings.mElectionTimeoutMax;
  return settings;
}

MembershipSettings MembershipSettingsFrom(const ControlSettings& aSettings)
{
  MembershipSettings settings;
  settings.mLease = aSettings.mLease;
  return settings;
}

Result<std::unique_ptr<LogStore>> OpenStore(PosixFileLayer& aFiles,
                                            const ControlSettings& aSettings,
                                            const ControlStart& aStart, Random& aRandom)
{
  LogStoreSettings storeSettings;
  storeSettings.mDirectory = aSettings.mDataFolder;
  if (aStart.mBootstrap) {
    storeSettings.mReplica = FoundingIdentity(aSettings.mNode);
  }
  auto store = LogStore::Open(aFiles, storeSettings, aRandom);
  if (!store) {
    return store;
  }
  if (!aStart.mBootstrap) {
    const bool blank = store.value()->LastIndex() == 0;
    if (blank && !aSettings.mJoin) {
      return Fail(
        ErrorCode::InvalidInput, "control.start", aSettings.mDataFolder,
        "the data folder is empty: found a new group with --bootstrap, or set \"join\" for "
        "a replica that joins an existing group");
    }
    return store;
  }
  if (const auto done = store.value()->Bootstrap(FoundingMembership(aSettings)); !done) {
    return done.as_failure();
  }
  return store;
}

class ControlDaemon : public RaftListener
{
public:
  ControlDaemon(const ControlSettings& aSettings, std::unique_ptr<LogStore> aStore, Random aRandom)
    : mSettings(aSettings)
    , mPool(aSettings.mWorkers)
    , mPeers(mPool.Loop())
    , mRaft(mPool.Loop(), mPeers, *this, std::move(aStore), RaftSettingsFrom(aSettings),
            aSettings.mSnapshotEntries, aRandom)
    , mMembership(mRaft.Self(), MembershipSettingsFrom(aSettings))
  {
  }

  Result<int> Run()
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
    mTimer = std::make_unique<RepeatingTimer>(mPool.Loop(), kTick, [this] { OnTick(); });
    mPool.OnStop([this] { Stop(); });
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
      // Every replica sees the same bytes, so all skip the entry alike.
      LogEvent(LogLevel::Error, "entry_not_decoded")
        .With("index", aEntry.mIndex)
        .With(command.error());
      return;
    }
    CommandAnswer answer;
    {
      const std::lock_guard lock(mMutex);
      answer = mMembership.OnCommitted(aEntry.mIndex, command.value());
      mLastAnswer = answer;
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

  Result<void> OnState(std::span<const std::uint8_t> aState) override
  {
    const auto state = DecodeCbor(aState, "snapshot");
    if (!state) {
      return state.as_failure();
    }
    const std::lock_guard lock(mMutex);
    return mMembership.OnSnapshot(state.value());
  }

  Bytes EncodeState() override
  {
    const std::lock_guard lock(mMutex);
    return EncodeCbor(mMembership.Store().Snapshot());
  }

  void OnRole(RaftRole aRole, Term aTerm, const std::string& aLeader,
              const Membership& aMembers) override
  {
    RoleChange change{aTerm, aRole == RaftRole::Leader, aLeader, {}};
    for (const auto& [id, info] : aMembers.mReplicas) {
      if (info.mVoter) {
        change.mVoters.push_back(id);
      }
    }
    const std::lock_guard lock(mMutex);
    mMembership.OnRoleChange(change, RuntimeClock::now());
  }

  void OnFatal(const Error& aError) override
  {
    LogEvent(LogLevel::Error, "replica_stopped").With(aError);
    constexpr int kFatalExit = 3;
    mPool.Exit(kFatalExit);
  }

private:
  using Handler = void (ControlDaemon::*)(const std::shared_ptr<HttpExchange>&);

  struct RouteEntry
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
    const Json status = mRaft.Report();
    mRegistry.GaugeFor("dandelionslip_raft_term").Set(status["term"].get<double>());
    mRegistry.GaugeFor("dandelionslip_raft_commit_index").Set(status["commit_index"].get<double>());
    mRegistry.GaugeFor("dandelionslip_raft_leader").Set(status["role"] == "leader" ? 1 : 0);
    mRegistry.GaugeFor("dandelionslip_raft_confirmed").Set(status["confirmed"] == true ? 1 : 0);
    const std::lock_guard lock(mMutex);
    mRegistry.GaugeFor("dandelionslip_configuration_revision")
      .Set(static_cast<double>(mMembership.Store().Current().mRevision));
    mRegistry.GaugeFor("dandelionslip_view_revision")
      .Set(static_cast<double>(mMembership.CurrentView().mRevision));
    mRegistry.GaugeFor("dandelionslip_view_members")
      .Set(static_cast<double>(mMembership.CurrentView().mMembers.size()));
  }

  void OnTick()
  {
    mRaft.Tick();
    std::vector<MembershipAction> actions;
    {
      const std::lock_guard lock(mMutex);
      actions = mMembership.OnTick(RuntimeClock::now());
    }
    for (auto& action : actions) {
      std::visit([this](auto& aAction) { Send(aAction); }, action);
    }
  }

  void Send(const SendSummary& aAction)
  {
    Exchange<SummaryAnswer>(aAction.mTo, "/v1/summary", ToCbor(aAction.mSummary),
                            &MembershipCore::OnSummaryAnswer);
  }

  void Send(const SendViewUpdate& aAction)
  {
    Exchange<ViewUpdateAnswer>(aAction.mTo, "/v1/view", ToCbor(aAction.mUpdate),
                               &MembershipCore::OnViewUpdateAnswer);
  }

  // Posts a message to a replica and passes the decoded answer to the membership core.
  template <typename Answer>
  void Exchange(const ReplicaId& aTo, const char* aPath, const Bytes& aBody,
                void (MembershipCore::*aHandler)(const Answer&))
  {
    const std::string address = mRaft.AddressOf(aTo);
    mPeers.Post(address, aPath, aBody, kPeerTimeout, [this, address, aHandler](auto aResult) {
      if (!aResult) {
        return;
      }
      const auto answer = FromCbor<Answer>(aResult.value(), address);
      if (!answer) {
        LogEvent(LogLevel::Warning, "answer_not_decoded").With(answer.error());
        return;
      }
      const std::lock_guard lock(mMutex);
      (mMembership.*aHandler)(answer.value());
    });
  }

  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    static constexpr std::array<RouteEntry, 8> kRoutes{{
      {"/v1/announce", &ControlDaemon::OnAnnounce},
      {"/v1/raft", &ControlDaemon::OnRaft},
      {"/v1/summary", &ControlDaemon::OnSummary},
      {"/v1/view", &ControlDaemon::OnView},
      {"/v1/state", &ControlDaemon::OnStateRequest},
      {"/v1/command", &ControlDaemon::OnCommandRequest},
      {"/v1/replica", &ControlDaemon::OnReplicaRequest},
      {"/v1/status", &ControlDaemon::OnStatusRequest},
    }};
    for (const auto& [path, handler] : kRoutes) {
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
      answer = mMembership.OnAnnouncement(*announcement, confirmed, RuntimeClock::now());
    }
    RespondCbor(*aExchange, answer);
  }

  void OnRaft(const std::shared_ptr<HttpExchange>& aExchange)
  {
    auto message = DecodeRaftMessage(aExchange->Request().mBody, aExchange->Peer());
    if (!message) {
      mRegistry.CounterFor("dandelionslip_malformed_messages_total").Add();
      RespondError(*aExchange, kStatusBadRequest, message.error().Message());
      return;
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
      answer = mMembership.OnSummary(summary.value(), RuntimeClock::now());
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
      answer = mMembership.OnViewUpdate(update.value());
    }
    RespondCbor(*aExchange, answer);
  }

  // Whole state for a node that starts: nothing without a confirmed quorum.
  void OnStateRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    AnnouncementAnswer answer;
    answer.mConfirmed = mRaft.Confirmed();
    if (answer.mConfirmed) {
      const std::lock_guard lock(mMutex);
      answer.mConfiguration = mMembership.Store().Current();
      answer.mView = mMembership.CurrentView();
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
    mRaft.Propose(aExchange->Request().mBody,
                  [this, aExchange](auto aResult) { RespondCbor(*aExchange, AnswerFor(aResult)); });
  }

  // Runs on the Raft strand right after OnCommand for the same entry.
  CommandAnswer AnswerFor(const Result<ProposalOutcome>& aResult)
  {
    if (!aResult) {
      return {CommandOutcome::NotApplied, 0, aResult.error().Message()};
    }
    if (aResult.value() == ProposalOutcome::NotApplied) {
      return {CommandOutcome::NotApplied, 0, "another leader's entry took its place"};
    }
    if (aResult.value() == ProposalOutcome::Applied) {
      const std::lock_guard lock(mMutex);
      return mLastAnswer;
    }
    return {CommandOutcome::OutcomeUnknown, 0, "resend with the same publication id"};
  }

  void OnReplicaRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto change = Decode<MembershipChange>(aExchange);
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
    Json status = mRaft.Report();
    status["node"] = mSettings.mNode;
    status["leader_endpoint"] = mRaft.LeaderAddress();
    {
      const std::lock_guard lock(mMutex);
      status["configuration"] = ToJson(mMembership.Store().Current());
      status["view"] = ToJson(mMembership.CurrentView());
    }
    HttpResponse response;
    response.mBody = EncodeCbor(status);
    aExchange->Respond(std::move(response));
  }

  // Hands over leadership, lets running requests end and exits.
  void Stop()
  {
    mRaft.TransferLeadership([this] {
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
  WorkerPool mPool;
  PeerClients mPeers;
  MetricsRegistry mRegistry;
  RaftRuntime mRaft;
  std::mutex mMutex; ///< Guards mMembership and mLastAnswer; taken after the Raft core's mutex.
  MembershipCore mMembership;
  CommandAnswer mLastAnswer; ///< Of the newest applied command.
  std::unique_ptr<Http2Server> mServer;
  std::unique_ptr<MetricsEndpoint> mMetrics;
  std::unique_ptr<RepeatingTimer> mTimer;
};

} // namespace

Result<int> RunControl(const ControlSettings& aSettings, const ControlStart& aStart)
{
  InitialiseLog("dandelionslip-control", aSettings.mNode, aSettings.mLogLevel);
  PosixFileLayer files;
  Random random(SystemSeed());
  auto store = OpenStore(files, aSettings, aStart, random);
  if (!store) {
    return store.as_failure();
  }
  ControlDaemon daemon(aSettings, std::move(store.value()), Random(random.Next()));
  return daemon.Run();
}

} // namespace dandelionslip
