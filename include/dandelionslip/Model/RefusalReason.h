// Reasons for which a flow or request is refused or a packet dropped. Each reason has a counter.
#pragma once

#include "dandelionslip/Support/Fields.h"

#include <string_view>

namespace dandelionslip {

enum class RefusalReason
{
  NoService,       ///< No service has the address.
  WrongService,    ///< The packet carries another service's id.
  NoUpstream,      ///< The service has no upstream that takes new work.
  DataCentreOut,   ///< The flow's data centre, or every data centre of the service, is out of
                   ///< service.
  NoControl,       ///< The node or the data centre has no valid lease.
  ConnectionsFull, ///< The upstream holds as many flows as it may.
  SlotsFull,       ///< All slots are in use and the queue is full.
  Cold,            ///< The upstream is cold and at its current load limit.
  RateLimited,     ///< New flows arrive faster than the upstream accepts them.
  Draining,        ///< The upstream or the process is draining.
  UnknownFlow,     ///< No agent holds the flow; the caller must open it again.
  HopLimit,        ///< The packet was forwarded too often.
  TransferPending, ///< The bucket's directory or records are not complete yet.
  TableFull,       ///< The flow table has no room.
  Deadline,        ///< The request cannot be answered before its deadline.
  RecordsFull,     ///< The record table has no room.
  BadRequestId,    ///< The id is not a UUID of version 7, or its time is in the future.
  UpstreamShed,    ///< The upstream refused the work because of its load.
  RetryBudget,     ///< The retry budget is used up.
  Malformed,       ///< The datagram or request cannot be decoded.
};

std::span<const EnumName<RefusalReason>> EnumNames(RefusalReason);

/// The reason's name as used in metrics, logs and answers.
std::string_view ToString(RefusalReason aReason);

} // namespace dandelionslip
