// Application of control state, leases and probes.
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

void RoutingCore::Publish()
{
  AddGates();
  auto snapshot = std::make_shared<const RoutingSnapshot>(mView, mConfiguration, mGates);
  const std::lock_guard lock(mSnapshotMutex);
  mSnapshot = std::move(snapshot);
}

void RoutingCore::AddGates()
{
  for (const auto& [name, member] : mView.mMembers) {
    if (auto& gate = mGates[member.mDataCentre]; !gate) {
      gate = std::make_shared<DataCentreGate>();
      gate->ExtendTo(mLeaseEnd);
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
    Publish();
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
    Publish();
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
  for (const auto& [name, gate] : mGates) {
    gate->ExtendTo(mLeaseEnd);
  }
}

std::vector<RoutingAction> RoutingCore::OnProbeAnswer(const DatagramHeader& aHeader,
                                                      const Endpoint& aSender)
{
  const auto probe = mProbed.find(aSender);
  if (aHeader.mKind != DatagramKind::ProbeAnswer || probe == mProbed.end()) {
    return {};
  }
  const Member* member = mView.FindMember(probe->second.mMember);
  if (member == nullptr) {
    return {};
  }
  // A peer with newer state may know that its data centre is out, so its answer does not count
  // until the state has been fetched.
  if (aHeader.mViewRevision > mView.mRevision || aHeader.mFlowHash > mConfiguration.mRevision) {
    return {FetchStateFromAgent{member->mName, member->mRequestEndpoint}};
  }
  if (const auto gate = mGates.find(member->mDataCentre); gate != mGates.end()) {
    gate->second->ExtendTo(probe->second.mSentAt + mSettings.mProbeValidity);
  }
  return {};
}

std::vector<RoutingAction> RoutingCore::Tick(TimePoint aNow)
{
  std::erase_if(mProbed, [&](const auto& aProbe) {
    return aNow - aProbe.second.mSentAt > mSettings.mProbeValidity;
  });
  // Two rounds of probes fit before the lease ends, so that data centres with answering agents stay
  // open without a gap.
  if (aNow + 2 * mSettings.mProbeInterval < mLeaseEnd || aNow < mNextProbe) {
    return {};
  }
  mNextProbe = aNow + mSettings.mProbeInterval;
  ++mProbeRound;
  std::vector<RoutingAction> actions;
  for (const auto& [name, gate] : mGates) {
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
  // Another agent in each round, so that one failed agent does not close its data centre.
  const Member& chosen = *agents[mProbeRound % agents.size()];
  const auto endpoint = Endpoint::Parse(chosen.mDatagramEndpoint);
  if (!endpoint) {
    return;
  }
  mProbed[endpoint.value()] = {chosen.mName, aNow};
  DatagramHeader header;
  header.mKind = DatagramKind::Probe;
  header.mViewRevision = mView.mRevision;
  header.mFlowHash = mConfiguration.mRevision;
  header.mBalancer = mSettings.mEndpoint;
  aActions.emplace_back(SendProbe{endpoint.value(), header});
}

} // namespace dandelionslip
