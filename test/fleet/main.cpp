// Runs a fleet through a named scenario under load; the checker reads what was
// journalled afterwards. `up` keeps a fleet running until told to stop.
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "base/log.hpp"
#include "fleet/fleet.hpp"
#include "fleet/scenarios.hpp"

DEFINE_string(dir, "run", "where settings, data, logs and journals go");
DEFINE_string(bin, "build", "where the programs are");
DEFINE_string(deployment, "lobby", "lobby or practice");
DEFINE_string(scenario, "up", "what to bring about; --scenario=list names them");
DEFINE_int32(port, 21000, "the first of 700 loopback ports");
DEFINE_int32(rate, 0, "requests a second; 0: as the brief says");
DEFINE_int32(seconds, 60, "how long the callers call");
DEFINE_double(scale, 300, "what the holds are divided by");
DEFINE_uint64(seed, 1, "of the callers and of the faults");
DEFINE_bool(keep, false, "keep what an earlier run left in --dir");

using namespace dunlinwing;

int main(int argc, char** argv) {
  gflags::SetUsageMessage("plays the platform: a whole fleet on this machine");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_scenario == "list") {
    for (auto& [n, f] : test::scenarios()) std::cout << n << "\n";
    return 0;
  }
  auto f = test::scenarios().find(FLAGS_scenario);
  if (f == test::scenarios().end()) {
    std::cerr << "fleet: no scenario " << FLAGS_scenario << "\n";
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
