// A model, not the product: the cost of a tree of pulls at the users' full size. Numbered
// changes are written at a global replica set and pulled from level to level; every reply
// carries on the proof of freshness of its sender.
#pragma once
#include <cstdint>
#include <string>

#include "rows.hpp"

namespace dunlinwing::measure {

struct Tree {
  int nodes = 17000, regions = 57, zones = 184;
  int servers = 16;       // dedicated machines
  bool by_region = true;  // two pulling nodes in each region between the servers and the rest
  bool by_zone = true;    // and two in each zone
  int fan = 0;            // fan-out of a tree of ordinary nodes in each zone; 0: no tree
  int entry_bytes = 12;   // of a purge: a hash of the path and the changed part of the number
  double purges = 160;
  int pull_ms = 250;
  int seconds = 20;
  std::string fault;  // parents: half of the pulling nodes of zones and regions fail at half of the time;
                      // region: one region is cut off from a tenth to nine tenths of the time
};
Figures tree(uint64_t seed, const Tree& t);

}  // namespace dunlinwing::measure
