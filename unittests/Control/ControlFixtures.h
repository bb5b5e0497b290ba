// Builders of commands, announcements and configurations for the control tests.
#pragma once

#include "dandelionslip/Control/ConfigurationStore.h"
#include "dandelionslip/Control/LeaseTable.h"

#include <string>

namespace dandelionslip {

inline const TimePoint kTestStart{std::chrono::hours(1)};

/// The prefix followed by the number.
std::string Numbered(const char* aPrefix, std::uint64_t aNumber);

std::string PublicationId(std::uint64_t aNumber);

ServiceSpec TestSpec(const std::string& aName, std::uint64_t aVersion, const std::string& aAddress);

/// A command that publishes one service and expects the version before that of the spec.
Command PublishCommand(std::uint64_t aId, const ServiceSpec& aSpec, std::int64_t aIssuedMs = 1'000);

Command DeleteCommand(std::uint64_t aId, const std::string& aName, std::uint64_t aVersion);

/// An agent of service "planner" in data centre "klang-a".
Announcement AgentAnnouncement(const std::string& aName, std::uint64_t aIncarnation = 1,
                               MemberState aState = MemberState::Serving,
                               std::uint32_t aWeight = kFullWeight);

/// A configuration with service "planner".
Configuration PlannerConfiguration();

} // namespace dandelionslip
