// Text form of replica identities.
#include "dandelionslip/Control/ReplicaId.h"

#include <boost/uuid/uuid_generators.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <limits>

namespace dandelionslip {

namespace {

// Gives Random the interface that the UUID generator expects.
struct RandomBits
{
  // The name is given by the standard's generator requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using result_type = std::uint64_t;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr result_type min() { return 0; }
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
  result_type operator()() { return mRandom->Next(); }

  Random* mRandom;
};

} // namespace

bool IsReplicaId(std::string_view aText)
{
  constexpr std::size_t kTextLength = 36;
  if (aText.size() != kTextLength) {
    return false;
  }
  try {
    const auto id = boost::uuids::string_generator()(aText.begin(), aText.end());
    return boost::uuids::to_string(id) == aText;
  } catch (const std::exception&) {
    return false;
  }
}

ReplicaId NewReplicaId(Random& aRandom)
{
  RandomBits bits{&aRandom};
  return boost::uuids::to_string(boost::uuids::basic_random_generator<RandomBits>(bits)());
}

} // namespace dandelionslip
