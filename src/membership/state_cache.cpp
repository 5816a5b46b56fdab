// One pull asks one replica first and, with what that one told, the others at once, so that
// each status comes once and not from everybody. It goes on when all have answered or an
// eighth of the bound has passed. It is good when a quorum of voting replicas answered whole
// and every register whose latest ballot is not at a quorum has been finished by a read.
// Whatever was acknowledged before such a pull began is then in `chosen`.
//
// A reply is bounded in size, and the next pull goes on where it ended: a node that lacks
// much, as after a start, comes to know it over a thin or busy link too.
#include "membership/state_cache.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "consensus/vote.hpp"
#include "membership/deregistered.hpp"
#include "membership/pull_schedule.hpp"
#include "membership/replica_responses.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("membership");
constexpr size_t kLargeFleet = 32;
// In one reply: so much at the least, and for each known node more than it says of itself, for
// what changes between two pulls must always fit.
constexpr uint64_t kLeastBytesPulled = 64 << 10, kBytesPulledPerNode = 2 << 10;
}  // namespace

struct StateCache::Impl {
  base::Ports& ports;
  StateCacheConfig config;
  consensus::RegisterClient& registers;
  consensus::Acceptor* mine;
  std::function<void(pb::NodeStatus&)> own;
  std::function<void()> seen;
  StatusTable statuses;
  ReplicaResponses answers;
  ChosenValues chosen;
  std::set<std::string> open;  // registers whose chosen value may have changed
  uint64_t incarnation = 0, count = 0, deregistered = 0;
  size_t first = 0;  // the replica asked first
  std::atomic<int64_t> read_lease{0};
  TimePoint began{0};  // when this node's fresh contact with a quorum last began
  TimePoint said{0};
  std::string said_key;
  std::vector<std::pair<TimePoint, std::shared_ptr<base::Condition>>> waits;
  PullSchedule schedule;
  std::map<std::string, int> silent;      // asks in a row that a replica did not answer
  bool told = false, asked = false;       // asked: somebody waits for the next pull
  std::shared_ptr<base::Condition> rest;  // where the loop waits between pulls

  // One pull under way.
  struct Pull {
    TimePoint start;
    uint64_t epoch;
    std::vector<consensus::Replica> replicas;
    consensus::MemberFlags voting;  // those that answered whole and are not mute
    std::vector<pb::PullResponse> heard;
    bool more = false;  // some have not told everything yet
    pb::PeerRequest ask;
  };

  Impl(base::Ports& ports, StateCacheConfig cc, consensus::RegisterClient& b, consensus::Acceptor* m,
       std::function<void(pb::NodeStatus&)> o, std::function<void()> s)
      : ports(ports),
        config(std::move(cc)),
        registers(b),
        mine(m),
        own(std::move(o)),
        seen(std::move(s)),
        statuses(config.session_span()),
        answers(config.response_lifetime()),
        schedule(ports.random, config.pull_period()) {
    first = static_cast<size_t>(ports.random.below(b.replicas().size()));
  }

  bool settle_open() {
    for (auto i = open.begin(); i != open.end();) {
      auto* state = answers.latest_at_quorum(registers.set(), *i, ports.clock.now());
      consensus::VersionedValue value;
      if (state) {
        value = {state->value().version(), state->value().data()};
      } else {
        auto name = *i;
        auto read = registers.read(name);
        auto* found = std::get_if<consensus::VersionedValue>(&read);
        if (!found) return false;
        value = *found;
        i = open.find(name);
      }
      auto& known = chosen[*i];
      if (value.version > known.version) known = value;
      i = open.erase(i);
    }
    return true;
  }

  // What must be passed on at once; the rest (counters, clocks, ages) may wait.
  static std::string gist(const pb::NodeStatus& status) {
    pb::NodeStatus g;
    *g.mutable_node() = status.node();
    g.mutable_node()->clear_wall_ms();
    g.mutable_node()->clear_running();
    std::string s = g.SerializeAsString();
    for (auto& [k, v] :
         std::map<std::string, std::string>(status.node().running().begin(), status.node().running().end()))
      s += k + "=" + v + ";";
    for (auto& t : status.canary_counts())
      s += fmt::format("{}:{}:{}{};", t.service(), t.number(), t.bad(), t.aborted());
    for (auto& heartbeat : status.heartbeats())
      s += fmt::format("{}/{}{};", heartbeat.instance(), heartbeat.leaving() ? 0 : heartbeat.sequence(),
                       heartbeat.leaving());
    return s;
  }

