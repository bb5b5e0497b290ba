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
  CPPUNIT_TEST(OpeningsThatCanMeetTheirGoalLeaveFirst);
  CPPUNIT_TEST(OpeningsWithoutGoalStayNewestFirst);
  CPPUNIT_TEST(LesserPriorityIsNotPassedOverForASecond);
  CPPUNIT_TEST(PassedOverRouteOfAnotherServiceKeepsItsTurn);
  CPPUNIT_TEST(ExpiryIsNoTurn);
  CPPUNIT_TEST(SharesAddUpAndRotate);
  CPPUNIT_TEST(NewBalancersGetUnassignedOpenings);
  CPPUNIT_TEST_SUITE_END();

  OpeningQueue mQueue;

  bool Add(std::uint16_t aCaller, std::uint32_t aPriority, Milliseconds aAfterStart)
  {
    return mQueue.Add({TestFlow(aCaller), {}, aPriority, kStart + aAfterStart, kWait});
  }

  bool AddWithGoal(const FlowKey& aFlow, std::uint32_t aPriority, Milliseconds aAfterStart)
  {
    constexpr Milliseconds kGoal{200};
    return mQueue.Add({aFlow, {}, aPriority, kStart + aAfterStart, kWait, kGoal});
  }

  // A flow of another route than TestFlow(aCaller).
  static FlowKey OtherRouteFlow(std::uint16_t aCaller)
  {
    FlowKey flow = TestFlow(aCaller);
    ++flow.mServicePort;
    return flow;
  }

  std::vector<FlowKey> TakeFlows(std::size_t aCount, Milliseconds aAfterStart)
  {
    std::vector<FlowKey> flows;
    for (const WaitingOpening& opening : mQueue.Take(aCount, Any, kStart + aAfterStart)) {
      flows.push_back(opening.mFlow);
    }
    return flows;
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

  // Guards against a place that goes to an opening which can no longer meet its goal while another
  // can, and against late openings of which the oldest expires behind newer ones.
  void OpeningsThatCanMeetTheirGoalLeaveFirst()
  {
    AddWithGoal(TestFlow(1), 1, Milliseconds{0});
    AddWithGoal(TestFlow(2), 1, Milliseconds{50});
    AddWithGoal(TestFlow(3), 1, Milliseconds{200});
    AddWithGoal(TestFlow(4), 1, Milliseconds{250});
    AddWithGoal(OtherRouteFlow(5), 2, Milliseconds{250});
    const std::vector<FlowKey> expected{TestFlow(4), TestFlow(3), TestFlow(1), TestFlow(2),
                                        OtherRouteFlow(5)};
    CPPUNIT_ASSERT(TakeFlows(5, Milliseconds{300}) == expected);
    // From three quarters of the goal of 200 ms on, an opening is late.
    AddWithGoal(TestFlow(1), 1, Milliseconds{-10});
    AddWithGoal(TestFlow(2), 1, Milliseconds{0});
    AddWithGoal(TestFlow(3), 1, Milliseconds{1});
    const std::vector<FlowKey> twoLate{TestFlow(3), TestFlow(1), TestFlow(2)};
    CPPUNIT_ASSERT(TakeFlows(3, Milliseconds{150}) == twoLate);
  }

  // Guards against another order for routes that state no goal, however long their openings wait.
  void OpeningsWithoutGoalStayNewestFirst()
  {
    Add(1, 2, Milliseconds{0});
    Add(2, 1, Milliseconds{0});
    Add(3, 1, Milliseconds{10});
    const std::vector<FlowKey> expected{TestFlow(3), TestFlow(2), TestFlow(1)};
    CPPUNIT_ASSERT(TakeFlows(3, Milliseconds{5'000}) == expected);
  }

  // Guards against a lesser priority that gets no place while a greater one fills them all: each
  // 200 ms, five openings of priority 1 come and five places become free.
  void LesserPriorityIsNotPassedOverForASecond()
  {
    constexpr int kRounds = 50;
    constexpr Milliseconds kRound{200};
    Milliseconds lastTaken{0};
    Milliseconds longest{0};
    std::size_t taken = 0;
    for (int round = 0; round < kRounds; ++round) {
      const Milliseconds now = round * kRound;
      mQueue.TakeExpired(kStart + now);
      for (int i = 0; i < 5; ++i) {
        AddWithGoal(TestFlow(static_cast<std::uint16_t>(5 * round + i)), 1, now);
      }
      AddWithGoal(OtherRouteFlow(static_cast<std::uint16_t>(round)), 2, now);
      for (const FlowKey& flow : TakeFlows(5, now)) {
        if (flow.mServicePort != TestFlow(1).mServicePort) {
          longest = std::max(longest, now - lastTaken);
          lastTaken = now;
          ++taken;
        }
      }
    }
    CPPUNIT_ASSERT(longest > Milliseconds{0} && longest <= Milliseconds{1'000});
    // One in 800 ms, so that the greater priority gets the rest.
    CPPUNIT_ASSERT(taken >= 9 && taken <= 13);
  }

  // Guards against a turn that is used up by an opening of another service, which the upstream with
  // room can't serve.
  void PassedOverRouteOfAnotherServiceKeepsItsTurn()
  {
    AddWithGoal(TestFlow(1), 1, Milliseconds{0});
    AddWithGoal(OtherRouteFlow(2), 2, Milliseconds{0});
    const auto none = [](const WaitingOpening&) { return false; };
    CPPUNIT_ASSERT(mQueue.Take(1, none, kStart + Milliseconds{900}).empty());
    CPPUNIT_ASSERT(TakeFlows(1, Milliseconds{900}) == std::vector<FlowKey>{OtherRouteFlow(2)});
  }

  // Guards against a route whose openings all expire before their turn: they wait for 1 s at most,
  // but one after the other for longer than 800 ms.
  void ExpiryIsNoTurn()
  {
    AddWithGoal(OtherRouteFlow(1), 2, Milliseconds{0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mQueue.TakeExpired(kStart + Milliseconds{1'001}).size());
    AddWithGoal(TestFlow(2), 1, Milliseconds{1'010});
    AddWithGoal(OtherRouteFlow(3), 2, Milliseconds{1'010});
    CPPUNIT_ASSERT(TakeFlows(1, Milliseconds{1'020}) == std::vector<FlowKey>{OtherRouteFlow(3)});
    CPPUNIT_ASSERT(TakeFlows(1, Milliseconds{1'030}) == std::vector<FlowKey>{TestFlow(2)});
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
