// Encodes and decodes structs from one description of their fields. Decoding checks types, ranges
// and keys.
//
// A struct is supported if there is a function
//   template <typename V> void DescribeFields(V& aVisitor, TheStruct& aValue);
// that calls aVisitor.Field("key", aValue.mMember) for each member. An enum is supported if there
// is a function `std::span<const EnumName<E>> EnumNames(E)`.
#pragma once

#include "dandelionslip/Support/Json.h"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace dandelionslip {

/// An enumerator and its text form.
template <typename E>
struct EnumName
{
  E mValue;
  std::string_view mName;
};

/// Inclusive bounds of a numeric field, or of each element of an array or map.
struct Range
{
  std::int64_t mMin = std::numeric_limits<std::int64_t>::min();
  std::int64_t mMax = std::numeric_limits<std::int64_t>::max();
};

class FieldReader;
class FieldWriter;

namespace detail {

template <typename T>
struct IsVector : std::false_type
{
};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template <typename T>
struct IsStringMap : std::false_type
{
};
template <typename T>
struct IsStringMap<std::map<std::string, T>> : std::true_type
{
};
template <typename T>
struct IsOptional : std::false_type
{
};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};

template <typename T>
concept Described = requires(FieldWriter& aWriter, T& aValue)
{
  DescribeFields(aWriter, aValue);
};

} // namespace detail

/// Collects the fields of a struct into a JSON object.
class FieldWriter
{
public:
  template <typename T>
  void Field(const char* aKey, T& aValue, Range = {})
  {
    mOut[aKey] = Encode(aValue);
  }

  template <typename T>
  void Optional(const char* aKey, T& aValue, Range = {})
  {
    mOut[aKey] = Encode(aValue);
  }

  template <typename T>
  static Json Encode(T& aValue)
  {
    using Plain = std::remove_const_t<T>;
    if constexpr (std::is_enum_v<Plain>) {
      for (const auto& [value, name] : EnumNames(aValue)) {
        if (value == aValue) {
          return Json(name);
        }
      }
      return Json();
    } else if constexpr (std::is_same_v<Plain, std::chrono::milliseconds>) {
      return Json(aValue.count());
    } else if constexpr (detail::IsVector<Plain>::value) {
      Json out = Json::array();
      for (auto&& item : aValue) {
        out.push_back(Encode(item));
      }
      return out;
    } else if constexpr (detail::IsStringMap<Plain>::value) {
      Json out = Json::object();
      for (auto& [key, item] : aValue) {
        out[key] = Encode(item);
      }
      return out;
    } else if constexpr (detail::IsOptional<Plain>::value) {
      return aValue ? Encode(*aValue) : Json();
    } else if constexpr (detail::Described<Plain>) {
      FieldWriter writer;
      DescribeFields(writer, const_cast<Plain&>(aValue));
      return std::move(writer.mOut);
    } else {
      return Json(aValue);
    }
  }

private:
  Json mOut = Json::object();
};

/// Fills the fields of a struct from a JSON object and reports the first violation with its key
/// path.
class FieldReader
{
public:
  /// aSource is the file or message name, aPath the key path of the object.
  FieldReader(const Json& aObject, std::string_view aSource, std::string aPath)
    : mObject(aObject)
    , mSource(aSource)
    , mPath(std::move(aPath))
  {
    if (!mObject.is_object()) {
      RecordWrongValue(mPath, mObject, "an object");
    }
  }

  /// Reads a field that must be present.
  template <typename T>
  void Field(const char* aKey, T& aValue, Range aRange = {})
  {
    if (const Json* found = Find(aKey)) {
      Decode(*found, Path(aKey), aValue, aRange);
    } else if (!mError) {
      mError = Error{ErrorCode::InvalidInput, "decode", mSource,
                     Path(aKey) + ": missing, expected a value"};
    }
  }

  /// Reads a field that keeps its default when it is absent.
  template <typename T>
  void Optional(const char* aKey, T& aValue, Range aRange = {})
  {
    if (const Json* found = Find(aKey)) {
      Decode(*found, Path(aKey), aValue, aRange);
    }
  }

