// Tests of OpeningQueue and OpeningShares.
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
  CPPUNIT_TEST(HighPriorityAndNewOpeningsLeaveFirst);
  CPPUNIT_TEST(OpeningsTakenForColdUpstreamsAreServedInTime);
  CPPUNIT_TEST(EachFlowIsQueuedOnce);
  CPPUNIT_TEST(TakeStopsAtTheCount);
  CPPUNIT_TEST(ExpiredOpeningsAreTaken);
  CPPUNIT_TEST(SharesAddUpAndRotate);
  CPPUNIT_TEST(NewBalancersGetUnassignedOpenings);
  CPPUNIT_TEST_SUITE_END();

  OpeningQueue mQueue;

  bool Add(std::uint16_t aCaller, std::uint32_t aPriority, Milliseconds aAfterStart)
  {
    return mQueue.Add({TestFlow(aCaller), {}, aPriority, kStart + aAfterStart, kWait});
  }

  static bool Any(const WaitingOpening& /*aOpening*/) { return true; }

  // Guards against flows that leave before those of a higher priority, and against leaving in order
  // of arrival.
  void HighPriorityAndNewOpeningsLeaveFirst()
  {
    Add(1, 2, Milliseconds{0});
    Add(2, 1, Milliseconds{20});
    Add(3, 1, Milliseconds{10});
    const auto taken = mQueue.Take(3, Any);
    CPPUNIT_ASSERT(taken.at(0).mFlow == TestFlow(2));
    CPPUNIT_ASSERT(taken.at(1).mFlow == TestFlow(3));
    CPPUNIT_ASSERT(taken.at(2).mFlow == TestFlow(1));
  }

  // Guards against openings at cold upstreams that are spent on callers whose deadline passes: for
  // two seconds, 100 callers per second come to upstreams that accept 10 flows per second. Each
  // request has a timeout of 500 ms and takes 60 ms once its flow is open. Every opened flow must
  // complete its first request in time.
  void OpeningsTakenForColdUpstreamsAreServedInTime()
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
        inTime += now + kWork - opening.mArrivedAt <= kTimeout ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, opened);
    CPPUNIT_ASSERT_EQUAL(opened, inTime);
  }

  // Guards against retransmissions of an opening packet that open the flow several times.
  void EachFlowIsQueuedOnce()
  {
    CPPUNIT_ASSERT(Add(1, 0, Milliseconds{0}));
    CPPUNIT_ASSERT(!Add(1, 0, Milliseconds{200}));
    CPPUNIT_ASSERT(mQueue.Contains(TestFlow(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mQueue.Take(5, Any).size());
    CPPUNIT_ASSERT(!mQueue.Contains(TestFlow(1)));
    CPPUNIT_ASSERT(Add(1, 0, Milliseconds{300}));
  }

  // Guards against a visit to every waiting opening whenever an upstream accepts a few.
  void TakeStopsAtTheCount()
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

  // Guards against openings that stay in the queue for longer than their maximum wait.
  void ExpiredOpeningsAreTaken()
  {
    Add(1, 0, Milliseconds{0});
    Add(2, 0, Milliseconds{500});
    CPPUNIT_ASSERT(mQueue.TakeExpired(kStart + kWait).empty());
    const auto expired = mQueue.TakeExpired(kStart + kWait + Milliseconds{1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
    CPPUNIT_ASSERT(expired[0].mFlow == TestFlow(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mQueue.Size());
  }

  // Guards against an opening that is offered to several balancers, and against a balancer that is
  // never offered any: a cold upstream accepts 5 openings per round for 24 balancers.
  void SharesAddUpAndRotate()
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

  // Guards against a first balancer that has to wait for the next round although openings are
  // unassigned.
  void NewBalancersGetUnassignedOpenings()
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
