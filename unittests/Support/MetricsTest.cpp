// Tests of the text exposition of metrics.
#include "dandelionslip/Support/Metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <regex>
#include <set>
#include <sstream>

namespace dandelionslip {

namespace {

class MetricsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(EveryLineParses);
  CPPUNIT_TEST(SummariesWithoutObservationsAreNumbers);
  CPPUNIT_TEST_SUITE_END();

  // Guards against output that metrics collectors reject. Each series must be one line of name,
  // labels and number, and each name must be declared once, before its series.
  void EveryLineParses()
  {
    MetricsRegistry registry;
    registry.CounterFor("flows_refused_total", "reason=\"no_route\"").Add();
    registry.CounterFor("flows_refused_total", "reason=\"no_upstream\"");
    registry.CounterFor("flows_placed_total").Add(7);
    registry.GaugeFor("term").Set(1e21);
    for (int i = 0; i < 100; ++i) {
      registry.SummaryFor("request_seconds", "service=\"web\"").Observe(0.001 * i);
    }
    const std::regex type("# TYPE ([a-z_]+) (counter|gauge|summary)");
    const std::regex series(R"(([a-z_]+)(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? )"
                            R"(-?[0-9.]+(e[+-]?[0-9]+)?)");
    std::set<std::string> declared;
    std::istringstream lines(registry.Render());
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
      std::smatch match;
      if (std::regex_match(line, match, type)) {
        CPPUNIT_ASSERT_MESSAGE(line, declared.insert(match[1]).second);
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(line, std::regex_match(line, match, series));
      std::string name = match[1];
      if (const auto suffix = name.rfind("_count"); suffix != std::string::npos) {
        name.resize(suffix);
      }
      CPPUNIT_ASSERT_MESSAGE(line, declared.contains(name));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, count);
  }

  // Guards against "nan" in the output of a process that has not observed any value yet.
  void SummariesWithoutObservationsAreNumbers()
  {
    MetricsRegistry registry;
    registry.SummaryFor("request_seconds");
    CPPUNIT_ASSERT(registry.Render().find("nan") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace

} // namespace dandelionslip
