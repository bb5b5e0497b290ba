// Tests of the commands that an adapter submits: no late copy undoes a newer command.
#include "dandelionslip/Control/SubmittedCommand.h"
#include "dandelionslip/Control/ConfigurationStore.h"
#include "dandelionslip/Support/InputAge.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

constexpr Milliseconds kTurn{20};
constexpr Milliseconds kFreeze{7'000};
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::string_view kDataCentre = "a";

Command Order(int aNumber, bool aOutOfService)
{
  Command command;
  command.mPublicationId = "00000000-0000-4000-8000-00000000000" + std::to_string(aNumber);
  command.mIssuedMs = 1'796'000'000'000;
  command.mDataCentre = DataCentreChange{std::string(kDataCentre), aOutOfService, std::nullopt};
  return command;
}

class SubmittedCommandTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SubmittedCommandTest);
  CPPUNIT_TEST(LateCopiesOfAnOrderDoNotUndoANewerOne);
  CPPUNIT_TEST(LateCopiesOfAnOrderDoNotUndoANewerOneAfterARestart);
  CPPUNIT_TEST(ResentCopiesOfAnOrderAreAcknowledgedAgain);
  CPPUNIT_TEST(OrdersThatWaitedDuringAFreezeAreNotSent);
  CPPUNIT_TEST(OrdersThatTheNetworkHeldUpAreNotSent);
  CPPUNIT_TEST(OrdersFromBeforeANewerOneAreNotSent);
  CPPUNIT_TEST(OrdersRightAfterTheOppositeOneAreSent);
  CPPUNIT_TEST(RouteTablesThatWaitedAreStillSent);
  CPPUNIT_TEST_SUITE_END();

  ConfigurationStore mStore;
  DataCentreChanges mChanges;
  std::uint64_t mIndex = 0;

  SubmittedCommand Submit(const Command& aCommand) const
  {
    return {aCommand, mStore.Current(), mChanges, {kStart, kStart, kStart}};
  }

  // Applies one copy of a command, as the group does once it is committed.
  CommandOutcome Apply(const SubmittedCommand& aCommand)
  {
    const auto command = FromCbor<Command>(aCommand.Encoded(), "test");
    return mStore.Apply(++mIndex, command.value()).mOutcome;
  }

  bool OutOfService() const
  {
    return mStore.Current().mDataCentres.at(std::string(kDataCentre)).mOutOfService;
  }

  // Guards against an order that waited on its way to the leader, for example behind a cut between
  // two replicas, and withdraws a newer one that is acknowledged.
  void LateCopiesOfAnOrderDoNotUndoANewerOne()
  {
    CPPUNIT_ASSERT(Apply(Submit(Order(1, true))) == CommandOutcome::Applied);
    const SubmittedCommand late = Submit(Order(2, false));
    CPPUNIT_ASSERT(Apply(Submit(Order(3, false))) == CommandOutcome::Applied);
    CPPUNIT_ASSERT(Apply(Submit(Order(4, true))) == CommandOutcome::Applied);
    CPPUNIT_ASSERT(Apply(late) == CommandOutcome::Conflict);
    CPPUNIT_ASSERT(OutOfService());
  }

  // Guards against the same at a replica that has restarted from its snapshot and leads now.
  void LateCopiesOfAnOrderDoNotUndoANewerOneAfterARestart()
  {
    CPPUNIT_ASSERT(Apply(Submit(Order(1, true))) == CommandOutcome::Applied);
    const SubmittedCommand late = Submit(Order(2, false));
    CPPUNIT_ASSERT(Apply(Submit(Order(3, false))) == CommandOutcome::Applied);
    CPPUNIT_ASSERT(Apply(Submit(Order(4, true))) == CommandOutcome::Applied);
    const Json snapshot = mStore.Snapshot();
    mStore = ConfigurationStore();
    CPPUNIT_ASSERT(mStore.Restore(snapshot));
    CPPUNIT_ASSERT(Apply(late) == CommandOutcome::Conflict);
    CPPUNIT_ASSERT(Apply(Submit(Order(5, false))) == CommandOutcome::Applied);
    CPPUNIT_ASSERT(!OutOfService());
  }

  // Guards against a refusal of an order that was applied and whose answer was lost.
  void ResentCopiesOfAnOrderAreAcknowledgedAgain()
  {
    const SubmittedCommand order = Submit(Order(1, true));
    CPPUNIT_ASSERT(Apply(order) == CommandOutcome::Applied);
    CPPUNIT_ASSERT(Apply(order) == CommandOutcome::Applied);
  }

  // Guards against an order that waited in the socket of a process that stood still, and that is
  // read like a new one when the process goes on.
  void OrdersThatWaitedDuringAFreezeAreNotSent()
  {
    TimePoint now = kStart;
    InputAge age(now);
    const auto turn = [&] { age.NoteTurn(now += kTurn); };
    const auto expired = [&](const Command& aCommand) {
      return SubmittedCommand(aCommand, mStore.Current(), mChanges,
                              {now, age.EarliestArrival(now), now})
        .Expired(now);
    };
    for (int i = 0; i < 10; ++i) {
      turn();
    }
    CPPUNIT_ASSERT(!expired(Order(1, true)));
    now += kFreeze;
    CPPUNIT_ASSERT(expired(Order(1, true)));
    turn(); // The connection may only be accepted now,
    turn(); // and the order be read now.
    CPPUNIT_ASSERT(expired(Order(1, true)));
    turn();
    CPPUNIT_ASSERT(!expired(Order(1, true)));
  }

  // Guards against an order whose bytes the network held up after the connection was made, while
  // this process ran, and that looks like a new one when it arrives.
  void OrdersThatTheNetworkHeldUpAreNotSent()
  {
    InputAge age(kStart);
    const TimePoint connectedAt = kStart + Milliseconds{100};
    const auto expired = [&](TimePoint aNow) {
      return SubmittedCommand(Order(1, true), mStore.Current(), mChanges,
                              {connectedAt, age.EarliestArrival(connectedAt), aNow})
        .Expired(aNow);
    };
    TimePoint now = kStart;
    const auto runUntil = [&](Milliseconds aSinceStart) {
      while (now < kStart + aSinceStart) {
        age.NoteTurn(now += kTurn);
      }
    };
    runUntil(Milliseconds{500});
    CPPUNIT_ASSERT(!expired(now));
    runUntil(Milliseconds{1'000});
    CPPUNIT_ASSERT(expired(now));
    runUntil(Milliseconds{4'100});
    CPPUNIT_ASSERT(expired(now));
    CPPUNIT_ASSERT(!SubmittedCommand(Order(1, true), mStore.Current(), mChanges,
                                     {now, age.EarliestArrival(now), now})
                      .Expired(now));
  }

  // Guards against such an order that is held up for less than the timeout, while its operator
  // sends it and a newer one to other replicas.
  void OrdersFromBeforeANewerOneAreNotSent()
  {
    const TimePoint connectedAt = kStart;
    CPPUNIT_ASSERT(Apply(Submit(Order(1, true))) == CommandOutcome::Applied);
    mChanges.Note(mStore.Current(), kStart + Milliseconds{300});
    const TimePoint now = kStart + Milliseconds{400};
    CPPUNIT_ASSERT(
      SubmittedCommand(Order(2, false), mStore.Current(), mChanges, {connectedAt, connectedAt, now})
        .Expired(now));
    Command elsewhere = Order(3, false);
    elsewhere.mDataCentre->mName = "b";
    CPPUNIT_ASSERT(
      !SubmittedCommand(elsewhere, mStore.Current(), mChanges, {connectedAt, connectedAt, now})
         .Expired(now));
  }

  // Guards against refusing what an operator orders on purpose.
  void OrdersRightAfterTheOppositeOneAreSent()
  {
    TimePoint now = kStart;
    for (int i = 0; i < 4; ++i) {
      const TimePoint connectedAt = now + Milliseconds{1};
      const SubmittedCommand order(Order(i, i % 2 == 0), mStore.Current(), mChanges,
                                   {connectedAt, now - 3 * kTurn, connectedAt});
      CPPUNIT_ASSERT(!order.Expired(connectedAt));
      CPPUNIT_ASSERT(Apply(order) == CommandOutcome::Applied);
      CPPUNIT_ASSERT_EQUAL(i % 2 == 0, OutOfService());
      mChanges.Note(mStore.Current(), now = connectedAt);
    }
  }

  // Guards against refusing route tables after each pause: a late one changes nothing.
  void RouteTablesThatWaitedAreStillSent()
  {
    Command command = Order(1, true);
    command.mDataCentre.reset();
    command.mRoutes.emplace();
    const SubmittedCommand table(command, mStore.Current(), mChanges,
                                 {kStart, kStart, kStart + kFreeze});
    CPPUNIT_ASSERT(!table.Expired(kStart + kFreeze) && !table.MayBeOvertaken());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmittedCommandTest);

} // namespace

} // namespace dandelionslip
