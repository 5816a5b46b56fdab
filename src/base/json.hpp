/// @file
/// Parses and validates JSON, behind a narrow interface so that RapidJSON is included in one file only.
/// Views share ownership of their document: each stays valid on its own and may be read from any thread.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::base {

/// Errors that are reported of one document; further ones are left out.
inline constexpr size_t kMaxValidationErrors = 64;

/// One error in a document.
struct ValidationError {
  std::string pointer;     ///< JSON pointer to the invalid value; empty: the whole document
  std::string message;     ///< human-readable
  bool too_large = false;  ///< more entries or longer than a schema allows: not to be looked at any further
};

/// A read-only view of a parsed document or of a part of it. Reading an absent value or one of another
/// type is no error: it returns the fallback, or an empty result.
class Json {
 public:
  struct Member;

  /// A repeated key in an object is an error too, and so is a text beyond a limit of base/json_text.
  static std::variant<Json, ValidationError> parse(std::string_view text);

  /// A view of null.
  Json();

  bool has(const char* key) const;
  /// The member of an object; a view of null when it is absent or this is not an object.
  Json at(const char* key) const;
  /// The members of an object in document order; empty when this is not an object.
  std::vector<Member> members() const;
  /// The elements of an array; empty when this is not an array.
  std::vector<Json> items() const;

  std::string string_or(const std::string& fallback = {}) const;
  int64_t integer_or(int64_t fallback = 0) const;
  double real_or(double fallback = 0) const;
  bool bool_or(bool fallback = false) const;
  /// The elements of an array of strings.
  std::vector<std::string> strings() const;
  /// As JSON, without white space.
  std::string text() const;

 private:
  friend class Schema;
  struct Impl;
  explicit Json(std::shared_ptr<const Impl> impl) : impl_(std::move(impl)) {}

  std::shared_ptr<const Impl> impl_;  ///< never null
};

struct Json::Member {
  std::string name;
  Json value;
};

/// A JSON schema (draft 4, without references). It reports every error in a document, up to
/// kMaxValidationErrors, and nothing below an array or object with too many entries.
class Schema {
 public:
  /// @param text  the schema; one that is not JSON is a programming error and throws std::logic_error
  explicit Schema(std::string_view text);

  /// @return empty when the document is valid
  std::vector<ValidationError> check(const Json& document) const;

 private:
  struct Impl;
  std::shared_ptr<const Impl> impl_;
};

/// The text as a JSON string, including the quotes.
std::string quote(std::string_view text);

}  // namespace dunlinwing::base
