// Names of outcomes and builders of replies.
#include "dandelionslip/Request/RequestOutcome.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<RequestOutcome>> EnumNames(RequestOutcome)
{
  static constexpr std::array<EnumName<RequestOutcome>, 5> kNames{{
    {RequestOutcome::Answered, "answered"},
    {RequestOutcome::NotRun, "not_run"},
    {RequestOutcome::Unknown, "unknown"},
    {RequestOutcome::Cancelled, "cancelled"},
    {RequestOutcome::NotHome, "not_home"},
  }};
  return kNames;
}

std::string_view ToString(RequestOutcome aOutcome)
{
  return EnumNames(aOutcome)[static_cast<std::size_t>(aOutcome)].mName;
}

RequestAnswer AnsweredReply(UpstreamAnswer aAnswer)
{
  return {RequestOutcome::Answered, std::move(aAnswer), {}, {}};
}

RequestAnswer NotRunBecause(Refusal aRefusal)
{
  return {RequestOutcome::NotRun, {}, aRefusal, {}};
}

RequestAnswer UnknownReply(std::optional<Refusal> aRefusal)
{
  return {RequestOutcome::Unknown, {}, aRefusal, {}};
}

RequestAnswer CancelledReply()
{
  return {RequestOutcome::Cancelled, {}, {}, {}};
}

RequestAnswer NotHomeBecause(RefusalReason aReason)
{
  return {RequestOutcome::NotHome, {}, Refusal{aReason, Milliseconds(0)}, {}};
}

} // namespace dandelionslip
