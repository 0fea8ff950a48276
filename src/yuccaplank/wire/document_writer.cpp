#include "yuccaplank/wire/document_writer.hpp"

#include "yuccaplank/wire/message_json.hpp"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <vector>

namespace yuccaplank::wire {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using nlohmann::ordered_json;

constexpr int PrettyIndent = 2;

// Converts a singular field or, at Index, one element of a repeated field.
ordered_json fieldToJson(const Message &Source, const FieldDescriptor &Field, int Index) {
  const auto &Reflection = *Source.GetReflection();
  bool Repeated = Field.is_repeated();
  auto Get = [&](auto Single, auto Element) {
    return Repeated ? (Reflection.*Element)(Source, &Field, Index) : (Reflection.*Single)(Source, &Field);
  };
  using google::protobuf::Reflection;
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_INT32:
    return Get(&Reflection::GetInt32, &Reflection::GetRepeatedInt32);
  case FieldDescriptor::CPPTYPE_INT64:
    return Get(&Reflection::GetInt64, &Reflection::GetRepeatedInt64);
  case FieldDescriptor::CPPTYPE_UINT32:
    return Get(&Reflection::GetUInt32, &Reflection::GetRepeatedUInt32);
  case FieldDescriptor::CPPTYPE_UINT64:
    return Get(&Reflection::GetUInt64, &Reflection::GetRepeatedUInt64);
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return Get(&Reflection::GetDouble, &Reflection::GetRepeatedDouble);
  case FieldDescriptor::CPPTYPE_FLOAT:
    return Get(&Reflection::GetFloat, &Reflection::GetRepeatedFloat);
  case FieldDescriptor::CPPTYPE_BOOL:
    return Get(&Reflection::GetBool, &Reflection::GetRepeatedBool);
  case FieldDescriptor::CPPTYPE_ENUM:
    return Get(&Reflection::GetEnum, &Reflection::GetRepeatedEnum)->name();
  case FieldDescriptor::CPPTYPE_STRING:
    return Get(&Reflection::GetString, &Reflection::GetRepeatedString);
  case FieldDescriptor::CPPTYPE_MESSAGE:
    return messageToJson(Repeated ? Reflection.GetRepeatedMessage(Source, &Field, Index)
                                  : Reflection.GetMessage(Source, &Field));
  }
  return {};
}

} // namespace

ordered_json messageToJson(const Message &Source) {
  ordered_json Object = ordered_json::object();
  std::vector<const FieldDescriptor *> Fields;
  Source.GetReflection()->ListFields(Source, &Fields);
  for (const FieldDescriptor *Field : Fields) {
    ordered_json &Value = Object[Field->name()];
    if (!Field->is_repeated()) {
      Value = fieldToJson(Source, *Field, 0);
      continue;
    }
    Value = ordered_json::array();
    int Size = Source.GetReflection()->FieldSize(Source, Field);
    for (int Index = 0; Index < Size; ++Index)
      Value.push_back(fieldToJson(Source, *Field, Index));
  }
  return Object;
}

bool isUtf8(const std::string &Text) {
  if (std::all_of(Text.begin(), Text.end(), [](char Byte) { return static_cast<signed char>(Byte) >= 0; }))
    return true;
  try {
    (void)nlohmann::json(Text).dump();
    return true;
  } catch (const nlohmann::json::type_error &) {
    return false;
  }
}

std::string writeDocument(const Message &Source, json_layout Layout) {
  return messageToJson(Source).dump(Layout == json_layout::Pretty ? PrettyIndent : -1, ' ',
                                    /*ensure_ascii=*/false, ordered_json::error_handler_t::replace);
}

} // namespace yuccaplank::wire
