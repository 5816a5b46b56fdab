/// @file
/// The settings file while the process runs: read again when its time or size has changed, or on request. New
/// seeds take effect at once; whatever else has changed is named in the log and waits for the next start.
///
/// Invariant: settings with an error change nothing.
/// Threads: used by the control thread only. Reading the file blocks.
#pragma once
#include "node/settings.hpp"

namespace dunlinwing::node {

/// The keys whose values differ between two valid settings, in the order of their names.
std::vector<std::string> changed_keys(std::string_view before, std::string_view after);

class SettingsReloader {
 public:
  using ApplySeeds = std::function<void(std::vector<std::string>)>;

  /// @param path         of the settings file that is in force
  /// @param apply_seeds  called with the new seeds when they have changed
  SettingsReloader(std::string path, ApplySeeds apply_seeds);
  SettingsReloader(const SettingsReloader&) = delete;
  SettingsReloader& operator=(const SettingsReloader&) = delete;
  ~SettingsReloader();

  /// Reads the file if it has changed.
  /// @param requested  somebody asked for it: read it even when it seems unchanged, and log the result
  void check(bool requested);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::node
