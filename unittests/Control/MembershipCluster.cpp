// Transport, leadership and invariant checks of the simulated cluster.
#include "MembershipCluster.h"

#include <cppunit/TestAssert.h>

namespace dandelionslip {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds kTick = 20ms;
constexpr Milliseconds kAnnounceInterval = 500ms;
constexpr Milliseconds kConfirmWindow = 500ms;
constexpr Milliseconds kElectionTimeout = 500ms;
constexpr Milliseconds kStepDownTimeout = 1'000ms;

} // namespace

MembershipCluster::MembershipCluster(std::uint64_t aSeed)
  : mRandom(aSeed)
{
  for (std::size_t i = 0; i < kClusterReplicas; ++i) {
    mReplicas[i].mCore = std::make_unique<MembershipCore>(NameOf(i), MembershipSettings{});
  }
  Elect(0);
}

void MembershipCluster::AddNode(const std::string& aName, std::size_t aReplica)
{
  Node node;
  node.mAnnouncement = AgentAnnouncement(aName);
  node.mReplica = aReplica;
  node.mAnnounceOffset = kTick * static_cast<int>(mRandom.Below(kAnnounceInterval / kTick));
  mNodes.insert_or_assign(aName, std::move(node));
}

void MembershipCluster::Restart(std::size_t aReplica)
{
  Replica& replica = mReplicas[aReplica];
  replica.mCore = std::make_unique<MembershipCore>(NameOf(aReplica), MembershipSettings{});
  for (const auto& [index, command] : mLog) {
    replica.mCore->OnCommitted(index, command);
  }
  ReportRole(aReplica, false);
}

void MembershipCluster::Commit(const Command& aCommand)
{
  mLog.emplace_back(mLog.size() + 1, aCommand);
  for (Replica& replica : mReplicas) {
    CPPUNIT_ASSERT(CommandOutcome::Applied ==
                   replica.mCore->OnCommitted(mLog.size(), aCommand).mOutcome);
  }
}

bool MembershipCluster::Reachable(std::size_t aFrom, std::size_t aTo) const
{
  return aFrom == aTo || (mIsolated != aFrom && mIsolated != aTo);
}

bool MembershipCluster::DrawDelivery(std::size_t aFrom, std::size_t aTo)
{
  return Reachable(aFrom, aTo) && mRandom.Below(100) >= mLossPercent;
}

bool MembershipCluster::IsReplicaConfirmed(std::size_t aReplica) const
{
  return mNow - mReplicas[aReplica].mLastQuorumContact <= kConfirmWindow;
}

void MembershipCluster::ReportRole(std::size_t aReplica, bool aKnowsLeader)
{
  Replica& replica = mReplicas[aReplica];
  RaftStatus change;
  replica.mTerm = aKnowsLeader ? mTerm : replica.mTerm;
  replica.mKnowsLeader = aKnowsLeader;
  change.mTerm = replica.mTerm;
  change.mLeading = aKnowsLeader && aReplica == mLeader;
  change.mLeader = aKnowsLeader ? NameOf(mLeader) : "";
  for (std::size_t i = 0; i < kClusterReplicas; ++i) {
    change.mVoters.push_back(NameOf(i));
  }
  replica.mCore->OnRaftStatus(change, mNow);
}

void MembershipCluster::Elect(std::size_t aReplica)
{
  ++mTerm;
  mLeader = aReplica;
  for (std::size_t i = 0; i < kClusterReplicas; ++i) {
    if (Reachable(i, mLeader)) {
      ReportRole(i, true);
    }
  }
  mReplicas[mLeader].mLastQuorumContact = mNow;
}

void MembershipCluster::UpdateRoles()
{
  for (std::size_t i = 0; i < kClusterReplicas; ++i) {
    Replica& replica = mReplicas[i];
    if (mIsolated != mLeader && Reachable(i, mLeader)) {
      if (replica.mTerm != mTerm || !replica.mKnowsLeader) {
        ReportRole(i, true);
      }
      replica.mLastQuorumContact = mNow;
    } else if (replica.mLastQuorumContact + kStepDownTimeout == mNow) {
      ReportRole(i, false);
    }
  }
  if (mIsolated == mLeader && mNow - mReplicas[mLeader].mLastQuorumContact > kElectionTimeout) {
    Elect((mLeader + 1 + mRandom.Below(kClusterReplicas - 1)) % kClusterReplicas);
  }
}

