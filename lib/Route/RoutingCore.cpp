// Applies views and configurations, and extends leases by announcements and state probes.
#include "dandelionslip/Route/RoutingCore.h"

#include <algorithm>

namespace dandelionslip {

RoutingCore::RoutingCore(RoutingSettings aSettings)
  : mSettings(aSettings)
  , mSnapshot(std::make_shared<RoutingSnapshot>())
{
}

std::shared_ptr<const RoutingSnapshot> RoutingCore::Snapshot() const
{
  const std::lock_guard lock(mSnapshotMutex);
  return mSnapshot;
}

void RoutingCore::PublishSnapshot()
{
  AddDataCentreLeases();
  auto snapshot = std::make_shared<const RoutingSnapshot>(mView, mConfiguration, mDataCentreLeases);
  const std::lock_guard lock(mSnapshotMutex);
  mSnapshot = std::move(snapshot);
}

void RoutingCore::AddDataCentreLeases()
{
  for (const auto& [name, member] : mView.mMembers) {
    if (auto& lease = mDataCentreLeases[member.mDataCentre]; !lease) {
      lease = std::make_shared<DataCentreLease>();
      lease->ExtendTo(mLeaseEnd);
    }
  }
}

bool RoutingCore::ApplyConfiguration(const Configuration& aConfiguration)
{
  if (aConfiguration.mRevision < mConfiguration.mRevision) {
    return false;
  }
  if (aConfiguration != mConfiguration) {
    mConfiguration = aConfiguration;
    PublishSnapshot();
  }
  return true;
}

bool RoutingCore::ApplyView(const View& aView)
{
  if (aView.mRevision < mView.mRevision) {
    return false;
  }
  if (aView != mView) {
    mView = aView;
    PublishSnapshot();
  }
  return true;
}

void RoutingCore::OnAnnouncementAnswer(const AnnouncementAnswer& aAnswer, TimePoint aSentAt)
{
  if (!aAnswer.mConfirmed || aAnswer.mFenced) {
    return;
  }
  mLeaseEnd = std::max(mLeaseEnd, aSentAt + aAnswer.mLease);
  if (aAnswer.mConfiguration) {
    ApplyConfiguration(*aAnswer.mConfiguration);
  }
  if (aAnswer.mView) {
    ApplyView(*aAnswer.mView);
  }
  for (const auto& [name, lease] : mDataCentreLeases) {
    lease->ExtendTo(mLeaseEnd);
  }
}

std::vector<RoutingAction> RoutingCore::OnProbeAnswer(const DatagramHeader& aHeader,
                                                      const Endpoint& aSender)
{
  const auto probe = mSentProbes.find(aSender);
  if (aHeader.mKind != DatagramKind::StateProbeAnswer || probe == mSentProbes.end()) {
    return {};
  }
  const Member* member = mView.FindMember(probe->second.mMember);
  if (member == nullptr) {
    return {};
  }
  // An agent with newer state may know that its data centre is out of service, so its answer does
  // not extend the lease until that state has been fetched. A probe answer carries the
  // configuration revision in mFlowHash.
  if (aHeader.mViewRevision > mView.mRevision || aHeader.mFlowHash > mConfiguration.mRevision) {
    return {FetchStateFromAgent{member->mName, member->mRequestEndpoint}};
  }
  if (const auto lease = mDataCentreLeases.find(member->mDataCentre);
      lease != mDataCentreLeases.end()) {
    lease->second->ExtendTo(probe->second.mSentAt + mSettings.mProbeLease);
  }
  return {};
}

std::vector<RoutingAction> RoutingCore::Tick(TimePoint aNow)
{
  std::erase_if(mSentProbes, [&](const auto& aProbe) {
    return aNow - aProbe.second.mSentAt > mSettings.mProbeLease;
  });
  // Probing starts two intervals before the lease expires, so that agents can answer before the
  // leases of their data centres expire.
  if (aNow + 2 * mSettings.mProbeInterval < mLeaseEnd || aNow < mNextProbe) {
    return {};
  }
  mNextProbe = aNow + mSettings.mProbeInterval;
  ++mProbeRound;
  std::vector<RoutingAction> actions;
  for (const auto& [name, lease] : mDataCentreLeases) {
    if (!mConfiguration.IsDataCentreOut(name)) {
      ProbeDataCentre(name, aNow, actions);
    }
  }
  return actions;
}

void RoutingCore::ProbeDataCentre(const std::string& aDataCentre, TimePoint aNow,
                                  std::vector<RoutingAction>& aActions)
{
  std::vector<const Member*> agents;
  for (const auto& [name, member] : mView.mMembers) {
    if (member.mKind == MemberKind::Agent && member.mDataCentre == aDataCentre &&
        HoldsFlows(member.mState)) {
      agents.push_back(&member);
    }
  }
  if (agents.empty()) {
    return;
  }
  // Probes a different agent in each round, so that one failed agent does not let the lease of its
  // data centre expire.
  const Member& chosen = *agents[mProbeRound % agents.size()];
  const auto endpoint = Endpoint::Parse(chosen.mDatagramEndpoint);
  if (!endpoint) {
    return;
  }
  mSentProbes[endpoint.value()] = {chosen.mName, aNow};
  DatagramHeader header;
  header.mKind = DatagramKind::StateProbe;
  header.mViewRevision = mView.mRevision;
  header.mFlowHash = mConfiguration.mRevision;
  header.mBalancer = mSettings.mEndpoint;
  aActions.emplace_back(SendProbe{endpoint.value(), header});
}

} // namespace dandelionslip
