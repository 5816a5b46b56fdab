// Runs the checker on a clean journal and on one modified for each rule: every
// rule must be able to fail, and to fail alone.
#include "checker/checker.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
std::string ask(const std::string& id, const std::string& m, const std::string& t) {
  return fmt::format(R"({{"t":"ask","id":"{}","method":"{}","target":"{}","in":"i","at":100}})", id, m, t);
}
std::string ran(const std::string& id, const std::string& m, const std::string& t, int at,
                const std::string& more = "", const std::string& version = "1") {
  return fmt::format(
      R"({{"t":"run","id":"{}","method":"{}","target":"{}","in":"i","out":"o","service":"s","version":"{}","instance":"w","at":{}{}}})",
      id, m, t, version, at, more);
}
std::string got(const std::string& id, int status, const std::string& outcome, int from, int produced = 100,
                const std::string& gen = "1", const std::string& out = "o") {
  return fmt::format(
      R"({{"t":"got","id":"{}","status":{},"outcome":"{}","out":"{}","produced":{},"gen":"{}","from":{},"at":{},"relay":"r"}})",
      id, status, outcome, out, produced, gen, from, from + 5);
}
const char* const kAllowed = R"({"t":"allowed","service":"s","version":"1","prefix":"/","at":0})";

std::vector<int> rules(const std::vector<std::string>& ls) {
  Journals j;
  for (auto& l : ls) j.add(l);
  std::set<int> out;
  for (auto& b : check(j).breaches) out.insert(b.rule);
  return {out.begin(), out.end()};
}
std::vector<std::string> clean() {
  return {kAllowed,
          ask("a", "POST", "/p"),
          ran("a", "POST", "/p", 101),
          got("a", 200, "", 100),
          ask("b", "GET", "/c"),
          ran("b", "GET", "/c", 102),
          got("b", 200, "", 100),
          got("c", 503, "not-run", 100)};
}
Case accepted_case(int rule, const std::string& what, std::vector<std::string> more) {
  return {fmt::format("checker: rule {} accepts {}", rule, what), [more] {
            auto ls = clean();
            ls.insert(ls.end(), more.begin(), more.end());
            expect(rules(ls).empty(), "the checker reported a breach");
          }};
}
// `n` executions of service s, `gap` ms apart, starting at `from`.
std::vector<std::string> row(int n, int gap, int from, const std::string& more = "",
                             const std::string& version = "1") {
  std::vector<std::string> out;
  for (int i = 0; i < n; ++i) {
    auto id = fmt::format("row{}-{}", from, i);
    out.push_back(ask(id, "GET", "/c"));
    out.push_back(ran(id, "GET", "/c", from + i * gap, more, version));
  }
  return out;
}
std::vector<std::string> plus(std::vector<std::string> a, const std::vector<std::string>& b) {
  a.insert(a.end(), b.begin(), b.end());
  return a;
}
Case rejected_case(int rule, const std::string& what, std::vector<std::string> more) {
  return {fmt::format("checker: rule {} fails on {}", rule, what), [rule, more] {
            auto ls = clean();
            ls.insert(ls.end(), more.begin(), more.end());
            auto r = rules(ls);
            expect(r.size() == 1 && r[0] == rule,
                   fmt::format("the checker reported breaches of {} rules", r.size()));
          }};
}
}  // namespace

