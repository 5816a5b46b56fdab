// An answer is made once, written down with its stamp, and only then spoilt, cut or
// lost on its way.
#include "platform/yard.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace dunlinwing::test {
namespace {
constexpr Duration kBeat{1500}, kDrain{2000}, kAck{4000};

std::string stamp(const std::string& of) { return fmt::format("sig.{:x}", std::hash<std::string>()(of)); }

struct Busy {
  int& n;
  explicit Busy(int& c) : n(c) { ++n; }
  ~Busy() { --n; }
};
}  // namespace

bool is_object(const std::string& t) { return t.starts_with("/obj/"); }

Server* Yard::at(const std::string& address) {
  for (auto& s : all_)
    if (s->alive && s->address == address) return s.get();
  return nullptr;
}

bool Yard::stands(const std::string& address) {
  auto* s = at(address);
  return s && !s->dark;
}

std::vector<Server*> Yard::of(const std::string& service, const std::string& version) {
  std::vector<Server*> out;
  for (auto& s : all_)
    if (s->alive && !s->draining && s->service == service && (version.empty() || s->version == version))
      out.push_back(s.get());
  return out;
}

Server& Yard::add(const std::string& service, const std::string& version, Duration cold,
                  const std::string& address) {
  auto n = ++named_;
  auto s = std::make_unique<Server>();
  s->id = fmt::format("i-{}", n);
  s->service = service;
  s->version = version;
  s->zone = std::string(1, static_cast<char>('a' + n % 3));
  s->address = address.empty() ? fmt::format("10.9.0.{}:8080", n) : address;
  s->work = Duration(4 + 3 * (n % 4));
  s->warm_at = f_.world().now() + cold;
  s->tells_load = service == "huvo";
  s->resets_when_full = n % 5 == 1;
  auto* p = s.get();
  all_.push_back(std::move(s));
  f_.outside([this, p] { beats(*p); });
  return *p;
}

void Yard::beats(Server& s) {
  f_.sleep(Duration(f_.world().below(1400)));
  while (s.alive && !s.draining) {
    if (!s.dark) beat(s, "PUT");
    f_.sleep(kBeat);
  }
}

bool Yard::beat(Server& s, const char* method) {
  auto& w = f_.world();
  base::Request q;
  q.method = method;
  q.target = "/instances/" + s.id;
  bool draining = s.draining;
  auto cold = std::max<int64_t>(0, (s.warm_at - w.now()).count());
  if (q.method == "PUT")
    q.body = fmt::format(
        R"({{"backend":"{}","address":"{}","zone":"{}","revision":"{}","slots":{},"state":"{}","cold-remaining-s":{},"call-seq":{}}})",
        s.service, s.address, s.zone, s.version, s.slots, draining ? "draining" : "ready",
        static_cast<double>(cold) / 1000, ++s.calls);
  Duration pause{50};
  // An end is said for some seconds, a beat to a few nodes.
  TimePoint from = w.now();
  for (int i = 0; s.alive && (i < 5 || (draining && w.now() < from + kAck)); ++i) {
    auto& hosts = f_.hosts();
    auto& h = *hosts[w.below(hosts.size())];
    auto x = f_.exchange(h, q, true, Duration(1000));
    if (x.whole && x.receipt.status / 100 == 2) {
      if (draining || q.method == "DELETE") d_.left.push_back({s.id, h.name, w.now()});
      return true;
    }
    f_.sleep(pause);
    pause = std::min<Duration>(pause * 2, Duration(500));
  }
  return false;
}

void Yard::drain(Server& s) {
  s.draining = true;
  auto from = f_.world().now();
  if (!beat(s, "PUT") && s.alive) d_.late.push_back({"draining of " + s.id, from, f_.world().now()});
  f_.sleep(kDrain + Duration(400));
  beat(s, "DELETE");
  s.alive = false;
}

void Yard::crash(Server& s, bool dark) {
  d_.origin_trouble.push_back(f_.world().now());
  dark ? s.dark = true : s.alive = false;
}

void Yard::change(const std::string& t) { d_.replaced[t].push_back(f_.world().now()); }

base::Response Yard::answer(Server& s, const base::Request& q, bool fails) {
  auto h = [&](const char* n) { return base::header(q.headers, n); };
  auto id = h("Attempt-Id");
  Made m{id, q.target, {}, 0, is_object(q.target) && q.method == "GET", fails, f_.world().now()};
  base::Response r{fails ? 500 : 200, {}, {}};
  if (!id.empty()) r.headers.emplace_back("Attempt-Id", id);
  if (s.tells_load)
    r.headers.emplace_back("Server-Load", fmt::format("{},{},{}", s.running, s.waiting, s.slots));
  if (s.draining) r.headers.emplace_back("Connection", "close");
  if (m.object) m.version = d_.replaced[q.target].size();
  m.body = m.object ? fmt::format("{} {} {} {}", s.service, q.target, m.version, std::string(64, 'o'))
                    : fmt::format("{} {} {} {} {}", s.service, q.method, q.target, id, q.body);
  auto sig = stamp(m.body + (fails ? "failed" : ""));
  d_.made.emplace(sig, m);
  r.headers.emplace_back("Edge-Signature", sig);
  r.body = m.body;
  if (!m.object || fails) return r;
  auto tag = fmt::format("\"v{}\"", m.version);
  r.headers.emplace_back("ETag", tag);
  if (d_.tags.count(q.target)) r.headers.emplace_back("Object-Tags", d_.tags[q.target] + " tall");
  if (h("If-None-Match") == tag) return r.status = 304, r.body.clear(), r;
  auto range = h("Range");
  size_t first = 0, last = r.body.size() - 1;
  if (range.starts_with("bytes=")) {
    auto dash = range.find('-');
    std::from_chars(range.data() + 6, range.data() + dash, first);
    if (dash + 1 < range.size()) std::from_chars(range.data() + dash + 1, range.data() + range.size(), last);
    if (first >= r.body.size()) return r.status = 416, r.body.clear(), r;
    last = std::min(last, r.body.size() - 1);
    r.headers.emplace_back("Content-Range", fmt::format("bytes {}-{}/{}", first, last, r.body.size()));
    r.body = r.body.substr(first, last - first + 1);
    r.status = 206;
  }
  return r;
}

