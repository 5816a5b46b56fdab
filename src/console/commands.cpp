// Each command states a resource or shows some; tables are for people, --json
// gives programs the relay's own answer.
#include "console/commands.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace dunlinwing::console {
namespace {
int show(Session& s, const Reply& r, const std::function<void(const base::Json&)>& table) {
  if (r.status != 200 && r.status != 202) return report_rejection(r);
  if (s.json)
    std::cout << r.text;
  else
    table(r.body);
  return kOk;
}

int done(Session& s, const Reply& r, const std::string& words) {
  return show(s, r, [&](auto&) { std::cout << words << "\n"; });
}

std::optional<std::string> slurp(const std::string& path) {
  std::ifstream f(path);
  std::stringstream b;
  b << f.rdbuf();
  if (!f) {
    std::cerr << "console: cannot read " << path << "\n";
    return {};
  }
  return b.str();
}

std::string body_of(const std::string& reason) {
  return fmt::format("{{\"reason\":{}}}", base::quote(reason));
}

int with_reason(Session& s, const std::string& path, const std::string& words) {
  if (s.reason.empty()) {
    std::cerr << "console: --reason is needed\n";
    return kUsage;
  }
  return done(s, s.link.put(path, body_of(s.reason)), words);
}

std::string release(Session& s) { return fmt::format("/v1/releases/{}/{}", s.args[0], s.args[1]); }

void course_line(const base::Json& r) {
  auto c = r.at("course");
  std::cout << row({{r.at("kind").string_or(), 9},
                    {r.at("name").string_or(), 20},
                    {c.at("phase").string_or("not taken up"), 12},
                    {c.at("zone").string_or(), 6},
                    {c.at("why").string_or(), 0}});
}

int apply(Session& s) {
  auto doc = slurp(s.args[2]);
  if (!doc) return kUsage;
  auto r = s.link.put(release(s), *doc);
  return done(s, r, r.status == 202 ? "recorded; rollout will take it up" : "was recorded before, unchanged");
}

int list(Session& s) {
  auto r = s.link.get(s.args.empty() ? "/v1/releases" : "/v1/releases/" + s.args[0]);
  return show(s, r, [](auto& j) {
    std::cout << row({{"KIND", 9}, {"NAME", 20}, {"PHASE", 12}, {"ZONE", 6}, {"WHY", 0}});
    for (auto& x : j.at("releases").items()) course_line(x);
  });
}

int status(Session& s) {
  auto r = s.link.get(release(s));
  auto rc = show(s, r, [](auto& j) {
    auto c = j.at("course");
    auto e = c.at("evidence");
    std::cout << "release   " << j.at("kind").string_or() << " " << j.at("name").string_or() << "\n"
              << "phase     " << c.at("phase").string_or("not taken up yet") << " "
              << c.at("zone").string_or() << "\n"
              << "why       " << c.at("why").string_or() << "\n"
              << "machine   " << c.at("machine").string_or() << "\n"
              << "held      " << c.at("held_ms").string_or("0") << " ms\n"
              << "on it     " << e.at("on_requests").string_or("0") << " requests, "
              << e.at("on_defects").string_or("0") << " defects\n"
              << "elsewhere " << e.at("off_requests").string_or("0") << " requests, "
              << e.at("off_defects").string_or("0") << " defects\n"
              << "probes    " << e.at("probes_ok").string_or("0") << " good, "
              << e.at("probes_bad").string_or("0") << " bad\n";
    for (auto& [k, v] : j.at("acts").at("waived").members())
      std::cout << "waived    " << k << ": " << v.string_or() << "\n";
  });
  if (rc != kOk) return rc;
  auto ph = r.body.at("course").at("phase").string_or();
  return ph == "STOPPED" || ph == "WITHDRAWN" ? kNegative : kOk;
}

// Follows a release until it ends, a line for each change of phase or reason.
int watch(Session& s) {
  std::string last;
  TimePoint end = s.clock.now() + Duration((s.wait_s ? s.wait_s : 86400) * 1000LL);
  while (s.clock.now() < end) {
    auto r = s.link.get(release(s));
    if (r.status != 200) return report_rejection(r);
    auto c = r.body.at("course");
    auto ph = c.at("phase").string_or("not taken up yet");
    auto now = ph + " " + c.at("zone").string_or() + ": " + c.at("why").string_or();
    if (auto i = now.find(" s of the phase"); i != now.npos)
      now = ph + " " + c.at("zone").string_or() + ": holding";
    if (now != last) std::cout << now << "\n" << std::flush;
    last = now;
    if (ph == "DONE") return kOk;
    if (ph == "STOPPED" || ph == "WITHDRAWN") return kNegative;
    s.clock.sleep(Duration(500));
  }
  std::cerr << "console: still under way when the time was up\n";
  return kNegative;
}

// Goes on where an earlier upload broke off: the fleet says how much it holds.
int upload(Session& s) {
  auto rel = s.link.get("/v1/releases/software/" + s.args[0]);
  if (rel.status != 200) return report_rejection(rel);
  auto data = slurp(s.args[1]);
  if (!data) return kUsage;
  auto path = "/v1/artifacts/" + rel.body.at("document").at("content").at("sha256").string_or();
  auto at = s.link.get(path);
  if (at.status != 200) return report_rejection(at);
  constexpr uint64_t kPiece = 1 << 20;
  while (!at.body.at("whole").bool_or()) {
    auto held = static_cast<uint64_t>(at.body.at("held").integer_or());
    if (held >= data->size()) {
      std::cerr << "console: the file is not the one that the release names\n";
      return kRejected;
    }
    auto r = s.link.put(fmt::format("{}?offset={}", path, held), data->substr(held, kPiece));
    if (r.status == 409) {
      std::cerr
          << "console: the file is not the one that the release names, or another upload is under way\n";
      return kRejected;
    }
    if (r.status != 200) return report_rejection(r);
    at = r;
  }
  std::cout << "the artifact is held whole by a majority\n";
  return kOk;
}

int diff(Session& s) {
  auto a = s.link.get(release(s)), b = s.link.get(fmt::format("/v1/releases/{}/{}", s.args[0], s.args[2]));
  if (a.status != 200) return report_rejection(a);
  if (b.status != 200) return report_rejection(b);
  int n = 0;
  std::function<void(const base::Json&, const base::Json&, const std::string&)> walk = [&](auto& x, auto& y,
                                                                                           auto at) {
    auto mx = x.members(), my = y.members();
    if (mx.empty() && my.empty()) {
      if (x.text() != y.text()) std::cout << at << ": " << x.text() << " -> " << y.text() << "\n", ++n;
      return;
    }
    std::map<std::string, std::pair<base::Json, base::Json>> all;
    for (auto& [k, v] : mx) all[k].first = v;
    for (auto& [k, v] : my) all[k].second = v;
    for (auto& [k, p] : all) walk(p.first, p.second, at + "/" + k);
  };
  walk(a.body.at("document"), b.body.at("document"), std::string());
  return n ? kNegative : kOk;
}

int nodes(Session& s) {
  return show(s, s.link.get("/v1/nodes"), [](auto& j) {
    std::cout << row({{"NAME", 10},
                      {"ZONE", 6},
                      {"MEMBER", 7},
                      {"READY", 6},
                      {"HOLDER", 7},
                      {"GEN", 6},
                      {"LAYOUT", 20},
                      {"SOFTWARE", 0}});
    for (auto& x : j.at("nodes").items()) {
      auto f = x.at("facts");
      auto yes = [](bool b) { return std::string(b ? "yes" : "no"); };
      std::cout << row({{x.at("name").string_or(), 10},
                        {f.at("zone").string_or(), 6},
                        {yes(x.at("member").bool_or()), 7},
                        {yes(f.at("ready").bool_or()), 6},
                        {yes(f.at("holder").bool_or()), 7},
                        {f.at("generation").string_or(), 6},
                        {f.at("running").at("layout").string_or(), 20},
                        {f.at("software").string_or(), 0}});
    }
  });
}

int workers(Session& s) {
  return show(s, s.link.get("/v1/workers"), [](auto& j) {
    std::cout << row(
        {{"INSTANCE", 16}, {"SERVICE", 14}, {"VERSION", 10}, {"ZONE", 6}, {"ADDRESS", 22}, {"STATE", 0}});
    for (auto& x : j.at("workers").items()) {
      auto b = x.at("beat");
      std::cout << row({{x.at("instance").string_or(), 16},
                        {b.at("service").string_or(), 14},
                        {b.at("version").string_or(), 10},
                        {b.at("zone").string_or(), 6},
                        {b.at("address").string_or(), 22},
                        {b.at("leaving").bool_or() ? "leaving"
                         : x.at("gone").bool_or()  ? "gone"
                                                   : "beating",
                         0}});
    }
  });
}

int duties(Session& s) {
  return show(s, s.link.get("/v1/duties"), [](auto& j) {
    for (auto& [k, d] : j.members())
      std::cout << k << ": " << d.at("holder").string_or() << ", understudy "
                << d.at("understudy").string_or() << ", term " << d.at("term").string_or() << "\n";
  });
}

int get(Session& s) {
  auto r = s.link.get(s.args[0].starts_with("/") ? s.args[0] : "/v1/" + s.args[0]);
  if (r.status != 200) return report_rejection(r);
  std::cout << r.text;
  return kOk;
}

int move(Session& s) {
  auto body = fmt::format("{{\"version\":{}}}", base::quote(s.args[1]));
  if (s.args.size() > 2) {
    body.insert(body.size() - 1,
                fmt::format(",\"within_ms\":{}", std::strtoll(s.args[2].c_str(), nullptr, 10) * 1000));
    return done(s, s.link.put("/v1/moves/" + s.args[0], body),
                "asked for; see how it goes with: console get moves/" + s.args[0]);
  }
  return done(s, s.link.put("/v1/services/" + s.args[0], body),
              "stated; watch it with: console get services/" + s.args[0]);
}

int purge(Session& s) {
  auto& kind = s.args[2];
  auto path = s.args.size() > 3 ? fmt::format(",\"path\":{}", base::quote(s.args[3])) : "";
  auto body =
      fmt::format("{{\"service\":{},\"kind\":{}{}}}", base::quote(s.args[1]), base::quote(kind), path);
  return done(s, s.link.put("/v1/purges/" + s.args[0], body),
              "purged; no relay serves it two seconds from now");
}

int drain(Session& s, bool on) {
  if (on && s.reason.empty()) {
    std::cerr << "console: --reason is needed\n";
    return kUsage;
  }
  auto body = fmt::format("{{\"drained\":{},\"reason\":{}}}", on, base::quote(s.reason));
  return done(s, s.link.put(fmt::format("/v1/drains/{}/{}", s.args[0], s.args[1]), body),
              on ? "draining" : "no longer drained");
}
}  // namespace

