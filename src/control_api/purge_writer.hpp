/// @file
/// Writes purges to the registers of their services. Purges that arrive together are written together, and a
/// service's set stays bounded because the oldest purges are merged into one of the whole service.
///
/// Invariant: merging makes a purge wider, never narrower, so nothing that was purged becomes valid again.
/// Threads: used in fibers of the control thread.
#pragma once
#include "consensus/register_client.hpp"

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

enum class PurgeError {
  no_majority,      ///< nothing was written
  outcome_unknown,  ///< it may or may not have been written
};

struct PurgeResult {
  uint64_t number = 0;    ///< of the purge, in its service's set
  bool existed = false;   ///< a purge of this name existed already; nothing was added
  bool conflict = false;  ///< the existing purge has another target
};

/// Adds a purge to the set, removes those that it covers and keeps the set bounded. Pure.
PurgeResult add_purge(pb::PurgeSet& purges, const pb::Purge& purge);

class PurgeWriter {
 public:
  /// Both arguments outlive the writer and its fibers.
  PurgeWriter(base::Ports& ports, consensus::RegisterClient& registers);
  ~PurgeWriter();

  /// Records a purge; returns once it is written, or has failed.
  std::variant<PurgeResult, PurgeError> put(const std::string& service, const pb::Purge& purge);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fibers that write
};

}  // namespace dunlinwing::control_api
