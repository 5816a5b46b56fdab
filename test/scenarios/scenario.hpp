// What stories have in common: the first layout, the callers' mix, and looks
// at the fleet from outside.
#pragma once
#include "scenarios/sim_cases.hpp"

namespace dunlinwing::test {

std::string simulated_configuration(const std::string& versions = "\"1\"", int lifetime = 4, int rate = 0,
                                    const std::string& more = "");
void send_random_request(Scene& scene);
// Starts workers, records the first layout, waits until all serve it, and lets
// callers call for the rest of the run.
bool start_traffic(Scene& scene, int rate = 20, const std::string& doc = simulated_configuration());
// Whether the host may be killed with a majority of disks left that vote.
bool may_lose(Scene& scene, simulation::Host& host);
simulation::Host* leader_host(Scene& scene);
// That the host knows each layout that was acknowledged, byte for byte.
void expect_releases(Scene& scene, simulation::Host& host, const std::map<std::string, std::string>& acked);
bool await_all_ready(Scene& scene, Duration most);  // every relay that is up is ready
void record_configuration(Scene& scene, const std::string& name, const std::string& doc);
void allow_version(Scene& scene, const std::string& version);
base::Json release_state(Scene& scene, const std::string& name);
std::string release_phase(Scene& scene, const std::string& name);
bool await_phase(Scene& scene, const std::string& name, const std::string& ph, Duration most);
bool purge(Scene& scene, const std::string& name, const std::string& kind, const std::string& path);
const pb::RolloutState* read_rollout_state(Scene& scene, pb::RolloutState& out);

// How many requests were rejected, by reason, since the start of the processes that are up.
std::string rejections_by_reason(Scene& scene);

using NamedCases = std::map<std::string, SimCase>;
NamedCases machine_scenarios();  // kills, disks, freezes, splits, clocks
NamedCases rollout_scenarios();
NamedCases proxy_scenarios();
NamedCases limit_scenarios();
NamedCases version_rollout_scenarios();
NamedCases fault_scenarios();
NamedCases disk_scenarios();              // disks that fail for some seconds
NamedCases leadership_fence_scenarios();  // leaders stopped between reading and writing
NamedCases mixed_scenarios();
NamedCases fetch_scenarios();        // one fetch of an object serves many nodes
NamedCases link_scenarios();         // relays whose links are full
NamedCases replica_scenarios();      // the set forms, grows and heals by itself
NamedCases control_api_scenarios();  // what operators are told by relays cut off, at once and again

}  // namespace dunlinwing::test
