// Every change is one Paxos round: prepare, read the highest accepted value, then propose either that value
// again or its successor.
#include "consensus/register_client.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "consensus/compare_and_set.hpp"
#include "consensus/register_reader.hpp"
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log logger("registers");
constexpr Duration kSlowOperation{100};        // operations that take longer are logged at level info
constexpr int kOperationTimeoutRounds = 5;     // time limit of an operation, in round timeouts
constexpr int kMaxRoundsWithoutQuorum = 3;     // rounds without a voting quorum before an operation gives up
constexpr int kMaxRewriteRounds = 10;          // rounds for each register to rewrite
constexpr size_t kConcurrentRewrites = 16;     // replicas sync concurrent votes in one write
constexpr size_t kMinReplicas = 3;             // the fewest that tolerate the loss of one
constexpr int kSetAnnouncementDivisor = 4;     // round timeout / this: time limit for announcing a new set
constexpr uint64_t kFirstBackOffDivisor = 32;  // round timeout / this: longest pause after the first round
constexpr int kMaxBackOffDoublings = 6;
// A reader that finds a value half written leaves it to its writer for this part of the round timeout, since
// a reader's proposal would take the ballot from a writer that is still active.
constexpr int kWriterPatienceDivisor = 4;
constexpr int kReadPauseDivisor = 32;  // round timeout / this: average pause before reading again

enum class ProposalOutcome {
  no_quorum,  ///< no quorum of voting replicas responded; nothing was proposed
  undecided,  ///< promises were refused, or the value may or may not have been accepted
  chosen,
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::no_quorum;
  pb::Value value;  ///< the chosen value; meaningful when `outcome` is chosen
};

/// Returns the value to propose when the given one is in force: its successor, or the same value again.
using NextValue = std::function<pb::Value(const pb::Value& current)>;

pb::Value same_value(const pb::Value& current) { return current; }

VersionedValue versioned(const pb::Value& value) { return {value.version(), value.data()}; }

}  // namespace

struct RegisterClient::Impl {
  base::Ports& ports;
  ReplicaSetView& set;
  const Duration round_timeout;
  const LocalMember local;
  VoteCollector collector{ports, set, round_timeout, local};
  TotalsByOperation totals{};

  // ---- Traces ----

  template <class Function>
  auto timed(Duration& sum, const Function& function) {
    const TimePoint began = ports.clock.now();
    auto result = function();
    sum += ports.clock.now() - began;
    return result;
  }

  /// Runs an operation, adds its trace to the totals and logs it.
  template <class Operation>
  auto traced(OperationType type, const std::string& name, const Operation& operation) {
    OperationTrace trace;
    auto result = operation(trace);
    totals[static_cast<size_t>(type)].add(trace);
    log_trace(type, name, trace);
    return result;
  }

  void log_trace(OperationType type, const std::string& name, const OperationTrace& trace) const {
    const bool notable = trace.lost_ballots > 0 || trace.total_time() > kSlowOperation;
    if (notable)
      logger.info("{}: {} of {}: {}.", local.node_name, label(type), name, trace.text());
    else
      logger.debug("{}: {} of {}: {}.", local.node_name, label(type), name, trace.text());
  }

  // Randomized exponential backoff between competing proposers.
  void back_off(int tries, OperationTrace& trace) {
    const uint64_t first = static_cast<uint64_t>(round_timeout.count()) / kFirstBackOffDivisor;
    const uint64_t longest = first * (uint64_t{1} << std::min(tries, kMaxBackOffDoublings));
    pause(Duration(1 + ports.random.below(longest + 1)), trace);
  }

  void pause(Duration duration, OperationTrace& trace) {
    trace.time(OperationPhase::backoff) += duration;
    ports.clock.sleep(duration);
  }

  // ---- Reads ----

