// Version rollouts with a deadline, from an operator's view: new backend instances start cold beside the old
// ones, the rollout is requested, and the old ones are stopped as soon as it completes.
#include <deque>

#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

struct Plan {
  // Fault of the new version: errors, slow, one_route, late, under_load, whole_load; empty: none.
  std::string fault;
  std::string disturbance;  // duty (the leader is killed), freeze or restarts; empty: none
};

void make_faulty(Scene& scene, simulation::SimulatedBackend& backend, const std::string& fault, int percent) {
  auto* world = &scene.world;
  auto* fleet = &scene.fleet;
  auto bad = [world, percent] { return static_cast<int>(world->below(100)) < percent; };
  if (fault == "errors") backend.slowdown = [=](auto&) { return bad() ? 0 : 1; };
  if (fault == "slow") backend.slowdown = [=](auto&) { return bad() ? 8 : 1; };
  if (fault == "one_route")
    backend.slowdown = [=](auto& target) { return target.starts_with("/pay") && bad() ? 0 : 1; };
  auto from = world->now() + Duration(3000);
  if (fault == "late") backend.slowdown = [=](auto&) { return world->now() > from && bad() ? 0 : 1; };
  auto busy = [fleet] {
    int running = 0;
    for (auto& backend : fleet->backends()) running += backend->version == "2" ? backend->running : 0;
    return running >= 3;
  };
  if (fault == "whole_load") {  // fails only when it gets nearly all requests, not as a canary
    static std::deque<TimePoint> requests;
    requests.clear();
    backend.slowdown = [=](auto&) {
      requests.push_back(world->now());
      while (requests.front() < world->now() - Duration(500)) requests.pop_front();
      return requests.size() > 45 && bad() ? 0 : 1;
    };
  }
  if (fault == "under_load") backend.slowdown = [=](auto&) { return busy() && bad() ? 0 : 1; };
}

// Injects a disturbance at a random time during the rollout.
void disturb(Scene& scene, const std::string& what, Duration within) {
  scene.fleet.spawn_outside([&scene, what, within] {
    scene.fleet.sleep(Duration(scene.world.below(static_cast<uint64_t>(within.count()))));
    auto* host = leader_host(scene);
    auto name = host ? host->name : std::string("h1");
    if (what == "duty") {
      if (may_kill(scene, scene.fleet.at(name))) scene.fleet.kill(name);
      scene.fleet.sleep(Duration(1000 + scene.world.below(3000)));
      scene.fleet.start_all();
    } else if (what == "freeze") {
      scene.world.freeze(name, scene.world.now() + Duration(2000 + scene.world.below(4000)));
    } else if (what == "restarts") {
      for (auto& other : scene.fleet.hosts())
        if (!other->has_disk) {
          scene.fleet.kill(other->name);
          scene.fleet.sleep(Duration(300));
          scene.fleet.start(other->name);
        }
    }
  });
}

