// Control replicas and a faulty network in one process, driven by a seed.
#include "Control/SimulatedCluster.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr Milliseconds kStep{10};
constexpr std::uint64_t kLongDelayMs = 2000;

} // namespace

SimulatedCluster::SimulatedCluster(std::size_t aCount, std::size_t aVoters, std::uint64_t aSeed,
                                   RaftSettings aSettings)
  : mRandom(aSeed)
  , mSettings(aSettings)
{
  RaftMembership members;
  for (std::size_t i = 0; i < aCount; ++i) {
    const ReplicaId id = NewReplicaId(mRandom);
    if (i < aVoters) {
      members.mReplicas[id] = {"", true, 0};
    }
    mReplicas.push_back(
      std::make_unique<SimulatedReplica>(id, aSettings, mRandom.Next(), mChecker));
  }
  for (std::size_t i = 0; i < aCount; ++i) {
    if (i < aVoters) {
      At(i).Bootstrap(members);
    }
    At(i).Start(mNow);
  }
}

void SimulatedCluster::Step()
{
  mNow += kStep;
  Deliver();
  for (auto& replica : mReplicas) {
    if (replica->Running()) {
      replica->Tick(mNow);
    }
    for (const RaftMessage& message : replica->TakeSent()) {
      Post(message);
    }
  }
  CheckConfirmed();
}

void SimulatedCluster::RunFor(Milliseconds aTime)
{
  const TimePoint end = mNow + aTime;
  while (mNow < end) {
    Step();
  }
}

bool SimulatedCluster::RunUntil(const std::function<bool()>& aDone, Milliseconds aLimit)
{
  const TimePoint end = mNow + aLimit;
  while (!aDone()) {
    if (mNow >= end) {
      return false;
    }
    Step();
  }
  return true;
}

SimulatedReplica* SimulatedCluster::Leader()
{
  SimulatedReplica* leader = nullptr;
  for (auto& replica : mReplicas) {
    if (replica->IsLeader() &&
        (leader == nullptr || replica->Core().CurrentTerm() > leader->Core().CurrentTerm())) {
      leader = replica.get();
    }
  }
  return leader;
}

std::size_t SimulatedCluster::AwaitLeader()
{
  RunUntil([this] {
    const SimulatedReplica* leader = Leader();
    return leader != nullptr && leader->Core().Confirmed(mNow);
  });
  for (std::size_t i = 0; i < mReplicas.size(); ++i) {
    if (mReplicas[i].get() == Leader()) {
      return i;
    }
  }
  return mReplicas.size();
}

Result<EntryId> SimulatedCluster::Propose(SimulatedReplica& aReplica)
{
  return aReplica.Propose(mNow, ToCbor(std::vector<std::uint64_t>{mNextPayload++}));
}

bool SimulatedCluster::ProposeAndAwait()
{
  const std::size_t before = mChecker.ReportedAppliedCount();
  return RunUntil([&] {
    if (SimulatedReplica* leader = Leader()) {
      Propose(*leader).has_value();
    }
    return mChecker.ReportedAppliedCount() > before;
  });
}

bool SimulatedCluster::ChangeAndAwait(const RaftMembershipChange& aChange)
{
  std::optional<EntryId> change;
  return RunUntil([&] {
    SimulatedReplica* leader = Leader();
    if (leader != nullptr && !change) {
      if (const auto proposed = leader->Change(mNow, aChange)) {
        change = proposed.value();
      }
    }
    return leader != nullptr && change && leader->Running() &&
           leader->Core().AppliedIndex() >= change->mIndex;
  });
}

bool SimulatedCluster::Converged()
{
  const SimulatedReplica* leader = Leader();
  if (leader == nullptr || !leader->Core().Confirmed(mNow)) {
    return false;
  }
  const LogIndex last = leader->Core().LastIndex();
  return std::all_of(mReplicas.begin(), mReplicas.end(), [&](const auto& aReplica) {
    const bool member = leader->Core().Members().Find(aReplica->Id()) != nullptr;
    return !member || !aReplica->Running() || aReplica->Core().AppliedIndex() == last;
  });
}

void SimulatedCluster::Post(const RaftMessage& aMessage)
{
  const int copies = mRandom.Unit() < mFaults.mDuplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (mRandom.Unit() < mFaults.mLoss) {
      continue;
    }
    const std::uint64_t limit = mRandom.Unit() < mFaults.mLongDelay
                                  ? kLongDelayMs
                                  : static_cast<std::uint64_t>(mFaults.mMaxDelay.count());
    // A positive delay keeps the number of deliveries in one step bounded.
    const Milliseconds delay(1 + static_cast<std::int64_t>(mRandom.Below(limit)));
    mNetwork.emplace(mNow + delay, aMessage);
  }
}

void SimulatedCluster::Deliver()
{
  while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
    const auto first = mNetwork.begin();
    const RaftMessage message = std::move(first->second);
    mNetwork.erase(first);
    SimulatedReplica* to = Find(message.mTo);
    const bool cut = mIsolated.contains(message.mFrom) || mIsolated.contains(message.mTo);
    if (to == nullptr || !to->Running() || cut) {
      continue;
    }
    if (mObserver) {
      mObserver(*to, message);
    }
    to->Receive(mNow, message);
    for (const RaftMessage& answer : to->TakeSent()) {
      Post(answer);
    }
  }
}

void SimulatedCluster::CheckConfirmed()
{
  for (auto& replica : mReplicas) {
    if (replica->Running() && replica->Core().Confirmed(mNow)) {
      mChecker.Confirmed(replica->Id(), mNow - mSettings.mConfirmWindow);
    }
  }
}

SimulatedReplica* SimulatedCluster::Find(const ReplicaId& aId)
{
  const auto found = std::find_if(mReplicas.begin(), mReplicas.end(),
                                  [&](const auto& aItem) { return aItem->Id() == aId; });
  return found == mReplicas.end() ? nullptr : found->get();
}

} // namespace dandelionslip
