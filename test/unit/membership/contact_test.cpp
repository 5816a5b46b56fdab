// Keeps control reachable when a whole fleet loses its contact at once: each node queries few addresses,
// failing pulls back off, and enough file descriptors are left for control.
#include <set>

#include "membership/discovery.hpp"
#include "membership/pull_schedule.hpp"
#include "node/socket_budget.hpp"
#include "unit/consensus/consensus_harness.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kPeriod(250);

class Sequence final : public base::Random {
 public:
  uint64_t draw() override { return state_ = state_ * 6364136223846793005u + 1442695040888963407u; }

 private:
  uint64_t state_ = 1;
};

membership::Member member(int number, bool disk) {
  membership::Member member;
  member.name = fmt::format("n{}", number);
  member.info.set_http_address(member.name);
  member.info.set_disk(disk);
  return member;
}

void few_are_queried() {
  Sequence random;
  constexpr int kNodes = 200, kWithDisk = 6;
  std::vector<membership::Member> known;
  known.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) known.push_back(member(i, i < kWithDisk));
  std::set<std::string> queried;
  for (int look = 0; look < 100; ++look) {
    auto drawn = membership::sample_contacts(known, random);
    expect(drawn.size() == 2 * membership::kContactsPerKind,
           fmt::format("{} addresses were queried at once", drawn.size()));
    queried.insert(drawn.begin(), drawn.end());
  }
  for (int i = 0; i < kWithDisk; ++i)
    expect(queried.count(fmt::format("n{}", i)) > 0, "a node with a disk is never queried");
  expect(queried.size() > 100, "the same nodes are queried each time");
  expect(membership::sample_contacts({member(1, false)}, random).size() == 1,
         "the only known node is not queried");
}

// The number of pulls in ten seconds if all of them have the given result.
using membership::PullResult;

int pulls_in_ten_seconds(PullResult result, bool hurried) {
  Sequence random;
  membership::PullSchedule schedule(random, kPeriod);
  int pulls = 0;
  for (Duration time(0); time < Duration(10000); ++pulls) {
    auto spent = result == PullResult::good ? Duration(10) : Duration(0);
    auto wait = schedule.next_wait(result, spent);
    expect(wait.usual >= wait.least, "the usual wait is shorter than the least one");
    time += spent + (hurried ? wait.least : wait.usual);
  }
  return pulls;
}

void failing_pulls_back_off() {
  same(pulls_in_ten_seconds(PullResult::good, false), 40, "good pulls in ten seconds");
  auto failing = pulls_in_ten_seconds(PullResult::failed, false);
  expect(failing <= 32, fmt::format("{} failing pulls in ten seconds", failing));
  expect(failing >= 15, fmt::format("only {} failing pulls in ten seconds", failing));
  auto hurried = pulls_in_ten_seconds(PullResult::failed, true);
  expect(hurried <= 88, fmt::format("{} failing pulls in ten seconds while a caller waits", hurried));
}

void one_good_pull_resets() {
  Sequence random;
  membership::PullSchedule schedule(random, kPeriod);
  for (int i = 0; i < 12; ++i) schedule.next_wait(PullResult::failed, Duration(0));
  expect(schedule.failing(), "not failing after twelve consecutive failures");
  same(schedule.next_wait(PullResult::good, Duration(0)).usual.count(), kPeriod.count(),
       "the wait after a good pull");
  expect(!schedule.failing(), "still failing after a good pull");
  expect(schedule.next_wait(PullResult::failed, Duration(0)).usual <= kPeriod / 2,
         "a single lost pull is not retried soon");
}

// A node that lacks far more than one response may contain: no pull is good before all registers are
// received.
void good_pulls_know_everything() {
  constexpr int kRegisters = 120;
  constexpr int kMostPulls = 20;
  ConsensusHarness harness(1);
  harness.run([&] {
    harness.first_set({"A", "B", "C"});
    for (auto* name : {"A", "B", "C"}) harness.add_voting_replica(name);
    for (auto* name : {"P1", "R"}) {
      harness.add_client(name);
      harness.rule({name}, Fate::deliver);
    }
    for (int i = 0; i < kRegisters; ++i) {
      auto write = harness.start<consensus::WriteResult>(
          "P1", [&] { return harness.client("P1").write(fmt::format("r{}", i), 0, std::string(2000, 'x')); });
      auto written = harness.result(write, "a write");
      expect(std::holds_alternative<consensus::VersionedValue>(written), "a register was not written");
    }
    int pulls = 0;
    for (bool good = false; !good; ++pulls) {
      expect(pulls < kMostPulls, "no pull was good");
      auto pull = harness.start<bool>("R", [&] { return harness.cache("R").pull_once(); });
      good = harness.result(pull, "a pull");
    }
    expect(pulls > 3, fmt::format("everything was received in only {} pulls", pulls));
    same(harness.cache("R").chosen().size(), size_t(kRegisters), "registers known after a good pull");
  });
}

