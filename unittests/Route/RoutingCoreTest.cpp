// Tests of RoutingCore and its snapshots.
#include "dandelionslip/Route/RoutingCore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace dandelionslip {

namespace {

class RoutingCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingCoreTest);
  CPPUNIT_TEST(SendingStopsTwoSecondsAfterLastAnsweredProbe);
  CPPUNIT_TEST(LeaseRunsFromSendingOfAnnouncement);
  CPPUNIT_TEST(FetchesNewerStateOfProbedAgent);
  CPPUNIT_TEST(LowerRevisionsAreIgnored);
  CPPUNIT_TEST(DataCentreOutOfServiceGetsNoPackets);
  CPPUNIT_TEST(ResendsGoToSameOwner);
  CPPUNIT_TEST_SUITE_END();

  RoutingCore mCore{RoutingSettings{Endpoint::Parse("127.0.0.9:9").value()}};
  View mView;
  Configuration mConfiguration;
  Endpoint mService = Endpoint::Parse("127.0.2.1:80").value();
  TimePoint mStart{std::chrono::seconds(100)};

public:
  void setUp() override
  {
    mConfiguration.mRevision = 5;
    ServiceEntry& entry = mConfiguration.mServices["planner"];
    entry.mId = 3;
    entry.mSpec.mName = "planner";
    entry.mSpec.mAddresses = {mService.ToString()};
    mView.mRevision = 7;
    Generation generation{1, {}};
    for (int i = 0; i < 4; ++i) {
      const std::string name = "planner-" + std::to_string(i);
      mView.mMembers[name] = {name,
                              MemberKind::Agent,
                              "planner",
                              "dc-" + std::to_string(i % 2),
                              "127.0.3.1:" + std::to_string(100 + i),
                              "127.0.3.1:" + std::to_string(200 + i),
                              1,
                              MemberState::Serving,
                              ""};
      generation.mMembers.push_back({name, kFullWeight});
    }
    mView.mServices["planner"] = {3, {generation}};
    RenewLease(mStart);
  }

