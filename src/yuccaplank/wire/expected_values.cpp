#include "yuccaplank/wire/expected_values.hpp"

#include <cstdint>

namespace yuccaplank::wire {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

namespace {

// Returns "one of A, B" for the elements of a descriptor; Element returns the descriptor of one by its index.
template <typename Function> std::string formatOneOf(int Count, Function Element) {
  std::string Text;
  for (int Index = 0; Index < Count; ++Index)
    Text += (Index > 0 ? ", " : "one of ") + std::string(Element(Index)->name());
  return Text;
}

} // namespace

std::string enumNames(const FieldDescriptor &Field) {
  const auto &Type = *Field.enum_type();
  return formatOneOf(Type.value_count(), [&](int Index) { return Type.value(Index); });
}

std::string fieldNames(const Descriptor &Type) {
  return formatOneOf(Type.field_count(), [&](int Index) { return Type.field(Index); });
}

std::string expectedElement(const FieldDescriptor &Field) {
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_INT32:
    return integerRange<std::int32_t>();
  case FieldDescriptor::CPPTYPE_INT64:
    return integerRange<std::int64_t>();
  case FieldDescriptor::CPPTYPE_UINT32:
    return integerRange<std::uint32_t>();
  case FieldDescriptor::CPPTYPE_UINT64:
    return integerRange<std::uint64_t>();
  case FieldDescriptor::CPPTYPE_DOUBLE:
  case FieldDescriptor::CPPTYPE_FLOAT:
    return "number";
  case FieldDescriptor::CPPTYPE_BOOL:
    return "true or false";
  case FieldDescriptor::CPPTYPE_ENUM:
    return enumNames(Field);
  case FieldDescriptor::CPPTYPE_STRING:
    return "string";
  case FieldDescriptor::CPPTYPE_MESSAGE:
    return "object";
  }
  return {};
}

} // namespace yuccaplank::wire
