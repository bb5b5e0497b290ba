// The main function that the daemons share.
#pragma once

#include "dandelionslip/Config/LoadSettings.h"
#include "dandelionslip/Daemon/CommandLine.h"

#include <functional>
#include <iostream>
#include <string>

namespace dandelionslip {

/// Exit codes of the daemons.
enum ProgramExit : int
{
  ExitOk = 0,
  ExitFailure = 1,        ///< Could not start, for example because an address is in use.
  ExitUsage = kUsageExit, ///< Wrong command line or settings.
  ExitDataFailure = 3,    ///< A control replica stopped because of its disk or identity.
  ExitFenced = 4,         ///< A newer process runs under the same name.
};

/// Parses the command line, loads and checks the settings, and runs the program.
template <typename Settings>
int ProgramMain(const char* aUsage, const std::string& aName, int aArgc, char** aArgv,
                const std::function<Result<int>(const Settings&, const ProgramArguments&)>& aRun)
{
  const auto parsed = ParseCommandLine(aUsage, aName, aArgc, aArgv);
  if (const int* exitCode = std::get_if<int>(&parsed)) {
    return *exitCode;
  }
  const auto& arguments = std::get<ProgramArguments>(parsed);
  const std::string path = arguments.at("--config").asString();
  const auto settings = LoadSettings<Settings>(path);
  if (!settings) {
    std::cerr << settings.error().Message() << "\n";
    return ExitUsage;
  }
  if (arguments.at("--check-config").asBool()) {
    std::cout << path << ": ok\n";
    return ExitOk;
  }
  const auto code = aRun(settings.value(), arguments);
  if (!code) {
    std::cerr << code.error().Message() << "\n";
    return ExitFailure;
  }
  return code.value();
}

} // namespace dandelionslip
