// Checks the rules of a route table.
#include "dandelionslip/Model/RouteTable.h"

#include "dandelionslip/Model/Endpoint.h"

#include <algorithm>
#include <set>

namespace dandelionslip {

namespace {

constexpr std::string_view kStep = "route_table.check";

Result<void> Reject(const std::string& aSubject, std::string aDetail)
{
  return Fail(ErrorCode::InvalidInput, std::string(kStep), aSubject, std::move(aDetail));
}

Result<void> CheckTargets(const Route& aRoute, const std::set<std::string>& aServices)
{
  std::uint64_t total = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (!aServices.contains(target.mService)) {
      return Reject(aRoute.mName, "service \"" + target.mService + "\" is not declared");
    }
    total += target.mWeight;
  }
  if (total == 0) {
    return Reject(aRoute.mName, "found no target with a positive weight");
  }
  return Ok();
}

} // namespace

const RoutedService* RouteTable::FindService(std::string_view aName) const
{
  const auto found = std::find_if(mServices.begin(), mServices.end(),
                                  [&](const auto& aService) { return aService.mName == aName; });
  return found == mServices.end() ? nullptr : &*found;
}

Result<void> CheckRouteTable(const RouteTable& aTable)
{
  std::set<std::string> services;
  for (const RoutedService& service : aTable.mServices) {
    if (!services.insert(service.mName).second) {
      return Reject(service.mName, "the service is declared twice");
    }
  }
  std::set<Endpoint> addresses;
  for (const Route& route : aTable.mRoutes) {
    const auto address = Endpoint::Parse(route.mAddress);
    if (!address) {
      return address.as_failure();
    }
    if (!addresses.insert(address.value()).second) {
      return Reject(route.mName, "address " + route.mAddress + " belongs to two routes");
    }
    if (route.mTimeout <= Milliseconds{0}) {
      return Reject(route.mName, "timeout_ms: expected more than 0");
    }
    if (auto checked = CheckTargets(route, services); !checked) {
      return checked;
    }
  }
  return Ok();
}

} // namespace dandelionslip
