// Runs the registered CppUnit tests; arguments select tests by name.
#include "dandelionslip/Support/Log.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main(int aArgc, char** aArgv)
{
  dandelionslip::InitialiseLog("unittests", "", dandelionslip::LogLevel::Error);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  controller.addListener(&collector);
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&progress);
  try {
    if (aArgc <= 1) {
      runner.run(controller);
    }
    for (int i = 1; i < aArgc; ++i) {
      runner.run(controller, aArgv[i]);
    }
  } catch (const std::exception& failure) {
    std::cerr << "test selection failed: " << failure.what() << "\n";
    return 2;
  }
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int failed = collector.testFailuresTotal();
  std::cout << (collector.runTests() - failed) << " passed, " << failed << " failed" << std::endl;
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
