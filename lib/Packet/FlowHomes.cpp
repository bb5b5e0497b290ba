// Rendezvous hashing of flows to home agents.
#include "dandelionslip/Packet/FlowHomes.h"

#include "dandelionslip/Support/Hash.h"

#include <array>

namespace dandelionslip {

bool FlowHomes::Update(const View& aView)
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
    mDigest = CombineHash(CombineHash(CombineHash(mDigest, agent.mSeed), agent.mIncarnation),
                          HashOf(agent.mEndpoint));
  }
  return true;
}

std::vector<Endpoint> FlowHomes::Of(const FlowKey& aFlow) const
{
  const std::uint64_t hash = HashOf(aFlow);
  std::array<std::pair<std::uint64_t, const Agent*>, kHomes> best{};
  for (const Agent& agent : mAgents) {
    std::pair<std::uint64_t, const Agent*> candidate{CombineHash(hash, agent.mSeed), &agent};
    for (auto& place : best) {
      if (place.second == nullptr || candidate.first > place.first) {
        std::swap(place, candidate);
      }
      if (candidate.second == nullptr) {
        break;
      }
    }
  }
  std::vector<Endpoint> homes;
  for (const auto& [score, agent] : best) {
    if (agent != nullptr) {
      homes.push_back(agent->mEndpoint);
    }
  }
  return homes;
}

} // namespace dandelionslip
