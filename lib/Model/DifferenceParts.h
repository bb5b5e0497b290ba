// Differences between maps, shared by the differences of views and configurations.
#pragma once

#include "dandelionslip/Support/Error.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// Entries of aTo that are new or different go to aChanged, names that only aFrom has to aRemoved.
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

/// Extends one step's changes by those of the next step.
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

/// Applies changes to a map. A removed name may be absent: it was added and removed again between
/// the two ends of a merged difference.
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

/// Checks that a difference starts at aRevision and leads to a higher one.
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
