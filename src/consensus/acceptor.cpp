#include "consensus/acceptor.hpp"

#include "base/log.hpp"
#include "consensus/record_writer.hpp"
#include "consensus/refill.hpp"
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log logger("consensus");
// The pause between two surveys of a refill is the round timeout divided by this.
constexpr int kSurveyPauseDivisor = 4;

using Registers = std::map<std::string, pb::RegisterState>;

pb::LogRecord record_of(const pb::RegisterState& state) {
  pb::LogRecord record;
  *record.mutable_register_state() = state;
  return record;
}

pb::PeerResponse non_voting_response() {
  pb::PeerResponse response;
  response.mutable_vote()->set_non_voting(true);
  return response;
}
}  // namespace

/// The replica's state in memory, and its refill. The fibers that it starts keep it alive.
struct Acceptor::Impl : std::enable_shared_from_this<Acceptor::Impl> {
  base::Ports& ports;
  base::Disk& disk;
  const std::string node_name;
  ReplicaSetView& set;
  const Duration round_timeout;
  RecordWriter writer;

  uint64_t epoch = 0;         ///< of the set in memory; requests below it are rejected; never decreases
  uint64_t synced_epoch = 0;  ///< of the replica set that is on the disk; never above `epoch`
  pb::ReplicaStage stage = pb::REPLICA_EMPTY;
  std::optional<pb::InitialBoot> initial_boot;
  bool refilling = false;  ///< a fiber executes run_refill(); at most one does

  Registers registers;  ///< used for votes; may be ahead of the disk
  Registers synced;     ///< the states on the disk; only these are sent to other nodes
  std::map<std::string, uint64_t> change_numbers;  ///< by register: the last change of its accepted value
  uint64_t change_count = 0;                       ///< the highest number in `change_numbers`
  uint64_t boot_id = 0;                            ///< identifies this start of the process; never 0

  Impl(base::Ports& ports, base::Disk& disk, std::string node_name, ReplicaSetView& set, Duration timeout)
      : ports(ports),
        disk(disk),
        node_name(std::move(node_name)),
        set(set),
        round_timeout(timeout),
        writer(ports, disk, this->node_name, timeout, writer_owner()) {}

  RecordWriterOwner writer_owner() {
    return {[this] { return snapshot(); }, [this](const pb::LogRecord& record) { publish(record); },
            [this](const pb::Snapshot& snapshot) { publish_snapshot(snapshot); },
            [this] {
              if (stage != pb::REPLICA_VOTING && !refilling) spawn([this] { run_refill(false); });
            },
            [this](std::function<void()> task) { spawn(std::move(task)); }};
  }

  void spawn(std::function<void()> task) {
    ports.tasks.spawn([self = shared_from_this(), task = std::move(task)] { task(); });
  }

  bool non_voting() const { return writer.failed() || stage != pb::REPLICA_VOTING; }

  // ---- State in memory ----

  pb::Snapshot snapshot() const {
    pb::Snapshot all;
    all.set_stage(stage);
    if (epoch) *all.mutable_replica_set() = set.message();
    if (initial_boot && stage == pb::REPLICA_EMPTY) *all.mutable_initial_boot() = *initial_boot;
    for (const auto& [name, state] : registers) *all.add_registers() = state;
    return all;
  }

  void restore(const pb::Snapshot& snapshot) {
    stage = snapshot.stage();
    set.adopt(snapshot.replica_set());
    epoch = synced_epoch = snapshot.replica_set().epoch();
    for (const auto& state : snapshot.registers()) {
      registers[state.name()] = synced[state.name()] = state;
      change_numbers[state.name()] = ++change_count;
    }
    if (stage == pb::REPLICA_EMPTY && snapshot.has_initial_boot()) initial_boot = snapshot.initial_boot();
  }

  // Whether nothing was ever recorded on the disk.
  bool is_new() const {
    return !initial_boot && stage == pb::REPLICA_EMPTY && registers.empty() && epoch == 0;
  }

