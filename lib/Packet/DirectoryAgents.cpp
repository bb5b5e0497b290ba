// Rendezvous hashing of flows to directory agents.
#include "dandelionslip/Packet/DirectoryAgents.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>
#include <array>

namespace dandelionslip {

bool DirectoryAgents::Update(const View& aView)
{
  std::vector<Agent> agents;
  for (const auto& [name, member] : aView.mMembers) {
    const auto endpoint = Endpoint::Parse(member.mDatagramEndpoint);
    if (member.mKind == MemberKind::Agent && HoldsFlows(member.mState) && endpoint) {
      agents.push_back({endpoint.value(), Hash64(name), member.mIncarnation});
    }
  }
  if (agents == mAgents) {
    return false;
  }
  mAgents = std::move(agents);
  mDigest = 0;
  for (const Agent& agent : mAgents) {
    mDigest = CombineHash(CombineHash(CombineHash(mDigest, agent.mNameHash), agent.mIncarnation),
                          HashOf(agent.mEndpoint));
  }
  return true;
}

// In descending order of score; null pointers at the end if there are fewer agents.
DirectoryAgents::BestAgents DirectoryAgents::BestFor(const FlowKey& aFlow) const
{
  const std::uint64_t hash = HashOf(aFlow);
  std::array<std::pair<std::uint64_t, const Agent*>, kDirectoryAgentsPerFlow> best{};
  for (const Agent& agent : mAgents) {
    std::pair<std::uint64_t, const Agent*> candidate{CombineHash(hash, agent.mNameHash), &agent};
    for (auto& entry : best) {
      if (entry.second == nullptr || candidate.first > entry.first) {
        std::swap(entry, candidate);
      }
      if (candidate.second == nullptr) {
        break;
      }
    }
  }
  BestAgents agents{};
  std::transform(best.begin(), best.end(), agents.begin(),
                 [](const auto& aEntry) { return aEntry.second; });
  return agents;
}

std::vector<Endpoint> DirectoryAgents::AgentsFor(const FlowKey& aFlow) const
{
  std::vector<Endpoint> directoryAgents;
  for (const Agent* agent : BestFor(aFlow)) {
    if (agent != nullptr) {
      directoryAgents.push_back(agent->mEndpoint);
    }
  }
  return directoryAgents;
}

bool DirectoryAgents::HasSameAgentsFor(const FlowKey& aFlow, const DirectoryAgents& aOther) const
{
  const BestAgents own = BestFor(aFlow);
  const BestAgents other = aOther.BestFor(aFlow);
  return std::equal(
    own.begin(), own.end(), other.begin(), [](const Agent* aLeft, const Agent* aRight) {
      return aLeft == aRight || (aLeft != nullptr && aRight != nullptr && *aLeft == *aRight);
    });
}

} // namespace dandelionslip
