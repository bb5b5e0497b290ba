// Codec of the header of messages between nodes.
#include "dandelionslip/Packet/NodeMessageHeader.h"

#include <string>

namespace dandelionslip {

namespace {

constexpr std::uint8_t kMagic = 0xd5;
constexpr std::uint8_t kVersion = 1;

} // namespace

std::string_view ToString(ReturnReason aReason)
{
  static constexpr std::array<std::string_view, kReturnReasons> kNames{
    "none", "not_held",      "refused",     "unresponsive", "draining",
    "cold", "wrong_service", "no_upstream", "busy",         "failing"};
  return kNames[static_cast<std::size_t>(aReason)];
}

std::array<std::uint8_t, NodeMessageHeader::kBytes> NodeMessageHeader::Encode() const
{
  return {kMagic, kVersion, static_cast<std::uint8_t>(mType), static_cast<std::uint8_t>(mReason)};
}

Result<NodeMessageHeader> NodeMessageHeader::Decode(std::span<const std::uint8_t> aBytes)
{
  const auto invalid = [](std::string aDetail) {
    return Fail(ErrorCode::InvalidInput, "node_message_header.decode", "", std::move(aDetail));
  };
  if (aBytes.size() < kBytes) {
    return invalid("found " + std::to_string(aBytes.size()) + " bytes, expected at least 4");
  }
  if (aBytes[0] != kMagic || aBytes[1] != kVersion) {
    return invalid("found an unknown magic number or version, expected 213 and 1");
  }
  constexpr auto first = static_cast<std::uint8_t>(NodeMessageType::Deliver);
  constexpr auto last = static_cast<std::uint8_t>(NodeMessageType::ReportFormat);
  if (aBytes[2] < first || aBytes[2] > last || aBytes[3] >= kReturnReasons) {
    return invalid("found an unknown kind or reason: kind " + std::to_string(aBytes[2]) +
                   ", reason " + std::to_string(aBytes[3]));
  }
  return NodeMessageHeader{static_cast<NodeMessageType>(aBytes[2]),
                           static_cast<ReturnReason>(aBytes[3])};
}

} // namespace dandelionslip
