// Processes are started here with fork and exec, in place of the platform;
// signals are sent only to processes started here, by their process ID.
#include "fleet/fleet.hpp"

#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "base/log.hpp"
#include "fleet/process.hpp"

namespace dunlinwing::test {
namespace fs = std::filesystem;
using namespace std::chrono_literals;

namespace {
constexpr base::Log logger("fleet");
std::string at(int port) { return fmt::format("127.0.0.1:{}", port); }
}  // namespace

std::string configuration_document(const std::string& d, const std::string& more) {
  auto vs = "[\"1\"" + (more.empty() ? "" : ",\"" + more + "\"") + "]";
  bool lobby = d == "lobby";
  return fmt::format(R"({{"content":{{"services":{{
"{0}":{{"versions":{4},"deadline_ms":3000,"waitlist":256,"inflight":64,"cache":{{"lifetime_s":5}}}},
"{1}":{{"versions":{4},"deadline_ms":3000,"waitlist":256,"inflight":64}}}},
"routes":[{{"prefix":"{2}","service":"{0}","methods":["GET","HEAD"]}},{{"prefix":"{3}","service":"{0}","methods":["GET","HEAD"]}},
{{"prefix":"{5}","service":"{1}","methods":["GET"]}},{{"prefix":"{6}","service":"{1}","methods":["POST"]}}],
"limits":{{"body_bytes":65536}}}}}})",
                     lobby ? "content" : "documents", lobby ? "matchmaking" : "application",
                     lobby ? "/liveries/" : "/notices/", lobby ? "/track/" : "/returns/", vs,
                     lobby ? "/lobbies/" : "/balances/", lobby ? "/fees" : "/filings");
}

Fleet::Fleet(net::EventLoopPool& pool, FleetConfig c)
    : pool_(pool),
      config_(std::move(c)),
      links_(pool),
      events_((fs::create_directories(config_.directory), config_.directory + "/events.journal")) {}

Machine& Fleet::at(const std::string& n) {
  for (auto& machine : machines_)
    if (machine.name == n) return machine;
  throw std::runtime_error("the fleet has no machine named " + n);
}

void Fleet::write_settings() {
  auto add = [&](std::string name, std::string kind, int zone, bool replica) {
    Machine m;
    m.name = std::move(name);
    m.kind = std::move(kind);
    m.zone = std::string(1, static_cast<char>('a' + zone));
    m.has_disk = replica;
    m.index = static_cast<int>(machines_.size());
    m.client_address = test::at(config_.port + m.index);
    m.control_address = test::at(config_.port + 100 + m.index);
    m.peer_address = test::at(config_.port + 200 + m.index);
    machines_.push_back(m);
  };
  for (int i = 0; i < 12; ++i) add(fmt::format("e{}", i + 1), "edge", i / 4, i % 4 == 0);
  add("s1", "store", 0, true);
  add("s2", "store", 1, true);
  for (auto& m : machines_) {
    std::string replicas, seeds;
    for (auto& h : machines_) {
      if (!h.has_disk) continue;
      auto via = test::at(config_.port + 400 + m.index * 16 + h.index);
      if (m.name != h.name) links_.open(m.name, h.name, via, h.peer_address);
      replicas += fmt::format("{}\"{}\":\"{}\"", replicas.empty() ? "" : ",", h.name,
                              m.name == h.name ? h.peer_address : via);
      if (std::count(seeds.begin(), seeds.end(), ',') < 2)
        seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ",", h.control_address);
    }
    auto dir = config_.directory + "/" + m.name;
    fs::create_directories(dir + "/releases");
    fs::copy_file(config_.binaries + "/relay", dir + "/releases/relay-0.1.0",
                  fs::copy_options::overwrite_existing);
    m.program = dir + "/releases/relay-0.1.0";
    std::ofstream f(dir + "/relay.json");
    f << fmt::format(R"({{"name":"{}","zone":"{}","listen":{{"callers":"{}","control":"{}","peers":"{}"}},
"holders":{{{}}},"seeds":[{}],"shield":{},"bound_ms":{},"hold_scale":{}{}}})",
                     m.name, m.zone, m.client_address, m.control_address, m.peer_address, replicas, seeds,
                     m.kind == "store", config_.bound_ms, config_.scale,
                     fmt::format(",\"releases\":\"{}/releases\"", dir) +
                         (m.has_disk || m.name == "e2" ? fmt::format(",\"data\":\"{}/data\"", dir) : ""))
      << "\n";
    m.args = {"--config", dir + "/relay.json"};
    event(fmt::format(R"("t":"machine","machine":"{}","callers":"{}")", m.name, m.client_address));
  }
}