  // The set of replicas has changed: what is chosen is settled anew under it.
  PullResult reseat() {
    if (mine) mine->adopt(registers.set().message());
    for (auto& name : answers.names()) open.insert(name);
    logger.info("{}: the holders are now those of epoch {}.", config.node_name, registers.set().epoch());
    return PullResult::failed;
  }

  // What this node says of itself, when it is due or has changed in what matters.
  void state_own(pb::PullRequest& pull, TimePoint now) {
    if (!incarnation) return;
    pb::NodeStatus status;
    status.set_source(config.node_name);
    status.mutable_version()->set_incarnation(incarnation);
    own(status);
    auto key = gist(status);
    if (now - said < config.bound / 4 && key == said_key) return;
    said = now;
    said_key = key;
    status.mutable_version()->set_count(++count);
    statuses.merge(status, now);
    *pull.mutable_own_status() = status;
  }

  void take(Pull& pull, size_t index, const pb::PullResponse& reply, TimePoint asked_at) {
    auto& replica = pull.replicas[index].name;
    auto now = ports.clock.now();
    // One that has not made the present set durable may still vote under the one before.
    pull.voting[index] = !reply.non_voting() && !reply.more() && reply.adopted_epoch() >= pull.epoch;
    pull.more |= reply.more();
    for (auto& name : answers.take(replica, reply, asked_at, now)) open.insert(name);
    for (auto& status : reply.statuses())
      if (status.source() == config.node_name)
        go_on_above(status.version());
      else
        statuses.merge(status, now);
    registers.set().adopt(reply.replica_set());
    pull.heard.push_back(reply);
  }

  // Asks those named and takes what they say; false when none answered.
  bool ask(Pull& pull, const std::vector<size_t>& whom, Duration limit) {
    std::vector<consensus::Replica> to;
    for (auto i : whom) to.push_back(pull.replicas[i]);
    *pull.ask.mutable_pull()->mutable_known_versions() = statuses.known_versions();
    auto make = [&](size_t k) {
      pb::PeerRequest one = pull.ask;
      answers.set_position(to[k].name, *one.mutable_pull());
      return one;
    };
    consensus::LocalReplica local;
    if (mine) local = [this](const pb::PeerRequest& request) { return answer(request); };
    auto asked_at = ports.clock.now();
    auto replies = consensus::call_replicas(
        ports, to, make, limit, [](auto&) { return false; }, config.node_name, local);
    bool any = false;
    for (size_t k = 0; k < replies.size(); ++k) {
      bool answered = replies[k] && replies[k]->has_pull();
      silent[to[k].name] = answered ? 0 : silent[to[k].name] + 1;
      if (answered) take(pull, whom[k], replies[k]->pull(), asked_at);
      any |= answered;
    }
    return any;
  }

  bool has_quorum(const Pull& pull) const {
    return registers.set().epoch() == pull.epoch && registers.set().is_quorum(pull.voting);
  }

  // Asks one replica alone, and with what it told the others.
  void ask_replicas(Pull& pull) {
    auto count = pull.replicas.size();
    first %= count;
    // A replica that answers late would only be asked twice.
    if (!schedule.failing() && !ask(pull, {first}, config.pull_period() / 4)) first = (first + 1) % count;
    std::vector<size_t> rest, later;
    for (size_t k = 0; k < count; ++k)
      if (k || pull.heard.empty()) rest.push_back((first + k) % count);
    // In a large fleet a relay asks no more replicas than it needs, as long as those answer.
    auto sufficient = registers.sufficient_count();
    size_t need = sufficient - std::min(sufficient, pull.heard.size());
    if (!mine && statuses.size() >= kLargeFleet && rest.size() > need) {
      std::stable_partition(rest.begin(), rest.end(),
                            [&](size_t i) { return silent[pull.replicas[i].name] == 0; });
      later.assign(rest.begin() + static_cast<std::ptrdiff_t>(need), rest.end());
      rest.resize(need);
    }
    ask(pull, rest, config.pull_period());
    if (!later.empty() && !has_quorum(pull) && !pull.more) ask(pull, later, config.pull_period());
  }

