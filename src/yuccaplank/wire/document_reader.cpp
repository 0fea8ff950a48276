#include "yuccaplank/wire/document_reader.hpp"

#include "yuccaplank/wire/expected_values.hpp"
#include "yuccaplank/wire/line_counter.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <utility>

namespace yuccaplank::wire {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using nlohmann::json;
using runtime::errc;

// Bounds the memory that a malicious document can take.
constexpr std::size_t MaxIssues = 100;

// Sets a singular field or appends to a repeated field.
struct field_writer {
  Message &Target;
  const FieldDescriptor &Field;

  template <typename Value, typename Setter, typename Adder>
  void put(Setter Set, Adder Add, Value &&Item) const {
    const auto *Reflection = Target.GetReflection();
    if (Field.is_repeated())
      (Reflection->*Add)(&Target, &Field, std::forward<Value>(Item));
    else
      (Reflection->*Set)(&Target, &Field, std::forward<Value>(Item));
  }
};

// State of one object while it is read.
struct object_frame {
  Message *Target = nullptr;
  // Field of the current key; null if the key is unknown.
  const FieldDescriptor *Field = nullptr;
  std::string UnknownKey;
  bool InArray = false;
  int Index = 0;
  // Whether a key has occurred, by field index; detects duplicate keys.
  std::vector<bool> Seen;
};

// Receives the parser's events. Values of unknown keys and values of the wrong type are skipped as a whole.
class message_builder {
public:
  message_builder(std::string_view Text, Message &Root) : Lines(Text), Root(Root) {}

  line_counter &lines() { return Lines; }
  std::vector<document_issue> takeIssues() { return std::move(Issues); }
  // Records the line of each key and array element under its path.
  void recordLines(std::map<std::string, int> *Map) { LinesByPath = Map; }

  // Event handlers, with the names that the SAX interface of nlohmann::json requires.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() {
    return handleScalar([this](const FieldDescriptor &Field) { addWrongType(Field); });
  }
  bool boolean(bool Value) {
    return handleScalar([this, Value](const FieldDescriptor &Field) {
      if (Field.cpp_type() != FieldDescriptor::CPPTYPE_BOOL)
        return addWrongType(Field);
      writer(Field).put(&google::protobuf::Reflection::SetBool, &google::protobuf::Reflection::AddBool,
                        Value);
    });
  }
  bool number_integer(std::int64_t Value) { return handleInteger(Value); }
  bool number_unsigned(std::uint64_t Value) { return handleInteger(Value); }
  bool number_float(double Value, const std::string & /*Literal*/) {
    return handleScalar([this, Value](const FieldDescriptor &Field) { putFloat(Field, Value); });
  }
  bool string(std::string &Value) {
    return handleScalar([this, &Value](const FieldDescriptor &Field) { putString(Field, Value); });
  }
  bool binary(json::binary_t & /*Value*/) { return false; }

  bool start_object(std::size_t /*Size*/) {
    if (SkipDepth > 0) {
      ++SkipDepth;
      return true;
    }
    if (Frames.empty()) {
      push(Root);
      return true;
    }
    const FieldDescriptor *Field = beginValue();
    if (Field == nullptr || !acceptsElement(*Field) ||
        Field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
      if (Field != nullptr)
        addWrongType(*Field);
      SkipDepth = 1;
      return true;
    }
    Message &Parent = *Frames.back().Target;
    const auto *Reflection = Parent.GetReflection();
    push(Field->is_repeated() ? *Reflection->AddMessage(&Parent, Field)
                              : *Reflection->MutableMessage(&Parent, Field));
    return true;
  }
  bool key(std::string &Name) {
    if (SkipDepth > 0)
      return true;
    object_frame &Top = Frames.back();
    const Descriptor &Type = *Top.Target->GetDescriptor();
    Top.Field = Type.FindFieldByName(Name);
    if (Top.Field == nullptr) {
      Top.UnknownKey = Name;
      addIssue(errc::UnknownField, fieldNames(Type));
      return true;
    }
    if (LinesByPath != nullptr)
      LinesByPath->emplace(path(), Lines.line());
    auto Seen = Top.Seen[Top.Field->index()];
    if (Seen) {
      addIssue(errc::MalformedDocument, "each key once");
      Top.UnknownKey = Name;
      Top.Field = nullptr;
      return true;
    }
    Seen = true;
    return true;
  }
  bool end_object() {
    return endContainer([this] { Frames.pop_back(); });
  }

