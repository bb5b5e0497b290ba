// Changes of view and configuration, upstream datagrams and flow lifetime of the flow core.
#include "dandelionslip/Agent/FlowCore.h"

#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Route/FlowHash.h"
#include "dandelionslip/Support/Hash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

// Slots of the flow table examined for idle flows in each tick: a table of 100,000 flows is
// examined within about 10 s at 20 ticks a second.
constexpr std::size_t kIdleCheckSlots = 1024;

// Holders confirm their flows this often within the idle timeout.
constexpr int kConfirmationsPerTimeout = 4;

// Name of the member that acts for the bucket's owner, empty when there is none.
std::string ActingMemberName(const ServiceTable& aTable, std::uint32_t aBucket)
{
  if (aBucket >= aTable.Buckets()) {
    return {};
  }
  const MemberIndex acting = aTable.ActingFor(aTable.Assignment().Owner(aBucket));
  return acting == kNoMember ? std::string() : aTable.Members()[acting].mName;
}

} // namespace

FlowCore::FlowCore(FlowSettings aSettings, FlowAdmission& aAdmission, BucketRecords* aRecords)
  : mContext(std::move(aSettings))
  , mAdmission(aAdmission)
  , mRecords(aRecords)
  , mBackupRole(mContext, aRecords)
  , mBucketTransfers(mContext, mBackupRole, aRecords)
{
}

void FlowCore::OnViewAndConfiguration(const View& aView, const Configuration& aConfiguration,
                                      TimePoint aNow, FlowActions& aOut)
{
  const bool newView = aView.mRevision > mContext.mView.mRevision;
  const bool newConfiguration = aConfiguration.mRevision > mContext.mConfiguration.mRevision;
  if (!newView && !newConfiguration) {
    return;
  }
  const Configuration before = mContext.mConfiguration;
  mContext.mView = newView ? aView : mContext.mView;
  mContext.mConfiguration = newConfiguration ? aConfiguration : mContext.mConfiguration;
  const ServiceTable old = std::move(mContext.mTable);
  mContext.mTable =
    ServiceTable(mContext.mView, mContext.mConfiguration, mContext.mSettings.mServiceName);
  mNextFetch = aNow;
  UpdateBalancers();
  if ((old.Id() != 0 && old.Id() != mContext.mTable.Id()) || WasOwnDataCentreOut(before)) {
    ClearFlowState(aNow, aOut);
  }
  if (!mResumption && !mHandover) {
    OnTable(old, aNow, aOut);
  }
}

// Members acknowledge each generation before the next one is issued. Only an agent that was
// regarded as lost can miss one, and its buckets had other owners meanwhile. Generation numbers are
// not consecutive, so the view's history, ordered from newest to oldest, tells which generation
// came before.
bool FlowCore::MissedGeneration(const ServiceTable& aOld) const
{
  if (aOld.Generation() == 0 || aOld.Id() != mContext.mTable.Id() ||
      aOld.Generation() == mContext.mTable.Generation()) {
    return false;
  }
  const ServiceView* service =
    FindServiceView(mContext.mView, mContext.mConfiguration, mContext.mSettings.mServiceName);
  return service == nullptr || service->mGenerations.size() < 2 ||
         service->mGenerations[1].mNumber != aOld.Generation();
}

void FlowCore::OnTable(const ServiceTable& aOld, TimePoint aNow, FlowActions& aOut)
{
  const bool missedGeneration = MissedGeneration(aOld);
  const TableMember* self = mContext.FindMember(mContext.mSettings.mName);
  if (self != nullptr && self->mExcluded) {
    mBucketTransfers.Reset();
  } else {
    mBucketTransfers.OnTable(aOld, mOwnershipUncertain || missedGeneration, aNow, aOut);
    mOwnershipUncertain = false;
  }
  ReportHeldFlows(aOld, aOut);
  UpdateAcknowledgement();
}

// Whether the agent's data centre is out of service, or was between the two configurations.
bool FlowCore::WasOwnDataCentreOut(const Configuration& aOld) const
{
  const TableMember* self = mContext.FindMember(mContext.mSettings.mName);
  if (self == nullptr) {
    return false;
  }
  if (self->mDataCentreOut) {
    return true;
  }
  const auto versionIn = [&](const Configuration& aConfiguration) {
    const auto found = aConfiguration.mDataCentres.find(self->mDataCentre);
    return found == aConfiguration.mDataCentres.end() ? 0 : found->second.mVersion;
  };
  return aOld.mRevision > 0 && !aOld.IsDataCentreOut(self->mDataCentre) &&
         versionIn(mContext.mConfiguration) > versionIn(aOld);
}

