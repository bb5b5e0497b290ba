// Tests of bounded, non-blocking logs.
#include "dandelionslip/Support/Log.h"
#include "dandelionslip/Support/LineWriter.h"
#include "dandelionslip/Support/LogBudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace dandelionslip {

namespace {

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(FloodsAreBoundedAndCounted);
  CPPUNIT_TEST(OneFloodLeavesOtherEventsTheirLines);
  CPPUNIT_TEST(ReadersThatStopLoseLines);
  CPPUNIT_TEST(LongLinesStayWhole);
  CPPUNIT_TEST(ValuesCannotForgeLines);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{std::chrono::seconds(100)};

  // Guards against logs that take a process's time under load, and against silent gaps.
  void FloodsAreBoundedAndCounted()
  {
    LogBudget budget;
    TimePoint now = kStart;
    std::uint64_t written = 0;
    std::uint64_t omitted = 0;
    constexpr int kSeconds = 5;
    constexpr int kFlood = 1'000;
    for (int i = 0; i < kSeconds * kFlood; ++i) {
      now += std::chrono::milliseconds(1);
      for (const auto& [event, count] : budget.TakeOmitted(now)) {
        omitted += count;
      }
      written += budget.Admit("flow_refused", now) ? 1 : 0;
    }
    now += std::chrono::seconds(1);
    for (const auto& [event, count] : budget.TakeOmitted(now)) {
      CPPUNIT_ASSERT_EQUAL(std::string("flow_refused"), event);
      omitted += count;
    }
    CPPUNIT_ASSERT(written <= std::uint64_t{kSeconds + 1} * LogBudget::kLinesPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kSeconds} * kFlood, written + omitted);
  }

  // Guards against a rare event that is lost in the flood of another one.
  void OneFloodLeavesOtherEventsTheirLines()
  {
    LogBudget budget;
    for (int i = 0; i < 1'000; ++i) {
      budget.Admit("flow_refused", kStart);
    }
    CPPUNIT_ASSERT(budget.Admit("control_replica_changed", kStart));
  }

  // Guards against a process that waits for the reader of its logs.
  void ReadersThatStopLoseLines()
  {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    LineWriter writer(ends[1]);
    const std::string line(1'000, 'x');
    constexpr int kLines = 500;
    int written = 0;
    for (int i = 0; i < kLines; ++i) {
      written += writer.Write(line) ? 1 : 0;
    }
    CPPUNIT_ASSERT(written > 0 && written < kLines);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(kLines - written), writer.Dropped());
    std::array<char, 65'536> buffer{};
    CPPUNIT_ASSERT(::read(ends[0], buffer.data(), buffer.size()) > 0);
    CPPUNIT_ASSERT(writer.Write(line));
    ::close(ends[0]);
    ::close(ends[1]);
  }

  // Guards against a long line that is torn by another process's line on the same pipe.
  void LongLinesStayWhole()
  {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    LineWriter writer(ends[1]);
    CPPUNIT_ASSERT(writer.Write(std::string(100'000, 'x')));
    std::array<char, 65'536> buffer{};
    const auto size = ::read(ends[0], buffer.data(), buffer.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(LineWriter::kMaxLineBytes), size);
    CPPUNIT_ASSERT_EQUAL('\n', buffer[LineWriter::kMaxLineBytes - 1]);
    ::close(ends[0]);
    ::close(ends[1]);
  }

  // Guards against a value from outside that begins a line or a pair of its own.
  void ValuesCannotForgeLines()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(R"("a\x0aevent=started")"), QuoteLogValue("a\nevent=started"));
    CPPUNIT_ASSERT_EQUAL(std::string(R"("a b=\"c\"")"), QuoteLogValue("a b=\"c\""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace

} // namespace dandelionslip
