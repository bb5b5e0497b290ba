// Tests of the queue of waiting openings and of the shares of a cold upstream's openings.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/OpeningQueue.h"
#include "dandelionslip/Packet/OpeningShares.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Milliseconds kWait{1'000};

class OpeningQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OpeningQueueTest);
  CPPUNIT_TEST(ImportantAndNewOpeningsLeaveFirst);
  CPPUNIT_TEST(CrowdAtColdUpstreamsIsServedInTime);
  CPPUNIT_TEST(FlowsWaitOnce);
  CPPUNIT_TEST(OnlyTheCountThatFitsLeaves);
  CPPUNIT_TEST(ExpiredOpeningsLeave);
  CPPUNIT_TEST(SharesAddUpAndTakeTurns);
  CPPUNIT_TEST(NewcomersGetWhatIsLeft);
  CPPUNIT_TEST_SUITE_END();

  OpeningQueue mQueue;

  bool Add(std::uint16_t aCaller, std::uint32_t aPriority, Milliseconds aAfterStart)
  {
    return mQueue.Add({TestFlow(aCaller), {}, aPriority, kStart + aAfterStart, kWait});
  }

  static bool Any(const WaitingOpening& /*aOpening*/) { return true; }

  // Guards against unimportant flows that overtake others, and against the order of arrival.
  void ImportantAndNewOpeningsLeaveFirst()
  {
    Add(1, 2, Milliseconds{0});
    Add(2, 1, Milliseconds{20});
    Add(3, 1, Milliseconds{10});
    const auto taken = mQueue.Take(3, Any);
    CPPUNIT_ASSERT(taken.at(0).mFlow == TestFlow(2));
    CPPUNIT_ASSERT(taken.at(1).mFlow == TestFlow(3));
    CPPUNIT_ASSERT(taken.at(2).mFlow == TestFlow(1));
  }

  // Guards against openings of cold upstreams that are spent on callers whose deadline has passed:
  // 100 callers a second come for two seconds to upstreams that take 10 flows a second, and each
  // request has 500 ms and takes 60 ms once its flow is open. Every flow that is opened must serve
  // its first request.
  void CrowdAtColdUpstreamsIsServedInTime()
  {
    constexpr Milliseconds kStep{10};
    constexpr Milliseconds kTimeout{500};
    constexpr Milliseconds kWork{60};
    std::size_t opened = 0;
    std::size_t inTime = 0;
    for (std::uint16_t step = 0; step < 200; ++step) {
      const TimePoint now = kStart + step * kStep;
      mQueue.TakeExpired(now);
      mQueue.Add({TestFlow(step), {}, 1, now, kTimeout});
      if (step % 10 != 9) {
        continue;
      }
      for (const WaitingOpening& opening : mQueue.Take(1, Any)) {
        ++opened;
        inTime += now + kWork - opening.mSince <= kTimeout ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, opened);
    CPPUNIT_ASSERT_EQUAL(opened, inTime);
  }

  // Guards against copies of an opening packet that open the flow several times.
  void FlowsWaitOnce()
  {
    CPPUNIT_ASSERT(Add(1, 0, Milliseconds{0}));
    CPPUNIT_ASSERT(!Add(1, 0, Milliseconds{200}));
    CPPUNIT_ASSERT(mQueue.Contains(TestFlow(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mQueue.Take(5, Any).size());
    CPPUNIT_ASSERT(!mQueue.Contains(TestFlow(1)));
    CPPUNIT_ASSERT(Add(1, 0, Milliseconds{300}));
  }

  // Guards against work for every waiting opening whenever one upstream has room.
  void OnlyTheCountThatFitsLeaves()
  {
    for (std::uint16_t i = 0; i < 100; ++i) {
      Add(i, 0, Milliseconds{i});
    }
    std::size_t checked = 0;
    const auto taken = mQueue.Take(2, [&](const WaitingOpening&) {
      ++checked;
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, taken.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, checked);
    CPPUNIT_ASSERT_EQUAL(std::size_t{98}, mQueue.Size());
  }

  // Guards against openings that wait longer than their callers.
  void ExpiredOpeningsLeave()
  {
    Add(1, 0, Milliseconds{0});
    Add(2, 0, Milliseconds{500});
    CPPUNIT_ASSERT(mQueue.TakeExpired(kStart + kWait).empty());
    const auto expired = mQueue.TakeExpired(kStart + kWait + Milliseconds{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
    CPPUNIT_ASSERT(expired[0].mFlow == TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mQueue.Size());
  }

  // Guards against balancers that are offered the same opening, and against one that is never
  // offered any: a cold upstream takes 5 openings, and 24 balancers have callers for it.
  void SharesAddUpAndTakeTurns()
  {
    constexpr std::uint32_t kAllowed = 5;
    constexpr std::size_t kBalancers = 24;
    OpeningShares shares;
    std::vector<std::uint32_t> total(kBalancers, 0);
    for (std::size_t round = 0; round < kBalancers; ++round) {
      const auto split = shares.Split(kAllowed, kBalancers);
      CPPUNIT_ASSERT_EQUAL(kAllowed, std::accumulate(split.begin(), split.end(), 0U));
      for (std::size_t i = 0; i < kBalancers; ++i) {
        total[i] += split[i];
      }
    }
    for (const std::uint32_t offered : total) {
      CPPUNIT_ASSERT_EQUAL(kAllowed, offered);
    }
  }

  // Guards against a first balancer that waits for the next round while openings are free.
  void NewcomersGetWhatIsLeft()
  {
    OpeningShares shares;
    CPPUNIT_ASSERT(shares.Split(2, 0).empty());
    CPPUNIT_ASSERT_EQUAL(1U, shares.ShareForNewBalancer());
    CPPUNIT_ASSERT_EQUAL(1U, shares.ShareForNewBalancer());
    CPPUNIT_ASSERT_EQUAL(0U, shares.ShareForNewBalancer());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpeningQueueTest);

} // namespace

} // namespace dandelionslip
