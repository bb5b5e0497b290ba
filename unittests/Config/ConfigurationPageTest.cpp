// Checks that docs/configuration.md documents every key with its default and range.
#include "dandelionslip/Config/LoadSettings.h"
#include "dandelionslip/Config/ServiceFiles.h"

#include <cppunit/extensions/HelperMacros.h>

#include <regex>

namespace dandelionslip {

namespace {

// Builds for each key of a struct a regular expression that its table row must match.
class RowCollector
{
public:
  template <typename T>
  void Field(const char* aKey, T& aValue, Range aRange = {})
  {
    Add(aKey, aValue, aRange, "required");
  }

  template <typename T>
  void Optional(const char* aKey, T& aValue, Range aRange = {})
  {
    const Json value = FieldWriter::Encode(aValue);
    const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    Add(aKey, aValue, aRange, text.empty() ? "none" : text);
  }

  static std::string Row(const std::string& aKey, const std::string& aDefault, Range aRange)
  {
    const std::string range =
      std::to_string(aRange.mMin) + " to " + std::to_string(aRange.mMax) + " ";
    const bool hasRange = aRange.mMax != Range{}.mMax;
    return Escape("| `" + aKey + "` |") + "[^|\n]*" + Escape("| " + aDefault + " |") +
           (hasRange ? " " + range : "[^|\n]*") + "\\| [A-Z][^|\n]*\\. \\|\n";
  }

  std::vector<std::string> mRows;

private:
  static std::string Escape(const std::string& aText)
  {
    return std::regex_replace(aText, std::regex(R"([|.[\]])"), R"(\$&)");
  }

  template <typename T>
  void Add(const char* aKey, T& aValue, Range aRange, const std::string& aDefault)
  {
    if constexpr (detail::Described<T>) {
      Nested(std::string(aKey) + ".", aValue);
    } else {
      mRows.push_back(Row(mPrefix + aKey, aDefault, aRange));
    }
    if constexpr (std::is_same_v<T, std::vector<PeerSettings>>) {
      PeerSettings peer;
      Nested(std::string(aKey) + "[].", peer);
    }
  }

  template <typename T>
  void Nested(const std::string& aPrefix, T& aValue)
  {
    mPrefix = aPrefix;
    DescribeFields(*this, aValue);
    mPrefix.clear();
  }

  std::string mPrefix;
};

class ConfigurationPageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationPageTest);
  CPPUNIT_TEST(EveryKeyIsDocumented);
  CPPUNIT_TEST_SUITE_END();

  static bool HasRow(const std::string& aPage, const std::string& aRow)
  {
    return std::regex_search(aPage, std::regex(aRow));
  }

  template <typename T>
  static void CheckKeys(const std::string& aPage)
  {
    T settings;
    RowCollector collector;
    DescribeFields(collector, settings);
    for (const std::string& row : collector.mRows) {
      CPPUNIT_ASSERT_MESSAGE(row, HasRow(aPage, row));
    }
  }

  // Guards against documentation that was not updated with the code.
  void EveryKeyIsDocumented()
  {
    const auto page = ReadTextFile(EXAMPLES_DIR "/../docs/configuration.md");
    CPPUNIT_ASSERT(page.has_value());
    CheckKeys<BalancerSettings>(page.value());
    CheckKeys<AgentSettings>(page.value());
    CheckKeys<ControlSettings>(page.value());
    CheckKeys<ServiceSpec>(page.value());
    CPPUNIT_ASSERT(HasRow(page.value(), RowCollector::Row("workers", "2", {1, 64})));
    CPPUNIT_ASSERT(!HasRow(page.value(), RowCollector::Row("workers", "3", {1, 64})));
    CPPUNIT_ASSERT(!HasRow(page.value(), RowCollector::Row("workers", "2", {1, 65})));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPageTest);

} // namespace

} // namespace dandelionslip
