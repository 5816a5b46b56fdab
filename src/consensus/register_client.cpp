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
constexpr size_t kAtOnce = 16;  // registers finished side by side; holders sync their votes together
}  // namespace

struct RegisterClient::Impl {
  base::Ports& ps;
  std::string me;
  ReplicaSetView& set;
  Duration round;
  Local local;
  uint64_t top = 0;

  size_t majority() const { return set.majority(); }

  // The set must not change under a round's feet: replies of one set are counted
  // by that set's majority, and a newer set that somebody names voids the round.
  Replies ask(pb::Ask a, const Enough& e) {
    auto epoch = set.epoch();
    a.set_epoch(epoch);
    auto rs = ask_all(
        ps, set.all(), [&](size_t) { return a; }, round, e, me, local);
    for (auto& r : rs)
      if (r && r->has_vote()) set.adopt(r->vote().newer());
    if (set.epoch() != epoch) rs.assign(set.all().size(), std::nullopt);
    return rs;
  }

  void note(const pb::Vote& v) { top = std::max(top, v.slot().promised().round()); }

  static size_t yeses(const Replies& rs) {
    return static_cast<size_t>(
        std::count_if(rs.begin(), rs.end(), [](auto& r) { return r && r->has_vote() && r->vote().yes(); }));
  }
  static size_t voters(const Replies& rs) {
    return static_cast<size_t>(
        std::count_if(rs.begin(), rs.end(), [](auto& r) { return r && r->has_vote() && !r->vote().mute(); }));
  }
  // Voting is over when a majority said yes, or so many said no that none can.
  bool settled(const Replies& rs) const {
    size_t no = 0;
    for (auto& r : rs) no += r && !(r->has_vote() && r->vote().yes());
    return yeses(rs) >= majority() || no > rs.size() - majority();
  }

  // Proposers that met each other wait a random while, longer each time.
  void back_off(int i) {
    auto most =
        static_cast<uint64_t>(round.count()) / 32 * static_cast<uint64_t>(1 << std::min(i, kMostDoublings));
    ps.clock.sleep(Duration(1 + ps.random.below(most + 1)));
  }

  // The slot that a majority has accepted at one ballot, none higher being seen.
  const pb::RegisterState* agreed(const Replies& rs) const {
    const pb::RegisterState* best = nullptr;
    auto yes = [](auto& r) { return r && r->has_vote() && r->vote().yes(); };
    for (auto& r : rs)
      if (yes(r) && (!best || lower(best->accepted(), r->vote().slot().accepted()))) best = &r->vote().slot();
    size_t n = 0;
    for (auto& r : rs) n += best && yes(r) && equal(best->accepted(), r->vote().slot().accepted());
    return n >= majority() ? best : nullptr;
  }

  std::optional<pb::Value> peek(const std::string& name) {
    pb::Ask a;
    a.mutable_peek()->set_name(name);
    auto rs = ask(a, [&](auto& r) { return agreed(r) != nullptr; });
    if (auto* s = agreed(rs)) return s->value();
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
    auto from = ps.clock.now();
    auto rs = ask(a, [&](auto& r) { return settled(r); });
    pb::RegisterState best;
    for (auto& r : rs)
      if (r && r->has_vote()) {
        note(r->vote());
        if (r->vote().yes() && lower(best.accepted(), r->vote().slot().accepted())) best = r->vote().slot();
      }
    o.heard = voters(rs) >= majority();
    auto epoch = set.epoch();
    // A promise older than a round's limit may come from a disk since lost.
    if (yeses(rs) < majority() || ps.clock.now() - from > round) return o;
    o.promised = true;
    o.value = make(best.value());
    pb::Ask c;
    c.mutable_accept()->set_name(name);
    *c.mutable_accept()->mutable_ballot() = b;
    *c.mutable_accept()->mutable_value() = o.value;
    auto as = ask(c, [&](auto& r) { return settled(r); });
    for (auto& r : as)
      if (r && r->has_vote()) note(r->vote());
    o.chosen = set.epoch() == epoch && yeses(as) >= majority();
    return o;
  }

  // Writes the value in force of each register anew, so that a majority of the present set has it.
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
size_t RegisterClient::majority() const { return p_->majority(); }
const std::vector<Replica>& RegisterClient::holders() const { return p_->set.all(); }
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

std::variant<pb::ReplicaSet, ReplicaSetError> RegisterClient::change(
    const std::vector<Replica>& to, const std::function<std::optional<std::vector<std::string>>()>& names) {
  auto& p = *p_;
  auto from = p.set.message();
  auto in = [](const std::vector<Replica>& v, const std::string& n) {
    return std::any_of(v.begin(), v.end(), [&](auto& h) { return h.name == n; });
  };
  size_t more = 0, fewer = 0;
  for (auto& h : to) more += !in(p.set.all(), h.name);
  for (auto& h : p.set.all()) fewer += !in(to, h.name);
  if (more + fewer != 1) return ReplicaSetError::not_one_step;
  if (fewer && to.size() < 3) return ReplicaSetError::too_few;
  pb::Ask a;
  *a.mutable_adopt()->mutable_set() = from;
  auto rs = ask_all(
      p.ps, p.set.all(), [&](size_t) { return a; }, p.round, [](auto&) { return false; }, p.me, p.local);
  if (Impl::yeses(rs) < p.majority()) return ReplicaSetError::no_majority;
  // Asked for only now: what was won before under the set before this one is among them.
  auto ns = names();
  if (!ns) return ReplicaSetError::no_majority;
  if (!p.finish(*ns)) return ReplicaSetError::no_majority;
  auto g = read(kReplicaSetKey);
  auto* h = std::get_if<VersionedValue>(&g);
  if (!h) return ReplicaSetError::no_majority;
  if (p.set.epoch() != from.epoch()) return ReplicaSetError::raced;
  pb::ReplicaSet next;
  next.set_epoch(from.epoch() + 1);
  for (auto& x : to) {
    auto* e = next.add_holders();
    e->set_name(x.name);
    e->set_address(x.address);
  }
  pb::ReplicaSet seen;
  seen.ParseFromString(h->data);
  if (seen.epoch() > from.epoch()) return ReplicaSetError::raced;
  auto w = write(kReplicaSetKey, h->version, next.SerializeAsString());
  if (std::holds_alternative<VersionConflict>(w)) return ReplicaSetError::raced;
  if (auto* d = std::get_if<RegisterError>(&w))
    return *d == RegisterError::no_majority ? ReplicaSetError::no_majority : ReplicaSetError::fate_unknown;
  return next;
}

}  // namespace dunlinwing::consensus
