// Every try has an id of its own and is written down before it leaves.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "platform/operators_and_clients.hpp"

namespace dunlinwing::test {

void Clients::knock() {
  for (auto& h : fleet_.hosts())
    fleet_.spawn_outside([this, p = h.get()] {
      for (;;) {
        base::Request request;
        request.method = "GET";
        request.target = "/readiness";
        auto x = fleet_.exchange(*p, request, true, Duration(1000));
        auto& n = missed_[p->name];
        n = x.complete && x.response.status == 200 ? 0 : n + 1;
        fleet_.sleep(Duration(1000));
      }
    });
}

bool Clients::all_in() const {
  if (missed_.size() < fleet_.hosts().size()) return false;
  return std::all_of(missed_.begin(), missed_.end(), [](auto& m) { return m.second == 0; });
}

simulation::Host* Clients::door(const std::string& zone, const std::set<std::string>& tried) {
  auto pick = [&](auto ok) -> simulation::Host* {
    std::vector<simulation::Host*> v;
    for (auto& h : fleet_.hosts())
      if (ok(*h)) v.push_back(h.get());
    return v.empty() ? nullptr : v[fleet_.world().below(v.size())];
  };
  auto in = [&](auto& h) { return missed_[h.name] < 2; };
  int all = 0, of_zone = 0;
  for (auto& h : fleet_.hosts())
    if (h->zone == zone) ++all, of_zone += in(*h);
  bool half = of_zone * 2 >= all;
  if (auto* host = pick([&](auto& x) { return x.zone == zone && (!half || in(x)) && !tried.count(x.name); }))
    return host;
  if (auto* host = pick([&](auto& x) { return in(x) && !tried.count(x.name); })) return host;
  return pick([](auto&) { return true; });
}

Try& Clients::send(simulation::Host& host, Try t, Duration most) {
  auto& world = fleet_.world();
  t.id = fmt::format("{:016x}", ++named_ * 0x9e3779b97f4a7c15u);
  t.relay = host.name;
  t.life = host.process.get();
  t.sent = world.now();
  base::Request request;
  request.method = t.method;
  request.target = t.target;
  request.body = t.body;
  request.headers = {{"Host", t.host},
                     {"Attempt-Id", t.id},
                     {"Time-Remaining", std::to_string((t.deadline - t.sent).count())}};
  if (!t.receipt.headers.empty())
    request.headers.insert(request.headers.end(), t.receipt.headers.begin(), t.receipt.headers.end());
  t.receipt = {};
  auto id = t.id;
  d_.tries[id] = t;
  auto x = fleet_.exchange(host, request, false, most);
  auto& done = d_.tries[id];
  done.whole = x.complete;
  done.read = x.read;
  done.receipt = std::move(x.response);
  done.ended = world.now();
  return done;
}

void Clients::one() {
  auto& world = fleet_.world();
  auto zone = std::string(
      1,
      static_cast<char>('a' + (world.below(10) < 6 ? 0 : world.below(2) + 1)));  // one zone has most of them
  auto& l = page_.lines[world.below(page_.lines.size())];
  Try t;
  t.kind = l.kind;
  t.host = l.host;
  t.method = l.kind == "non_idempotent" ? "POST" : "GET";
  t.target = fmt::format("{}{:x}", l.prefix, world.below(l.kind == "cacheable" ? 40 : 100000));
  if (t.method == "POST") t.body = fmt::format("{{\"n\":{}}}", world.draw());
  if (l.kind == "cacheable") {
    auto dice = world.below(12);
    if (dice == 0) t.receipt.headers = {{"Range", fmt::format("bytes={}-", world.below(90))}};
    if (dice == 1) t.receipt.headers = {{"Range", "bytes=3-17"}};
    if (dice == 2)
      t.receipt.headers = {{"If-None-Match", fmt::format("\"v{}\"", d_.replaced[t.target].size())}};
  }
  t.deadline = world.now() + Duration(static_cast<int64_t>(l.timeout_s * 1000));
  bool repeatable = l.kind != "non_idempotent";
  std::set<std::string> tried;
  ++wanted;
  for (int i = 0; i < 4 && world.now() + Duration(20) < t.deadline; ++i) {
    auto* host = door(zone, tried);
    tried.insert(host->name);
    t.first = i == 0;
    auto left = t.deadline - world.now();
    auto most = left;
    if (repeatable && !host->up()) most = std::min<Duration>(left / 3, Duration(1000));
    auto& r = send(*host, t, most);
    int st = r.whole ? r.receipt.status : 0;
    if (st / 100 == 2 || st == 304 || st == 416) {
      ++served;
      return;
    }
    if (st == 400 || st == 401 || st == 404 || st == 413 || st == 431) return;
    bool promise = st == 429 || st == 503 || st == 408 || st == 421, unread = !r.whole && !r.read;
    if (!repeatable && !promise && !unread) return;
    auto told = base::header(r.receipt.headers, "Retry-After");
    double back = 0;
    std::from_chars(told.data(), told.data() + told.size(), back);
    auto wait = std::min(Duration(static_cast<int64_t>(back * 1000)), (t.deadline - world.now()) / 3);
    if (!impatient && wait > Duration(0)) fleet_.sleep(wait);
    if (impatient) fleet_.sleep(Duration(2));
  }
}

void Clients::come(const Page& p, int per_second, TimePoint until) {
  page_ = p;
  fleet_.spawn_outside([this, per_second, until] {
    auto& world = fleet_.world();
    while (world.now() < until) {
      fleet_.spawn_outside([this] { one(); });
      fleet_.sleep(Duration(world.below(static_cast<uint64_t>(2000 / per_second)) + 1));
    }
  });
}

void Clients::probe(const std::string& host, const std::string& target) {
  for (auto& h : fleet_.hosts()) {
    if (!h->up() || missed_[h->name] >= 2) continue;
    fleet_.spawn_outside([this, p = h.get(), host, target] {
      Try t;
      t.kind = "idempotent";
      t.method = "GET";
      t.host = host;
      t.target = target;
      t.probe = true;
      t.deadline = fleet_.world().now() + Duration(1000);
      send(*p, t, Duration(1000));
    });
  }
}

}  // namespace dunlinwing::test
