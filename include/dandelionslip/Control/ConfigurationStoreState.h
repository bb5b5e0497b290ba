// The state of the configuration store, as snapshots contain it.
#pragma once

#include "dandelionslip/Model/Command.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// Number of the newest answers, which are kept regardless of their age.
inline constexpr std::size_t kMinKeptAnswers = 4096;

/// Answers younger than this, by the issue times in the log, are kept regardless of their number.
inline constexpr std::int64_t kAnswerRetentionMs = 24LL * 60 * 60 * 1000;

/// Maximum number of kept answers: more than 200 times the 280 changes a day of the largest planned
/// deployment. Beyond it, commands are answered with not_applied, so that the replicas' memory
/// stays bounded.
inline constexpr std::size_t kMaxAnswers = 65'536;

/// Limits of the configuration: several times the largest planned deployment with 710 addresses, 6
/// data centres and 3,300 upstreams.
inline constexpr std::size_t kMaxServices = 2'048;
inline constexpr std::size_t kMaxAddressesPerService = 64;
inline constexpr std::size_t kMaxDataCentres = 64;
inline constexpr std::size_t kMaxDrained = 16'384;
inline constexpr std::size_t kMaxOperatorLength = 128;

/// An answer with the values that decide how long it is kept.
struct KeptAnswer
{
  std::string mPublicationId;
  std::int64_t mIssuedMs = 0;
  std::uint64_t mIndex = 0;
  CommandAnswer mAnswer;

  bool operator==(const KeptAnswer&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, KeptAnswer& aValue)
{
  aVisitor.Field("publication_id", aValue.mPublicationId);
  aVisitor.Field("issued_ms", aValue.mIssuedMs);
  aVisitor.Field("index", aValue.mIndex);
  aVisitor.Field("answer", aValue.mAnswer);
}

/// The publication that last changed a service or data centre. A publication is one command of an
/// operator; when it is sent again, it keeps its id.
struct LastWriter
{
  std::string mPublicationId;
  std::string mOperator;
  std::uint64_t mRevision = 0;

  bool operator==(const LastWriter&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, LastWriter& aValue)
{
  aVisitor.Field("publication_id", aValue.mPublicationId);
  aVisitor.Field("operator", aValue.mOperator);
  aVisitor.Field("revision", aValue.mRevision);
}

/// Everything that a snapshot holds.
struct ConfigurationStoreState
{
  std::uint64_t mAppliedIndex = 0;
  std::int64_t mLogTimeMs = 0;         ///< Highest issue time seen.
  std::int64_t mExpiredThroughMs = -1; ///< Highest issue time of an evicted answer.
  Configuration mConfiguration;
  std::vector<KeptAnswer> mAnswers;                  ///< In log order.
  std::map<std::string, LastWriter> mServiceWriters; ///< Also of deleted services.
  std::map<std::string, LastWriter> mDataCentreWriters;
  std::string mRouteDocument; ///< Text of the route table in force, as published.

  bool operator==(const ConfigurationStoreState&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ConfigurationStoreState& aValue)
{
  aVisitor.Field("applied_index", aValue.mAppliedIndex);
  aVisitor.Field("log_time_ms", aValue.mLogTimeMs);
  aVisitor.Field("expired_through_ms", aValue.mExpiredThroughMs);
  aVisitor.Field("configuration", aValue.mConfiguration);
  aVisitor.Field("answers", aValue.mAnswers);
  aVisitor.Field("service_writers", aValue.mServiceWriters);
  aVisitor.Field("data_centre_writers", aValue.mDataCentreWriters);
  aVisitor.Optional("route_document", aValue.mRouteDocument);
}

} // namespace dandelionslip