std::vector<Case> checker_cases() {
  std::vector<std::string> many, rate, bad, returned, again;
  for (int i = 0; i < 40; ++i) again.push_back(ran("b", "GET", "/c", 200 + i));
  rate.push_back(R"({"t":"rate","service":"s","n":10,"at":0})");
  bad.push_back(R"({"t":"bad_version","service":"s","version":"2","at":0})");
  bad.push_back(R"({"t":"allowed","service":"s","version":"2","prefix":"/","at":0})");
  auto late = bad;
  returned.push_back(R"({"t":"returned","at":1000})");
  for (int i = 0; i < 60; ++i) {
    auto id = fmt::format("m{}", i);
    rate.push_back(ask(id, "GET", "/c"));
    rate.push_back(ran(id, "GET", "/c", 200 + i));
    bad.push_back(ask(id, "GET", "/c"));
    bad.push_back(ran(id, "GET", "/c", 200 + i, "", i < 20 ? "2" : "1"));
    returned.push_back(
        fmt::format(R"({{"t":"ask","id":"{}","method":"GET","target":"/c","in":"i","at":16500}})", id));
  }
  for (int i = 0; i < 2000; ++i) {
    auto id = fmt::format("l{}", i);
    late.push_back(ask(id, "GET", "/c"));
    // 50 bad responses until 5000, then one more request 5.1 s later.
    bool two = i % 20 == 0 && i / 20 < 50;
    late.push_back(ran(id, "GET", "/c", i == 1999 ? 10200 : i * 5, two ? R"(,"bad":true)" : "",
                       two || i == 1999 ? "2" : "1"));
  }
  const std::string two = R"({"t":"allowed","service":"s","version":"2","prefix":"/","at":0})";
  const std::string trial = R"({"t":"bad_version","service":"s","version":"2","at":0})";
  auto failing = [](int asked, int well) {
    std::vector<std::string> v{R"({"t":"returned","at":1000})"};
    for (int i = 0; i < asked; ++i) {
      auto id = fmt::format("k{}", i);
      v.push_back(
          fmt::format(R"({{"t":"ask","id":"{}","method":"GET","target":"/c","in":"i","at":16500}})", id));
      if (i < well) v.push_back(got(id, 200, "", 16500, 16490));
    }
    return v;
  };
  auto repeats = [](int n) {
    std::vector<std::string> v;
    for (int i = 0; i < n; ++i) v.push_back(ran("b", "GET", "/c", 200 + i));
    return v;
  };
  auto within = [&](int slack) {
    auto v = bad;
    v[0] = fmt::format(R"({{"t":"bad_version","service":"s","version":"2","until":5000,"slack":{},"at":0}})",
                       slack);
    return v;
  };
  return {
      rejected_case(6, "an attempt under an old layout after a wait",
                    {R"({"t":"assigned","relay":"r","generation":2,"at":100})", ask("d", "GET", "/c"),
                     ran("d", "GET", "/c", 2101, R"(,"relay":"r","gen":"1")")}),
      accepted_case(6, "an attempt just within the bound",
                    {R"({"t":"assigned","relay":"r","generation":2,"at":100})", ask("d", "GET", "/c"),
                     ran("d", "GET", "/c", 2100, R"(,"relay":"r","gen":"1")")}),
      accepted_case(
          7, "a request to an instance that has just reported leaving",
          {R"({"t":"leaving","instance":"w","at":10})", ask("d", "GET", "/c"), ran("d", "GET", "/c", 2010)}),
      rejected_case(
          8, "purged content served late from a cache",
          {R"({"t":"purged","path":"/c","at":150})", ask("d", "GET", "/c"), got("d", 200, "", 2146)}),
      accepted_case(
          8, "purged content served just in time",
          {R"({"t":"purged","path":"/c","at":150})", ask("d", "GET", "/c"), got("d", 200, "", 2145)}),
      accepted_case(8, "content created after the purge was requested",
                    {R"({"t":"purged","path":"/c","asked":99,"at":150})", ask("d", "GET", "/c"),
                     got("d", 200, "", 2146)}),
      accepted_case(8, "content just within its lifetime",
                    {R"({"t":"lifetime","ms":1000,"at":0})", got("b", 200, "", 3095)}),
      accepted_case(9, "as many retries as allowed", repeats(20)),
      rejected_case(9, "one retry too many", repeats(21)),
      accepted_case(10, "a tenth plus the requests in flight",
                    plus({two, trial}, plus(row(98, 1, 300), row(15, 1, 500, "", "2")))),
      rejected_case(10, "a bad version beyond the slack of its period", within(13)),
      accepted_case(10, "a bad version just within the slack of its period", within(14)),
      rejected_case(10, "more than a tenth plus the requests in flight",
                    plus({two, trial}, plus(row(98, 1, 300), row(17, 1, 500, "", "2")))),
      accepted_case(11, "a tenth more than the rate",
                    plus({R"({"t":"rate","service":"s","n":10,"at":300})"}, row(55, 1, 300))),
      rejected_case(11, "one request more than that",
                    plus({R"({"t":"rate","service":"s","n":10,"at":300})"}, row(56, 1, 300))),
      accepted_case(12, "half of the requests failing 15 s after the return", failing(20, 10)),
      rejected_case(12, "more than half failing, with few requests", failing(7, 3)),
      {"checker: a clean journal is clean",
       [] { expect(rules(clean()).empty(), "the checker reported a breach"); }},
      rejected_case(1, "a POST executed twice", {ran("a", "POST", "/p", 110)}),
      rejected_case(2, "a request executed despite a not-run response",
                    {ask("c", "POST", "/p"), ran("c", "POST", "/p", 101)}),
      rejected_case(3, "a response that no backend instance created",
                    {ask("d", "GET", "/c"), got("d", 200, "", 100, 100, "1", "forged")}),
      rejected_case(3, "the response to another request", {ask("d", "POST", "/p"), got("d", 200, "", 100)}),
      rejected_case(4, "a request that no client sent", {ran("ghost", "POST", "/p", 120)}),
      rejected_case(4, "an altered request", {ask("d", "POST", "/other"), ran("d", "POST", "/p", 120)}),
      rejected_case(5, "a version never allowed",
                    {ask("d", "GET", "/c"), ran("d", "GET", "/c", 120, "", "9")}),
      rejected_case(
          6, "an old layout past the bound",
          {R"({"t":"assigned","relay":"r","generation":2,"at":100})", got("c", 503, "not-run", 2200)}),
      rejected_case(6, "reverting to an older generation",
                    {got("c", 503, "not-run", 120, 100, "7"), got("c", 503, "not-run", 200, 100, "6")}),
      rejected_case(
          7, "an instance that still got requests after it reported leaving",
          {R"({"t":"leaving","instance":"w","at":10})", ask("d", "GET", "/c"), ran("d", "GET", "/c", 2011)}),
      rejected_case(8, "purged content", {R"({"t":"purged","path":"/c","at":150})", got("b", 200, "", 2151)}),
      rejected_case(8, "content past its lifetime",
                    {R"({"t":"lifetime","ms":1000,"at":0})", got("b", 200, "", 3101)}),
      rejected_case(9, "too many retries", again),
      rejected_case(10, "too great a share for a bad version", bad),
      rejected_case(10, "a bad version used too long", late),
      rejected_case(11, "an origin that gets more than its rate", rate),
      rejected_case(12, "a layout that was lost", {R"({"t":"layout_lost","release":"x","at":5})"}),
      rejected_case(12, "failing 15 s after machines returned", returned),
  };
}

}  // namespace dunlinwing::test
