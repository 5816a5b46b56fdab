// Common parts of the scenarios: the first configuration, the mix of client requests, and
// checks of the fleet from outside.
#pragma once
#include "scenarios/sim_cases.hpp"

namespace dunlinwing::test {

std::string simulated_configuration(const std::string& versions = "\"1\"", int lifetime = 4, int rate = 0,
                                    const std::string& more = "");
void send_random_request(Scene& scene);
// Starts backend instances, records the first configuration, waits until all nodes are ready, and
// generates client requests for the rest of the run.
bool start_traffic(Scene& scene, int rate = 20, const std::string& doc = simulated_configuration());
// Whether a majority of voting disks remains when the host is killed.
bool may_kill(Scene& scene, simulation::Host& host);
simulation::Host* leader_host(Scene& scene);
// Requires that the host knows each acknowledged configuration, byte for byte.
void expect_releases(Scene& scene, simulation::Host& host, const std::map<std::string, std::string>& acked);
bool await_all_ready(Scene& scene, Duration timeout);  // every relay that is up is ready
void record_configuration(Scene& scene, const std::string& name, const std::string& doc);
void allow_version(Scene& scene, const std::string& version);
base::Json release_state(Scene& scene, const std::string& name);
std::string release_phase(Scene& scene, const std::string& name);
bool await_phase(Scene& scene, const std::string& name, const std::string& ph, Duration timeout);
bool purge(Scene& scene, const std::string& name, const std::string& kind, const std::string& path);
const pb::RolloutState* read_rollout_state(Scene& scene, pb::RolloutState& out);

// How many requests were rejected, by reason, since the start of the processes that are up.
std::string rejections_by_reason(Scene& scene);

using NamedCases = std::map<std::string, SimCase>;
NamedCases machine_scenarios();  // kills, lost disks, freezes, partitions, replaced replicas
NamedCases rollout_scenarios();
NamedCases proxy_scenarios();
NamedCases limit_scenarios();
NamedCases version_rollout_scenarios();
NamedCases fault_scenarios();
NamedCases disk_scenarios();              // disks that fail for some seconds
NamedCases leadership_fence_scenarios();  // leaders stopped between a read and its write
NamedCases mixed_scenarios();
NamedCases fetch_scenarios();        // nodes share fetches of an object
NamedCases coordinator_scenarios();  // many orders at once, and failures of the node that writes them
NamedCases link_scenarios();         // relays whose links are full
NamedCases replica_scenarios();      // the replica set forms, grows and repairs itself
NamedCases control_api_scenarios();  // operator requests: to partitioned relays, concurrent, repeated

}  // namespace dunlinwing::test