  // Under which incarnation this node was known before; the next pull announces it.
  void find_incarnation(const Pull& pull) {
    auto latest = statuses.known_version(config.node_name);
    for (auto& reply : pull.heard)
      for (auto& status : reply.statuses())
        if (status.source() == config.node_name && (!latest || newer(status.version(), *latest)))
          latest = status.version();
    incarnation = latest ? latest->incarnation() + 1 : 1;
  }

  // Others know a later status of this node than its own: one of its life before, which no replica
  // remembered when it began anew. They would take nothing that it says before it is above that.
  void go_on_above(const pb::StatusVersion& known) {
    pb::StatusVersion own_mark;
    own_mark.set_incarnation(incarnation);
    own_mark.set_count(count);
    if (!incarnation || !newer(known, own_mark)) return;
    incarnation = known.incarnation() + 1;
    count = 0;
    said_key.clear();
    logger.info("{}: goes on under incarnation {}.", config.node_name, incarnation);
  }

  // Whether a newer set of replicas is among what is chosen.
  bool chosen_set_is_newer(uint64_t epoch) {
    auto found = chosen.find(consensus::kReplicaSetKey);
    pb::ReplicaSet set;
    if (found == chosen.end() || !set.ParseFromString(found->second.data) || set.epoch() <= epoch)
      return false;
    registers.set().adopt(set);
    return true;
  }

  void follow_deregistered() {
    auto found = chosen.find(kDeregisteredKey);
    if (found == chosen.end() || found->second.version == deregistered) return;
    deregistered = found->second.version;
    statuses.deregistered(read_deregistered(found->second.data));
  }

  PullResult once() {
    Pull pull;
    pull.start = ports.clock.now();
    pull.replicas = registers.replicas();
    pull.epoch = registers.set().epoch();
    pull.voting.resize(pull.replicas.size());
    if (pull.replicas.empty()) return PullResult::failed;  // nobody has named the replicas yet
    pull.ask.mutable_pull()->set_node(config.node_name);
    pull.ask.mutable_pull()->set_max_bytes(
        std::max(kLeastBytesPulled, statuses.size() * kBytesPulledPerNode));
    state_own(*pull.ask.mutable_pull(), pull.start);
    ask_replicas(pull);
    if (registers.set().epoch() != pull.epoch) return reseat();
    if (!has_quorum(pull)) return pull.more ? PullResult::partial : PullResult::failed;
    if (!incarnation) {
      find_incarnation(pull);
      return PullResult::partial;
    }
    if (!settle_open()) return PullResult::failed;
    if (chosen_set_is_newer(pull.epoch)) return reseat();
    follow_deregistered();
    statuses.forget(ports.clock.now());
    // A pull that itself took longer than the read lease has proved nothing.
    read_lease = (pull.start + config.read_lease_span()).count();
    seen();
    std::erase_if(waits, [&](auto& w) { return w.first <= pull.start ? (w.second->notify(), true) : false; });
    return PullResult::good;
  }

  // What the asker lacks, as far as it takes it in one reply; the rest is asked for next.
  void add_statuses(const pb::PullRequest& asked_for, TimePoint now, pb::PullResponse& reply) {
    auto bytes = reply.ByteSizeLong();
    for (auto& status : statuses.since(asked_for.known_versions(), now)) {
      bytes += status.ByteSizeLong();
      if (asked_for.max_bytes() && bytes > asked_for.max_bytes() && reply.statuses_size() > 0)
        return reply.set_more(true);
      *reply.add_statuses() = status;
    }
  }

  // A node that begins anew learns under which incarnation it was known, and one that has begun
  // too low learns that.
  void tell_mark_of_asker(const pb::PullRequest& pull, pb::PullResponse& reply) {
    auto known = statuses.known_version(pull.node());
    if (!known || (pull.has_own_status() && !newer(*known, pull.own_status().version()))) return;
    auto* status = reply.add_statuses();
    status->set_source(pull.node());
    *status->mutable_version() = *known;
    status->set_age_ms(static_cast<uint64_t>(config.session_span().count()) * 2);
  }

