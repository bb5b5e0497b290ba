// Handling of datagrams that balancers and other agents forward.
#include "dandelionslip/Agent/FlowCore.h"

#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Route/FlowHash.h"

namespace dandelionslip {

namespace {

// Shortest time between two fetches of the view because of packets with newer revisions.
constexpr Milliseconds kMinFetchInterval{100};

// Retry-after time of refusals that do not come from admission.
constexpr Milliseconds kDefaultRetryAfter{500};

// Whether another upstream may still take the flow.
bool IsRedirectable(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::ConnectionsFull:
    case RefusalReason::SlotsFull:
    case RefusalReason::Cold:
    case RefusalReason::RateLimited:
    case RefusalReason::Draining:
    case RefusalReason::TableFull:
    case RefusalReason::UpstreamShed:
      return true;
    default:
      return false;
  }
}

} // namespace

void FlowCore::OnForward(const DatagramHeader& aHeader, std::span<const std::uint8_t> aPayload,
                         const Endpoint& aSender, TimePoint aNow, FlowActions& aOut)
{
  const Packet packet{aHeader, aPayload, aSender, aNow, aOut};
  if (!Validate(packet)) {
    return;
  }
  FetchViewIfBehind(packet);
  if (mHandover) {
    HandleWhileStopping(packet);
    return;
  }
  if (FlowEntry* entry = mContext.mFlows.Find(aHeader.mFlowHash)) {
    Deliver(*entry, packet);
    return;
  }
  if (mResumption) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  Dispatch(packet);
}

// After the state has been exported it must not change, or the new process would resume from
// outdated state. Packets of flows held elsewhere are still forwarded.
void FlowCore::HandleWhileStopping(const Packet& aPacket)
{
  const FlowId flow = aPacket.mHeader.mFlowHash;
  const BucketDirectory& directory = mBucketTransfers.Directory();
  const std::string* holder = directory.Buckets() == 0 ? nullptr : directory.Holder(flow);
  const TableMember* member = holder == nullptr ? nullptr : mContext.FindReachableMember(*holder);
  if (member == nullptr || mContext.IsSelf(*holder) || mContext.mFlows.Find(flow) != nullptr) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  Forward(aPacket, member->mDatagramEndpoint, false);
}

bool FlowCore::Validate(const Packet& aPacket)
{
  const DatagramHeader& header = aPacket.mHeader;
  if (header.mKind != DatagramKind::Forward ||
      aPacket.mPayload.size() < kCallerDatagramHeaderSize ||
      header.mFlowHash != FlowHashOf(header.mCaller, header.mService)) {
    Drop(RefusalReason::Malformed);
    return false;
  }
  if (mContext.mTable.Id() == 0 || header.mServiceId != mContext.mTable.Id()) {
    FetchViewIfBehind(aPacket);
    Drop(RefusalReason::WrongService);
    return false;
  }
  return true;
}

void FlowCore::FetchViewIfBehind(const Packet& aPacket)
{
  if (aPacket.mHeader.mViewRevision > ViewRevision() && aPacket.mNow >= mNextFetch) {
    mNextFetch = aPacket.mNow + kMinFetchInterval;
    aPacket.mActions.emplace_back(FetchView{});
  }
}

void FlowCore::Deliver(FlowEntry& aEntry, const Packet& aPacket)
{
  // Another flow with the same hash has the entry. Packets of the second flow are dropped and
  // counted as malformed.
  if (aEntry.mCaller != aPacket.mHeader.mCaller || aEntry.mService != aPacket.mHeader.mService) {
    Drop(RefusalReason::Malformed);
    return;
  }
  aEntry.mBalancer = aPacket.mHeader.mBalancer;
  aEntry.mLastActive = aPacket.mNow;
  const FlowId flow = aEntry.mFlow;
  aPacket.mActions.emplace_back(
    SendToUpstream{flow, Bytes(aPacket.mPayload.begin(), aPacket.mPayload.end())});
  const auto datagram = DecodeCallerDatagram(aPacket.mPayload);
  if (datagram && datagram.value().mKind == CallerDatagramKind::Open) {
    aEntry.mSessionTag = datagram.value().mSessionTag;
  }
  if (datagram && EndsSession(datagram.value(), aEntry)) {
    EndFlow(flow, aPacket.mNow, aPacket.mActions);
  }
}

