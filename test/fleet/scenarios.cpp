// Each scenario begins with a fleet that serves its first layout, lets callers
// call, brings its failure about, and waits on conditions.
#include "fleet/scenarios.hpp"

#include <signal.h>

#include <fstream>
#include <iostream>
#include <random>

#include "storage/artifact_files.hpp"

namespace dunlinwing::test {
using namespace std::chrono_literals;

bool say(bool ok, const std::string& what) {
  std::cout << (ok ? "seen: " : "NOT SEEN: ") << what << "\n" << std::flush;
  return ok;
}

bool put_layout(Run& r, const std::string& name, const std::string& doc) {
  auto a = r.f.any("PUT", "/v1/releases/layout/" + name, doc);
  if (a.status != 202) {
    std::cout << "PUT " << name << " gave " << a.status << " " << a.body << "\n";
    return false;
  }
  r.f.event(fmt::format(R"("t":"recorded","release":"{}")", name));
  return true;
}

bool begin(Run& r) {
  r.f.start_relays();
  r.f.watch_assignments();
  r.f.start_workers();
  bool put = r.f.until(20s, [&] { return r.f.any("GET", "/v1/nodes").status == 200; });
  return say(put, "control answers") &&
         say(put_layout(r, "first", layout_document(r.f.config().deployment)), "first layout recorded") &&
         say(r.f.all_ready(20s), "all relays are ready under the first layout");
}

bool calls(Run& r, const std::function<bool()>& meanwhile) {
  auto p = r.f.start_caller("c1", r.rate, r.seconds, r.seed);
  bool ok = meanwhile();
  while (!r.f.caller_done(p)) r.f.clock.sleep(50ms);
  return ok;
}

namespace {
bool up(Run& r) {
  if (!begin(r)) return false;
  while (!r.stopped()) r.f.clock.sleep(100ms);
  return true;
}

// A second layout goes through all its phases under load.
bool rollout(Run& r) {
  if (!begin(r)) return false;
  return calls(r, [&] {
    return say(put_layout(r, "second", layout_document(r.f.config().deployment, "2")),
               "second layout recorded") &&
           say(r.f.layout_everywhere("second", Duration(r.seconds * 1000 + 30000)),
               "second layout runs everywhere");
  });
}

}  // namespace

void allow(Run& r, const std::string& v) {
  bool lobby = r.f.config().deployment == "lobby";
  auto a = [&](const char* s, const char* p) {
    r.f.event(fmt::format(R"("t":"allowed","service":"{}","version":"{}","prefix":"{}")", s, v, p));
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

bool purge(Run& r, const std::string& name, const std::string& kind, const std::string& path) {
  auto svc = r.f.config().deployment == "lobby" ? "content" : "documents";
  auto asked = r.f.clock.now().count();
  auto a = r.f.any("PUT", "/v1/purges/" + name,
                   fmt::format(R"({{"service":"{}","kind":"{}","path":"{}"}})", svc, kind, path));
  if (a.status == 200)
    r.f.event(
        fmt::format(R"("t":"purged","path":"{}","prefix":{},"asked":{})", path, kind == "prefix", asked));
  return a.status == 200;
}

namespace {
// Every relay in turn is stopped with a warning and started again.
bool rolling(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  return calls(r, [&] {
    bool ok = true;
    for (int i = 0; i < 14; ++i) {
      auto n = r.f.machines()[static_cast<size_t>(i)].name;
      r.f.warn(n);
      r.f.start(n);
      ok &= r.f.until(10s, [&] { return r.f.http(n, "GET", "/readyz").status == 200; });
    }
    return say(ok, "every relay was restarted and became ready");
  });
}

}  // namespace

bool ready_again(Run& r, const char* what) {
  r.f.event(R"("t":"returned")");
  return say(r.f.all_ready(15s), what);
}

namespace {
// Kills, freezes, lost disks, cut links, worker changes, purges and layouts, one
// after the other and overlapping, drawn from the seed; then the acknowledged
// layouts are read back from every relay.
bool day(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  r.f.event(R"("t":"lifetime","ms":4000)");
  std::mt19937_64 rng(r.seed);
  std::map<std::string, std::string> acked{{"first", layout_document(r.f.config().deployment)}};
  std::map<std::string, int> met;
  bool lobby = r.f.config().deployment == "lobby";
  auto relay = [&] { return r.f.machines()[rng() % 14].name; };
  auto end = r.f.clock.now() + Duration((r.seconds - 25) * 1000);
  bool ok = calls(r, [&] {
    for (int i = 0; r.f.clock.now() < end; ++i) {
      auto n = relay();
      auto& m = r.f.at(n);
      int down = 0;
      for (auto& x : r.f.machines()) down += x.holder && (x.pid <= 0 || x.frozen);
      bool may = !(m.holder && down >= 2);
      auto d = rng() % 9;
      if (d == 0 && may) ++met["kill"], r.f.kill(n);
      if (d == 1 && may) ++met["freeze"], r.f.freeze(n);
      if (d == 2 && m.holder && down == 0) ++met["lost_disk"], r.f.kill(n), r.f.wipe(n);
      if (d == 3) ++met["cut"], r.f.links().cut_off(n);
      if (d == 4)
        met["purge"] += purge(r, fmt::format("p{}", i), rng() % 2 ? "prefix" : "path",
                              fmt::format("{}{}", lobby ? "/liveries/" : "/notices/", rng() % 5));
      if (d == 5) {
        auto doc = layout_document(r.f.config().deployment, fmt::format("x{}", i));
        if (put_layout(r, fmt::format("day{}", i), doc))
          acked[fmt::format("day{}", i)] = doc, ++met["layout"];
      }
      if (d == 6) ++met["warn"], r.f.warn(n), r.f.start(n);
      if (d == 7) {  // a worker crashes and another of its service is started
        auto& w = r.f.machines()[14 + rng() % (r.f.machines().size() - 14)];
        auto args = w.args;
        auto name = w.name;
        r.f.kill(name);
        ++met["worker_kill"];
        r.f.start(name);
      }
      if (d == 8) {  // a worker is replaced: the new one first, then the old is warned
        ++met["worker_replaced"];
        r.f.add_worker(lobby ? "matchmaking" : "application", "1", "b", {});
        auto old = r.f.machines()[18 + rng() % 4].name;
        if (r.f.at(old).pid > 0) ::kill(r.f.at(old).pid, SIGTERM);
      }
      r.f.clock.sleep(Duration(300 + rng() % 1500));
      for (auto& x : r.f.machines()) r.f.gone(x.name);
      if (rng() % 3 == 0) r.f.links().mend_all();
      for (auto& x : r.f.machines()) {
        if (x.frozen && rng() % 2) r.f.thaw(x.name);
        if (x.kind != "worker" && x.pid <= 0 && rng() % 2) r.f.start(x.name);
      }
    }
    r.f.links().mend_all();
    for (auto& x : r.f.machines()) {
      if (x.frozen) r.f.thaw(x.name);
      if (x.kind != "worker" && x.pid <= 0) r.f.start(x.name);
    }
    return ready_again(r, "all relays are ready within 15 s of the machines' return");
  });
  for (auto& m : r.f.machines())
    for (auto& [n, doc] : acked)
      if (m.kind != "worker" &&
          r.f.http(m.name, "GET", "/v1/releases/layout/" + n).body.find("\"document\":" + doc) ==
              std::string::npos) {
        r.f.event(fmt::format(R"("t":"layout_lost","release":"{}")", n));
        ok = say(false, "a relay does not read an acknowledged layout back");
      }
  for (auto& [k, v] : met) std::cout << "met " << k << " " << v << "\n";
  return ok;
}

// A move to a version that answers badly, and one to a version that is well.
bool versions(Run& r) {
  if (!begin(r)) return false;
  auto svc = r.f.config().deployment == "lobby" ? "matchmaking" : "application";
  if (!put_layout(r, "two", [&] {
        auto d = layout_document(r.f.config().deployment, "2");
        d.insert(1, R"("express":"the test needs both versions",)");
        return d;
      }()))
    return false;
  allow(r, "1");
  allow(r, "2");
  for (auto* z : {"a", "b"}) r.f.add_worker(svc, "2", z, {"--fault", "error", "--fault_percent", "50"});
  return calls(r, [&] {
    r.f.clock.sleep(3s);
    r.f.event(fmt::format(R"("t":"bad_version","service":"{}","version":"2")", svc));
    bool put = r.f.until(10s, [&] {
      return r.f.any("PUT", fmt::format("/v1/services/{}", svc), R"({"version":"2"})").status == 200;
    });
    return say(put, "the move was stated") &&
           say(r.f.until(Duration(r.seconds * 1000),
                         [&] {
                           return r.f.any("GET", fmt::format("/v1/services/{}", svc)).body.find("\"2\":\"") !=
                                  std::string::npos;
                         }),
               "the bad version is in quarantine");
  });
}

std::string hex_digest(const std::string& path) { return storage::sha256_hex_of(path).value_or(""); }

bool record_software(Run& r, const std::string& name, const std::string& version, const std::string& file) {
  std::ifstream f(file, std::ios::binary);
  std::string data((std::istreambuf_iterator<char>(f)), {});
  auto sha = hex_digest(file);
  auto a = r.f.any(
      "PUT", "/v1/releases/software/" + name,
      fmt::format(R"({{"content":{{"version":"{}","sha256":"{}","bytes":{}}}}})", version, sha, data.size()));
  if (a.status != 202) return say(false, a.body);
  r.f.clock.sleep(1s);
  for (size_t at = 0; at < data.size(); at += 1 << 20) {
    auto p = r.f.any("PUT", fmt::format("/v1/artifacts/{}?offset={}", sha, at), data.substr(at, 1 << 20));
    if (p.status != 200) return say(false, p.body);
  }
  return say(r.f.any("GET", "/v1/artifacts/" + sha).body.find("\"whole\":true") != std::string::npos,
             "a majority holds the artifact whole");
}

bool software_is(Run& r, const std::string& name, const std::string& ph, Duration most) {
  return r.f.until(most, [&] {
    return r.f.any("GET", "/v1/releases/software/" + name).body.find("\"phase\":\"" + ph + "\"") !=
           std::string::npos;
  });
}

int running(Run& r, const std::string& version) {
  auto b = r.f.any("GET", "/v1/nodes").body;
  int n = 0;
  for (auto i = b.find("\"software\":\"" + version); i != b.npos;
       i = b.find("\"software\":\"" + version, i + 1))
    ++n;
  return n;
}

// A program that does not come up is stopped on its first machine, which goes
// back to the last good one; a good one then runs everywhere.
bool software(Run& r) {
  if (!begin(r)) return false;
  r.f.supervise();
  allow(r, "1");
  return calls(r, [&] {
    return record_software(r, "broken", "0.1.9", r.f.config().bin + "/checker") &&
           say(software_is(r, "broken", "STOPPED", 90s), "the broken program was stopped") &&
           say(r.f.all_ready(30s) && running(r, "0.1.0") == 14, "all machines run the last good program") &&
           record_software(r, "better", "0.2.0", r.f.config().bin + "/relay_next") &&
           say(software_is(r, "better", "DONE", Duration(r.seconds * 1000)),
               "the better program ran its course") &&
           say(r.f.until(30s, [&] { return running(r, "0.2.0") == 14; }), "all machines run it");
  });
}

// A machine that holds state is replaced by e2; then e12 starts with settings that
// name no living holder, and finds them through its seeds.
bool reseed(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  return calls(r, [&] {
    r.f.kill("s2");
    bool in = r.f.until(20s, [&] {
      return r.f.any("PUT", "/v1/holders/e2",
                     fmt::format(R"({{"holder":true,"address":"{}"}})", r.f.at("e2").peers))
                 .status == 200;
    });
    bool votes = r.f.until(20s, [&] {
      return r.f.http("e2", "GET", "/status").body.find("\"votes\":true") != std::string::npos;
    });
    bool out =
        r.f.until(20s, [&] { return r.f.any("PUT", "/v1/holders/s2", R"({"holder":false})").status == 200; });
    r.f.warn("e12");
    auto path = r.f.config().dir + "/e12/relay.json";
    std::ifstream i(path);
    std::string t((std::istreambuf_iterator<char>(i)), {});
    auto from = t.find("\"holders\":{"), to = t.find('}', from);
    t.replace(from, to - from + 1, R"("holders":{"s2":"127.0.0.1:1"})");
    std::ofstream(path) << t;
    r.f.start("e12");
    return say(in && votes, "e2 was made a holder and votes") && say(out, "s2 was taken out of the set") &&
           say(r.f.until(30s, [&] { return r.f.http("e12", "GET", "/readyz").status == 200; }),
               "e12 found the holders through its seeds");
  });
}

// All relays die together and come back.
bool power(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  return calls(r, [&] {
    r.f.clock.sleep(8s);
    for (int i = 0; i < 14; ++i) r.f.kill(r.f.machines()[static_cast<size_t>(i)].name);
    r.f.clock.sleep(2s);
    r.f.start_relays();
    return ready_again(r, "all relays are ready within 15 s of the machines' return");
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
