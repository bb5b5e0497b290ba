// Connects the routing and request cores to callers' sockets, agents and control.
#include "dandelionslip/Daemon/BalancerDaemon.h"

#include "ControlLink.h"
#include "HttpResponses.h"
#include "RequestHeaders.h"

#include "dandelionslip/Daemon/WorkerPool.h"
#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Net/MetricsEndpoint.h"
#include "dandelionslip/Net/UdpSocket.h"
#include "dandelionslip/Request/BalancerRequestCore.h"
#include "dandelionslip/Route/RoutingCore.h"
#include "dandelionslip/Support/Hash.h"
#include "dandelionslip/Support/Log.h"

#include <atomic>
#include <shared_mutex>

namespace dandelionslip {

namespace {

// A request without an attempt number may be a resend; only an explicit 1 says that it is not.
constexpr std::uint32_t kAssumedAttempt = 2;
constexpr Milliseconds kRoutingTick{100};
constexpr Milliseconds kRequestTick{10};
constexpr Milliseconds kStopPoll{50};
// Delay between the draining announcement and the end of accepting requests. By then agents send
// replies through other balancers.
constexpr Milliseconds kStopAcceptingDelay{1'500};
constexpr Milliseconds kStateFetchTimeout{500};

// Finds the agents for a request in the newest routing snapshot. Agents are identified by their
// request endpoints.
class SnapshotTargets : public RequestTargets
{
public:
  void Update(std::shared_ptr<const RoutingSnapshot> aSnapshot, const Configuration& aConfiguration)
  {
    mSnapshot = std::move(aSnapshot);
    mServiceNames.clear();
    for (const auto& [name, entry] : aConfiguration.mServices) {
      mServiceNames[entry.mId] = name;
    }
  }

  std::optional<std::string> OwnerOf(ServiceId aService, const RequestId& aId) const override
  {
    const auto name = mServiceNames.find(aService);
    if (name == mServiceNames.end()) {
      return std::nullopt;
    }
    const auto route = mSnapshot->RouteRequest(name->second, aId.Hash(), RuntimeClock::now());
    if (const auto* found = std::get_if<RequestRoute>(&route)) {
      return found->mActingMember.mRequestEndpoint;
    }
    return std::nullopt;
  }

  std::vector<std::string> CandidatesOf(ServiceId aService) const override
  {
    const auto name = mServiceNames.find(aService);
    if (name == mServiceNames.end()) {
      return {};
    }
    const auto candidates =
      mSnapshot->CandidatesFor(name->second, {mRandom.Next(), mRandom.Next()}, RuntimeClock::now());
    const auto* found = std::get_if<RequestCandidates>(&candidates);
    if (found == nullptr) {
      return {};
    }
    std::vector<std::string> endpoints;
    for (const auto& target : found->mTargets) {
      if (endpoints.empty() || endpoints.front() != target.mRequestEndpoint) {
        endpoints.push_back(target.mRequestEndpoint);
      }
    }
    return endpoints;
  }

private:
  std::shared_ptr<const RoutingSnapshot> mSnapshot = std::make_shared<RoutingSnapshot>();
  std::map<ServiceId, std::string> mServiceNames;
  mutable Random mRandom{SystemSeed()};
};

std::pair<std::string, Attempt> AttemptMapKey(const AttemptKey& aKey)
{
  return {aKey.mId.ToString(), aKey.mAttempt};
}

class BalancerDaemon
{
public:
  explicit BalancerDaemon(const BalancerSettings& aSettings)
    : mSettings(aSettings)
    , mPool(aSettings.mWorkers)
    , mClients(mPool.Loop())
    , mLink(mPool.Loop(), mClients, aSettings, mRegistry,
            {[this] { return MakeAnnouncement(); },
             [this](const auto& aAnswer, const auto& aState, TimePoint aSentAt) {
               OnAnnouncementAnswer(aAnswer, aState, aSentAt);
             }})
    , mSelfEndpoint(Endpoint::Parse(aSettings.mDatagramEndpoint).value())
    , mRouting(RoutingSettings{mSelfEndpoint})
    , mRequestCore(BalancerRequestSettings{}, mTargets, SystemSeed(), mRegistry)
    , mIncarnation(static_cast<std::uint64_t>(WallClockMs()))
  {
  }

  Result<int> Run()
  {
    auto socket =
      UdpSocket::Bind(mPool.Loop(), mSelfEndpoint, [this](auto aBytes, const Endpoint& aFrom) {
        OnAgentDatagram(aBytes, aFrom);
      });
    if (!socket) {
      return socket.as_failure();
    }
    mAgentSocket = std::move(socket.value());
    if (!mSettings.mMetricsEndpoint.empty()) {
      auto metrics =
        MetricsEndpoint::Listen(mPool.Loop(), Endpoint::Parse(mSettings.mMetricsEndpoint).value(),
                                mRegistry, [this] { RefreshMetrics(); });
      if (!metrics) {
        return metrics.as_failure();
      }
      mMetrics = std::move(metrics.value());
    }
    mRoutingTimer =
      std::make_unique<RepeatingTimer>(mPool.Loop(), kRoutingTick, [this] { OnRoutingTick(); });
    mRequestTimer =
      std::make_unique<RepeatingTimer>(mPool.Loop(), kRequestTick, [this] { OnRequestTick(); });
    mPool.OnStop([this] { Stop(); });
    LogEvent(LogLevel::Info, "started")
      .With("endpoint", mSettings.mDatagramEndpoint)
      .With("version", DANDELIONSLIP_VERSION);
    mLink.FetchState([this](const NodeState& aState) {
      ApplyState(aState);
      mLink.Start();
    });
    return mPool.Run();
  }

private:
  // Sockets of one service address.
  struct Listener
  {
    std::unique_ptr<UdpSocket> mDatagrams;
    std::unique_ptr<Http2Server> mRequests;
  };

  Announcement MakeAnnouncement()
  {
    Announcement announcement;
    Member& member = announcement.mMember;
    member.mName = mSettings.mNode;
    member.mKind = MemberKind::Balancer;
    member.mDataCentre = mSettings.mDataCentre;
    member.mDatagramEndpoint = mSettings.mDatagramEndpoint;
    member.mRequestEndpoint = mSettings.mRequestEndpoint;
    member.mIncarnation = mIncarnation;
    member.mState = mState.load();
    return announcement;
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
    {
      const std::lock_guard lock(mRoutingMutex);
      mRouting.OnAnnouncementAnswer(aAnswer, aSentAt);
    }
    ApplyState(aState);
  }

  void ApplyState(const NodeState& aState)
  {
    const Configuration& configuration = aState.CurrentConfiguration();
    bool changed = false;
    {
      const std::lock_guard lock(mRoutingMutex);
      const auto before = std::pair(mRouting.ConfigurationRevision(), mRouting.ViewRevision());
      mRouting.ApplyConfiguration(configuration);
      mRouting.ApplyView(aState.CurrentView());
      changed = before != std::pair(mRouting.ConfigurationRevision(), mRouting.ViewRevision());
    }
    if (!changed) {
      return;
    }
    {
      const std::lock_guard lock(mRequestMutex);
      mTargets.Update(mRouting.Snapshot(), configuration);
    }
    UpdateListeners(configuration);
    LogEvent(LogLevel::Info, "state_applied")
      .With("configuration_revision", configuration.mRevision)
      .With("view_revision", aState.CurrentView().mRevision);
  }

  // Opens sockets for new service addresses and closes those that are no longer declared.
  void UpdateListeners(const Configuration& aConfiguration)
  {
    std::map<std::string, std::string> wanted;
    for (const auto& [name, entry] : aConfiguration.mServices) {
      for (const auto& address : entry.mSpec.mAddresses) {
        wanted[address] = name;
      }
    }
    const std::unique_lock lock(mListenersMutex);
    mConfiguration = std::make_shared<Configuration>(aConfiguration);
    std::erase_if(mListeners,
                  [&](const auto& aItem) { return !wanted.contains(aItem.first.ToString()); });
    for (const auto& [address, name] : wanted) {
      const auto endpoint = Endpoint::Parse(address);
      if (endpoint && !mListeners.contains(endpoint.value())) {
        Listen(endpoint.value());
      }
    }
  }

  void Listen(const Endpoint& aServiceAddress)
  {
    Endpoint local = aServiceAddress;
    if (!mSettings.mListenAddress.empty()) {
      const auto bound =
        Endpoint::Parse(mSettings.mListenAddress + ":" + std::to_string(aServiceAddress.mPort));
      local = bound ? bound.value() : local;
    }
    auto datagrams = UdpSocket::Bind(mPool.Loop(), local,
                                     [this, aServiceAddress](auto aBytes, const Endpoint& aFrom) {
                                       OnCallerDatagram(aServiceAddress, aBytes, aFrom);
                                     });
    auto requests =
      Http2Server::Listen(mPool.Loop(), local, [this, aServiceAddress](auto aExchange) {
        OnRequest(aServiceAddress, aExchange);
      });
    if (!datagrams || !requests) {
      LogEvent(LogLevel::Error, "listen_failed")
        .With("service_address", aServiceAddress.ToString())
        .With(datagrams ? requests.error() : datagrams.error());
      return;
    }
    mListeners[aServiceAddress] = {std::move(datagrams.value()), std::move(requests.value())};
    LogEvent(LogLevel::Info, "listening")
      .With("service_address", aServiceAddress.ToString())
      .With("local", local.ToString());
  }

  void CountByReason(RefusalReason aReason, std::string_view aCounter)
  {
    mRegistry
      .CounterFor("dandelionslip_balancer_" + std::string(aCounter) + "_total",
                  "reason=\"" + std::string(ToString(aReason)) + "\"")
      .Add();
  }

  void OnCallerDatagram(const Endpoint& aServiceAddress, std::span<const std::uint8_t> aBytes,
                        const Endpoint& aCaller)
  {
    const auto datagram = DecodeCallerDatagram(aBytes);
    if (!datagram || datagram.value().mKind == CallerDatagramKind::Refused ||
        aBytes.size() > kMaxDatagramPayload) {
      CountByReason(RefusalReason::Malformed, "drops");
      return;
    }
    const bool opening = datagram.value().mKind == CallerDatagramKind::Open;
    const auto decision = mRouting.Snapshot()->Route(aCaller, aServiceAddress, opening,
                                                     mSelfEndpoint, RuntimeClock::now());
    if (const auto* forward = std::get_if<ForwardDatagram>(&decision)) {
      SendFrame(forward->mHeader, aBytes, forward->mTo);
      mForwarded.Add();
    } else if (const auto* refusal = std::get_if<Refusal>(&decision)) {
      CountByReason(refusal->mReason, "refusals");
      Refuse(aServiceAddress, aCaller, datagram.value().mSessionTag, *refusal);
    } else {
      CountByReason(std::get<DropDatagram>(decision).mReason, "drops");
    }
  }

  void SendFrame(const DatagramHeader& aHeader, std::span<const std::uint8_t> aPayload,
                 const Endpoint& aTo)
  {
    std::array<std::uint8_t, kDatagramHeaderSize + kMaxDatagramPayload> frame{};
    const auto header = EncodeDatagramHeader(aHeader);
    std::copy(header.begin(), header.end(), frame.begin());
    std::copy(aPayload.begin(), aPayload.end(), frame.begin() + header.size());
    mAgentSocket->Send({frame.data(), header.size() + aPayload.size()}, aTo);
  }

  void Refuse(const Endpoint& aServiceAddress, const Endpoint& aCaller, std::uint64_t aTag,
              const Refusal& aRefusal)
  {
    CallerDatagram refused;
    refused.mKind = CallerDatagramKind::Refused;
    refused.mSessionTag = aTag;
    refused.mReason = aRefusal.mReason;
    refused.mRetryAfter = aRefusal.mRetryAfter;
    SendToCaller(aServiceAddress, EncodeCallerDatagram(refused), aCaller);
  }

  void SendToCaller(const Endpoint& aServiceAddress, std::span<const std::uint8_t> aBytes,
                    const Endpoint& aCaller)
  {
    const std::shared_lock lock(mListenersMutex);
    if (const auto found = mListeners.find(aServiceAddress); found != mListeners.end()) {
      found->second.mDatagrams->Send(aBytes, aCaller);
      return;
    }
    CountByReason(RefusalReason::NoService, "drops");
  }

  void OnAgentDatagram(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom)
  {
    const auto frame = DecodeDatagram(aBytes);
    if (!frame) {
      CountByReason(RefusalReason::Malformed, "drops");
      return;
    }
    const auto& [header, payload] = frame.value();
    if (header.mKind == DatagramKind::Reply || header.mKind == DatagramKind::Refuse) {
      SendToCaller(header.mService, payload, header.mCaller);
    } else if (header.mKind == DatagramKind::StateProbeAnswer) {
      std::vector<RoutingAction> actions;
      {
        const std::lock_guard lock(mRoutingMutex);
        actions = mRouting.OnProbeAnswer(header, aFrom);
      }
      Perform(actions);
    }
  }

  void OnRoutingTick()
  {
    std::vector<RoutingAction> actions;
    {
      const std::lock_guard lock(mRoutingMutex);
      actions = mRouting.Tick(RuntimeClock::now());
    }
    Perform(actions);
  }

  void Perform(const std::vector<RoutingAction>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        SendFrame(probe->mHeader, {}, probe->mTo);
        continue;
      }
      FetchStateFrom(std::get<FetchStateFromAgent>(action).mRequestEndpoint);
    }
  }

