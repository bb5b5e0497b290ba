// Errors with a code, the operation that failed and its subject, such as an address or a file.
#pragma once

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace dandelionslip {

/// Kinds of failure that code using the library distinguishes.
enum class ErrorCode
{
  InvalidInput,  ///< Settings, a service file or a message break a rule.
  NotFound,      ///< The named item does not exist.
  Conflict,      ///< A compare-and-set failed because another writer was first.
  Unavailable,   ///< The peer or a quorum cannot be reached; nothing was done.
  Unknown,       ///< The operation may or may not have happened.
  Timeout,       ///< The deadline passed.
  Cancelled,     ///< The operation was cancelled by the code that started it.
  Io,            ///< A file or socket operation failed.
  Corrupt,       ///< Stored data fails its checksum or structure.
  LimitExceeded, ///< A size or number exceeds its limit.
};

/// The name of an error code as printed in logs.
std::string_view ToString(ErrorCode aCode);

/// One failure, and where it occurred.
struct Error
{
  ErrorCode mCode = ErrorCode::InvalidInput;
  std::string mStep;    ///< Operation that failed, for example "log.append".
  std::string mSubject; ///< Address, file, key or name that the failure is about; may be empty.
  std::string mDetail;  ///< What was found and what was expected.

  /// Formats the error as "step (subject): detail [code]".
  std::string Message() const;

  bool operator==(const Error&) const = default;
};

/// A value or an Error. Accessing the one that is not present terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// A failure, to be returned from a function whose return type is a Result.
inline auto Fail(ErrorCode aCode, std::string aStep, std::string aSubject, std::string aDetail)
{
  return boost::outcome_v2::failure(
    Error{aCode, std::move(aStep), std::move(aSubject), std::move(aDetail)});
}

/// Success without a value.
inline auto Ok()
{
  return boost::outcome_v2::success();
}

} // namespace dandelionslip
