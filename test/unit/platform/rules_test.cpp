// Each rule of the simulated platform must be able to fail: an event journal that violates only this rule is
// derived from a journal that violates none.
#include "platform/rules.hpp"

#include <algorithm>

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

constexpr TimePoint at(int64_t ms) { return TimePoint(1000000 + ms); }

ClientAttempt asked(const std::string& id, const std::string& kind, const std::string& target, int64_t ms,
                    int status) {
  ClientAttempt t;
  t.id = id;
  t.kind = kind;
  t.method = kind == "non_idempotent" ? "POST" : "GET";
  t.host = "a.example";
  t.target = target;
  t.relay = "e1";
  t.sent = at(ms);
  t.ended = at(ms + 20);
  t.deadline = at(ms + 1500);
  t.complete = t.read_by_node = true;
  t.response = {status, {{"Attempt-Id", id}, {"Edge-Signature", "s-" + id}}, "made for " + id};
  return t;
}

Arrival ran(const ClientAttempt& t, const std::string& service) {
  return {t.id, t.method, t.host, t.target, t.body, service, "v1", "i-1", "e1", nullptr, t.sent + Duration(2),
          true, false,    false};
}

// One configuration, acknowledged long before, and one successful request of each kind.
EventJournal valid_journal() {
  EventJournal d;
  auto p = first_configuration(10);
  d.configurations.push_back({p, p.text(), "first", "h1", true, at(0), at(10), 0});
  d.read_back.push_back({p.revision, p.text(), at(60000)});
  int n = 0;
  for (auto* k : {"idempotent", "non_idempotent", "cacheable"}) {
    auto id = std::string(k).substr(0, 3);
    auto t = asked(id, k,
                   k == std::string("cacheable")    ? "/obj/1"
                   : k == std::string("idempotent") ? "/get/1"
                                                    : "/post/1",
                   10000 + 100 * n++, 200);
    d.stamped_responses["s-" + id] = {id, t.target, t.response.body, 0, t.kind == "cacheable", false, t.sent};
    d.arrivals.push_back(ran(t, t.kind == "cacheable" ? "huvo" : "wuno"));
    d.attempts[id] = t;
  }
  return d;
}

std::string first_violated_rule(const EventJournal& d) {
  auto b = judge(d);
  return b.empty() ? "none" : b[0].rule;
}

void expect_violation(const std::string& rule, const std::string& what,
                      const std::function<void(EventJournal&)>& spoil) {
  auto d = valid_journal();
  spoil(d);
  same(first_violated_rule(d), rule, what);
}

void add_requests(EventJournal& d, const std::string& kind, const std::string& target,
                  const std::string& service, int n, int times, int64_t from, int64_t apart,
                  const std::string& version = "v1", bool bad = false) {
  for (int i = 0; i < n; ++i) {
    auto t = asked(std::to_string(i) + "x", kind, target, from + i * apart, 503);
    t.response.headers.pop_back();
    for (int k = 0; k < times; ++k) {
      auto a = ran(t, service);
      a.version = version;
      a.failed = bad;
      d.arrivals.push_back(a);
    }
    d.attempts[t.id] = t;
  }
}
}  // namespace

