// Interface that decides whether an upstream takes one more flow.
#pragma once

#include "dandelionslip/Model/RefusalReason.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <optional>

namespace dandelionslip {

/// Why work was not admitted and when to try again.
struct Refusal
{
  RefusalReason mReason = RefusalReason::NoUpstream;
  Milliseconds mRetryAfter{0};

  bool operator==(const Refusal&) const = default;
};

/// Admits flows for the agent's upstream. Implementations are not thread-safe.
class FlowAdmission
{
public:
  virtual ~FlowAdmission() = default;

  /// Reserves room for one opening flow; no value means admitted.
  virtual std::optional<Refusal> TryOpenFlow(TimePoint aNow) = 0;

  /// Releases the room of one flow.
  virtual void CloseFlow(TimePoint aNow) = 0;
};

} // namespace dandelionslip
