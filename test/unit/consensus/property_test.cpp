// Random schedules of the production consensus classes: continuous writers, concurrent and
// successive changes of the replica set, one lost disk at a time, crashes and restarts, and a
// network that drops and delays messages. The registers have to stay linearizable.
//
// The schedule's steps run in the script; the calls of a node run in fibers of its process and end
// with it.
#include <algorithm>

#include "unit/consensus/consensus_harness.hpp"
#include "unit/consensus/consensus_history.hpp"
#include "unit/consensus/consensus_schedule.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

using consensus::Replica;
using consensus::VersionedValue;
using ReplicaList = std::vector<Replica>;

constexpr size_t kFewestChangesOfAllSchedules = 20, kFewestLossesOfAllSchedules = 20;
constexpr uint64_t kSlowMs = kRoundLimit.count() * 3 / 2,
                   kUsualMs = 4;  // some are slower than the round limit
constexpr Duration kCatchUpPause = kStalenessBound / 8;
constexpr Duration kWarmUp = kStalenessBound / 4, kHealing = kStalenessBound;
struct WrittenRegister {
  std::string name;
  uint64_t longest_pause_ms;  // of each writer; a rarely written register stays at its replicas for long
};
const std::vector<WrittenRegister> kRegisters{{"r", 240}, {"s", 2000}};
const std::vector<std::string> kWriters{"W1", "W2"};
const std::vector<std::string> kDiskNames{"A", "B", "C", "D", "E", "F", "G"};
constexpr size_t kChangers = 2;  // nodes that begin and finish changes

// Counts what the schedules exercised, to detect a property that tests nothing.
struct Tally {
  size_t acknowledged = 0, reads = 0, cached_reads = 0, begun = 0, finished = 0, losses = 0, refills = 0;
  void add(const Tally& other) {
    acknowledged += other.acknowledged, reads += other.reads, cached_reads += other.cached_reads;
    begun += other.begun, finished += other.finished, losses += other.losses, refills += other.refills;
  }
};

std::string describe(const ReplicaList& list) {
  std::string names;
  for (auto& replica : list) names += replica.name;
  return names;
}

// Runs one schedule.
class ScheduleRun {
 public:
  explicit ScheduleRun(const Schedule& schedule) : schedule_(schedule), harness_(schedule.seed) {
    disk_names_.assign(kDiskNames.begin(),
                       kDiskNames.begin() + static_cast<long>(schedule.replicas + schedule.newcomers));
    node_names_ = disk_names_;
    node_names_.insert(node_names_.end(), kWriters.begin(), kWriters.end());
  }

  void run() {
    harness_.run([this] {
      set_up();
      harness_.sleep(kWarmUp);
      for (auto& step : schedule_.steps) {
        take(step);
        harness_.sleep(Duration(step.pause_ms));
      }
      heal_and_read();
      for (auto& name : node_names_) crash(name);
    });
  }

  const History& history() const { return history_; }
  const Tally& tally() const { return tally_; }

 private:
  void set_up() {
    harness_.default_delivery([this](const Message& message) { return delivery(message); });
    std::vector<std::string> first(disk_names_.begin(),
                                   disk_names_.begin() + static_cast<long>(schedule_.replicas));
    harness_.first_set(first);
    for (auto& name : first) harness_.add_voting_replica(name);
    for (size_t i = schedule_.replicas; i < disk_names_.size(); ++i)
      harness_.add_empty_replica(disk_names_[i]);
    for (auto& name : kWriters) harness_.add_client(name);
    for (auto& name : node_names_) begin_tasks(name);
  }

  bool chance(int permille) { return harness_.world().random(permille); }
  Duration some_delay() {
    return Duration(1 + harness_.world().below(chance(schedule_.slow_permille) ? kSlowMs : kUsualMs));
  }

  Delivery delivery(const Message& message) {
    bool cut = message.from == isolated_node_ || message.to == isolated_node_;
    if (cut || chance(schedule_.dropped_permille)) return {Fate::drop};
    return {Fate::deliver, some_delay(), some_delay(), chance(schedule_.dropped_permille)};
  }

  void note(const std::string& line) { history_.note(harness_.world().now(), line); }

  // Suspends a task of a node; ends early when the node crashes.
  void nap(const simulation::ProcessRunPtr& pauses, Duration span) {
    simulation::Wait wait;
    harness_.world().wait(pauses, span, wait);
  }

  void begin_tasks(const std::string& name) {
    auto pauses = pauses_[name] = std::make_shared<simulation::ProcessRun>();
    pauses->host = name;
    changing_.erase(name);
    harness_.cache(name).start();
    bool writer = std::find(kWriters.begin(), kWriters.end(), name) != kWriters.end();
    if (!writer) return harness_.spawn(name, [this, name, pauses] { keep_copies_rewritten(name, pauses); });
    for (auto& register_name : kRegisters)
      harness_.spawn(name,
                     [this, name, register_name, pauses] { keep_writing(name, register_name, pauses); });
  }

