// Encoding of one record in a file: length, checksum of the length, checksum of the payload,
// payload.
#pragma once

#include "dandelionslip/Support/Json.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace dandelionslip {

/// Bytes before the payload: length (4), checksum of the length (4), checksum of the payload (8),
/// all little-endian. The length has its own checksum, so that a corrupt length is not mistaken for
/// an incomplete record at the end of the file.
inline constexpr std::size_t kRecordHeaderBytes = 16;

/// Largest payload of a record.
inline constexpr std::size_t kMaxRecordBytes = 256U << 20U;

enum class RecordStatus
{
  Complete,
  Incomplete, ///< The file ends inside the record, or holds only zeros from the start of the
              ///< record.
  Corrupt,    ///< A checksum does not match, or the length is above kMaxRecordBytes.
};

/// Result of reading a record.
struct RecordView
{
  RecordStatus mStatus = RecordStatus::Corrupt;
  std::span<const std::uint8_t> mPayload;
  std::uint64_t mEnd = 0;  ///< Offset after the record; valid only if it is Complete.
  std::string_view mError; ///< Why the record is not Complete; empty if it is.
};

/// Returns the record with this payload.
Bytes EncodeRecord(std::span<const std::uint8_t> aPayload);

/// Reads the record that starts at aOffset, which must lie before the end of aFile.
RecordView ReadRecord(std::span<const std::uint8_t> aFile, std::uint64_t aOffset);

} // namespace dandelionslip
