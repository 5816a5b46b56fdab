// Processes are started here with fork and exec; signals are sent only to these, by their process ID.
#include "fleet/soak_fleet.hpp"

#include <fmt/format.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "fleet/process.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kLinkMbps = 20;  // slow enough that bodies are sent in parts and wait for each other
constexpr int kPortsEach = 3;
constexpr int kDisks = 5;
constexpr int kSeeds = 3;
constexpr int kZones = 3;
constexpr Duration kReapEvery{10};
constexpr Duration kUntilMain{1000};  // upper bound from fork to the start of main on a loaded machine
constexpr double kMsPerSecond = 1000;

std::string loopback(int port) { return fmt::format("127.0.0.1:{}", port); }
}  // namespace

SoakFleet::SoakFleet(SoakFleetOptions options) : options_(std::move(options)) {
  for (int i = 0; i < options_.relays; ++i) {
    const int port = options_.first_port + i * kPortsEach;
    SoakRelay relay;
    relay.name = fmt::format("r{}", i + 1);
    relay.client_address = loopback(port);
    relay.control_address = loopback(port + 1);
    relay.peer_address = loopback(port + 2);
    relay.zone = static_cast<char>('a' + i % kZones);
    relay.has_disk = i < kDisks;
    relay.is_shield = i >= options_.relays - options_.shields;
    relays_.push_back(relay);
  }
}

void SoakFleet::write_settings(const SoakRelay& relay, bool first_start, int rotation) const {
  std::string seeds;
  for (int i = 0; i < kSeeds; ++i)
    seeds += fmt::format("{}\"{}\"", i ? "," : "",
                         relays_[static_cast<size_t>((i + rotation) % kSeeds)].control_address);
  const auto folder = options_.directory + "/" + relay.name;
  std::filesystem::create_directories(folder);
  const auto path = folder + "/relay.json";
  std::ofstream file(path + ".new");
  file << fmt::format(
      R"({{"name":"{}","zone":"{}","listen":{{"callers":"{}","control":"{}","peers":"{}"}},"seeds":[{}],)"
      R"("first_start":{},"tolerate":1,"threads":1,"descriptors":{},"memory_mb":160,"link_mbps":{},)"
      R"("bounds":{{"layout_s":2,"leave_s":2,"purge_s":2,"grace_s":{}}}{}{}}})",
      relay.name, relay.zone, relay.client_address, relay.control_address, relay.peer_address, seeds,
      first_start, options_.descriptors, kLinkMbps,
      static_cast<double>(options_.grace.count()) / kMsPerSecond,
      relay.has_disk ? fmt::format(R"(,"data":"{}/data")", folder) : "",
      relay.is_shield ? R"(,"shield":true)" : "");
  file.close();
  std::filesystem::rename(path + ".new", path);
}

void SoakFleet::start_all() {
  for (auto& relay : relays_) start(relay);
}

void SoakFleet::start(SoakRelay& relay) {
  write_settings(relay, relay.start_count == 0, relay.start_count);
  const auto folder = options_.directory + "/" + relay.name;
  relay.process =
      spawn_process(options_.relay_program, {"--config", folder + "/relay.json"}, folder + "/log");
  relay.terminating = false;
  relay.started_at = clock_.now();
  ++relay.start_count;
}

bool SoakFleet::reap(SoakRelay& relay) {
  if (relay.process > 0 && ::waitpid(relay.process, nullptr, WNOHANG) == relay.process) relay.process = -1;
  return relay.process < 0;
}

bool SoakFleet::has_crashed(SoakRelay& relay) {
  return relay.process > 0 && !relay.terminating && reap(relay);
}

bool SoakFleet::terminate(SoakRelay& relay) {
  ++terminating_count_;
  terminating_replicas_ += relay.has_disk;
  relay.terminating = true;
  relay.terminated_at = clock_.now();
  ::kill(relay.process, SIGTERM);
  while (!reap(relay) && clock_.now() < relay.terminated_at + options_.grace) clock_.sleep(kReapEvery);
  const bool ended = relay.process < 0;
  if (!ended) {
    relay.killed_at = clock_.now();
    ::kill(relay.process, SIGKILL);
    ::waitpid(relay.process, nullptr, 0);
    relay.process = -1;
  }
  --terminating_count_;
  terminating_replicas_ -= relay.has_disk;
  return ended;
}

void SoakFleet::kill(SoakRelay& relay) {
  relay.terminating = true;
  relay.killed_at = clock_.now();
  ::kill(relay.process, SIGKILL);
  ::waitpid(relay.process, nullptr, 0);
  relay.process = -1;
}

void SoakFleet::reload(SoakRelay& relay, int rotation) {
  if (clock_.now() - relay.started_at < kUntilMain) return;
  write_settings(relay, false, rotation);
  ::kill(relay.process, SIGHUP);
}

void SoakFleet::kill_all() {
  for (auto& relay : relays_)
    if (relay.process > 0) kill(relay);
}

}  // namespace dunlinwing::test
