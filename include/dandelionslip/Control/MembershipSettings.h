// Settings of MembershipCore.
// Members are balancers and agents here; the replicas of the Raft group are in RaftMembership.h.
#pragma once

#include "dandelionslip/Support/RuntimeClock.h"

#include <cstddef>
#include <cstdint>

namespace dandelionslip {

/// Periods and bounds of leases, summaries, views and weight steps; equal on all control replicas.
struct MembershipSettings
{
  Milliseconds mLease{2'000};
  Milliseconds mLeaseMargin{500}; ///< Added to the lease before a member is declared lost.
  /// A restarting member is declared lost after this time, or after lease plus margin if that is
  /// longer.
  Milliseconds mRestartGrace{10'000};
  Milliseconds mSummaryInterval{250};
  /// Time after which an unanswered summary is replaced by the next.
  Milliseconds mSummaryTimeout{1'000};
  Milliseconds mViewInterval{100}; ///< Shortest time between two updates of the view.
  Milliseconds mViewResend{250};   ///< Time after which an unacknowledged view is sent again.
  /// A replica counts a node as attached this long after its last announcement: one and a half
  /// announcement intervals of 500 ms.
  Milliseconds mAttachWindow{750};
  Milliseconds mStepInterval{1'000}; ///< Shortest time between weight steps of a service.
  /// Lost and left members stay in the view this long, so that nodes see why a member is gone.
  Milliseconds mForgetAfter{600'000};
  /// About twice the 3,720 members of the largest planned deployment.
  std::size_t mMaxMembers = 8'192;
};

/// Maximum number of views that a leader issues beyond the newest held one (see MembershipCore).
/// Nodes do not get these views. With the limit, a leader without a quorum stops issuing, and the
/// chain of differences stays short.
inline constexpr std::uint64_t kMaxUnheldViews = 16;

} // namespace dandelionslip
