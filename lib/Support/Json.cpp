// Implements strict decoding with the SAX interface of nlohmann-json.
#include "dandelionslip/Support/Json.h"

#include <fstream>
#include <optional>
#include <sstream>

namespace dandelionslip {

namespace {

// Builds a document from SAX events. Rejects duplicate keys and deep nesting, which the library's
// own builder accepts.
class StrictBuilder
{
public:
  using number_integer_t = Json::number_integer_t;
  using number_unsigned_t = Json::number_unsigned_t;
  using number_float_t = Json::number_float_t;
  using string_t = Json::string_t;
  using binary_t = Json::binary_t;

  bool null() { return AddValue(Json()); }
  bool boolean(bool aValue) { return AddValue(Json(aValue)); }
  bool number_integer(number_integer_t aValue) { return AddValue(Json(aValue)); }
  bool number_unsigned(number_unsigned_t aValue) { return AddValue(Json(aValue)); }
  bool number_float(number_float_t aValue, const string_t& /*aText*/)
  {
    return AddValue(Json(aValue));
  }
  bool string(string_t& aValue) { return AddValue(Json(std::move(aValue))); }
  bool binary(binary_t& aValue) { return AddValue(Json(std::move(aValue))); }
  bool start_object(std::size_t /*aSize*/) { return OpenContainer(Json::object()); }
  bool start_array(std::size_t /*aSize*/) { return OpenContainer(Json::array()); }
  bool end_object() { return CloseContainer(); }
  bool end_array() { return CloseContainer(); }

  bool key(string_t& aKey)
  {
    if (mOpenContainers.back()->contains(aKey)) {
      mProblem = "duplicate key \"" + aKey + "\"";
      return false;
    }
    mKeys.back() = aKey;
    return true;
  }

  bool parse_error(std::size_t aPosition, const std::string& /*aToken*/,
                   const nlohmann::detail::exception& aWhat)
  {
    mPosition = aPosition;
    mProblem = aWhat.what();
    return false;
  }

  Json TakeRoot() { return std::move(mRoot); }
  const std::string& Problem() const { return mProblem; }
  std::optional<std::size_t> Position() const { return mPosition; }

private:
  Json* Insert(Json&& aValue)
  {
    if (mOpenContainers.empty()) {
      mRoot = std::move(aValue);
      return &mRoot;
    }
    Json& parent = *mOpenContainers.back();
    if (parent.is_array()) {
      parent.push_back(std::move(aValue));
      return &parent.back();
    }
    Json& slot = parent[mKeys.back()];
    slot = std::move(aValue);
    return &slot;
  }

  bool AddValue(Json&& aValue)
  {
    Insert(std::move(aValue));
    return true;
  }

  bool OpenContainer(Json&& aContainer)
  {
    if (mOpenContainers.size() >= kMaxJsonDepth) {
      mProblem = "nesting deeper than " + std::to_string(kMaxJsonDepth) + " levels";
      return false;
    }
    mOpenContainers.push_back(Insert(std::move(aContainer)));
    mKeys.emplace_back();
    return true;
  }

  bool CloseContainer()
  {
    mOpenContainers.pop_back();
    mKeys.pop_back();
    return true;
  }

  Json mRoot;
  std::vector<Json*> mOpenContainers;
  std::vector<std::string> mKeys; // The latest key of each open container.
  std::string mProblem;
  std::optional<std::size_t> mPosition;
};

constexpr unsigned kCborMajorShift = 5;
constexpr std::uint8_t kCborInfoMask = 0x1f;
constexpr std::uint8_t kCborByteString = 2;
constexpr std::uint8_t kCborTextString = 3;
constexpr std::uint8_t kCborFirstArgument = 24; // 24 to 27: an argument of 1, 2, 4 or 8 bytes.
constexpr std::uint8_t kCborLastArgument = 27;
constexpr std::uint8_t kCborIndefinite = 31;

// Whether a byte or text string of indefinite length occurs. nlohmann-json decodes chunks of such a
// string by recursion without a limit and without an event. Malformed heads are left to the
// decoder, which stops at the same byte.
bool HasIndefiniteString(std::span<const std::uint8_t> aBytes)
{
  while (!aBytes.empty()) {
    const auto major = static_cast<std::uint8_t>(aBytes.front() >> kCborMajorShift);
    const auto info = static_cast<std::uint8_t>(aBytes.front() & kCborInfoMask);
    const bool isString = major == kCborByteString || major == kCborTextString;
    aBytes = aBytes.subspan(1);
    if (isString && info == kCborIndefinite) {
      return true;
    }
    std::uint64_t argument = info;
    if (info >= kCborFirstArgument && info <= kCborLastArgument) {
      const std::size_t size = std::size_t{1} << (info - kCborFirstArgument);
      if (aBytes.size() < size) {
        return false;
      }
      argument = 0;
      for (const std::uint8_t byte : aBytes.first(size)) {
        argument = argument << 8U | byte;
      }
      aBytes = aBytes.subspan(size);
    }
    if (isString) {
      if (argument > aBytes.size()) {
        return false;
      }
      aBytes = aBytes.subspan(argument);
    }
  }
  return false;
}

// Shortens a text that quotes the input, which may be as long as the whole message.
std::string Shortened(std::string aText)
{
  constexpr std::size_t kMost = 200;
  if (aText.size() > kMost) {
    aText.resize(kMost);
    aText += "...";
  }
  return aText;
}

std::string LineAndColumn(std::string_view aText, std::size_t aPosition)
{
  std::size_t line = 1;
  std::size_t column = 1;
  for (std::size_t i = 0; i + 1 < aPosition && i < aText.size(); ++i) {
    const bool newline = aText[i] == '\n';
    line += newline ? 1 : 0;
    column = newline ? 1 : column + 1;
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(column) + ": ";
}

} // namespace

Result<Json> ParseJson(std::string_view aText, std::string_view aSource)
{
  StrictBuilder builder;
  constexpr bool kStrict = true;
  constexpr bool kIgnoreComments = true;
  try {
    if (Json::sax_parse(aText.begin(), aText.end(), &builder,
                        nlohmann::detail::input_format_t::json, kStrict, kIgnoreComments)) {
      return builder.TakeRoot();
    }
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::InvalidInput, "parse", std::string(aSource), Shortened(failure.what()));
  }
  std::string detail = Shortened(builder.Problem());
  if (const auto position = builder.Position()) {
    detail = LineAndColumn(aText, *position) + detail;
  }
  return Fail(ErrorCode::InvalidInput, "parse", std::string(aSource), std::move(detail));
}

Result<Json> ReadJsonFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::Io, "read", aPath, "cannot open the file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) {
    return Fail(ErrorCode::Io, "read", aPath, "cannot read the file");
  }
  return ParseJson(text.str(), aPath);
}

Bytes EncodeCbor(const Json& aValue)
{
  return Json::to_cbor(aValue);
}

Result<Json> DecodeCbor(std::span<const std::uint8_t> aBytes, std::string_view aSource)
{
  if (HasIndefiniteString(aBytes)) {
    return Fail(ErrorCode::InvalidInput, "decode", std::string(aSource),
                "found a string of indefinite length, expected its length");
  }
  StrictBuilder builder;
  try {
    if (Json::sax_parse(aBytes.begin(), aBytes.end(), &builder,
                        nlohmann::detail::input_format_t::cbor)) {
      return builder.TakeRoot();
    }
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::InvalidInput, "decode", std::string(aSource), Shortened(failure.what()));
  }
  return Fail(ErrorCode::InvalidInput, "decode", std::string(aSource),
              Shortened(builder.Problem()));
}

} // namespace dandelionslip
