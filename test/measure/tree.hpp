// A model, not the product: what a tree of pulls would cost at the users' full size.
// Numbered statuses is written at a world set and pulled down level by level; every reply
// chains the proof of freshness that its sender has.
#pragma once
#include <cstdint>
#include <string>

#include "rows.hpp"

namespace dunlinwing::measure {

struct Tree {
  int nodes = 17000, regions = 57, zones = 184;
  int servers = 16;       // machines set aside
  bool by_region = true;  // two pullers in each region between the servers and the rest
  bool by_zone = true;    // and two in each zone
  int fan = 0;            // of a tree of ordinary nodes within each zone; 0: all at once
  int entry_bytes = 12;   // of a purge: a hash of the path and what is new of the number
  double purges = 160;
  int pull_ms = 250;
  int seconds = 20;
  std::string fault;  // parents: half of the pullers of zones and regions die at half of the time; region:
                      // one is cut off from a tenth to nine tenths of it
};
Figures tree(uint64_t seed, const Tree& t);

}  // namespace dunlinwing::measure
