// Differences between maps, from which view and configuration differences are built.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// Adds the entries of aTo that are new or differ from those of aFrom to aChanged, and the names
/// that only aFrom has to aRemoved.
template <typename T>
void CollectChanges(const std::map<std::string, T>& aFrom, const std::map<std::string, T>& aTo,
                    std::map<std::string, T>& aChanged, std::vector<std::string>& aRemoved)
{
  for (const auto& [name, value] : aTo) {
    const auto before = aFrom.find(name);
    if (before == aFrom.end() || !(before->second == value)) {
      aChanged.emplace(name, value);
    }
  }
  for (const auto& [name, value] : aFrom) {
    if (!aTo.contains(name)) {
      aRemoved.push_back(name);
    }
  }
}

/// Adds the changes of the next difference to aChanged and aRemoved.
template <typename T>
void MergeChanges(std::map<std::string, T>& aChanged, std::vector<std::string>& aRemoved,
                  const std::map<std::string, T>& aNextChanged,
                  const std::vector<std::string>& aNextRemoved)
{
  for (const std::string& name : aNextRemoved) {
    aChanged.erase(name);
    if (std::find(aRemoved.begin(), aRemoved.end(), name) == aRemoved.end()) {
      aRemoved.push_back(name);
    }
  }
  for (const auto& [name, value] : aNextChanged) {
    std::erase(aRemoved, name);
    aChanged.insert_or_assign(name, value);
  }
}

/// Applies changes to a map. A removed name may be absent from the map, because a merged difference
/// also lists names that were added and removed again in between.
template <typename T>
void ApplyChanges(std::map<std::string, T>& aTarget, const std::map<std::string, T>& aChanged,
                  const std::vector<std::string>& aRemoved)
{
  for (const std::string& name : aRemoved) {
    aTarget.erase(name);
  }
  for (const auto& [name, value] : aChanged) {
    aTarget.insert_or_assign(name, value);
  }
}

/// Checks that a difference starts at aRevision and ends at a higher revision.
inline Result<void> CheckDifference(std::uint64_t aRevision, std::uint64_t aFrom, std::uint64_t aTo,
                                    const char* aStep)
{
  if (aTo <= aFrom) {
    return Fail(ErrorCode::InvalidInput, aStep, "",
                "from: found " + std::to_string(aFrom) + ", expected less than " +
                  std::to_string(aTo));
  }
  if (aFrom != aRevision) {
    return Fail(ErrorCode::Conflict, aStep, "",
                "from: found " + std::to_string(aFrom) + ", expected the held revision " +
                  std::to_string(aRevision));
  }
  return Ok();
}

} // namespace dandelionslip
