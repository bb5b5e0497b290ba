// Command-line parsing with docopt; returns exit codes instead of docopt's exceptions.
#include "dandelionslip/Daemon/CommandLine.h"

#include <iostream>

namespace dandelionslip {

std::variant<ProgramArguments, int> ParseCommandLine(const char* aUsage, const std::string& aName,
                                                     int aArgc, char** aArgv)
{
  try {
    return docopt::docopt_parse(aUsage, {aArgv + 1, aArgv + aArgc});
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << aName << " " << DANDELIONSLIP_VERSION << "\n";
    return 0;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n" << aUsage;
    return kUsageExit;
  }
}

} // namespace dandelionslip
