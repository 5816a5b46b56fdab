// What can be brought about in a whole fleet of real processes.
#pragma once
#include "fleet/fleet.hpp"

namespace dunlinwing::test {

struct Run {
  Fleet& f;
  int rate, seconds;
  uint64_t seed;
  std::function<bool()> stopped;
};

using Scenarios = std::map<std::string, std::function<bool(Run&)>>;
const Scenarios& scenarios();
Scenarios load_scenarios();  // crowds, slow origins, storms, addresses that pass on, operators that race

bool say(bool ok, const std::string& what);
bool begin(Run& r);
bool calls(Run& r, const std::function<bool()>& meanwhile);
bool put_layout(Run& r, const std::string& name, const std::string& doc);
void allow(Run& r, const std::string& version);
bool purge(Run& r, const std::string& name, const std::string& kind, const std::string& path);
bool ready_again(Run& r, const char* what);

}  // namespace dunlinwing::test
