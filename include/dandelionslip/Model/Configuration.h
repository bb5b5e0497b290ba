// The configuration: state that the control replicas replicate and every node applies.
#pragma once

#include "dandelionslip/Model/RouteTable.h"
#include "dandelionslip/Model/ServiceSpec.h"

#include <map>
#include <string>

namespace dandelionslip {

/// Identifies a service from its creation to its deletion; never reused. Zero means no service.
using ServiceId = std::uint64_t;

/// A service and its current declaration.
struct ServiceEntry
{
  ServiceId mId = 0; ///< Log index of the entry that created the service.
  ServiceSpec mSpec;

  bool operator==(const ServiceEntry&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ServiceEntry& aValue)
{
  aVisitor.Field("id", aValue.mId);
  aVisitor.Field("spec", aValue.mSpec);
}

/// Whether a data centre is out of service.
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

/// All state that operators change by commands.
struct Configuration
{
  std::uint64_t mRevision = 0; ///< Log index of the last applied entry.
  std::map<std::string, ServiceEntry> mServices;
  std::map<std::string, DataCentreState> mDataCentres;
  std::map<std::string, bool> mDrained; ///< By upstream name: whether operators drain it.
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