// All replicas lose their memory at once while another node still has a later status of one of them: that
// replica has to raise its incarnation so that the node accepts its statuses again.
void restarted_replicas_are_believed() {
  membership::StatusTable replica(Duration(3000)), other(Duration(3000));
  TimePoint now(100000);
  pb::NodeStatus old;
  old.set_source("A");
  old.mutable_version()->set_incarnation(1);
  old.mutable_version()->set_count(400);
  other.merge(old, now);
  pb::NodeStatus anew = old;
  anew.mutable_version()->set_count(1);
  replica.merge(anew, now);
  expect(!other.merge(anew, now), "a status from after the restart was accepted under the old incarnation");
  replica.record_requester_versions(other.known_versions(), now);
  auto known = replica.known_version("A");
  expect(known && membership::is_newer(*known, anew.version()),
         "the replica does not learn that its incarnation is too low");
  anew.mutable_version()->set_incarnation(known->incarnation() + 1);
  expect(other.merge(anew, now) && replica.merge(anew, now), "a status of a higher incarnation was rejected");
  replica.record_requester_versions(other.known_versions(), now);
  replica.remove_expired(now);
  expect(!membership::is_newer(*replica.known_version("A"), anew.version()),
         "the version known to a requester is kept beside a later status");
}

// The same with complete nodes: replicas have recorded that others know a later status of R than its own; R
// learns this from its pulls.
void own_status_goes_on_above() {
  ConsensusHarness harness(1);
  harness.run([&] {
    harness.first_set({"A", "B", "C"});
    for (auto* name : {"A", "B", "C"}) harness.add_voting_replica(name);
    harness.add_client("R");
    harness.rule({"R"}, Fate::deliver);
    pb::NodeStatus late;
    late.set_source("R");
    late.mutable_version()->set_incarnation(7);
    late.mutable_version()->set_count(9);
    auto pull_once = [&] {
      return harness.result(harness.start<bool>("R", [&] { return harness.cache("R").pull_once(); }),
                            "a pull");
    };
    for (int i = 0; i < 3; ++i) pull_once();
    auto before = harness.cache("R").incarnation();
    expect(before == 1, fmt::format("the first incarnation is {}", before));
    for (auto* name : {"A", "B", "C"}) {
      google::protobuf::Map<std::string, pb::StatusVersion> known;
      known["R"] = late.version();
      harness.cache(name).statuses().record_requester_versions(known, TimePoint(0));
    }
    for (int i = 0; i < 3; ++i) pull_once();
    same(harness.cache("R").incarnation(), uint64_t(8), "the incarnation above the one that others know");
  });
}

constexpr Duration kDistant{80};  // to a replica and back; longer than a nearby one usually takes
constexpr Duration kOutage{3000};
constexpr Duration kSettled{3000};

/// A node that pulls from three replicas; the given ones are distant, and unreachable while `cut` is true.
void run_with_distant_replicas(const std::set<std::string>& distant,
                               const std::function<void(ConsensusHarness&)>& script) {
  ConsensusHarness harness(1);
  bool cut = false;
  harness.run([&] {
    harness.first_set({"A", "B", "C"});
    harness.default_delivery([&](const Message& message) {
      const bool is_distant = distant.count(message.to) > 0;
      return Delivery{is_distant && cut ? Fate::drop : Fate::deliver, is_distant ? kDistant : Duration(1)};
    });
    for (auto* name : {"A", "B", "C"}) harness.add_voting_replica(name);
    harness.add_client("R");
    harness.cache("R").start();
    harness.sleep(kSettled);
    expect(harness.cache("R").has_read_lease(), "no read lease before the outage");
    cut = true;
    harness.sleep(kOutage);
    cut = false;
    harness.sleep(kSettled);
    script(harness);
  });
}

void distant_replicas_are_heard_after_an_outage() {
  run_with_distant_replicas({"A", "B", "C"}, [](ConsensusHarness& harness) {
    expect(harness.cache("R").has_read_lease(), "no read lease after the outage");
  });
}

// The other two replicas respond all the time.
void a_distant_replica_counts_as_silent_only_while_it_is() {
  run_with_distant_replicas({"C"}, [](ConsensusHarness& harness) {
    const auto silence = harness.cache("R").contact("C").since_response;
    expect(silence < kStalenessBound * 3 / 4,
           fmt::format("C responds again, and was last heard {} ms ago", silence.count()));
  });
}

