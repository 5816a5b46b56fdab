// Updates of one register: which are written together, and which value each is applied to.
#include "consensus/register_updater.hpp"

#include "unit/consensus/consensus_harness.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using consensus::RegisterUpdate;
using consensus::UpdateError;
using consensus::UpdateResult;
using consensus::VersionedValue;
using Updates = std::vector<std::shared_ptr<Operation<UpdateResult>>>;

constexpr Duration kPatience(10000);

/// Three replicas and two nodes that update the register "r"; all messages are delivered.
void run_with_replicas(const std::function<void(ConsensusHarness&)>& script) {
  ConsensusHarness harness(1);
  harness.run([&] {
    harness.first_set({"A", "B", "C"});
    for (const char* name : {"A", "B", "C"}) harness.add_voting_replica(name);
    for (const char* name : {"P", "Q"}) {
      harness.add_client(name);
      harness.rule({name}, Fate::deliver);
    }
    script(harness);
  });
}

/// Starts an update that appends a letter.
std::shared_ptr<Operation<UpdateResult>> append(ConsensusHarness& harness, const std::string& node,
                                                char letter, RegisterUpdate update = {}) {
  if (update.deadline == TimePoint(0)) update.deadline = harness.world().now() + kPatience;
  update.apply = [letter](const VersionedValue& current) { return current.data + letter; };
  return harness.start<UpdateResult>(
      node, [&harness, node, update] { return harness.updater(node).update("r", update); });
}

VersionedValue value_of(ConsensusHarness& harness,
                        const std::shared_ptr<Operation<UpdateResult>>& operation) {
  const auto result = harness.result(operation, "an update");
  const auto* value = as<VersionedValue>(result);
  expect(value != nullptr, "an update failed");
  return *value;
}

void waiting_updates_share_a_write() {
  run_with_replicas([](ConsensusHarness& harness) {
    harness.rule({"P", "", MessageKind::accept}, Fate::hold);
    auto first = append(harness, "P", 'a');
    harness.await_sent({"P", "", MessageKind::accept});
    Updates others;
    for (const char letter : {'b', 'c', 'd'}) others.push_back(append(harness, "P", letter));
    harness.sleep(Duration(5));
    harness.rule({"P", "", MessageKind::accept}, Fate::deliver);
    same(value_of(harness, first).data, "a", "the value of the first update");
    for (const auto& other : others) {
      const auto value = value_of(harness, other);
      same(value.data, "abcd", "the value of the updates that waited");
      same(value.version, uint64_t{2}, "the version of the updates that waited");
    }
    same(harness.updater("P").totals().batches, uint64_t{2}, "writes");
  });
}

void preconditions_share_no_version() {
  run_with_replicas([](ConsensusHarness& harness) {
    RegisterUpdate exclusive;
    exclusive.may_share_version = false;
    Updates updates;
    for (const char letter : {'a', 'b', 'c'}) updates.push_back(append(harness, "P", letter, exclusive));
    for (size_t i = 0; i < updates.size(); ++i)
      same(value_of(harness, updates[i]).version, uint64_t{i + 1}, "the version of an exclusive update");
  });
}

void an_overtaken_update_is_applied_again() {
  run_with_replicas([](ConsensusHarness& harness) {
    value_of(harness, append(harness, "P", 'a'));
    same(value_of(harness, append(harness, "Q", 'b')).data, "ab", "the value of another node's update");
    same(value_of(harness, append(harness, "P", 'c')).data, "abc", "the value of the overtaken update");
    same(harness.updater("P").totals().conflicts, uint64_t{1}, "conflicts");
  });
}

void an_update_without_a_change_is_confirmed() {
  run_with_replicas([](ConsensusHarness& harness) {
    value_of(harness, append(harness, "P", 'a'));
    value_of(harness, append(harness, "Q", 'b'));
    RegisterUpdate unchanged;
    unchanged.deadline = harness.world().now() + kPatience;
    unchanged.apply = [](const VersionedValue&) { return std::nullopt; };
    auto operation =
        harness.start<UpdateResult>("P", [&] { return harness.updater("P").update("r", unchanged); });
    same(value_of(harness, operation).data, "ab", "the value that was reported as unchanged");
  });
}

void a_late_update_is_not_written() {
  run_with_replicas([](ConsensusHarness& harness) {
    constexpr Duration kShortPatience(50);
    harness.rule({"P", "", MessageKind::accept}, Fate::hold);
    auto first = append(harness, "P", 'a');
    harness.await_sent({"P", "", MessageKind::accept});
    RegisterUpdate impatient;
    impatient.deadline = harness.world().now() + kShortPatience;
    auto late = append(harness, "P", 'b', impatient);
    harness.sleep(kShortPatience * 2);
    harness.rule({"P", "", MessageKind::accept}, Fate::deliver);
    value_of(harness, first);
    const auto result = harness.result(late, "the late update");
    const auto* error = as<UpdateError>(result);
    expect(error && *error == UpdateError::out_of_time, "an update was written after its deadline");
    same(value_of(harness, append(harness, "P", 'c')).data, "ac", "the value without the late update");
  });
}

// The writer's accept has reached one replica when the other node reads.
void a_reader_takes_no_ballot_from_a_writer() {
  run_with_replicas([](ConsensusHarness& harness) {
    harness.rule({"P", "B", MessageKind::accept}, Fate::hold);
    harness.rule({"P", "C", MessageKind::accept}, Fate::hold);
    auto written = append(harness, "P", 'a');
    harness.await_sent({"P", "C", MessageKind::accept});
    harness.sleep(Duration(5));
    harness.rule({"Q", "", MessageKind::prepare}, Fate::hold);
    auto read = harness.start<consensus::ReadResult>("Q", [&] { return harness.client("Q").read("r"); });
    harness.sleep(kRoundLimit / 10);
    expect(!harness.held({"Q", "", MessageKind::prepare}), "the reader proposed while a writer was active");
    harness.rule({"P", "", MessageKind::accept}, Fate::deliver);
    const auto result = harness.result(read, "the read");
    const auto* value = as<VersionedValue>(result);
    expect(value && value->data == "a", "the reader did not see the completed write");
    value_of(harness, written);
  });
}

// The writer has stopped after its accept reached one replica.
void a_reader_completes_an_abandoned_write() {
  run_with_replicas([](ConsensusHarness& harness) {
    harness.rule({"P", "B", MessageKind::accept}, Fate::hold);
    harness.rule({"P", "C", MessageKind::accept}, Fate::hold);
    append(harness, "P", 'a');
    harness.await_sent({"P", "C", MessageKind::accept});
    harness.sleep(Duration(5));
    harness.crash("P");
    auto read = harness.start<consensus::ReadResult>("Q", [&] { return harness.client("Q").read("r"); });
    const auto result = harness.result(read, "the read");
    expect(as<VersionedValue>(result) != nullptr, "no value could be read after a writer stopped");
  });
}
}  // namespace

std::vector<Case> register_updater_cases() {
  return {
      {"updater: updates that wait are written together", waiting_updates_share_a_write},
      {"updater: updates with preconditions share no version", preconditions_share_no_version},
      {"updater: an update that another node overtook is applied to its value",
       an_overtaken_update_is_applied_again},
      {"updater: an update without a change is confirmed by a quorum",
       an_update_without_a_change_is_confirmed},
      {"updater: an update whose caller has given up is not written", a_late_update_is_not_written},
      {"register: a reader takes no ballot from an active writer", a_reader_takes_no_ballot_from_a_writer},
      {"register: a reader completes a write whose writer has stopped",
       a_reader_completes_an_abandoned_write}};
}

}  // namespace dunlinwing::test
