// Announcements to the control replicas, and the choice of the replica.
#include "ControlLink.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

constexpr Milliseconds kAnswerTimeout{400};
constexpr Milliseconds kRetryDelay{40};
// The link switches to the next replica when the current one has granted no lease for this long.
constexpr Milliseconds kMaxTimeWithoutLease{1'000};

} // namespace

ControlLink::ControlLink(boost::asio::io_context& aLoop, Http2ClientPool& aClients,
                         const CommonSettings& aSettings, MetricsRegistry& aRegistry,
                         Handlers aHandlers)
  : mLoop(aLoop)
  , mClients(aClients)
  , mSettings(aSettings)
  , mRegistry(aRegistry)
  , mHandlers(std::move(aHandlers))
  , mEndpoints(aSettings.mControlEndpoints)
  , mWithoutLeaseSince(RuntimeClock::now())
{
}

std::string ControlLink::CurrentEndpoint(std::size_t aSkipped)
{
  const std::lock_guard lock(mMutex);
  return mEndpoints[(mIndex + aSkipped) % mEndpoints.size()];
}

// Called with mMutex held. Keeps using the current endpoint if the new list has it.
void ControlLink::ReplaceEndpointsLocked(const std::vector<std::string>& aEndpoints)
{
  if (aEndpoints.empty() || aEndpoints == mEndpoints) {
    return;
  }
  const std::string current = mEndpoints[mIndex % mEndpoints.size()];
  mEndpoints = aEndpoints;
  const auto found = std::find(mEndpoints.begin(), mEndpoints.end(), current);
  mIndex = found == mEndpoints.end() ? 0 : static_cast<std::size_t>(found - mEndpoints.begin());
}

void ControlLink::AddSeeds(std::vector<std::string> aSeeds)
{
  const std::lock_guard lock(mMutex);
  mSettings.mControlEndpoints = std::move(aSeeds);
  std::vector<std::string> all = mEndpoints;
  for (const std::string& seed : mSettings.mControlEndpoints) {
    if (std::find(all.begin(), all.end(), seed) == all.end()) {
      all.push_back(seed);
    }
  }
  ReplaceEndpointsLocked(all);
}

bool ControlLink::HadLeaseWithin(Milliseconds aDuration)
{
  const std::lock_guard lock(mMutex);
  return mLastLeaseTime && RuntimeClock::now() - *mLastLeaseTime <= aDuration;
}

void ControlLink::Post(const std::string& aPath, std::size_t aSkipped, Milliseconds aTimeout,
                       std::function<void(const Result<Bytes>&)> aDone)
{
  mClients.Post(CurrentEndpoint(aSkipped), aPath, {}, aTimeout,
                [done = std::move(aDone)](auto aResult) { done(aResult); });
}

void ControlLink::SwitchReplica(const Error& aReason)
{
  std::size_t index = 0;
  {
    const std::lock_guard lock(mMutex);
    index = ++mIndex;
    mWithoutLeaseSince = RuntimeClock::now();
    if (std::exchange(mSwitchLogged, true)) {
      mRegistry.CounterFor("dandelionslip_control_switches_total").Add();
      return;
    }
  }
  mRegistry.CounterFor("dandelionslip_control_switches_total").Add();
  LogEvent(LogLevel::Warning, "control_replica_changed")
    .With("attempt", index)
    .With("to", CurrentEndpoint())
    .With(aReason);
}

void ControlLink::FetchState(const std::function<void(const NodeState&)>& aDone)
{
  mClients.Post(CurrentEndpoint(), "/v1/state", {}, kAnswerTimeout,
                [this, aDone](auto aResult) { OnStateAnswer(aResult, aDone); });
}

void ControlLink::OnStateAnswer(const Result<Bytes>& aResult,
                                const std::function<void(const NodeState&)>& aDone)
{
  const auto answer = aResult ? FromCbor<AnnouncementAnswer>(aResult.value(), CurrentEndpoint())
                              : Result<AnnouncementAnswer>(aResult.as_failure());
  if (answer && answer.value().mConfirmed) {
    NodeState state;
    {
      const std::lock_guard lock(mMutex);
      if (mState.Apply(answer.value())) {
        state = mState;
      }
    }
    aDone(state);
    return;
  }
  SwitchReplica(answer ? Error{ErrorCode::Unavailable, "control.fetch", CurrentEndpoint(),
                               "the replica is not confirmed by a quorum"}
                       : answer.error());
  CallAfter(mLoop, kRetryDelay, [this, aDone] { FetchState(aDone); });
}

