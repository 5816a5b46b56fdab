// Each rule is one function over the diary. A request may be handled as any of the
// configurations says that may be in force where it came in: from the newest that was
// acknowledged long enough before it was sent, to whatever was sent by the time it ran.
#include "platform/rules.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::test {
namespace {
constexpr Duration kApply{2000}, kRevert{250}, kDrain{2000}, kPurge{2000}, kStaleSlack{2000}, kRollback{5000},
    kWindow{10000}, kCeiling{5000};

struct Bench {
  const Diary& d;
  std::vector<Broken> out;
  std::map<std::string, std::vector<const Arrival*>> runs;  // by id

  explicit Bench(const Diary& x) : d(x) {
    for (auto& a : d.arrivals)
      if (a.ran) runs[a.id].push_back(&a);
  }
  void say(const char* rule, std::string what) { out.push_back({rule, std::move(what)}); }
  const Try* asked(const std::string& id) const {
    auto f = d.tries.find(id);
    return f == d.tries.end() ? nullptr : &f->second;
  }
  bool ran(const std::string& id) const { return runs.count(id) > 0; }

  void mixed() {
    for (auto& [id, t] : d.tries) {
      if (!t.whole) continue;
      auto& response = t.receipt;
      auto told = base::header(response.headers, "Attempt-Id");
      if (!told.empty() && told != id) say("MIXED", fmt::format("{} got the answer to {}", id, told));
      if (response.status / 100 != 2) continue;
      auto f = d.made.find(base::header(response.headers, "Edge-Signature"));
      if (f == d.made.end()) {
        say("MIXED", fmt::format("a success without a worker's stamp at {} {}", t.relay, t.target));
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
        say("MIXED",
            fmt::format("not the worker's whole body for {} at {}: {}", t.target, t.relay, response.body));
      if (m.target != t.target || (!m.object && m.id != id))
        say("MIXED", fmt::format("{} {} got what was made for {} {}", id, t.target, m.id, m.target));
      if (m.failed) say("MIXED", "a failure came as a success");
    }
  }

  void unasked() {
    for (auto& a : d.arrivals) {
      if (!a.ran) continue;
      bool read = a.method == "GET" && a.target.starts_with("/obj/");
      auto* t = asked(a.id);
      if (!t) {
        if (!read) say("UNASKED", fmt::format("{} ran {} {} under {}", a.instance, a.method, a.target, a.id));
        continue;
      }
      if (t->method != a.method || t->target != a.target || t->body != a.body)
        say("UNASKED",
            fmt::format("{} ran {} {} for {} {}", a.instance, a.method, a.target, t->method, t->target));
    }
  }

  void promises() {
    for (auto& [id, t] : d.tries) {
      if (t.kind != "non_idempotent") continue;
      auto n = runs.count(id) ? runs[id].size() : 0;
      if (n > 1) say("TWICE", fmt::format("{} ran {} times", id, n));
      int st = t.whole ? t.receipt.status : 0;
      if (n && (st == 429 || st == 503 || st == 408 || st == 421))
        say("REFUSED", fmt::format("{} got {} and ran", id, st));
    }
  }

  // Configurations that may hold for a request sent at `sent` and handled at `at`.
  std::vector<const Stated*> may_hold(TimePoint sent, TimePoint at) const {
    uint64_t least = 0;
    for (auto& s : d.stated)
      if (s.valid && s.taken && *s.taken + kApply < sent) least = std::max(least, s.page.revision);
    std::vector<const Stated*> v;
    for (auto& s : d.stated)
      if (s.valid && s.sent <= at && s.page.revision >= least) v.push_back(&s);
    return v;
  }

  void routes() {
    for (auto& a : d.arrivals) {
      auto* t = asked(a.id);
      if (!a.ran || !t) continue;
      bool ever = std::any_of(d.stated.begin(), d.stated.end(), [&](auto& s) {
        return s.valid && s.sent <= a.at && s.page.leads(t->host, t->target, a.service);
      });
      if (!ever)
        say("ROUTE", fmt::format("{} {} ran at {} of {}", t->host, t->target, a.instance, a.service));
      if (!ever || !in_touch(d, t->relay, a.at)) continue;
      auto v = may_hold(t->sent, a.at);
      if (std::none_of(v.begin(), v.end(),
                       [&](auto* s) { return s->page.leads(t->host, t->target, a.service); }))
        say("CONFIG", fmt::format("late at {}: {} {} ran at {} after {}", t->relay, t->host, t->target,
                                  a.service, v.empty() ? 0 : v.front()->page.revision));
    }
    size_t denied = 0;
    std::string which;
    for (auto& [id, t] : d.tries) {
      int st = t.whole ? t.receipt.status : 0;
      if (st / 100 != 4 || st == 408 || st == 421 || st == 429 || st == 416 || !in_touch(d, t.relay, t.ended))
        continue;
      auto v = may_hold(t.sent, t.ended);
      bool there = !v.empty() &&
                   std::all_of(v.begin(), v.end(), [&](auto* s) { return s->page.match(t.host, t.target); });
      if (!there) continue;
      ++denied;
      which = fmt::format("{} to {} {} at {}", st, t.host, t.target, t.relay);
      if (st == 404) say("CONFIG", "late: " + which);
    }
    if (denied > 5 + d.tries.size() / 500) say("DENIED", fmt::format("{} times, such as {}", denied, which));
  }

  // Within one life a machine never handles a request as only an older one than it has shown allows.
  void back() {
    struct Shown {
      uint64_t least = 0;
      TimePoint at{0};
    };
    std::map<const void*, std::vector<Shown>> shown;
    for (auto& a : d.arrivals) {
      auto* t = asked(a.id);
      if (!a.ran || !t) continue;
      uint64_t least = UINT64_MAX, most = 0;
      for (auto& s : d.stated)
        if (s.valid && s.sent <= a.at && s.page.leads(t->host, t->target, a.service)) {
          least = std::min(least, s.page.revision);
          most = std::max(most, s.page.revision);
        }
      if (!most) continue;
      auto& v = shown[t->life];
      for (auto& x : v)
        if (t->sent > x.at + kRevert && most < x.least)
          say("CONFIG",
              fmt::format("back at {}: {} of {} after {} was seen", t->relay, t->target, most, x.least));
      if (v.empty() || least > v.back().least) v.push_back({least, a.at});
    }
  }

  void configurations() {
    auto newest = [&](TimePoint at) {
      uint64_t n = 0;
      for (auto& s : d.stated)
        if (s.valid && s.taken && *s.taken <= at) n = std::max(n, s.page.revision);
      return n;
    };
    for (auto& s : d.stated) {
      if (!s.valid && s.taken) say("CONFIG", "acknowledged though invalid: " + s.what);
      if (!s.valid && s.refused / 100 != 4)
        say("CONFIG", fmt::format("invalid, and {} to it: {}", s.refused, s.what));
      if (s.valid && s.refused / 100 == 4)
        say("CONFIG", fmt::format("valid, and {} to it: {}", s.refused, s.what));
    }
    for (auto& s : d.stated)
      for (auto& t : d.stated) {
        bool confirmed = s.valid && t.valid && s.taken && t.taken && s.text != t.text;
        if (confirmed && s.page.revision == t.page.revision && *s.taken <= *t.taken &&
            newest(*t.taken) == t.page.revision)
          say("CONFIG", fmt::format("two contents are confirmed under {}", t.page.revision));
      }
    for (auto& r : d.refused_again) say("CONFIG", "acknowledged, sent again and refused: " + r);
    if (newest(TimePoint::max()) && d.read_back.empty()) say("CONFIG", "it does not come when read back");
    for (auto& [n, text, asked] : d.read_back) {
      if (n < newest(asked))
        say("CONFIG", fmt::format("{} is read back, and {} was acknowledged", n, newest(asked)));
      if (std::none_of(d.stated.begin(), d.stated.end(), [&](auto& s) { return s.valid && s.text == text; }))
        say("CONFIG", fmt::format("what is read back under {} was never sent", n));
    }
  }

  void drains() {
    for (auto& l : d.left) {
      if (!in_touch(d, l.by, l.at)) continue;
      for (auto& a : d.arrivals)
        if (a.instance == l.instance && !a.other && a.at > l.at + kDrain && in_touch(d, a.relay, a.at))
          say("DRAIN", fmt::format("{} got a request from {} {} ms after {} took its word", a.instance,
                                   a.relay, (a.at - l.at).count(), l.by));
    }
  }

  void budget() {
    std::map<std::string, std::vector<TimePoint>> again;
    std::map<std::string, std::vector<std::pair<TimePoint, double>>> asked_for;
    std::set<std::string> seen;
    for (auto& a : d.arrivals)
      if (asked(a.id) && !seen.insert(a.service + a.id).second) again[a.service].push_back(a.at);
    for (auto& [id, t] : d.tries)
      for (auto& s : d.stated)
        if (auto* l = s.valid && s.taken && *s.taken <= t.sent ? s.page.match(t.host, t.target) : nullptr) {
          for (auto& [to, weight] : l->to)
            asked_for[to].emplace_back(t.sent, 1.0 / static_cast<double>(l->to.size()));
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
          say("BUDGET", fmt::format("{}: {} further arrivals in ten seconds, {:.0f} allowed", service,
                                    i - j + 1, most));
          break;
        }
      }
  }