  bool start_array(std::size_t /*Size*/) {
    if (SkipDepth > 0) {
      ++SkipDepth;
      return true;
    }
    if (Frames.empty()) {
      addIssue(errc::WrongType, "object");
      SkipDepth = 1;
      return true;
    }
    const FieldDescriptor *Field = beginValue();
    if (Field == nullptr || !Field->is_repeated() || Frames.back().InArray) {
      if (Field != nullptr)
        addWrongType(*Field);
      SkipDepth = 1;
      return true;
    }
    Frames.back().InArray = true;
    Frames.back().Index = 0;
    return true;
  }
  bool end_array() {
    return endContainer([this] { Frames.back().InArray = false; });
  }
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const json::exception &Exception) {
    std::string_view Text = Exception.what();
    constexpr std::string_view Marker = "expected ";
    std::size_t Found = Text.rfind(Marker);
    // The marker must not match the end of the word "unexpected".
    bool HasExpectation = Found != std::string_view::npos && (Found == 0 || Text[Found - 1] == ' ');
    addIssue(errc::MalformedDocument,
             HasExpectation ? std::string(Text.substr(Found + Marker.size())) : std::string("JSON"));
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  void push(Message &Target) {
    object_frame Next;
    Next.Target = &Target;
    Next.Seen.resize(Target.GetDescriptor()->field_count());
    Frames.push_back(std::move(Next));
  }

  template <typename Leave> bool endContainer(Leave LeaveContainer) {
    if (SkipDepth > 0) {
      if (--SkipDepth == 0)
        endValue();
      return true;
    }
    LeaveContainer();
    endValue();
    return true;
  }

  // Returns the field that the next value belongs to.
  const FieldDescriptor *beginValue() {
    object_frame &Top = Frames.back();
    if (Top.InArray && LinesByPath != nullptr)
      LinesByPath->emplace(path(), Lines.line());
    return Top.Field;
  }
  void endValue() {
    if (!Frames.empty() && Frames.back().InArray)
      ++Frames.back().Index;
  }
  [[nodiscard]] bool acceptsElement(const FieldDescriptor &Field) const {
    return Field.is_repeated() == Frames.back().InArray;
  }

  template <typename Function> bool handleScalar(Function Put) {
    if (SkipDepth > 0)
      return true;
    if (Frames.empty()) {
      addIssue(errc::WrongType, "object");
      return true;
    }
    const FieldDescriptor *Field = beginValue();
    if (Field != nullptr) {
      if (acceptsElement(*Field))
        Put(*Field);
      else
        addWrongType(*Field);
    }
    endValue();
    return true;
  }

  template <typename Value> bool handleInteger(Value Number) {
    return handleScalar([this, Number](const FieldDescriptor &Field) { putInteger(Field, Number); });
  }

  template <typename Target, typename Value, typename Setter, typename Adder>
  void putIntegerInRange(const FieldDescriptor &Field, Value Number, Setter Set, Adder Add) {
    if (!std::in_range<Target>(Number))
      return addIssue(errc::OutOfRange, integerRange<Target>());
    writer(Field).put(Set, Add, static_cast<Target>(Number));
  }

  template <typename Value> void putInteger(const FieldDescriptor &Field, Value Number) {
    using google::protobuf::Reflection;
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
      return putIntegerInRange<std::int32_t>(Field, Number, &Reflection::SetInt32, &Reflection::AddInt32);
    case FieldDescriptor::CPPTYPE_INT64:
      return putIntegerInRange<std::int64_t>(Field, Number, &Reflection::SetInt64, &Reflection::AddInt64);
    case FieldDescriptor::CPPTYPE_UINT32:
      return putIntegerInRange<std::uint32_t>(Field, Number, &Reflection::SetUInt32, &Reflection::AddUInt32);
    case FieldDescriptor::CPPTYPE_UINT64:
      return putIntegerInRange<std::uint64_t>(Field, Number, &Reflection::SetUInt64, &Reflection::AddUInt64);
    default:
      return putFloat(Field, static_cast<double>(Number));
    }
  }

  void putFloat(const FieldDescriptor &Field, double Number) {
    using google::protobuf::Reflection;
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return writer(Field).put(&Reflection::SetDouble, &Reflection::AddDouble, Number);
    case FieldDescriptor::CPPTYPE_FLOAT:
      if (std::abs(Number) > std::numeric_limits<float>::max())
        return addIssue(errc::OutOfRange, "number");
      return writer(Field).put(&Reflection::SetFloat, &Reflection::AddFloat, static_cast<float>(Number));
    case FieldDescriptor::CPPTYPE_INT32:
    case FieldDescriptor::CPPTYPE_INT64:
    case FieldDescriptor::CPPTYPE_UINT32:
    case FieldDescriptor::CPPTYPE_UINT64:
      // The parser also reports integers of more than 64 bits as floating-point numbers.
      return addIssue(std::abs(Number) >= 0x1p63 ? errc::OutOfRange : errc::WrongType,
                      expectedElement(Field));
    default:
      return addWrongType(Field);
    }
  }

  void putString(const FieldDescriptor &Field, std::string &Value) {
    using google::protobuf::Reflection;
    if (Field.cpp_type() == FieldDescriptor::CPPTYPE_STRING)
      return writer(Field).put(&Reflection::SetString, &Reflection::AddString, std::move(Value));
    if (Field.cpp_type() != FieldDescriptor::CPPTYPE_ENUM)
      return addWrongType(Field);
    const auto *EnumValue = Field.enum_type()->FindValueByName(Value);
    if (EnumValue == nullptr)
      return addIssue(errc::OutOfRange, enumNames(Field));
    writer(Field).put(&Reflection::SetEnum, &Reflection::AddEnum, EnumValue);
  }

  [[nodiscard]] field_writer writer(const FieldDescriptor &Field) const {
    return {*Frames.back().Target, Field};
  }

  void addWrongType(const FieldDescriptor &Field) {
    bool ArrayExpected = Field.is_repeated() && !Frames.back().InArray;
    addIssue(errc::WrongType, ArrayExpected ? "array" : expectedElement(Field));
  }
  void addIssue(errc Code, std::string Expected) {
    if (Issues.size() < MaxIssues)
      Issues.push_back({Code, path(), Lines.line(), std::move(Expected)});
  }

  [[nodiscard]] std::string path() const {
    std::string Path;
    for (const object_frame &Frame : Frames) {
      std::string_view Name =
          Frame.Field != nullptr ? std::string_view(Frame.Field->name()) : std::string_view(Frame.UnknownKey);
      if (Name.empty())
        break;
      if (!Path.empty())
        Path += '.';
      Path += Name;
      if (Frame.InArray)
        Path += fmt::format("[{}]", Frame.Index);
    }
    return Path;
  }

  line_counter Lines;
  Message &Root;
  std::vector<object_frame> Frames;
  // Nesting depth inside a skipped value; 0 if no value is being skipped.
  int SkipDepth = 0;
  std::vector<document_issue> Issues;
  std::map<std::string, int> *LinesByPath = nullptr;
};

