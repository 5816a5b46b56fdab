// Each rule is one function over the event journal. A request may be handled according to any configuration
// that may be in force at its node: from the newest that was acknowledged long enough before the request was
// sent, to any that was sent by the time the request was executed.
#include "platform/rules.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::test {
namespace {
constexpr Duration kApply{2000}, kRevert{250}, kDrain{2000}, kPurge{2000}, kStaleSlack{2000}, kRollback{5000},
    kWindow{10000}, kCeiling{5000};

struct RuleChecker {
  const EventJournal& journal;
  std::vector<Violation> out;
  std::map<std::string, std::vector<const Arrival*>> runs;  // by id

  explicit RuleChecker(const EventJournal& x) : journal(x) {
    for (auto& a : journal.arrivals)
      if (a.executed) runs[a.id].push_back(&a);
  }
  void report(const char* rule, std::string what) { out.push_back({rule, std::move(what)}); }
  const ClientAttempt* find_attempt(const std::string& id) const {
    auto f = journal.attempts.find(id);
    return f == journal.attempts.end() ? nullptr : &f->second;
  }
  bool ran(const std::string& id) const { return runs.count(id) > 0; }

  void check_mixed() {
    for (auto& [id, t] : journal.attempts) {
      if (!t.complete) continue;
      auto& response = t.response;
      auto response_id = base::header(response.headers, "Attempt-Id");
      if (!response_id.empty() && response_id != id)
        report("MIXED", fmt::format("{} got the response to {}", id, response_id));
      if (response.status / 100 != 2) continue;
      auto f = journal.stamped_responses.find(base::header(response.headers, "Edge-Signature"));
      if (f == journal.stamped_responses.end()) {
        report("MIXED", fmt::format("a success without the signature of a backend instance at {} {}", t.relay,
                                    t.target));
        continue;
      }
      auto& m = f->second;
      auto body = m.body;
      if (auto c = base::header(response.headers, "Content-Range");
          response.status == 206 && c.starts_with("bytes ")) {
        auto first = std::strtoull(c.c_str() + 6, nullptr, 10),
             last = std::strtoull(c.c_str() + c.find('-') + 1, nullptr, 10);
        body = first <= last && last < m.body.size() ? m.body.substr(first, last - first + 1) : "?";
      }
      if (response.body != body)
        report("MIXED", fmt::format("not the complete body of the backend instance for {} at {}: {}",
                                    t.target, t.relay, response.body));
      if (m.target != t.target || (!m.object && m.id != id))
        report("MIXED",
               fmt::format("{} {} got the response created for {} {}", id, t.target, m.id, m.target));
      if (m.failed) report("MIXED", "a failure was reported as a success");
    }
  }

  void check_unasked() {
    for (auto& a : journal.arrivals) {
      if (!a.executed) continue;
      bool read = a.method == "GET" && a.target.starts_with("/obj/");
      auto* attempt = find_attempt(a.id);
      if (!attempt) {
        if (!read)
          report("UNASKED", fmt::format("{} ran {} {} under {}", a.instance, a.method, a.target, a.id));
        continue;
      }
      if (attempt->method != a.method || attempt->target != a.target || attempt->body != a.body)
        report("UNASKED", fmt::format("{} ran {} {} for {} {}", a.instance, a.method, a.target,
                                      attempt->method, attempt->target));
    }
  }

  void check_executions() {
    for (auto& [id, t] : journal.attempts) {
      if (t.kind != "non_idempotent") continue;
      auto n = runs.count(id) ? runs[id].size() : 0;
      if (n > 1) report("TWICE", fmt::format("{} ran {} times", id, n));
      int st = t.complete ? t.response.status : 0;
      if (n && (st == 429 || st == 503 || st == 408 || st == 421))
        report("REFUSED", fmt::format("{} got {} and ran", id, st));
    }
  }

  // Configurations that may be in force for a request sent at `sent` and handled at `at`.
  std::vector<const StatedConfiguration*> possible_configurations(TimePoint sent, TimePoint at) const {
    uint64_t least = 0;
    for (auto& s : journal.configurations)
      if (s.valid && s.acknowledged && *s.acknowledged + kApply < sent)
        least = std::max(least, s.configuration.revision);
    std::vector<const StatedConfiguration*> v;
    for (auto& s : journal.configurations)
      if (s.valid && s.sent <= at && s.configuration.revision >= least) v.push_back(&s);
    return v;
  }

