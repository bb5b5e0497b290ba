// Builds operators' commands from service files.
#include "dandelionslip/Config/Publication.h"

#include "ServiceFileIndex.h"

#include <algorithm>
#include <set>

namespace dandelionslip {

namespace {

bool IsHexadecimal(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') || (aCharacter >= 'a' && aCharacter <= 'f') ||
         (aCharacter >= 'A' && aCharacter <= 'F');
}

bool IsUuid(std::string_view aText)
{
  constexpr std::string_view kPattern = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
  return aText.size() == kPattern.size() &&
         std::equal(aText.begin(), aText.end(), kPattern.begin(), [](char aFound, char aPattern) {
           return aPattern == '-' ? aFound == '-' : IsHexadecimal(aFound);
         });
}

auto Reject(std::string aKey, std::string aDetail)
{
  return Fail(ErrorCode::InvalidInput, "publication.build", std::move(aKey), std::move(aDetail));
}

Result<void> CheckIdentity(const PublicationIdentity& aIdentity)
{
  if (!IsUuid(aIdentity.mPublicationId)) {
    return Reject("publication_id", "found \"" + aIdentity.mPublicationId + "\", expected a UUID");
  }
  if (aIdentity.mOperator.empty()) {
    return Reject("operator", "found no name, expected the operator's name");
  }
  return Ok();
}

Result<void> CheckDeletions(std::span<const ServiceFile> aFiles,
                            std::span<const ServiceDeletion> aDeletions)
{
  std::set<std::string> names;
  for (const ServiceFile& file : aFiles) {
    names.insert(file.mSpec.mName);
  }
  for (const ServiceDeletion& deletion : aDeletions) {
    if (deletion.mExpectedVersion == 0) {
      return Reject(deletion.mName, "found version 0, expected the service's current version");
    }
    if (!names.insert(deletion.mName).second) {
      return Reject(deletion.mName, "found twice, expected one change for each service");
    }
  }
  return Ok();
}

Result<void> CheckFiles(std::span<const ServiceFile> aFiles)
{
  ServiceFileIndex index;
  for (const ServiceFile& file : aFiles) {
    if (auto checked = CheckServiceSpec(file.mSpec, file.mPath); !checked) {
      return checked;
    }
    if (auto added = index.Add(file); !added) {
      return added;
    }
  }
  return Ok();
}

std::vector<ServiceChange> ServiceChanges(std::span<const ServiceFile> aFiles,
                                          std::span<const ServiceDeletion> aDeletions)
{
  std::vector<ServiceChange> changes;
  for (const ServiceFile& file : aFiles) {
    changes.push_back({file.mSpec.mName, file.mSpec.mVersion - 1, file.mSpec});
  }
  for (const ServiceDeletion& deletion : aDeletions) {
    changes.push_back({deletion.mName, deletion.mExpectedVersion, std::nullopt});
  }
  return changes;
}

} // namespace

std::vector<ServiceFile> ChangedServiceFiles(std::span<const ServiceFile> aFiles,
                                             const Configuration& aCurrent)
{
  std::vector<ServiceFile> changed;
  std::copy_if(aFiles.begin(), aFiles.end(), std::back_inserter(changed),
               [&](const ServiceFile& aFile) {
                 const ServiceEntry* entry = aCurrent.FindService(aFile.mSpec.mName);
                 return !entry || entry->mSpec != aFile.mSpec;
               });
  return changed;
}

Result<Command> BuildPublicationCommand(const PublicationIdentity& aIdentity,
                                        std::span<const ServiceFile> aFiles,
                                        std::span<const ServiceDeletion> aDeletions)
{
  if (aFiles.empty() && aDeletions.empty()) {
    return Reject("services", "found no change, expected at least one");
  }
  for (const auto& checked :
       {CheckIdentity(aIdentity), CheckFiles(aFiles), CheckDeletions(aFiles, aDeletions)}) {
    if (!checked) {
      return checked.as_failure();
    }
  }
  Command command;
  command.mPublicationId = aIdentity.mPublicationId;
  command.mOperator = aIdentity.mOperator;
  command.mIssuedMs = aIdentity.mIssuedMs;
  command.mServices = ServiceChanges(aFiles, aDeletions);
  return command;
}

} // namespace dandelionslip
