// Entry point of dandelionslip-control.
#include "dandelionslip/Daemon/ControlDaemon.h"
#include "dandelionslip/Daemon/ProgramMain.h"

namespace {

constexpr char kUsage[] = R"(dandelionslip-control

Usage:
  dandelionslip-control --config=FILE [--check-config | --bootstrap]
  dandelionslip-control (-h | --help)
  dandelionslip-control --version

Options:
  --config=FILE   Settings in JSON with comments.
  --check-config  Check the settings and exit.
  --bootstrap     Create a new Raft group: write the initial membership to an empty data folder.
                  Never use it on a VM that replaces a lost one; that VM joins as a learner.
  -h --help       Show this text.
  --version       Show the version.

Exit codes: 0 stopped as planned, 1 could not start, 2 wrong command line or settings, 3 stopped
after a disk error or because the Raft group no longer accepts the identity of the replica.
)";

} // namespace

int main(int aArgc, char** aArgv)
{
  using dandelionslip::ControlSettings;
  return dandelionslip::ProgramMain<ControlSettings>(
    kUsage, "dandelionslip-control", aArgc, aArgv,
    [](const ControlSettings& aSettings, const dandelionslip::ProgramArguments& aArguments) {
      const dandelionslip::ControlStart start{aArguments.at("--bootstrap").asBool(), {}, {}, {}};
      return dandelionslip::RunControl(aSettings, start);
    });
}
