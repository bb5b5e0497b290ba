// Where requests can be sent, as seen in the newest view.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Request/RequestId.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// Looks up agents. Implementations read the balancer's current view.
class RequestTargets
{
public:
  virtual ~RequestTargets() = default;

  /// The agent that owns the bucket of an id, or no value when the service has none.
  virtual std::optional<std::string> OwnerOf(ServiceId aService, const RequestId& aId) const = 0;

  /// All agents of a service that take new work.
  virtual std::vector<std::string> CandidatesOf(ServiceId aService) const = 0;
};

} // namespace dandelionslip