/// Of the pulls in a time, how many each replica was sent before the others.
using FirstQueries = std::map<std::string, int>;

// A pull sends one request alone, and then one to each of the others at the same time.
class FirstQueryCounter {
 public:
  void record(const Message& message, TimePoint now) {
    auto& [sent_at, targets] = last_[message.from];
    if (sent_at != now) targets.clear();
    sent_at = now;
    targets.push_back(message.to);
    if (targets.size() == 1) ++counts_[message.to];
    if (targets.size() == 2) --counts_[targets.front()];
  }
  FirstQueries take() { return std::exchange(counts_, {}); }

 private:
  std::map<std::string, std::pair<TimePoint, std::vector<std::string>>> last_;  ///< by sender
  FirstQueries counts_;
};

// The replica that a node queries first sends it nearly everything that is new.
void first_queries_are_spread_after_outages() {
  constexpr int kNodes = 18;
  constexpr Duration kObserved(4000);
  const std::vector<std::string> replicas{"A", "B", "C"};
  ConsensusHarness harness(1);
  FirstQueryCounter counter;
  harness.run([&] {
    harness.first_set(replicas);
    std::string unreachable;
    harness.default_delivery([&](const Message& message) {
      const bool from_node = message.from.starts_with("R");
      if (from_node && message.kind == MessageKind::pull) counter.record(message, harness.world().now());
      const bool lost = message.to == unreachable || message.from == unreachable;
      return Delivery{lost ? Fate::drop : Fate::deliver};
    });
    for (const auto& name : replicas) harness.add_voting_replica(name);
    for (const auto& name : replicas) harness.cache(name).start();
    for (int i = 0; i < kNodes; ++i) {
      harness.add_client(fmt::format("R{}", i));
      harness.cache(fmt::format("R{}", i)).start();
    }
    for (const auto& name : replicas) {
      harness.sleep(kSettled);
      unreachable = name;
      harness.sleep(kOutage);
      unreachable.clear();
    }
    harness.sleep(kSettled);
    counter.take();
    harness.sleep(kObserved);
    const auto counts = counter.take();
    int sum = 0;
    for (const auto& [name, count] : counts) sum += count;
    for (const auto& name : replicas) {
      const auto found = counts.find(name);
      const int count = found == counts.end() ? 0 : found->second;
      expect(count * 2 <= sum, fmt::format("{} of {} pulls query {} first", count, sum, name));
      expect(count * 6 >= sum, fmt::format("only {} of {} pulls query {} first", count, sum, name));
    }
  });
}

// All kinds of connections are at their limits at once, including those to backend instances, of which each
// client request may use one.
void sockets_suffice() {
  constexpr size_t kListening = 4;
  for (int sockets = 40; sockets < 5000; ++sockets)
    for (bool disk : {false, true}) {
      auto budget = node::make_socket_budget(sockets, disk);
      auto most = kListening + 2 * budget.clients + budget.upstream_idle + budget.operators +
                  budget.readiness + budget.peers_served + budget.peers_called;
      expect(most <= static_cast<size_t>(sockets), fmt::format("{} of {} sockets", most, sockets));
      expect(budget.clients * 6 >= static_cast<size_t>(sockets), "clients get less than a sixth");
    }
  auto unbounded = node::make_socket_budget(0, true);
  expect(unbounded.clients == 0 && unbounded.peers_served > 1000,
         "an unknown number of sockets must not set limits");
}
}  // namespace

std::vector<Case> contact_cases() {
  return {{"contact: few of the known nodes are queried at a time", few_are_queried},
          {"contact: failing pulls back off, even while a caller waits", failing_pulls_back_off},
          {"contact: one good pull ends the backoff", one_good_pull_resets},
          {"contact: a pull is good once everything is received", good_pulls_know_everything},
          {"contact: a restarted replica continues above the version that others know",
           restarted_replicas_are_believed},
          {"contact: a node that learns of a later own status continues above it", own_status_goes_on_above},
          {"contact: distant replicas are heard again after an outage",
           distant_replicas_are_heard_after_an_outage},
          {"contact: a distant replica counts as silent only while it is",
           a_distant_replica_counts_as_silent_only_while_it_is},
          {"contact: no replica is queried first by most nodes after others were unreachable",
           first_queries_are_spread_after_outages},
          {"contact: all sockets at their limits are within the process's limit", sockets_suffice}};
}

}  // namespace dunlinwing::test