  /// Returns the first error, if any. A key that no field has read is an error.
  std::optional<Error> Finish()
  {
    if (mError || !mObject.is_object()) {
      return mError;
    }
    for (const auto& [key, value] : mObject.items()) {
      if (!mSeen.contains(key)) {
        RecordWrongValue(Path(key), value, "no such key");
        break;
      }
    }
    return mError;
  }

  /// Records a violation that a struct's own checks found; aKey is relative to this object.
  void RecordViolation(std::string_view aKey, std::string_view aFound, std::string_view aExpected)
  {
    if (!mError) {
      mError = Error{ErrorCode::InvalidInput, "decode", mSource,
                     Path(aKey) + ": found " + std::string(aFound) + ", expected " +
                       std::string(aExpected)};
    }
  }

private:
  std::string Path(std::string_view aKey) const
  {
    return mPath.empty() ? std::string(aKey) : mPath + "." + std::string(aKey);
  }

  const Json* Find(const char* aKey)
  {
    if (mError || !mObject.is_object()) {
      return nullptr;
    }
    mSeen.insert(aKey);
    const auto found = mObject.find(aKey);
    return found == mObject.end() ? nullptr : &*found;
  }

  void RecordWrongValue(const std::string& aPath, const Json& aFound, const std::string& aExpected)
  {
    if (!mError) {
      std::string found = aFound.dump(-1, ' ', false, Json::error_handler_t::replace);
      constexpr std::size_t kShownCharacters = 60;
      if (found.size() > kShownCharacters) {
        found = found.substr(0, kShownCharacters) + "...";
      }
      mError = Error{ErrorCode::InvalidInput, "decode", mSource,
                     (aPath.empty() ? std::string("top level") : aPath) + ": found " + found +
                       ", expected " + aExpected};
    }
  }

