#include <array>
#include <set>

#include "membership/coordinator_selector.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {
constexpr double kEdgeMbps = 2;
constexpr double kReplicaMbps = 20;
constexpr double kShieldMbps = 200;
constexpr int kSmallObjects = 300;
constexpr int kLargeObjects = 60;
constexpr size_t kSmallBytes = 2000;
constexpr size_t kLargeBytes = 16000;    // of the smallest large objects; the largest are four times as long
constexpr int kLargePercent = 18;        // of the requests
constexpr int kRequestsPerSecond = 450;  // which use most of the capacity of the edge nodes' links
constexpr int kLifetimeSeconds = 10;
constexpr Duration kMinLatency{60}, kMaxLatency{120};

constexpr Duration kAckTimeout(4000);   // for an operator's request to be acknowledged
constexpr Duration kCallTimeout(1000);  // after which an operator tries another node
constexpr Duration kWatched(20000);
constexpr Duration kEnd(8000);            // for requests that are still in progress at the end
constexpr double kMinServedShare = 0.95;  // share of each class's requests that must be served in time

size_t body_bytes(const std::string& target) {
  if (target.starts_with("/c/large")) return kLargeBytes * (1 + target.back() % 4);
  return target.starts_with("/c/") ? kSmallBytes : 0;
}

std::string slow_link_configuration(int number) {
  auto document = simulated_configuration("\"1\"", kLifetimeSeconds);
  document.insert(
      document.find(R"({"prefix":"/pay")"),
      fmt::format(R"({{"prefix":"/c/added{}/","service":"content","methods":["GET"]}},)", number));
  return document;
}

struct Served {
  uint64_t asked = 0, served = 0;
  double share() const { return asked ? static_cast<double>(served) / static_cast<double>(asked) : 0; }
};

/// Results as observed by clients and operators.
struct Observed {
  std::map<std::string, Served> classes;
  Duration slowest_order{0};
  std::string slowest_order_text;
  uint64_t orders = 0;
  uint64_t refused_calls = 0;    ///< calls of operators that got a 5xx
  uint64_t silent_calls = 0;     ///< calls of operators without a response in time
  std::set<std::string> lapsed;  ///< nodes whose read lease lapsed
};
using ObservedPtr = std::shared_ptr<Observed>;

void request_objects(Scene& scene, const ObservedPtr& observed, Duration duration) {
  scene.fleet.generate_requests(kRequestsPerSecond, scene.world.now() + duration, [&scene, observed] {
    auto& world = scene.world;
    const bool large = world.below(100) < kLargePercent;
    const auto objects = static_cast<uint64_t>(large ? kLargeObjects : kSmallObjects);
    const auto object = std::min(world.below(objects), world.below(objects));
    const std::string name = large ? "large" : "small";
    ++observed->classes[name].asked;
    const int status = scene.fleet.call("GET", fmt::format("/c/{}/{}", name, object));
    observed->classes[name].served += status == 200;
  });
}

/// When objects last changed, by path; objects without an entry changed at the start.
using Changes = std::map<std::string, int64_t>;

/// Sends a request as operators do: to one node after the other until one acknowledges it.
void send_order(Scene& scene, const ObservedPtr& observed, const std::string& target,
                const std::string& body) {
  const TimePoint began = scene.world.now();
  for (int status = 0; status != 200 && status != 202 && scene.world.now() - began < kAckTimeout * 4;) {
    auto* host = scene.fleet.random_host(false);
    base::Request request{"", "PUT", target, body, {}};
    const auto exchange = scene.fleet.exchange(*host, std::move(request), true, kCallTimeout);
    status = exchange.complete ? exchange.response.status : 0;
    observed->refused_calls += status / 100 == 5;
    observed->silent_calls += !exchange.complete;
  }
  const Duration took = scene.world.now() - began;
  ++observed->orders;
  if (took <= observed->slowest_order) return;
  observed->slowest_order = took;
  observed->slowest_order_text = target;
}

/// Changes an object and purges it immediately.
/// @param series  part of the purge's name, which is unique together with the number
void change_object(Scene& scene, const ObservedPtr& observed, const std::shared_ptr<Changes>& changes,
                   const std::string& series, int number) {
  const auto path = fmt::format("/c/{}/{}", number % 2 ? "small" : "large", number % kLargeObjects);
  const int64_t now = (*changes)[path] = scene.world.now().count();
  send_order(scene, observed, fmt::format("/v1/purges/{}{}", series, number),
             fmt::format(R"({{"service":"content","kind":"path","path":"{}"}})", path));
  scene.fleet.event(fmt::format(R"("t":"purged","path":"{}","prefix":false,"asked":{})", path, now));
}

