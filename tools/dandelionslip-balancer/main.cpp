// Entry point of dandelionslip-balancer.
#include "dandelionslip/Daemon/BalancerDaemon.h"
#include "dandelionslip/Daemon/ProgramMain.h"

namespace {

constexpr char kUsage[] = R"(dandelionslip-balancer

Usage:
  dandelionslip-balancer --config=FILE [--check-config]
  dandelionslip-balancer (-h | --help)
  dandelionslip-balancer --version

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
  using dandelionslip::BalancerSettings;
  return dandelionslip::ProgramMain<BalancerSettings>(
    kUsage, "dandelionslip-balancer", aArgc, aArgv,
    [](const BalancerSettings& aSettings, const dandelionslip::ProgramArguments&) {
      return dandelionslip::RunBalancer(aSettings);
    });
}
