#include "catchup.hpp"

#include <fmt/format.h>

#include "simulation/fleet.hpp"

namespace dunlinwing::measure {
namespace {

constexpr const char* kWriter = "h1";
constexpr const char* kStopped = "h5";
constexpr int kWritersAtOnce = 8;
constexpr Duration kIdle{4000};       // over which an idle fleet's bytes are counted
constexpr Duration kLongest{600000};  // for one step
constexpr Duration kSlice{1000};      // of a run, after which its end is looked for

class Catchup {
 public:
  Catchup(simulation::World& w, simulation::Fleet& f, const CatchupLoad& load) : w_(w), f_(f), load_(load) {
    registers_ = std::max(1, std::min(load.registers, load.changes / 2));
  }

  bool ended = false;
  Figures figures;

  void run() {
    auto* writer = &f_.at(kWriter);
    if (!f_.until(kLongest, [&] { return votes(*writer) && votes(f_.at(kStopped)); })) return;
    f_.sleep(kIdle);
    write(load_.changes / 2);
    f_.sleep(kIdle);
    idle_bytes_ = bytes_in(kIdle);
    figures["idle_bytes_a_second"] = idle_bytes_ * 1000;
    f_.kill(kStopped);
    write(load_.changes - load_.changes / 2);
    f_.sleep(kIdle);
    come_back("restarted");
    figures["idle_bytes_a_second_later"] = bytes_in(kIdle) * 1000;
    f_.kill(kStopped);
    f_.wipe(kStopped);
    f_.sleep(kIdle);
    come_back("empty");
    figures["registers"] = registers_;
    ended = true;
  }

 private:
  static bool votes(simulation::Host& h) { return h.up() && !h.node->acceptor()->mute(); }
  static std::string key(int i) { return fmt::format("pad/{}", i); }

  double bytes_in(Duration span) {
    auto before = w_.bytes;
    f_.sleep(span);
    return static_cast<double>(w_.bytes - before) / static_cast<double>(span.count());
  }

  // Writes the registers in turn, several at once.
  void write(int changes) {
    auto left = std::make_shared<int>(kWritersAtOnce);
    auto* host = &f_.at(kWriter);
    for (int k = 0; k < kWritersAtOnce; ++k)
      w_.spawn(host->life, [this, host, left, k, changes] {
        for (int i = k; i < changes; i += kWritersAtOnce) write_one(*host, i % registers_);
        --*left;
      });
    f_.until(kLongest, [&] { return *left == 0; });
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
        versions_[i] = conflict->now.version;
    }
  }

  bool knows_all(simulation::Host& h) const {
    auto& chosen = h.node->state_cache().chosen();
    for (auto& [i, version] : versions_) {
      auto at = chosen.find(key(i));
      if (at == chosen.end() || at->second.version < version) return false;
    }
    return h.node->state_cache().fresh();
  }

  // Of the registers written here, those whose latest value is not on the replica's own disk.
  double behind(simulation::Host& h) const {
    double n = 0;
    for (auto& [i, version] : versions_) {
      pb::Ask a;
      a.set_epoch(h.node->registers().set().epoch());
      a.mutable_peek()->set_name(key(i));
      n += h.node->acceptor()->answer(a).vote().slot().value().version() < version;
    }
    return n;
  }

  void come_back(const std::string& as) {
    auto from = w_.now();
    auto bytes = w_.bytes;
    f_.start(kStopped);
    auto& h = f_.at(kStopped);
    f_.until(kLongest, [&] { return votes(h); });
    figures[as + "_votes_ms"] = static_cast<double>((w_.now() - from).count());
    f_.until(kLongest, [&] { return knows_all(h); });
    auto took = static_cast<double>((w_.now() - from).count());
    figures[as + "_knows_all_ms"] = took;
    f_.sleep(kIdle);  // the others pull what it tells anew only after it votes
    took += static_cast<double>(kIdle.count());
    figures[as + "_bytes"] = std::max(0.0, static_cast<double>(w_.bytes - bytes) - idle_bytes_ * took);
    figures[as + "_registers_behind"] = behind(h);
  }

  simulation::World& w_;
  simulation::Fleet& f_;
  CatchupLoad load_;
  int registers_ = 1;
  double idle_bytes_ = 0;  // a millisecond
  std::map<int, uint64_t> versions_;
};

}  // namespace

Figures catchup(uint64_t seed, const CatchupLoad& load) {
  simulation::World w(seed);
  simulation::Fleet f(w, {});
  Catchup story(w, f, load);
  bool over = false;
  w.run(w.now() + kSlice, nullptr, [&] {
    f.start_all();
    f.outside([&] {
      story.run();
      over = true;
    });
  });
  while (!over) w.run(w.now() + kSlice, nullptr, nullptr);
  f.end();
  w.run(w.now() + Duration(20000), nullptr, nullptr);
  story.figures["ended"] = story.ended;
  return story.figures;
}

}  // namespace dunlinwing::measure