void parse(std::string_view Text, message_builder &Builder) {
  counting_iterator Begin(Text.data(), Builder.lines());
  counting_iterator End(Text.data() + Text.size(), Builder.lines());
  json::sax_parse(Begin, End, &Builder, json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
}

// Returns the line of a path, or of the nearest enclosing element if the path has no line.
int findLine(const std::map<std::string, int> &Lines, std::string Path) {
  while (!Path.empty()) {
    auto Found = Lines.find(Path);
    if (Found != Lines.end())
      return Found->second;
    std::size_t Separator = Path.find_last_of(".[");
    Path.resize(Separator == std::string::npos ? 0 : Separator);
  }
  return 1;
}

} // namespace

std::vector<document_issue> readMessage(std::string_view Text, Message &Target) {
  Target.Clear();
  message_builder Builder(Text, Target);
  parse(Text, Builder);
  return Builder.takeIssues();
}

void locateIssues(std::string_view Text, const Message &Prototype, std::vector<document_issue> &Issues) {
  if (Issues.empty())
    return;
  std::map<std::string, int> Lines;
  std::unique_ptr<Message> Scratch(Prototype.New());
  message_builder Builder(Text, *Scratch);
  Builder.recordLines(&Lines);
  parse(Text, Builder);
  for (document_issue &Issue : Issues)
    Issue.Line = findLine(Lines, Issue.Path);
}

} // namespace yuccaplank::wire
