// CBOR encoding of the messages between replicas.
#include "dandelionslip/Control/RaftMessage.h"

#include <array>

namespace dandelionslip {

namespace {

// Names of the alternatives of RaftBody, in their order.
constexpr std::array<std::string_view, std::variant_size_v<RaftBody>> kKinds{
  "pre_vote", "pre_vote_answer", "vote",        "vote_answer", "append", "append_answer",
  "snapshot", "snapshot_answer", "timeout_now", "refusal"};

struct Envelope
{
  std::string mKind;
  RaftMessage mMessage;
  Json mBody;
};

template <typename V>
void DescribeFields(V& aVisitor, Envelope& aValue)
{
  aVisitor.Field("kind", aValue.mKind);
  aVisitor.Field("from", aValue.mMessage.mFrom);
  aVisitor.Field("to", aValue.mMessage.mTo);
  aVisitor.Field("term", aValue.mMessage.mTerm);
  aVisitor.Field("from_store", aValue.mMessage.mFromStore);
  aVisitor.Field("from_blank", aValue.mMessage.mFromEmptyLog);
  aVisitor.Field("to_store", aValue.mMessage.mToStore);
  aVisitor.Optional("from_address", aValue.mMessage.mFromAddress);
  aVisitor.Field("body", aValue.mBody);
}

using BodyDecoder = Result<RaftBody> (*)(const Json&, std::string_view);

template <typename T>
Result<RaftBody> DecodeBody(const Json& aBody, std::string_view aSource)
{
  auto body = FromJson<T>(aBody, aSource);
  if (!body) {
    return body.as_failure();
  }
  return RaftBody(std::move(body).value());
}

template <std::size_t... Is>
constexpr auto MakeDecoders(std::index_sequence<Is...> /*aAlternatives*/)
{
  return std::array<BodyDecoder, sizeof...(Is)>{
    &DecodeBody<std::variant_alternative_t<Is, RaftBody>>...};
}

constexpr auto kDecoders = MakeDecoders(std::make_index_sequence<kKinds.size()>());

} // namespace

Bytes EncodeRaftMessage(const RaftMessage& aMessage)
{
  Envelope envelope;
  envelope.mKind = kKinds.at(aMessage.mBody.index());
  envelope.mBody = std::visit([](const auto& aBody) { return ToJson(aBody); }, aMessage.mBody);
  envelope.mMessage.mFrom = aMessage.mFrom;
  envelope.mMessage.mTo = aMessage.mTo;
  envelope.mMessage.mTerm = aMessage.mTerm;
  envelope.mMessage.mFromStore = aMessage.mFromStore;
  envelope.mMessage.mFromEmptyLog = aMessage.mFromEmptyLog;
  envelope.mMessage.mToStore = aMessage.mToStore;
  envelope.mMessage.mFromAddress = aMessage.mFromAddress;
  return ToCbor(envelope);
}

Result<RaftMessage> DecodeRaftMessage(std::span<const std::uint8_t> aBytes,
                                      std::string_view aSource)
{
  auto envelope = FromCbor<Envelope>(aBytes, aSource);
  if (!envelope) {
    return envelope.as_failure();
  }
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    if (kKinds.at(i) != envelope.value().mKind) {
      continue;
    }
    auto body = kDecoders.at(i)(envelope.value().mBody, aSource);
    if (!body) {
      return body.as_failure();
    }
    RaftMessage message = std::move(envelope.value().mMessage);
    message.mBody = std::move(body).value();
    return message;
  }
  return Fail(ErrorCode::InvalidInput, "decode", std::string(aSource),
              "kind: found \"" + envelope.value().mKind + "\", expected a raft message kind");
}

} // namespace dandelionslip
