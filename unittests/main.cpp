// Runs the registered CppUnit tests; arguments select tests by name. With --known-red=FILE first,
// failures of the tests that the file lists are printed but do not fail the run.
#include "dandelionslip/Support/Log.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>

namespace {

constexpr std::string_view kKnownRedOption = "--known-red=";

// The last two parts of a test's name, Suite::Test.
std::string ShortName(const std::string& aName)
{
  const auto test = aName.rfind("::");
  const auto suite = test == std::string::npos || test == 0 ? test : aName.rfind("::", test - 1);
  return suite == std::string::npos ? aName : aName.substr(suite + 2);
}

// The first word of each line that does not start with a space is the short name of a test.
std::set<std::string> ReadKnownRed(const std::string& aPath)
{
  std::set<std::string> names;
  std::ifstream file(aPath);
  for (std::string line; std::getline(file, line);) {
    std::string name;
    if (!line.empty() && line.front() != ' ' && std::istringstream(line) >> name) {
      names.insert(name);
    }
  }
  return names;
}

// Prints the failures of known tests, and those of these tests that passed, whose entries are out
// of date. Returns how many failures are known.
int ReportKnownRed(CppUnit::TestResultCollector& aCollector, const std::set<std::string>& aKnown)
{
  std::set<std::string> failed;
  for (const CppUnit::TestFailure* failure : aCollector.failures()) {
    if (const auto name = ShortName(failure->failedTestName()); aKnown.contains(name)) {
      failed.insert(name);
    }
  }
  for (const CppUnit::Test* test : aCollector.tests()) {
    if (const auto name = ShortName(test->getName()); aKnown.contains(name)) {
      std::cout << (failed.contains(name) ? "known failure: "
                                          : "listed as a known failure, passed: ")
                << name << "\n";
    }
  }
  return static_cast<int>(failed.size());
}

} // namespace

int main(int aArgc, char** aArgv)
{
  int firstTest = 1;
  std::set<std::string> knownRed;
  if (aArgc > 1 && std::string_view(aArgv[1]).starts_with(kKnownRedOption)) {
    knownRed = ReadKnownRed(aArgv[1] + kKnownRedOption.size());
    firstTest = 2;
  }
  dandelionslip::InitialiseLog("unittests", "", dandelionslip::LogLevel::Error);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  controller.addListener(&collector);
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&progress);
  try {
    if (aArgc <= firstTest) {
      runner.run(controller);
    }
    for (int i = firstTest; i < aArgc; ++i) {
      runner.run(controller, aArgv[i]);
    }
  } catch (const std::exception& failure) {
    std::cerr << "test selection failed: " << failure.what() << "\n";
    return 2;
  }
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int known = ReportKnownRed(collector, knownRed);
  const int failed = collector.testFailuresTotal() - known;
  const int run = collector.runTests() - known;
  std::cout << (run - failed) << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && run > 0 ? 0 : 1;
}
