// All times come from the boot clock of one machine, so they are comparable.
// Where a journal records an event later than it happened, the check may miss
// a violation by that margin but never reports a false one.
#include "checker/checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <set>

namespace dunlinwing::test {
namespace {
constexpr int64_t kBound = 2000;
constexpr int64_t kInFlight = 5;

struct ClientRequest {
  std::string method, target, in;
  int64_t at = 0;
};
struct ClientResponse {
  std::string id, outcome, out, relay, retry;
  int64_t status = 0, produced = -1, gen = -1, from = 0, at = 0;
};
struct Execution {
  std::string id, method, target, in, out, service, version, instance, relay;
  int64_t gen = -1, at = 0;
  bool bad = false;
};

struct JournalEvents {
  std::map<std::string, ClientRequest> requests;
  std::vector<ClientResponse> responses;
  std::vector<Execution> executions;
  std::map<std::string, int64_t> leaving, gone;  // instance -> time of the first report
  std::vector<base::Json> events;
  std::vector<ClientResponse> lost;
  std::set<std::string> succeeded;  // ids of requests with a successful response
  std::map<std::string, std::vector<int64_t>>
      machine_faults;                // machine -> times at which it was killed, frozen or warned
  std::vector<int64_t> fault_times;  // times of all kills and freezes, and of cuts of links
};

int64_t number(const std::string& s) { return s.empty() ? -1 : std::strtoll(s.c_str(), nullptr, 10); }

JournalEvents sort_events(const Journals& js) {
  JournalEvents b;
  std::map<std::string, std::string> names;  // machine names by their address for clients
  for (auto& json : js.lines)
    if (json.at("t").string_or() == "machine")
      names[json.at("callers").string_or()] = json.at("machine").string_or();
  for (auto& json : js.lines) {
    auto t = json.at("t").string_or();
    auto s = [&](const char* k) { return json.at(k).string_or(); };
    auto relay = [&] {
      auto f = names.find(s("relay"));
      return f == names.end() ? s("relay") : f->second;
    };
    if (t == "ask") {
      b.requests[s("id")] = {s("method"), s("target"), s("in"), json.at("at").integer_or()};
    } else if (t == "got") {
      b.responses.push_back({s("id"), s("outcome"), s("out"), relay(), s("retry_after"),
                             json.at("status").integer_or(), json.at("produced").integer_or(-1),
                             number(s("gen")), json.at("from").integer_or(), json.at("at").integer_or()});
    } else if (t == "run") {
      b.executions.push_back({s("id"), s("method"), s("target"), s("in"), s("out"), s("service"),
                              s("version"), s("instance"), s("relay"), number(s("gen")),
                              json.at("at").integer_or(), json.at("bad").bool_or()});
    } else if (t == "leaving") {
      b.leaving.emplace(s("instance"), json.at("at").integer_or());  // the first report counts
    } else if (t == "lost") {
      ClientResponse g;
      g.id = s("id");
      g.relay = relay();
      g.from = json.at("from").integer_or();
      g.at = json.at("at").integer_or();
      b.lost.push_back(g);
    } else {
      b.events.push_back(json);
      bool cut = t == "cut";
      if (!cut && t != "killed" && t != "frozen" && t != "warned") continue;
      if (t != "warned") b.fault_times.push_back(json.at("at").integer_or());
      if (!cut) b.machine_faults[s("machine")].push_back(json.at("at").integer_or());
    }
  }
  for (auto& g : b.responses)
    if (g.status < 400) b.succeeded.insert(g.id);
  auto by_time = [](auto& x, auto& y) { return x.at < y.at; };
  std::stable_sort(b.executions.begin(), b.executions.end(), by_time);
  std::stable_sort(b.responses.begin(), b.responses.end(), by_time);
  return b;
}

bool safe(const std::string& m) { return m == "GET" || m == "HEAD"; }

struct Checks {
  const JournalEvents& journal;
  CheckReport out;
  std::map<std::string, std::vector<const Execution*>> by_id;
  void breach(int r, std::string w) { out.breaches.push_back({r, std::move(w)}); }

  void check_executed_once() {
    for (auto& [id, rs] : by_id)
      if (rs.size() > 1 && !safe(rs.front()->method))
        breach(1, id + " ran " + std::to_string(rs.size()) + " times");
  }

