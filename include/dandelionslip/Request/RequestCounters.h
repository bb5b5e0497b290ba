// Metrics counters of the request path.
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
  NotOwner,    ///< The agent did not decide about the id, for example because it was not the owner.
  Unreachable, ///< No part of the attempt was sent.
  LinkLost,    ///< The link failed after the attempt was sent, or the answer was truncated.
  Failed,      ///< An idempotent request ended with an unknown outcome.
};

std::span<const EnumName<RetryReason>> EnumNames(RetryReason);

/// Why a request was not retried although its last attempt allowed it.
enum class RetryDenial
{
  Budget,   ///< The caller's retry budget is used up.
  Deadline, ///< The back-off delay ends after the deadline.
  Tries,    ///< The largest number of tries was made.
};

std::span<const EnumName<RetryDenial>> EnumNames(RetryDenial);

/// Messages that were late, unmatched, incomplete or duplicate. Not all of them are dropped: the
/// record of a request keeps a late answer, and a duplicate of an idempotent request is sent on
/// with a new id.
enum class RequestDrop
{
  LateAnswer,       ///< The attempt or run ended when nobody waited for it any more.
  UnmatchedAnswer,  ///< No attempt or run in progress has this key or id.
  Truncated,        ///< The answer was incomplete.
  DuplicateAttempt, ///< The balancer already handles this attempt of the caller.
};

std::span<const EnumName<RequestDrop>> EnumNames(RequestDrop);

/// Counters of one core. All are registered at construction, so that a reason which has not
/// occurred is exported as zero.
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