void ControlLink::Start()
{
  AnnounceNow();
  mTimer =
    std::make_unique<RepeatingTimer>(mLoop, mSettings.mAnnounceInterval, [this] { AnnounceNow(); });
}

void ControlLink::Stop()
{
  mTimer.reset();
}

void ControlLink::AnnounceNow(std::function<void(bool)> aDone)
{
  Announcement announcement = mHandlers.mMakeAnnouncement();
  {
    const std::lock_guard lock(mMutex);
    if (mAwaitingAnswer && !aDone) {
      return;
    }
    mAwaitingAnswer = true;
    announcement.mConfigurationRevision = mState.CurrentConfiguration().mRevision;
    announcement.mViewRevision = mState.CurrentView().mRevision;
  }
  const TimePoint sentAt = RuntimeClock::now();
  const std::string endpoint = CurrentEndpoint();
  mClients.Post(endpoint, "/v1/announce", ToCbor(announcement), kAnswerTimeout,
                [this, sentAt, endpoint, done = std::move(aDone)](auto aResult) {
                  const bool answered = OnAnnouncementAnswer(aResult, sentAt, endpoint);
                  if (done) {
                    done(answered);
                  }
                });
}

bool ControlLink::OnAnnouncementAnswer(const Result<Bytes>& aResult, TimePoint aSentAt,
                                       const std::string& aEndpoint)
{
  const auto answer = aResult ? FromCbor<AnnouncementAnswer>(aResult.value(), aEndpoint)
                              : Result<AnnouncementAnswer>(aResult.as_failure());
  NodeState state;
  bool noLease = false;
  {
    const std::lock_guard lock(mMutex);
    mAwaitingAnswer = false;
    if (answer) {
      if (const auto applied = mState.Apply(answer.value()); !applied) {
        mRegistry.CounterFor("dandelionslip_state_not_taken_total").Add();
      }
      if (answer.value().mLease.count() > 0) {
        mWithoutLeaseSince = aSentAt;
        mLastLeaseTime = aSentAt;
        if (std::exchange(mSwitchLogged, false)) {
          LogEvent(LogLevel::Info, "control_regained").With("replica", aEndpoint);
        }
        ReplaceEndpointsLocked(answer.value().mControlEndpoints);
      }
    }
    // A replica that does not reach the leader cannot grant a lease; another replica may reach it.
    noLease = (answer && !answer.value().mConfirmed) ||
              RuntimeClock::now() - mWithoutLeaseSince > kMaxTimeWithoutLease;
    state = mState;
  }
  if (!answer || noLease) {
    SwitchReplica(answer ? Error{ErrorCode::Unavailable, "control.announce", aEndpoint,
                                 "the replica grants no lease"}
                         : answer.error());
    CallAfter(mLoop, kRetryDelay, [this] { AnnounceNow(); });
  }
  if (answer) {
    mHandlers.mOnAnswer(answer.value(), state, aSentAt);
  }
  return answer.has_value();
}

std::uint64_t ControlLink::TrafficBytes()
{
  std::uint64_t bytes = 0;
  std::vector<std::string> endpoints;
  {
    const std::lock_guard lock(mMutex);
    endpoints = mEndpoints;
  }
  for (const auto& endpoint : endpoints) {
    if (const auto client = mClients.ClientFor(endpoint)) {
      const TrafficCount& traffic = client->Traffic();
      bytes += traffic.mRead + traffic.mWritten;
    }
  }
  return bytes;
}

void ControlLink::ApplyStateFromAgent(const AnnouncementAnswer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  if (const auto applied = mState.Apply(aAnswer); !applied) {
    mRegistry.CounterFor("dandelionslip_state_not_taken_total").Add();
  }
}

} // namespace dandelionslip
