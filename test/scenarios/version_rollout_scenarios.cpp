// Moves with a term, as an operator sees them: new workers start cold beside the old
// ones, the order comes, and what it ends in is acted on at once.
#include <deque>

#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

struct Plan {
  std::string
      how;  // of the bad version: errors, slow, one_route, late, under_load, whole_load; empty: a good one
  std::string trouble;  // leadership, freeze or restarts, in its midst
};

void spoil(Scene& scene, simulation::SimulatedBackend& backend, const std::string& how, int percent) {
  auto* w = &scene.world;
  auto* f = &scene.fleet;
  auto bad = [w, percent] { return static_cast<int>(w->below(100)) < percent; };
  if (how == "errors") backend.slowdown = [=](auto&) { return bad() ? 0 : 1; };
  if (how == "slow") backend.slowdown = [=](auto&) { return bad() ? 8 : 1; };
  if (how == "one_route") backend.slowdown = [=](auto& t) { return t.starts_with("/pay") && bad() ? 0 : 1; };
  auto from = w->now() + Duration(3000);
  if (how == "late") backend.slowdown = [=](auto&) { return w->now() > from && bad() ? 0 : 1; };
  auto busy = [f] {
    int n = 0;
    for (auto& backend : f->backends()) n += backend->version == "2" ? backend->running : 0;
    return n >= 3;
  };
  if (how == "whole_load") {  // not in a trial, only when nearly all comes to it
    static std::deque<TimePoint> got;
    got.clear();
    backend.slowdown = [=](auto&) {
      got.push_back(w->now());
      while (got.front() < w->now() - Duration(500)) got.pop_front();
      return got.size() > 45 && bad() ? 0 : 1;
    };
  }
  if (how == "under_load") backend.slowdown = [=](auto&) { return busy() && bad() ? 0 : 1; };
}

// In the midst of the move, at a time drawn anew each seed.
void disturb(Scene& scene, const std::string& what, Duration within) {
  scene.fleet.spawn_outside([&scene, what, within] {
    scene.fleet.sleep(Duration(scene.world.below(static_cast<uint64_t>(within.count()))));
    auto* host = leader_host(scene);
    auto name = host ? host->name : std::string("h1");
    if (what == "duty") {
      if (may_lose(scene, scene.fleet.at(name))) scene.fleet.kill(name);
      scene.fleet.sleep(Duration(1000 + scene.world.below(3000)));
      scene.fleet.start_all();
    } else if (what == "freeze") {
      scene.world.freeze(name, scene.world.now() + Duration(2000 + scene.world.below(4000)));
    } else if (what == "restarts") {
      for (auto& x : scene.fleet.hosts())
        if (!x->has_disk) {
          scene.fleet.kill(x->name);
          scene.fleet.sleep(Duration(300));
          scene.fleet.start(x->name);
        }
    }
  });
}

