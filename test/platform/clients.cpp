// Every attempt has a unique id and is recorded before it is sent.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "platform/operators_and_clients.hpp"

namespace dunlinwing::test {

void Clients::poll_readiness() {
  for (auto& host : fleet_.hosts())
    fleet_.spawn_outside([this, p = host.get()] {
      for (;;) {
        base::Request request;
        request.method = "GET";
        request.target = "/readiness";
        auto x = fleet_.exchange(*p, request, true, Duration(1000));
        auto& n = missed_polls_[p->name];
        n = x.complete && x.response.status == 200 ? 0 : n + 1;
        fleet_.sleep(Duration(1000));
      }
    });
}

bool Clients::all_ready() const {
  if (missed_polls_.size() < fleet_.hosts().size()) return false;
  return std::all_of(missed_polls_.begin(), missed_polls_.end(), [](auto& m) { return m.second == 0; });
}

simulation::Host* Clients::choose_node(const std::string& zone, const std::set<std::string>& tried) {
  auto pick = [&](auto ok) -> simulation::Host* {
    std::vector<simulation::Host*> v;
    for (auto& h : fleet_.hosts())
      if (ok(*h)) v.push_back(h.get());
    return v.empty() ? nullptr : v[fleet_.world().below(v.size())];
  };
  auto in = [&](auto& h) { return missed_polls_[h.name] < 2; };
  int all = 0, of_zone = 0;
  for (auto& h : fleet_.hosts())
    if (h->zone == zone) ++all, of_zone += in(*h);
  bool half = of_zone * 2 >= all;
  if (auto* host = pick([&](auto& x) { return x.zone == zone && (!half || in(x)) && !tried.count(x.name); }))
    return host;
  if (auto* host = pick([&](auto& x) { return in(x) && !tried.count(x.name); })) return host;
  return pick([](auto&) { return true; });
}

ClientAttempt& Clients::send(simulation::Host& host, ClientAttempt attempt, Duration most) {
  auto& world = fleet_.world();
  attempt.id = fmt::format("{:016x}", ++next_id_ * 0x9e3779b97f4a7c15u);
  attempt.relay = host.name;
  attempt.process = host.process.get();
  attempt.sent = world.now();
  base::Request request;
  request.method = attempt.method;
  request.target = attempt.target;
  request.body = attempt.body;
  request.headers = {{"Host", attempt.host},
                     {"Attempt-Id", attempt.id},
                     {"Time-Remaining", std::to_string((attempt.deadline - attempt.sent).count())}};
  if (!attempt.response.headers.empty())
    request.headers.insert(request.headers.end(), attempt.response.headers.begin(),
                           attempt.response.headers.end());
  attempt.response = {};
  auto id = attempt.id;
  journal_.attempts[id] = attempt;
  auto x = fleet_.exchange(host, request, false, most);
  auto& done = journal_.attempts[id];
  done.complete = x.complete;
  done.read_by_node = x.read;
  done.response = std::move(x.response);
  done.ended = world.now();
  return done;
}

void Clients::run_one() {
  auto& world = fleet_.world();
  auto zone = std::string(
      1,
      static_cast<char>('a' +
                        (world.below(10) < 6 ? 0 : world.below(2) + 1)));  // one zone generates most requests
  auto& route = configuration_.routes[world.below(configuration_.routes.size())];
  ClientAttempt attempt;
  attempt.kind = route.kind;
  attempt.host = route.host;
  attempt.method = route.kind == "non_idempotent" ? "POST" : "GET";
  attempt.target = fmt::format("{}{:x}", route.prefix, world.below(route.kind == "cacheable" ? 40 : 100000));
  if (attempt.method == "POST") attempt.body = fmt::format("{{\"n\":{}}}", world.draw());
  if (route.kind == "cacheable") {
    auto dice = world.below(12);
    if (dice == 0) attempt.response.headers = {{"Range", fmt::format("bytes={}-", world.below(90))}};
    if (dice == 1) attempt.response.headers = {{"Range", "bytes=3-17"}};
    if (dice == 2)
      attempt.response.headers = {
          {"If-None-Match", fmt::format("\"v{}\"", journal_.replaced[attempt.target].size())}};
  }
  attempt.deadline = world.now() + Duration(static_cast<int64_t>(route.timeout_s * 1000));
  bool repeatable = route.kind != "non_idempotent";
  std::set<std::string> tried;
  ++wanted;
  for (int i = 0; i < 4 && world.now() + Duration(20) < attempt.deadline; ++i) {
    auto* host = choose_node(zone, tried);
    tried.insert(host->name);
    attempt.first = i == 0;
    auto left = attempt.deadline - world.now();
    auto most = left;
    if (repeatable && !host->up()) most = std::min<Duration>(left / 3, Duration(1000));
    auto& r = send(*host, attempt, most);
    int st = r.complete ? r.response.status : 0;
    if (st / 100 == 2 || st == 304 || st == 416) {
      ++served;
      return;
    }
    if (st == 400 || st == 401 || st == 404 || st == 413 || st == 431) return;
    bool promise = st == 429 || st == 503 || st == 408 || st == 421, unread = !r.complete && !r.read_by_node;
    if (!repeatable && !promise && !unread) return;
    auto retry_after = base::header(r.response.headers, "Retry-After");
    double back = 0;
    std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(), back);
    auto wait = std::min(Duration(static_cast<int64_t>(back * 1000)), (attempt.deadline - world.now()) / 3);
    if (!impatient && wait > Duration(0)) fleet_.sleep(wait);
    if (impatient) fleet_.sleep(Duration(2));
  }
}

void Clients::generate_traffic(const OperatorConfiguration& configuration, int per_second, TimePoint until) {
  configuration_ = configuration;
  fleet_.spawn_outside([this, per_second, until] {
    auto& world = fleet_.world();
    while (world.now() < until) {
      fleet_.spawn_outside([this] { run_one(); });
      fleet_.sleep(Duration(world.below(static_cast<uint64_t>(2000 / per_second)) + 1));
    }
  });
}

void Clients::probe(const std::string& host, const std::string& target) {
  for (auto& h : fleet_.hosts()) {
    if (!h->up() || missed_polls_[h->name] >= 2) continue;
    fleet_.spawn_outside([this, p = h.get(), host, target] {
      ClientAttempt attempt;
      attempt.kind = "idempotent";
      attempt.method = "GET";
      attempt.host = host;
      attempt.target = target;
      attempt.probe = true;
      attempt.deadline = fleet_.world().now() + Duration(1000);
      send(*p, attempt, Duration(1000));
    });
  }
}

}  // namespace dunlinwing::test
