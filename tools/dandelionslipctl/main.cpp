// Command-line tool for operators.
#include "dandelionslip/Config/ConfigurationCheck.h"
#include "dandelionslip/Config/Publication.h"
#include "dandelionslip/Daemon/CommandLine.h"
#include "dandelionslip/Daemon/OperatorClient.h"
#include "dandelionslip/Model/Endpoint.h"
#include "dandelionslip/Request/RequestId.h"
#include "dandelionslip/Support/RuntimeClock.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace dandelionslip {

namespace {

constexpr char kUsage[] = R"(dandelionslipctl

Usage:
  dandelionslipctl validate FILE...
  dandelionslipctl check [options] FILE...
  dandelionslipctl publish [options] [--id=UUID] [--operator=NAME] [--expected-version=N] FILE...
  dandelionslipctl collect [options] [--id=UUID] [--operator=NAME] [--dry-run] FOLDER...
  dandelionslipctl delete [options] [--id=UUID] [--operator=NAME] SERVICE VERSION
  dandelionslipctl data-centre (out | in) [options] [--id=UUID] [--operator=NAME] NAME
  dandelionslipctl (drain | undrain) [options] [--id=UUID] [--operator=NAME] UPSTREAM
  dandelionslipctl replica add [options] REPLICA ENDPOINT
  dandelionslipctl replica (promote | remove) [options] REPLICA
  dandelionslipctl status [options] [--json]
  dandelionslipctl (-h | --help)
  dandelionslipctl --version

Commands:
  validate     Check service files without contacting control.
  check        Report errors, entries without effect and contradictory limits of service files that
               are to be published together, one a line as "FILE: PATH: error|warning: text". With
               --control, also what differs from the version in force; otherwise control is not
               contacted.
  publish      Publish the given service files as one change.
  collect      Publish those service files in the FOLDERs that differ from the current
               configuration, as one change.
  delete       Delete SERVICE, whose current version is VERSION.
  data-centre  Take the data centre NAME out of service, or in again.
  drain        Send no new work to UPSTREAM; undrain ends this.
  replica      Add a control replica as a learner, make a learner a voter (promote), or remove a
               replica.
  status       Show the control replicas, and the configuration and view of the newest one.

Options:
  --control=LIST        Control endpoints, separated by commas. Commands other than check use
                        127.0.0.1:7400,127.0.0.1:7401,127.0.0.1:7402 without it.
  --timeout-ms=N        Time to wait for an answer from control [default: 5000].
  --id=UUID             Publication id, a UUID of version 7. To learn the outcome of a command whose
                        answer was lost, send it again with the same id.
  --operator=NAME       Name shown to operators whose commands conflict with this one
                        [default: operator].
  --expected-version=N  Reject files whose version is not N + 1.
  --dry-run             Show what would be published, and publish nothing.
  --json                Print the complete status as JSON.

Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 not applied, 6 outcome unknown,
7 publication id expired. Those of check: 0 no finding, 1 control did not answer, 2 an argument or a
file cannot be used, 3 errors, 8 only warnings.
)";

// There is no default in the usage text, because check must know whether the option was given.
constexpr const char* kDefaultControl = "127.0.0.1:7400,127.0.0.1:7401,127.0.0.1:7402";

enum CtlExit : int
{
  ExitOk = 0,
  ExitFailed = 1,
  ExitRefused = 3,
  ExitWarnings = 8,
};

using Arguments = ProgramArguments;

int ExitCodeOf(CommandOutcome aOutcome)
{
  // Indexed by CommandOutcome.
  static constexpr std::array<int, 6> kCodes{0, 3, 4, 5, 6, 7};
  return kCodes[static_cast<std::size_t>(aOutcome)];
}

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

Milliseconds TimeoutOf(const Arguments& aArguments)
{
  return Milliseconds(aArguments.at("--timeout-ms").asLong());
}

OperatorClient ClientFor(const Arguments& aArguments)
{
  const auto& control = aArguments.at("--control");
  return OperatorClient(SplitList(control ? control.asString() : kDefaultControl));
}

