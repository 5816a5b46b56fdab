// Replays the counterexample traces that the exhaustive model (docs/model.md) finds without three
// of its guards, step by step with the production classes. Each test checks that the violation of
// its trace does not occur.
//
// Where a round in a trace lasts longer than the production round limit, the proposer crashes
// after it has sent its requests: those may still arrive at any time.
#include "unit/consensus/consensus_harness.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

using consensus::VersionedValue;
using Kind = MessageKind;

constexpr const char* kRegister = "r";
constexpr Duration kPullSpan = kStalenessBound / 8;

// The seed only decides which replica a pull contacts first.
constexpr uint64_t kSeeds = 8;

void run_with_all_seeds(const std::function<void(ConsensusHarness&)>& script) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ConsensusHarness harness(seed);
    harness.run([&] { script(harness); });
  }
}

// The proposers P1 and P2, the readers R and S, and the replicas A, B and C.
void add_three_replicas(ConsensusHarness& harness) {
  harness.first_set({"A", "B", "C"});
  for (auto* name : {"A", "B", "C"}) harness.add_voting_replica(name);
  for (auto* name : {"P1", "P2", "R", "S"}) harness.add_client(name);
}

auto start_write(ConsensusHarness& harness, const std::string& node, const std::string& data) {
  return harness.start<consensus::WriteResult>(
      node, [&harness, node, data] { return harness.client(node).write(kRegister, 0, data); });
}

auto start_read(ConsensusHarness& harness, const std::string& node) {
  return harness.start<consensus::ReadResult>(
      node, [&harness, node] { return harness.client(node).read(kRegister); });
}

auto start_pull(ConsensusHarness& harness, const std::string& node) {
  return harness.start<bool>(node, [&harness, node] { return harness.cache(node).pull_once(); });
}

VersionedValue value_of(const consensus::ReadResult& result, const std::string& what) {
  auto* value = std::get_if<VersionedValue>(&result);
  expect(value != nullptr, what + " found no majority");
  return *value;
}

// Reads from a node; every message is delivered except those to `without`.
VersionedValue read_now(ConsensusHarness& harness, const std::string& node, const std::string& without) {
  harness.rule({node}, Fate::deliver);
  if (!without.empty()) harness.rule({node, without}, Fate::refuse);
  return value_of(harness.result(start_read(harness, node), "a read"), "the read of " + node);
}

// The first pull with a quorum of responses only gives the node its incarnation.
void warm_up(ConsensusHarness& harness, const std::string& node) {
  harness.rule({node}, Fate::deliver);
  for (int i = 0; i < 2; ++i) harness.result(start_pull(harness, node), "a first pull");
  harness.rule({node}, Fate::hold);
}

void await_voting(ConsensusHarness& harness, const std::string& replica) {
  harness.wait_until([&] { return !harness.acceptor(replica).non_voting(); }, "the refill of " + replica);
}

// The value of the register that a pull determined.
VersionedValue pulled(ConsensusHarness& harness, const std::string& node) {
  auto& chosen = harness.cache(node).chosen();
  auto found = chosen.find(kRegister);
  return found == chosen.end() ? VersionedValue{} : found->second;
}

void same_value(const VersionedValue& first, const VersionedValue& second) {
  same(first.version, second.version, "the versions of the earlier and the later read");
  same(first.data, second.data, "the values of the earlier and the later read");
}

// Steps 1 to 12 of the trace "without copies_are_no_votes": B accepts a value that is never
// chosen, and A copies it in a refill, at a ballot below the promise of A.
void copy_an_unchosen_value(ConsensusHarness& harness) {
  auto first = start_write(harness, "P1", "one");
  harness.deliver({"P1", "A", Kind::prepare});
  harness.deliver({"P1", "B", Kind::prepare});
  auto second = start_write(harness, "P2", "two");
  harness.deliver({"P2", "C", Kind::prepare});
  harness.deliver({"P2", "A", Kind::prepare});
  harness.deliver({"P1", "B", Kind::accept});
  harness.await_sent({"P2", "C", Kind::accept});
  harness.crash("P1");
  harness.crash("P2");
  harness.lose_disk("A");
  harness.deliver({"A", "B", Kind::snapshot});
  harness.deliver({"A", "C", Kind::snapshot});
  await_voting(harness, "A");
  harness.deliver({"P2", "C", Kind::accept});
}

void read_counts_no_copy() {
  run_with_all_seeds([](ConsensusHarness& harness) {
    add_three_replicas(harness);
    copy_an_unchosen_value(harness);
    auto read = start_read(harness, "R");
    harness.deliver({"R", "B", Kind::read});
    harness.deliver({"P2", "B", Kind::accept});  // a quorum with C: "two" is chosen
    harness.deliver({"R", "A", Kind::read});
    harness.rule({"R"}, Fate::deliver);
    auto found = value_of(harness.result(read, "the read"), "the read of R");
    same(found.data, std::string("two"), "what the read returned");
    same_value(found, read_now(harness, "S", ""));
  });
}

