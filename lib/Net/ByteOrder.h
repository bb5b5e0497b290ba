// Big-endian reading and writing of datagram fields.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace dandelionslip {

/// Writes consecutive fields in big-endian order. The buffer must be large enough for all of them.
class ByteWriter
{
public:
  explicit ByteWriter(std::uint8_t* aOut)
    : mNext(aOut)
  {
  }

  template <typename T>
  void WriteInteger(T aValue)
  {
    for (std::size_t i = sizeof(T); i-- > 0;) {
      *mNext++ = static_cast<std::uint8_t>(aValue >> (8 * i));
    }
  }

  void WriteBytes(std::span<const std::uint8_t> aBytes)
  {
    for (const std::uint8_t byte : aBytes) {
      *mNext++ = byte;
    }
  }

private:
  std::uint8_t* mNext;
};

/// Reads consecutive big-endian fields. The length of the input must have been checked before.
class ByteReader
{
public:
  explicit ByteReader(const std::uint8_t* aIn)
    : mNext(aIn)
  {
  }

  template <typename T>
  T ReadInteger()
  {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value = value << 8U | *mNext++;
    }
    return static_cast<T>(value);
  }

  void ReadBytes(std::span<std::uint8_t> aBytes)
  {
    for (std::uint8_t& byte : aBytes) {
      byte = *mNext++;
    }
  }

private:
  const std::uint8_t* mNext;
};

} // namespace dandelionslip
