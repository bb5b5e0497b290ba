// Encoding, validation and decoding of caller datagrams.
#include "dandelionslip/Net/CallerDatagram.h"

#include "ByteOrder.h"

#include <algorithm>
#include <limits>

namespace dandelionslip {

namespace {

constexpr std::uint8_t kVersion = 1;
// Reason (1 byte) and retry-after time in milliseconds (4 bytes).
constexpr std::size_t kRefusalSize = 5;

auto DecodeFailure(std::string aDetail)
{
  return Fail(ErrorCode::InvalidInput, "caller_datagram.decode", "", std::move(aDetail));
}

std::uint32_t ClampedMs(Milliseconds aTime)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

Result<CallerDatagram> DecodeRefusal(CallerDatagram aDatagram)
{
  if (aDatagram.mPayload.size() != kRefusalSize) {
    return DecodeFailure("a refusal of " + std::to_string(aDatagram.mPayload.size()) +
                         " bytes, expected " + std::to_string(kRefusalSize));
  }
  ByteReader reader(aDatagram.mPayload.data());
  const auto reason = reader.ReadInteger<std::uint8_t>();
  if (reason >= EnumNames(RefusalReason{}).size()) {
    return DecodeFailure("unknown refusal reason " + std::to_string(reason));
  }
  aDatagram.mReason = static_cast<RefusalReason>(reason);
  aDatagram.mRetryAfter = Milliseconds(reader.ReadInteger<std::uint32_t>());
  aDatagram.mPayload = {};
  return aDatagram;
}

} // namespace

Bytes EncodeCallerDatagram(const CallerDatagram& aDatagram)
{
  const bool refused = aDatagram.mKind == CallerDatagramKind::Refused;
  Bytes bytes(kCallerDatagramHeaderSize + (refused ? kRefusalSize : aDatagram.mPayload.size()));
  ByteWriter writer(bytes.data());
  writer.WriteInteger(static_cast<std::uint8_t>(aDatagram.mKind));
  writer.WriteInteger(kVersion);
  writer.WriteInteger(aDatagram.mSessionTag);
  if (refused) {
    writer.WriteInteger(static_cast<std::uint8_t>(aDatagram.mReason));
    writer.WriteInteger(ClampedMs(aDatagram.mRetryAfter));
  } else {
    writer.WriteBytes(aDatagram.mPayload);
  }
  return bytes;
}

Result<CallerDatagram> DecodeCallerDatagram(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() < kCallerDatagramHeaderSize) {
    return DecodeFailure("length " + std::to_string(aBytes.size()) + ", expected at least " +
                         std::to_string(kCallerDatagramHeaderSize));
  }
  ByteReader reader(aBytes.data());
  const auto kind = reader.ReadInteger<std::uint8_t>();
  if (kind < static_cast<std::uint8_t>(CallerDatagramKind::Open) ||
      kind > static_cast<std::uint8_t>(CallerDatagramKind::Refused)) {
    return DecodeFailure("unknown kind " + std::to_string(kind));
  }
  if (const auto version = reader.ReadInteger<std::uint8_t>(); version != kVersion) {
    return DecodeFailure("version " + std::to_string(version) + ", expected " +
                         std::to_string(kVersion));
  }
  CallerDatagram datagram;
  datagram.mKind = static_cast<CallerDatagramKind>(kind);
  datagram.mSessionTag = reader.ReadInteger<std::uint64_t>();
  datagram.mPayload = aBytes.subspan(kCallerDatagramHeaderSize);
  if (datagram.mKind == CallerDatagramKind::Refused) {
    return DecodeRefusal(datagram);
  }
  return datagram;
}

} // namespace dandelionslip
