// Every change is one Paxos round: prepare, look at the highest accepted
// value, accept either that value again or the next one. A value carries the
// tag of its writer and those of the writes before it, so that a writer whose
// round broke off can find out whether another finished it.
#include "consensus/register_client.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr int kPastTags = 8;
constexpr int kRounds = 5;       // of a round's limit: how long an operation tries
constexpr int kSilentTries = 3;  // without hearing a majority before it says so
constexpr int kMostDoublings = 6;
constexpr size_t kAtOnce = 16;  // registers finished side by side; replicas sync their votes together
constexpr size_t kFewestReplicas = 3;
constexpr int kTellPart = 4;  // of a round's limit: how long members are told of a new set
}  // namespace

struct RegisterClient::Impl {
  base::Ports& ports;
  std::string node_name;
  ReplicaSetView& set;
  Duration round;
  LocalReplica local;
  uint64_t top = 0;

  // What the members answered, and whether it may still be counted. A vote older than a
  // round's limit may come from a disk that was lost since.
  struct Votes {
    PeerResponses replies;
    bool expired = false;
  };

  // The set must not change while a round counts: replies are counted by the quorum of the
  // set that was asked, and a newer set that somebody names voids the round.
  Votes ask(pb::PeerRequest request, const StopCondition& enough) {
    auto epoch = set.epoch();
    request.set_epoch(epoch);
    auto from = ports.clock.now();
    Votes votes;
    votes.replies = call_replicas(
        ports, set.all(), [&](size_t) { return request; }, round, enough, node_name, local);
    for (auto& r : votes.replies)
      if (r && r->has_vote()) set.adopt(r->vote().newer_set());
    if (set.epoch() != epoch) votes.replies.assign(set.all().size(), std::nullopt);
    votes.expired = ports.clock.now() - from > round;
    return votes;
  }

  void note(const pb::Vote& v) { top = std::max(top, v.register_state().promised().round()); }

  template <class Predicate>
  static MemberFlags flags(const PeerResponses& rs, Predicate said) {
    MemberFlags out(rs.size());
    for (size_t i = 0; i < rs.size(); ++i) out[i] = said(rs[i]);
    return out;
  }
  static bool said_yes(const std::optional<pb::PeerResponse>& r) {
    return r && r->has_vote() && r->vote().granted();
  }
  static bool votes(const std::optional<pb::PeerResponse>& r) {
    return r && r->has_vote() && !r->vote().non_voting();
  }

  bool quorum_said_yes(const PeerResponses& rs) const { return set.is_quorum(flags(rs, said_yes)); }
  // Voting is over when a quorum said yes, or so many said no that none can.
  bool settled(const PeerResponses& rs) const {
    auto may_say_yes = [](auto& r) { return !r || said_yes(r); };
    return quorum_said_yes(rs) || !set.is_quorum(flags(rs, may_say_yes));
  }

  // Proposers that met each other wait a random while, longer each time.
  void back_off(int i) {
    auto most =
        static_cast<uint64_t>(round.count()) / 32 * static_cast<uint64_t>(1 << std::min(i, kMostDoublings));
    ports.clock.sleep(Duration(1 + ports.random.below(most + 1)));
  }

  // The state that a quorum has accepted at one ballot, none higher being seen.
  const pb::RegisterState* agreed(const PeerResponses& rs) const {
    const pb::RegisterState* best = nullptr;
    for (auto& r : rs)
      if (said_yes(r) && (!best || is_lower(best->accepted(), r->vote().register_state().accepted())))
        best = &r->vote().register_state();
    if (!best) return nullptr;
    auto has_best = [&](auto& r) {
      if (!said_yes(r)) return false;
      auto& state = r->vote().register_state();
      return !state.refilled() && is_equal(best->accepted(), state.accepted());
    };
    return set.is_quorum(flags(rs, has_best)) ? best : nullptr;
  }

  std::optional<pb::Value> peek(const std::string& name) {
    pb::PeerRequest request;
    request.mutable_read_register()->set_name(name);
    auto votes = ask(request, [&](auto& r) { return agreed(r) != nullptr; });
    if (votes.expired) return {};
    if (auto* s = agreed(votes.replies)) return s->value();
    return {};
  }

