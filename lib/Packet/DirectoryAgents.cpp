// Rendezvous hashing of flows to directory agents.
#include "dandelionslip/Packet/DirectoryAgents.h"

#include "dandelionslip/Support/Hash.h"

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

std::vector<Endpoint> DirectoryAgents::AgentsFor(const FlowKey& aFlow) const
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
  std::vector<Endpoint> directoryAgents;
  for (const auto& [score, agent] : best) {
    if (agent != nullptr) {
      directoryAgents.push_back(agent->mEndpoint);
    }
  }
  return directoryAgents;
}

} // namespace dandelionslip
