// Decodes control messages with damaged bytes.
#include "ControlFixtures.h"

#include "dandelionslip/Control/AttachedDigest.h"
#include "dandelionslip/Control/JoinRequest.h"
#include "dandelionslip/Control/LeaveRequest.h"
#include "dandelionslip/Control/MembershipCore.h"
#include "dandelionslip/Model/NodeState.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace dandelionslip {

namespace {

constexpr std::uint64_t kSeeds = 2'000;

// Flips a bit, overwrites or inserts a byte, or truncates, one to three times.
Bytes Damage(Bytes aBytes, Random& aRandom)
{
  for (std::uint64_t i = 1 + aRandom.Below(3); i > 0 && !aBytes.empty(); --i) {
    const auto at = aBytes.begin() + static_cast<std::ptrdiff_t>(aRandom.Below(aBytes.size()));
    switch (aRandom.Below(4)) {
      case 0:
        *at ^= static_cast<std::uint8_t>(1U << aRandom.Below(8));
        break;
      case 1:
        *at = static_cast<std::uint8_t>(aRandom.Below(256));
        break;
      case 2:
        aBytes.insert(at, static_cast<std::uint8_t>(aRandom.Below(256)));
        break;
      default:
        aBytes.resize(static_cast<std::size_t>(at - aBytes.begin()));
    }
  }
  return aBytes;
}

View SampleView()
{
  View view;
  view.mRevision = (std::uint64_t{1} << 32U) + 1;
  view.mMembers["a"] = AgentAnnouncement("a").mMember;
  view.mMembers["b"] = AgentAnnouncement("b", 2, MemberState::Restarting).mMember;
  view.mServices["planner"] = {1, {{17, {{"a", 1000}, {"b", 50}}}, {1, {{"a", 1000}}}}};
  return view;
}

MemberSummary SampleSummary()
{
  MemberSummary summary;
  summary.mReplica = "r1";
  summary.mTerm = 2;
  summary.mSequence = 1;
  summary.mWhole = true;
  summary.mChanged = {AgentAnnouncement("a"), AgentAnnouncement("b")};
  summary.mDetached = {"c"};
  summary.mViewRevision = 7;
  summary.mView = SampleView();
  return summary;
}

class ControlCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlCodecTest);
  CPPUNIT_TEST(DamagedCommandsAreHandled);
  CPPUNIT_TEST(DamagedAnswersAreHandled);
  CPPUNIT_TEST(DamagedAnnouncementsAreHandled);
  CPPUNIT_TEST(DamagedSummariesAreHandled);
  CPPUNIT_TEST(DamagedViewUpdatesAreHandled);
  CPPUNIT_TEST(DamagedSnapshotsAreHandled);
  CPPUNIT_TEST(OversizedMessagesAreRefused);
  CPPUNIT_TEST(JoinRequestsNeedAnAddressThatNodesCanUse);
  CPPUNIT_TEST(LeaveRequestsAndAnswersKeepTheirValues);
  CPPUNIT_TEST(OneInvalidAnnouncementDoesNotRefuseTheSummary);
  CPPUNIT_TEST_SUITE_END();

  // Decodes damaged forms of aSample. What is accepted must survive another encoding and decoding,
  // and is passed to aUse. Some forms must be accepted and some rejected, or the test proves
  // nothing.
  template <typename T, typename D, typename U>
  static void CheckDamagedForms(const T& aSample, D aDecode, U aUse)
  {
    const Bytes bytes = ToCbor(aSample);
    CPPUNIT_ASSERT(aDecode(bytes).value() == aSample);
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Random random(seed);
      const auto decoded = aDecode(Damage(bytes, random));
      if (!decoded) {
        CPPUNIT_ASSERT(!decoded.error().mDetail.empty());
        continue;
      }
      ++accepted;
      CPPUNIT_ASSERT(aDecode(ToCbor(decoded.value())).value() == decoded.value());
      aUse(decoded.value());
    }
    CPPUNIT_ASSERT(accepted > 0 && accepted < kSeeds);
  }

  template <typename T>
  static Result<T> Decode(const Bytes& aBytes)
  {
    return FromCbor<T>(aBytes, "test");
  }

  // Guards against a damaged command that crashes a replica or leaves a state that cannot be
  // restored.
  void DamagedCommandsAreHandled()
  {
    Command command = PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80"));
    command.mServices.push_back({"render", 1, std::nullopt});
    command.mServices.push_back({"quotes", 0, TestSpec("quotes", 1, "192.0.2.3:80")});
    command.mDataCentre = DataCentreChange{"klang-a", true, 0};
    command.mDrain = DrainChange{"planner-1", true};
    CheckDamagedForms(command, Decode<Command>, [](const Command& aCommand) {
      ConfigurationStore store;
      store.Apply(1, PublishCommand(9, TestSpec("render", 1, "192.0.2.2:80")));
      store.Apply(2, aCommand);
      ConfigurationStore restored;
      const auto result = restored.Restore(store.Snapshot());
      CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().Message(), result.has_value());
    });
  }

  // Guards against a damaged answer that reverts a node's state or crashes the node.
  void DamagedAnswersAreHandled()
  {
    AnnouncementAnswer answer;
    answer.mConfirmed = true;
    answer.mLease = Milliseconds(2'000);
    answer.mConfiguration = PlannerConfiguration();
    answer.mConfigurationDifference =
      ConfigurationDifference{1, 2, {}, {"render"}, {}, {}, {}, {}, {}, {}};
    answer.mView = SampleView();
    answer.mViewDifference = DifferenceBetween(View{}, SampleView());
    CheckDamagedForms(answer, Decode<AnnouncementAnswer>, [](const AnnouncementAnswer& aAnswer) {
      NodeState node;
      std::ignore = node.Apply(aAnswer);
      const std::uint64_t revision = node.CurrentView().mRevision;
      std::ignore = node.Apply(aAnswer);
      CPPUNIT_ASSERT(node.CurrentView().mRevision >= revision);
    });
  }

  // Guards against a damaged announcement that crashes a replica.
  void DamagedAnnouncementsAreHandled()
  {
    Announcement announcement = AgentAnnouncement("a", 7, MemberState::Restarting);
    announcement.mMember.mBackup = "b";
    announcement.mMember.mRequestEndpoint = "192.0.2.7:900";
    MembershipCore core("r0", MembershipSettings{});
    core.OnRaftStatus({1, true, "r0", {"r0"}}, kTestStart);
    TimePoint now = kTestStart;
    CheckDamagedForms(announcement, Decode<Announcement>, [&](const Announcement& aAnnouncement) {
      now += std::chrono::milliseconds(100);
      core.OnAnnouncement(aAnnouncement, true, now);
      core.OnTick(now);
      CPPUNIT_ASSERT(core.CurrentView().mMembers.size() <= core.Leases().Entries().size());
    });
    CPPUNIT_ASSERT(core.CurrentView().FindMember("a") != nullptr);
  }

  // Guards against a damaged summary or view from a replica that crashes the leader.
  void DamagedSummariesAreHandled()
  {
    CheckDamagedForms(
      SampleSummary(), [](const Bytes& aBytes) { return DecodeMemberSummary(aBytes, "test"); },
      [](const MemberSummary& aSummary) {
        MembershipCore core("r0", MembershipSettings{});
        core.OnRaftStatus({2, true, "r0", {"r0", "r1", "r2"}}, kTestStart);
        core.OnSummary(aSummary, kTestStart);
        core.OnTick(kTestStart + std::chrono::seconds(3));
        CPPUNIT_ASSERT(core.CurrentView().mRevision >> 32U <= 2);
      });
    SummaryAnswer answer{2, 1, true, 5, false, true, {"a"}, {"b"}};
    CheckDamagedForms(answer, Decode<SummaryAnswer>, [](const SummaryAnswer& aAnswer) {
      MembershipCore core("r1", MembershipSettings{});
      core.OnRaftStatus({2, false, "r0", {"r0", "r1"}}, kTestStart);
      core.OnAnnouncement(AgentAnnouncement("a"), true, kTestStart);
      core.OnTick(kTestStart);
      core.OnSummaryAnswer(aAnswer);
    });
  }

  // Guards against a damaged update that a replica applies to the wrong view.
  void DamagedViewUpdatesAreHandled()
  {
    View next = SampleView();
    ++next.mRevision;
    next.mMembers.erase("b");
    next.mMembers["c"] = AgentAnnouncement("c").mMember;
    const auto use = [](const ViewUpdate& aUpdate) {
      MembershipCore core("r1", MembershipSettings{});
      core.OnRaftStatus({1, false, "r0", {"r0", "r1"}}, kTestStart);
      core.OnViewUpdate({1, 0, SampleView(), std::nullopt});
      core.OnViewUpdate(aUpdate);
      const std::uint64_t revision = core.CurrentView().mRevision;
      CPPUNIT_ASSERT(revision >= SampleView().mRevision && revision >> 32U == 1);
      CPPUNIT_ASSERT(core.ServedView().mRevision <= revision);
    };
    const auto decode = [](const Bytes& aBytes) { return DecodeViewUpdate(aBytes, "test"); };
    CheckDamagedForms(ViewUpdate{1, 3, next, std::nullopt}, decode, use);
    CheckDamagedForms(
      ViewUpdate{1, next.mRevision, std::nullopt, DifferenceBetween(SampleView(), next)}, decode,
      use);
    CheckDamagedForms(SampleView(), Decode<View>, [](const View&) {});
    ConfigurationDifference difference{1,     2,  {}, {"render"}, {}, {"x"}, {{"n", true}},
                                       {"m"}, {}, {}};
    difference.mServices = PlannerConfiguration().mServices;
    difference.mDataCentres["klang-a"] = {true, 4};
    CheckDamagedForms(difference, Decode<ConfigurationDifference>,
                      [](const ConfigurationDifference& aDifference) {
                        Configuration configuration = PlannerConfiguration();
                        std::ignore = ApplyDifference(configuration, aDifference);
                        CPPUNIT_ASSERT(configuration.mRevision >= 1);
                      });
  }

  // Guards against a damaged snapshot that is restored in part.
  void DamagedSnapshotsAreHandled()
  {
    ConfigurationStore store;
    store.Apply(1, PublishCommand(1, TestSpec("planner", 1, "192.0.2.1:80")));
    store.Apply(2, PublishCommand(2, TestSpec("planner", 1, "192.0.2.2:80")));
    const auto state = FromJson<ConfigurationStoreState>(store.Snapshot(), "test");
    CheckDamagedForms(state.value(), Decode<ConfigurationStoreState>,
                      [](const ConfigurationStoreState& aState) {
                        ConfigurationStore restored;
                        if (restored.Restore(ToJson(aState))) {
                          CPPUNIT_ASSERT(restored.Snapshot() == ToJson(aState));
                          restored.Apply(aState.mAppliedIndex + 1, DeleteCommand(3, "planner", 1));
                        } else {
                          CPPUNIT_ASSERT(restored.Snapshot() == ConfigurationStore().Snapshot());
                        }
                      });
  }

  // Guards against memory without bound when a peer sends oversized messages.
  void OversizedMessagesAreRefused()
  {
    const auto limit = [](const auto& aResult) {
      return !aResult && aResult.error().mCode == ErrorCode::LimitExceeded;
    };
    CPPUNIT_ASSERT(limit(DecodeMemberSummary(Bytes(kMaxControlMessageBytes + 1), "test")));
    CPPUNIT_ASSERT(limit(DecodeViewUpdate(Bytes(kMaxControlMessageBytes + 1), "test")));
    MemberSummary summary = SampleSummary();
    summary.mDetached.assign(kMaxListedMembers + 1, "c");
    CPPUNIT_ASSERT(limit(DecodeMemberSummary(ToCbor(summary), "test")));
    ViewUpdate update{1, 1, SampleView(), std::nullopt};
    update.mView->mServices["planner"].mGenerations.resize(kMaxGenerations + 1);
    CPPUNIT_ASSERT(limit(DecodeViewUpdate(ToCbor(update), "test")));
  }

  // Guards against a stopping replica that does not understand the leader or the reverse.
  void LeaveRequestsAndAnswersKeepTheirValues()
  {
    Random random(1);
    const LeaveRequest request{NewReplicaId(random), {7, -5}};
    CPPUNIT_ASSERT(FromCbor<LeaveRequest>(ToCbor(request), "test").value() == request);
    for (const auto& [state, name] : EnumNames(LeaveState{})) {
      const LeaveAnswer answer{state};
      CPPUNIT_ASSERT(FromCbor<LeaveAnswer>(ToCbor(answer), "test").value() == answer);
    }
    CPPUNIT_ASSERT(!FromCbor<LeaveAnswer>(ToCbor(request), "test"));
  }

  // Guards against a replica list that no node can use, which ended the nodes that read it.
  void JoinRequestsNeedAnAddressThatNodesCanUse()
  {
    Random random(1);
    JoinRequest request{NewReplicaId(random), "192.0.2.1:7300", true};
    CPPUNIT_ASSERT(DecodeJoinRequest(ToCbor(request), "test").value() == request);
    for (const char* address :
         {"", ":", "192.0.2.1", "192.0.2.1:", "192.0.2.1:0", "192.0.2.1:65536", "192.0.2.1:99999",
          "192.0.2.1:-1", "192.0.2.1:18446744073709551616", "192.0.2.256:7300", "host:7300",
          ":7300", " 192.0.2.1:7300", "192.0.2.1:7300 ", "[::1:7300", "192.0.2.1:7300:1"}) {
      request.mAddress = address;
      const auto decoded = DecodeJoinRequest(ToCbor(request), "test");
      CPPUNIT_ASSERT_MESSAGE(address, !decoded);
      CPPUNIT_ASSERT(decoded.error().mCode == ErrorCode::InvalidInput);
    }
  }

  // Guards against nodes that lose their leases because another node of their replica is invalid.
  void OneInvalidAnnouncementDoesNotRefuseTheSummary()
  {
    MemberSummary summary = SampleSummary();
    summary.mChanged = {AgentAnnouncement("a"), AgentAnnouncement("b", ~std::uint64_t{0})};
    summary.mDetached.clear();
    summary.mView.reset();
    AttachedDigest digest;
    for (const Announcement& announcement : summary.mChanged) {
      digest.Add(announcement.mMember.mName, DigestOf(announcement));
    }
    summary.mDigest = digest.Value();
    const auto decoded = DecodeMemberSummary(ToCbor(summary), "test");
    CPPUNIT_ASSERT(decoded.has_value());
    MembershipCore core("r0", MembershipSettings{});
    core.OnRaftStatus({2, true, "r0", {"r0"}}, kTestStart);
    const SummaryAnswer answer = core.OnSummary(decoded.value(), kTestStart);
    CPPUNIT_ASSERT(answer.mAccepted);
    CPPUNIT_ASSERT(core.Leases().Find("a") != nullptr);
    CPPUNIT_ASSERT(core.Leases().Find("b") == nullptr);
    CPPUNIT_ASSERT(std::find(answer.mRefused.begin(), answer.mRefused.end(), "b") !=
                   answer.mRefused.end());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCodecTest);

} // namespace

} // namespace dandelionslip
