// Tests of service files and publications.
#include "dandelionslip/Config/Publication.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace dandelionslip {

namespace {

namespace fs = std::filesystem;

const PublicationIdentity kIdentity{"0190163d-8694-739b-aea5-966c26f8ad91", "aminah", 5};

ServiceFile File(const std::string& aName, const std::string& aAddress, std::uint64_t aVersion)
{
  ServiceFile file{aName + ".service.json", {}};
  file.mSpec.mName = aName;
  file.mSpec.mVersion = aVersion;
  file.mSpec.mAddresses = {aAddress};
  return file;
}

class ServiceFilesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceFilesTest);
  CPPUNIT_TEST(ServicesAreOrderedByName);
  CPPUNIT_TEST(ConflictingFilesAreBothNamed);
  CPPUNIT_TEST(FoldersWithoutServicesAreRejected);
  CPPUNIT_TEST(FileErrorsNameFileAndKey);
  CPPUNIT_TEST(PublicationExpectsPrecedingVersion);
  CPPUNIT_TEST(InvalidPublicationsAreRejected);
  CPPUNIT_TEST_SUITE_END();

  fs::path mRoot;

  std::string Folder(const std::string& aName) const { return (mRoot / aName).string(); }

  void Write(const std::string& aPath, const std::string& aText) const
  {
    fs::create_directories((mRoot / aPath).parent_path());
    std::ofstream(mRoot / aPath) << aText;
  }

  static std::string Text(const std::string& aName, const std::string& aAddress)
  {
    return "{ // test\n\"service\": \"" + aName + "\", \"version\": 1, \"addresses\": [\"" +
           aAddress + "\"]}";
  }

  std::string CollectError(const std::vector<std::string>& aFolders) const
  {
    const auto files = LoadServiceFiles(aFolders);
    return files ? "accepted" : files.error().Message();
  }

  static void AssertContains(const std::string& aText, const std::string& aPart)
  {
    CPPUNIT_ASSERT_MESSAGE(aText, aText.find(aPart) != std::string::npos);
  }

public:
  void setUp() override
  {
    std::string pattern = (fs::temp_directory_path() / "dandelionslip-test-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
    mRoot = pattern;
  }

  void tearDown() override { fs::remove_all(mRoot); }

private:
  // Guards against a result that depends on the order of the folders or of the file system's
  // entries.
  void ServicesAreOrderedByName()
  {
    Write("x/z.service.json", Text("alpha", "10.0.0.1:80"));
    Write("x/notes.json", "not a service file");
    Write("y/a.service.json", Text("beta", "10.0.0.2:80"));
    const auto files = LoadServiceFiles({Folder("y"), Folder("x"), Folder("x/../x")});
    CPPUNIT_ASSERT_MESSAGE(CollectError({Folder("y")}), files.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), files.value().size());
    CPPUNIT_ASSERT_EQUAL(std::string("alpha"), files.value()[0].mSpec.mName);
    CPPUNIT_ASSERT_EQUAL(std::string("beta"), files.value()[1].mSpec.mName);
  }

  // Guards against two conflicting declarations of which one is silently used.
  void ConflictingFilesAreBothNamed()
  {
    Write("x/a.service.json", Text("alpha", "[2001:db8::1]:80"));
    Write("y/b.service.json", Text("alpha", "10.0.0.2:80"));
    Write("z/c.service.json", Text("gamma", "[2001:db8:0::1]:80"));
    const std::string sameName = CollectError({Folder("x"), Folder("y")});
    AssertContains(sameName, "a.service.json");
    AssertContains(sameName, "b.service.json");
    const std::string sameAddress = CollectError({Folder("x"), Folder("z")});
    AssertContains(sameAddress, "a.service.json");
    AssertContains(sameAddress, "c.service.json): addresses[0]: found \"[2001:db8:0::1]:80\"");
  }

  // Guards against a mistyped folder that is accepted although nothing is published.
  void FoldersWithoutServicesAreRejected()
  {
    Write("empty/readme", "");
    AssertContains(CollectError({Folder("missing")}), "missing");
    AssertContains(CollectError({Folder("empty")}), ".service.json");
  }

  // Guards against errors that do not name the file and the key.
  void FileErrorsNameFileAndKey()
  {
    Write("x/a.service.json", R"({"service": "a", "version": 1, "addresses": ["host:80"]})");
    AssertContains(CollectError({Folder("x")}), "a.service.json): addresses[0]: found \"host:80\"");
    Write("x/a.service.json", R"({"service": "a", "version": 1, "addresses": [], "slots": 4})");
    AssertContains(CollectError({Folder("x")}), "slots: found 4, expected no such key");
    fs::remove_all(mRoot / "x");
    fs::create_directories(mRoot / "x/b.service.json");
    AssertContains(CollectError({Folder("x")}), "found no regular file");
  }

  // Guards against a publication that overwrites a version its operator has not seen, against one
  // that repeats unchanged services, and against commands that change when encoded as CBOR.
  void PublicationExpectsPrecedingVersion()
  {
    const std::vector<ServiceFile> files{File("a", "10.0.0.1:80", 1), File("b", "10.0.0.2:80", 7)};
    const std::vector<ServiceDeletion> deletions{{"c", 3}};
    const Command command = BuildPublicationCommand(kIdentity, files, deletions).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), command.mServices.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), command.mServices[0].mExpectedVersion);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), command.mServices[1].mExpectedVersion);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), command.mServices[2].mExpectedVersion);
    CPPUNIT_ASSERT(!command.mServices[2].mSpec);
    CPPUNIT_ASSERT(FromCbor<Command>(ToCbor(command), "test").value() == command);
    Configuration current;
    current.mServices["a"] = {1, files[0].mSpec};
    const auto changed = ChangedServiceFiles(files, current);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), changed[0].mSpec.mName);
  }

  // Guards against commands that the control replicas would refuse or could apply only in part.
  void InvalidPublicationsAreRejected()
  {
    const std::vector<ServiceFile> files{File("a", "10.0.0.1:80", 1)};
    const std::vector<ServiceFile> sameAddress{files[0], File("b", "10.0.0.1:80", 1)};
    const std::vector<ServiceDeletion> sameName{{"a", 1}};
    const std::vector<ServiceDeletion> noVersion{{"c", 0}};
    CPPUNIT_ASSERT(!BuildPublicationCommand(kIdentity, {}));
    CPPUNIT_ASSERT(!BuildPublicationCommand({"not-a-uuid", "aminah", 5}, files));
    CPPUNIT_ASSERT(!BuildPublicationCommand({kIdentity.mPublicationId, "", 5}, files));
    CPPUNIT_ASSERT(!BuildPublicationCommand(kIdentity, sameAddress));
    CPPUNIT_ASSERT(!BuildPublicationCommand(kIdentity, files, sameName));
    CPPUNIT_ASSERT(!BuildPublicationCommand(kIdentity, files, noVersion));
    CPPUNIT_ASSERT(BuildPublicationCommand(kIdentity, files).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceFilesTest);

} // namespace

} // namespace dandelionslip
