// Trials, purges, cache lifetimes and headers.
#include "cache/cacheability.hpp"
#include "control_api/purge_writer.hpp"
#include "proxy/canary_admission.hpp"
#include "proxy/load_balancer.hpp"
#include "proxy/protocol_adapter.hpp"
#include "proxy/upstream_client.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
std::optional<int64_t> life(base::Headers headers) {
  base::Request request{"", "GET", "/x", "", {}};
  auto l = cache::response_lifetime(request, {200, std::move(headers), "b"});
  if (!l) return {};
  return l->count();
}
}  // namespace

std::vector<Case> traffic_cases() {
  return {
      property("trial: by count, never over its share, also at the first request",
               [] {
                 proxy::CanaryAdmission t;
                 auto pct = *rc::gen::inRange(1, 11);
                 int got = 0;
                 for (int i = 1; i <= 500; ++i) {
                   got += t.admit("s", 1, "2", "", {pct, pct, 0});
                   RC_ASSERT(got * 100 <= i * pct);
                 }
                 RC_ASSERT(got >= 500 * pct / 100 - 1);
               }),
      property("purge: folding keeps the list short and forgets no purge",
               [] {
                 pb::PurgeSet purges;
                 std::vector<std::pair<std::string, uint64_t>> done;
                 auto n = *rc::gen::inRange(1, 400);
                 for (int i = 0; i < n; ++i) {
                   pb::Purge purge;
                   purge.set_name("p" + std::to_string(i));
                   purge.set_kind("path");
                   purge.set_path("/c/" + std::to_string(i % 300));
                   done.emplace_back(purge.path(), control_api::add_purge(purges, purge).number);
                 }
                 RC_ASSERT(purges.purges_size() <= 128);
                 proxy::RoutingSnapshot t;
                 t.purges["s"] = purges;
                 for (auto& [path, num] : done)
                   RC_ASSERT(proxy::purged(t, {"s", "", path, nullptr}, num - 1));
               }),
      {"purge: the same name twice is one purge",
       [] {
         pb::PurgeSet purges;
         pb::Purge purge;
         purge.set_name("a");
         purge.set_kind("service");
         control_api::add_purge(purges, purge);
         expect(control_api::add_purge(purges, purge).known && purges.number() == 1, "it was taken twice");
         expect(!control_api::add_purge(purges, purge).conflict, "the same document clashed");
         purge.set_kind("prefix");
         purge.set_path("/c/");
         expect(control_api::add_purge(purges, purge).conflict && purges.number() == 1,
                "another document under a known name was taken as done");
       }},
      {"cache: lifetimes by RFC 9111",
       [] {
         same(life({{"Cache-Control", "max-age=5"}}).value_or(-1), int64_t(5000), "max-age");
         same(life({{"Cache-Control", "max-age=5, S-MaxAge=\"2\""}}).value_or(-1), int64_t(2000), "s-maxage");
         same(life({{"Cache-Control", "max-age=5"}, {"Cache-Control", "private"}}).value_or(-1), int64_t(-1),
              "private");
         same(life({{"Cache-Control", "max-age=5"}, {"Vary", "Accept"}}).value_or(-1), int64_t(-1), "vary");
         same(life({{"Cache-Control", "max-age=x"}}).value_or(-1), int64_t(-1), "no number");
         same(life({}).value_or(-1), int64_t(-1), "nothing said");
       }},
      {"headers: those of one connection, and ours, do not pass",
       [] {
         base::Response response;
         auto& h = response.headers;
         h = {{"connection", "close, X-Mine"}, {"X-Mine", "1"},          {"TE", "trailers"},
              {"dunlinwing-instance", "x"},    {"Idempotency-Key", "k"}, {"Accept", "a"}};
         proxy::native_protocol_adapter()->strip_internal_headers(response);
         expect(
             h.size() == 3 && h[2].name == "Via" && h[0].name == "Idempotency-Key" && h[1].name == "Accept",
             "what is left");
       }},
      {"versions: a move holds only while the layout allows it, quarantine always",
       [] {
         config::ServiceConfiguration s;
         s.versions = {"1", "2"};
         pb::ServiceState state;
         state.set_current("2");
         state.add_previous_versions("1");
         auto v = proxy::eligible_versions(s, &state);
         expect(v.open.size() == 2 && v.open[0] == "2", "promoted and kept");
         (*state.mutable_quarantined())["2"] = "bad";
         v = proxy::eligible_versions(s, &state);
         expect(v.open.size() == 1 && v.open[0] == "1", "quarantined");
         s.versions = {"3"};
         v = proxy::eligible_versions(s, &state);
         expect(v.open.empty(), "a layout took the service to a version never on trial");
         state.clear_current();
         v = proxy::eligible_versions(s, &state);
         expect(v.open.size() == 1 && v.open[0] == "3", "a service that is new");
       }},
  };
}

}  // namespace dunlinwing::test
