// Writes whole lines to a file descriptor without blocking.
#pragma once

#include "dandelionslip/Support/LogPriority.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace dandelionslip {

/// Writes lines to a pipe or file. A line for which the descriptor has no room is dropped and
/// counted, so that a slow reader does not delay the process. Half of a pipe is reserved for lines
/// of high priority; other lines of more than 1 KiB get a quarter of it. Thread-safe.
class LineWriter
{
public:
  /// Largest line with its line feed; longer lines are truncated. Equals PIPE_BUF, up to which a
  /// write to a pipe is atomic.
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LineWriter(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// Writes the line and a line feed. Returns false when it was dropped.
  bool Write(std::string aLine, LogPriority aPriority = LogPriority::Ordinary);

  /// If lines were dropped since the last report, writes aLine with their numbers. Does nothing
  /// while there is no room for an ordinary line. Not to be called by two threads at a time.
  void ReportDropped(const std::string& aLine);

  /// Dropped lines of all priorities.
  std::uint64_t Dropped() const;

private:
  bool HasRoom(std::size_t aBytes, LogPriority aPriority) const;
  bool TryWrite(std::string aLine, LogPriority aPriority) const;

  int mDescriptor;
  std::array<std::atomic<std::uint64_t>, kLogPriorities> mDropped{}; ///< By LogPriority.
  std::array<std::uint64_t, kLogPriorities> mReported{};
};

} // namespace dandelionslip
