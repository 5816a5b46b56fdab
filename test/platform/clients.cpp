// Every try has an id of its own and is written down before it leaves.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "platform/people.hpp"

namespace dunlinwing::test {

void Clients::knock() {
  for (auto& h : f_.hosts())
    f_.outside([this, p = h.get()] {
      for (;;) {
        base::Request q;
        q.method = "GET";
        q.target = "/readiness";
        auto x = f_.exchange(*p, q, true, Duration(1000));
        auto& n = missed_[p->name];
        n = x.whole && x.receipt.status == 200 ? 0 : n + 1;
        f_.sleep(Duration(1000));
      }
    });
}

bool Clients::all_in() const {
  if (missed_.size() < f_.hosts().size()) return false;
  return std::all_of(missed_.begin(), missed_.end(), [](auto& m) { return m.second == 0; });
}

simulation::Host* Clients::door(const std::string& zone, const std::set<std::string>& tried) {
  auto pick = [&](auto ok) -> simulation::Host* {
    std::vector<simulation::Host*> v;
    for (auto& h : f_.hosts())
      if (ok(*h)) v.push_back(h.get());
    return v.empty() ? nullptr : v[f_.world().below(v.size())];
  };
  auto in = [&](auto& h) { return missed_[h.name] < 2; };
  int all = 0, of_zone = 0;
  for (auto& h : f_.hosts())
    if (h->zone == zone) ++all, of_zone += in(*h);
  bool half = of_zone * 2 >= all;
  if (auto* h = pick([&](auto& x) { return x.zone == zone && (!half || in(x)) && !tried.count(x.name); }))
    return h;
  if (auto* h = pick([&](auto& x) { return in(x) && !tried.count(x.name); })) return h;
  return pick([](auto&) { return true; });
}

Try& Clients::send(simulation::Host& h, Try t, Duration most) {
  auto& w = f_.world();
  t.id = fmt::format("{:016x}", ++named_ * 0x9e3779b97f4a7c15u);
  t.relay = h.name;
  t.life = h.life.get();
  t.sent = w.now();
  base::Request q;
  q.method = t.method;
  q.target = t.target;
  q.body = t.body;
  q.headers = {{"Host", t.host},
               {"Attempt-Id", t.id},
               {"Time-Remaining", std::to_string((t.deadline - t.sent).count())}};
  if (!t.receipt.headers.empty())
    q.headers.insert(q.headers.end(), t.receipt.headers.begin(), t.receipt.headers.end());
  t.receipt = {};
  auto id = t.id;
  d_.tries[id] = t;
  auto x = f_.exchange(h, q, false, most);
  auto& done = d_.tries[id];
  done.whole = x.whole;
  done.read = x.read;
  done.receipt = std::move(x.receipt);
  done.ended = w.now();
  return done;
}

void Clients::one() {
  auto& w = f_.world();
  auto zone = std::string(
      1, static_cast<char>('a' + (w.below(10) < 6 ? 0 : w.below(2) + 1)));  // one zone has most of them
  auto& l = page_.lines[w.below(page_.lines.size())];
  Try t;
  t.kind = l.kind;
  t.host = l.host;
  t.method = l.kind == "non_idempotent" ? "POST" : "GET";
  t.target = fmt::format("{}{:x}", l.prefix, w.below(l.kind == "cacheable" ? 40 : 100000));
  if (t.method == "POST") t.body = fmt::format("{{\"n\":{}}}", w.draw());
  if (l.kind == "cacheable") {
    auto dice = w.below(12);
    if (dice == 0) t.receipt.headers = {{"Range", fmt::format("bytes={}-", w.below(90))}};
    if (dice == 1) t.receipt.headers = {{"Range", "bytes=3-17"}};
    if (dice == 2)
      t.receipt.headers = {{"If-None-Match", fmt::format("\"v{}\"", d_.replaced[t.target].size())}};
  }
  t.deadline = w.now() + Duration(static_cast<int64_t>(l.timeout_s * 1000));
  bool repeatable = l.kind != "non_idempotent";
  std::set<std::string> tried;
  ++wanted;
  for (int i = 0; i < 4 && w.now() + Duration(20) < t.deadline; ++i) {
    auto* h = door(zone, tried);
    tried.insert(h->name);
    t.first = i == 0;
    auto left = t.deadline - w.now();
    auto most = left;
    if (repeatable && !h->up()) most = std::min<Duration>(left / 3, Duration(1000));
    auto& r = send(*h, t, most);
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
    auto wait = std::min(Duration(static_cast<int64_t>(back * 1000)), (t.deadline - w.now()) / 3);
    if (!impatient && wait > Duration(0)) f_.sleep(wait);
    if (impatient) f_.sleep(Duration(2));
  }
}

void Clients::come(const Page& p, int per_second, TimePoint until) {
  page_ = p;
  f_.outside([this, per_second, until] {
    auto& w = f_.world();
    while (w.now() < until) {
      f_.outside([this] { one(); });
      f_.sleep(Duration(w.below(static_cast<uint64_t>(2000 / per_second)) + 1));
    }
  });
}

void Clients::probe(const std::string& host, const std::string& target) {
  for (auto& h : f_.hosts()) {
    if (!h->up() || missed_[h->name] >= 2) continue;
    f_.outside([this, p = h.get(), host, target] {
      Try t;
      t.kind = "idempotent";
      t.method = "GET";
      t.host = host;
      t.target = target;
      t.probe = true;
      t.deadline = f_.world().now() + Duration(1000);
      send(*p, t, Duration(1000));
    });
  }
}

}  // namespace dunlinwing::test
