// Tests of UpstreamSelector.
#include "dandelionslip/Packet/UpstreamSelector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

namespace dandelionslip {

namespace {

using Candidates = std::vector<SelectorCandidate>;

class UpstreamSelectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamSelectorTest);
  CPPUNIT_TEST(SharesAreProportional);
  CPPUNIT_TEST(ChoicesAreSpreadOverTime);
  CPPUNIT_TEST(NearUpstreamsArePreferredUntilBusy);
  CPPUNIT_TEST(StartIsRandom);
  CPPUNIT_TEST(JoiningAndReturningUpstreamsGetNoBurst);
  CPPUNIT_TEST(UpstreamsWithoutWeightAreNotChosen);
  CPPUNIT_TEST_SUITE_END();

  UpstreamSelector mSelector{Random(7)};

  // Far candidates with these weights, of identities 1, 2, ...
  static Candidates Far(const std::vector<double>& aWeights)
  {
    Candidates candidates;
    for (const double weight : aWeights) {
      const std::size_t index = candidates.size();
      candidates.push_back({index, index + 1, weight, false, 0});
    }
    return candidates;
  }

  std::map<std::size_t, int> Count(const Candidates& aCandidates, int aChoices)
  {
    std::map<std::size_t, int> counts;
    for (int i = 0; i < aChoices; ++i) {
      ++counts[mSelector.Choose(aCandidates).value()];
    }
    return counts;
  }

  // Guards against slow upstreams that get as many flows as fast ones.
  void SharesAreProportional()
  {
    auto counts = Count(Far({1, 2, 5}), 800);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, counts[0], 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, counts[1], 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, counts[2], 1);
  }

  // Guards against bursts of flows to one upstream, which queue there while others are free.
  void ChoicesAreSpreadOverTime()
  {
    const Candidates equal = Far({1, 1, 1, 1});
    for (int round = 0; round < 50; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Count(equal, 4).size());
    }
    const Candidates uneven = Far({6, 1, 1, 1, 1, 1, 1});
    Count(uneven, 12);
    for (int round = 0; round < 50; ++round) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(2, Count(uneven, 4)[0], 1);
    }
  }

  // Guards against flows that take the way to another data centre without need, and against ones
  // that queue in their own while others are free.
  void NearUpstreamsArePreferredUntilBusy()
  {
    Candidates candidates = Far({1, 3, 4});
    candidates[0].mNear = candidates[1].mNear = true;
    candidates[0].mBusyShare = 1.0;
    candidates[1].mBusyShare = 0.2; // With their weights, the mean is 0.4.
    CPPUNIT_ASSERT_EQUAL(0, Count(candidates, 80)[2]);
    candidates[1].mBusyShare = 0.21;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, Count(candidates, 80)[2], 1);
    // None near takes flows.
    candidates[0].mWeight = candidates[1].mWeight = 0;
    CPPUNIT_ASSERT_EQUAL(8, Count(candidates, 8)[2]);
  }

  // Guards against balancers that all start with the same upstream.
  void StartIsRandom()
  {
    std::map<std::size_t, int> first;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      ++first[UpstreamSelector(Random(seed)).Choose(Far(std::vector<double>(10, 1.0))).value()];
    }
    CPPUNIT_ASSERT(first.size() >= 5);
    for (const auto& [index, count] : first) {
      CPPUNIT_ASSERT(count <= 7);
    }
  }

  // Guards against a burst of flows to an upstream that joins, or that was away for long.
  void JoiningAndReturningUpstreamsGetNoBurst()
  {
    const Candidates four = Far({1, 1, 1, 1});
    const Candidates five = Far({1, 1, 1, 1, 1});
    Count(four, 1'000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, Count(five, 10)[4], 1);
    Count(five, 1'000);
    auto left = Count(four, 1'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, left.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(250, left[0], 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, Count(five, 10)[4], 1);
    // Many that came and left do not disturb the shares of those that stay.
    for (std::uint64_t identity = 100; identity < 300; ++identity) {
      mSelector.Choose(std::vector<SelectorCandidate>{{0, identity, 1, false, 0}});
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, Count(five, 1'000)[4], 2);
  }

  // Guards against flows to an upstream that takes none.
  void UpstreamsWithoutWeightAreNotChosen()
  {
    CPPUNIT_ASSERT(!mSelector.Choose({}));
    CPPUNIT_ASSERT(!mSelector.Choose(Far({0, 0})));
    CPPUNIT_ASSERT_EQUAL(10, Count(Far({0, 1}), 10)[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSelectorTest);

} // namespace

} // namespace dandelionslip
