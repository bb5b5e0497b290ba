// Header lookup.
#include "dandelionslip/Net/HttpMessage.h"

#include <algorithm>

namespace dandelionslip {

std::string_view FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(),
                                  [&](const auto& aHeader) { return aHeader.mName == aName; });
  return found == aHeaders.end() ? std::string_view() : std::string_view(found->mValue);
}

} // namespace dandelionslip
