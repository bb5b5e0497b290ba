// The accepted configuration: the replicated state that every node applies.
#pragma once

#include "dandelionslip/Model/RouteTable.h"
#include "dandelionslip/Model/ServiceSpec.h"

#include <map>
#include <string>

namespace dandelionslip {

/// Identifies a service for its whole life; never reused. Zero means none.
using ServiceId = std::uint64_t;

/// A service in force.
struct ServiceEntry
{
  ServiceId mId = 0; ///< Log index of the entry that first declared the service.
  ServiceSpec mSpec;

  bool operator==(const ServiceEntry&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ServiceEntry& aValue)
{
  aVisitor.Field("id", aValue.mId);
  aVisitor.Field("spec", aValue.mSpec);
}

/// Whether operators have taken a data centre out of service.
struct DataCentreState
{
  bool mOutOfService = false;
  std::uint64_t mVersion = 0; ///< Increases with every change of this data centre.

  bool operator==(const DataCentreState&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, DataCentreState& aValue)
{
  aVisitor.Field("out", aValue.mOutOfService);
  aVisitor.Field("version", aValue.mVersion);
}

/// Everything that operators control.
struct Configuration
{
  std::uint64_t mRevision = 0; ///< Log index of the last applied entry.
  std::map<std::string, ServiceEntry> mServices;
  std::map<std::string, DataCentreState> mDataCentres;
  std::map<std::string, bool> mDrained; ///< Upstream names that operators drain.
  RouteTable mRoutes;

  /// The service with this name, or null.
  const ServiceEntry* FindService(const std::string& aName) const;
  bool IsDataCentreOut(const std::string& aDataCentre) const;
  bool IsDrained(const std::string& aUpstream) const;

  bool operator==(const Configuration&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Configuration& aValue)
{
  aVisitor.Field("revision", aValue.mRevision);
  aVisitor.Field("services", aValue.mServices);
  aVisitor.Field("data_centres", aValue.mDataCentres);
  aVisitor.Field("drained", aValue.mDrained);
  aVisitor.Optional("routes", aValue.mRoutes);
}

} // namespace dandelionslip