void pull_counts_no_copy() {
  run_with_all_seeds([](ConsensusHarness& harness) {
    add_three_replicas(harness);
    warm_up(harness, "R");
    copy_an_unchosen_value(harness);
    harness.rule({"R", "", Kind::pull}, Fate::deliver);
    harness.rule({"R", "C", Kind::pull}, Fate::refuse);
    auto pull = start_pull(harness, "R");
    harness.wait_until([&] { return pull->result || harness.held({"R", "", Kind::read}); }, "the pull");
    harness.deliver({"P2", "B", Kind::accept});
    harness.rule({"R", "", Kind::read}, Fate::deliver);
    harness.rule({"R", "", Kind::prepare}, Fate::deliver);
    harness.rule({"R", "", Kind::accept}, Fate::deliver);
    expect(harness.result(pull, "the pull"), "the pull failed");
    same_value(pulled(harness, "R"), read_now(harness, "S", ""));
  });
}

// Steps 1 to 4 of the trace "without old_replies_of_reads": A and B have promised, C accepts.
void accept_at_one(ConsensusHarness& harness) {
  auto write = start_write(harness, "P1", "one");
  harness.deliver({"P1", "A", Kind::prepare});
  harness.deliver({"P1", "B", Kind::prepare});
  harness.deliver({"P1", "C", Kind::accept});
  harness.crash("P1");
}

// Steps 7 to 11: C loses its disk with the accepted value, and A accepts it after sending its snapshot.
void lose_the_one_and_accept_at_another(ConsensusHarness& harness) {
  harness.lose_disk("C");
  harness.deliver({"C", "A", Kind::snapshot});
  harness.deliver({"P1", "A", Kind::accept});
  harness.deliver({"C", "B", Kind::snapshot});
  await_voting(harness, "C");
}

void read_counts_no_old_reply() {
  run_with_all_seeds([](ConsensusHarness& harness) {
    add_three_replicas(harness);
    accept_at_one(harness);
    auto read = start_read(harness, "R");
    harness.deliver({"R", "C", Kind::read});
    harness.stall("R");
    lose_the_one_and_accept_at_another(harness);
    harness.deliver({"R", "A", Kind::read});
    harness.wake("R");
    harness.rule({"R"}, Fate::deliver);
    auto found = value_of(harness.result(read, "the read"), "the read of R");
    same_value(found, read_now(harness, "S", "A"));
  });
}

// C answers a pull of R before C loses its disk, A answers a later one; S then reads from B and C.
void pull_of_a_lost_vote(ConsensusHarness& harness, Fate silence) {
  add_three_replicas(harness);
  warm_up(harness, "R");
  accept_at_one(harness);
  harness.rule({"R", "", Kind::pull}, Fate::deliver);
  harness.rule({"R", "A", Kind::pull}, silence);
  for (auto kind : {Kind::read, Kind::prepare, Kind::accept}) harness.rule({"R", "", kind}, Fate::refuse);
  auto early = start_pull(harness, "R");
  harness.sleep(kPullSpan / 4 + Duration(4));  // all but A have answered, whichever was contacted first
  lose_the_one_and_accept_at_another(harness);
  expect(!harness.result(early, "the first pull"), "the first pull succeeded without a quorum");
  harness.rule({"R"}, Fate::deliver);
  harness.rule({"R", "C", Kind::pull}, Fate::refuse);
  expect(harness.result(start_pull(harness, "R"), "the second pull"), "the second pull failed");
  same_value(pulled(harness, "R"), read_now(harness, "S", "A"));
}

void pull_counts_no_reply_of_an_earlier_one() {
  run_with_all_seeds([](ConsensusHarness& harness) { pull_of_a_lost_vote(harness, Fate::refuse); });
}

// The early pull waits for A until its timeout, long after C answered.
void age_of_a_reply_runs_from_the_ask() {
  run_with_all_seeds([](ConsensusHarness& harness) { pull_of_a_lost_vote(harness, Fate::drop); });
}

// The pulling node is suspended between the replies of C and A to one pull.
void pull_counts_no_old_reply() {
  run_with_all_seeds([](ConsensusHarness& harness) {
    add_three_replicas(harness);
    warm_up(harness, "R");
    accept_at_one(harness);
    harness.rule({"R", "B", Kind::pull}, Fate::deliver);
    harness.rule({"R", "C", Kind::pull}, Fate::deliver);
    auto pull = start_pull(harness, "R");
    harness.sleep(kPullSpan / 4 + Duration(4));
    harness.stall("R");
    lose_the_one_and_accept_at_another(harness);
    harness.rule({"R", "A", Kind::pull}, Fate::deliver);
    harness.sleep(Duration(5));
    harness.wake("R");
    harness.rule({"R"}, Fate::deliver);
    harness.result(pull, "the pull");
    same_value(pulled(harness, "R"), read_now(harness, "S", "A"));
  });
}

