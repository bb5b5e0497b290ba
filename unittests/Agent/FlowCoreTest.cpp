// Tests of single rules of the flow core.
#include "dandelionslip/Agent/FlowCore.h"

#include "FlowHistory.h"
#include "dandelionslip/Route/FlowHash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

class AlwaysAdmit : public FlowAdmission
{
public:
  std::optional<Refusal> TryOpenFlow(TimePoint) override { return std::nullopt; }
  void CloseFlow(TimePoint) override {}
};

class FlowCoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FlowCoreTest);
  CPPUNIT_TEST(OpeningFloodKeepsEstablishedFlows);
  CPPUNIT_TEST(ForeignServiceIsDropped);
  CPPUNIT_TEST(HopLimitEndsForwarding);
  CPPUNIT_TEST(NewerRevisionFetchesTheView);
  CPPUNIT_TEST(CheckerFindsAMovedSession);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kCapacity = 100;
  AlwaysAdmit mAdmission;
  std::unique_ptr<FlowCore> mCore;
  Endpoint mService = Endpoint::Parse("127.0.2.1:80").value();
  Endpoint mBalancer = Endpoint::Parse("127.0.0.9:9").value();
  TimePoint mNow{std::chrono::seconds(1)};
  View mView;
  Configuration mConfiguration;

public:
  void setUp() override
  {
    FlowSettings settings;
    settings.mName = "a";
    settings.mServiceName = "planner";
    settings.mMaxFlows = kCapacity;
    mCore = std::make_unique<FlowCore>(settings, mAdmission);
    mConfiguration.mRevision = 3;
    mConfiguration.mServices["planner"].mId = 3;
    mView.mRevision = 1;
    AddMember("a", "127.0.3.1:1");
    FlowActions actions;
    mCore->OnViewAndConfiguration(mView, mConfiguration, mNow, actions);
  }

private:
  void AddMember(const std::string& aName, const std::string& aEndpoint)
  {
    mView.mMembers[aName] = {aName, MemberKind::Agent,    "planner", "dc", aEndpoint, "",
                             1,     MemberState::Serving, ""};
    ServiceView& service = mView.mServices["planner"];
    service.mServiceId = 3;
    Generation next = service.mGenerations.empty() ? Generation{} : service.mGenerations.front();
    ++next.mNumber;
    next.mMembers.push_back({aName, kFullWeight});
    service.mGenerations.insert(service.mGenerations.begin(), next);
    ++mView.mRevision;
  }

  FlowActions Send(std::uint16_t aCaller, CallerDatagramKind aKind, std::uint8_t aHops = 0,
                   ServiceId aServiceId = 3, std::uint64_t aViewRevision = 0)
  {
    DatagramHeader header;
    header.mOpening = aKind == CallerDatagramKind::Open;
    header.mServiceId = aServiceId;
    header.mViewRevision = aViewRevision;
    header.mHops = aHops;
    header.mCaller = Endpoint::Parse("127.0.1.1:" + std::to_string(aCaller)).value();
    header.mService = mService;
    header.mBalancer = mBalancer;
    header.mFlowHash = FlowHashOf(header.mCaller, mService);
    FlowActions actions;
    mCore->OnForward(header, EncodeCallerDatagram({aKind, aCaller, {}, {}, {}}), mBalancer, mNow,
                     actions);
    return actions;
  }

  template <typename T>
  static std::size_t CountOf(const FlowActions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(),
                    [](const FlowAction& aAction) { return std::holds_alternative<T>(aAction); }));
  }

  // Guards against a flood of opening packets that evicts established flows or fills the table for
  // the whole idle timeout.
  void OpeningFloodKeepsEstablishedFlows()
  {
    for (std::uint16_t caller = 1; caller <= 50; ++caller) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           CountOf<OpenUpstreamPort>(Send(caller, CallerDatagramKind::Open)));
      FlowActions actions;
      mCore->OnUpstreamDatagram(
        FlowHashOf(Endpoint::Parse("127.0.1.1:" + std::to_string(caller)).value(), mService),
        EncodeCallerDatagram({CallerDatagramKind::Data, caller, {}, {}, {}}), mNow, actions);
    }
    for (std::uint16_t caller = 1'000; caller < 6'000; ++caller) {
      Send(caller, CallerDatagramKind::Open);
    }
    CPPUNIT_ASSERT_EQUAL(kCapacity, mCore->Flows().Size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4'950}, mCore->Refusals().at(RefusalReason::TableFull));
    for (std::uint16_t caller = 1; caller <= 50; ++caller) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           CountOf<SendToUpstream>(Send(caller, CallerDatagramKind::Data)));
    }
    mNow += std::chrono::seconds(11);
    FlowActions actions;
    mCore->OnTick(mNow, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, mCore->Flows().Size());
  }

  // Guards against delivery of another service's packets after an address was reused.
  void ForeignServiceIsDropped()
  {
    CPPUNIT_ASSERT(Send(1, CallerDatagramKind::Open, 0, 4).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, mCore->Drops().at(RefusalReason::WrongService));
  }

  // Guards against packets that circulate between agents with different tables.
  void HopLimitEndsForwarding()
  {
    AddMember("b", "127.0.3.1:2");
    FlowActions actions;
    mCore->OnViewAndConfiguration(mView, mConfiguration, mNow, actions);
    std::size_t forwarded = 0;
    for (std::uint16_t caller = 1; caller < 40; ++caller) {
      forwarded += CountOf<SendDatagram>(Send(caller, CallerDatagramKind::Open, kMaxHops - 1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                           CountOf<SendDatagram>(Send(static_cast<std::uint16_t>(caller + 1'000),
                                                      CallerDatagramKind::Open, kMaxHops)));
    }
    CPPUNIT_ASSERT(forwarded > 0);
    CPPUNIT_ASSERT(mCore->Drops().at(RefusalReason::HopLimit) > 0);
  }

  // Guards against an agent that stays behind a balancer's view until its next announcement.
  void NewerRevisionFetchesTheView()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf<FetchView>(Send(1, CallerDatagramKind::Open, 0, 3, 99)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         CountOf<FetchView>(Send(2, CallerDatagramKind::Open, 0, 3, 99)));
  }

  // Guards against a history checker that accepts a wrong history.
  void CheckerFindsAMovedSession()
  {
    std::vector<FlowEvent> history{
      {FlowEventKind::Established, 1, "a", "dc", "planner", 7, {}},
      {FlowEventKind::Delivered, 1, "a", "dc", "planner", 7, {}},
    };
    CPPUNIT_ASSERT(CheckFlowHistory(history).empty());
    history.push_back({FlowEventKind::Delivered, 1, "a", "dc", "planner", 8, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CheckFlowHistory(history).size());
    history.push_back({FlowEventKind::Applied, 0, "balancer", "dc", "", 1, {}});
    history.push_back({FlowEventKind::Forwarded, 1, "balancer", "dc", "", 0, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, CheckFlowHistory(history).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowCoreTest);

} // namespace

} // namespace dandelionslip
