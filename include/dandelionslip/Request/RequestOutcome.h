// Typed outcomes of a request and the answers that carry them.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Support/Fields.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionslip {

enum class RequestOutcome
{
  Answered,  ///< The answer is complete.
  NotRun,    ///< This attempt and all lower ones have not run and never will.
  Unknown,   ///< The request may have run.
  Cancelled, ///< Removed from the queue before it ran, at the caller's wish.
  NotOwner,  ///< The agent does not decide about this id now; never passed on to a caller.
};

std::span<const EnumName<RequestOutcome>> EnumNames(RequestOutcome);

/// The outcome's name as used in headers, metrics and logs.
std::string_view ToString(RequestOutcome aOutcome);

/// What an upstream returned for one run.
struct UpstreamAnswer
{
  std::uint32_t mStatus = 200;
  std::string mContentType;
  Bytes mBody;

  bool operator==(const UpstreamAnswer&) const = default;
};

/// An answer as taken from a stream, with what is needed to detect one that was cut short.
struct ReceivedAnswer
{
  UpstreamAnswer mAnswer;
  std::optional<std::uint64_t> mDeclaredLength; ///< content-length, if the sender gave one.
  bool mEndOfStream = false;                    ///< The sender ended the stream itself.

  /// Whether the stream ended properly and holds the declared number of bytes.
  bool IsWhole() const
  {
    return mEndOfStream && (!mDeclaredLength || *mDeclaredLength == mAnswer.mBody.size());
  }
};

/// Length and XXH3 of an answer that was too large to keep.
struct AnswerDigest
{
  std::uint64_t mLength = 0;
  std::uint64_t mHash = 0;

  bool operator==(const AnswerDigest&) const = default;
};

/// The outcome of a request as told to whoever sent it.
struct RequestReply
{
  RequestOutcome mOutcome = RequestOutcome::Unknown;
  UpstreamAnswer mAnswer;          ///< Set when answered.
  std::optional<Refusal> mRefusal; ///< Why the request was not run, or why that is unknown.
  std::optional<AnswerDigest>
    mDigest; ///< Outcome unknown to this caller: it ran, with this answer.

  bool operator==(const RequestReply&) const = default;
};

/// Builders for the outcomes without a body.
RequestReply AnsweredWith(UpstreamAnswer aAnswer);
RequestReply NotRunReply(Refusal aRefusal);
RequestReply UnknownOutcome(std::optional<Refusal> aRefusal = {});
RequestReply CancelledOutcome();
RequestReply NotOwnerReply(RefusalReason aReason);

} // namespace dandelionslip
