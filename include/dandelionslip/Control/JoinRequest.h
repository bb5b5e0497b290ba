// A replica's request to join the Raft group.
#pragma once

#include "dandelionslip/Control/ReplicaId.h"
#include "dandelionslip/Support/Fields.h"

#include <string>

namespace dandelionslip {

/// Sent periodically by every replica. From a replica that is in the group already, it confirms the
/// address of that replica.
struct JoinRequest
{
  ReplicaId mReplica;
  std::string mAddress;
  bool mForwarded = false; ///< Came through a replica that is not the leader.

  bool operator==(const JoinRequest&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, JoinRequest& aValue)
{
  aVisitor.Field("replica", aValue.mReplica);
  aVisitor.Field("address", aValue.mAddress);
  aVisitor.Optional("forwarded", aValue.mForwarded);
}

/// Decodes a request whose address is a numeric "address:port". InvalidInput: malformed.
Result<JoinRequest> DecodeJoinRequest(std::span<const std::uint8_t> aBytes,
                                      std::string_view aSource);

} // namespace dandelionslip