  void check_routes() {
    for (auto& a : journal.arrivals) {
      auto* attempt = find_attempt(a.id);
      if (!a.executed || !attempt) continue;
      bool ever = std::any_of(journal.configurations.begin(), journal.configurations.end(), [&](auto& s) {
        return s.valid && s.sent <= a.at &&
               s.configuration.routes_to(attempt->host, attempt->target, a.service);
      });
      if (!ever)
        report("ROUTE",
               fmt::format("{} {} ran at {} of {}", attempt->host, attempt->target, a.instance, a.service));
      if (!ever || !without_recent_fault(journal, attempt->relay, a.at)) continue;
      auto v = possible_configurations(attempt->sent, a.at);
      if (std::none_of(v.begin(), v.end(), [&](auto* s) {
            return s->configuration.routes_to(attempt->host, attempt->target, a.service);
          }))
        report("CONFIG",
               fmt::format("late at {}: {} {} ran at {} after {}", attempt->relay, attempt->host,
                           attempt->target, a.service, v.empty() ? 0 : v.front()->configuration.revision));
    }
    size_t denied = 0;
    std::string which;
    for (auto& [id, t] : journal.attempts) {
      int st = t.complete ? t.response.status : 0;
      if (st / 100 != 4 || st == 408 || st == 421 || st == 429 || st == 416 ||
          !without_recent_fault(journal, t.relay, t.ended))
        continue;
      auto v = possible_configurations(t.sent, t.ended);
      bool there = !v.empty() && std::all_of(v.begin(), v.end(), [&](auto* s) {
        return s->configuration.match(t.host, t.target);
      });
      if (!there) continue;
      ++denied;
      which = fmt::format("{} to {} {} at {}", st, t.host, t.target, t.relay);
      if (st == 404) report("CONFIG", "late: " + which);
    }
    if (denied > 5 + journal.attempts.size() / 500)
      report("DENIED", fmt::format("{} times, such as {}", denied, which));
  }

  // While a process runs, it never handles a request in a way that only a configuration older than one it has
  // already applied allows.
  void check_reverts() {
    struct AppliedRevision {
      uint64_t least = 0;
      TimePoint at{0};
    };
    std::map<const void*, std::vector<AppliedRevision>> applied_revisions;
    for (auto& a : journal.arrivals) {
      auto* attempt = find_attempt(a.id);
      if (!a.executed || !attempt) continue;
      uint64_t least = UINT64_MAX, most = 0;
      for (auto& s : journal.configurations)
        if (s.valid && s.sent <= a.at &&
            s.configuration.routes_to(attempt->host, attempt->target, a.service)) {
          least = std::min(least, s.configuration.revision);
          most = std::max(most, s.configuration.revision);
        }
      if (!most) continue;
      auto& v = applied_revisions[attempt->process];
      for (auto& x : v)
        if (attempt->sent > x.at + kRevert && most < x.least)
          report("CONFIG", fmt::format("reverted at {}: {} handled by configuration {} after {} was in use",
                                       attempt->relay, attempt->target, most, x.least));
      if (v.empty() || least > v.back().least) v.push_back({least, a.at});
    }
  }

  void check_configurations() {
    auto newest = [&](TimePoint at) {
      uint64_t n = 0;
      for (auto& s : journal.configurations)
        if (s.valid && s.acknowledged && *s.acknowledged <= at) n = std::max(n, s.configuration.revision);
      return n;
    };
    for (auto& s : journal.configurations) {
      if (!s.valid && s.acknowledged) report("CONFIG", "invalid, but acknowledged: " + s.what);
      if (!s.valid && s.rejections / 100 != 4)
        report("CONFIG", fmt::format("invalid, but got status {}: {}", s.rejections, s.what));
      if (s.valid && s.rejections / 100 == 4)
        report("CONFIG", fmt::format("valid, but got status {}: {}", s.rejections, s.what));
    }
    for (auto& s : journal.configurations)
      for (auto& t : journal.configurations) {
        bool confirmed = s.valid && t.valid && s.acknowledged && t.acknowledged && s.text != t.text;
        if (confirmed && s.configuration.revision == t.configuration.revision &&
            *s.acknowledged <= *t.acknowledged && newest(*t.acknowledged) == t.configuration.revision)
          report("CONFIG", fmt::format("two configurations are acknowledged under the number {}",
                                       t.configuration.revision));
      }
    for (auto& r : journal.rejected_again)
      report("CONFIG", "acknowledged, but rejected when sent again: " + r);
    if (newest(TimePoint::max()) && journal.read_back.empty())
      report("CONFIG", "no configuration could be read back");
    for (auto& [n, text, asked] : journal.read_back) {
      if (n < newest(asked))
        report("CONFIG", fmt::format("{} is read back although {} was acknowledged", n, newest(asked)));
      if (std::none_of(journal.configurations.begin(), journal.configurations.end(),
                       [&](auto& s) { return s.valid && s.text == text; }))
        report("CONFIG", fmt::format("the content read back under {} was never sent", n));
    }
  }

