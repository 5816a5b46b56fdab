/// @file
/// Implements Json and Schema with RapidJSON. Its validator stops at the first error, so a schema is split
/// into levels that are checked separately; missing and unknown members are found here, not by RapidJSON.
/// Thus every error of a document is reported.
#include "base/json.hpp"

#define RAPIDJSON_HAS_STDSTRING 1
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <stdexcept>

#include "base/json_text.hpp"

namespace dunlinwing::base {
namespace rj = rapidjson;

struct Json::Impl {
  std::shared_ptr<const rj::Document> document;  ///< owns the memory of `value`
  const rj::Value* value = nullptr;
};

namespace {
constexpr size_t kMaxPointerBytes = 512;  // of the pointer in an error: a key may be as long as the document

/// The way from the root of a document to one of its values, by the steps on the traversal's stack. A pointer
/// is formatted only for a value with an error, since keys may be long.
struct Path {
  const Path* parent = nullptr;  ///< null: the root
  std::string_view key;          ///< of a member; null data: an element of an array
  rj::SizeType index = 0;        ///< of an element

  std::string pointer() const {
    std::string text;
    append_to(text);
    return text;
  }

 private:
  void append_to(std::string& text) const {
    if (!parent) return;
    parent->append_to(text);
    if (text.size() > kMaxPointerBytes) return;
    text += '/';
    if (!key.data())
      text += std::to_string(index);
    else if (key.size() <= kMaxPointerBytes)
      text += key;
    else
      text.append(utf8_prefix(key, kMaxPointerBytes)).append("...");
  }

  static std::string_view utf8_prefix(std::string_view text, size_t bytes) {
    constexpr unsigned char kContinuationMask = 0xC0;
    constexpr unsigned char kContinuation = 0x80;
    while (bytes > 0 && (static_cast<unsigned char>(text[bytes]) & kContinuationMask) == kContinuation)
      --bytes;
    return text.substr(0, bytes);
  }
};

std::string_view name_of(const rj::Value::Member& member) {
  return {member.name.GetString(), member.name.GetStringLength()};
}

std::string to_text(const rj::Value& value) {
  rj::StringBuffer buffer;
  rj::Writer<rj::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

/// A key that an object has twice; empty data: none.
std::string_view repeated_key(const rj::Value& object) {
  std::vector<std::string_view> keys;
  keys.reserve(object.MemberCount());
  for (const auto& member : object.GetObject()) keys.push_back(name_of(member));
  std::sort(keys.begin(), keys.end());
  const auto found = std::adjacent_find(keys.begin(), keys.end());
  return found == keys.end() ? std::string_view() : *found;
}

/// RapidJSON keeps the last of two members with the same name; a repeated key in an operator's document is
/// reported as an error instead. Recurses as deep as the document, which kMaxJsonDepth bounds.
std::optional<ValidationError> find_repeated_key(const rj::Value& value, const Path& path) {
  if (value.IsObject()) {
    if (const auto key = repeated_key(value); key.data())
      return ValidationError{Path{&path, key}.pointer(), "the key stands twice"};
    for (const auto& member : value.GetObject())
      if (auto error = find_repeated_key(member.value, {&path, name_of(member)})) return error;
  } else if (value.IsArray()) {
    for (rj::SizeType i = 0; i < value.Size(); ++i)
      if (auto error = find_repeated_key(value[i], {&path, {}, i})) return error;
  }
  return {};
}
}  // namespace

Json::Json() {
  static const auto null_value = [] {
    auto document = std::make_shared<rj::Document>();
    return std::make_shared<const Impl>(Impl{document, document.get()});
  }();
  impl_ = null_value;
}

std::variant<Json, ValidationError> Json::parse(std::string_view text) {
  if (auto limit = exceeded_json_limit(text)) return ValidationError{"", std::move(*limit)};
  auto document = std::make_shared<rj::Document>();
  document->Parse<rj::kParseIterativeFlag | rj::kParseValidateEncodingFlag>(text.data(), text.size());
  if (document->HasParseError())
    return ValidationError{"", fmt::format("not JSON at byte {}: {}", document->GetErrorOffset(),
                                           rj::GetParseError_En(document->GetParseError()))};
  if (auto error = find_repeated_key(*document, Path{})) return *error;
  return Json(std::make_shared<const Impl>(Impl{document, document.get()}));
}

bool Json::has(const char* key) const { return impl_->value->IsObject() && impl_->value->HasMember(key); }

Json Json::at(const char* key) const {
  if (!has(key)) return {};
  return Json(std::make_shared<const Impl>(Impl{impl_->document, &(*impl_->value)[key]}));
}

std::vector<Json::Member> Json::members() const {
  std::vector<Member> all;
  if (!impl_->value->IsObject()) return all;
  all.reserve(impl_->value->MemberCount());
  for (const auto& member : impl_->value->GetObject())
    all.push_back({std::string(name_of(member)),
                   Json(std::make_shared<const Impl>(Impl{impl_->document, &member.value}))});
  return all;
}

std::vector<Json> Json::items() const {
  std::vector<Json> all;
  if (!impl_->value->IsArray()) return all;
  all.reserve(impl_->value->Size());
  for (const auto& element : impl_->value->GetArray())
    all.push_back(Json(std::make_shared<const Impl>(Impl{impl_->document, &element})));
  return all;
}

std::string Json::string_or(const std::string& fallback) const {
  const auto& value = *impl_->value;
  return value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : fallback;
}

int64_t Json::integer_or(int64_t fallback) const {
  return impl_->value->IsInt64() ? impl_->value->GetInt64() : fallback;
}

double Json::real_or(double fallback) const {
  return impl_->value->IsNumber() ? impl_->value->GetDouble() : fallback;
}

bool Json::bool_or(bool fallback) const {
  return impl_->value->IsBool() ? impl_->value->GetBool() : fallback;
}

std::vector<std::string> Json::strings() const {
  std::vector<std::string> all;
  for (auto& item : items()) all.push_back(item.string_or());
  return all;
}

std::string Json::text() const { return to_text(*impl_->value); }

namespace {
/// One level of a schema; its children are removed from it and compiled separately.
struct SchemaLevel {
  std::unique_ptr<rj::Document> text;
  std::unique_ptr<rj::SchemaDocument> compiled;  ///< of `text`
  std::map<std::string, std::unique_ptr<SchemaLevel>> properties;
  std::unique_ptr<SchemaLevel> other_properties;  ///< null: `closed` decides
  std::unique_ptr<SchemaLevel> items;             ///< null: any items are valid
  rj::SizeType max_size = ~rj::SizeType{0};       ///< of an array's items or an object's properties
  bool closed = false;                            ///< properties that the schema does not name are errors
  std::vector<std::string> required;
};

std::unique_ptr<SchemaLevel> compile(const rj::Value& schema);

void extract_properties(const rj::Value& schema, SchemaLevel& level) {
  if (schema.HasMember("properties"))
    for (const auto& member : schema["properties"].GetObject()) {
      level.properties[member.name.GetString()] = compile(member.value);
      (*level.text)["properties"][member.name.GetString()].SetObject();
    }
  if (!schema.HasMember("additionalProperties")) return;
  const auto& others = schema["additionalProperties"];
  if (others.IsObject()) {
    level.other_properties = compile(others);
    (*level.text)["additionalProperties"].SetObject();
  } else {
    level.closed = !others.GetBool();
    level.text->RemoveMember("additionalProperties");
  }
}

std::unique_ptr<SchemaLevel> compile(const rj::Value& schema) {
  auto level = std::make_unique<SchemaLevel>();
  level->text = std::make_unique<rj::Document>();
  level->text->CopyFrom(schema, level->text->GetAllocator());
  extract_properties(schema, *level);
  if (schema.HasMember("items")) {
    level->items = compile(schema["items"]);
    (*level->text)["items"].SetObject();
  }
  if (schema.HasMember("required"))
    for (const auto& name : schema["required"].GetArray()) level->required.emplace_back(name.GetString());
  level->text->RemoveMember("required");
  for (const char* keyword : {"maxItems", "maxProperties"})
    if (schema.HasMember(keyword)) level->max_size = schema[keyword].GetUint();
  level->compiled = std::make_unique<rj::SchemaDocument>(*level->text);
  return level;
}

/// Checks documents against a compiled schema and collects the errors.
struct Validation {
  std::vector<ValidationError> errors;

