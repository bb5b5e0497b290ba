// Collects announcements, builds summaries and derives leases from their acknowledgement.
#include "dandelionslip/Control/AttachedNodes.h"

#include "dandelionslip/Control/AttachedDigest.h"

#include <algorithm>

namespace dandelionslip {

AttachedNodes::AttachedNodes(const MembershipSettings& aSettings)
  : mSettings(aSettings)
{
}

RenewalOutcome AttachedNodes::RecordAnnouncement(const Announcement& aAnnouncement, TimePoint aNow)
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
    node.mLeaseStart.reset();
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
  mNextIsWhole = true;
  mDetached.clear();
}

void AttachedNodes::DetachSilent(TimePoint aNow)
{
  std::erase_if(mNodes, [&](const auto& aItem) {
    const bool silent = aItem.second.mLastAnnounced + mSettings.mAttachWindow < aNow;
    if (silent) {
      mDetached.insert(aItem.first);
    }
    return silent;
  });
  // A leader sends no summaries, whose acknowledgements would empty the set.
  if (mDetached.size() > mSettings.mMaxMembers) {
    mDetached.clear();
    mNextIsWhole = true;
  }
}

MemberSummary AttachedNodes::BuildSummary(const std::string& aReplica, std::uint64_t aTerm,
                                          std::uint64_t aViewRevision, TimePoint aNow)
{
  if (aTerm != mTerm) {
    StartTerm(aTerm);
  }
  DetachSilent(aNow);
  MemberSummary summary;
  summary.mReplica = aReplica;
  summary.mTerm = aTerm;
  summary.mSequence = ++mSequence;
  summary.mWhole = mNextIsWhole;
  summary.mViewRevision = aViewRevision;
  summary.mDetached.assign(mDetached.begin(), mDetached.end());
  mSentNodes.clear();
  mSentAt = aNow;
  AttachedDigest digest;
  for (const auto& [name, node] : mNodes) {
    if (mNextIsWhole || node.mDigest != node.mAckedDigest) {
      summary.mChanged.push_back(node.mAnnouncement);
    }
    digest.Add(name, node.mDigest);
    mSentNodes.emplace(name, SentNode{node.mAnnouncement.mMember.mIncarnation, node.mDigest});
  }
  summary.mDigest = digest.Value();
  return summary;
}

void AttachedNodes::HandleAnswer(const SummaryAnswer& aAnswer, std::uint64_t aViewRevision)
{
  if (aAnswer.mTerm != mTerm || aAnswer.mSequence != mSequence) {
    return;
  }
  mNextIsWhole = aAnswer.mWholeWanted || (mNextIsWhole && !aAnswer.mAccepted);
  for (const std::string& name : aAnswer.mFenced) {
    Fence(name);
  }
  if (aAnswer.mAccepted) {
    RecordAcceptance(aAnswer, aViewRevision >= aAnswer.mHeldRevision);
  }
}

void AttachedNodes::Fence(const std::string& aName)
{
  const auto sent = mSentNodes.find(aName);
  if (sent == mSentNodes.end()) {
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

void AttachedNodes::RecordAcceptance(const SummaryAnswer& aAnswer, bool aRenews)
{
  const std::set<std::string> refused(aAnswer.mRefused.begin(), aAnswer.mRefused.end());
  for (const auto& [name, sent] : mSentNodes) {
    const auto node = mNodes.find(name);
    if (node == mNodes.end()) {
      continue;
    }
    node->second.mAckedDigest = sent.mDigest;
    if (aRenews && !refused.contains(name) &&
        node->second.mAnnouncement.mMember.mIncarnation == sent.mIncarnation) {
      node->second.mLeaseStart = mSentAt;
    }
  }
  // Keeps the nodes that were detached after the summary was built: the leader does not know of
  // them yet.
  std::erase_if(mDetached, [&](const std::string& aName) { return !mSentNodes.contains(aName); });
}

Milliseconds AttachedNodes::LeaseFor(const std::string& aName, std::uint64_t aIncarnation,
                                     TimePoint aNow) const
{
  const auto found = mNodes.find(aName);
  if (found == mNodes.end() || !found->second.mLeaseStart ||
      found->second.mAnnouncement.mMember.mIncarnation != aIncarnation) {
    return Milliseconds{0};
  }
  const auto left = *found->second.mLeaseStart + mSettings.mLease - aNow;
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

std::vector<Announcement> AttachedNodes::Announcements() const
{
  std::vector<Announcement> all;
  all.reserve(mNodes.size());
  for (const auto& [name, node] : mNodes) {
    all.push_back(node.mAnnouncement);
  }
  return all;
}

} // namespace dandelionslip
