// Framing of one record in a file: length, check of the length, checksum, payload.
#pragma once

#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace dandelionslip {

/// Bytes before the payload: length (4), check of the length (4), checksum (8), little-endian. The
/// length has its own check, so that a damaged length is not mistaken for a record cut at the end.
inline constexpr std::size_t kRecordHeaderBytes = 16;

/// Largest payload of a record.
inline constexpr std::size_t kMaxRecordBytes = 256U << 20U;

enum class RecordStatus
{
  Complete,
  Incomplete, ///< The file ends inside the record, or holds only zeros from its start.
  Corrupt,    ///< A check fails.
};

/// A record found in a file.
struct RecordView
{
  RecordStatus mStatus = RecordStatus::Corrupt;
  std::span<const std::uint8_t> mPayload;
  std::uint64_t mEnd = 0;  ///< Offset after the record.
  std::string_view mError; ///< What is wrong, unless Complete.
};

/// Frames a payload.
Bytes EncodeRecord(std::span<const std::uint8_t> aPayload);

/// Reads the record that starts at aOffset, which must lie before the end of aFile.
RecordView ReadRecord(std::span<const std::uint8_t> aFile, std::uint64_t aOffset);

} // namespace dandelionslip
