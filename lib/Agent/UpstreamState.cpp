// Names of upstream states and the member states announced for them.
#include "dandelionslip/Agent/UpstreamState.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<UpstreamState>> EnumNames(UpstreamState)
{
  static constexpr std::array<EnumName<UpstreamState>, 4> kNames{{
    {UpstreamState::Cold, "cold"},
    {UpstreamState::Serving, "serving"},
    {UpstreamState::Draining, "draining"},
    {UpstreamState::Stopped, "stopped"},
  }};
  return kNames;
}

std::string_view ToString(UpstreamState aState)
{
  return EnumNames(aState)[static_cast<std::size_t>(aState)].mName;
}

MemberState ToMemberState(UpstreamState aState)
{
  static constexpr std::array<MemberState, 4> kStates{MemberState::Cold, MemberState::Serving,
                                                      MemberState::Draining, MemberState::Left};
  return kStates[static_cast<std::size_t>(aState)];
}

} // namespace dandelionslip
