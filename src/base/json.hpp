// Reading and checking of JSON, behind a narrow face so that RapidJSON is
// included in few files. A Schema lists every defect of a document, each with
// the JSON pointer of its place.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::base {

struct ValidationError {
  std::string pointer, message;
};

// A read-only view of a parsed document or of a part of it.
class Json {
 public:
  static std::variant<Json, ValidationError> parse(std::string_view text);
  Json();
  bool has(const char* k) const;
  Json at(const char* k) const;  // null view when absent
  std::vector<std::pair<std::string, Json>> members() const;
  std::vector<Json> items() const;
  std::string string_or(const std::string& def = {}) const;
  int64_t integer_or(int64_t def = 0) const;
  double real_or(double def = 0) const;
  bool bool_or(bool def = false) const;
  std::vector<std::string> strings() const;
  std::string text() const;

 private:
  friend class Schema;
  struct Impl;
  std::shared_ptr<const Impl> impl_;
};

class Schema {
 public:
  explicit Schema(std::string_view text);
  std::vector<ValidationError> check(const Json& json) const;

  struct Impl;

 private:
  std::shared_ptr<const Impl> impl_;
};

std::string quote(std::string_view s);  // a JSON string, quotes included

}  // namespace dunlinwing::base
