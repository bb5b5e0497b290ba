// Tests of the outcomes of proposals.
#include "dandelionslip/Control/ProposalTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace dandelionslip {

namespace {

class ProposalTrackerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProposalTrackerTest);
  CPPUNIT_TEST(OutcomeFollowsTheAppliedEntry);
  CPPUNIT_TEST(UnseenEntriesHaveUnknownOutcomes);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a proposal that is reported as applied although another entry replaced it, or
  // the reverse.
  void OutcomeFollowsTheAppliedEntry()
  {
    ProposalTracker tracker;
    tracker.Track({5, 1});
    tracker.Track({5, 2});
    CPPUNIT_ASSERT(tracker.OnApplied({4, 2, EntryKind::NoOp, {}}).empty());
    const std::vector<ProposalResult> expected{{{5, 1}, ProposalOutcome::NotApplied},
                                               {{5, 2}, ProposalOutcome::Applied}};
    CPPUNIT_ASSERT(tracker.OnApplied({5, 2, EntryKind::Command, {}}) == expected);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), tracker.OpenCount());
  }

  // Guards against a definite outcome when the entry at the index was never seen.
  void UnseenEntriesHaveUnknownOutcomes()
  {
    ProposalTracker tracker;
    for (const LogIndex index : {5, 6, 7, 8}) {
      tracker.Track({index, 1});
    }
    tracker.Forget({6, 1});
    const std::vector<ProposalResult> covered{{{5, 1}, ProposalOutcome::Unknown},
                                              {{7, 1}, ProposalOutcome::Unknown}};
    CPPUNIT_ASSERT(tracker.OnSnapshotInstalled(7) == covered);
    const std::vector<ProposalResult> left{{{8, 1}, ProposalOutcome::Unknown}};
    CPPUNIT_ASSERT(tracker.AbandonAll() == left);
    CPPUNIT_ASSERT(tracker.AbandonAll().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProposalTrackerTest);

} // namespace

} // namespace dandelionslip
