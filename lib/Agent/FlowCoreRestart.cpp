// Peer messages, and handover and resumption of the whole state.
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

// States sent to a custodian without an acknowledgement before another one is chosen, one every
// mAskInterval. With 10% of the exchanges lost, a live one is given up once in 100,000 times.
constexpr std::uint32_t kMaxHandoverAsks = 5;

Endpoint ParseOrEmpty(const std::string& aText)
{
  const auto endpoint = Endpoint::Parse(aText);
  return endpoint ? endpoint.value() : Endpoint{};
}

} // namespace

void FlowCore::OnPeerMessage(const std::string& aFrom, const PeerMessage& aMessage, TimePoint aNow,
                             FlowActions& aOut)
{
  // While the state is on its way to or from a custodian, questions stay unanswered; they are
  // repeated, and then the custodian or the new process answers.
  const bool inTransit = mStop || mResumption;
  std::visit(Overloaded{
               [&](const TransferRequest& aRequest) {
                 if (!inTransit) {
                   mHandoff.OnRequest(aRequest, aOut);
                 }
               },
               [&](const TransferAnswer& aAnswer) {
                 if (!inTransit) {
                   mHandoff.OnAnswer(aAnswer, aNow, aOut);
                 }
               },
               [&](const HeldFlowsQuery& aQuery) {
                 if (!inTransit) {
                   mHandoff.OnQuery(aQuery, aOut);
                 }
               },
               [&](const HeldFlowsAnswer& aAnswer) {
                 if (!inTransit) {
                   mHandoff.OnQueryAnswer(aAnswer, aNow);
                 }
               },
               [&](const DirectoryUpdate& aUpdate) {
                 if (mStop) {
                   PassUpdateOn(mStop->mBackup, aUpdate, aOut);
                 } else if (!mResumption) {
                   mHandoff.OnUpdate(aUpdate, aNow, aOut);
                 }
               },
               [&](const Handover& aState) {
                 if (!inTransit) {
                   mCustody.OnHandover(aFrom, aState, aNow, aOut);
                 }
               },
               [&](const HandoverAck& aAck) { OnHandoverAck(aAck, aOut); },
               [&](const ResumeRequest& aRequest) {
                 if (!inTransit) {
                   mCustody.OnResumeRequest(aRequest, aNow, aOut);
                 }
               },
               [&](const ResumeAnswer& aAnswer) { OnResumeAnswer(aAnswer, aNow, aOut); },
             },
             aMessage);
  UpdateAcknowledgement();
}