void FlowCore::UpdateBalancers()
{
  mBalancers.clear();
  for (const auto& [name, member] : mContext.mView.mMembers) {
    if (const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
        endpoint && member.mKind == MemberKind::Balancer) {
      mBalancers[endpoint.value()] =
        TakesNewWork(member.mState) && !mContext.mConfiguration.IsDataCentreOut(member.mDataCentre);
    }
  }
}

void FlowCore::ClearFlowState(TimePoint aNow, FlowActions& aOut)
{
  std::vector<FlowId> flows;
  mContext.mFlows.ForEach([&](const FlowEntry& aEntry) { flows.push_back(aEntry.mFlow); });
  for (const FlowId flow : flows) {
    mContext.mFlows.Erase(flow);
    mAdmission.CloseFlow(aNow);
    aOut.emplace_back(CloseUpstreamPort{flow});
  }
  mBucketTransfers.Reset();
}

// Reports the flows held here to the new acting members of their buckets. Otherwise the owner might
// not know a flow that was opened while its bucket was transferred.
void FlowCore::ReportHeldFlows(const ServiceTable& aOld, FlowActions& aOut)
{
  std::map<std::uint32_t, std::pair<std::string, bool>> actingByBucket;
  std::map<std::pair<std::string, std::string>, DirectoryUpdate> updates;
  const ServiceTable& table = mContext.mTable;
  if (table.Buckets() == 0) {
    return;
  }
  mContext.mFlows.ForEach([&](const FlowEntry& aEntry) {
    const std::uint32_t bucket = BucketOf(aEntry.mFlow, table.Buckets());
    auto found = actingByBucket.find(bucket);
    if (found == actingByBucket.end()) {
      std::string acting = ActingMemberName(table, bucket);
      const bool changed = acting != ActingMemberName(aOld, bucket);
      found = actingByBucket.emplace(bucket, std::pair(std::move(acting), changed)).first;
    }
    const auto& [acting, changed] = found->second;
    if (changed && !acting.empty() && !mContext.IsSelf(acting)) {
      updates[{acting, mContext.OwnerOf(bucket)}].mHeld.push_back(aEntry.mFlow);
    }
  });
  for (auto& [receiver, update] : updates) {
    update.mHolder = mContext.mSettings.mName;
    update.mOwner = receiver.second;
    update.mServiceId = table.Id();
    aOut.emplace_back(SendPeerMessage{receiver.first, std::move(update)});
  }
}

void FlowCore::UpdateAcknowledgement()
{
  if (!mResumption && mBucketTransfers.IsComplete()) {
    mAckedGeneration = mContext.mTable.Generation();
  }
}

void FlowCore::OnStateProbe(const DatagramHeader& aHeader, const Endpoint& aSender, bool aConfirmed,
                            FlowActions& aOut)
{
  DatagramHeader answer;
  answer.mKind = DatagramKind::StateProbeAnswer;
  answer.mLeaseValid = aConfirmed;
  answer.mViewRevision = ViewRevision();
  // State probes and their answers carry the configuration revision in the field of the flow hash.
  answer.mFlowHash = ConfigurationRevision();
  answer.mBalancer = aHeader.mBalancer;
  aOut.emplace_back(SendDatagram{aSender, answer, {}});
}

// The balancer that last carried a packet of the flow. A balancer that is not in the view yet is
// used. One that does not take replies is replaced by another, chosen by rendezvous hashing.
const Endpoint& FlowCore::BalancerFor(const FlowEntry& aEntry) const
{
  const auto known = mBalancers.find(aEntry.mBalancer);
  if (known == mBalancers.end() || known->second) {
    return aEntry.mBalancer;
  }
  const Endpoint* best = &aEntry.mBalancer;
  std::uint64_t highest = 0;
  for (const auto& [endpoint, usable] : mBalancers) {
    const std::uint64_t score = HashOf(endpoint, aEntry.mFlow);
    if (usable && score >= highest) {
      highest = score;
      best = &endpoint;
    }
  }
  return *best;
}

