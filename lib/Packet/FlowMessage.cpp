// Codec of the payload that names flows.
#include "dandelionslip/Packet/FlowMessage.h"

#include <boost/endian/conversion.hpp>

namespace dandelionslip {

namespace {

// The difference from earlier formats is no multiple of kFlowBytes, so that their decoders reject
// it.
constexpr std::size_t kHeaderBytes = 22;
constexpr std::size_t kFlowBytes = 12;

using boost::endian::load_big_u16;
using boost::endian::load_big_u32;
using boost::endian::load_big_u64;
using boost::endian::store_big_u16;
using boost::endian::store_big_u32;
using boost::endian::store_big_u64;

void EncodeFlow(const FlowKey& aFlow, std::uint8_t* aOut)
{
  store_big_u32(aOut, aFlow.mCallerAddress);
  store_big_u16(aOut + 4, aFlow.mCallerPort);
  store_big_u16(aOut + 6, aFlow.mServicePort);
  store_big_u32(aOut + 8, aFlow.mServiceAddress);
}

FlowKey DecodeFlow(const std::uint8_t* aIn)
{
  return {load_big_u32(aIn), load_big_u16(aIn + 4), load_big_u16(aIn + 6), load_big_u32(aIn + 8)};
}

} // namespace

std::vector<std::uint8_t> FlowMessage::Encode() const
{
  std::vector<std::uint8_t> bytes(kHeaderBytes + mFlows.size() * kFlowBytes);
  store_big_u32(bytes.data(), mHolder.V4Address());
  store_big_u16(bytes.data() + 4, mHolder.mPort);
  store_big_u64(bytes.data() + 6, mAgentsDigest);
  store_big_u32(bytes.data() + 14, mNumber);
  store_big_u32(bytes.data() + 18, mSequence);
  std::uint8_t* out = bytes.data() + kHeaderBytes;
  for (const FlowKey& flow : mFlows) {
    EncodeFlow(flow, out);
    out += kFlowBytes;
  }
  return bytes;
}

Result<FlowMessage> FlowMessage::Decode(std::span<const std::uint8_t> aBytes)
{
  const std::size_t rest = aBytes.size() < kHeaderBytes ? 0 : aBytes.size() - kHeaderBytes;
  if (rest == 0 || rest % kFlowBytes != 0 || rest / kFlowBytes > kMaxFlows) {
    return Fail(ErrorCode::InvalidInput, "flow_message.decode", "",
                "found " + std::to_string(aBytes.size()) +
                  " bytes, expected 22 bytes and 1 to 80 flows of 12 bytes");
  }
  FlowMessage message;
  message.mHolder = Endpoint::FromV4(load_big_u32(aBytes.data()), load_big_u16(aBytes.data() + 4));
  message.mAgentsDigest = load_big_u64(aBytes.data() + 6);
  message.mNumber = load_big_u32(aBytes.data() + 14);
  message.mSequence = load_big_u32(aBytes.data() + 18);
  for (std::size_t at = kHeaderBytes; at < aBytes.size(); at += kFlowBytes) {
    message.mFlows.push_back(DecodeFlow(aBytes.data() + at));
  }
  return message;
}

} // namespace dandelionslip
