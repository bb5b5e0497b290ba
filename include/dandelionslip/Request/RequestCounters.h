// Counts refusals, retries and drops of the request path.
#pragma once

#include "dandelionslip/Request/RequestOutcome.h"
#include "dandelionslip/Request/RequestRecords.h"
#include "dandelionslip/Support/Metrics.h"

#include <vector>

namespace dandelionslip {

/// Why another attempt was made.
enum class RetryReason
{
  Refused,     ///< The agent said that the attempt did not run.
  NotOwner,    ///< The agent was not the home of the id.
  Unreachable, ///< Nothing of the attempt was sent.
  LinkLost,    ///< The link failed after the attempt was sent.
  Failed,      ///< An idempotent request ended with an unknown outcome.
};

std::span<const EnumName<RetryReason>> EnumNames(RetryReason);

/// Why a wanted retry was not made.
enum class RetryDenial
{
  Budget,   ///< The caller's retry budget is used up.
  Deadline, ///< The back-off ends after the deadline.
  Tries,    ///< The largest number of tries was made.
};

std::span<const EnumName<RetryDenial>> EnumNames(RetryDenial);

/// Why a message had no effect.
enum class RequestDrop
{
  LateAnswer,       ///< The attempt or run was given up before.
  UnmatchedAnswer,  ///< No attempt or run has this identity.
  CutShort,         ///< The answer was incomplete.
  DuplicateAttempt, ///< The balancer already handles this attempt of the caller.
};

std::span<const EnumName<RequestDrop>> EnumNames(RequestDrop);

/// Counters of one core; all exist from the start, so that a reason never seen shows as zero.
class RequestCounters
{
public:
  explicit RequestCounters(MetricsRegistry& aRegistry);

  void CountOutcome(RequestOutcome aOutcome) { Add(mOutcomes, aOutcome); }
  void CountRefusal(RefusalReason aReason) { Add(mRefusals, aReason); }
  void CountRetry(RetryReason aReason) { Add(mRetries, aReason); }
  void CountDenial(RetryDenial aReason) { Add(mDenials, aReason); }
  void CountDrop(RequestDrop aReason) { Add(mDrops, aReason); }
  void CountResend(RecordState aState) { Add(mResends, aState); }

private:
  using Counters = std::vector<Counter*>;

  template <typename E>
  static void Add(const Counters& aCounters, E aValue)
  {
    aCounters[static_cast<std::size_t>(aValue)]->Add();
  }

  Counters mOutcomes;
  Counters mRefusals;
  Counters mRetries;
  Counters mDenials;
  Counters mDrops;
  Counters mResends;
};

} // namespace dandelionslip
