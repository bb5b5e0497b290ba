// Command-line parsing shared by all programs.
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <variant>

namespace dandelionslip {

/// Parsed command line by option name.
using ProgramArguments = std::map<std::string, docopt::value>;

/// Exit code for a wrong command line or settings.
inline constexpr int kUsageExit = 2;

/// Parses a command line by its usage text. Returns an exit code instead if the program must end: 0
/// after --help or --version, kUsageExit after printing what is wrong.
std::variant<ProgramArguments, int> ParseCommandLine(const char* aUsage, const std::string& aName,
                                                     int aArgc, char** aArgv);

} // namespace dandelionslip
