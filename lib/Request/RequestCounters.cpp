// Labels and registration of the request path's counters.
#include "dandelionslip/Request/RequestCounters.h"

#include "dandelionslip/Request/RequestMetricNames.h"

#include <array>
#include <string>

namespace dandelionslip {

namespace {

std::string Label(std::string_view aKey, std::string_view aValue)
{
  return std::string(aKey) + "=\"" + std::string(aValue) + "\"";
}

template <typename E>
void Register(MetricsRegistry& aRegistry, const char* aName, std::string_view aKey)
{
  for (const auto& name : EnumNames(E{})) {
    aRegistry.CounterFor(aName, Label(aKey, name.mName));
  }
}

template <typename E>
void Count(MetricsRegistry& aRegistry, const char* aName, E aValue)
{
  const auto names = EnumNames(aValue);
  aRegistry.CounterFor(aName, Label("reason", names[static_cast<std::size_t>(aValue)].mName)).Add();
}

} // namespace

std::span<const EnumName<RetryReason>> EnumNames(RetryReason)
{
  static constexpr std::array<EnumName<RetryReason>, 5> kNames{{
    {RetryReason::Refused, "refused"},
    {RetryReason::NotHome, "not_home"},
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
  : mRegistry(aRegistry)
{
  Register<RequestOutcome>(mRegistry, metric::kRequestOutcomes, "outcome");
  Register<RefusalReason>(mRegistry, metric::kRequestRefusals, "reason");
  Register<RetryReason>(mRegistry, metric::kRequestRetries, "reason");
  Register<RetryDenial>(mRegistry, metric::kRequestRetriesDenied, "reason");
  Register<RequestDrop>(mRegistry, metric::kRequestDrops, "reason");
}

void RequestCounters::CountOutcome(RequestOutcome aOutcome)
{
  mRegistry.CounterFor(metric::kRequestOutcomes, Label("outcome", ToString(aOutcome))).Add();
}

void RequestCounters::CountRefusal(RefusalReason aReason)
{
  Count(mRegistry, metric::kRequestRefusals, aReason);
}

void RequestCounters::CountRetry(RetryReason aReason)
{
  Count(mRegistry, metric::kRequestRetries, aReason);
}

void RequestCounters::CountDenial(RetryDenial aReason)
{
  Count(mRegistry, metric::kRequestRetriesDenied, aReason);
}

void RequestCounters::CountDrop(RequestDrop aReason)
{
  Count(mRegistry, metric::kRequestDrops, aReason);
}

void RequestCounters::CountResend(std::string_view aState)
{
  mRegistry.CounterFor(metric::kRequestResends, Label("state", aState)).Add();
}

} // namespace dandelionslip