void FlowCore::OnUpstreamDatagram(FlowId aFlow, std::span<const std::uint8_t> aPayload,
                                  TimePoint aNow, FlowActions& aOut)
{
  FlowEntry* entry = mContext.mFlows.Find(aFlow);
  if (entry == nullptr || aPayload.size() > kMaxDatagramPayload || mHandover) {
    Drop(mHandover ? RefusalReason::TransferPending : RefusalReason::UnknownFlow);
    return;
  }
  entry->mEstablished = true;
  entry->mLastActive = aNow;
  DatagramHeader header;
  header.mKind = DatagramKind::Reply;
  header.mServiceId = mContext.mTable.Id();
  header.mViewRevision = ViewRevision();
  header.mGeneration = mContext.mTable.Generation();
  header.mFlowHash = aFlow;
  header.mCaller = entry->mCaller;
  header.mService = entry->mService;
  header.mBalancer = BalancerFor(*entry);
  aOut.emplace_back(
    SendDatagram{header.mBalancer, header, Bytes(aPayload.begin(), aPayload.end())});
  if (const auto datagram = DecodeCallerDatagram(aPayload);
      datagram && EndsSession(datagram.value(), *entry)) {
    EndFlow(aFlow, aNow, aOut);
  }
}

// A caller may close a session and open the next one from the same port; the close datagram of the
// first session must not end the second when it arrives late.
bool FlowCore::EndsSession(const CallerDatagram& aDatagram, const FlowEntry& aEntry)
{
  return aDatagram.mKind == CallerDatagramKind::Close &&
         aDatagram.mSessionTag == aEntry.mSessionTag;
}

void FlowCore::OnUpstreamPortOpened(FlowId aFlow, std::uint16_t aPort, TimePoint aNow,
                                    FlowActions& aOut)
{
  FlowEntry* entry = mContext.mFlows.Find(aFlow);
  if (entry == nullptr) {
    return;
  }
  entry->mUpstreamPort = aPort;
  if (aPort == 0) {
    EndFlow(aFlow, aNow, aOut);
  }
}

void FlowCore::EndFlow(FlowId aFlow, TimePoint aNow, FlowActions& aOut)
{
  if (!mContext.mFlows.Erase(aFlow)) {
    return;
  }
  mAdmission.CloseFlow(aNow);
  aOut.emplace_back(CloseUpstreamPort{aFlow});
  NotifyOwner(aFlow, false, aOut);
}

void FlowCore::NotifyOwner(FlowId aFlow, bool aHeld, FlowActions& aOut)
{
  const std::uint32_t bucket = BucketOf(aFlow, std::max(1U, mContext.mTable.Buckets()));
  const std::string acting = ActingMemberName(mContext.mTable, bucket);
  if (acting.empty() || mContext.IsSelf(acting)) {
    return;
  }
  DirectoryUpdate update{
    mContext.mSettings.mName, mContext.OwnerOf(bucket), mContext.mTable.Id(), {}, {}, 0};
  (aHeld ? update.mHeld : update.mEnded).push_back(aFlow);
  aOut.emplace_back(SendPeerMessage{acting, std::move(update)});
}

void FlowCore::ConfirmFlowsPeriodically(TimePoint aNow, FlowActions& aOut)
{
  const ServiceEntry* entry = mContext.mConfiguration.FindService(mContext.mSettings.mServiceName);
  if (entry == nullptr || aNow < mNextConfirmation) {
    return;
  }
  mNextConfirmation = aNow + entry->mSpec.mFlowIdleTimeout / kConfirmationsPerTimeout;
  // Compared with an empty table, every acting member is new, so all flows are reported.
  ReportHeldFlows(ServiceTable(), aOut);
}

void FlowCore::OnTick(TimePoint aNow, FlowActions& aOut)
{
  if (mHandover) {
    ContinueHandover(aNow, aOut);
    return;
  }
  if (const ServiceEntry* entry =
        mContext.mConfiguration.FindService(mContext.mSettings.mServiceName)) {
    for (const FlowId flow :
         mContext.mFlows.FindIdle(aNow, entry->mSpec.mFlowIdleTimeout,
                                  mContext.mSettings.mOpeningTimeout, kIdleCheckSlots)) {
      EndFlow(flow, aNow, aOut);
    }
  }
  mBackupRole.Tick(aNow);
  if (mResumption) {
    ContinueResumption(aNow, aOut);
    return;
  }
  mBucketTransfers.Tick(aNow, aOut);
  ConfirmFlowsPeriodically(aNow, aOut);
  UpdateAcknowledgement();
}

} // namespace dandelionslip
