// Workers, versions, purges, crowds and slow machines, on a simulated fleet.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

// Workers crash, lose answers after doing the work, hand out wrong bytes and
// refuse, all at once.
void bad_workers(Scene& s) {
  s.length = Duration(80000);
  s.must_meet = {"lost_answer", "wrong_bytes", "bad_answer", "worker_refused", "worker_died_in_request"};
  s.story = [&s] {
    if (!begin(s, 60)) return;
    for (auto& x : s.fleet.backends()) {
      x->lose_percent = 4;
      x->wrong_percent = 4;
      x->bad_percent = 4;
      x->refuse_percent = 4;
      x->max_latency = Duration(400);
    }
    s.fleet.add_backend("app", "9", 0);  // of a version that no layout ever allowed
    for (int i = 0; i < 12; ++i) {
      s.fleet.sleep(Duration(1500));
      auto& old = *s.fleet.backends()[s.world.below(s.fleet.backends().size())];
      if (!old.alive) continue;
      auto service = old.service;
      auto age = old.max_age;
      s.fleet.add_backend(service, "1", age);
      old.alive = false;
    }
  };
}

// Workers are replaced one by one; each says that it leaves before it goes.
void replaced(Scene& s) {
  s.length = Duration(80000);
  s.story = [&s] {
    if (!begin(s, 60)) return;
    auto calls = s.fleet.calls, good = s.fleet.good;
    for (size_t i = 0; i < 6; ++i) {
      auto& old = *s.fleet.backends()[i];
      s.fleet.add_backend(old.service, "1", old.max_age);
      s.fleet.sleep(Duration(1500));
      s.fleet.backends()[i]->leaving = true;
      s.fleet.sleep(Duration(4500));
      s.fleet.backends()[i]->alive = false;
    }
    calls = s.fleet.calls - calls;
    good = s.fleet.good - good;
    s.want(good * 1000 >= calls * 999, fmt::format("only {} of {} calls went well", good, calls));
  };
}

// A worker's address passes to a worker of the other service.
void address_reuse(Scene& s) {
  s.length = Duration(70000);
  s.must_meet = {"wrong_address"};
  s.story = [&s] {
    if (!begin(s, 60)) return;
    for (int i = 0; i < 4; ++i) {
      auto& old = *s.fleet.backends()[static_cast<size_t>(i)];
      old.alive = false;
      auto& n =
          s.fleet.add_backend(old.service == "app" ? "content" : "app", "1", old.service == "app" ? 3 : 0);
      n.address = s.fleet.backends()[static_cast<size_t>(i)]->address;
      s.fleet.sleep(Duration(6000));
      s.fleet.add_backend(s.fleet.backends()[static_cast<size_t>(i)]->service, "1",
                          s.fleet.backends()[static_cast<size_t>(i)]->max_age);
    }
  };
}

// A worker's address passes to a program that is none of ours: it runs whatever it
// gets, and says 421 for reasons of its own.
void foreign_address(Scene& s) {
  s.length = Duration(60000);
  s.must_meet = {"foreign"};
  s.story = [&s] {
    if (!begin(s, 80)) return;
    for (int i = 0; i < 3; ++i) {
      auto k = s.fleet.backends().size() - 1 - s.world.below(3);
      s.fleet.backends()[k]->alive = false;
      auto address = s.fleet.backends()[k]->address;
      auto& x = s.fleet.add_backend("app", "1", 0);
      x.foreign = true;
      x.address = address;
      s.fleet.sleep(Duration(6000));
      x.alive = false;
      s.fleet.add_backend("app", "1", 0);
      s.fleet.sleep(Duration(4000));
    }
  };
}

void slow_workers(Scene& s) {
  s.length = Duration(70000);
  s.must_meet = {"slow_worker"};
  s.story = [&s] {
    if (!begin(s, 60)) return;
    for (int round = 0; round < 4; ++round) {
      for (auto& x : s.fleet.backends()) {
        bool slow = s.world.random(500);
        x->min_latency = Duration(slow ? 500 : 1);
        x->max_latency = Duration(slow ? 4000 : 8);
      }
      s.fleet.sleep(Duration(6000));
    }
    for (auto& x : s.fleet.backends()) {
      x->min_latency = Duration(1);
      x->max_latency = Duration(8);
    }
    s.fleet.sleep(Duration(6000));
    auto calls = s.fleet.calls, good = s.fleet.good;
    s.fleet.sleep(Duration(8000));
    s.want((s.fleet.good - good) * 100 >= (s.fleet.calls - calls) * 98,
           "no recovery after the workers were quick again");
  };
}

