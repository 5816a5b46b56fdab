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

#include <stdexcept>

#include "base/json_text.hpp"

namespace dunlinwing::base {
namespace rj = rapidjson;

struct Json::Impl {
  std::shared_ptr<const rj::Document> document;  ///< owns the memory of `value`
  const rj::Value* value = nullptr;
};

namespace {
std::string pointer_below(const std::string& pointer, std::string_view key) {
  return fmt::format("{}/{}", pointer, key);
}

std::string to_text(const rj::Value& value) {
  rj::StringBuffer buffer;
  rj::Writer<rj::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

/// RapidJSON keeps the last of two members with the same name; a repeated key in an operator's document is
/// reported as an error instead.
std::optional<ValidationError> find_repeated_key(const rj::Value& value, const std::string& pointer) {
  if (value.IsObject()) {
    std::map<std::string, int> counts;
    for (const auto& member : value.GetObject()) {
      std::string key = member.name.GetString();
      auto place = pointer_below(pointer, key);
      if (++counts[key] > 1) return ValidationError{place, "the key stands twice"};
      if (auto error = find_repeated_key(member.value, place)) return error;
    }
  } else if (value.IsArray()) {
    for (rj::SizeType i = 0; i < value.Size(); ++i)
      if (auto error = find_repeated_key(value[i], fmt::format("{}/{}", pointer, i))) return error;
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
  if (auto error = find_repeated_key(*document, "")) return *error;
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
    all.push_back({member.name.GetString(), at(member.name.GetString())});
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
  level->compiled = std::make_unique<rj::SchemaDocument>(*level->text);
  return level;
}

/// Checks documents against a compiled schema and collects the errors.
struct Validation {
  std::vector<ValidationError> errors;

  void check(const rj::Value& value, const SchemaLevel& level, const std::string& pointer) {
    check_level(value, level, pointer);
    if (value.IsObject()) check_object(value, level, pointer);
    if (value.IsArray() && level.items)
      for (rj::SizeType i = 0; i < value.Size(); ++i)
        check(value[i], *level.items, fmt::format("{}/{}", pointer, i));
  }

 private:
  void check_level(const rj::Value& value, const SchemaLevel& level, const std::string& pointer) {
    rj::SchemaValidator validator(*level.compiled);
    if (value.Accept(validator)) return;
    const auto* invalid = validator.GetInvalidSchemaKeyword();
    std::string keyword = invalid ? invalid : "schema";
    auto limit = level.text->HasMember(keyword) ? to_text((*level.text)[keyword]) : "";
    errors.push_back({pointer, fmt::format("breaks {} {}", keyword, limit)});
  }

  void check_object(const rj::Value& object, const SchemaLevel& level, const std::string& pointer) {
    for (const auto& name : level.required)
      if (!object.HasMember(name)) errors.push_back({pointer_below(pointer, name), "is missing"});
    for (const auto& member : object.GetObject()) {
      std::string key = member.name.GetString();
      auto place = pointer_below(pointer, key);
      if (auto found = level.properties.find(key); found != level.properties.end())
        check(member.value, *found->second, place);
      else if (level.other_properties)
        check(member.value, *level.other_properties, place);
      else if (level.closed)
        errors.push_back({place, "is not a known key"});
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
  validation.check(*document.impl_->value, *impl_->root, "");
  return std::move(validation.errors);
}

std::string quote(std::string_view text) {
  rj::StringBuffer buffer;
  rj::Writer<rj::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rj::SizeType>(text.size()));
  return buffer.GetString();
}

}  // namespace dunlinwing::base
