/// @file
/// Reading and checking of JSON, behind a narrow interface so that RapidJSON is included in one file.
/// Views of a document share it: each stays valid by itself, and may be read from any thread.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::base {

/// One thing that is wrong with a document.
struct ValidationError {
  std::string pointer;  ///< JSON pointer of its place; empty: the whole document
  std::string message;  ///< for people
};

/// A read-only view of a parsed document or of a part of it. Reading what is absent or of another type is
/// no error: it gives the fallback, or nothing.
class Json {
 public:
  struct Member;

  /// An object that names one key twice is an error too.
  static std::variant<Json, ValidationError> parse(std::string_view text);

  /// A view of null.
  Json();

  bool has(const char* key) const;
  /// The member of an object; a view of null when it is absent or this is no object.
  Json at(const char* key) const;
  /// The members of an object in their order; none when this is no object.
  std::vector<Member> members() const;
  /// The elements of an array; none when this is no array.
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

/// A JSON schema (of draft 4, without references). It lists everything that is wrong with a document.
class Schema {
 public:
  /// @param text  the schema; one that is not JSON is a fault of the program and throws std::logic_error
  explicit Schema(std::string_view text);

  /// @return none when the document is valid
  std::vector<ValidationError> check(const Json& document) const;

 private:
  struct Impl;
  std::shared_ptr<const Impl> impl_;
};

/// The text as a JSON string, quotes included.
std::string quote(std::string_view text);

}  // namespace dunlinwing::base
