// When a control replica learned of changes of data centres.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <map>
#include <string>

namespace dandelionslip {

/// Notes when this replica learned of the newest change of each data centre. An order that was sent
/// before may have been overtaken by that change. Not thread-safe.
class DataCentreChanges
{
public:
  /// Compares the versions in aState with those of the call before. Call it after each change of
  /// the replica's state.
  void Note(const Configuration& aState, TimePoint aNow);

  /// Whether a change of the data centre became known at aSince or later.
  bool ChangedSince(const std::string& aDataCentre, TimePoint aSince) const;

private:
  struct Change
  {
    std::uint64_t mVersion = 0;
    TimePoint mLearnedAt;
  };

  std::map<std::string, Change> mChanges;
};

} // namespace dandelionslip
