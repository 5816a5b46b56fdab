// A complete fleet in one thread and in simulated time. Every host runs the product's
// own Node and Router; only the ports are simulated. All activity is driven by one
// event list and by random numbers from one seed, so that a run can be replayed
// exactly. Invariants are checked after each event.
#pragma once
#include <random>
#include <set>

#include "base/ports.hpp"
#include "simulation/link_queue.hpp"

namespace dunlinwing::simulation {

struct ProcessKilled {};  // thrown in the fibers of a process that was killed

// One run of one process. Its fibers stop waiting when it is killed.
struct ProcessRun {
  std::string host;
  bool dead = false;
  int fibers = 0;
  std::set<struct Wait*> waits;
};
using ProcessRunPtr = std::shared_ptr<ProcessRun>;

struct NetworkConditions {  // message loss, duplication and delay
  int loss_permille = 0, duplicate_permille = 0;
  Duration min_delay{1}, max_delay{3};
};

class World {
 public:
  explicit World(uint64_t seed);
  ~World();
  TimePoint now() const { return now_; }
  uint64_t draw() { return rng_(); }
  uint64_t below(uint64_t n) { return n ? rng_() % n : 0; }
  bool random(int permille) { return below(1000) < static_cast<uint64_t>(permille); }

  void at(TimePoint t, std::function<void()> f);
  void after(Duration s, std::function<void()> f) { at(now_ + s, std::move(f)); }
  // Runs events and the fibers that they notify until the given time. `check` runs after each event.
  void run(TimePoint until, std::function<void()> check, std::function<void()> first);
  uint64_t steps() const { return steps_; }

  void spawn(const ProcessRunPtr& process, std::function<void()> f);
  bool wait(const ProcessRunPtr& process, Duration s, struct Wait& w);  // true when notified
  void notify(struct Wait& w);
  void kill(const ProcessRunPtr& process);
  void freeze(const std::string& host, TimePoint until);
  bool frozen(const std::string& host) const;

  void partition(const std::string& from, const std::string& to);
  void heal(const std::string& a, const std::string& b) {
    partitions_.erase({a, b}), partitions_.erase({b, a});
  }
  void heal_all() { partitions_.clear(); }
  bool is_partitioned(const std::string& from, const std::string& to) const {
    return partitions_.count({from, to}) > 0;
  }
  /// Transfers a message between two hosts window by window over the links of both; each window starts when
  /// the previous one has arrived. A name without a host is allowed: its link has no rate.
  void transmit(const std::string& from, const std::string& to, size_t bytes, Duration delay,
                std::function<void()> arrived);
  std::map<std::string, HostLink> links;  ///< by host
  NetworkConditions network;
  std::map<std::string, uint64_t> fault_counts;  // how often each fault took effect
  uint64_t messages = 0, bytes = 0;              // between hosts, both directions
  std::function<void(const std::string& host, const pb::LogRecord&)>
      on_record_synced;              // called for each record once it is on a disk
  std::vector<std::string> journal;  // lines in the format of the stand-in programs

 private:
  void step();
  void resume(struct Wait* w);
  struct Event {
    std::function<void()> f;
  };
  std::multimap<std::pair<TimePoint, uint64_t>, Event> events_;
  std::mt19937_64 rng_;
  TimePoint now_{1000000};
  uint64_t steps_ = 0, order_ = 0, next_wait_id_ = 0;
  TimePoint partition_reported_{0};
  std::map<std::string, TimePoint> frozen_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::function<void()> check_;
};

struct Wait {
  ProcessRunPtr process;
  void* fiber = nullptr;
  bool woken = false, timed_out = false;
  uint64_t wait_id = 0;  // distinguishes the current wait's timer from an earlier one's
};

}  // namespace dunlinwing::simulation