void MembershipCluster::Deliver(std::size_t aFrom, const MembershipAction& aAction)
{
  if (const auto* summary = std::get_if<SendSummary>(&aAction)) {
    const std::size_t to = std::stoul(summary->mTo.substr(1));
    if (DrawDelivery(aFrom, to)) {
      const auto decoded = DecodeMemberSummary(ToCbor(summary->mSummary), "test");
      CPPUNIT_ASSERT(decoded);
      const SummaryAnswer answer = Core(to).OnSummary(decoded.value(), mNow);
      if (DrawDelivery(to, aFrom)) {
        Core(aFrom).OnSummaryAnswer(answer);
      }
    }
    return;
  }
  const auto& update = std::get<SendViewUpdate>(aAction);
  const std::size_t to = std::stoul(update.mTo.substr(1));
  if (DrawDelivery(aFrom, to)) {
    const auto decoded = DecodeViewUpdate(ToCbor(update.mUpdate), "test");
    CPPUNIT_ASSERT(decoded);
    const ViewUpdateAnswer answer = Core(to).OnViewUpdate(decoded.value());
    if (DrawDelivery(to, aFrom)) {
      Core(aFrom).OnViewUpdateAnswer(answer);
    }
  }
}

void MembershipCluster::Announce(Node& aNode)
{
  Announcement& announcement = aNode.mAnnouncement;
  const View before = aNode.mState.CurrentView();
  announcement.mViewRevision = before.mRevision;
  announcement.mConfigurationRevision = aNode.mState.CurrentConfiguration().mRevision;
  if (const auto service = before.mServices.find("planner");
      service != before.mServices.end() && !service->second.mGenerations.empty()) {
    announcement.mAckedGeneration = service->second.mGenerations.front().mNumber;
  }
  const bool confirmed = IsReplicaConfirmed(aNode.mReplica);
  const AnnouncementAnswer answer =
    Core(aNode.mReplica).OnAnnouncement(announcement, confirmed, mNow);
  CPPUNIT_ASSERT(confirmed || (!answer.mConfirmed && answer.mLease == 0ms));
  const auto taken = aNode.mState.Apply(answer);
  CPPUNIT_ASSERT_MESSAGE(taken ? "" : taken.error().Message(), taken.has_value());
  CPPUNIT_ASSERT(aNode.mState.CurrentView().mRevision >= before.mRevision);
  aNode.mLeaseEnd = std::max(aNode.mLeaseEnd, mNow + answer.mLease);
  if (!answer.mConfirmed) {
    aNode.mReplica = mRandom.Below(kClusterReplicas);
  }
}

void MembershipCluster::CheckLost(const View& aView, const std::string& aName)
{
  const MemberState state = aView.mMembers.at(aName).mState;
  MemberState& last = mLastState[aName];
  if (state == MemberState::Lost && last != MemberState::Lost) {
    ++mLosses;
    CPPUNIT_ASSERT_MESSAGE(aName + " is lost while it holds a lease",
                           mNodes.at(aName).mLeaseEnd <= mNow);
  }
  last = state;
}

void MembershipCluster::CheckViews()
{
  for (std::size_t i = 0; i < kClusterReplicas; ++i) {
    const View& view = Core(i).CurrentView();
    const auto service = view.mServices.find("planner");
    if (service == view.mServices.end()) {
      continue;
    }
    for (const Generation& generation : service->second.mGenerations) {
      const auto [known, isNew] = mGenerations.emplace(generation.mNumber, generation.mMembers);
      CPPUNIT_ASSERT_MESSAGE("a generation number stands for two assignments",
                             isNew || known->second == generation.mMembers);
    }
  }
  // Before it knows the views of a quorum, a new leader may have an outdated view, which it does
  // not use.
  if (Core(mLeader).IssuesViews()) {
    for (const auto& [name, member] : Core(mLeader).CurrentView().mMembers) {
      CheckLost(Core(mLeader).CurrentView(), name);
    }
  }
}

void MembershipCluster::Run(Milliseconds aTime)
{
  const TimePoint end = mNow + aTime;
  while (mNow < end) {
    mNow += kTick;
    UpdateRoles();
    for (auto& [name, node] : mNodes) {
      if (node.mRunning && (mNow - kTestStart + node.mAnnounceOffset) % kAnnounceInterval == 0ns) {
        Announce(node);
      }
    }
    for (std::size_t i = 0; i < kClusterReplicas; ++i) {
      for (const MembershipAction& action : Core(i).OnTick(mNow)) {
        Deliver(i, action);
      }
    }
    CheckViews();
  }
}

} // namespace dandelionslip
