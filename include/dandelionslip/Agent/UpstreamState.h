// The state of the upstream as its agent sees it.
#pragma once

#include "dandelionslip/Model/Member.h"

#include <string_view>

namespace dandelionslip {

enum class UpstreamState
{
  Cold,     ///< Ramping up; work in flight is bounded by the ramp.
  Serving,  ///< Takes new work up to its declared limits.
  Draining, ///< Keeps established flows and running requests, takes no new work.
  Stopped,  ///< Takes nothing.
};

std::span<const EnumName<UpstreamState>> EnumNames(UpstreamState);

/// The state's name as used in logs and metrics.
std::string_view ToString(UpstreamState aState);

/// The member state to announce for an upstream in this state.
MemberState ToMemberState(UpstreamState aState);

} // namespace dandelionslip
