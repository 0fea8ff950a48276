// Texts for the "expected" part of document issues.
#pragma once

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <limits>
#include <string>

namespace yuccaplank::wire {

/// "integer from MIN to MAX".
template <typename Integer> std::string integerRange() {
  return fmt::format("integer from {} to {}", std::numeric_limits<Integer>::min(),
                     std::numeric_limits<Integer>::max());
}

/// "one of A, B": the names of the field's enumeration.
std::string enumNames(const google::protobuf::FieldDescriptor &Field);

/// "one of A, B": the names of the message's fields.
std::string fieldNames(const google::protobuf::Descriptor &Type);

/// What one element of the field may be.
std::string expectedElement(const google::protobuf::FieldDescriptor &Field);

} // namespace yuccaplank::wire