  void crash(const std::string& name) {
    if (!harness_.running(name)) return;
    harness_.world().kill(pauses_.at(name));
    harness_.crash(name);
  }

  void restart(const std::string& name) {
    crash(name);
    harness_.restart(name);
    begin_tasks(name);
  }

  // As ReplicaRepair does.
  void keep_copies_rewritten(const std::string& name, const simulation::ProcessRunPtr& pauses) {
    for (;; nap(pauses, kCatchUpPause)) {
      if (harness_.acceptor(name).non_voting()) continue;
      auto copied = harness_.acceptor(name).refilled_registers();
      if (!copied.empty() && harness_.client(name).rewrite(copied))
        note(name + " rewrote its refilled registers");
    }
  }

  void keep_writing(const std::string& name, const WrittenRegister& written_register,
                    const simulation::ProcessRunPtr& pauses) {
    auto& register_name = written_register.name;
    VersionedValue known;
    for (;; nap(pauses, Duration(1 + harness_.world().below(written_register.longest_pause_ms)))) {
      auto began = history_.latest_version(register_name);
      auto data = history_.successor(name, known);
      auto result = harness_.client(name).write(register_name, known.version, data);
      if (auto* written = std::get_if<VersionedValue>(&result)) {
        ++tally_.acknowledged;
        if (written->version != known.version + 1) history_.add_violation("a write skips versions");
        known = *written;
      } else if (auto* conflict = std::get_if<consensus::VersionConflict>(&result)) {
        known = conflict->current;
      } else {
        continue;
      }
      history_.observe(harness_.world().now(), {name, "write", register_name, began}, known);
    }
  }

  void read(const std::string& name, const std::string& register_name) {
    auto began = history_.latest_version(register_name);
    auto result = harness_.client(name).read(register_name);
    auto* value = std::get_if<VersionedValue>(&result);
    if (!value) return;
    ++tally_.reads;
    history_.observe(harness_.world().now(), {name, "read", register_name, began}, *value);
  }

  // A successful pull that starts after this call began returns everything acknowledged before.
  void cached_read(const std::string& name, const std::string& register_name) {
    auto began = history_.latest_version(register_name);
    if (!harness_.cache(name).await_pull(kStalenessBound)) return;
    ++tally_.cached_reads;
    auto& chosen = harness_.cache(name).chosen();
    auto found = chosen.find(register_name);
    history_.observe(harness_.world().now(), {name, "cached read", register_name, began},
                     found == chosen.end() ? VersionedValue{} : found->second);
  }

  // The list that `name` proposes: one replica replaced, added or removed.
  ReplicaList wanted_list(const std::string& name, size_t choice) {
    auto list = harness_.replica_set(name).current();
    ReplicaList outsiders;
    for (auto& disk_name : disk_names_)
      if (!consensus::contains_name(list, disk_name)) outsiders.push_back(replica_named(disk_name));
    size_t place = choice % list.size();
    enum class Edit : uint8_t { replace, add, drop };
    auto edit = static_cast<Edit>(choice / list.size() % 3);
    if (edit == Edit::drop && list.size() > kFewestReplicas)
      list.erase(list.begin() + static_cast<long>(place));
    else if (outsiders.empty())
      return list;
    else if (edit == Edit::add)
      list.push_back(outsiders[choice % outsiders.size()]);
    else
      list[place] = outsiders[choice % outsiders.size()];
    return list;
  }

  // As ReplicaRepair requires: in the view of `name`, a majority of the list already votes.
  bool majority_votes(const std::string& name, const ReplicaList& list) {
    auto& present = harness_.replica_set(name).current();
    auto voting = std::count_if(list.begin(), list.end(), [&](auto& replica) {
      return consensus::contains(present, replica) && harness_.cache(name).is_voting(replica.name);
    });
    return static_cast<size_t>(voting) >= consensus::majority_of(list.size());
  }

  void begin_change(const std::string& name, size_t choice) {
    auto list = wanted_list(name, choice);
    if (!majority_votes(name, harness_.replica_set(name).current()) || !majority_votes(name, list)) return;
    note(name + " begins a change to " + describe(list));
    auto result = harness_.client(name).begin_change(list);
    auto* begun = std::get_if<pb::ReplicaSet>(&result);
    if (!begun) return note(name + " did not begin the change to " + describe(list));
    ++tally_.begun;
    note(fmt::format("{} began epoch {}", name, begun->epoch()));
  }

  void finish_change(const std::string& name) {
    note(name + " finishes the current change");
    auto result = harness_.client(name).finish_change(
        [this, name] { return harness_.cache(name).register_names(kStalenessBound); });
    auto* finished = std::get_if<pb::ReplicaSet>(&result);
    if (!finished) return note(name + " did not finish the change");
    ++tally_.finished;
    note(fmt::format("{} finished, epoch {}", name, finished->epoch()));
  }

