// Faults of membership in the simulated packet plane: nodes that control does not reach, and views
// that lack nodes.
#include "PacketFlowSimulationParts.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

namespace {

constexpr std::size_t kMinBalancers = 3;
constexpr std::size_t kMaxBalancers = 9;
constexpr std::size_t kMaxCutNodes = 4;
constexpr Milliseconds kShortestCut{1'000};
constexpr Milliseconds kLongestCut{20'000};
constexpr Milliseconds kLongestSeparation{8'000};
constexpr Milliseconds kAnnounceInterval{500};
constexpr Milliseconds kUsualStateDelay{50};
constexpr Milliseconds kBalancerStopTime{2'300};
constexpr Milliseconds kAnswerTime{1};

// The views of a later term have higher revisions than all views of earlier ones.
constexpr std::uint64_t kRevisionsPerTerm = 1'000'000;

// As in lib/Daemon/PacketNode.cpp.
constexpr std::uint64_t kIncarnationStepMs = 5'000;

} // namespace

void PacketFlowSimulation::InjectMembershipFault()
{
  using Fault = void (PacketFlowSimulation::*)();
  static constexpr std::array<Fault, 13> kFaults{
    &PacketFlowSimulation::CutOffAgent,
    &PacketFlowSimulation::CutOffAgents,
    &PacketFlowSimulation::CutOffDataCentre,
    &PacketFlowSimulation::CutOffBalancer,
    &PacketFlowSimulation::RestartControl,
    &PacketFlowSimulation::RestartControlWithoutAgents,
    &PacketFlowSimulation::SeparateDataCentres,
    &PacketFlowSimulation::SeparateDataCentresAndControl,
    &PacketFlowSimulation::AddBalancer,
    &PacketFlowSimulation::AddBalancerWithoutAgents,
    &PacketFlowSimulation::RemoveBalancer,
    &PacketFlowSimulation::SetClockBack,
    &PacketFlowSimulation::DelayStates,
  };
  (this->*kFaults[mRandom.Below(kFaults.size())])();
}

std::string PacketFlowSimulation::TimeText(Duration aTime)
{
  return std::to_string(std::chrono::duration_cast<Milliseconds>(aTime).count()) + " ms";
}

// A link between the node and the VMs of control fails. With aHeard, only the answers are lost; an
// announcement that is lost has no answer either.
void PacketFlowSimulation::CutOff(Node& aNode, Duration aTime, bool aHeard)
{
  LogFault("control does not reach " + aNode.mName + (aHeard ? ", but hears it," : "") + " for " +
           TimeText(aTime));
  ++mCounts.mCutOff;
  Disturb(aNode, aTime);
  const unsigned announcements = aHeard ? 0 : 1;
  aNode.mAnnouncementsCut += announcements;
  ++aNode.mStatesCut;
  After(aTime, [this, &aNode, announcements] {
    aNode.mAnnouncementsCut -= announcements;
    --aNode.mStatesCut;
    // The answer to the next announcement contains the newest state.
    AfterOn(aNode, Between(Milliseconds(0), kAnnounceInterval),
            [this, &aNode] { SendState(aNode); });
  });
}

// A link of one agent's VM fails towards control.
void PacketFlowSimulation::CutOffAgent()
{
  CutOff(RandomNode(MemberKind::Agent), Between(kShortestCut, kLongestCut), Chance(0.3));
}

// The links of some agents' VMs fail towards control, with their network equipment.
void PacketFlowSimulation::CutOffAgents()
{
  const Duration time = Between(kShortestCut, kLongestCut);
  const bool heard = Chance(0.3);
  const std::size_t count = 2 + mRandom.Below(kMaxCutNodes - 1);
  for (std::size_t i = 0; i < count; ++i) {
    CutOff(RandomNode(MemberKind::Agent), time, heard);
  }
}

// A data centre loses the data centre of control, but not the others.
void PacketFlowSimulation::CutOffDataCentre()
{
  const std::string dataCentre = RandomNode(MemberKind::Agent).mDataCentre;
  const Duration time = Between(kShortestCut, kLongestCut);
  const bool heard = Chance(0.3);
  for (const auto& node : mNodes) {
    if (node->mDataCentre == dataCentre && !node->mGone) {
      CutOff(*node, time, heard);
    }
  }
}

// A link of one balancer's VM fails towards control.
void PacketFlowSimulation::CutOffBalancer()
{
  CutOff(RandomNode(MemberKind::Balancer), Between(kShortestCut, kLongestCut), Chance(0.3));
}

// All replicas of control restart. They keep the configuration, not the members. Until there is a
// leader, replicas record announcements and answer none.
void PacketFlowSimulation::RestartControl()
{
  if (!mControlServes) {
    return;
  }
  const Duration down = Between(Milliseconds(500), Milliseconds(3'000));
  const Duration election = Between(Milliseconds(0), Milliseconds(1'000));
  LogFault("restart of control, which hears after " + TimeText(down) + " and serves after " +
           TimeText(down + election));
  ++mCounts.mControlRestarts;
  for (const auto& node : mNodes) {
    Disturb(*node, down + election);
  }
  mControlHears = mControlServes = false;
  After(down, [this] {
    mControlHears = true;
    mView.mMembers.clear();
    mHeardAt.clear();
    mView.mRevision += kRevisionsPerTerm;
  });
  After(down + election, [this] {
    mControlServes = true;
    mStateChanged = true;
  });
}

// Control restarts while some agents' links towards it have failed: its views lack them.
void PacketFlowSimulation::RestartControlWithoutAgents()
{
  CutOffAgents();
  After(Between(Milliseconds(0), Milliseconds(3'000)), [this] { RestartControl(); });
}

// The network between two data centres fails. Control is in a third one, which reaches both.
void PacketFlowSimulation::SeparateDataCentres()
{
  Separate(Between(kShortestCut, kLongestSeparation));
}

std::pair<std::string, std::string> PacketFlowSimulation::Separate(Duration aTime)
{
  const auto& all = DataCentres();
  const std::size_t first = mRandom.Below(all.size());
  const std::size_t second = (first + 1 + mRandom.Below(all.size() - 1)) % all.size();
  std::pair<std::string, std::string> pair(all[first], all[second]);
  LogFault(pair.first + " and " + pair.second + " do not reach each other for " + TimeText(aTime));
  ++mCounts.mSeparations;
  const std::array<std::pair<std::string, std::string>, 2> ways{pair,
                                                                std::pair(pair.second, pair.first)};
  mSeparated.insert(ways.begin(), ways.end());
  After(aTime, [this, ways] {
    for (const auto& way : ways) {
      mSeparated.erase(mSeparated.find(way));
    }
  });
  return pair;
}

// As above with replicas of control in all data centres: nodes of one of the two have to find a
// replica that reaches the leader.
void PacketFlowSimulation::SeparateDataCentresAndControl()
{
  const Duration time = Between(Milliseconds(5'000), kLongestSeparation);
  const auto [first, second] = Separate(time);
  for (const auto& node : mNodes) {
    const bool separated = node->mDataCentre == first || node->mDataCentre == second;
    Disturb(*node, separated ? time : Duration{});
    if (node->mDataCentre == first && !node->mGone) {
      CutOff(*node, Between(Milliseconds(0), Milliseconds(4'000)), false);
    }
  }
  After(time, [this] {
    for (const auto& node : mNodes) {
      Disturb(*node, Duration{});
    }
  });
}

std::size_t PacketFlowSimulation::CountBalancers() const
{
  return static_cast<std::size_t>(
    std::count_if(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return aNode->mKind == MemberKind::Balancer && !aNode->mGone;
    }));
}

// A new VM with a balancer, which no agent has heard of.
void PacketFlowSimulation::AddBalancer()
{
  if (CountBalancers() < kMaxBalancers) {
    const auto& all = DataCentres();
    Node& node = AddNode(MemberKind::Balancer, "", all[mRandom.Below(all.size())]);
    LogFault("new " + node.mName);
    ++mCounts.mBalancersAdded;
    StartProcess(node);
  }
}

// A new VM with a balancer while some agents' links towards control have failed.
void PacketFlowSimulation::AddBalancerWithoutAgents()
{
  CutOffAgents();
  After(Between(Milliseconds(0), Milliseconds(4'000)), [this] { AddBalancer(); });
}

// A planned removal of a balancer's VM.
void PacketFlowSimulation::RemoveBalancer()
{
  if (CountBalancers() <= kMinBalancers) {
    return;
  }
  Node& node = RandomNode(MemberKind::Balancer);
  LogFault("removal of " + node.mName);
  StopProcess(node);
  After(kBalancerStopTime, [this, &node] {
    if (CountBalancers() > kMinBalancers) {
      node.mGone = true;
      node.mUp = false;
    }
  });
}

// The wall clock of an agent's VM is set back. After a planned restart its incarnation is lower
// than the one that control knows, until the agent has raised it.
void PacketFlowSimulation::SetClockBack()
{
  Node& node = RandomNode(MemberKind::Agent);
  const Duration step = Between(Milliseconds(1'000), Milliseconds(60'000));
  LogFault("clock of " + node.mName + " set back by " + TimeText(step));
  Disturb(node, Duration{});
  node.mSetBack += std::chrono::duration_cast<Milliseconds>(step);
  After(Between(Milliseconds(0), Milliseconds(10'000)), [this, &node] {
    LogFault("planned stop of " + node.mName);
    StopProcess(node);
  });
}

// The answer to an announcement that control fenced.
void PacketFlowSimulation::AnswerFenced(const Member& aMember)
{
  const auto found = std::find_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
    return aNode->mName == aMember.mName && aNode->mUp &&
           aNode->mIncarnation == aMember.mIncarnation;
  });
  if (mFaultKinds != PacketFlowFaults::Membership || found == mNodes.end() ||
      (*found)->mStatesCut > 0) {
    return;
  }
  ++mCounts.mFenced;
  Node& node = **found;
  AfterOn(node, Between(Milliseconds(1), Milliseconds(5)),
          [&node, incarnation = aMember.mIncarnation] {
            node.mIncarnation += node.mIncarnation == incarnation ? kIncarnationStepMs : 0;
          });
}

// The answer to a balancer's announcement, once the balancer is live in the view.
void PacketFlowSimulation::GrantLease(const Member& aMember)
{
  const auto found = std::find_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
    return aNode->mName == aMember.mName && aNode->mIncarnation == aMember.mIncarnation;
  });
  if (mFaultKinds != PacketFlowFaults::Membership || aMember.mKind != MemberKind::Balancer ||
      found == mNodes.end() || !mControlServes || (*found)->mStatesCut > 0) {
    return;
  }
  Node& node = **found;
  const Member* known = mView.FindMember(aMember.mName);
  if (known == nullptr || known->mIncarnation != aMember.mIncarnation ||
      !HoldsFlows(known->mState)) {
    return;
  }
  AfterOn(node, kAnswerTime, [this, &node, end = NodeTime(node) + mLease] {
    node.mLeaseEnd = std::max(node.mLeaseEnd, end);
    if (node.mView) {
      node.mBalancer->OnState(*node.mConfiguration, *node.mView, node, NodeTime(node),
                              node.mLeaseEnd);
    }
  });
}

// The replica of some nodes follows the leader late.
void PacketFlowSimulation::DelayStates()
{
  const Duration time = Between(Milliseconds(2'000), Milliseconds(15'000));
  const std::size_t count = 1 + mRandom.Below(kMaxCutNodes);
  for (std::size_t i = 0; i < count; ++i) {
    Node& node = RandomNode(Chance(0.5) ? MemberKind::Agent : MemberKind::Balancer);
    node.mStateDelay =
      std::chrono::duration_cast<Milliseconds>(Between(Milliseconds(1'000), Milliseconds(10'000)));
    LogFault("state " + TimeText(node.mStateDelay) + " late at " + node.mName + " for " +
             TimeText(time));
    Disturb(node, time + node.mStateDelay);
    After(time, [&node] { node.mStateDelay = kUsualStateDelay; });
  }
}

} // namespace dandelionslip
