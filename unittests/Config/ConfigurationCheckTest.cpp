// Tests of the checks of service files before a publication.
#include "dandelionslip/Config/ConfigurationCheck.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

namespace dandelionslip {

namespace {

std::string Text(const std::string& aName, const std::string& aAddress,
                 const std::string& aMembers = "", int aVersion = 1)
{
  return "{\n\"service\": \"" + aName + "\", \"version\": " + std::to_string(aVersion) +
         ", \"addresses\": [\"" + aAddress + "\"]" + (aMembers.empty() ? "" : ", " + aMembers) +
         "}";
}

class ConfigurationCheckTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationCheckTest);
  CPPUNIT_TEST(ExamplesHaveNoFindings);
  CPPUNIT_TEST(ErrorsOfTheReaderNameTheirPlace);
  CPPUNIT_TEST(AllConflictsInTheSetAreReported);
  CPPUNIT_TEST(AddressesThatNoCallerCanUseAreReported);
  CPPUNIT_TEST(ContradictoryLimitsAreReported);
  CPPUNIT_TEST(DifferencesFromTheVersionInForceAreListed);
  CPPUNIT_TEST(ChangesThatControlWouldRefuseAreErrors);
  CPPUNIT_TEST(FilesThatCannotBeReadAreNoFindings);
  CPPUNIT_TEST_SUITE_END();

  // The lines of all findings.
  static std::string Lines(const ConfigurationCheck& aCheck)
  {
    std::string lines;
    for (const auto& finding : aCheck.Findings()) {
      lines += finding.ToString() + "\n";
    }
    return lines;
  }

  // The findings for file "a" alone.
  static std::string Check(const std::string& aText)
  {
    ConfigurationCheck check;
    check.AddText("a", aText);
    return Lines(check);
  }

  static std::string CheckMembers(const std::string& aMembers)
  {
    return Check(Text("web", "10.0.0.1:80", aMembers));
  }

  // A configuration with the services of these files.
  static Configuration InForce(const std::vector<std::string>& aTexts)
  {
    Configuration configuration;
    for (const std::string& text : aTexts) {
      const ServiceSpec spec = ParseServiceSpec(text, "in force").value();
      configuration.mServices[spec.mName] = {1, spec};
    }
    return configuration;
  }

