// When a control replica learned of changes of data centres.
#include "dandelionslip/Control/DataCentreChanges.h"

namespace dandelionslip {

void DataCentreChanges::Note(const Configuration& aState, TimePoint aNow)
{
  for (const auto& [name, state] : aState.mDataCentres) {
    if (Change& change = mChanges[name]; change.mVersion != state.mVersion) {
      change = {state.mVersion, aNow};
    }
  }
}

bool DataCentreChanges::ChangedSince(const std::string& aDataCentre, TimePoint aSince) const
{
  const auto found = mChanges.find(aDataCentre);
  return found != mChanges.end() && found->second.mLearnedAt >= aSince;
}

} // namespace dandelionslip
