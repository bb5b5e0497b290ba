// A node's link to the control replicas: periodic announcements and state at start.
#pragma once

#include "Http2ClientPool.h"

#include "dandelionslip/Config/CommonSettings.h"
#include "dandelionslip/Model/NodeState.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Support/Metrics.h"

#include <functional>
#include <mutex>

namespace dandelionslip {

/// Announces the node to one control replica and moves to the next when it gives no lease.
/// Thread-safe.
class ControlLink
{
public:
  struct Handlers
  {
    /// Builds the announcement; revisions are filled in by the link.
    std::function<Announcement()> mAnnounce;
    /// Called after each answer, with the state that the node holds now.
    std::function<void(const AnnouncementAnswer&, const NodeState&, TimePoint)> mAnswered;
  };

  ControlLink(boost::asio::io_context& aLoop, Http2ClientPool& aClients,
              const CommonSettings& aSettings, MetricsRegistry& aRegistry, Handlers aHandlers);

  /// Fetches the whole state from a replica that confirms it, repeating until one does.
  void FetchState(const std::function<void(const NodeState&)>& aDone);

  /// Starts the periodic announcements.
  void Start();
  void Stop();

  /// Announces now; aDone is told whether an answer came.
  void AnnounceNow(std::function<void(bool)> aDone = {});

  /// Replaces the endpoints of the settings, for example after the file has changed. Endpoints
  /// learned from control stay in use.
  void SetSeeds(std::vector<std::string> aSeeds);

  /// Whether a replica has granted a lease within the given time.
  bool InContact(Milliseconds aWithin);

  /// Bytes sent to and received from all control replicas.
  std::uint64_t TrafficBytes();

  /// Takes state that another node passed on. Lower revisions are ignored.
  void TakeFromPeer(const AnnouncementAnswer& aAnswer);

private:
  std::string Current();
  void LearnEndpoints(const std::vector<std::string>& aEndpoints);
  void Rotate(const Error& aReason);
  bool OnAnswer(const Result<Bytes>& aResult, TimePoint aSentAt, const std::string& aEndpoint);
  void OnState(const Result<Bytes>& aResult, const std::function<void(const NodeState&)>& aDone);

  boost::asio::io_context& mLoop;
  Http2ClientPool& mClients;
  CommonSettings mSettings;
  MetricsRegistry& mRegistry;
  Handlers mHandlers;
  std::mutex mMutex; ///< Guards the members below; not held while handlers run.
  NodeState mState;
  std::vector<std::string> mEndpoints; ///< Seeds, then those learned from control.
  std::size_t mIndex = 0;
  TimePoint mLastLease;
  std::optional<TimePoint> mLeaseGranted;
  bool mLossLogged = false; ///< The loss of control was logged and has not ended yet.
  bool mInFlight = false;
  std::unique_ptr<RepeatingTimer> mTimer;
};

} // namespace dandelionslip
