// Resolves buckets to endpoints and decides where datagrams and requests go.
#include "dandelionslip/Route/RoutingSnapshot.h"

#include "dandelionslip/Route/FlowHash.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace dandelionslip {

namespace {

Refusal RefusalFor(RefusalReason aReason)
{
  return {aReason, kBalancerRetryAfter};
}

// A cheap hash is enough: there are few service addresses, and only operators choose them, so
// callers cannot provoke collisions.
std::size_t AddressHash(const Endpoint& aAddress)
{
  std::array<std::uint64_t, 2> halves{};
  std::memcpy(halves.data(), aAddress.mAddress.data(), sizeof(halves));
  constexpr std::uint64_t kFactor = 0x9e3779b97f4a7c15; // 2^64 divided by the golden ratio
  return ((halves[0] ^ halves[1] ^ aAddress.mPort) * kFactor) >> 32U;
}

} // namespace

RoutingSnapshot::RoutingSnapshot(const View& aView, const Configuration& aConfiguration,
                                 const DataCentreLeases& aDataCentreLeases)
  : mViewRevision(aView.mRevision)
  , mConfigurationRevision(aConfiguration.mRevision)
  , mDataCentreLeases(aDataCentreLeases)
{
  std::vector<AddressEntry> addresses;
  for (const auto& [name, entry] : aConfiguration.mServices) {
    auto service = std::make_unique<Service>();
    service->mTable = ServiceTable(aView, aConfiguration, name);
    ResolveTargets(*service);
    for (const std::string& text : entry.mSpec.mAddresses) {
      if (const auto address = Endpoint::Parse(text)) {
        addresses.push_back({address.value(), service.get()});
      }
    }
    mServices.emplace(name, std::move(service));
  }
  IndexAddresses(addresses);
}

RoutingSnapshot::DatagramTarget RoutingSnapshot::DatagramTargetFor(const ServiceTable& aTable,
                                                                   MemberIndex aMember) const
{
  if (aMember == kNoMember) {
    return {};
  }
  const TableMember& member = aTable.Members()[aMember];
  const auto lease = mDataCentreLeases.find(member.mDataCentre);
  return lease == mDataCentreLeases.end()
           ? DatagramTarget{}
           : DatagramTarget{member.mDatagramEndpoint, lease->second.get()};
}

void RoutingSnapshot::ResolveTargets(Service& aService) const
{
  const ServiceTable& table = aService.mTable;
  aService.mReasonWithoutOwner =
    table.AllDataCentresOut() ? RefusalReason::DataCentreOut : RefusalReason::NoUpstream;
  for (std::uint32_t bucket = 0; bucket < table.Buckets(); ++bucket) {
    const MemberIndex owner = table.Assignment().Owner(bucket);
    const MemberIndex acting = table.ActingFor(owner);
    // While the owner restarts without a backup, the alternate admits its new flows.
    const bool ownerRestartsWithoutBackup =
      owner != kNoMember && acting == owner &&
      table.Members()[owner].mState == MemberState::Restarting;
    const MemberIndex alternate = table.Assignment().Alternate(bucket);
    aService.mEstablishedTargets.push_back(DatagramTargetFor(table, acting));
    aService.mOpeningTargets.push_back(DatagramTargetFor(
      table, ownerRestartsWithoutBackup && alternate != kNoMember ? alternate : acting));
  }
}

void RoutingSnapshot::IndexAddresses(const std::vector<AddressEntry>& aAddresses)
{
  if (aAddresses.empty()) {
    return;
  }
  mAddresses.resize(std::bit_ceil(aAddresses.size() * 2));
  for (const AddressEntry& address : aAddresses) {
    std::size_t index = AddressHash(address.mAddress) & (mAddresses.size() - 1);
    while (mAddresses[index].mService != nullptr &&
           mAddresses[index].mAddress != address.mAddress) {
      index = (index + 1) & (mAddresses.size() - 1);
    }
    if (mAddresses[index].mService == nullptr) {
      mAddresses[index] = address;
    }
  }
}

const RoutingSnapshot::Service* RoutingSnapshot::FindByAddress(const Endpoint& aAddress) const
{
  if (mAddresses.empty()) {
    return nullptr;
  }
  std::size_t index = AddressHash(aAddress) & (mAddresses.size() - 1);
  while (mAddresses[index].mService != nullptr && mAddresses[index].mAddress != aAddress) {
    index = (index + 1) & (mAddresses.size() - 1);
  }
  return mAddresses[index].mService;
}

const RoutingSnapshot::Service* RoutingSnapshot::FindByName(std::string_view aServiceName) const
{
  const auto found = mServices.find(aServiceName);
  return found == mServices.end() ? nullptr : found->second.get();
}