  // Reads again while a value is half written, until its writer had time to complete it.
  std::optional<pb::Value> read_after_writer(RegisterReader& reader, OperationTrace& trace) {
    const TimePoint patience_end = ports.clock.now() + round_timeout / kWriterPatienceDivisor;
    for (;;) {
      auto attempt = read_once(reader, trace);
      if (!attempt.half_written || ports.clock.now() >= patience_end) return attempt.value;
      const auto longest = static_cast<uint64_t>(round_timeout.count()) / kReadPauseDivisor * 2;
      pause(Duration(1 + ports.random.below(longest)), trace);
    }
  }

  ReadAttempt read_once(RegisterReader& reader, OperationTrace& trace) {
    return timed(trace.time(OperationPhase::read), [&] { return reader.read(set); });
  }

  // ---- Proposals ----

  Votes request_promises(const std::string& name, const pb::Ballot& ballot) {
    pb::PeerRequest request;
    request.mutable_prepare()->set_name(name);
    *request.mutable_prepare()->mutable_ballot() = ballot;
    request.mutable_prepare()->set_without_value(true);
    return collector.collect_until_settled(request);
  }

  Votes request_accepts(const std::string& name, const pb::Ballot& ballot, const pb::Value& value) {
    pb::PeerRequest request;
    request.mutable_accept()->set_name(name);
    *request.mutable_accept()->mutable_ballot() = ballot;
    *request.mutable_accept()->mutable_value() = value;
    return collector.collect_until_settled(request);
  }

  // One Paxos round. If the outcome is undecided, the value may still be chosen.
  ProposalResult propose(RegisterReader& reader, const NextValue& next_value, OperationTrace& trace) {
    ++trace.rounds;
    auto result = run_round(reader, next_value, trace);
    if (result.outcome == ProposalOutcome::undecided) ++trace.lost_ballots;
    if (result.outcome == ProposalOutcome::no_quorum) ++trace.rounds_without_quorum;
    return result;
  }

  ProposalResult run_round(RegisterReader& reader, const NextValue& next_value, OperationTrace& trace) {
    ProposalResult result;
    const auto ballot = collector.next_ballot();
    const auto promises =
        timed(trace.time(OperationPhase::prepare), [&] { return request_promises(reader.name(), ballot); });
    if (collector.quorum_voting(promises.responses)) result.outcome = ProposalOutcome::undecided;
    const auto epoch = set.epoch();
    if (promises.expired || !collector.quorum_granted(promises.responses)) return result;
    const auto highest = highest_granted(promises.responses)->accepted();
    const auto current = timed(trace.time(OperationPhase::prepare),
                               [&] { return reader.value_at(highest, promises.responses); });
    if (!current || set.epoch() != epoch) return result;
    result.value = next_value(*current);
    const auto accepts = timed(trace.time(OperationPhase::accept),
                               [&] { return request_accepts(reader.name(), ballot, result.value); });
    if (!accepts.expired && set.epoch() == epoch && collector.quorum_granted(accepts.responses))
      result.outcome = ProposalOutcome::chosen;
    return result;
  }

  // ---- Operations ----

  ReadResult read(const std::string& name, const pb::RegisterState& known) {
    return traced(OperationType::read, name, [&](OperationTrace& trace) { return read(name, known, trace); });
  }

  ReadResult read(const std::string& name, const pb::RegisterState& known, OperationTrace& trace) {
    RegisterReader reader(collector, name, known);
    const TimePoint end = ports.clock.now() + round_timeout * kOperationTimeoutRounds;
    for (int i = 0, without_quorum = 0; i == 0 || ports.clock.now() < end; ++i) {
      if (const auto value = read_after_writer(reader, trace)) return versioned(*value);
      const auto result = propose(reader, same_value, trace);
      if (result.outcome == ProposalOutcome::chosen) return versioned(result.value);
      if (result.outcome == ProposalOutcome::no_quorum && ++without_quorum >= kMaxRoundsWithoutQuorum) break;
      back_off(i, trace);
    }
    return RegisterError::no_majority;
  }

