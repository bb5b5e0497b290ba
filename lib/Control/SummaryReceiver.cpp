// Applies the summaries of a replica.
#include "dandelionslip/Control/SummaryReceiver.h"

#include "dandelionslip/Control/AttachedDigest.h"

#include <set>

namespace dandelionslip {

namespace {

void RecordOutcome(RenewalOutcome aOutcome, const std::string& aName, const LeaseTable& aLeases,
                   SummaryAnswer& aAnswer)
{
  if (aOutcome == RenewalOutcome::Fenced) {
    aAnswer.mFenced.push_back(aName);
    return;
  }
  if (aOutcome != RenewalOutcome::Accepted ||
      !aLeases.IsLiveInHeldView(aName, aAnswer.mHeldRevision)) {
    aAnswer.mRefused.push_back(aName);
  }
}

} // namespace

SummaryAnswer SummaryReceiver::HandleSummary(const MemberSummary& aSummary, LeaseTable& aLeases,
                                             std::uint64_t aHeldRevision, TimePoint aNow)
{
  SummaryAnswer answer;
  answer.mTerm = aSummary.mTerm;
  answer.mSequence = aSummary.mSequence;
  answer.mHeldRevision = aHeldRevision;
  if (aSummary.mSequence <= mSequence) {
    return answer;
  }
  mSequence = aSummary.mSequence;
  const std::set<std::string> renewed = ApplyListed(aSummary, aLeases, aNow, answer);
  if (Digest() != aSummary.mDigest) {
    answer.mWholeWanted = true;
    return answer;
  }
  for (const auto& [name, known] : mNodes) {
    if (!renewed.contains(name)) {
      RecordOutcome(aLeases.RenewUnchanged(name, known.mIncarnation, aNow), name, aLeases, answer);
    }
  }
  answer.mAccepted = true;
  return answer;
}

std::set<std::string> SummaryReceiver::ApplyListed(const MemberSummary& aSummary,
                                                   LeaseTable& aLeases, TimePoint aNow,
                                                   SummaryAnswer& aAnswer)
{
  if (aSummary.mWhole) {
    mNodes.clear();
  }
  for (const std::string& name : aSummary.mDetached) {
    mNodes.erase(name);
  }
  std::set<std::string> renewed;
  for (const Announcement& announcement : aSummary.mChanged) {
    const Member& member = announcement.mMember;
    RecordOutcome(aLeases.Renew(announcement, aNow), member.mName, aLeases, aAnswer);
    mNodes[member.mName] = KnownNode{member.mIncarnation, DigestOf(announcement)};
    renewed.insert(member.mName);
  }
  return renewed;
}

std::uint64_t SummaryReceiver::Digest() const
{
  AttachedDigest digest;
  for (const auto& [name, known] : mNodes) {
    digest.Add(name, known.mDigest);
  }
  return digest.Value();
}

} // namespace dandelionslip
