// A host keeps its disk contents across restarts; all other state of a process is
// created again. The objects of a killed process are kept, since its fibers unwind later.
#include "simulation/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "net/peer_frame.hpp"
#include "simulation/origin.hpp"

namespace dunlinwing::simulation {

struct Fleet::TerminatedHost {
  Host host;
};

FleetShape lobby_shape() {
  FleetShape shape;
  shape.edge_nodes = 9;
  shape.content_backends = 4;
  shape.app_backends = 6;
  shape.max_delay = Duration(2);
  return shape;
}

// The delay of 0.5 ms between zones is 0 or 1 ms, since the clock counts milliseconds.
FleetShape practice_shape() {
  auto shape = lobby_shape();
  shape.app_backends = 7;
  shape.min_delay = Duration(0);
  shape.max_delay = Duration(1);
  return shape;
}

Fleet::Fleet(World& world, FleetShape shape)
    : world_(world), shape_(shape), outside_process_(std::make_shared<ProcessRun>()) {
  outside_process_->host = "outside";
  world.network = normal_conditions();
  for (int i = 0; i < shape.replicas + shape.edge_nodes; ++i) {
    auto host = std::make_unique<Host>();
    host->has_disk = i < shape.replicas;
    host->shield = shape.replica_shields && host->has_disk && i >= shape.replicas - 2;
    host->name =
        fmt::format("{}{}", host->has_disk ? "h" : "e", host->has_disk ? i + 1 : i - shape.replicas + 1);
    host->zone = std::string(1, static_cast<char>('a' + i % 3));
    host->address = "peer:" + host->name;
    host->wall_offset_ms = shape.initial_wall_offset_ms;
    hosts_.push_back(std::move(host));
  }
  for (int i = 0; i < shape.shield_nodes; ++i) {
    auto host = std::make_unique<Host>();
    host->shield = true;
    host->accepts_clients = false;
    host->name = fmt::format("s{}", i + 1);
    host->zone = std::string(1, static_cast<char>('a' + i % 3));
    host->address = "peer:" + host->name;
    host->wall_offset_ms = shape.initial_wall_offset_ms;
    hosts_.push_back(std::move(host));
  }
  for (int i = 0; i < shape.spares; ++i) {
    auto host = std::make_unique<Host>();
    host->spare = true;
    host->name = fmt::format("x{}", i + 1);
    host->zone = std::string(1, static_cast<char>('a' + i % 3));
    host->address = "peer:" + host->name;
    host->wall_offset_ms = shape.initial_wall_offset_ms;
    hosts_.push_back(std::move(host));
  }
}

Fleet::~Fleet() = default;

double Fleet::link_mbps(const Host& host) const {
  if (host.has_disk) return shape_.replica_mbps;
  return host.shield ? shape_.shield_mbps : shape_.edge_mbps;
}

Host& Fleet::at(const std::string& n) {
  for (auto& host : hosts_)
    if (host->name == n) return *host;
  throw std::logic_error("no host " + n);
}

// Mirrors net/peer_server, which uses sockets.
static pb::PeerResponse answer_peer(node::Node& node, link::Link& link, const pb::PeerRequest& request) {
  constexpr Duration kWriteTimeout(5000);
  const link::LinkUse use{&link, net::traffic_class_of(request)};
  use.count_received(request.ByteSizeLong());
  pb::PeerResponse response;
  if (request.has_forward())
    *response.mutable_forward() = node.handle_forwarded(request.forward());
  else
    response = node.handle_peer_request(request);
  const size_t bytes = response.ByteSizeLong();
  if (use.traffic_class != link::TrafficClass::fetches)
    use.count_sent(bytes);
  else if (!use.await_outbound(bytes, TimePoint(0), bytes, kWriteTimeout))
    response.set_error("the link is full");
  return response;
}

void Fleet::start(const std::string& n) {
  auto& host = at(n);
  if (host.up()) return;
  host.process = std::make_shared<ProcessRun>();
  host.process->host = n;
  host.clock = std::make_unique<Clock>(world_, host.process, &host.wall_offset_ms);
  host.random = std::make_unique<Random>(world_);
  host.tasks = std::make_unique<Tasks>(world_, host.process);
  host.link = std::make_unique<link::Link>(*host.clock, *host.tasks, link_mbps(host));
  host.net = std::make_unique<Net>(world_, host.process, directory_, host.link.get());
  host.origin = std::make_unique<SimOrigin>(*this, host.process);
  host.ports.reset(
      new base::Ports{*host.clock, *host.random, *host.tasks, *host.net, *host.origin, host.link.get()});
  if (host.has_disk || host.spare)
    host.disk = std::make_unique<Disk>(world_, host.process, host.disk_contents);
  node::NodeConfig config;
  config.name = n;
  config.zone = host.zone;
  config.peer_address = host.address;
  config.control_address = "http:" + n;
  config.shield = host.shield;
  config.link_mbps = link_mbps(host);
  world_.links[n].inbound.set_rate(config.link_mbps);
  world_.links[n].outbound.set_rate(config.link_mbps);
  config.bound = shape_.bound;
  config.scale = shape_.scale;
  config.initial_boot = shape_.seeded ? !host.started_before && !started_before_ : true;
  config.tolerate = shape_.tolerate;
  if (shape_.seeded) config.seeds = {"http:h1", "http:h2", "http:h3"};
  if (shape_.settings) shape_.settings(config);
  host.started_before = true;
  for (auto& x : hosts_)
    if (x->has_disk && !shape_.seeded) config.replicas.push_back({x->name, x->address});
  host.node = std::make_unique<node::Node>(*host.ports, config, host.disk.get());
  host.router = std::make_unique<control_api::Router>(*host.ports, *host.node);
  auto* node = host.node.get();
  directory_[host.address] = {n, host.process,
                              [node, link = host.link.get()](const pb::PeerRequest& request) {
                                return answer_peer(*node, *link, request);
                              }};
  world_.spawn(host.process, [node] { node->start(); });
}

void Fleet::start_all() {
  for (auto& host : hosts_) start(host->name);
  started_before_ = true;
}

void Fleet::kill(const std::string& n) {
  auto& host = at(n);
  if (!host.up()) return;
  ++world_.fault_counts["kill"];
  event(fmt::format(R"("t":"killed","machine":"{}")", n));
  world_.kill(host.process);
  auto g = std::make_unique<TerminatedHost>();
  g->host.process = host.process;
  g->host.clock = std::move(host.clock);
  g->host.random = std::move(host.random);
  g->host.tasks = std::move(host.tasks);
  g->host.link = std::move(host.link);
  g->host.net = std::move(host.net);
  g->host.origin = std::move(host.origin);
  g->host.ports = std::move(host.ports);
  g->host.disk = std::move(host.disk);
  g->host.node = std::move(host.node);
  g->host.router = std::move(host.router);
  terminated_.push_back(std::move(g));
}

void Fleet::wipe(const std::string& n) {
  ++world_.fault_counts["lost_disk"];
  // The last writes of the killed process must not reach the new disk.
  world_.after(Duration(1), [this, n] { at(n).disk_contents.files.clear(); });
}

void Fleet::isolate(const std::string& n) {
  for (auto& host : hosts_)
    if (host->name != n) {
      world_.partition(n, host->name);
      world_.partition(host->name, n);
    }
}

bool Fleet::breaks(const std::string& n, const std::string& what) {
  return shape_.broken_aspect == what && at(n).up() &&
         at(n).node->configuration_name() == shape_.broken_release;
}

Host* Fleet::random_host(bool only_ready) {
  std::vector<Host*> v;
  for (auto& host : hosts_)
    if (host->up() && host->accepts_clients && !world_.frozen(host->name) &&
        (!only_ready || host->node->ready()))
      v.push_back(host.get());
  return v.empty() ? nullptr : v[world_.below(v.size())];
}

SimulatedBackend& Fleet::add_backend(const std::string& service, const std::string& version,
                                     int64_t max_age) {
  auto x = std::make_unique<SimulatedBackend>();
  x->service = service;
  x->version = version;
  x->zone = std::string(1, static_cast<char>('a' + backends_.size() % 3));
  x->instance = fmt::format("i{}", backends_.size() + 1);
  x->address = fmt::format("10.0.0.{}:80", backends_.size() + 1);
  x->max_age = max_age;
  auto* p = x.get();
  backends_.push_back(std::move(x));
  spawn_outside([this, p] {
    while (p->alive) {
      if (!p->foreign) send_heartbeat(*p);
      if (p->leaving && p->on_deregistered) return;
      sleep(Duration(p->period_ms));
    }
  });
  return *p;
}

void Fleet::send_heartbeat(SimulatedBackend& backend) {
  auto body = fmt::format(
      R"({{"service":"{}","version":"{}","instance":"{}","zone":"{}","address":"{}","capacity":16,"leaving":{},"number":{},"period_ms":{},"cold_ms":{}}})",
      backend.service, backend.version, backend.instance, backend.zone, backend.address, backend.leaving,
      ++backend.heartbeats, backend.period_ms,
      std::max<int64_t>(0, (backend.warm_at - world_.now()).count()));
  bool leaving = backend.leaving;
  for (int i = 0; i < 3 && backend.alive; ++i) {
    auto response = operator_call("POST", "/v1/beats", body);
    if (response.status != 200) continue;
    if (leaving)
      world_.journal.push_back(fmt::format(R"({{"t":"leaving","instance":"{}","at":{}}})", backend.instance,
                                           world_.now().count()));
    if (leaving && backend.on_deregistered) backend.on_deregistered(response.by);
    return;
  }
}

void Fleet::spawn_outside(std::function<void()> f) { world_.spawn(outside_process_, std::move(f)); }

void Fleet::sleep(Duration s) {
  Wait x;
  world_.wait(outside_process_, s, x);
}

bool Fleet::wait_until(Duration timeout, const std::function<bool()>& f) {
  auto end = world_.now() + timeout;
  while (!f()) {
    if (world_.now() >= end) return false;
    sleep(Duration(50));
  }
  return true;
}

namespace {
struct PendingExchange {
  bool done = false, lost = false, read = false;
  base::Response response;
  Wait wait;
};
}  // namespace

// Mirrors net/http_server_connection, which uses sockets: sends part by part at the rate of the link.
static void send_response(World& world, link::Link& link, const std::string& host, bool control,
                          const std::shared_ptr<PendingExchange>& exchange) {
  constexpr Duration kWriteTimeout(10000);
  const link::LinkUse use{&link, control ? link::TrafficClass::control : link::TrafficClass::clients};
  const TimePoint since = world.now();
  size_t remaining = exchange->response.body.size();
  if (control) use.count_sent(remaining);
  do {
    const size_t part = control ? remaining : std::min(remaining, use.outbound_part_bytes());
    if (!control && !use.await_outbound(part, since, remaining, kWriteTimeout)) return;
    remaining -= part;
    world.transmit(host, "", part, Duration(0), [&world, exchange, is_last = remaining == 0] {
      exchange->done |= is_last;
      if (is_last) world.notify(exchange->wait);
    });
  } while (remaining > 0);
}

// One HTTP exchange with a host: lost when its process dies or does not respond.
static std::shared_ptr<PendingExchange> run_exchange(World& world, const FleetShape& shape,
                                                     const ProcessRunPtr& out, Host& host,
                                                     base::Request request, bool control, Duration timeout) {
  auto v = std::make_shared<PendingExchange>();
  auto qp = std::make_shared<base::Request>(std::move(request));
  auto* node = host.node.get();
  auto* ctl = host.router.get();
  auto go = std::make_shared<std::function<void()>>();
  *go = [&world, &shape, v, qp, node, ctl, control, link = host.link.get(), process = host.process, go] {
    if (process->dead) return;
    if (world.frozen(process->host)) return world.after(Duration(50), *go);
    world.spawn(process, [&world, &shape, v, qp, node, ctl, control, link, host_name = process->host] {
      v->read = true;
      FleetShape::Handler product = [ctl](base::Request& x) { return ctl->handle(x); };
      v->response = !control          ? node->handle(*qp)
                    : shape.translate ? shape.translate(*qp, product)
                                      : product(*qp);
      send_response(world, *link, host_name, control, v);
    });
  };
  world.transmit("", host.name, qp->body.size(), Duration(1), *go);
  auto end = world.now() + timeout;
  while (!v->done && world.now() < end && !host.process->dead)
    world.wait(out, std::min<Duration>(end - world.now(), Duration(200)), v->wait);
  v->lost = !v->done;
  return v;
}

std::variant<base::Response, base::AttemptError> SimOrigin::relay(const std::string& name,
                                                                  const base::Request& request,
                                                                  Duration limit) {
  auto& world = fleet_.world_;
  auto& host = fleet_.at(name);
  bool lost = world.is_partitioned(process_->host, name) || world.is_partitioned(name, process_->host) ||
              world.random(world.network.loss_permille);
  Wait x;
  if (lost || !host.up())
    return world.wait(process_, lost ? limit : Duration(1), x),
           lost ? base::AttemptError::unknown : base::AttemptError::not_sent;
  auto v = run_exchange(world, fleet_.shape_, process_, host, request, true, limit);
  if (v->lost) return base::AttemptError::unknown;
  return v->response;
}

OperatorResponse Fleet::operator_call(const std::string& method, const std::string& target,
                                      const std::string& body, base::Headers headers) {
  auto* host = random_host(false);
  if (!host) return {0, {}, {}, true};
  if (target == "/v1/beats" && breaks(host->name, "beats"))
    return ++world_.fault_counts["beat_unheard"], OperatorResponse{0, {}, {}, true};
  auto v = run_exchange(world_, shape_, outside_process_, *host,
                        {"", method, target, body, std::move(headers)}, true, Duration(5000));
  if (v->lost) return {0, {}, {}, true};
  return {v->response.status, v->response.body, base::header(v->response.headers, "ETag"), false, host->name};
}

Exchange Fleet::exchange(Host& to, base::Request request, bool control, Duration timeout) {
  if (!to.up()) return sleep(Duration(1)), Exchange{};
  auto v = run_exchange(world_, shape_, outside_process_, to, std::move(request), control, timeout);
  return {!v->lost, v->read, v->response};
}

int Fleet::call(const std::string& method, const std::string& target, const std::string& body, Host* to) {
  auto* host = to ? to : random_host(true);
  if (!host) host = random_host(false);
  if (!host) return 0;
  base::Request request{"", method, target, body, {}};
  auto id = fmt::format("c{}", ++next_request_id_);
  request.headers.emplace_back("Caller-Id", id);
  auto from = world_.now().count();
  world_.journal.push_back(
      fmt::format(R"({{"t":"ask","id":"{}","method":"{}","target":"{}","in":"{}","at":{},"relay":"{}"}})", id,
                  method, target, base::sha256_base64(body), from, host->name));
  ++calls;
  auto v = run_exchange(world_, shape_, outside_process_, *host, std::move(request), false, Duration(10000));
  if (v->lost) {
    world_.journal.push_back(fmt::format(R"({{"t":"lost","id":"{}","from":{},"at":{},"relay":"{}"}})", id,
                                         from, world_.now().count(), host->name));
    return 0;
  }
  auto& response = v->response;
  good += response.status < 400;
  int64_t produced = -1;
  if (auto i = response.body.find("\"produced\":"); response.status == 200 && i != std::string::npos)
    produced = std::strtoll(response.body.c_str() + i + 11, nullptr, 10);
  world_.journal.push_back(fmt::format(
      R"({{"t":"got","id":"{}","status":{},"outcome":"{}","out":"{}","produced":{},"gen":"{}","retry_after":"{}","from":{},"at":{},"relay":"{}","why":{}}})",
      id, response.status, base::header(response.headers, "Dunlinwing-Outcome"),
      base::sha256_base64(response.body), produced, base::header(response.headers, "Dunlinwing-Generation"),
      base::header(response.headers, "Retry-After"), from, world_.now().count(), host->name,
      response.status < 400 ? "\"\"" : base::quote(response.body)));
  return response.status;
}

void Fleet::generate_requests(int per_second, TimePoint until, std::function<void()> one) {
  spawn_outside([this, per_second, until, one] {
    while (world_.now() < until) {
      spawn_outside(one);
      sleep(Duration(1000 / per_second));
    }
  });
}

void Fleet::event(const std::string& f) {
  world_.journal.push_back(fmt::format("{{{},\"at\":{}}}", f, world_.now().count()));
}

void Fleet::kill_all() {
  world_.kill(outside_process_);
  for (auto& host : hosts_) kill(host->name);
}

}  // namespace dunlinwing::simulation
