// Typed access to fields of the platform's JSON documents.
#pragma once

#include "yuccaplank/runtime/error.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaplank::platform {

using json = nlohmann::json;

/// Parses a document; returns a discarded value if it is not JSON.
inline json parseJson(std::string_view Text) { return json::parse(Text, nullptr, false); }

/// A field that is missing, has the wrong type or is out of range.
struct field_issue {
  runtime::errc Reason = runtime::errc::MissingField;
  std::string Path;
};

/// Reads fields of one object and collects the issues found. Integers must fit into the type of their target.
class object_reader {
public:
  object_reader(const json &Object, std::string Path, std::vector<field_issue> &Issues)
      : Object(Object), Path(std::move(Path)), Issues(Issues) {
    if (!Object.is_object())
      addIssue(runtime::errc::WrongType, "");
  }

  /// Read required fields.
  void requiredText(const char *Name, std::string &Value) { read(Name, Value, true, &json::is_string); }
  void requiredNumber(const char *Name, double &Value) { read(Name, Value, true, &json::is_number); }
  template <typename Integer> void requiredInteger(const char *Name, Integer &Value) {
    readInteger(Name, Value, true);
  }

  /// Read optional fields; an absent or null field leaves Value unchanged.
  void optionalText(const char *Name, std::string &Value) { read(Name, Value, false, &json::is_string); }
  void optionalNumber(const char *Name, double &Value) { read(Name, Value, false, &json::is_number); }
  void optionalFlag(const char *Name, bool &Value) { read(Name, Value, false, &json::is_boolean); }
  template <typename Integer> void optionalInteger(const char *Name, Integer &Value) {
    readInteger(Name, Value, false);
  }

  /// Returns the object or list in a field. A missing field or one of another type gives an empty value; an
  /// issue is added if the type is wrong or a required field is missing.
  [[nodiscard]] const json &child(const char *Name, bool Required, bool IsList) {
    static const json EmptyObject = json::object();
    static const json EmptyList = json::array();
    const json &Empty = IsList ? EmptyList : EmptyObject;
    const json *Found = find(Name);
    if (!Found) {
      if (Required)
        addIssue(runtime::errc::MissingField, Name);
      return Empty;
    }
    if (IsList ? Found->is_array() : Found->is_object())
      return *Found;
    addIssue(runtime::errc::WrongType, Name);
    return Empty;
  }

  [[nodiscard]] std::string pathOf(std::string_view Name) const {
    return Path.empty() ? std::string(Name) : Path + "." + std::string(Name);
  }

private:
  [[nodiscard]] const json *find(const char *Name) const {
    if (!Object.is_object())
      return nullptr;
    auto Found = Object.find(Name);
    return Found == Object.end() || Found->is_null() ? nullptr : &*Found;
  }

  template <typename Value>
  void read(const char *Name, Value &Target, bool Required, bool (json::*HasType)() const noexcept) {
    const json *Found = find(Name);
    if (!Found) {
      if (Required)
        addIssue(runtime::errc::MissingField, Name);
      return;
    }
    if ((Found->*HasType)())
      Target = Found->get<Value>();
    else
      addIssue(runtime::errc::WrongType, Name);
  }

  template <typename Integer> void readInteger(const char *Name, Integer &Target, bool Required) {
    double Value = 0;
    const json *Found = find(Name);
    if (!Found) {
      if (Required)
        addIssue(runtime::errc::MissingField, Name);
      return;
    }
    if (!Found->is_number()) {
      addIssue(runtime::errc::WrongType, Name);
      return;
    }
    Value = Found->get<double>();
    // Unlike the largest value of a 64-bit type, the power of two above it is exact as a double.
    if (!(Value >= 0 && Value < std::ldexp(1.0, std::numeric_limits<Integer>::digits))) {
      addIssue(runtime::errc::OutOfRange, Name);
      return;
    }
    Target = Found->is_number_integer() ? Found->get<Integer>() : static_cast<Integer>(Value);
  }

  void addIssue(runtime::errc Reason, std::string_view Name) { Issues.push_back({Reason, pathOf(Name)}); }

  const json &Object;
  std::string Path;
  std::vector<field_issue> &Issues;
};

} // namespace yuccaplank::platform