  void FetchStateFrom(const std::string& aEndpoint)
  {
    mClients.Post(aEndpoint, "/v1/state", {}, kStateFetchTimeout, [this, aEndpoint](auto aResult) {
      const auto answer = aResult ? FromCbor<AnnouncementAnswer>(aResult.value(), aEndpoint)
                                  : Result<AnnouncementAnswer>(aResult.as_failure());
      if (!answer) {
        return;
      }
      mLink.ApplyStateFromAgent(answer.value());
      NodeState state;
      if (state.Apply(answer.value())) {
        ApplyState(state);
      }
    });
  }

  // --- Requests ---

  void OnRequest(const Endpoint& aServiceAddress, const std::shared_ptr<HttpExchange>& aExchange)
  {
    std::shared_ptr<const Configuration> configuration;
    {
      const std::shared_lock lock(mListenersMutex);
      configuration = mConfiguration;
    }
    const ServiceEntry* entry = FindByAddress(*configuration, aServiceAddress);
    if (entry == nullptr) {
      aExchange->Respond(ToResponse(NotRunReply({RefusalReason::NoService, kBalancerRetryAfter})));
      return;
    }
    CallerRequest request = DecodeRequest(*entry, *aExchange);
    const ReplyHandle handle = request.mHandle;
    {
      const std::lock_guard lock(mRequestMutex);
      mExchanges[handle] = aExchange;
    }
    WithRequestCore([&](BalancerRequestCore& aCore, const RequestTime& aTime) {
      return aCore.OnRequest(std::move(request), aTime);
    });
    aExchange->OnCancel([this, handle] {
      WithRequestCore([handle](BalancerRequestCore& aCore, const RequestTime& aTime) {
        return aCore.OnCallerCancelled(handle, aTime);
      });
    });
  }

