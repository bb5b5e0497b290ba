// Operators' commands and the answers that the replicated state keeps for them.
#pragma once

#include "dandelionslip/Model/Configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionslip {

/// One service in a publication: declared anew, replaced, or deleted when mSpec is empty.
struct ServiceChange
{
  std::string mName;
  std::uint64_t mExpectedVersion = 0; ///< Version in force; 0 when the service does not exist.
  std::optional<ServiceSpec> mSpec;

  bool operator==(const ServiceChange&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ServiceChange& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("expected_version", aValue.mExpectedVersion);
  aVisitor.Field("spec", aValue.mSpec);
}

/// Takes a data centre out of service or back in.
struct DataCentreChange
{
  std::string mName;
  bool mOutOfService = false;
  std::optional<std::uint64_t> mExpectedVersion;

  bool operator==(const DataCentreChange&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, DataCentreChange& aValue)
{
  aVisitor.Field("name", aValue.mName);
  aVisitor.Field("out", aValue.mOutOfService);
  aVisitor.Optional("expected_version", aValue.mExpectedVersion);
}

/// Starts or ends the drain of an upstream.
struct DrainChange
{
  std::string mUpstream;
  bool mDrained = false;

  bool operator==(const DrainChange&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, DrainChange& aValue)
{
  aVisitor.Field("upstream", aValue.mUpstream);
  aVisitor.Field("drained", aValue.mDrained);
}

/// Replaces the route table. A version that is not higher than the one in force changes nothing and
/// is reported as applied, so that a late copy of an older publication does no harm.
struct RouteTableChange
{
  RouteTable mTable;
  std::string mDocument; ///< The text that the operator published; returned to readers.

  bool operator==(const RouteTableChange&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, RouteTableChange& aValue)
{
  aVisitor.Field("table", aValue.mTable);
  aVisitor.Field("document", aValue.mDocument);
}

/// An operator's command; applied whole or not at all.
struct Command
{
  std::string mPublicationId; ///< UUID; a resend with the same id gets the first answer.
  std::string mOperator;      ///< Shown to the loser of a conflict.
  std::int64_t mIssuedMs = 0; ///< Wall-clock time of issue, milliseconds since 1970.
  std::vector<ServiceChange> mServices;
  std::optional<DataCentreChange> mDataCentre;
  std::optional<DrainChange> mDrain;
  std::optional<RouteTableChange> mRoutes;

  bool operator==(const Command&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Command& aValue)
{
  aVisitor.Field("publication_id", aValue.mPublicationId);
  aVisitor.Field("operator", aValue.mOperator);
  aVisitor.Field("issued_ms", aValue.mIssuedMs);
  aVisitor.Optional("services", aValue.mServices);
  aVisitor.Optional("data_centre", aValue.mDataCentre);
  aVisitor.Optional("drain", aValue.mDrain);
  aVisitor.Optional("routes", aValue.mRoutes);
}

enum class CommandOutcome
{
  Applied,
  Refused,        ///< The command breaks a rule; it was not applied.
  Conflict,       ///< Another command won; mDetail names it.
  NotApplied,     ///< Certainly not applied, for example without a quorum before the append.
  OutcomeUnknown, ///< May still be applied; resend with the same publication id.
  Expired,        ///< The publication id is older than the retention of answers.
};

std::span<const EnumName<CommandOutcome>> EnumNames(CommandOutcome);

/// Answer to a command.
struct CommandAnswer
{
  CommandOutcome mOutcome = CommandOutcome::NotApplied;
  std::uint64_t mRevision = 0; ///< Log index of the command when applied.
  std::string mDetail;

  bool operator==(const CommandAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, CommandAnswer& aValue)
{
  aVisitor.Field("outcome", aValue.mOutcome);
  aVisitor.Field("revision", aValue.mRevision);
  aVisitor.Field("detail", aValue.mDetail);
}

} // namespace dandelionslip
