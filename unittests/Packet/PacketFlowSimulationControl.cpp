// Control, planned work and faults of the simulated packet plane.
#include "PacketFlowSimulationParts.h"

namespace dandelionslip {

namespace {

constexpr Milliseconds kAnnounceInterval{500};
constexpr Milliseconds kStartupAnnounceInterval{100};
constexpr Milliseconds kStartupAnnounceTime{3'000};
constexpr Milliseconds kLeaseCheckInterval{100};
constexpr Milliseconds kPublishInterval{20};
constexpr Milliseconds kUsualStateDelay{50};

} // namespace

// Three routes whose targets and weights vary from version to version. No route is ever removed.
void PacketFlowSimulation::PublishRoutes()
{
  RouteTable& table = mConfiguration.mRoutes;
  ++table.mVersion;
  ++mConfiguration.mRevision;
  table.mFlowIdleTimeout = Milliseconds(15'000);
  table.mServices = {{"web", 2'000, Milliseconds(2'000), 0.0},
                     {"render", 2'000, Milliseconds(2'000), 0.0}};
  const auto weight = [&] { return static_cast<std::uint32_t>(1 + mRandom.Below(9)); };
  table.mRoutes = {
    {"both", "198.18.0.1:443", {{"web", weight()}, {"render", weight()}}, Milliseconds(1'000), 1},
    {"web", "198.18.0.1:8443", {{"web", 1}}, Milliseconds(500), 0},
    {"render", "198.18.0.1:8080", {{"render", 1}}, Milliseconds(1'500), 2}};
  if (Chance(0.3)) {
    table.mRoutes[0].mTargets.erase(table.mRoutes[0].mTargets.begin() +
                                    static_cast<std::ptrdiff_t>(mRandom.Below(2)));
  }
  mStateChanged = true;
}

void PacketFlowSimulation::ScheduleAnnouncement(Node& aNode, TimePoint aStartedAt)
{
  Announce(aNode);
  AfterOn(aNode,
          mNow - aStartedAt < kStartupAnnounceTime ? kStartupAnnounceInterval : kAnnounceInterval,
          [this, &aNode, aStartedAt] { ScheduleAnnouncement(aNode, aStartedAt); });
}

void PacketFlowSimulation::Announce(Node& aNode)
{
  Member member;
  member.mName = aNode.mName;
  member.mKind = aNode.mKind;
  member.mService = aNode.mService;
  member.mDataCentre = aNode.mDataCentre;
  member.mDatagramEndpoint = aNode.mEndpoint.ToString();
  member.mIncarnation = aNode.mIncarnation;
  member.mState = aNode.mAgent      ? aNode.mAgent->State(NodeTime(aNode))
                  : aNode.mStopping ? MemberState::Draining
                                    : MemberState::Serving;
  if (const auto delay = Delay(&aNode, nullptr); delay && aNode.mAnnouncementsCut == 0) {
    After(*delay, [this, member] { OnAnnouncement(member); });
  }
}

void PacketFlowSimulation::OnAnnouncement(const Member& aMember)
{
  if (!mControlHears) {
    return;
  }
  const auto found = mView.mMembers.find(aMember.mName);
  if (found != mView.mMembers.end() && (found->second.mIncarnation > aMember.mIncarnation ||
                                        (found->second.mIncarnation == aMember.mIncarnation &&
                                         found->second.mState == MemberState::Left))) {
    AnswerFenced(aMember);
    return;
  }
  mHeardAt[aMember.mName] = mNow;
  GrantLease(aMember);
  if (found == mView.mMembers.end() || !(found->second == aMember)) {
    mView.mMembers[aMember.mName] = aMember;
    mStateChanged = true;
  }
}

void PacketFlowSimulation::CheckLeases()
{
  for (auto& [name, member] : mView.mMembers) {
    if (member.mState != MemberState::Lost && member.mState != MemberState::Left &&
        mNow - mHeardAt[name] > mLease) {
      member.mState = MemberState::Lost;
      mStateChanged = true;
    }
  }
  After(kLeaseCheckInterval, [this] { CheckLeases(); });
}

void PacketFlowSimulation::PublishState()
{
  if (mControlServes && std::exchange(mStateChanged, false)) {
    ++mView.mRevision;
    for (const auto& node : mNodes) {
      if (node->mUp) {
        SendState(*node);
      }
    }
  }
  After(kPublishInterval, [this] { PublishState(); });
}

// Each node gets the state after its own delay, so nodes hold views of different age.
void PacketFlowSimulation::SendState(Node& aNode)
{
  const Duration delay = Chance(0.1) ? Between(Milliseconds(50), Milliseconds(500))
                                     : Between(Milliseconds(5), aNode.mStateDelay);
  if (aNode.mStatesCut > 0 || !mControlServes) {
    return;
  }
  AfterOn(aNode, delay,
          [this, &aNode, view = std::make_shared<const View>(mView),
           configuration = std::make_shared<const Configuration>(mConfiguration)] {
            ApplyState(aNode, view, *configuration);
          });
}

void PacketFlowSimulation::ApplyState(Node& aNode, const std::shared_ptr<const View>& aView,
                                      const Configuration& aConfiguration)
{
  const View& view = *aView;
  if (view.mRevision < aNode.mViewRevision ||
      aConfiguration.mRevision < aNode.mConfigurationRevision) {
    return;
  }
  aNode.mViewRevision = view.mRevision;
  aNode.mView = aView;
  aNode.mConfiguration = std::make_shared<const Configuration>(aConfiguration);
  aNode.mConfigurationRevision = aConfiguration.mRevision;
  aNode.mDirectoryAgents.Update(view);
  if (aNode.mBalancer) {
    const TimePoint leaseEnd =
      mFaultKinds == PacketFlowFaults::Membership ? aNode.mLeaseEnd : TimePoint::max();
    aNode.mBalancer->OnState(aConfiguration, view, aNode, NodeTime(aNode), leaseEnd);
    return;
  }
  aNode.mAgent->OnConfiguration(aConfiguration, NodeTime(aNode));
  aNode.mAgent->OnView(view, aNode.mIncarnation);
  for (const auto& [name, member] : view.mMembers) {
    const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
    if (member.mKind == MemberKind::Balancer && HoldsFlows(member.mState) && endpoint) {
      OnBalancerSeen(aNode, endpoint.value());
    }
  }
}

PacketFlowSimulation::Node& PacketFlowSimulation::RandomNode(MemberKind aKind)
{
  while (true) {
    Node& node = *mNodes[mRandom.Below(mNodes.size())];
    if (node.mKind == aKind && !node.mGone) {
      return node;
    }
  }
}

void PacketFlowSimulation::Disturb(Node& aNode, Duration aTime)
{
  aNode.mDisturbedUntil = std::max(aNode.mDisturbedUntil, mNow + aTime);
}

void PacketFlowSimulation::ScheduleFault()
{
  After(Between(Milliseconds(200), Milliseconds(mPace)), [this] {
    InjectFault();
    ScheduleFault();
  });
}

void PacketFlowSimulation::LogFault(const std::string& aText)
{
  mFaults.push_back(std::to_string(Ms(mNow)) + " " + aText);
}

void PacketFlowSimulation::InjectFault()
{
  bool plannedWorkOnly = mFaultKinds == PacketFlowFaults::PlannedWork;
  if (mFaultKinds == PacketFlowFaults::Upstreams) {
    if (Chance(0.5)) {
      InjectUpstreamFault();
    }
    // Flows whose holder has no fault move between balancers and agents that are in touch.
    plannedWorkOnly = Chance(0.6);
  }
  if (mFaultKinds == PacketFlowFaults::Membership && Chance(0.5)) {
    InjectMembershipFault();
    return;
  }
  const bool ofAgent = Chance(0.5);
  Node& node = RandomNode(ofAgent ? MemberKind::Agent : MemberKind::Balancer);
  const std::uint64_t kind = mRandom.Below(plannedWorkOnly ? 8 : 16);
  const Duration time = Between(Milliseconds(200), Milliseconds(Chance(0.3) ? 8'000 : 2'000));
  const auto timeText =
    std::to_string(std::chrono::duration_cast<Milliseconds>(time).count()) + " ms";
  if (kind <= 2) {
    LogFault("planned stop of " + node.mName);
    StopProcess(node);
  } else if (kind == 3) {
    LogFault("new routes");
    PublishRoutes();
  } else if (kind == 4) {
    const std::string dataCentre = Chance(0.5) ? "north" : "south";
    LogFault("data centre out " + dataCentre + " for " + timeText);
    ++mConfiguration.mRevision;
    mConfiguration.mDataCentres[dataCentre] = {true, mConfiguration.mRevision};
    mStateChanged = true;
    After(time, [this, dataCentre] {
      ++mConfiguration.mRevision;
      mConfiguration.mDataCentres[dataCentre] = {false, mConfiguration.mRevision};
      mStateChanged = true;
    });
  } else if (kind == 5) {
    Upstream& upstream = *mUpstreams[mRandom.Below(mUpstreams.size())];
    LogFault("drain of " + upstream.mId);
    DrainUpstream(upstream);
  } else if (kind == 6) {
    Upstream& upstream = *mUpstreams[mRandom.Below(mUpstreams.size())];
    LogFault(upstream.mId + " full or slow for " + timeText);
    (Chance(0.5) ? upstream.mFullUntil : upstream.mSlowUntil) = mNow + time;
  } else if (kind == 7) {
    if (mUpstreams.size() < 16) {
      LogFault("new upstream");
      AddUpstream(Chance(0.5) ? "web" : "render", Chance(0.5) ? "north" : "south");
    }
  } else if (kind == 8) {
    LogFault("kill of " + node.mName);
    Disturb(node, Milliseconds(600));
    if (node.mUp) {
      KillProcess(node);
    }
  } else if (kind == 9 || kind == 10) {
    const bool clockStands = Chance(0.5);
    LogFault("freeze of " + node.mName + " for " + timeText +
             (clockStands ? ", clock stands" : ""));
    Disturb(node, time);
    Freeze(node, time, clockStands);
  } else if (kind == 11) {
    node.mLoss = 0.01 + 0.09 * mRandom.Unit();
    node.mTails = 0.1 * mRandom.Unit();
    LogFault("loss and delays at " + node.mName + " for " + timeText);
    Disturb(node, time);
    After(time, [&node] { node.mLoss = node.mTails = 0; });
  } else if (kind == 12) {
    Node& other = RandomNode(MemberKind::Agent);
    const std::pair<unsigned, unsigned> cut =
      Chance(0.5) ? std::pair(node.mNumber, other.mNumber) : std::pair(other.mNumber, node.mNumber);
    LogFault("cut from node " + std::to_string(cut.first) + " to node " +
             std::to_string(cut.second) + " for " + timeText);
    Disturb(node, time);
    Disturb(other, time);
    mCuts.insert(cut);
    After(time, [this, cut] { mCuts.erase(cut); });
  } else if (kind == 13) {
    LogFault("late state at " + node.mName + " for " + timeText);
    node.mStateDelay =
      std::chrono::duration_cast<Milliseconds>(Between(Milliseconds(100), Milliseconds(3'000)));
    Disturb(node, time + node.mStateDelay);
    After(time, [&node] { node.mStateDelay = kUsualStateDelay; });
  } else if (kind == 14) {
    Upstream& upstream = *mUpstreams[mRandom.Below(mUpstreams.size())];
    LogFault("crash of " + upstream.mId);
    if (upstream.mUp) {
      Disturb(*upstream.mNode, Milliseconds(2'000));
      CrashUpstream(upstream);
      if (upstream.mNode->mUp && Chance(0.4)) {
        LogFault("kill of " + upstream.mNode->mName);
        KillProcess(*upstream.mNode);
      }
    }
  } else if (Chance(0.2)) {
    LogFault("kill of all processes");
    for (const auto& each : mNodes) {
      Disturb(*each, Milliseconds(600));
      if (each->mUp) {
        KillProcess(*each);
      }
    }
  }
}

} // namespace dandelionslip
