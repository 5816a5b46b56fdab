// Hollow relays: the product's own control (statuses, registers, permits, duties,
// rollout) without callers, many in one process on invented time. What goes between
// two of them is encoded and decoded as on a wire, and counted at both ends.
#pragma once
#include "control_api/router.hpp"
#include "simulation/ports.hpp"

namespace dunlinwing::measure {

struct Shape {
  int nodes = 14, replicas = 5, zones = 3, regions = 3;
  Duration near{1}, far{3};  // a message's way
  Duration bound{2000};
};

struct Toll {  // at one node's own link, both ways
  uint64_t messages = 0, bytes = 0;
};

struct Split {  // what the bytes of pulls are, from one pull in sixteen
  uint64_t marks = 0, own = 0, statuses = 0, slots = 0;
};

struct Proc;  // one run of one node's process
struct Hollow;

struct Node {
  std::string name, zone, address;
  int region = 0;
  bool replica = false;
  simulation::DiskContents disk_contents;
  int64_t wall = 0;
  Toll toll;
  uint64_t answer_ns = 0;  // processor time spent on others' pulls
  std::shared_ptr<Proc> proc;
  bool up() const;
  node::Node& relay() const;
  control_api::Router& control() const;
  const simulation::ProcessRunPtr& life() const;
  base::Ports& ports() const;
};

struct Hollow {
  Hollow(simulation::World& world, Shape s);
  ~Hollow();
  void start(Node& n);
  void start_all();
  void kill(Node& n);
  void end();
  void outside(std::function<void()> f);
  void sleep(Duration s);
  bool until(Duration most, const std::function<bool()>& f);
  bool on(Node& n, Duration most,
          std::function<void()> f);  // runs it in the node's process; false when it did not end
  Node& some();                      // one that is up
  bool all_up();
  bool fresh();                                    // every node that is up has a read_lease
  bool serving(const std::string& configuration);  // and runs this layout
  void beats(int backends, Duration period);       // each worker stays with its relay
  bool cut(const Node& a, const Node& b) const {
    return apart >= 0 && (a.region == apart) != (b.region == apart);
  }

  simulation::World& world;
  Shape s;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, Node*> by;  // by address
  simulation::ProcessRunPtr out;
  std::vector<std::shared_ptr<Proc>> graves;
  int apart = -1;  // a region that hears no other
  uint64_t asks = 0, answers = 0, beats_taken = 0, beats_missed = 0;
  Split split;
};

uint64_t cpu_ns();    // of this thread
uint64_t resident();  // bytes of this process

}  // namespace dunlinwing::measure
