// Detects service files that declare the same service or use the same address.
#include "ServiceFileIndex.h"

namespace dandelionslip {

Result<void> ServiceFileIndex::Add(const ServiceFile& aFile)
{
  const auto conflicts = AddAll(aFile);
  if (conflicts.empty()) {
    return Ok();
  }
  return Fail(ErrorCode::InvalidInput, "service.collect", aFile.mPath,
              conflicts.front().mKey + ": " + conflicts.front().mDetail);
}

std::vector<ServiceFileConflict> ServiceFileIndex::AddAll(const ServiceFile& aFile)
{
  std::vector<ServiceFileConflict> conflicts;
  if (const auto [entry, isNew] = mPathByName.emplace(aFile.mSpec.mName, aFile.mPath); !isNew) {
    conflicts.push_back({"service", "found \"" + aFile.mSpec.mName +
                                      "\", which is also declared in " + entry->second});
  }
  for (std::size_t i = 0; i < aFile.mSpec.mAddresses.size(); ++i) {
    const std::string& text = aFile.mSpec.mAddresses[i];
    const std::string key = "addresses[" + std::to_string(i) + "]";
    // Compares parsed addresses, because an IPv6 address has several text forms.
    const auto address = Endpoint::Parse(text);
    if (!address) {
      conflicts.push_back({key, "found \"" + text + "\", expected a numeric address:port"});
      continue;
    }
    const auto [entry, isNew] = mPathByAddress.emplace(address.value(), aFile.mPath);
    if (!isNew) {
      conflicts.push_back({key, "found \"" + text + "\", which is also used in " + entry->second});
    }
  }
  return conflicts;
}

} // namespace dandelionslip
