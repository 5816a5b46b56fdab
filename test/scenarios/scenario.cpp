// Common parts of the scenarios.
#include "scenarios/scenario.hpp"

#include "rollout/rollout_controller.hpp"

namespace dunlinwing::test {

std::string simulated_configuration(const std::string& versions, int lifetime, int rate,
                                    const std::string& more) {
  return fmt::format(R"({{"content":{{"services":{{
"content":{{"versions":[{0}],"deadline_ms":2000,"cache":{{"lifetime_s":{1}}}}},
"app":{{"versions":[{0}],"deadline_ms":2000,"rate":{2}}}}},
"routes":[{{"prefix":"/c/","service":"content","methods":["GET","HEAD"]}},{{"prefix":"/a/","service":"app","methods":["GET"]}},
{{"prefix":"/pay","service":"app","methods":["POST"]}}]}}{3}}})",
                     versions, lifetime, rate, more);
}

void send_random_request(Scene& scene) {
  auto& world = scene.world;
  auto d = world.below(100);
  simulation::Host* to = nullptr;
  if (!scene.only_node.empty() && scene.fleet.at(scene.only_node).up() &&
      scene.fleet.at(scene.only_node).node->ready())
    to = &scene.fleet.at(scene.only_node);
  if (d < 50)
    scene.fleet.call("GET", fmt::format("/c/{}", world.below(20)), "", to);
  else if (d < 80)
    scene.fleet.call("GET", fmt::format("/a/{}", world.below(1000)), "", to);
  else
    scene.fleet.call("POST", "/pay", fmt::format("{{\"n\":{}}}", world.draw()), to);
}

base::Json release_state(Scene& scene, const std::string& name) {
  auto response = scene.fleet.operator_call("GET", "/v1/releases/layout/" + name, "");
  if (response.status != 200) return {};
  auto p = base::Json::parse(response.body);
  auto* j = std::get_if<base::Json>(&p);
  return j ? *j : base::Json();
}

std::string release_phase(Scene& scene, const std::string& name) {
  return release_state(scene, name).at("course").at("phase").string_or("?");
}

bool await_phase(Scene& scene, const std::string& name, const std::string& ph, Duration timeout) {
  return scene.fleet.wait_until(timeout, [&] { return release_phase(scene, name) == ph; });
}

void allow_version(Scene& scene, const std::string& v) {
  scene.fleet.event(fmt::format(R"("t":"allowed","service":"content","version":"{}","prefix":"/c/")", v));
  for (auto* p : {"/a/", "/pay"})
    scene.fleet.event(fmt::format(R"("t":"allowed","service":"app","version":"{}","prefix":"{}")", v, p));
}

bool purge(Scene& scene, const std::string& name, const std::string& kind, const std::string& path) {
  auto asked = scene.world.now().count();
  auto response = scene.fleet.operator_call("PUT", "/v1/purges/" + name,
                                            fmt::format(R"({{"service":"content","kind":"{}"{}}})", kind,
                                                        path.empty() ? "" : ",\"path\":\"" + path + "\""));
  scene.figures[fmt::format("purge_{}{}", response.status, response.lost ? "_lost" : "")]++;
  if (response.status == 200)
    scene.fleet.event(fmt::format(R"("t":"purged","path":"{}","prefix":{},"asked":{})",
                                  path.empty() ? "/c/" : path, kind != "path", asked));
  return response.status == 200;
}

const pb::RolloutState* read_rollout_state(Scene& scene, pb::RolloutState& out) {
  uint64_t top = 0;
  for (auto& host : scene.fleet.hosts()) {
    if (!host->up()) continue;
    auto& chosen = host->node->state_cache().chosen();
    auto f = chosen.find(rollout::kRolloutKey);
    if (f == chosen.end() || f->second.version <= top) continue;
    top = f->second.version;
    out.ParseFromString(f->second.data);
  }
  return top ? &out : nullptr;
}

