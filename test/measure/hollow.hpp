// Hollow relays: the product's control code (statuses, registers, read leases, leadership,
// rollout) without client requests, many nodes in one process on simulated time. Messages
// between nodes are encoded and decoded as on the wire, and counted at both ends.
#pragma once
#include "control_api/router.hpp"
#include "simulation/ports.hpp"

namespace dunlinwing::measure {

struct Shape {
  int nodes = 14, replicas = 5, zones = 3, regions = 3;
  Duration min_latency{1}, max_latency{3};  // shortest and longest one-way latency
  Duration bound{2000};
};

struct LinkTraffic {  // traffic of one node's link, both directions
  uint64_t messages = 0, bytes = 0;
};

struct PullBytes {  // bytes of pulls by content, sampled from one pull in sixteen
  uint64_t marks = 0, own = 0, statuses = 0, slots = 0;
};

struct NodeProcess;  // one process of one node
struct HollowFleet;

struct Node {
  std::string name, zone, address;
  int region = 0;
  bool replica = false;
  simulation::DiskContents disk_contents;
  int64_t wall = 0;
  LinkTraffic link_traffic;
  uint64_t answer_ns = 0;  // processor time for answering other nodes' pulls
  std::shared_ptr<NodeProcess> proc;
  bool up() const;
  node::Node& relay() const;
  control_api::Router& control() const;
  const simulation::ProcessRunPtr& life() const;
  base::Ports& ports() const;
};

struct HollowFleet {
  HollowFleet(simulation::World& world, Shape s);
  ~HollowFleet();
  void start(Node& n);
  void start_all();
  void kill(Node& n);
  void end();
  void outside(std::function<void()> f);
  void sleep(Duration s);
  bool wait_until(Duration most, const std::function<bool()>& f);
  /// Runs `f` in the node's process; false if it did not end in time.
  bool run_on_node(Node& n, Duration most, std::function<void()> f);
  Node& random_running_node();
  bool all_up();
  bool all_have_read_leases();                          // of the running nodes
  bool all_run(const std::string& configuration);       // of the running nodes
  void send_heartbeats(int backends, Duration period);  // each instance always uses the same relay
  bool cut(const Node& a, const Node& b) const {
    return isolated_region >= 0 && (a.region == isolated_region) != (b.region == isolated_region);
  }

  simulation::World& world;
  Shape s;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, Node*> by;  // nodes by address
  simulation::ProcessRunPtr out;
  std::vector<std::shared_ptr<NodeProcess>> killed_processes;
  int isolated_region = -1;  // the region that is disconnected from all others; -1: none
  uint64_t asks = 0, answers = 0, heartbeats_accepted = 0, heartbeats_rejected = 0;
  PullBytes split;
};

uint64_t cpu_ns();    // processor time of this thread
uint64_t resident();  // resident memory of this process in bytes

}  // namespace dunlinwing::measure
