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
#include "membership/replica_answers.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log lg("membership");
constexpr size_t kLargeFleet = 32;
// In one reply: so much at the least, and for each known node more than it says of itself, for
// what changes between two pulls must always fit.
constexpr uint64_t kLeastBytesPulled = 64 << 10, kBytesPulledPerNode = 2 << 10;
}  // namespace

struct StateCache::Impl {
  base::Ports& ps;
  StateCacheConfig c;
  consensus::RegisterClient& registers;
  consensus::Acceptor* mine;
  std::function<void(pb::NodeStatus&)> own;
  std::function<void()> seen;
  StatusTable statuses;
  ReplicaAnswers answers;
  Chosen chosen;
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
    std::vector<pb::PullReply> heard;
    bool more = false;  // some have not told everything yet
    pb::Ask ask;
  };

  Impl(base::Ports& p, StateCacheConfig cc, consensus::RegisterClient& b, consensus::Acceptor* m,
       std::function<void(pb::NodeStatus&)> o, std::function<void()> s)
      : ps(p),
        c(std::move(cc)),
        registers(b),
        mine(m),
        own(std::move(o)),
        seen(std::move(s)),
        statuses(c.session()),
        answers(c.word_limit()),
        schedule(ps.random, c.pull()) {
    first = static_cast<size_t>(ps.random.below(b.replicas().size()));
  }

  bool settle_open() {
    for (auto i = open.begin(); i != open.end();) {
      auto* state = answers.latest_at_quorum(registers.set(), *i, ps.clock.now());
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
  static std::string gist(const pb::NodeStatus& n) {
    pb::NodeStatus g;
    *g.mutable_node() = n.node();
    g.mutable_node()->clear_wall_ms();
    g.mutable_node()->clear_running();
    std::string s = g.SerializeAsString();
    for (auto& [k, v] :
         std::map<std::string, std::string>(n.node().running().begin(), n.node().running().end()))
      s += k + "=" + v + ";";
    for (auto& t : n.trials()) s += fmt::format("{}:{}:{}{};", t.service(), t.number(), t.bad(), t.stopped());
    for (auto& b : n.beats())
      s += fmt::format("{}/{}{};", b.instance(), b.leaving() ? 0 : b.number(), b.leaving());
    return s;
  }

  // The set of replicas has changed: what is chosen is settled anew under it.
  PullResult reseat() {
    if (mine) mine->adopt(registers.set().message());
    for (auto& name : answers.names()) open.insert(name);
    lg.info("{}: the holders are now those of epoch {}.", c.me, registers.set().epoch());
    return PullResult::failed;
  }

  // What this node says of itself, when it is due or has changed in what matters.
  void state_own(pb::Pull& pull, TimePoint now) {
    if (!incarnation) return;
    pb::NodeStatus status;
    status.set_source(c.me);
    status.mutable_mark()->set_incarnation(incarnation);
    own(status);
    auto key = gist(status);
    if (now - said < c.bound / 4 && key == said_key) return;
    said = now;
    said_key = key;
    status.mutable_mark()->set_count(++count);
    statuses.merge(status, now);
    *pull.mutable_own() = status;
  }

  void take(Pull& pull, size_t index, const pb::PullReply& reply, TimePoint asked_at) {
    auto& replica = pull.replicas[index].name;
    auto now = ps.clock.now();
    // One that has not made the present set durable may still vote under the one before.
    pull.voting[index] = !reply.mute() && !reply.more() && reply.adopted_epoch() >= pull.epoch;
    pull.more |= reply.more();
    for (auto& name : answers.take(replica, reply, asked_at, now)) open.insert(name);
    for (auto& status : reply.statuses())
      if (status.source() == c.me)
        go_on_above(status.mark());
      else
        statuses.merge(status, now);
    registers.set().adopt(reply.set());
    pull.heard.push_back(reply);
  }

  // Asks those named and takes what they say; false when none answered.
  bool ask(Pull& pull, const std::vector<size_t>& whom, Duration limit) {
    std::vector<consensus::Replica> to;
    for (auto i : whom) to.push_back(pull.replicas[i]);
    *pull.ask.mutable_pull()->mutable_have() = statuses.marks();
    auto make = [&](size_t k) {
      pb::Ask one = pull.ask;
      answers.state_position(to[k].name, *one.mutable_pull());
      return one;
    };
    consensus::Local local;
    if (mine) local = [this](const pb::Ask& a) { return answer(a); };
    auto asked_at = ps.clock.now();
    auto replies = consensus::ask_all(
        ps, to, make, limit, [](auto&) { return false; }, c.me, local);
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
    if (!schedule.failing() && !ask(pull, {first}, c.pull() / 4)) first = (first + 1) % count;
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
    ask(pull, rest, c.pull());
    if (!later.empty() && !has_quorum(pull) && !pull.more) ask(pull, later, c.pull());
  }

  // Under which incarnation this node was known before; the next pull announces it.
  void find_incarnation(const Pull& pull) {
    auto latest = statuses.mark(c.me);
    for (auto& reply : pull.heard)
      for (auto& status : reply.statuses())
        if (status.source() == c.me && (!latest || newer(status.mark(), *latest))) latest = status.mark();
    incarnation = latest ? latest->incarnation() + 1 : 1;
  }

  // Others know a later status of this node than its own: one of its life before, which no replica
  // remembered when it began anew. They would take nothing that it says before it is above that.
  void go_on_above(const pb::Mark& known) {
    pb::Mark own_mark;
    own_mark.set_incarnation(incarnation);
    own_mark.set_count(count);
    if (!incarnation || !newer(known, own_mark)) return;
    incarnation = known.incarnation() + 1;
    count = 0;
    said_key.clear();
    lg.info("{}: goes on under incarnation {}.", c.me, incarnation);
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
    pull.start = ps.clock.now();
    pull.replicas = registers.replicas();
    pull.epoch = registers.set().epoch();
    pull.voting.resize(pull.replicas.size());
    if (pull.replicas.empty()) return PullResult::failed;  // nobody has named the replicas yet
    pull.ask.mutable_pull()->set_node(c.me);
    pull.ask.mutable_pull()->set_most_bytes(
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
    statuses.forget(ps.clock.now());
    // A pull that itself took longer than the read lease has proved nothing.
    read_lease = (pull.start + c.read_lease()).count();
    seen();
    std::erase_if(waits, [&](auto& w) { return w.first <= pull.start ? (w.second->notify(), true) : false; });
    return PullResult::good;
  }

  // What the asker lacks, as far as it takes it in one reply; the rest is asked for next.
  void add_statuses(const pb::Pull& asked_for, TimePoint now, pb::PullReply& reply) {
    auto bytes = reply.ByteSizeLong();
    for (auto& status : statuses.since(asked_for.have(), now)) {
      bytes += status.ByteSizeLong();
      if (asked_for.most_bytes() && bytes > asked_for.most_bytes() && reply.statuses_size() > 0)
        return reply.set_more(true);
      *reply.add_statuses() = status;
    }
  }

  // A node that begins anew learns under which incarnation it was known, and one that has begun
  // too low learns that.
  void tell_mark_of_asker(const pb::Pull& pull, pb::PullReply& reply) {
    auto known = statuses.mark(pull.node());
    if (!known || (pull.has_own() && !newer(*known, pull.own().mark()))) return;
    auto* status = reply.add_statuses();
    status->set_source(pull.node());
    *status->mutable_mark() = *known;
    status->set_age_ms(static_cast<uint64_t>(c.session().count()) * 2);
  }

  pb::Reply answer(const pb::Ask& a) {
    pb::Reply out;
    auto& q = a.pull();
    auto* r = out.mutable_pull();
    TimePoint now = ps.clock.now();
    if (q.has_own()) statuses.merge(q.own(), now);
    statuses.note(q.have(), now);
    if (mine)
      mine->changes(q.boot(), q.seen(), q.most_bytes(), *r);
    else
      r->set_mute(true);
    add_statuses(q, now, *r);
    tell_mark_of_asker(q, *r);
    return out;
  }
};

StateCache::StateCache(base::Ports& ps, StateCacheConfig c, consensus::RegisterClient& b,
                       consensus::Acceptor* m, std::function<void(pb::NodeStatus&)> own,
                       std::function<void()> seen)
    : p_(std::make_shared<Impl>(ps, std::move(c), b, m, std::move(own), std::move(seen))) {}
StateCache::~StateCache() = default;

void StateCache::start() {
  p_->ps.tasks.spawn([p = p_] {
    for (;;) {
      TimePoint from = p->ps.clock.now();
      p->asked = false;
      auto result = p->once();
      bool was = std::exchange(p->told, p->ps.clock.now().count() < p->read_lease.load());
      if (!was && p->told) p->began = p->ps.clock.now();
      if (was && !p->told) lg.warn("{}: the read lease has lapsed.", p->c.me);
      if (!was && p->told) lg.info("{}: the read lease stands.", p->c.me);
      auto wait = p->schedule.after(result, p->ps.clock.now() - from);
      p->ps.clock.sleep(wait.least);
      if (wait.usual > wait.least && !p->asked) {
        p->rest = p->ps.tasks.condition();
        p->rest->wait(wait.usual - wait.least);
        p->rest.reset();
      }
    }
  });
}

bool StateCache::once() { return p_->once() == PullResult::good; }
bool StateCache::fresh() const { return p_->ps.clock.now().count() < p_->read_lease.load(); }
TimePoint StateCache::read_lease_end() const { return TimePoint(p_->read_lease.load()); }
const Chosen& StateCache::chosen() const { return p_->chosen; }
StatusTable& StateCache::statuses() { return p_->statuses; }
pb::Reply StateCache::answer(const pb::Ask& a) { return p_->answer(a); }
uint64_t StateCache::incarnation() const { return p_->incarnation; }

bool StateCache::settle(Duration limit) {
  auto s = p_->ps.tasks.condition();
  auto now = p_->ps.clock.now();
  p_->waits.emplace_back(now, s);
  hurry();
  return s->wait(limit);
}

std::optional<std::vector<std::string>> StateCache::names(Duration limit) {
  if (!settle(limit)) return {};
  std::vector<std::string> out;
  for (auto& [k, h] : p_->chosen) out.push_back(k);
  return out;
}

bool StateCache::votes(const std::string& replica) const {
  return p_->answers.voted_within(replica, p_->ps.clock.now(), p_->c.bound / 4 + p_->c.pull() * 2);
}

std::map<std::string, uint64_t> StateCache::behind(const std::string& replica) const {
  std::map<std::string, uint64_t> names;
  for (auto& [name, value] : p_->chosen) {
    auto* best = p_->answers.latest_at_quorum(p_->registers.set(), name, p_->ps.clock.now());
    if (!best) continue;
    auto* own = p_->answers.told_by(replica, name);
    if (!own || consensus::lower(own->accepted(), best->accepted())) names[name] = best->accepted().round();
  }
  return names;
}

Contact StateCache::contact(const std::string& replica) const {
  return p_->answers.contact(replica, p_->ps.clock.now(), p_->began);
}

void StateCache::hurry() {
  p_->asked = true;
  if (p_->rest) p_->rest->notify();
}

}  // namespace dunlinwing::membership
