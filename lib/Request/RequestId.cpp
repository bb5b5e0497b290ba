// Parsing, generating and hashing of request ids.
#include "dandelionslip/Request/RequestId.h"

#include "dandelionslip/Support/Hash.h"

namespace dandelionslip {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kTimestampBytes = 6;
constexpr std::size_t kVersionByte = 6;
constexpr std::size_t kVariantByte = 8;
constexpr std::uint8_t kVersion7 = 0x70;
constexpr std::uint8_t kVariantRfc = 0x80;
constexpr std::string_view kDigits = "0123456789abcdef";

bool IsDashPosition(std::size_t aPosition)
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 || aPosition == 23;
}

// The value of a hexadecimal digit, or -1.
int DigitValue(char aDigit)
{
  const char lower =
    aDigit >= 'A' && aDigit <= 'F' ? static_cast<char>(aDigit - 'A' + 'a') : aDigit;
  const std::size_t found = kDigits.find(lower);
  return found == std::string_view::npos ? -1 : static_cast<int>(found);
}

auto BadId(std::string_view aText, const char* aExpected)
{
  return Fail(ErrorCode::InvalidInput, "request_id.parse", "",
              "found \"" + std::string(aText.substr(0, kTextLength)) + "\", expected " + aExpected);
}

} // namespace

Result<RequestId> RequestId::Parse(std::string_view aText)
{
  if (aText.size() != kTextLength) {
    return BadId(aText, "36 characters");
  }
  RequestId id;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (IsDashPosition(i)) {
      if (aText[i] != '-') {
        return BadId(aText, "dashes after 8, 12, 16 and 20 digits");
      }
      continue;
    }
    const int value = DigitValue(aText[i]);
    if (value < 0) {
      return BadId(aText, "hexadecimal digits");
    }
    std::uint8_t& byte = id.mBytes[digits / 2];
    byte = static_cast<std::uint8_t>((byte << 4U) | static_cast<unsigned>(value));
    ++digits;
  }
  if ((id.mBytes[kVersionByte] & 0xF0U) != kVersion7) {
    return BadId(aText, "a UUID of version 7");
  }
  if ((id.mBytes[kVariantByte] & 0xC0U) != kVariantRfc) {
    return BadId(aText, "a UUID of the RFC 9562 variant");
  }
  return id;
}

RequestId RequestId::Make(std::int64_t aWallMs, Random& aRandom)
{
  RequestId id;
  const std::uint64_t high = aRandom.Next();
  const std::uint64_t low = aRandom.Next();
  for (std::size_t i = 0; i < kTimestampBytes; ++i) {
    id.mBytes[i] = static_cast<std::uint8_t>(static_cast<std::uint64_t>(aWallMs) >> (40U - 8U * i));
  }
  id.mBytes[kVersionByte] = static_cast<std::uint8_t>(kVersion7 | (high & 0x0FU));
  id.mBytes[kVersionByte + 1] = static_cast<std::uint8_t>(high >> 8U);
  for (std::size_t i = kVariantByte; i < id.mBytes.size(); ++i) {
    id.mBytes[i] = static_cast<std::uint8_t>(low >> (8U * (i - kVariantByte)));
  }
  id.mBytes[kVariantByte] =
    static_cast<std::uint8_t>(kVariantRfc | (id.mBytes[kVariantByte] & 0x3FU));
  return id;
}

std::int64_t RequestId::TimestampMs() const
{
  std::int64_t value = 0;
  for (std::size_t i = 0; i < kTimestampBytes; ++i) {
    value = (value << 8) | mBytes[i];
  }
  return value;
}

std::uint64_t RequestId::Hash() const
{
  return Hash64(std::span<const std::uint8_t>(mBytes));
}

std::string RequestId::ToString() const
{
  std::string text;
  text.reserve(kTextLength);
  for (const std::uint8_t byte : mBytes) {
    if (IsDashPosition(text.size())) {
      text += '-';
    }
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0x0FU];
  }
  return text;
}

} // namespace dandelionslip
