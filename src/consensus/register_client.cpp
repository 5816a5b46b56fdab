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
  base::Ports& ps;
  std::string me;
  ReplicaSetView& set;
  Duration round;
  Local local;
  uint64_t top = 0;

  // What the members answered, and whether it may still be counted. A vote older than a
  // round's limit may come from a disk that was lost since.
  struct Votes {
    Replies replies;
    bool expired = false;
  };

  // The set must not change while a round counts: replies are counted by the quorum of the
  // set that was asked, and a newer set that somebody names voids the round.
  Votes ask(pb::Ask a, const Enough& enough) {
    auto epoch = set.epoch();
    a.set_epoch(epoch);
    auto from = ps.clock.now();
    Votes votes;
    votes.replies = ask_all(
        ps, set.all(), [&](size_t) { return a; }, round, enough, me, local);
    for (auto& r : votes.replies)
      if (r && r->has_vote()) set.adopt(r->vote().newer());
    if (set.epoch() != epoch) votes.replies.assign(set.all().size(), std::nullopt);
    votes.expired = ps.clock.now() - from > round;
    return votes;
  }

  void note(const pb::Vote& v) { top = std::max(top, v.slot().promised().round()); }

  template <class Predicate>
  static MemberFlags flags(const Replies& rs, Predicate said) {
    MemberFlags out(rs.size());
    for (size_t i = 0; i < rs.size(); ++i) out[i] = said(rs[i]);
    return out;
  }
  static bool said_yes(const std::optional<pb::Reply>& r) { return r && r->has_vote() && r->vote().yes(); }
  static bool votes(const std::optional<pb::Reply>& r) { return r && r->has_vote() && !r->vote().mute(); }

  bool quorum_said_yes(const Replies& rs) const { return set.is_quorum(flags(rs, said_yes)); }
  // Voting is over when a quorum said yes, or so many said no that none can.
  bool settled(const Replies& rs) const {
    auto may_say_yes = [](auto& r) { return !r || said_yes(r); };
    return quorum_said_yes(rs) || !set.is_quorum(flags(rs, may_say_yes));
  }

  // Proposers that met each other wait a random while, longer each time.
  void back_off(int i) {
    auto most =
        static_cast<uint64_t>(round.count()) / 32 * static_cast<uint64_t>(1 << std::min(i, kMostDoublings));
    ps.clock.sleep(Duration(1 + ps.random.below(most + 1)));
  }

  // The state that a quorum has accepted at one ballot, none higher being seen.
  const pb::RegisterState* agreed(const Replies& rs) const {
    const pb::RegisterState* best = nullptr;
    for (auto& r : rs)
      if (said_yes(r) && (!best || lower(best->accepted(), r->vote().slot().accepted())))
        best = &r->vote().slot();
    if (!best) return nullptr;
    auto has_best = [&](auto& r) {
      if (!said_yes(r)) return false;
      auto& state = r->vote().slot();
      return !state.copied() && equal(best->accepted(), state.accepted());
    };
    return set.is_quorum(flags(rs, has_best)) ? best : nullptr;
  }

  std::optional<pb::Value> peek(const std::string& name) {
    pb::Ask a;
    a.mutable_peek()->set_name(name);
    auto votes = ask(a, [&](auto& r) { return agreed(r) != nullptr; });
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
    b.set_node(me);
    pb::Ask a;
    a.mutable_prepare()->set_name(name);
    *a.mutable_prepare()->mutable_ballot() = b;
    auto promises = ask(a, [&](auto& r) { return settled(r); });
    pb::RegisterState best;
    for (auto& r : promises.replies)
      if (r && r->has_vote()) {
        note(r->vote());
        if (r->vote().yes() && lower(best.accepted(), r->vote().slot().accepted())) best = r->vote().slot();
      }
    o.heard = set.is_quorum(flags(promises.replies, votes));
    auto epoch = set.epoch();
    if (promises.expired || !quorum_said_yes(promises.replies)) return o;
    o.promised = true;
    o.value = make(best.value());
    pb::Ask c;
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
    pb::Ask a;
    *a.mutable_adopt()->mutable_set() = set.message();
    auto all_answered = [](const Replies& rs) {
      return std::all_of(rs.begin(), rs.end(), [](auto& r) { return r.has_value(); });
    };
    auto rs = ask_all(
        ps, set.all(), [&](size_t) { return a; }, limit, all_answered, me, local);
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
    auto t =
        std::make_shared<Table>(Table{names, 0, std::min(kAtOnce, names.size()), true, ps.tasks.condition()});
    for (size_t k = t->left; k > 0; --k)
      ps.tasks.spawn([this, t] {
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

RegisterClient::RegisterClient(base::Ports& ps, std::string me, ReplicaSetView& set, Duration round,
                               Local local)
    : p_(new Impl{ps, std::move(me), set, round, std::move(local)}) {}
RegisterClient::~RegisterClient() = default;
size_t RegisterClient::sufficient_count() const { return p_->set.sufficient_count(); }
const std::vector<Replica>& RegisterClient::replicas() const { return p_->set.all(); }
ReplicaSetView& RegisterClient::set() { return p_->set; }

ReadResult RegisterClient::read(const std::string& name) {
  auto& p = *p_;
  TimePoint end = p.ps.clock.now() + p.round * kRounds;
  for (int i = 0, silent = 0; i == 0 || p.ps.clock.now() < end; ++i) {
    if (auto v = p.peek(name)) return VersionedValue{v->version(), v->data()};
    auto o = p.turn(name, [](const pb::Value& v) { return v; });
    if (o.chosen) return VersionedValue{o.value.version(), o.value.data()};
    if (!o.heard && ++silent >= kSilentTries) break;
    p.back_off(i);
  }
  return RegisterError::no_majority;
}

WriteResult RegisterClient::write(const std::string& name, uint64_t expect, const std::string& data) {
  auto& p = *p_;
  auto tag = base::token(p.ps.random);
  auto is_mine = [&](const pb::Value& v) {
    return v.tag() == tag || std::find(v.past().begin(), v.past().end(), tag) != v.past().end();
  };
  bool sent = false;
  auto stale = [&](const pb::Value& v) -> WriteResult {
    // Past this many later writes the tags no longer tell whether ours was among them.
    if (sent && v.version() > expect + kPastTags) return RegisterError::fate_unknown;
    return VersionConflict{{v.version(), v.data()}};
  };
  TimePoint end = p.ps.clock.now() + p.round * kRounds;
  for (int i = 0, silent = 0; i == 0 || p.ps.clock.now() < end; ++i) {
    // After a round that broke off, a look first: the race may be over.
    if (i > 0)
      if (auto v = p.peek(name)) {
        if (is_mine(*v)) return VersionedValue{expect + 1, data};
        if (v->version() != expect) return stale(*v);
      }
    bool mine = false, first = false;
    auto o = p.turn(name, [&](const pb::Value& v) {
      mine = is_mine(v);
      if (mine || v.version() != expect) return v;
      first = true;
      pb::Value n;
      n.set_version(expect + 1);
      n.set_data(data);
      n.set_tag(tag);
      if (!v.tag().empty()) n.add_past(v.tag());
      for (int k = 0; k < v.past_size() && n.past_size() < kPastTags; ++k) n.add_past(v.past(k));
      return n;
    });
    sent |= first;
    if (o.chosen) {
      if (mine || first) return VersionedValue{expect + 1, data};
      return stale(o.value);
    }
    if (!o.heard && ++silent >= kSilentTries) break;
    p.back_off(i);
  }
  return sent ? RegisterError::fate_unknown : RegisterError::no_majority;
}

// Writes `next` over the set of `from_epoch`, under the quorum of the present set.
ReplicaSetResult RegisterClient::write_set(const pb::ReplicaSet& next, uint64_t from_epoch) {
  auto& p = *p_;
  auto held = read(kReplicaSetKey);
  auto* now = std::get_if<VersionedValue>(&held);
  if (!now) return ReplicaSetError::no_majority;
  pb::ReplicaSet seen;
  seen.ParseFromString(now->data);
  if (p.set.epoch() != from_epoch || seen.epoch() > from_epoch) return ReplicaSetError::raced;
  auto written = write(kReplicaSetKey, now->version, next.SerializeAsString());
  if (std::holds_alternative<VersionConflict>(written)) return ReplicaSetError::raced;
  if (auto* error = std::get_if<RegisterError>(&written))
    return *error == RegisterError::no_majority ? ReplicaSetError::no_majority
                                                : ReplicaSetError::fate_unknown;
  p.set.adopt(next);
  p.spread_set(p.round / kTellPart);
  return next;
}

ReplicaSetResult RegisterClient::begin_change(const std::vector<Replica>& to) {
  auto& set = p_->set;
  if (set.joint() || to == set.current()) return ReplicaSetError::no_change;
  if (to.size() < set.current().size() && to.size() < kFewestReplicas) return ReplicaSetError::too_few;
  auto from = set.message();
  pb::ReplicaSet next;
  next.set_epoch(from.epoch() + 1);
  *next.mutable_previous() = from.holders();
  for (auto& replica : to) {
    auto* entry = next.add_holders();
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
  auto& p = *p_;
  if (!p.set.joint()) return ReplicaSetError::no_change;
  auto from = p.set.message();
  if (!p.set.is_quorum(p.spread_set(p.round)) || p.set.epoch() != from.epoch())
    return ReplicaSetError::no_majority;
  auto all_names = names();
  if (!all_names || !p.finish(*all_names)) return ReplicaSetError::no_majority;
  if (p.set.epoch() != from.epoch()) return ReplicaSetError::raced;
  pb::ReplicaSet next;
  next.set_epoch(from.epoch() + 1);
  *next.mutable_holders() = from.holders();
  return write_set(next, from.epoch());
}

bool RegisterClient::rewrite(const std::vector<std::string>& names) { return p_->finish(names); }

ReplicaSetResult RegisterClient::change(const std::vector<Replica>& to, const RegisterNames& names) {
  if (p_->set.joint()) {
    auto left = finish_change(names);
    if (std::holds_alternative<ReplicaSetError>(left)) return left;
  }
  auto begun = begin_change(to);
  if (std::holds_alternative<ReplicaSetError>(begun)) return begun;
  return finish_change(names);
}

}  // namespace dunlinwing::consensus
