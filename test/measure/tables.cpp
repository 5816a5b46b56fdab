// Tables of measured values; projections to the users' size are in project.cpp.
#include "tables.hpp"

#include <fmt/format.h>

#include <functional>
#include <set>

#include "pick.hpp"
#include "project.hpp"

namespace dunlinwing::measure {
namespace {
using Rows = std::vector<Row>;

struct Column {
  const char *head, *figure;
  double scale = 1;
};

std::string by_size(const Rows& rows, const std::vector<std::string>& runs, const std::vector<Column>& cs) {
  std::vector<std::string> head{"nodes"};
  for (auto& c : cs) head.push_back(c.head);
  Markdown m(head);
  for (auto& run : runs)
    for (int n : sizes_of(rows, run)) {
      std::vector<std::string> v{fmt::format("{}", n)};
      for (auto& c : cs) v.push_back(at_size(rows, run, c.figure, n, c.scale));
      m.row(v);
    }
  return m.text();
}

std::string sizes(const Rows& r) {
  return by_size(r, {"sizes", "double"},
                 {{"relay KB/s", "relay_bytes", 1e-3},
                  {"worst relay KB/s", "relay_bytes_worst", 1e-3},
                  {"relay messages/s", "relay_messages"},
                  {"relay ms/s", "relay_cpu_ms_s"},
                  {"MB a node", "memory_bytes", 1e-6},
                  {"holder KB/s", "holder_bytes", 1e-3},
                  {"holder messages/s", "holder_messages"},
                  {"holder ms/s", "holder_cpu_ms_s"},
                  {"one watch ms", "watch_ms"}});
}

std::string split(const Rows& r) {
  return by_size(r, {"sizes", "double"},
                 {{"vectors of versions", "pull_marks_bytes", 1e-3},
                  {"others' statuses", "pull_news_bytes", 1e-3},
                  {"own statuses", "pull_own_bytes", 1e-3},
                  {"registers", "pull_slots_bytes", 1e-3}});
}

std::string sockets(const Rows& r) {
  Markdown m({"nodes", "KB/s, sockets", "KB/s, simulated", "ms/s a node, sockets", "of it the system's",
              "ms/s a node, simulated", "looks without all permits"});
  for (int n : sizes_of(r, "sockets")) {
    std::vector<double> v;
    for (auto& x : pick(r, "sizes", "cpu_ms_s"))
      if (x.nodes == n) v.push_back(x.value / n);
    m.row({fmt::format("{}", n), at_size(r, "sockets", "relay_bytes", n, 1e-3),
           at_size(r, "sizes", "relay_bytes", n, 1e-3), at_size(r, "sockets", "node_cpu_ms_s", n),
           at_size(r, "sockets", "system_ms_s", n), cell(v),
           fmt::format("{} of {}", at_size(r, "sockets", "looks_without_all_permits", n),
                       at_size(r, "sockets", "looks", n))});
  }
  return m.text();
}

std::string delays(const Rows& r) {
  Markdown m({"nodes", "layout, express: most", "change p50", "change most", "purge p50", "purge p99",
              "purge most", "purges told, then everywhere", "relay KB/s under both"});
  for (int n : sizes_of(r, "layouts"))
    m.row({fmt::format("{}", n), at_size(r, "layouts", "layout_most_ms", n),
           at_size(r, "both", "change_p50_ms", n), at_size(r, "both", "change_most_ms", n),
           at_size(r, "both", "purge_p50_ms", n), at_size(r, "both", "purge_p99_ms", n),
           at_size(r, "both", "purge_most_ms", n),
           fmt::format("{} / {}", at_size(r, "both", "purge_asked", n),
                       at_size(r, "both", "purge_everywhere", n)),
           at_size(r, "both", "relay_bytes", n, 1e-3)});
  return m.text();
}

std::string terms(const Rows& r) {
  Markdown m({"load at 64 nodes", "relay KB/s", "worst KB/s", "relay messages/s", "relay ms/s", "holder ms/s",
              "MB a node", "purge most ms", "folded"});
  struct Term {
    const char *run, *head;
    std::function<double(const Row&)> x;
  };
  std::vector<Term> ts = {
      {"workers", "workers, a beat each 2 s", [](auto& x) { return x.backends; }},
      {"beats", "beats/s of 64 workers", [](auto& x) { return x.backends * 1000.0 / x.period_ms; }},
      {"registers", "registers at rest", [](auto& x) { return x.registers; }},
      {"changes", "changes/s", [](auto& x) { return x.changes; }},
      {"purges", "purges/s", [](auto& x) { return x.purges; }}};
  for (auto& t : ts) {
    std::map<double, std::map<std::string, std::vector<double>>> by;
    for (auto* f : {"relay_bytes", "relay_bytes_worst", "relay_messages", "relay_cpu_ms_s", "holder_cpu_ms_s",
                    "memory_bytes", "purge_most_ms", "purge_folds_seen"})
      for (auto& x : pick(r, t.run, f)) by[t.x(x)][f].push_back(x.value);
    for (auto& [x, f] : by)
      if (x > 0 || std::string(t.run) == "workers")  // the row without any load appears only once
        m.row({fmt::format("{:g} {}", x, t.head), cell(f["relay_bytes"], 1e-3),
               cell(f["relay_bytes_worst"], 1e-3), cell(f["relay_messages"]), cell(f["relay_cpu_ms_s"]),
               cell(f["holder_cpu_ms_s"]), cell(f["memory_bytes"], 1e-6), cell(f["purge_most_ms"]),
               cell(f["purge_folds_seen"])});
  }
  return m.text();
}

std::string failures(const Rows& r) {
  Markdown m({"failure", "nodes", "hit", "known after ms", "whole again ms", "all everywhere ms",
              "slowest purge ms", "writes that failed", "worst node KB/s before", "while", "after",
              "least permits / looks without all"});
  for (auto* run : {"zone", "apart", "hour", "restart", "storm"})
    for (int n : sizes_of(r, run)) {
      auto at = [&](const std::string& f, double k = 1) { return at_size(r, run, f, n, k); };
      std::string hit = at("lost_nodes") + at("apart_nodes") + at("restarted");
      std::string least = at("permits_least");
      if (auto l = at("looks"); !l.empty())
        least = fmt::format("{} of {}", at("looks_without_all_permits"), l);
      m.row({run, fmt::format("{}", n), hit, at("known_gone_ms"), at("whole_again_ms"),
             at("all_everywhere_ms"), at("purge_most_ms"), at("stream_failed"),
             at("before_node_bytes_worst", 1e-3), at("while_node_bytes_worst", 1e-3),
             at("after_node_bytes_worst", 1e-3), least});
    }
  return m.text();
}

std::string ways(const Rows& r) {
  Markdown m({"way", "nodes", "node KB/s, worst", "node messages/s", "a server: KB/s, worst", "and pulls/s",
              "a region's puller: KB/s, worst", "a zone's puller: KB/s, worst", "purge everywhere ms, p50",
              "most", "oldest proof ms, most", "whole again ms", "bytes for it, worst node"});
  std::set<std::string> runs;
  for (auto& x : r)
    if (x.run.starts_with("tree:")) runs.insert(x.run);
  for (auto& run : runs)
    for (int n : sizes_of(r, run)) {
      auto at = [&](const std::string& f, double k = 1) { return at_size(r, run, f, n, k); };
      m.row({run.substr(5), fmt::format("{}", n), at("node_bytes_worst", 1e-3), at("node_messages"),
             at("server_bytes_worst", 1e-3), at("server_served_worst"), at("region_bytes_worst", 1e-3),
             at("zone_bytes_worst", 1e-3), at("everywhere_p50_ms"), at("everywhere_most_ms"),
             at("oldest_most_ms"), at("repaired_ms"), at("repair_bytes")});
    }
  return m.text();
}
}  // namespace

std::map<std::string, std::string> tables(const Rows& r) {
  return {{"sizes", sizes(r)}, {"split", split(r)},       {"sockets", sockets(r)}, {"delays", delays(r)},
          {"terms", terms(r)}, {"failures", failures(r)}, {"slopes", slopes(r)},   {"roles", roles(r)},
          {"check", check(r)}, {"ways", ways(r)},         {"figures", figures(r)}};
}

}  // namespace dunlinwing::measure
