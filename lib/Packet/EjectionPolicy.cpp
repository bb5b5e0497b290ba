// Bounds the ejection of failing upstreams.
#include "dandelionslip/Packet/EjectionPolicy.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace dandelionslip {

std::vector<bool> ChooseEjected(std::span<const EjectionCandidate> aCandidates)
{
  std::vector<bool> ejected(aCandidates.size(), false);
  std::map<std::string_view, std::size_t> left; // Of those that accept flows, by data centre.
  std::vector<std::size_t> failing;
  std::size_t accepting = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].mAccepts) {
      ++accepting;
      ++left[aCandidates[i].mDataCentre];
      if (aCandidates[i].mFailing) {
        failing.push_back(i);
      }
    }
  }
  std::stable_sort(failing.begin(), failing.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aCandidates[aLeft].mVerdictAge > aCandidates[aRight].mVerdictAge;
  });
  auto allowed =
    static_cast<std::size_t>(std::floor(kMaxEjectedShare * static_cast<double>(accepting)));
  for (const std::size_t i : failing) {
    std::size_t& inDataCentre = left[aCandidates[i].mDataCentre];
    if (allowed > 0 && inDataCentre > 1) {
      ejected[i] = true;
      --allowed;
      --inDataCentre;
    }
  }
  return ejected;
}

} // namespace dandelionslip
