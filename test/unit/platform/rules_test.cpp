// Each rule of the stand-in platform has to be able to fire: one diary that breaks it
// alone, made out of one that breaks none.
#include "platform/rules.hpp"

#include <algorithm>

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

constexpr TimePoint at(int64_t ms) { return TimePoint(1000000 + ms); }

Try asked(const std::string& id, const std::string& kind, const std::string& target, int64_t ms, int status) {
  Try t;
  t.id = id;
  t.kind = kind;
  t.method = kind == "non_idempotent" ? "POST" : "GET";
  t.host = "a.example";
  t.target = target;
  t.relay = "e1";
  t.sent = at(ms);
  t.ended = at(ms + 20);
  t.deadline = at(ms + 1500);
  t.whole = t.read = true;
  t.receipt = {status, {{"Attempt-Id", id}, {"Edge-Signature", "s-" + id}}, "made for " + id};
  return t;
}

Arrival ran(const Try& t, const std::string& service) {
  return {t.id, t.method, t.host, t.target, t.body, service, "v1", "i-1", "e1", nullptr, t.sent + Duration(2),
          true, false,    false};
}

// One configuration, acknowledged long ago, and one request of each kind, well served.
Diary good() {
  Diary d;
  auto p = first_page(10);
  d.stated.push_back({p, p.text(), "first", "h1", true, at(0), at(10), 0});
  d.read_back.push_back({p.revision, p.text(), at(60000)});
  int n = 0;
  for (auto* k : {"idempotent", "non_idempotent", "cacheable"}) {
    auto id = std::string(k).substr(0, 3);
    auto t = asked(id, k,
                   k == std::string("cacheable")    ? "/obj/1"
                   : k == std::string("idempotent") ? "/get/1"
                                                    : "/post/1",
                   10000 + 100 * n++, 200);
    d.made["s-" + id] = {id, t.target, t.receipt.body, 0, t.kind == "cacheable", false, t.sent};
    d.arrivals.push_back(ran(t, t.kind == "cacheable" ? "huvo" : "wuno"));
    d.tries[id] = t;
  }
  return d;
}

std::string first_broken(const Diary& d) {
  auto b = judge(d);
  return b.empty() ? "none" : b[0].rule;
}

void fires(const std::string& rule, const std::string& what, const std::function<void(Diary&)>& spoil) {
  auto d = good();
  spoil(d);
  same(first_broken(d), rule, what);
}

void crowd(Diary& d, const std::string& kind, const std::string& target, const std::string& service, int n,
           int times, int64_t from, int64_t apart, const std::string& version = "v1", bool bad = false) {
  for (int i = 0; i < n; ++i) {
    auto t = asked(std::to_string(i) + "x", kind, target, from + i * apart, 503);
    t.receipt.headers.pop_back();
    for (int k = 0; k < times; ++k) {
      auto a = ran(t, service);
      a.version = version;
      a.bad = bad;
      d.arrivals.push_back(a);
    }
    d.tries[t.id] = t;
  }
}
}  // namespace