  WriteResult write(const std::string& name, uint64_t expected_version, const std::string& data) {
    return traced(OperationType::write, name,
                  [&](OperationTrace& trace) { return write(name, expected_version, data, trace); });
  }

  WriteResult write(const std::string& name, uint64_t expected_version, const std::string& data,
                    OperationTrace& trace) {
    RegisterReader reader(collector, name, {});
    CompareAndSet operation(expected_version, data, base::random_token(ports.random));
    const TimePoint end = ports.clock.now() + round_timeout * kOperationTimeoutRounds;
    for (int i = 0, without_quorum = 0; i == 0 || ports.clock.now() < end; ++i) {
      // After an undecided round, read first: another proposer may have completed the write.
      if (i > 0)
        if (const auto value = read_once(reader, trace).value)
          if (auto written = operation.result_for(*value)) return *written;
      const auto result = propose(
          reader, [&](const pb::Value& current) { return operation.next_value(current); }, trace);
      if (result.outcome == ProposalOutcome::chosen)
        if (auto written = operation.result_for(result.value)) return *written;
      if (result.outcome == ProposalOutcome::no_quorum && ++without_quorum >= kMaxRoundsWithoutQuorum) break;
      back_off(i, trace);
    }
    return operation.proposed() ? RegisterError::outcome_unknown : RegisterError::no_majority;
  }

  /// Shared by the fibers that rewrite a list of registers.
  struct Rewrite {
    std::vector<std::string> names;
    size_t next = 0;      ///< the index of the first name not yet processed by a fiber
    size_t fibers = 0;    ///< still running
    bool failed = false;  ///< a register could not be rewritten; the remaining ones are skipped
    std::shared_ptr<base::Condition> condition;
  };

  bool rewrite_register(const std::string& name, const Rewrite& rewrite) {
    RegisterReader reader(collector, name, {});
    return traced(OperationType::rewrite, name, [&](OperationTrace& trace) {
      for (int i = 0; i < kMaxRewriteRounds && !rewrite.failed; ++i) {
        if (propose(reader, same_value, trace).outcome == ProposalOutcome::chosen) return true;
        back_off(i, trace);
      }
      return false;
    });
  }

  bool rewrite_registers(const std::vector<std::string>& names) {
    auto rewrite = std::make_shared<Rewrite>();
    rewrite->names = names;
    rewrite->fibers = std::min(kConcurrentRewrites, names.size());
    rewrite->condition = ports.tasks.condition();
    for (size_t i = rewrite->fibers; i > 0; --i)
      ports.tasks.spawn([this, rewrite] {
        while (!rewrite->failed && rewrite->next < rewrite->names.size()) {
          const auto& name = rewrite->names[rewrite->next++];
          if (!rewrite_register(name, *rewrite)) rewrite->failed = true;
        }
        --rewrite->fibers;
        rewrite->condition->notify();
      });
    while (rewrite->fibers > 0) rewrite->condition->wait(round_timeout);
    return !rewrite->failed;
  }

  // ---- Changes of the replica set ----

  // Makes the current set durable at its members; returns which of them confirmed it.
  MemberFlags announce_set(Duration timeout) {
    pb::PeerRequest request;
    *request.mutable_adopt()->mutable_replica_set() = set.message();
    auto all_answered = [](const PeerResponses& responses) {
      return std::all_of(responses.begin(), responses.end(),
                         [](const Response& response) { return response.has_value(); });
    };
    const auto responses = call_replicas(
        ports, set.all(), [&](size_t) { return request; }, timeout, all_answered, local);
    return flags(responses, is_granted);
  }