int PrintError(const Error& aError)
{
  std::cerr << aError.Message() << "\n";
  return aError.mCode == ErrorCode::InvalidInput ? ExitRefused : ExitFailed;
}

// The issue time is the timestamp in the publication id, so that a resend has the same issue time.
Result<PublicationIdentity> IdentityFrom(const Arguments& aArguments)
{
  Random random(SystemSeed());
  const auto& given = aArguments.at("--id");
  const auto id = given ? RequestId::Parse(given.asString())
                        : Result<RequestId>(RequestId::Make(WallClockMs(), random));
  if (!id) {
    return id.as_failure();
  }
  return PublicationIdentity{id.value().ToString(), aArguments.at("--operator").asString(),
                             id.value().TimestampMs()};
}

int Report(const CommandAnswer& aAnswer, const std::string& aPublicationId)
{
  std::cout << "outcome=" << ToJson(aAnswer.mOutcome).get<std::string>()
            << " revision=" << aAnswer.mRevision << " publication_id=" << aPublicationId;
  if (!aAnswer.mDetail.empty()) {
    std::cout << " detail=" << std::quoted(aAnswer.mDetail);
  }
  std::cout << "\n";
  return ExitCodeOf(aAnswer.mOutcome);
}

int SendCommand(const Arguments& aArguments, const Command& aCommand)
{
  auto client = ClientFor(aArguments);
  return Report(client.Send(aCommand, TimeoutOf(aArguments)), aCommand.mPublicationId);
}

Result<std::vector<ServiceFile>> LoadFiles(const Arguments& aArguments)
{
  std::vector<ServiceFile> files;
  for (const auto& path : aArguments.at("FILE").asStringList()) {
    auto spec = LoadServiceSpec(path);
    if (!spec) {
      return spec.as_failure();
    }
    files.push_back({path, std::move(spec.value())});
  }
  return files;
}

int Validate(const Arguments& aArguments)
{
  const auto files = LoadFiles(aArguments);
  if (!files) {
    return PrintError(files.error());
  }
  for (const auto& file : files.value()) {
    std::cout << file.mPath << ": ok, service " << file.mSpec.mName << " version "
              << file.mSpec.mVersion << "\n";
  }
  return ExitOk;
}

Result<void> CheckControlList(const std::string& aList)
{
  const auto endpoints = SplitList(aList);
  for (const std::string& endpoint : endpoints) {
    if (const auto parsed = Endpoint::Parse(endpoint); !parsed) {
      return parsed.as_failure();
    }
  }
  return endpoints.empty() ? Result<void>(Fail(ErrorCode::InvalidInput, "check", "--control",
                                               "found no endpoint, expected at least one"))
                           : Ok();
}

// Adds the files and compares them with the configuration in force, if --control was given. Returns
// the exit code of a failure to do so.
int RunCheck(const Arguments& aArguments, ConfigurationCheck& aCheck)
{
  const auto& control = aArguments.at("--control");
  if (control) {
    if (const auto checked = CheckControlList(control.asString()); !checked) {
      PrintError(checked.error());
      return kUsageExit;
    }
  }
  const auto timeout = TimeoutOf(aArguments);
  for (const auto& path : aArguments.at("FILE").asStringList()) {
    if (const auto added = aCheck.AddFile(path); !added) {
      PrintError(added.error());
      return kUsageExit;
    }
  }
  if (control) {
    const auto current = ClientFor(aArguments).FetchConfiguration(timeout);
    if (!current) {
      PrintError(current.error());
      return ExitFailed;
    }
    aCheck.CompareWith(current.value());
  }
  return ExitOk;
}

int Check(const Arguments& aArguments)
{
  ConfigurationCheck check;
  const int failure = RunCheck(aArguments, check);
  for (const auto& finding : check.Findings()) {
    std::cout << finding.ToString() << "\n";
  }
  for (const auto& difference : check.Differences()) {
    std::cout << difference.ToString() << "\n";
  }
  if (failure != ExitOk || check.Findings().empty()) {
    return failure;
  }
  return check.HasErrors() ? ExitRefused : ExitWarnings;
}