  template <typename T>
  void Decode(const Json& aIn, const std::string& aPath, T& aValue, Range aRange)
  {
    if (mError) {
      return;
    }
    if constexpr (std::is_enum_v<T>) {
      DecodeEnum(aIn, aPath, aValue);
    } else if constexpr (std::is_same_v<T, bool>) {
      aIn.is_boolean() ? void(aValue = aIn.get<bool>())
                       : RecordWrongValue(aPath, aIn, "true or false");
    } else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
      std::int64_t count = 0;
      DecodeInteger(aIn, aPath, count, aRange);
      aValue = std::chrono::milliseconds(count);
    } else if constexpr (std::is_integral_v<T>) {
      DecodeInteger(aIn, aPath, aValue, aRange);
    } else if constexpr (std::is_floating_point_v<T>) {
      // CBOR has numbers that are not finite.
      aIn.is_number() && std::isfinite(aIn.get<T>())
        ? void(aValue = aIn.get<T>())
        : RecordWrongValue(aPath, aIn, "a finite number");
    } else if constexpr (std::is_same_v<T, std::string>) {
      aIn.is_string() ? void(aValue = aIn.get<std::string>())
                      : RecordWrongValue(aPath, aIn, "a string");
    } else if constexpr (std::is_same_v<T, Json>) {
      aValue = aIn;
    } else if constexpr (detail::IsVector<T>::value) {
      DecodeVector(aIn, aPath, aValue, aRange);
    } else if constexpr (detail::IsStringMap<T>::value) {
      DecodeMap(aIn, aPath, aValue, aRange);
    } else if constexpr (detail::IsOptional<T>::value) {
      aValue.reset();
      if (!aIn.is_null()) {
        Decode(aIn, aPath, aValue.emplace(), aRange);
      }
    } else {
      FieldReader nested(aIn, mSource, aPath);
      DescribeFields(nested, aValue);
      if (auto error = nested.Finish()) {
        mError = std::move(error);
      }
    }
  }

  template <typename E>
  void DecodeEnum(const Json& aIn, const std::string& aPath, E& aValue)
  {
    std::string expected;
    for (const auto& [value, name] : EnumNames(aValue)) {
      if (aIn.is_string() && aIn.get_ref<const std::string&>() == name) {
        aValue = value;
        return;
      }
      expected += (expected.empty() ? "one of " : ", ") + std::string(name);
    }
    RecordWrongValue(aPath, aIn, expected);
  }

  template <typename T>
  void DecodeInteger(const Json& aIn, const std::string& aPath, T& aValue, Range aRange)
  {
    if (!aIn.is_number_integer()) {
      RecordWrongValue(aPath, aIn, "an integer");
      return;
    }
    if constexpr (std::is_same_v<T, std::uint64_t>) {
      // Bounds are int64_t, so a field without an upper bound is read directly to accept values
      // above INT64_MAX.
      if (aRange.mMax == std::numeric_limits<std::int64_t>::max() && aIn.is_number_unsigned()) {
        aValue = aIn.get<std::uint64_t>();
        return;
      }
    }
    const bool tooLarge = aIn.is_number_unsigned() &&
                          aIn.get<std::uint64_t>() >
                            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const std::int64_t count = tooLarge ? 0 : aIn.get<std::int64_t>();
    const std::int64_t low =
      std::max<std::int64_t>(aRange.mMin, std::is_unsigned_v<T> ? 0 : TypeMin<T>());
    const std::int64_t high = std::min<std::int64_t>(aRange.mMax, TypeMax<T>());
    if (tooLarge || count < low || count > high) {
      RecordWrongValue(aPath, aIn,
                       "an integer from " + std::to_string(low) + " to " + std::to_string(high));
      return;
    }
    aValue = static_cast<T>(count);
  }

  template <typename T>
  static constexpr std::int64_t TypeMin()
  {
    return static_cast<std::int64_t>(std::numeric_limits<T>::min());
  }

  template <typename T>
  static constexpr std::int64_t TypeMax()
  {
    if constexpr (sizeof(T) == sizeof(std::int64_t)) {
      return std::numeric_limits<std::int64_t>::max();
    } else {
      return static_cast<std::int64_t>(std::numeric_limits<T>::max());
    }
  }

  template <typename T>
  void DecodeVector(const Json& aIn, const std::string& aPath, std::vector<T>& aValue, Range aRange)
  {
    if (!aIn.is_array()) {
      RecordWrongValue(aPath, aIn, "an array");
      return;
    }
    aValue.clear();
    for (std::size_t i = 0; i < aIn.size() && !mError; ++i) {
      T item{};
      Decode(aIn[i], aPath + "[" + std::to_string(i) + "]", item, aRange);
      aValue.push_back(std::move(item));
    }
  }

  template <typename T>
  void DecodeMap(const Json& aIn, const std::string& aPath, std::map<std::string, T>& aValue,
                 Range aRange)
  {
    if (!aIn.is_object()) {
      RecordWrongValue(aPath, aIn, "an object");
      return;
    }
    aValue.clear();
    for (const auto& [key, item] : aIn.items()) {
      Decode(item, aPath + "." + key, aValue[key], aRange);
    }
  }

  const Json& mObject;
  std::string mSource;
  std::string mPath;
  std::set<std::string, std::less<>> mSeen;
  std::optional<Error> mError;
};

/// Encodes a struct that has a field description.
template <typename T>
Json ToJson(const T& aValue)
{
  return FieldWriter::Encode(aValue);
}

/// Decodes a struct that has a field description; errors name aSource and the key path.
template <typename T>
Result<T> FromJson(const Json& aIn, std::string_view aSource)
{
  T value{};
  FieldReader reader(aIn, aSource, "");
  DescribeFields(reader, value);
  if (auto error = reader.Finish()) {
    return boost::outcome_v2::failure(std::move(*error));
  }
  return value;
}

/// Encodes a struct that has a field description as CBOR.
template <typename T>
Bytes ToCbor(const T& aValue)
{
  return EncodeCbor(ToJson(aValue));
}

/// Decodes a struct that has a field description from CBOR.
template <typename T>
Result<T> FromCbor(std::span<const std::uint8_t> aBytes, std::string_view aSource)
{
  auto json = DecodeCbor(aBytes, aSource);
  if (!json) {
    return json.as_failure();
  }
  return FromJson<T>(json.value(), aSource);
}

} // namespace dandelionslip