/// Sends a purge or a configuration every half second.
void send_orders(Scene& scene, const ObservedPtr& observed, const std::shared_ptr<Changes>& changes,
                 Duration duration) {
  constexpr Duration kPeriod(500);
  const TimePoint until = scene.world.now() + duration;
  scene.fleet.spawn_outside([&scene, observed, changes, until] {
    for (int i = 0; scene.world.now() < until; ++i, scene.fleet.sleep(kPeriod))
      scene.fleet.spawn_outside([&scene, observed, changes, i] {
        if (i % 3 == 0)
          send_order(scene, observed, fmt::format("/v1/releases/layout/r{}", i), slow_link_configuration(i));
        else
          change_object(scene, observed, changes, "p", i);
      });
  });
}

void watch_read_leases(Scene& scene, const ObservedPtr& observed, Duration duration) {
  constexpr Duration kPeriod(20);
  const TimePoint until = scene.world.now() + duration;
  scene.fleet.spawn_outside([&scene, observed, until] {
    for (; scene.world.now() < until; scene.fleet.sleep(kPeriod))
      for (auto& host : scene.fleet.hosts())
        if (host->up() && !host->node->state_cache().has_read_lease()) observed->lapsed.insert(host->name);
  });
}

bool start(Scene& scene, const std::shared_ptr<Changes>& changes) {
  constexpr int kOtherRequests = 5;
  constexpr int kNoLifetimeJudged = 1 << 30;  // an object that has not changed stays correct at any age
  if (!start_traffic(scene, kOtherRequests, slow_link_configuration(0))) return false;
  scene.fleet.event(fmt::format(R"("t":"lifetime","ms":{})", kNoLifetimeJudged));
  const int64_t began = scene.world.now().count();
  for (auto& backend : scene.fleet.backends()) {
    backend->body_bytes = body_bytes;
    if (backend->max_age) backend->max_age = kLifetimeSeconds;
    backend->min_latency = kMinLatency;
    backend->max_latency = kMaxLatency;
    backend->changed_at = [changes, began](const std::string& target) {
      const auto found = changes->find(target);
      return found == changes->end() ? began : found->second;
    };
  }
  return true;
}

std::string lapsed_text(const Observed& observed) {
  std::string text;
  for (const auto& name : observed.lapsed) text += " " + name;
  return text;
}

void expect_within_bounds(Scene& scene, const Observed& observed) {
  scene.figures["slowest_order_ms"] = static_cast<uint64_t>(observed.slowest_order.count());
  scene.figures["orders"] = observed.orders;
  scene.figures["lapsed_nodes"] = observed.lapsed.size();
  for (const auto& [name, served] : observed.classes)
    scene.figures["served_permille_" + name] = static_cast<uint64_t>(served.share() * 1000);
  scene.require(observed.slowest_order <= kAckTimeout,
                fmt::format("{} was acknowledged after {} ms", observed.slowest_order_text,
                            observed.slowest_order.count()));
  scene.require(observed.lapsed.empty(), "read leases lapsed at" + lapsed_text(observed));
  for (const auto& [name, served] : observed.classes)
    scene.require(served.share() >= kMinServedShare,
                  fmt::format("{}: {} of {} were served; rejected:{}", name, served.served, served.asked,
                              rejections_by_reason(scene)));
}

/// Starts with cold caches and full traffic, and sends operator requests throughout.
void full_links(Scene& scene) {
  scene.duration = Duration(60000);
  scene.required_faults = {"not_modified"};
  scene.script = [&scene] {
    const auto changes = std::make_shared<Changes>();
    if (!start(scene, changes)) return;
    const auto observed = std::make_shared<Observed>();
    watch_read_leases(scene, observed, kWatched);
    request_objects(scene, observed, kWatched);
    send_orders(scene, observed, changes, kWatched);
    scene.fleet.sleep(kWatched + kEnd);
    expect_within_bounds(scene, *observed);
  };
}

/// The node with the most fetches from the origin.
std::string fetching_node(Scene& scene) {
  std::pair<uint64_t, std::string> most;
  for (auto& host : scene.fleet.hosts())
    if (host->up())
      most = std::max(most, {host->node->request_handler().counters().cache_fetches, host->name});
  return most.second;
}

void set_link(Scene& scene, const std::string& host, double mbps) {
  scene.world.links[host].inbound.set_rate(mbps);
  scene.world.links[host].outbound.set_rate(mbps);
}