// P1 begins the change from A, B, C to A, B, D; A and B have voted for the joint set, and no
// replica has adopted it.
void vote_for_joint_set(ConsensusHarness& harness) {
  harness.rule({"P1", "", Kind::adopt}, Fate::refuse);
  harness.rule({"P1", "C"}, Fate::refuse);
  for (auto kind : {Kind::read, Kind::prepare, Kind::accept}) {
    harness.rule({"P1", "A", kind}, Fate::deliver);
    harness.rule({"P1", "B", kind}, Fate::deliver);
  }
  auto begin = harness.start<consensus::ReplicaSetResult>("P1", [&] {
    return harness.client("P1").begin_change({replica_named("A"), replica_named("B"), replica_named("D")});
  });
  auto begun = harness.result(begin, "the joint set");
  expect(std::holds_alternative<pb::ReplicaSet>(begun), "the joint set was not written");
  harness.rule({"P1", "", Kind::adopt}, Fate::hold);
}

auto start_finish(ConsensusHarness& harness) {
  return harness.start<consensus::ReplicaSetResult>("P1", [&harness] {
    return harness.client("P1").finish_change([&harness]() -> std::optional<std::vector<std::string>> {
      if (!harness.cache("P1").pull_once()) return {};
      std::vector<std::string> names;
      for (auto& [name, value] : harness.cache("P1").chosen()) names.push_back(name);
      return names;
    });
  });
}

// C does not adopt the joint set, and B does not answer the pull of names.
void let_change_go_on(ConsensusHarness& harness) {
  harness.rule({"P1", "C", Kind::adopt}, Fate::refuse);  // including the held one
  for (auto kind : {Kind::pull, Kind::read, Kind::prepare, Kind::accept})
    harness.rule({"P1", "", kind}, Fate::deliver);
  harness.rule({"P1", "B", Kind::pull}, Fate::refuse);
  harness.rule({"P1", "C", Kind::read}, Fate::refuse);
}

// The trace "without names_from_adopters". C, which has not adopted the joint set, answers the
// pull of names and then completes a quorum of the first set.
void names_come_from_adopters() {
  run_with_all_seeds([](ConsensusHarness& harness) {
    add_three_replicas(harness);
    harness.add_empty_replica("D");
    warm_up(harness, "P1");
    harness.sleep(kRoundLimit * 2);  // D has completed the wait of an empty disk
    vote_for_joint_set(harness);
    auto finish = start_finish(harness);
    harness.deliver({"P1", "A", Kind::adopt});
    harness.deliver({"P1", "D", Kind::adopt});
    auto write = start_write(harness, "P2", "one");
    harness.deliver({"P2", "B", Kind::prepare});
    harness.deliver({"P2", "C", Kind::prepare});
    harness.deliver({"P2", "B", Kind::accept});
    harness.deliver({"P1", "B", Kind::adopt});
    harness.rule({"D", "B", Kind::snapshot}, Fate::refuse);
    harness.deliver({"D", "A", Kind::snapshot});
    harness.deliver({"D", "C", Kind::snapshot});
    await_voting(harness, "D");
    let_change_go_on(harness);
    auto finished = harness.result(finish, "the end of the change");
    harness.deliver({"P2", "C", Kind::accept});
    auto written = harness.result(write, "the write");
    expect(std::holds_alternative<VersionedValue>(written), "the write was not acknowledged");
    if (!std::holds_alternative<pb::ReplicaSet>(finished)) {
      harness.rule({"P1"}, Fate::deliver);
      finished = harness.result(start_finish(harness), "the end of the change, again");
    }
    expect(std::holds_alternative<pb::ReplicaSet>(finished), "the change was not finished");
    same(read_now(harness, "P1", "B").data, std::string("one"), "the value read from the second set");
  });
}

}  // namespace

std::vector<Case> consensus_trace_cases() {
  return {
      {"consensus trace: a read counts no copy as a vote", read_counts_no_copy},
      {"consensus trace: a pull counts no copy as a vote", pull_counts_no_copy},
      {"consensus trace: a read counts no reply older than the round limit", read_counts_no_old_reply},
      {"consensus trace: a pull counts no reply older than the round limit", pull_counts_no_old_reply},
      {"consensus trace: a pull counts no reply to an earlier one that is older than the round limit",
       pull_counts_no_reply_of_an_earlier_one},
      {"consensus trace: the age of a reply runs from its request", age_of_a_reply_runs_from_the_ask},
      {"consensus trace: the names of registers come from adopters of the joint set",
       names_come_from_adopters},
  };
}

}  // namespace dunlinwing::test