private:
  void RenewLease(TimePoint aSentAt)
  {
    AnnouncementAnswer answer;
    answer.mConfirmed = true;
    answer.mLease = Milliseconds(2'000);
    answer.mConfiguration = mConfiguration;
    answer.mView = mView;
    mCore.OnAnnouncementAnswer(answer, aSentAt);
  }

  // The data centres to which 200 flows are forwarded. setUp puts agents with even ports into dc-0.
  std::set<std::string> ReachedDataCentres(TimePoint aNow)
  {
    std::set<std::string> reached;
    for (int i = 0; i < 200; ++i) {
      const auto caller = Endpoint::Parse("127.0.1.1:" + std::to_string(1'000 + i)).value();
      const auto decision = mCore.Snapshot()->Route(caller, mService, true, caller, aNow);
      if (const auto* forward = std::get_if<ForwardDatagram>(&decision)) {
        reached.insert(forward->mTo.mPort % 2 == 0 ? "dc-0" : "dc-1");
      }
    }
    return reached;
  }

  // Answers only the probes to agents of dc-0, which have even ports. Returns the actions that
  // follow.
  std::vector<RoutingAction> AnswerProbes(TimePoint aNow, std::uint64_t aViewRevision,
                                          std::uint64_t aConfigurationRevision)
  {
    std::vector<RoutingAction> further;
    for (const RoutingAction& action : mCore.Tick(aNow)) {
      const auto& probe = std::get<SendProbe>(action);
      if (probe.mTo.mPort % 2 == 0) {
        DatagramHeader answer = probe.mHeader;
        answer.mKind = DatagramKind::StateProbeAnswer;
        answer.mViewRevision = aViewRevision;
        answer.mFlowHash = aConfigurationRevision;
        for (const RoutingAction& next : mCore.OnProbeAnswer(answer, probe.mTo)) {
          further.push_back(next);
        }
      }
    }
    return further;
  }

  // Guards against a balancer without a valid lease that keeps sending to a data centre that may be
  // out of service, and against one that stops sending to a data centre whose agents answer probes.
  void SendingStopsTwoSecondsAfterLastAnsweredProbe()
  {
    const std::set<std::string> both{"dc-0", "dc-1"};
    for (int ms = 0; ms <= 2'000; ms += 100) {
      AnswerProbes(mStart + Milliseconds(ms), 7, 5);
      CPPUNIT_ASSERT(ReachedDataCentres(mStart + Milliseconds(ms)) == both);
    }
    for (int ms = 2'100; ms <= 5'000; ms += 100) {
      AnswerProbes(mStart + Milliseconds(ms), 7, 5);
      CPPUNIT_ASSERT(ReachedDataCentres(mStart + Milliseconds(ms)) ==
                     std::set<std::string>{"dc-0"});
    }
    CPPUNIT_ASSERT(ReachedDataCentres(mStart + Milliseconds(7'001)).empty());
    RenewLease(mStart + Milliseconds(7'000));
    CPPUNIT_ASSERT(ReachedDataCentres(mStart + Milliseconds(7'500)) == both);
  }

  // Guards against a delayed announcement answer that makes the lease longer than granted.
  void LeaseRunsFromSendingOfAnnouncement()
  {
    CPPUNIT_ASSERT(mCore.HasValidLease(mStart + Milliseconds(2'000)));
    CPPUNIT_ASSERT(!mCore.HasValidLease(mStart + Milliseconds(2'001)));
    RenewLease(mStart - Milliseconds(500));
    CPPUNIT_ASSERT(!mCore.HasValidLease(mStart + Milliseconds(2'001)));
  }

  // Guards against a partitioned balancer that ignores an agent with newer state. Taking a data
  // centre out of service raises only the configuration revision.
  void FetchesNewerStateOfProbedAgent()
  {
    const auto actions = AnswerProbes(mStart + Milliseconds(3'000), 7, 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    CPPUNIT_ASSERT(std::holds_alternative<FetchStateFromAgent>(actions.front()));
    CPPUNIT_ASSERT(ReachedDataCentres(mStart + Milliseconds(3'000)).empty());
  }

  // Guards against a control replica with older state that makes a node return to that state.
  void LowerRevisionsAreIgnored()
  {
    --mView.mRevision;
    CPPUNIT_ASSERT(!mCore.ApplyView(mView));
    --mConfiguration.mRevision;
    CPPUNIT_ASSERT(!mCore.ApplyConfiguration(mConfiguration));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, mCore.Snapshot()->ViewRevision());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, mCore.Snapshot()->ConfigurationRevision());
  }

  // Guards against packets to a data centre after the balancer knows that it is out of service.
  void DataCentreOutOfServiceGetsNoPackets()
  {
    ++mConfiguration.mRevision;
    mConfiguration.mDataCentres["dc-0"] = {true, 1};
    CPPUNIT_ASSERT(mCore.ApplyConfiguration(mConfiguration));
    CPPUNIT_ASSERT(ReachedDataCentres(mStart) == std::set<std::string>{"dc-1"});
    ++mConfiguration.mRevision;
    mConfiguration.mDataCentres["dc-1"] = {true, 1};
    CPPUNIT_ASSERT(mCore.ApplyConfiguration(mConfiguration));
    CPPUNIT_ASSERT(ReachedDataCentres(mStart).empty());
    const auto decision = mCore.Snapshot()->Route(mService, mService, true, mService, mStart);
    CPPUNIT_ASSERT(std::get<Refusal>(decision).mReason == RefusalReason::DataCentreOut);
  }

  // Guards against a resend of a request that goes to another agent than the first attempt.
  void ResendsGoToSameOwner()
  {
    const auto snapshot = mCore.Snapshot();
    const auto first = std::get<RequestRoute>(snapshot->RouteRequest("planner", 77, mStart));
    const auto second = std::get<RequestRoute>(snapshot->RouteRequest("planner", 77, mStart));
    CPPUNIT_ASSERT_EQUAL(first.mActingMember.mMember, second.mActingMember.mMember);
    CPPUNIT_ASSERT(first.mAlternate && first.mAlternate->mMember != first.mActingMember.mMember);
    CPPUNIT_ASSERT(std::holds_alternative<RequestCandidates>(
      snapshot->CandidatesFor("planner", {1, 2}, mStart)));
    CPPUNIT_ASSERT(std::holds_alternative<Refusal>(snapshot->RouteRequest("none", 77, mStart)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingCoreTest);

} // namespace

} // namespace dandelionslip
