// Soak test of real processes on this machine: clients with persistent connections, and signals, restarts and
// configuration changes in overlapping series, drawn from a seed. Exit code 0: no rule was broken and more
// than a third of the requests succeeded.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "fleet/invalid_orders.hpp"
#include "fleet/soak_traffic.hpp"

DEFINE_string(relay, "build/relay", "path of the relay under test");
DEFINE_string(dir, "soak_run", "folder for settings, data and logs");
DEFINE_uint64(seed, 1, "random seed of the run");
DEFINE_int32(seconds, 12, "how long faults are injected");
DEFINE_int32(relays, 9, "relay processes");
DEFINE_int32(shields, 0, "relays among these that are dedicated shields, which fetch for the others");
DEFINE_int32(clients, 120, "concurrent clients");
DEFINE_int32(hostile_clients, 0, "clients that don't behave, beside the others");
DEFINE_int32(troubled_percent, 25, "requests to the service whose instances are in trouble");
DEFINE_int32(change_pause_ms, 200, "longest pause between two configurations of a series");
DEFINE_int32(port, 26000, "the first of the loopback ports: eight for backends, then three per relay");

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;
constexpr Duration kStartTime{40000};  // limit until all relays are ready
constexpr int kBackendPorts = 8;
constexpr double kBytesPerMegabyte = 1 << 20;

/// Injects faults into the relays and changes the configuration while clients send requests.
class FaultInjector {
 public:
  FaultInjector(net::EventLoopPool& pool, SoakFleet& fleet, SoakTraffic& traffic, uint64_t seed)
      : pool_(pool), fleet_(fleet), traffic_(traffic), random_(seed) {}

  /// Suspends the calling fiber until the last fault has ended.
  void run(Duration span) {
    end_ = clock_.now() + span;
    for (int i = 0; i < 2; ++i) repeat(900ms, [this] { restart_in_order(); });
    repeat(1500ms, [this] { kill_and_start(); });
    repeat(700ms, [this] { reload(); });
    repeat(1200ms, [this] { change_in_series(); });
    repeat(2000ms, [this] { traffic_.restart_instance(random_()); });
    repeat(1500ms, [this] { purge_together(); });
    repeat(800ms, [this] { send_invalid_orders(); });
    repeat(200ms, [this] { fleet_.restart_ended(); });
    while (running_ > 0) clock_.sleep(20ms);
  }

 private:
  /// Repeats the action until the run ends, each time after a random pause.
  void repeat(Duration longest_pause, std::function<void()> what) {
    ++running_;
    pool_.spawn([this, longest_pause, what = std::move(what)] {
      while (clock_.now() < end_) {
        clock_.sleep(
            Duration(static_cast<int64_t>(random_() % static_cast<uint64_t>(longest_pause.count()))));
        what();
      }
      --running_;
    });
  }

  /// A random running relay that may be stopped: at most one replica and a third of all relays are down at
  /// once. Null: the chosen relay may not be stopped now.
  SoakRelay* choose() {
    auto& relays = fleet_.relays();
    auto& relay = relays[random_() % relays.size()];
    if (relay.process < 0 || relay.terminating) return nullptr;
    if (relay.has_disk && (fleet_.terminating_replicas() > 0 || clock_.now() < disk_rests_until_))
      return nullptr;
    if (fleet_.terminating_count() * 3 >= static_cast<int>(relays.size())) return nullptr;
    if (relay.has_disk) disk_rests_until_ = clock_.now() + 3s;
    return &relay;
  }

  void restart_in_order() {
    auto* relay = choose();
    if (!relay) return;
    if (!fleet_.terminate(*relay))
      traffic_.report(relay->name + " did not end within its grace period after SIGTERM");
    clock_.sleep(Duration(static_cast<int64_t>(random_() % 300)));
    fleet_.start(*relay);
  }

  void kill_and_start() {
    auto* relay = choose();
    if (!relay) return;
    fleet_.kill(*relay);
    clock_.sleep(Duration(static_cast<int64_t>(random_() % 300)));
    fleet_.start(*relay);
  }

  /// Sends SIGHUP up to four times to a relay, with settings that are valid or not; the last ones are valid.
  void reload() {
    auto& relay = fleet_.relays()[random_() % fleet_.relays().size()];
    for (auto left = random_() % 4;; --left) {
      if (relay.process < 0 || relay.terminating) return;
      if (left == 0) return fleet_.reload(relay, static_cast<int>(random_() % 3));
      fleet_.reload_invalid(relay, draw_invalid_settings(random_));
      clock_.sleep(Duration(static_cast<int64_t>(random_() % 150)));
    }
  }

  /// Sends up to six invalid orders at once, each to a relay of its own choice until it is refused.
  void send_invalid_orders() {
    for (auto left = random_() % 6; left > 0; --left) {
      ++running_;
      pool_.spawn([this, number = ++invalid_orders_] {
        traffic_.send_invalid_order(number);
        --running_;
      });
    }
  }

