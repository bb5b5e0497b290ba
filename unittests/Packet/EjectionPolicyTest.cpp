// Tests of ChooseEjected.
#include "dandelionslip/Packet/EjectionPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

class EjectionPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EjectionPolicyTest);
  CPPUNIT_TEST(AtMostAThirdIsEjected);
  CPPUNIT_TEST(TheLastUpstreamOfADataCentreIsNotEjected);
  CPPUNIT_TEST(OlderVerdictsAreEjectedFirst);
  CPPUNIT_TEST(UpstreamsThatAcceptNothingDoNotCount);
  CPPUNIT_TEST(HealthyUpstreamsAreNotEjected);
  CPPUNIT_TEST_SUITE_END();

  static EjectionCandidate Healthy(std::string_view aDataCentre)
  {
    return {aDataCentre, true, false, Milliseconds{0}};
  }

  static EjectionCandidate Failing(std::string_view aDataCentre, int aAgeMs = 100)
  {
    return {aDataCentre, true, true, Milliseconds{aAgeMs}};
  }

  static std::size_t Count(const std::vector<EjectionCandidate>& aCandidates)
  {
    const auto ejected = ChooseEjected(aCandidates);
    CPPUNIT_ASSERT_EQUAL(aCandidates.size(), ejected.size());
    return static_cast<std::size_t>(std::count(ejected.begin(), ejected.end(), true));
  }

  // Guards against a fault that all upstreams seem to have, for example of the network, which would
  // leave the rest with more work than they can do.
  void AtMostAThirdIsEjected()
  {
    for (std::size_t upstreams = 0; upstreams <= 100; ++upstreams) {
      const std::vector<EjectionCandidate> candidates(upstreams, Failing("north"));
      CPPUNIT_ASSERT_EQUAL(upstreams / 3, Count(candidates));
    }
  }

  // Guards against callers that only reach upstreams of other data centres.
  void TheLastUpstreamOfADataCentreIsNotEjected()
  {
    std::vector<EjectionCandidate> candidates(6, Healthy("north"));
    candidates.push_back(Failing("south"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(candidates));
    candidates.push_back(Failing("south"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(candidates));
    // One that takes no flows does not serve the data centre.
    candidates.back().mAccepts = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(candidates));
  }

  // Guards against balancers that eject different upstreams, and against a failing upstream that
  // returns because a later verdict takes its place.
  void OlderVerdictsAreEjectedFirst()
  {
    const std::vector<EjectionCandidate> candidates{Failing("north", 200), Failing("north", 100),
                                                    Failing("north", 400), Failing("north", 300),
                                                    Healthy("north"),      Healthy("north")};
    CPPUNIT_ASSERT(
      (ChooseEjected(candidates) == std::vector<bool>{false, false, true, true, false, false}));
    // Equal ages: the order of the candidates decides.
    const std::vector<EjectionCandidate> equal(3, Failing("north"));
    CPPUNIT_ASSERT((ChooseEjected(equal) == std::vector<bool>{true, false, false}));
  }

  // Guards against more than a third of the upstreams that are left while others are down.
  void UpstreamsThatAcceptNothingDoNotCount()
  {
    std::vector<EjectionCandidate> candidates(3, Failing("north"));
    candidates.resize(9, {"north", false, true, Milliseconds{500}});
    const auto ejected = ChooseEjected(candidates);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(candidates));
    CPPUNIT_ASSERT(std::none_of(ejected.begin() + 3, ejected.end(), [](bool aIs) { return aIs; }));
  }

  // Guards against an ejection without a verdict.
  void HealthyUpstreamsAreNotEjected()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(std::vector(9, Healthy("north"))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionPolicyTest);

} // namespace

} // namespace dandelionslip