// One worker is busy with work that no relay gave it, and says so in its answers.
void told_load(Scene& s) {
  s.length = Duration(50000);
  s.story = [&s] {
    if (!begin(s, 120)) return;
    simulation::SimulatedBackend* busy = nullptr;
    int n = 0;
    for (auto& x : s.fleet.backends())
      if (x->service == "app") ++n, busy = x.get();
    auto runs = [&] {
      std::pair<int, int> c;
      for (auto& l : s.world.journal)
        if (l.find("\"t\":\"run\"") != l.npos && l.find("\"service\":\"app\"") != l.npos)
          ++c.first, c.second += l.find("\"" + busy->instance + "\"") != l.npos;
      return c;
    };
    auto part = [&](const char* when) {
      auto a = runs();
      s.fleet.sleep(Duration(10000));
      auto b = runs();
      s.figures[when] = static_cast<uint64_t>((b.second - a.second) * 100 / std::max(1, b.first - a.first));
      return s.figures[when];
    };
    auto even = part("percent_before");
    busy->load = 40;
    s.fleet.sleep(Duration(1000));
    auto less = part("percent_under_load");
    busy->load = 0;
    s.fleet.sleep(Duration(2000));
    auto again = part("percent_after");
    s.want(less * 2 < even, fmt::format("{} percent before, {} under load", even, less));
    s.want(again * 2 > even, fmt::format("{} percent before, {} when the load was gone", even, again));
  };
}

void purge_storm(Scene& s) {
  s.length = Duration(60000);
  s.story = [&s] {
    if (!begin(s, 40)) return;
    auto done = std::make_shared<int>(0);
    for (int i = 0; i < 400; ++i) {
      s.fleet.spawn_outside([&s, i, done] {
        *done += purge(s, fmt::format("storm{}", i), i % 3 ? "path" : "prefix", fmt::format("/c/{}", i % 20));
      });
      if (i % 40 == 0) s.fleet.sleep(Duration(300));
    }
    s.fleet.sleep(Duration(10000));
    s.want(*done > 390, fmt::format("only {} of 400 purges were taken, {} had 503, {} were lost", *done,
                                    s.figures["purge_503"], s.figures["purge_0_lost"]));
    pb::PurgeSet set;
    for (auto& h : s.fleet.hosts())
      if (auto f = h->node->state_cache().chosen().find("purge/content");
          f != h->node->state_cache().chosen().end())
        set.ParseFromString(f->second.data);
    s.want(set.purges_size() > 0 && set.purges_size() <= 128, "the purges are not bounded");
    s.figures["purges_taken"] = static_cast<uint64_t>(*done);
    s.figures["purges_kept"] = static_cast<uint64_t>(set.purges_size());
  };
}

// Everybody wants one service at once: the other goes on, and afterwards all is
// as before without an operator.
void crowd(Scene& s) {
  s.length = Duration(60000);
  s.away_within = Duration(1200);
  s.story = [&s] {
    auto doc = sim_layout();
    auto tight = std::string(R"("rate":0,"inflight":4,"waitlist":8)");
    doc.replace(doc.find("\"rate\":0"), 8, tight);
    if (!begin(s, 30, doc)) return;
    for (auto& x : s.fleet.backends())
      if (x->service == "app") x->min_latency = Duration(150), x->max_latency = Duration(250);
    auto end = s.world.now() + Duration(10000);
    auto calls = std::make_shared<uint64_t>(0), away = std::make_shared<uint64_t>(0);
    s.fleet.generate_requests(500, end, [&s, calls, away] {
      ++*calls;
      *away += s.fleet.call("GET", fmt::format("/a/{}", s.world.below(100000))) == 503;
    });
    auto n = std::make_shared<std::pair<uint64_t, uint64_t>>();
    while (s.world.now() < end) {
      s.fleet.sleep(Duration(50));
      s.fleet.spawn_outside([&s, n] {
        ++n->first;
        n->second += s.fleet.call("GET", fmt::format("/c/{}", s.world.below(1000))) == 200;
      });
    }
    s.fleet.sleep(Duration(3000));
    s.want(n->first > 50 && n->second * 100 >= n->first * 97,
           fmt::format("the other service starved: {} of {}", n->second, n->first));
    auto c0 = s.fleet.calls, g0 = s.fleet.good;
    s.fleet.sleep(Duration(5000));
    s.want((s.fleet.good - g0) * 100 >= (s.fleet.calls - c0) * 95,
           "no recovery after the crowd");  // some are under way
    s.figures = {{"crowd_calls", *calls},
                 {"crowd_turned_away", *away},
                 {"other_calls", n->first},
                 {"other_good", n->second}};
    s.want(*away > 100, "there was no crowd");
  };
}

