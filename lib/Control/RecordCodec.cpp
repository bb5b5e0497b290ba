// Encoding of records in segments and small files.
#include "RecordCodec.h"

#include "dandelionslip/Support/Hash.h"

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

template <typename T>
void AppendLittleEndian(Bytes& aOut, T aValue)
{
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    aOut.push_back(static_cast<std::uint8_t>(aValue >> (i * kBitsPerByte)));
  }
}

template <typename T>
T ReadLittleEndian(std::span<const std::uint8_t> aBytes)
{
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<T>(aBytes[i]) << (i * kBitsPerByte));
  }
  return value;
}

std::uint32_t LengthChecksum(std::span<const std::uint8_t> aLength)
{
  return static_cast<std::uint32_t>(Hash64(aLength));
}

bool AllZero(std::span<const std::uint8_t> aBytes)
{
  return std::all_of(aBytes.begin(), aBytes.end(), [](std::uint8_t aByte) { return aByte == 0; });
}

} // namespace

Bytes EncodeRecord(std::span<const std::uint8_t> aPayload)
{
  Bytes out;
  out.reserve(kRecordHeaderBytes + aPayload.size());
  AppendLittleEndian(out, static_cast<std::uint32_t>(aPayload.size()));
  AppendLittleEndian(out, LengthChecksum(out));
  AppendLittleEndian(out, Hash64(aPayload, aPayload.size()));
  out.insert(out.end(), aPayload.begin(), aPayload.end());
  return out;
}

RecordView ReadRecord(std::span<const std::uint8_t> aFile, std::uint64_t aOffset)
{
  const auto rest = aFile.subspan(aOffset);
  if (rest.size() < kRecordHeaderBytes) {
    return {RecordStatus::Incomplete, {}, aFile.size(), "record header is incomplete"};
  }
  // After a crash, a file may end in zeros: some file systems extend the file before they write the
  // data.
  if (AllZero(rest)) {
    return {RecordStatus::Incomplete, {}, aFile.size(), "only zeros up to the end of the file"};
  }
  const auto length = ReadLittleEndian<std::uint32_t>(rest);
  if (ReadLittleEndian<std::uint32_t>(rest.subspan(kLengthBytes)) !=
        LengthChecksum(rest.first(kLengthBytes)) ||
      length > kMaxRecordBytes) {
    return {RecordStatus::Corrupt, {}, aOffset, "record length is invalid"};
  }
  if (rest.size() - kRecordHeaderBytes < length) {
    return {RecordStatus::Incomplete, {}, aFile.size(), "record is incomplete"};
  }
  const auto payload = rest.subspan(kRecordHeaderBytes, length);
  if (ReadLittleEndian<std::uint64_t>(rest.subspan(2 * kLengthBytes)) != Hash64(payload, length)) {
    return {RecordStatus::Corrupt, {}, aOffset, "record checksum does not match"};
  }
  return {RecordStatus::Complete, payload, aOffset + kRecordHeaderBytes + length, {}};
}

} // namespace dandelionslip
