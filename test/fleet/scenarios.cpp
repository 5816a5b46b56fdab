// Each scenario starts a fleet that serves its first configuration, starts client traffic,
// injects its faults, and waits for conditions.
#include "fleet/scenarios.hpp"

#include <signal.h>

#include <fstream>
#include <iostream>
#include <random>

#include "storage/artifact_files.hpp"

namespace dunlinwing::test {
using namespace std::chrono_literals;

bool report(bool ok, const std::string& what) {
  std::cout << (ok ? "seen: " : "NOT SEEN: ") << what << "\n" << std::flush;
  return ok;
}

bool put_configuration(Run& run, const std::string& name, const std::string& doc) {
  auto a = run.fleet.http_any("PUT", "/v1/releases/layout/" + name, doc);
  if (a.status != 202) {
    std::cout << "PUT " << name << " gave " << a.status << " " << a.body << "\n";
    return false;
  }
  run.fleet.event(fmt::format(R"("t":"recorded","release":"{}")", name));
  return true;
}

bool start_traffic(Run& run) {
  run.fleet.start_nodes();
  run.fleet.watch_assignments();
  run.fleet.start_backends();
  bool put = run.fleet.wait_until(20s, [&] { return run.fleet.http_any("GET", "/v1/nodes").status == 200; });
  return report(put, "the control API responds") &&
         report(put_configuration(run, "first", configuration_document(run.fleet.config().deployment)),
                "first configuration recorded") &&
         report(run.fleet.all_ready(20s), "all relays are ready with the first configuration");
}

bool with_traffic(Run& run, const std::function<bool()>& meanwhile) {
  auto p = run.fleet.start_client("c1", run.rate, run.seconds, run.seed);
  bool ok = meanwhile();
  while (!run.fleet.client_done(p)) run.fleet.clock.sleep(50ms);
  return ok;
}

namespace {
bool up(Run& run) {
  if (!start_traffic(run)) return false;
  while (!run.stopped()) run.fleet.clock.sleep(100ms);
  return true;
}

// A second configuration passes through all rollout phases under load.
bool rollout(Run& run) {
  if (!start_traffic(run)) return false;
  return with_traffic(run, [&] {
    return report(
               put_configuration(run, "second", configuration_document(run.fleet.config().deployment, "2")),
               "second configuration recorded") &&
           report(run.fleet.await_configuration_everywhere("second", Duration(run.seconds * 1000 + 30000)),
                  "all relays run the second configuration");
  });
}

}  // namespace

void allow_version(Run& run, const std::string& v) {
  bool lobby = run.fleet.config().deployment == "lobby";
  auto a = [&](const char* s, const char* p) {
    run.fleet.event(fmt::format(R"("t":"allowed","service":"{}","version":"{}","prefix":"{}")", s, v, p));
  };
  for (auto* p : {"/liveries/", "/track/"})
    if (lobby) a("content", p);
  for (auto* p : {"/notices/", "/returns/"})
    if (!lobby) a("documents", p);
  for (auto* p : {"/lobbies/", "/fees"})
    if (lobby) a("matchmaking", p);
  for (auto* p : {"/balances/", "/filings"})
    if (!lobby) a("application", p);
}

bool purge(Run& run, const std::string& name, const std::string& kind, const std::string& path) {
  auto svc = run.fleet.config().deployment == "lobby" ? "content" : "documents";
  auto asked = run.fleet.clock.now().count();
  auto a = run.fleet.http_any("PUT", "/v1/purges/" + name,
                              fmt::format(R"({{"service":"{}","kind":"{}","path":"{}"}})", svc, kind, path));
  if (a.status == 200)
    run.fleet.event(
        fmt::format(R"("t":"purged","path":"{}","prefix":{},"asked":{})", path, kind == "prefix", asked));
  return a.status == 200;
}

namespace {
// Every relay in turn is stopped with SIGTERM and restarted.
bool rolling(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  return with_traffic(run, [&] {
    bool ok = true;
    for (int i = 0; i < 14; ++i) {
      auto n = run.fleet.machines()[static_cast<size_t>(i)].name;
      run.fleet.terminate(n);
      run.fleet.start(n);
      ok &= run.fleet.wait_until(10s, [&] { return run.fleet.http(n, "GET", "/readyz").status == 200; });
    }
    return report(ok, "every relay was restarted and became ready");
  });
}

}  // namespace

bool ready_again(Run& run, const char* what) {
  run.fleet.event(R"("t":"returned")");
  return report(run.fleet.all_ready(15s), what);
}

namespace {
// Kills, suspensions, lost disks, cut links, backend changes, purges and configurations,
// sequential and overlapping, drawn from the seed; then the acknowledged configurations
// are read back from every relay.
bool day(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  run.fleet.event(R"("t":"lifetime","ms":4000)");
  std::mt19937_64 rng(run.seed);
  std::map<std::string, std::string> acked{{"first", configuration_document(run.fleet.config().deployment)}};
  std::map<std::string, int> met;
  bool lobby = run.fleet.config().deployment == "lobby";
  auto relay = [&] { return run.fleet.machines()[rng() % 14].name; };
  auto end = run.fleet.clock.now() + Duration((run.seconds - 25) * 1000);
  bool ok = with_traffic(run, [&] {
    for (int i = 0; run.fleet.clock.now() < end; ++i) {
      auto n = relay();
      auto& machine = run.fleet.at(n);
      int down = 0;
      for (auto& x : run.fleet.machines()) down += x.has_disk && (x.pid <= 0 || x.frozen);
      bool may = !(machine.has_disk && down >= 2);
      auto d = rng() % 9;
      if (d == 0 && may) ++met["kill"], run.fleet.kill(n);
      if (d == 1 && may) ++met["freeze"], run.fleet.freeze(n);
      if (d == 2 && machine.has_disk && down == 0) ++met["lost_disk"], run.fleet.kill(n), run.fleet.wipe(n);
      if (d == 3) ++met["cut"], run.fleet.links().cut_off(n);
      if (d == 4)
        met["purge"] += purge(run, fmt::format("p{}", i), rng() % 2 ? "prefix" : "path",
                              fmt::format("{}{}", lobby ? "/liveries/" : "/notices/", rng() % 5));
      if (d == 5) {
        auto doc = configuration_document(run.fleet.config().deployment, fmt::format("x{}", i));
        if (put_configuration(run, fmt::format("day{}", i), doc))
          acked[fmt::format("day{}", i)] = doc, ++met["layout"];
      }
      if (d == 6) ++met["warn"], run.fleet.terminate(n), run.fleet.start(n);
      if (d == 7) {  // a backend instance crashes and is restarted
        auto& w = run.fleet.machines()[14 + rng() % (run.fleet.machines().size() - 14)];
        auto args = w.args;
        auto name = w.name;
        run.fleet.kill(name);
        ++met["worker_kill"];
        run.fleet.start(name);
      }
      if (d == 8) {  // a backend instance is replaced: the new one is started, then the old one gets SIGTERM
        ++met["worker_replaced"];
        run.fleet.add_backend(lobby ? "matchmaking" : "application", "1", "b", {});
        auto old = run.fleet.machines()[18 + rng() % 4].name;
        if (run.fleet.at(old).pid > 0) ::kill(run.fleet.at(old).pid, SIGTERM);
      }
      run.fleet.clock.sleep(Duration(300 + rng() % 1500));
      for (auto& x : run.fleet.machines()) run.fleet.reap(x.name);
      if (rng() % 3 == 0) run.fleet.links().restore_all();
      for (auto& x : run.fleet.machines()) {
        if (x.frozen && rng() % 2) run.fleet.thaw(x.name);
        if (x.kind != "worker" && x.pid <= 0 && rng() % 2) run.fleet.start(x.name);
      }
    }
    run.fleet.links().restore_all();
    for (auto& x : run.fleet.machines()) {
      if (x.frozen) run.fleet.thaw(x.name);
      if (x.kind != "worker" && x.pid <= 0) run.fleet.start(x.name);
    }
    return ready_again(run, "all relays are ready within 15 s after the machines' restart");
  });
  for (auto& machine : run.fleet.machines())
    for (auto& [n, doc] : acked)
      if (machine.kind != "worker" &&
          run.fleet.http(machine.name, "GET", "/v1/releases/layout/" + n).body.find("\"document\":" + doc) ==
              std::string::npos) {
        run.fleet.event(fmt::format(R"("t":"layout_lost","release":"{}")", n));
        ok = report(false, "every relay returns the acknowledged configurations");
      }
  for (auto& [k, v] : met) std::cout << "met " << k << " " << v << "\n";
  return ok;
}

// A rollout to a version that answers half of its requests with errors is aborted.
bool versions(Run& run) {
  if (!start_traffic(run)) return false;
  auto svc = run.fleet.config().deployment == "lobby" ? "matchmaking" : "application";
  if (!put_configuration(run, "two", [&] {
        auto d = configuration_document(run.fleet.config().deployment, "2");
        d.insert(1, R"("express":"the test needs both versions",)");
        return d;
      }()))
    return false;
  allow_version(run, "1");
  allow_version(run, "2");
  for (auto* z : {"a", "b"})
    run.fleet.add_backend(svc, "2", z, {"--fault", "error", "--fault_percent", "50"});
  return with_traffic(run, [&] {
    run.fleet.clock.sleep(3s);
    run.fleet.event(fmt::format(R"("t":"bad_version","service":"{}","version":"2")", svc));
    bool put = run.fleet.wait_until(10s, [&] {
      return run.fleet.http_any("PUT", fmt::format("/v1/services/{}", svc), R"({"version":"2"})").status ==
             200;
    });
    return report(put, "the version rollout was requested") &&
           report(run.fleet.wait_until(Duration(run.seconds * 1000),
                                       [&] {
                                         return run.fleet.http_any("GET", fmt::format("/v1/services/{}", svc))
                                                    .body.find("\"2\":\"") != std::string::npos;
                                       }),
                  "the bad version is quarantined");
  });
}

std::string hex_digest(const std::string& path) { return storage::sha256_hex_of(path).value_or(""); }

bool record_software(Run& run, const std::string& name, const std::string& version, const std::string& file) {
  std::ifstream f(file, std::ios::binary);
  std::string data((std::istreambuf_iterator<char>(f)), {});
  auto sha = hex_digest(file);
  auto a = run.fleet.http_any(
      "PUT", "/v1/releases/software/" + name,
      fmt::format(R"({{"content":{{"version":"{}","sha256":"{}","bytes":{}}}}})", version, sha, data.size()));
  if (a.status != 202) return report(false, a.body);
  run.fleet.clock.sleep(1s);
  for (size_t at = 0; at < data.size(); at += 1 << 20) {
    auto p = run.fleet.http_any("PUT", fmt::format("/v1/artifacts/{}?offset={}", sha, at),
                                data.substr(at, 1 << 20));
    if (p.status != 200) return report(false, p.body);
  }
  return report(
      run.fleet.http_any("GET", "/v1/artifacts/" + sha).body.find("\"whole\":true") != std::string::npos,
      "a majority stores the complete artifact");
}

bool software_is(Run& run, const std::string& name, const std::string& ph, Duration most) {
  return run.fleet.wait_until(most, [&] {
    return run.fleet.http_any("GET", "/v1/releases/software/" + name).body.find("\"phase\":\"" + ph + "\"") !=
           std::string::npos;
  });
}

int running(Run& run, const std::string& version) {
  auto b = run.fleet.http_any("GET", "/v1/nodes").body;
  int n = 0;
  for (auto i = b.find("\"software\":\"" + version); i != std::string::npos;
       i = b.find("\"software\":\"" + version, i + 1))
    ++n;
  return n;
}

// The release of a program that does not start is stopped on its first machine, which returns
// to the last good program; the release of a working program then completes on all machines.
bool software(Run& run) {
  if (!start_traffic(run)) return false;
  run.fleet.supervise();
  allow_version(run, "1");
  return with_traffic(run, [&] {
    return record_software(run, "broken", "0.1.9", run.fleet.config().binaries + "/checker") &&
           report(software_is(run, "broken", "STOPPED", 90s),
                  "the release of the broken program was stopped") &&
           report(run.fleet.all_ready(30s) && running(run, "0.1.0") == 14,
                  "all machines run the last good program") &&
           record_software(run, "better", "0.2.0", run.fleet.config().binaries + "/relay_next") &&
           report(software_is(run, "better", "DONE", Duration(run.seconds * 1000)),
                  "the release of the better program completed") &&
           report(run.fleet.wait_until(30s, [&] { return running(run, "0.2.0") == 14; }),
                  "all machines run the better program");
  });
}

// A replica is replaced by e2; then e12 starts with settings that list no running replica,
// and discovers the replicas through its seeds.
bool reseed(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  return with_traffic(run, [&] {
    run.fleet.kill("s2");
    bool in = run.fleet.wait_until(20s, [&] {
      return run.fleet
                 .http_any(
                     "PUT", "/v1/holders/e2",
                     fmt::format(R"({{"holder":true,"address":"{}"}})", run.fleet.at("e2").peer_address))
                 .status == 200;
    });
    bool votes = run.fleet.wait_until(20s, [&] {
      return run.fleet.http("e2", "GET", "/status").body.find("\"votes\":true") != std::string::npos;
    });
    bool out = run.fleet.wait_until(20s, [&] {
      return run.fleet.http_any("PUT", "/v1/holders/s2", R"({"holder":false})").status == 200;
    });
    run.fleet.terminate("e12");
    auto path = run.fleet.config().directory + "/e12/relay.json";
    std::ifstream i(path);
    std::string t((std::istreambuf_iterator<char>(i)), {});
    auto from = t.find("\"holders\":{"), to = t.find('}', from);
    t.replace(from, to - from + 1, R"("holders":{"s2":"127.0.0.1:1"})");
    std::ofstream(path) << t;
    run.fleet.start("e12");
    return report(in && votes, "e2 was added to the replica set and votes") &&
           report(out, "s2 was removed from the replica set") &&
           report(run.fleet.wait_until(30s,
                                       [&] { return run.fleet.http("e12", "GET", "/readyz").status == 200; }),
                  "e12 discovered the replicas through its seeds");
  });
}

// All relays are killed and restarted together.
bool power(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  return with_traffic(run, [&] {
    run.fleet.clock.sleep(8s);
    for (int i = 0; i < 14; ++i) run.fleet.kill(run.fleet.machines()[static_cast<size_t>(i)].name);
    run.fleet.clock.sleep(2s);
    run.fleet.start_nodes();
    return ready_again(run, "all relays are ready within 15 s after the machines' restart");
  });
}
}  // namespace

const Scenarios& scenarios() {
  static const Scenarios all = [] {
    Scenarios m{
        {"up", up},       {"rollout", rollout},   {"rolling", rolling}, {"day", day}, {"versions", versions},
        {"power", power}, {"software", software}, {"reseed", reseed}};
    m.merge(load_scenarios());
    return m;
  }();
  return all;
}

}  // namespace dunlinwing::test
