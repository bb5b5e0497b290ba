// The balancer's decision core for control state.
#pragma once

#include "dandelionslip/Model/Announcement.h"
#include "dandelionslip/Route/RoutingSnapshot.h"

#include <mutex>
#include <variant>
#include <vector>

namespace dandelionslip {

/// Send a probe header without payload to an agent.
struct SendProbe
{
  Endpoint mTo;
  DatagramHeader mHeader;
};

/// Fetch view and configuration from the agent with this request endpoint.
struct FetchStateFromAgent
{
  std::string mMember;
  std::string mRequestEndpoint;
};

using RoutingAction = std::variant<SendProbe, FetchStateFromAgent>;

/// Settings of a routing core.
struct RoutingSettings
{
  Endpoint mEndpoint; ///< Where this balancer receives replies and probe answers.
  Milliseconds mProbeInterval{500};
  Milliseconds mProbeValidity{2'000}; ///< How long a probe answer keeps a data centre open.
};

/// Keeps view, configuration and control contact of a balancer, and publishes snapshots for the
/// worker threads. All calls but Snapshot() come from one thread at a time.
class RoutingCore
{
public:
  explicit RoutingCore(RoutingSettings aSettings);

  /// Applies a configuration. Returns false and changes nothing when its revision is lower than
  /// the one in force.
  bool ApplyConfiguration(const Configuration& aConfiguration);

  /// Applies a view. Returns false and changes nothing when its revision is lower than the one in
  /// force.
  bool ApplyView(const View& aView);

  /// Takes an answer to the announcement that was sent at aSentAt. The lease counts from the time
  /// of sending, so that a delayed answer never extends it.
  void OnAnnouncementAnswer(const AnnouncementAnswer& aAnswer, TimePoint aSentAt);

  /// Takes a probe answer that came from aSender. It keeps the agent's data centre open from the
  /// time at which the probe was sent, unless the agent has newer state, which is then fetched.
  std::vector<RoutingAction> OnProbeAnswer(const DatagramHeader& aHeader, const Endpoint& aSender);

  /// To be called at least every 100 ms. Probes while the lease is about to end or has ended.
  std::vector<RoutingAction> Tick(TimePoint aNow);

  /// Whether the lease is valid.
  bool HasValidLease(TimePoint aNow) const { return aNow <= mLeaseEnd; }

  std::uint64_t ViewRevision() const { return mView.mRevision; }
  std::uint64_t ConfigurationRevision() const { return mConfiguration.mRevision; }

  /// The tables in force; never null. Thread-safe.
  std::shared_ptr<const RoutingSnapshot> Snapshot() const;

private:
  /// The last probe sent to an agent.
  struct Probe
  {
    std::string mMember;
    TimePoint mSentAt;
  };

  void Publish();
  void AddGates();
  void ProbeDataCentre(const std::string& aDataCentre, TimePoint aNow,
                       std::vector<RoutingAction>& aActions);

  RoutingSettings mSettings;
  Configuration mConfiguration;
  View mView;
  TimePoint mLeaseEnd{RuntimeClock::duration(-1)}; ///< Before every reading of the clock.
  TimePoint mNextProbe{RuntimeClock::duration(0)};
  std::uint64_t mProbeRound = 0;
  std::map<Endpoint, Probe> mProbed;
  DataCentreGates mGates;
  mutable std::mutex mSnapshotMutex;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
};

} // namespace dandelionslip
