// Announcements to the control replicas.
#include "ControlLink.h"

#include "dandelionslip/Support/Log.h"

#include <algorithm>
#include <utility>

namespace dandelionslip {

namespace {

constexpr Milliseconds kAnswerTimeout{400};
constexpr Milliseconds kFetchRetry{40};
// A replica that gives no lease for this long is replaced by the next one.
constexpr Milliseconds kMaxWithoutLease{1'000};

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
  , mLastLease(RuntimeClock::now())
{
}

std::string ControlLink::Current()
{
  const std::lock_guard lock(mMutex);
  return mEndpoints[mIndex % mEndpoints.size()];
}

// The current endpoint stays current if it is still known.
void ControlLink::LearnEndpoints(const std::vector<std::string>& aEndpoints)
{
  if (aEndpoints.empty() || aEndpoints == mEndpoints) {
    return;
  }
  const std::string current = mEndpoints[mIndex % mEndpoints.size()];
  mEndpoints = aEndpoints;
  const auto found = std::find(mEndpoints.begin(), mEndpoints.end(), current);
  mIndex = found == mEndpoints.end() ? 0 : static_cast<std::size_t>(found - mEndpoints.begin());
}

void ControlLink::SetSeeds(std::vector<std::string> aSeeds)
{
  const std::lock_guard lock(mMutex);
  mSettings.mControlEndpoints = std::move(aSeeds);
  std::vector<std::string> all = mEndpoints;
  for (const std::string& seed : mSettings.mControlEndpoints) {
    if (std::find(all.begin(), all.end(), seed) == all.end()) {
      all.push_back(seed);
    }
  }
  LearnEndpoints(all);
}

bool ControlLink::InContact(Milliseconds aWithin)
{
  const std::lock_guard lock(mMutex);
  return mLeaseGranted && RuntimeClock::now() - *mLeaseGranted <= aWithin;
}

void ControlLink::Rotate(const Error& aReason)
{
  std::size_t index = 0;
  {
    const std::lock_guard lock(mMutex);
    index = ++mIndex;
    mLastLease = RuntimeClock::now();
    if (std::exchange(mLossLogged, true)) {
      mRegistry.CounterFor("dandelionslip_control_switches_total").Add();
      return;
    }
  }
  mRegistry.CounterFor("dandelionslip_control_switches_total").Add();
  LogEvent(LogLevel::Warning, "control_replica_changed")
    .With("attempt", index)
    .With("to", Current())
    .With(aReason);
}

void ControlLink::FetchState(const std::function<void(const NodeState&)>& aDone)
{
  mClients.Post(Current(), "/v1/state", {}, kAnswerTimeout,
                [this, aDone](auto aResult) { OnState(aResult, aDone); });
}

void ControlLink::OnState(const Result<Bytes>& aResult,
                          const std::function<void(const NodeState&)>& aDone)
{
  const auto answer = aResult ? FromCbor<AnnouncementAnswer>(aResult.value(), Current())
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
  Rotate(answer ? Error{ErrorCode::Unavailable, "control.fetch", Current(), "not confirmed"}
                : answer.error());
  CallAfter(mLoop, kFetchRetry, [this, aDone] { FetchState(aDone); });
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
  Announcement announcement = mHandlers.mAnnounce();
  {
    const std::lock_guard lock(mMutex);
    if (mInFlight && !aDone) {
      return;
    }
    mInFlight = true;
    announcement.mConfigurationRevision = mState.CurrentConfiguration().mRevision;
    announcement.mViewRevision = mState.CurrentView().mRevision;
  }
  const TimePoint sentAt = RuntimeClock::now();
  const std::string endpoint = Current();
  mClients.Post(endpoint, "/v1/announce", ToCbor(announcement), kAnswerTimeout,
                [this, sentAt, endpoint, done = std::move(aDone)](auto aResult) {
                  const bool answered = OnAnswer(aResult, sentAt, endpoint);
                  if (done) {
                    done(answered);
                  }
                });
}

bool ControlLink::OnAnswer(const Result<Bytes>& aResult, TimePoint aSentAt,
                           const std::string& aEndpoint)
{
  const auto answer = aResult ? FromCbor<AnnouncementAnswer>(aResult.value(), aEndpoint)
                              : Result<AnnouncementAnswer>(aResult.as_failure());
  NodeState state;
  bool silent = false;
  {
    const std::lock_guard lock(mMutex);
    mInFlight = false;
    if (answer) {
      if (const auto taken = mState.Apply(answer.value()); !taken) {
        mRegistry.CounterFor("dandelionslip_state_not_taken_total").Add();
      }
      if (answer.value().mLease.count() > 0) {
        mLastLease = aSentAt;
        mLeaseGranted = aSentAt;
        if (std::exchange(mLossLogged, false)) {
          LogEvent(LogLevel::Info, "control_regained").With("replica", aEndpoint);
        }
        LearnEndpoints(answer.value().mControlEndpoints);
      }
    }
    // Without a leader in reach the replica has nothing to give; another one may be better placed.
    silent =
      (answer && !answer.value().mConfirmed) || RuntimeClock::now() - mLastLease > kMaxWithoutLease;
    state = mState;
  }
  if (!answer || silent) {
    Rotate(answer ? Error{ErrorCode::Unavailable, "control.announce", aEndpoint, "no lease"}
                  : answer.error());
    CallAfter(mLoop, kFetchRetry, [this] { AnnounceNow(); });
  }
  if (answer) {
    mHandlers.mAnswered(answer.value(), state, aSentAt);
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
    const TrafficCount& traffic = mClients.ClientFor(endpoint)->Traffic();
    bytes += traffic.mRead + traffic.mWritten;
  }
  return bytes;
}

void ControlLink::TakeFromPeer(const AnnouncementAnswer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  if (const auto taken = mState.Apply(aAnswer); !taken) {
    mRegistry.CounterFor("dandelionslip_state_not_taken_total").Add();
  }
}

} // namespace dandelionslip