  void exposure() {
    for (auto& m : d.moves) {
      if (!m.bad) continue;
      double all = 0, mine = 0;
      int bad = 0;
      std::optional<TimePoint> fiftieth;
      for (auto& a : d.arrivals) {
        if (a.service != m.service || a.at < m.ordered || a.at > m.term) continue;
        ++all;
        bool here = a.version == m.version;
        mine += here && in_touch(d, a.relay, a.at);
        if (here && a.ran && a.bad && ++bad == 50) fiftieth = a.at;
        auto* t = asked(a.id);
        if (here && fiftieth && t && t->sent > *fiftieth + kRollback &&
            (d.shaken.empty() || d.shaken.back() < *fiftieth) && in_touch(d, a.relay, a.at))
          say("EXPOSURE", fmt::format("{} still gets requests {} ms after its 50th bad answer", m.version,
                                      (t->sent - *fiftieth).count()));
      }
      if (mine > 0.1 * all + 50) say("EXPOSURE", fmt::format("{} got {} of {}", m.version, mine, all));
    }
  }

  void stale() {
    for (auto& [id, t] : d.tries) {
      if (!t.whole || t.receipt.status / 100 != 2 || !in_touch(d, t.relay, t.sent)) continue;
      auto f = d.made.find(base::header(t.receipt.headers, "Edge-Signature"));
      auto g = d.replaced.find(t.target);
      if (f == d.made.end() || g == d.replaced.end() || !f->second.object ||
          f->second.version >= g->second.size())
        continue;
      TimePoint gone = g->second[f->second.version];
      auto tag = d.tags.count(t.target) ? d.tags.at(t.target) : "";
      for (auto& p : d.purges) {
        bool named = p.tag.empty() ? p.host == t.host && p.path == t.target : p.tag == tag || p.tag == "tall";
        if (named && p.taken && p.sent >= gone && t.sent > *p.taken + kPurge)
          say("STALE", fmt::format("{} at {} {} ms after its purge was acknowledged", t.target, t.relay,
                                   (t.sent - *p.taken).count()));
      }
      double keep = 0;
      for (auto& s : d.stated)
        if (auto* l = s.valid ? s.page.match(t.host, t.target) : nullptr) keep = std::max(keep, l->keep_s);
      if (t.sent > gone + Duration(static_cast<int64_t>(keep * 1000)) + kStaleSlack)
        say("STALE",
            fmt::format("{} at {} {} ms after it was replaced", t.target, t.relay, (t.sent - gone).count()));
    }
  }

