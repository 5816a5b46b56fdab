// The set of holders forms out of the seeds, grows to what the tolerance needs and
// heals, while machines fail; nothing that was acknowledged is lost.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

using Acked = std::map<std::string, std::string>;

// Layouts recorded one after the other, and the longest time between two that were taken.
struct Writer {
  std::shared_ptr<bool> stop = std::make_shared<bool>(false);
  std::shared_ptr<Acked> acked = std::make_shared<Acked>();
  std::shared_ptr<Duration> gap = std::make_shared<Duration>(0);
};

Writer writer(Scene& s, int most_nap) {
  Writer w;
  s.fleet.spawn_outside([&s, w, most_nap] {
    TimePoint last = s.world.now();
    for (int i = 0; !*w.stop; ++i) {
      auto name = fmt::format("r{}", i);
      auto doc = sim_layout("\"1\"", 1 + i % 9);
      if (s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202) {
        (*w.acked)[name] = doc;
        *w.gap = std::max<Duration>(*w.gap, s.world.now() - last);
        last = s.world.now();
      }
      s.fleet.sleep(Duration(1 + s.world.below(static_cast<uint64_t>(most_nap))));
    }
  });
  return w;
}

std::set<std::string> holders_at(simulation::Host& host) {
  std::set<std::string> out;
  for (auto& x : host.node->registers().set().all()) out.insert(x.name);
  return out;
}

// All that are up know this many holders, and each of those that is up votes.
bool settled(Scene& s, size_t n) {
  for (auto& h : s.fleet.hosts()) {
    if (!h->up()) continue;
    auto set = holders_at(*h);
    if (set.size() != n) return false;
    if (set.count(h->name) && h->node->acceptor()->non_voting()) return false;
  }
  return true;
}

void all_know(Scene& s, const Acked& acked) {
  for (auto& h : s.fleet.hosts())
    if (h->up()) knows(s, *h, acked);
}

// One is killed in any moment of forming, with its disk or without, or all are.
void forms(Scene& s) {
  s.length = Duration(70000);
  s.story = [&s] {
    auto kind = s.world.below(4);
    s.fleet.sleep(Duration((kind == 3 ? 20 : 0) + s.world.below(1500)));
    auto one = fmt::format("h{}", 1 + s.world.below(3));
    if (kind == 1 || kind == 2) {
      s.fleet.kill(one);
      if (kind == 2) s.fleet.wipe(one);
      s.fleet.sleep(Duration(2 + s.world.below(1500)));
      s.fleet.start(one);
    } else if (kind == 3) {
      // Not before the first sync of a blank disk: what remembers nothing cannot tell.
      for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
      s.fleet.sleep(Duration(2 + s.world.below(1500)));
      s.fleet.start_all();
    }
    s.figures[fmt::format("kind_{}", kind)] = 1;
    auto from = s.world.now();
    if (!s.fleet.wait_until(Duration(12000), [&] { return settled(s, 3); }))
      s.want(false, fmt::format("no set formed, kind {}", kind));
    s.figures["formed_ms"] = static_cast<uint64_t>((s.world.now() - from).count());
    if (!begin(s)) return;
    auto w = writer(s, 400);
    s.fleet.sleep(Duration(4000));
    // A disk lost later never forms anew: it is filled from the two others, and not from one.
    s.fleet.kill("h1");
    s.fleet.wipe("h1");
    s.fleet.kill("h2");
    s.fleet.sleep(Duration(500));
    s.fleet.start("h1");
    s.fleet.sleep(Duration(6000));
    s.want(s.fleet.at("h1").node->acceptor()->non_voting(), "a lost disk formed out of one other");
    s.fleet.start("h2");
    s.fleet.event(R"("t":"returned")");
    s.want(s.fleet.wait_until(Duration(10000), [&] { return settled(s, 3); }),
           "the lost disk was not filled");
    s.fleet.sleep(Duration(2000));
    *w.stop = true;
    s.fleet.sleep(Duration(6000));
    all_know(s, *w.acked);
    s.want(w.acked->size() > 5, "hardly anything was acknowledged");
  };
}