  // Replaces the set of `from_epoch` by `next`, with a quorum of the current set.
  ReplicaSetResult write_set(const pb::ReplicaSet& next, uint64_t from_epoch) {
    const auto read_result = read(kReplicaSetKey, {});
    const auto* recorded = as<VersionedValue>(read_result);
    if (!recorded) return ReplicaSetError::no_majority;
    pb::ReplicaSet recorded_set;
    recorded_set.ParseFromString(recorded->data);
    if (set.epoch() != from_epoch || recorded_set.epoch() > from_epoch) return ReplicaSetError::conflict;
    const auto written = write(kReplicaSetKey, recorded->version, next.SerializeAsString());
    if (as<VersionConflict>(written)) return ReplicaSetError::conflict;
    if (const auto* error = as<RegisterError>(written))
      return *error == RegisterError::no_majority ? ReplicaSetError::no_majority
                                                  : ReplicaSetError::outcome_unknown;
    set.adopt(next);
    announce_set(round_timeout / kSetAnnouncementDivisor);
    return next;
  }
};

RegisterClient::RegisterClient(base::Ports& ports, std::string node_name, ReplicaSetView& set,
                               Duration round_timeout, LocalReplica local)
    : impl_(new Impl{ports, set, round_timeout, {std::move(node_name), std::move(local)}}) {}

RegisterClient::~RegisterClient() = default;

const TotalsByOperation& RegisterClient::totals() const { return impl_->totals; }

size_t RegisterClient::sufficient_count() const { return impl_->set.sufficient_count(); }

const std::vector<Replica>& RegisterClient::replicas() const { return impl_->set.all(); }

ReplicaSetView& RegisterClient::replica_set() { return impl_->set; }

ReadResult RegisterClient::read(const std::string& name, const pb::RegisterState& known) {
  return impl_->read(name, known);
}

WriteResult RegisterClient::write(const std::string& name, uint64_t expected_version,
                                  const std::string& data) {
  return impl_->write(name, expected_version, data);
}

bool RegisterClient::rewrite(const std::vector<std::string>& names) {
  return impl_->rewrite_registers(names);
}

ReplicaSetResult RegisterClient::begin_change(const std::vector<Replica>& wanted) {
  const auto& set = impl_->set;
  if (set.joint() || wanted == set.current()) return ReplicaSetError::no_change;
  if (wanted.size() < set.current().size() && wanted.size() < kMinReplicas) return ReplicaSetError::too_few;
  const auto present = set.message();
  pb::ReplicaSet next;
  next.set_epoch(present.epoch() + 1);
  *next.mutable_previous() = present.replicas();
  for (const auto& replica : wanted) {
    auto* entry = next.add_replicas();
    entry->set_name(replica.name);
    entry->set_address(replica.address);
  }
  return impl_->write_set(next, present.epoch());
}

// The order of the steps matters. First a quorum adopts the joint set, so that no proposal can be chosen
// under the previous set any longer. Then all names are read, and every register is rewritten at a quorum of
// the joint set, which includes a majority of the new list. Only then may the old list stop counting.
ReplicaSetResult RegisterClient::finish_change(const RegisterNames& names) {
  auto& impl = *impl_;
  if (!impl.set.joint()) return ReplicaSetError::no_change;
  const auto present = impl.set.message();
  if (!impl.set.is_quorum(impl.announce_set(impl.round_timeout)) || impl.set.epoch() != present.epoch())
    return ReplicaSetError::no_majority;
  const auto all_names = names();
  if (!all_names || !impl.rewrite_registers(*all_names)) return ReplicaSetError::no_majority;
  if (impl.set.epoch() != present.epoch()) return ReplicaSetError::conflict;
  pb::ReplicaSet next;
  next.set_epoch(present.epoch() + 1);
  *next.mutable_replicas() = present.replicas();
  return impl.write_set(next, present.epoch());
}

ReplicaSetResult RegisterClient::change(const std::vector<Replica>& wanted, const RegisterNames& names) {
  if (impl_->set.joint()) {
    auto finished = finish_change(names);
    if (as<ReplicaSetError>(finished)) return finished;
  }
  auto begun = begin_change(wanted);
  if (as<ReplicaSetError>(begun)) return begun;
  return finish_change(names);
}

}  // namespace dunlinwing::consensus
