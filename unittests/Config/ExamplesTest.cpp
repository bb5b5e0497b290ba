// Tests of the example files and of altered copies of them.
#include "dandelionslip/Config/LoadSettings.h"
#include "dandelionslip/Config/Publication.h"
#include "dandelionslip/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <functional>
#include <set>

namespace dandelionslip {

namespace {

namespace fs = std::filesystem;

struct Deployment
{
  std::string mFolder;
  std::vector<std::string> mDataCentres;
  std::vector<std::string> mServices;
  std::uint32_t mSlots;
};

const std::vector<Deployment> kDeployments{
  {"kongsi-rekabilik", {"klang-a", "klang-b", "klang-c"}, {"planner", "render"}, 4},
  {"kyushu-guides", {"fukuoka", "kumamoto", "kagoshima"}, {"guide-desk", "ledger-out"}, 2},
};

fs::path FolderOf(const Deployment& aDeployment)
{
  return fs::path(EXAMPLES_DIR) / aDeployment.mFolder;
}

template <typename T>
T Load(const Deployment& aDeployment, const std::string& aName)
{
  const fs::path path = FolderOf(aDeployment) / "settings" / (aName + ".json");
  const auto settings = LoadSettings<T>(path.string());
  CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().Message(), settings.has_value());
  return settings.value();
}

// Parses a text; the result is an error or a value that survives another round.
template <typename T>
bool IsAccepted(std::string_view aText, const Result<T>& aResult,
                const std::function<Result<T>(std::string_view)>& aParse)
{
  if (!aResult) {
    CPPUNIT_ASSERT_MESSAGE(std::string(aText),
                           aResult.error().Message().find("altered") != std::string::npos);
    return false;
  }
  const auto again = aParse(ToJson(aResult.value()).dump());
  CPPUNIT_ASSERT_MESSAGE(std::string(aText), again && again.value() == aResult.value());
  return true;
}

template <typename T>
bool AcceptsSettings(std::string_view aText)
{
  const auto parse = [](std::string_view aInput) { return ParseSettings<T>(aInput, "altered"); };
  return IsAccepted<T>(aText, parse(aText), parse);
}

bool AcceptsService(std::string_view aText)
{
  const auto parse = [](std::string_view aInput) { return ParseServiceSpec(aInput, "altered"); };
  return IsAccepted<ServiceSpec>(aText, parse(aText), parse);
}

using Acceptor = bool (*)(std::string_view);

Acceptor AcceptorFor(const std::string& aFileName)
{
  if (aFileName.starts_with("control-")) {
    return &AcceptsSettings<ControlSettings>;
  }
  if (aFileName.starts_with("balancer-")) {
    return &AcceptsSettings<BalancerSettings>;
  }
  if (aFileName.starts_with("agent-")) {
    return &AcceptsSettings<AgentSettings>;
  }
  return aFileName.ends_with(kServiceFileSuffix) ? &AcceptsService : nullptr;
}

std::string Altered(std::string aText, Random& aRandom)
{
  static constexpr std::string_view kLikely = "{}[]\",:/*0-9.eE\\\n";
  for (std::uint64_t change = aRandom.Below(4); change > 0 && !aText.empty(); --change) {
    const std::size_t at = aRandom.Below(aText.size());
    const char byte = aRandom.Below(2) == 0 ? kLikely[aRandom.Below(kLikely.size())]
                                            : static_cast<char>(aRandom.Next());
    switch (aRandom.Below(4)) {
      case 0:
        aText[at] = byte;
        break;
      case 1:
        aText.insert(at, 1, byte);
        break;
      case 2:
        aText.erase(at, 1 + aRandom.Below(8));
        break;
      default:
        aText.resize(at);
    }
  }
  return aText;
}

class ExamplesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(ServicesHaveTodaysSizes);
  CPPUNIT_TEST(ControlReplicasAgree);
  CPPUNIT_TEST(NodesFitTheirDeployment);
  CPPUNIT_TEST(AlteredFilesNeverCrash);
  CPPUNIT_TEST_SUITE_END();

