// Connects the flow core, the admission and the request core to the upstream, other nodes and
// control.
#include "dandelionslip/Daemon/AgentDaemon.h"

#include "ControlLink.h"
#include "HttpResponses.h"
#include "RequestHeaders.h"
#include "UpstreamPorts.h"

#include "dandelionslip/Agent/FlowCore.h"
#include "dandelionslip/Agent/UpstreamAdmission.h"
#include "dandelionslip/Daemon/RequestRecordTransfer.h"
#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Request/AgentRequestCore.h"
#include "dandelionslip/Support/Log.h"

#include <array>
#include <deque>

namespace dandelionslip {

namespace {

constexpr Milliseconds kFlowTick{50};
constexpr Milliseconds kRequestTick{10};
constexpr Milliseconds kHealthInterval{500};
constexpr Milliseconds kPeerTimeout{1'000};
constexpr Milliseconds kStopPoll{50};
constexpr Milliseconds kStartPoll{100};
// Retry-after time of a request that the upstream shed or that did not reach it.
constexpr Milliseconds kUpstreamRetryAfter{200};
// Time after the draining announcement until balancers send this agent no new work.
constexpr Milliseconds kDrainTime{1'200};

// Takes the request core's slots from the admission that also counts the upstream's flows.
class UpstreamSlotAdmission : public SlotAdmission
{
public:
  explicit UpstreamSlotAdmission(UpstreamAdmission& aAdmission)
    : mAdmission(aAdmission)
  {
  }

  std::optional<Refusal> TryStart(TimePoint aNow) override
  {
    return mAdmission.TryStartRequest(aNow);
  }

  void Finished(TimePoint aNow, RuntimeClock::duration aLatency, RunResult aResult) override
  {
    // Indexed by RunResult.
    static constexpr std::array<CompletionResult, 4> kResults{
      CompletionResult::Success, CompletionResult::Failed, CompletionResult::Shed,
      CompletionResult::Cancelled};
    mAdmission.FinishRequest(aNow, aLatency, kResults[static_cast<std::size_t>(aResult)]);
  }

private:
  UpstreamAdmission& mAdmission;
};

void AppendTo(AgentRequestActions& aActions, AgentRequestActions aMore)
{
  std::move(aMore.begin(), aMore.end(), std::back_inserter(aActions));
}

RequestTime Now()
{
  return {RuntimeClock::now(), WallClockMs()};
}

class AgentDaemon
{
public:
  explicit AgentDaemon(const AgentSettings& aSettings)
    : mSettings(aSettings)
    , mPool(aSettings.mWorkers)
    , mClients(mPool.Loop())
    , mLink(mPool.Loop(), mClients, aSettings, mRegistry,
            {[this] { return MakeAnnouncement(); },
             [this](const auto& aAnswer, const auto& aState, TimePoint aSentAt) {
               OnAnnouncementAnswer(aAnswer, aState, aSentAt);
             }})
    , mSelfEndpoint(Endpoint::Parse(aSettings.mDatagramEndpoint).value())
    , mPorts(mPool.Loop(), Endpoint::Parse(aSettings.mLocalAddress + ":1").value(),
             Endpoint::Parse(aSettings.mUpstreamDatagramEndpoint).value(),
             [this](FlowId aFlow, auto aPayload) { OnUpstreamDatagram(aFlow, aPayload); })
    , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
  {
  }

  Result<int> Run()
  {
    auto socket =
      UdpSocket::Bind(mPool.Loop(), mSelfEndpoint,
                      [this](auto aBytes, const Endpoint& aFrom) { OnDatagram(aBytes, aFrom); });
    if (!socket) {
      return socket.as_failure();
    }
    mSocket = std::move(socket.value());
    auto server =
      Http2Server::Listen(mPool.Loop(), Endpoint::Parse(mSettings.mRequestEndpoint).value(),
                          [this](auto aExchange) { OnHttp(aExchange); });
    if (!server) {
      return server.as_failure();
    }
    mServer = std::move(server.value());
    if (!mSettings.mMetricsEndpoint.empty()) {
      auto metrics =
        MetricsEndpoint::Listen(mPool.Loop(), Endpoint::Parse(mSettings.mMetricsEndpoint).value(),
                                mRegistry, [this] { RefreshMetrics(); });
      if (!metrics) {
        return metrics.as_failure();
      }
      mMetrics = std::move(metrics.value());
    }
    mPool.OnStop([this] { Stop(); });
    LogEvent(LogLevel::Info, "started")
      .With("service", mSettings.mService)
      .With("endpoint", mSettings.mDatagramEndpoint)
      .With("incarnation", mIncarnation)
      .With("version", DANDELIONSLIP_VERSION);
    mLink.FetchState([this](const NodeState& aState) { StartWithState(aState); });
    return mPool.Run();
  }

private:
  // --- Start ---

  // Creates the cores and starts the timers. Fetches the state again as long as the service is not
  // declared or an earlier process of this agent has not ended.
  void StartWithState(const NodeState& aState)
  {
    const ServiceEntry* entry = aState.CurrentConfiguration().FindService(mSettings.mService);
    const Member* self = aState.CurrentView().FindMember(mSettings.mNode);
    if (entry == nullptr || IsEarlierProcessRunning(self)) {
      CallAfter(mPool.Loop(), kStartPoll, [this] {
        mLink.FetchState([this](const NodeState& aNext) { StartWithState(aNext); });
      });
      return;
    }
    const TimePoint now = RuntimeClock::now();
    FlowActions actions;
    {
      const std::lock_guard lock(mMutex);
      CreateCores(*entry, now);
      mLastView = aState.CurrentView();
      mConfiguration = aState.CurrentConfiguration();
      if (self != nullptr && self->mState == MemberState::Restarting && !self->mBackup.empty()) {
        LogEvent(LogLevel::Info, "resuming").With("custodian", self->mBackup);
        mResuming = true;
        mFlowCore->BeginResumption(self->mBackup, now, actions);
      }
      mFlowCore->OnViewAndConfiguration(aState.CurrentView(), aState.CurrentConfiguration(), now,
                                        actions);
    }
    Perform(std::move(actions));
    mFlowTimer =
      std::make_unique<RepeatingTimer>(mPool.Loop(), kFlowTick, [this] { OnFlowTick(); });
    mRequestTimer =
      std::make_unique<RepeatingTimer>(mPool.Loop(), kRequestTick, [this] { OnRequestTick(); });
    mHealthTimer =
      std::make_unique<RepeatingTimer>(mPool.Loop(), kHealthInterval, [this] { CheckHealth(); });
    if (!mResuming) {
      mLink.Start();
    }
  }

  // Whether the view shows an earlier process of this agent as running. Until control knows of its
  // planned stop, or its lease has expired, the new process cannot know whether a backup keeps its
  // state.
  static bool IsEarlierProcessRunning(const Member* aSelf)
  {
    return aSelf != nullptr && HoldsFlows(aSelf->mState) &&
           aSelf->mState != MemberState::Restarting;
  }

  void CreateCores(const ServiceEntry& aEntry, TimePoint aNow)
  {
    mSpec = aEntry.mSpec;
    mServiceId = aEntry.mId;
    mAdmission = std::make_unique<UpstreamAdmission>(mSpec, aNow);
    mSlots = std::make_unique<UpstreamSlotAdmission>(*mAdmission);
    AgentRequestSettings requestSettings;
    requestSettings.mSelf = mSettings.mNode;
    requestSettings.mIncarnation = mIncarnation;
    requestSettings.mBuckets = mSpec.mBuckets;
    requestSettings.mSlots = mSpec.mSlots;
    requestSettings.mRecords.mMaxRecords = mSettings.mMaxRecords;
    requestSettings.mRecords.mMaxBytes = std::size_t{mSettings.mMaxRecordMebibytes} << 20U;
    requestSettings.mRecords.mRetention = mSettings.mRecordRetention;
    mRequestCore = std::make_unique<AgentRequestCore>(
      requestSettings, *mSlots, [this](std::uint32_t aBucket) { return AlternateOf(aBucket); },
      mRegistry);
    mRecordTransfer.SetRequestCore(*mRequestCore);
    FlowSettings flowSettings;
    flowSettings.mName = mSettings.mNode;
    flowSettings.mServiceName = mSettings.mService;
    flowSettings.mEndpoint = mSelfEndpoint;
    flowSettings.mIncarnation = mIncarnation;
    flowSettings.mMaxFlows = mSettings.mMaxFlows;
    mFlowCore = std::make_unique<FlowCore>(flowSettings, *mAdmission, &mRecordTransfer);
  }

  // Called by the request core while mMutex is held.
  std::optional<AlternateAgent> AlternateOf(std::uint32_t aBucket)
  {
    const ServiceTable& table = mFlowCore->Table();
    const MemberIndex index = table.Assignment().Alternate(aBucket);
    if (index == kNoMember || table.Members()[index].mName == mSettings.mNode) {
      return std::nullopt;
    }
    const Member* member = mLastView.FindMember(table.Members()[index].mName);
    return member == nullptr ? std::nullopt
                             : std::optional(AlternateAgent{member->mName, member->mIncarnation});
  }

  // --- Control ---

  Announcement MakeAnnouncement()
  {
    Announcement announcement;
    Member& member = announcement.mMember;
    member.mName = mSettings.mNode;
    member.mKind = MemberKind::Agent;
    member.mService = mSettings.mService;
    member.mDataCentre = mSettings.mDataCentre;
    member.mDatagramEndpoint = mSettings.mDatagramEndpoint;
    member.mRequestEndpoint = mSettings.mRequestEndpoint;
    member.mIncarnation = mIncarnation;
    const std::lock_guard lock(mMutex);
    announcement.mWeight = mAdmission->UpdateWeight(RuntimeClock::now());
    announcement.mAckedGeneration = mFlowCore->AckedGeneration();
    member.mState = AnnouncedState();
    member.mBackup = mBackup;
    return announcement;
  }

  MemberState AnnouncedState() const
  {
    if (mStopState) {
      return *mStopState;
    }
    return mAdmission->State() == UpstreamState::Cold ? MemberState::Cold : MemberState::Serving;
  }

  void OnAnnouncementAnswer(const AnnouncementAnswer& aAnswer, const NodeState& aState,
                            TimePoint aSentAt)
  {
    if (aAnswer.mFenced) {
      LogEvent(LogLevel::Error, "fenced").With("incarnation", mIncarnation);
      constexpr int kFencedExit = 4;
      mPool.Exit(kFencedExit);
      return;
    }
    const TimePoint now = RuntimeClock::now();
    FlowActions flowActions;
    AgentRequestActions requestActions;
    {
      const std::lock_guard lock(mMutex);
      if (aAnswer.mLease.count() > 0) {
        mLeaseEnd = std::max(mLeaseEnd, aSentAt + aAnswer.mLease);
      }
      // The state is applied before the lease: a valid lease allows requests again, and by then the
      // request core must know which buckets have had another owner in the meantime.
      ApplyState(aState, now, flowActions, requestActions);
      AppendTo(requestActions, mRecordTransfer.TakeActions());
      if (now < mLeaseEnd) {
        mFlowCoreHasLease = true;
        mFlowCore->OnLeaseRenewed();
      }
      AppendTo(requestActions, mRequestCore->OnLease(now < mLeaseEnd, Now()));
    }
    Perform(std::move(flowActions));
    Perform(std::move(requestActions));
  }

  void ApplyState(const NodeState& aState, TimePoint aNow, FlowActions& aFlowActions,
                  AgentRequestActions& aRequestActions)
  {
    const Configuration& configuration = aState.CurrentConfiguration();
    const View& view = aState.CurrentView();
    if (const auto* entry = configuration.FindService(mSettings.mService);
        entry != nullptr && entry->mSpec != mSpec) {
      mSpec = entry->mSpec;
      mAdmission->UpdateSpec(mSpec, aNow);
    }
    if (!mStopState) {
      configuration.IsDrained(mSettings.mNode) ? mAdmission->Drain() : mAdmission->Undrain();
    }
    if (view.mRevision <= mLastView.mRevision &&
        configuration.mRevision <= mFlowCore->ConfigurationRevision()) {
      return;
    }
    ReportLostAgents(view, aRequestActions);
    mLastView = view;
    mConfiguration = configuration;
    mFlowCore->OnViewAndConfiguration(view, configuration, aNow, aFlowActions);
  }

  // Reports newly lost agents to the request core: the outcome of requests that they were still
  // running for this agent is unknown.
  void ReportLostAgents(const View& aView, AgentRequestActions& aRequestActions)
  {
    for (const auto& [name, member] : aView.mMembers) {
      const Member* before = mLastView.FindMember(name);
      const bool lostNow = member.mState == MemberState::Lost &&
                           (before == nullptr || before->mState != MemberState::Lost);
      if (lostNow && member.mService == mSettings.mService) {
        AppendTo(aRequestActions, mRequestCore->OnAgentLost(name, Now()));
      }
    }
  }

  // Calls aEvent with the flow core and performs the actions of both cores that result.
  template <typename Event>
  void WithFlowCore(Event aEvent)
  {
    FlowActions flowActions;
    AgentRequestActions requestActions;
    {
      const std::lock_guard lock(mMutex);
      if (!mFlowCore) {
        return;
      }
      aEvent(*mFlowCore, flowActions);
      requestActions = mRecordTransfer.TakeActions();
    }
    Perform(std::move(flowActions));
    Perform(std::move(requestActions));
  }

  // Calls aEvent with the request core and performs the actions that it returns.
  template <typename Event>
  void WithRequestCore(Event aEvent)
  {
    AgentRequestActions actions;
    {
      const std::lock_guard lock(mMutex);
      if (!mRequestCore) {
        return;
      }
      actions = aEvent(*mRequestCore);
    }
    Perform(std::move(actions));
  }

  // --- Flows ---

  void OnDatagram(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom)
  {
    const auto frame = DecodeDatagram(aBytes);
    if (!frame) {
      mRegistry.CounterFor("dandelionslip_agent_drops_total", "reason=\"malformed\"").Add();
      return;
    }
    const DatagramHeader& header = frame.value().mHeader;
    const auto payload = frame.value().mPayload;
    WithFlowCore([&](FlowCore& aCore, FlowActions& aOut) {
      const TimePoint now = RuntimeClock::now();
      if (header.mKind == DatagramKind::Forward) {
        mForwards.Add();
        aCore.OnForward(header, payload, aFrom, now, aOut);
      } else if (header.mKind == DatagramKind::StateProbe) {
        aCore.OnStateProbe(header, aFrom, now < mLeaseEnd, aOut);
      }
    });
  }

  void OnUpstreamDatagram(FlowId aFlow, std::span<const std::uint8_t> aPayload)
  {
    WithFlowCore([&](FlowCore& aCore, FlowActions& aOut) {
      const TimePoint now = RuntimeClock::now();
      if (const auto sent = mOldestUnanswered.extract(aFlow); !sent.empty()) {
        mAdmission->ObserveAnswer(now, now - sent.mapped());
      }
      aCore.OnUpstreamDatagram(aFlow, aPayload, now, aOut);
    });
  }

  void OnFlowTick()
  {
    WithFlowCore([this](FlowCore& aCore, FlowActions& aOut) {
      const TimePoint now = RuntimeClock::now();
      if (mFlowCoreHasLease && now >= mLeaseEnd) {
        mFlowCoreHasLease = false;
        aCore.OnLeaseExpired();
      }
      aCore.OnTick(now, aOut);
    });
  }

  void Perform(FlowActions aActions)
  {
    for (auto& action : aActions) {
      std::visit([this](auto& aAction) { this->Do(aAction); }, action);
    }
  }

  void Do(SendDatagram& aAction)
  {
    const auto header = EncodeDatagramHeader(aAction.mHeader);
    Bytes frame(header.begin(), header.end());
    frame.insert(frame.end(), aAction.mPayload.begin(), aAction.mPayload.end());
    mSocket->Send(frame, aAction.mTo);
  }

  void Do(OpenUpstreamPort& aAction)
  {
    const std::uint16_t port = mPorts.Open(aAction.mFlow, aAction.mPort);
    WithFlowCore([&](FlowCore& aCore, FlowActions& aOut) {
      aCore.OnUpstreamPortOpened(aAction.mFlow, port, RuntimeClock::now(), aOut);
    });
  }

  void Do(SendToUpstream& aAction)
  {
    {
      const std::lock_guard lock(mMutex);
      mOldestUnanswered.try_emplace(aAction.mFlow, RuntimeClock::now());
    }
    mPorts.Send(aAction.mFlow, aAction.mPayload);
  }

  void Do(CloseUpstreamPort& aAction)
  {
    {
      const std::lock_guard lock(mMutex);
      mOldestUnanswered.erase(aAction.mFlow);
    }
    mPorts.Close(aAction.mFlow);
  }

  void Do(SendPeerMessage& aAction)
  {
    std::string endpoint;
    {
      const std::lock_guard lock(mMutex);
      if (const Member* member = mLastView.FindMember(aAction.mTo)) {
        endpoint = member->mRequestEndpoint;
      }
    }
    const auto client = mClients.ClientFor(endpoint);
    if (!client) {
      return;
    }
    HttpRequest request;
    request.mPath = "/v1/peer";
    request.mHeaders = {{"dslip-from", mSettings.mNode}};
    request.mBody = EncodePeerMessage(aAction.mMessage);
    client->Send(std::move(request), kPeerTimeout, [](const auto&) {});
  }

  void Do(FetchView& /*aAction*/) { mLink.AnnounceNow(); }

  void Do(HandoverDone& aAction)
  {
    LogEvent(LogLevel::Info, "handed_over").With("custodian", aAction.mBackup);
    {
      const std::lock_guard lock(mMutex);
      mBackup = aAction.mBackup;
      mStopState = aAction.mBackup.empty() ? MemberState::Left : MemberState::Restarting;
    }
    mLink.Stop();
    AnnounceStop();
  }

  // Announces the stop until control answers or the stop deadline has passed. The new process finds
  // the kept state only if control knows the backup.
  void AnnounceStop()
  {
    mLink.AnnounceNow([this](bool aAnswered) {
      if (aAnswered || RuntimeClock::now() > mStopBy) {
        mPool.Exit(0);
        return;
      }
      AnnounceStop();
    });
  }

  void Do(ResumptionDone& aAction)
  {
    LogEvent(LogLevel::Info, "resumed")
      .With("state_found", aAction.mAdmissionSnapshot.is_null() ? 0 : 1);
    {
      const std::lock_guard lock(mMutex);
      if (const auto snapshot =
            FromJson<AdmissionSnapshot>(aAction.mAdmissionSnapshot, "handover")) {
        mAdmission->Restore(snapshot.value(), RuntimeClock::now());
      }
      mResuming = false;
    }
    mLink.Start();
  }

  // --- HTTP/2 ---

  void OnHttp(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const std::string& path = aExchange->Request().mPath;
    if (path == "/v1/request") {
      OnRequest(aExchange);
    } else if (path == "/v1/peer") {
      OnPeer(aExchange);
    } else if (path == "/v1/record") {
      OnRecord(aExchange);
    } else if (path == "/v1/state") {
      OnStateRequest(aExchange);
    } else {
      RespondError(*aExchange, kStatusNotFound, "no such path");
    }
  }

  void OnPeer(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto message = DecodePeerMessage(aExchange->Request().mBody, aExchange->Peer());
    if (!message) {
      RespondError(*aExchange, kStatusBadRequest, message.error().Message());
      return;
    }
    const std::string from(FindHeader(aExchange->Request().mHeaders, "dslip-from"));
    aExchange->Respond({});
    WithFlowCore([&](FlowCore& aCore, FlowActions& aOut) {
      aCore.OnPeerMessage(from, message.value(), RuntimeClock::now(), aOut);
    });
  }

  void OnRecord(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const auto record = DecodeCbor(aExchange->Request().mBody, aExchange->Peer());
    aExchange->Respond({});
    if (!record) {
      return;
    }
    WithRequestCore([&](AgentRequestCore& aCore) {
      auto actions = aCore.OnRecordUpdate(record.value(), aExchange->Peer(), Now());
      return actions ? std::move(actions.value()) : AgentRequestActions{};
    });
  }

  // Sends the newest state to a balancer that does not reach control. mConfirmed says here only
  // that this agent has a state; no quorum is contacted.
  void OnStateRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    AnnouncementAnswer answer;
    {
      const std::lock_guard lock(mMutex);
      answer.mConfirmed = mFlowCore != nullptr;
      if (mFlowCore) {
        answer.mConfiguration = mConfiguration;
        answer.mView = mLastView;
        answer.mConfigurationRevision = answer.mConfiguration->mRevision;
        answer.mViewRevision = mLastView.mRevision;
      }
    }
    RespondCbor(*aExchange, answer);
  }

  // --- Requests ---

  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const ReplyHandle handle = mNextHandle++;
    const auto& headers = aExchange->Request().mHeaders;
    bool isOurService = false;
    {
      const std::lock_guard lock(mMutex);
      isOurService = mRequestCore && FindNumberHeader(headers, kHeaderService) == mServiceId;
      if (isOurService) {
        mExchanges[handle] = aExchange;
      }
    }
    if (!isOurService) {
      mRegistry.CounterFor("dandelionslip_agent_refusals_total", "reason=\"wrong_service\"").Add();
      aExchange->Respond(ToResponse(NotOwnerReply(RefusalReason::WrongService)));
      return;
    }
    ReceivedRequest request = DecodeRequest(*aExchange, handle);
    WithRequestCore(
      [&](AgentRequestCore& aCore) { return aCore.OnRequest(std::move(request), Now()); });
    aExchange->OnCancel([this, handle] {
      WithRequestCore([&](AgentRequestCore& aCore) { return aCore.OnCancel(handle, Now()); });
    });
  }

  static ReceivedRequest DecodeRequest(const HttpExchange& aExchange, ReplyHandle aHandle)
  {
    const auto& headers = aExchange.Request().mHeaders;
    ReceivedRequest request;
    request.mHandle = aHandle;
    if (const auto id = RequestId::Parse(FindHeader(headers, kHeaderRequestId))) {
      request.mId = id.value();
    }
    request.mAttempt = static_cast<Attempt>(FindNumberHeader(headers, kHeaderAttempt).value_or(0));
    request.mIdempotent = FindHeader(headers, kHeaderIdempotent) == "true";
    request.mMayHaveRun = FindHeader(headers, kHeaderMayHaveRun) != "false";
    request.mRelayed = FindHeader(headers, kHeaderRelayed) == "true";
    request.mTargetIncarnation = FindNumberHeader(headers, kHeaderIncarnation).value_or(0);
    request.mRemaining = Milliseconds(
      static_cast<std::int64_t>(FindNumberHeader(headers, kHeaderDeadline).value_or(0)));
    request.mCaller = FindNumberHeader(headers, kHeaderCaller).value_or(0);
    const auto trafficClass = FindHeader(headers, kHeaderClass);
    for (const auto& [value, name] : EnumNames(TrafficClass{})) {
      request.mClass = name == trafficClass ? value : request.mClass;
    }
    request.mBody = aExchange.Request().mBody;
    return request;
  }

  void OnRequestTick()
  {
    WithRequestCore([this](AgentRequestCore& aCore) {
      AgentRequestActions actions = aCore.OnLease(RuntimeClock::now() < mLeaseEnd, Now());
      AppendTo(actions, aCore.OnTick(Now()));
      return actions;
    });
  }

  void Perform(AgentRequestActions aActions)
  {
    for (auto& action : aActions) {
      std::visit([this](auto& aAction) { this->Do(aAction); }, action);
    }
  }

  void RemoveRun(RunId aRun)
  {
    const std::lock_guard lock(mRunsMutex);
    mRuns.erase(aRun);
  }

  void Do(RunAtUpstream& aAction)
  {
    HttpRequest request;
    request.mPath = "/run";
    request.mHeaders = {{kHeaderRequestId, aAction.mId.ToString()},
                        {kHeaderDeadline, std::to_string(aAction.mRemaining.count())}};
    request.mBody = std::move(aAction.mBody);
    const auto client = mClients.ClientFor(mSettings.mUpstreamRequestEndpoint);
    const auto timeout = std::max(aAction.mRemaining, Milliseconds(1));
    const RunId run = aAction.mRun;
    const std::lock_guard lock(mRunsMutex);
    mRuns[run] = {client, client->Send(std::move(request), timeout, [this, run](auto aResult) {
                    RemoveRun(run);
                    OnUpstreamResult(run, std::move(aResult));
                  })};
  }

  void OnUpstreamResult(RunId aRun, Result<HttpResponse> aResult)
  {
    WithRequestCore([&](AgentRequestCore& aCore) {
      if (!aResult) {
        const bool sent = aResult.error().mCode != ErrorCode::Unavailable;
        const Refusal unreachable{RefusalReason::NoUpstream, kUpstreamRetryAfter};
        return sent ? aCore.OnUpstreamFailed(aRun, Now())
                    : aCore.OnUpstreamShed(aRun, unreachable, Now());
      }
      if (!FindHeader(aResult.value().mHeaders, kHeaderNotRun).empty()) {
        return aCore.OnUpstreamShed(aRun, {RefusalReason::UpstreamShed, kUpstreamRetryAfter},
                                    Now());
      }
      return aCore.OnUpstreamAnswer(aRun, ToReceivedAnswer(std::move(aResult.value())), Now());
    });
  }

  void Do(RelayToAlternate& aAction)
  {
    std::string endpoint;
    {
      const std::lock_guard lock(mMutex);
      if (const Member* member = mLastView.FindMember(aAction.mAgent)) {
        endpoint = member->mRequestEndpoint;
      }
    }
    const RunId run = aAction.mRun;
    const auto client = mClients.ClientFor(endpoint);
    if (!client) {
      WithRequestCore(
        [run](AgentRequestCore& aCore) { return aCore.OnAlternateLinkFailed(run, false, Now()); });
      return;
    }
    HttpRequest request;
    request.mPath = "/v1/request";
    request.mHeaders = {
      {kHeaderService, std::to_string(mServiceId)},
      {kHeaderRequestId, aAction.mId.ToString()},
      {kHeaderAttempt, std::to_string(aAction.mAttempt)},
      {kHeaderIdempotent, aAction.mIdempotent ? "true" : "false"},
      {kHeaderRelayed, "true"},
      {kHeaderIncarnation, std::to_string(aAction.mIncarnation)},
      {kHeaderDeadline, std::to_string(aAction.mRemaining.count())},
      {kHeaderCaller, std::to_string(aAction.mCaller)},
      {kHeaderClass, ToJson(aAction.mClass).get<std::string>()},
    };
    request.mBody = std::move(aAction.mBody);
    const auto timeout = std::max(aAction.mRemaining, Milliseconds(1));
    const std::lock_guard lock(mRunsMutex);
    mRuns[run] = {client, client->Send(std::move(request), timeout, [this, run](auto aResult) {
                    RemoveRun(run);
                    OnAlternateResult(run, std::move(aResult));
                  })};
  }

  void OnAlternateResult(RunId aRun, Result<HttpResponse> aResult)
  {
    WithRequestCore([&](AgentRequestCore& aCore) {
      if (!aResult) {
        const bool sent = aResult.error().mCode != ErrorCode::Unavailable;
        return aCore.OnAlternateLinkFailed(aRun, sent, Now());
      }
      auto response = FromResponse(std::move(aResult.value()));
      return aCore.OnAlternateReply(aRun, response.mOutcome, response.mRefusal.value_or(Refusal{}),
                                    response.mReceived, Now());
    });
  }

  void Do(ReplyToSender& aAction)
  {
    std::shared_ptr<HttpExchange> exchange;
    {
      const std::lock_guard lock(mMutex);
      if (auto node = mExchanges.extract(aAction.mHandle); !node.empty()) {
        exchange = node.mapped();
      }
    }
    if (exchange) {
      exchange->Respond(ToResponse(aAction.mReply));
    }
  }

  void Do(CancelRun& aAction)
  {
    std::pair<std::shared_ptr<Http2Client>, std::uint64_t> found;
    {
      const std::lock_guard lock(mRunsMutex);
      if (const auto run = mRuns.find(aAction.mRun); run != mRuns.end()) {
        found = run->second;
      }
    }
    if (found.first) {
      found.first->Cancel(found.second);
    }
  }

  void Do(SendRecord& aAction)
  {
    std::string endpoint;
    {
      const std::lock_guard lock(mMutex);
      if (const Member* member = mLastView.FindMember(aAction.mAgent)) {
        endpoint = member->mRequestEndpoint;
      }
    }
    mClients.Post(endpoint, "/v1/record", EncodeCbor(aAction.mRecord), kPeerTimeout,
                  [](const auto&) {});
  }

  // --- Upstream health ---

  void CheckHealth()
  {
    if (mSettings.mUpstreamHealthPath.empty()) {
      return;
    }
    HttpRequest request;
    request.mMethod = "GET";
    request.mPath = mSettings.mUpstreamHealthPath;
    mClients.ClientFor(mSettings.mUpstreamRequestEndpoint)
      ->Send(std::move(request), kHealthInterval, [this](const auto& aResult) {
        const bool healthy = aResult && aResult.value().mStatus == kStatusOk;
        const std::lock_guard lock(mMutex);
        mAdmission->ReportHealth(RuntimeClock::now(), healthy);
      });
  }

  // --- Planned stop ---

  void Stop()
  {
    mStopBy = RuntimeClock::now() + mSettings.mStopDeadline;
    bool hasOwnState = false;
    {
      const std::lock_guard lock(mMutex);
      hasOwnState = mFlowCore != nullptr && !mResuming;
      if (hasOwnState) {
        mStopState = MemberState::Draining;
        mAdmission->Drain();
      }
    }
    if (!hasOwnState) {
      mPool.Exit(0);
      return;
    }
    mLink.AnnounceNow();
    CallAfter(mPool.Loop(), kDrainTime, [this] {
      WithRequestCore([](AgentRequestCore& aCore) { return aCore.OnPlannedStop(Now()); });
      AwaitRequestsEnd();
    });
  }

  void AwaitRequestsEnd()
  {
    bool active = false;
    {
      const std::lock_guard lock(mMutex);
      active = mRequestCore->Active();
    }
    const bool late = RuntimeClock::now() > mStopBy;
    if (active && !late) {
      CallAfter(mPool.Loop(), kStopPoll, [this] { AwaitRequestsEnd(); });
      return;
    }
    if (late) {
      LogEvent(LogLevel::Warning, "stop_deadline_passed")
        .With("open_requests", mServer->OpenRequests());
    }
    WithFlowCore([this](FlowCore& aCore, FlowActions& aOut) {
      aCore.BeginHandover(ToJson(mAdmission->Snapshot()), RuntimeClock::now(), aOut);
    });
  }

  // --- Metrics ---

  void RefreshMetrics()
  {
    mRegistry.GaugeFor("dandelionslip_control_bytes")
      .Set(static_cast<double>(mLink.TrafficBytes()));
    const std::lock_guard lock(mMutex);
    if (!mFlowCore) {
      return;
    }
    const auto gauge = [this](const char* aName, auto aValue) {
      mRegistry.GaugeFor(aName).Set(static_cast<double>(aValue));
    };
    gauge("dandelionslip_agent_flows", mAdmission->ConnectionsInUse());
    gauge("dandelionslip_agent_slots_in_use", mAdmission->SlotsInUse());
    gauge("dandelionslip_agent_connection_limit",
          mAdmission->Limit(RuntimeClock::now()).mConnections);
    gauge("dandelionslip_agent_slot_limit", mAdmission->Limit(RuntimeClock::now()).mSlots);
    gauge("dandelionslip_agent_acked_generation", mFlowCore->AckedGeneration());
    gauge("dandelionslip_view_revision", mLastView.mRevision);
    gauge("dandelionslip_configuration_revision", mConfiguration.mRevision);
    gauge("dandelionslip_lease_valid", RuntimeClock::now() < mLeaseEnd ? 1 : 0);
    gauge("dandelionslip_agent_requests_running", mRequestCore->Running());
    gauge("dandelionslip_agent_requests_queued", mRequestCore->Queued());
    for (const auto& [reason, count] : mFlowCore->Drops()) {
      SetGaugeByReason("dandelionslip_agent_drops", reason, count);
    }
    for (const auto& [reason, count] : mFlowCore->Refusals()) {
      SetGaugeByReason("dandelionslip_agent_flow_refusals", reason, count);
    }
  }

  void SetGaugeByReason(const char* aName, RefusalReason aReason, std::uint64_t aCount)
  {
    mRegistry.GaugeFor(aName, "reason=\"" + std::string(ToString(aReason)) + "\"")
      .Set(static_cast<double>(aCount));
  }

  AgentSettings mSettings;
  MetricsRegistry mRegistry;
  Counter& mForwards = mRegistry.CounterFor("dandelionslip_agent_forwards_total");
  WorkerPool mPool;
  Http2ClientPool mClients;
  ControlLink mLink;
  Endpoint mSelfEndpoint;
  UpstreamPorts mPorts;
  std::uint64_t mIncarnation;
  // Lock order: mMutex, then the ports' mutex, then mRunsMutex.
  std::mutex mMutex; ///< Guards the cores and the members below up to mConfiguration.
  ServiceSpec mSpec;
  ServiceId mServiceId = 0;
  std::unique_ptr<UpstreamAdmission> mAdmission;
  std::unique_ptr<UpstreamSlotAdmission> mSlots;
  std::unique_ptr<AgentRequestCore> mRequestCore;
  RequestRecordTransfer mRecordTransfer{&Now};
  std::unique_ptr<FlowCore> mFlowCore;
  std::map<ReplyHandle, std::shared_ptr<HttpExchange>> mExchanges;
  /// For each flow the time at which its oldest datagram without a reply went to the upstream.
  std::unordered_map<FlowId, TimePoint> mOldestUnanswered;
  TimePoint mLeaseEnd;
  /// Whether the flow core was told of a lease and not yet of its expiry.
  bool mFlowCoreHasLease = false;
  std::optional<MemberState> mStopState;
  std::string mBackup;
  bool mResuming = false;
  View mLastView;
  Configuration mConfiguration;
  std::mutex mRunsMutex; ///< Guards mRuns.
  /// The HTTP/2 client and its request id of each run in progress. Send, which only posts the
  /// request, is called with mRunsMutex held. Its callback locks the mutex in RemoveRun, so an
  /// entry is stored before it is removed.
  std::map<RunId, std::pair<std::shared_ptr<Http2Client>, std::uint64_t>> mRuns;
  std::atomic<ReplyHandle> mNextHandle{1};
  TimePoint mStopBy;
  std::unique_ptr<UdpSocket> mSocket;
  std::unique_ptr<Http2Server> mServer;
  std::unique_ptr<MetricsEndpoint> mMetrics;
  std::unique_ptr<RepeatingTimer> mFlowTimer;
  std::unique_ptr<RepeatingTimer> mRequestTimer;
  std::unique_ptr<RepeatingTimer> mHealthTimer;
};

} // namespace

Result<int> RunAgent(const AgentSettings& aSettings)
{
  InitialiseLog("dandelionslip-agent", aSettings.mNode, aSettings.mLogLevel);
  AgentDaemon daemon(aSettings);
  return daemon.Run();
}

} // namespace dandelionslip