std::string row(const std::vector<std::pair<std::string, int>>& cells) {
  std::string out;
  for (auto& [t, w] : cells) out += w ? fmt::format("{:<{}} ", t, w) : t;
  while (!out.empty() && out.back() == ' ') out.pop_back();
  return out + "\n";
}

int report_rejection(const Reply& r) {
  if (r.status == 0) {
    std::cerr << "console: no seed could be reached\n";
    return kNoAnswer;
  }
  std::cerr << "console: " << r.from << " answers " << r.status << ": "
            << r.body.at("defect").string_or(r.text) << "\n";
  for (auto& d : r.body.at("defects").items())
    std::cerr << "  " << d.at("at").string_or() << " " << d.at("what").string_or() << "\n";
  if (r.status == 404) return kNotFound;
  if (r.status == 503) return r.text.find("fate") != std::string::npos ? kOutcomeUnknown : kNoAnswer;
  return kRejected;
}

const std::map<std::string, Command>& commands() {
  static const std::map<std::string, Command> all{
      {"apply", {"apply KIND NAME FILE", "records a release", 3, 3, apply}},
      {"list", {"list [KIND]", "all releases and where they stand", 0, 1, list}},
      {"status", {"status KIND NAME", "where a release stands, and why it holds", 2, 2, status}},
      {"watch", {"watch KIND NAME", "follows a release to its end", 2, 2, watch}},
      {"upload", {"upload NAME FILE", "the program of a recorded software release", 2, 2, upload}},
      {"diff", {"diff KIND NAME NAME", "what differs between two releases", 3, 3, diff}},
      {"get", {"get RESOURCE", "any resource, as JSON", 1, 1, get}},
      {"waive",
       {"waive KIND NAME CHECK --reason R", "waives one check for one release", 3, 3,
        [](Session& s) { return with_reason(s, release(s) + "/waivers/" + s.args[2], "waived"); }}},
      {"withdraw",
       {"withdraw KIND NAME --reason R", "takes a release back", 2, 2,
        [](Session& s) { return with_reason(s, release(s) + "/withdrawal", "withdrawn"); }}},
      {"express",
       {"express KIND NAME --reason R", "sends a release to all at once", 2, 2,
        [](Session& s) { return with_reason(s, release(s) + "/express", "sent by express"); }}},
      {"move",
       {"move SERVICE VERSION [SECONDS]",
        "moves a service to a worker version; within so many seconds, or back", 2, 3, move}},
      {"purge", {"purge NAME SERVICE path|prefix|service [PATH]", "purges cached content", 3, 4, purge}},
      {"drain",
       {"drain node|zone NAME --reason R", "takes a relay or a zone out of traffic", 2, 2,
        [](Session& s) { return drain(s, true); }}},
      {"undrain",
       {"undrain node|zone NAME", "lets it back in", 2, 2, [](Session& s) { return drain(s, false); }}},
      {"nodes", {"nodes", "all relays", 0, 0, nodes}},
      {"workers", {"workers", "all workers", 0, 0, workers}},
      {"holders",
       {"holders [list] | add NAME IP:PORT | remove NAME",
        "who holds the state; changes the set by one machine", 0, 3, replicas}},
      {"duties", {"duties", "who does which duty", 0, 0, duties}},
      {"doctor", {"doctor", "says in plain words what is wrong, and where", 0, 0, diagnose}}};
  return all;
}

}  // namespace dunlinwing::console
