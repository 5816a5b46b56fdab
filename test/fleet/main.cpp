// Runs a fleet through a named scenario under load; the checker reads the journals
// afterwards. `up` keeps a fleet running until SIGTERM or SIGINT.
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "base/log.hpp"
#include "fleet/fleet.hpp"
#include "fleet/scenarios.hpp"

DEFINE_string(dir, "run", "folder for settings, data, logs and journals");
DEFINE_string(bin, "build", "folder of the built programs");
DEFINE_string(deployment, "lobby", "lobby or practice");
DEFINE_string(scenario, "up", "scenario to run; --scenario=list prints their names");
DEFINE_int32(port, 21000, "the first of 700 loopback ports");
DEFINE_int32(rate, 0, "requests per second; 0: the default of the deployment");
DEFINE_int32(seconds, 60, "how long the clients send requests");
DEFINE_double(scale, 300, "divisor of the hold times of a rollout");
DEFINE_uint64(seed, 1, "random seed of the clients and the faults");
DEFINE_bool(keep, false, "keep the files of an earlier run in --dir");

using namespace dunlinwing;

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs a complete fleet on this machine, in place of the platform");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_scenario == "list") {
    for (auto& [n, f] : test::scenarios()) std::cout << n << "\n";
    return 0;
  }
  auto f = test::scenarios().find(FLAGS_scenario);
  if (f == test::scenarios().end()) {
    std::cerr << "fleet: unknown scenario " << FLAGS_scenario << "; --scenario=list prints the known ones\n";
    return 2;
  }
  if (!FLAGS_keep) std::filesystem::remove_all(FLAGS_dir);
  auto dir = std::filesystem::absolute(FLAGS_dir).string();
  net::EventLoopPool pool(1);
  test::FleetConfig c{dir, std::filesystem::absolute(FLAGS_bin).string(), FLAGS_deployment, FLAGS_port,
                      FLAGS_scale};
  test::Fleet fleet(pool, c);
  fleet.write_settings();
  int rate = FLAGS_rate ? FLAGS_rate : FLAGS_deployment == "lobby" ? 370 : 900;
  bool asked = false;
  boost::asio::signal_set sigs(pool.io(0), SIGTERM, SIGINT);
  sigs.async_wait([&](auto ec, int) { asked = !ec; });
  pool.run([&] {
    test::Run run{fleet, rate, FLAGS_seconds, FLAGS_seed, [&] { return asked; }};
    bool ok = f->second(run);
    fleet.stop_all();
    std::cout << (ok ? "scenario " : "SCENARIO FAILED ") << FLAGS_scenario << " " << FLAGS_deployment << "\n"
              << std::flush;
    net::EventLoopPool::stop(ok ? 0 : 1);
  });
}
