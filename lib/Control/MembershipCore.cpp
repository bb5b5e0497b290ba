// Handling of announcements, summaries and views.
#include "dandelionslip/Control/MembershipCore.h"

#include <algorithm>
#include <tuple>

namespace dandelionslip {

namespace {

// A view revision holds the term of the leader that issued it in its upper 32 bits and counts the
// views of that term from 1 in the lower 32.
constexpr unsigned kTermShift = 32;

// A revision beyond the leader's term would be higher than the revisions of later leaders, whose
// views would then be ignored.
bool IsBeyondTerm(std::uint64_t aRevision, std::uint64_t aTerm)
{
  return aRevision >> kTermShift > aTerm;
}

template <typename State, typename Difference>
void AddNewer(const RevisionHistory<State, Difference>& aHistory, std::uint64_t aKnownRevision,
              std::optional<State>& aWhole, std::optional<Difference>& aDifference)
{
  if (aKnownRevision >= aHistory.Newest().mRevision) {
    return;
  }
  // A node without state (revision 0) gets the whole state, even if a difference from revision 0 is
  // kept.
  if (aKnownRevision > 0) {
    aDifference = aHistory.DifferenceFrom(aKnownRevision);
  }
  if (!aDifference) {
    aWhole = aHistory.Newest();
  }
}

} // namespace

MembershipCore::MembershipCore(std::string aReplica, const MembershipSettings& aSettings)
  : mReplica(std::move(aReplica))
  , mSettings(aSettings)
  , mAttached(aSettings)
  , mLeases(aSettings)
  , mBuilder(aSettings)
{
}

bool MembershipCore::IsFencedByView(const Member& aMember) const
{
  const Member* known = CurrentView().FindMember(aMember.mName);
  return known != nullptr && known->mIncarnation > aMember.mIncarnation;
}

AnnouncementAnswer MembershipCore::OnAnnouncement(const Announcement& aAnnouncement,
                                                  bool aConfirmed, TimePoint aNow)
{
  AnnouncementAnswer answer;
  const Member& member = aAnnouncement.mMember;
  RenewalOutcome outcome = IsFencedByView(member)
                             ? RenewalOutcome::Fenced
                             : mAttached.RecordAnnouncement(aAnnouncement, aNow);
  if (outcome == RenewalOutcome::Accepted && mRaftStatus.mLeading) {
    outcome = mLeases.Renew(aAnnouncement, aNow);
  }
  answer.mFenced = outcome == RenewalOutcome::Fenced;
  if (outcome != RenewalOutcome::Accepted || !aConfirmed) {
    return answer;
  }
  answer.mConfirmed = true;
  answer.mLease = LeaseFor(member, aNow);
  AddNewerState(aAnnouncement, answer);
  return answer;
}

Milliseconds MembershipCore::LeaseFor(const Member& aMember, TimePoint aNow) const
{
  if (!mRaftStatus.mLeading) {
    return mAttached.LeaseFor(aMember.mName, aMember.mIncarnation, aNow);
  }
  return mLeases.IsLiveInHeldView(aMember.mName, mHeldRevision) ? mSettings.mLease
                                                                : Milliseconds{0};
}

void MembershipCore::AddNewerState(const Announcement& aAnnouncement,
                                   AnnouncementAnswer& aAnswer) const
{
  aAnswer.mConfigurationRevision = mConfigurations.Newest().mRevision;
  aAnswer.mViewRevision = ServedView().mRevision;
  AddNewer(mConfigurations, aAnnouncement.mConfigurationRevision, aAnswer.mConfiguration,
           aAnswer.mConfigurationDifference);
  AddNewer(mServedViews, aAnnouncement.mViewRevision, aAnswer.mView, aAnswer.mViewDifference);
}

SummaryAnswer MembershipCore::OnSummary(const MemberSummary& aSummary, TimePoint aNow)
{
  if (!mRaftStatus.mLeading || aSummary.mTerm != mRaftStatus.mTerm ||
      aSummary.mReplica == mReplica) {
    SummaryAnswer answer;
    answer.mTerm = mRaftStatus.mTerm;
    answer.mSequence = aSummary.mSequence;
    return answer;
  }
  Peer& peer = mPeers[aSummary.mReplica];
  SummaryAnswer answer = peer.mReceiver.HandleSummary(aSummary, mLeases, mHeldRevision, aNow);
  peer.mLastSummaryAt = aNow;
  peer.mViewRevision = aSummary.mViewRevision;
  if (!mIssuing) {
    AdoptViewOf(aSummary, peer, answer, aNow);
    StartIssuing(aNow);
  }
  UpdateHeldRevision(QuorumRevision());
  return answer;
}

void MembershipCore::AdoptViewOf(const MemberSummary& aSummary, Peer& aPeer, SummaryAnswer& aAnswer,
                                 TimePoint aNow)
{
  const bool ofEarlierTerm =
    aSummary.mView && (aSummary.mView->mRevision >> kTermShift) < mRaftStatus.mTerm;
  if (ofEarlierTerm && mViews.Advance(*aSummary.mView)) {
    mLeases.Adopt(*aSummary.mView, aNow);
  }
  aAnswer.mViewWanted = aSummary.mViewRevision > CurrentView().mRevision;
  aPeer.mViewKnown = !aAnswer.mViewWanted;
}

void MembershipCore::OnSummaryAnswer(const SummaryAnswer& aAnswer)
{
  mAwaitingSummaryAnswer = false;
  if (mRaftStatus.mLeading || aAnswer.mTerm != mRaftStatus.mTerm) {
    return;
  }
  mViewRequested = aAnswer.mViewWanted;
  UpdateHeldRevision(aAnswer.mHeldRevision);
  mAttached.HandleAnswer(aAnswer, ServedView().mRevision);
  if (aAnswer.mViewWanted || aAnswer.mWholeWanted) {
    mSummarySentAt.reset();
  }
}

ViewUpdateAnswer MembershipCore::OnViewUpdate(const ViewUpdate& aUpdate)
{
  if (!mRaftStatus.mLeading && aUpdate.mTerm == mRaftStatus.mTerm) {
    ApplyViewUpdate(aUpdate);
    UpdateHeldRevision(aUpdate.mHeldRevision);
  }
  return {mReplica, aUpdate.mTerm, CurrentView().mRevision};
}

void MembershipCore::ApplyViewUpdate(const ViewUpdate& aUpdate)
{
  if (aUpdate.mView && !IsBeyondTerm(aUpdate.mView->mRevision, aUpdate.mTerm)) {
    mViews.Advance(*aUpdate.mView);
    return;
  }
  if (aUpdate.mDifference && !IsBeyondTerm(aUpdate.mDifference->mToRevision, aUpdate.mTerm)) {
    // If the difference does not fit, the answer tells the leader this replica's revision, and the
    // leader sends an update that fits.
    std::ignore = mViews.Apply(*aUpdate.mDifference);
  }
}

void MembershipCore::UpdateHeldRevision(std::uint64_t aRevision)
{
  if (IsBeyondTerm(aRevision, mRaftStatus.mTerm)) {
    return;
  }
  mHeldRevision = std::max(mHeldRevision, aRevision);
  const std::uint64_t heldTerm = mHeldRevision >> kTermShift;
  // Serves no view of a term before that of the held revision: it may never have reached a quorum.
  if (CurrentView().mRevision <= mHeldRevision) {
    if (CurrentView().mRevision >> kTermShift == heldTerm) {
      mServedViews.Advance(CurrentView());
    }
    return;
  }
  if (const auto step = mViews.DifferenceFrom(ServedView().mRevision, mHeldRevision);
      step && step->mToRevision >> kTermShift == heldTerm) {
    std::ignore = mServedViews.Apply(*step);
  }
}

void MembershipCore::OnViewUpdateAnswer(const ViewUpdateAnswer& aAnswer)
{
  if (!mRaftStatus.mLeading || aAnswer.mTerm != mRaftStatus.mTerm) {
    return;
  }
  if (const auto peer = mPeers.find(aAnswer.mReplica); peer != mPeers.end()) {
    peer->second.mViewRevision = aAnswer.mViewRevision;
    UpdateHeldRevision(QuorumRevision());
  }
}

CommandAnswer MembershipCore::OnCommitted(std::uint64_t aIndex, const Command& aCommand)
{
  CommandAnswer answer = mStore.Apply(aIndex, aCommand);
  mConfigurations.Advance(mStore.Current());
  return answer;
}

Result<void> MembershipCore::OnSnapshot(const Json& aSnapshot)
{
  auto restored = mStore.Restore(aSnapshot);
  if (restored) {
    mConfigurations.Advance(mStore.Current());
  }
  return restored;
}

void MembershipCore::OnRaftStatus(const RaftStatus& aStatus, TimePoint aNow)
{
  const bool unchanged = aStatus.mTerm == mRaftStatus.mTerm &&
                         aStatus.mLeading == mRaftStatus.mLeading &&
                         aStatus.mLeader == mRaftStatus.mLeader;
  mRaftStatus = aStatus;
  if (!unchanged) {
    OnLeadershipChange(aNow);
  }
  StartIssuing(aNow);
}

void MembershipCore::OnLeadershipChange(TimePoint aNow)
{
  mIssuing = false;
  mViewRequested = false;
  mAwaitingSummaryAnswer = false;
  mSummarySentAt.reset();
  mViewUpdatedAt.reset();
  mPeers.clear();
  mLeases = LeaseTable(mSettings);
  if (!mRaftStatus.mLeading) {
    return;
  }
  mLeases.Adopt(CurrentView(), aNow);
  mAttached.DetachSilent(aNow);
  for (const Announcement& announcement : mAttached.Announcements()) {
    mLeases.Renew(announcement, aNow);
  }
}

void MembershipCore::StartIssuing(TimePoint aNow)
{
  if (!mRaftStatus.mLeading || mIssuing || !KnowsViewsOfQuorum()) {
    return;
  }
  mIssuing = true;
  mFirstIssueTime = aNow;
  // If no earlier view is known, waits until all live agents have announced themselves, which they
  // do within one lease. Otherwise the first generation would contain only those that happen to be
  // first. Without services there are no generations to wait for.
  if (CurrentView().mRevision == 0 && !mStore.Current().mServices.empty()) {
    mFirstIssueTime += mSettings.mLease + mSettings.mLeaseMargin;
  }
  mBuilder.StartTerm(mRaftStatus.mTerm, CurrentView());
}

bool MembershipCore::IsVoter(const std::string& aReplica) const
{
  return std::find(mRaftStatus.mVoters.begin(), mRaftStatus.mVoters.end(), aReplica) !=
         mRaftStatus.mVoters.end();
}

bool MembershipCore::KnowsViewsOfQuorum() const
{
  std::size_t known = IsVoter(mReplica) ? 1 : 0;
  for (const auto& [name, peer] : mPeers) {
    known += peer.mViewKnown && IsVoter(name) ? 1 : 0;
  }
  return known > mRaftStatus.mVoters.size() / 2;
}

std::uint64_t MembershipCore::QuorumRevision() const
{
  std::vector<std::uint64_t> revisions;
  for (const std::string& voter : mRaftStatus.mVoters) {
    const auto peer = mPeers.find(voter);
    revisions.push_back(voter == mReplica
                          ? CurrentView().mRevision
                          : (peer == mPeers.end() ? 0 : peer->second.mViewRevision));
  }
  if (revisions.empty()) {
    return 0;
  }
  std::sort(revisions.begin(), revisions.end(), std::greater<>());
  return revisions[revisions.size() / 2];
}

bool MembershipCore::MayIssueView() const
{
  const std::uint64_t firstOfTerm = mRaftStatus.mTerm << kTermShift;
  const std::uint64_t held = std::max(QuorumRevision(), firstOfTerm);
  return CurrentView().mRevision < held + kMaxUnheldViews;
}

void MembershipCore::UpdateView(TimePoint aNow)
{
  if (!mIssuing || aNow < mFirstIssueTime ||
      (mViewUpdatedAt && aNow - *mViewUpdatedAt < mSettings.mViewInterval)) {
    return;
  }
  mViewUpdatedAt = aNow;
  mAttached.DetachSilent(aNow);
  mLeases.Expire(aNow);
  mLeases.Forget(CurrentView(), aNow);
  if (MayIssueView() && mBuilder.Update(mStore.Current(), mLeases, aNow)) {
    mViews.Advance(mBuilder.Current());
  }
  if (CurrentView().mRevision >> kTermShift == mRaftStatus.mTerm) {
    mLeases.MarkLiveInView(CurrentView().mRevision);
  }
  UpdateHeldRevision(QuorumRevision());
}

std::optional<ViewUpdate> MembershipCore::PrepareViewUpdate(Peer& aPeer, TimePoint aNow) const
{
  const std::uint64_t newest = CurrentView().mRevision;
  const bool awaitsAnswer =
    aPeer.mViewRevisionSent == newest && aNow - aPeer.mViewSentAt < mSettings.mViewResend;
  const bool behind = aPeer.mViewRevision < newest && !awaitsAnswer;
  if (aNow - aPeer.mLastSummaryAt > mSettings.mLease ||
      (!behind && aPeer.mHeldRevisionSent >= mHeldRevision)) {
    return std::nullopt;
  }
  ViewUpdate update;
  update.mTerm = mRaftStatus.mTerm;
  update.mHeldRevision = mHeldRevision;
  aPeer.mHeldRevisionSent = mHeldRevision;
  if (behind) {
    AddNewer(mViews, aPeer.mViewRevision, update.mView, update.mDifference);
    aPeer.mViewSentAt = aNow;
    aPeer.mViewRevisionSent = newest;
  }
  return update;
}

void MembershipCore::AddViewUpdates(std::vector<MembershipAction>& aActions, TimePoint aNow)
{
  for (auto& [name, peer] : mPeers) {
    if (auto update = PrepareViewUpdate(peer, aNow)) {
      aActions.emplace_back(SendViewUpdate{name, std::move(*update)});
    }
  }
}

void MembershipCore::AddSummary(std::vector<MembershipAction>& aActions, TimePoint aNow)
{
  if (mRaftStatus.mLeader.empty()) {
    return;
  }
  const Milliseconds interval =
    mAwaitingSummaryAnswer ? mSettings.mSummaryTimeout : mSettings.mSummaryInterval;
  if (mSummarySentAt && aNow - *mSummarySentAt < interval) {
    return;
  }
  MemberSummary summary =
    mAttached.BuildSummary(mReplica, mRaftStatus.mTerm, CurrentView().mRevision, aNow);
  if (mViewRequested) {
    summary.mView = CurrentView();
  }
  mSummarySentAt = aNow;
  mAwaitingSummaryAnswer = true;
  aActions.emplace_back(SendSummary{mRaftStatus.mLeader, std::move(summary)});
}

std::vector<MembershipAction> MembershipCore::OnTick(TimePoint aNow)
{
  std::vector<MembershipAction> actions;
  if (!mRaftStatus.mLeading) {
    AddSummary(actions, aNow);
    return actions;
  }
  UpdateView(aNow);
  if (mIssuing) {
    AddViewUpdates(actions, aNow);
  }
  return actions;
}

} // namespace dandelionslip
