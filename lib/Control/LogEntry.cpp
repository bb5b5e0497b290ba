// Names of the entry kinds.
#include "dandelionslip/Control/LogEntry.h"

#include <array>

namespace dandelionslip {

std::span<const EnumName<EntryKind>> EnumNames(EntryKind)
{
  static constexpr std::array<EnumName<EntryKind>, 3> kNames{{
    {EntryKind::NoOp, "no_op"},
    {EntryKind::Command, "command"},
    {EntryKind::Membership, "membership"},
  }};
  return kNames;
}

} // namespace dandelionslip