std::vector<Case> platform_rules_cases() {
  return {
      {"platform rules: a good journal violates none",
       [] { same(first_violated_rule(valid_journal()), std::string("none"), "rules"); }},
      {"platform rules: MIXED",
       [] {
         expect_violation("MIXED", "no signature",
                          [](EventJournal& d) { d.attempts["ide"].response.headers.pop_back(); });
         expect_violation("MIXED", "the id of another request",
                          [](EventJournal& d) { d.attempts["ide"].response.headers[0].value = "non"; });
         expect_violation("MIXED", "a truncated body", [](EventJournal& d) {
           auto& body = d.attempts["ide"].response.body;
           body = body.substr(0, body.size() - 1);
         });
         expect_violation("MIXED", "a failure reported as a success",
                          [](EventJournal& d) { d.stamped_responses["s-ide"].failed = true; });
         expect_violation("MIXED", "the response to another request", [](EventJournal& d) {
           d.attempts["ide"].response = d.attempts["non"].response;
           d.attempts["ide"].response.headers[0].value = "ide";
         });
         expect_violation("MIXED", "a wrong range", [](EventJournal& d) {
           auto& response = d.attempts["cac"].response;
           response.status = 206;
           response.headers.emplace_back("Content-Range", "bytes 1-4/12");
           response.body = response.body.substr(0, 4);
         });
       }},
      {"platform rules: UNASKED, TWICE, REFUSED",
       [] {
         expect_violation("UNASKED", "an id that no client sent",
                          [](EventJournal& d) { d.arrivals[0].id = "?"; });
         expect_violation("UNASKED", "a changed body", [](EventJournal& d) { d.arrivals[1].body = "?"; });
         expect_violation("TWICE", "executed again",
                          [](EventJournal& d) { d.arrivals.push_back(d.arrivals[1]); });
         expect_violation("REFUSED", "rejected, but executed", [](EventJournal& d) {
           d.attempts["non"].response = {503, {{"Attempt-Id", "non"}}, ""};
         });
         expect_violation("none", "an idempotent request may be executed again",
                          [](EventJournal& d) { d.arrivals.push_back(d.arrivals[0]); });
       }},
      {"platform rules: ROUTE and CONFIG",
       [] {
         expect_violation("ROUTE", "a service that no configuration has for this route",
                          [](EventJournal& d) { d.arrivals[0].service = "huvo"; });
         auto second = [](EventJournal& d, int64_t sent) {
           auto p = first_configuration(10);
           p.revision = 5;
           p.routes[1].weighted_services = {{"huvo", 1}};
           p.routes.push_back({"r-new", "c.example", "/new/", "idempotent", 1, 0.2, 0, 1, 2, {{"wuno", 1}}});
           d.configurations.push_back({p, p.text(), "second", "h1", true, at(sent), at(sent + 10), 0});
           d.read_back[0] = {5, p.text(), at(60000)};
         };
         expect_violation("CONFIG", "late", [&](EventJournal& d) { second(d, 7000); });
         expect_violation("none", "not yet late", [&](EventJournal& d) { second(d, 8500); });
         expect_violation("none", "late, at a machine with a recent fault",
                          [&](EventJournal& d) { second(d, 7000), d.machine_faults["e1"] = {at(8000)}; });
         expect_violation("CONFIG", "reverted to an older configuration", [&](EventJournal& d) {
           second(d, 8500);
           auto t = asked("new", "idempotent", "/get/2", 9500, 503);
           t.response.headers.pop_back();
           d.attempts["new"] = t;
           d.arrivals.insert(d.arrivals.begin(), ran(t, "huvo"));
         });
         expect_violation("CONFIG", "an existing route returns 404", [&](EventJournal& d) {
           second(d, 1000);
           d.arrivals[0].service = "huvo";
           auto t = asked("new", "idempotent", "/new/2", 9500, 404);
           t.host = "c.example";
           d.attempts["new"] = t;
         });
         expect_violation("CONFIG", "an older configuration is read back", [&](EventJournal& d) {
           second(d, 60), d.arrivals[0].service = "huvo",
                          d.read_back[0] = {3, d.configurations[0].text, at(60000)};
         });
         expect_violation("CONFIG", "another text is read back",
                          [](EventJournal& d) { d.read_back[0].text += " "; });
         expect_violation("CONFIG", "nothing is read back", [](EventJournal& d) { d.read_back.clear(); });
         auto other_content = [](EventJournal& d) -> StatedConfiguration& {
           auto p = first_configuration(10);
           p.routes[1].timeout_s = 1.25;
           d.configurations.push_back({p, p.text(), "other", "h1", true, at(100), {}, 0});
           return d.configurations.back();
         };
         expect_violation("none", "other content under the same number gets no definite response",
                          [&](EventJournal& d) { other_content(d); });
         expect_violation("CONFIG", "other content under the same number is acknowledged",
                          [&](EventJournal& d) { other_content(d).acknowledged = at(200); });
         expect_violation("CONFIG", "an acknowledged configuration is rejected when sent again",
                          [](EventJournal& d) { d.rejected_again.push_back("PUT /configuration: 409"); });
         auto invalid = [](EventJournal& d) -> StatedConfiguration& {
           d.configurations.push_back({{}, "x", "bad", "h1", false, at(5000), {}, 400});
           return d.configurations.back();
         };
         expect_violation("none", "an invalid configuration is rejected",
                          [&](EventJournal& d) { invalid(d); });
         expect_violation("CONFIG", "an invalid configuration is acknowledged",
                          [&](EventJournal& d) { invalid(d).acknowledged = at(5010); });
         expect_violation("CONFIG", "an invalid configuration gets no 4xx",
                          [&](EventJournal& d) { invalid(d).rejections = 503; });
       }},
      {"platform rules: DRAIN",
       [] {
         expect_violation("DRAIN", "after the bound", [](EventJournal& d) {
           d.deregistrations.push_back({"i-1", "h1", at(7900)});
         });
         expect_violation("none", "within the bound", [](EventJournal& d) {
           d.deregistrations.push_back({"i-1", "h1", at(8300)});
         });
         expect_violation("none", "deregistered at a machine with a recent fault", [](EventJournal& d) {
           d.deregistrations.push_back({"i-1", "h1", at(7900)}), d.machine_faults["h1"] = {at(6000)};
         });
       }},
      {"platform rules: BUDGET, EXPOSURE, CEILING",
       [] {
         expect_violation("BUDGET", "each sent twice", [](EventJournal& d) {
           add_requests(d, "idempotent", "/get/1", "wuno", 200, 2, 20000, 20);
         });
         expect_violation("none", "each sent once", [](EventJournal& d) {
           add_requests(d, "idempotent", "/get/1", "wuno", 200, 1, 20000, 20);
         });
         expect_violation("CEILING", "an origin limited to ten requests per second", [](EventJournal& d) {
           add_requests(d, "cacheable", "/obj/1", "huvo", 100, 1, 20000, 40);
         });
         auto move = [](EventJournal& d, int n, bool all_bad) {
           d.version_rollouts.push_back(
               {"wuno", "v2", "rolled_back", true, at(20000), at(32000), at(20010), at(31000)});
           add_requests(d, "idempotent", "/get/1", "wuno", n, 1, 20100, 100, "v2", all_bad);
         };
         expect_violation("EXPOSURE", "more than a tenth of the requests plus fifty",
                          [&](EventJournal& d) { move(d, 70, false); });
         expect_violation("none", "less", [&](EventJournal& d) { move(d, 50, false); });
         expect_violation("EXPOSURE", "requests after its fiftieth bad response",
                          [&](EventJournal& d) { move(d, 110, true); });
       }},
      {"platform rules: STALE",
       [] {
         auto purged = [](int64_t replaced, int64_t purge) {
           return [=](EventJournal& d) {
             d.replaced["/obj/1"] = {at(replaced)};
             d.purges.push_back({"a.example", "/obj/1", "", at(purge), at(purge + 10)});
           };
         };
         expect_violation("STALE", "two seconds after a purge", purged(7000, 8000));
         expect_violation("none", "sooner", purged(7000, 8300));
         expect_violation("none", "replaced after the purge", purged(9000, 8000));
         expect_violation("STALE", "two seconds past its lifetime",
                          [](EventJournal& d) { d.replaced["/obj/1"] = {at(2000)}; });
       }},
      {"platform rules: LOST and ACKS",
       [] {
         auto lost = [](EventJournal& d) {
           d.attempts["ide"].complete = false, d.terminations = {{at(9900), "e1"}};
         };
         expect_violation("LOST", "by a planned shutdown", lost);
         expect_violation("none", "during an unplanned fault",
                          [&](EventJournal& d) { lost(d), d.unplanned = true; });
         expect_violation("ACKS", "four seconds without faults", [](EventJournal& d) {
           d.unacknowledged.push_back({"a purge", at(9000), at(13100)});
         });
         expect_violation("none", "the core was changing", [](EventJournal& d) {
           d.unacknowledged.push_back({"a purge", at(9000), at(13100)}), d.core_faults = {at(9500)};
         });
       }},
  };
}

}  // namespace dunlinwing::test
