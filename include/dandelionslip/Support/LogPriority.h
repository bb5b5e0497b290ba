// Priority of log lines.
#pragma once

#include <cstddef>

namespace dandelionslip {

/// Which lines are left out first when there are many, or when the reader is slow.
enum class LogPriority
{
  Ordinary,
  High, ///< For resets of open flows: the only record of what decided them.
};
inline constexpr std::size_t kLogPriorities = 2;

} // namespace dandelionslip
