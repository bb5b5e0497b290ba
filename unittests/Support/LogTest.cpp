// Tests of rate-limited, non-blocking logging.
#include "dandelionslip/Support/Log.h"
#include "dandelionslip/Support/LineWriter.h"
#include "dandelionslip/Support/LogRateLimiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <iostream>
#include <poll.h>
#include <unistd.h>

namespace dandelionslip {

namespace {

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(LinesAreLimitedAndOmissionsCounted);
  CPPUNIT_TEST(EventsAreLimitedSeparately);
  CPPUNIT_TEST(HighPriorityHasALargerBoundedBudget);
  CPPUNIT_TEST(WriterDoesNotBlockOnFullPipe);
  CPPUNIT_TEST(ResetsAreWrittenAfterOtherLinesFilledThePipe);
  CPPUNIT_TEST(EventsPassTheirPriorityToTheWriter);
  CPPUNIT_TEST(DroppedLinesAreReportedOnceThereIsRoom);
  CPPUNIT_TEST(LinesGoToFilesWithoutAReserve);
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

  // Guards against resets of open flows that are omitted because of other lines, and against a
  // budget for them that takes a balancer's processor.
  void HighPriorityHasALargerBoundedBudget()
  {
    LogRateLimiter limiter;
    const auto write = [&limiter](TimePoint aNow, LogPriority aPriority) {
      std::uint32_t written = 0;
      for (int i = 0; i < 1'000; ++i) {
        written += limiter.AllowLine("flow_reset", aNow, aPriority) ? 1 : 0;
      }
      return written;
    };
    constexpr std::uint32_t kAtOnce =
      LogRateLimiter::kLinesPerSecond + LogRateLimiter::kHighPriorityBurst;
    CPPUNIT_ASSERT_EQUAL(LogRateLimiter::kLinesPerSecond, write(kStart, LogPriority::Ordinary));
    CPPUNIT_ASSERT_EQUAL(kAtOnce, write(kStart, LogPriority::High));
    // While resets go on, the burst is not regained.
    TimePoint now = kStart;
    for (int second = 0; second < 3; ++second) {
      now += std::chrono::seconds(1);
      CPPUNIT_ASSERT_EQUAL(LogRateLimiter::kLinesPerSecond, write(now, LogPriority::High));
    }
    CPPUNIT_ASSERT_EQUAL(LogRateLimiter::kLinesPerSecond + LogRateLimiter::kLinesPerSecond,
                         write(now + std::chrono::seconds(2), LogPriority::High));
    CPPUNIT_ASSERT_EQUAL(kAtOnce, write(now + std::chrono::seconds(60), LogPriority::High));
    std::uint64_t omitted = 0;
    for (const auto& [event, count] : limiter.TakeOmitted(now + std::chrono::seconds(60))) {
      omitted += count;
    }
    constexpr std::uint64_t kAttempts = 7'000;
    CPPUNIT_ASSERT_EQUAL(kAttempts - std::uint64_t{6} * LogRateLimiter::kLinesPerSecond -
                           2 * std::uint64_t{kAtOnce},
                         omitted);
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

  // Guards against resets without a line because other lines have filled the pipe, also with lines
  // that leave most of each page of the pipe unused.
  void ResetsAreWrittenAfterOtherLinesFilledThePipe()
  {
    constexpr int kResets = 50;
    for (const std::size_t size : {40, 300, 1'000, 1'100, 1'500, 2'100, 2'800, 4'000}) {
      std::array<int, 2> ends{};
      CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
      LineWriter writer(ends[1]);
      const std::string line(size, 'x');
      constexpr int kLines = 30'000;
      int ordinary = 0;
      int high = 0;
      for (int i = 0; i < kLines; ++i) {
        ordinary += writer.Write(line) ? 1 : 0;
      }
      for (int i = 0; i < kResets; ++i) {
        high += writer.Write(std::string(500, 'r'), LogPriority::High) ? 1 : 0;
      }
      CPPUNIT_ASSERT(ordinary > 0 && ordinary < kLines);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(size), kResets, high);
      for (int i = 0; i < kLines; ++i) {
        high += writer.Write(line, LogPriority::High) ? 1 : 0;
      }
      CPPUNIT_ASSERT(high < kLines);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2 * kLines + kResets - ordinary - high), writer.Dropped());
      ::close(ends[0]);
      ::close(ends[1]);
    }
  }

  // Guards against a priority that gets lost between the event and the writer.
  void EventsPassTheirPriorityToTheWriter()
  {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    std::cout.flush();
    std::fflush(stdout);
    const int output = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    InitialiseLog("unittests", "", LogLevel::Info);
    constexpr int kFillers = 2'000;
    for (int i = 0; i < kFillers; ++i) {
      LogEvent(LogLevel::Info, "filler" + std::to_string(i)).With("text", std::string(800, 'x'));
    }
    constexpr std::size_t kResets = 20;
    for (std::size_t i = 0; i < kResets; ++i) {
      LogEvent(LogLevel::Info, "flow_reset", LogPriority::High).With("number", i);
    }
    InitialiseLog("unittests", "", LogLevel::Error);
    ::dup2(output, STDOUT_FILENO);
    ::close(output);
    ::close(ends[1]);
    std::string text;
    std::array<char, 4'096> buffer{};
    for (ssize_t size = 0; (size = ::read(ends[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    ::close(ends[0]);
    CPPUNIT_ASSERT(text.find(" event=filler0 ") != std::string::npos);
    CPPUNIT_ASSERT(text.find(" event=filler1999 ") == std::string::npos);
    for (std::size_t i = 0; i < kResets; ++i) {
      CPPUNIT_ASSERT(text.find(" event=flow_reset number=" + std::to_string(i) + "\n") !=
                     std::string::npos);
    }
  }

  // Guards against dropped lines that nobody notices.
  void DroppedLinesAreReportedOnceThereIsRoom()
  {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    LineWriter writer(ends[1]);
    std::uint64_t written = 0;
    std::uint64_t high = 0;
    for (int i = 0; i < 500; ++i) {
      written += writer.Write(std::string(999, 'x')) ? 1 : 0;
      high += writer.Write(std::string(999, 'r'), LogPriority::High) ? 1 : 0;
    }
    const std::uint64_t dropped = writer.Dropped();
    CPPUNIT_ASSERT_EQUAL(1'000 - written - high, dropped);
    writer.ReportDropped("event=log_lines_dropped");
    CPPUNIT_ASSERT_EQUAL(dropped, writer.Dropped());
    std::array<char, 200'000> buffer{};
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>((written + high) * 1'000),
                         ::read(ends[0], buffer.data(), buffer.size()));
    writer.ReportDropped("event=log_lines_dropped");
    const auto size = ::read(ends[0], buffer.data(), buffer.size());
    CPPUNIT_ASSERT(size > 0);
    CPPUNIT_ASSERT_EQUAL("event=log_lines_dropped ordinary=" + std::to_string(500 - written) +
                           " high=" + std::to_string(500 - high) + "\n",
                         std::string(buffer.data(), static_cast<std::size_t>(size)));
    // Reported once.
    writer.ReportDropped("event=log_lines_dropped");
    pollfd descriptor{ends[0], POLLIN, 0};
    CPPUNIT_ASSERT_EQUAL(0, ::poll(&descriptor, 1, 0));
    ::close(ends[0]);
    ::close(ends[1]);
  }

  // Guards against a reserve that drops lines to a file, which has no capacity.
  void LinesGoToFilesWithoutAReserve()
  {
    std::FILE* file = std::tmpfile();
    CPPUNIT_ASSERT(file != nullptr);
    LineWriter writer(::fileno(file));
    for (int i = 0; i < 200; ++i) {
      CPPUNIT_ASSERT(writer.Write(std::string(999, 'x')));
    }
    CPPUNIT_ASSERT_EQUAL(off_t{200'000}, ::lseek(::fileno(file), 0, SEEK_END));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writer.Dropped());
    std::fclose(file);
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
