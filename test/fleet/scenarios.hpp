// Fault and load scenarios for a complete fleet of real processes.
#pragma once
#include "fleet/fleet.hpp"

namespace dunlinwing::test {

struct Run {
  Fleet& fleet;
  int rate, seconds;
  uint64_t seed;
  std::function<bool()> stopped;
};

using Scenarios = std::map<std::string, std::function<bool(Run&)>>;
const Scenarios& scenarios();
Scenarios load_scenarios();  // load peaks, rate limits, purge storms, reused addresses, concurrent operators

bool report(bool ok, const std::string& what);
bool start_traffic(Run& run);
bool with_traffic(Run& run, const std::function<bool()>& meanwhile);
bool put_configuration(Run& run, const std::string& name, const std::string& doc);
void allow_version(Run& run, const std::string& version);
bool purge(Run& run, const std::string& name, const std::string& kind, const std::string& path);
bool ready_again(Run& run, const char* what);

}  // namespace dunlinwing::test
