// Figures of control. Without --part: delays and costs of small whole deployments.
// With it: one hollow run, whose figures are appended to a CSV file, or the page that is
// made of that file. test/capacity runs all of them.
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <iostream>

#include "base/log.hpp"
#include "catchup.hpp"
#include "delays.hpp"
#include "faults.hpp"
#include "page.hpp"
#include "sockets.hpp"
#include "tree.hpp"

DEFINE_int32(seeds, 5, "how many seeds each figure of whole deployments is drawn from");
DEFINE_bool(grow, true, "cost of control by fleet size");
DEFINE_bool(delays, true, "delays and gaps");
DEFINE_string(part, "",
              "steady, fault, sockets, tree, catchup or page; empty: the figures of whole deployments");
DEFINE_string(run, "sizes", "what the run is for: the first column of its rows");
DEFINE_string(fault, "zone", "zone, apart, restart or storm");
DEFINE_int32(seed, 1, "of a hollow run");
DEFINE_int32(nodes, 14, "hollow relays in all");
DEFINE_int32(holders, 5, "of them with a disk");
DEFINE_int32(zones, 6, "over which they are spread");
DEFINE_int32(regions, 3, "over which the zones are spread");
DEFINE_int32(far_ms, 3, "a message's longest way; the shortest is 1");
DEFINE_int32(workers, 0, "that beat");
DEFINE_int32(period_ms, 2000, "between two beats of a worker");
DEFINE_int32(registers, 0, "written once and left alone");
DEFINE_double(changes, 0, "registers written anew a second");
DEFINE_double(purges, 0, "a second");
DEFINE_int32(history, 100, "changes over the life of the fleet, for catchup");
DEFINE_int32(layouts, 0, "put in force one after another");
DEFINE_int32(seconds, 5, "how long is measured, or how long a fault lasts");
DEFINE_string(way, "region+zone", "of the tree's model: direct, region, zone, region+zone, or fan");
DEFINE_int32(entry_bytes, 12, "of a purge in the tree's model");
DEFINE_int32(pull_ms, 250, "between two pulls in the tree's model");
DEFINE_string(csv, "", "rows are appended to it");
DEFINE_string(page, "", "whose tables are made anew from the rows");
DEFINE_string(plot, "", "SVG to be made from the rows");

namespace dm = dunlinwing::measure;

namespace {
dm::Figures model() {
  dm::Tree t;
  t.nodes = FLAGS_nodes;
  t.entry_bytes = FLAGS_entry_bytes;
  t.pull_ms = FLAGS_pull_ms;
  t.purges = FLAGS_purges;
  t.seconds = FLAGS_seconds;
  t.fault = FLAGS_fault;
  t.by_region = FLAGS_way == "region" || FLAGS_way == "region+zone" || FLAGS_way == "fan";
  t.by_zone = FLAGS_way == "zone" || FLAGS_way == "region+zone";
  if (FLAGS_way == "fan") t.fan = 3;
  return dm::tree(static_cast<uint64_t>(FLAGS_seed), t);
}

dm::Figures hollow() {
  auto seed = static_cast<uint64_t>(FLAGS_seed);
  dm::Shape s;
  s.nodes = FLAGS_nodes;
  s.replicas = FLAGS_holders;
  s.zones = FLAGS_zones;
  s.regions = FLAGS_regions;
  s.far = dunlinwing::Duration(FLAGS_far_ms);
  if (FLAGS_part == "fault")
    return dm::trouble(seed, s, {FLAGS_fault, FLAGS_seconds, FLAGS_changes, FLAGS_purges});
  if (FLAGS_part == "sockets") return dm::sockets(s, FLAGS_seconds);
  return dm::steady(seed, s,
                    {FLAGS_workers, FLAGS_period_ms, FLAGS_registers, FLAGS_changes, FLAGS_purges,
                     FLAGS_layouts, FLAGS_seconds});
}

dm::Figures figures() {
  if (FLAGS_part == "tree") return model();
  if (FLAGS_part != "catchup") return hollow();
  dm::CatchupLoad load;
  load.changes = FLAGS_history;
  if (FLAGS_registers) load.registers = FLAGS_registers;
  return dm::catchup(static_cast<uint64_t>(FLAGS_seed), load);
}

int one() {
  auto f = figures();
  dm::Row r{FLAGS_run,
            FLAGS_nodes,
            FLAGS_workers,
            FLAGS_period_ms,
            FLAGS_registers,
            FLAGS_changes,
            FLAGS_purges,
            FLAGS_seed,
            "",
            0};
  for (auto& [k, v] : f) std::cout << fmt::format("{} {:.6g}\n", k, v);
  if (!FLAGS_csv.empty() && !dm::add_rows(FLAGS_csv, r, f))
    return std::cerr << "measure: cannot write " << FLAGS_csv << "\n", 1;
  return f["ended"] ? 0 : 2;
}
}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  dunlinwing::base::set_level(dunlinwing::base::Level::error);
  int status = 0;
  if (FLAGS_part.empty()) {
    if (FLAGS_grow) dm::grow(FLAGS_seeds);
    if (FLAGS_delays) dm::delays(FLAGS_seeds);
  } else if (FLAGS_part == "page") {
    status = dm::page(FLAGS_csv, FLAGS_page, FLAGS_plot);
  } else if (FLAGS_part == "steady" || FLAGS_part == "fault" || FLAGS_part == "sockets" ||
             FLAGS_part == "tree" || FLAGS_part == "catchup") {
    status = one();
  } else {
    std::cerr << "measure: no part is named " << FLAGS_part << "\n";
    status = 1;
  }
  std::cout.flush();
  ::_exit(status);
}
