// Names of refusal reasons.
#include "dandelionslip/Model/RefusalReason.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<RefusalReason>> EnumNames(RefusalReason)
{
  static constexpr std::array<EnumName<RefusalReason>, 20> kNames{{
    {RefusalReason::NoService, "no_service"},
    {RefusalReason::WrongService, "wrong_service"},
    {RefusalReason::NoUpstream, "no_upstream"},
    {RefusalReason::DataCentreOut, "data_centre_out"},
    {RefusalReason::NoControl, "no_control"},
    {RefusalReason::ConnectionsFull, "connections_full"},
    {RefusalReason::SlotsFull, "slots_full"},
    {RefusalReason::Cold, "cold"},
    {RefusalReason::RateLimited, "paced"},
    {RefusalReason::Draining, "draining"},
    {RefusalReason::UnknownFlow, "unknown_flow"},
    {RefusalReason::HopLimit, "hop_limit"},
    {RefusalReason::TransferPending, "handoff_pending"},
    {RefusalReason::TableFull, "table_full"},
    {RefusalReason::Deadline, "deadline"},
    {RefusalReason::RecordsFull, "records_full"},
    {RefusalReason::BadRequestId, "bad_request_id"},
    {RefusalReason::UpstreamShed, "upstream_shed"},
    {RefusalReason::RetryBudget, "retry_budget"},
    {RefusalReason::Malformed, "malformed"},
  }};
  return kNames;
}

std::string_view ToString(RefusalReason aReason)
{
  return EnumNames(aReason)[static_cast<std::size_t>(aReason)].mName;
}

} // namespace dandelionslip