  void ceiling() {
    std::map<std::string, double> rates;
    for (auto& s : d.stated)
      for (auto& b : s.page.backends)
        if (s.valid) rates[b.name] = std::max(rates[b.name], b.rate);
    for (auto& [service, rate] : rates) {
      if (rate <= 0) continue;
      std::vector<TimePoint> v;
      for (auto& a : d.arrivals)
        if (a.service == service && in_touch(d, a.relay, a.at)) v.push_back(a.at);
      for (size_t i = 0, j = 0; i < v.size(); ++i) {
        while (v[j] + kCeiling <= v[i]) ++j;
        if (static_cast<double>(i - j + 1) > rate * 5 * 1.1 + 5) {
          say("CEILING", fmt::format("{} got {} in five seconds, its rate is {}", service, i - j + 1, rate));
          break;
        }
      }
    }
  }

  void lost() {
    for (auto& [id, t] : d.tries) {
      if (t.whole || !t.read || t.ended >= t.deadline || t.probe || d.unplanned) continue;
      bool planned = std::any_of(d.terms.begin(), d.terms.end(), [&](auto& x) {
        return x.second == t.relay && t.ended >= x.first && t.ended < x.first + Duration(7000);
      });
      if (planned) say("LOST", fmt::format("{} was broken off at {} by its planned end", id, t.relay));
    }
  }

  void orders() {
    for (auto& l : d.late) {
      bool calm = std::none_of(d.shaken.begin(), d.shaken.end(),
                               [&](TimePoint t) { return t > l.sent - kContact && t < l.ended; });
      for (auto& [n, v] : d.harmed)
        for (auto t : v) calm &= t <= l.sent - kContact || t >= l.ended;
      if (calm) say("ACKS", l.what + " had no acknowledgement in four calm seconds");
    }
  }
};
}  // namespace

bool in_touch(const Diary& d, const std::string& machine, TimePoint t) {
  auto within = [&](const std::vector<TimePoint>& v) {
    auto i = std::lower_bound(v.begin(), v.end(), t - kContact);
    return i != v.end() && *i <= t;
  };
  auto f = d.harmed.find(machine);
  return !within(d.shaken) && (f == d.harmed.end() || !within(f->second));
}

std::vector<Broken> judge(const Diary& d) {
  Bench b(d);
  b.mixed();
  b.unasked();
  b.promises();
  b.routes();
  b.back();
  b.configurations();
  b.drains();
  b.budget();
  b.exposure();
  b.stale();
  b.ceiling();
  b.lost();
  b.orders();
  return std::move(b.out);
}

}  // namespace dunlinwing::test