int PublishFiles(const Arguments& aArguments, const std::vector<ServiceFile>& aFiles)
{
  const auto identity = IdentityFrom(aArguments);
  if (!identity) {
    return PrintError(identity.error());
  }
  const auto command = BuildPublicationCommand(identity.value(), aFiles);
  return command ? SendCommand(aArguments, command.value()) : PrintError(command.error());
}

int Publish(const Arguments& aArguments)
{
  const auto files = LoadFiles(aArguments);
  if (!files) {
    return PrintError(files.error());
  }
  if (const auto& expected = aArguments.at("--expected-version")) {
    for (const auto& file : files.value()) {
      if (file.mSpec.mVersion != static_cast<std::uint64_t>(expected.asLong()) + 1) {
        return PrintError({ErrorCode::InvalidInput, "publish", file.mPath,
                           "version: found " + std::to_string(file.mSpec.mVersion) + ", expected " +
                             std::to_string(expected.asLong() + 1)});
      }
    }
  }
  return PublishFiles(aArguments, files.value());
}

int Collect(const Arguments& aArguments)
{
  const auto files = LoadServiceFiles(aArguments.at("FOLDER").asStringList());
  if (!files) {
    return PrintError(files.error());
  }
  const auto current = ClientFor(aArguments).FetchConfiguration(TimeoutOf(aArguments));
  if (!current) {
    return PrintError(current.error());
  }
  const auto changed = ChangedServiceFiles(files.value(), current.value());
  for (const auto& file : changed) {
    std::cout << "service=" << file.mSpec.mName << " version=" << file.mSpec.mVersion
              << " file=" << file.mPath << "\n";
  }
  std::cout << "checked=" << files.value().size() << " changed=" << changed.size() << "\n";
  if (changed.empty() || aArguments.at("--dry-run").asBool()) {
    return ExitOk;
  }
  return PublishFiles(aArguments, changed);
}

int Delete(const Arguments& aArguments)
{
  const std::array<ServiceDeletion, 1> deletions{
    {{aArguments.at("SERVICE").asString(),
      static_cast<std::uint64_t>(aArguments.at("VERSION").asLong())}}};
  const auto identity = IdentityFrom(aArguments);
  if (!identity) {
    return PrintError(identity.error());
  }
  const auto command = BuildPublicationCommand(identity.value(), {}, deletions);
  return command ? SendCommand(aArguments, command.value()) : PrintError(command.error());
}

// Creates a command with a publication id, lets aSetChange complete it, and sends it.
template <typename SetChange>
int CreateAndSendCommand(const Arguments& aArguments, SetChange aSetChange)
{
  const auto identity = IdentityFrom(aArguments);
  if (!identity) {
    return PrintError(identity.error());
  }
  Command command;
  command.mPublicationId = identity.value().mPublicationId;
  command.mOperator = identity.value().mOperator;
  command.mIssuedMs = identity.value().mIssuedMs;
  aSetChange(command);
  return SendCommand(aArguments, command);
}

int DataCentre(const Arguments& aArguments)
{
  return CreateAndSendCommand(aArguments, [&](Command& aCommand) {
    aCommand.mDataCentre =
      DataCentreChange{aArguments.at("NAME").asString(), aArguments.at("out").asBool(), {}};
  });
}

int Drain(const Arguments& aArguments)
{
  return CreateAndSendCommand(aArguments, [&](Command& aCommand) {
    aCommand.mDrain =
      DrainChange{aArguments.at("UPSTREAM").asString(), aArguments.at("drain").asBool()};
  });
}

int Replica(const Arguments& aArguments)
{
  RaftMembershipChange change;
  change.mReplica = aArguments.at("REPLICA").asString();
  if (aArguments.at("add").asBool()) {
    change.mKind = RaftMembershipChangeKind::AddLearner;
    change.mAddress = aArguments.at("ENDPOINT").asString();
  } else {
    change.mKind = aArguments.at("promote").asBool() ? RaftMembershipChangeKind::Promote
                                                     : RaftMembershipChangeKind::Remove;
  }
  auto client = ClientFor(aArguments);
  return Report(client.Send(change, TimeoutOf(aArguments)), "");
}

