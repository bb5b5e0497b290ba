// The network, a fake of control, and the callers and upstreams of the simulated system.
#include "FlowSimulation.h"

#include "dandelionslip/Net/CallerDatagram.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::uint32_t kBuckets = 64;
constexpr std::size_t kFlowsPerUpstream = 60;

Endpoint NodeEndpoint(std::uint16_t aPort)
{
  return Endpoint::Parse("127.0.0.1:" + std::to_string(20'000 + aPort)).value();
}

template <typename T>
T& Pick(Random& aRandom, std::map<std::string, std::unique_ptr<T>>& aNodes)
{
  return *std::next(aNodes.begin(), static_cast<std::ptrdiff_t>(aRandom.Below(aNodes.size())))
            ->second;
}

} // namespace

FlowSimulation::FlowSimulation(std::uint64_t aSeed, FlowSimulationFaults aFaults)
  : mRandom(aSeed)
  , mFaults(aFaults)
{
  mConfiguration.mRevision = 1;
  mView.mRevision = 1;
}

void FlowSimulation::After(std::chrono::microseconds aDelay, Task aTask)
{
  mTasks.emplace(std::pair(mNow + aDelay, ++mSequence), std::move(aTask));
}

std::chrono::microseconds FlowSimulation::RandomDelay(Milliseconds aLongest)
{
  return std::chrono::microseconds(
    100 + mRandom.Below(static_cast<std::uint64_t>(std::chrono::microseconds(aLongest).count())));
}

void FlowSimulation::Run(Milliseconds aTime)
{
  const TimePoint end = mNow + aTime;
  while (!mTasks.empty() && mTasks.begin()->first.first <= end) {
    auto node = mTasks.extract(mTasks.begin());
    mNow = node.key().first;
    node.mapped()();
  }
  mNow = end;
}

void FlowSimulation::AddBalancer(const std::string& aName, const std::string& aDataCentre)
{
  auto balancer = std::make_unique<Balancer>();
  balancer->mName = aName;
  balancer->mDataCentre = aDataCentre;
  balancer->mEndpoint = NodeEndpoint(mNextEndpoint++);
  balancer->mCore = std::make_unique<RoutingCore>(RoutingSettings{balancer->mEndpoint});
  mView.mMembers[aName] = {aName,       MemberKind::Balancer,           "",
                           aDataCentre, balancer->mEndpoint.ToString(), "",
                           1,           MemberState::Serving,           ""};
  ++mView.mRevision;
  Balancer& added = *(mBalancers[aName] = std::move(balancer));
  ApplyState(added);
  PollBalancer(added);
}

void FlowSimulation::AddAgent(const std::string& aName, const std::string& aService,
                              const std::string& aDataCentre)
{
  auto agent = std::make_unique<Agent>();
  agent->mName = aName;
  agent->mService = aService;
  agent->mDataCentre = aDataCentre;
  agent->mEndpoint = NodeEndpoint(mNextEndpoint++);
  agent->mAdmission = std::make_unique<FakeAdmission>(mRandom, kFlowsPerUpstream);
  mView.mMembers[aName] = {aName,       MemberKind::Agent,           aService,
                           aDataCentre, agent->mEndpoint.ToString(), "",
                           1,           MemberState::Serving,        ""};
  mWeights[aName] = kFullWeight;
  Agent& added = *(mAgents[aName] = std::move(agent));
  StartProcess(added);
  IssueGenerations();
  PollAgent(added);
  TickAgent(added);
}

void FlowSimulation::StartProcess(Agent& aAgent)
{
  FlowSettings settings;
  settings.mName = aAgent.mName;
  settings.mServiceName = aAgent.mService;
  settings.mEndpoint = aAgent.mEndpoint;
  settings.mIncarnation = aAgent.mIncarnation;
  aAgent.mCore = std::make_unique<FlowCore>(settings, *aAgent.mAdmission);
  aAgent.mStopping = false;
}

void FlowSimulation::AddCallers(const std::string& aAddress, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    auto caller = std::make_unique<Caller>();
    caller->mEndpoint =
      Endpoint::Parse("127.0.1.1:" + std::to_string(1'000 + mCallers.size())).value();
    caller->mService = Endpoint::Parse(aAddress).value();
    caller->mSession = mNextSession++;
    Caller& added = *(mCallers[caller->mEndpoint] = std::move(caller));
    After(RandomDelay(Milliseconds(3'000)), [this, &added] { StepCaller(added); });
  }
}

void FlowSimulation::Publish(const std::string& aService, std::vector<std::string> aAddresses,
                             bool aRedeclare)
{
  ++mConfiguration.mRevision;
  ServiceEntry& entry = mConfiguration.mServices[aService];
  if (entry.mId == 0 || aRedeclare) {
    entry.mId = mConfiguration.mRevision;
  }
  entry.mSpec.mName = aService;
  entry.mSpec.mAddresses = std::move(aAddresses);
  entry.mSpec.mBuckets = kBuckets;
  IssueGenerations();
}

void FlowSimulation::SetDataCentreOut(const std::string& aDataCentre, bool aOut)
{
  ++mConfiguration.mRevision;
  DataCentreState& state = mConfiguration.mDataCentres[aDataCentre];
  state = {aOut, state.mVersion + 1};
  Record({aOut ? FlowEventKind::DataCentreOut : FlowEventKind::DataCentreIn,
          0,
          "",
          aDataCentre,
          "",
          0,
          {}});
}

void FlowSimulation::SetWeight(const std::string& aAgent, std::uint32_t aWeight)
{
  mWeights[aAgent] = aWeight;
  IssueGenerations();
}

void FlowSimulation::SetDraining(const std::string& aNode, bool aDraining)
{
  Member& member = mView.mMembers[aNode];
  if (member.mState == MemberState::Serving || member.mState == MemberState::Draining) {
    member.mState = aDraining ? MemberState::Draining : MemberState::Serving;
    ++mView.mRevision;
    IssueGenerations();
  }
}

// Issues generations as the control leader does: one at a time, after all live members have
// acknowledged the newest one.
void FlowSimulation::IssueGenerations()
{
  for (const auto& [service, entry] : mConfiguration.mServices) {
    IssueGeneration(service);
  }
}

void FlowSimulation::IssueGeneration(const std::string& aService)
{
  const ServiceId id = mConfiguration.mServices[aService].mId;
  ServiceView& view = mView.mServices[aService];
  if (view.mServiceId != id) {
    view = {id, {}};
  }
  Generation next;
  next.mNumber = view.mGenerations.empty() ? 1 : view.mGenerations.front().mNumber + 1;
  for (const auto& [name, agent] : mAgents) {
    const MemberState state = mView.mMembers[name].mState;
    if (agent->mService != aService) {
      continue;
    }
    if (state == MemberState::Serving || state == MemberState::Restarting) {
      next.mMembers.push_back({name, mWeights[name]});
    }
    if (next.mNumber > 1 && agent->mCore && !agent->mResuming &&
        (agent->mCore->AckedGeneration() != next.mNumber - 1 || agent->mCore->Table().Id() != id)) {
      return;
    }
  }
  if (next.mMembers.empty() ||
      (next.mNumber > 1 && view.mGenerations.front().mMembers == next.mMembers)) {
    return;
  }
  view.mGenerations.insert(view.mGenerations.begin(), std::move(next));
  view.mGenerations.resize(std::min(view.mGenerations.size(), kMaxGenerations));
  ++mView.mRevision;
}

void FlowSimulation::ApplyState(Balancer& aBalancer)
{
  AnnouncementAnswer answer;
  answer.mConfirmed = true;
  answer.mLease = Milliseconds(2'000);
  answer.mConfiguration = mConfiguration;
  answer.mView = mView;
  aBalancer.mCore->OnAnnouncementAnswer(answer, mNow);
  for (const auto& [name, state] : mConfiguration.mDataCentres) {
    Record({FlowEventKind::Applied,
            0,
            aBalancer.mName,
            name,
            "",
            static_cast<std::uint16_t>(state.mOutOfService),
            {}});
  }
}

void FlowSimulation::PollBalancer(Balancer& aBalancer)
{
  if (aBalancer.mAlive) {
    ApplyState(aBalancer);
  }
  After(RandomDelay(Milliseconds(700)), [this, &aBalancer] { PollBalancer(aBalancer); });
}

void FlowSimulation::ApplyState(Agent& aAgent)
{
  if (!aAgent.mCore) {
    return;
  }
  FlowActions actions;
  aAgent.mCore->OnViewAndConfiguration(mView, mConfiguration, mNow, actions);
  Perform(aAgent, std::move(actions));
  IssueGenerations();
}

void FlowSimulation::TickAgent(Agent& aAgent)
{
  if (aAgent.mCore) {
    FlowActions actions;
    aAgent.mCore->OnTick(mNow, actions);
    Perform(aAgent, std::move(actions));
  }
  After(std::chrono::milliseconds(50), [this, &aAgent] { TickAgent(aAgent); });
}

void FlowSimulation::PollAgent(Agent& aAgent)
{
  ApplyState(aAgent);
  After(RandomDelay(Milliseconds(700)), [this, &aAgent] { PollAgent(aAgent); });
}

FlowSimulation::Agent* FlowSimulation::AgentAt(const Endpoint& aEndpoint)
{
  for (const auto& [name, agent] : mAgents) {
    if (agent->mEndpoint == aEndpoint) {
      return agent.get();
    }
  }
  return nullptr;
}

void FlowSimulation::Perform(Agent& aAgent, FlowActions aActions)
{
  for (FlowAction& action : aActions) {
    if (auto* datagram = std::get_if<SendDatagram>(&action)) {
      mRedirected += datagram->mHeader.mRedirected && datagram->mHeader.mOpening ? 1 : 0;
      SendToEndpoint(aAgent.mEndpoint, datagram->mTo, datagram->mHeader, datagram->mPayload);
    } else if (auto* open = std::get_if<OpenUpstreamPort>(&action)) {
      const std::uint16_t port = open->mPort != 0 ? open->mPort : aAgent.mNextPort++;
      aAgent.mPorts[open->mFlow] = port;
      FlowActions further;
      aAgent.mCore->OnUpstreamPortOpened(open->mFlow, port, mNow, further);
      Perform(aAgent, std::move(further));
    } else if (auto* payload = std::get_if<SendToUpstream>(&action)) {
      Deliver(aAgent, *payload);
    } else if (auto* close = std::get_if<CloseUpstreamPort>(&action)) {
      aAgent.mPorts.erase(close->mFlow);
    } else if (auto* message = std::get_if<SendPeerMessage>(&action)) {
      Perform(aAgent, std::move(*message));
    } else if (std::holds_alternative<FetchView>(action)) {
      After(RandomDelay(Milliseconds(20)), [this, &aAgent] { ApplyState(aAgent); });
    } else if (auto* done = std::get_if<HandoverDone>(&action)) {
      After(std::chrono::microseconds(0),
            [this, &aAgent, backup = done->mBackup] { StopProcess(aAgent, backup); });
    } else if (std::holds_alternative<ResumptionDone>(action)) {
      ++mResumptions;
      aAgent.mResuming = false;
      Member& member = mView.mMembers[aAgent.mName];
      member.mState = MemberState::Serving;
      member.mBackup.clear();
      ++mView.mRevision;
    }
  }
}

void FlowSimulation::Perform(Agent& aAgent, SendPeerMessage aAction)
{
  if (auto* answer = std::get_if<TransferAnswer>(&aAction.mMessage)) {
    for (BucketTransfer& bucket : answer->mBuckets) {
      mTransfersWithFlows += bucket.mFlows.empty() ? 0 : 1;
      if (mFaults.mTransferDisabled) {
        bucket = {bucket.mBucket, TransferStatus::Complete, "", {}};
      }
    }
  }
  if (mFaults.mTransferDisabled && std::holds_alternative<DirectoryUpdate>(aAction.mMessage)) {
    return;
  }
  if (auto* resumed = std::get_if<ResumeAnswer>(&aAction.mMessage);
      resumed != nullptr && resumed->mState && mFaults.mResumptionDisabled) {
    resumed->mState->mFlows.clear();
  }
  if (IsLost(mFaults.mPeerLoss)) {
    return;
  }
  After(RandomDelay(mFaults.mPeerDelay),
        [this, from = aAgent.mName, to = aAction.mTo, bytes = EncodePeerMessage(aAction.mMessage)] {
          const auto receiver = mAgents.find(to);
          const auto message = DecodePeerMessage(bytes, from);
          if (receiver == mAgents.end() || !receiver->second->mCore || !message) {
            return;
          }
          FlowActions actions;
          receiver->second->mCore->OnPeerMessage(from, message.value(), mNow, actions);
          Perform(*receiver->second, std::move(actions));
        });
}

// The upstream records the packet and answers through the same port.
void FlowSimulation::Deliver(Agent& aAgent, const SendToUpstream& aAction)
{
  const std::uint16_t port = aAgent.mPorts[aAction.mFlow];
  const auto datagram = DecodeCallerDatagram(aAction.mPayload).value();
  Record({FlowEventKind::Delivered,
          datagram.mSessionTag,
          aAgent.mName,
          aAgent.mDataCentre,
          aAgent.mService,
          port,
          {}});
  const std::string text = aAgent.mName + ":" + std::to_string(port);
  const Bytes body(text.begin(), text.end());
  Bytes reply =
    EncodeCallerDatagram({CallerDatagramKind::Data, datagram.mSessionTag, body, {}, {}});
  After(RandomDelay(Milliseconds(2)),
        [this, &aAgent, flow = aAction.mFlow, reply = std::move(reply)] {
          if (aAgent.mCore && aAgent.mPorts.contains(flow)) {
            FlowActions actions;
            aAgent.mCore->OnUpstreamDatagram(flow, reply, mNow, actions);
            Perform(aAgent, std::move(actions));
          }
        });
}

void FlowSimulation::SendToEndpoint(const Endpoint& aFrom, const Endpoint& aTo,
                                    const DatagramHeader& aHeader, const Bytes& aPayload)
{
  if (IsLost(mFaults.mDatagramLoss)) {
    return;
  }
  After(RandomDelay(Milliseconds(5)), [this, aFrom, aTo, aHeader, aPayload] {
    if (Agent* agent = AgentAt(aTo); agent != nullptr && agent->mCore) {
      FlowActions actions;
      agent->mCore->OnForward(aHeader, aPayload, aFrom, mNow, actions);
      Perform(*agent, std::move(actions));
      return;
    }
    for (const auto& [name, balancer] : mBalancers) {
      if (balancer->mEndpoint == aTo && balancer->mAlive) {
        DeliverToCaller(aHeader.mCaller, aHeader.mService, aPayload);
      }
    }
  });
}

void FlowSimulation::StepCaller(Caller& aCaller)
{
  SendFromCaller(aCaller);
  After(std::chrono::milliseconds(100) + RandomDelay(Milliseconds(200)),
        [this, &aCaller] { StepCaller(aCaller); });
}

void FlowSimulation::SendFromCaller(Caller& aCaller)
{
  Balancer& balancer = Pick(mRandom, mBalancers);
  if (!balancer.mAlive) {
    return;
  }
  // Some callers close their session and open another one from the same port.
  const bool close = aCaller.mEstablished && mRandom.Below(200) == 0;
  const CallerDatagramKind kind = close                  ? CallerDatagramKind::Close
                                  : aCaller.mEstablished ? CallerDatagramKind::Data
                                                         : CallerDatagramKind::Open;
  const Bytes payload = EncodeCallerDatagram({kind, aCaller.mSession, {}, {}, {}});
  const auto decision =
    balancer.mCore->Snapshot()->Route(aCaller.mEndpoint, aCaller.mService,
                                      kind == CallerDatagramKind::Open, balancer.mEndpoint, mNow);
  if (const auto* forward = std::get_if<ForwardDatagram>(&decision)) {
    const Agent* agent = AgentAt(forward->mTo);
    Record(
      {FlowEventKind::Forwarded, aCaller.mSession, balancer.mName, agent->mDataCentre, "", 0, {}});
    SendToEndpoint(balancer.mEndpoint, forward->mTo, forward->mHeader, payload);
  }
  if (close) {
    Record({FlowEventKind::Ended, aCaller.mSession, "", "", "", 0, {}});
    aCaller.mSession = mNextSession++;
    aCaller.mEstablished = false;
  }
}

void FlowSimulation::DeliverToCaller(const Endpoint& aCaller, const Endpoint& aService,
                                     const Bytes& aPayload)
{
  Caller& caller = *mCallers.at(aCaller);
  const auto datagram = DecodeCallerDatagram(aPayload).value();
  if (datagram.mSessionTag != caller.mSession || aService != caller.mService) {
    return;
  }
  if (datagram.mKind == CallerDatagramKind::Refused) {
    Record({FlowEventKind::Refused, caller.mSession, "", "", "", 0, datagram.mReason});
    if (caller.mEstablished) {
      caller.mSession = mNextSession++;
      caller.mEstablished = false;
    }
    return;
  }
  caller.mLastReply = mNow;
  if (!caller.mEstablished) {
    const std::string text(datagram.mPayload.begin(), datagram.mPayload.end());
    const auto colon = text.find(':');
    const std::string upstream = text.substr(0, colon);
    caller.mEstablished = true;
    ++mEstablished;
    Record({FlowEventKind::Established,
            caller.mSession,
            upstream,
            mAgents[upstream]->mDataCentre,
            mAgents[upstream]->mService,
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))),
            {}});
  }
}

void FlowSimulation::RestartAgent(const std::string& aAgent)
{
  Agent& agent = *mAgents[aAgent];
  if (!agent.mCore || agent.mStopping || agent.mResuming ||
      mView.mMembers[aAgent].mState != MemberState::Serving) {
    return;
  }
  agent.mStopping = true;
  FlowActions actions;
  agent.mCore->BeginHandover(Json{{"open", agent.mAdmission->mOpen}}, mNow, actions);
  Perform(agent, std::move(actions));
}

void FlowSimulation::StopProcess(Agent& aAgent, const std::string& aBackup)
{
  aAgent.mCore.reset();
  Member& member = mView.mMembers[aAgent.mName];
  member.mState = MemberState::Restarting;
  member.mBackup = aBackup;
  ++mView.mRevision;
  After(std::chrono::milliseconds(300) + RandomDelay(Milliseconds(2'000)),
        [this, &aAgent, aBackup] {
          ++aAgent.mIncarnation;
          aAgent.mResuming = true;
          StartProcess(aAgent);
          FlowActions actions;
          aAgent.mCore->BeginResumption(aBackup, mNow, actions);
          aAgent.mCore->OnViewAndConfiguration(mView, mConfiguration, mNow, actions);
          Perform(aAgent, std::move(actions));
        });
}

void FlowSimulation::RestartBalancer(const std::string& aBalancer)
{
  Balancer& balancer = *mBalancers[aBalancer];
  if (!balancer.mAlive || mView.mMembers[aBalancer].mState != MemberState::Serving) {
    return;
  }
  SetDraining(aBalancer, true);
  After(std::chrono::milliseconds(800), [this, &balancer] {
    balancer.mAlive = false;
    balancer.mCore = std::make_unique<RoutingCore>(RoutingSettings{balancer.mEndpoint});
    After(std::chrono::milliseconds(500), [this, &balancer] {
      balancer.mAlive = true;
      SetDraining(balancer.mName, false);
      ApplyState(balancer);
    });
  });
}

void FlowSimulation::ChangeAtRandom()
{
  Agent& agent = Pick(mRandom, mAgents);
  const auto serving = std::count_if(mAgents.begin(), mAgents.end(), [&](const auto& aEntry) {
    return aEntry.second->mService == agent.mService &&
           mView.mMembers[aEntry.first].mState == MemberState::Serving;
  });
  switch (mRandom.Below(5)) {
    case 0:
      SetWeight(agent.mName, static_cast<std::uint32_t>(200 + mRandom.Below(1'600)));
      return;
    case 1:
      SetDraining(agent.mName,
                  mView.mMembers[agent.mName].mState == MemberState::Serving && serving > 2);
      return;
    case 2:
      if (serving > 2) {
        RestartAgent(agent.mName);
      }
      return;
    case 3:
      RestartBalancer(Pick(mRandom, mBalancers).mName);
      return;
    default:
      Publish(agent.mService, mConfiguration.mServices[agent.mService].mSpec.mAddresses);
      return;
  }
}

bool FlowSimulation::AllAcknowledged() const
{
  return std::all_of(mAgents.begin(), mAgents.end(), [&](const auto& aEntry) {
    const auto service = mView.mServices.find(aEntry.second->mService);
    return aEntry.second->mCore && service != mView.mServices.end() &&
           aEntry.second->mCore->AckedGeneration() == service->second.mGenerations.front().mNumber;
  });
}

void FlowSimulation::Settle()
{
  Run(Milliseconds(10'000));
  const TimePoint since = mNow;
  Run(Milliseconds(3'000));
  for (const auto& [endpoint, caller] : mCallers) {
    if (caller->mEstablished && caller->mLastReply < since) {
      Record({FlowEventKind::NoReply, caller->mSession, "", "", "", 0, {}});
    }
  }
}

} // namespace dandelionslip
