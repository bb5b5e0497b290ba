// Dispatch of peer messages, and handover and resumption of the whole state.
#include "dandelionslip/Agent/FlowCore.h"

#include "BucketExport.h"
#include "dandelionslip/Support/Hash.h"

#include <algorithm>
#include <tuple>

namespace dandelionslip {

namespace {

template <typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

// Unacknowledged resends to a backup, one every mRetryInterval, before another backup is chosen. If
// 10% of the exchanges are lost, a live backup is abandoned at most once in 100,000 times.
constexpr std::uint32_t kMaxHandoverResends = 5;

Endpoint ParseOrEmpty(const std::string& aText)
{
  const auto endpoint = Endpoint::Parse(aText);
  return endpoint ? endpoint.value() : Endpoint{};
}

} // namespace

void FlowCore::OnPeerMessage(const std::string& aFrom, const PeerMessage& aMessage, TimePoint aNow,
                             FlowActions& aOut)
{
  // While the state is on its way to or from a backup, requests are not answered. They are
  // repeated, and then the backup or the new process answers.
  const bool inTransit = mHandover || mResumption;
  std::visit(Overloaded{
               [&](const TransferRequest& aRequest) {
                 if (!inTransit) {
                   mBucketTransfers.OnTransferRequest(aRequest, aOut);
                 }
               },
               [&](const TransferAnswer& aAnswer) {
                 if (!inTransit) {
                   mBucketTransfers.OnTransferAnswer(aAnswer, aNow, aOut);
                 }
               },
               [&](const HeldFlowsQuery& aQuery) {
                 if (!inTransit) {
                   mBucketTransfers.OnHeldFlowsQuery(aQuery, aOut);
                 }
               },
               [&](const HeldFlowsAnswer& aAnswer) {
                 if (!inTransit) {
                   mBucketTransfers.OnHeldFlowsAnswer(aAnswer, aNow);
                 }
               },
               [&](const DirectoryUpdate& aUpdate) {
                 if (mHandover) {
                   ForwardUpdate(mHandover->mBackup, aUpdate, aOut);
                 } else if (!mResumption) {
                   mBucketTransfers.OnDirectoryUpdate(aUpdate, aNow, aOut);
                 }
               },
               [&](const StateHandover& aState) {
                 if (!inTransit) {
                   mBackupRole.OnHandover(aFrom, aState, aNow, aOut);
                 }
               },
               [&](const StateHandoverAck& aAck) { OnHandoverAck(aAck, aOut); },
               [&](const ResumeRequest& aRequest) {
                 if (!inTransit) {
                   mBackupRole.OnResumeRequest(aRequest, aNow, aOut);
                 }
               },
               [&](const ResumeAnswer& aAnswer) { OnResumeAnswer(aAnswer, aNow, aOut); },
             },
             aMessage);
  UpdateAcknowledgement();
}

// A live agent of the service that is not in mUnresponsive, or empty. Agents that take new work
// come first, then agents in the same data centre; rendezvous hashing chooses among equals.
std::string FlowCore::ChooseBackup() const
{
  const TableMember* self = mContext.FindMember(mContext.mSettings.mName);
  std::string best;
  std::tuple<bool, bool, std::uint64_t> highest;
  for (const TableMember& member : mContext.mTable.Members()) {
    const bool serves = TakesNewWork(member.mState);
    if (mContext.IsSelf(member.mName) || member.mExcluded ||
        mHandover->mUnresponsive.contains(member.mName) ||
        (!serves && member.mState != MemberState::Draining)) {
      continue;
    }
    const bool near = self != nullptr && member.mDataCentre == self->mDataCentre;
    const std::tuple score{serves, near, Hash64(member.mName, Hash64(mContext.mSettings.mName))};
    if (best.empty() || score > highest) {
      highest = score;
      best = member.mName;
    }
  }
  return best;
}

StateHandover FlowCore::ExportState() const
{
  StateHandover state;
  state.mMember = mContext.mSettings.mName;
  state.mServiceId = mContext.mTable.Id();
  state.mIncarnation = mContext.mSettings.mIncarnation;
  state.mSenderIncarnation = mContext.mSettings.mIncarnation;
  mContext.mFlows.ForEach([&](const FlowEntry& aEntry) {
    state.mFlows.push_back({aEntry.mFlow, aEntry.mCaller.ToString(), aEntry.mService.ToString(),
                            aEntry.mBalancer.ToString(), aEntry.mUpstreamPort, aEntry.mEstablished,
                            aEntry.mSessionTag});
  });
  state.mDirectory = ExportDirectory(mBucketTransfers.Directory());
  if (mRecords != nullptr) {
    state.mRecords =
      mRecords->Export(CompleteBuckets(mBucketTransfers.Directory()), mHandover->mBackup);
  }
  state.mAdmissionSnapshot = mHandover->mAdmissionSnapshot;
  return state;
}

void FlowCore::BeginHandover(Json aAdmissionSnapshot, TimePoint aNow, FlowActions& aOut)
{
  mHandover = Handover{std::move(aAdmissionSnapshot), "", {}, aNow, 0, {}};
  ContinueHandover(aNow, aOut);
}

void FlowCore::ContinueHandover(TimePoint aNow, FlowActions& aOut)
{
  if (aNow < mHandover->mNextSend ||
      (!mHandover->mBackup.empty() && mHandover->mUnacknowledged.empty())) {
    return;
  }
  mHandover->mNextSend = aNow + mContext.mSettings.mRetryInterval;
  // Agents that stop at the same time do not take each other's state and would wait for each other
  // for ever.
  if (++mHandover->mResends > kMaxHandoverResends) {
    mHandover->mUnresponsive.insert(mHandover->mBackup);
  }
  std::string backup = ChooseBackup();
  if (backup.empty() && !mHandover->mUnresponsive.empty()) {
    mHandover->mUnresponsive.clear();
    backup = ChooseBackup();
  }
  const bool changed = backup != mHandover->mBackup;
  mHandover->mBackup = backup;
  if (backup.empty()) {
    mHandover->mNextSend = TimePoint::max();
    aOut.emplace_back(HandoverDone{});
    return;
  }
  std::vector<StateHandover> states = mBackupRole.Export(backup);
  states.push_back(ExportState());
  if (changed) {
    mHandover->mResends = 0;
    mHandover->mUnacknowledged.clear();
    for (const StateHandover& state : states) {
      mHandover->mUnacknowledged.insert(state.mMember);
    }
  }
  for (StateHandover& state : states) {
    if (mHandover->mUnacknowledged.contains(state.mMember)) {
      aOut.emplace_back(SendPeerMessage{mHandover->mBackup, std::move(state)});
    }
  }
}

void FlowCore::OnHandoverAck(const StateHandoverAck& aAck, FlowActions& aOut)
{
  if (!mHandover || aAck.mBackup != mHandover->mBackup ||
      mHandover->mUnacknowledged.erase(aAck.mMember) == 0) {
    return;
  }
  mHandover->mResends = 0;
  if (mHandover->mUnacknowledged.empty()) {
    aOut.emplace_back(HandoverDone{mHandover->mBackup});
  }
}

void FlowCore::BeginResumption(const std::string& aBackup, TimePoint aNow, FlowActions& aOut)
{
  mBucketTransfers.SetResumed();
  mResumption = Resumption{aBackup, aNow};
  ContinueResumption(aNow, aOut);
}

void FlowCore::ContinueResumption(TimePoint aNow, FlowActions& aOut)
{
  if (mContext.mTable.Buckets() == 0 || aNow < mResumption->mNextRequest) {
    return;
  }
  const TableMember* acting = mContext.ActingFor(mResumption->mBackup);
  if (acting == nullptr || mContext.IsSelf(acting->mName)) {
    FinishResumption({}, aNow, aOut);
    return;
  }
  mResumption->mNextRequest = aNow + mContext.mSettings.mRetryInterval;
  aOut.emplace_back(SendPeerMessage{
    acting->mName, ResumeRequest{mContext.mSettings.mName, mContext.mSettings.mIncarnation}});
}

void FlowCore::OnResumeAnswer(const ResumeAnswer& aAnswer, TimePoint aNow, FlowActions& aOut)
{
  if (!mResumption || aAnswer.mIncarnation != mContext.mSettings.mIncarnation) {
    return;
  }
  for (const StateHandover& state : aAnswer.mKeptStates) {
    // Kept as if each agent had sent its state itself. Nobody waits for the acknowledgements, so
    // they are discarded.
    FlowActions acknowledgements;
    mBackupRole.OnHandover(state.mMember, state, aNow, acknowledgements);
  }
  if (!aAnswer.mState || aAnswer.mState->mServiceId != mContext.mTable.Id()) {
    FinishResumption({}, aNow, aOut);
    return;
  }
  for (const FlowState& flow : aAnswer.mState->mFlows) {
    RestoreFlow(flow, aNow, aOut);
  }
  mBucketTransfers.Restore(*aAnswer.mState, aNow);
  FinishResumption(aAnswer.mState->mAdmissionSnapshot, aNow, aOut);
}

void FlowCore::RestoreFlow(const FlowState& aFlow, TimePoint aNow, FlowActions& aOut)
{
  FlowEntry entry;
  entry.mFlow = aFlow.mFlow;
  entry.mCaller = ParseOrEmpty(aFlow.mCaller);
  entry.mService = ParseOrEmpty(aFlow.mService);
  entry.mBalancer = ParseOrEmpty(aFlow.mBalancer);
  entry.mUpstreamPort = aFlow.mUpstreamPort;
  entry.mEstablished = aFlow.mEstablished;
  entry.mSessionTag = aFlow.mSessionTag;
  entry.mLastActive = aNow;
  if (mContext.mFlows.Find(entry.mFlow) == nullptr && mContext.mFlows.Insert(entry) != nullptr) {
    aOut.emplace_back(OpenUpstreamPort{entry.mFlow, entry.mUpstreamPort});
  }
}

void FlowCore::FinishResumption(Json aAdmissionSnapshot, TimePoint aNow, FlowActions& aOut)
{
  mResumption.reset();
  // Without an older table, complete buckets stay complete, and the previous owners of the others
  // come from the view's history.
  OnTable(ServiceTable(), aNow, aOut);
  aOut.emplace_back(ResumptionDone{std::move(aAdmissionSnapshot)});
}

} // namespace dandelionslip
