// The settings file while the relay runs: read again when its time or size has
// changed, or when somebody says so. New seeds are taken over; whatever else has
// changed is named in the log and waits for the next start.
#pragma once
#include "node/settings.hpp"

namespace dunlinwing::node {

// The keys whose values differ between two valid settings, in the order of their names.
std::vector<std::string> changed_keys(std::string_view before, std::string_view after);

class SettingsReloader {
 public:
  SettingsReloader(std::string path, std::function<void(std::vector<std::string>)> seeds);
  ~SettingsReloader();
  void check(bool asked);  // `asked`: read it even when it looks the same

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::node
