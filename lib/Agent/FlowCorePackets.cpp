// The rules for datagrams that balancers and other agents forward.
#include "dandelionslip/Agent/FlowCore.h"

#include "dandelionslip/Net/CallerDatagram.h"
#include "dandelionslip/Route/FlowHash.h"

namespace dandelionslip {

namespace {

// At most one fetch of the view for packets with newer revisions in this time.
constexpr Milliseconds kFetchIntervalMs{100};

// Retry-after time of refusals that admission has no time for.
constexpr Milliseconds kRetryAfterMs{500};

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
  if (!Accept(packet)) {
    return;
  }
  FetchIfBehind(packet);
  if (mStop) {
    HandleStopped(packet);
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

// After the state has been exported it must not change, or the custodian would resume from outdated
// state. Packets of flows held elsewhere still pass.
void FlowCore::HandleStopped(const Packet& aPacket)
{
  const FlowId flow = aPacket.mHeader.mFlowHash;
  const BucketDirectory& directory = mHandoff.Directory();
  const std::string* holder = directory.Buckets() == 0 ? nullptr : directory.Holder(flow);
  const TableMember* member = holder == nullptr ? nullptr : mContext.FindReachable(*holder);
  if (member == nullptr || mContext.IsSelf(*holder) || mContext.mFlows.Find(flow) != nullptr) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  Forward(aPacket, member->mDatagramEndpoint, false);
}

bool FlowCore::Accept(const Packet& aPacket)
{
  const DatagramHeader& header = aPacket.mHeader;
  if (header.mKind != DatagramKind::Forward ||
      aPacket.mPayload.size() < kCallerDatagramHeaderSize ||
      header.mFlowHash != FlowHashOf(header.mCaller, header.mService)) {
    Drop(RefusalReason::Malformed);
    return false;
  }
  if (mContext.mTable.Id() == 0 || header.mServiceId != mContext.mTable.Id()) {
    FetchIfBehind(aPacket);
    Drop(RefusalReason::WrongService);
    return false;
  }
  return true;
}

void FlowCore::FetchIfBehind(const Packet& aPacket)
{
  if (aPacket.mHeader.mViewRevision > ViewRevision() && aPacket.mNow >= mNextFetch) {
    mNextFetch = aPacket.mNow + kFetchIntervalMs;
    aPacket.mOut.emplace_back(FetchView{});
  }
}

void FlowCore::Deliver(FlowEntry& aEntry, const Packet& aPacket)
{
  // Two flows with one hash: the first one keeps it.
  if (aEntry.mCaller != aPacket.mHeader.mCaller || aEntry.mService != aPacket.mHeader.mService) {
    Drop(RefusalReason::Malformed);
    return;
  }
  aEntry.mBalancer = aPacket.mHeader.mBalancer;
  aEntry.mLastActive = aPacket.mNow;
  const FlowId flow = aEntry.mFlow;
  aPacket.mOut.emplace_back(
    SendToUpstream{flow, Bytes(aPacket.mPayload.begin(), aPacket.mPayload.end())});
  const auto datagram = DecodeCallerDatagram(aPacket.mPayload);
  if (datagram && datagram.value().mKind == CallerDatagramKind::Open) {
    aEntry.mSessionTag = datagram.value().mSessionTag;
  }
  if (datagram && EndsSession(datagram.value(), aEntry)) {
    EndFlow(flow, aPacket.mNow, aPacket.mOut);
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
            kRetryAfterMs});
    return;
  }
  const TableMember& acting = table.Members()[table.ActingFor(owner)];
  if (mContext.IsSelf(acting.mName)) {
    HandleOwned(aPacket, table.Members()[owner]);
    return;
  }
  HandleOther(aPacket, table.Members()[owner], acting);
}

void FlowCore::HandleOwned(const Packet& aPacket, const TableMember& aOwner)
{
  if (mContext.IsSelf(aOwner.mName)) {
    HandleInDirectory(aPacket, aOwner.mName, mHandoff.Directory());
    return;
  }
  Custody* custody = mCustody.Find(aOwner.mName);
  if (custody == nullptr || custody->mDirectory.Buckets() == 0) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  if (custody->mReturnedTo != 0) {
    const TableMember* holder = mContext.Find(custody->mVia.empty() ? aOwner.mName : custody->mVia);
    Forward(aPacket, holder == nullptr ? aOwner.mDatagramEndpoint : holder->mDatagramEndpoint,
            false);
    return;
  }
  if (custody->mFlows.contains(aPacket.mHeader.mFlowHash)) {
    Drop(RefusalReason::TransferPending);
    return;
  }
  HandleInDirectory(aPacket, aOwner.mName, custody->mDirectory);
}

void FlowCore::HandleInDirectory(const Packet& aPacket, const std::string& aOwner,
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
              : Refuse(aPacket, {bucket.mUnknownReason, Milliseconds(0)});
      return;
    case BucketState::Rebuilding:
      opening ? Admit(aPacket, aOwner, aDirectory) : Drop(RefusalReason::TransferPending);
      return;
    case BucketState::Pending:
      HandlePending(aPacket, aOwner, aDirectory);
      return;
    case BucketState::HandedOff:
      if (const TableMember* acting = mContext.ActingFor(bucket.mPeer);
          acting != nullptr && !mContext.IsSelf(acting->mName)) {
        Forward(aPacket, acting->mDatagramEndpoint, false);
        return;
      }
      Drop(RefusalReason::TransferPending);
      return;
    case BucketState::NotOwned:
      Drop(RefusalReason::TransferPending);
      return;
  }
}