Yard::Shot Yard::send(const simulation::LifePtr& l, const std::string& address, const base::Request& q,
                      const base::AttemptRules& rules) {
  auto& w = f_.world();
  auto end = w.now() + rules.limit;
  auto sleep = [&](Duration t) {
    simulation::Wait x;
    w.wait(l, t, x);
  };
  sleep(Duration(1));
  auto* s = at(address);
  if (!s) return base::AttemptError::unsent;
  if (s->dark) {
    bool kept = w.below(3) == 0;  // on a connection that stood already it is sent into the dark
    sleep(kept ? rules.limit
               : std::min(rules.limit, rules.connect > Duration(0) ? rules.connect : rules.limit));
    return kept ? base::AttemptError::unknown : base::AttemptError::unsent;
  }
  auto h = [&](const char* n) { return base::header(q.headers, n); };
  auto name = s->id, meant = h("Target-Instance");
  bool other = !meant.empty() && meant != name;
  d_.arrivals.push_back({h("Attempt-Id"), q.method, h("Host"), q.target, q.body, s->service, s->version, name,
                         l->host, l.get(), w.now(), false, false, other});
  auto place = d_.arrivals.size() - 1;
  auto not_run = [&](int status) {
    ++w.met[fmt::format("not_run_{}", status)];
    base::Response r{status, {{"Not-Executed", "1"}}, {}};
    if (s->tells_load)
      r.headers.emplace_back("Server-Load", fmt::format("{},{},{}", s->running, s->waiting, s->slots));
    return r;
  };
  if (other) return ++w.met["elsewhere"], base::Response{421, {{"Instance-Id", name}}, {}};
  if (h("Attempt-Id").empty()) return not_run(400);
  if (auto f = rates.find(s->service); f != rates.end()) {
    auto& c = came_[s->service];
    c.push_back(w.now());
    while (c.front() < w.now() - Duration(1000)) c.erase(c.begin());
    if (static_cast<double>(c.size()) > f->second * 1.5) return not_run(429);
  }
  int64_t left = 0;
  auto told = h("Time-Remaining");
  std::from_chars(told.data(), told.data() + told.size(), left);
  auto deadline = w.now() + Duration(left);
  if (s->running >= s->slots) {
    if (s->waiting >= s->queue) {
      if (s->resets_when_full) return ++w.met["reset_when_full"], base::AttemptError::unknown;
      return not_run(503);
    }
    Busy b(s->waiting);
    while (s->running >= s->slots && s->alive) {
      sleep(Duration(2));
      if (w.now() >= end) return base::AttemptError::unknown;
      if (w.now() >= deadline) return not_run(503);
    }
    if (!s->alive || s->dark) return base::AttemptError::unknown;
  }
  int times = s->bad ? s->bad(q.target) : 1;
  Duration took = s->work * s->slower * std::max(times, 1) + Duration(w.below(4));
  if (w.now() < s->warm_at) took *= 3;
  d_.arrivals[place].ran = true;
  d_.arrivals[place].at = w.now();
  d_.arrivals[place].bad = times != 1;
  Busy b(s->running);
  bool over = w.now() + took > deadline;
  auto r = answer(*s, q, !times);
  sleep(std::min(over ? deadline - w.now() : took, end - w.now()));
  if (w.now() >= end) return base::AttemptError::unknown;
  if (!s->alive || s->dark) return ++w.met["died_in_request"], base::AttemptError::unknown;
  if (over) return base::Response{504, {{"Attempt-Id", h("Attempt-Id")}}, {}};
  if (w.random(s->lose)) {
    ++w.met["answer_lost"];
    sleep(end - w.now());
    return base::AttemptError::unknown;
  }
  if (w.random(s->cut)) return ++w.met["answer_cut"], base::AttemptError::unknown;
  if (w.random(s->spoil)) return ++w.met["answer_spoilt"], base::AttemptError::unknown;
  if (s->late) {
    // The one before comes where this one is due; the caller of the port may be able to tell.
    auto before = *std::exchange(s->late, {});
    ++w.met["answer_extra"];
    if (rules.mine && !rules.mine(before) && w.below(2)) return base::AttemptError::unknown;
    return before;
  }
  if (w.random(s->extra)) s->late = r;
  return r;
}

}  // namespace dunlinwing::test