  // The first nodes by name that are running and voting.
  std::vector<std::string> changers() {
    std::vector<std::string> names;
    for (auto& name : disk_names_)
      if (names.size() < kChangers && harness_.running(name) && !harness_.acceptor(name).non_voting())
        names.push_back(name);
    return names;
  }

  void change(const std::string& name, size_t choice) {
    if (!changing_.insert(name).second) return;
    harness_.spawn(name, [this, name, choice] {
      if (harness_.replica_set(name).joint())
        finish_change(name);
      else
        begin_change(name, choice);
      changing_.erase(name);
    });
  }

  // One disk at a time: the previous one has to vote again, without refilled registers.
  bool may_lose_disk() {
    if (last_lost_disk_.empty()) return true;
    if (!harness_.running(last_lost_disk_) || harness_.acceptor(last_lost_disk_).non_voting()) return false;
    if (!harness_.acceptor(last_lost_disk_).refilled_registers().empty()) return false;
    ++tally_.refills;
    return true;
  }

  void lose_disk(const std::string& name) {
    if (!may_lose_disk()) return;
    last_lost_disk_ = name;
    ++tally_.losses;
    note(name + " loses its disk");
    crash(name);
    harness_.lose_disk(name);
    begin_tasks(name);
  }

  void read_somewhere(const Step& step) {
    auto& name = node_names_[step.node % node_names_.size()];
    auto& register_name = kRegisters[step.choice % kRegisters.size()].name;
    if (!harness_.running(name)) return;
    if (step.kind == StepKind::read)
      harness_.spawn(name, [this, name, register_name] { read(name, register_name); });
    else
      harness_.spawn(name, [this, name, register_name] { cached_read(name, register_name); });
  }

  void take(const Step& step) {
    auto& node = node_names_[step.node % node_names_.size()];
    switch (step.kind) {
      case StepKind::change:
        if (auto names = changers(); !names.empty()) change(names[step.node % names.size()], step.choice);
        return;
      case StepKind::rival_changes:
        for (auto choice = step.choice; auto& name : changers()) change(name, choice += step.node);
        return;
      case StepKind::crash:
        note(node + " crashes");
        return crash(node);
      case StepKind::restart:
        note(node + " restarts");
        return restart(node);
      case StepKind::lose_disk:
        return lose_disk(disk_names_[step.node % disk_names_.size()]);
      case StepKind::cut_off:
        isolated_node_ = isolated_node_.empty() ? node : "";
        return note(isolated_node_.empty() ? "no node is isolated" : isolated_node_ + " is isolated");
      case StepKind::read:
      case StepKind::cached_read:
        return read_somewhere(step);
    }
  }

  void heal_and_read() {
    note("the network heals and all nodes run");
    isolated_node_.clear();
    harness_.default_delivery([](const Message&) { return Delivery{Fate::deliver}; });
    for (auto& name : node_names_)
      if (!harness_.running(name)) restart(name);
    harness_.sleep(kHealing);
    for (auto& name : node_names_)
      for (auto& written : kRegisters)
        harness_.spawn(name, [this, name, register_name = written.name] {
          read(name, register_name);
          cached_read(name, register_name);
        });
    harness_.sleep(kHealing);
  }

  const Schedule& schedule_;
  ConsensusHarness harness_;
  std::vector<std::string> disk_names_, node_names_;
  std::map<std::string, simulation::ProcessRunPtr> pauses_;  // of each node's tasks
  std::set<std::string> changing_;                           // nodes with a change in progress
  std::string last_lost_disk_, isolated_node_;
  History history_;
  Tally tally_;
};

Case linearizable(const std::string& name) {
  return {name, [=] {
            Tally all;
            auto holds = rc::check(name, [&] {
              auto schedule = any_schedule();
              ScheduleRun run(schedule);
              run.run();
              all.add(run.tally());
              RC_CLASSIFY(run.tally().finished >= 2, "two changes or more finished");
              RC_CLASSIFY(run.tally().losses >= 1, "a disk lost");
              RC_CLASSIFY(run.tally().refills >= 1, "a lost disk refilled before the next loss");
              if (!run.history().violations().empty()) RC_FAIL(run.history().report());
            });
            fmt::print(
                "{}: {} writes acknowledged, {} reads and {} cached ones, {} changes begun and {} "
                "finished, {} disks lost, {} refilled before the next\n",
                name, all.acknowledged, all.reads, all.cached_reads, all.begun, all.finished, all.losses,
                all.refills);
            expect(holds, "the property does not hold; RapidCheck's report is above");
            expect(all.finished >= kFewestChangesOfAllSchedules, "the schedules finished too few changes");
            expect(all.losses >= kFewestLossesOfAllSchedules, "the schedules lost too few disks");
          }};
}

}  // namespace

std::vector<Case> consensus_property_cases() {
  return {linearizable("consensus: registers are linearizable under any schedule")};
}

}  // namespace dunlinwing::test
