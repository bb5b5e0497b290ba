// The balancer's routing state: view, configuration, lease and state probes.
#pragma once

#include "dandelionslip/Model/Announcement.h"
#include "dandelionslip/Route/RoutingSnapshot.h"

#include <mutex>
#include <variant>
#include <vector>

namespace dandelionslip {

/// Send a state probe, which is a header without payload, to an agent.
struct SendProbe
{
  Endpoint mTo;
  DatagramHeader mHeader;
};

/// Fetch the view and configuration from the agent with this request endpoint.
struct FetchStateFromAgent
{
  std::string mMember;
  std::string mRequestEndpoint;
};

using RoutingAction = std::variant<SendProbe, FetchStateFromAgent>;

/// Settings of a routing core.
struct RoutingSettings
{
  Endpoint mEndpoint; ///< Endpoint at which this balancer receives replies and probe answers.
  Milliseconds mProbeInterval{500};
  /// Duration of the data centre lease that an answered probe grants, from the time at which the
  /// probe was sent.
  Milliseconds mProbeLease{2'000};
};

/// Holds the view, the configuration and the leases of a balancer, and publishes snapshots for the
/// worker threads. Does no I/O: it returns the actions that the daemon performs. Only Snapshot()
/// may be called concurrently with other calls.
class RoutingCore
{
public:
  explicit RoutingCore(RoutingSettings aSettings);

  /// Applies a configuration. Returns false and changes nothing when its revision is lower than
  /// that of the current one.
  bool ApplyConfiguration(const Configuration& aConfiguration);

  /// Applies a view. Returns false and changes nothing when its revision is lower than that of the
  /// current one.
  bool ApplyView(const View& aView);

  /// Handles the answer to the announcement that was sent at aSentAt. The lease runs from that
  /// time, so a delayed answer does not make it longer than control granted. Ignores an answer that
  /// is not confirmed or is fenced. Reads only whole state (mConfiguration, mView), not
  /// differences.
  void OnAnnouncementAnswer(const AnnouncementAnswer& aAnswer, TimePoint aSentAt);

  /// Handles a probe answer from aSender. It extends the lease of the agent's data centre, counted
  /// from the time at which the probe was sent. When the agent has newer state, the lease is not
  /// extended and the returned action fetches that state.
  std::vector<RoutingAction> OnProbeAnswer(const DatagramHeader& aHeader, const Endpoint& aSender);

  /// Must be called at least every 100 ms. Returns the probes to send when the balancer's lease is
  /// about to expire or has expired.
  std::vector<RoutingAction> Tick(TimePoint aNow);

  bool HasValidLease(TimePoint aNow) const { return aNow <= mLeaseEnd; }

  std::uint64_t ViewRevision() const { return mView.mRevision; }
  std::uint64_t ConfigurationRevision() const { return mConfiguration.mRevision; }

  /// The current snapshot; never null. Thread-safe.
  std::shared_ptr<const RoutingSnapshot> Snapshot() const;

private:
  /// The last probe that was sent to an agent.
  struct SentProbe
  {
    std::string mMember;
    TimePoint mSentAt;
  };

  void PublishSnapshot();
  void AddDataCentreLeases();
  void ProbeDataCentre(const std::string& aDataCentre, TimePoint aNow,
                       std::vector<RoutingAction>& aActions);

  RoutingSettings mSettings;
  Configuration mConfiguration;
  View mView;
  TimePoint mLeaseEnd{RuntimeClock::duration(-1)}; ///< Initially earlier than any clock reading.
  TimePoint mNextProbe{RuntimeClock::duration(0)};
  std::uint64_t mProbeRound = 0;
  std::map<Endpoint, SentProbe> mSentProbes; ///< By the agent's datagram endpoint.
  DataCentreLeases mDataCentreLeases;
  mutable std::mutex mSnapshotMutex;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
};

} // namespace dandelionslip