  void check_not_run() {
    for (auto& g : journal.responses)
      if (g.outcome == "not-run" && by_id.count(g.id))
        breach(2, g.id + " was executed although its response stated not-run");
  }

  void check_responses() {
    std::map<std::string, std::set<std::string>> made;  // target -> responses created
    for (auto& r : journal.executions) made[r.target].insert(r.out);
    for (auto& g : journal.responses) {
      if (g.status >= 300) continue;
      auto a = journal.requests.find(g.id);
      if (a == journal.requests.end()) continue;
      bool mine = false;
      if (auto f = by_id.find(g.id); f != by_id.end())
        for (auto* r : f->second) mine |= r->out == g.out;
      // A cached response was created for another request with the same target.
      bool shared = safe(a->second.method) && g.produced >= 0 && made[a->second.target].count(g.out);
      if (!mine && !shared) breach(3, g.id + " got a success that no backend instance created for it");
    }
  }

  void check_requests() {
    for (auto& r : journal.executions) {
      auto a = journal.requests.find(r.id);
      if (a == journal.requests.end())
        breach(4, "an execution of " + r.id + " that no client requested");
      else if (a->second.method != r.method || a->second.target != r.target || a->second.in != r.in)
        breach(4, r.id + " was altered in transit");
    }
  }

  void check_allowed_versions() {
    std::set<std::string> ok, routes;
    bool any = false;
    for (auto& e : journal.events)
      if (e.at("t").string_or() == "allowed") {
        any = true;
        ok.insert(e.at("service").string_or() + "/" + e.at("version").string_or() + "/" +
                  e.at("prefix").string_or());
      }
    if (!any) return;
    for (auto& r : journal.executions) {
      bool hit = false;
      for (auto& k : ok) {
        auto p = r.service + "/" + r.version + "/";
        if (k.starts_with(p) && r.target.starts_with(k.substr(p.size()))) hit = true;
      }
      if (!hit)
        breach(5, fmt::format("{} went to {} {}, which no layout allowed", r.target, r.service, r.version));
    }
  }

  void check_generations() {
    std::map<std::string, std::vector<std::pair<int64_t, int64_t>>> acked;  // relay -> (when, generation)
    for (auto& e : journal.events)
      if (e.at("t").string_or() == "assigned")
        acked[e.at("relay").string_or()].push_back(
            {e.at("at").integer_or(), e.at("generation").integer_or()});
    std::map<std::string, int64_t> shown, ended;
    std::map<std::string, std::vector<std::pair<int64_t, int64_t>>> tops;
    for (auto& g : journal.responses) {
      if (g.gen < 0) continue;
      for (auto& [at, n] : acked[g.relay])
        if (g.from > at + kBound && g.gen < n)
          breach(6, fmt::format("{} handled {} under generation {} at {} although {} was acknowledged at {}",
                                g.relay, g.id, g.gen, g.from, n, at));
      // The generation in responses that ended before this request began.
      auto& t = tops[g.relay];
      auto f = std::upper_bound(t.begin(), t.end(), std::make_pair(g.from - 1, INT64_MAX));
      if (f != t.begin() && std::prev(f)->second > g.gen)
        breach(6, fmt::format("{} reverted to generation {}", g.relay, g.gen));
      auto top = std::max(t.empty() ? -1 : t.back().second, g.gen);
      t.push_back({g.at, top});
    }
    // For an attempt, the time at which it was sent counts, however long its request had waited.
    for (auto& r : journal.executions)
      if (auto f = acked.find(r.relay); r.gen >= 0 && f != acked.end())
        for (auto& [at, n] : f->second)
          if (r.at > at + kBound && r.gen < n)
            breach(6, fmt::format("{} of {} was sent under generation {} {} ms after {} was acknowledged",
                                  r.id, r.relay, r.gen, r.at - at, n));
  }

  void check_leaving() {
    for (auto& r : journal.executions)
      if (auto f = journal.leaving.find(r.instance); f != journal.leaving.end() && r.at > f->second + kBound)
        breach(7, fmt::format("{} got {} {} ms after it reported that it leaves", r.instance, r.id,
                              r.at - f->second));
  }

