// Reads configuration files of limited size.
#include "dandelionslip/Config/TextFile.h"

#include <filesystem>
#include <fstream>

namespace dandelionslip {

Result<std::string> ReadTextFile(const std::string& aPath)
{
  const auto fail = [&](ErrorCode aCode, std::string aDetail) {
    return Fail(aCode, "read", aPath, std::move(aDetail));
  };
  std::error_code failure;
  if (!std::filesystem::is_regular_file(aPath, failure)) {
    return fail(ErrorCode::Io, failure ? failure.message() : "found no regular file");
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return fail(ErrorCode::Io, "cannot open the file");
  }
  std::string text(kMaxConfigurationFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return fail(ErrorCode::Io, "cannot read the file");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxConfigurationFileBytes) {
    return fail(ErrorCode::LimitExceeded, "found more than " +
                                            std::to_string(kMaxConfigurationFileBytes) +
                                            " bytes, expected a configuration file");
  }
  return text;
}

} // namespace dandelionslip
