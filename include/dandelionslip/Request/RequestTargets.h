// Looks up the agents that requests can be sent to.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Request/RequestId.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// Interface between the request handling of a balancer and the balancer's newest view.
class RequestTargets
{
public:
  virtual ~RequestTargets() = default;

  /// The agent that owns the bucket of an id; no value when the request can be sent to none.
  virtual std::optional<std::string> OwnerOf(ServiceId aService, const RequestId& aId) const = 0;

  /// All agents of a service that take new work.
  virtual std::vector<std::string> CandidatesOf(ServiceId aService) const = 0;
};

} // namespace dandelionslip
