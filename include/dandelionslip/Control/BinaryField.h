// Field of raw bytes, encoded as a CBOR byte string instead of an array of numbers.
#pragma once

#include "dandelionslip/Support/Fields.h"

namespace dandelionslip {

/// Describes a byte string field to a reader or a writer.
template <typename V>
void BinaryField(V& aVisitor, const char* aKey, Bytes& aValue)
{
  Json data = Json::binary(aValue);
  aVisitor.Field(aKey, data);
  if constexpr (std::is_same_v<V, FieldReader>) {
    if (!data.is_binary()) {
      aVisitor.RecordViolation(aKey, data.type_name(), "a byte string");
      return;
    }
    aValue = std::move(static_cast<Bytes&>(data.get_binary()));
  }
}

} // namespace dandelionslip
