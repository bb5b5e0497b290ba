// Tests of OpeningAdmission.
#include "PacketFixtures.h"

#include "dandelionslip/Packet/OpeningAdmission.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace dandelionslip {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::uint64_t kRoute = 1;
constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kInitialLimit = 4 * kSlots;
constexpr Milliseconds kRoundTrip{8};
constexpr Milliseconds kRun{20};
constexpr Milliseconds kLongGoal{60'000};

class OpeningAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OpeningAdmissionTest);
  CPPUNIT_TEST(OffersAreNotReturnedWhileASlotIsFree);
  CPPUNIT_TEST(OpeningsThatAwaitTheirRequestCount);
  CPPUNIT_TEST(OpeningsWhoseRequestIsOverdueDoNotCount);
  CPPUNIT_TEST(RepeatedOpeningsDoNotChangeTheRoundTrip);
  CPPUNIT_TEST(LongRunningRequestsMakeOffersReturn);
  CPPUNIT_TEST(TheQueueLimitIsLearnedFromRejections);
  CPPUNIT_TEST(LateAnswersAreNotRejections);
  CPPUNIT_TEST(TheQueueLimitIsRaisedAgain);
  CPPUNIT_TEST(LastOffersKeepTheGoal);
  CPPUNIT_TEST(RoomStaysWithinTheQueueLimit);
  CPPUNIT_TEST(UnknownCostsAreNotTakenAsZero);
  CPPUNIT_TEST(ChangedSlotsTakeEffectAtOnce);
  CPPUNIT_TEST(TheFirstHeartbeatKeepsRequestsAndForgetsCosts);
  CPPUNIT_TEST_SUITE_END();

  OpeningAdmission mAdmission;
  TimePoint mNow = kStart;

public:
  void setUp() override { mAdmission.OnUpstreamStarted(kSlots); }

