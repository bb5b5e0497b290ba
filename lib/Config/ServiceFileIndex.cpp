// Detects service files that declare the same service or use the same address.
#include "ServiceFileIndex.h"

namespace dandelionslip {

Result<void> ServiceFileIndex::Add(const ServiceFile& aFile)
{
  const auto reject = [&](std::string aDetail) {
    return Fail(ErrorCode::InvalidInput, "service.collect", aFile.mPath, std::move(aDetail));
  };
  if (const auto [entry, isNew] = mPathByName.emplace(aFile.mSpec.mName, aFile.mPath); !isNew) {
    return reject("service: found \"" + aFile.mSpec.mName + "\", which is also declared in " +
                  entry->second);
  }
  for (std::size_t i = 0; i < aFile.mSpec.mAddresses.size(); ++i) {
    const std::string& text = aFile.mSpec.mAddresses[i];
    const std::string key = "addresses[" + std::to_string(i) + "]";
    // Compares parsed addresses, because an IPv6 address has several text forms.
    const auto address = Endpoint::Parse(text);
    if (!address) {
      return reject(key + ": found \"" + text + "\", expected a numeric address:port");
    }
    const auto [entry, isNew] = mPathByAddress.emplace(address.value(), aFile.mPath);
    if (!isNew) {
      return reject(key + ": found \"" + text + "\", which is also used in " + entry->second);
    }
  }
  return Ok();
}

} // namespace dandelionslip