const ServiceTable* RoutingSnapshot::FindTable(std::string_view aServiceName) const
{
  const Service* service = FindByName(aServiceName);
  return service == nullptr ? nullptr : &service->mTable;
}

RouteDecision RoutingSnapshot::Route(const Endpoint& aCaller, const Endpoint& aService,
                                     bool aOpening, const Endpoint& aBalancer, TimePoint aNow) const
{
  const Service* service = FindByAddress(aService);
  if (service == nullptr) {
    return RefusalFor(RefusalReason::NoService);
  }
  const std::uint64_t hash = FlowHashOf(aCaller, aService);
  const auto& targets = aOpening ? service->mOpeningTargets : service->mEstablishedTargets;
  const DatagramTarget& target =
    targets[BucketOf(hash, static_cast<std::uint32_t>(targets.size()))];
  if (target.mLease == nullptr) {
    return RefusalFor(service->mReasonWithoutOwner);
  }
  if (!target.mLease->IsValid(aNow)) {
    return RefusalFor(RefusalReason::NoControl);
  }
  // Constructed in place, because copying the header costs as much as the look-ups.
  RouteDecision decision(std::in_place_type<ForwardDatagram>);
  auto& forward = *std::get_if<ForwardDatagram>(&decision);
  forward.mTo = target.mTo;
  forward.mHeader.mOpening = aOpening;
  forward.mHeader.mServiceId = service->mTable.Id();
  forward.mHeader.mViewRevision = mViewRevision;
  forward.mHeader.mGeneration = service->mTable.Generation();
  forward.mHeader.mFlowHash = hash;
  forward.mHeader.mCaller = aCaller;
  forward.mHeader.mService = aService;
  forward.mHeader.mBalancer = aBalancer;
  return decision;
}

std::optional<RequestTarget> RoutingSnapshot::RequestTargetFor(const Service& aService,
                                                               MemberIndex aMember,
                                                               TimePoint aNow) const
{
  if (aMember == kNoMember) {
    return std::nullopt;
  }
  const TableMember& member = aService.mTable.Members()[aMember];
  const auto lease = mDataCentreLeases.find(member.mDataCentre);
  if (lease == mDataCentreLeases.end() || !lease->second->IsValid(aNow)) {
    return std::nullopt;
  }
  return RequestTarget{member.mName, member.mRequestEndpoint};
}

std::variant<RequestRoute, Refusal> RoutingSnapshot::RouteRequest(std::string_view aServiceName,
                                                                  std::uint64_t aRequestIdHash,
                                                                  TimePoint aNow) const
{
  const Service* service = FindByName(aServiceName);
  if (service == nullptr) {
    return RefusalFor(RefusalReason::NoService);
  }
  const ServiceTable& table = service->mTable;
  const std::uint32_t bucket = BucketOf(aRequestIdHash, table.Buckets());
  const MemberIndex acting = table.ActingFor(table.Assignment().Owner(bucket));
  if (acting == kNoMember) {
    return RefusalFor(service->mReasonWithoutOwner);
  }
  auto target = RequestTargetFor(*service, acting, aNow);
  if (!target) {
    return RefusalFor(RefusalReason::NoControl);
  }
  return RequestRoute{table.Id(), table.Generation(), std::move(*target),
                      RequestTargetFor(*service, table.Assignment().Alternate(bucket), aNow)};
}

std::variant<RequestCandidates, Refusal> RoutingSnapshot::CandidatesFor(
  std::string_view aServiceName, std::array<std::uint64_t, 2> aRandom, TimePoint aNow) const
{
  const Service* service = FindByName(aServiceName);
  if (service == nullptr) {
    return RefusalFor(RefusalReason::NoService);
  }
  const ServiceTable& table = service->mTable;
  std::array<std::optional<RequestTarget>, 2> targets;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::uint32_t bucket = BucketOf(aRandom[i], table.Buckets());
    MemberIndex member = table.Assignment().Owner(bucket);
    // A member that takes no new work still owns its buckets until the next generation; the
    // alternates take its new requests.
    if (member != kNoMember && !TakesNewWork(table.Members()[member].mState)) {
      member = table.Assignment().Alternate(bucket);
    }
    targets[i] = RequestTargetFor(*service, member, aNow);
  }
  if (!targets[0] && !targets[1]) {
    // Either all buckets have an owner or none has.
    const bool owned = table.Buckets() > 0 && table.Assignment().Owner(0) != kNoMember;
    return RefusalFor(owned ? RefusalReason::NoControl : service->mReasonWithoutOwner);
  }
  return RequestCandidates{
    table.Id(), {targets[0] ? *targets[0] : *targets[1], targets[1] ? *targets[1] : *targets[0]}};
}

} // namespace dandelionslip