void slow_disks(Scene& s) {
  s.length = Duration(70000);
  s.must_meet = {"slow_disk"};
  s.story = [&s] {
    if (!begin(s)) return;
    for (int i = 0; i < 2; ++i) {
      auto& contents = s.fleet.at(fmt::format("h{}", 1 + i * 2)).disk_contents;
      contents.min_latency = Duration(300);
      contents.max_latency = Duration(2500);
    }
    Duration worst{0};
    for (int i = 0; i < 8; ++i) {
      auto from = s.world.now();
      put(s, fmt::format("r{}", i), sim_layout("\"1\"", 3 + i));
      worst = std::max<Duration>(worst, s.world.now() - from);
      s.fleet.sleep(Duration(2000));
    }
    s.want(worst < Duration(1500), fmt::format("a write took {} ms beside two slow disks", worst.count()));
    s.figures = {{"worst_write_ms", static_cast<uint64_t>(worst.count())}};
    s.want(serves(s, Duration(5000)), "slow disks made relays unready");
  };
}

// Wall clocks jump by days, both ways; nothing but quiet hours may notice.
void clock_jumps(Scene& s) {
  s.length = Duration(110000);
  s.story = [&s] {
    if (!begin(s, 60)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 30; ++i) {
      auto& h = s.fleet.hosts()[s.world.below(s.fleet.hosts().size())];
      h->wall_offset_ms += static_cast<int64_t>(s.world.below(4 * 86400000ull)) - 2 * 86400000ll;
      ++s.world.faults_met["clock_jump"];
      s.fleet.sleep(Duration(1000));
    }
    s.want(reach(s, "second", "DONE", Duration(60000)), "clock jumps held a release up");
    s.want(s.fleet.good * 100 > s.fleet.calls * 99, "clock jumps hurt traffic");
  };
  s.must_meet = {"clock_jump"};
}

// Everything at once, and then the acknowledged configuration is read back from
// each relay, byte for byte.
void end_of_day(Scene& s) {
  s.length = Duration(160000);
  s.must_meet = {"kill", "freeze", "loss", "cut", "lost_disk"};
  s.story = [&s] {
    if (!begin(s, 40)) return;
    s.world.weather = {10, 10, Duration(1), Duration(20)};
    std::map<std::string, std::string> acked;
    for (int i = 0; i < 30; ++i) {
      auto& h = s.fleet.hosts()[s.world.below(s.fleet.hosts().size())];
      int down = 0;
      for (auto& x : s.fleet.hosts()) down += x->has_disk && (!x->up() || x->node->acceptor()->non_voting());
      switch (s.world.below(6)) {
        case 0:
          if (may_fall(s, *h)) s.fleet.kill(h->name);
          break;
        case 1:
          s.world.freeze(h->name, s.world.now() + Duration(s.world.below(5000)));
          break;
        case 2:
          s.fleet.isolate(h->name);
          break;
        case 3:
          if (h->up() && h->has_disk && down == 0) {
            s.fleet.kill(h->name);
            s.fleet.wipe(h->name);
          }
          break;
        case 4:
          purge(s, fmt::format("d{}", i), "prefix", "/c/");
          break;
        default: {
          auto name = fmt::format("day{}", i);
          auto doc = sim_layout("\"1\"", 1 + static_cast<int>(s.world.below(9)));
          if (s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202)
            acked[name] = doc;
        }
      }
      s.fleet.sleep(Duration(s.world.below(2500)));
      if (s.world.random(400)) s.world.heal_all();
      for (auto& x : s.fleet.hosts())
        if (!x->up() && s.world.random(400)) s.fleet.start(x->name);
    }
    s.world.heal_all();
    s.world.weather = s.fleet.normal_conditions();
    s.fleet.start_all();
    s.fleet.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after the machines returned");
    // One frozen at the last counts as ready until its lease ends, and hears nothing meanwhile.
    auto awake = [&s] {
      return std::none_of(s.fleet.hosts().begin(), s.fleet.hosts().end(),
                          [&s](auto& h) { return s.world.frozen(h->name); });
    };
    uint64_t frozen_at_the_look = !awake();
    s.want(s.fleet.wait_until(Duration(5000), awake), "a freeze did not end");
    s.fleet.sleep(Duration(2000));
    for (auto& h : s.fleet.hosts()) knows(s, *h, acked);
    s.figures = {{"layouts_read_back", acked.size()}, {"frozen_at_the_look", frozen_at_the_look}};
    s.fleet.sleep(Duration(20000));
  };
}
}  // namespace

NamedCases traffic_stories() {
  return {{"bad_workers", bad_workers},     {"replaced", replaced},
          {"address_reuse", address_reuse}, {"foreign_address", foreign_address},
          {"slow_workers", slow_workers},   {"told_load", told_load},
          {"purge_storm", purge_storm},     {"crowd", crowd},
          {"slow_disks", slow_disks},       {"clock_jumps", clock_jumps},
          {"end_of_day", end_of_day}};
}

}  // namespace dunlinwing::test
