// The laws: the cost of a relay grows linearly with the fleet; the cost of a replica is such a
// line times the number of pulling nodes. Loads were measured at 64 nodes: pulled data costs a
// relay the same at any size, and a replica in proportion to the pulling nodes; written data
// costs a replica the same at any size, and is shared by the relays.
#include "project.hpp"

#include <fmt/format.h>

#include <cmath>
#include <functional>

#include "pick.hpp"

namespace dunlinwing::measure {
namespace {
using Rows = std::vector<Row>;
constexpr double kNodes = 17000, kWorkers = 6800, kPurges = 160, kChanges = 12000.0 / 86400,
                 kRegisters = 12000;
constexpr double kAt = 64, kHolders = 5;  // nodes and replicas in the runs under load

struct Law {
  const char *figure, *what, *unit;
  double scale;
  bool times_n;
};
const Law kLaws[] = {{"relay_bytes", "relay: bytes", "KB/s", 1e-3, false},
                     {"relay_messages", "relay: messages", "/s", 1, false},
                     {"relay_cpu_ms_s", "relay: processor", "ms/s", 1, false},
                     {"memory_bytes", "relay: memory", "MB", 1e-6, false},
                     {"holder_bytes", "holder: bytes", "KB/s", 1e-3, true},
                     {"holder_messages", "holder: messages", "/s", 1, false},
                     {"holder_cpu_ms_s", "holder: processor", "ms/s", 1, true},
                     {"duty_bytes", "duty's holder: bytes", "KB/s", 1e-3, true},
                     {"watch_ms", "duty's pair: one watch", "ms", 1, false},
                     {"console_nodes_bytes", "console: a look at nodes", "KB", 1e-3, false},
                     {"console_assignments_bytes", "console: a look at assignments", "KB", 1e-3, false}};

const Law& law(const std::string& figure) {
  for (auto& l : kLaws)
    if (l.figure == figure) return l;
  return kLaws[0];
}

struct Term {
  const char *run, *what;
  std::function<double(const Row&)> x;
  double fitted_to;  // the largest load used for the fit; larger ones are for the check
};
const Term kTerms[] = {
    {"workers", "worker (a beat each 2 s)", [](auto& r) { return r.backends; }, 64},
    {"beats", "beat/s (64 workers)", [](auto& r) { return r.backends * 1000.0 / r.period_ms; }, 1e9},
    {"registers", "register at rest", [](auto& r) { return r.registers; }, 1e9},
    {"changes", "change/s", [](auto& r) { return r.changes; }, 8},
    {"purges", "purge/s", [](auto& r) { return r.purges; }, 40}};

Line by_size(const Rows& rows, const Law& l) {
  std::vector<Point> ps;
  for (auto& r : pick(rows, "sizes", l.figure))
    ps.push_back({double(r.nodes), r.value / (l.times_n ? r.nodes : 1), r.seed});
  return fit(ps);
}

Line by_term(const Rows& rows, const Term& t, const std::string& figure) {
  std::vector<Point> ps;
  for (auto& r : pick(rows, t.run, figure))
    if (t.x(r) <= t.fitted_to) ps.push_back({t.x(r), r.value, r.seed});
  return fit(ps);
}

double size_law(const Line& f, const Law& l, double n) { return f.at(n) * (l.times_n ? n : 1); }

std::string range(const Line& f, double k) {
  return fmt::format("{} ({}, {})", num(f.slope * k), num(f.least * k), num(f.most * k));
}

// The amount that a load of the users' size adds to a figure; purges were measured at that rate.
struct Added {
  double value = 0;
  std::string text;
};

// The cost of one change or purge per second: for each pulling node, and for writing, which
// all nodes share.
struct Cost {
  double pulled = 0, written = 0;
};

double slope_of(const Rows& rows, const Term& t, const std::string& figure) {
  if (std::string(t.run) != "purges") return by_term(rows, t, figure).slope;
  std::vector<double> none, full;
  for (auto& r : pick(rows, t.run, figure)) {
    if (r.purges == 0) none.push_back(r.value);
    if (r.purges == kPurges) full.push_back(r.value);
  }
  return (median(full) - median(none)) / kPurges;
}

Cost cost(const Rows& rows, const Term& t, const std::string& f, bool replica) {
  double all = slope_of(rows, t, f);
  if (f.ends_with("messages")) return {0, all};
  if (!f.ends_with("bytes") || f.starts_with("memory")) return {all, 0};
  double pulled = slope_of(rows, t, "pull_slots_bytes") * (replica ? kAt / kHolders : 1);
  return {pulled, all - pulled};
}

Added added(const Rows& rows, const Law& l) {
  Added a;
  std::string f = l.figure;
  if (f == "watch_ms" || f.starts_with("console")) return a;
  bool replica = f.starts_with("holder") || f.starts_with("duty");
  auto part = [&](const char* what, double slope, double n, double times, const char* text) {
    if (std::abs(slope * n * times) * l.scale < 1e-3) return;
    a.value += slope * n * times;
    a.text += fmt::format(" + {} {} × {}{}", what, num(slope * l.scale), num(n), text);
  };
  const char* grown = replica ? " × 17000/64" : "";
  const char* shared = replica ? "" : " × 64/17000";
  double up = replica ? kNodes / kAt : 1, down = replica ? 1 : kAt / kNodes;
  if (!f.ends_with("messages")) part("workers", by_term(rows, kTerms[0], f).slope, kWorkers, up, grown);
  if (f == "memory_bytes" || f.ends_with("cpu_ms_s"))
    part("registers", by_term(rows, kTerms[2], f).slope, kRegisters, up, grown);
  for (auto [t, n] : {std::pair{&kTerms[3], kChanges}, std::pair{&kTerms[4], kPurges}}) {
    auto c = cost(rows, *t, f, replica);
    part(t->run, c.pulled, n, up, grown);
    part(fmt::format("{} written", t->run).c_str(), c.written, n, down, shared);
  }
  return a;
}

struct Role {
  const char *role, *what, *figure;
  double limit;  // in the unit of the law; 0: no limit given
  double times;
  const char *limit_text, *mechanism;
};
constexpr const char* kScope = "statuses by scope, pulls through the tree (1, 2)";
const Role kRoles[] = {
    {"relay", "messages", "relay_messages", 0, 1, "", "a tree: one parent, not five holders (2)"},
    {"relay", "bytes", "relay_bytes", 7, 1, "7 KB/s", "scope, tree, deltas, numbered purges (1 to 5)"},
    {"relay", "processor", "relay_cpu_ms_s", 29, 1, "29 ms/s",
     "tables built from deltas of the scope (1, 3)"},
    {"relay", "state: memory", "memory_bytes", 64, 1, "64 MB",
     "scope; registers read by name and not all mirrored (1, 3)"},
    {"shield", "bytes (all of its control is a relay's, and so are its other rows)", "relay_bytes", 7, 1,
     "7 KB/s", "as a relay's"},
    {"shield", "what it carries for others", "", 0, 1, "", "not control; see the users' figures"},
    {"holder", "messages", "holder_messages", 0, 1, "", kScope},
    {"holder", "bytes", "holder_bytes", 1250000, 1, "1250000 KB/s: a 10 Gbit/s link, assumed",
     "holders per region, pulls through the tree (2, 4)"},
    {"holder", "processor", "holder_cpu_ms_s", 1000, 1, "1000 ms/s: control is one thread",
     "holders per region, pulls through the tree (2, 4)"},
    {"holder", "state: memory (a mean of all nodes; its own is not told apart)", "memory_bytes", 0, 1, "",
     "machines set aside"},
    {"duty's pair", "messages beyond a holder's", "", 0, 1, "", "its writes; not told apart"},
    {"duty's pair", "state: memory", "", 0, 1, "", "counters by node; not told apart"},
    {"duty's pair", "bytes", "duty_bytes", 1250000, 1, "as a holder's",
     "sums by zone instead of each node's counters (1)"},
    {"duty's pair", "processor of the watch", "watch_ms", 1000, 4, "1000 ms/s: control is one thread",
     "sums by zone; a leadership per region (1, 4)"},
    {"console", "messages, processor; it keeps no state", "", 0, 1, "", "one exchange a look"},
    {"console", "bytes of one look at all nodes", "console_nodes_bytes", 0, 1, "",
     "asked by zone, or the sums"},
    {"console", "bytes of one look at assignments", "console_assignments_bytes", 0, 1, "",
     "asked by zone; assignments by zone and exception (3)"},
};
}  // namespace

std::string slopes(const Rows& rows) {
  Markdown m({"figure", "unit", "for each", "base", "slope (least, most by seed)", "points, seeds", "runs"});
  for (auto& l : kLaws) {
    auto f = by_size(rows, l);
    m.row({l.what, l.unit, l.times_n ? "node that pulls, by node" : "node", num(f.base * l.scale),
           range(f, l.scale), fmt::format("{}, {}", f.points, f.seeds), "`sizes`"});
  }
  for (auto& t : kTerms)
    for (auto* f : {"relay_bytes", "relay_cpu_ms_s", "memory_bytes", "holder_bytes", "holder_cpu_ms_s"}) {
      auto& l = law(f);
      auto x = by_term(rows, t, f);
      if (!x.points || std::string(t.run) == "beats")
        continue;  // no cost by heartbeat rate; it is in the table of loads
      m.row({l.what, l.unit, t.what, num(x.base * l.scale), range(x, l.scale),
             fmt::format("{}, {}", x.points, x.seeds), fmt::format("`{}`", t.run)});
    }
  return m.text();
}

std::string roles(const Rows& rows) {
  Markdown m({"role", "figure", "slope × size", "at the users' size (by the seeds' slopes)", "allowed",
              "verdict", "mechanism that would carry it"});
  for (auto& r : kRoles) {
    if (!*r.figure) {
      m.row({r.role, r.what, "", "", "", "not measured", r.mechanism});
      continue;
    }
    auto& l = law(r.figure);
    auto f = by_size(rows, l);
    auto a = added(rows, l);
    double k = l.scale * r.times;
    auto at = [&](double slope) {
      Line g = f;
      g.slope = slope;
      return (size_law(g, l, kNodes) + a.value) * k;
    };
    auto how = fmt::format("{}{} + {} × {}{}", l.times_n ? "17000 × (" : "", num(f.base * l.scale),
                           num(f.slope * l.scale), kNodes, l.times_n ? ")" : "") +
               a.text;
    if (r.times != 1) how = fmt::format("{} a second × ({})", r.times, how);
    bool known = f.points > 0;
    std::string verdict = !known                  ? "not measured"
                          : r.limit == 0          ? "no limit stated"
                          : at(f.slope) > r.limit ? "**not met**"
                                                  : "met";
    m.row({r.role, r.what, how,
           known ? fmt::format("{} {} ({}, {})", num(at(f.slope)), r.times != 1 ? "ms/s" : l.unit,
                               num(at(f.least)), num(at(f.most)))
                 : "",
           r.limit_text, verdict, r.mechanism});
  }
  return m.text();
}

std::string check(const Rows& rows) {
  Markdown m({"figure", "fitted on", "run at", "foretold", "measured", "error"});
  auto row = [&](const std::string& what, const std::string& on, const std::string& at, double told,
                 double seen, const Law& l) {
    if (seen != 0)
      m.row({fmt::format("{}, {}", what, l.unit), on, at, num(told * l.scale), num(seen * l.scale),
             fmt::format("{:+.0f}%", (told - seen) / seen * 100)});
  };
  auto ns = sizes_of(rows, "sizes");
  for (auto& l : kLaws)
    for (int n : sizes_of(rows, "double")) {
      std::vector<double> seen;
      for (auto& r : pick(rows, "double", l.figure))
        if (r.nodes == n) seen.push_back(r.value);
      if (!ns.empty())
        row(l.what, fmt::format("{} to {} nodes", ns.front(), ns.back()), fmt::format("{} nodes", n),
            size_law(by_size(rows, l), l, n), median(seen), l);
    }
  for (auto& t : kTerms)
    for (auto* f : {"relay_bytes", "relay_cpu_ms_s"}) {
      std::vector<double> seen;
      for (auto& r : pick(rows, t.run, f))
        if (t.x(r) == 2 * t.fitted_to) seen.push_back(r.value);
      auto& l = law(f);
      row(fmt::format("{} under {}", l.what, t.run), fmt::format("up to {:g} a {}", t.fitted_to, t.what),
          fmt::format("{:g}", 2 * t.fitted_to), by_term(rows, t, f).at(2 * t.fitted_to), median(seen), l);
    }
  return m.text();
}

}  // namespace dunlinwing::measure
