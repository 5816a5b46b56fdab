// How a simulated backend instance handles a request; requests that it ran are written to the journal.
#include "simulation/origin.hpp"

#include <fmt/format.h>

namespace dunlinwing::simulation {
namespace {
base::Headers head(const SimulatedBackend& backend, const std::string& rid, base::Headers more) {
  more.emplace_back("Dunlinwing-Service", backend.service);
  more.emplace_back("Dunlinwing-Version", backend.version);
  more.emplace_back("Dunlinwing-Instance", backend.instance);
  more.emplace_back("Dunlinwing-Request", rid);
  more.emplace_back("Dunlinwing-Load", std::to_string(backend.reported_load));
  return more;
}

// Counts an attempt while it is in progress.
class ConnectionInUse {
 public:
  explicit ConnectionInUse(int& count) : count_(count) { ++count_; }
  ~ConnectionInUse() { --count_; }
  ConnectionInUse(const ConnectionInUse&) = delete;
  ConnectionInUse& operator=(const ConnectionInUse&) = delete;

 private:
  int& count_;
};
}  // namespace

bool SimOrigin::can_connect(const std::string& address, Duration) {
  Wait x;
  fleet_.world_.wait(process_, Duration(1), x);
  if (fleet_.breaks(process_->host, "reach")) return ++fleet_.world_.fault_counts["unreachable"], false;
  if (fleet_.shape_.can_connect) return fleet_.shape_.can_connect(address);
  for (auto& w : fleet_.backends_)
    if (w->alive && w->address == address) return true;
  return false;
}

bool SimOrigin::await_connection(const std::string& address, const base::AttemptRules& rules) {
  const auto limit = rules.connect_timeout > Duration(0) ? rules.connect_timeout : rules.timeout;
  const auto end = fleet_.world_.now() + limit;
  const bool waits = rules.max_connections > 0 && connections_[address] >= rules.max_connections;
  while (rules.max_connections > 0 && connections_[address] >= rules.max_connections) {
    if (fleet_.world_.now() >= end)
      return rules.on_connection_wait ? rules.on_connection_wait(false) : void(), false;
    Wait wait;
    fleet_.world_.wait(process_, Duration(2), wait);
  }
  if (waits && rules.on_connection_wait) rules.on_connection_wait(true);
  return true;
}

std::variant<base::Response, base::AttemptError> SimOrigin::send(const std::string& address,
                                                                 const base::Request& request,
                                                                 const base::AttemptRules& rules) {
  Duration limit = rules.timeout;
  auto& world = fleet_.world_;
  if (address.starts_with("http:")) return relay(address.substr(5), request, limit);
  if (fleet_.shape_.send) return fleet_.shape_.send(process_, address, request, rules);
  auto sleep = [&](Duration s) {
    Wait x;
    world.wait(process_, s, x);
  };
  auto find = [&]() -> SimulatedBackend* {
    for (auto& backend : fleet_.backends_)
      if (backend->alive && backend->address == address) return backend.get();
    return nullptr;
  };
  if (!await_connection(address, rules)) return base::AttemptError::not_sent;
  const ConnectionInUse connection(connections_[address]);
  // A request that was sent arrives even if this process is frozen meanwhile.
  Wait way;
  world.wait(fleet_.outside_process_, Duration(1), way);
  auto* backend = find();
  if (!backend) return base::AttemptError::not_sent;
  auto h = [&](const char* n) { return base::header(request.headers, n); };
  if (backend->foreign) {
    ++world.fault_counts["foreign"];
    world.journal.push_back(fmt::format(
        R"({{"t":"run","id":"{}","method":"{}","target":"{}","in":"{}","out":"","service":"{}","version":"{}","instance":"{}","at":{},"bad":true}})",
        h("Caller-Id"), request.method, request.target, base::sha256_base64(request.body),
        h("Dunlinwing-Service"), h("Dunlinwing-Version"), backend->instance, world.now().count()));
    return base::Response{421, {}, ""};
  }
  if (h("Dunlinwing-Instance") != backend->instance || h("Dunlinwing-Service") != backend->service ||
      h("Dunlinwing-Version") != backend->version) {
    ++world.fault_counts["wrong_address"];
    return base::Response{421, head(*backend, h("Dunlinwing-Request"), {{"Dunlinwing-Outcome", "not-run"}}),
                          ""};
  }
  if (static_cast<int>(world.below(100)) < backend->refuse_percent) {
    ++world.fault_counts["worker_refused"];
    return base::Response{503, head(*backend, h("Dunlinwing-Request"), {{"Dunlinwing-Outcome", "not-run"}}),
                          ""};
  }
  Duration took =
      backend->min_latency +
      Duration(world.below(static_cast<uint64_t>((backend->max_latency - backend->min_latency).count()) + 1));
  auto at = world.now().count();
  if (world.now() < backend->warm_at) took *= 2;
  int times = backend->slowdown ? backend->slowdown(request.target) : 1;
  if (times > 1) took *= times;
  bool bad = static_cast<int>(world.below(100)) < backend->bad_percent || !times,
       wrong = static_cast<int>(world.below(100)) < backend->wrong_percent;
  const bool versioned = backend->changed_at && request.target.starts_with("/c/");
  const int64_t produced = versioned ? backend->changed_at(request.target) : at;
  const size_t padding = backend->body_bytes ? backend->body_bytes(request.target) : 0;
  auto body = fmt::format(R"({{"target":"{}","echo":"{}","produced":{}{}}})", request.target,
                          versioned ? "" : h("Caller-Id"), produced,
                          padding ? ",\"padding\":\"" + std::string(padding, 'x') + '"' : "");
  const std::string tag = fmt::format("\"{}\"", produced);
  auto sum = base::sha256_base64(body);
  world.journal.push_back(fmt::format(
      R"({{"t":"run","id":"{}","method":"{}","target":"{}","in":"{}","out":"{}","service":"{}","version":"{}","instance":"{}","relay":"{}","gen":"{}","at":{},"bad":{}}})",
      h("Caller-Id"), request.method, request.target, base::sha256_base64(request.body), sum,
      backend->service, backend->version, backend->instance, h("Dunlinwing-Relay"),
      h("Dunlinwing-Generation"), at, bad || wrong || times > 1));
  auto name = backend->instance;
  ++backend->running;
  sleep(std::min(took, limit));
  --backend->running;
  if (took > limit) {
    ++world.fault_counts["slow_worker"];
    return base::AttemptError::unknown;
  }
  backend = find();
  if (!backend || backend->instance != name) {
    ++world.fault_counts["worker_died_in_request"];
    return base::AttemptError::unknown;
  }
  if (static_cast<int>(world.below(100)) < backend->lose_percent) {
    ++world.fault_counts["lost_answer"];
    sleep(limit - took);
    return base::AttemptError::unknown;
  }
  base::Response response{
      bad ? 500 : 200, head(*backend, h("Dunlinwing-Request"), {{"Content-Digest", "sha-256=:" + sum + ":"}}),
      body};
  if (wrong) {
    std::string garbled = response.body;
    garbled[garbled.size() / 2] ^= 1;
    response.body = std::move(garbled);
  }
  if (bad) ++world.fault_counts["bad_answer"];
  if (wrong) ++world.fault_counts["wrong_bytes"];
  if (backend->max_age && request.method == "GET")
    response.headers.emplace_back("Cache-Control", fmt::format("max-age={}", backend->max_age));
  if (versioned) response.headers.emplace_back("ETag", tag);
  if (versioned && !bad && h("If-None-Match") == tag) {
    ++world.fault_counts["not_modified"];
    response = {304, head(*backend, h("Dunlinwing-Request"), {{"ETag", tag}}), {}};
  }
  receive(response.body.size());
  return response;
}

// Transfers a response over the link of this process, reading it like net/http_client does.
void SimOrigin::receive(size_t bytes) {
  auto& world = fleet_.world_;
  if (!world.links[process_->host].has_rate()) return;
  constexpr size_t kReadBytes = 32 << 10;
  constexpr Duration kLongestPause(1000);
  auto& inbound = fleet_.at(process_->host).link->inbound;
  const TimePoint began = world.now();
  for (size_t remaining = bytes; remaining > 0;) {
    const size_t part = std::min(remaining, kReadBytes);
    receive_part(part);
    inbound.charge(link::TrafficClass::backends, part);
    remaining -= part;
    if (remaining > inbound.part_bytes() &&
        !inbound.acquire({link::TrafficClass::backends, began, remaining}, 0, kLongestPause))
      continue;
  }
}

void SimOrigin::receive_part(size_t bytes) {
  auto& world = fleet_.world_;
  struct Arrival {
    bool done = false;
    Wait wait;
  };
  auto arrival = std::make_shared<Arrival>();
  world.transmit("", process_->host, bytes, Duration(0), [&world, arrival] {
    arrival->done = true;
    world.notify(arrival->wait);
  });
  constexpr Duration kMaxWait(60000);
  while (!arrival->done) world.wait(process_, kMaxWait, arrival->wait);
}

}  // namespace dunlinwing::simulation
