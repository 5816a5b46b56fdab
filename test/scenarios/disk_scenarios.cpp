// Disks of replicas that fail for some seconds and work again: full, refusing every write, or
// answering nothing. The replica is mute meanwhile, votes again within a second of the end, and
// nothing that was acknowledged is lost, whichever other replica falls right then.
#include "scenarios/scenario.hpp"

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
  s.fleet.spawn_outside([&s, w] {
    for (int i = 0; !*w.stop; ++i) {
      auto name = fmt::format("r{}", i);
      auto document = sim_layout("\"1\"", 1 + i % 9);
      if (s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, document).status == 202)
        (*w.acked)[name] = document;
      s.fleet.sleep(Duration(1 + s.world.below(300)));
    }
  });
  return w;
}

void begin_fault(Scene& s, simulation::Host& host, DiskFault fault, Duration lasts) {
  if (fault == DiskFault::full) host.disk_contents.full = true;
  if (fault == DiskFault::refusing) host.disk_contents.failing = true;
  if (fault == DiskFault::stalled) host.disk_contents.stalled_until = s.world.now() + lasts;
}

void end_fault(simulation::Host& host) {
  host.disk_contents.full = host.disk_contents.failing = false;
  host.disk_contents.stalled_until = TimePoint(0);
}

// Whether the replica gives a promise, asked for a register of which nobody makes use.
bool votes(Scene& s, simulation::Host& host) {
  struct Asked {
    bool yes = false, done = false;
  };
  auto asked = std::make_shared<Asked>();
  auto* node = host.node.get();
  pb::PeerRequest request;
  request.set_epoch(node->registers().set().epoch());
  request.mutable_prepare()->set_name("test/disk");
  request.mutable_prepare()->mutable_ballot()->set_round(static_cast<uint64_t>(s.world.now().count()));
  request.mutable_prepare()->mutable_ballot()->set_node("test");
  s.world.spawn(host.process, [node, request, asked] {
    auto reply = node->acceptor()->answer(request);
    asked->yes = reply.vote().granted() && !reply.vote().non_voting();
    asked->done = true;
  });
  s.fleet.wait_until(kVotesAgain, [&] { return asked->done; });
  return asked->yes;
}

void all_know(Scene& s, const Acked& acked) {
  for (auto& h : s.fleet.hosts())
    if (h->up()) knows(s, *h, acked);
}

std::vector<std::string> replicas_in_any_order(Scene& s) {
  std::vector<std::string> names;
  for (auto& h : s.fleet.hosts())
    if (h->has_disk) names.push_back(h->name);
  for (size_t i = names.size(); i > 1; --i) std::swap(names[i - 1], names[s.world.below(i)]);
  return names;
}

// Whether a layout stated now is recorded in time. Asked anew, since the writer may still wait for
// an answer of a process that was killed.
bool records(Scene& s, const Writer& w, Duration most) {
  return s.fleet.wait_until(most, [&] {
    auto name = fmt::format("probe{}", s.world.now().count());
    auto document = sim_layout("\"1\"", 1);
    if (s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, document).status != 202) return false;
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
    s.fleet.sleep(Duration(2000));
    Duration longest{0};
    for (int round = 0; round < 5; ++round) {
      auto names = replicas_in_any_order(s);
      auto& host = s.fleet.at(names[0]);
      Duration lasts(1000 + s.world.below(4000));
      auto from = s.world.now();
      begin_fault(s, host, fault, lasts);
      s.fleet.sleep(lasts / 2);
      // Its process may end meanwhile and start on the disk as it is.
      if (s.world.random(300)) {
        s.fleet.kill(host.name);
        s.fleet.start(host.name);
      } else if (fault != DiskFault::stalled) {
        s.want(host.node->acceptor()->non_voting(), host.name + " votes on a disk that fails");
      }
      s.want(records(s, w, lasts - lasts / 2), "one failing disk of five, and control stood still");
      s.fleet.sleep(std::max(Duration(0), from + lasts - s.world.now()));
      end_fault(host);
      from = s.world.now();
      s.fleet.kill(names[1]);
      bool again = s.fleet.wait_until(kVotesAgain, [&] { return votes(s, host); });
      s.want(again, host.name + " does not vote a second after its disk works again");
      longest = std::max<Duration>(longest, s.world.now() - from);
      s.fleet.kill(names[2]);
      s.want(records(s, w, Duration(5000)), "control stands still though three replicas of five vote");
      s.fleet.sleep(Duration(2000));
      s.fleet.start(names[1]);
      s.fleet.start(names[2]);
      s.fleet.sleep(Duration(2500));
      s.fleet.kill(host.name);
      s.fleet.sleep(Duration(200));
      s.fleet.start(host.name);
      s.fleet.sleep(Duration(3000));
      s.want(!host.node->acceptor()->non_voting(),
             host.name + " lost what it wrote when its disk worked again");
    }
    *w.stop = true;
    s.fleet.sleep(Duration(8000));
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
      s.fleet.sleep(Duration(2000 + s.world.below(1000)));
      auto names = replicas_in_any_order(s);
      for (auto& n : names) {
        begin_fault(s, s.fleet.at(n), DiskFault::full, Duration(0));
        s.fleet.sleep(Duration(s.world.below(30)));
      }
      s.fleet.sleep(Duration(500 + s.world.below(2500)));
      for (int k = 0; k < 2; ++k) {
        s.fleet.kill(names[static_cast<size_t>(k)]);
        s.fleet.sleep(Duration(s.world.below(200)));
        s.fleet.start(names[static_cast<size_t>(k)]);
      }
      s.fleet.sleep(Duration(s.world.below(1000)));
      for (auto& n : names) end_fault(s.fleet.at(n));
      for (auto& n : names)
        s.want(s.fleet.wait_until(kVotesAgain, [&] { return votes(s, s.fleet.at(n)); }),
               n + " does not vote a second after its disk works again");
      s.fleet.event(R"("t":"returned")");
      s.want(serves(s, Duration(8000)), "the fleet did not serve again after its disks worked again");
      s.want(records(s, w, Duration(3000)), "nothing is recorded though every disk works again");
      s.fleet.sleep(Duration(2000));
      for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
      s.fleet.sleep(Duration(300));
      s.fleet.start_all();
      s.fleet.event(R"("t":"returned")");
      s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after a restart of all");
    }
    *w.stop = true;
    s.fleet.sleep(Duration(8000));
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
