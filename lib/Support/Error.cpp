// Converts errors to text.
#include "dandelionslip/Support/Error.h"

namespace dandelionslip {

std::string_view ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
      return "invalid_input";
    case ErrorCode::NotFound:
      return "not_found";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::Unknown:
      return "unknown";
    case ErrorCode::Timeout:
      return "timeout";
    case ErrorCode::Cancelled:
      return "cancelled";
    case ErrorCode::Io:
      return "io";
    case ErrorCode::Corrupt:
      return "corrupt";
    case ErrorCode::LimitExceeded:
      return "limit_exceeded";
  }
  return "unknown";
}

std::string Error::Message() const
{
  std::string text = mStep;
  if (!mSubject.empty()) {
    text += " (" + mSubject + ")";
  }
  text += ": " + mDetail + " [";
  text += ToString(mCode);
  return text + "]";
}

} // namespace dandelionslip
