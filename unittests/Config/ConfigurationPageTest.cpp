// Checks that docs/configuration.md states every key with its default and range.
#include "dandelionslip/Config/LoadSettings.h"
#include "dandelionslip/Config/ServiceFiles.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace dandelionslip {

namespace {

// Builds the beginning of the table row of each key: key, default and range.
class RowCollector
{
public:
  struct Row
  {
    std::string mKey;
    std::string mDefault;
    std::string mRange; ///< Empty when the field description has no range.
  };

  explicit RowCollector(std::string aPrefix = "")
    : mPrefix(std::move(aPrefix))
  {
  }

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

  std::vector<Row> mRows;

private:
  template <typename T>
  void Add(const char* aKey, T& aValue, Range aRange, const std::string& aDefault)
  {
    if constexpr (detail::Described<T>) {
      Nested(mPrefix + aKey + ".", aValue);
    } else {
      const bool hasRange = aRange.mMax != Range{}.mMax;
      mRows.push_back(
        {mPrefix + aKey, aDefault,
         hasRange ? std::to_string(aRange.mMin) + " to " + std::to_string(aRange.mMax) : ""});
    }
    if constexpr (std::is_same_v<T, std::vector<PeerSettings>>) {
      PeerSettings peer;
      Nested(mPrefix + aKey + "[].", peer);
    }
  }

  template <typename T>
  void Nested(const std::string& aPrefix, T& aValue)
  {
    RowCollector nested(aPrefix);
    DescribeFields(nested, aValue);
    mRows.insert(mRows.end(), nested.mRows.begin(), nested.mRows.end());
  }

  std::string mPrefix;
};

std::vector<std::string> Cells(const std::string& aLine)
{
  std::vector<std::string> cells;
  std::istringstream line(aLine);
  for (std::string cell; std::getline(line, cell, '|');) {
    const auto first = cell.find_first_not_of(' ');
    const auto last = cell.find_last_not_of(' ');
    cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
  }
  return cells;
}

class ConfigurationPageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationPageTest);
  CPPUNIT_TEST(EveryKeyIsDocumented);
  CPPUNIT_TEST_SUITE_END();

  template <typename T>
  static void CheckSection(const std::string& aPage)
  {
    T settings;
    RowCollector collector;
    DescribeFields(collector, settings);
    for (const RowCollector::Row& row : collector.mRows) {
      CPPUNIT_ASSERT_MESSAGE(row.mKey, HasRow(aPage, row));
    }
  }

  // Columns: empty, key, unit, default, range, meaning.
  static bool HasRow(const std::string& aPage, const RowCollector::Row& aRow)
  {
    constexpr std::size_t kColumns = 6;
    std::istringstream page(aPage);
    for (std::string line; std::getline(page, line);) {
      const auto cells = Cells(line);
      if (cells.size() == kColumns && cells[1] == "`" + aRow.mKey + "`" &&
          cells[3] == aRow.mDefault && (aRow.mRange.empty() || cells[4] == aRow.mRange) &&
          !cells[5].empty()) {
        return true;
      }
    }
    return false;
  }

  // Guards against a page that lags behind the code.
  void EveryKeyIsDocumented()
  {
    const auto page = ReadTextFile(EXAMPLES_DIR "/../docs/configuration.md");
    CPPUNIT_ASSERT(page.has_value());
    const std::string& text = page.value();
    CheckSection<BalancerSettings>(text);
    CheckSection<AgentSettings>(text);
    CheckSection<ControlSettings>(text);
    CheckSection<ServiceSpec>(text);
    CPPUNIT_ASSERT(!HasRow(text, {"workers", "3", "1 to 64"}));
    CPPUNIT_ASSERT(!HasRow(text, {"replica_id", "required", ""}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPageTest);

} // namespace

} // namespace dandelionslip
