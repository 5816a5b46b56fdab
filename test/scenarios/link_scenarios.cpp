#include "scenarios/order_load.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kWatched(20000);
constexpr double kMinServedShare = 0.95;  // share of each class's requests that must be served in time

void watch_read_leases(Scene& scene, const ObservedPtr& observed, Duration duration) {
  constexpr Duration kPeriod(20);
  const TimePoint until = scene.world.now() + duration;
  scene.fleet.spawn_outside([&scene, observed, until] {
    for (; scene.world.now() < until; scene.fleet.sleep(kPeriod))
      for (auto& host : scene.fleet.hosts())
        if (host->up() && !host->node->state_cache().has_read_lease()) observed->lapsed.insert(host->name);
  });
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
    if (!start_load(scene, changes)) return;
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
    if (!start_load(scene, changes)) return;
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

}  // namespace

NamedCases link_scenarios() {
  return {{"full_links_delay_no_order", {full_links, 0, slow_links}},
          {"full_links_fetching_nodes_fail", {fetching_nodes_fail, 0, slow_links}}};
}

}  // namespace dunlinwing::test
