// Moves with a term, as an operator sees them: new workers start cold beside the old
// ones, the order comes, and what it ends in is acted on at once.
#include <deque>

#include "story.hpp"

namespace dunlinwing::test {
namespace {

struct Plan {
  std::string
      how;  // of the bad version: errors, slow, one_route, late, under_load, whole_load; empty: a good one
  std::string trouble;  // leadership, freeze or restarts, in its midst
};

void spoil(Scene& s, simulation::Worker& x, const std::string& how, int percent) {
  auto* w = &s.w;
  auto* f = &s.f;
  auto bad = [w, percent] { return static_cast<int>(w->below(100)) < percent; };
  if (how == "errors") x.spoils = [=](auto&) { return bad() ? 0 : 1; };
  if (how == "slow") x.spoils = [=](auto&) { return bad() ? 8 : 1; };
  if (how == "one_route") x.spoils = [=](auto& t) { return t.starts_with("/pay") && bad() ? 0 : 1; };
  auto from = w->now() + Duration(3000);
  if (how == "late") x.spoils = [=](auto&) { return w->now() > from && bad() ? 0 : 1; };
  auto busy = [f] {
    int n = 0;
    for (auto& x : f->workers()) n += x->version == "2" ? x->running : 0;
    return n >= 3;
  };
  if (how == "whole_load") {  // not in a trial, only when nearly all comes to it
    static std::deque<TimePoint> got;
    got.clear();
    x.spoils = [=](auto&) {
      got.push_back(w->now());
      while (got.front() < w->now() - Duration(500)) got.pop_front();
      return got.size() > 45 && bad() ? 0 : 1;
    };
  }
  if (how == "under_load") x.spoils = [=](auto&) { return busy() && bad() ? 0 : 1; };
}

// In the midst of the move, at a time drawn anew each seed.
void disturb(Scene& s, const std::string& what, Duration within) {
  s.f.outside([&s, what, within] {
    s.f.sleep(Duration(s.w.below(static_cast<uint64_t>(within.count()))));
    auto* h = duty_holder(s);
    auto name = h ? h->name : std::string("h1");
    if (what == "duty") {
      if (may_fall(s, s.f.at(name))) s.f.kill(name);
      s.f.sleep(Duration(1000 + s.w.below(3000)));
      s.f.start_all();
    } else if (what == "freeze") {
      s.w.freeze(name, s.w.now() + Duration(2000 + s.w.below(4000)));
    } else if (what == "restarts") {
      for (auto& x : s.f.hosts())
        if (!x->holder) {
          s.f.kill(x->name);
          s.f.sleep(Duration(300));
          s.f.start(x->name);
        }
    }
  });
}

void move_within(Scene& s, const Plan& p) {
  s.length = Duration(70000);
  s.story = [&s, p] {
    if (!begin(s, 300, sim_layout(""))) return;
    auto state = [&s](const char* what) {
      auto t = s.f.tell("GET", std::string("/v1/") + what + "/app", "");
      auto j = base::Json::parse(t.body);
      auto* x = std::get_if<base::Json>(&j);
      return t.status == 200 && x ? *x : base::Json();
    };
    s.want(s.f.until(Duration(8000), [&] { return state("services").at("current").str() == "1"; }),
           "no version came into place");
    s.want(s.f.tell("GET", "/v1/moves/app", "").status == 404, "a move was told of that nobody asked for");
    Duration term(12000 + static_cast<int64_t>(s.w.below(5)) * 1000);
    int percent = 35 + static_cast<int>(s.w.below(26));
    std::vector<simulation::Worker*> mine;
    for (auto& x : s.f.workers())
      if (x->service == "app") x->least = Duration(5), x->most = Duration(15);
    auto start = [&] {
      for (int i = 0; i < std::max(4, s.f.shape().second); ++i) {
        auto& x = s.f.add_worker("app", "2", 0);
        x.least = Duration(5);
        x.most = p.how == "under_load" ? Duration(40) : Duration(15);
        x.warm_at = s.w.now() + Duration(3000);
        spoil(s, x, p.how, percent);
        mine.push_back(&x);
      }
    };
    if (s.w.random(500)) start(), s.f.sleep(Duration(s.w.below(1000)));
    allow(s, "2");
    auto from = s.w.now();
    if (!p.how.empty())
      s.f.event(fmt::format(R"("t":"bad_version","service":"app","version":"2","until":{},"slack":50)",
                            (from + term).count()));
    auto order = fmt::format(R"({{"version":"2","within_ms":{}}})", term.count());
    s.want(s.f.until(Duration(3000), [&] { return s.f.tell("PUT", "/v1/moves/app", order).status == 200; }),
           "the order was not taken");
    if (mine.empty()) s.f.sleep(Duration(s.w.below(500))), start();
    if (!p.trouble.empty()) disturb(s, p.trouble, term);
    s.want(s.f.until(Duration(3000), [&] { return s.f.tell("PUT", "/v1/moves/app", order).status == 200; }),
           "the order stated again was not taken");
    std::string now;
    s.f.until(term + Duration(9000), [&] {
      s.f.sleep(Duration(200));
      now = state("moves").at("state").str();
      return now == "completed" || now == "rolled_back";
    });
    auto took = s.w.now() - from;
    auto why = [&] {
      return fmt::format("{} after {} of {} ms: {}", now, took.count(), term.count(), state("moves").text());
    };
    s.figures[now + "_" + (p.how.empty() ? "good" : p.how)] = 1;
    s.figures["took_ms"] = static_cast<uint64_t>(took.count());
    if (now == "completed") {
      for (auto& x : s.f.workers())
        if (x->service == "app" && x->version == "1") x->alive = false;
      auto calls = s.f.calls, good = s.f.good;
      s.f.sleep(Duration(3000));
      s.want(s.f.calls - calls <= s.f.good - good + 5 || !p.trouble.empty(),
             fmt::format("{} of {} calls failed when the old workers were halted",
                         s.f.calls - calls - (s.f.good - good), s.f.calls - calls));
      s.want(state("services").at("current").str() == "2", "it is completed and not in place");
    }
    if (p.how.empty() && p.trouble.empty())
      s.want(now == "completed" && took <= term, "a good version is " + why());
    if (!p.how.empty())
      s.want(now == "rolled_back" && (took <= term || !p.trouble.empty()), "a bad version is " + why());
    s.want(!now.empty() && now != "running", "the move came to no end: " + why());
    s.f.sleep(Duration(9000));
    auto again = s.f.tell("PUT", "/v1/moves/app", order);
    auto j = base::Json::parse(again.body);
    s.want(again.lost ||
               (std::holds_alternative<base::Json>(j) && std::get<base::Json>(j).at("state").str() == now),
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
      auto j = base::Json::parse(s.f.tell("GET", "/v1/services/app", "").body);
      auto* x = std::get_if<base::Json>(&j);
      return x ? x->at("current").str() : std::string();
    };
    s.want(s.f.until(Duration(8000), [&] { return current() == "1"; }), "no version came into place");
    for (int i = 0; i < 3; ++i) s.f.add_worker("app", "2", 0);
    s.f.sleep(Duration(6000));
    for (auto& x : s.f.workers())
      if (x->service == "app" && x->version == "1") x->alive = false;
    s.f.sleep(Duration(9000));
    s.want(current() == "1", "a version that nobody asked for took over at once");
    allow(s, "2");  // nothing went to it until here, or the checker speaks
    s.want(s.f.until(Duration(8000), [&] { return current() == "2"; }),
           "nothing took the place of a version that is gone");
    s.f.sleep(Duration(1000));
    auto good = s.f.good;
    s.f.sleep(Duration(2000));
    s.want(s.f.good > good + 80, "the service does not serve");
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
