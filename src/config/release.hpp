/// @file
/// A release: a named, immutable resource of one kind. Its document contains the hold times of its rollout
/// and its content. Pure.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::config {

/// The kinds of releases: a routing configuration ("layout"), system options, or software.
inline constexpr const char* kReleaseKinds[] = {"layout", "system", "software"};
[[nodiscard]] bool is_release_kind(std::string_view kind);

/// How long a release runs on the first nodes before its rollout continues.
struct HoldTimes {
  Duration phase_one{0};  ///< while one node runs it
  Duration phase_two{0};  ///< while one zone runs it
};

/// The minimum hold times of a kind.
HoldTimes minimum_hold_times(std::string_view kind);

/// A checked release.
struct Release {
  std::string kind, name;
  std::string text;        ///< the document as it was recorded
  HoldTimes hold_times;    ///< never below the minimum of the kind
  std::string express;     ///< why it is deployed to all nodes at once; empty: it is not
  std::string supersedes;  ///< release that it replaces during that one's rollout; empty: none
  base::Json content;
};

using ReleaseResult = std::variant<Release, std::vector<base::ValidationError>>;

/// Checks the envelope and, by kind, the content.
/// @return the release, or all errors when the document is not valid
ReleaseResult parse_release(const std::string& kind, const std::string& name, std::string_view text);

/// The name of the register that holds the release.
std::string release_key(std::string_view kind, std::string_view name);

/// The name of the register that holds the operators' action on the release.
std::string operator_action_key(std::string_view kind, std::string_view name);

}  // namespace dunlinwing::config
