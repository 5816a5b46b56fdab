/// @file
/// Reloads the settings file while the process runs, when its time or size has changed or on request. New
/// seeds take effect at once; other changed keys are logged and take effect at the next start.
///
/// Invariant: invalid settings change nothing.
/// Threads: used by the control thread only. Reading the file blocks.
#pragma once
#include "node/settings.hpp"

namespace dunlinwing::node {

/// The keys whose values differ between two valid settings, sorted by name.
std::vector<std::string> changed_keys(std::string_view before, std::string_view after);

class SettingsReloader {
 public:
  using ApplySeeds = std::function<void(std::vector<std::string>)>;

  /// @param path         of the active settings file
  /// @param apply_seeds  called with the new seeds when they have changed
  SettingsReloader(std::string path, ApplySeeds apply_seeds);
  SettingsReloader(const SettingsReloader&) = delete;
  SettingsReloader& operator=(const SettingsReloader&) = delete;
  ~SettingsReloader();

  /// Reads the file if it has changed.
  /// @param requested  read it even when it seems unchanged, and log the result
  void check(bool requested);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::node
