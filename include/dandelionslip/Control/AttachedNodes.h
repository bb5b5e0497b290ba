// The nodes attached to one control replica and the summary of them for the leader.
#pragma once

#include "dandelionslip/Control/LeaseTable.h"
#include "dandelionslip/Control/MemberSummary.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dandelionslip {

/// Collects the announcements of attached nodes and builds summaries of them for the leader. A node
/// is attached to a replica while it announces itself there (see
/// MembershipSettings::mAttachWindow). Not thread-safe.
///
/// A node gets a lease only after the leader has acknowledged a summary that covers the node. The
/// lease starts when that summary was built; the leader counts from its arrival, which is later. So
/// a node's lease never outlasts the leader's record of it, even if the link to the leader breaks
/// between two summaries.
class AttachedNodes
{
public:
  explicit AttachedNodes(const MembershipSettings& aSettings);

  /// Stores an announcement. Fenced: a higher incarnation is known, or the leader fenced this one.
  RenewalOutcome RecordAnnouncement(const Announcement& aAnnouncement, TimePoint aNow);

  /// Builds the next summary for the leader of aTerm; the first one of a term is whole.
  MemberSummary BuildSummary(const std::string& aReplica, std::uint64_t aTerm,
                             std::uint64_t aViewRevision, TimePoint aNow);

  /// Handles the leader's answer to a summary. aViewRevision is the view that this replica serves
  /// to nodes. If it is below the answer's held revision, no lease is renewed: a node that a view
  /// after aViewRevision shows as lost would get a lease together with a view that still assigns it
  /// buckets which it no longer owns.
  void HandleAnswer(const SummaryAnswer& aAnswer, std::uint64_t aViewRevision);

  /// Remaining time at aNow of the lease that the leader has acknowledged for this incarnation.
  Milliseconds LeaseFor(const std::string& aName, std::uint64_t aIncarnation, TimePoint aNow) const;

  /// Whether the leader has fenced this incarnation or this replica knows a higher one.
  bool IsFenced(const std::string& aName, std::uint64_t aIncarnation) const;

  /// Detaches nodes that have not announced themselves within the attach window.
  void DetachSilent(TimePoint aNow);

  /// The announcements of all attached nodes.
  std::vector<Announcement> Announcements() const;

private:
  struct Node
  {
    Announcement mAnnouncement;
    std::uint64_t mDigest = 0;
    TimePoint mLastAnnounced;
    std::uint64_t mAckedDigest = 0; ///< Of the announcement that the leader has.
    /// When the last summary that renewed the lease was built.
    std::optional<TimePoint> mLeaseStart;
  };

  struct SentNode
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mDigest = 0;
  };

  void StartTerm(std::uint64_t aTerm);
  void RecordAcceptance(const SummaryAnswer& aAnswer, bool aRenews);
  void Fence(const std::string& aName);

  MembershipSettings mSettings;
  std::map<std::string, Node> mNodes;
  std::map<std::string, std::uint64_t> mFenced; ///< Highest fenced incarnation.
  std::set<std::string> mDetached;              ///< Not yet acknowledged by the leader.
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  bool mNextIsWhole = true;
  TimePoint mSentAt;                          ///< When the newest summary was built.
  std::map<std::string, SentNode> mSentNodes; ///< What the newest summary covers.
};

} // namespace dandelionslip
