// Encoding, validation and decoding of datagrams between balancers and agents.
#include "dandelionslip/Net/DatagramHeader.h"

#include "ByteOrder.h"
#include "dandelionslip/Support/Hash.h"

namespace dandelionslip {

namespace {

constexpr std::uint32_t kMagic = 0x44534c50; // "DSLP"
constexpr std::uint8_t kVersion = 1;
// The checksum is the last field and covers all bytes before it.
constexpr std::size_t kChecksummedSize = kDatagramHeaderSize - sizeof(std::uint64_t);
constexpr std::uint8_t kOpeningFlag = 1;
constexpr std::uint8_t kRedirectedFlag = 2;
constexpr std::uint8_t kLeaseValidFlag = 4;
constexpr std::uint8_t kAllFlags = kOpeningFlag | kRedirectedFlag | kLeaseValidFlag;

std::uint8_t FlagsOf(const DatagramHeader& aHeader)
{
  return static_cast<std::uint8_t>((aHeader.mOpening ? kOpeningFlag : 0) |
                                   (aHeader.mRedirected ? kRedirectedFlag : 0) |
                                   (aHeader.mLeaseValid ? kLeaseValidFlag : 0));
}

void WriteEndpoint(ByteWriter& aWriter, const Endpoint& aEndpoint)
{
  aWriter.WriteBytes(aEndpoint.mAddress);
  aWriter.WriteInteger(aEndpoint.mPort);
}

Endpoint ReadEndpoint(ByteReader& aReader)
{
  Endpoint endpoint;
  aReader.ReadBytes(endpoint.mAddress);
  endpoint.mPort = aReader.ReadInteger<std::uint16_t>();
  return endpoint;
}

auto DecodeFailure(ErrorCode aCode, std::string aDetail)
{
  return Fail(aCode, "datagram.decode", "", std::move(aDetail));
}

DatagramHeader ReadFields(ByteReader& aReader, std::uint8_t aKind, std::uint8_t aFlags)
{
  DatagramHeader header;
  header.mKind = static_cast<DatagramKind>(aKind);
  header.mOpening = (aFlags & kOpeningFlag) != 0;
  header.mRedirected = (aFlags & kRedirectedFlag) != 0;
  header.mLeaseValid = (aFlags & kLeaseValidFlag) != 0;
  header.mHops = aReader.ReadInteger<std::uint8_t>();
  header.mServiceId = aReader.ReadInteger<std::uint64_t>();
  header.mViewRevision = aReader.ReadInteger<std::uint64_t>();
  header.mGeneration = aReader.ReadInteger<std::uint32_t>();
  header.mFlowHash = aReader.ReadInteger<std::uint64_t>();
  header.mCaller = ReadEndpoint(aReader);
  header.mService = ReadEndpoint(aReader);
  header.mBalancer = ReadEndpoint(aReader);
  return header;
}

} // namespace

std::array<std::uint8_t, kDatagramHeaderSize> EncodeDatagramHeader(const DatagramHeader& aHeader)
{
  std::array<std::uint8_t, kDatagramHeaderSize> bytes{};
  ByteWriter writer(bytes.data());
  writer.WriteInteger(kMagic);
  writer.WriteInteger(kVersion);
  writer.WriteInteger(static_cast<std::uint8_t>(aHeader.mKind));
  writer.WriteInteger(FlagsOf(aHeader));
  writer.WriteInteger(aHeader.mHops);
  writer.WriteInteger(aHeader.mServiceId);
  writer.WriteInteger(aHeader.mViewRevision);
  writer.WriteInteger(aHeader.mGeneration);
  writer.WriteInteger(aHeader.mFlowHash);
  WriteEndpoint(writer, aHeader.mCaller);
  WriteEndpoint(writer, aHeader.mService);
  WriteEndpoint(writer, aHeader.mBalancer);
  writer.WriteInteger(Hash64(std::span(bytes).first(kChecksummedSize)));
  return bytes;
}

Result<DecodedDatagram> DecodeDatagram(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() < kDatagramHeaderSize ||
      aBytes.size() > kDatagramHeaderSize + kMaxDatagramPayload) {
    return DecodeFailure(ErrorCode::InvalidInput,
                         "length " + std::to_string(aBytes.size()) + " is out of range");
  }
  ByteReader reader(aBytes.data());
  if (reader.ReadInteger<std::uint32_t>() != kMagic) {
    return DecodeFailure(ErrorCode::InvalidInput, "wrong magic");
  }
  if (const auto version = reader.ReadInteger<std::uint8_t>(); version != kVersion) {
    return DecodeFailure(ErrorCode::InvalidInput, "version " + std::to_string(version) +
                                                    ", expected " + std::to_string(kVersion));
  }
  ByteReader checksum(aBytes.data() + kChecksummedSize);
  if (checksum.ReadInteger<std::uint64_t>() != Hash64(aBytes.first(kChecksummedSize))) {
    return DecodeFailure(ErrorCode::Corrupt, "wrong checksum");
  }
  const auto kind = reader.ReadInteger<std::uint8_t>();
  const auto flags = reader.ReadInteger<std::uint8_t>();
  if (kind < static_cast<std::uint8_t>(DatagramKind::Forward) ||
      kind > static_cast<std::uint8_t>(DatagramKind::StateProbeAnswer)) {
    return DecodeFailure(ErrorCode::InvalidInput, "unknown kind " + std::to_string(kind));
  }
  if ((flags & ~kAllFlags) != 0) {
    return DecodeFailure(ErrorCode::InvalidInput, "unknown flags " + std::to_string(flags));
  }
  return DecodedDatagram{ReadFields(reader, kind, flags), aBytes.subspan(kDatagramHeaderSize)};
}

} // namespace dandelionslip