/// Under full links, nodes that fetch for others are in turn killed, frozen, partitioned and given a slow
/// link, while configurations change and objects are purged.
void fetching_nodes_fail(Scene& scene) {
  scene.duration = Duration(100000);
  scene.required_faults = {"not_modified", "kill", "freeze", "cut"};
  scene.script = [&scene] {
    constexpr Duration kStep(7000);
    constexpr Duration kFrozen(4000);
    constexpr double kSlowMbps = 0.5;
    constexpr double kMinServedShareDuringFaults = 0.9;
    const auto changes = std::make_shared<Changes>();
    if (!start(scene, changes)) return;
    const auto observed = std::make_shared<Observed>();
    request_objects(scene, observed, kStep * 6);
    send_orders(scene, observed, changes, kStep * 6);
    scene.fleet.sleep(kStep);
    const auto killed = fetching_node(scene);
    scene.fleet.kill(killed);
    scene.fleet.sleep(kStep);
    scene.fleet.start(killed);
    scene.world.freeze(fetching_node(scene), scene.world.now() + kFrozen);
    scene.fleet.sleep(kStep);
    scene.fleet.isolate(fetching_node(scene));
    scene.fleet.sleep(kStep);
    scene.world.heal_all();
    const auto slow = fetching_node(scene);
    set_link(scene, slow, kSlowMbps);
    scene.fleet.sleep(kStep);
    set_link(scene, slow, kShieldMbps);
    scene.fleet.sleep(kStep + kEnd);
    scene.figures["slowest_order_ms"] = static_cast<uint64_t>(observed->slowest_order.count());
    scene.require(observed->slowest_order <= kAckTimeout,
                  fmt::format("{} was acknowledged after {} ms", observed->slowest_order_text,
                              observed->slowest_order.count()));
    for (const auto& [name, served] : observed->classes)
      scene.require(served.share() >= kMinServedShareDuringFaults,
                    fmt::format("{}: {} of {} were served; rejected:{}", name, served.served, served.asked,
                                rejections_by_reason(scene)));
  };
}

/// Sends one purge after the other, without waiting for acknowledgements.
void send_purges(Scene& scene, const ObservedPtr& observed, const std::shared_ptr<Changes>& changes,
                 Duration period, Duration duration) {
  const TimePoint until = scene.world.now() + duration;
  for (int i = 0; scene.world.now() < until; ++i, scene.fleet.sleep(period))
    scene.fleet.spawn_outside([&scene, observed, changes, period, i] {
      change_object(scene, observed, changes, fmt::format("each-{}-ms-", period.count()), i);
    });
}

/// Under full links, purges come faster and faster at all nodes, and configurations with them.
void purges_at_many_nodes(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    constexpr Duration kStep(5000);
    constexpr std::array kPeriods{Duration(100), Duration(40), Duration(20)};
    const auto changes = std::make_shared<Changes>();
    if (!start(scene, changes)) return;
    const auto observed = std::make_shared<Observed>();
    request_objects(scene, observed, kStep * kPeriods.size());
    send_orders(scene, observed, changes, kStep * kPeriods.size());
    for (const Duration period : kPeriods) {
      const uint64_t before = observed->orders;
      send_purges(scene, observed, changes, period, kStep);
      const uint64_t acknowledged = observed->orders - before;
      const auto due = static_cast<uint64_t>((kStep - kCallTimeout) / period);  // sent early enough
      scene.figures[fmt::format("acknowledged_each_{}_ms", period.count())] = acknowledged;
      scene.require(acknowledged >= due, fmt::format("purges {} ms apart: {} of {} were acknowledged in time",
                                                     period.count(), acknowledged, due));
    }
    scene.fleet.sleep(kEnd);
    scene.figures["slowest_order_ms"] = static_cast<uint64_t>(observed->slowest_order.count());
    scene.figures["orders"] = observed->orders;
    scene.figures["refused_calls"] = observed->refused_calls;
    scene.figures["silent_calls"] = observed->silent_calls;
    scene.require(observed->slowest_order <= kAckTimeout,
                  fmt::format("{} was acknowledged after {} ms", observed->slowest_order_text,
                              observed->slowest_order.count()));
    scene.require(observed->refused_calls == 0 && observed->silent_calls == 0,
                  fmt::format("{} calls of operators were refused and {} got no response",
                              observed->refused_calls, observed->silent_calls));
  };
}

/// The replica that all nodes send purges to, as a node with an up-to-date view sees it.
std::string purge_coordinator(Scene& scene) {
  for (auto& host : scene.fleet.hosts()) {
    if (!host->up() || !host->node->state_cache().has_read_lease()) continue;
    const TimePoint now = scene.world.now();
    auto& node = *host->node;
    const membership::CoordinatorSelector selector(node.config().bound);
    return selector
        .candidates(node.registers().replica_set().current(), node.state_cache().statuses().members(now),
                    "purges", now)
        .front()
        .name;
  }
  return {};
}

