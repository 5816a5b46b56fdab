// Reads and proposals: how often the value is sent, and from whom it comes.
#include "consensus/register_reader.hpp"

#include "unit/consensus/consensus_harness.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using consensus::ReadResult;
using consensus::VersionedValue;

constexpr int kReads = 20;

/// Three replicas and the node "Q" that reads the register "r", which replica A has written.
void run_after_a_write(const std::function<void(ConsensusHarness&)>& before_write,
                       const std::function<void(ConsensusHarness&)>& script) {
  ConsensusHarness harness(1);
  harness.run([&] {
    harness.first_set({"A", "B", "C"});
    for (const char* name : {"A", "B", "C"}) {
      harness.add_voting_replica(name);
      harness.rule({name}, Fate::deliver);
    }
    harness.add_client("Q");
    harness.rule({"Q"}, Fate::deliver);
    before_write(harness);
    auto write = harness.start<consensus::WriteResult>(
        "A", [&harness] { return harness.client("A").write("r", 0, "data"); });
    expect(as<VersionedValue>(harness.result(write, "the write")) != nullptr, "the register was not written");
    harness.sleep(Duration(5));
    script(harness);
  });
}

void read(ConsensusHarness& harness, const std::string& node, const pb::RegisterState& known = {}) {
  auto operation = harness.start<ReadResult>(
      node, [&harness, node, known] { return harness.client(node).read("r", known); });
  const auto result = harness.result(operation, "a read");
  const auto* value = as<VersionedValue>(result);
  expect(value && value->version == 1 && value->data == "data", "a read returned another value");
  harness.sleep(Duration(5));  // responses that the read did not wait for
}

/// How many values the node received from other nodes for one read.
size_t values_received(ConsensusHarness& harness, const std::string& node,
                       const pb::RegisterState& known = {}) {
  const size_t before = harness.values_received(node);
  read(harness, node, known);
  return harness.values_received(node) - before;
}

void a_read_receives_one_copy_of_the_value() {
  run_after_a_write([](ConsensusHarness&) {},
                    [](ConsensusHarness& harness) {
                      for (int i = 0; i < kReads; ++i)
                        same(values_received(harness, "Q"), 1U, "values sent to a node without a replica");
                      same(values_received(harness, "B"), 0U, "values sent to a replica that has it");
                    });
}

void a_known_value_is_not_sent_again() {
  run_after_a_write([](ConsensusHarness&) {},
                    [](ConsensusHarness& harness) {
                      pb::PeerRequest request;
                      request.mutable_read_register()->set_name("r");
                      request.set_epoch(1);
                      const auto known = harness.acceptor("A").handle(request).vote().register_state();
                      same(values_received(harness, "Q", known), 0U, "values sent although it is known");
                    });
}

// One replica has missed the write, so that at times the replica chosen to send the value does not have it.
void the_value_comes_from_a_replica_that_accepted_it() {
  run_after_a_write(
      [](ConsensusHarness& harness) {
        harness.rule({"A", "C"}, Fate::drop);
      },
      [](ConsensusHarness& harness) {
        for (int i = 0; i < kReads; ++i) read(harness, "Q");
      });
}

void a_proposer_receives_one_copy_of_the_value() {
  run_after_a_write([](ConsensusHarness&) {},
                    [](ConsensusHarness& harness) {
                      uint64_t version = 1;
                      for (const std::string node : {"A", "Q"}) {
                        const size_t before = harness.values_received(node);
                        auto write = harness.start<consensus::WriteResult>(node, [&harness, node, version] {
                          return harness.client(node).write("r", version, "next");
                        });
                        const auto result = harness.result(write, "a write");
                        const auto* value = as<VersionedValue>(result);
                        expect(value && value->version == ++version, "the register was not written");
                        same(harness.values_received(node) - before, node == "Q" ? 1U : 0U,
                             "values sent to the proposer " + node);
                      }
                    });
}

// The known state is of an older write, and of a ballot that no quorum accepted.
void a_known_value_of_another_ballot_is_not_returned() {
  run_after_a_write([](ConsensusHarness&) {},
                    [](ConsensusHarness& harness) {
                      pb::RegisterState known;
                      known.mutable_accepted()->set_round(1);
                      known.mutable_accepted()->set_node("Z");
                      known.mutable_value()->set_version(1);
                      known.mutable_value()->set_data("another");
                      read(harness, "Q", known);
                    });
}
}  // namespace

std::vector<Case> register_reader_cases() {
  return {{"register: a read receives one copy of the value", a_read_receives_one_copy_of_the_value},
          {"register: a proposer receives one copy of the value", a_proposer_receives_one_copy_of_the_value},
          {"register: a known value is not sent again", a_known_value_is_not_sent_again},
          {"register: the value comes from a replica that accepted it",
           the_value_comes_from_a_replica_that_accepted_it},
          {"register: a known value of another ballot is not returned",
           a_known_value_of_another_ballot_is_not_returned}};
}

}  // namespace dunlinwing::test
