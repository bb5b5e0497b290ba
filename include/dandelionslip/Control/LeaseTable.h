// Leases and announcements of all nodes, kept by the control leader.
#pragma once

#include "dandelionslip/Control/MembershipSettings.h"
#include "dandelionslip/Model/Announcement.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// Result of an announcement or renewal.
enum class RenewalOutcome
{
  Accepted,
  Fenced,  ///< A higher incarnation exists, or this incarnation has left; the process must stop.
  Full,    ///< The table has no room for another member.
  Invalid, ///< The announcement breaks a rule, or the member to renew is unknown.
};

/// Checks the rules of an announcement; errors name the key. A node that breaks them gets no lease.
Result<void> CheckAnnouncement(const Announcement& aAnnouncement);

/// One node with its lease.
struct LeaseEntry
{
  Announcement mAnnouncement; ///< mMember.mState is the current state.
  /// Last announced state; kept while the member is lost.
  MemberState mAnnouncedState = MemberState::Cold;
  /// When the member will be lost; for a lost or left member, when it will be forgotten.
  TimePoint mDeadline;
  /// Revision of this leader's first view that shows this incarnation as live; 0 for none.
  std::uint64_t mLiveSinceRevision = 0;
  bool mHasAnnounced = false; ///< False while the entry comes only from an adopted view.
};

/// Tracks leases, fencing and planned stops. Not thread-safe.
class LeaseTable
{
public:
  explicit LeaseTable(const MembershipSettings& aSettings);

  /// Records an announcement received at aNow and renews the lease of its member.
  RenewalOutcome Renew(const Announcement& aAnnouncement, TimePoint aNow);

  /// Extends the lease of a member whose announcement is unchanged. Fenced: this incarnation was
  /// replaced or has left; Invalid: it is unknown.
  RenewalOutcome RenewUnchanged(const std::string& aName, std::uint64_t aIncarnation,
                                TimePoint aNow);

  /// Marks members whose lease or restart grace (see MembershipSettings) has ended as lost; returns
  /// their names.
  std::vector<std::string> Expire(TimePoint aNow);

  /// Drops members that were lost or left long ago and that no generation of aView names.
  void Forget(const View& aView, TimePoint aNow);

  /// Adds the members of a view, each with a full lease plus margin from aNow, so that a new leader
  /// declares no member lost early.
  void Adopt(const View& aView, TimePoint aNow);

  /// Records that the view with this revision shows all members that are live now.
  void MarkLiveInView(std::uint64_t aRevision);

  /// Whether a view up to the held revision shows the member as live. Only then may it get a lease:
  /// the next leader knows that view and waits for a full lease before it declares the member lost.
  bool IsLiveInHeldView(const std::string& aName, std::uint64_t aHeldRevision) const;

  /// The entry with this name, or null.
  const LeaseEntry* Find(const std::string& aName) const;

  const std::map<std::string, LeaseEntry>& Entries() const { return mEntries; }

private:
  TimePoint DeadlineFor(MemberState aState, TimePoint aNow) const;
  RenewalOutcome Insert(const Announcement& aAnnouncement, TimePoint aNow);

  MembershipSettings mSettings;
  std::map<std::string, LeaseEntry> mEntries;
};

} // namespace dandelionslip