/// Partitions a replica from the other replicas only, in the given directions.
void partition_from_replicas(Scene& scene, const std::string& name, bool from_it, bool to_it) {
  for (auto& host : scene.fleet.hosts()) {
    if (host->name == name || !host->has_disk) continue;
    if (from_it) scene.world.partition(name, host->name);
    if (to_it) scene.world.partition(host->name, name);
  }
}

/// While purges and configurations come at all nodes, the coordinator of purges is in turn killed, frozen,
/// cut off from everyone, cut off from the other replicas, unable to send to or to hear these, given a slow
/// disk, and restarted after it has missed changes.
void coordinator_fails(Scene& scene) {
  scene.duration = Duration(120000);
  scene.required_faults = {"kill", "freeze", "cut", "slow_disk"};
  scene.script = [&scene] {
    constexpr Duration kFault(4000);
    constexpr Duration kRest(5000);  // until the replica has caught up and coordinates again
    constexpr Duration kPurgePeriod(40);
    constexpr Duration kSlowSync(200);
    const auto changes = std::make_shared<Changes>();
    if (!start(scene, changes)) return;
    const auto observed = std::make_shared<Observed>();
    struct Fault {
      std::function<void(const std::string&)> begin;
      std::function<void(const std::string&)> end;
    };
    auto& fleet = scene.fleet;
    auto& world = scene.world;
    const auto heal = [&world](const std::string&) { world.heal_all(); };
    const auto nothing = [](const std::string&) {};
    const std::vector<Fault> faults{
        {[&](const std::string& name) { fleet.kill(name); },
         [&](const std::string& name) { fleet.start(name); }},
        {[&](const std::string& name) { world.freeze(name, world.now() + kFault); }, nothing},
        {[&](const std::string& name) { fleet.isolate(name); }, heal},
        {[&](const std::string& name) { partition_from_replicas(scene, name, true, true); }, heal},
        {[&](const std::string& name) { partition_from_replicas(scene, name, true, false); }, heal},
        {[&](const std::string& name) { partition_from_replicas(scene, name, false, true); }, heal},
        {[&](const std::string& name) {
           fleet.at(name).disk_contents.min_latency = kSlowSync;
           fleet.at(name).disk_contents.max_latency = kSlowSync;
         },
         [&](const std::string& name) {
           fleet.at(name).disk_contents.min_latency = Duration(0);
           fleet.at(name).disk_contents.max_latency = Duration(0);
         }}};
    const Duration all = (kFault + kRest) * static_cast<int>(faults.size());
    send_orders(scene, observed, changes, all);
    fleet.spawn_outside(
        [&scene, observed, changes, all] { send_purges(scene, observed, changes, kPurgePeriod, all); });
    for (const auto& fault : faults) {
      const auto name = purge_coordinator(scene);
      fault.begin(name);
      fleet.sleep(kFault);
      fault.end(name);
      fleet.sleep(kRest);
    }
    fleet.sleep(kEnd);
    scene.figures["slowest_order_ms"] = static_cast<uint64_t>(observed->slowest_order.count());
    scene.figures["orders"] = observed->orders;
    scene.figures["refused_calls"] = observed->refused_calls;
    scene.figures["silent_calls"] = observed->silent_calls;
    scene.require(observed->slowest_order <= kAckTimeout,
                  fmt::format("{} was acknowledged after {} ms", observed->slowest_order_text,
                              observed->slowest_order.count()));
  };
}

void slow_links(simulation::FleetShape& shape) {
  constexpr int kEdgeNodes = 24;
  constexpr int kShields = 3;
  shape.edge_nodes = kEdgeNodes;
  shape.shield_nodes = kShields;
  shape.replica_shields = false;
  shape.edge_mbps = kEdgeMbps;
  shape.replica_mbps = kReplicaMbps;
  shape.shield_mbps = kShieldMbps;
}
void many_nodes(simulation::FleetShape& shape) {
  constexpr int kEdgeNodes = 24;
  shape.edge_nodes = kEdgeNodes;
}
}  // namespace

NamedCases link_scenarios() {
  return {{"full_links_delay_no_order", {full_links, 0, slow_links}},
          {"full_links_fetching_nodes_fail", {fetching_nodes_fail, 0, slow_links}},
          {"purges_at_many_nodes_do_not_starve_each_other", {purges_at_many_nodes, 0, slow_links}},
          {"failing_coordinator_delays_no_order", {coordinator_fails, 0, many_nodes}}};
}

}  // namespace dunlinwing::test
