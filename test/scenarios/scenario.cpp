// Common parts of the stories.
#include "scenarios/scenario.hpp"

#include "rollout/rollout_controller.hpp"

namespace dunlinwing::test {

std::string sim_layout(const std::string& versions, int lifetime, int rate, const std::string& more) {
  return fmt::format(R"({{"content":{{"services":{{
"content":{{"versions":[{0}],"deadline_ms":2000,"cache":{{"lifetime_s":{1}}}}},
"app":{{"versions":[{0}],"deadline_ms":2000,"rate":{2}}}}},
"routes":[{{"prefix":"/c/","service":"content","methods":["GET","HEAD"]}},{{"prefix":"/a/","service":"app","methods":["GET"]}},
{{"prefix":"/pay","service":"app","methods":["POST"]}}]}}{3}}})",
                     versions, lifetime, rate, more);
}

void mix(Scene& s) {
  auto& world = s.world;
  auto d = world.below(100);
  simulation::Host* to = nullptr;
  if (!s.only.empty() && s.fleet.at(s.only).up() && s.fleet.at(s.only).node->ready())
    to = &s.fleet.at(s.only);
  if (d < 50)
    s.fleet.call("GET", fmt::format("/c/{}", world.below(20)), "", to);
  else if (d < 80)
    s.fleet.call("GET", fmt::format("/a/{}", world.below(1000)), "", to);
  else
    s.fleet.call("POST", "/pay", fmt::format("{{\"n\":{}}}", world.draw()), to);
}

base::Json release_state(Scene& s, const std::string& name) {
  auto t = s.fleet.operator_call("GET", "/v1/releases/layout/" + name, "");
  if (t.status != 200) return {};
  auto p = base::Json::parse(t.body);
  auto* j = std::get_if<base::Json>(&p);
  return j ? *j : base::Json();
}

std::string phase(Scene& s, const std::string& name) {
  return release_state(s, name).at("course").at("phase").string_or("?");
}

bool reach(Scene& s, const std::string& name, const std::string& ph, Duration most) {
  return s.fleet.wait_until(most, [&] { return phase(s, name) == ph; });
}

void allow(Scene& s, const std::string& v) {
  s.fleet.event(fmt::format(R"("t":"allowed","service":"content","version":"{}","prefix":"/c/")", v));
  for (auto* p : {"/a/", "/pay"})
    s.fleet.event(fmt::format(R"("t":"allowed","service":"app","version":"{}","prefix":"{}")", v, p));
}

bool purge(Scene& s, const std::string& name, const std::string& kind, const std::string& path) {
  auto asked = s.world.now().count();
  auto t = s.fleet.operator_call("PUT", "/v1/purges/" + name,
                                 fmt::format(R"({{"service":"content","kind":"{}"{}}})", kind,
                                             path.empty() ? "" : ",\"path\":\"" + path + "\""));
  s.figures[fmt::format("purge_{}{}", t.status, t.lost ? "_lost" : "")]++;
  if (t.status == 200)
    s.fleet.event(fmt::format(R"("t":"purged","path":"{}","prefix":{},"asked":{})",
                              path.empty() ? "/c/" : path, kind != "path", asked));
  return t.status == 200;
}

const pb::RolloutState* rollout_seen(Scene& s, pb::RolloutState& out) {
  uint64_t top = 0;
  for (auto& h : s.fleet.hosts()) {
    if (!h->up()) continue;
    auto& chosen = h->node->state_cache().chosen();
    auto f = chosen.find(rollout::kRolloutKey);
    if (f == chosen.end() || f->second.version <= top) continue;
    top = f->second.version;
    out.ParseFromString(f->second.data);
  }
  return top ? &out : nullptr;
}

// Starts the workers, records the first layout, waits until it serves, and
// lets callers call for the rest of the run.
bool begin(Scene& s, int rate, const std::string& doc) {
  auto& sh = s.fleet.shape();
  for (int i = 0; i < sh.first_backends; ++i) s.fleet.add_backend("content", "1", 3);
  for (int i = 0; i < sh.second_backends; ++i) s.fleet.add_backend("app", "1", 0);
  bool ok = s.fleet.wait_until(Duration(15000), [&] {
    auto t = s.fleet.operator_call("PUT", "/v1/releases/layout/first", doc);
    return t.status == 202 || t.status == 200;
  });
  s.want(ok, "the first layout was not taken");
  ok = ok && s.fleet.wait_until(Duration(10000), [&] {
    for (auto& h : s.fleet.hosts())
      if (h->up() && !h->node->ready()) return false;
    return true;
  });
  s.want(ok, "not all relays became ready");
  ok = ok && s.fleet.wait_until(Duration(5000), [&] {
    for (auto& h : s.fleet.hosts()) {
      auto snapshot = h->node->request_handler().snapshot();
      for (auto* n : {"content", "app"})
        if (auto f = snapshot->backend_instances.find(n);
            f == snapshot->backend_instances.end() || f->second.size() < 3)
          return false;
    }
    return true;
  });
  s.want(ok, "not all relays came to know all workers");
  s.fleet.event(R"("t":"lifetime","ms":3000)");
  allow(s, "1");
  s.fleet.generate_requests(rate, s.world.now() + Duration(600000), [&s] { mix(s); });
  return ok;
}

bool may_fall(Scene& s, simulation::Host& host) {
  int down = 0;
  for (auto& x : s.fleet.hosts()) down += x->has_disk && (!x->up() || x->node->acceptor()->non_voting());
  return host.up() && (!host.has_disk || down < 2);
}

simulation::Host* duty_holder(Scene& s) {
  for (auto& h : s.fleet.hosts())
    if (h->up() && h->node->leadership().held()) return h.get();
  return nullptr;
}

void knows(Scene& s, simulation::Host& host, const std::map<std::string, std::string>& acked) {
  for (auto& [n, doc] : acked) {
    auto& chosen = host.node->state_cache().chosen();
    auto f = chosen.find("release/layout/" + n);
    s.want(f != chosen.end() && f->second.data == doc,
           fmt::format("{} does not know the acknowledged {}", host.name, n));
  }
}

bool serves(Scene& s, Duration most) {
  return s.fleet.wait_until(most, [&] {
    int ready = 0, up = 0;
    for (auto& h : s.fleet.hosts()) {
      up += h->up();
      ready += h->up() && h->node->ready();
    }
    return up > 0 && ready == up;
  });
}

void put(Scene& s, const std::string& name, const std::string& doc) {
  bool ok = s.fleet.wait_until(Duration(20000), [&] {
    auto st = s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status;
    return st == 202 || st == 200;
  });
  s.want(ok, "layout " + name + " was not taken");
}

const std::map<std::string, SimCase>& sim_cases() {
  static const auto all = [] {
    auto m = machine_cases();
    m.merge(rollout_stories());
    m.merge(traffic_stories());
    m.merge(limit_stories());
    m.merge(move_stories());
    m.merge(fault_stories());
    m.merge(disk_stories());
    m.merge(fence_stories());
    m.merge(mixed_stories());
    m.merge(holder_stories());
    m.merge(control_api_stories());
    return m;
  }();
  return all;
}

}  // namespace dunlinwing::test
