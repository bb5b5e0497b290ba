// Tests of AssignmentTable.
#include "dandelionslip/Route/AssignmentTable.h"

#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>

namespace dandelionslip {

namespace {

constexpr std::uint32_t kBuckets = 1024;

class AssignmentTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AssignmentTableTest);
  CPPUNIT_TEST(OwnersMatchQuotas);
  CPPUNIT_TEST(OwnersDoNotDependOnMemberOrder);
  CPPUNIT_TEST(FewBucketsMove);
  CPPUNIT_TEST(AlternateIsAnotherEligibleMember);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<WeightedMember> Members(std::size_t aCount, Random& aRandom)
  {
    std::vector<WeightedMember> members;
    for (std::size_t i = 0; i < aCount; ++i) {
      members.push_back(
        {"upstream-" + std::to_string(i), static_cast<std::uint32_t>(100 + aRandom.Below(1'900))});
    }
    return members;
  }

  // Owners by name, because the same member has different indices in different member lists.
  static std::vector<std::string> Owners(const std::vector<WeightedMember>& aMembers)
  {
    std::vector<std::string> names;
    const AssignmentTable table(aMembers, kBuckets);
    for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
      names.push_back(aMembers[table.Owner(bucket)].mMember);
    }
    return names;
  }

  static std::size_t CountMoved(const std::vector<std::string>& aBefore,
                                const std::vector<std::string>& aAfter)
  {
    std::size_t moved = 0;
    for (std::size_t i = 0; i < aBefore.size(); ++i) {
      moved += aBefore[i] != aAfter[i] ? 1 : 0;
    }
    return moved;
  }

  // Guards against members that own more or fewer buckets than their quota.
  void OwnersMatchQuotas()
  {
    Random random(1);
    for (std::size_t count = 1; count < 40; ++count) {
      const auto members = Members(count, random);
      const auto quotas = BucketQuotas(members, kBuckets);
      CPPUNIT_ASSERT_EQUAL(kBuckets, std::accumulate(quotas.begin(), quotas.end(), 0U));
      const auto owners = Owners(members);
      for (std::size_t i = 0; i < count; ++i) {
        CPPUNIT_ASSERT_EQUAL(static_cast<std::ptrdiff_t>(quotas[i]),
                             std::count(owners.begin(), owners.end(), members[i].mMember));
      }
    }
    CPPUNIT_ASSERT_EQUAL(kNoMember, AssignmentTable(std::vector<WeightedMember>{}, 16).Owner(0));
  }

  // Guards against nodes that compute different owners because they list the members in different
  // orders.
  void OwnersDoNotDependOnMemberOrder()
  {
    Random random(2);
    auto members = Members(7, random);
    const auto owners = Owners(members);
    std::reverse(members.begin(), members.end());
    CPPUNIT_ASSERT(owners == Owners(members));
  }

  // Guards against changes of members or weights that move many more buckets than the change of
  // quotas requires.
  void FewBucketsMove()
  {
    Random random(3);
    std::size_t moved = 0;
    std::size_t needed = 0;
    for (int round = 0; round < 30; ++round) {
      const auto members = Members(10, random);
      const auto ownersBefore = Owners(members);
      auto changed = members;
      if (round % 2 == 0) {
        changed.erase(changed.begin() + static_cast<std::ptrdiff_t>(random.Below(10)));
      } else {
        WeightedMember& member = changed[random.Below(10)];
        member.mWeight = member.mWeight * 5 / 4;
      }
      moved += CountMoved(ownersBefore, Owners(changed));
      const auto quotasBefore = BucketQuotas(members, kBuckets);
      const auto quotasAfter = BucketQuotas(changed, kBuckets);
      for (std::size_t i = 0; i < members.size(); ++i) {
        const auto kept = std::find_if(changed.begin(), changed.end(), [&](const auto& aMember) {
          return aMember.mMember == members[i].mMember;
        });
        const std::uint32_t newQuota =
          kept == changed.end() ? 0 : quotasAfter[static_cast<std::size_t>(kept - changed.begin())];
        needed += quotasBefore[i] > newQuota ? quotasBefore[i] - newQuota : 0;
      }
    }
    CPPUNIT_ASSERT(needed > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(moved) + " of " + std::to_string(needed),
                           moved * 10 < needed * 15);
  }

  // Guards against alternates that are the owner itself or take no new work.
  void AlternateIsAnotherEligibleMember()
  {
    Random random(4);
    const auto members = Members(6, random);
    const AssignmentTable table(members, kBuckets, {true, true, false, true, true, true});
    for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
      CPPUNIT_ASSERT(table.Alternate(bucket) != kNoMember);
      CPPUNIT_ASSERT(table.Alternate(bucket) != table.Owner(bucket));
      CPPUNIT_ASSERT(table.Alternate(bucket) != 2);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssignmentTableTest);

} // namespace

} // namespace dandelionslip
