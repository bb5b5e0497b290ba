// Labels and registration of the request path's counters.
#include "dandelionslip/Request/RequestCounters.h"

#include "dandelionslip/Request/RequestMetricNames.h"

#include <array>
#include <string>

namespace dandelionslip {

namespace {

template <typename E>
std::vector<Counter*> Register(MetricsRegistry& aRegistry, const char* aName, std::string_view aKey)
{
  std::vector<Counter*> counters;
  for (const auto& name : EnumNames(E{})) {
    const std::string label = std::string(aKey) + "=\"" + std::string(name.mName) + "\"";
    counters.push_back(&aRegistry.CounterFor(aName, label));
  }
  return counters;
}

} // namespace

std::span<const EnumName<RetryReason>> EnumNames(RetryReason)
{
  static constexpr std::array<EnumName<RetryReason>, 5> kNames{{
    {RetryReason::Refused, "refused"},
    {RetryReason::NotOwner, "not_home"},
    {RetryReason::Unreachable, "unreachable"},
    {RetryReason::LinkLost, "link_lost"},
    {RetryReason::Failed, "failed"},
  }};
  return kNames;
}

std::span<const EnumName<RetryDenial>> EnumNames(RetryDenial)
{
  static constexpr std::array<EnumName<RetryDenial>, 3> kNames{{
    {RetryDenial::Budget, "budget"},
    {RetryDenial::Deadline, "deadline"},
    {RetryDenial::Tries, "tries"},
  }};
  return kNames;
}

std::span<const EnumName<RequestDrop>> EnumNames(RequestDrop)
{
  static constexpr std::array<EnumName<RequestDrop>, 4> kNames{{
    {RequestDrop::LateAnswer, "late_answer"},
    {RequestDrop::UnmatchedAnswer, "unmatched_answer"},
    {RequestDrop::CutShort, "cut_short"},
    {RequestDrop::DuplicateAttempt, "duplicate_attempt"},
  }};
  return kNames;
}

RequestCounters::RequestCounters(MetricsRegistry& aRegistry)
  : mOutcomes(Register<RequestOutcome>(aRegistry, metric::kRequestOutcomes, "outcome"))
  , mRefusals(Register<RefusalReason>(aRegistry, metric::kRequestRefusals, "reason"))
  , mRetries(Register<RetryReason>(aRegistry, metric::kRequestRetries, "reason"))
  , mDenials(Register<RetryDenial>(aRegistry, metric::kRequestRetriesDenied, "reason"))
  , mDrops(Register<RequestDrop>(aRegistry, metric::kRequestDrops, "reason"))
  , mResends(Register<RecordState>(aRegistry, metric::kRequestResends, "state"))
{
}

} // namespace dandelionslip
