// The processor time of a node covers its code, the codec and the event list; real sockets
// cost more (sockets.cpp). Bytes include the frame header, but no TCP or IP headers.
#include "hollow.hpp"

#include <fmt/format.h>
#include <time.h>
#include <unistd.h>

#include <fstream>

namespace dunlinwing::measure {
namespace {
constexpr size_t kFrame = 4;  // length prefix of each message
constexpr uint64_t kSample = 16;

class HollowTransport final : public base::PeerTransport {
 public:
  HollowTransport(HollowFleet& f, Node& me, simulation::ProcessRunPtr process)
      : f_(f), me_(me), process_(std::move(process)) {}
  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& address,
                                                       const pb::PeerRequest& request,
                                                       const base::CallRules& rules) override {
    auto t = std::make_shared<PendingCall>();
    auto to = f_.by.find(address);
    auto& world = f_.world;
    auto text = request.SerializeAsString();
    count(me_, text.size());
    if (++f_.asks % kSample == 0 && request.has_pull()) sample_pull(request.pull());
    if (to != f_.by.end() && !f_.cut(me_, *to->second))
      world.after(draw_latency(),
                  [this, t, n = to->second, text = std::move(text)] { receive_request(t, *n, text); });
    TimePoint end = world.now() + rules.timeout;
    while (!t->reply && !t->refused && world.now() < end) world.wait(process_, end - world.now(), t->wait);
    if (!t->reply) return t->refused ? base::PeerError::unreachable : base::PeerError::timed_out;
    pb::PeerResponse response;
    response.ParseFromString(*t->reply);
    return response;
  }

 private:
  struct PendingCall {
    std::optional<std::string> reply;
    bool refused = false;
    simulation::Wait wait;
  };
  void count(Node& n, size_t bytes) {
    ++n.link_traffic.messages;
    n.link_traffic.bytes += bytes + kFrame;
  }
  void sample_pull(const pb::PullRequest& p) {
    f_.split.own += p.own_status().ByteSizeLong();
    f_.split.marks += p.ByteSizeLong() - p.own_status().ByteSizeLong();
  }
  void sample_pull(const pb::PullResponse& r) {
    for (auto& status : r.statuses()) f_.split.statuses += status.ByteSizeLong();
    for (auto& state : r.registers()) f_.split.slots += state.ByteSizeLong();
  }
  Duration draw_latency() {
    auto most = static_cast<uint64_t>((f_.s.max_latency - f_.s.min_latency).count());
    return f_.s.min_latency + Duration(f_.world.below(most + 1));
  }
  void send_reply(const std::shared_ptr<PendingCall>& t, Node& from, std::optional<std::string> r) {
    if (f_.cut(me_, from)) return;
    f_.world.after(draw_latency(), [this, t, r = std::move(r)]() mutable {
      if (r) count(me_, r->size());
      t->refused = !r;
      t->reply = std::move(r);
      f_.world.notify(t->wait);
    });
  }
  void receive_request(const std::shared_ptr<PendingCall>& t, Node& n, const std::string& text) {
    if (!n.up()) return send_reply(t, n, {});
    count(n, text.size());
    f_.world.spawn(n.life(), [this, t, &n, text] {
      auto from = cpu_ns();
      pb::PeerRequest q;
      q.ParseFromString(text);
      auto response = n.relay().handle_peer_request(q);
      auto out = response.SerializeAsString();
      if (q.has_pull()) {
        n.answer_ns += cpu_ns() - from;  // handling a pull never suspends, so this is its own processor time
        if (++f_.answers % kSample == 0) sample_pull(response.pull());
      }
      count(n, out.size());
      send_reply(t, n, std::move(out));
    });
  }
  HollowFleet& f_;
  Node& me_;
  simulation::ProcessRunPtr process_;
};

class NoOrigin final : public base::Origin {
 public:
  bool can_connect(const std::string&, Duration) override { return true; }
  std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                        const base::AttemptRules&) override {
    return base::AttemptError::not_sent;
  }
};
}  // namespace

struct NodeProcess {
  simulation::ProcessRunPtr life;
  simulation::Clock clock;
  simulation::Random random;
  simulation::Tasks tasks;
  HollowTransport net;
  NoOrigin origin;
  base::Ports ports;
  std::unique_ptr<simulation::Disk> disk;
  std::unique_ptr<node::Node> node;
  std::unique_ptr<control_api::Router> control;

  NodeProcess(HollowFleet& f, Node& n, simulation::ProcessRunPtr process, const node::NodeConfig& config)
      : life(process),
        clock(f.world, process, &n.wall),
        random(f.world),
        tasks(f.world, process),
        net(f, n, process),
        ports{clock, random, tasks, net, origin},
        disk(n.replica ? std::make_unique<simulation::Disk>(f.world, process, n.disk_contents) : nullptr),
        node(std::make_unique<node::Node>(ports, config, disk.get())),
        control(std::make_unique<control_api::Router>(ports, *node)) {}
};

