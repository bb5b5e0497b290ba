// Choice of the agents that keep the registration of a flow.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Packet/FlowKey.h"

#include <array>
#include <cstdint>
#include <vector>

namespace dandelionslip {

/// Chooses the directory agents of each flow by rendezvous hashing over all agents of the view. The
/// agent whose upstream holds a flow registers it with them, so that a balancer finds any flow with
/// two small messages. A change of the agents changes the directory agents of few flows only. Not
/// thread-safe.
class DirectoryAgents
{
public:
  /// Two, because one may be lost, or be new and not know the flow yet.
  static constexpr std::size_t kDirectoryAgentsPerFlow = 2;

  /// Applies the agents of a view. Returns whether they differ from the previous ones.
  bool Update(const View& aView);

  /// Hash of all agents of the view and their incarnations: equal on all nodes that know the same
  /// agents. 0 without agents.
  std::uint64_t Digest() const { return mDigest; }

  /// Whether the flow has the same directory agents, in the same processes, in both.
  bool HasSameAgentsFor(const FlowKey& aFlow, const DirectoryAgents& aOther) const;

  /// The directory agents of a flow, at most kDirectoryAgentsPerFlow, in descending order of score.
  std::vector<Endpoint> AgentsFor(const FlowKey& aFlow) const;

private:
  struct Agent
  {
    Endpoint mEndpoint;
    std::uint64_t mNameHash = 0;
    std::uint64_t mIncarnation = 0; ///< A restarted agent has lost its directory.

    bool operator==(const Agent&) const = default;
  };

  using BestAgents = std::array<const Agent*, kDirectoryAgentsPerFlow>;

  BestAgents BestFor(const FlowKey& aFlow) const;

  std::vector<Agent> mAgents; ///< Ordered by member name.
  std::uint64_t mDigest = 0;
};

} // namespace dandelionslip
