/// @file
/// Writes purges to the registers of their services. A service's set stays bounded because the oldest purges
/// are merged into one of the whole service.
///
/// Invariant: merging makes a purge wider, never narrower, so nothing that was purged becomes valid again.
/// Threads: used in fibers of the control thread.
#pragma once
#include "consensus/register_updater.hpp"

namespace dunlinwing::control_api {

/// The register of a service's purges is named by this prefix and the service's name.
inline constexpr std::string_view kPurgePrefix = "purge/";

/// The kinds of purges, as stored and as named in the API. They are strings, so that a node preserves an
/// unknown kind from a newer version of the program.
namespace purge_kind {
inline constexpr std::string_view kPath = "path";
inline constexpr std::string_view kPathPrefix = "prefix";
inline constexpr std::string_view kService = "service";
inline constexpr std::string_view kTag = "tag";
}  // namespace purge_kind

struct PurgeResult {
  uint64_t number = 0;    ///< of the purge, in its service's set
  bool existed = false;   ///< a purge of this name existed already; nothing was added
  bool conflict = false;  ///< the existing purge has another target
};

/// Adds a purge to the set, removes those that it covers and keeps the set bounded. Pure.
PurgeResult add_purge(pb::PurgeSet& purges, const pb::Purge& purge);

/// Records a purge; returns once it is written, or has failed.
/// @param deadline  see RegisterUpdate
[[nodiscard]] std::variant<PurgeResult, consensus::UpdateError> write_purge(
    consensus::RegisterUpdater& updater, const std::string& service, const pb::Purge& purge,
    TimePoint deadline);

}  // namespace dunlinwing::control_api
