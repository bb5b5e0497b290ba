// Names of the answers to a leave request.
#include "dandelionslip/Control/LeaveRequest.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<LeaveState>> EnumNames(LeaveState)
{
  static constexpr std::array<EnumName<LeaveState>, 4> kNames{{
    {LeaveState::Refused, "refused"},
    {LeaveState::Wait, "wait"},
    {LeaveState::Released, "released"},
    {LeaveState::NoSuccessor, "no_successor"},
  }};
  return kNames;
}

} // namespace dandelionslip
