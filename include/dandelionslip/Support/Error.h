// Typed errors that carry the step and the peer at which they arose.
#pragma once

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace dandelionslip {

/// Kinds of failure that callers of the library tell apart.
enum class ErrorCode
{
  InvalidInput,  ///< Settings, service file or message that breaks a rule.
  NotFound,      ///< The named item does not exist.
  Conflict,      ///< A compare-and-set lost against another writer.
  Unavailable,   ///< The peer or a quorum cannot be reached; nothing was done.
  Unknown,       ///< The operation may or may not have happened.
  Timeout,       ///< The deadline passed.
  Cancelled,     ///< The caller withdrew the operation.
  Io,            ///< A file or socket operation failed.
  Corrupt,       ///< Stored data fails its checksum or structure.
  LimitExceeded, ///< A stated bound was reached.
};

/// The name of an error code as printed in logs.
std::string_view ToString(ErrorCode aCode);

/// One failure with the place where it arose.
struct Error
{
  ErrorCode mCode = ErrorCode::InvalidInput;
  std::string mStep;   ///< Operation under way, for example "log.append".
  std::string mPeer;   ///< Address, file or replica involved; may be empty.
  std::string mDetail; ///< What was found and what was expected.

  /// Renders the error as "step (peer): detail [code]".
  std::string Message() const;

  bool operator==(const Error&) const = default;
};

/// A value or an Error. Reading the wrong side terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Builds a failure to return from a function with a Result.
inline auto Fail(ErrorCode aCode, std::string aStep, std::string aPeer, std::string aDetail)
{
  return boost::outcome_v2::failure(
    Error{aCode, std::move(aStep), std::move(aPeer), std::move(aDetail)});
}

/// Success without a value.
inline auto Ok()
{
  return boost::outcome_v2::success();
}

} // namespace dandelionslip