void FlowCore::Dispatch(const Packet& aPacket)
{
  const ServiceTable& table = mContext.mTable;
  const std::uint32_t bucket = BucketOf(aPacket.mHeader.mFlowHash, table.Buckets());
  const MemberIndex owner = table.Assignment().Owner(bucket);
  if (owner == kNoMember) {
    Refuse(aPacket,
           {table.AllDataCentresOut() ? RefusalReason::DataCentreOut : RefusalReason::NoUpstream,
            kDefaultRetryAfter});
    return;
  }
  const TableMember& acting = table.Members()[table.ActingFor(owner)];
  if (mContext.IsSelf(acting.mName)) {
    HandleAsActingMember(aPacket, table.Members()[owner]);
    return;
  }
  HandleAsOtherMember(aPacket, table.Members()[owner], acting);
}

// This agent is the acting member for the owner of the flow's bucket.
void FlowCore::HandleAsActingMember(const Packet& aPacket, const TableMember& aOwner)
{
  if (mContext.IsSelf(aOwner.mName)) {
    HandleByDirectory(aPacket, aOwner.mName, mBucketTransfers.Directory());
    return;
  }
  KeptState* kept = mBackupRole.FindKeptState(aOwner.mName);
  if (kept == nullptr || kept->mDirectory.Buckets() == 0) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  if (kept->mFetchedBy != 0) {
    const TableMember* fetcher =
      mContext.FindMember(kept->mPreviousBackup.empty() ? aOwner.mName : kept->mPreviousBackup);
    Forward(aPacket, fetcher == nullptr ? aOwner.mDatagramEndpoint : fetcher->mDatagramEndpoint,
            false);
    return;
  }
  if (kept->mFlows.contains(aPacket.mHeader.mFlowHash)) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  HandleByDirectory(aPacket, aOwner.mName, kept->mDirectory);
}

void FlowCore::HandleByDirectory(const Packet& aPacket, const std::string& aOwner,
                                 BucketDirectory& aDirectory)
{
  if (SendToHolder(aPacket, aOwner, aDirectory)) {
    return;
  }
  const bool opening = aPacket.mHeader.mOpening;
  const Bucket& bucket = aDirectory.Of(aPacket.mHeader.mFlowHash);
  switch (bucket.mState) {
    case BucketState::Complete:
      opening ? Admit(aPacket, aOwner, aDirectory)
              : Refuse(aPacket, {bucket.mUnknownFlowReason, Milliseconds(0)});
      return;
    case BucketState::Rebuilding:
      opening ? Admit(aPacket, aOwner, aDirectory) : Drop(RefusalReason::TransferPending);
      return;
    case BucketState::Pending:
      HandlePending(aPacket, aOwner, aDirectory);
      return;
    case BucketState::Transferred:
      if (const TableMember* acting = mContext.ActingFor(bucket.mTransferPartner);
          acting != nullptr && !mContext.IsSelf(acting->mName)) {
        Forward(aPacket, acting->mDatagramEndpoint, false);
        return;
      }
      Drop(RefusalReason::TransferPending);
      return;
    case BucketState::NeverOwned:
      Drop(RefusalReason::TransferPending);
      return;
  }
}

// Forwards to the recorded holder. Returns false when there is none, or when it is gone and the
// packet is to be handled like one of an unknown flow. An entry that names aOwner or this agent is
// outdated, because their own flows were looked up before.
bool FlowCore::SendToHolder(const Packet& aPacket, const std::string& aOwner,
                            BucketDirectory& aDirectory)
{
  const FlowId flow = aPacket.mHeader.mFlowHash;
  const std::string* holder = aDirectory.Holder(flow);
  if (holder == nullptr) {
    return false;
  }
  const TableMember* member = mContext.FindMember(*holder);
  if (member == nullptr || member->mExcluded || *holder == aOwner || mContext.IsSelf(*holder)) {
    aDirectory.Erase(flow);
    if (member == nullptr || !member->mDataCentreOut || aPacket.mHeader.mOpening) {
      return false;
    }
    Refuse(aPacket, {RefusalReason::DataCentreOut, Milliseconds(0)});
    return true;
  }
  // While the directory is incomplete, an entry may be outdated. The packet is then not marked as
  // redirected, so that the holder does not refuse it as one of an unknown flow.
  const bool authoritative =
    aPacket.mHeader.mOpening || aDirectory.Of(flow).mState == BucketState::Complete;
  if (!authoritative && member->mDatagramEndpoint == aPacket.mSender) {
    return false;
  }
  Forward(aPacket, member->mDatagramEndpoint, authoritative);
  return true;
}

