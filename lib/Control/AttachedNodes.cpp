// Collects announcements, builds summaries and derives leases from their acknowledgement.
#include "dandelionslip/Control/AttachedNodes.h"

#include "dandelionslip/Control/AttachedDigest.h"

#include <algorithm>

namespace dandelionslip {

AttachedNodes::AttachedNodes(const MembershipSettings& aSettings)
  : mSettings(aSettings)
{
}

RenewalOutcome AttachedNodes::Take(const Announcement& aAnnouncement, TimePoint aNow)
{
  if (!CheckAnnouncement(aAnnouncement)) {
    return RenewalOutcome::Invalid;
  }
  const Member& member = aAnnouncement.mMember;
  if (IsFenced(member.mName, member.mIncarnation)) {
    return RenewalOutcome::Fenced;
  }
  const auto found = mNodes.find(member.mName);
  if (found == mNodes.end() && mNodes.size() >= mSettings.mMaxMembers) {
    return RenewalOutcome::Full;
  }
  Node& node = mNodes[member.mName];
  if (node.mAnnouncement.mMember.mIncarnation != member.mIncarnation) {
    node.mLeaseFrom.reset();
  }
  node.mAnnouncement = aAnnouncement;
  node.mDigest = DigestOf(aAnnouncement);
  node.mLastAnnounced = aNow;
  mDetached.erase(member.mName);
  return RenewalOutcome::Accepted;
}

void AttachedNodes::StartTerm(std::uint64_t aTerm)
{
  mTerm = aTerm;
  mSequence = 0;
  mWholeNext = true;
  mDetached.clear();
}

void AttachedNodes::DropSilent(TimePoint aNow)
{
  std::erase_if(mNodes, [&](const auto& aItem) {
    const bool silent = aItem.second.mLastAnnounced + mSettings.mAttachWindow < aNow;
    if (silent) {
      mDetached.insert(aItem.first);
    }
    return silent;
  });
  // A leader sends no summaries that would empty the set.
  if (mDetached.size() > mSettings.mMaxMembers) {
    mDetached.clear();
    mWholeNext = true;
  }
}

MemberSummary AttachedNodes::NextSummary(const std::string& aReplica, std::uint64_t aTerm,
                                         std::uint64_t aViewRevision, TimePoint aNow)
{
  if (aTerm != mTerm) {
    StartTerm(aTerm);
  }
  DropSilent(aNow);
  MemberSummary summary;
  summary.mReplica = aReplica;
  summary.mTerm = aTerm;
  summary.mSequence = ++mSequence;
  summary.mWhole = mWholeNext;
  summary.mViewRevision = aViewRevision;
  summary.mDetached.assign(mDetached.begin(), mDetached.end());
  mSent.clear();
  mSentAt = aNow;
  AttachedDigest digest;
  for (const auto& [name, node] : mNodes) {
    if (mWholeNext || node.mDigest != node.mAckedDigest) {
      summary.mChanged.push_back(node.mAnnouncement);
    }
    digest.Add(name, node.mDigest);
    mSent.emplace(name, Sent{node.mAnnouncement.mMember.mIncarnation, node.mDigest});
  }
  summary.mDigest = digest.Value();
  return summary;
}

void AttachedNodes::TakeAnswer(const SummaryAnswer& aAnswer, std::uint64_t aViewRevision)
{
  if (aAnswer.mTerm != mTerm || aAnswer.mSequence != mSequence) {
    return;
  }
  mWholeNext = aAnswer.mWholeWanted || (mWholeNext && !aAnswer.mAccepted);
  for (const std::string& name : aAnswer.mFenced) {
    Fence(name);
  }
  if (aAnswer.mAccepted) {
    TakeAccepted(aAnswer, aViewRevision >= aAnswer.mHeldRevision);
  }
}

void AttachedNodes::Fence(const std::string& aName)
{
  const auto sent = mSent.find(aName);
  if (sent == mSent.end()) {
    return;
  }
  if (mFenced.size() >= mSettings.mMaxMembers) {
    mFenced.clear();
  }
  std::uint64_t& fenced = mFenced[aName];
  fenced = std::max(fenced, sent->second.mIncarnation);
  if (const auto node = mNodes.find(aName);
      node != mNodes.end() && node->second.mAnnouncement.mMember.mIncarnation <= fenced) {
    mNodes.erase(node);
    mDetached.insert(aName);
  }
}

void AttachedNodes::TakeAccepted(const SummaryAnswer& aAnswer, bool aRenews)
{
  const std::set<std::string> refused(aAnswer.mRefused.begin(), aAnswer.mRefused.end());
  for (const auto& [name, sent] : mSent) {
    const auto node = mNodes.find(name);
    if (node == mNodes.end()) {
      continue;
    }
    node->second.mAckedDigest = sent.mDigest;
    if (aRenews && !refused.contains(name) &&
        node->second.mAnnouncement.mMember.mIncarnation == sent.mIncarnation) {
      node->second.mLeaseFrom = mSentAt;
    }
  }
  // What was detached after the summary was built is not acknowledged yet.
  std::erase_if(mDetached, [&](const std::string& aName) { return !mSent.contains(aName); });
}

Milliseconds AttachedNodes::LeaseFor(const std::string& aName, std::uint64_t aIncarnation,
                                     TimePoint aNow) const
{
  const auto found = mNodes.find(aName);
  if (found == mNodes.end() || !found->second.mLeaseFrom ||
      found->second.mAnnouncement.mMember.mIncarnation != aIncarnation) {
    return Milliseconds{0};
  }
  const auto left = *found->second.mLeaseFrom + mSettings.mLease - aNow;
  return std::max(Milliseconds{0}, std::chrono::floor<Milliseconds>(left));
}

bool AttachedNodes::IsFenced(const std::string& aName, std::uint64_t aIncarnation) const
{
  if (const auto fenced = mFenced.find(aName);
      fenced != mFenced.end() && aIncarnation <= fenced->second) {
    return true;
  }
  const auto found = mNodes.find(aName);
  return found != mNodes.end() && aIncarnation < found->second.mAnnouncement.mMember.mIncarnation;
}

std::vector<Announcement> AttachedNodes::All() const
{
  std::vector<Announcement> all;
  all.reserve(mNodes.size());
  for (const auto& [name, node] : mNodes) {
    all.push_back(node.mAnnouncement);
  }
  return all;
}

} // namespace dandelionslip
