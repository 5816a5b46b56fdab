// The order in which nodes send writes to replicas.
#include "membership/coordinator_selector.hpp"

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

std::vector<membership::Member> members(Duration age = Duration(100)) {
  std::vector<membership::Member> list;
  for (const auto& replica : replicas()) list.push_back({replica.name, {}, age});
  return list;
}

std::vector<std::string> order(const membership::CoordinatorSelector& selector,
                               const std::vector<consensus::Replica>& set,
                               const std::vector<membership::Member>& known, const std::string& resource,
                               TimePoint now = kNow) {
  std::vector<std::string> names;
  for (const auto& replica : selector.candidates(set, known, resource, now)) names.push_back(replica.name);
  return names;
}

void all_nodes_agree() {
  const membership::CoordinatorSelector selector(kBound);
  auto reversed = replicas();
  std::reverse(reversed.begin(), reversed.end());
  const auto expected = order(selector, replicas(), members(), "purges");
  expect(order(selector, reversed, members(), "purges") == expected,
         "the order depends on the order of the replica set");
  auto fewer = replicas();
  std::erase_if(fewer, [&](const auto& replica) { return replica.name == expected.back(); });
  expect(order(selector, fewer, members(), "purges").front() == expected.front(),
         "the coordinator changes when another replica leaves the set");
}

void resources_are_spread() {
  const membership::CoordinatorSelector selector(kBound);
  std::set<std::string> first;
  for (int i = 0; i < 40; ++i)
    first.insert(order(selector, replicas(), members(), fmt::format("resource{}", i)).front());
  expect(first.size() == kReplicas, "some replica coordinates nothing");
}

void silent_replicas_come_last() {
  const membership::CoordinatorSelector selector(kBound);
  const auto expected = order(selector, replicas(), members(), "purges");
  auto known = members();
  for (auto& member : known)
    if (member.name == expected.front()) member.age = kBound;
  expect(order(selector, replicas(), known, "purges").back() == expected.front(),
         "a replica with an old status is not the last choice");
  std::erase_if(known, [&](const auto& member) { return member.name == expected.front(); });
  expect(order(selector, replicas(), known, "purges").back() == expected.front(),
         "a replica that is leaving is not the last choice");
}

void failures_are_forgotten() {
  membership::CoordinatorSelector selector(kBound);
  const auto expected = order(selector, replicas(), members(), "purges");
  selector.record_failure(expected.front(), kNow);
  expect(order(selector, replicas(), members(), "purges").back() == expected.front(),
         "a replica that has just failed is not the last choice");
  expect(order(selector, replicas(), members(), "purges", kNow + kBound) == expected,
         "a failure counts for longer than a bound");
  selector.record_failure(expected.front(), kNow);
  selector.record_success(expected.front());
  expect(order(selector, replicas(), members(), "purges") == expected, "a success does not end a suspicion");
}
}  // namespace

std::vector<Case> coordinator_selector_cases() {
  return {{"coordinator: all nodes agree, whatever the order of the set", all_nodes_agree},
          {"coordinator: resources are spread over the replicas", resources_are_spread},
          {"coordinator: silent and leaving replicas come last", silent_replicas_come_last},
          {"coordinator: a failure is forgotten after a bound or a success", failures_are_forgotten}};
}

}  // namespace dunlinwing::test
