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
constexpr size_t kBytesPerMegabyte = 1 << 20;

void replace_file(const std::string& path, const std::string& text) {
  std::ofstream file(path + ".new");
  file << text;
  file.close();
  std::filesystem::rename(path + ".new", path);
}

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

std::string SoakFleet::settings_path(const SoakRelay& relay) const {
  return options_.directory + "/" + relay.name + "/relay.json";
}

void SoakFleet::write_settings(const SoakRelay& relay, bool first_start, int rotation) const {
  std::string seeds;
  for (int i = 0; i < kSeeds; ++i)
    seeds += fmt::format("{}\"{}\"", i ? "," : "",
                         relays_[static_cast<size_t>((i + rotation) % kSeeds)].control_address);
  const auto folder = options_.directory + "/" + relay.name;
  std::filesystem::create_directories(folder);
  const auto settings = fmt::format(
      R"({{"name":"{}","zone":"{}","listen":{{"callers":"{}","control":"{}","peers":"{}"}},"seeds":[{}],)"
      R"("first_start":{},"tolerate":1,"threads":1,"descriptors":{},"memory_mb":{},"link_mbps":{},)"
      R"("bounds":{{"layout_s":2,"leave_s":2,"purge_s":2,"grace_s":{}}}{}{}}})",
      relay.name, relay.zone, relay.client_address, relay.control_address, relay.peer_address, seeds,
      first_start, options_.descriptors, options_.memory_mb, kLinkMbps,
      static_cast<double>(options_.grace.count()) / kMsPerSecond,
      relay.has_disk ? fmt::format(R"(,"data":"{}/data")", folder) : "",
      relay.is_shield ? R"(,"shield":true)" : "");
  replace_file(settings_path(relay), settings);
}

std::string SoakFleet::log_line_with(const SoakRelay& relay, const std::string& text) const {
  std::ifstream log(options_.directory + "/" + relay.name + "/log");
  std::string found;
  for (std::string line; std::getline(log, line);)
    if (line.find(text) != std::string::npos) found = line;
  return found;
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

// A process ends by SIGKILL, or in order after SIGTERM; before its main function has begun, SIGTERM ends it.
void SoakFleet::record_end(SoakRelay& relay, int wait_status) {
  relay.process = -1;
  const bool was_killed = WIFSIGNALED(wait_status) && WTERMSIG(wait_status) == SIGKILL;
  const bool ended_in_order =
      relay.terminating && (WIFSIGNALED(wait_status) ? WTERMSIG(wait_status) == SIGTERM : true);
  if (was_killed || ended_in_order) return;
  unexpected_ends_.push_back(WIFSIGNALED(wait_status)
                                 ? fmt::format("{} (start {}) ended by signal {}", relay.name,
                                               relay.start_count, WTERMSIG(wait_status))
                                 : fmt::format("{} (start {}) ended by itself with status {}", relay.name,
                                               relay.start_count, WEXITSTATUS(wait_status)));
}

void SoakFleet::check_memory(const SoakRelay& relay) {
  if (relay.process <= 0) return;
  const size_t peak = peak_memory_bytes(relay.process);
  peak_memory_ = std::max(peak_memory_, peak);
  if (peak > static_cast<size_t>(options_.memory_mb) * kBytesPerMegabyte)
    unexpected_ends_.push_back(
        fmt::format("{} (start {}) took {} bytes of memory", relay.name, relay.start_count, peak));
}

void SoakFleet::check_memory() {
  for (const auto& relay : relays_) check_memory(relay);
}

bool SoakFleet::reap(SoakRelay& relay) {
  int status = 0;
  if (relay.process > 0 && ::waitpid(relay.process, &status, WNOHANG) == relay.process)
    record_end(relay, status);
  return relay.process < 0;
}

void SoakFleet::restart_ended() {
  for (auto& relay : relays_)
    if (relay.process > 0 && !relay.terminating && reap(relay)) start(relay);
}

bool SoakFleet::terminate(SoakRelay& relay) {
  ++terminating_count_;
  terminating_replicas_ += relay.has_disk;
  relay.terminating = true;
  relay.terminated_at = clock_.now();
  check_memory(relay);
  ::kill(relay.process, SIGTERM);
  while (!reap(relay) && clock_.now() < relay.terminated_at + options_.grace) clock_.sleep(kReapEvery);
  const bool ended = relay.process < 0;
  if (!ended) {
    kill(relay);
  }
  --terminating_count_;
  terminating_replicas_ -= relay.has_disk;
  return ended;
}

void SoakFleet::kill(SoakRelay& relay) {
  check_memory(relay);
  relay.terminating = true;
  relay.killed_at = clock_.now();
  ::kill(relay.process, SIGKILL);
  int status = 0;
  ::waitpid(relay.process, &status, 0);
  record_end(relay, status);
}

void SoakFleet::reload(SoakRelay& relay, int rotation) {
  if (clock_.now() - relay.started_at < kUntilMain) return;
  write_settings(relay, false, rotation);
  ::kill(relay.process, SIGHUP);
}

void SoakFleet::reload_invalid(SoakRelay& relay, const std::string& settings) {
  if (clock_.now() - relay.started_at < kUntilMain) return;
  replace_file(settings_path(relay), settings);
  ::kill(relay.process, SIGHUP);
}

void SoakFleet::kill_all() {
  for (auto& relay : relays_)
    if (relay.process > 0) kill(relay);
}

}  // namespace dunlinwing::test
