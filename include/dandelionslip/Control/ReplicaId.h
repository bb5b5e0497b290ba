// Identity of a control replica.
#pragma once

#include "dandelionslip/Support/Random.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionslip {

/// UUID in lower-case text form, written to the data directory at first start. Empty means none.
using ReplicaId = std::string;

/// Random number that identifies a data directory, drawn when the directory is created. It tells
/// two directories apart that claim the same ReplicaId, as after the loss of a disk. Zero means not
/// known.
using StoreId = std::uint64_t;

/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;

/// Raft term; the first term is 1.
using Term = std::uint64_t;

/// Whether the text is a UUID in lower-case form.
bool IsReplicaId(std::string_view aText);

/// Draws a version 4 UUID.
ReplicaId NewReplicaId(Random& aRandom);

} // namespace dandelionslip
