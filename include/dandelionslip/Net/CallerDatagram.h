// Encoding of the UDP datagrams between callers and balancers.
#pragma once

#include "dandelionslip/Model/RefusalReason.h"
#include "dandelionslip/Support/Error.h"
#include "dandelionslip/Support/Json.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <span>

namespace dandelionslip {

enum class CallerDatagramKind : std::uint8_t
{
  Open = 1,    ///< Opens the flow; repeated until answered.
  Data = 2,    ///< Belongs to an open flow; either direction.
  Close = 3,   ///< Ends the flow; either direction.
  Refused = 4, ///< Balancer to caller: the datagram was not delivered.
};

/// Bytes before the payload: kind, version and session tag.
inline constexpr std::size_t kCallerDatagramHeaderSize = 10;

/// A decoded caller datagram; the payload points into the decoded bytes.
struct CallerDatagram
{
  CallerDatagramKind mKind = CallerDatagramKind::Data;
  std::uint64_t mSessionTag = 0; ///< Chosen by the caller; repeated in every datagram.
  std::span<const std::uint8_t> mPayload;
  RefusalReason mReason = RefusalReason::NoUpstream; ///< Kind Refused only.
  Milliseconds mRetryAfter{0};                       ///< Kind Refused only.
};

/// Encodes a caller datagram. Kind Refused carries the reason and the retry-after time instead of
/// the payload; a time over 2^32 - 1 ms is clamped to that value.
Bytes EncodeCallerDatagram(const CallerDatagram& aDatagram);

/// Decodes a caller datagram. Error: InvalidInput for an unknown kind, version or reason, or a
/// wrong length.
Result<CallerDatagram> DecodeCallerDatagram(std::span<const std::uint8_t> aBytes);

} // namespace dandelionslip
