// Processor time at a node is what its code, the codec and the event list spend; real
// sockets cost more (sockets.cpp). The bytes are those of a frame, without
// the headers of TCP and IP.
#include "hollow.hpp"

#include <fmt/format.h>
#include <time.h>
#include <unistd.h>

#include <fstream>

namespace dunlinwing::measure {
namespace {
constexpr size_t kFrame = 4;  // length before each message
constexpr uint64_t kSample = 16;

class HollowNet final : public base::Net {
 public:
  HollowNet(Hollow& f, Node& me, simulation::LifePtr l) : f_(f), me_(me), l_(std::move(l)) {}
  std::variant<pb::Reply, base::NetError> ask(const std::string& addr, const pb::Ask& a,
                                              Duration limit) override {
    auto t = std::make_shared<Talk>();
    auto to = f_.by.find(addr);
    auto& w = f_.w;
    auto text = a.SerializeAsString();
    count(me_, text.size());
    if (++f_.asks % kSample == 0 && a.has_pull()) look(a.pull());
    if (to != f_.by.end() && !f_.cut(me_, *to->second))
      w.after(way(), [this, t, n = to->second, text = std::move(text)] { arrive(t, *n, text); });
    TimePoint end = w.now() + limit;
    while (!t->reply && !t->refused && w.now() < end) w.wait(l_, end - w.now(), t->wait);
    if (!t->reply) return t->refused ? base::NetError::unreachable : base::NetError::timed_out;
    pb::Reply r;
    r.ParseFromString(*t->reply);
    return r;
  }

 private:
  struct Talk {
    std::optional<std::string> reply;
    bool refused = false;
    simulation::Wait wait;
  };
  void count(Node& n, size_t bytes) {
    ++n.toll.messages;
    n.toll.bytes += bytes + kFrame;
  }
  void look(const pb::Pull& p) {
    f_.split.own += p.own().ByteSizeLong();
    f_.split.marks += p.ByteSizeLong() - p.own().ByteSizeLong();
  }
  void look(const pb::PullReply& r) {
    for (auto& n : r.statuses()) f_.split.statuses += n.ByteSizeLong();
    for (auto& s : r.slots()) f_.split.slots += s.ByteSizeLong();
  }
  Duration way() {
    auto most = static_cast<uint64_t>((f_.s.far - f_.s.near).count());
    return f_.s.near + Duration(f_.w.below(most + 1));
  }
  void back(const std::shared_ptr<Talk>& t, Node& from, std::optional<std::string> r) {
    if (f_.cut(me_, from)) return;
    f_.w.after(way(), [this, t, r = std::move(r)]() mutable {
      if (r) count(me_, r->size());
      t->refused = !r;
      t->reply = std::move(r);
      f_.w.notify(t->wait);
    });
  }
  void arrive(const std::shared_ptr<Talk>& t, Node& n, const std::string& text) {
    if (!n.up()) return back(t, n, {});
    count(n, text.size());
    f_.w.spawn(n.life(), [this, t, &n, text] {
      auto from = cpu_ns();
      pb::Ask q;
      q.ParseFromString(text);
      auto r = n.relay().answer(q);
      auto out = r.SerializeAsString();
      if (q.has_pull()) {
        n.answer_ns += cpu_ns() - from;  // a pull parks nowhere
        if (++f_.answers % kSample == 0) look(r.pull());
      }
      count(n, out.size());
      back(t, n, std::move(out));
    });
  }
  Hollow& f_;
  Node& me_;
  simulation::LifePtr l_;
};

class NoOrigin final : public base::Origin {
 public:
  bool reach(const std::string&, Duration) override { return true; }
  std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                        const base::AttemptRules&) override {
    return base::AttemptError::unsent;
  }
};
}  // namespace

struct Proc {
  simulation::LifePtr life;
  simulation::Clock clock;
  simulation::Random random;
  simulation::Tasks tasks;
  HollowNet net;
  NoOrigin origin;
  base::Ports ports;
  std::unique_ptr<simulation::Disk> disk;
  std::unique_ptr<relay::Node> node;
  std::unique_ptr<control_api::Control> control;

  Proc(Hollow& f, Node& n, simulation::LifePtr l, const relay::NodeConfig& c)
      : life(l),
        clock(f.w, l, &n.wall),
        random(f.w),
        tasks(f.w, l),
        net(f, n, l),
        ports{clock, random, tasks, net, origin},
        disk(n.holder ? std::make_unique<simulation::Disk>(f.w, l, n.platter) : nullptr),
        node(std::make_unique<relay::Node>(ports, c, disk.get())),
        control(std::make_unique<control_api::Control>(ports, *node)) {}
};

