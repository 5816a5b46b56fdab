// Values that a replica leaves out of its response, since the requester holds them.
#include "membership/replica_responses.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kLifetime(500);
constexpr TimePoint kNow(1000);

pb::Ballot ballot(uint64_t round) {
  pb::Ballot ballot;
  ballot.set_round(round);
  ballot.set_node("p");
  return ballot;
}

pb::PullResponse response(uint64_t position) {
  pb::PullResponse response;
  response.set_boot_id(1);
  response.set_position(position);
  return response;
}

pb::PullResponse with_value(uint64_t round, const std::string& data) {
  auto full = response(1);
  auto* state = full.add_registers();
  state->set_name("r");
  *state->mutable_accepted() = ballot(round);
  state->mutable_value()->set_data(data);
  return full;
}

pb::PullResponse unchanged(uint64_t round) {
  auto short_response = response(1);
  auto* held = short_response.add_unchanged();
  held->set_name("r");
  *held->mutable_accepted() = ballot(round);
  return short_response;
}

consensus::ReplicaSetView three_replicas() {
  return consensus::ReplicaSetView({{"A", "a"}, {"B", "b"}, {"C", "c"}});
}

void an_unchanged_value_counts() {
  membership::ReplicaResponses responses(kLifetime);
  responses.record("A", with_value(3, "value"), kNow, kNow);
  expect(responses.latest_at_quorum(three_replicas(), "r", kNow) == nullptr, "one report is a quorum");
  same(responses.record("B", unchanged(3), kNow, kNow).size(), size_t{1}, "reported registers");
  const auto* state = responses.latest_at_quorum(three_replicas(), "r", kNow);
  expect(state && state->value().data() == "value",
         "a value that was left out does not count for its replica");
}

void an_unknown_value_is_requested_again() {
  membership::ReplicaResponses responses(kLifetime);
  responses.record("A", with_value(3, "value"), kNow, kNow);
  expect(responses.record("B", unchanged(4), kNow, kNow).empty(), "a register without a value was recorded");
  expect(responses.reported_by("B", "r") == nullptr, "a register without a value was recorded");
  pb::PullRequest next;
  responses.set_position("B", next);
  same(next.position(), uint64_t{0}, "the position after a value was missed");
}
}  // namespace

std::vector<Case> replica_responses_cases() {
  return {{"pull: a value that is left out counts as reported", an_unchanged_value_counts},
          {"pull: a value that is left out and not held is requested again",
           an_unknown_value_is_requested_again}};
}

}  // namespace dunlinwing::test
