// Purges and the eligible versions of a service.
#include "proxy/routing_snapshot.hpp"

#include "control_api/purge_writer.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
void folding_forgets_no_purge() {
  pb::PurgeSet purges;
  std::vector<std::pair<std::string, uint64_t>> done;  // paths with the numbers of their purges
  auto count = *rc::gen::inRange(1, 400);
  for (int i = 0; i < count; ++i) {
    pb::Purge purge;
    purge.set_name("p" + std::to_string(i));
    purge.set_kind("path");
    purge.set_path("/c/" + std::to_string(i % 300));
    done.emplace_back(purge.path(), control_api::add_purge(purges, purge).number);
  }
  RC_ASSERT(purges.purges_size() <= 128);
  proxy::RoutingSnapshot snapshot;
  snapshot.purges["s"] = purges;
  for (const auto& [path, number] : done)
    RC_ASSERT(proxy::is_purged_since(snapshot, {"s", "", path, nullptr}, number - 1));
}

void same_name_is_one_purge() {
  pb::PurgeSet purges;
  pb::Purge purge;
  purge.set_name("a");
  purge.set_kind("service");
  control_api::add_purge(purges, purge);
  expect(control_api::add_purge(purges, purge).existed && purges.number() == 1,
         "the same purge was counted twice");
  expect(!control_api::add_purge(purges, purge).conflict, "the same document was reported as a conflict");
  purge.set_kind("prefix");
  purge.set_path("/c/");
  expect(control_api::add_purge(purges, purge).conflict && purges.number() == 1,
         "a different document under a known name was accepted");
}

void purge_numbers_of_both_counts() {
  proxy::RoutingSnapshot snapshot;
  snapshot.purges["s"].set_number(7);
  snapshot.purges[proxy::kAllServices].set_number(3);
  const auto known = proxy::purge_number(snapshot, "s");
  same(proxy::purge_number(snapshot, "other"), uint64_t(3) << 32, "the purges of all services alone");
  same(known, (uint64_t(3) << 32) + 7, "both counts");
  same(proxy::min_purge_number(known, (uint64_t(9) << 32) + 2), (uint64_t(3) << 32) + 2,
       "purges known to both");
}

void versions_that_may_serve() {
  config::ServiceConfiguration service;
  service.versions = {"1", "2"};
  pb::ServiceState state;
  state.set_current("2");
  state.add_previous_versions("1");
  auto eligible = proxy::eligible_versions(service, &state);
  expect(eligible.open.size() == 2 && eligible.open[0] == "2", "the current and the previous version");
  (*state.mutable_quarantined())["2"] = "bad";
  eligible = proxy::eligible_versions(service, &state);
  expect(eligible.open.size() == 1 && eligible.open[0] == "1", "quarantined");
  service.versions = {"3"};
  eligible = proxy::eligible_versions(service, &state);
  expect(eligible.open.empty(), "a configuration put a version into service without a canary");
  state.clear_current();
  eligible = proxy::eligible_versions(service, &state);
  expect(eligible.open.size() == 1 && eligible.open[0] == "3", "a new service");
}
}  // namespace

std::vector<Case> routing_snapshot_cases() {
  return {
      property("purge: folding bounds the list and loses no purge", folding_forgets_no_purge),
      {"purge: repeated requests with one name are one purge", same_name_is_one_purge},
      {"purge: one number contains the counts of a service and of all services",
       purge_numbers_of_both_counts},
      {"versions: the configuration limits the current version, quarantine always applies",
       versions_that_may_serve},
  };
}

}  // namespace dunlinwing::test