  // Makes a record that is on the disk visible to other nodes.
  void publish(const pb::LogRecord& record) {
    if (record.has_replica_set()) synced_epoch = std::max(synced_epoch, record.replica_set().epoch());
    if (record.has_register_state()) publish_register(record.register_state());
  }

  void publish_register(const pb::RegisterState& state) {
    auto& published = synced[state.name()];
    if (!is_equal(published.accepted(), state.accepted())) change_numbers[state.name()] = ++change_count;
    published = state;
  }

  void publish_snapshot(const pb::Snapshot& snapshot) {
    if (snapshot.has_replica_set()) synced_epoch = std::max(synced_epoch, snapshot.replica_set().epoch());
    for (const auto& state : snapshot.registers()) publish_register(state);
  }

  // ---- Requests ----

  pb::PeerResponse answer_snapshot() const {
    pb::PeerResponse response;
    if (writer.failed()) {
      response.set_error("the disk failed");
      return response;
    }
    auto* snapshot = response.mutable_snapshot();
    snapshot->set_stage(stage);
    *snapshot->mutable_replica_set() = set.message();
    for (const auto& [name, state] : synced) *snapshot->add_registers() = state;
    return response;
  }

  pb::PeerResponse answer_adopt(const pb::AdoptReplicaSet& request) {
    const bool adopted = !writer.failed() && !writer.stalled() && adopt(request.replica_set());
    pb::PeerResponse response;
    response.mutable_vote()->set_granted(adopted);
    return response;
  }

  pb::PeerResponse answer_read(const pb::ReadRegister& request) const {
    pb::PeerResponse response;
    auto* vote = response.mutable_vote();
    vote->set_granted(true);
    if (auto found = synced.find(request.name()); found != synced.end())
      *vote->mutable_register_state() = found->second;
    if (request.without_value()) vote->mutable_register_state()->clear_value();
    return response;
  }

  // Applies the vote and syncs it before it responds: only a synced vote may be counted.
  pb::PeerResponse answer_vote(const VoteStep& step) {
    if (step.granted) {
      registers[step.state.name()] = step.state;
      if (!writer.sync({record_of(step.state)})) return non_voting_response();
    }
    pb::PeerResponse response;
    response.mutable_vote()->set_granted(step.granted);
    *response.mutable_vote()->mutable_register_state() = step.state;
    return response;
  }

  // The proposer needs only the ballots of an accept vote, and of a vote that was refused.
  static pb::PeerResponse without_value(pb::PeerResponse response) {
    response.mutable_vote()->mutable_register_state()->clear_value();
    return response;
  }

  // Returns true once the set, or a newer one, is on the disk. Requests with lower epochs are rejected as
  // soon as the set is in memory.
  bool adopt(const pb::ReplicaSet& newer) {
    if (newer.epoch() <= synced_epoch) return true;
    set.adopt(newer);
    epoch = std::max(epoch, newer.epoch());
    pb::LogRecord record;
    *record.mutable_replica_set() = set.message();  // this set, or a newer one already in memory
    return writer.sync({record}) && synced_epoch >= newer.epoch();
  }

  // ---- Refill ----

  std::vector<Replica> other_replicas() const {
    std::vector<Replica> others;
    for (const auto& replica : set.all())
      if (replica.name != node_name) others.push_back(replica);
    return others;
  }

  void enter_stage(pb::ReplicaStage next) {
    stage = next;
    pb::LogRecord record;
    record.set_stage(next);
    if (writer.sync({record}))
      logger.info("The disk of replica {} is now {}.", node_name, pb::ReplicaStage_Name(next));
  }

