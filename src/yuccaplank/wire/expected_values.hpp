// Texts for the "expected" part of document issues.
#pragma once

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <limits>
#include <string>

namespace yuccaplank::wire {

/// Returns "integer from MIN to MAX".
template <typename Integer> std::string integerRange() {
  return fmt::format("integer from {} to {}", std::numeric_limits<Integer>::min(),
                     std::numeric_limits<Integer>::max());
}

/// Returns "one of A, B" with the value names of the field's enumeration.
std::string enumNames(const google::protobuf::FieldDescriptor &Field);

/// Returns "one of A, B" with the field names of the message.
std::string fieldNames(const google::protobuf::Descriptor &Type);

/// Describes the values that one element of the field may have.
std::string expectedElement(const google::protobuf::FieldDescriptor &Field);

} // namespace yuccaplank::wire
