// Implements non-blocking writes of lines.
#include "dandelionslip/Support/LineWriter.h"

#include <poll.h>
#include <unistd.h>

namespace dandelionslip {

bool LineWriter::Write(std::string aLine)
{
  if (aLine.size() >= kMaxLineBytes) {
    aLine.resize(kMaxLineBytes - 1);
  }
  aLine += '\n';
  // A pipe that poll reports as writable has room for PIPE_BUF bytes, so the write does not block.
  pollfd descriptor{mDescriptor, POLLOUT, 0};
  const bool writable = ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  if (!writable || ::write(mDescriptor, aLine.data(), aLine.size()) < 0) {
    ++mDropped;
    return false;
  }
  return true;
}

} // namespace dandelionslip
