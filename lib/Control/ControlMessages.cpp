// Decoding of summaries and view updates with limits on their size.
#include "dandelionslip/Control/MemberSummary.h"
#include "dandelionslip/Control/ViewUpdate.h"

namespace dandelionslip {

namespace {

Result<void> CheckCount(const char* aKey, std::size_t aFound, std::string_view aSource)
{
  if (aFound > kMaxListedMembers) {
    return Fail(ErrorCode::LimitExceeded, "decode", std::string(aSource),
                std::string(aKey) + ": found " + std::to_string(aFound) +
                  " entries, expected at most " + std::to_string(kMaxListedMembers));
  }
  return Ok();
}

Result<void> CheckGenerations(const std::map<std::string, ServiceView>& aServices,
                              std::string_view aSource)
{
  for (const auto& [name, service] : aServices) {
    if (service.mGenerations.size() > kMaxGenerations) {
      return Fail(ErrorCode::LimitExceeded, "decode", std::string(aSource),
                  "services." + name + ".generations: found " +
                    std::to_string(service.mGenerations.size()) + ", expected at most " +
                    std::to_string(kMaxGenerations));
    }
    for (const Generation& generation : service.mGenerations) {
      if (auto check = CheckCount("generation members", generation.mMembers.size(), aSource);
          !check) {
        return check;
      }
    }
  }
  return Ok();
}

template <typename T>
Result<T> DecodeBounded(std::span<const std::uint8_t> aBytes, std::string_view aSource)
{
  if (aBytes.size() > kMaxControlMessageBytes) {
    return Fail(ErrorCode::LimitExceeded, "decode", std::string(aSource),
                "found " + std::to_string(aBytes.size()) + " bytes, expected at most " +
                  std::to_string(kMaxControlMessageBytes));
  }
  return FromCbor<T>(aBytes, aSource);
}

Result<void> CheckParts(const std::map<std::string, Member>& aMembers,
                        const std::map<std::string, ServiceView>& aServices,
                        std::string_view aSource)
{
  if (auto check = CheckCount("members", aMembers.size(), aSource); !check) {
    return check;
  }
  if (auto check = CheckCount("services", aServices.size(), aSource); !check) {
    return check;
  }
  return CheckGenerations(aServices, aSource);
}

Result<void> CheckSummary(const MemberSummary& aSummary, std::string_view aSource)
{
  if (auto check = CheckCount("changed", aSummary.mChanged.size(), aSource); !check) {
    return check;
  }
  if (auto check = CheckCount("detached", aSummary.mDetached.size(), aSource); !check) {
    return check;
  }
  // LeaseTable::Renew checks each announcement, so that an invalid one costs no other node its
  // lease.
  return aSummary.mView ? CheckParts(aSummary.mView->mMembers, aSummary.mView->mServices, aSource)
                        : Result<void>(Ok());
}

Result<void> CheckUpdate(const ViewUpdate& aUpdate, std::string_view aSource)
{
  if (aUpdate.mView && aUpdate.mDifference) {
    return Fail(ErrorCode::InvalidInput, "decode", std::string(aSource),
                "view, difference: found both, expected at most one");
  }
  if (aUpdate.mView) {
    return CheckParts(aUpdate.mView->mMembers, aUpdate.mView->mServices, aSource);
  }
  if (!aUpdate.mDifference) {
    return Ok();
  }
  const ViewDifference& difference = *aUpdate.mDifference;
  if (auto check = CheckCount("removed_members", difference.mRemovedMembers.size(), aSource);
      !check) {
    return check;
  }
  return CheckParts(difference.mMembers, difference.mServices, aSource);
}

} // namespace

Result<MemberSummary> DecodeMemberSummary(std::span<const std::uint8_t> aBytes,
                                          std::string_view aSource)
{
  auto summary = DecodeBounded<MemberSummary>(aBytes, aSource);
  if (!summary) {
    return summary;
  }
  if (auto check = CheckSummary(summary.value(), aSource); !check) {
    return check.as_failure();
  }
  return summary;
}

Result<ViewUpdate> DecodeViewUpdate(std::span<const std::uint8_t> aBytes, std::string_view aSource)
{
  auto update = DecodeBounded<ViewUpdate>(aBytes, aSource);
  if (!update) {
    return update;
  }
  if (auto check = CheckUpdate(update.value(), aSource); !check) {
    return check.as_failure();
  }
  return update;
}

} // namespace dandelionslip
