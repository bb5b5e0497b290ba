// The control replica as a process, with its log on disk.
#pragma once

#include "dandelionslip/Config/ControlSettings.h"
#include "dandelionslip/Daemon/ControlInterface.h"
#include "dandelionslip/Model/RouteTerms.h"
#include "dandelionslip/Support/Error.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionslip {

/// Reads the seeds (endpoints of control replicas) of the settings again, because the settings may
/// have changed. Returns an empty list on an error.
using SeedReader = std::function<std::vector<std::string>()>;

/// Reads the terms of routes from a published route document.
using RouteTermsReader = std::function<Result<RouteTerms>(std::string_view aDocument)>;

/// Options for starting a control replica.
struct ControlStart
{
  /// Writes the first membership from the settings to an empty data folder. Only for a new group:
  /// a replica that lost its disk must join as a learner under a new identity.
  bool mBootstrap = false;
  ControlAdapterFactory mAdapter; ///< Empty for none.
  SeedReader mReadSeeds;          ///< Empty if the seeds never change.
  RouteTermsReader mReadTerms;    ///< Empty if routes have no terms.
};

/// Runs a control replica until it is stopped by a signal. Returns the exit code of the process;
/// an error means that it could not start.
Result<int> RunControl(const ControlSettings& aSettings, const ControlStart& aStart);

} // namespace dandelionslip
