// Writes whole lines to a descriptor without ever waiting for its reader.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace dandelionslip {

/// A line that the descriptor cannot take at once is dropped and counted. Thread-safe.
class LineWriter
{
public:
  /// Longest line, so that a pipe takes it whole or not at all (PIPE_BUF); longer ones are cut.
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LineWriter(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// Writes the line and a line feed; false when it was dropped.
  bool Write(std::string aLine);

  std::uint64_t Dropped() const { return mDropped; }

private:
  int mDescriptor;
  std::atomic<std::uint64_t> mDropped{0};
};

} // namespace dandelionslip
