// The order in which nodes send requests to replicas.
#include "membership/replica_selector.hpp"

#include <set>

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kBound(2000);
constexpr TimePoint kNow(100000);
constexpr int kReplicas = 5;

std::vector<consensus::Replica> replicas() {
  std::vector<consensus::Replica> list;
  for (int i = 1; i <= kReplicas; ++i) list.push_back({fmt::format("h{}", i), fmt::format("10.0.0.{}:1", i)});
  return list;
}

pb::NodeStatus status_of(const std::string& name) {
  pb::NodeStatus status;
  status.set_source(name);
  status.mutable_version()->set_count(1);
  return status;
}

/// Recent statuses of all replicas but one.
membership::StatusTable statuses_without(const std::string& left_out) {
  membership::StatusTable table(kBound);
  for (const auto& replica : replicas())
    if (replica.name != left_out) table.merge(status_of(replica.name), kNow);
  return table;
}

membership::StatusTable statuses() { return statuses_without({}); }

std::vector<std::string> order(const membership::ReplicaSelector& selector,
                               const std::vector<consensus::Replica>& set,
                               const membership::StatusTable& known, const std::string& key,
                               TimePoint now = kNow) {
  std::vector<std::string> names;
  for (const auto& replica : selector.candidates(set, known, key, now)) names.push_back(replica.name);
  return names;
}

void all_nodes_agree() {
  const membership::ReplicaSelector selector(kBound);
  auto reversed = replicas();
  std::reverse(reversed.begin(), reversed.end());
  const auto expected = order(selector, replicas(), statuses(), "purges");
  expect(order(selector, reversed, statuses(), "purges") == expected,
         "the order depends on the order of the replica set");
  auto fewer = replicas();
  std::erase_if(fewer, [&](const auto& replica) { return replica.name == expected.back(); });
  expect(order(selector, fewer, statuses(), "purges").front() == expected.front(),
         "the coordinator changes when another replica leaves the set");
}

void resources_are_spread() {
  const membership::ReplicaSelector selector(kBound);
  std::set<std::string> first;
  for (int i = 0; i < 40; ++i)
    first.insert(order(selector, replicas(), statuses(), fmt::format("resource{}", i)).front());
  expect(first.size() == kReplicas, "some replica coordinates nothing");
}

void silent_replicas_come_last() {
  const membership::ReplicaSelector selector(kBound);
  const auto expected = order(selector, replicas(), statuses(), "purges");
  auto known = statuses_without(expected.front());
  expect(order(selector, replicas(), known, "purges").back() == expected.front(),
         "a replica without a status is not the last choice");
  auto old = status_of(expected.front());
  old.set_age_ms(static_cast<uint64_t>(kBound.count()));
  known.merge(old, kNow);
  expect(order(selector, replicas(), known, "purges").back() == expected.front(),
         "a replica with an old status is not the last choice");
  auto leaving = status_of(expected.front());
  leaving.mutable_version()->set_count(2);
  leaving.mutable_node()->set_leaving(true);
  known.merge(leaving, kNow);
  expect(order(selector, replicas(), known, "purges").back() == expected.front(),
         "a replica that is leaving is not the last choice");
}

void failed_replicas_come_after_unknown_ones() {
  membership::ReplicaSelector selector(kBound);
  const membership::StatusTable nothing(kBound);
  const auto expected = order(selector, replicas(), nothing, "purges");
  selector.record_failure(expected.front(), kNow);
  expect(order(selector, replicas(), nothing, "purges").back() == expected.front(),
         "a replica that has just failed comes before one without a status");
}

void failures_are_forgotten() {
  membership::ReplicaSelector selector(kBound);
  const auto expected = order(selector, replicas(), statuses(), "purges");
  selector.record_failure(expected.front(), kNow);
  expect(order(selector, replicas(), statuses(), "purges").back() == expected.front(),
         "a replica that has just failed is not the last choice");
  expect(order(selector, replicas(), statuses(), "purges", kNow + kBound) == expected,
         "a failure counts for longer than a bound");
  selector.record_failure(expected.front(), kNow);
  selector.record_success(expected.front());
  expect(order(selector, replicas(), statuses(), "purges") == expected, "a success does not end a suspicion");
}
}  // namespace

std::vector<Case> replica_selector_cases() {
  return {{"coordinator: all nodes agree, whatever the order of the set", all_nodes_agree},
          {"coordinator: resources are spread over the replicas", resources_are_spread},
          {"coordinator: silent and leaving replicas come last", silent_replicas_come_last},
          {"coordinator: a failed replica comes after those without a status",
           failed_replicas_come_after_unknown_ones},
          {"coordinator: a failure is forgotten after a bound or a success", failures_are_forgotten}};
}

}  // namespace dunlinwing::test
