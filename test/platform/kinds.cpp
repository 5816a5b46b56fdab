// The kinds of trouble that a day may have, under the names that the users' platform
// gives them. What each wants to see beside the rules stands in it.
#include <fmt/format.h>

#include "platform/day.hpp"

namespace dunlinwing::test {
std::map<std::string, Kind> machine_kinds();

namespace {

void config_change(Day& y) {
  for (int i = 0; i < 7; ++i) {
    y.want(y.change(y.w.draw() % 1000000), "a configuration was not taken");
    y.f.sleep(Duration(300 + y.below(2000)));
  }
}

// Two operators at once, under one number, of whom one is confirmed and the other gets no
// clear answer; and an older change comes again.
void config_race(Day& y) {
  for (int i = 0; i < 3; ++i) {
    auto n = y.page.revision + 2;
    auto a = next_page(y.page, n, 3 + 5 * y.below(80)), b = next_page(y.page, n, 4 + 5 * y.below(9));
    auto old = y.page;
    int left = 3, confirmed = 0;
    for (auto* p : {&a, &b})
      y.f.spawn_outside([&y, p = *p, &left, &confirmed] {
        auto what = fmt::format("configuration {} in a race", p.revision);
        confirmed += y.op.put_text(what, p, p.text(), true, Duration(2500)) == 200;
        --left;
      });
    y.f.spawn_outside([&y, old, &left] {
      y.want(y.op.put(old), "an older configuration was not acknowledged");
      --left;
    });
    y.f.wait_until(Duration(25000), [&] { return left == 0; });
    y.want(confirmed == 1, fmt::format("{} of two operators under one number were confirmed", confirmed));
    y.op.read_back(Duration(100));
    y.page = y.d.read_back.back().text == b.text() ? b : a;
    y.f.sleep(Duration(500));
  }
}

void bad_config(Day& y) {
  auto all = invalid_texts(y.page, y.page.revision + 50);
  for (auto& [what, text] : all) {
    Page p;
    p.revision = y.page.revision + 50;
    int st = y.op.put_text(what, p, text, false);
    y.want(st / 100 == 4, fmt::format("{} got {}", what, st));
    y.clients.probe("bad.example", "/bad/x");
    y.f.sleep(Duration(150));
  }
  y.op.read_back(Duration(100));
  y.f.sleep(Duration(2500));
  y.clients.probe("bad.example", "/bad/x");
  y.want(y.change(0), "a valid configuration was not taken after invalid ones");
}

std::string object(Day& y) { return fmt::format("/obj/{:x}", y.below(40)); }

void purge(Day& y) {
  for (int i = 0; i < 12; ++i) {
    auto o = object(y);
    y.yard.change(o);
    bool tag = y.below(3) == 0;
    if (tag)  // all that go by it
      for (auto& [k, t] : y.d.tags)
        if (t == y.d.tags[o] && k != o) y.yard.change(k);
    y.want(y.op.purge("a.example", tag ? "" : o, tag ? y.d.tags[o] : ""), "a purge was not taken");
    y.f.sleep(Duration(600 + y.below(500)));
  }
}

void purge_storm(Day& y) {
  auto end = y.w.now() + Duration(6000);
  while (y.w.now() < end) {
    y.f.spawn_outside([&y] {
      auto o = object(y);
      y.yard.change(o);
      y.want(y.op.purge("a.example", o, ""), "a purge was not taken");
    });
    y.f.sleep(Duration(60));
  }
  y.f.sleep(Duration(3000));
}

void release(Day& y) {
  for (auto* service : {"wuno", "huvo"})
    for (auto* s : y.yard.of(service)) {
      if (y.below(2)) continue;
      y.yard.add(service, "v1", Duration(2000));
      y.f.sleep(Duration(1000));
      y.f.spawn_outside([&y, s] { y.yard.drain(*s); });
    }
  y.f.sleep(Duration(3500));
}

// Their addresses go to workers of the other service.
void replace_with_reuse(Day& y) {
  bool drained = y.below(2);
  auto v = y.yard.of("wuno");
  for (int i = 0; i < 2; ++i) {
    auto* s = v[i];
    y.f.spawn_outside([&y, s, drained] {
      drained ? y.yard.drain(*s) : y.yard.crash(*s);
      y.f.sleep(Duration(2000 + y.below(500)));
      y.yard.add("huvo", "v1", Duration(1000), s->address);
    });
  }
  y.f.sleep(Duration(9000));
}

void scale_in(Day& y) {
  auto v = y.yard.of("wuno");
  for (size_t i = 0; i < 3; ++i) y.f.spawn_outside([&y, s = v[i]] { y.yard.drain(*s); });
  y.f.sleep(Duration(4000));
}

void srv_crash(Day& y) {
  auto v = y.yard.of("wuno"), u = y.yard.of("huvo");
  bool dark = y.below(2);
  for (auto* s : {v[0], u[0]}) y.yard.crash(*s, dark);
  y.f.sleep(Duration(5000));
  for (auto* s : {v[0], u[0]}) {
    if (dark)
      s->dark = false;
    else
      y.yard.add(s->service, "v1", Duration(2000));
  }
  y.f.sleep(Duration(3000));
  y.floor = 0.85;
}

void srv_slow(Day& y) {
  for (auto* n : {"wuno", "huvo"}) {
    auto v = y.yard.of(n);
    for (size_t i = 0; i < v.size(); ++i)
      if (i == 0 || y.below(3) == 0) v[i]->slower = 4;
  }
  y.f.sleep(Duration(5000));
  for (auto* n : {"wuno", "huvo"})
    for (auto* s : y.yard.of(n)) s->slower = 1;
  y.f.sleep(Duration(2000));
}

// Every worker of one service is slow, and clients do not wait as told.
void crowd(Day& y) {
  y.clients.impatient = true;
  for (auto* s : y.yard.of("wuno")) s->slower = 24;
  y.f.sleep(Duration(8000));
  for (auto* s : y.yard.of("wuno")) s->slower = 1;
  y.f.sleep(Duration(3000));
  y.floor = 0.3;
}

void misbehave(Day& y, int Server::*how, int permille) {
  y.d.origin_trouble.push_back(y.w.now());
  for (auto* n : {"wuno", "huvo"}) {
    auto v = y.yard.of(n);
    for (size_t i = 0; i < v.size(); i += 2) v[i]->*how = permille;
  }
  y.f.sleep(Duration(9000));
}

// The origin of the objects takes only so much, and they are kept but shortly.
void ceiling(Day& y) {
  auto p = y.page;
  p.revision += 1;
  p.lines[0].keep_s = 0.5;
  y.want(y.op.put(p), "a configuration was not taken");
  y.page = p;
  y.f.sleep(Duration(5000));
  y.kill_for(y.any(false).name, Duration(500));
  y.f.sleep(Duration(5000));
  y.floor = 0.3;
}

void rollout(Day& y, bool bad) {
  std::string service = y.below(2) ? "wuno" : "huvo";
  auto old = y.yard.of(service);
  std::vector<Server*> fresh;
  for (size_t i = 0; i < old.size(); ++i) fresh.push_back(&y.yard.add(service, "v2", Duration(2000)));
  auto how = y.below(4);
  auto from = y.w.now() + Duration(5000);
  for (auto* s : fresh) {
    auto& world = y.w;
    auto hit = [&world] { return world.below(2) == 0; };
    if (!bad) continue;
    if (how == 0) s->bad = [hit](auto&) { return hit() ? 0 : 1; };
    if (how == 1) s->bad = [hit](auto&) { return hit() ? 8 : 1; };
    if (how == 2) s->bad = [hit, &world, from](auto&) { return world.now() > from && hit() ? 0 : 1; };
    if (how == 3)
      s->bad = [hit](auto& t) {
        return t.starts_with("/post/") || t.starts_with("/obj/") ? hit() ? 0 : 1 : 1;
      };
  }
  y.f.sleep(Duration(1700));
  Duration within(12000);
  y.want(y.op.move(service, "v2", within, bad), "a rollout was not taken");
  auto& m = y.d.moves.back();
  while (y.w.now() < m.term) {
    auto st = y.op.state(service);
    if (st == "completed" || st == "rolled_back") {
      m.state = st;
      m.ended = y.w.now();
      break;
    }
    y.f.sleep(Duration(250));
  }
  y.want(m.state == (bad ? "rolled_back" : "completed"),
         fmt::format("{} v2 of {} ended {}, how {}", bad ? "bad" : "good", service, m.state, how));
  if (m.state == "completed")
    for (auto* s : old) s->alive = false;
  if (m.state == "rolled_back") {
    y.f.sleep(Duration(2000));
    for (auto* s : fresh) y.f.spawn_outside([&y, s] { y.yard.drain(*s); });
  }
  y.f.sleep(Duration(4000));
}
// Half of the acknowledgements to the operator are lost, and it sends the same again. The
// rollout comes alone, since a change of routes takes away what a good version is judged by.
void ack_lost(Day& y) {
  y.op.lost_permille = 500;
  int left = 2;
  for (auto* n : {"config_change", "purge"})
    y.f.spawn_outside([&y, n, &left] {
      kinds().at(n).run(y);
      --left;
    });
  y.want(y.f.wait_until(Duration(40000), [&] { return left == 0; }), "the operator's work did not end");
  rollout(y, false);
  y.op.lost_permille = 0;
}

// An operator's work, something that befalls machines and workers that misbehave, at once.
void mix(Day& y) {
  static const char* const orders[] = {"config_change", "purge", "release", "rollout_bad", "scale_in"};
  static const char* const machines[] = {"node_kill", "herd_kill", "roll_term", "srv_crash"};
  static const char* const workers[] = {"answer_lost", "garble_cut", "garble_extra", "srv_slow"};
  int left = 3;
  for (auto* n : {orders[y.below(5)], machines[y.below(4)], workers[y.below(4)]})
    y.f.spawn_outside([&y, n, &left] {
      kinds().at(n).run(y);
      --left;
    });
  y.want(y.f.wait_until(Duration(50000), [&] { return left == 0; }), "the mixed troubles did not end");
  y.floor = 0.5;
}
}  // namespace

const std::map<std::string, Kind>& kinds() {
  static const auto all = [] {
    std::map<std::string, Kind> m{
        {"config_change", {config_change}},
        {"config_race", {config_race}},
        {"bad_config", {bad_config}},
        {"purge", {purge}},
        {"purge_storm", {purge_storm}},
        {"release", {release}},
        {"replace_with_reuse", {replace_with_reuse, 200}},
        {"scale_in", {scale_in}},
        {"srv_crash", {srv_crash}},
        {"srv_slow", {srv_slow, 120}},
        {"crowd", {crowd, 200, 0, {"not_run_503", "reset_when_full"}}},
        {"ceiling", {ceiling, 90, 20}},
        {"answer_lost", {[](Day& y) { misbehave(y, &Server::lose, 30); }, 60, 0, {"answer_lost"}}},
        {"garble_cut", {[](Day& y) { misbehave(y, &Server::cut, 20); }, 60, 0, {"answer_cut"}}},
        {"garble_spoilt", {[](Day& y) { misbehave(y, &Server::spoil, 20); }, 60, 0, {"answer_spoilt"}}},
        {"garble_extra", {[](Day& y) { misbehave(y, &Server::extra, 30); }, 60, 0, {"answer_extra"}}},
        {"ack_lost", {ack_lost, 240, 0, {"ack_lost"}}},
        {"mix", {mix}},
        {"rollout_good", {[](Day& y) { rollout(y, false); }, 240}},
        {"rollout_bad", {[](Day& y) { rollout(y, true); }, 240}}};
    m.merge(machine_kinds());
    return m;
  }();
  return all;
}

}  // namespace dunlinwing::test