  void check_drains() {
    for (auto& l : journal.deregistrations) {
      if (!without_recent_fault(journal, l.by, l.at)) continue;
      for (auto& a : journal.arrivals)
        if (a.instance == l.instance && !a.wrong_instance && a.at > l.at + kDrain &&
            without_recent_fault(journal, a.node, a.at))
          report("DRAIN",
                 fmt::format("{} got a request from {} {} ms after {} acknowledged its deregistration",
                             a.instance, a.node, (a.at - l.at).count(), l.by));
    }
  }

  void check_budget() {
    std::map<std::string, std::vector<TimePoint>> again;
    std::map<std::string, std::vector<std::pair<TimePoint, double>>> asked_for;
    std::set<std::string> seen;
    for (auto& a : journal.arrivals)
      if (find_attempt(a.id) && !seen.insert(a.service + a.id).second) again[a.service].push_back(a.at);
    for (auto& [id, t] : journal.attempts)
      for (auto& s : journal.configurations)
        if (auto* route = s.valid && s.acknowledged && *s.acknowledged <= t.sent
                              ? s.configuration.match(t.host, t.target)
                              : nullptr) {
          for (auto& [to, weight] : route->weighted_services)
            asked_for[to].emplace_back(t.sent, 1.0 / static_cast<double>(route->weighted_services.size()));
          break;
        }
    for (auto& [service, v] : again)
      for (size_t i = 0, j = 0; i < v.size(); ++i) {
        while (v[j] + kWindow <= v[i]) ++j;
        if (i - j < 64) continue;
        auto in = [&](TimePoint from) {
          double n = 0;
          for (auto& [at, x] : asked_for[service]) n += at >= from && at < from + kWindow ? x : 0;
          return n;
        };
        auto from = v[i] - kWindow;
        double most = 0.2 * std::max({in(from), in(from - kWindow), in(from - kWindow / 2)}) + 64;
        if (static_cast<double>(i - j + 1) > most) {
          report("BUDGET", fmt::format("{}: {} repeated arrivals in ten seconds, {:.0f} allowed", service,
                                       i - j + 1, most));
          break;
        }
      }
  }

  void check_exposure() {
    for (auto& m : journal.version_rollouts) {
      if (!m.bad) continue;
      double all = 0, mine = 0;
      int bad = 0;
      std::optional<TimePoint> fiftieth;
      for (auto& a : journal.arrivals) {
        if (a.service != m.service || a.at < m.ordered || a.at > m.deadline) continue;
        ++all;
        bool here = a.version == m.version;
        mine += here && without_recent_fault(journal, a.node, a.at);
        if (here && a.executed && a.failed && ++bad == 50) fiftieth = a.at;
        auto* attempt = find_attempt(a.id);
        if (here && fiftieth && attempt && attempt->sent > *fiftieth + kRollback &&
            (journal.core_faults.empty() || journal.core_faults.back() < *fiftieth) &&
            without_recent_fault(journal, a.node, a.at))
          report("EXPOSURE", fmt::format("{} still gets requests {} ms after its 50th bad response",
                                         m.version, (attempt->sent - *fiftieth).count()));
      }
      if (mine > 0.1 * all + 50)
        report("EXPOSURE", fmt::format("{} got {} of {} requests", m.version, mine, all));
    }
  }

