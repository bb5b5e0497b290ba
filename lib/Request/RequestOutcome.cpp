// Names and builders of request outcomes.
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
    {RequestOutcome::NotOwner, "not_home"},
  }};
  return kNames;
}

std::string_view ToString(RequestOutcome aOutcome)
{
  return EnumNames(aOutcome)[static_cast<std::size_t>(aOutcome)].mName;
}

RequestReply AnsweredWith(UpstreamAnswer aAnswer)
{
  return {RequestOutcome::Answered, std::move(aAnswer), {}, {}};
}

RequestReply NotRunReply(Refusal aRefusal)
{
  return {RequestOutcome::NotRun, {}, aRefusal, {}};
}

RequestReply UnknownOutcome(std::optional<Refusal> aRefusal)
{
  return {RequestOutcome::Unknown, {}, aRefusal, {}};
}

RequestReply CancelledOutcome()
{
  return {RequestOutcome::Cancelled, {}, {}, {}};
}

RequestReply NotOwnerReply(RefusalReason aReason)
{
  return {RequestOutcome::NotOwner, {}, Refusal{aReason, Milliseconds(0)}, {}};
}

} // namespace dandelionslip
