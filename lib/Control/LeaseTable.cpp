// Renewal, fencing and end of leases.
#include "dandelionslip/Control/LeaseTable.h"

#include <algorithm>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::size_t kMaxNameLength = 255;
constexpr std::size_t kMaxEndpointLength = 64;
constexpr std::uint32_t kMaxWeight = 1'000'000;

// Incarnations are start times in milliseconds since 1970; this one is in the year 2248.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 43U;

bool IsGone(MemberState aState)
{
  return aState == MemberState::Left || aState == MemberState::Lost;
}

// A planned stop is final for an incarnation. An announcement that was sent before the stop and
// arrives after it, through another replica, must not revert it.
bool RevertsPlannedStop(MemberState aBefore, MemberState aNow)
{
  if (aBefore == MemberState::Left) {
    return aNow != MemberState::Left;
  }
  return aBefore == MemberState::Restarting && aNow != MemberState::Restarting &&
         aNow != MemberState::Left;
}

Result<void> Reject(const Member& aMember, const char* aDetail)
{
  return Fail(ErrorCode::InvalidInput, "announcement.check",
              aMember.mName.substr(0, kMaxNameLength), aDetail);
}

} // namespace

Result<void> CheckAnnouncement(const Announcement& aAnnouncement)
{
  const Member& member = aAnnouncement.mMember;
  if (member.mName.empty() || member.mName.size() > kMaxNameLength ||
      member.mBackup.size() > kMaxNameLength) {
    return Reject(member,
                  "name: expected 1 to 255 characters; custodian: expected at most 255 characters");
  }
  if (member.mDataCentre.empty() || member.mDataCentre.size() > kMaxNameLength) {
    return Reject(member, "data_centre: expected 1 to 255 characters");
  }
  if (member.mService.size() > kMaxNameLength ||
      member.mService.empty() != (member.mKind == MemberKind::Balancer)) {
    return Reject(member, "service: expected a name for an agent and none for a balancer");
  }
  if (member.mDatagramEndpoint.size() > kMaxEndpointLength ||
      member.mRequestEndpoint.size() > kMaxEndpointLength) {
    return Reject(
      member, "datagram_endpoint, request_endpoint: expected at most 64 characters in an endpoint");
  }
  if (member.mIncarnation == 0) {
    return Reject(member, "incarnation: found 0, expected the time of the start");
  }
  if (member.mIncarnation > kMaxIncarnation) {
    return Reject(member, "incarnation: expected the time of the start, at most 2^43 ms");
  }
  if (member.mState == MemberState::Lost) {
    return Reject(member, "state: found lost, which only the control leader declares");
  }
  if (aAnnouncement.mWeight > kMaxWeight) {
    return Reject(member, "weight: expected at most 1,000,000");
  }
  return Ok();
}

LeaseTable::LeaseTable(const MembershipSettings& aSettings)
  : mSettings(aSettings)
{
}

TimePoint LeaseTable::DeadlineFor(MemberState aState, TimePoint aNow) const
{
  if (IsGone(aState)) {
    return aNow + mSettings.mForgetAfter;
  }
  const Milliseconds lease = mSettings.mLease + mSettings.mLeaseMargin;
  return aNow +
         (aState == MemberState::Restarting ? std::max(mSettings.mRestartGrace, lease) : lease);
}

RenewalOutcome LeaseTable::Insert(const Announcement& aAnnouncement, TimePoint aNow)
{
  if (mEntries.size() >= mSettings.mMaxMembers) {
    return RenewalOutcome::Full;
  }
  const MemberState state = aAnnouncement.mMember.mState;
  mEntries.emplace(aAnnouncement.mMember.mName,
                   LeaseEntry{aAnnouncement, state, DeadlineFor(state, aNow), 0, true});
  return RenewalOutcome::Accepted;
}