// The previous owner handles the packet first, because it may know the flow. It sends an opening
// packet of an unknown flow back, so that a repeated opening packet is not admitted by both owners.
void FlowCore::HandlePending(const Packet& aPacket, const std::string& aOwner,
                             BucketDirectory& aDirectory)
{
  const Bucket& bucket = aDirectory.Of(aPacket.mHeader.mFlowHash);
  const TableMember* previous = mContext.ActingFor(bucket.mTransferPartner);
  const bool usable = previous != nullptr && !mContext.IsSelf(previous->mName);
  if (usable && previous->mDatagramEndpoint != aPacket.mSender) {
    Forward(aPacket, previous->mDatagramEndpoint, false);
    return;
  }
  if (aPacket.mHeader.mOpening) {
    Admit(aPacket, aOwner, aDirectory);
    return;
  }
  Drop(RefusalReason::TransferPending);
}

// Another agent is the acting member for the owner of the flow's bucket.
void FlowCore::HandleAsOtherMember(const Packet& aPacket, const TableMember& aOwner,
                                   const TableMember& aActing)
{
  // The owner restarts without a backup: the alternate admits new flows for it.
  const bool noActingMember = aOwner.mState == MemberState::Restarting && &aOwner == &aActing;
  if (aPacket.mHeader.mRedirected || (noActingMember && aPacket.mHeader.mOpening)) {
    HandleRedirected(aPacket);
    return;
  }
  if (SendToRecordedHolder(aPacket)) {
    return;
  }
  const bool fromActingMember = aPacket.mSender == aActing.mDatagramEndpoint;
  if (!fromActingMember || aPacket.mHeader.mOpening) {
    Forward(aPacket, aActing.mDatagramEndpoint, false);
    return;
  }
  if (mBucketTransfers.Directory().Of(aPacket.mHeader.mFlowHash).mState == BucketState::Complete) {
    Refuse(aPacket, {RefusalReason::UnknownFlow, Milliseconds(0)});
    return;
  }
  Drop(RefusalReason::TransferPending);
}

// The bucket's owner regards this agent as the flow's holder, or is restarting without a backup.
void FlowCore::HandleRedirected(const Packet& aPacket)
{
  if (aPacket.mHeader.mOpening) {
    AdmitForOwner(aPacket);
    return;
  }
  Refuse(aPacket, {RefusalReason::UnknownFlow, Milliseconds(0)});
  NotifyOwner(aPacket.mHeader.mFlowHash, false, aPacket.mActions);
}

// Forwards to the holder that this agent knows, from an earlier ownership of the bucket or from
// reports that reached it early.
bool FlowCore::SendToRecordedHolder(const Packet& aPacket)
{
  const FlowId flow = aPacket.mHeader.mFlowHash;
  const BucketDirectory& directory = mBucketTransfers.Directory();
  const std::string* holder = directory.Of(flow).mState == BucketState::Transferred
                                ? directory.HolderAtTransfer(flow)
                                : directory.Holder(flow);
  if (holder == nullptr || mContext.IsSelf(*holder)) {
    return false;
  }
  const TableMember* member = mContext.FindReachableMember(*holder);
  if (member == nullptr || member->mDatagramEndpoint == aPacket.mSender) {
    return false;
  }
  Forward(aPacket, member->mDatagramEndpoint, false);
  return true;
}

