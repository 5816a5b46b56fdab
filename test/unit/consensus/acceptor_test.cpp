// One acceptor on a simulated disk that fails or stalls: what it answers meanwhile, and after.
#include "consensus/acceptor.hpp"

#include "simulation/ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

constexpr Duration kRound{500};

// An acceptor that has formed, in a world of its own.
struct Bench {
  struct NoOrigin final : base::Origin {
    bool can_connect(const std::string&, Duration) override { return false; }
    std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                          const base::AttemptRules&) override {
      return base::AttemptError::unsent;
    }
  };

  simulation::World world{7};
  simulation::ProcessRunPtr life = std::make_shared<simulation::ProcessRun>();
  simulation::DiskContents platter;
  simulation::Directory directory;
  int64_t wall = 0;
  simulation::Clock clock{world, life, &wall};
  simulation::Random random{world};
  simulation::Tasks tasks{world, life};
  simulation::Net net{world, life, directory};
  NoOrigin origin;
  base::Ports ports{clock, random, tasks, net, origin};
  simulation::Disk disk{world, life, platter};
  consensus::ReplicaSetView set{{{"a", "peer:a"}}};
  consensus::Acceptor acceptor{ports, disk, "a", set, kRound};

  Bench() {
    life->host = "a";
    storage::SnapshotStore store(std::make_unique<simulation::MemoryFiles>(platter), 1000);
    pb::Snapshot formed;
    formed.set_stage(pb::REPLICA_VOTING);
    expect(!store.rewrite(formed), "the first image was not written");
  }

  // Runs the story to its end, within a minute of invented time.
  void play(const std::function<void()>& story) {
    bool done = false;
    std::string why;
    world.run(world.now() + Duration(60000), nullptr, [&] {
      acceptor.start({});
      world.spawn(life, [&] {
        try {
          story();
        } catch (const std::exception& e) {
          why = e.what();
        }
        done = true;
      });
    });
    world.kill(life);
    world.run(world.now() + Duration(1000), nullptr, nullptr);
    expect(why.empty(), why);
    expect(done, "the story did not come to its end");
  }

  pb::Vote prepare(uint64_t round) {
    pb::PeerRequest request;
    request.mutable_prepare()->set_name("r");
    request.mutable_prepare()->mutable_ballot()->set_round(round);
    return acceptor.answer(request).vote();
  }
  pb::Vote accept(uint64_t round, uint64_t version) {
    pb::PeerRequest request;
    request.mutable_accept()->set_name("r");
    request.mutable_accept()->mutable_ballot()->set_round(round);
    request.mutable_accept()->mutable_value()->set_version(version);
    return acceptor.answer(request).vote();
  }
  uint64_t peeked() {
    pb::PeerRequest request;
    request.mutable_read_register()->set_name("r");
    return acceptor.answer(request).vote().register_state().value().version();
  }
  uint64_t on_disk() {
    auto copy = platter;
    auto loaded = storage::SnapshotStore(std::make_unique<simulation::MemoryFiles>(copy), 1000).load();
    expect(!loaded.possibly_lost, "the disk is doubted");
    return loaded.snapshot.registers_size() ? loaded.snapshot.registers(0).value().version() : 0;
  }
};

void failed_writes_are_not_answered() {
  Bench b;
  b.play([&] {
    expect(b.prepare(1).granted() && b.accept(1, 1).granted(), "a sound disk does not vote");
    b.platter.failing = true;
    auto vote = b.accept(2, 2);
    expect(vote.non_voting() && !vote.granted(), "a write that failed was acknowledged");
    expect(b.acceptor.non_voting(), "the replica votes on a disk that failed");
    expect(b.prepare(3).non_voting(), "a mute replica gave a promise");
    pb::PeerRequest dump;
    dump.mutable_snapshot();
    expect(b.acceptor.answer(dump).has_snapshot() == false, "a mute replica told what it holds");
    pb::PullResponse pull;
    b.acceptor.append_changes({}, 0, pull);
    expect(pull.non_voting() && !pull.registers_size(), "a mute replica told of changes");
    b.clock.sleep(Duration(3000));
    expect(b.acceptor.non_voting(), "the replica came back on a disk that still fails");
    b.platter.failing = false;
    b.clock.sleep(Duration(1000));
    expect(!b.acceptor.non_voting(), "the replica is mute a second after its disk works again");
    expect(b.peeked() == b.on_disk(), "what is published is not what is on the disk");
    expect(b.prepare(4).granted() && b.accept(4, 5).granted() && b.on_disk() == 5,
           "a vote did not reach the disk");
  });
}