// A holder is gone for good, and a spare takes its place; then another is lost.
void heals(Scene& s) {
  s.length = Duration(110000);
  s.must_meet = {"kill", "lost_disk"};
  s.story = [&s] {
    if (!begin(s)) return;
    // As much as a fleet that has run for long holds.
    auto pads = std::make_shared<int>(0);
    auto* any = &s.fleet.at("h3");
    for (int k = 0; k < 8; ++k)
      s.world.spawn(any->process, [any, pads, k] {
        for (int i = k; i < 400; i += 8)
          *pads += std::holds_alternative<consensus::VersionedValue>(
              any->node->registers().write(fmt::format("pad/{}", i), 0, std::string(400, 'x')));
      });
    s.want(s.fleet.wait_until(Duration(20000), [&] { return *pads == 400; }),
           "the registers were not written");
    auto w = writer(s, 600);
    s.fleet.sleep(Duration(3000));
    auto out = fmt::format("h{}", 1 + s.world.below(3));
    s.fleet.kill(out);
    s.fleet.wipe(out);
    auto from = s.world.now();
    auto healed = [&] {
      for (auto& h : s.fleet.hosts())
        if (h->up() && (!holders_at(*h).count("x1") || holders_at(*h).count(out))) return false;
      return settled(s, 3);
    };
    uint64_t unready = 0;
    s.want(s.fleet.wait_until(Duration(45000),
                              [&] {
                                for (auto& h : s.fleet.hosts()) unready += h->up() && !h->node->ready();
                                return healed();
                              }),
           "the spare did not take the place of " + out);
    // The users count a loss as over four seconds (two bounds) after the successor's start,
    // which here is at hand already.
    s.want(s.world.now() - from <= Duration(4000),
           fmt::format("the repair took {} ms", (s.world.now() - from).count()));
    s.figures["unready_looks"] = unready;
    s.figures["healed_ms"] = static_cast<uint64_t>((s.world.now() - from).count());
    s.figures["longest_ack_gap_ms"] = static_cast<uint64_t>(w.gap->count());
    s.fleet.sleep(Duration(2000));
    auto next = out == "h1" ? "h2" : "h1";
    s.fleet.kill(next);
    s.fleet.wipe(next);
    s.fleet.sleep(Duration(1000));
    auto n = w.acked->size();
    s.fleet.sleep(Duration(6000));
    s.want(w.acked->size() > n, "one of the three present holders lost, and control stood still");
    s.fleet.start(next);
    s.fleet.start(out);  // comes back with an empty disk, as a spare
    s.want(s.fleet.wait_until(Duration(15000), [&] { return settled(s, 3); }),
           "the second lost disk was not filled");
    *w.stop = true;
    s.fleet.sleep(Duration(6000));
    all_know(s, *w.acked);
    s.figures["layouts_acked"] = w.acked->size();
  };
}

// Whether all that are up know a finished set of three that holds `in` and not `out`.
bool replaced(Scene& s, const std::string& out, const std::string& in) {
  for (auto& h : s.fleet.hosts()) {
    if (!h->up()) continue;
    auto set = holders_at(*h);
    if (h->node->registers().set().joint() || !set.count(in) || set.count(out)) return false;
  }
  return settled(s, 3);
}

// A replica leaves and its successor takes its place while it still votes; as soon as that
// counts no longer as a loss, another is lost for good, and then a disk of a third.
void second_loss(Scene& s) {
  static constexpr Duration kCatchUp{4000};  // after which the users count a loss as over
  s.length = Duration(110000);
  s.must_meet = {"kill", "lost_disk"};
  s.story = [&s] {
    if (!begin(s)) return;
    auto w = writer(s, 400);
    s.fleet.kill("x2");  // comes when the second one is lost
    s.fleet.sleep(Duration(2000));
    std::vector<std::string> seeds{"h1", "h2", "h3"};
    auto pick = [&] {
      auto i = s.world.below(seeds.size());
      auto name = seeds[i];
      seeds.erase(seeds.begin() + static_cast<long>(i));
      return name;
    };
    auto leaver = pick();
    auto from = s.world.now();
    s.fleet.at(leaver).node->begin_shutdown();
    s.want(s.fleet.wait_until(kCatchUp, [&] { return replaced(s, leaver, "x1"); }),
           leaver + " did not give its place in time");
    s.figures["planned_ms"] = static_cast<uint64_t>((s.world.now() - from).count());
    s.fleet.kill(leaver);
    s.fleet.wipe(leaver);
    s.fleet.sleep(kCatchUp);
    auto gone = pick();
    s.fleet.kill(gone);
    s.fleet.wipe(gone);
    s.fleet.sleep(Duration(1000));
    s.fleet.start("x2");
    from = s.world.now();
    s.want(s.fleet.wait_until(kCatchUp, [&] { return replaced(s, gone, "x2"); }),
           gone + " was not replaced in time");
    s.figures["lost_ms"] = static_cast<uint64_t>((s.world.now() - from).count());
    s.fleet.sleep(kCatchUp - std::min(kCatchUp, s.world.now() - from));
    auto third = pick();
    s.fleet.kill(third);
    s.fleet.wipe(third);
    auto acked = w.acked->size();
    s.fleet.sleep(Duration(1000));
    s.fleet.start(third);
    s.fleet.sleep(Duration(5000));
    s.want(w.acked->size() > acked, "control stood still after the third loss");
    s.want(settled(s, 3), "the wiped disk was not filled");
    s.want(s.fleet.at(third).node->acceptor()->refilled_registers().empty(), "copies were not written anew");
    *w.stop = true;
    s.fleet.sleep(Duration(6000));
    all_know(s, *w.acked);
    s.figures["longest_ack_gap_ms"] = static_cast<uint64_t>(w.gap->count());
    s.figures["layouts_acked"] = w.acked->size();
  };
}