bool start_traffic(Scene& scene, int rate, const std::string& doc) {
  auto& sh = scene.fleet.shape();
  for (int i = 0; i < sh.content_backends; ++i) scene.fleet.add_backend("content", "1", 3);
  for (int i = 0; i < sh.app_backends; ++i) scene.fleet.add_backend("app", "1", 0);
  bool ok = scene.fleet.wait_until(Duration(15000), [&] {
    auto response = scene.fleet.operator_call("PUT", "/v1/releases/layout/first", doc);
    return response.status == 202 || response.status == 200;
  });
  scene.require(ok, "the first configuration was not accepted");
  ok = ok && scene.fleet.wait_until(Duration(10000), [&] {
    for (auto& host : scene.fleet.hosts())
      if (host->up() && !host->node->ready()) return false;
    return true;
  });
  scene.require(ok, "not all relays became ready");
  ok = ok && scene.fleet.wait_until(Duration(5000), [&] {
    for (auto& host : scene.fleet.hosts()) {
      auto snapshot = host->node->request_handler().snapshot();
      for (auto* n : {"content", "app"})
        if (auto f = snapshot->backend_instances.find(n);
            f == snapshot->backend_instances.end() || f->second.size() < 3)
          return false;
    }
    return true;
  });
  scene.require(ok, "not all relays know all backend instances");
  scene.fleet.event(R"("t":"lifetime","ms":3000)");
  allow_version(scene, "1");
  scene.fleet.generate_requests(rate, scene.world.now() + Duration(600000),
                                [&scene] { send_random_request(scene); });
  return ok;
}

bool may_kill(Scene& scene, simulation::Host& host) {
  int down = 0;
  for (auto& x : scene.fleet.hosts()) down += x->has_disk && (!x->up() || x->node->acceptor()->non_voting());
  return host.up() && (!host.has_disk || down < 2);
}

simulation::Host* leader_host(Scene& scene) {
  for (auto& host : scene.fleet.hosts())
    if (host->up() && host->node->leadership().is_leader()) return host.get();
  return nullptr;
}

void expect_releases(Scene& scene, simulation::Host& host, const std::map<std::string, std::string>& acked) {
  for (auto& [n, doc] : acked) {
    auto& chosen = host.node->state_cache().chosen();
    auto f = chosen.find("release/layout/" + n);
    scene.require(f != chosen.end() && f->second.data == doc,
                  fmt::format("{} does not know the acknowledged {}", host.name, n));
  }
}

bool await_all_ready(Scene& scene, Duration timeout) {
  return scene.fleet.wait_until(timeout, [&] {
    int ready = 0, up = 0;
    for (auto& host : scene.fleet.hosts()) {
      up += host->up();
      ready += host->up() && host->node->ready();
    }
    return up > 0 && ready == up;
  });
}

void record_configuration(Scene& scene, const std::string& name, const std::string& doc) {
  bool ok = scene.fleet.wait_until(Duration(20000), [&] {
    auto st = scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status;
    return st == 202 || st == 200;
  });
  scene.require(ok, "configuration " + name + " was not accepted");
}

std::string rejections_by_reason(Scene& scene) {
  std::map<std::string, uint64_t> sums;
  for (auto& host : scene.fleet.hosts())
    if (host->up())
      for (const auto& [key, count] : host->node->request_handler().rejections().counts())
        sums[proxy::label(key.reason)] += count;
  std::string text;
  for (const auto& [reason, count] : sums) text += fmt::format(" {} {}", reason, count);
  return text;
}

const std::map<std::string, SimCase>& sim_cases() {
  static const auto all = [] {
    auto m = machine_scenarios();
    m.merge(rollout_scenarios());
    m.merge(proxy_scenarios());
    m.merge(limit_scenarios());
    m.merge(version_rollout_scenarios());
    m.merge(fault_scenarios());
    m.merge(disk_scenarios());
    m.merge(leadership_fence_scenarios());
    m.merge(mixed_scenarios());
    m.merge(fetch_scenarios());
    m.merge(link_scenarios());
    m.merge(coordinator_scenarios());
    m.merge(replica_scenarios());
    m.merge(control_api_scenarios());
    return m;
  }();
  return all;
}

}  // namespace dunlinwing::test