bool Node::up() const { return proc && !proc->life->dead; }
relay::Node& Node::relay() const { return *proc->node; }
control_api::Control& Node::control() const { return *proc->control; }
const simulation::LifePtr& Node::life() const { return proc->life; }
base::Ports& Node::ports() const { return proc->ports; }

Hollow::Hollow(simulation::World& world, Shape shape)
    : w(world), s(shape), out(std::make_shared<simulation::Life>()) {
  out->host = "outside";
  for (int i = 0; i < s.nodes; ++i) {
    auto n = std::make_unique<Node>();
    n->holder = i < s.holders;
    n->name = fmt::format("{}{}", n->holder ? "h" : "e", i + 1);
    auto z = i % s.zones;
    n->region = z % s.regions;
    n->zone = fmt::format("r{}z{}", n->region, z);
    n->address = fmt::format("10.{}.{}.{}:7000", n->region, i / 250, i % 250 + 1);
    n->wall = 1700000000000;
    by[n->address] = n.get();
    nodes.push_back(std::move(n));
  }
}
Hollow::~Hollow() = default;

void Hollow::start(Node& n) {
  if (n.up()) return;
  auto l = std::make_shared<simulation::Life>();
  l->host = n.name;
  relay::NodeConfig c;
  c.name = n.name;
  c.zone = n.zone;
  c.peer_address = n.address;
  c.http_address = n.address;
  c.bound = s.bound;
  c.scale = 600;
  for (auto& x : nodes)
    if (x->holder) c.holders.push_back({x->name, x->address});
  n.proc = std::make_shared<Proc>(*this, n, l, c);
  w.spawn(l, [p = n.proc.get()] { p->node->start(); });
}

// Not in one instant: a fleet's pulls are spread over their span.
void Hollow::start_all() {
  for (auto& n : nodes) w.after(Duration(w.below(250)), [this, p = n.get()] { start(*p); });
}

void Hollow::kill(Node& n) {
  if (!n.up()) return;
  w.kill(n.life());
  graves.push_back(n.proc);
}

void Hollow::end() {
  w.kill(out);
  for (auto& n : nodes) kill(*n);
}

void Hollow::outside(std::function<void()> f) { w.spawn(out, std::move(f)); }

void Hollow::sleep(Duration d) {
  simulation::Wait x;
  w.wait(out, d, x);
}

bool Hollow::until(Duration most, const std::function<bool()>& f) {
  auto end = w.now() + most;
  while (!f()) {
    if (w.now() >= end) return false;
    sleep(Duration(10));
  }
  return true;
}

bool Hollow::on(Node& n, Duration most, std::function<void()> f) {
  if (!n.up()) return false;
  auto done = std::make_shared<bool>(false);
  w.spawn(n.life(), [done, f = std::move(f)] {
    f();
    *done = true;
  });
  return until(most, [&] { return *done; });
}

Node& Hollow::some() {
  for (;;)
    if (auto& n = *nodes[w.below(nodes.size())]; n.up()) return n;
}

bool Hollow::all_up() {
  for (auto& n : nodes)
    if (!n->up()) return false;
  return true;
}

bool Hollow::fresh() {
  for (auto& n : nodes)
    if (n->up() && !n->relay().state_cache().fresh()) return false;
  return true;
}

bool Hollow::serving(const std::string& layout) {
  for (auto& n : nodes)
    if (n->up() && n->relay().release() != layout) return false;
  return true;
}

void Hollow::beats(int workers, Duration period) {
  for (int i = 0; i < workers; ++i) {
    auto* n = nodes[static_cast<size_t>(i) % nodes.size()].get();
    outside([this, i, n, period] {
      sleep(Duration(w.below(static_cast<uint64_t>(period.count()))));
      for (uint64_t k = 1;; ++k, sleep(period)) {
        if (!n->up()) continue;
        pb::Beat b;
        b.set_service(i % 2 ? "app" : "content");
        b.set_version("1");
        b.set_instance(fmt::format("i-{:05}", i));
        b.set_zone(n->zone);
        b.set_address(fmt::format("10.200.{}.{}:8080", i / 250, i % 250));
        b.set_capacity(16);
        b.set_number(k);
        b.set_period_ms(static_cast<uint32_t>(period.count()));
        w.spawn(n->life(), [this, n, b] { ++(n->relay().beat(b) ? beats_taken : beats_missed); });
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