// However large the state is, each reply is small, and one after the other tell everything
// once; what changes meanwhile is told too, and after a restart all is told anew.
void told_in_small_replies() {
  constexpr int kRegisters = 200;
  constexpr uint64_t kMostBytes = 2000;
  Bench b;
  auto accept_named = [&](const std::string& name, uint64_t round, uint64_t version) {
    pb::PeerRequest ask;
    ask.mutable_accept()->set_name(name);
    ask.mutable_accept()->mutable_ballot()->set_round(round);
    ask.mutable_accept()->mutable_ballot()->set_node("p");
    ask.mutable_accept()->mutable_value()->set_version(version);
    ask.mutable_accept()->mutable_value()->set_data(std::string(100, 'x'));
    expect(b.acceptor.answer(ask).vote().granted(), "an accept failed");
  };
  b.play([&] {
    for (int i = 0; i < kRegisters; ++i) accept_named(fmt::format("r{}", i), 1, 1);
    std::map<std::string, uint64_t> told;
    uint64_t boot = 0, seen = 0;
    int replies = 0;
    for (bool more = true; more; ++replies) {
      pb::PullResponse reply;
      b.acceptor.append_changes({boot, seen}, kMostBytes, reply);
      expect(reply.ByteSizeLong() < kMostBytes + 200, "a reply is larger than was asked for");
      expect(reply.position() > seen, "a reply tells nothing new");
      boot = reply.boot_id();
      seen = reply.position();
      more = reply.more();
      for (auto& state : reply.registers()) told[state.name()] = state.value().version();
      if (replies == 3) accept_named("r0", 2, 2);
    }
    expect(replies > 10, "all was told at once");
    same(told.size(), size_t(kRegisters), "registers told");
    same(told["r0"], uint64_t(2), "what changed meanwhile");
    pb::PullResponse whole;
    b.acceptor.append_changes({0, seen}, 0, whole);
    expect(whole.registers_size() == kRegisters && !whole.more(), "without a bound all is told at once");
  });
}

// Callers that came while the failing write was under way are told mute, one and all, though what
// they asked for is on the disk in the end.
void callers_in_a_failing_write() {
  Bench b;
  b.play([&] {
    b.platter.min_latency = b.platter.max_latency = Duration(200);
    struct Told {
      int yes = 0, mute = 0;
    };
    auto told = std::make_shared<Told>();
    b.platter.full = true;
    for (uint64_t i = 1; i <= 5; ++i)
      b.tasks.spawn([&b, told, i] {
        auto vote = b.prepare(i);
        told->yes += vote.granted();
        told->mute += vote.non_voting();
      });
    b.clock.sleep(Duration(190));
    for (uint64_t i = 6; i <= 9; ++i)
      b.tasks.spawn([&b, told, i] {
        auto vote = b.prepare(i);
        told->yes += vote.granted();
        told->mute += vote.non_voting();
      });
    b.clock.sleep(Duration(15));
    b.platter.full = false;
    b.clock.sleep(Duration(3000));
    expect(told->yes == 0 && told->mute == 9,
           fmt::format("{} callers of a failed write were told yes, {} mute", told->yes, told->mute));
    expect(!b.acceptor.non_voting(), "the replica stayed mute");
    expect(b.prepare(9).granted() == false && b.prepare(10).granted(),
           "a promise in the image does not bind");
  });
}

void stalled_writes_are_left_after_a_round() {
  Bench b;
  b.play([&] {
    expect(b.prepare(1).granted(), "a sound disk does not vote");
    b.platter.stalled_until = b.world.now() + Duration(4000);
    auto from = b.world.now();
    expect(b.accept(1, 1).non_voting(), "a write that stalls was acknowledged");
    auto took = b.world.now() - from;
    expect(took <= kRound + Duration(20), fmt::format("its caller waited {} ms", took.count()));
    b.clock.sleep(Duration(10));
    from = b.world.now();
    expect(b.prepare(2).non_voting() && b.world.now() == from, "a caller was queued behind a stalled write");
    b.clock.sleep(Duration(4000));
    expect(!b.acceptor.non_voting() && b.peeked() == 1, "the stalled write did not complete");
    expect(b.prepare(3).granted(), "the replica does not vote after the stall");
  });
}

// The process starts on a disk that takes no write: what it read may stand in caches only.
void started_on_a_failing_disk() {
  Bench b;
  b.platter.failing = true;
  b.play([&] {
    expect(b.acceptor.non_voting() && b.prepare(1).non_voting(),
           "a replica votes on a disk that it cannot write");
    b.clock.sleep(Duration(2000));
    b.platter.failing = false;
    b.clock.sleep(Duration(1000));
    expect(b.prepare(2).granted(), "the replica is mute a second after its disk works");
  });
}
}  // namespace

std::vector<Case> acceptor_cases() {
  return {{"acceptor: what is told in small replies is whole", told_in_small_replies},
          {"acceptor: a write that failed is answered by nobody", failed_writes_are_not_answered},
          {"acceptor: callers in a failing write are told mute", callers_in_a_failing_write},
          {"acceptor: a stalled write is left after a round", stalled_writes_are_left_after_a_round},
          {"acceptor: a start on a failing disk is mute", started_on_a_failing_disk}};
}

}  // namespace dunlinwing::test