void move_within(Scene& scene, const Plan& p) {
  scene.duration = Duration(70000);
  scene.script = [&scene, p] {
    if (!start_traffic(scene, 300, simulated_configuration(""))) return;
    auto state = [&scene](const char* what) {
      auto response = scene.fleet.operator_call("GET", std::string("/v1/") + what + "/app", "");
      auto j = base::Json::parse(response.body);
      auto* x = std::get_if<base::Json>(&j);
      return response.status == 200 && x ? *x : base::Json();
    };
    scene.require(scene.fleet.wait_until(Duration(8000),
                                         [&] { return state("services").at("current").string_or() == "1"; }),
                  "no version came into place");
    scene.require(scene.fleet.operator_call("GET", "/v1/moves/app", "").status == 404,
                  "a move was told of that nobody asked for");
    Duration term(12000 + static_cast<int64_t>(scene.world.below(5)) * 1000);
    int percent = 35 + static_cast<int>(scene.world.below(26));
    std::vector<simulation::SimulatedBackend*> mine;
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app") backend->min_latency = Duration(5), backend->max_latency = Duration(15);
    auto start = [&] {
      for (int i = 0; i < std::max(4, scene.fleet.shape().second_backends); ++i) {
        auto& backend = scene.fleet.add_backend("app", "2", 0);
        backend.min_latency = Duration(5);
        backend.max_latency = p.how == "under_load" ? Duration(40) : Duration(15);
        backend.warm_at = scene.world.now() + Duration(3000);
        spoil(scene, backend, p.how, percent);
        mine.push_back(&backend);
      }
    };
    if (scene.world.random(500)) start(), scene.fleet.sleep(Duration(scene.world.below(1000)));
    allow_version(scene, "2");
    auto from = scene.world.now();
    if (!p.how.empty())
      scene.fleet.event(fmt::format(
          R"("t":"bad_version","service":"app","version":"2","until":{},"slack":50)", (from + term).count()));
    auto order = fmt::format(R"({{"version":"2","within_ms":{}}})", term.count());
    scene.require(scene.fleet.wait_until(
                      Duration(3000),
                      [&] { return scene.fleet.operator_call("PUT", "/v1/moves/app", order).status == 200; }),
                  "the order was not taken");
    if (mine.empty()) scene.fleet.sleep(Duration(scene.world.below(500))), start();
    if (!p.trouble.empty()) disturb(scene, p.trouble, term);
    scene.require(scene.fleet.wait_until(
                      Duration(3000),
                      [&] { return scene.fleet.operator_call("PUT", "/v1/moves/app", order).status == 200; }),
                  "the order stated again was not taken");
    std::string now;
    scene.fleet.wait_until(term + Duration(9000), [&] {
      scene.fleet.sleep(Duration(200));
      now = state("moves").at("state").string_or();
      return now == "completed" || now == "rolled_back";
    });
    auto took = scene.world.now() - from;
    auto why = [&] {
      return fmt::format("{} after {} of {} ms: {}", now, took.count(), term.count(), state("moves").text());
    };
    scene.figures[now + "_" + (p.how.empty() ? "good" : p.how)] = 1;
    scene.figures["took_ms"] = static_cast<uint64_t>(took.count());
    if (now == "completed") {
      for (auto& backend : scene.fleet.backends())
        if (backend->service == "app" && backend->version == "1") backend->alive = false;
      auto calls = scene.fleet.calls, good = scene.fleet.good;
      scene.fleet.sleep(Duration(3000));
      scene.require(
          scene.fleet.calls - calls <= scene.fleet.good - good + 5 || !p.trouble.empty(),
          fmt::format("{} of {} calls failed when the old workers were halted",
                      scene.fleet.calls - calls - (scene.fleet.good - good), scene.fleet.calls - calls));
      scene.require(state("services").at("current").string_or() == "2", "it is completed and not in place");
    }
    if (p.how.empty() && p.trouble.empty())
      scene.require(now == "completed" && took <= term, "a good version is " + why());
    if (!p.how.empty())
      scene.require(now == "rolled_back" && (took <= term || !p.trouble.empty()),
                    "a bad version is " + why());
    scene.require(!now.empty() && now != "running", "the move came to no end: " + why());
    scene.fleet.sleep(Duration(9000));
    auto again = scene.fleet.operator_call("PUT", "/v1/moves/app", order);
    auto j = base::Json::parse(again.body);
    scene.require(again.lost || (std::holds_alternative<base::Json>(j) &&
                                 std::get<base::Json>(j).at("state").string_or() == now),
                  "the order come late once more began anew: " + again.body);
  };
}
// Where the layout names no versions, one that nobody asked for gets nothing while the
// one in place has workers; it takes its place when they have been gone for long.
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
                  "no version came into place");
    for (int i = 0; i < 3; ++i) scene.fleet.add_backend("app", "2", 0);
    scene.fleet.sleep(Duration(6000));
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app" && backend->version == "1") backend->alive = false;
    scene.fleet.sleep(Duration(9000));
    scene.require(current() == "1", "a version that nobody asked for took over at once");
    allow_version(scene, "2");  // nothing went to it until here, or the checker speaks
    scene.require(scene.fleet.wait_until(Duration(8000), [&] { return current() == "2"; }),
                  "nothing took the place of a version that is gone");
    scene.fleet.sleep(Duration(1000));
    auto good = scene.fleet.good;
    scene.fleet.sleep(Duration(2000));
    scene.require(scene.fleet.good > good + 80, "the service does not serve");
  };
}
}  // namespace

NamedCases version_rollout_scenarios() {
  NamedCases m;
  for (auto* how : {"errors", "slow", "one_route", "late", "under_load", "whole_load"}) {
    m["move_" + std::string(how)] = [how](Scene& scene) { move_within(scene, {how, ""}); };
    m["move_" + std::string(how) + "_duty"] = [how](Scene& scene) { move_within(scene, {how, "duty"}); };
  }
  m["version_gone"] = version_gone;
  m["move_good"] = [](Scene& scene) { move_within(scene, {"", ""}); };
  m["move_good_duty"] = [](Scene& scene) { move_within(scene, {"", "duty"}); };
  m["move_good_freeze"] = [](Scene& scene) { move_within(scene, {"", "freeze"}); };
  m["move_errors_freeze"] = [](Scene& scene) { move_within(scene, {"errors", "freeze"}); };
  m["move_errors_restarts"] = [](Scene& scene) { move_within(scene, {"errors", "restarts"}); };
  return m;
}

}  // namespace dunlinwing::test
