// Decoding of join requests.
#include "dandelionslip/Control/JoinRequest.h"

#include "dandelionslip/Model/Endpoint.h"

namespace dandelionslip {

Result<JoinRequest> DecodeJoinRequest(std::span<const std::uint8_t> aBytes,
                                      std::string_view aSource)
{
  auto request = FromCbor<JoinRequest>(aBytes, aSource);
  if (!request) {
    return request;
  }
  if (const auto address = Endpoint::Parse(request.value().mAddress); !address) {
    return address.as_failure();
  }
  return request;
}

} // namespace dandelionslip
