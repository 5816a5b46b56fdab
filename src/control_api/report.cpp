// Counters are this process's own, since its start.
#include "control_api/report.hpp"

#include <fmt/format.h>

#include "base/json.hpp"

namespace dunlinwing::control_api {
namespace {
struct Page {
  std::string out;
  void head(const char* name, const char* kind, const char* help) {
    out += fmt::format("# HELP dunlinwing_{} {}\n# TYPE dunlinwing_{} {}\n", name, help, name, kind);
  }
  template <class V>
  void one(const char* name, const char* kind, const char* help, V v) {
    head(name, kind, help);
    out += fmt::format("dunlinwing_{} {}\n", name, v);
  }
};
}  // namespace

std::string metrics(relay::Node& n, TimePoint now) {
  Page p;
  auto& c = n.traffic().counts();
  p.one("requests_total", "counter", "Requests of callers answered.", c.requests.load());
  p.one("defects_total", "counter", "Answers that count as defects.", c.defects.load());
  p.one("turned_away_total", "counter", "Requests promised not run.", c.turned_away.load());
  p.one("unknown_total", "counter", "Requests of unknown outcome.", c.unknown.load());
  p.one("cache_hits_total", "counter", "Requests answered from the cache.", c.hits.load());
  p.one("cache_fills_total", "counter", "Fetches for the cache.", c.fills.load());
  p.one("cache_bytes", "gauge", "Bytes cached.", n.traffic().cache_bytes());
  p.one("carried_total", "counter", "Fills asked of a shield.", c.carried.load());
  p.one("repeats_total", "counter", "Repeats granted.", n.traffic().shots().repeats());
  p.one("ready", "gauge", "1 when the platform may send callers.", n.ready() ? 1 : 0);
  p.one("generation", "gauge", "The generation in force here.", n.generation());
  p.one("permit_left_ms", "gauge", "What is left of the read lease.",
        std::max<int64_t>(0, (n.state_cache().read_lease_end() - now).count()));
  p.one("duty_held", "gauge", "1 when this node does the rollout leadership.", n.leadership().held() ? 1 : 0);
  p.one("members", "gauge", "Nodes whose session stands.", n.state_cache().statuses().members(now).size());
  p.one("registers", "gauge", "Registers known.", n.state_cache().chosen().size());
  if (n.acceptor())
    p.one("votes", "gauge", "1 when this holder's disk may vote.", n.acceptor()->mute() ? 0 : 1);
  auto t = n.traffic().table();
  if (!t->layout) return p.out;
  p.head("running", "gauge", "Requests at workers.");
  for (auto& [s, x] : t->layout->services)
    p.out += fmt::format("dunlinwing_running{{service=\"{}\"}} {}\n", s, n.traffic().shots().load(s).first);
  p.head("waiting", "gauge", "Requests on the waitlist.");
  for (auto& [s, x] : t->layout->services)
    p.out += fmt::format("dunlinwing_waiting{{service=\"{}\"}} {}\n", s, n.traffic().shots().load(s).second);
  p.head("shots_total", "counter", "UpstreamClient by version and how they ended.");
  std::map<std::pair<std::string, std::string>, traffic::VersionCount> sums;  // over the routes
  for (auto& [k, v] : n.traffic().shots().counts()) {
    auto& x = sums[{k.service, k.version}];
    x.good += v.good;
    x.bad += v.bad;
  }
  for (auto& [k, v] : sums) {
    if (!t->layout->services.count(k.first)) continue;
    for (auto& [what, m] : {std::make_pair("good", v.good), std::make_pair("bad", v.bad)})
      p.out += fmt::format("dunlinwing_shots_total{{service=\"{}\",version=\"{}\",end=\"{}\"}} {}\n", k.first,
                           k.second, what, m);
  }
  return p.out;
}

std::string status(relay::Node& n, TimePoint now) {
  auto& c = n.config();
  auto& k = n.traffic().counts();
  return fmt::format(
      R"({{"name":{},"zone":{},"software":"{}","ready":{},"fresh":{},"permit_left_ms":{},"generation":{},"layout":{},"holder":{},"votes":{},"shield":{},"duty":{},"incarnation":{},"members":{},"requests":{},"defects":{},"turned_away":{},"unknown":{},"cache":{{"hits":{},"fills":{},"bytes":{}}}}})",
      base::quote(c.name), base::quote(c.zone), kSoftware, n.ready(), n.state_cache().fresh(),
      std::max<int64_t>(0, (n.state_cache().read_lease_end() - now).count()), n.generation(),
      base::quote(n.release()), n.acceptor() != nullptr, n.acceptor() && !n.acceptor()->mute(), c.shield,
      n.leadership().held(), n.state_cache().incarnation(), n.state_cache().statuses().members(now).size(),
      k.requests.load(), k.defects.load(), k.turned_away.load(), k.unknown.load(), k.hits.load(),
      k.fills.load(), n.traffic().cache_bytes());
}

}  // namespace dunlinwing::control_api