std::vector<Case> platform_rules_cases() {
  return {
      {"platform rules: a good day breaks none",
       [] { same(first_broken(good()), std::string("none"), "rules"); }},
      {"platform rules: MIXED",
       [] {
         fires("MIXED", "no stamp", [](Diary& d) { d.tries["ide"].receipt.headers.pop_back(); });
         fires("MIXED", "another's id", [](Diary& d) { d.tries["ide"].receipt.headers[0].value = "non"; });
         fires("MIXED", "cut short", [](Diary& d) { d.tries["ide"].receipt.body.pop_back(); });
         fires("MIXED", "a failure", [](Diary& d) { d.made["s-ide"].failed = true; });
         fires("MIXED", "another's answer", [](Diary& d) {
           d.tries["ide"].receipt = d.tries["non"].receipt;
           d.tries["ide"].receipt.headers[0].value = "ide";
         });
         fires("MIXED", "a wrong range", [](Diary& d) {
           auto& response = d.tries["cac"].receipt;
           response.status = 206;
           response.headers.emplace_back("Content-Range", "bytes 1-4/12");
           response.body = response.body.substr(0, 4);
         });
       }},
      {"platform rules: UNASKED, TWICE, REFUSED",
       [] {
         fires("UNASKED", "an id that nobody sent", [](Diary& d) { d.arrivals[0].id = "?"; });
         fires("UNASKED", "a changed body", [](Diary& d) { d.arrivals[1].body = "?"; });
         fires("TWICE", "it ran again", [](Diary& d) { d.arrivals.push_back(d.arrivals[1]); });
         fires("REFUSED", "a promise", [](Diary& d) {
           d.tries["non"].receipt = {503, {{"Attempt-Id", "non"}}, ""};
         });
         fires("none", "a repeatable one may run again",
               [](Diary& d) { d.arrivals.push_back(d.arrivals[0]); });
       }},
      {"platform rules: ROUTE and CONFIG",
       [] {
         fires("ROUTE", "a service that no configuration names there",
               [](Diary& d) { d.arrivals[0].service = "huvo"; });
         auto second = [](Diary& d, int64_t sent) {
           auto p = first_page(10);
           p.revision = 5;
           p.lines[1].to = {{"huvo", 1}};
           p.lines.push_back({"r-new", "c.example", "/new/", "idempotent", 1, 0.2, 0, 1, 2, {{"wuno", 1}}});
           d.stated.push_back({p, p.text(), "second", "h1", true, at(sent), at(sent + 10), 0});
           d.read_back[0] = {5, p.text(), at(60000)};
         };
         fires("CONFIG", "late", [&](Diary& d) { second(d, 7000); });
         fires("none", "not yet late", [&](Diary& d) { second(d, 8500); });
         fires("none", "late, by a machine that was not in touch",
               [&](Diary& d) { second(d, 7000), d.harmed["e1"] = {at(8000)}; });
         fires("CONFIG", "back", [&](Diary& d) {
           second(d, 8500);
           auto t = asked("new", "idempotent", "/get/2", 9500, 503);
           t.receipt.headers.pop_back();
           d.tries["new"] = t;
           d.arrivals.insert(d.arrivals.begin(), ran(t, "huvo"));
         });
         fires("CONFIG", "a route that is there gets 404", [&](Diary& d) {
           second(d, 1000);
           d.arrivals[0].service = "huvo";
           auto t = asked("new", "idempotent", "/new/2", 9500, 404);
           t.host = "c.example";
           d.tries["new"] = t;
         });
         fires("CONFIG", "an older one is read back", [&](Diary& d) {
           second(d, 60), d.arrivals[0].service = "huvo", d.read_back[0] = {3, d.stated[0].text, at(60000)};
         });
         fires("CONFIG", "another text is read back", [](Diary& d) { d.read_back[0].text += " "; });
         fires("CONFIG", "nothing is read back", [](Diary& d) { d.read_back.clear(); });
         auto other_content = [](Diary& d) -> Stated& {
           auto p = first_page(10);
           p.lines[1].timeout_s = 1.25;
           d.stated.push_back({p, p.text(), "other", "h1", true, at(100), {}, 0});
           return d.stated.back();
         };
         fires("none", "another content under a number gets no clear answer",
               [&](Diary& d) { other_content(d); });
         fires("CONFIG", "another content under a number is confirmed",
               [&](Diary& d) { other_content(d).taken = at(200); });
         fires("CONFIG", "what was acknowledged is sent again and refused",
               [](Diary& d) { d.refused_again.push_back("PUT /configuration: 409"); });
         auto invalid = [](Diary& d) -> Stated& {
           d.stated.push_back({{}, "x", "bad", "h1", false, at(5000), {}, 400});
           return d.stated.back();
         };
         fires("none", "an invalid one is refused", [&](Diary& d) { invalid(d); });
         fires("CONFIG", "an invalid one is acknowledged", [&](Diary& d) { invalid(d).taken = at(5010); });
         fires("CONFIG", "an invalid one gets no 4xx", [&](Diary& d) { invalid(d).refused = 503; });
       }},
      {"platform rules: DRAIN",
       [] {
         fires("DRAIN", "after the bound", [](Diary& d) { d.left.push_back({"i-1", "h1", at(7900)}); });
         fires("none", "within it", [](Diary& d) { d.left.push_back({"i-1", "h1", at(8300)}); });
         fires("none", "told to a machine out of touch", [](Diary& d) {
           d.left.push_back({"i-1", "h1", at(7900)}), d.harmed["h1"] = {at(6000)};
         });
       }},
      {"platform rules: BUDGET, EXPOSURE, CEILING",
       [] {
         fires("BUDGET", "each sent twice",
               [](Diary& d) { crowd(d, "idempotent", "/get/1", "wuno", 200, 2, 20000, 20); });
         fires("none", "each sent once",
               [](Diary& d) { crowd(d, "idempotent", "/get/1", "wuno", 200, 1, 20000, 20); });
         fires("CEILING", "an origin of ten a second",
               [](Diary& d) { crowd(d, "cacheable", "/obj/1", "huvo", 100, 1, 20000, 40); });
         auto move = [](Diary& d, int n, bool all_bad) {
           d.moves.push_back({"wuno", "v2", "rolled_back", true, at(20000), at(32000), at(20010), at(31000)});
           crowd(d, "idempotent", "/get/1", "wuno", n, 1, 20100, 100, "v2", all_bad);
         };
         fires("EXPOSURE", "more than a tenth and fifty", [&](Diary& d) { move(d, 70, false); });
         fires("none", "less", [&](Diary& d) { move(d, 50, false); });
         fires("EXPOSURE", "after its fiftieth bad answer", [&](Diary& d) { move(d, 110, true); });
       }},
      {"platform rules: STALE",
       [] {
         auto purged = [](int64_t replaced, int64_t purge) {
           return [=](Diary& d) {
             d.replaced["/obj/1"] = {at(replaced)};
             d.purges.push_back({"a.example", "/obj/1", "", at(purge), at(purge + 10)});
           };
         };
         fires("STALE", "two seconds after a purge", purged(7000, 8000));
         fires("none", "sooner", purged(7000, 8300));
         fires("none", "replaced after the purge", purged(9000, 8000));
         fires("STALE", "past its life and two seconds", [](Diary& d) { d.replaced["/obj/1"] = {at(2000)}; });
       }},
      {"platform rules: LOST and late orders",
       [] {
         auto lost = [](Diary& d) { d.tries["ide"].whole = false, d.terms = {{at(9900), "e1"}}; };
         fires("LOST", "by a planned end", lost);
         fires("none", "in unplanned trouble", [&](Diary& d) { lost(d), d.unplanned = true; });
         fires("ACKS", "four calm seconds", [](Diary& d) {
           d.late.push_back({"a purge", at(9000), at(13100)});
         });
         fires("none", "the core was unsettled", [](Diary& d) {
           d.late.push_back({"a purge", at(9000), at(13100)}), d.shaken = {at(9500)};
         });
       }},
  };
}

}  // namespace dunlinwing::test