  static const ServiceEntry* FindByAddress(const Configuration& aConfiguration,
                                           const Endpoint& aServiceAddress)
  {
    const std::string address = aServiceAddress.ToString();
    for (const auto& [name, entry] : aConfiguration.mServices) {
      const auto& addresses = entry.mSpec.mAddresses;
      if (std::find(addresses.begin(), addresses.end(), address) != addresses.end()) {
        return &entry;
      }
    }
    return nullptr;
  }

  CallerRequest DecodeRequest(const ServiceEntry& aEntry, const HttpExchange& aExchange)
  {
    const auto& headers = aExchange.Request().mHeaders;
    CallerRequest request;
    request.mHandle = mNextHandle++;
    request.mService = aEntry.mId;
    if (const auto id = FindHeader(headers, kHeaderRequestId); !id.empty()) {
      request.mIdText = std::string(id);
    }
    request.mCallerAttempt = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      FindNumberHeader(headers, kHeaderAttempt).value_or(kAssumedAttempt), kMaxCallerAttempt));
    request.mIdempotent =
      aEntry.mSpec.mIdempotent && FindHeader(headers, kHeaderIdempotent) != "false";
    const auto limit = static_cast<std::uint64_t>(aEntry.mSpec.mRequestTimeout.count());
    request.mRemaining = Milliseconds(static_cast<std::int64_t>(
      std::min(FindNumberHeader(headers, kHeaderDeadline).value_or(limit), limit)));
    const std::string& peer = aExchange.Peer();
    request.mCaller = Hash64(std::string_view(peer).substr(0, peer.rfind(':')));
    request.mClass = aEntry.mSpec.mTrafficClass;
    request.mBody = aExchange.Request().mBody;
    return request;
  }

  // Calls aEvent with the request core and performs the actions that it returns.
  template <typename Event>
  void WithRequestCore(Event aEvent)
  {
    BalancerRequestActions actions;
    {
      const std::lock_guard lock(mRequestMutex);
      actions = aEvent(mRequestCore, RequestTime{RuntimeClock::now(), WallClockMs()});
    }
    for (auto& action : actions) {
      std::visit([this](auto& aAction) { this->Do(aAction); }, action);
    }
  }

  void OnRequestTick()
  {
    WithRequestCore(
      [](BalancerRequestCore& aCore, const RequestTime& aTime) { return aCore.OnTick(aTime); });
  }

  void Do(SendToAgent& aAction)
  {
    HttpRequest request;
    request.mPath = "/v1/request";
    request.mHeaders = {
      {kHeaderService, std::to_string(aAction.mService)},
      {kHeaderRequestId, aAction.mKey.mId.ToString()},
      {kHeaderAttempt, std::to_string(aAction.mKey.mAttempt)},
      {kHeaderIdempotent, aAction.mIdempotent ? "true" : "false"},
      {kHeaderMayHaveRun, aAction.mMayHaveRun ? "true" : "false"},
      {kHeaderDeadline, std::to_string(aAction.mRemaining.count())},
      {kHeaderCaller, std::to_string(aAction.mCaller)},
      {kHeaderClass, ToJson(aAction.mClass).get<std::string>()},
    };
    request.mBody = std::move(aAction.mBody);
    const auto client = mClients.ClientFor(aAction.mAgent);
    const AttemptKey key = aAction.mKey;
    const auto timeout = std::max(aAction.mRemaining, Milliseconds(1));
    // Send only posts the request. Its callback, OnAgentResult, locks the same mutex before it
    // erases the id, so the id is stored first.
    const std::lock_guard lock(mRequestMutex);
    mHttpRequestIds[AttemptMapKey(key)] =
      client->Send(std::move(request), timeout,
                   [this, key](auto aResult) { OnAgentResult(key, std::move(aResult)); });
  }

  void OnAgentResult(const AttemptKey& aKey, Result<HttpResponse> aResult)
  {
    {
      const std::lock_guard lock(mRequestMutex);
      mHttpRequestIds.erase(AttemptMapKey(aKey));
    }
    if (!aResult) {
      const bool sent = aResult.error().mCode != ErrorCode::Unavailable;
      WithRequestCore([&](BalancerRequestCore& aCore, const RequestTime& aTime) {
        return aCore.OnAgentLinkFailed(aKey, sent, aTime);
      });
      return;
    }
    auto response = FromResponse(std::move(aResult.value()));
    WithRequestCore([&](BalancerRequestCore& aCore, const RequestTime& aTime) {
      return aCore.OnAgentReply(aKey, response.mOutcome, response.mRefusal,
                                std::move(response.mReceived), aTime);
    });
  }

  void Do(CancelAtAgent& aAction)
  {
    std::optional<std::uint64_t> id;
    {
      const std::lock_guard lock(mRequestMutex);
      if (const auto found = mHttpRequestIds.find(AttemptMapKey(aAction.mKey));
          found != mHttpRequestIds.end()) {
        id = found->second;
      }
    }
    if (id) {
      mClients.ClientFor(aAction.mAgent)->Cancel(*id);
    }
  }

  void Do(ReplyToCaller& aAction)
  {
    std::shared_ptr<HttpExchange> exchange;
    {
      const std::lock_guard lock(mRequestMutex);
      if (auto node = mExchanges.extract(aAction.mHandle); !node.empty()) {
        exchange = node.mapped();
      }
    }
    if (!exchange) {
      return;
    }
    HttpResponse response = ToResponse(aAction.mReply);
    response.mHeaders.push_back({kHeaderRequestId, aAction.mId.ToString()});
    exchange->Respond(std::move(response));
  }

  // --- Planned stop ---

  void Stop()
  {
    mState = MemberState::Draining;
    mStopBy = RuntimeClock::now() + mSettings.mStopDeadline;
    mLink.AnnounceNow();
    CallAfter(mPool.Loop(), kStopAcceptingDelay, [this] {
      {
        const std::shared_lock lock(mListenersMutex);
        for (auto& [address, listener] : mListeners) {
          listener.mRequests->StopAccepting();
        }
      }
      AwaitRequestsEnd();
    });
  }

  std::size_t OpenRequests()
  {
    const std::shared_lock lock(mListenersMutex);
    std::size_t open = 0;
    for (const auto& [address, listener] : mListeners) {
      open += listener.mRequests->OpenRequests();
    }
    return open;
  }

  void AwaitRequestsEnd()
  {
    const std::size_t open = OpenRequests();
    const bool late = RuntimeClock::now() > mStopBy;
    if (open > 0 && !late) {
      CallAfter(mPool.Loop(), kStopPoll, [this] { AwaitRequestsEnd(); });
      return;
    }
    LogEvent(late ? LogLevel::Warning : LogLevel::Info, late ? "stop_deadline_passed" : "stopped")
      .With("open_requests", open);
    mState = MemberState::Left;
    mLink.Stop();
    mLink.AnnounceNow([this](bool) { mPool.Exit(0); });
  }

  void RefreshMetrics()
  {
    mRegistry.GaugeFor("dandelionslip_control_bytes")
      .Set(static_cast<double>(mLink.TrafficBytes()));
    mRegistry.GaugeFor("dandelionslip_balancer_open_requests")
      .Set(static_cast<double>(OpenRequests()));
    const std::lock_guard lock(mRoutingMutex);
    mRegistry.GaugeFor("dandelionslip_configuration_revision")
      .Set(static_cast<double>(mRouting.ConfigurationRevision()));
    mRegistry.GaugeFor("dandelionslip_view_revision")
      .Set(static_cast<double>(mRouting.ViewRevision()));
    mRegistry.GaugeFor("dandelionslip_lease_valid")
      .Set(mRouting.HasValidLease(RuntimeClock::now()) ? 1 : 0);
  }

  BalancerSettings mSettings;
  MetricsRegistry mRegistry;
  Counter& mForwarded = mRegistry.CounterFor("dandelionslip_balancer_forwarded_total");
  WorkerPool mPool;
  Http2ClientPool mClients;
  ControlLink mLink;
  Endpoint mSelfEndpoint;
  // Lock order: mRoutingMutex, mListenersMutex, mRequestMutex.
  std::mutex mRoutingMutex; ///< Guards mRouting; its snapshot is read without it.
  RoutingCore mRouting;
  std::shared_mutex mListenersMutex; ///< Guards mListeners and mConfiguration.
  std::map<Endpoint, Listener> mListeners;
  std::shared_ptr<const Configuration> mConfiguration = std::make_shared<Configuration>();
  std::mutex mRequestMutex; ///< Guards the members below up to mHttpRequestIds.
  SnapshotTargets mTargets;
  BalancerRequestCore mRequestCore;
  std::map<ReplyHandle, std::shared_ptr<HttpExchange>> mExchanges;
  /// The HTTP/2 client's request id of each attempt in progress.
  std::map<std::pair<std::string, Attempt>, std::uint64_t> mHttpRequestIds;
  std::atomic<ReplyHandle> mNextHandle{1};
  std::atomic<MemberState> mState{MemberState::Serving};
  std::uint64_t mIncarnation;
  TimePoint mStopBy;
  std::unique_ptr<UdpSocket> mAgentSocket;
  std::unique_ptr<MetricsEndpoint> mMetrics;
  std::unique_ptr<RepeatingTimer> mRoutingTimer;
  std::unique_ptr<RepeatingTimer> mRequestTimer;
};

} // namespace

Result<int> RunBalancer(const BalancerSettings& aSettings)
{
  InitialiseLog("dandelionslip-balancer", aSettings.mNode, aSettings.mLogLevel);
  BalancerDaemon daemon(aSettings);
  return daemon.Run();
}

} // namespace dandelionslip
