/// @file
/// A release: a named, immutable resource of one kind. Its document states the holds of its rollout and its
/// content. Pure.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::config {

/// What a release may be of: a routing configuration ("layout"), system options, or software.
inline constexpr const char* kReleaseKinds[] = {"layout", "system", "software"};
[[nodiscard]] bool is_release_kind(std::string_view kind);

/// For how long a release runs on the first nodes before the rollout goes on.
struct Holds {
  Duration one{0};  ///< in phase one: one node
  Duration two{0};  ///< in phase two: one zone
};

/// The shortest holds of a kind.
Holds minimum_holds(std::string_view kind);

/// A checked release.
struct Release {
  std::string kind, name;
  std::string text;        ///< the document as it was recorded
  Holds holds;             ///< never below the minimum of the kind
  std::string express;     ///< why it goes to all nodes at once; empty: it does not
  std::string supersedes;  ///< name of the release that it replaces before that has ended; empty: none
  base::Json content;
};

using ReleaseResult = std::variant<Release, std::vector<base::ValidationError>>;

/// Checks the envelope and, by kind, the content.
/// @return everything that is wrong when the document is not valid
ReleaseResult parse_release(const std::string& kind, const std::string& name, std::string_view text);

/// The name of the register that holds the release.
std::string release_key(std::string_view kind, std::string_view name);

/// The name of the register that holds what operators ordered for the release.
std::string operator_action_key(std::string_view kind, std::string_view name);

}  // namespace dunlinwing::config