  void check_purges() {
    // A response created after the purge request may be newer than the purge: only older ones are checked.
    std::vector<std::tuple<int64_t, int64_t, std::string, bool>> ps;
    for (auto& e : journal.events)
      if (e.at("t").string_or() == "purged")
        ps.push_back({e.at("asked").integer_or(e.at("at").integer_or()), e.at("at").integer_or(),
                      e.at("path").string_or(), e.at("prefix").bool_or()});
    int64_t life = 0;
    for (auto& e : journal.events)
      if (e.at("t").string_or() == "lifetime") life = std::max(life, e.at("ms").integer_or());
    for (auto& g : journal.responses) {
      if (g.status != 200 || g.produced < 0) continue;
      auto a = journal.requests.find(g.id);
      if (a == journal.requests.end() || !safe(a->second.method)) continue;
      auto& t = a->second.target;
      // A response that an instance creates for this request may be slow, so its start counts; for a cached
      // one, the end counts.
      auto when = by_id.count(g.id) ? g.from : g.at;
      for (auto& [asked, at, path, prefix] : ps)
        if ((prefix ? t.starts_with(path) : t == path) && g.produced < asked && when > at + kBound)
          breach(8, fmt::format("{} was served {} ms after the purge of {}", t, when - at, path));
      if (life && when - g.produced > life + kBound)
        breach(8, fmt::format("{} was served {} ms old with a lifetime of {}", t, when - g.produced, life));
    }
  }

  void check_repeats() {
    int64_t allowance = 20;
    for (auto& e : journal.events)
      if (e.at("t").string_or() == "allowance") allowance = e.at("n").integer_or();
    std::map<std::string, std::vector<std::pair<int64_t, bool>>> sends;
    std::set<std::string> seen;
    for (auto& r : journal.executions) {
      bool again = !seen.insert(r.id).second;
      sends[r.service].push_back({r.at, again});
      out.figures["repeats"] += again;
    }
    for (auto& [s, v] : sends) {
      size_t from = 0;
      int64_t first = 0, again = 0;
      for (auto& [at, a] : v) {
        (a ? again : first)++;
        while (v[from].first <= at - 10000) {
          (v[from].second ? again : first)--;
          ++from;
        }
        if (again > first / 5 + allowance) {
          breach(9, fmt::format("{} repeats for {} requests of {} in ten seconds", again, first, s));
          break;
        }
      }
    }
  }

  void check_versions() {
    for (auto& e : journal.events) {
      if (e.at("t").string_or() != "bad_version") continue;
      auto s = e.at("service").string_or(), v = e.at("version").string_or();
      // For a rollout with a deadline, the share applies to the whole period, plus its slack.
      auto since = e.at("at").integer_or(), until = e.at("until").integer_or(),
           slack = e.at("slack").integer_or(kInFlight);
      int64_t all = 0, mine = 0, bad = 0, fifty = 0;
      bool over = false;
      for (auto& r : journal.executions) {
        if (r.service != s || r.at < since) continue;
        bool counts = !until || r.at < until;
        all += counts;
        if (r.version != v) continue;
        mine += counts;
        // Checked at every request; relays count sent requests, the journal counts arrivals.
        if (!until && mine > all / 10 + slack && !over) {
          over = true;
          breach(10, fmt::format("{} of {} requests of {} so far went to version {}", mine, all, s, v));
        }
        if (fifty && r.at > fifty + 5000)
          breach(10,
                 fmt::format("{} {} still got requests {} ms after 50 bad responses", s, v, r.at - fifty));
        if (r.bad && ++bad == 50) fifty = r.at;
      }
      if (until && mine > all / 10 + slack)
        breach(10, fmt::format("{} of {} requests of {} in the whole period went to version {}", mine, all, s,
                               v));
      out.figures["bad_version_requests"] += static_cast<uint64_t>(mine);
      out.figures["bad_version_of"] += static_cast<uint64_t>(all);
    }
  }

  void check_rates() {
    for (auto& e : journal.events) {
      if (e.at("t").string_or() != "rate") continue;
      auto s = e.at("service").string_or();
      auto rate = e.at("n").integer_or();
      // A rate applies from its event until the next rate event of the same service.
      int64_t since = e.at("at").integer_or(), till = INT64_MAX;
      for (auto& x : journal.events)
        if (x.at("t").string_or() == "rate" && x.at("service").string_or() == s &&
            x.at("at").integer_or() > since)
          till = std::min(till, x.at("at").integer_or());
      std::vector<int64_t> at;
      for (auto& r : journal.executions)
        if (r.service == s && r.at >= since && r.at < till) at.push_back(r.at);
      size_t from = 0;
      int64_t top = 0;
      for (size_t i = 0; i < at.size(); ++i) {
        while (at[from] <= at[i] - 5000) ++from;
        top = std::max<int64_t>(top, static_cast<int64_t>(i - from + 1));
      }
      auto& worst = out.figures["rate_top_in_5s"];
      worst = std::max(worst, static_cast<uint64_t>(top));
      if (top * 10 > rate * 5 * 11)
        breach(11, fmt::format("{} was sent {} requests in 5 s at a stated rate of {}", s, top, rate));
    }
  }

