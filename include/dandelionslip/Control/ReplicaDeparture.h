// Decides what a control replica that was told to stop does before it ends.
#pragma once

#include "dandelionslip/Control/LeaveRequest.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <optional>

namespace dandelionslip {

/// Settings of ReplicaDeparture.
struct ReplicaDepartureSettings
{
  Milliseconds mLimit{4'000};       ///< The replica ends after this time in any case.
  Milliseconds mAskInterval{100};   ///< Between two requests to the leader.
  Milliseconds mNoticeLimit{500};   ///< Replaces mLimit while no successor is known.
  Milliseconds mTransferPause{500}; ///< Between two attempts to transfer leadership.
};

/// What a stopping replica knows of the Raft group.
struct DepartureView
{
  bool mLeads = false;
  bool mLeaderKnown = false;  ///< And a message of it was received in its term.
  bool mOtherLearner = false; ///< The membership has a learner besides this replica.
};

/// The next step of a stopping replica.
enum class DepartureStep
{
  Wait,
  TransferLeadership,
  AskLeader, ///< Send a LeaveRequest to the leader.
  End,
};

/// A voter whose process ends for good counts for the quorum until the leader notices. This class
/// lets a stopping voter wait until a learner that is up to date has its vote, whichever replica
/// leads meanwhile; a leader transfers leadership first, because it cannot remove its own vote.
/// Whether the VM returns is unknown, so a replica without a successor ends with its vote, and one
/// with a successor can come back as a learner. Not thread-safe.
class ReplicaDeparture
{
public:
  ReplicaDeparture(const ReplicaDepartureSettings& aSettings, TimePoint aNow);

  /// Returns the next step; call it every few milliseconds until it is End.
  DepartureStep Next(const DepartureView& aView, TimePoint aNow);
  /// The leader answered a request.
  void OnAnswer(LeaveState aState);
  /// The leader does not know leave requests, because it runs the last release.
  void OnUnsupported();

private:
  ReplicaDepartureSettings mSettings;
  TimePoint mStartedAt;
  std::optional<TimePoint> mAskedAt;       ///< Of the last request.
  std::optional<TimePoint> mTransferredAt; ///< Of the last attempt.
  bool mSuccessorExpected = false;
  bool mMayEnd = false;
};

} // namespace dandelionslip