  pb::PeerResponse answer(const pb::PeerRequest& request) {
    pb::PeerResponse out;
    auto& q = request.pull();
    auto* r = out.mutable_pull();
    TimePoint now = ports.clock.now();
    if (q.has_own_status()) statuses.merge(q.own_status(), now);
    statuses.note_known_versions(q.known_versions(), now);
    if (mine)
      mine->append_changes(q.boot_id(), q.position(), q.max_bytes(), *r);
    else
      r->set_non_voting(true);
    add_statuses(q, now, *r);
    tell_mark_of_asker(q, *r);
    return out;
  }
};

StateCache::StateCache(base::Ports& ports, StateCacheConfig config, consensus::RegisterClient& registers,
                       consensus::Acceptor* m, std::function<void(pb::NodeStatus&)> own,
                       std::function<void()> seen)
    : impl_(std::make_shared<Impl>(ports, std::move(config), registers, m, std::move(own), std::move(seen))) {
}
StateCache::~StateCache() = default;

void StateCache::start() {
  impl_->ports.tasks.spawn([p = impl_] {
    for (;;) {
      TimePoint from = p->ports.clock.now();
      p->asked = false;
      auto result = p->once();
      bool was = std::exchange(p->told, p->ports.clock.now().count() < p->read_lease.load());
      if (!was && p->told) p->began = p->ports.clock.now();
      if (was && !p->told) logger.warn("{}: the read lease has lapsed.", p->config.node_name);
      if (!was && p->told) logger.info("{}: the read lease stands.", p->config.node_name);
      auto wait = p->schedule.after(result, p->ports.clock.now() - from);
      p->ports.clock.sleep(wait.least);
      if (wait.usual > wait.least && !p->asked) {
        p->rest = p->ports.tasks.condition();
        p->rest->wait(wait.usual - wait.least);
        p->rest.reset();
      }
    }
  });
}

bool StateCache::pull_once() { return impl_->once() == PullResult::good; }
bool StateCache::has_read_lease() const {
  return impl_->ports.clock.now().count() < impl_->read_lease.load();
}
TimePoint StateCache::read_lease_end() const { return TimePoint(impl_->read_lease.load()); }
const ChosenValues& StateCache::chosen() const { return impl_->chosen; }
StatusTable& StateCache::statuses() { return impl_->statuses; }
pb::PeerResponse StateCache::handle_pull(const pb::PeerRequest& request) { return impl_->answer(request); }
uint64_t StateCache::incarnation() const { return impl_->incarnation; }

bool StateCache::await_pull(Duration limit) {
  auto s = impl_->ports.tasks.condition();
  auto now = impl_->ports.clock.now();
  impl_->waits.emplace_back(now, s);
  pull_soon();
  return s->wait(limit);
}

std::optional<std::vector<std::string>> StateCache::register_names(Duration limit) {
  if (!await_pull(limit)) return {};
  std::vector<std::string> out;
  for (auto& [k, h] : impl_->chosen) out.push_back(k);
  return out;
}

bool StateCache::is_voting(const std::string& replica) const {
  return impl_->answers.voted_within(replica, impl_->ports.clock.now(),
                                     impl_->config.bound / 4 + impl_->config.pull_period() * 2);
}

std::map<std::string, uint64_t> StateCache::registers_behind(const std::string& replica) const {
  std::map<std::string, uint64_t> names;
  for (auto& [name, value] : impl_->chosen) {
    auto* best = impl_->answers.latest_at_quorum(impl_->registers.set(), name, impl_->ports.clock.now());
    if (!best) continue;
    auto* own = impl_->answers.reported_by(replica, name);
    if (!own || consensus::is_lower(own->accepted(), best->accepted()))
      names[name] = best->accepted().round();
  }
  return names;
}

ReplicaContact StateCache::contact(const std::string& replica) const {
  return impl_->answers.contact(replica, impl_->ports.clock.now(), impl_->began);
}

void StateCache::pull_soon() {
  impl_->asked = true;
  if (impl_->rest) impl_->rest->notify();
}

}  // namespace dunlinwing::membership
