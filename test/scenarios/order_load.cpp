#include "scenarios/order_load.hpp"

namespace dunlinwing::test {
namespace {
constexpr double kEdgeMbps = 2;
constexpr double kReplicaMbps = 20;
constexpr int kSmallObjects = 300;
constexpr int kLargeObjects = 60;
constexpr size_t kSmallBytes = 2000;
constexpr size_t kLargeBytes = 16000;    // of the smallest large objects; the largest are four times as long
constexpr int kLargePercent = 18;        // of the requests
constexpr int kRequestsPerSecond = 450;  // which use most of the capacity of the edge nodes' links
constexpr int kLifetimeSeconds = 10;
constexpr Duration kMinLatency{60}, kMaxLatency{120};

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

/// Sends a request as operators do: to one node after the other until one acknowledges it.
void send_order(Scene& scene, const ObservedPtr& observed, const std::string& target,
                const std::string& body) {
  const TimePoint began = scene.world.now();
  ++observed->sent;
  for (int status = 0; status != 200 && status != 202 && scene.world.now() - began < kAckTimeout * 4;) {
    auto* host = scene.fleet.random_host(false);
    base::Request request{"", "PUT", target, body, {}};
    const auto exchange = scene.fleet.exchange(*host, std::move(request), true, kCallTimeout);
    status = exchange.complete ? exchange.response.status : 0;
    observed->refused_calls += status / 100 == 5;
    if (!exchange.complete && observed->silent_calls++ == 0)
      observed->first_silent_call =
          fmt::format("{} at {}, {} by its node, at {} ms", target, host->name,
                      exchange.read ? "read" : "not read", scene.world.now().count());
  }
  const Duration took = scene.world.now() - began;
  ++observed->orders;
  if (took <= observed->slowest_order) return;
  observed->slowest_order = took;
  observed->slowest_order_text = target;
}

/// Changes an object and purges it immediately.
/// @param series  part of the purge's name, which is unique together with the number
void change_object(Scene& scene, const ObservedPtr& observed, const ChangesPtr& changes,
                   const std::string& series, int number) {
  const auto path = fmt::format("/c/{}/{}", number % 2 ? "small" : "large", number % kLargeObjects);
  const int64_t now = (*changes)[path] = scene.world.now().count();
  send_order(scene, observed, fmt::format("/v1/purges/{}{}", series, number),
             fmt::format(R"({{"service":"content","kind":"path","path":"{}"}})", path));
  scene.fleet.event(fmt::format(R"("t":"purged","path":"{}","prefix":false,"asked":{})", path, now));
}
}  // namespace

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

void send_orders(Scene& scene, const ObservedPtr& observed, const ChangesPtr& changes, Duration duration) {
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

void send_purges(Scene& scene, const ObservedPtr& observed, const ChangesPtr& changes, Duration period,
                 Duration duration) {
  const TimePoint until = scene.world.now() + duration;
  for (int i = 0; scene.world.now() < until; ++i, scene.fleet.sleep(period))
    scene.fleet.spawn_outside([&scene, observed, changes, period, i] {
      change_object(scene, observed, changes, fmt::format("each-{}-ms-", period.count()), i);
    });
}

void send_purges_of_everything(Scene& scene, const ObservedPtr& observed, Duration period,
                               Duration duration) {
  const TimePoint until = scene.world.now() + duration;
  for (int i = 0; scene.world.now() < until; ++i, scene.fleet.sleep(period))
    scene.fleet.spawn_outside([&scene, observed, i] {
      send_order(scene, observed, fmt::format("/v1/purges/everything-{}", i),
                 R"({"kind":"prefix","path":"/"})");
    });
}

void send_numbered_configurations(Scene& scene, const ObservedPtr& observed, Duration period,
                                  Duration duration) {
  constexpr int kFirstNumber =
      1001;  // above the generations of releases, with which the checker compares them
  const TimePoint until = scene.world.now() + duration;
  scene.fleet.spawn_outside([&scene, observed, period, until] {
    for (int number = kFirstNumber; scene.world.now() < until; ++number, scene.fleet.sleep(period))
      scene.fleet.spawn_outside([&scene, observed, number] {
        auto document = slow_link_configuration(number);
        document.insert(document.rfind('}'), fmt::format(R"(,"stated":"{}")", number));
        send_order(scene, observed, fmt::format("/v1/layouts/{}", number), document);
      });
  });
}

bool start_load(Scene& scene, const ChangesPtr& changes) {
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

void expect_orders_in_time(Scene& scene, const Observed& observed) {
  scene.figures["slowest_order_ms"] = static_cast<uint64_t>(observed.slowest_order.count());
  scene.figures["orders"] = observed.orders;
  scene.figures["refused_calls"] = observed.refused_calls;
  scene.figures["silent_calls"] = observed.silent_calls;
  scene.require(observed.orders == observed.sent,
                fmt::format("{} orders were not acknowledged", observed.sent - observed.orders));
  scene.require(observed.slowest_order <= kAckTimeout,
                fmt::format("{} was acknowledged after {} ms", observed.slowest_order_text,
                            observed.slowest_order.count()));
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

}  // namespace dunlinwing::test
