// The rules by which a command changes the configuration.
#pragma once

#include "dandelionslip/Control/ConfigurationStoreState.h"
#include "dandelionslip/Support/Error.h"

#include <string_view>
#include <variant>

namespace dandelionslip {

/// Checks the form of a publication id: a UUID in lower case, so that one id has one spelling.
bool IsPublicationId(std::string_view aText);

/// The configuration after the command of entry aIndex, or the answer that says why it is not
/// applied.
std::variant<Configuration, CommandAnswer> Evaluate(const ConfigurationStoreState& aState,
                                                    std::uint64_t aIndex, const Command& aCommand);

/// Checks the rules for every configuration: each service is valid and has the name of its key, no
/// address is in two services, and the sizes are within their limits. Errors name the service or
/// key.
Result<void> CheckConfiguration(const Configuration& aConfiguration);

} // namespace dandelionslip