  void change_in_series() {
    const auto longest_pause = static_cast<uint64_t>(FLAGS_change_pause_ms);
    for (auto left = random_() % std::max<uint64_t>(8, 2000 / longest_pause); left > 0; --left) {
      if (!traffic_.change_configuration())
        traffic_.report("a configuration change was not acknowledged in time");
      clock_.sleep(Duration(static_cast<int64_t>(random_() % longest_pause)));
    }
  }

  /// Sends up to 24 purges at once, each to a relay of its own choice.
  void purge_together() {
    for (auto left = random_() % 24; left > 0; --left) {
      ++running_;
      pool_.spawn([this, number = ++purges_] {
        if (!traffic_.purge_object(number)) traffic_.report("a purge was not acknowledged in time");
        --running_;
      });
    }
  }

  net::EventLoopPool& pool_;
  SoakFleet& fleet_;
  SoakTraffic& traffic_;
  std::mt19937_64 random_;
  net::SystemClock clock_;
  TimePoint end_{0};
  TimePoint disk_rests_until_{0};  // a replica needs time to catch up before the next one is stopped
  int running_ = 0;
  uint64_t purges_ = 0;          // begun so far
  uint64_t invalid_orders_ = 0;  // begun so far
};

// Whether all relays are ready.
bool all_ready(net::HttpClient& http, SoakFleet& fleet) {
  for (const auto& relay : fleet.relays()) {
    const auto reply = http.send(relay.control_address, {"", "GET", "/readyz", "", {}}, 1000ms);
    const auto* response = std::get_if<base::Response>(&reply);
    if (!response || response->status != 200) return false;
  }
  return true;
}

bool await_ready(SoakFleet& fleet) {
  net::SystemClock clock;
  net::HttpClient http{1U << 20};
  for (const auto end = clock.now() + kStartTime; clock.now() < end; clock.sleep(100ms))
    if (all_ready(http, fleet)) return true;
  return false;
}

void soak(net::EventLoopPool& pool, SoakFleet& fleet, SoakTraffic& traffic) {
  fleet.start_all();
  traffic.start_backends();
  if (!traffic.change_configuration()) return traffic.report("the first configuration was not acknowledged");
  if (!await_ready(fleet)) return traffic.report("not all relays became ready");
  traffic.start_clients(FLAGS_clients);
  traffic.start_hostile_clients(FLAGS_hostile_clients);
  FaultInjector(pool, fleet, traffic, FLAGS_seed).run(Duration(FLAGS_seconds * 1000));
  fleet.restart_ended();
  if (!await_ready(fleet)) traffic.report("not all relays are ready after the faults");
  traffic.stop();
  traffic.read_back();
  fleet.restart_ended();
  fleet.check_memory();
  for (const auto& end : fleet.unexpected_ends()) traffic.report(end);
}

int print(const SoakFigures& figures, const SoakFleet& fleet) {
  for (const auto& what : figures.violations) std::cout << "BROKEN: " << what << "\n";
  std::cout << fmt::format(
      "seed {}: {} requests on {} connections, {} answered ({} kept ones by {} fetches), {} refused, {} "
      "other, "
      "{} cut by kills, {} cut unread ({} of them late), {} left early ({} of {} runs went on), {} changes, "
      "{} purges, {} invalid orders refused, {} troubles of instances, {} requests that run once refused, "
      "{} hostile connections, {:.1f} MB at the most, {} broken\n",
      FLAGS_seed, figures.requests, figures.connections, figures.answered, figures.cacheable, figures.fetches,
      figures.refused, figures.other, figures.cut_by_kill, figures.cut_unread, figures.late_cuts,
      figures.left, figures.left_runs_continued, figures.left_runs, figures.changes, figures.purges,
      figures.invalid_orders, figures.troubles, figures.declined_once, figures.hostile_connections,
      static_cast<double>(fleet.peak_memory()) / kBytesPerMegabyte, figures.violations.size());
  std::cout.flush();
  return figures.violations.empty() && figures.answered > figures.requests / 3 ? 0 : 1;
}
}  // namespace
}  // namespace dunlinwing::test

int main(int argc, char** argv) {
  using namespace dunlinwing;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::remove_all(FLAGS_dir);
  std::filesystem::create_directories(FLAGS_dir);
  net::EventLoopPool pool(1);
  test::SoakFleet fleet({std::filesystem::absolute(FLAGS_dir).string(),
                         std::filesystem::absolute(FLAGS_relay).string(), FLAGS_port + test::kBackendPorts,
                         FLAGS_relays, FLAGS_shields});
  test::SoakTraffic traffic(pool, fleet, FLAGS_seed, FLAGS_port,
                            static_cast<unsigned>(std::clamp(FLAGS_troubled_percent, 0, 100)));
  pool.run([&] {
    test::soak(pool, fleet, traffic);
    fleet.kill_all();
    net::EventLoopPool::stop(test::print(traffic.figures(), fleet));
  });
}
