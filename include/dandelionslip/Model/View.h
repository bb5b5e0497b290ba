// The membership view: all balancers and agents, and the generations of each service.
#pragma once

#include "dandelionslip/Model/Configuration.h"
#include "dandelionslip/Model/Member.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionslip {

/// Largest number of generations of a service in a view.
inline constexpr std::size_t kMaxGenerations = 3;

/// Weight of a member whose upstream has its full declared capacity.
inline constexpr std::uint32_t kFullWeight = 1000;

/// A member and its weight, which determines its share of the buckets in one generation.
struct WeightedMember
{
  std::string mMember;
  std::uint32_t mWeight = 0;

  bool operator==(const WeightedMember&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, WeightedMember& aValue)
{
  aVisitor.Field("member", aValue.mMember);
  aVisitor.Field("weight", aValue.mWeight);
}

/// One numbered assignment of a service's buckets to members.
struct Generation
{
  std::uint32_t mNumber = 0;
  std::vector<WeightedMember> mMembers; ///< Ordered by member name.

  bool operator==(const Generation&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, Generation& aValue)
{
  aVisitor.Field("number", aValue.mNumber);
  aVisitor.Field("members", aValue.mMembers);
}

/// The latest generations of one service, newest first.
struct ServiceView
{
  ServiceId mServiceId = 0;
  std::vector<Generation> mGenerations;

  bool operator==(const ServiceView&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, ServiceView& aValue)
{
  aVisitor.Field("service_id", aValue.mServiceId);
  aVisitor.Field("generations", aValue.mGenerations);
}

/// Membership as the control leader publishes it. The revision never decreases on a node.
struct View
{
  std::uint64_t mRevision = 0; ///< Raft term << 32 | sequence number.
  std::map<std::string, Member> mMembers;
  std::map<std::string, ServiceView> mServices; ///< By service name.

  const Member* FindMember(const std::string& aName) const;

  bool operator==(const View&) const = default;
};

template <typename V>
void DescribeFields(V& aVisitor, View& aValue)
{
  aVisitor.Field("revision", aValue.mRevision);
  aVisitor.Field("members", aValue.mMembers);
  aVisitor.Field("services", aValue.mServices);
}

} // namespace dandelionslip
