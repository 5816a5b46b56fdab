// Hosts keep their platters over restarts; everything else of a process is
// made anew. A killed process is buried once its last fiber has unwound.
#include "simulation/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "simulation/origin.hpp"

namespace dunlinwing::simulation {

struct Fleet::Grave {
  Host h;
};

FleetShape lobby_shape() {
  FleetShape s;
  s.edges = 9;
  s.first = 4;
  s.second = 6;
  s.far = Duration(2);
  return s;
}

// Half a millisecond between zones is none or one on a clock of milliseconds.
FleetShape practice_shape() {
  auto s = lobby_shape();
  s.second = 7;
  s.near = Duration(0);
  s.far = Duration(1);
  return s;
}

Fleet::Fleet(World& w, FleetShape s) : w_(w), s_(s), out_(std::make_shared<Life>()) {
  out_->host = "outside";
  w.weather = calm();
  for (int i = 0; i < s.holders + s.edges; ++i) {
    auto h = std::make_unique<Host>();
    h->holder = i < s.holders;
    h->shield = h->holder && i >= s.holders - 2;
    h->name = fmt::format("{}{}", h->holder ? "h" : "e", h->holder ? i + 1 : i - s.holders + 1);
    h->zone = std::string(1, static_cast<char>('a' + i % 3));
    h->address = "peer:" + h->name;
    h->wall = s.wall0;
    hosts_.push_back(std::move(h));
  }
  for (int i = 0; i < s.spares; ++i) {
    auto h = std::make_unique<Host>();
    h->spare = true;
    h->name = fmt::format("x{}", i + 1);
    h->zone = std::string(1, static_cast<char>('a' + i % 3));
    h->address = "peer:" + h->name;
    h->wall = s.wall0;
    hosts_.push_back(std::move(h));
  }
}

Fleet::~Fleet() = default;

Host& Fleet::at(const std::string& n) {
  for (auto& h : hosts_)
    if (h->name == n) return *h;
  throw std::logic_error("no host " + n);
}

void Fleet::start(const std::string& n) {
  auto& h = at(n);
  if (h.up()) return;
  h.life = std::make_shared<Life>();
  h.life->host = n;
  h.clock = std::make_unique<Clock>(w_, h.life, &h.wall);
  h.random = std::make_unique<Random>(w_);
  h.tasks = std::make_unique<Tasks>(w_, h.life);
  h.net = std::make_unique<Net>(w_, h.life, dir_);
  h.origin = std::make_unique<SimOrigin>(*this, h.life);
  h.ports.reset(new base::Ports{*h.clock, *h.random, *h.tasks, *h.net, *h.origin});
  if (h.holder || h.spare) h.disk = std::make_unique<Disk>(w_, h.life, h.platter);
  relay::NodeConfig c;
  c.name = n;
  c.zone = h.zone;
  c.peer_address = h.address;
  c.http_address = "http:" + n;
  c.shield = h.shield;
  c.bound = s_.bound;
  c.scale = s_.scale;
  c.first_start = s_.seeded ? !h.begun && !old_ : true;
  c.tolerate = s_.tolerate;
  if (s_.seeded) c.seeds = {"http:h1", "http:h2", "http:h3"};
  if (s_.settings) s_.settings(c);
  h.begun = true;
  for (auto& x : hosts_)
    if (x->holder && !s_.seeded) c.holders.push_back({x->name, x->address});
  h.node = std::make_unique<relay::Node>(*h.ports, c, h.disk.get());
  h.control = std::make_unique<control_api::Control>(*h.ports, *h.node);
  auto* node = h.node.get();
  dir_[h.address] = {n, h.life, [node](const pb::Ask& a) {
                       if (!a.has_carry()) return node->answer(a);
                       pb::Reply r;
                       *r.mutable_carry() = node->carry(a.carry());
                       return r;
                     }};
  w_.spawn(h.life, [node] { node->start(); });
}

void Fleet::start_all() {
  for (auto& h : hosts_) start(h->name);
  old_ = true;
}

void Fleet::kill(const std::string& n) {
  auto& h = at(n);
  if (!h.up()) return;
  ++w_.met["kill"];
  event(fmt::format(R"("t":"killed","machine":"{}")", n));
  w_.kill(h.life);
  auto g = std::make_unique<Grave>();
  g->h.life = h.life;
  g->h.clock = std::move(h.clock);
  g->h.random = std::move(h.random);
  g->h.tasks = std::move(h.tasks);
  g->h.net = std::move(h.net);
  g->h.origin = std::move(h.origin);
  g->h.ports = std::move(h.ports);
  g->h.disk = std::move(h.disk);
  g->h.node = std::move(h.node);
  g->h.control = std::move(h.control);
  graves_.push_back(std::move(g));
}

void Fleet::wipe(const std::string& n) {
  ++w_.met["lost_disk"];
  // What a dying process still writes must not land on the new disk.
  w_.after(Duration(1), [this, n] { at(n).platter.files.clear(); });
}

void Fleet::cut_off(const std::string& n) {
  for (auto& h : hosts_)
    if (h->name != n) {
      w_.cut(n, h->name);
      w_.cut(h->name, n);
    }
}

bool Fleet::breaks(const std::string& n, const std::string& what) {
  return s_.breaks == what && at(n).up() && at(n).node->release() == s_.broken;
}

Host* Fleet::some(bool only_ready) {
  std::vector<Host*> v;
  for (auto& h : hosts_)
    if (h->up() && !w_.frozen(h->name) && (!only_ready || h->node->ready())) v.push_back(h.get());
  return v.empty() ? nullptr : v[w_.below(v.size())];
}

Worker& Fleet::add_worker(const std::string& service, const std::string& version, int64_t max_age) {
  auto x = std::make_unique<Worker>();
  x->service = service;
  x->version = version;
  x->zone = std::string(1, static_cast<char>('a' + workers_.size() % 3));
  x->instance = fmt::format("i{}", workers_.size() + 1);
  x->address = fmt::format("10.0.0.{}:80", workers_.size() + 1);
  x->max_age = max_age;
  auto* p = x.get();
  workers_.push_back(std::move(x));
  outside([this, p] {
    while (p->alive) {
      if (!p->foreign) beat(*p);
      if (p->leaving && p->left) return;
      sleep(Duration(p->period_ms));
    }
  });
  return *p;
}

void Fleet::beat(Worker& x) {
  auto body = fmt::format(
      R"({{"service":"{}","version":"{}","instance":"{}","zone":"{}","address":"{}","capacity":16,"leaving":{},"number":{},"period_ms":{},"cold_ms":{}}})",
      x.service, x.version, x.instance, x.zone, x.address, x.leaving, ++x.beats, x.period_ms,
      std::max<int64_t>(0, (x.warm_at - w_.now()).count()));
  bool leaving = x.leaving;
  for (int i = 0; i < 3 && x.alive; ++i) {
    auto t = tell("POST", "/v1/beats", body);
    if (t.status != 200) continue;
    if (leaving)
      w_.journal.push_back(
          fmt::format(R"({{"t":"leaving","instance":"{}","at":{}}})", x.instance, w_.now().count()));
    if (leaving && x.left) x.left(t.by);
    return;
  }
}

void Fleet::outside(std::function<void()> f) { w_.spawn(out_, std::move(f)); }

void Fleet::sleep(Duration s) {
  Wait x;
  w_.wait(out_, s, x);
}

bool Fleet::until(Duration most, const std::function<bool()>& f) {
  auto end = w_.now() + most;
  while (!f()) {
    if (w_.now() >= end) return false;
    sleep(Duration(50));
  }
  return true;
}

namespace {
struct Visit {
  bool done = false, lost = false, read = false;
  base::Response r;
  Wait wait;
};
}  // namespace

// One HTTP exchange with a host: lost when its process dies or never answers.
static std::shared_ptr<Visit> visit(World& w, const FleetShape& s, const LifePtr& out, Host& h,
                                    base::Request q, bool control, Duration most) {
  auto v = std::make_shared<Visit>();
  auto qp = std::make_shared<base::Request>(std::move(q));
  auto* node = h.node.get();
  auto* ctl = h.control.get();
  auto go = std::make_shared<std::function<void()>>();
  *go = [&w, &s, v, qp, node, ctl, control, life = h.life, go] {
    if (life->dead) return;
    if (w.frozen(life->host)) return w.after(Duration(50), *go);
    w.spawn(life, [&w, &s, v, qp, node, ctl, control] {
      v->read = true;
      FleetShape::Handler product = [ctl](base::Request& x) { return ctl->answer(x); };
      v->r = !control ? node->serve(*qp) : s.before ? s.before(*qp, product) : product(*qp);
      v->done = true;
      w.notify(v->wait);
    });
  };
  w.after(Duration(1), *go);
  auto end = w.now() + most;
  while (!v->done && w.now() < end && !h.life->dead)
    w.wait(out, std::min<Duration>(end - w.now(), Duration(200)), v->wait);
  v->lost = !v->done;
  return v;
}

std::variant<base::Response, base::AttemptError> SimOrigin::relay(const std::string& name,
                                                                  const base::Request& q, Duration limit) {
  auto& w = f_.w_;
  auto& h = f_.at(name);
  bool lost = w.cut_off(l_->host, name) || w.cut_off(name, l_->host) || w.random(w.weather.loss_permille);
  Wait x;
  if (lost || !h.up())
    return w.wait(l_, lost ? limit : Duration(1), x),
           lost ? base::AttemptError::unknown : base::AttemptError::unsent;
  auto v = visit(w, f_.s_, l_, h, q, true, limit);
  if (v->lost) return base::AttemptError::unknown;
  return v->r;
}

Told Fleet::tell(const std::string& method, const std::string& target, const std::string& body,
                 std::vector<std::pair<std::string, std::string>> hs) {
  auto* h = some(false);
  if (!h) return {0, {}, {}, true};
  if (target == "/v1/beats" && breaks(h->name, "beats"))
    return ++w_.met["beat_unheard"], Told{0, {}, {}, true};
  auto v = visit(w_, s_, out_, *h, {"", method, target, body, std::move(hs)}, true, Duration(5000));
  if (v->lost) return {0, {}, {}, true};
  return {v->r.status, v->r.body, base::header(v->r.headers, "ETag"), false, h->name};
}

Exchange Fleet::exchange(Host& to, base::Request q, bool control, Duration most) {
  if (!to.up()) return sleep(Duration(1)), Exchange{};
  auto v = visit(w_, s_, out_, to, std::move(q), control, most);
  return {!v->lost, v->read, v->r};
}

int Fleet::call(const std::string& method, const std::string& target, const std::string& body, Host* to) {
  auto* h = to ? to : some(true);
  if (!h) h = some(false);
  if (!h) return 0;
  base::Request q{"", method, target, body, {}};
  auto id = fmt::format("c{}", ++named_);
  q.headers.emplace_back("Caller-Id", id);
  auto from = w_.now().count();
  w_.journal.push_back(
      fmt::format(R"({{"t":"ask","id":"{}","method":"{}","target":"{}","in":"{}","at":{},"relay":"{}"}})", id,
                  method, target, base::sha256_base64(body), from, h->name));
  ++calls;
  auto v = visit(w_, s_, out_, *h, std::move(q), false, Duration(10000));
  if (v->lost) {
    w_.journal.push_back(fmt::format(R"({{"t":"lost","id":"{}","from":{},"at":{},"relay":"{}"}})", id, from,
                                     w_.now().count(), h->name));
    return 0;
  }
  auto& r = v->r;
  good += r.status < 400;
  int64_t produced = -1;
  if (auto i = r.body.find("\"produced\":"); r.status == 200 && i != r.body.npos)
    produced = std::strtoll(r.body.c_str() + i + 11, nullptr, 10);
  w_.journal.push_back(fmt::format(
      R"({{"t":"got","id":"{}","status":{},"outcome":"{}","out":"{}","produced":{},"gen":"{}","retry_after":"{}","from":{},"at":{},"relay":"{}","why":{}}})",
      id, r.status, base::header(r.headers, "Dunlinwing-Outcome"), base::sha256_base64(r.body), produced,
      base::header(r.headers, "Dunlinwing-Generation"), base::header(r.headers, "Retry-After"), from,
      w_.now().count(), h->name, r.status < 400 ? "\"\"" : base::quote(r.body)));
  return r.status;
}

void Fleet::callers(int per_second, TimePoint until, std::function<void()> one) {
  outside([this, per_second, until, one] {
    while (w_.now() < until) {
      outside(one);
      sleep(Duration(1000 / per_second));
    }
  });
}

void Fleet::event(const std::string& f) {
  w_.journal.push_back(fmt::format("{{{},\"at\":{}}}", f, w_.now().count()));
}

void Fleet::end() {
  w_.kill(out_);
  for (auto& h : hosts_) kill(h->name);
}

}  // namespace dunlinwing::simulation
