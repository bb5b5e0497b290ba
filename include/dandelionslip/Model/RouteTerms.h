// Terms of the requests on a route that the route table does not contain.
#pragma once

#include "dandelionslip/Support/Fields.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelionslip {

/// Terms of one route.
struct RouteTerm
{
  std::string mAddress;     ///< "address:port", as in Route::mAddress.
  bool mRepeatable = false; ///< Requests may run more than once.
  Milliseconds mGoal{0};    ///< Response-time goal; 0 if none.

  bool operator==(const RouteTerm&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RouteTerm& aValue)
{
  aVisitor.Field("address", aValue.mAddress);
  aVisitor.Field("repeatable", aValue.mRepeatable);
  aVisitor.Field("goal_ms", aValue.mGoal);
}

/// Terms of all routes that state any. They are not part of RouteTable, whose decoder in the last
/// release refuses unknown keys; control derives them from the published document.
struct RouteTerms
{
  std::uint64_t mVersion = 0; ///< Of the route table.
  std::vector<RouteTerm> mTerms;

  bool operator==(const RouteTerms&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RouteTerms& aValue)
{
  aVisitor.Field("version", aValue.mVersion);
  aVisitor.Field("terms", aValue.mTerms);
}

} // namespace dandelionslip
