// A response is created once and recorded with its signature; only then may it be corrupted, truncated or
// lost.
#include "platform/platform_stub.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace dunlinwing::test {
namespace {
constexpr Duration kHeartbeatPeriod{1500}, kDrain{2000}, kAck{4000};

std::string stamp(const std::string& of) { return fmt::format("sig.{:x}", std::hash<std::string>()(of)); }

struct Busy {
  int& n;
  explicit Busy(int& c) : n(c) { ++n; }
  ~Busy() { --n; }
};
}  // namespace

bool is_object(const std::string& t) { return t.starts_with("/obj/"); }

StubInstance* PlatformStub::at(const std::string& address) {
  for (auto& s : instances_)
    if (s->alive && s->address == address) return s.get();
  return nullptr;
}

bool PlatformStub::is_reachable(const std::string& address) {
  auto* instance = at(address);
  return instance && !instance->unreachable;
}

std::vector<StubInstance*> PlatformStub::instances_of(const std::string& service,
                                                      const std::string& version) {
  std::vector<StubInstance*> out;
  for (auto& s : instances_)
    if (s->alive && !s->draining && s->service == service && (version.empty() || s->version == version))
      out.push_back(s.get());
  return out;
}

StubInstance& PlatformStub::add(const std::string& service, const std::string& version, Duration cold,
                                const std::string& address) {
  auto n = ++next_id_;
  auto s = std::make_unique<StubInstance>();
  s->id = fmt::format("i-{}", n);
  s->service = service;
  s->version = version;
  s->zone = std::string(1, static_cast<char>('a' + n % 3));
  s->address = address.empty() ? fmt::format("10.9.0.{}:8080", n) : address;
  s->work = Duration(4 + 3 * (n % 4));
  s->warm_at = fleet_.world().now() + cold;
  s->reports_load = service == "huvo";
  s->resets_when_full = n % 5 == 1;
  auto* p = s.get();
  instances_.push_back(std::move(s));
  fleet_.spawn_outside([this, p] { send_heartbeats(*p); });
  return *p;
}

void PlatformStub::send_heartbeats(StubInstance& instance) {
  fleet_.sleep(Duration(fleet_.world().below(1400)));
  while (instance.alive && !instance.draining) {
    if (!instance.unreachable) send_heartbeat(instance, "PUT");
    fleet_.sleep(kHeartbeatPeriod);
  }
}

bool PlatformStub::send_heartbeat(StubInstance& instance, const char* method) {
  auto& world = fleet_.world();
  base::Request request;
  request.method = method;
  request.target = "/instances/" + instance.id;
  bool draining = instance.draining;
  auto cold = std::max<int64_t>(0, (instance.warm_at - world.now()).count());
  if (request.method == "PUT")
    request.body = fmt::format(
        R"({{"backend":"{}","address":"{}","zone":"{}","revision":"{}","slots":{},"state":"{}","cold-remaining-s":{},"call-seq":{}}})",
        instance.service, instance.address, instance.zone, instance.version, instance.slots,
        draining ? "draining" : "ready", static_cast<double>(cold) / 1000, ++instance.calls);
  Duration pause{50};
  // A deregistration is retried for some seconds, a heartbeat at a few nodes.
  TimePoint from = world.now();
  for (int i = 0; instance.alive && (i < 5 || (draining && world.now() < from + kAck)); ++i) {
    auto& hosts = fleet_.hosts();
    auto& host = *hosts[world.below(hosts.size())];
    auto x = fleet_.exchange(host, request, true, Duration(1000));
    if (x.complete && x.response.status / 100 == 2) {
      if (draining || request.method == "DELETE")
        journal_.deregistrations.push_back({instance.id, host.name, world.now()});
      return true;
    }
    fleet_.sleep(pause);
    pause = std::min<Duration>(pause * 2, Duration(500));
  }
  return false;
}

