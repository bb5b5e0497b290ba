// Shared helpers of the request tests.
#pragma once

#include "dandelionslip/Request/AgentRequestCore.h"
#include "dandelionslip/Request/BalancerRequestCore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip::requesttest {

inline constexpr std::int64_t kWallStartMs = 1'900'000'000'000;

/// The time a number of milliseconds after the start of a test.
inline RequestTime At(std::int64_t aMs)
{
  return {TimePoint(Milliseconds(1'000'000 + aMs)), kWallStartMs + aMs};
}

/// A fixed number of slots.
class FixedSlots : public SlotAdmission
{
public:
  explicit FixedSlots(std::size_t aSlots)
    : mFree(aSlots)
  {
  }

  std::optional<Refusal> TryStart(TimePoint /*aNow*/) override
  {
    if (mFree == 0) {
      return Refusal{RefusalReason::SlotsFull, Milliseconds(5)};
    }
    --mFree;
    return {};
  }

  void Finished(TimePoint /*aNow*/, RuntimeClock::duration /*aLatency*/, RunResult aResult) override
  {
    ++mFree;
    mResults.push_back(aResult);
  }

  std::size_t mFree;
  std::vector<RunResult> mResults;
};

inline Bytes BytesOf(std::string_view aText)
{
  return Bytes(aText.begin(), aText.end());
}

/// An answer whose stream ended properly.
inline ReceivedAnswer Whole(std::string_view aText)
{
  return {UpstreamAnswer{200, "text/plain", BytesOf(aText)}, aText.size(), true};
}

/// An answer whose stream ended before its declared length.
inline ReceivedAnswer CutShort(std::string_view aText)
{
  return {UpstreamAnswer{200, "text/plain", BytesOf(aText)}, aText.size() + 1, true};
}

/// The actions of one type, in order.
template <typename T, typename Actions>
std::vector<T> All(const Actions& aActions)
{
  std::vector<T> found;
  for (const auto& action : aActions) {
    if (const T* match = std::get_if<T>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

/// The only action of one type; the test fails when there is none or more than one.
template <typename T, typename Actions>
T Only(const Actions& aActions)
{
  const auto found = All<T>(aActions);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.size());
  return found.front();
}

inline std::string OutcomeName(const RequestReply& aAnswer)
{
  return std::string(ToString(aAnswer.mOutcome));
}

} // namespace dandelionslip::requesttest
