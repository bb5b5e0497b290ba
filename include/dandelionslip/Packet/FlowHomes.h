// The agents that know where a flow is.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/FlowKey.h"

#include <cstdint>
#include <vector>

namespace dandelionslip {

/// Each flow has kHomes home agents by rendezvous hashing over all agents of the view. The agent
/// whose upstream holds the flow registers it there, so that a balancer finds any flow with two
/// small messages. A change of the agents moves the homes of few flows. Not thread-safe.
class FlowHomes
{
public:
  /// One home may be lost, or be new and not know the flow yet.
  static constexpr std::size_t kHomes = 2;

  /// Takes the agents of a view; returns whether they differ from those before.
  bool Update(const View& aView);

  /// Identifies the agents that homes are chosen among, with their incarnations: equal on all nodes
  /// that know the same agents. 0 without agents.
  std::uint64_t Digest() const { return mDigest; }

  /// The homes of a flow, at most kHomes, the first one first.
  std::vector<Endpoint> Of(const FlowKey& aFlow) const;

private:
  struct Agent
  {
    Endpoint mEndpoint;
    std::uint64_t mSeed = 0;
    std::uint64_t mIncarnation = 0; ///< A restarted agent has forgotten what it knew.

    bool operator==(const Agent&) const = default;
  };

  std::vector<Agent> mAgents; ///< Ordered by member name.
  std::uint64_t mDigest = 0;
};

} // namespace dandelionslip