void FlowCore::Admit(const Packet& aPacket, const std::string& aOwner, BucketDirectory& aDirectory)
{
  const auto refusal = TryAdmit(aPacket);
  if (!refusal) {
    if (!mContext.IsSelf(aOwner)) {
      aDirectory.Record(aPacket.mHeader.mFlowHash, mContext.mSettings.mName, aPacket.mNow);
    }
    return;
  }
  if (!IsRedirectable(refusal->mReason) || !Redirect(aPacket, aDirectory)) {
    Refuse(aPacket, *refusal);
  }
}

bool FlowCore::Redirect(const Packet& aPacket, BucketDirectory& aDirectory)
{
  const ServiceTable& table = mContext.mTable;
  const MemberIndex alternate =
    table.Assignment().Alternate(BucketOf(aPacket.mHeader.mFlowHash, table.Buckets()));
  if (alternate == kNoMember || aPacket.mHeader.mHops >= kMaxHops) {
    return false;
  }
  const TableMember& member = table.Members()[alternate];
  if (member.mExcluded || mContext.IsSelf(member.mName)) {
    return false;
  }
  aDirectory.Record(aPacket.mHeader.mFlowHash, member.mName, aPacket.mNow);
  Forward(aPacket, member.mDatagramEndpoint, true);
  return true;
}

void FlowCore::AdmitForOwner(const Packet& aPacket)
{
  const auto refusal = TryAdmit(aPacket);
  NotifyOwner(aPacket.mHeader.mFlowHash, !refusal, aPacket.mActions);
  if (refusal) {
    Refuse(aPacket, *refusal);
  }
}

bool FlowCore::MayAdmit() const
{
  const TableMember* self = mContext.FindMember(mContext.mSettings.mName);
  return !mHandover && !mResumption &&
         (self == nullptr || (!self->mExcluded && TakesNewWork(self->mState)));
}

std::optional<Refusal> FlowCore::TryAdmit(const Packet& aPacket)
{
  if (!MayAdmit()) {
    return Refusal{RefusalReason::Draining, kDefaultRetryAfter};
  }
  if (mContext.mFlows.Size() >= mContext.mFlows.Capacity()) {
    return Refusal{RefusalReason::TableFull, kDefaultRetryAfter};
  }
  if (auto refusal = mAdmission.TryOpenFlow(aPacket.mNow)) {
    return refusal;
  }
  FlowEntry entry;
  entry.mFlow = aPacket.mHeader.mFlowHash;
  entry.mCaller = aPacket.mHeader.mCaller;
  entry.mService = aPacket.mHeader.mService;
  entry.mLastActive = aPacket.mNow;
  aPacket.mActions.emplace_back(OpenUpstreamPort{entry.mFlow, 0});
  Deliver(*mContext.mFlows.Insert(entry), aPacket);
  return std::nullopt;
}

void FlowCore::Forward(const Packet& aPacket, const Endpoint& aTo, bool aRedirected)
{
  if (aPacket.mHeader.mHops >= kMaxHops) {
    Drop(RefusalReason::HopLimit);
    return;
  }
  SendDatagram send{aTo, aPacket.mHeader, Bytes(aPacket.mPayload.begin(), aPacket.mPayload.end())};
  ++send.mHeader.mHops;
  send.mHeader.mRedirected = aRedirected;
  // Lets a receiver with an older table notice and fetch the view.
  if (ViewRevision() > send.mHeader.mViewRevision) {
    send.mHeader.mViewRevision = ViewRevision();
    send.mHeader.mGeneration = mContext.mTable.Generation();
  }
  aPacket.mActions.emplace_back(std::move(send));
}

void FlowCore::Refuse(const Packet& aPacket, const Refusal& aRefusal)
{
  ++mRefusals[aRefusal.mReason];
  const auto request = DecodeCallerDatagram(aPacket.mPayload);
  if (!request) {
    return;
  }
  CallerDatagram answer;
  answer.mKind = CallerDatagramKind::Refused;
  answer.mSessionTag = request.value().mSessionTag;
  answer.mReason = aRefusal.mReason;
  answer.mRetryAfter = aRefusal.mRetryAfter;
  SendDatagram send{aPacket.mHeader.mBalancer, aPacket.mHeader, EncodeCallerDatagram(answer)};
  send.mHeader.mKind = DatagramKind::Refuse;
  aPacket.mActions.emplace_back(std::move(send));
}

} // namespace dandelionslip
