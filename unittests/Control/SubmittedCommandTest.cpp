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
  CPPUNIT_TEST(ResentCopiesOfAnOrderAreAcknowledgedAgain);
  CPPUNIT_TEST(OrdersThatWaitedDuringAFreezeAreNotSent);
  CPPUNIT_TEST(RouteTablesThatWaitedAreStillSent);
  CPPUNIT_TEST_SUITE_END();

  ConfigurationStore mStore;
  std::uint64_t mIndex = 0;

  SubmittedCommand Submit(const Command& aCommand) const
  {
    return {aCommand, mStore.Current(), kStart, kStart};
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
      return SubmittedCommand(aCommand, mStore.Current(), age.EarliestArrival(), now).Expired(now);
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

  // Guards against refusing route tables after each pause: a late one changes nothing.
  void RouteTablesThatWaitedAreStillSent()
  {
    Command command = Order(1, true);
    command.mDataCentre.reset();
    command.mRoutes.emplace();
    const SubmittedCommand table(command, mStore.Current(), kStart, kStart + kFreeze);
    CPPUNIT_ASSERT(!table.Expired(kStart + kFreeze) && !table.MayBeOvertaken());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmittedCommandTest);

} // namespace

} // namespace dandelionslip
