// Reasons for which a flow or request is refused, or a packet dropped; one counter exists for each.
#pragma once

#include "dandelionslip/Support/Fields.h"

#include <string_view>

namespace dandelionslip {

enum class RefusalReason
{
  NoService,       ///< No service has the address.
  WrongService,    ///< The packet carries another service's id.
  NoUpstream,      ///< The service has no upstream that takes new work.
  DataCentreOut,   ///< The flow's data centre was taken out.
  NoControl,       ///< Control has not confirmed the node or the data centre.
  ConnectionsFull, ///< The upstream holds its declared number of flows.
  SlotsFull,       ///< All slots and the queue are taken.
  Cold,            ///< The upstream is in cold start at its current limit.
  RateLimited,     ///< New flows arrive faster than they are accepted.
  Draining,        ///< The upstream or the process is draining.
  UnknownFlow,     ///< No agent holds the flow; the caller has to reopen it.
  HopLimit,        ///< The packet was forwarded too often.
  TransferPending, ///< The bucket's directory is not complete yet.
  TableFull,       ///< The flow table has no room.
  Deadline,        ///< The request cannot be answered before its deadline.
  RecordsFull,     ///< The record table has no room.
  BadRequestId,    ///< The id is not a UUID of version 7 or lies in the future.
  UpstreamShed,    ///< The upstream refused the work.
  RetryBudget,     ///< The retry budget is used up.
  Malformed,       ///< The datagram or request cannot be decoded.
};

std::span<const EnumName<RefusalReason>> EnumNames(RefusalReason);

/// The reason's name as used in metrics, logs and answers.
std::string_view ToString(RefusalReason aReason);

} // namespace dandelionslip
