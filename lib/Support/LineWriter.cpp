// Implements non-blocking writes of lines.
#include "dandelionslip/Support/LineWriter.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <numeric>
#include <utility>

namespace dandelionslip {

namespace {

// A pipe holds a fixed number of pages, and a line that does not fit the rest of a page takes a new
// one. Lines that may leave much of a page unused are limited to a smaller part of the pipe.
constexpr std::size_t kLongLineBytes = 1024;

// Whether the reserve of a pipe is free with these bytes added; true if the descriptor is no pipe.
bool LeavesReserve(int aDescriptor, std::size_t aBytes)
{
#ifdef F_GETPIPE_SZ
  int queued = 0;
  if (const int capacity = ::fcntl(aDescriptor, F_GETPIPE_SZ);
      capacity > 0 && ::ioctl(aDescriptor, FIONREAD, &queued) == 0) {
    const std::size_t limit =
      static_cast<std::size_t>(capacity) / (aBytes > kLongLineBytes ? 4 : 2);
    return static_cast<std::size_t>(queued) + aBytes <= limit;
  }
#endif
  return true;
}

} // namespace

bool LineWriter::HasRoom(std::size_t aBytes, LogPriority aPriority) const
{
  // A pipe that poll reports as writable has room for PIPE_BUF bytes, so the write does not block.
  pollfd descriptor{mDescriptor, POLLOUT, 0};
  return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0 &&
         (aPriority == LogPriority::High || LeavesReserve(mDescriptor, aBytes));
}

bool LineWriter::TryWrite(std::string aLine, LogPriority aPriority) const
{
  if (aLine.size() >= kMaxLineBytes) {
    aLine.resize(kMaxLineBytes - 1);
  }
  aLine += '\n';
  return HasRoom(aLine.size(), aPriority) && ::write(mDescriptor, aLine.data(), aLine.size()) >= 0;
}

bool LineWriter::Write(std::string aLine, LogPriority aPriority)
{
  if (TryWrite(std::move(aLine), aPriority)) {
    return true;
  }
  ++mDropped[static_cast<std::size_t>(aPriority)];
  return false;
}

void LineWriter::ReportDropped(const std::string& aLine)
{
  constexpr auto kOrdinary = static_cast<std::size_t>(LogPriority::Ordinary);
  constexpr auto kHigh = static_cast<std::size_t>(LogPriority::High);
  const std::uint64_t ordinary = mDropped[kOrdinary];
  const std::uint64_t high = mDropped[kHigh];
  if (ordinary == mReported[kOrdinary] && high == mReported[kHigh]) {
    return;
  }
  if (TryWrite(aLine + " ordinary=" + std::to_string(ordinary - mReported[kOrdinary]) +
                 " high=" + std::to_string(high - mReported[kHigh]),
               LogPriority::Ordinary)) {
    mReported = {ordinary, high};
  }
}

std::uint64_t LineWriter::Dropped() const
{
  return std::accumulate(mDropped.begin(), mDropped.end(), std::uint64_t{0});
}

} // namespace dandelionslip