  // Requests a snapshot from every other replica and waits for all of them, at most one round timeout.
  RefillSurvey survey() {
    const auto others = other_replicas();
    pb::PeerRequest request;
    request.mutable_snapshot()->set_node(node_name);
    const auto responses = call_replicas(
        ports, others, [&](size_t) { return request; }, round_timeout, [](auto&) { return false; });
    RefillSurvey survey;
    survey.requested = others.size();
    for (size_t i = 0; i < responses.size(); ++i)
      if (responses[i] && responses[i]->has_snapshot())
        add_response(survey, others[i], responses[i]->snapshot(), set);
    return survey;
  }

  // Stores the registers that the other replicas reported, in one sync. They are marked as refilled: this
  // replica did not accept them, so they do not count as votes.
  bool store_registers(Registers& reported) {
    std::vector<pb::LogRecord> records;
    for (auto& [name, state] : reported) {
      state.set_name(name);
      state.set_refilled(state.accepted().round() > 0);
      registers[name] = state;
      records.push_back(record_of(state));
    }
    return writer.sync(records);
  }

  // Stores the current replica set and the reported registers, then votes. Returns false when the disk fails.
  bool adopt_state(RefillSurvey& survey) {
    if (!adopt(set.message()) || !store_registers(survey.registers)) return false;
    logger.info("Replica {} was refilled with {} registers from {} voting replicas.", node_name,
                survey.registers.size(), survey.voting);
    enter_stage(pb::REPLICA_VOTING);
    return true;
  }

  // Stores the replica set first: a joining disk always has one. Returns false when the disk fails.
  bool become_joining() {
    if (!adopt(set.message())) return false;
    enter_stage(pb::REPLICA_JOINING);
    return true;
  }

  bool record_initial_boot() {
    pb::LogRecord record;
    *record.mutable_initial_boot() = *initial_boot;
    return writer.sync({record});
  }

  // Refills until the disk votes; a failed sync restarts it, at once or when the disk has recovered. Only one
  // fiber may do so: a second one could overwrite a newer vote with registers from an older survey.
  void run_refill(bool is_initial_boot) {
    refilling = true;
    do refill(is_initial_boot);
    while (stage != pb::REPLICA_VOTING && !writer.failed());
    refilling = false;
  }

  // Returns once the disk votes or fails. The seeds of the initial boot are recorded first, so that they
  // survive a restart during the refill.
  void refill(bool is_initial_boot) {
    if (is_initial_boot && !initial_boot->seeds().empty() && !record_initial_boot()) return;
    if (stage == pb::REPLICA_EMPTY) ports.clock.sleep(round_timeout);
    bool reported_undecidable = false;
    while (stage != pb::REPLICA_VOTING && !writer.failed()) {
      if (!set.has(node_name)) {  // not a replica yet, or the replica set is unknown
        pause_between_surveys();
        continue;
      }
      auto result = survey();
      const auto step = next_step(result, stage, set, node_name, initial_boot.has_value());
      if (step == RefillStep::undecidable && !std::exchange(reported_undecidable, true))
        logger.warn(
            "Replica {} cannot vote: its disk is empty, and the other replicas cannot tell whether "
            "anything was ever recorded.",
            node_name);
      if (!execute_step(step, result)) return;
    }
  }

  // Executes the step. Returns false when the disk fails.
  bool execute_step(RefillStep step, RefillSurvey& result) {
    switch (step) {
      case RefillStep::adopt_state:
        return adopt_state(result);
      case RefillStep::become_joining:
        return become_joining();
      case RefillStep::become_voting:
        enter_stage(pb::REPLICA_VOTING);
        return true;
      case RefillStep::undecidable:
      case RefillStep::survey_again:
        pause_between_surveys();
        return true;
    }
    return true;
  }

  void pause_between_surveys() { ports.clock.sleep(round_timeout / kSurveyPauseDivisor); }
};

Acceptor::Acceptor(base::Ports& ports, base::Disk& disk, std::string node_name, ReplicaSetView& set,
                   Duration round_timeout)
    : impl_(std::make_shared<Impl>(ports, disk, std::move(node_name), set, round_timeout)) {}