void PrintReplica(const std::string& aEndpoint, const Json& aStatus)
{
  if (aStatus.contains("error")) {
    std::cout << std::left << std::setw(22) << aEndpoint << "unreachable\n";
    return;
  }
  std::cout << std::left << std::setw(22) << aEndpoint << std::setw(14) << aStatus.value("node", "")
            << std::setw(15) << aStatus.value("role", "") << "term " << std::setw(6)
            << aStatus.value("term", 0) << "commit " << std::setw(8)
            << aStatus.value("commit_index", 0)
            << (aStatus.value("confirmed", false) ? "confirmed" : "unconfirmed") << "\n";
}

// Prints the configuration and the view that a replica reports.
void PrintState(const Json& aStatus)
{
  const Json& configuration = aStatus["configuration"];
  std::cout << "configuration revision " << configuration["revision"] << ", view revision "
            << aStatus["view"]["revision"] << "\n";
  for (const auto& [name, entry] : configuration["services"].items()) {
    std::cout << "service " << std::setw(20) << name << "version " << entry["spec"]["version"]
              << " addresses " << entry["spec"]["addresses"].dump() << "\n";
  }
  for (const auto& [name, state] : configuration["data_centres"].items()) {
    std::cout << "data centre " << std::setw(16) << name << (state["out"] == true ? "out" : "in")
              << "\n";
  }
  for (const auto& [name, member] : aStatus["view"]["members"].items()) {
    std::cout << "member " << std::setw(20) << name << std::setw(10)
              << member["kind"].get<std::string>() << std::setw(12)
              << member["state"].get<std::string>() << member["data_centre"].get<std::string>()
              << "\n";
  }
}

int ShowStatus(const Arguments& aArguments)
{
  const Json status = ClientFor(aArguments).Status(TimeoutOf(aArguments));
  if (aArguments.at("--json").asBool()) {
    std::cout << status.dump(2) << "\n";
  }
  const Json* newest = nullptr;
  for (const auto& [endpoint, replica] : status.items()) {
    if (!aArguments.at("--json").asBool()) {
      PrintReplica(endpoint, replica);
    }
    const bool newer =
      !replica.contains("error") &&
      (newest == nullptr || replica.value("commit_index", 0) > newest->value("commit_index", 0));
    newest = newer ? &replica : newest;
  }
  if (newest == nullptr) {
    return ExitFailed;
  }
  if (!aArguments.at("--json").asBool()) {
    PrintState(*newest);
  }
  return ExitOk;
}

int RunCtl(const Arguments& aArguments)
{
  using Action = int (*)(const Arguments&);
  static constexpr std::array<std::pair<const char*, Action>, 10> kActions{{
    {"validate", &Validate},
    {"check", &Check},
    {"publish", &Publish},
    {"collect", &Collect},
    {"delete", &Delete},
    {"data-centre", &DataCentre},
    {"drain", &Drain},
    {"undrain", &Drain},
    {"replica", &Replica},
    {"status", &ShowStatus},
  }};
  for (const auto& [name, action] : kActions) {
    if (aArguments.at(name).asBool()) {
      return action(aArguments);
    }
  }
  return kUsageExit;
}

} // namespace

} // namespace dandelionslip

int main(int aArgc, char** aArgv)
{
  using namespace dandelionslip;
  const auto parsed = ParseCommandLine(kUsage, "dandelionslipctl", aArgc, aArgv);
  if (const int* exitCode = std::get_if<int>(&parsed)) {
    return *exitCode;
  }
  try {
    return RunCtl(std::get<ProgramArguments>(parsed));
  } catch (const std::exception& failure) {
    // Thrown for an option or argument whose value is not a number.
    std::cerr << failure.what() << "\n";
    return kUsageExit;
  }
}
