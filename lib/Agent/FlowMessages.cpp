// Encoding of messages between agents.
#include "dandelionslip/Agent/FlowMessages.h"

#include <array>

namespace dandelionslip {

namespace {

// Indexed like the alternatives of PeerMessage.
constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> kTypes{
  "transfer_request",  "transfer_answer",  "held_flows_query",
  "held_flows_answer", "directory_update", "handover",
  "handover_ack",      "resume_request",   "resume_answer"};

template <typename T>
Result<PeerMessage> DecodeAs(const Json& aBody, std::string_view aSource)
{
  auto message = FromJson<T>(aBody, aSource);
  if (!message) {
    return message.as_failure();
  }
  return PeerMessage(std::move(message).value());
}

using Decoder = Result<PeerMessage> (*)(const Json&, std::string_view);

template <std::size_t... Index>
constexpr auto MakeDecoders(std::index_sequence<Index...>)
{
  return std::array<Decoder, sizeof...(Index)>{
    &DecodeAs<std::variant_alternative_t<Index, PeerMessage>>...};
}

constexpr auto kDecoders = MakeDecoders(std::make_index_sequence<kTypes.size()>{});

auto RejectMessage(std::string_view aSource, const char* aDetail)
{
  return Fail(ErrorCode::InvalidInput, "peer_message.decode", std::string(aSource), aDetail);
}

} // namespace

std::span<const EnumName<TransferStatus>> EnumNames(TransferStatus)
{
  static constexpr std::array<EnumName<TransferStatus>, 4> kNames{{
    {TransferStatus::Complete, "complete"},
    {TransferStatus::Partial, "partial"},
    {TransferStatus::Unknown, "unknown"},
    {TransferStatus::Stale, "stale"},
  }};
  return kNames;
}

Bytes EncodePeerMessage(const PeerMessage& aMessage)
{
  Json body = std::visit([](const auto& aAlternative) { return ToJson(aAlternative); }, aMessage);
  return EncodeCbor(Json{{"type", kTypes[aMessage.index()]}, {"body", std::move(body)}});
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> aBytes,
                                      std::string_view aSource)
{
  const auto json = DecodeCbor(aBytes, aSource);
  if (!json) {
    return json.as_failure();
  }
  const Json& message = json.value();
  if (!message.is_object() || message.size() != 2 || !message.contains("type") ||
      !message.contains("body") || !message["type"].is_string()) {
    return RejectMessage(aSource, "expected an object with type and body");
  }
  const auto& type = message["type"].get_ref<const std::string&>();
  for (std::size_t i = 0; i < kTypes.size(); ++i) {
    if (kTypes[i] == type) {
      return kDecoders[i](message["body"], aSource);
    }
  }
  return RejectMessage(aSource, "type: unknown message type");
}

} // namespace dandelionslip