// A replica that was away while registers were written has them on its disk soon after.
void catches_up(Scene& s) {
  s.length = Duration(60000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    auto w = writer(s, 100);
    s.fleet.sleep(Duration(1000));
    auto away = fmt::format("h{}", 1 + s.world.below(3));
    s.fleet.kill(away);
    s.fleet.sleep(Duration(6000));
    *w.stop = true;
    s.fleet.sleep(Duration(1000));
    s.fleet.start(away);
    auto& cache = s.fleet.at(away).node->state_cache();
    s.fleet.sleep(Duration(500));
    s.want(cache.has_read_lease(), "the restarted replica has no fresh contact");
    s.figures["behind_at_first"] = cache.registers_behind(away).size();
    s.want(s.fleet.wait_until(Duration(4000),
                              [&] { return cache.has_read_lease() && cache.registers_behind(away).empty(); }),
           fmt::format("{} registers are still not on the disk", cache.registers_behind(away).size()));
    s.want(w.acked->size() > 10, "hardly anything was acknowledged");
    s.fleet.sleep(Duration(2000));
    all_know(s, *w.acked);
  };
}

// Three seeds grow to five; then two disks are lost while all others lose power.
void grows(Scene& s) {
  s.length = Duration(80000);
  s.must_meet = {"kill", "lost_disk"};
  s.story = [&s] {
    auto from = s.world.now();
    auto w = writer(s, 300);
    if (!begin(s)) return;
    s.want(s.fleet.wait_until(Duration(20000), [&] { return settled(s, 5); }),
           "the set did not grow to five");
    s.figures["grown_ms"] = static_cast<uint64_t>((s.world.now() - from).count());
    s.figures["longest_ack_gap_ms"] = static_cast<uint64_t>(w.gap->count());
    s.fleet.sleep(Duration(2000 + s.world.below(3000)));
    std::vector<std::string> disks{"h1", "h2", "h3", "x1", "x2"};
    for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
    for (int k = 0; k < 2; ++k) {
      auto i = s.world.below(disks.size());
      s.fleet.wipe(disks[i]);
      disks.erase(disks.begin() + static_cast<long>(i));
    }
    s.fleet.sleep(Duration(100 + s.world.below(2000)));
    s.fleet.start_all();
    s.fleet.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after the cut");
    s.want(s.fleet.wait_until(Duration(10000), [&] { return settled(s, 5); }),
           "the lost disks were not filled");
    *w.stop = true;
    s.fleet.sleep(Duration(6000));
    all_know(s, *w.acked);
    s.figures["layouts_acked"] = w.acked->size();
  };
}

auto seeded(int tolerate) {
  return [tolerate](simulation::FleetShape& f) {
    f.seeded = true;
    f.replicas = 3;
    f.tolerate = tolerate;
  };
}
}  // namespace

NamedCases holder_stories() {
  return {{"forms", SimCase(forms, 0, seeded(1))},
          {"heals", SimCase(heals, 1, seeded(1))},
          {"second_loss", SimCase(second_loss, 2, seeded(1))},
          {"catches_up", SimCase(catches_up, 0, seeded(1))},
          {"grows", SimCase(grows, 2, seeded(2))}};
}

}  // namespace dunlinwing::test
