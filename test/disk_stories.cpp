// Disks of replicas that fail for some seconds and work again: full, refusing every write, or
// answering nothing. The replica is mute meanwhile, votes again within a second of the end, and
// nothing that was acknowledged is lost, whichever other replica falls right then.
#include "story.hpp"

namespace dunlinwing::test {
namespace {

constexpr Duration kVotesAgain{1000};

enum class DiskFault { full, refusing, stalled };

using Acked = std::map<std::string, std::string>;

// Records one layout after the other until it is stopped.
struct Writer {
  std::shared_ptr<bool> stop = std::make_shared<bool>(false);
  std::shared_ptr<Acked> acked = std::make_shared<Acked>();
};

Writer write_layouts(Scene& s) {
  Writer w;
  s.f.outside([&s, w] {
    for (int i = 0; !*w.stop; ++i) {
      auto name = fmt::format("r{}", i);
      auto document = sim_layout("\"1\"", 1 + i % 9);
      if (s.f.tell("PUT", "/v1/releases/layout/" + name, document).status == 202) (*w.acked)[name] = document;
      s.f.sleep(Duration(1 + s.w.below(300)));
    }
  });
  return w;
}

void begin_fault(Scene& s, simulation::Host& h, DiskFault fault, Duration lasts) {
  if (fault == DiskFault::full) h.platter.full = true;
  if (fault == DiskFault::refusing) h.platter.failing = true;
  if (fault == DiskFault::stalled) h.platter.stalled_until = s.w.now() + lasts;
}

void end_fault(simulation::Host& h) {
  h.platter.full = h.platter.failing = false;
  h.platter.stalled_until = TimePoint(0);
}

// Whether the replica gives a promise, asked for a register of which nobody makes use.
bool votes(Scene& s, simulation::Host& h) {
  struct Asked {
    bool yes = false, done = false;
  };
  auto asked = std::make_shared<Asked>();
  auto* node = h.node.get();
  pb::Ask a;
  a.set_epoch(node->registers().set().epoch());
  a.mutable_prepare()->set_name("test/disk");
  a.mutable_prepare()->mutable_ballot()->set_round(static_cast<uint64_t>(s.w.now().count()));
  a.mutable_prepare()->mutable_ballot()->set_node("test");
  s.w.spawn(h.life, [node, a, asked] {
    auto reply = node->acceptor()->answer(a);
    asked->yes = reply.vote().yes() && !reply.vote().mute();
    asked->done = true;
  });
  s.f.until(kVotesAgain, [&] { return asked->done; });
  return asked->yes;
}

void all_know(Scene& s, const Acked& acked) {
  for (auto& h : s.f.hosts())
    if (h->up()) knows(s, *h, acked);
}

std::vector<std::string> replicas_in_any_order(Scene& s) {
  std::vector<std::string> names;
  for (auto& h : s.f.hosts())
    if (h->holder) names.push_back(h->name);
  for (size_t i = names.size(); i > 1; --i) std::swap(names[i - 1], names[s.w.below(i)]);
  return names;
}

// Whether a layout stated now is recorded in time. Asked anew, since the writer may still wait for
// an answer of a process that was killed.
bool records(Scene& s, const Writer& w, Duration most) {
  return s.f.until(most, [&] {
    auto name = fmt::format("probe{}", s.w.now().count());
    auto document = sim_layout("\"1\"", 1);
    if (s.f.tell("PUT", "/v1/releases/layout/" + name, document).status != 202) return false;
    (*w.acked)[name] = document;
    return true;
  });
}

// One disk fails under traffic. Right after it works again two others are killed, so that its
// replica is needed for every majority; then it is restarted from what it wrote.
void one_disk(Scene& s, DiskFault fault) {
  s.length = Duration(150000);
  s.story = [&s, fault] {
    if (!begin(s)) return;
    auto w = write_layouts(s);
    s.f.sleep(Duration(2000));
    Duration longest{0};
    for (int round = 0; round < 5; ++round) {
      auto names = replicas_in_any_order(s);
      auto& h = s.f.at(names[0]);
      Duration lasts(1000 + s.w.below(4000));
      auto from = s.w.now();
      begin_fault(s, h, fault, lasts);
      s.f.sleep(lasts / 2);
      // Its process may end meanwhile and start on the disk as it is.
      if (s.w.random(300)) {
        s.f.kill(h.name);
        s.f.start(h.name);
      } else if (fault != DiskFault::stalled) {
        s.want(h.node->acceptor()->mute(), h.name + " votes on a disk that fails");
      }
      s.want(records(s, w, lasts - lasts / 2), "one failing disk of five, and control stood still");
      s.f.sleep(std::max(Duration(0), from + lasts - s.w.now()));
      end_fault(h);
      from = s.w.now();
      s.f.kill(names[1]);
      bool again = s.f.until(kVotesAgain, [&] { return votes(s, h); });
      s.want(again, h.name + " does not vote a second after its disk works again");
      longest = std::max<Duration>(longest, s.w.now() - from);
      s.f.kill(names[2]);
      s.want(records(s, w, Duration(5000)), "control stands still though three replicas of five vote");
      s.f.sleep(Duration(2000));
      s.f.start(names[1]);
      s.f.start(names[2]);
      s.f.sleep(Duration(2500));
      s.f.kill(h.name);
      s.f.sleep(Duration(200));
      s.f.start(h.name);
      s.f.sleep(Duration(3000));
      s.want(!h.node->acceptor()->mute(), h.name + " lost what it wrote when its disk worked again");
    }
    *w.stop = true;
    s.f.sleep(Duration(8000));
    all_know(s, *w.acked);
    s.figures["longest_until_vote_ms"] = static_cast<uint64_t>(longest.count());
    s.figures["layouts_acked"] = w.acked->size();
    s.want(w.acked->size() > 20, "hardly anything was acknowledged");
  };
}

// All disks are full at once, as on one shared volume; processes end and start meanwhile, and
// in the end all lose power.
void every_disk(Scene& s) {
  s.length = Duration(120000);
  s.must_meet = {"full_disk", "disk_back", "kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    auto w = write_layouts(s);
    for (int round = 0; round < 3; ++round) {
      s.f.sleep(Duration(2000 + s.w.below(1000)));
      auto names = replicas_in_any_order(s);
      for (auto& n : names) {
        begin_fault(s, s.f.at(n), DiskFault::full, Duration(0));
        s.f.sleep(Duration(s.w.below(30)));
      }
      s.f.sleep(Duration(500 + s.w.below(2500)));
      for (int k = 0; k < 2; ++k) {
        s.f.kill(names[static_cast<size_t>(k)]);
        s.f.sleep(Duration(s.w.below(200)));
        s.f.start(names[static_cast<size_t>(k)]);
      }
      s.f.sleep(Duration(s.w.below(1000)));
      for (auto& n : names) end_fault(s.f.at(n));
      for (auto& n : names)
        s.want(s.f.until(kVotesAgain, [&] { return votes(s, s.f.at(n)); }),
               n + " does not vote a second after its disk works again");
      s.f.event(R"("t":"returned")");
      s.want(serves(s, Duration(8000)), "the fleet did not serve again after its disks worked again");
      s.want(records(s, w, Duration(3000)), "nothing is recorded though every disk works again");
      s.f.sleep(Duration(2000));
      for (auto& h : s.f.hosts()) s.f.kill(h->name);
      s.f.sleep(Duration(300));
      s.f.start_all();
      s.f.event(R"("t":"returned")");
      s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after a restart of all");
    }
    *w.stop = true;
    s.f.sleep(Duration(8000));
    all_know(s, *w.acked);
    s.figures["layouts_acked"] = w.acked->size();
  };
}

auto one_disk_that(DiskFault fault, std::vector<std::string> meets) {
  return [fault, meets](Scene& s) {
    one_disk(s, fault);
    s.must_meet = meets;
  };
}

}  // namespace

NamedCases disk_stories() {
  return {{"disk_full", one_disk_that(DiskFault::full, {"full_disk", "disk_back", "kill"})},
          {"disk_refuses", one_disk_that(DiskFault::refusing, {"refusing_disk", "disk_back", "kill"})},
          {"disk_stalls", one_disk_that(DiskFault::stalled, {"stalled_disk", "kill"})},
          {"disks_full_all", every_disk}};
}

}  // namespace dunlinwing::test