void PlatformStub::drain(StubInstance& instance) {
  instance.draining = true;
  auto from = fleet_.world().now();
  if (!send_heartbeat(instance, "PUT") && instance.alive)
    journal_.unacknowledged.push_back({"draining of " + instance.id, from, fleet_.world().now()});
  fleet_.sleep(kDrain + Duration(400));
  send_heartbeat(instance, "DELETE");
  instance.alive = false;
}

void PlatformStub::crash(StubInstance& instance, bool dark) {
  journal_.origin_faults.push_back(fleet_.world().now());
  dark ? instance.unreachable = true : instance.alive = false;
}

void PlatformStub::replace_object(const std::string& t) {
  journal_.replaced[t].push_back(fleet_.world().now());
}

base::Response PlatformStub::answer(StubInstance& instance, const base::Request& request, bool fails) {
  auto h = [&](const char* n) { return base::header(request.headers, n); };
  auto id = h("Attempt-Id");
  StampedResponse m{id,    request.target,      {}, 0, is_object(request.target) && request.method == "GET",
                    fails, fleet_.world().now()};
  base::Response response{fails ? 500 : 200, {}, {}};
  if (!id.empty()) response.headers.emplace_back("Attempt-Id", id);
  if (instance.reports_load)
    response.headers.emplace_back(
        "Server-Load", fmt::format("{},{},{}", instance.running, instance.waiting, instance.slots));
  if (instance.draining) response.headers.emplace_back("Connection", "close");
  if (m.object) m.version = journal_.replaced[request.target].size();
  m.body =
      m.object
          ? fmt::format("{} {} {} {}", instance.service, request.target, m.version, std::string(64, 'o'))
          : fmt::format("{} {} {} {} {}", instance.service, request.method, request.target, id, request.body);
  auto sig = stamp(m.body + (fails ? "failed" : ""));
  journal_.stamped_responses.emplace(sig, m);
  response.headers.emplace_back("Edge-Signature", sig);
  response.body = m.body;
  if (!m.object || fails) return response;
  auto tag = fmt::format("\"v{}\"", m.version);
  response.headers.emplace_back("ETag", tag);
  if (journal_.tags.count(request.target))
    response.headers.emplace_back("Object-Tags", journal_.tags[request.target] + " tall");
  if (h("If-None-Match") == tag) return response.status = 304, response.body = {}, response;
  auto range = h("Range");
  size_t first = 0, last = response.body.size() - 1;
  if (range.starts_with("bytes=")) {
    auto dash = range.find('-');
    std::from_chars(range.data() + 6, range.data() + dash, first);
    if (dash + 1 < range.size()) std::from_chars(range.data() + dash + 1, range.data() + range.size(), last);
    if (first >= response.body.size()) return response.status = 416, response.body = {}, response;
    last = std::min(last, response.body.size() - 1);
    response.headers.emplace_back("Content-Range",
                                  fmt::format("bytes {}-{}/{}", first, last, response.body.size()));
    response.body = response.body.substr(first, last - first + 1);
    response.status = 206;
  }
  return response;
}

