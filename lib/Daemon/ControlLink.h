// A node's link to the control replicas: announces the node and fetches the state at start.
#pragma once

#include "Http2ClientPool.h"

#include "dandelionslip/Config/CommonSettings.h"
#include "dandelionslip/Model/NodeState.h"
#include "dandelionslip/Net/Timer.h"
#include "dandelionslip/Support/Metrics.h"

#include <functional>
#include <mutex>

namespace dandelionslip {

/// Announces the node periodically to one control replica, and switches to the next replica when
/// that one grants no lease. Thread-safe.
class ControlLink
{
public:
  struct Handlers
  {
    /// Builds the announcement; the link fills in the revisions.
    std::function<Announcement()> mMakeAnnouncement;
    /// Called after each answer with the answer, the newest state of the node and the time at which
    /// the announcement was sent.
    std::function<void(const AnnouncementAnswer&, const NodeState&, TimePoint)> mOnAnswer;
  };

  ControlLink(boost::asio::io_context& aLoop, Http2ClientPool& aClients,
              const CommonSettings& aSettings, MetricsRegistry& aRegistry, Handlers aHandlers);

  /// Fetches the whole state, trying the replicas in turn until one confirms it.
  void FetchState(const std::function<void(const NodeState&)>& aDone);

  /// Starts the periodic announcements.
  void Start();
  void Stop();

  /// Announces the node now. Calls aDone with whether an answer arrived. A call without aDone sends
  /// nothing while an earlier announcement is unanswered.
  void AnnounceNow(std::function<void(bool)> aDone = {});

  /// Adds seeds (the control endpoints of the settings) to the endpoints in use, for example after
  /// the settings file has changed. The next list from control replaces all endpoints.
  void AddSeeds(std::vector<std::string> aSeeds);

  /// Sends an empty request to the replica that is aSkipped places behind the current one in the
  /// list, which starts again at its end.
  void Post(const std::string& aPath, std::size_t aSkipped, Milliseconds aTimeout,
            std::function<void(const Result<Bytes>&)> aDone);

  /// Whether a replica has granted a lease within the last aDuration.
  bool HadLeaseWithin(Milliseconds aDuration);

  /// Bytes sent to and received from all control replicas.
  std::uint64_t TrafficBytes();

  /// Applies state that an agent has sent. Lower revisions are ignored.
  void ApplyStateFromAgent(const AnnouncementAnswer& aAnswer);

private:
  std::string CurrentEndpoint(std::size_t aSkipped = 0);
  void ReplaceEndpointsLocked(const std::vector<std::string>& aEndpoints);
  void SwitchReplica(const Error& aReason);
  bool OnAnnouncementAnswer(const Result<Bytes>& aResult, TimePoint aSentAt,
                            const std::string& aEndpoint);
  void OnStateAnswer(const Result<Bytes>& aResult,
                     const std::function<void(const NodeState&)>& aDone);

  boost::asio::io_context& mLoop;
  Http2ClientPool& mClients;
  CommonSettings mSettings;
  MetricsRegistry& mRegistry;
  Handlers mHandlers;
  std::mutex mMutex; ///< Guards the members below; not held while handlers run.
  NodeState mState;
  std::vector<std::string> mEndpoints; ///< The seeds, until control sends its list of replicas.
  std::size_t mIndex = 0;
  TimePoint mWithoutLeaseSince; ///< Last lease, or last switch of the replica if that was later.
  std::optional<TimePoint> mLastLeaseTime;
  /// Whether a switch of the replica was logged since the last lease. Further switches are then not
  /// logged.
  bool mSwitchLogged = false;
  bool mAwaitingAnswer = false;
  std::unique_ptr<RepeatingTimer> mTimer;
};

} // namespace dandelionslip