  void check_stale() {
    for (auto& [id, t] : journal.attempts) {
      if (!t.complete || t.response.status / 100 != 2 || !without_recent_fault(journal, t.relay, t.sent))
        continue;
      auto f = journal.stamped_responses.find(base::header(t.response.headers, "Edge-Signature"));
      auto g = journal.replaced.find(t.target);
      if (f == journal.stamped_responses.end() || g == journal.replaced.end() || !f->second.object ||
          f->second.version >= g->second.size())
        continue;
      TimePoint gone = g->second[f->second.version];
      auto tag = journal.tags.count(t.target) ? journal.tags.at(t.target) : "";
      for (auto& p : journal.purges) {
        bool named = p.tag.empty() ? p.host == t.host && p.path == t.target : p.tag == tag || p.tag == "tall";
        if (named && p.acknowledged && p.sent >= gone && t.sent > *p.acknowledged + kPurge)
          report("STALE", fmt::format("{} at {} {} ms after its purge was acknowledged", t.target, t.relay,
                                      (t.sent - *p.acknowledged).count()));
      }
      double keep = 0;
      for (auto& s : journal.configurations)
        if (auto* route = s.valid ? s.configuration.match(t.host, t.target) : nullptr)
          keep = std::max(keep, route->cache_ttl_s);
      if (t.sent > gone + Duration(static_cast<int64_t>(keep * 1000)) + kStaleSlack)
        report("STALE", fmt::format("{} at {} {} ms after it was replaced", t.target, t.relay,
                                    (t.sent - gone).count()));
    }
  }

  void check_ceiling() {
    std::map<std::string, double> rates;
    for (auto& s : journal.configurations)
      for (auto& b : s.configuration.backends)
        if (s.valid) rates[b.name] = std::max(rates[b.name], b.rate);
    for (auto& [service, rate] : rates) {
      if (rate <= 0) continue;
      std::vector<TimePoint> v;
      for (auto& a : journal.arrivals)
        if (a.service == service && without_recent_fault(journal, a.node, a.at)) v.push_back(a.at);
      for (size_t i = 0, j = 0; i < v.size(); ++i) {
        while (v[j] + kCeiling <= v[i]) ++j;
        if (static_cast<double>(i - j + 1) > rate * 5 * 1.1 + 5) {
          report("CEILING", fmt::format("{} got {} requests in five seconds, its rate is {} per second",
                                        service, i - j + 1, rate));
          break;
        }
      }
    }
  }

  void check_lost() {
    for (auto& [id, t] : journal.attempts) {
      if (t.complete || !t.read_by_node || t.ended >= t.deadline || t.probe || journal.unplanned) continue;
      bool planned = std::any_of(journal.terminations.begin(), journal.terminations.end(), [&](auto& x) {
        return x.second == t.relay && t.ended >= x.first && t.ended < x.first + Duration(7000);
      });
      if (planned) report("LOST", fmt::format("{} was aborted at {} by a planned shutdown", id, t.relay));
    }
  }

  void check_orders() {
    for (auto& l : journal.unacknowledged) {
      bool calm = std::none_of(journal.core_faults.begin(), journal.core_faults.end(),
                               [&](TimePoint t) { return t > l.sent - kRecentFaultPeriod && t < l.ended; });
      for (auto& [n, v] : journal.machine_faults)
        for (auto t : v) calm &= t <= l.sent - kRecentFaultPeriod || t >= l.ended;
      if (calm) report("ACKS", l.what + " was not acknowledged in four seconds without faults");
    }
  }
};
}  // namespace

bool without_recent_fault(const EventJournal& journal, const std::string& machine, TimePoint t) {
  auto within = [&](const std::vector<TimePoint>& v) {
    auto i = std::lower_bound(v.begin(), v.end(), t - kRecentFaultPeriod);
    return i != v.end() && *i <= t;
  };
  auto f = journal.machine_faults.find(machine);
  return !within(journal.core_faults) && (f == journal.machine_faults.end() || !within(f->second));
}

std::vector<Violation> judge(const EventJournal& journal) {
  RuleChecker b(journal);
  b.check_mixed();
  b.check_unasked();
  b.check_executions();
  b.check_routes();
  b.check_reverts();
  b.check_configurations();
  b.check_drains();
  b.check_budget();
  b.check_exposure();
  b.check_stale();
  b.check_ceiling();
  b.check_lost();
  b.check_orders();
  return std::move(b.out);
}

}  // namespace dunlinwing::test
