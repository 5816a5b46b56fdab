// What stories have in common: the first layout, the callers' mix, and looks
// at the fleet from outside.
#pragma once
#include "scenarios/sim_cases.hpp"

namespace dunlinwing::test {

std::string sim_layout(const std::string& versions = "\"1\"", int lifetime = 4, int rate = 0,
                       const std::string& more = "");
void mix(Scene& s);
// Starts workers, records the first layout, waits until all serve it, and lets
// callers call for the rest of the run.
bool begin(Scene& s, int rate = 20, const std::string& doc = sim_layout());
// Whether the host may be killed with a majority of disks left that vote.
bool may_fall(Scene& s, simulation::Host& host);
simulation::Host* duty_holder(Scene& s);
// That the host knows each layout that was acknowledged, byte for byte.
void knows(Scene& s, simulation::Host& host, const std::map<std::string, std::string>& acked);
bool serves(Scene& s, Duration most);  // every relay that is up is ready
void put(Scene& s, const std::string& name, const std::string& doc);
void allow(Scene& s, const std::string& version);
base::Json release_state(Scene& s, const std::string& name);
std::string phase(Scene& s, const std::string& name);
bool reach(Scene& s, const std::string& name, const std::string& ph, Duration most);
bool purge(Scene& s, const std::string& name, const std::string& kind, const std::string& path);
const pb::RolloutState* rollout_seen(Scene& s, pb::RolloutState& out);

using NamedCases = std::map<std::string, SimCase>;
NamedCases machine_cases();  // kills, disks, freezes, splits, clocks
NamedCases rollout_stories();
NamedCases traffic_stories();
NamedCases limit_stories();
NamedCases move_stories();
NamedCases fault_stories();
NamedCases disk_stories();   // disks that fail for some seconds
NamedCases fence_stories();  // leaders stopped between reading and writing
NamedCases mixed_stories();
NamedCases holder_stories();       // the set forms, grows and heals by itself
NamedCases control_api_stories();  // what operators are told by relays cut off, at once and again

}  // namespace dunlinwing::test
