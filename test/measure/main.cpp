// Measures the cost of control. Without --part: delays and costs of small complete deployments.
// With --part: one hollow run, whose figures are appended to a CSV file, or the page generated
// from that file. test/capacity starts all runs.
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

DEFINE_int32(seeds, 5, "seeds for each figure of complete deployments");
DEFINE_bool(grow, true, "cost of control by fleet size");
DEFINE_bool(delays, true, "delays and gaps");
DEFINE_string(part, "",
              "steady, fault, sockets, tree, catchup or page; empty: the figures of complete deployments");
DEFINE_string(run, "sizes", "name of the series: the first column of its rows");
DEFINE_string(fault, "zone", "zone, apart, restart or storm");
DEFINE_int32(seed, 1, "random seed of a hollow run");
DEFINE_int32(nodes, 14, "number of hollow relays");
DEFINE_int32(holders, 5, "replicas among the relays");
DEFINE_int32(zones, 6, "zones with relays");
DEFINE_int32(regions, 3, "regions with zones");
DEFINE_int32(far_ms, 3, "longest one-way latency of a message; the shortest is 1");
DEFINE_int32(workers, 0, "backend instances that send heartbeats");
DEFINE_int32(period_ms, 2000, "time between two heartbeats of an instance");
DEFINE_int32(registers, 0, "registers written once before the measurement");
DEFINE_double(changes, 0, "register writes per second");
DEFINE_double(purges, 0, "purges per second");
DEFINE_int32(history, 100, "register changes in all, for catchup");
DEFINE_int32(layouts, 0, "configurations rolled out one after another");
DEFINE_int32(seconds, 5, "duration of the measurement or of a fault");
DEFINE_string(way, "region+zone", "shape of the tree model: direct, region, zone, region+zone, or fan");
DEFINE_int32(entry_bytes, 12, "size of a purge in the tree model");
DEFINE_int32(pull_ms, 250, "time between two pulls in the tree model");
DEFINE_string(csv, "", "CSV file: rows are appended to it or read from it");
DEFINE_string(page, "", "page whose tables are replaced from the rows");
DEFINE_string(plot, "", "SVG file to draw from the rows");

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
  s.max_latency = dunlinwing::Duration(FLAGS_far_ms);
  if (FLAGS_part == "fault")
    return dm::measure_fault(seed, s, {FLAGS_fault, FLAGS_seconds, FLAGS_changes, FLAGS_purges});
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
  dunlinwing::base::set_log_level(dunlinwing::base::LogLevel::error);
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
    std::cerr << "measure: unknown --part " << FLAGS_part << "\n";
    status = 1;
  }
  std::cout.flush();
  ::_exit(status);
}