// A live agent of the service that has not been silent, preferably one that takes new work and is
// in the same data centre; spread by rendezvous.
std::string FlowCore::ChooseCustodian() const
{
  const TableMember* self = mContext.Find(mContext.mSettings.mName);
  std::string best;
  std::tuple<bool, bool, std::uint64_t> highest;
  for (const TableMember& member : mContext.mTable.Members()) {
    const bool serves = TakesNewWork(member.mState);
    if (mContext.IsSelf(member.mName) || member.mExcluded ||
        mStop->mSilent.contains(member.mName) ||
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

Handover FlowCore::ExportState() const
{
  Handover state;
  state.mMember = mContext.mSettings.mName;
  state.mServiceId = mContext.mTable.Id();
  state.mIncarnation = mContext.mSettings.mIncarnation;
  state.mSenderIncarnation = mContext.mSettings.mIncarnation;
  mContext.mFlows.ForEach([&](const FlowEntry& aEntry) {
    state.mFlows.push_back({aEntry.mFlow, aEntry.mCaller.ToString(), aEntry.mService.ToString(),
                            aEntry.mBalancer.ToString(), aEntry.mUpstreamPort, aEntry.mEstablished,
                            aEntry.mSessionTag});
  });
  state.mDirectory = ExportDirectory(mHandoff.Directory());
  if (mRecords != nullptr) {
    state.mRecords = mRecords->Export(CompleteBuckets(mHandoff.Directory()), mStop->mBackup);
  }
  state.mAdmission = mStop->mAdmission;
  return state;
}

void FlowCore::BeginHandover(Json aAdmission, TimePoint aNow, FlowActions& aOut)
{
  mStop = Stop{std::move(aAdmission), "", {}, aNow, 0, {}};
  ContinueHandover(aNow, aOut);
}

void FlowCore::ContinueHandover(TimePoint aNow, FlowActions& aOut)
{
  if (aNow < mStop->mNextSend || (!mStop->mBackup.empty() && mStop->mUnacknowledged.empty())) {
    return;
  }
  mStop->mNextSend = aNow + mContext.mSettings.mAskInterval;
  // Agents that stop at the same time do not take each other's state and would wait for ever.
  if (++mStop->mAsks > kMaxHandoverAsks) {
    mStop->mSilent.insert(mStop->mBackup);
  }
  std::string custodian = ChooseCustodian();
  if (custodian.empty() && !mStop->mSilent.empty()) {
    mStop->mSilent.clear();
    custodian = ChooseCustodian();
  }
  const bool changed = custodian != mStop->mBackup;
  mStop->mBackup = custodian;
  if (custodian.empty()) {
    mStop->mNextSend = TimePoint::max();
    aOut.emplace_back(HandoverDone{});
    return;
  }
  std::vector<Handover> states = mCustody.Export(custodian);
  states.push_back(ExportState());
  if (changed) {
    mStop->mAsks = 0;
    mStop->mUnacknowledged.clear();
    for (const Handover& state : states) {
      mStop->mUnacknowledged.insert(state.mMember);
    }
  }
  for (Handover& state : states) {
    if (mStop->mUnacknowledged.contains(state.mMember)) {
      aOut.emplace_back(SendPeerMessage{mStop->mBackup, std::move(state)});
    }
  }
}

void FlowCore::OnHandoverAck(const HandoverAck& aAck, FlowActions& aOut)
{
  if (!mStop || aAck.mBackup != mStop->mBackup || mStop->mUnacknowledged.erase(aAck.mMember) == 0) {
    return;
  }
  mStop->mAsks = 0;
  if (mStop->mUnacknowledged.empty()) {
    aOut.emplace_back(HandoverDone{mStop->mBackup});
  }
}

void FlowCore::BeginResumption(const std::string& aBackup, TimePoint aNow, FlowActions& aOut)
{
  mHandoff.NoteResumption();
  mResumption = Resumption{aBackup, aNow};
  ContinueResumption(aNow, aOut);
}

void FlowCore::ContinueResumption(TimePoint aNow, FlowActions& aOut)
{
  if (mContext.mTable.Buckets() == 0 || aNow < mResumption->mNextAsk) {
    return;
  }
  const TableMember* acting = mContext.ActingFor(mResumption->mBackup);
  if (acting == nullptr || mContext.IsSelf(acting->mName)) {
    FinishResumption({}, aNow, aOut);
    return;
  }
  mResumption->mNextAsk = aNow + mContext.mSettings.mAskInterval;
  aOut.emplace_back(SendPeerMessage{
    acting->mName, ResumeRequest{mContext.mSettings.mName, mContext.mSettings.mIncarnation}});
}

void FlowCore::OnResumeAnswer(const ResumeAnswer& aAnswer, TimePoint aNow, FlowActions& aOut)
{
  if (!mResumption || aAnswer.mIncarnation != mContext.mSettings.mIncarnation) {
    return;
  }
  for (const Handover& state : aAnswer.mCustody) {
    FlowActions acknowledgements;
    mCustody.OnHandover(state.mMember, state, aNow, acknowledgements);
  }
  if (!aAnswer.mState || aAnswer.mState->mServiceId != mContext.mTable.Id()) {
    FinishResumption({}, aNow, aOut);
    return;
  }
  for (const FlowState& flow : aAnswer.mState->mFlows) {
    RestoreFlow(flow, aNow, aOut);
  }
  mHandoff.Restore(*aAnswer.mState, aNow);
  FinishResumption(aAnswer.mState->mAdmission, aNow, aOut);
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

void FlowCore::FinishResumption(Json aAdmission, TimePoint aNow, FlowActions& aOut)
{
  mResumption.reset();
  // Without an older table, complete buckets stay complete and others start from the view's
  // history.
  OnTable(ServiceTable(), aNow, aOut);
  aOut.emplace_back(ResumptionDone{std::move(aAdmission)});
}

} // namespace dandelionslip