PlatformStub::AttemptResult PlatformStub::send(const simulation::ProcessRunPtr& process,
                                               const std::string& address, const base::Request& request,
                                               const base::AttemptRules& rules) {
  auto& world = fleet_.world();
  auto end = world.now() + rules.timeout;
  auto sleep = [&](Duration t) {
    simulation::Wait x;
    world.wait(process, t, x);
  };
  sleep(Duration(1));
  auto* instance = at(address);
  if (!instance) return base::AttemptError::not_sent;
  if (instance->unreachable) {
    bool kept = world.below(3) == 0;  // sent on a connection that was already open: no error, no response
    sleep(kept ? rules.timeout
               : std::min(rules.timeout,
                          rules.connect_timeout > Duration(0) ? rules.connect_timeout : rules.timeout));
    return kept ? base::AttemptError::unknown : base::AttemptError::not_sent;
  }
  auto h = [&](const char* n) { return base::header(request.headers, n); };
  auto name = instance->id, meant = h("Target-Instance");
  bool other = !meant.empty() && meant != name;
  journal_.arrivals.push_back({h("Attempt-Id"), request.method, h("Host"), request.target, request.body,
                               instance->service, instance->version, name, process->host, process.get(),
                               world.now(), false, false, other});
  auto place = journal_.arrivals.size() - 1;
  auto not_run = [&](int status) {
    ++world.fault_counts[fmt::format("not_run_{}", status)];
    base::Response response{status, {{"Not-Executed", "1"}}, {}};
    if (instance->reports_load)
      response.headers.emplace_back(
          "Server-Load", fmt::format("{},{},{}", instance->running, instance->waiting, instance->slots));
    return response;
  };
  if (other) return ++world.fault_counts["elsewhere"], base::Response{421, {{"Instance-Id", name}}, {}};
  if (h("Attempt-Id").empty()) return not_run(400);
  if (auto f = rates.find(instance->service); f != rates.end()) {
    auto& c = arrivals_[instance->service];
    c.push_back(world.now());
    while (c.front() < world.now() - Duration(1000)) c.erase(c.begin());
    if (static_cast<double>(c.size()) > f->second * 1.5) return not_run(429);
  }
  int64_t left = 0;
  auto remaining = h("Time-Remaining");
  std::from_chars(remaining.data(), remaining.data() + remaining.size(), left);
  auto deadline = world.now() + Duration(left);
  if (instance->running >= instance->slots) {
    if (instance->waiting >= instance->queue) {
      if (instance->resets_when_full)
        return ++world.fault_counts["reset_when_full"], base::AttemptError::unknown;
      return not_run(503);
    }
    Busy b(instance->waiting);
    while (instance->running >= instance->slots && instance->alive) {
      sleep(Duration(2));
      if (world.now() >= end) return base::AttemptError::unknown;
      if (world.now() >= deadline) return not_run(503);
    }
    if (!instance->alive || instance->unreachable) return base::AttemptError::unknown;
  }
  int times = instance->work_factor ? instance->work_factor(request.target) : 1;
  Duration took = instance->work * instance->slowdown * std::max(times, 1) + Duration(world.below(4));
  if (world.now() < instance->warm_at) took *= 3;
  journal_.arrivals[place].executed = true;
  journal_.arrivals[place].at = world.now();
  journal_.arrivals[place].failed = times != 1;
  Busy b(instance->running);
  bool over = world.now() + took > deadline;
  auto response = answer(*instance, request, !times);
  sleep(std::min(over ? deadline - world.now() : took, end - world.now()));
  if (world.now() >= end) return base::AttemptError::unknown;
  if (!instance->alive || instance->unreachable)
    return ++world.fault_counts["died_in_request"], base::AttemptError::unknown;
  if (over) return base::Response{504, {{"Attempt-Id", h("Attempt-Id")}}, {}};
  if (world.random(instance->lose_permille)) {
    ++world.fault_counts["answer_lost"];
    sleep(end - world.now());
    return base::AttemptError::unknown;
  }
  if (world.random(instance->cut_permille))
    return ++world.fault_counts["answer_cut"], base::AttemptError::unknown;
  if (world.random(instance->spoil_permille))
    return ++world.fault_counts["answer_spoilt"], base::AttemptError::unknown;
  if (instance->surplus_response) {
    // The previous response arrives in place of this one; the caller may be able to detect it.
    auto before = *std::exchange(instance->surplus_response, {});
    ++world.fault_counts["answer_extra"];
    if (rules.is_own_response && !rules.is_own_response(before) && world.below(2))
      return base::AttemptError::unknown;
    return before;
  }
  if (world.random(instance->extra_permille)) instance->surplus_response = response;
  return response;
}

}  // namespace dunlinwing::test