pid_t Fleet::spawn(const std::string& program, const std::vector<std::string>& args, const std::string& log) {
  return spawn_process(program[0] == '/' ? program : config_.binaries + "/" + program, args, log);
}

void Fleet::start(const std::string& n) {
  auto& machine = at(n);
  if (machine.pid > 0) return;
  machine.frozen = false;
  machine.pid = spawn(machine.kind == "worker" ? "worker" : machine.program, machine.args,
                      config_.directory + "/" + n + ".log");
}

void Fleet::start_nodes() {
  for (auto& machine : machines_)
    if (machine.kind != "worker") start(machine.name);
}

std::string Fleet::node_list(bool pairs) const {
  std::string s;
  for (auto& machine : machines_) {
    if (machine.kind == "worker" || (pairs && machine.kind != "edge")) continue;
    s += (s.empty() ? "" : ",") +
         (pairs ? machine.client_address + "@" + machine.control_address : machine.control_address);
  }
  return s;
}

std::string Fleet::add_backend(const std::string& service, const std::string& version,
                               const std::string& zone, const std::vector<std::string>& more) {
  Machine machine;
  machine.index = backends_++;
  machine.name = fmt::format("w{}", machine.index + 1);
  machine.zone = zone;
  machine.kind = "worker";
  machine.args = {"--service", service,
                  "--runs",    version,
                  "--zone",    zone,
                  "--address", test::at(config_.port + 300 + machine.index % 90),
                  "--relays",  node_list(false),
                  "--journal", config_.directory + "/" + machine.name + ".journal"};
  for (auto& a : more) machine.args.push_back(a);
  machines_.push_back(machine);
  start(machine.name);
  return machine.name;
}

void Fleet::start_backends() {
  bool lobby = config_.deployment == "lobby";
  auto zone = [](int i) { return std::string(1, static_cast<char>('a' + i % 3)); };
  for (int i = 0; i < 4; ++i)
    add_backend(lobby ? "content" : "documents", "1", zone(i), {"--max_age", "4", "--pad", "2000"});
  for (int i = 0; i < (lobby ? 6 : 7); ++i)
    add_backend(lobby ? "matchmaking" : "application", "1", zone(i), {});
}

bool Fleet::reap(const std::string& n) {
  auto& m = at(n);
  int st = 0;
  if (m.pid > 0 && waitpid(m.pid, &st, WNOHANG) == m.pid) {
    m.pid = -1;
    if (m.kind == "worker") return true;
    auto dir = config_.directory + "/" + n + "/releases/";
    auto named = [&](const char* f) {
      std::ifstream i(dir + f);
      std::string s;
      i >> s;
      return s;
    };
    bool next = WIFEXITED(st) && WEXITSTATUS(st) == 75;
    auto p = named(next ? "next" : "current");
    if (!p.empty()) m.program = dir + p;
    if (WIFEXITED(st) && WEXITSTATUS(st) >= 75)
      event(
          fmt::format(R"("t":"handed_on","machine":"{}","status":{},"program":"{}")", n, WEXITSTATUS(st), p));
  }
  return m.pid <= 0;
}

void Fleet::supervise() {
  supervised = true;
  pool_.spawn([this] {
    while (supervised) {
      for (size_t i = 0; i < 14; ++i)
        if (machines_[i].pid > 0 && reap(machines_[i].name)) start(machines_[i].name);
      clock.sleep(50ms);
    }
  });
}

void Fleet::terminate(const std::string& n) {
  auto& m = at(n);
  if (m.pid <= 0) return;
  ::kill(m.pid, SIGTERM);
  event(fmt::format(R"("t":"warned","machine":"{}")", n));
  auto end = clock.now() + 6s;
  while (!reap(n) && clock.now() < end) clock.sleep(20ms);
  if (!reap(n)) {
    event(fmt::format(R"("t":"overstayed","machine":"{}")", n));
    kill(n);
  }
}

void Fleet::kill(const std::string& n) {
  auto& m = at(n);
  if (m.pid <= 0) return;
  ::kill(m.pid, SIGKILL);
  waitpid(m.pid, nullptr, 0);
  m.pid = -1;
  event(fmt::format(R"("t":"killed","machine":"{}")", n));
}

void Fleet::freeze(const std::string& n) {
  auto& m = at(n);
  if (m.pid <= 0) return;
  ::kill(m.pid, SIGSTOP);
  m.frozen = true;
  event(fmt::format(R"("t":"frozen","machine":"{}")", n));
}