  // One round. `make` turns the value in force into the next, or into itself.
  // Promised but not chosen: the accept may or may not hold.
  struct Out {
    pb::Value value;
    bool heard = false, promised = false, chosen = false;
  };
  Out turn(const std::string& name, const std::function<pb::Value(const pb::Value&)>& make) {
    Out o;
    pb::Ballot b;
    b.set_round(++top);
    b.set_node(node_name);
    pb::PeerRequest request;
    request.mutable_prepare()->set_name(name);
    *request.mutable_prepare()->mutable_ballot() = b;
    auto promises = ask(request, [&](auto& r) { return settled(r); });
    pb::RegisterState best;
    for (auto& r : promises.replies)
      if (r && r->has_vote()) {
        note(r->vote());
        if (r->vote().granted() && is_lower(best.accepted(), r->vote().register_state().accepted()))
          best = r->vote().register_state();
      }
    o.heard = set.is_quorum(flags(promises.replies, votes));
    auto epoch = set.epoch();
    if (promises.expired || !quorum_said_yes(promises.replies)) return o;
    o.promised = true;
    o.value = make(best.value());
    pb::PeerRequest c;
    c.mutable_accept()->set_name(name);
    *c.mutable_accept()->mutable_ballot() = b;
    *c.mutable_accept()->mutable_value() = o.value;
    auto accepts = ask(c, [&](auto& r) { return settled(r); });
    for (auto& r : accepts.replies)
      if (r && r->has_vote()) note(r->vote());
    o.chosen = !accepts.expired && set.epoch() == epoch && quorum_said_yes(accepts.replies);
    return o;
  }

  // Makes the present set last at its members; which of them answered that it does.
  MemberFlags spread_set(Duration limit) {
    pb::PeerRequest request;
    *request.mutable_adopt()->mutable_replica_set() = set.message();
    auto all_answered = [](const PeerResponses& rs) {
      return std::all_of(rs.begin(), rs.end(), [](auto& r) { return r.has_value(); });
    };
    auto rs = call_replicas(
        ports, set.all(), [&](size_t) { return request; }, limit, all_answered, node_name, local);
    return flags(rs, said_yes);
  }

  // Writes the value in force of each register anew, so that a quorum of the present set has it.
  bool finish(const std::vector<std::string>& names) {
    struct Table {
      std::vector<std::string> names;
      size_t next = 0, left = 0;
      bool ok = true;
      std::shared_ptr<base::Condition> condition;
    };
    auto t = std::make_shared<Table>(
        Table{names, 0, std::min(kAtOnce, names.size()), true, ports.tasks.condition()});
    for (size_t k = t->left; k > 0; --k)
      ports.tasks.spawn([this, t] {
        while (t->ok && t->next < t->names.size()) {
          auto& n = t->names[t->next++];
          bool done = false;
          for (int i = 0; i < 2 * kRounds && !done && t->ok; ++i) {
            done = turn(n, [](const pb::Value& v) { return v; }).chosen;
            if (!done) back_off(i);
          }
          t->ok &= done;
        }
        --t->left;
        t->condition->notify();
      });
    while (t->left) t->condition->wait(round);
    return t->ok;
  }
};

RegisterClient::RegisterClient(base::Ports& ports, std::string node_name, ReplicaSetView& set, Duration round,
                               LocalReplica local)
    : impl_(new Impl{ports, std::move(node_name), set, round, std::move(local)}) {}
RegisterClient::~RegisterClient() = default;
size_t RegisterClient::sufficient_count() const { return impl_->set.sufficient_count(); }
const std::vector<Replica>& RegisterClient::replicas() const { return impl_->set.all(); }
ReplicaSetView& RegisterClient::set() { return impl_->set; }

ReadResult RegisterClient::read(const std::string& name) {
  auto& impl = *impl_;
  TimePoint end = impl.ports.clock.now() + impl.round * kRounds;
  for (int i = 0, silent = 0; i == 0 || impl.ports.clock.now() < end; ++i) {
    if (auto v = impl.peek(name)) return VersionedValue{v->version(), v->data()};
    auto o = impl.turn(name, [](const pb::Value& v) { return v; });
    if (o.chosen) return VersionedValue{o.value.version(), o.value.data()};
    if (!o.heard && ++silent >= kSilentTries) break;
    impl.back_off(i);
  }
  return RegisterError::no_majority;
}

