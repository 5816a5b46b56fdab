#include "catchup.hpp"

#include <fmt/format.h>

#include "simulation/fleet.hpp"

namespace dunlinwing::measure {
namespace {

constexpr const char* kWriter = "h1";
constexpr const char* kStopped = "h5";
constexpr int kWritersAtOnce = 8;
constexpr Duration kIdle{4000};       // interval over which the bytes of an idle fleet are counted
constexpr Duration kLongest{600000};  // timeout of one step
constexpr Duration kSlice{1000};      // simulated time between checks whether the run has ended

class Catchup {
 public:
  Catchup(simulation::World& world, simulation::Fleet& fleet, const CatchupLoad& load)
      : world_(world), fleet_(fleet), load_(load) {
    registers_ = std::max(1, std::min(load.registers, load.changes / 2));
  }

  bool ended = false;
  Figures figures;

  void run() {
    auto* writer = &fleet_.at(kWriter);
    if (!fleet_.wait_until(kLongest, [&] { return votes(*writer) && votes(fleet_.at(kStopped)); })) return;
    fleet_.sleep(kIdle);
    write(load_.changes / 2);
    fleet_.sleep(kIdle);
    idle_bytes_ = bytes_in(kIdle);
    figures["idle_bytes_a_second"] = idle_bytes_ * 1000;
    fleet_.kill(kStopped);
    write(load_.changes - load_.changes / 2);
    fleet_.sleep(kIdle);
    come_back("restarted");
    figures["idle_bytes_a_second_later"] = bytes_in(kIdle) * 1000;
    fleet_.kill(kStopped);
    fleet_.wipe(kStopped);
    fleet_.sleep(kIdle);
    come_back("empty");
    figures["registers"] = registers_;
    ended = true;
  }

 private:
  static bool votes(simulation::Host& host) { return host.up() && !host.node->acceptor()->non_voting(); }
  static std::string key(int i) { return fmt::format("pad/{}", i); }

  double bytes_in(Duration span) {
    auto before = world_.bytes;
    fleet_.sleep(span);
    return static_cast<double>(world_.bytes - before) / static_cast<double>(span.count());
  }

  // Writes the registers in turn, with several concurrent writers.
  void write(int changes) {
    auto left = std::make_shared<int>(kWritersAtOnce);
    auto* host = &fleet_.at(kWriter);
    for (int k = 0; k < kWritersAtOnce; ++k)
      world_.spawn(host->process, [this, host, left, k, changes] {
        for (int i = k; i < changes; i += kWritersAtOnce) write_one(*host, i % registers_);
        --*left;
      });
    fleet_.wait_until(kLongest, [&] { return *left == 0; });
  }
  void write_one(simulation::Host& host, int i) {
    std::string data(static_cast<size_t>(load_.bytes), 'x');
    for (;;) {
      auto result = host.node->registers().write(key(i), versions_[i], data);
      if (auto* written = std::get_if<consensus::VersionedValue>(&result)) {
        versions_[i] = written->version;
        return;
      }
      if (auto* conflict = std::get_if<consensus::VersionConflict>(&result))
        versions_[i] = conflict->current.version;
    }
  }

  bool knows_all(simulation::Host& host) const {
    auto& chosen = host.node->state_cache().chosen();
    for (auto& [i, version] : versions_) {
      auto at = chosen.find(key(i));
      if (at == chosen.end() || at->second.version < version) return false;
    }
    return host.node->state_cache().has_read_lease();
  }

  // The number of written registers whose latest value is not on the replica's own disk.
  double behind(simulation::Host& host) const {
    double n = 0;
    for (auto& [i, version] : versions_) {
      pb::PeerRequest request;
      request.set_epoch(host.node->registers().replica_set().epoch());
      request.mutable_read_register()->set_name(key(i));
      n += host.node->acceptor()->handle(request).vote().register_state().value().version() < version;
    }
    return n;
  }

  void come_back(const std::string& as) {
    auto from = world_.now();
    auto bytes = world_.bytes;
    fleet_.start(kStopped);
    auto& host = fleet_.at(kStopped);
    fleet_.wait_until(kLongest, [&] { return votes(host); });
    figures[as + "_votes_ms"] = static_cast<double>((world_.now() - from).count());
    fleet_.wait_until(kLongest, [&] { return knows_all(host); });
    auto took = static_cast<double>((world_.now() - from).count());
    figures[as + "_knows_all_ms"] = took;
    fleet_.sleep(kIdle);  // other nodes pull its refilled registers only after it votes
    took += static_cast<double>(kIdle.count());
    figures[as + "_bytes"] = std::max(0.0, static_cast<double>(world_.bytes - bytes) - idle_bytes_ * took);
    figures[as + "_registers_behind"] = behind(host);
  }

  simulation::World& world_;
  simulation::Fleet& fleet_;
  CatchupLoad load_;
  int registers_ = 1;
  double idle_bytes_ = 0;  // per millisecond
  std::map<int, uint64_t> versions_;
};

}  // namespace

Figures catchup(uint64_t seed, const CatchupLoad& load) {
  simulation::World world(seed);
  simulation::Fleet fleet(world, {});
  Catchup script(world, fleet, load);
  bool over = false;
  world.run(world.now() + kSlice, nullptr, [&] {
    fleet.start_all();
    fleet.spawn_outside([&] {
      script.run();
      over = true;
    });
  });
  while (!over) world.run(world.now() + kSlice, nullptr, nullptr);
  fleet.kill_all();
  world.run(world.now() + Duration(20000), nullptr, nullptr);
  script.figures["ended"] = script.ended;
  return script.figures;
}

}  // namespace dunlinwing::measure
