#include "membership/state_cache.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "consensus/vote.hpp"
#include "membership/deregistered.hpp"
#include "membership/own_status.hpp"
#include "membership/pull_responder.hpp"
#include "membership/pull_schedule.hpp"
#include "membership/pull_targets.hpp"
#include "membership/read_lease_log.hpp"
#include "membership/replica_responses.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("membership");
// In fleets of this size, a node without a replica queries only as many replicas as it needs.
constexpr size_t kLargeFleet = 32;
// Size limit of a response: a minimum, and per known node more than the size of its status, because all
// changes between two pulls must fit.
constexpr uint64_t kMinResponseBytes = 64 << 10, kResponseBytesPerNode = 2 << 10;
constexpr size_t kMinHeldBytes = 200;    // smaller values cost less than saying that they are held
constexpr int kOwnStatusesPerBound = 4;  // minimum, even if nothing urgent has changed
}  // namespace

struct StateCache::Impl {
  /// A pull in progress.
  struct Pull {
    TimePoint start;
    uint64_t epoch;  ///< of the replica set that is queried
    std::vector<consensus::Replica> replicas;
    consensus::MemberFlags voting;  ///< the replicas that responded completely, as voting ones
    std::vector<pb::PullResponse> responses;
    bool more = false;  ///< some replica has more to report
    pb::PeerRequest request;
  };

  /// A caller that waits for a good pull.
  struct Waiter {
    TimePoint since;
    std::shared_ptr<base::Condition> condition;
  };

  base::Ports& ports;
  StateCacheConfig config;
  consensus::RegisterClient& registers;
  consensus::Acceptor* local_acceptor;  ///< null: this node has no replica
  std::function<void()> on_good_pull;

  StatusTable statuses;
  PullResponder responder;
  ReplicaResponses responses;
  ChosenValues chosen;
  std::set<std::string> unsettled;    ///< registers whose chosen value may have changed
  uint64_t deregistered_version = 0;  ///< of the register of deregistered instances, as last read
  PullTargets targets;
  OwnStatus own_status;

  std::atomic<int64_t> read_lease_end{0};  ///< in milliseconds of the clock; read by other threads
  ReadLeaseLog read_lease_log;
  TimePoint contact_since{0};  ///< when this node's contact with a quorum last began

  PullSchedule schedule;
  std::vector<Waiter> waiters;
  bool pull_requested = false;                 ///< the next pull should begin at once
  std::shared_ptr<base::Condition> next_pull;  ///< where the task waits between pulls; null: it does not wait

  Impl(base::Ports& ports, StateCacheConfig config, consensus::RegisterClient& registers,
       consensus::Acceptor* local_acceptor, std::function<void(pb::NodeStatus&)> fill_own_status,
       std::function<void()> on_good_pull)
      : ports(ports),
        config(std::move(config)),
        registers(registers),
        local_acceptor(local_acceptor),
        on_good_pull(std::move(on_good_pull)),
        statuses(this->config.session_span()),
        responder(statuses, local_acceptor, this->config.session_span()),
        responses(this->config.response_lifetime()),
        targets(this->config.node_name, local_acceptor != nullptr, this->config.bound,
                this->config.pull_period()),
        own_status(this->config.node_name, this->config.bound / kOwnStatusesPerBound,
                   std::move(fill_own_status)),
        read_lease_log(this->config.node_name),
        schedule(ports.random, this->config.pull_period()) {}

  /// Finds the chosen value of a register: as a quorum reported it, else by a read; nothing if that fails.
  std::optional<consensus::VersionedValue> find_chosen(const std::string& name) {
    if (auto* state = responses.latest_at_quorum(registers.replica_set(), name, ports.clock.now()))
      return consensus::VersionedValue{state->value().version(), state->value().data()};
    const auto* latest = responses.latest(registers.replica_set(), name);
    auto read = registers.read(name, latest ? *latest : pb::RegisterState());
    auto* found = std::get_if<consensus::VersionedValue>(&read);
    return found ? std::optional(*found) : std::nullopt;
  }

