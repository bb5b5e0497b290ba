// Leases and views of balancers and agents on one control replica, without I/O, clock or threads.
// Members are balancers and agents here; the replicas of the Raft group are in RaftMembership.h.
#pragma once

#include "dandelionslip/Control/AttachedNodes.h"
#include "dandelionslip/Control/ConfigurationStore.h"
#include "dandelionslip/Control/SummaryReceiver.h"
#include "dandelionslip/Control/ViewBuilder.h"
#include "dandelionslip/Control/ViewUpdate.h"
#include "dandelionslip/Model/RevisionHistory.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace dandelionslip {

/// The Raft term, leader and voters as RaftCore reports them.
struct RaftStatus
{
  std::uint64_t mTerm = 0;
  bool mLeading = false;            ///< This replica leads the term.
  std::string mLeader;              ///< Empty while unknown.
  std::vector<std::string> mVoters; ///< All voting replicas, this one included.
};

/// Send the summary to the leader over /v1/summary; the answer goes to OnSummaryAnswer.
struct SendSummary
{
  std::string mTo;
  MemberSummary mSummary;
};

/// Send the update to a replica over /v1/view; the answer goes to OnViewUpdateAnswer.
struct SendViewUpdate
{
  std::string mTo;
  ViewUpdate mUpdate;
};

using MembershipAction = std::variant<SendSummary, SendViewUpdate>;

/// Handles announcements, summaries and views on one control replica: a follower reports its
/// attached nodes to the leader, the leader renews their leases and issues views. Takes events and
/// returns answers and actions; has no socket, thread, clock or random source. Not thread-safe.
/// A view revision is "held" once a quorum of voters is known to have it. Nodes get held views
/// only, so that the next leader knows every view on which a node has acted.
class MembershipCore
{
public:
  MembershipCore(std::string aReplica, const MembershipSettings& aSettings);

  /// An announcement from an attached node. aConfirmed is RaftCore::Confirmed at aNow (by default a
  /// quorum contact within the last 500 ms). Without it the answer carries neither lease nor state.
  AnnouncementAnswer OnAnnouncement(const Announcement& aAnnouncement, bool aConfirmed,
                                    TimePoint aNow);

  /// A summary from another replica; only the leader of the summary's term accepts it.
  SummaryAnswer OnSummary(const MemberSummary& aSummary, TimePoint aNow);

  /// The leader's answer to this replica's newest summary.
  void OnSummaryAnswer(const SummaryAnswer& aAnswer);

  /// A view from the leader. A lower revision, or a view from a leader that this replica does not
  /// follow, is ignored.
  ViewUpdateAnswer OnViewUpdate(const ViewUpdate& aUpdate);

  /// A replica's answer to a view update.
  void OnViewUpdateAnswer(const ViewUpdateAnswer& aAnswer);

  /// A committed log entry with a command.
  CommandAnswer OnCommitted(std::uint64_t aIndex, const Command& aCommand);

  /// A snapshot of the configuration store, at start or from the leader.
  Result<void> OnSnapshot(const Json& aSnapshot);

  /// A new term, leader or set of voters.
  void OnRaftStatus(const RaftStatus& aStatus, TimePoint aNow);

  /// Handles timeouts; call every 20 ms.
  std::vector<MembershipAction> OnTick(TimePoint aNow);

  const ConfigurationStore& Store() const { return mStore; }
  /// The newest view that this replica has.
  const View& CurrentView() const { return mViews.Newest(); }

  /// The view that nodes get: the newest view that this replica has and knows to be held.
  const View& ServedView() const { return mServedViews.Newest(); }
  const LeaseTable& Leases() const { return mLeases; }

  /// Whether this replica leads, knows the views of a quorum and therefore issues views.
  bool IssuesViews() const { return mIssuing; }

private:
  struct Peer
  {
    SummaryReceiver mReceiver;
    bool mViewKnown = false; ///< Its view is known and not newer than the one of this replica.
    std::uint64_t mViewRevision = 0; ///< Newest revision that it is known to have.
    TimePoint mLastSummaryAt;
    TimePoint mViewSentAt;
    std::uint64_t mViewRevisionSent = 0;
    std::uint64_t mHeldRevisionSent = 0; ///< Held revision of the last update sent.
  };

  void AddNewerState(const Announcement& aAnnouncement, AnnouncementAnswer& aAnswer) const;
  bool IsFencedByView(const Member& aMember) const;
  void AdoptViewOf(const MemberSummary& aSummary, Peer& aPeer, SummaryAnswer& aAnswer,
                   TimePoint aNow);
  void ApplyViewUpdate(const ViewUpdate& aUpdate);
  /// Raises the held revision and advances the served view as far as the held views are known.
  void UpdateHeldRevision(std::uint64_t aRevision);
  Milliseconds LeaseFor(const Member& aMember, TimePoint aNow) const;
  /// The update to send to the peer now, if any; records it as sent.
  std::optional<ViewUpdate> PrepareViewUpdate(Peer& aPeer, TimePoint aNow) const;
  /// Starts over for a new term or role. Also called when the leader of the term becomes known.
  void OnLeadershipChange(TimePoint aNow);
  void StartIssuing(TimePoint aNow);
  void UpdateView(TimePoint aNow);
  bool IsVoter(const std::string& aReplica) const;
  bool KnowsViewsOfQuorum() const;
  std::uint64_t QuorumRevision() const;
  bool MayIssueView() const;
  void AddViewUpdates(std::vector<MembershipAction>& aActions, TimePoint aNow);
  void AddSummary(std::vector<MembershipAction>& aActions, TimePoint aNow);

  std::string mReplica;
  MembershipSettings mSettings;
  ConfigurationStore mStore;
  RevisionHistory<Configuration, ConfigurationDifference> mConfigurations;
  RevisionHistory<View, ViewDifference> mViews;
  RevisionHistory<View, ViewDifference> mServedViews;
  std::uint64_t mHeldRevision = 0; ///< Newest held revision that this replica knows of.
  AttachedNodes mAttached;
  LeaseTable mLeases;
  ViewBuilder mBuilder;
  RaftStatus mRaftStatus;
  bool mIssuing = false;
  TimePoint mFirstIssueTime; ///< Earliest time of the first view in this term.
  std::map<std::string, Peer> mPeers;
  std::optional<TimePoint> mViewUpdatedAt;
  std::optional<TimePoint> mSummarySentAt;
  bool mAwaitingSummaryAnswer = false; ///< The newest summary is not answered yet.
  bool mViewRequested = false;         ///< The leader asked for this replica's view.
};

} // namespace dandelionslip
