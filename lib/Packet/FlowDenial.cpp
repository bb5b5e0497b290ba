// Text of denials for log lines.
#include "dandelionslip/Packet/FlowDenial.h"

#include <algorithm>
#include <chrono>

namespace dandelionslip {

namespace {

// At 45 bytes each, they take a third of the longest log line.
constexpr std::size_t kMaxDenialsInText = 30;

std::string AnswerOf(const FlowDenial& aDenial)
{
  if (aDenial.mAnswer != NodeMessageType::Returned) {
    return aDenial.mAnswer == NodeMessageType::NotRegistered ? "not_registered" : "not_found";
  }
  return (aDenial.mOfOpening ? "opening_" : "packet_") + std::string(ToString(aDenial.mReason));
}

} // namespace

bool IsDeniedBy(std::span<const FlowDenial> aDenials, const Endpoint& aAgent)
{
  return std::any_of(aDenials.begin(), aDenials.end(),
                     [&](const FlowDenial& aDenial) { return aDenial.mAgent == aAgent; });
}

std::string ToText(std::span<const FlowDenial> aDenials, TimePoint aNow)
{
  const std::size_t omitted =
    aDenials.size() > kMaxDenialsInText ? aDenials.size() - kMaxDenialsInText : 0;
  std::string text;
  for (const FlowDenial& denial : aDenials.subspan(omitted)) {
    const auto age = std::chrono::duration_cast<Milliseconds>(aNow - denial.mReceivedAt).count();
    text += text.empty() ? "" : ",";
    text += denial.mAgent.ToString() + "/" + AnswerOf(denial) + "/" + std::to_string(age);
  }
  return omitted == 0 ? text : text + ",older:" + std::to_string(omitted);
}

} // namespace dandelionslip