  // Guards against example services that cannot be published.
  void ServicesHaveTodaysSizes()
  {
    for (const Deployment& deployment : kDeployments) {
      std::vector<std::string> folders;
      for (const std::string& service : deployment.mServices) {
        folders.push_back((FolderOf(deployment) / service).string());
      }
      const auto files = CollectServices(folders);
      CPPUNIT_ASSERT_MESSAGE(files ? "" : files.error().Message(), files.has_value());
      CPPUNIT_ASSERT_EQUAL(deployment.mServices.size(), files.value().size());
      for (std::size_t i = 0; i < files.value().size(); ++i) {
        CPPUNIT_ASSERT_EQUAL(deployment.mServices[i], files.value()[i].mSpec.mName);
        CPPUNIT_ASSERT_EQUAL(deployment.mSlots, files.value()[i].mSpec.mSlots);
        CPPUNIT_ASSERT_EQUAL(2000U, files.value()[i].mSpec.mConnections);
      }
      const PublicationIdentity identity{"0190163d-8694-739b-aea5-966c26f8ad91", "aminah", 1};
      CPPUNIT_ASSERT(BuildPublication(identity, files.value()).has_value());
    }
  }

  // Guards against replicas that disagree about who belongs to the group.
  void ControlReplicasAgree()
  {
    for (const Deployment& deployment : kDeployments) {
      std::set<std::pair<std::string, std::string>> group;
      for (const std::string& dataCentre : deployment.mDataCentres) {
        const auto control = Load<ControlSettings>(deployment, "control-" + dataCentre);
        CPPUNIT_ASSERT_EQUAL(dataCentre, control.mDataCentre);
        std::set<std::pair<std::string, std::string>> members{{control.mNode, control.mEndpoint}};
        for (const PeerSettings& peer : control.mPeers) {
          members.emplace(peer.mName, peer.mEndpoint);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), members.size());
        CPPUNIT_ASSERT(group.empty() || group == members);
        group = members;
      }
    }
  }

  // Guards against example nodes that would start but find no control replica or service.
  void NodesFitTheirDeployment()
  {
    for (const Deployment& deployment : kDeployments) {
      std::set<std::string> controls;
      std::set<std::string> endpoints;
      for (const std::string& dataCentre : deployment.mDataCentres) {
        controls.insert(Load<ControlSettings>(deployment, "control-" + dataCentre).mEndpoint);
      }
      const auto check = [&](const auto& aNode, const std::string& aDataCentre) {
        const std::vector<std::string>& found = aNode.mControlEndpoints;
        CPPUNIT_ASSERT(std::set<std::string>(found.begin(), found.end()) == controls);
        const auto local = Load<ControlSettings>(deployment, "control-" + aDataCentre);
        CPPUNIT_ASSERT_EQUAL(local.mEndpoint, found.front());
        CPPUNIT_ASSERT(endpoints.insert(aNode.mDatagramEndpoint).second);
      };
      for (const std::string& dataCentre : deployment.mDataCentres) {
        check(Load<BalancerSettings>(deployment, "balancer-" + dataCentre), dataCentre);
      }
      for (const std::string& service : deployment.mServices) {
        const auto agent = Load<AgentSettings>(deployment, "agent-" + service + "-1");
        CPPUNIT_ASSERT_EQUAL(service, agent.mService);
        check(agent, agent.mDataCentre);
      }
    }
  }

  // Guards against crashes on damaged files and against acceptance of what cannot be read again.
  void AlteredFilesNeverCrash()
  {
    constexpr std::uint64_t kSeeds = 500;
    std::size_t files = 0;
    for (const auto& entry : fs::recursive_directory_iterator(EXAMPLES_DIR)) {
      if (!entry.is_regular_file()) {
        continue;
      }
      const Acceptor accepts = AcceptorFor(entry.path().filename().string());
      CPPUNIT_ASSERT_MESSAGE(entry.path().string(), accepts != nullptr);
      const std::string text = ReadTextFile(entry.path().string()).value();
      CPPUNIT_ASSERT(accepts(text));
      std::size_t refused = 0;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Random random(seed);
        refused += accepts(Altered(text, random)) ? 0 : 1;
      }
      CPPUNIT_ASSERT(refused > kSeeds / 4 && refused < kSeeds);
      ++files;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), files);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

} // namespace

} // namespace dandelionslip