void roll_out_within(Scene& scene, const Plan& plan) {
  scene.duration = Duration(70000);
  scene.script = [&scene, plan] {
    if (!start_traffic(scene, 300, simulated_configuration(""))) return;
    auto state = [&scene](const char* what) {
      auto response = scene.fleet.operator_call("GET", std::string("/v1/") + what + "/app", "");
      auto j = base::Json::parse(response.body);
      auto* x = std::get_if<base::Json>(&j);
      return response.status == 200 && x ? *x : base::Json();
    };
    scene.require(scene.fleet.wait_until(Duration(8000),
                                         [&] { return state("services").at("current").string_or() == "1"; }),
                  "no version became current");
    scene.require(scene.fleet.operator_call("GET", "/v1/moves/app", "").status == 404,
                  "a rollout was reported though none was requested");
    Duration deadline(12000 + static_cast<int64_t>(scene.world.below(5)) * 1000);
    int percent = 35 + static_cast<int>(scene.world.below(26));
    std::vector<simulation::SimulatedBackend*> mine;
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app") backend->min_latency = Duration(5), backend->max_latency = Duration(15);
    auto start = [&] {
      for (int i = 0; i < std::max(4, scene.fleet.shape().app_backends); ++i) {
        auto& backend = scene.fleet.add_backend("app", "2", 0);
        backend.min_latency = Duration(5);
        backend.max_latency = plan.fault == "under_load" ? Duration(40) : Duration(15);
        backend.warm_at = scene.world.now() + Duration(3000);
        make_faulty(scene, backend, plan.fault, percent);
        mine.push_back(&backend);
      }
    };
    if (scene.world.random(500)) start(), scene.fleet.sleep(Duration(scene.world.below(1000)));
    allow_version(scene, "2");
    auto from = scene.world.now();
    if (!plan.fault.empty())
      scene.fleet.event(
          fmt::format(R"("t":"bad_version","service":"app","version":"2","until":{},"slack":50)",
                      (from + deadline).count()));
    auto order = fmt::format(R"({{"version":"2","within_ms":{}}})", deadline.count());
    scene.require(scene.fleet.wait_until(
                      Duration(3000),
                      [&] { return scene.fleet.operator_call("PUT", "/v1/moves/app", order).status == 200; }),
                  "the rollout request was not accepted");
    if (mine.empty()) scene.fleet.sleep(Duration(scene.world.below(500))), start();
    if (!plan.disturbance.empty()) disturb(scene, plan.disturbance, deadline);
    scene.require(scene.fleet.wait_until(
                      Duration(3000),
                      [&] { return scene.fleet.operator_call("PUT", "/v1/moves/app", order).status == 200; }),
                  "the repeated rollout request was not accepted");
    std::string now;
    scene.fleet.wait_until(deadline + Duration(9000), [&] {
      scene.fleet.sleep(Duration(200));
      now = state("moves").at("state").string_or();
      return now == "completed" || now == "rolled_back";
    });
    auto took = scene.world.now() - from;
    auto why = [&] {
      return fmt::format("{} after {} of {} ms: {}", now, took.count(), deadline.count(),
                         state("moves").text());
    };
    scene.figures[now + "_" + (plan.fault.empty() ? "good" : plan.fault)] = 1;
    scene.figures["took_ms"] = static_cast<uint64_t>(took.count());
    if (now == "completed") {
      for (auto& backend : scene.fleet.backends())
        if (backend->service == "app" && backend->version == "1") backend->alive = false;
      auto calls = scene.fleet.calls, good = scene.fleet.good;
      scene.fleet.sleep(Duration(3000));
      scene.require(
          scene.fleet.calls - calls <= scene.fleet.good - good + 5 || !plan.disturbance.empty(),
          fmt::format("{} of {} calls failed when the old backend instances were stopped",
                      scene.fleet.calls - calls - (scene.fleet.good - good), scene.fleet.calls - calls));
      scene.require(state("services").at("current").string_or() == "2",
                    "the rollout is completed and the new version is not current");
    }
    if (plan.fault.empty() && plan.disturbance.empty())
      scene.require(now == "completed" && took <= deadline, "a good version is " + why());
    if (!plan.fault.empty())
      scene.require(now == "rolled_back" && (took <= deadline || !plan.disturbance.empty()),
                    "a bad version is " + why());
    scene.require(!now.empty() && now != "running", "the rollout did not finish: " + why());
    scene.fleet.sleep(Duration(9000));
    auto again = scene.fleet.operator_call("PUT", "/v1/moves/app", order);
    auto j = base::Json::parse(again.body);
    scene.require(again.lost || (std::holds_alternative<base::Json>(j) &&
                                 std::get<base::Json>(j).at("state").string_or() == now),
                  "a late repeated request started a new rollout: " + again.body);
  };
}
// Where the configuration lists no versions, a version that was not requested gets no requests while the
// current one has backend instances; it becomes current once these have been gone for long.
void version_gone(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 60, simulated_configuration(""))) return;
    auto current = [&scene] {
      auto j = base::Json::parse(scene.fleet.operator_call("GET", "/v1/services/app", "").body);
      auto* x = std::get_if<base::Json>(&j);
      return x ? x->at("current").string_or() : std::string();
    };
    scene.require(scene.fleet.wait_until(Duration(8000), [&] { return current() == "1"; }),
                  "no version became current");
    for (int i = 0; i < 3; ++i) scene.fleet.add_backend("app", "2", 0);
    scene.fleet.sleep(Duration(6000));
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app" && backend->version == "1") backend->alive = false;
    scene.fleet.sleep(Duration(9000));
    scene.require(current() == "1", "a version that was not requested became current too early");
    allow_version(scene, "2");  // the checker reports any earlier request to it
    scene.require(scene.fleet.wait_until(Duration(8000), [&] { return current() == "2"; }),
                  "no version replaced the one without backend instances");
    scene.fleet.sleep(Duration(1000));
    auto good = scene.fleet.good;
    scene.fleet.sleep(Duration(2000));
    scene.require(scene.fleet.good > good + 80, "too few requests succeeded after the version change");
  };
}
}  // namespace

NamedCases version_rollout_scenarios() {
  NamedCases m;
  for (auto* how : {"errors", "slow", "one_route", "late", "under_load", "whole_load"}) {
    m["move_" + std::string(how)] = [how](Scene& scene) { roll_out_within(scene, {how, ""}); };
    m["move_" + std::string(how) + "_duty"] = [how](Scene& scene) { roll_out_within(scene, {how, "duty"}); };
  }
  m["version_gone"] = version_gone;
  m["move_good"] = [](Scene& scene) { roll_out_within(scene, {"", ""}); };
  m["move_good_duty"] = [](Scene& scene) { roll_out_within(scene, {"", "duty"}); };
  m["move_good_freeze"] = [](Scene& scene) { roll_out_within(scene, {"", "freeze"}); };
  m["move_errors_freeze"] = [](Scene& scene) { roll_out_within(scene, {"errors", "freeze"}); };
  m["move_errors_restarts"] = [](Scene& scene) { roll_out_within(scene, {"errors", "restarts"}); };
  return m;
}

}  // namespace dunlinwing::test
