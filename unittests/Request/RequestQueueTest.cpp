// Tests of the request queue, the retry budget and the back-off delay.
#include "RequestTestSupport.h"

namespace dandelionslip {

namespace {

using namespace requesttest;

class RequestQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestQueueTest);
  CPPUNIT_TEST(CallersTakeTurns);
  CPPUNIT_TEST(HigherClassesGoFirst);
  CPPUNIT_TEST(FullQueueDisplacesEntries);
  CPPUNIT_TEST(RequestsThatWouldMissTheirDeadlineAreRefused);
  CPPUNIT_TEST(BudgetBoundsRetries);
  CPPUNIT_TEST(BudgetTracksLimitedNumberOfCallers);
  CPPUNIT_TEST(BackoffStaysInItsWindow);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint Now(std::int64_t aMs = 0) { return At(aMs).mNow; }

  QueueOffer Offer(RequestQueue& aQueue, CallerKey aCaller,
                   TrafficClass aClass = TrafficClass::Quote, std::int64_t aDeadlineMs = 1000)
  {
    return aQueue.Offer({++mToken, aCaller, aClass, Now(aDeadlineMs)}, Now(), 1);
  }

  static std::vector<CallerKey> Drain(RequestQueue& aQueue)
  {
    std::vector<CallerKey> callers;
    while (aQueue.Front() != nullptr) {
      callers.push_back(aQueue.Pop().mCaller);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), aQueue.Size());
    return callers;
  }

  // Guards against one caller that delays all others with many requests.
  void CallersTakeTurns()
  {
    RequestQueue queue(10);
    for (const CallerKey caller : {1, 1, 1, 2, 2, 3}) {
      CPPUNIT_ASSERT(!Offer(queue, caller).mRefusal);
    }
    CPPUNIT_ASSERT((Drain(queue) == std::vector<CallerKey>{1, 2, 3, 1, 2, 1}));
  }

  // Guards against bulk requests that delay feeds and quotes.
  void HigherClassesGoFirst()
  {
    RequestQueue queue(10);
    Offer(queue, 3, TrafficClass::Bulk);
    Offer(queue, 2, TrafficClass::Quote);
    Offer(queue, 1, TrafficClass::Feed);
    CPPUNIT_ASSERT((Drain(queue) == std::vector<CallerKey>{1, 2, 3}));
  }

  // Guards against one caller or class that occupies the whole queue.
  void FullQueueDisplacesEntries()
  {
    RequestQueue queue(3);
    for (int i = 0; i < 3; ++i) {
      Offer(queue, 1, TrafficClass::Bulk);
    }
    CPPUNIT_ASSERT(RefusalReason::SlotsFull ==
                   Offer(queue, 1, TrafficClass::Bulk).mRefusal.value().mReason);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         Offer(queue, 2, TrafficClass::Bulk).mDisplaced.value().mToken);
    CPPUNIT_ASSERT(Offer(queue, 3, TrafficClass::Bulk).mDisplaced.has_value());
    CPPUNIT_ASSERT(Offer(queue, 4, TrafficClass::Bulk).mRefusal.has_value());
    CPPUNIT_ASSERT(Offer(queue, 4, TrafficClass::Quote).mDisplaced.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), queue.Size());
    CPPUNIT_ASSERT_EQUAL(CallerKey(4), queue.Front()->mCaller);
  }

  // Guards against running requests that can no longer be answered in time.
  void RequestsThatWouldMissTheirDeadlineAreRefused()
  {
    RequestQueue queue(10);
    queue.ObserveRunTime(Milliseconds(100));
    CPPUNIT_ASSERT(!Offer(queue, 1, TrafficClass::Quote, 200).mRefusal);
    CPPUNIT_ASSERT(RefusalReason::Deadline ==
                   Offer(queue, 1, TrafficClass::Quote, 299).mRefusal.value().mReason);
    CPPUNIT_ASSERT(!Offer(queue, 1, TrafficClass::Quote, 300).mRefusal);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.TakeOverdue(Now(100)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.TakeOverdue(Now(101)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.Size());
    for (int i = 0; i < 100; ++i) {
      queue.ObserveRunTime(Milliseconds(10));
    }
    CPPUNIT_ASSERT(queue.ExpectedRunTime() < Milliseconds(11));
  }

  // Guards against retries that multiply the load during an outage.
  void BudgetBoundsRetries()
  {
    RetryBudget budget;
    CPPUNIT_ASSERT(budget.TryRetry(1, 1, Now()));
    CPPUNIT_ASSERT(!budget.TryRetry(1, 1, Now()));
    CPPUNIT_ASSERT(budget.TryRetry(2, 1, Now()));
    CPPUNIT_ASSERT(!budget.TryRetry(1, 1, Now(999)));
    CPPUNIT_ASSERT(budget.TryRetry(1, 1, Now(1000)));
    for (int i = 0; i < 30; ++i) {
      budget.OnSuccess(1, 1, Now(1000));
    }
    int retries = 0;
    while (budget.TryRetry(1, 1, Now(1000))) {
      ++retries;
    }
    CPPUNIT_ASSERT_EQUAL(3, retries);
  }

  // Guards against memory use or retries that grow with the number of callers.
  void BudgetTracksLimitedNumberOfCallers()
  {
    RetryBudgetLimits limits;
    limits.mMaxBudgets = 100;
    RetryBudget budget(limits);
    std::size_t granted = 0;
    for (CallerKey caller = 0; caller < 1000; ++caller) {
      granted += budget.TryRetry(1, caller, Now()) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(101), granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), budget.TrackedBudgets());
    CPPUNIT_ASSERT(budget.TryRetry(1, 5000, Now(60'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), budget.TrackedBudgets());
  }

  // Guards against synchronised retries and against delays beyond the largest window.
  void BackoffStaysInItsWindow()
  {
    Random random(51);
    for (std::uint32_t retry = 0; retry < 40; ++retry) {
      const Milliseconds window(std::min<std::int64_t>(1000, 20LL << std::min(retry, 20U)));
      RuntimeClock::duration largest{0};
      for (int i = 0; i < 200; ++i) {
        largest = std::max(largest, FullJitterDelay(retry, {}, random));
      }
      CPPUNIT_ASSERT(largest <= window && largest > window * 9 / 10);
    }
  }

  std::uint64_t mToken = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQueueTest);

} // namespace

} // namespace dandelionslip
