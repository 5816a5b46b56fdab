// What the data plane needs to know, as one immutable snapshot that is swapped
// whole after each good pull.
#pragma once
#include <set>

#include "membership/status_table.hpp"
#include "rollout/system.hpp"
#include "traffic/layout.hpp"
#include "wire.pb.h"

namespace dunlinwing::traffic {

struct Worker {
  std::string instance, service, version, zone, address;
  int capacity = 1;
  TimePoint cold_until{0};  // it has just started and is slow until then; 0: it says it is not
};

struct Shield {
  std::string name, address;
};

struct Table {
  uint64_t generation = 0;                   // that runs here
  uint64_t order = 0;                        // the numbered layout in force; 0: layouts come as releases
  std::map<std::string, uint64_t> assigned;  // by node: the latest generation written for it
  std::shared_ptr<const Layout> layout;      // this node's own; null: none yet
  std::map<std::string, std::shared_ptr<const Layout>> layouts;  // by release name, for carried requests
  std::map<std::string, std::vector<Worker>> workers;            // by service
  std::map<std::string, pb::ServiceState> states;
  std::set<std::string> given_up;  // services whose trial this node has given up
  std::map<std::string, pb::PurgeSet> purges;
  std::map<std::string, double> shares;  // this node's part of each stated rate
  std::vector<Shield> shields;
  int nodes = 1, rank = 0;  // among how many fleet-wide allowances are shared; this node's place among them
  rollout::System system;
};

using TablePtr = std::shared_ptr<const Table>;

// Prepares the states of a new table: where no version is in place yet, all that beat
// are kept open for layouts that name none; what is given up is not being switched.
void settle(Table& t);

// Versions of a service that a request may go to; `trial` only within its share.
// A service whose layout names no versions may go to any, once a move or the first
// workers have put it in place. In a switch the trial's version alone is open.
struct Versions {
  std::vector<std::string> open;
  std::string trial;
};
Versions versions(const Service& s, const pb::ServiceState* st);

// Whether a request that entered at `relay` under `generation` has been overtaken
// by a newer assignment of that relay.
bool overtaken(const Table& t, const std::string& relay, uint64_t generation);

inline constexpr const char* kAllServices = "*";  // purges that name no service
uint64_t purge_number(const Table& t, const std::string& service);
uint64_t purge_least(uint64_t a, uint64_t b);  // what both know
// What of a receipt a purge may name.
struct Named {
  std::string_view service, host, target;
  const std::vector<std::string>* tags = nullptr;
};
bool purged(const Table& t, const Named& n, uint64_t since);

}  // namespace dunlinwing::traffic