  // Guards against warnings for sound files, for which operators would ignore the rest.
  void ExamplesHaveNoFindings()
  {
    ConfigurationCheck check;
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(EXAMPLES_DIR)) {
      if (entry.path().string().ends_with(kServiceFileSuffix)) {
        CPPUNIT_ASSERT(check.AddFile(entry.path().string()));
        ++files;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, files);
    CPPUNIT_ASSERT_EQUAL(std::string(), Lines(check));
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckMembers(""));
  }

  // Guards against errors without a place, and against files that pass the check although a
  // publication refuses them.
  void ErrorsOfTheReaderNameTheirPlace()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("a: slots: error: found 4, expected no such key\n"),
                         CheckMembers("\"slots\": 4"));
    CPPUNIT_ASSERT_EQUAL(
      std::string("a: cold_limit.slots: error: found 9, expected at most slots_per_upstream\n"),
      CheckMembers("\"cold_limit\": {\"slots\": 9}"));
    CPPUNIT_ASSERT_EQUAL(
      std::string("a: addresses[0]: error: found \"web:80\", expected a numeric address:port\n"),
      Check(Text("web", "web:80")));
    CPPUNIT_ASSERT(CheckMembers("\"buckets\" 4").starts_with("a: line 2, column "));
    CPPUNIT_ASSERT_EQUAL(std::string("a: top level: error: duplicate key \"version\"\n"),
                         CheckMembers("\"version\": 2"));
    CPPUNIT_ASSERT(Check("[]").starts_with("a: top level: error: found [], expected an object"));
  }

  // Guards against a conflict that shows only after another one was corrected.
  void AllConflictsInTheSetAreReported()
  {
    ConfigurationCheck check;
    check.AddText("a", Text("web", "10.0.0.1:80\", \"[2001:db8::1]:80"));
    check.AddText("b", Text("web", "[2001:db8:0::1]:80\", \"10.0.0.1:80"));
    CPPUNIT_ASSERT_EQUAL(
      std::string("b: service: error: found \"web\", which is also declared in a\n"
                  "b: addresses[0]: error: found \"[2001:db8:0::1]:80\", which is also used in a\n"
                  "b: addresses[1]: error: found \"10.0.0.1:80\", which is also used in a\n"),
      Lines(check));
    CPPUNIT_ASSERT(check.HasErrors());
  }

  // Guards against a service that never gets a flow.
  void AddressesThatNoCallerCanUseAreReported()
  {
    for (const char* address :
         {"0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::]:80", "[ff02::1]:80"}) {
      CPPUNIT_ASSERT_EQUAL("a: addresses[0]: warning: found \"" + std::string(address) +
                             "\", to which no caller can send\n",
                           Check(Text("web", address)));
    }
    for (const char* address : {"1.0.0.1:80", "127.0.0.1:80", "223.255.255.255:80", "[::1]:80"}) {
      CPPUNIT_ASSERT_EQUAL(std::string(), Check(Text("web", address)));
    }
    std::string many = "10.0.0.1:1";
    for (int port = 2; port <= 65; ++port) {
      many += "\", \"10.0.0.1:" + std::to_string(port);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a: addresses: error: found 65, expected at most 64\n"),
                         Check(Text("web", many)));
  }

  // Guards against limits that are accepted although one makes another ineffective, and against
  // warnings at equal limits.
  void ContradictoryLimitsAreReported()
  {
    const auto assertWarns = [](const std::string& aMembers, const std::string& aPath) {
      const std::string lines = CheckMembers(aMembers);
      CPPUNIT_ASSERT_MESSAGE(lines, lines.starts_with("a: " + aPath + ": warning: found "));
      CPPUNIT_ASSERT_MESSAGE(lines, lines.find('\n') == lines.size() - 1);
    };
    const std::string timeouts = "\"flow_idle_timeout_ms\": 5000, \"request_timeout_ms\": ";
    assertWarns(timeouts + "5001", "request_timeout_ms");
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckMembers(timeouts + "5000"));
    const std::string cold =
      "\"cold_limit\": {\"connections\": 8}, \"connections_per_upstream\": 8";
    assertWarns(cold + ", \"slots_per_upstream\": 9", "slots_per_upstream");
    CPPUNIT_ASSERT_EQUAL(std::string(), CheckMembers(cold + ", \"slots_per_upstream\": 8"));
    assertWarns("\"cold_limit\": {\"slots\": 4, \"connections\": 3}", "cold_limit.slots");
    // 21 slots with requests of up to 5 s need 4.2 flows a second.
    assertWarns("\"slots_per_upstream\": 21, \"opens_per_second\": 4", "opens_per_second");
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckMembers("\"slots_per_upstream\": 21, \"opens_per_second\": 5"));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckMembers("\"slots_per_upstream\": 20, \"opens_per_second\": 4"));
    ConfigurationCheck check;
    check.AddText("a", Text("web", "10.0.0.1:80", timeouts + "5001"));
    CPPUNIT_ASSERT(!check.HasErrors());
  }

  // Guards against differences that are missing, and against ones that count as findings: a
  // publication is meant to change something.
  void DifferencesFromTheVersionInForceAreListed()
  {
    ConfigurationCheck check;
    check.AddText("same", Text("same", "10.0.0.1:80"));
    check.AddText("new", Text("new", "10.0.0.2:80"));
    check.AddText("changed", Text("changed", "10.0.0.3:81", "\"cold_limit\": {\"slots\": 2}", 8));
    check.CompareWith(
      InForce({Text("same", "10.0.0.1:80"), Text("changed", "10.0.0.3:80", "", 7)}));
    std::string lines;
    for (const auto& difference : check.Differences()) {
      lines += difference.ToString() + "\n";
    }
    CPPUNIT_ASSERT_EQUAL(
      std::string("new: service: difference: in force nothing, found \"new\"\n"
                  "changed: addresses: difference: in force [\"10.0.0.3:80\"], found "
                  "[\"10.0.0.3:81\"]\n"
                  "changed: cold_limit.slots: difference: in force 1, found 2\n"
                  "changed: version: difference: in force 7, found 8\n"),
      lines);
    CPPUNIT_ASSERT_EQUAL(std::string(), Lines(check));
  }

  // Guards against files that pass the check although control refuses them.
  void ChangesThatControlWouldRefuseAreErrors()
  {
    ConfigurationCheck check;
    check.AddText("a", Text("web", "10.0.0.1:80", "\"buckets\": 64", 3));
    check.AddText("b", Text("new", "10.0.0.2:80", "", 2));
    check.AddText("c", Text("moved", "10.0.0.4:80", "", 2));
    check.AddText("d", Text("taker", "10.0.0.3:80"));
    check.CompareWith(InForce({Text("web", "10.0.0.1:80", "", 3), Text("other", "10.0.0.2:80"),
                               Text("moved", "10.0.0.3:80")}));
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        "a: version: error: found 3, expected 4, because 3 is in force\n"
        "a: buckets: error: found 64, expected 1024, because buckets are fixed once the service "
        "exists\n"
        "b: version: error: found 2, expected 1, because the service does not exist yet\n"
        "b: addresses[0]: error: found \"10.0.0.2:80\", which service other has in force\n"),
      Lines(check));
  }

  // Guards against a mistyped path that looks like a fault of a file.
  void FilesThatCannotBeReadAreNoFindings()
  {
    ConfigurationCheck check;
    CPPUNIT_ASSERT(check.AddFile("/nonexistent/a.service.json").error().mCode == ErrorCode::Io);
    CPPUNIT_ASSERT(check.Findings().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCheckTest);

} // namespace

} // namespace dandelionslip
