// One acceptor on a simulated disk that fails or stalls: its responses during the fault and after it.
#include "consensus/acceptor.hpp"

#include "simulation/ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

constexpr Duration kRoundTimeout{500};

// An acceptor with a voting disk, in a separate simulated world.
struct AcceptorFixture {
  struct NoOrigin final : base::Origin {
    bool can_connect(const std::string&, Duration) override { return false; }
    std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                          const base::AttemptRules&) override {
      return base::AttemptError::not_sent;
    }
  };

  simulation::World world{7};
  simulation::ProcessRunPtr process = std::make_shared<simulation::ProcessRun>();
  simulation::DiskContents contents;
  simulation::Directory directory;
  int64_t wall = 0;
  simulation::Clock clock{world, process, &wall};
  simulation::Random random{world};
  simulation::Tasks tasks{world, process};
  simulation::Net net{world, process, directory};
  NoOrigin origin;
  base::Ports ports{clock, random, tasks, net, origin};
  simulation::Disk disk{world, process, contents};
  consensus::ReplicaSetView set{{{"a", "peer:a"}}};
  consensus::Acceptor acceptor{ports, disk, "a", set, kRoundTimeout};

  AcceptorFixture() {
    process->host = "a";
    storage::SnapshotStore store(std::make_unique<simulation::MemoryFiles>(contents), 1000);
    pb::Snapshot snapshot;
    snapshot.set_stage(pb::REPLICA_VOTING);
    expect(!store.rewrite(snapshot), "the first snapshot was not written");
  }

  // Runs the script, for at most one minute of simulated time.
  void run_script(const std::function<void()>& script) {
    bool done = false;
    std::string failure;
    world.run(world.now() + Duration(60000), nullptr, [&] {
      acceptor.start({});
      world.spawn(process, [&] {
        try {
          script();
        } catch (const std::exception& error) {
          failure = error.what();
        }
        done = true;
      });
    });
    world.kill(process);
    world.run(world.now() + Duration(1000), nullptr, nullptr);
    expect(failure.empty(), failure);
    expect(done, "the script did not finish within a minute of simulated time");
  }

  pb::Vote prepare(uint64_t round) {
    pb::PeerRequest request;
    request.mutable_prepare()->set_name("r");
    request.mutable_prepare()->mutable_ballot()->set_round(round);
    return acceptor.handle(request).vote();
  }
  pb::Vote accept(uint64_t round, uint64_t version) {
    pb::PeerRequest request;
    request.mutable_accept()->set_name("r");
    request.mutable_accept()->mutable_ballot()->set_round(round);
    request.mutable_accept()->mutable_value()->set_version(version);
    return acceptor.handle(request).vote();
  }
  uint64_t read_version() {
    pb::PeerRequest request;
    request.mutable_read_register()->set_name("r");
    return acceptor.handle(request).vote().register_state().value().version();
  }
  uint64_t version_on_disk() {
    auto copy = contents;
    auto loaded = storage::SnapshotStore(std::make_unique<simulation::MemoryFiles>(copy), 1000).load();
    expect(!loaded.possibly_lost, "the disk is reported as possibly lost");
    return loaded.snapshot.registers_size() ? loaded.snapshot.registers(0).value().version() : 0;
  }
};

void failed_write_is_not_acknowledged() {
  AcceptorFixture fixture;
  fixture.run_script([&] {
    expect(fixture.prepare(1).granted() && fixture.accept(1, 1).granted(),
           "a replica with a working disk does not vote");
    fixture.contents.failing = true;
    auto vote = fixture.accept(2, 2);
    expect(vote.non_voting() && !vote.granted(), "a write that failed was acknowledged");
    expect(fixture.acceptor.non_voting(), "the replica votes although its disk failed");
    expect(fixture.prepare(3).non_voting(), "a non-voting replica gave a promise");
    pb::PeerRequest snapshot_request;
    snapshot_request.mutable_snapshot();
    expect(fixture.acceptor.handle(snapshot_request).has_snapshot() == false,
           "a non-voting replica returned a snapshot");
    pb::PullResponse pull;
    fixture.acceptor.append_changes({}, {}, 0, pull);
    expect(pull.non_voting() && !pull.registers_size(), "a non-voting replica reported changes");
    fixture.clock.sleep(Duration(3000));
    expect(fixture.acceptor.non_voting(), "the replica votes again although its disk still fails");
    fixture.contents.failing = false;
    fixture.clock.sleep(Duration(1000));
    expect(!fixture.acceptor.non_voting(), "the replica does not vote a second after its disk works again");
    expect(fixture.read_version() == fixture.version_on_disk(),
           "the published version differs from the one on the disk");
    expect(fixture.prepare(4).granted() && fixture.accept(4, 5).granted() && fixture.version_on_disk() == 5,
           "a vote did not reach the disk");
  });
}