// Forwards to the recorded holder. Returns false when there is none, or when it is gone and the
// packet is to be handled as one of an unknown flow.
bool FlowCore::SendToHolder(const Packet& aPacket, const std::string& aOwner,
                            BucketDirectory& aDirectory)
{
  const FlowId flow = aPacket.mHeader.mFlowHash;
  const std::string* holder = aDirectory.Holder(flow);
  if (holder == nullptr) {
    return false;
  }
  const TableMember* member = mContext.Find(*holder);
  if (member == nullptr || member->mExcluded || *holder == aOwner || mContext.IsSelf(*holder)) {
    aDirectory.Erase(flow);
    if (member == nullptr || !member->mDataCentreOut || aPacket.mHeader.mOpening) {
      return false;
    }
    Refuse(aPacket, {RefusalReason::DataCentreOut, Milliseconds(0)});
    return true;
  }
  // While the directory is incomplete, an entry may be outdated: the holder must not answer for it.
  const bool certain =
    aPacket.mHeader.mOpening || aDirectory.Of(flow).mState == BucketState::Complete;
  if (!certain && member->mDatagramEndpoint == aPacket.mSender) {
    return false;
  }
  Forward(aPacket, member->mDatagramEndpoint, certain);
  return true;
}

// The previous owner decides first, because it may know the flow. It sends an opening packet of an
// unknown flow back, which keeps a repeated opening packet from being admitted twice.
void FlowCore::HandlePending(const Packet& aPacket, const std::string& aOwner,
                             BucketDirectory& aDirectory)
{
  const Bucket& bucket = aDirectory.Of(aPacket.mHeader.mFlowHash);
  const TableMember* previous = mContext.ActingFor(bucket.mPeer);
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

void FlowCore::HandleOther(const Packet& aPacket, const TableMember& aOwner,
                           const TableMember& aActing)
{
  const bool away = aOwner.mState == MemberState::Restarting && &aOwner == &aActing;
  if (aPacket.mHeader.mRedirected || (away && aPacket.mHeader.mOpening)) {
    HandleRedirected(aPacket);
    return;
  }
  if (SendToHintedHolder(aPacket)) {
    return;
  }
  const bool fromOwner = aPacket.mSender == aActing.mDatagramEndpoint;
  if (!fromOwner || aPacket.mHeader.mOpening) {
    Forward(aPacket, aActing.mDatagramEndpoint, false);
    return;
  }
  if (mHandoff.Directory().Of(aPacket.mHeader.mFlowHash).mState == BucketState::Complete) {
    Refuse(aPacket, {RefusalReason::UnknownFlow, Milliseconds(0)});
    return;
  }
  Drop(RefusalReason::TransferPending);
}

// The bucket's owner regards this agent as the flow's holder.
void FlowCore::HandleRedirected(const Packet& aPacket)
{
  if (aPacket.mHeader.mOpening) {
    AdmitForOwner(aPacket);
    return;
  }
  Refuse(aPacket, {RefusalReason::UnknownFlow, Milliseconds(0)});
  TellOwner(aPacket.mHeader.mFlowHash, false, aPacket.mOut);
}

// Uses the directory of a bucket that this agent owned until recently.
bool FlowCore::SendToHintedHolder(const Packet& aPacket)
{
  const FlowId flow = aPacket.mHeader.mFlowHash;
  const BucketDirectory& directory = mHandoff.Directory();
  const std::string* holder = directory.Of(flow).mState == BucketState::HandedOff
                                ? directory.Hint(flow)
                                : directory.Holder(flow);
  if (holder == nullptr || mContext.IsSelf(*holder)) {
    return false;
  }
  const TableMember* member = mContext.FindReachable(*holder);
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
  TellOwner(aPacket.mHeader.mFlowHash, !refusal, aPacket.mOut);
  if (refusal) {
    Refuse(aPacket, *refusal);
  }
}

bool FlowCore::MayAdmit() const
{
  const TableMember* self = mContext.Find(mContext.mSettings.mName);
  return !mStop && !mResumption &&
         (self == nullptr || (!self->mExcluded && TakesNewWork(self->mState)));
}

std::optional<Refusal> FlowCore::TryAdmit(const Packet& aPacket)
{
  if (!MayAdmit()) {
    return Refusal{RefusalReason::Draining, kRetryAfterMs};
  }
  if (mContext.mFlows.Size() >= mContext.mFlows.Capacity()) {
    return Refusal{RefusalReason::TableFull, kRetryAfterMs};
  }
  if (auto refusal = mAdmission.TryOpenFlow(aPacket.mNow)) {
    return refusal;
  }
  FlowEntry entry;
  entry.mFlow = aPacket.mHeader.mFlowHash;
  entry.mCaller = aPacket.mHeader.mCaller;
  entry.mService = aPacket.mHeader.mService;
  entry.mLastActive = aPacket.mNow;
  aPacket.mOut.emplace_back(OpenUpstreamPort{entry.mFlow, 0});
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
  aPacket.mOut.emplace_back(std::move(send));
}

void FlowCore::Refuse(const Packet& aPacket, const Refusal& aRefusal)
{
  ++mRefusals[aRefusal.mReason];
  const auto asked = DecodeCallerDatagram(aPacket.mPayload);
  if (!asked) {
    return;
  }
  CallerDatagram answer;
  answer.mKind = CallerDatagramKind::Refused;
  answer.mSessionTag = asked.value().mSessionTag;
  answer.mReason = aRefusal.mReason;
  answer.mRetryAfter = aRefusal.mRetryAfter;
  SendDatagram send{aPacket.mHeader.mBalancer, aPacket.mHeader, EncodeCallerDatagram(answer)};
  send.mHeader.mKind = DatagramKind::Refuse;
  aPacket.mOut.emplace_back(std::move(send));
}

} // namespace dandelionslip
