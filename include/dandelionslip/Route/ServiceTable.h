// Members and assignment of one service, computed from a view and a configuration.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Route/AssignmentTable.h"

#include <string>
#include <vector>

namespace dandelionslip {

/// What routing needs to know about a member of a service.
struct TableMember
{
  std::string mName;
  std::string mDataCentre;
  std::string mBackup; ///< Peer that acts for the member while it restarts; may be empty.
  std::string mRequestEndpoint;
  Endpoint mDatagramEndpoint;
  MemberState mState = MemberState::Cold;
  bool mDataCentreOut = false;
  bool mExcluded = false; ///< Its data centre is out, or it has left or is lost.

  bool operator==(const TableMember&) const = default;
};

/// Assignment of one service in force at a node: a pure function of view and configuration.
/// Members that are out own no buckets, so that a data centre leaves without a new generation.
class ServiceTable
{
public:
  ServiceTable() = default;
  ServiceTable(const View& aView, const Configuration& aConfiguration,
               const std::string& aServiceName);

  ServiceId Id() const { return mId; }
  std::uint32_t Generation() const { return mGeneration; }
  std::uint32_t Buckets() const { return mTable.Buckets(); }
  const std::vector<TableMember>& Members() const { return mMembers; }
  const AssignmentTable& Assignment() const { return mTable; }

  /// Whether every member that could own buckets is excluded because its data centre is out.
  bool AllDataCentresOut() const { return mAllDataCentresOut; }

  /// Index of a member, or kNoMember.
  MemberIndex Find(std::string_view aName) const;

  /// The member that acts for aMember: its custodian while it restarts, else itself. Follows the
  /// custodians when a custodian restarts too.
  MemberIndex ActingFor(MemberIndex aMember) const;

private:
  void AddMembers(const std::string& aServiceName, const View& aView,
                  const Configuration& aConfiguration);
  void ResolveActing();

  ServiceId mId = 0;
  std::uint32_t mGeneration = 0;
  bool mAllDataCentresOut = false;
  std::vector<TableMember> mMembers; ///< All agents of the service in the view, by name.
  std::vector<MemberIndex> mActing;
  AssignmentTable mTable;
};

/// The service's entry in the view if it belongs to the declared service, or null.
const ServiceView* FindServiceView(const View& aView, const Configuration& aConfiguration,
                                   const std::string& aServiceName);

/// Owner names by bucket of a generation under the exclusions of aTable; empty names where no
/// member is left.
std::vector<std::string> OwnerNamesByBucket(const Generation& aGeneration,
                                            const ServiceTable& aTable);

} // namespace dandelionslip
