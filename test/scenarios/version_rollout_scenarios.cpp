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

void spoil(Scene& s, simulation::SimulatedBackend& x, const std::string& how, int percent) {
  auto* w = &s.world;
  auto* f = &s.fleet;
  auto bad = [w, percent] { return static_cast<int>(w->below(100)) < percent; };
  if (how == "errors") x.slowdown = [=](auto&) { return bad() ? 0 : 1; };
  if (how == "slow") x.slowdown = [=](auto&) { return bad() ? 8 : 1; };
  if (how == "one_route") x.slowdown = [=](auto& t) { return t.starts_with("/pay") && bad() ? 0 : 1; };
  auto from = w->now() + Duration(3000);
  if (how == "late") x.slowdown = [=](auto&) { return w->now() > from && bad() ? 0 : 1; };
  auto busy = [f] {
    int n = 0;
    for (auto& x : f->backends()) n += x->version == "2" ? x->running : 0;
    return n >= 3;
  };
  if (how == "whole_load") {  // not in a trial, only when nearly all comes to it
    static std::deque<TimePoint> got;
    got.clear();
    x.slowdown = [=](auto&) {
      got.push_back(w->now());
      while (got.front() < w->now() - Duration(500)) got.pop_front();
      return got.size() > 45 && bad() ? 0 : 1;
    };
  }
  if (how == "under_load") x.slowdown = [=](auto&) { return busy() && bad() ? 0 : 1; };
}

// In the midst of the move, at a time drawn anew each seed.
void disturb(Scene& s, const std::string& what, Duration within) {
  s.fleet.spawn_outside([&s, what, within] {
    s.fleet.sleep(Duration(s.world.below(static_cast<uint64_t>(within.count()))));
    auto* host = duty_holder(s);
    auto name = host ? host->name : std::string("h1");
    if (what == "duty") {
      if (may_fall(s, s.fleet.at(name))) s.fleet.kill(name);
      s.fleet.sleep(Duration(1000 + s.world.below(3000)));
      s.fleet.start_all();
    } else if (what == "freeze") {
      s.world.freeze(name, s.world.now() + Duration(2000 + s.world.below(4000)));
    } else if (what == "restarts") {
      for (auto& x : s.fleet.hosts())
        if (!x->has_disk) {
          s.fleet.kill(x->name);
          s.fleet.sleep(Duration(300));
          s.fleet.start(x->name);
        }
    }
  });
}