  void check(const rj::Value& value, const SchemaLevel& level, const Path& path) {
    if (is_full()) return;
    // RapidJSON compares each item with all before it where they must be unique, so their number is checked
    // first.
    if (size_of(value) > level.max_size)
      return add(path, fmt::format("has more than {} entries", level.max_size), true);
    check_level(value, level, path);
    if (value.IsObject()) check_object(value, level, path);
    if (value.IsArray() && level.items) check_items(value, *level.items, path);
  }

 private:
  bool is_full() const { return errors.size() >= kMaxValidationErrors; }

  void add(const Path& path, std::string message, bool too_large = false) {
    if (!is_full()) errors.push_back({path.pointer(), std::move(message), too_large});
  }

  static rj::SizeType size_of(const rj::Value& value) {
    if (value.IsArray()) return value.Size();
    return value.IsObject() ? value.MemberCount() : 0;
  }

  void check_level(const rj::Value& value, const SchemaLevel& level, const Path& path) {
    rj::SchemaValidator validator(*level.compiled);
    if (value.Accept(validator)) return;
    const auto* invalid = validator.GetInvalidSchemaKeyword();
    std::string keyword = invalid ? invalid : "schema";
    auto limit = level.text->HasMember(keyword) ? to_text((*level.text)[keyword]) : "";
    add(path, fmt::format("breaks {} {}", keyword, limit), keyword == "maxLength");
  }

  void check_items(const rj::Value& array, const SchemaLevel& level, const Path& path) {
    for (rj::SizeType i = 0; i < array.Size() && !is_full(); ++i) check(array[i], level, {&path, {}, i});
  }

  void check_object(const rj::Value& object, const SchemaLevel& level, const Path& path) {
    for (const auto& name : level.required)
      if (!object.HasMember(name)) add({&path, name}, "is missing");
    for (const auto& member : object.GetObject()) {
      if (is_full()) return;
      const Path place{&path, name_of(member)};
      if (auto found = level.properties.find(std::string(place.key)); found != level.properties.end())
        check(member.value, *found->second, place);
      else if (level.other_properties)
        check(member.value, *level.other_properties, place);
      else if (level.closed)
        add(place, "is not a known key");
    }
  }
};
}  // namespace

struct Schema::Impl {
  std::unique_ptr<SchemaLevel> root;
};

Schema::Schema(std::string_view text) {
  rj::Document schema;
  schema.Parse(text.data(), text.size());
  if (schema.HasParseError()) throw std::logic_error("a built-in schema is not JSON");
  impl_ = std::make_shared<const Impl>(Impl{compile(schema)});
}

std::vector<ValidationError> Schema::check(const Json& document) const {
  Validation validation;
  validation.check(*document.impl_->value, *impl_->root, Path{});
  return std::move(validation.errors);
}

std::string quote(std::string_view text) {
  rj::StringBuffer buffer;
  rj::Writer<rj::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rj::SizeType>(text.size()));
  return buffer.GetString();
}

}  // namespace dunlinwing::base