Acceptor::~Acceptor() = default;

void Acceptor::start(const std::optional<pb::InitialBoot>& initial_boot) {
  auto& impl = *impl_;
  const auto loaded = impl.disk.load();
  impl.boot_id = impl.ports.random.draw() | 1;
  impl.restore(loaded.snapshot);
  logger.info("The disk of replica {} is {} and holds {} registers.", impl.node_name,
              pb::ReplicaStage_Name(impl.stage), impl.registers.size());
  const bool is_initial_boot = initial_boot && impl.is_new();
  if (is_initial_boot) impl.initial_boot = initial_boot;
  if (loaded.unwritten) impl.writer.start_recovery();
  if (impl.stage != pb::REPLICA_VOTING)
    impl.spawn([&impl, is_initial_boot] { impl.run_refill(is_initial_boot); });
}

std::optional<pb::InitialBoot> Acceptor::initial_boot() const { return impl_->initial_boot; }

bool Acceptor::non_voting() const { return impl_->non_voting(); }

bool Acceptor::adopt(const pb::ReplicaSet& set) { return impl_->adopt(set); }

std::vector<std::string> Acceptor::refilled_registers() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : impl_->synced)
    if (state.refilled()) names.push_back(name);
  return names;
}

pb::PeerResponse Acceptor::handle(const pb::PeerRequest& request) {
  auto& impl = *impl_;
  if (request.has_snapshot()) return impl.answer_snapshot();
  if (request.has_adopt()) return impl.answer_adopt(request.adopt());
  if (request.epoch() < impl.epoch) {
    auto response = non_voting_response();
    *response.mutable_vote()->mutable_newer_set() = impl.set.message();
    return response;
  }
  if (non_voting() || (impl.writer.stalled() && !request.has_read_register())) return non_voting_response();
  if (request.has_prepare()) {
    auto response = impl.answer_vote(prepare(impl.registers[request.prepare().name()], request.prepare()));
    const bool needs_value = response.vote().granted() && !request.prepare().without_value();
    return needs_value ? response : Impl::without_value(std::move(response));
  }
  if (request.has_accept())
    return Impl::without_value(
        impl.answer_vote(accept(impl.registers[request.accept().name()], request.accept())));
  return impl.answer_read(request.read_register());
}

void Acceptor::append_changes(const ChangePosition& seen, const HeldRegisters& held, uint64_t max_bytes,
                              pb::PullResponse& response) const {
  const auto& impl = *impl_;
  response.set_boot_id(impl.boot_id);
  response.set_non_voting(non_voting());
  if (impl.epoch) *response.mutable_replica_set() = impl.set.message();
  response.set_adopted_epoch(impl.synced_epoch);
  response.set_position(0);  // no change is included yet
  if (non_voting()) return;
  const uint64_t position = seen.boot_id == impl.boot_id ? seen.position : 0;
  std::map<uint64_t, const std::string*> names_by_change;
  for (const auto& [name, number] : impl.change_numbers)
    if (number > position) names_by_change[number] = &name;
  std::map<std::string, const pb::Ballot*> held_ballots;
  for (const auto& entry : held) held_ballots[entry.name()] = &entry.accepted();
  size_t bytes = 0;
  for (const auto& [number, name] : names_by_change) {
    const auto& state = impl.synced.at(*name);
    if (const auto found = held_ballots.find(*name);
        found != held_ballots.end() && !state.refilled() && is_equal(*found->second, state.accepted())) {
      auto* unchanged = response.add_unchanged();
      unchanged->set_name(*name);
      *unchanged->mutable_accepted() = state.accepted();
      response.set_position(number);
      continue;
    }
    bytes += state.ByteSizeLong();
    if (max_bytes && bytes > max_bytes && response.registers_size() > 0) return response.set_more(true);
    *response.add_registers() = state;
    response.set_position(number);
  }
  response.set_position(impl.change_count);
}

}  // namespace dunlinwing::consensus
