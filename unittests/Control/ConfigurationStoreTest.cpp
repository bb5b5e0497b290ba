// Tests of the replicated state machine.
#include "ControlFixtures.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

constexpr std::int64_t kDayMs = kAnswerRetentionMs;

class ConfigurationStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(ConflictNamesTheWinningPublication);
  CPPUNIT_TEST(ResendsGetTheFirstAnswer);
  CPPUNIT_TEST(PublicationsWithEvictedAnswersExpire);
  CPPUNIT_TEST(AnswersOfADayAreKept);
  CPPUNIT_TEST(PublicationsAreAtomic);
  CPPUNIT_TEST(AddressesBelongToOneService);
  CPPUNIT_TEST(InvalidSpecsAreRefused);
  CPPUNIT_TEST(RecreatedServiceGetsANewId);
  CPPUNIT_TEST(DataCentreAndDrainChangesAreApplied);
  CPPUNIT_TEST(BadSnapshotsAreRefused);
  CPPUNIT_TEST(IssueTimesAreChecked);
  CPPUNIT_TEST(OlderRouteTablesAreIgnored);
  CPPUNIT_TEST(InvalidRouteTablesAreRefused);
  CPPUNIT_TEST_SUITE_END();

  static void ExpectOutcome(CommandOutcome aOutcome, const CommandAnswer& aAnswer)
  {
    CPPUNIT_ASSERT_MESSAGE(aAnswer.mDetail, aOutcome == aAnswer.mOutcome);
  }

  static bool Mentions(const CommandAnswer& aAnswer, const std::string& aText)
  {
    return aAnswer.mDetail.find(aText) != std::string::npos;
  }

  static Command RouteCommand(int aId, std::uint64_t aVersion, const std::string& aDocument)
  {
    Command command;
    command.mPublicationId = PublicationId(aId);
    command.mOperator = "operator";
    RouteTable table;
    table.mVersion = aVersion;
    table.mServices.push_back({"web", 10, Milliseconds{0}, 0});
    table.mRoutes.push_back({"route", "198.18.0.1:443", {{"web", 1}}, Milliseconds{100}, 0});
    command.mRoutes = RouteTableChange{std::move(table), aDocument};
    return command;
  }

  // Guards against an older route table, or another one with the same version, that replaces an
  // acknowledged table, and against a command with an older table that is refused instead of
  // applied without effect on the routes.
  void OlderRouteTablesAreIgnored()
  {
    ConfigurationStore store;
    ExpectOutcome(CommandOutcome::Applied, store.Apply(3, RouteCommand(1, 7, "seven")));
    ExpectOutcome(CommandOutcome::Applied, store.Apply(4, RouteCommand(2, 5, "five")));
    ExpectOutcome(CommandOutcome::Applied, store.Apply(5, RouteCommand(3, 7, "other seven")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, store.Current().mRoutes.mVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), store.RouteDocument());
    ConfigurationStore restored;
    CPPUNIT_ASSERT(restored.Restore(store.Snapshot()));
    CPPUNIT_ASSERT_EQUAL(std::string("seven"), restored.RouteDocument());
    ExpectOutcome(CommandOutcome::Applied, restored.Apply(6, RouteCommand(4, 9, "nine")));
    CPPUNIT_ASSERT_EQUAL(std::string("nine"), restored.RouteDocument());
  }

  // Guards against a route to an unknown service that is applied.
  void InvalidRouteTablesAreRefused()
  {
    ConfigurationStore store;
    Command command = RouteCommand(1, 7, "seven");
    command.mRoutes->mTable.mRoutes[0].mTargets[0].mService = "unknown";
    ExpectOutcome(CommandOutcome::Refused, store.Apply(3, command));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store.Current().mRoutes.mVersion);
  }

  // Guards against two operators who publish the same version and are both told that theirs was
  // applied.
  void ConflictNamesTheWinningPublication()
  {
    ConfigurationStore store;
    ExpectOutcome(CommandOutcome::Applied,
                  store.Apply(7, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80"))));
    const auto lost = store.Apply(8, PublishCommand(2, TestSpec("planner", 1, "192.0.2.2:80")));
    ExpectOutcome(CommandOutcome::Conflict, lost);
    CPPUNIT_ASSERT(Mentions(lost, PublicationId(1)) && Mentions(lost, "operator-1") &&
                   Mentions(lost, "revision 7"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, store.Current().mRevision);
    ExpectOutcome(CommandOutcome::Applied, store.Apply(9, DeleteCommand(3, "planner", 1)));
    const auto late = store.Apply(10, PublishCommand(4, TestSpec("planner", 2, "192.0.2.1:80")));
    CPPUNIT_ASSERT(Mentions(late, PublicationId(3)));
  }

  // Guards against a resend that is applied twice or gets another answer than the first one: after
  // a lost answer, after later publications, and after a restart from a snapshot.
  void ResendsGetTheFirstAnswer()
  {
    ConfigurationStore store;
    const Command first = PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80"));
    const Command refused = PublishCommand(2, TestSpec("Planner!", 1, "192.0.2.9:80"));
    const CommandAnswer answer = store.Apply(1, first);
    const CommandAnswer refusal = store.Apply(2, refused);
    CPPUNIT_ASSERT(answer == store.Apply(3, first));
    for (std::uint64_t version = 2; version < 300; ++version) {
      store.Apply(version + 2,
                  PublishCommand(version + 10, TestSpec("planner", version, "192.0.2.1:80")));
    }
    const Configuration before = store.Current();
    CPPUNIT_ASSERT(answer == store.Apply(400, first));
    ConfigurationStore restored;
    CPPUNIT_ASSERT(restored.Restore(DecodeCbor(EncodeCbor(store.Snapshot()), "test").value()));
    CPPUNIT_ASSERT(answer == restored.Apply(401, first));
    CPPUNIT_ASSERT(refusal == restored.Apply(402, refused));
    CPPUNIT_ASSERT(before == restored.Current());
    CPPUNIT_ASSERT(answer == restored.AnswerFor(first.mPublicationId));
    CPPUNIT_ASSERT(answer == restored.Apply(5, first));
  }

  // Guards against an old publication that is applied again once its answer is gone.
  void PublicationsWithEvictedAnswersExpire()
  {
    ConfigurationStore store;
    const Command first = PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80"), 1'000);
    store.Apply(1, first);
    store.Apply(2, DeleteCommand(2, "planner", 1));
    std::uint64_t index = 2;
    for (std::uint64_t i = 0; i < kMinKeptAnswers; ++i) {
      Command drain;
      drain.mPublicationId = PublicationId(1'000 + i);
      drain.mIssuedMs = 2'000 + kDayMs;
      drain.mDrain = DrainChange{"upstream", i % 2 == 0};
      store.Apply(++index, drain);
    }
    CPPUNIT_ASSERT(!store.AnswerFor(first.mPublicationId));
    const Configuration before = store.Current();
    ExpectOutcome(CommandOutcome::Expired, store.Apply(++index, first));
    ConfigurationStore restored;
    CPPUNIT_ASSERT(restored.Restore(store.Snapshot()));
    ExpectOutcome(CommandOutcome::Expired, restored.Apply(++index, first));
    CPPUNIT_ASSERT(before == restored.Current());
    const auto fresh = PublishCommand(3, TestSpec("planner", 1, "192.0.2.1:80"), 2'000 + kDayMs);
    ExpectOutcome(CommandOutcome::Applied, restored.Apply(++index, fresh));
  }

  // Guards against answers that are dropped early when many commands arrive within a day, and
  // against memory without bound when they do not stop.
  void AnswersOfADayAreKept()
  {
    ConfigurationStore store;
    Command drain;
    drain.mIssuedMs = 5'000;
    drain.mDrain = DrainChange{"upstream", true};
    for (std::uint64_t i = 1; i <= kMaxAnswers; ++i) {
      drain.mPublicationId = PublicationId(i);
      store.Apply(i, drain);
    }
    CPPUNIT_ASSERT(store.AnswerFor(PublicationId(1)).has_value());
    drain.mPublicationId = PublicationId(kMaxAnswers + 1);
    ExpectOutcome(CommandOutcome::NotApplied, store.Apply(kMaxAnswers + 1, drain));
    drain.mIssuedMs += kDayMs + 1;
    ExpectOutcome(CommandOutcome::Applied, store.Apply(kMaxAnswers + 2, drain));
  }

  // Guards against a publication of which only a part is applied.
  void PublicationsAreAtomic()
  {
    ConfigurationStore store;
    store.Apply(1, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    const Configuration before = store.Current();
    Command both = PublishCommand(2, TestSpec("render", 1, "192.0.2.2:80"));
    both.mServices.push_back({"planner", 4, TestSpec("planner", 5, "192.0.2.1:80")});
    both.mDataCentre = DataCentreChange{"klang-a", true, std::nullopt};
    ExpectOutcome(CommandOutcome::Conflict, store.Apply(2, both));
    both.mPublicationId = PublicationId(3);
    both.mServices[1] = {"planner", 1, TestSpec("planner", 2, "192.0.2.2:80")};
    ExpectOutcome(CommandOutcome::Refused, store.Apply(3, both));
    CPPUNIT_ASSERT(before == store.Current());
  }

  // Guards against packets that reach the wrong service because two services share an address.
  void AddressesBelongToOneService()
  {
    ConfigurationStore store;
    store.Apply(1, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    const auto taken =
      store.Apply(2, PublishCommand(2, TestSpec("render", 1, "[::ffff:192.0.2.1]:80")));
    ExpectOutcome(CommandOutcome::Refused, taken);
    CPPUNIT_ASSERT(Mentions(taken, "planner"));
    Command takeover = DeleteCommand(3, "planner", 1);
    takeover.mServices.push_back({"render", 0, TestSpec("render", 1, "192.0.2.1:80")});
    ExpectOutcome(CommandOutcome::Applied, store.Apply(3, takeover));
    CPPUNIT_ASSERT_EQUAL(ServiceId{3}, store.Current().FindService("render")->mId);
  }

  // Guards against specs that are applied although the check of a service file would reject them.
  void InvalidSpecsAreRefused()
  {
    ConfigurationStore store;
    store.Apply(1, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    auto refuse = [&, id = std::uint64_t{1}](auto aChange) mutable {
      Command command = PublishCommand(++id, TestSpec("planner", 2, "192.0.2.1:80"));
      aChange(command);
      ExpectOutcome(CommandOutcome::Refused, store.Apply(id, command));
    };
    refuse([](Command& aCommand) { aCommand.mServices[0].mSpec->mBuckets = 2048; });
    refuse([](Command& aCommand) { aCommand.mServices[0].mSpec->mBuckets = 1000; });
    refuse([](Command& aCommand) { aCommand.mServices[0].mSpec->mSlots = 0; });
    refuse([](Command& aCommand) { aCommand.mServices[0].mSpec->mVersion = 3; });
    refuse([](Command& aCommand) { aCommand.mServices[0].mSpec->mAddresses = {"example:80"}; });
    refuse([](Command& aCommand) { aCommand.mServices[0].mName = "render"; });
    refuse([](Command& aCommand) { aCommand.mServices.push_back(aCommand.mServices[0]); });
    refuse([](Command& aCommand) { aCommand.mServices.clear(); });
    refuse([](Command& aCommand) { aCommand.mPublicationId = "1"; });
    refuse(
      [](Command& aCommand) { aCommand.mOperator = std::string(kMaxOperatorLength + 1, 'a'); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.Current().mRevision);
  }

  // Guards against traffic of a deleted service that is taken for traffic of a new service with the
  // same name.
  void RecreatedServiceGetsANewId()
  {
    ConfigurationStore store;
    store.Apply(1, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    store.Apply(2, PublishCommand(2, TestSpec("planner", 2, "192.0.2.1:80")));
    CPPUNIT_ASSERT_EQUAL(ServiceId{1}, store.Current().FindService("planner")->mId);
    store.Apply(3, DeleteCommand(3, "planner", 2));
    CPPUNIT_ASSERT(store.Current().mServices.empty());
    store.Apply(4, PublishCommand(4, TestSpec("planner", 1, "192.0.2.1:80")));
    CPPUNIT_ASSERT_EQUAL(ServiceId{4}, store.Current().FindService("planner")->mId);
  }

  // Guards against an outdated return of a data centre that overrides a newer removal.
  void DataCentreAndDrainChangesAreApplied()
  {
    ConfigurationStore store;
    Command command;
    const auto apply = [&](std::uint64_t aIndex) {
      command.mPublicationId = PublicationId(aIndex);
      command.mIssuedMs = 1;
      return store.Apply(aIndex, command);
    };
    command.mDataCentre = DataCentreChange{"klang-a", true, std::nullopt};
    ExpectOutcome(CommandOutcome::Applied, apply(1));
    command.mDataCentre = DataCentreChange{"klang-a", false, 0};
    ExpectOutcome(CommandOutcome::Conflict, apply(2));
    CPPUNIT_ASSERT(store.Current().IsDataCentreOut("klang-a"));
    command.mDataCentre->mExpectedVersion = 1;
    ExpectOutcome(CommandOutcome::Applied, apply(3));
    CPPUNIT_ASSERT(!store.Current().IsDataCentreOut("klang-a"));
    command.mDataCentre.reset();
    command.mDrain = DrainChange{"planner-1", true};
    ExpectOutcome(CommandOutcome::Applied, apply(4));
    CPPUNIT_ASSERT(store.Current().IsDrained("planner-1"));
    command.mDrain->mDrained = false;
    apply(5);
    CPPUNIT_ASSERT(store.Current().mDrained.empty());
  }

  // Guards against a damaged or outdated snapshot that replaces good state.
  void BadSnapshotsAreRefused()
  {
    ConfigurationStore store;
    store.Apply(1, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    const Json old = store.Snapshot();
    store.Apply(2, PublishCommand(2, TestSpec("render", 1, "192.0.2.2:80")));
    const Json good = store.Snapshot();
    CPPUNIT_ASSERT(!store.Restore(old));
    const auto refuses = [&](const char* aPointer, const Json& aValue) {
      Json bad = good;
      bad[Json::json_pointer(aPointer)] = aValue;
      return !store.Restore(bad) && store.Snapshot() == good;
    };
    CPPUNIT_ASSERT(refuses("/applied_index", 1));
    CPPUNIT_ASSERT(refuses("/configuration/revision", 3));
    CPPUNIT_ASSERT(refuses("/configuration/services/planner/id", 9));
    CPPUNIT_ASSERT(refuses("/configuration/services/planner/spec/addresses/0", "192.0.2.2:80"));
    CPPUNIT_ASSERT(refuses("/answers/1/index", 1));
    CPPUNIT_ASSERT(refuses("/answers/1/publication_id", PublicationId(1)));
    CPPUNIT_ASSERT(refuses("/extra", 1));
    CPPUNIT_ASSERT(store.Restore(good));
  }

  // Guards against an operator's wrong clock that makes answers look older than they are.
  void IssueTimesAreChecked()
  {
    Command command;
    command.mIssuedMs = 10 * kDayMs;
    CPPUNIT_ASSERT(CheckIssueTime(command, 10 * kDayMs));
    CPPUNIT_ASSERT(!CheckIssueTime(command, 10 * kDayMs - 600'000));
    CPPUNIT_ASSERT(!CheckIssueTime(command, 11 * kDayMs + 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

} // namespace

} // namespace dandelionslip
