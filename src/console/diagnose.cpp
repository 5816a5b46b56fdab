// Looks at everything an operator would look at, and says what is wrong.
#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <set>

#include "console/commands.hpp"

namespace dunlinwing::console {
namespace {
struct Findings {
  std::vector<std::string> all;
  void add(std::string s) { all.push_back(std::move(s)); }
};

uint64_t number(const base::Json& json) { return std::strtoull(json.string_or("0").c_str(), nullptr, 10); }

void look_at_nodes(const base::Json& json, Findings& f) {
  int holders = 0, lost = 0;
  std::map<std::string, std::pair<int, int>> zones;  // nodes, ready
  for (auto& x : json.at("nodes").items()) {
    auto facts = x.at("facts");
    auto name = x.at("name").string_or(), zone = facts.at("zone").string_or();
    bool member = x.at("member").bool_or(), ready = member && facts.at("ready").bool_or();
    auto& z = zones[zone];
    ++z.first;
    z.second += ready;
    if (facts.at("holder").bool_or()) {
      ++holders;
      lost += !member;
    }
    if (!member)
      f.add(fmt::format(
          "node {} of zone {} has not been heard of for {} s: look whether its machine and process are up",
          name, zone, x.at("age_ms").integer_or() / 1000));
    else if (!facts.at("load_defect").string_or().empty())
      f.add(fmt::format("node {} cannot load what it is assigned: {}", name,
                        facts.at("load_defect").string_or()));
    else if (!ready)
      f.add(
          fmt::format("node {} of zone {} is a member but not ready: it is drained, or has no layout or no "
                      "fresh statuses",
                      name, zone));
  }
  if (lost > 0)
    f.add(fmt::format("{} of {} holders are lost; {} more may be lost before control stops", lost, holders,
                      std::max(0, (holders - 1) / 2 - lost)));
  for (auto& [z, n] : zones)
    if (n.second == 0) f.add(fmt::format("zone {}: none of its {} nodes is ready", z, n.first));
}

void look_at_releases(const base::Json& json, Findings& f) {
  for (auto& x : json.at("releases").items()) {
    auto c = x.at("course");
    auto ph = c.at("phase").string_or();
    auto name = x.at("kind").string_or() + " " + x.at("name").string_or();
    if (ph == "STOPPED") f.add(fmt::format("release {} was stopped: {}", name, c.at("why").string_or()));
    if (c.at("why").string_or().starts_with("too little evidence"))
      f.add(fmt::format("release {} holds: {}; wait, or waive the check evidence", name,
                        c.at("why").string_or()));
    if (c.at("why").string_or().starts_with("there is no zone"))
      f.add(fmt::format("release {} cannot go on: {}", name, c.at("why").string_or()));
  }
}

void look_at_workers(const base::Json& w, const base::Json& assigned, Session& s, Findings& f) {
  std::map<std::string, std::map<std::string, int>> by;  // service -> version -> beating
  for (auto& x : w.at("workers").items())
    if (!x.at("gone").bool_or())
      ++by[x.at("beat").at("service").string_or()][x.at("beat").at("version").string_or()];
  std::set<std::string> layouts;
  for (auto& [n, a] : assigned.at("nodes").members())
    layouts.insert(a.at("releases").at("layout").string_or());
  layouts.erase("");
  if (layouts.empty()) f.add("no layout is in force: record one with: console apply layout NAME FILE");
  for (auto& l : layouts) {
    auto r = s.link.get("/v1/releases/layout/" + l);
    for (auto& [svc, d] : r.body.at("document").at("content").at("services").members()) {
      int n = 0;
      auto named = d.at("versions").strings();
      for (auto& [v, k] : by[svc])
        if (named.empty() || std::find(named.begin(), named.end(), v) != named.end()) n += k;
      if (!n) f.add(fmt::format("service {} of layout {} has no worker of an allowed version", svc, l));
      auto st = s.link.get("/v1/services/" + svc);
      for (auto& [v, why] : st.body.at("quarantined").members())
        f.add(fmt::format("service {}: version {} is in quarantine: {}", svc, v, why.string_or()));
    }
  }
}
}  // namespace

int diagnose(Session& s) {
  Findings f;
  int silent = 0;
  for (auto& x : s.link.seeds()) {
    auto r = s.link.at(x, "/readyz", Duration(2000));
    silent += r.status == 0;
    if (r.status == 0) f.add("seed " + x + " does not answer");
  }
  auto nodes = s.link.get("/v1/nodes");
  if (nodes.status != 200) {
    f.add(silent == static_cast<int>(s.link.seeds().size())
              ? "no seed answers: nothing more can be said from here"
              : "no majority of the holders answers: control is at a stand, relays turn callers away. Bring "
                "holders back");
  } else {
    look_at_nodes(nodes.body, f);
    look_at_releases(s.link.get("/v1/releases").body, f);
    look_at_workers(s.link.get("/v1/workers").body, s.link.get("/v1/assignments").body, s, f);
    auto d = s.link.get("/v1/duties").body.at("rollout");
    if (d.at("holder").string_or().empty()) f.add("nobody does the rollout duty");
    if (number(d.at("term")) && d.at("understudy").string_or().empty())
      f.add("the rollout leadership has no understudy");
  }
  if (s.json) {
    std::string b;
    for (auto& x : f.all) b += (b.empty() ? "" : ",") + base::quote(x);
    std::cout << "{\"findings\":[" << b << "]}\n";
  } else {
    for (auto& x : f.all) std::cout << "- " << x << "\n";
    if (f.all.empty()) std::cout << "nothing is wrong\n";
  }
  return f.all.empty() ? kOk : kNegative;
}

}  // namespace dunlinwing::console