void move_within(Scene& s, const Plan& p) {
  s.length = Duration(70000);
  s.story = [&s, p] {
    if (!begin(s, 300, sim_layout(""))) return;
    auto state = [&s](const char* what) {
      auto t = s.fleet.operator_call("GET", std::string("/v1/") + what + "/app", "");
      auto j = base::Json::parse(t.body);
      auto* x = std::get_if<base::Json>(&j);
      return t.status == 200 && x ? *x : base::Json();
    };
    s.want(s.fleet.wait_until(Duration(8000),
                              [&] { return state("services").at("current").string_or() == "1"; }),
           "no version came into place");
    s.want(s.fleet.operator_call("GET", "/v1/moves/app", "").status == 404,
           "a move was told of that nobody asked for");
    Duration term(12000 + static_cast<int64_t>(s.world.below(5)) * 1000);
    int percent = 35 + static_cast<int>(s.world.below(26));
    std::vector<simulation::SimulatedBackend*> mine;
    for (auto& x : s.fleet.backends())
      if (x->service == "app") x->min_latency = Duration(5), x->max_latency = Duration(15);
    auto start = [&] {
      for (int i = 0; i < std::max(4, s.fleet.shape().second_backends); ++i) {
        auto& x = s.fleet.add_backend("app", "2", 0);
        x.min_latency = Duration(5);
        x.max_latency = p.how == "under_load" ? Duration(40) : Duration(15);
        x.warm_at = s.world.now() + Duration(3000);
        spoil(s, x, p.how, percent);
        mine.push_back(&x);
      }
    };
    if (s.world.random(500)) start(), s.fleet.sleep(Duration(s.world.below(1000)));
    allow(s, "2");
    auto from = s.world.now();
    if (!p.how.empty())
      s.fleet.event(fmt::format(R"("t":"bad_version","service":"app","version":"2","until":{},"slack":50)",
                                (from + term).count()));
    auto order = fmt::format(R"({{"version":"2","within_ms":{}}})", term.count());
    s.want(s.fleet.wait_until(
               Duration(3000),
               [&] { return s.fleet.operator_call("PUT", "/v1/moves/app", order).status == 200; }),
           "the order was not taken");
    if (mine.empty()) s.fleet.sleep(Duration(s.world.below(500))), start();
    if (!p.trouble.empty()) disturb(s, p.trouble, term);
    s.want(s.fleet.wait_until(
               Duration(3000),
               [&] { return s.fleet.operator_call("PUT", "/v1/moves/app", order).status == 200; }),
           "the order stated again was not taken");
    std::string now;
    s.fleet.wait_until(term + Duration(9000), [&] {
      s.fleet.sleep(Duration(200));
      now = state("moves").at("state").string_or();
      return now == "completed" || now == "rolled_back";
    });
    auto took = s.world.now() - from;
    auto why = [&] {
      return fmt::format("{} after {} of {} ms: {}", now, took.count(), term.count(), state("moves").text());
    };
    s.figures[now + "_" + (p.how.empty() ? "good" : p.how)] = 1;
    s.figures["took_ms"] = static_cast<uint64_t>(took.count());
    if (now == "completed") {
      for (auto& x : s.fleet.backends())
        if (x->service == "app" && x->version == "1") x->alive = false;
      auto calls = s.fleet.calls, good = s.fleet.good;
      s.fleet.sleep(Duration(3000));
      s.want(s.fleet.calls - calls <= s.fleet.good - good + 5 || !p.trouble.empty(),
             fmt::format("{} of {} calls failed when the old workers were halted",
                         s.fleet.calls - calls - (s.fleet.good - good), s.fleet.calls - calls));
      s.want(state("services").at("current").string_or() == "2", "it is completed and not in place");
    }
    if (p.how.empty() && p.trouble.empty())
      s.want(now == "completed" && took <= term, "a good version is " + why());
    if (!p.how.empty())
      s.want(now == "rolled_back" && (took <= term || !p.trouble.empty()), "a bad version is " + why());
    s.want(!now.empty() && now != "running", "the move came to no end: " + why());
    s.fleet.sleep(Duration(9000));
    auto again = s.fleet.operator_call("PUT", "/v1/moves/app", order);
    auto j = base::Json::parse(again.body);
    s.want(again.lost || (std::holds_alternative<base::Json>(j) &&
                          std::get<base::Json>(j).at("state").string_or() == now),
           "the order come late once more began anew: " + again.body);
  };
}
// Where the layout names no versions, one that nobody asked for gets nothing while the
// one in place has workers; it takes its place when they have been gone for long.
void version_gone(Scene& s) {
  s.length = Duration(60000);
  s.story = [&s] {
    if (!begin(s, 60, sim_layout(""))) return;
    auto current = [&s] {
      auto j = base::Json::parse(s.fleet.operator_call("GET", "/v1/services/app", "").body);
      auto* x = std::get_if<base::Json>(&j);
      return x ? x->at("current").string_or() : std::string();
    };
    s.want(s.fleet.wait_until(Duration(8000), [&] { return current() == "1"; }),
           "no version came into place");
    for (int i = 0; i < 3; ++i) s.fleet.add_backend("app", "2", 0);
    s.fleet.sleep(Duration(6000));
    for (auto& x : s.fleet.backends())
      if (x->service == "app" && x->version == "1") x->alive = false;
    s.fleet.sleep(Duration(9000));
    s.want(current() == "1", "a version that nobody asked for took over at once");
    allow(s, "2");  // nothing went to it until here, or the checker speaks
    s.want(s.fleet.wait_until(Duration(8000), [&] { return current() == "2"; }),
           "nothing took the place of a version that is gone");
    s.fleet.sleep(Duration(1000));
    auto good = s.fleet.good;
    s.fleet.sleep(Duration(2000));
    s.want(s.fleet.good > good + 80, "the service does not serve");
  };
}
}  // namespace

NamedCases move_stories() {
  NamedCases m;
  for (auto* how : {"errors", "slow", "one_route", "late", "under_load", "whole_load"}) {
    m["move_" + std::string(how)] = [how](Scene& s) { move_within(s, {how, ""}); };
    m["move_" + std::string(how) + "_duty"] = [how](Scene& s) { move_within(s, {how, "duty"}); };
  }
  m["version_gone"] = version_gone;
  m["move_good"] = [](Scene& s) { move_within(s, {"", ""}); };
  m["move_good_duty"] = [](Scene& s) { move_within(s, {"", "duty"}); };
  m["move_good_freeze"] = [](Scene& s) { move_within(s, {"", "freeze"}); };
  m["move_errors_freeze"] = [](Scene& s) { move_within(s, {"errors", "freeze"}); };
  m["move_errors_restarts"] = [](Scene& s) { move_within(s, {"errors", "restarts"}); };
  return m;
}

}  // namespace dunlinwing::test
