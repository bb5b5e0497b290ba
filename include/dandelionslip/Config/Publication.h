// Builds operators' commands from service files.
#pragma once

#include "dandelionslip/Config/ServiceFiles.h"
#include "dandelionslip/Model/Command.h"

#include <span>
#include <string>
#include <vector>

namespace dandelionslip {

/// Who publishes, when, and with which id.
struct PublicationIdentity
{
  std::string mPublicationId; ///< UUID in its 36-character text form.
  std::string mOperator;
  std::int64_t mIssuedMs = 0; ///< Wall-clock milliseconds since 1970.

  bool operator==(const PublicationIdentity&) const = default;
};

/// A service to delete, and the version that the operator expects to be current.
struct ServiceDeletion
{
  std::string mName;
  std::uint64_t mExpectedVersion = 0;

  bool operator==(const ServiceDeletion&) const = default;
};

/// The files whose declaration differs from the current configuration.
std::vector<ServiceFile> ChangedServiceFiles(std::span<const ServiceFile> aFiles,
                                             const Configuration& aCurrent);

/// Builds one command, which is applied atomically. Each service file expects the current version
/// to be its own version minus one. Errors (InvalidInput): malformed publication id, no operator,
/// no change, a service named twice, an address used by two services, a deletion without a version.
Result<Command> BuildPublicationCommand(const PublicationIdentity& aIdentity,
                                        std::span<const ServiceFile> aFiles,
                                        std::span<const ServiceDeletion> aDeletions = {});

} // namespace dandelionslip
