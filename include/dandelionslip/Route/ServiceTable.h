// Members and bucket assignment of one service, computed from a view and a configuration.
#pragma once

#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Model/View.h"
#include "dandelionslip/Route/AssignmentTable.h"

#include <string>
#include <vector>

namespace dandelionslip {

/// A member of a service as routing sees it.
struct TableMember
{
  std::string mName;
  std::string mDataCentre;
  std::string mBackup; ///< The member's backup while the member restarts, else empty.
  std::string mRequestEndpoint;
  Endpoint mDatagramEndpoint;
  MemberState mState = MemberState::Cold;
  bool mDataCentreOut = false;
  /// Owns no buckets: its data centre is out of service, it has left or is lost, or its datagram
  /// endpoint is invalid.
  bool mExcluded = false;

  bool operator==(const TableMember&) const = default;
};

/// Bucket assignment of one service; a pure function of view and configuration. Excluded members
/// own no buckets, so a data centre can be taken out of service without a new generation.
class ServiceTable
{
public:
  ServiceTable() = default;
  ServiceTable(const View& aView, const Configuration& aConfiguration,
               const std::string& aServiceName);

  ServiceId Id() const { return mId; }
  std::uint32_t Generation() const { return mGeneration; }
  std::uint32_t Buckets() const { return mAssignment.Buckets(); }
  const std::vector<TableMember>& Members() const { return mMembers; }
  const AssignmentTable& Assignment() const { return mAssignment; }

  /// Whether there are members with a positive weight but the data centres of all of them are out
  /// of service.
  bool AllDataCentresOut() const { return mAllDataCentresOut; }

  /// The index of the member with this name, or kNoMember.
  MemberIndex Find(std::string_view aName) const;

  /// The acting member for aMember: its backup while it restarts, else aMember itself. If the
  /// backup restarts too, the backup's backup acts, and so on for at most 8 steps. Excluded members
  /// never act as a backup.
  MemberIndex ActingFor(MemberIndex aMember) const;

private:
  void AddMembers(const std::string& aServiceName, const View& aView,
                  const Configuration& aConfiguration);
  void ResolveActingMembers();

  ServiceId mId = 0;
  std::uint32_t mGeneration = 0;
  bool mAllDataCentresOut = false;
  std::vector<TableMember> mMembers; ///< All agents of the service in the view, ordered by name.
  std::vector<MemberIndex> mActingMembers; ///< By member index.
  AssignmentTable mAssignment;
};

/// The view's entry of the service. Null when the configuration does not declare the service, the
/// view has no generation of it, or the view's entry is that of another service with the same name,
/// for example a deleted one.
const ServiceView* FindServiceView(const View& aView, const Configuration& aConfiguration,
                                   const std::string& aServiceName);

/// For each bucket, the name of its owner in aGeneration if the excluded members of aTable own
/// nothing. Names are empty when no member is left.
std::vector<std::string> OwnerNamesByBucket(const Generation& aGeneration,
                                            const ServiceTable& aTable);

} // namespace dandelionslip