// Each response is small however large the state is, and successive responses report every register once. A
// change in between is reported too, and a position from another boot gets everything.
void append_changes_in_small_responses() {
  constexpr int kRegisters = 200;
  constexpr uint64_t kMaxBytes = 2000;
  AcceptorFixture fixture;
  auto accept_named = [&](const std::string& name, uint64_t round, uint64_t version) {
    pb::PeerRequest request;
    request.mutable_accept()->set_name(name);
    request.mutable_accept()->mutable_ballot()->set_round(round);
    request.mutable_accept()->mutable_ballot()->set_node("p");
    request.mutable_accept()->mutable_value()->set_version(version);
    request.mutable_accept()->mutable_value()->set_data(std::string(100, 'x'));
    expect(fixture.acceptor.handle(request).vote().granted(), "an accept failed");
  };
  fixture.run_script([&] {
    for (int i = 0; i < kRegisters; ++i) accept_named(fmt::format("r{}", i), 1, 1);
    std::map<std::string, uint64_t> reported;
    consensus::ChangePosition seen;
    int responses = 0;
    for (bool more = true; more; ++responses) {
      pb::PullResponse response;
      fixture.acceptor.append_changes(seen, {}, kMaxBytes, response);
      expect(response.ByteSizeLong() < kMaxBytes + 200, "a response exceeds the requested size");
      expect(response.position() > seen.position, "a response reports nothing new");
      seen = {response.boot_id(), response.position()};
      more = response.more();
      for (auto& state : response.registers()) reported[state.name()] = state.value().version();
      if (responses == 3) accept_named("r0", 2, 2);
    }
    expect(responses > 10, "everything was reported in few responses");
    same(reported.size(), size_t(kRegisters), "registers reported");
    same(reported["r0"], uint64_t(2), "version of the register that changed in between");
    pb::PullResponse complete;
    fixture.acceptor.append_changes({0, seen.position}, {}, 0, complete);
    expect(complete.registers_size() == kRegisters && !complete.more(),
           "a response without a limit is incomplete");
  });
}

// All callers that arrive during a failing write get a non-voting response, although the state that they
// requested is on the disk in the end.
void callers_in_a_failing_write() {
  AcceptorFixture fixture;
  fixture.run_script([&] {
    fixture.contents.min_latency = fixture.contents.max_latency = Duration(200);
    struct Counts {
      int granted = 0, non_voting = 0;
    };
    auto counts = std::make_shared<Counts>();
    fixture.contents.full = true;
    for (uint64_t i = 1; i <= 5; ++i)
      fixture.tasks.spawn([&fixture, counts, i] {
        auto vote = fixture.prepare(i);
        counts->granted += vote.granted();
        counts->non_voting += vote.non_voting();
      });
    fixture.clock.sleep(Duration(190));
    for (uint64_t i = 6; i <= 9; ++i)
      fixture.tasks.spawn([&fixture, counts, i] {
        auto vote = fixture.prepare(i);
        counts->granted += vote.granted();
        counts->non_voting += vote.non_voting();
      });
    fixture.clock.sleep(Duration(15));
    fixture.contents.full = false;
    fixture.clock.sleep(Duration(3000));
    expect(counts->granted == 0 && counts->non_voting == 9,
           fmt::format("of 9 callers of a failed write, {} were granted and {} got a non-voting response",
                       counts->granted, counts->non_voting));
    expect(!fixture.acceptor.non_voting(), "the replica still does not vote");
    expect(fixture.prepare(9).granted() == false && fixture.prepare(10).granted(),
           "a promise from the rewritten snapshot was not kept");
  });
}

void stalled_write_is_refused_after_a_round() {
  AcceptorFixture fixture;
  fixture.run_script([&] {
    expect(fixture.prepare(1).granted(), "a replica with a working disk does not vote");
    fixture.contents.stalled_until = fixture.world.now() + Duration(4000);
    auto from = fixture.world.now();
    expect(fixture.accept(1, 1).non_voting(), "a stalled write was acknowledged");
    auto took = fixture.world.now() - from;
    expect(took <= kRoundTimeout + Duration(20),
           fmt::format("the caller of a stalled write waited {} ms", took.count()));
    fixture.clock.sleep(Duration(10));
    from = fixture.world.now();
    expect(fixture.prepare(2).non_voting() && fixture.world.now() == from,
           "a caller was queued behind a stalled write");
    fixture.clock.sleep(Duration(4000));
    expect(!fixture.acceptor.non_voting() && fixture.read_version() == 1,
           "the stalled write did not complete");
    expect(fixture.prepare(3).granted(), "the replica does not vote after the stall");
  });
}

// The process starts on a disk that fails every write: the loaded data may exist only in the system's cache.
void started_on_a_failing_disk() {
  AcceptorFixture fixture;
  fixture.contents.failing = true;
  fixture.run_script([&] {
    expect(fixture.acceptor.non_voting() && fixture.prepare(1).non_voting(),
           "a replica votes although it cannot write its disk");
    fixture.clock.sleep(Duration(2000));
    fixture.contents.failing = false;
    fixture.clock.sleep(Duration(1000));
    expect(fixture.prepare(2).granted(), "the replica does not vote a second after its disk works");
  });
}
}  // namespace

std::vector<Case> acceptor_cases() {
  return {{"acceptor: append_changes reports everything once in small responses",
           append_changes_in_small_responses},
          {"acceptor: a write that failed is not acknowledged", failed_write_is_not_acknowledged},
          {"acceptor: callers in a failing write get a non-voting response", callers_in_a_failing_write},
          {"acceptor: a stalled write is refused after a round's timeout",
           stalled_write_is_refused_after_a_round},
          {"acceptor: a start on a failing disk is non-voting", started_on_a_failing_disk}};
}

}  // namespace dunlinwing::test
