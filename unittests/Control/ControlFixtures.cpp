// Builders of commands, announcements and configurations for the control tests.
#include "ControlFixtures.h"

#include <array>
#include <cstdio>

namespace dandelionslip {

std::string Numbered(const char* aPrefix, std::uint64_t aNumber)
{
  return std::string(aPrefix).append(std::to_string(aNumber));
}

std::string PublicationId(std::uint64_t aNumber)
{
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(), "00000000-0000-4000-8000-%012llx",
                static_cast<unsigned long long>(aNumber));
  return text.data();
}

ServiceSpec TestSpec(const std::string& aName, std::uint64_t aVersion, const std::string& aAddress)
{
  ServiceSpec spec;
  spec.mName = aName;
  spec.mVersion = aVersion;
  spec.mAddresses = {aAddress};
  return spec;
}

Command PublishCommand(std::uint64_t aId, const ServiceSpec& aSpec, std::int64_t aIssuedMs)
{
  Command command;
  command.mPublicationId = PublicationId(aId);
  command.mOperator = "operator-" + std::to_string(aId);
  command.mIssuedMs = aIssuedMs;
  command.mServices.push_back({aSpec.mName, aSpec.mVersion - 1, aSpec});
  return command;
}

Command DeleteCommand(std::uint64_t aId, const std::string& aName, std::uint64_t aVersion)
{
  Command command;
  command.mPublicationId = PublicationId(aId);
  command.mIssuedMs = 1'000;
  command.mServices.push_back({aName, aVersion, std::nullopt});
  return command;
}

Announcement AgentAnnouncement(const std::string& aName, std::uint64_t aIncarnation,
                               MemberState aState, std::uint32_t aWeight)
{
  Announcement announcement;
  announcement.mMember.mName = aName;
  announcement.mMember.mService = "planner";
  announcement.mMember.mDataCentre = "klang-a";
  announcement.mMember.mIncarnation = aIncarnation;
  announcement.mMember.mState = aState;
  announcement.mWeight = aWeight;
  return announcement;
}

Configuration PlannerConfiguration()
{
  Configuration configuration;
  configuration.mRevision = 1;
  configuration.mServices["planner"] = {1, TestSpec("planner", 1, "192.0.2.1:80")};
  return configuration;
}

} // namespace dandelionslip
