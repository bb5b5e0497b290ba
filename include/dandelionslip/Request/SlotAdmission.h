// Admission of request runs at an upstream.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"

#include <optional>

namespace dandelionslip {

/// How one run at the upstream ended.
enum class RunResult
{
  Succeeded, ///< The answer was complete.
  Failed,    ///< The answer was truncated or the link was lost.
  Shed,      ///< The upstream refused the request because of its load, without running it.
  Cancelled, ///< This agent cancelled the run.
};

/// Decides on the agent whether its upstream gets one more request. Implementations are not
/// thread-safe.
class SlotAdmission
{
public:
  virtual ~SlotAdmission() = default;

  /// Reserves a slot for one run; returns a refusal when there is none.
  virtual std::optional<Refusal> TryStart(TimePoint aNow) = 0;

  /// Releases the slot of a run that ended; aLatency is the time since its start.
  virtual void Finished(TimePoint aNow, RuntimeClock::duration aLatency, RunResult aResult) = 0;
};

} // namespace dandelionslip