private:
  void Open(std::uint16_t aCaller) { mAdmission.OnOpened(TestFlow(aCaller), kRoute, mNow); }
  void Request(std::uint16_t aCaller) { mAdmission.OnRequest(TestFlow(aCaller), kRoute, mNow); }
  void Answer(std::uint16_t aCaller) { mAdmission.OnAnswered(TestFlow(aCaller), mNow); }

  void OpenAll(std::uint16_t aFirst, std::uint16_t aEnd)
  {
    for (std::uint16_t caller = aFirst; caller < aEnd; ++caller) {
      Open(caller);
    }
  }

  void RequestAll(std::uint16_t aFirst, std::uint16_t aEnd)
  {
    for (std::uint16_t caller = aFirst; caller < aEnd; ++caller) {
      Request(caller);
    }
  }

  // Runs one request after the other, so that none waits. One of aLongEvery takes aLong.
  void Learn(Milliseconds aRun = kRun, int aLongEvery = 0, Milliseconds aLong = kRun)
  {
    for (int i = 1; i <= 100; ++i) {
      Open(1);
      mNow += kRoundTrip;
      Request(1);
      mNow += aLongEvery > 0 && i % aLongEvery == 0 ? aLong : aRun;
      Answer(1);
    }
  }

  bool AcceptsFirst() { return mAdmission.Accepts({kRoute, false, kLongGoal, kLongGoal, 0}, mNow); }
  bool AcceptsLast(Milliseconds aGoal = kLongGoal, std::uint32_t aPriority = 0)
  {
    return mAdmission.Accepts({kRoute, true, aGoal, kLongGoal, aPriority}, mNow);
  }

  // Guards against openings that are returned although a slot is free, and against flows that are
  // still counted after they were answered or removed in any state.
  void OffersAreNotReturnedWhileASlotIsFree()
  {
    Random random(7);
    std::map<std::uint16_t, bool> requested; // By caller.
    std::uint16_t caller = 0;
    for (int i = 0; i < 20'000; ++i) {
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(requested.size()), mAdmission.Ahead());
      const bool first = AcceptsFirst();
      CPPUNIT_ASSERT(requested.size() >= kSlots || (first && AcceptsLast(Milliseconds{1}, 9)));
      mNow += std::chrono::microseconds(random.Below(500));
      const auto item = requested.empty()
                          ? requested.end()
                          : std::next(requested.begin(),
                                      static_cast<std::ptrdiff_t>(random.Below(requested.size())));
      const auto action = random.Below(5);
      if (requested.size() < 4 && action < 2) {
        caller = static_cast<std::uint16_t>((caller + 1) % 20'000);
        requested[caller] = action == 1; // A request may come without an opening.
        action == 1 ? Request(caller) : Open(caller);
      } else if (item != requested.end() && action == 2) {
        mAdmission.OnGone(TestFlow(item->first), mNow);
        requested.erase(item);
      } else if (item != requested.end() && !item->second) {
        item->second = true;
        Request(item->first);
      } else if (item != requested.end()) {
        Answer(item->first);
        Answer(item->first); // A repeated answer has no effect.
        requested.erase(item);
      }
    }
  }

  // Guards against balancers that fill the same slots within one round trip of the callers.
  void OpeningsThatAwaitTheirRequestCount()
  {
    Learn();
    OpenAll(1, 2);
    CPPUNIT_ASSERT(AcceptsFirst());
    OpenAll(2, 3);
    CPPUNIT_ASSERT(!AcceptsFirst());
    CPPUNIT_ASSERT_EQUAL(kSlots, mAdmission.Ahead());
    mAdmission.OnGone(TestFlow(1), mNow);
    CPPUNIT_ASSERT(AcceptsFirst());
    // A repeated opening awaits its request as long as a new one.
    OpenAll(1, 3);
    mNow += Milliseconds{90};
    OpenAll(1, 3);
    mNow += Milliseconds{90};
    CPPUNIT_ASSERT(!AcceptsFirst());
  }

  // Guards against slots that are kept for callers that have abandoned the opening.
  void OpeningsWhoseRequestIsOverdueDoNotCount()
  {
    Learn();
    OpenAll(1, 3);
    mNow += Milliseconds{100};
    CPPUNIT_ASSERT(!AcceptsFirst());
    mNow += Milliseconds{1};
    CPPUNIT_ASSERT(AcceptsFirst());
    RequestAll(1, 3); // Late, but they count from now on.
    CPPUNIT_ASSERT(!AcceptsFirst());
  }

  // Guards against lost packets that lengthen the mean round trip, which would hide waiting times.
  void RepeatedOpeningsDoNotChangeTheRoundTrip()
  {
    for (int i = 0; i < 100; ++i) {
      Open(1);
      mNow += Milliseconds{200};
      if (i % 2 == 0) {
        Open(1);
        mNow += kRoundTrip;
      }
      Request(1);
      mNow += kRun;
      Answer(1);
    }
    OpenAll(1, 3);
    const auto wait = mAdmission.ExpectedWait(mNow);
    CPPUNIT_ASSERT(wait && *wait > Milliseconds{11} && *wait < Milliseconds{13});
  }

  // Guards against openings that wait behind the 3% of requests that take 7 times the mean: that
  // they have run longer than others shows that they still need long.
  void LongRunningRequestsMakeOffersReturn()
  {
    Learn(kRun, 33, 7 * kRun);
    RequestAll(1, 3);
    mNow += kRun * 3 / 4;
    CPPUNIT_ASSERT(AcceptsFirst());
    mNow += 2 * kRun;
    CPPUNIT_ASSERT(!AcceptsFirst());
    CPPUNIT_ASSERT(*mAdmission.ExpectedWait(mNow) > 3 * kRun);
  }

  // Guards against requests that are sent to a queue that has rejected others.
  void TheQueueLimitIsLearnedFromRejections()
  {
    Learn();
    RequestAll(1, 7);
    CPPUNIT_ASSERT(AcceptsLast());
    Request(7);
    mNow += Milliseconds{1};
    Answer(7);
    CPPUNIT_ASSERT_EQUAL(6U, mAdmission.QueueLimit());
    CPPUNIT_ASSERT(!AcceptsLast());
    mNow += kRun;
    Answer(1);
    CPPUNIT_ASSERT(AcceptsLast());
  }

  // Guards against a limit that falls because a request ran earlier than the account says.
  void LateAnswersAreNotRejections()
  {
    Learn();
    RequestAll(1, 5);
    mNow += kRun;
    Answer(4);
    CPPUNIT_ASSERT_EQUAL(kInitialLimit, mAdmission.QueueLimit());
  }

  // Guards against an upstream that stays at a limit that was learned from a rejection with another
  // cause, and against a limit that rises while it is not reached.
  void TheQueueLimitIsRaisedAgain()
  {
    TheQueueLimitIsLearnedFromRejections();
    mNow += Milliseconds{4'000};
    Request(8);
    mAdmission.Expire(mNow);
    CPPUNIT_ASSERT_EQUAL(6U, mAdmission.QueueLimit());
    mNow += Milliseconds{1'000};
    mAdmission.Expire(mNow);
    CPPUNIT_ASSERT_EQUAL(7U, mAdmission.QueueLimit());
    mNow += Milliseconds{10'000};
    mAdmission.Expire(mNow);
    CPPUNIT_ASSERT_EQUAL(7U, mAdmission.QueueLimit());
  }

  // Number of openings ahead at which a last offer is returned.
  std::uint32_t QueueFor(Milliseconds aGoal, std::uint32_t aPriority)
  {
    mAdmission.OnUpstreamStarted(2 * kSlots);
    Learn();
    std::uint16_t caller = 1;
    while (caller < 100 && AcceptsLast(aGoal, aPriority)) {
      Open(caller++);
    }
    return mAdmission.Ahead();
  }

  // Guards against requests that are accepted and then miss their goal, and against urgent requests
  // that find the queue full of others. With four slots, each four openings ahead add one run of
  // 20 ms to the wait: 12, 32 and 52 ms, because the round trip overlaps it.
  void LastOffersKeepTheGoal()
  {
    Learn();
    const auto quantile =
      std::chrono::ceil<Milliseconds>(*mAdmission.Costs().Quantile(kRoute, 0.9));
    const Milliseconds goal = kRoundTrip + quantile + Milliseconds{54};
    CPPUNIT_ASSERT_EQUAL(16U, QueueFor(goal, 0));
    CPPUNIT_ASSERT_EQUAL(12U, QueueFor(goal, 1));
    CPPUNIT_ASSERT_EQUAL(8U, QueueFor(goal, 2));
    CPPUNIT_ASSERT_EQUAL(12U, QueueFor(goal - Milliseconds{4}, 0));
    // Without a goal, half of the timeout counts: twelve ahead wait for 52 ms.
    QueueFor(goal, 1);
    CPPUNIT_ASSERT(mAdmission.Accepts({kRoute, true, {}, Milliseconds{108}, 2}, mNow));
    CPPUNIT_ASSERT(!mAdmission.Accepts({kRoute, true, {}, Milliseconds{100}, 0}, mNow));
    // A goal that cannot be kept does not make an upstream with a short wait refuse.
    CPPUNIT_ASSERT_EQUAL(8U, QueueFor(Milliseconds{1}, 2));
  }

  // Guards against reports that invite more openings than the upstream's queue holds.
  void RoomStaysWithinTheQueueLimit()
  {
    CPPUNIT_ASSERT_EQUAL(2 * kSlots, mAdmission.Room(Milliseconds{200}, mNow));
    Learn(Milliseconds{1'000});
    CPPUNIT_ASSERT_EQUAL(kSlots, mAdmission.Room(Milliseconds{200}, mNow));
    mAdmission.OnUpstreamStarted(kSlots);
    Learn();
    for (std::uint16_t ahead = 0; ahead < 12; ++ahead) {
      CPPUNIT_ASSERT_EQUAL(kInitialLimit - std::min<std::uint32_t>(ahead, kInitialLimit),
                           mAdmission.Room(Milliseconds{200}, mNow));
      Open(ahead);
    }
  }

  // Guards against a full upstream that looks idle because none of its requests has ended yet.
  void UnknownCostsAreNotTakenAsZero()
  {
    RequestAll(1, 3);
    CPPUNIT_ASSERT(!mAdmission.ExpectedWait(mNow));
    CPPUNIT_ASSERT(!AcceptsFirst() && AcceptsLast(Milliseconds{1}));
    RequestAll(3, kInitialLimit);
    CPPUNIT_ASSERT(AcceptsLast());
    Request(kInitialLimit);
    CPPUNIT_ASSERT(!AcceptsLast());
  }

  // Guards against a queue limit of the earlier number of slots, and against requests whose start
  // is missed because it came with the new slots: their answers would look like short runs.
  void ChangedSlotsTakeEffectAtOnce()
  {
    Learn();
    RequestAll(1, 5);
    mNow += Milliseconds{1};
    mAdmission.SetSlots(2 * kSlots, mNow);
    CPPUNIT_ASSERT_EQUAL(2 * kInitialLimit, mAdmission.QueueLimit());
    mNow += Milliseconds{300};
    for (std::uint16_t caller = 4; caller >= 1; --caller) {
      Answer(caller);
    }
    CPPUNIT_ASSERT(*mAdmission.Costs().Mean(kRoute) > kRun + Milliseconds{9});
    mAdmission.SetSlots(1, mNow);
    CPPUNIT_ASSERT_EQUAL(4U, mAdmission.QueueLimit());
    CPPUNIT_ASSERT(AcceptsFirst());
    Open(1);
    CPPUNIT_ASSERT(!AcceptsFirst());
  }

  // Guards against costs that a restarted agent learned before it knew how many requests run at
  // once: requests that ran beside each other seem to have run one after the other, and quickly.
  void TheFirstHeartbeatKeepsRequestsAndForgetsCosts()
  {
    mAdmission = {};
    RequestAll(1, 13);
    mNow += kRun;
    for (std::uint16_t caller = 1; caller < 11; ++caller) {
      Answer(caller);
    }
    CPPUNIT_ASSERT(mAdmission.Costs().Mean());
    mAdmission.OnUpstreamFound(kSlots, mNow);
    CPPUNIT_ASSERT(!mAdmission.Costs().Mean());
    CPPUNIT_ASSERT_EQUAL(2U, mAdmission.Ahead());
    CPPUNIT_ASSERT_EQUAL(kInitialLimit, mAdmission.QueueLimit());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpeningAdmissionTest);

} // namespace

} // namespace dandelionslip