RenewalOutcome LeaseTable::Renew(const Announcement& aAnnouncement, TimePoint aNow)
{
  if (!CheckAnnouncement(aAnnouncement)) {
    return RenewalOutcome::Invalid;
  }
  const Member& member = aAnnouncement.mMember;
  const auto found = mEntries.find(member.mName);
  if (found == mEntries.end()) {
    return Insert(aAnnouncement, aNow);
  }
  LeaseEntry& entry = found->second;
  const Member before = entry.mAnnouncement.mMember;
  const std::uint32_t acked = entry.mAnnouncement.mAckedGeneration;
  if (member.mIncarnation < before.mIncarnation) {
    return RenewalOutcome::Fenced;
  }
  const bool same = member.mIncarnation == before.mIncarnation;
  if (same && RevertsPlannedStop(entry.mAnnouncedState, member.mState)) {
    return RenewalOutcome::Fenced;
  }
  const std::uint64_t liveSinceRevision =
    same && !IsGone(before.mState) ? entry.mLiveSinceRevision : 0;
  entry = LeaseEntry{aAnnouncement, member.mState, DeadlineFor(member.mState, aNow),
                     liveSinceRevision, true};
  if (same) {
    entry.mAnnouncement.mAckedGeneration = std::max(acked, aAnnouncement.mAckedGeneration);
  }
  // Keeps the backup: the new process of a restarted member learns from the view which agent keeps
  // its state.
  if (member.mBackup.empty() && member.mState == MemberState::Cold) {
    entry.mAnnouncement.mMember.mBackup = before.mBackup;
  }
  return RenewalOutcome::Accepted;
}

RenewalOutcome LeaseTable::RenewUnchanged(const std::string& aName, std::uint64_t aIncarnation,
                                          TimePoint aNow)
{
  const auto found = mEntries.find(aName);
  if (found == mEntries.end() || found->second.mAnnouncement.mMember.mIncarnation < aIncarnation) {
    return RenewalOutcome::Invalid;
  }
  LeaseEntry& entry = found->second;
  if (entry.mAnnouncement.mMember.mIncarnation > aIncarnation ||
      entry.mAnnouncedState == MemberState::Left) {
    return RenewalOutcome::Fenced;
  }
  if (entry.mAnnouncement.mMember.mState == MemberState::Lost) {
    entry.mLiveSinceRevision = 0;
  }
  entry.mAnnouncement.mMember.mState = entry.mAnnouncedState;
  entry.mDeadline = DeadlineFor(entry.mAnnouncedState, aNow);
  return RenewalOutcome::Accepted;
}

std::vector<std::string> LeaseTable::Expire(TimePoint aNow)
{
  std::vector<std::string> lost;
  for (auto& [name, entry] : mEntries) {
    MemberState& state = entry.mAnnouncement.mMember.mState;
    if (!IsGone(state) && entry.mDeadline <= aNow) {
      state = MemberState::Lost;
      entry.mDeadline = DeadlineFor(state, aNow);
      lost.push_back(name);
    }
  }
  return lost;
}

void LeaseTable::Forget(const View& aView, TimePoint aNow)
{
  std::set<std::string> named;
  for (const auto& [service, view] : aView.mServices) {
    for (const Generation& generation : view.mGenerations) {
      for (const WeightedMember& member : generation.mMembers) {
        named.insert(member.mMember);
      }
    }
  }
  std::erase_if(mEntries, [&](const auto& aItem) {
    const LeaseEntry& entry = aItem.second;
    return IsGone(entry.mAnnouncement.mMember.mState) && entry.mDeadline <= aNow &&
           !named.contains(aItem.first);
  });
}

void LeaseTable::Adopt(const View& aView, TimePoint aNow)
{
  for (const auto& [name, member] : aView.mMembers) {
    const auto found = mEntries.find(name);
    if (found != mEntries.end() &&
        (found->second.mAnnouncement.mMember.mIncarnation > member.mIncarnation ||
         (found->second.mHasAnnounced &&
          found->second.mAnnouncement.mMember.mIncarnation == member.mIncarnation))) {
      continue;
    }
    LeaseEntry entry;
    entry.mAnnouncement.mMember = member;
    entry.mAnnouncedState = member.mState == MemberState::Lost ? MemberState::Cold : member.mState;
    entry.mDeadline = DeadlineFor(member.mState, aNow);
    mEntries.insert_or_assign(name, std::move(entry));
  }
}

void LeaseTable::MarkLiveInView(std::uint64_t aRevision)
{
  for (auto& [name, entry] : mEntries) {
    if (entry.mLiveSinceRevision == 0 && !IsGone(entry.mAnnouncement.mMember.mState)) {
      entry.mLiveSinceRevision = aRevision;
    }
  }
}

bool LeaseTable::IsLiveInHeldView(const std::string& aName, std::uint64_t aHeldRevision) const
{
  const LeaseEntry* entry = Find(aName);
  return entry != nullptr && entry->mLiveSinceRevision != 0 &&
         entry->mLiveSinceRevision <= aHeldRevision;
}

const LeaseEntry* LeaseTable::Find(const std::string& aName) const
{
  const auto found = mEntries.find(aName);
  return found == mEntries.end() ? nullptr : &found->second;
}

} // namespace dandelionslip
