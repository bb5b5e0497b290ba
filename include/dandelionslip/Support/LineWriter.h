// Writes whole lines to a file descriptor without blocking.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace dandelionslip {

/// Writes lines to a pipe or file. A line for which the descriptor has no room is dropped and
/// counted, so that a slow reader does not delay the process. Thread-safe.
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
  bool Write(std::string aLine);

  std::uint64_t Dropped() const { return mDropped; }

private:
  int mDescriptor;
  std::atomic<std::uint64_t> mDropped{0};
};

} // namespace dandelionslip