  /// Updates `chosen` for the unsettled registers; false when a register could not be read.
  bool update_chosen() {
    for (auto next = unsettled.begin(); next != unsettled.end();) {
      auto name = *next;
      auto value = find_chosen(name);
      if (!value) return false;
      auto& known = chosen[name];
      if (value->version > known.version) known = *value;
      next = unsettled.erase(unsettled.find(name));
    }
    return true;
  }

  /// Handles a change of the replica set: the chosen values have to be determined again under the new set.
  PullResult restart_under_new_set() {
    if (local_acceptor) local_acceptor->adopt(registers.replica_set().message());
    for (const auto& name : responses.names()) unsettled.insert(name);
    logger.info("{}: switched to the replica set of epoch {}.", config.node_name,
                registers.replica_set().epoch());
    return PullResult::failed;
  }

  /// Adds this node's status to `pull` if it is due or something urgent has changed.
  void add_own_status(pb::PullRequest& pull, TimePoint now) {
    const auto status = own_status.next(now);
    if (!status) return;
    statuses.merge(*status, now);
    *pull.mutable_own_status() = *status;
  }

  void process_response(Pull& pull, size_t index, const pb::PullResponse& reply, TimePoint requested_at) {
    const auto& replica = pull.replicas[index].name;
    auto now = ports.clock.now();
    // A replica that has not made the current set durable may still vote under the previous one.
    pull.voting[index] = !reply.non_voting() && !reply.more() && reply.adopted_epoch() >= pull.epoch;
    pull.more |= reply.more();
    for (const auto& name : responses.record(replica, reply, requested_at, now)) unsettled.insert(name);
    for (const auto& status : reply.statuses())
      if (status.source() == config.node_name)
        own_status.raise_above(status.version());
      else
        statuses.merge(status, now);
    registers.replica_set().adopt(reply.replica_set());
    pull.responses.push_back(reply);
  }

  /// Lists in the request the larger values that this pull has received already.
  static void set_held_registers(Pull& pull) {
    auto& request = *pull.request.mutable_pull();
    request.clear_held();
    for (const auto& response : pull.responses)
      for (const auto& state : response.registers()) {
        if (state.value().data().size() < kMinHeldBytes) continue;
        auto* held = request.add_held();
        held->set_name(state.name());
        *held->mutable_accepted() = state.accepted();
      }
  }

  /// Queries the replicas at the given indices and processes their responses; false when none responded.
  bool query(Pull& pull, const std::vector<size_t>& indices, Duration limit) {
    std::vector<consensus::Replica> queried;
    queried.reserve(indices.size());
    for (auto index : indices) queried.push_back(pull.replicas[index]);
    *pull.request.mutable_pull()->mutable_known_versions() = statuses.known_versions();
    set_held_registers(pull);
    auto make_request = [&](size_t target) {
      pb::PeerRequest request = pull.request;
      responses.set_position(queried[target].name, *request.mutable_pull());
      return request;
    };
    consensus::LocalReplica local;
    if (local_acceptor) local = [this](const pb::PeerRequest& request) { return answer(request); };
    auto timeout_of = [&](size_t target) { return targets.limit_for(queried[target].name, limit); };
    auto requested_at = ports.clock.now();
    auto replies = consensus::call_replicas(ports, queried, make_request, {limit, timeout_of},
                                            [](auto&) { return false; }, {config.node_name, local});
    bool any = false;
    for (size_t i = 0; i < replies.size(); ++i) {
      bool responded = replies[i] && replies[i]->has_pull();
      targets.record(queried[i].name, responded);
      if (responded) process_response(pull, indices[i], replies[i]->pull(), requested_at);
      any |= responded;
    }
    return any;
  }

  bool has_quorum(const Pull& pull) const {
    return registers.replica_set().epoch() == pull.epoch && registers.replica_set().is_quorum(pull.voting);
  }

  /// Whether a pull queries only as many replicas as it needs, as long as those respond.
  bool queries_few() const { return !local_acceptor && statuses.size() >= kLargeFleet; }

  /// Queries one replica alone, within its usual time: if queried too soon, the others would all send the
  /// same data.
  void query_first(Pull& pull, size_t first) {
    const TimePoint began = ports.clock.now();
    const bool responded = query(pull, {first}, targets.prompt_response_limit());
    const TimePoint now = ports.clock.now();
    targets.record_first(pull.replicas[first].name, responded, now - began, now);
  }

