// The endpoints that a control replica asks to join its Raft group.
#pragma once

#include "dandelionslip/Control/RaftMembership.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionslip {

/// Chooses where join requests go. Outlives the replica's identity: a replica that was replaced
/// discards its log and finds the group again through the members that the log held, and through
/// seeds that are read again while no leader is known. Not thread-safe.
class JoinEndpoints
{
public:
  /// aSelf is the endpoint of this replica, aSeeds are those of its settings.
  JoinEndpoints(std::string aSelf, std::vector<std::string> aSeeds);

  /// Whether the seeds should be read again now: no leader is known, and the last call that
  /// returned true is at least kSeedCheckInterval ago.
  bool SeedsAreDue(bool aLeaderKnown, TimePoint aNow);

  /// Replaces the seeds; returns whether they differ. An empty list is ignored.
  bool SetSeeds(std::vector<std::string> aSeeds);

  /// Takes the members of the replica's log. A log without members, as after a discard, leaves the
  /// endpoints that were known before.
  void OnMembers(const RaftMembership& aMembers);

  /// Where to send a join request: to the leader, or without one (empty) to all seeds and members.
  std::set<std::string> Targets(const std::string& aLeader) const;
  /// The other members besides the leader, which any of them may follow as the leader. Empty if no
  /// leader is known: then Targets() names all members.
  std::set<std::string> Observers(const std::string& aLeader) const;

  /// The settings file may change without a signal.
  static constexpr Milliseconds kSeedCheckInterval{2'000};

private:
  std::string mSelf;
  std::vector<std::string> mSeeds;
  std::set<std::string> mMembers;
  std::optional<TimePoint> mSeedsCheckedAt;
};

} // namespace dandelionslip
