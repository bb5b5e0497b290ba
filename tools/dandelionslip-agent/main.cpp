// Entry point of dandelionslip-agent.
#include "dandelionslip/Daemon/AgentDaemon.h"
#include "dandelionslip/Daemon/ProgramMain.h"

namespace {

constexpr char kUsage[] = R"(dandelionslip-agent

Usage:
  dandelionslip-agent --config=FILE [--check-config]
  dandelionslip-agent (-h | --help)
  dandelionslip-agent --version

Options:
  --config=FILE   Settings in JSON with comments.
  --check-config  Check the settings and exit.
  -h --help       Show this text.
  --version       Show the version.

Exit codes: 0 stopped as planned, 1 could not start, 2 wrong command line or settings, 4 fenced by a
newer process of the same name.
)";

} // namespace

int main(int aArgc, char** aArgv)
{
  using dandelionslip::AgentSettings;
  return dandelionslip::ProgramMain<AgentSettings>(
    kUsage, "dandelionslip-agent", aArgc, aArgv,
    [](const AgentSettings& aSettings, const dandelionslip::ProgramArguments&) {
      return dandelionslip::RunAgent(aSettings);
    });
}