bool Node::up() const { return proc && !proc->life->dead; }
node::Node& Node::relay() const { return *proc->node; }
control_api::Router& Node::control() const { return *proc->control; }
const simulation::ProcessRunPtr& Node::life() const { return proc->life; }
base::Ports& Node::ports() const { return proc->ports; }

HollowFleet::HollowFleet(simulation::World& world, Shape shape)
    : world(world), s(shape), out(std::make_shared<simulation::ProcessRun>()) {
  out->host = "outside";
  for (int i = 0; i < s.nodes; ++i) {
    auto n = std::make_unique<Node>();
    n->replica = i < s.replicas;
    n->name = fmt::format("{}{}", n->replica ? "h" : "e", i + 1);
    auto z = i % s.zones;
    n->region = z % s.regions;
    n->zone = fmt::format("r{}z{}", n->region, z);
    n->address = fmt::format("10.{}.{}.{}:7000", n->region, i / 250, i % 250 + 1);
    n->wall = 1700000000000;
    by[n->address] = n.get();
    nodes.push_back(std::move(n));
  }
}
HollowFleet::~HollowFleet() = default;

void HollowFleet::start(Node& n) {
  if (n.up()) return;
  auto process = std::make_shared<simulation::ProcessRun>();
  process->host = n.name;
  node::NodeConfig config;
  config.name = n.name;
  config.zone = n.zone;
  config.peer_address = n.address;
  config.control_address = n.address;
  config.bound = s.bound;
  config.scale = 600;
  for (auto& x : nodes)
    if (x->replica) config.replicas.push_back({x->name, x->address});
  n.proc = std::make_shared<NodeProcess>(*this, n, process, config);
  world.spawn(process, [p = n.proc.get()] { p->node->start(); });
}

// Spreads the starts, and so the pulls, over 250 ms.
void HollowFleet::start_all() {
  for (auto& n : nodes) world.after(Duration(world.below(250)), [this, p = n.get()] { start(*p); });
}

void HollowFleet::kill(Node& n) {
  if (!n.up()) return;
  world.kill(n.life());
  killed_processes.push_back(n.proc);
}

void HollowFleet::end() {
  world.kill(out);
  for (auto& n : nodes) kill(*n);
}

void HollowFleet::outside(std::function<void()> f) { world.spawn(out, std::move(f)); }

void HollowFleet::sleep(Duration d) {
  simulation::Wait x;
  world.wait(out, d, x);
}

bool HollowFleet::wait_until(Duration most, const std::function<bool()>& f) {
  auto end = world.now() + most;
  while (!f()) {
    if (world.now() >= end) return false;
    sleep(Duration(10));
  }
  return true;
}

bool HollowFleet::run_on_node(Node& n, Duration most, std::function<void()> f) {
  if (!n.up()) return false;
  auto done = std::make_shared<bool>(false);
  world.spawn(n.life(), [done, f = std::move(f)] {
    f();
    *done = true;
  });
  return wait_until(most, [&] { return *done; });
}

Node& HollowFleet::random_running_node() {
  for (;;)
    if (auto& n = *nodes[world.below(nodes.size())]; n.up()) return n;
}

bool HollowFleet::all_up() {
  for (auto& n : nodes)
    if (!n->up()) return false;
  return true;
}

bool HollowFleet::all_have_read_leases() {
  for (auto& n : nodes)
    if (n->up() && !n->relay().state_cache().has_read_lease()) return false;
  return true;
}

bool HollowFleet::all_run(const std::string& configuration) {
  for (auto& n : nodes)
    if (n->up() && n->relay().configuration_name() != configuration) return false;
  return true;
}

void HollowFleet::send_heartbeats(int backends, Duration period) {
  for (int i = 0; i < backends; ++i) {
    auto* n = nodes[static_cast<size_t>(i) % nodes.size()].get();
    outside([this, i, n, period] {
      sleep(Duration(world.below(static_cast<uint64_t>(period.count()))));
      for (uint64_t k = 1;; ++k, sleep(period)) {
        if (!n->up()) continue;
        pb::Heartbeat heartbeat;
        heartbeat.set_service(i % 2 ? "app" : "content");
        heartbeat.set_version("1");
        heartbeat.set_instance(fmt::format("i-{:05}", i));
        heartbeat.set_zone(n->zone);
        heartbeat.set_address(fmt::format("10.200.{}.{}:8080", i / 250, i % 250));
        heartbeat.set_capacity(16);
        heartbeat.set_sequence(k);
        heartbeat.set_period_ms(static_cast<uint32_t>(period.count()));
        world.spawn(n->life(), [this, n, heartbeat] {
          ++(n->relay().accept_heartbeat(heartbeat, [](const std::string&) { return false; })
                 ? heartbeats_accepted
                 : heartbeats_rejected);
        });
      }
    });
  }
}

uint64_t cpu_ns() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<uint64_t>(t.tv_sec) * 1000000000 + static_cast<uint64_t>(t.tv_nsec);
}

uint64_t resident() {
  std::ifstream f("/proc/self/statm");
  uint64_t all = 0, in = 0;
  f >> all >> in;
  return in * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace dunlinwing::measure