void Fleet::thaw(const std::string& n) {
  auto& m = at(n);
  if (m.pid <= 0) return;
  ::kill(m.pid, SIGCONT);
  m.frozen = false;
  event(fmt::format(R"("t":"thawed","machine":"{}")", n));
}

void Fleet::wipe(const std::string& n) {
  fs::remove_all(config_.directory + "/" + n + "/data");
  event(fmt::format(R"("t":"wiped","machine":"{}")", n));
}

void Fleet::stop_all() {
  supervised = false;
  stopping_ = true;
  for (auto& machine : machines_)
    if (machine.pid > 0) {
      ::kill(machine.pid, SIGCONT);
      ::kill(machine.pid, SIGTERM);
    }
  auto end = clock.now() + 6s;
  for (auto& machine : machines_)
    while (!reap(machine.name) && clock.now() < end) clock.sleep(20ms);
  for (auto& machine : machines_)
    if (machine.pid > 0) kill(machine.name);
  while (watching_) clock.sleep(20ms);
}

void Fleet::watch_assignments() {
  watching_ = true;
  pool_.spawn([this] {
    std::map<std::string, int64_t> told;
    for (int64_t seen = 0; !stopping_;) {
      auto response = http_any("GET", fmt::format("/v1/assignments?after={}&wait_ms=1000", seen));
      auto p = base::Json::parse(response.body);
      auto* j = std::get_if<base::Json>(&p);
      if (response.status != 200 || !j) {
        clock.sleep(100ms);
        continue;
      }
      auto tag = base::header(response.headers, "ETag");
      seen = tag.size() > 2 ? std::strtoll(tag.c_str() + 1, nullptr, 10) : seen;
      for (auto& [n, a] : j->at("nodes").members()) {
        auto g = std::strtoll(a.at("generation").string_or("0").c_str(), nullptr, 10);
        if (g <= told[n]) continue;
        told[n] = g;
        event(fmt::format(R"("t":"assigned","relay":"{}","generation":{})", n, g));
      }
    }
    watching_ = false;
  });
}

pid_t Fleet::start_client(const std::string& name, int rate, int seconds, uint64_t seed) {
  return spawn("caller",
               {"--relays", node_list(true), "--deployment", config_.deployment, "--rate",
                std::to_string(rate), "--seconds", std::to_string(seconds), "--seed", std::to_string(seed),
                "--prefix", name, "--journal", config_.directory + "/" + name + ".journal"},
               config_.directory + "/" + name + ".log");
}

bool Fleet::client_done(pid_t p) { return waitpid(p, nullptr, WNOHANG) == p; }

base::Response Fleet::http(const std::string& node, const std::string& method, const std::string& target,
                           const std::string& body, base::Headers headers) {
  base::Request request{"", method, target, body, std::move(headers)};
  auto r = http_.send(at(node).control_address, request, 5s);
  if (auto* a = std::get_if<base::Response>(&r)) return *a;
  return {0, {}, {}};
}

base::Response Fleet::http_any(const std::string& method, const std::string& target,
                               const std::string& body) {
  base::Response last;
  for (size_t i = 0; i < machines_.size(); ++i) {
    auto& machine = machines_[i];
    if (machine.kind == "worker" || machine.pid <= 0 || machine.frozen) continue;
    last = http(machine.name, method, target, body);
    if (last.status && last.status != 503) return last;
  }
  return last;
}

bool Fleet::wait_until(Duration most, const std::function<bool()>& what) {
  auto end = clock.now() + most;
  while (clock.now() < end) {
    if (what()) return true;
    clock.sleep(50ms);
  }
  return what();
}

bool Fleet::all_ready(Duration most) {
  return wait_until(most, [&] {
    for (size_t i = 0; i < machines_.size(); ++i)
      if (auto& machine = machines_[i]; machine.kind != "worker" && machine.pid > 0 && !machine.frozen &&
                                        http(machine.name, "GET", "/readyz").status != 200)
        return false;
    return true;
  });
}

bool Fleet::await_configuration_everywhere(const std::string& name, Duration most) {
  return wait_until(most, [&] {
    auto response = http_any("GET", "/v1/releases/layout/" + name);
    auto p = base::Json::parse(response.body);
    auto* j = std::get_if<base::Json>(&p);
    return j && j->at("course").at("phase").string_or() == "DONE";
  });
}

void Fleet::event(const std::string& f) {
  events_.line(fmt::format("{{{},\"at\":{}}}", f, clock.now().count()));
  logger.info("{}", f);
}

}  // namespace dunlinwing::test
