// Counters are this process's own, since its start.
#include "control_api/metrics.hpp"

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

std::string metrics(node::Node& node, TimePoint now) {
  Page p;
  auto& c = node.request_handler().counters();
  p.one("requests_total", "counter", "Requests of callers answered.", c.requests.load());
  p.one("defects_total", "counter", "Answers that count as defects.", c.failures.load());
  p.one("turned_away_total", "counter", "Requests promised not run.", c.rejected.load());
  p.one("unknown_total", "counter", "Requests of unknown outcome.", c.unknown.load());
  p.one("cache_hits_total", "counter", "Requests answered from the cache.", c.cache_hits.load());
  p.one("cache_fills_total", "counter", "Fetches for the cache.", c.cache_fetches.load());
  p.one("cache_bytes", "gauge", "Bytes cached.", node.request_handler().cache_bytes());
  p.one("carried_total", "counter", "Fills asked of a shield.", c.forwarded.load());
  p.one("repeats_total", "counter", "Repeats granted.", node.request_handler().upstream_client().retries());
  p.one("ready", "gauge", "1 when the platform may send callers.", node.ready() ? 1 : 0);
  p.one("generation", "gauge", "The generation in force here.", node.generation());
  p.one("permit_left_ms", "gauge", "What is left of the read lease.",
        std::max<int64_t>(0, (node.state_cache().read_lease_end() - now).count()));
  p.one("duty_held", "gauge", "1 when this node does the rollout leadership.",
        node.leadership().held() ? 1 : 0);
  p.one("members", "gauge", "Nodes whose session stands.", node.state_cache().statuses().members(now).size());
  p.one("registers", "gauge", "Registers known.", node.state_cache().chosen().size());
  if (node.acceptor())
    p.one("votes", "gauge", "1 when this holder's disk may vote.", node.acceptor()->non_voting() ? 0 : 1);
  auto snapshot = node.request_handler().snapshot();
  if (!snapshot->configuration) return p.out;
  p.head("running", "gauge", "Requests at workers.");
  for (auto& [s, x] : snapshot->configuration->services)
    p.out += fmt::format("dunlinwing_running{{service=\"{}\"}} {}\n", s,
                         node.request_handler().upstream_client().load(s).running);
  p.head("waiting", "gauge", "Requests on the waitlist.");
  for (auto& [s, x] : snapshot->configuration->services)
    p.out += fmt::format("dunlinwing_waiting{{service=\"{}\"}} {}\n", s,
                         node.request_handler().upstream_client().load(s).waiting);
  p.head("shots_total", "counter", "UpstreamClient by version and how they ended.");
  std::map<std::pair<std::string, std::string>, proxy::VersionOutcomes> sums;  // over the routes
  for (auto& [k, v] : node.request_handler().upstream_client().counts()) {
    auto& x = sums[{k.service, k.version}];
    x.good += v.good;
    x.bad += v.bad;
  }
  for (auto& [k, v] : sums) {
    if (!snapshot->configuration->services.count(k.first)) continue;
    for (auto& [what, m] : {std::make_pair("good", v.good), std::make_pair("bad", v.bad)})
      p.out += fmt::format("dunlinwing_shots_total{{service=\"{}\",version=\"{}\",end=\"{}\"}} {}\n", k.first,
                           k.second, what, m);
  }
  return p.out;
}

std::string status(node::Node& node, TimePoint now) {
  auto& config = node.config();
  auto& k = node.request_handler().counters();
  return fmt::format(
      R"({{"name":{},"zone":{},"software":"{}","ready":{},"fresh":{},"permit_left_ms":{},"generation":{},"layout":{},"holder":{},"votes":{},"shield":{},"duty":{},"incarnation":{},"members":{},"requests":{},"defects":{},"turned_away":{},"unknown":{},"cache":{{"hits":{},"fills":{},"bytes":{}}}}})",
      base::quote(config.name), base::quote(config.zone), kSoftware, node.ready(),
      node.state_cache().has_read_lease(),
      std::max<int64_t>(0, (node.state_cache().read_lease_end() - now).count()), node.generation(),
      base::quote(node.configuration_name()), node.acceptor() != nullptr,
      node.acceptor() && !node.acceptor()->non_voting(), config.shield, node.leadership().held(),
      node.state_cache().incarnation(), node.state_cache().statuses().members(now).size(), k.requests.load(),
      k.failures.load(), k.rejected.load(), k.unknown.load(), k.cache_hits.load(), k.cache_fetches.load(),
      node.request_handler().cache_bytes());
}

}  // namespace dunlinwing::control_api