  /// Queries one replica alone, and then the others for what its response did not contain.
  void query_replicas(Pull& pull) {
    auto others = targets.order(pull.replicas, statuses, pull.start);
    // While pulls fail, all are queried at once: a replica that responds late would only be queried twice.
    if (!schedule.failing()) query_first(pull, others.front());
    if (!pull.responses.empty()) others.erase(others.begin());
    std::vector<size_t> spare;
    auto sufficient = registers.sufficient_count();
    size_t needed = sufficient - std::min(sufficient, pull.responses.size());
    if (queries_few() && others.size() > needed) {
      targets.prefer_responsive(pull.replicas, others);
      spare.assign(others.begin() + static_cast<std::ptrdiff_t>(needed), others.end());
      others.resize(needed);
    }
    query(pull, others, config.pull_period());
    if (!spare.empty() && !has_quorum(pull) && !pull.more) query(pull, spare, config.pull_period());
  }

  /// Sets the incarnation above the one under which this node was known before; the next pull reports it.
  void find_incarnation(const Pull& pull) {
    auto latest = statuses.known_version(config.node_name);
    for (const auto& reply : pull.responses)
      for (const auto& status : reply.statuses())
        if (status.source() == config.node_name && (!latest || is_newer(status.version(), *latest)))
          latest = status.version();
    own_status.begin_after(latest);
  }

  /// Adopts a replica set from the chosen values if it is newer than `epoch`; returns whether it did.
  bool adopt_chosen_set(uint64_t epoch) {
    auto found = chosen.find(consensus::kReplicaSetKey);
    pb::ReplicaSet set;
    if (found == chosen.end() || !set.ParseFromString(found->second.data) || set.epoch() <= epoch)
      return false;
    registers.replica_set().adopt(set);
    return true;
  }

  void update_deregistered() {
    auto found = chosen.find(kDeregisteredKey);
    if (found == chosen.end() || found->second.version == deregistered_version) return;
    deregistered_version = found->second.version;
    statuses.set_deregistered(parse_deregistered(found->second.data));
  }

  Pull begin_pull() {
    Pull pull;
    pull.start = ports.clock.now();
    pull.replicas = registers.replicas();
    pull.epoch = registers.replica_set().epoch();
    pull.voting.resize(pull.replicas.size());
    auto& request = *pull.request.mutable_pull();
    request.set_node(config.node_name);
    request.set_max_bytes(std::max(kMinResponseBytes, statuses.size() * kResponseBytesPerNode));
    return pull;
  }

  PullResult pull_once() {
    if (registers.replicas().empty()) return PullResult::failed;  // discovery has not found them yet
    auto pull = begin_pull();
    PullReport report;
    report.result = run_pull(pull, report);
    report.spent = ports.clock.now() - pull.start;
    report.replicas = pull.replicas.size();
    report.responded = pull.responses.size();
    report.voting = static_cast<size_t>(std::count(pull.voting.begin(), pull.voting.end(), true));
    read_lease_log.record_pull(report);
    return report.result;
  }

  PullResult run_pull(Pull& pull, PullReport& report) {
    add_own_status(*pull.request.mutable_pull(), pull.start);
    query_replicas(pull);
    if (registers.replica_set().epoch() != pull.epoch) return restart_under_new_set();
    if (!has_quorum(pull)) return pull.more ? PullResult::partial : PullResult::failed;
    if (own_status.incarnation() == 0) {
      find_incarnation(pull);
      return PullResult::partial;
    }
    report.unsettled = !update_chosen();
    if (report.unsettled) return PullResult::failed;
    if (adopt_chosen_set(pull.epoch)) return restart_under_new_set();
    finish_good_pull(pull);
    return PullResult::good;
  }

  void finish_good_pull(const Pull& pull) {
    update_deregistered();
    statuses.remove_expired(ports.clock.now());
    // Counted from the start: a pull that took longer than the read lease grants no valid one.
    read_lease_end = (pull.start + config.read_lease_span()).count();
    on_good_pull();
    std::erase_if(waiters, [&](const Waiter& waiter) {
      bool served = waiter.since <= pull.start;
      if (served) waiter.condition->notify();
      return served;
    });
  }

