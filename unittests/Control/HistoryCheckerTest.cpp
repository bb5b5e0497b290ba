// Tests that the history checker refuses wrong histories.
#include "Control/HistoryChecker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

LogEntry Command(LogIndex aIndex, Term aTerm, std::uint8_t aByte)
{
  return {aIndex, aTerm, EntryKind::Command, Bytes{aByte}};
}

const auto kHasAll = [](EntryId) { return true; };
const auto kHasNone = [](EntryId) { return false; };
constexpr TimePoint kStart{std::chrono::hours(1)};

class HistoryCheckerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HistoryCheckerTest);
  CPPUNIT_TEST(CorrectHistoryIsAccepted);
  CPPUNIT_TEST(WrongHistoriesAreRefused);
  CPPUNIT_TEST_SUITE_END();

  // Replicas "a" and "b" apply the same two entries; "a" accepted the first one.
  static HistoryChecker CorrectHistory()
  {
    HistoryChecker checker;
    checker.LeaderElected(1, "a", kHasAll);
    for (const ReplicaId replica : {"a", "b"}) {
      checker.Started(replica, 0, 0);
      checker.Logged(replica, Command(1, 1, 1), 0);
      checker.Logged(replica, Command(2, 1, 2), 1);
      checker.Applied(replica, Command(1, 1, 1));
      checker.Applied(replica, Command(2, 1, 2));
    }
    checker.ReportedApplied(kStart, Command(1, 1, 1));
    checker.ReportedNotApplied({9});
    checker.LeaderElected(2, "b", kHasAll);
    checker.Confirmed("b", kStart + Milliseconds(1));
    return checker;
  }

  // Guards against a checker that finds faults where there are none.
  void CorrectHistoryIsAccepted()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), CorrectHistory().FirstViolation());
  }

  static void Expect(const std::string& aWhat, const std::function<void(HistoryChecker&)>& aWrong)
  {
    HistoryChecker checker = CorrectHistory();
    aWrong(checker);
    const std::string violation = checker.FirstViolation();
    CPPUNIT_ASSERT_MESSAGE(aWhat + ": " + violation, violation.find(aWhat) != std::string::npos);
  }

  // Guards against a checker that accepts everything: each wrong history breaks one invariant.
  void WrongHistoriesAreRefused()
  {
    Expect("second leader in term 2",
           [](auto& aChecker) { aChecker.LeaderElected(2, "a", kHasAll); });
    Expect("lacks accepted entry 1",
           [](auto& aChecker) { aChecker.LeaderElected(3, "a", kHasNone); });
    Expect("logs differ at entry 2",
           [](auto& aChecker) { aChecker.Logged("b", Command(2, 1, 7), 1); });
    Expect("logs differ at entry 2",
           [](auto& aChecker) { aChecker.Logged("b", Command(2, 1, 2), 0); });
    Expect("applied entry 2 of term 1 after entry 2",
           [](auto& aChecker) { aChecker.Applied("a", Command(2, 1, 2)); });
    Expect("applied entry 4 of term 1 after entry 2",
           [](auto& aChecker) { aChecker.Applied("a", Command(4, 1, 4)); });
    Expect("instead of entry 3 of term 1", [](auto& aChecker) {
      aChecker.Applied("a", Command(3, 1, 3));
      aChecker.Applied("b", Command(3, 2, 3));
    });
    Expect("state differs after entry 3", [](auto& aChecker) {
      aChecker.Applied("a", Command(3, 1, 3));
      aChecker.Installed("b", 3, 12345);
    });
    Expect("state differs after entry 1", [](auto& aChecker) { aChecker.Started("c", 1, 7); });
    Expect("after applying entry 2",
           [](auto& aChecker) { aChecker.Installed("b", 1, aChecker.DigestOf("b")); });
    Expect("is not applied",
           [](auto& aChecker) { aChecker.ReportedApplied(kStart, Command(3, 1, 3)); });
    Expect("a refused payload was applied",
           [](auto& aChecker) { aChecker.ReportedNotApplied({2}); });
    Expect("applied refused entry 3",
           [](auto& aChecker) { aChecker.Applied("a", Command(3, 1, 9)); });
    Expect("confirmed without accepted entry 1",
           [](auto& aChecker) { aChecker.Confirmed("c", kStart + Milliseconds(1)); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

} // namespace

} // namespace dandelionslip
