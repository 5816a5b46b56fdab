// A release: a named, immutable resource of one kind. Its document says how
// long its holds are and what it carries.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::config {

inline constexpr const char* kKinds[] = {"layout", "system", "software"};
bool is_kind(std::string_view k);

struct Holds {
  Duration one{0}, two{0};
};
Holds minimum(std::string_view kind);

struct Release {
  std::string kind, name, text;
  Holds holds;  // never below the minimum of the kind
  std::string express, supersedes;
  base::Json content;
};

using ReleaseResult = std::variant<Release, std::vector<base::ValidationError>>;
// Checks the envelope and, by kind, the content.
ReleaseResult parse_release(const std::string& kind, const std::string& name, std::string_view text);

std::string release_key(std::string_view kind, std::string_view name);  // the register's name
std::string operator_action_key(std::string_view kind, std::string_view name);
bool is_valid_name(std::string_view n);

}  // namespace dunlinwing::config