  pb::PeerResponse answer(const pb::PeerRequest& request) {
    pb::PeerResponse answer;
    *answer.mutable_pull() = responder.respond(request.pull(), ports.clock.now());
    return answer;
  }

  bool has_read_lease() const { return ports.clock.now().count() < read_lease_end.load(); }

  void update_read_lease() {
    const TimePoint now = ports.clock.now();
    const bool valid = has_read_lease();
    const TimePoint last_good_pull(read_lease_end - config.read_lease_span().count());
    if (read_lease_log.record_lease_state(valid, now - last_good_pull) && valid) contact_since = now;
  }

  void wait_for_next_pull(PullSchedule::Wait wait) {
    ports.clock.sleep(wait.least);
    if (wait.usual <= wait.least || pull_requested) return;
    next_pull = ports.tasks.condition();
    next_pull->wait(wait.usual - wait.least);
    next_pull.reset();
  }

  void run() {
    for (;;) {
      TimePoint start = ports.clock.now();
      pull_requested = false;
      auto result = pull_once();
      update_read_lease();
      wait_for_next_pull(schedule.next_wait(result, ports.clock.now() - start));
    }
  }
};

StateCache::StateCache(base::Ports& ports, StateCacheConfig config, consensus::RegisterClient& registers,
                       consensus::Acceptor* local_acceptor,
                       std::function<void(pb::NodeStatus&)> fill_own_status,
                       std::function<void()> on_good_pull)
    : impl_(std::make_shared<Impl>(ports, std::move(config), registers, local_acceptor,
                                   std::move(fill_own_status), std::move(on_good_pull))) {}
StateCache::~StateCache() = default;

void StateCache::start() {
  impl_->ports.tasks.spawn([impl = impl_] { impl->run(); });
}

bool StateCache::pull_once() { return impl_->pull_once() == PullResult::good; }
bool StateCache::has_read_lease() const { return impl_->has_read_lease(); }
TimePoint StateCache::last_good_pull() const {
  const TimePoint end = read_lease_end();
  return end == TimePoint(0) ? end : end - impl_->config.read_lease_span();
}
TimePoint StateCache::read_lease_end() const { return TimePoint(impl_->read_lease_end.load()); }
const ChosenValues& StateCache::chosen() const { return impl_->chosen; }
StatusTable& StateCache::statuses() { return impl_->statuses; }
pb::PeerResponse StateCache::handle_pull(const pb::PeerRequest& request) { return impl_->answer(request); }
uint64_t StateCache::incarnation() const { return impl_->own_status.incarnation(); }

bool StateCache::await_pull(Duration limit) {
  auto condition = impl_->ports.tasks.condition();
  impl_->waiters.push_back({impl_->ports.clock.now(), condition});
  pull_soon();
  return condition->wait(limit);
}

std::optional<std::vector<std::string>> StateCache::register_names(Duration limit) {
  if (!await_pull(limit)) return {};
  std::vector<std::string> names;
  for (const auto& [name, value] : impl_->chosen) names.push_back(name);
  return names;
}

bool StateCache::is_voting(const std::string& replica) const {
  return impl_->responses.voted_within(replica, impl_->ports.clock.now(),
                                       impl_->config.bound / 4 + impl_->config.pull_period() * 2);
}

std::map<std::string, uint64_t> StateCache::registers_behind(const std::string& replica) const {
  std::map<std::string, uint64_t> rounds;
  for (const auto& [name, value] : impl_->chosen) {
    auto* latest =
        impl_->responses.latest_at_quorum(impl_->registers.replica_set(), name, impl_->ports.clock.now());
    if (!latest) continue;
    auto* own = impl_->responses.reported_by(replica, name);
    if (!own || consensus::is_lower(own->accepted(), latest->accepted()))
      rounds[name] = latest->accepted().round();
  }
  return rounds;
}

ReplicaContact StateCache::contact(const std::string& replica) const {
  return impl_->responses.contact(replica, impl_->ports.clock.now(), impl_->contact_since);
}

void StateCache::pull_soon() {
  impl_->pull_requested = true;
  if (impl_->next_pull) impl_->next_pull->notify();
}

}  // namespace dunlinwing::membership
