// Codec of load reports.
#include "dandelionslip/Packet/LoadReport.h"

#include <array>
#include <limits>

namespace dandelionslip {

namespace {

constexpr std::size_t kTexts = 2;

constexpr std::array<bool LoadReport::*, 4> kFlags{&LoadReport::mAccepts, &LoadReport::mCold,
                                                   &LoadReport::mFinished, &LoadReport::mStarting};

constexpr std::array<std::uint32_t LoadReport::*, 6> kNumbers{
  &LoadReport::mFlows,           &LoadReport::mRequests,
  &LoadReport::mSlots,           &LoadReport::mMilliRequestsPerSlotSecond,
  &LoadReport::mOpeningsAllowed, &LoadReport::mOpeningsPerSecond};

// The texts, one number with the flags as bits, kNumbers, mColdLeft, and mConfirmedAgentsDigest,
// which is the only 64-bit field. The unseen holders follow, one number each.
constexpr std::size_t kFields = kTexts + 1 + kNumbers.size() + 2;

constexpr unsigned kPortBits = 16;
constexpr std::uint64_t kMaxEndpoint = (std::uint64_t{1} << 48U) - 1;

std::uint64_t ToNumber(const Endpoint& aEndpoint)
{
  return std::uint64_t{aEndpoint.V4Address()} << kPortBits | aEndpoint.mPort;
}

Endpoint ToEndpoint(std::uint64_t aNumber)
{
  return Endpoint::FromV4(static_cast<std::uint32_t>(aNumber >> kPortBits),
                          static_cast<std::uint16_t>(aNumber));
}

bool IsNumber(const Json& aValue, std::uint64_t aLimit)
{
  return aValue.is_number_unsigned() && aValue.get<std::uint64_t>() <= aLimit;
}

// Fields of the details: flags, room, busy share, verdict, its age, admitted share, start time.
constexpr std::size_t kDetailFields = 7;
constexpr std::uint64_t kMaxVerdict = static_cast<std::uint64_t>(UpstreamVerdict::Returning);
constexpr std::uint64_t kMaxPermille = 1'000;

Json EncodeDetails(const LoadDetails& aDetails)
{
  return Json::array({aDetails.mOneRequestPerFlow ? 1U : 0U, aDetails.mRoom, aDetails.mBusyPermille,
                      static_cast<std::uint32_t>(aDetails.mVerdict),
                      static_cast<std::uint32_t>(aDetails.mVerdictAge.count()),
                      aDetails.mAdmittedPermille,
                      static_cast<std::uint64_t>(aDetails.mUpstreamStartedMs)});
}

// Empty if the details are malformed. Further fields, of later formats, are ignored.
std::optional<LoadDetails> DecodeDetails(const Json& aFields)
{
  constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint64_t kMaxStart = std::numeric_limits<std::int64_t>::max();
  if (!aFields.is_array() || aFields.size() < kDetailFields) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kDetailFields; ++i) {
    if (!IsNumber(aFields[i], i + 1 == kDetailFields ? kMaxStart : kMax32)) {
      return std::nullopt;
    }
  }
  const auto verdict = aFields[3].get<std::uint64_t>();
  if (verdict > kMaxVerdict || aFields[5].get<std::uint64_t>() > kMaxPermille) {
    return std::nullopt;
  }
  LoadDetails details;
  details.mOneRequestPerFlow = (aFields[0].get<std::uint32_t>() & 1U) != 0;
  details.mRoom = aFields[1].get<std::uint32_t>();
  details.mBusyPermille = aFields[2].get<std::uint32_t>();
  details.mVerdict = static_cast<UpstreamVerdict>(verdict);
  details.mVerdictAge = Milliseconds(aFields[4].get<std::uint32_t>());
  details.mAdmittedPermille = aFields[5].get<std::uint32_t>();
  details.mUpstreamStartedMs = aFields[6].get<std::int64_t>();
  return details;
}

} // namespace

Bytes LoadReport::Encode() const
{
  std::uint32_t flags = 0;
  for (std::size_t i = 0; i < kFlags.size(); ++i) {
    flags |= (this->*kFlags[i] ? 1U : 0U) << i;
  }
  Json fields = Json::array({mService, mDataCentre, flags});
  for (const auto member : kNumbers) {
    fields.push_back(this->*member);
  }
  fields.push_back(static_cast<std::uint32_t>(mColdLeft.count()));
  fields.push_back(mConfirmedAgentsDigest);
  for (const Endpoint& holder : mUnseenHolders) {
    fields.push_back(ToNumber(holder));
  }
  if (mDetails) {
    fields.push_back(EncodeDetails(*mDetails));
  }
  return EncodeCbor(fields);
}

Result<LoadReport> LoadReport::Decode(std::span<const std::uint8_t> aBytes)
{
  const auto fields = DecodeCbor(aBytes, "load report");
  if (!fields) {
    return fields.as_failure();
  }
  const Json& json = fields.value();
  const bool hasDetails = json.is_array() && !json.empty() && json.back().is_array();
  const std::optional<LoadDetails> details =
    hasDetails ? DecodeDetails(json.back()) : std::optional<LoadDetails>();
  const std::size_t size = json.size() - (hasDetails ? 1 : 0);
  bool valid = json.is_array() && hasDetails == details.has_value() && size >= kFields &&
               size <= kFields + kMaxUnseenHolders && json[0].is_string() && json[1].is_string();
  for (std::size_t i = kTexts; valid && i < kFields; ++i) {
    valid = IsNumber(json[i], i + 1 == kFields ? std::numeric_limits<std::uint64_t>::max()
                                               : std::numeric_limits<std::uint32_t>::max());
  }
  for (std::size_t i = kFields; valid && i < size; ++i) {
    valid = IsNumber(json[i], kMaxEndpoint);
  }
  if (!valid) {
    return Fail(ErrorCode::InvalidInput, "load_report.decode", "",
                "expected an array of two strings and " + std::to_string(kFields - kTexts) +
                  " unsigned numbers, up to " + std::to_string(kMaxUnseenHolders) +
                  " endpoints, and in format 2 an array of " + std::to_string(kDetailFields) +
                  " unsigned numbers");
  }
  LoadReport report;
  report.mService = json[0].get<std::string>();
  report.mDataCentre = json[1].get<std::string>();
  const auto flags = json[kTexts].get<std::uint32_t>();
  for (std::size_t i = 0; i < kFlags.size(); ++i) {
    report.*kFlags[i] = (flags >> i & 1U) != 0;
  }
  for (std::size_t i = 0; i < kNumbers.size(); ++i) {
    report.*kNumbers[i] = json[kTexts + 1 + i].get<std::uint32_t>();
  }
  report.mColdLeft = Milliseconds(json[kFields - 2].get<std::uint32_t>());
  report.mConfirmedAgentsDigest = json[kFields - 1].get<std::uint64_t>();
  for (std::size_t i = kFields; i < size; ++i) {
    report.mUnseenHolders.push_back(ToEndpoint(json[i].get<std::uint64_t>()));
  }
  report.mDetails = details;
  return report;
}

} // namespace dandelionslip
