// The decision whether an upstream takes one more request.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"

#include <optional>

namespace dandelionslip {

/// How one run at the upstream ended.
enum class RunResult
{
  Succeeded, ///< A whole answer.
  Failed,    ///< The answer was cut short or the link was lost.
  Shed,      ///< The upstream refused the work before running it.
  Cancelled, ///< Ended because this agent cancelled it.
};

/// Admits request runs beside the upstream. Implementations are not thread-safe.
class SlotAdmission
{
public:
  virtual ~SlotAdmission() = default;

  /// Reserves a slot for one run; no value means admitted.
  virtual std::optional<Refusal> TryStart(TimePoint aNow) = 0;

  /// Releases the slot of one run; aLatency is the time since its start.
  virtual void Finished(TimePoint aNow, RuntimeClock::duration aLatency, RunResult aResult) = 0;
};

} // namespace dandelionslip
