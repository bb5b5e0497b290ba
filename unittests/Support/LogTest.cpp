// Tests of rate-limited, non-blocking logging.
#include "dandelionslip/Support/Log.h"
#include "dandelionslip/Support/LineWriter.h"
#include "dandelionslip/Support/LogRateLimiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

namespace dandelionslip {

namespace {

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(LinesAreLimitedAndOmissionsCounted);
  CPPUNIT_TEST(EventsAreLimitedSeparately);
  CPPUNIT_TEST(WriterDoesNotBlockOnFullPipe);
  CPPUNIT_TEST(LongLinesAreTruncated);
  CPPUNIT_TEST(ValuesCannotInjectLines);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{std::chrono::seconds(100)};

  // Guards against logging that takes much processor time under load, and against omitted lines
  // that are not counted.
  void LinesAreLimitedAndOmissionsCounted()
  {
    LogRateLimiter limiter;
    TimePoint now = kStart;
    std::uint64_t written = 0;
    std::uint64_t omitted = 0;
    constexpr int kSeconds = 5;
    constexpr int kEventsPerSecond = 1'000;
    for (int i = 0; i < kSeconds * kEventsPerSecond; ++i) {
      now += std::chrono::milliseconds(1);
      for (const auto& [event, count] : limiter.TakeOmitted(now)) {
        omitted += count;
      }
      written += limiter.AllowLine("flow_refused", now) ? 1 : 0;
    }
    now += std::chrono::seconds(1);
    for (const auto& [event, count] : limiter.TakeOmitted(now)) {
      CPPUNIT_ASSERT_EQUAL(std::string("flow_refused"), event);
      omitted += count;
    }
    CPPUNIT_ASSERT(written <= std::uint64_t{kSeconds + 1} * LogRateLimiter::kLinesPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kSeconds} * kEventsPerSecond, written + omitted);
  }

  // Guards against a rare event that is omitted because of many lines of another event.
  void EventsAreLimitedSeparately()
  {
    LogRateLimiter limiter;
    for (int i = 0; i < 1'000; ++i) {
      limiter.AllowLine("flow_refused", kStart);
    }
    CPPUNIT_ASSERT(limiter.AllowLine("control_replica_changed", kStart));
  }

  // Guards against a process that blocks while nothing reads its log.
  void WriterDoesNotBlockOnFullPipe()
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

  // Guards against a long line that is interleaved with lines of another process on the same pipe.
  void LongLinesAreTruncated()
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

  // Guards against received values that inject a log line or a key=value pair.
  void ValuesCannotInjectLines()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(R"("a\x0aevent=started")"), QuoteLogValue("a\nevent=started"));
    CPPUNIT_ASSERT_EQUAL(std::string(R"("a b=\"c\"")"), QuoteLogValue("a b=\"c\""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace

} // namespace dandelionslip