  void check_recovery() {
    for (auto& e : journal.events) {
      auto t = e.at("t").string_or();
      if (t == "layout_lost")
        breach(12, "the acknowledged " + e.at("release").string_or() + " could not be read back");
      if (t != "returned") continue;
      auto at = e.at("at").integer_or();
      // A later fault within this period has its own return event.
      if (std::any_of(journal.fault_times.begin(), journal.fault_times.end(),
                      [&](auto h) { return h > at && h < at + 20000; }))
        continue;
      uint64_t good = 0, all = 0;
      for (auto& [id, a] : journal.requests)
        if (a.at > at + 15000 && a.at < at + 20000) {
          ++all;
          good += journal.succeeded.count(id);
        }
      out.figures["returns_judged"] += all > 0;
      if (good * 2 < all)
        breach(12, fmt::format("{} of {} failed 15 s after machines returned", all - good, all));
    }
  }
};
}  // namespace

void Journals::add(const std::string& l) {
  auto p = base::Json::parse(l);
  if (auto* j = std::get_if<base::Json>(&p)) lines.push_back(*j);
}

bool Journals::read(const std::string& path) {
  std::ifstream f(path);
  if (!f) return false;
  for (std::string l; std::getline(f, l);) add(l);
  return true;
}

CheckReport check(const Journals& js) {
  auto b = sort_events(js);
  Checks c{b, {}, {}};
  for (auto& r : b.executions) c.by_id[r.id].push_back(&r);
  c.check_executed_once();
  c.check_not_run();
  c.check_responses();
  c.check_requests();
  c.check_allowed_versions();
  c.check_generations();
  c.check_leaving();
  c.check_purges();
  c.check_repeats();
  c.check_versions();
  c.check_rates();
  c.check_recovery();
  auto& f = c.out.figures;
  f["asked"] = b.requests.size();
  f["answered"] = b.responses.size();
  int64_t last = 0;  // responses are sorted by their end times
  for (auto& g : b.responses) {
    if (g.status >= 400) continue;
    if (last) f["longest_gap_ms"] = std::max(f["longest_gap_ms"], static_cast<uint64_t>(g.at - last));
    last = g.at;
  }
  f["lost"] = b.lost.size();
  std::set<std::string> ended;
  for (auto& g : b.responses) ended.insert(g.id);
  for (auto& l : b.lost) {
    ended.insert(l.id);
    auto h = b.machine_faults.find(l.relay);
    bool explained = h != b.machine_faults.end() &&
                     std::any_of(h->second.begin(), h->second.end(),
                                 [&](auto t) { return t <= l.at + 500 && t > l.from - 8000; });
    f["lost_unexplained"] += !explained;
  }
  f["unanswered"] =
      std::count_if(b.requests.begin(), b.requests.end(), [&](auto& a) { return !ended.count(a.first); });
  std::set<std::string> retries;
  for (auto& g : b.responses) {
    if (g.status != 503 || g.outcome != "not-run") continue;
    retries.insert(g.retry);
    f["no_retry_after"] += g.retry.empty();
  }
  f["retry_after_kinds"] = retries.size();
  for (auto& g : b.responses)
    if (auto h = b.machine_faults.find(g.relay);
        g.outcome == "not-run" &&
        (h == b.machine_faults.end() || std::none_of(h->second.begin(), h->second.end(),
                                                     [&](auto t) { return t <= g.at && t > g.from - 8000; })))
      f["longest_not_run_ms"] = std::max(f["longest_not_run_ms"], static_cast<uint64_t>(g.at - g.from));
  f["ran"] = b.executions.size();
  for (auto& g : b.responses) {
    if (g.status < 400)
      ++f["ok"];
    else
      ++f[g.outcome.empty() ? "other_defects" : g.outcome == "not-run" ? "not_run" : "unknown"];
  }
  return c.out;
}

}  // namespace dunlinwing::test
