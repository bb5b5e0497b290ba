// Checks service files before they are published.
#pragma once

#include "dandelionslip/Config/ServiceFiles.h"
#include "dandelionslip/Model/Configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

class ServiceFileIndex;

enum class FindingLevel
{
  Error,   ///< A publication of the files would be refused.
  Warning, ///< A publication would be accepted, but part of it has no effect or contradicts itself.
};

/// Something that is wrong in a service file.
struct ConfigurationFinding
{
  std::string mFile;
  std::string mPath; ///< Key path; line and column, or "top level", if the text is not JSON.
  FindingLevel mLevel = FindingLevel::Error;
  std::string mText;

  /// "FILE: PATH: error|warning: text".
  std::string ToString() const;
};

/// A key whose value in a service file differs from the one in force.
struct ServiceDifference
{
  std::string mFile;
  std::string mPath;
  std::string mInForce; ///< As JSON; "nothing" if the service does not exist yet.
  std::string mFound;

  /// "FILE: PATH: difference: in force VALUE, found VALUE".
  std::string ToString() const;
};

/// Checks a set of service files that are to be published together. Files are read as for a
/// publication, so that an invalid file has one error, the first one.
class ConfigurationCheck
{
public:
  ConfigurationCheck();
  ~ConfigurationCheck();

  /// Checks a file by itself and against the files that were added before. Fails with Io or
  /// LimitExceeded if it cannot be read; faults of its content are findings.
  Result<void> AddFile(const std::string& aPath);
  /// The same for the text of a file.
  void AddText(const std::string& aPath, std::string_view aText);

  /// Compares the files added so far with the configuration in force.
  void CompareWith(const Configuration& aCurrent);

  const std::vector<ConfigurationFinding>& Findings() const { return mFindings; }
  const std::vector<ServiceDifference>& Differences() const { return mDifferences; }
  bool HasErrors() const;

private:
  void Report(const ServiceFile& aFile, std::string aPath, FindingLevel aLevel, std::string aText);
  void CheckLimits(const ServiceFile& aFile);
  void CheckAddresses(const ServiceFile& aFile);
  void CheckVersion(const ServiceFile& aFile, const ServiceEntry* aEntry);
  void CheckAddressesInForce(const ServiceFile& aFile, const Configuration& aCurrent);
  void CollectDifferences(const ServiceFile& aFile, const ServiceEntry* aEntry);

  std::vector<ServiceFile> mFiles;
  std::unique_ptr<ServiceFileIndex> mIndex;
  std::vector<ConfigurationFinding> mFindings;
  std::vector<ServiceDifference> mDifferences;
};

} // namespace dandelionslip
