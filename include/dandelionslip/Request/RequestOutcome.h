// Outcomes of requests, and the replies that carry them.
#pragma once

#include "dandelionslip/Agent/FlowAdmission.h"
#include "dandelionslip/Support/Fields.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionslip {

enum class RequestOutcome
{
  Answered, ///< The answer is complete.
  /// This attempt and all lower ones did not run and never will. For an idempotent request, an
  /// agent's reply covers only this attempt, and a balancer's reply covers all attempts that the
  /// balancer made.
  NotRun,
  Unknown,   ///< The request may have run.
  Cancelled, ///< The caller cancelled the request before it ran.
  /// The agent does not decide about the id now: it is not the owner of the bucket, has no valid
  /// lease, or has too many requests that wait for the bucket. Never passed on to a caller.
  NotOwner,
};

std::span<const EnumName<RequestOutcome>> EnumNames(RequestOutcome);

/// The outcome's name as used in headers, metrics and logs.
std::string_view ToString(RequestOutcome aOutcome);

/// The response of an upstream to one run.
struct UpstreamAnswer
{
  std::uint32_t mStatus = 200;
  std::string mContentType;
  Bytes mBody;

  bool operator==(const UpstreamAnswer&) const = default;
};

/// An answer as read from a stream, with what is needed to detect that it was truncated.
struct ReceivedAnswer
{
  UpstreamAnswer mAnswer;
  std::optional<std::uint64_t> mDeclaredLength; ///< content-length, if the sender set it.
  bool mEndOfStream = false;                    ///< The sender ended the stream (END_STREAM).

  /// Whether the sender ended the stream and the body has the declared length.
  bool IsComplete() const
  {
    return mEndOfStream && (!mDeclaredLength || *mDeclaredLength == mAnswer.mBody.size());
  }
};

/// Length and XXH3 hash of an answer, known even when there was no room to keep the answer.
struct AnswerDigest
{
  std::uint64_t mLength = 0;
  std::uint64_t mHash = 0;

  bool operator==(const AnswerDigest&) const = default;
};

/// The reply to the sender of a request.
struct RequestReply
{
  RequestOutcome mOutcome = RequestOutcome::Unknown;
  UpstreamAnswer mAnswer; ///< Set when the outcome is Answered.
  /// Why the request was refused. With outcome Unknown: the last known refusal, if any.
  std::optional<Refusal> mRefusal;
  /// Set with outcome Unknown when the request ran but its answer was not kept.
  std::optional<AnswerDigest> mDigest;

  bool operator==(const RequestReply&) const = default;
};

/// Builders of replies, one for each outcome.
RequestReply AnsweredReply(UpstreamAnswer aAnswer);
RequestReply NotRunReply(Refusal aRefusal);
RequestReply UnknownReply(std::optional<Refusal> aRefusal = {});
RequestReply CancelledReply();
RequestReply NotOwnerReply(RefusalReason aReason);

} // namespace dandelionslip
