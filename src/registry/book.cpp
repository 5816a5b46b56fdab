// Every change is one Paxos round: prepare, look at the highest accepted
// value, accept either that value again or the next one. A value carries the
// tag of its writer and those of the writes before it, so that a writer whose
// round broke off can find out whether another finished it.
#include "registry/book.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "registry/vote.hpp"

namespace dunlinwing::registry {
namespace {
constexpr int kPastTags = 8;
constexpr int kTries = 12;
}  // namespace

struct Book::Impl {
  base::Ports& ps;
  std::string me;
  std::vector<Holder> hs;
  Span round;
  Local local;
  uint64_t top = 0;

  size_t majority() const { return hs.size() / 2 + 1; }

  Replies ask(const pb::Ask& a, const Enough& e) {
    return ask_all(ps, hs, [&](size_t) { return a; }, round, e, me, local);
  }

  void note(const pb::Vote& v) { top = std::max(top, v.slot().promised().round()); }

  static size_t yeses(const Replies& rs) {
    return static_cast<size_t>(
        std::count_if(rs.begin(), rs.end(), [](auto& r) { return r && r->has_vote() && r->vote().yes(); }));
  }
  // Voting is over when a majority said yes, or so many said no that none can.
  bool settled(const Replies& rs) const {
    size_t no = 0;
    for (auto& r : rs) no += r && !(r->has_vote() && r->vote().yes());
    return yeses(rs) >= majority() || no > hs.size() - majority();
  }

  void back_off(int i) {
    auto most = static_cast<uint64_t>(round.count()) / 16 * static_cast<uint64_t>(1 << std::min(i, 3));
    ps.clock.nap(Span(1 + ps.chance.below(most + 1)));
  }

  // One round. `make` turns the value in force into the next, or into itself.
  // Nothing: no majority promised. False: it was promised, but the accept may
  // or may not hold.
  struct Out {
    pb::Value value;
    bool promised = false, chosen = false;
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
    pb::Slot best;
    for (auto& r : rs)
      if (r && r->has_vote()) {
        note(r->vote());
        if (r->vote().yes() && lower(best.accepted(), r->vote().slot().accepted())) best = r->vote().slot();
      }
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
    o.chosen = yeses(as) >= majority();
    return o;
  }
};

Book::Book(base::Ports& ps, std::string me, std::vector<Holder> hs, Span round, Local local)
    : p_(new Impl{ps, std::move(me), std::move(hs), round, std::move(local)}) {}
Book::~Book() = default;
size_t Book::majority() const { return p_->majority(); }
const std::vector<Holder>& Book::holders() const { return p_->hs; }

Got Book::read(const std::string& name) {
  auto& p = *p_;
  pb::Ask a;
  a.mutable_peek()->set_name(name);
  auto agreed = [&](const Replies& rs) -> const pb::Slot* {
    const pb::Slot* best = nullptr;
    for (auto& r : rs)
      if (r && r->has_vote() && r->vote().yes() &&
          (!best || lower(best->accepted(), r->vote().slot().accepted())))
        best = &r->vote().slot();
    size_t n = 0;
    for (auto& r : rs)
      n += best && r && r->has_vote() && r->vote().yes() && equal(best->accepted(), r->vote().slot().accepted());
    return n >= p.majority() ? best : nullptr;
  };
  auto rs = p.ask(a, [&](auto& r) { return agreed(r) != nullptr; });
  if (auto* s = agreed(rs)) return Held{s->value().version(), s->value().data()};
  for (int i = 0; i < kTries; ++i) {
    auto o = p.turn(name, [](const pb::Value& v) { return v; });
    if (o.chosen) return Held{o.value.version(), o.value.data()};
    if (!o.promised && i >= 3) return Defect::no_majority;
    p.back_off(i);
  }
  return Defect::no_majority;
}

Put Book::write(const std::string& name, uint64_t expect, const std::string& data) {
  auto& p = *p_;
  auto tag = base::token(p.ps.chance);
  bool sent = false;
  for (int i = 0; i < kTries; ++i) {
    bool mine = false, first = false;
    auto o = p.turn(name, [&](const pb::Value& v) {
      mine = v.tag() == tag || std::find(v.past().begin(), v.past().end(), tag) != v.past().end();
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
      if (mine || first) return Held{expect + 1, data};
      if (!sent || o.value.version() <= expect + kPastTags) return Stale{{o.value.version(), o.value.data()}};
      return Defect::fate_unknown;
    }
    if (!o.promised && i >= 3) break;
    p.back_off(i);
  }
  return sent ? Defect::fate_unknown : Defect::no_majority;
}

}  // namespace dunlinwing::registry