WriteResult RegisterClient::write(const std::string& name, uint64_t expect, const std::string& data) {
  auto& impl = *impl_;
  auto tag = base::random_token(impl.ports.random);
  auto is_mine = [&](const pb::Value& v) {
    return v.write_id() == tag || std::find(v.earlier_write_ids().begin(), v.earlier_write_ids().end(),
                                            tag) != v.earlier_write_ids().end();
  };
  bool sent = false;
  auto stale = [&](const pb::Value& v) -> WriteResult {
    // Past this many later writes the tags no longer tell whether ours was among them.
    if (sent && v.version() > expect + kPastTags) return RegisterError::fate_unknown;
    return VersionConflict{{v.version(), v.data()}};
  };
  TimePoint end = impl.ports.clock.now() + impl.round * kRounds;
  for (int i = 0, silent = 0; i == 0 || impl.ports.clock.now() < end; ++i) {
    // After a round that broke off, a look first: the race may be over.
    if (i > 0)
      if (auto v = impl.peek(name)) {
        if (is_mine(*v)) return VersionedValue{expect + 1, data};
        if (v->version() != expect) return stale(*v);
      }
    bool mine = false, first = false;
    auto o = impl.turn(name, [&](const pb::Value& v) {
      mine = is_mine(v);
      if (mine || v.version() != expect) return v;
      first = true;
      pb::Value n;
      n.set_version(expect + 1);
      n.set_data(data);
      n.set_write_id(tag);
      if (!v.write_id().empty()) n.add_earlier_write_ids(v.write_id());
      for (int k = 0; k < v.earlier_write_ids_size() && n.earlier_write_ids_size() < kPastTags; ++k)
        n.add_earlier_write_ids(v.earlier_write_ids(k));
      return n;
    });
    sent |= first;
    if (o.chosen) {
      if (mine || first) return VersionedValue{expect + 1, data};
      return stale(o.value);
    }
    if (!o.heard && ++silent >= kSilentTries) break;
    impl.back_off(i);
  }
  return sent ? RegisterError::fate_unknown : RegisterError::no_majority;
}

// Writes `next` over the set of `from_epoch`, under the quorum of the present set.
ReplicaSetResult RegisterClient::write_set(const pb::ReplicaSet& next, uint64_t from_epoch) {
  auto& impl = *impl_;
  auto held = read(kReplicaSetKey);
  auto* now = std::get_if<VersionedValue>(&held);
  if (!now) return ReplicaSetError::no_majority;
  pb::ReplicaSet seen;
  seen.ParseFromString(now->data);
  if (impl.set.epoch() != from_epoch || seen.epoch() > from_epoch) return ReplicaSetError::raced;
  auto written = write(kReplicaSetKey, now->version, next.SerializeAsString());
  if (std::holds_alternative<VersionConflict>(written)) return ReplicaSetError::raced;
  if (auto* error = std::get_if<RegisterError>(&written))
    return *error == RegisterError::no_majority ? ReplicaSetError::no_majority
                                                : ReplicaSetError::fate_unknown;
  impl.set.adopt(next);
  impl.spread_set(impl.round / kTellPart);
  return next;
}

ReplicaSetResult RegisterClient::begin_change(const std::vector<Replica>& to) {
  auto& set = impl_->set;
  if (set.joint() || to == set.current()) return ReplicaSetError::no_change;
  if (to.size() < set.current().size() && to.size() < kFewestReplicas) return ReplicaSetError::too_few;
  auto from = set.message();
  pb::ReplicaSet next;
  next.set_epoch(from.epoch() + 1);
  *next.mutable_previous() = from.replicas();
  for (auto& replica : to) {
    auto* entry = next.add_replicas();
    entry->set_name(replica.name);
    entry->set_address(replica.address);
  }
  return write_set(next, from.epoch());
}

// The order of the steps matters: nobody can win under the set before the joint one any
// longer (a quorum of it has adopted the joint set), then all names are read, then every
// register stands at a quorum of the joint set and so at a majority of the new list, and
// only then does the old list stop counting.
ReplicaSetResult RegisterClient::finish_change(const RegisterNames& names) {
  auto& impl = *impl_;
  if (!impl.set.joint()) return ReplicaSetError::no_change;
  auto from = impl.set.message();
  if (!impl.set.is_quorum(impl.spread_set(impl.round)) || impl.set.epoch() != from.epoch())
    return ReplicaSetError::no_majority;
  auto all_names = names();
  if (!all_names || !impl.finish(*all_names)) return ReplicaSetError::no_majority;
  if (impl.set.epoch() != from.epoch()) return ReplicaSetError::raced;
  pb::ReplicaSet next;
  next.set_epoch(from.epoch() + 1);
  *next.mutable_replicas() = from.replicas();
  return write_set(next, from.epoch());
}

bool RegisterClient::rewrite(const std::vector<std::string>& names) { return impl_->finish(names); }

ReplicaSetResult RegisterClient::change(const std::vector<Replica>& to, const RegisterNames& names) {
  if (impl_->set.joint()) {
    auto left = finish_change(names);
    if (std::holds_alternative<ReplicaSetError>(left)) return left;
  }
  auto begun = begin_change(to);
  if (std::holds_alternative<ReplicaSetError>(begun)) return begun;
  return finish_change(names);
}

}  // namespace dunlinwing::consensus
