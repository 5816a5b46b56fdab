// Records of votes that arrive together are synced together. What a pull may
// see is what has been synced.
//
// A disk goes from blank to born to formed, and only a formed one votes. At the
// first start of a fleet blank turns to born when every holder answers and none has
// a register. At any other start it does so only when, besides, so many others are
// born that those that may ever have voted are no majority: then nothing was ever
// acknowledged. Born turns to formed when every holder is born, or one is formed. A
// blank disk among formed ones has been lost: it waits one round's limit, so
// that no round still counts a vote that its old disk gave, and then takes the
// highest promise and value from a majority of the others. So does a machine that
// has just been made a holder.
#include "consensus/acceptor.hpp"

#include "base/log.hpp"
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log lg("consensus");
}

struct Acceptor::Impl : std::enable_shared_from_this<Acceptor::Impl> {
  base::Ports& ps;
  base::Disk& disk;
  std::string me;
  ReplicaSetView& set;
  uint64_t epoch = 0;          // of the set under which asks are answered
  uint64_t adopted_epoch = 0;  // of the set that is durable here; never above `epoch`
  Duration round;
  pb::Stage stage = pb::BLANK;
  std::optional<pb::First> first;
  bool bad = false, writing = false;
  std::map<std::string, pb::RegisterState> slots, synced;
  std::map<std::string, uint64_t> feed;
  uint64_t boot = 0, count = 0;
  std::vector<pb::Record> batch;
  uint64_t put = 0, done = 0;
  std::vector<std::shared_ptr<base::Condition>> waits;

  Impl(base::Ports& p, base::Disk& d, std::string m, ReplicaSetView& s, Duration r)
      : ps(p), disk(d), me(std::move(m)), set(s), round(r) {}

  std::vector<Replica> others() const {
    std::vector<Replica> out;
    for (auto& h : set.all())
      if (h.name != me) out.push_back(h);
    return out;
  }

  pb::Image whole() const {
    pb::Image im;
    im.set_stage(stage);
    if (epoch) *im.mutable_set() = set.message();
    if (first && stage == pb::BLANK) *im.mutable_first() = *first;
    for (auto& [k, s] : slots) *im.add_slots() = s;
    return im;
  }

  void publish(const pb::Record& r) {
    if (!r.has_slot()) return;
    auto& s = synced[r.slot().name()];
    if (!equal(s.accepted(), r.slot().accepted())) feed[r.slot().name()] = ++count;
    s = r.slot();
  }

  // True once the record and all before it are synced.
  bool sync(const pb::Record& r) {
    batch.push_back(r);
    uint64_t mine = ++put;
    if (!writing) {
      writing = true;
      while (!batch.empty() && !bad) {
        auto b = std::exchange(batch, {});
        uint64_t upto = put;
        if (disk.save(b, [this] { return whole(); })) bad = true;
        if (!bad) {
          for (auto& x : b) publish(x);
          done = upto;
        }
        for (auto& w : std::exchange(waits, {})) w->notify();
      }
      writing = false;
    }
    while (done < mine && !bad) {
      auto s = ps.tasks.condition();
      waits.push_back(s);
      s->wait(round);
    }
    return done >= mine;
  }

  pb::Reply vote(const Step& st) {
    pb::Reply out;
    auto* v = out.mutable_vote();
    if (st.dirty) {
      slots[st.slot.name()] = st.slot;
      pb::Record r;
      *r.mutable_slot() = st.slot;
      if (!sync(r)) {
        v->set_mute(true);
        return out;
      }
    }
    v->set_yes(st.yes);
    *v->mutable_slot() = st.slot;
    return out;
  }

  // True once the set, or a newer one, is durable here. Asks of lower epochs are rejected
  // from the first moment on.
  bool adopt(const pb::ReplicaSet& s) {
    if (s.epoch() <= adopted_epoch) return true;
    set.adopt(s);
    epoch = std::max(epoch, s.epoch());
    pb::Record r;
    *r.mutable_set() = s;
    if (!sync(r)) return false;
    adopted_epoch = std::max(adopted_epoch, s.epoch());
    return true;
  }

  // All that the others hold, in one sync. It was not accepted here, so it is no vote.
  bool take(std::map<std::string, pb::RegisterState>& got) {
    pb::Record last;
    for (auto& [k, s] : got) {
      s.set_name(k);
      s.set_copied(s.accepted().round() > 0);
      slots[k] = s;
      pb::Record r;
      *r.mutable_slot() = s;
      if (last.has_slot()) {
        batch.push_back(std::exchange(last, r));
        ++put;
      } else {
        last = r;
      }
    }
    return got.empty() || sync(last);
  }

  void set_stage(pb::Stage s) {
    stage = s;
    pb::Record r;
    r.set_stage(s);
    if (sync(r)) lg.info("{}: this disk is now {}.", me, pb::Stage_Name(s));
  }

  // Whether a majority may ever have voted, seen from a blank disk that hears every other holder.
  bool may_have_voted(size_t born) const { return set.all().size() - born >= majority_of(set.all().size()); }

  // How many others of the complete list have to tell what they hold before this disk may
  // vote: so many that every quorum in which its former self may have voted is among them.
  size_t refill_quorum() const {
    auto& list = set.complete_list();
    return majority_of(list.size() - (contains_name(list, me) ? 1 : 0));
  }

  // Whether a set after the present one was written at one of those asked. It may be in force
  // already, and then quorums count that those asked do not know of.
  bool shows_later_set(const std::map<std::string, pb::RegisterState>& got) const {
    auto found = got.find(kReplicaSetKey);
    if (found == got.end()) return false;
    pb::ReplicaSet later;
    return later.ParseFromString(found->second.value().data()) && later.epoch() > set.epoch();
  }

  void refill(bool told) {
    if (told && !first->seeds().empty()) {  // before anything else, so that a restart remembers it
      pb::Record r;
      *r.mutable_first() = *first;
      if (!sync(r)) return;
    }
    if (stage == pb::BLANK) ps.clock.sleep(round);
    bool doubted = false;
    while (stage != pb::FORMED && !bad) {
      if (!set.has(me)) {  // no holder yet, or the set is not known
        ps.clock.sleep(round / 4);
        continue;
      }
      auto others = this->others();
      pb::Ask a;
      a.mutable_dump()->set_node(me);
      auto rs = ask_all(
          ps, others, [&](size_t) { return a; }, round, [](auto&) { return false; });
      size_t heard = 0, born = 0, formed = 0, full = 0, formed_complete = 0;
      bool newer = false;
      std::map<std::string, pb::RegisterState> got;
      for (size_t k = 0; k < rs.size(); ++k) {
        auto& r = rs[k];
        if (!r || !r->has_image()) continue;
        auto& im = r->image();
        newer |= set.adopt(im.set());
        ++heard;
        born += im.stage() != pb::BLANK;
        formed += im.stage() == pb::FORMED;
        full += im.slots_size() > 0;
        if (im.stage() != pb::FORMED) continue;
        formed_complete += contains(set.complete_list(), others[k]);
        for (auto& s : im.slots()) got[s.name()] = higher(got[s.name()], s);
      }
      bool every = heard == others.size();
      if (newer || !set.has(me) || shows_later_set(got)) {  // of another set than the one in force
        ps.clock.sleep(round / 4);
      } else if (stage == pb::BLANK && formed_complete >= refill_quorum()) {
        if (!adopt(set.message())) return;
        if (!take(got)) return;
        lg.info("{}: refilled with {} registers from {} holders.", me, got.size(), formed);
        set_stage(pb::FORMED);
      } else if (stage == pb::BLANK && every && !full && !formed && set.epoch() <= 1 && !set.joint() &&
                 (first || !may_have_voted(born))) {
        if (!adopt(set.message())) return;  // a born disk knows its set
        set_stage(pb::BORN);
      } else if (stage == pb::BORN && (formed > 0 || (every && born == others.size()))) {
        set_stage(pb::FORMED);
      } else {
        if (stage == pb::BLANK && every && !formed && !std::exchange(doubted, true))
          lg.warn(
              "{}: this disk is blank, and the others cannot tell whether anything was ever recorded; it "
              "stays mute.",
              me);
        ps.clock.sleep(round / 4);
      }
    }
  }
};

Acceptor::Acceptor(base::Ports& ps, base::Disk& d, std::string me, ReplicaSetView& set, Duration round)
    : p_(std::make_shared<Impl>(ps, d, std::move(me), set, round)) {}
Acceptor::~Acceptor() = default;

void Acceptor::start(const std::optional<pb::First>& first) {
  auto l = p_->disk.load();
  p_->boot = p_->ps.random.draw() | 1;
  p_->stage = l.image.stage();
  p_->set.adopt(l.image.set());
  p_->epoch = p_->adopted_epoch = l.image.set().epoch();
  for (auto& s : l.image.slots()) {
    p_->slots[s.name()] = p_->synced[s.name()] = s;
    p_->feed[s.name()] = ++p_->count;
  }
  lg.info("{}: the disk is {} and holds {} registers.", p_->me, pb::Stage_Name(p_->stage), p_->slots.size());
  if (p_->stage == pb::BLANK && l.image.has_first()) p_->first = l.image.first();
  bool told = first && !p_->first && p_->stage == pb::BLANK && p_->slots.empty() && !p_->epoch;
  if (told) p_->first = first;
  if (p_->stage != pb::FORMED) p_->ps.tasks.spawn([p = p_, told] { p->refill(told); });
}

std::optional<pb::First> Acceptor::first() const { return p_->first; }

bool Acceptor::mute() const { return p_->bad || p_->stage != pb::FORMED; }
bool Acceptor::adopt(const pb::ReplicaSet& s) { return p_->adopt(s); }

std::vector<std::string> Acceptor::copied() const {
  std::vector<std::string> names;
  for (auto& [name, state] : p_->synced)
    if (state.copied()) names.push_back(name);
  return names;
}

pb::Reply Acceptor::answer(const pb::Ask& a) {
  auto& p = *p_;
  pb::Reply out;
  if (a.has_dump()) {
    if (p.bad) {
      out.set_defect("the disk failed");
      return out;
    }
    auto* im = out.mutable_image();
    im->set_stage(p.stage);
    *im->mutable_set() = p.set.message();
    for (auto& [k, s] : p.synced) *im->add_slots() = s;
    return out;
  }
  if (a.has_adopt()) {
    bool ok = !p.bad && p.adopt(a.adopt().set());
    out.mutable_vote()->set_yes(ok);
    return out;
  }
  if (a.epoch() < p.epoch) {
    *out.mutable_vote()->mutable_newer() = p.set.message();
    out.mutable_vote()->set_mute(true);
    return out;
  }
  if (mute()) {
    out.mutable_vote()->set_mute(true);
    return out;
  }
  if (a.has_prepare()) return p.vote(prepare(p.slots[a.prepare().name()], a.prepare()));
  if (a.has_accept()) return p.vote(accept(p.slots[a.accept().name()], a.accept()));
  auto* v = out.mutable_vote();
  v->set_yes(true);
  if (auto f = p.synced.find(a.peek().name()); f != p.synced.end()) *v->mutable_slot() = f->second;
  return out;
}

void Acceptor::changes(uint64_t boot, uint64_t seen, pb::PullReply& out) const {
  auto& p = *p_;
  out.set_boot(p.boot);
  out.set_seen(mute() ? 0 : p.count);  // of what is not told yet nothing was seen
  out.set_mute(mute());
  if (p.epoch) *out.mutable_set() = p.set.message();
  out.set_adopted_epoch(p.adopted_epoch);
  if (mute()) return;
  if (boot != p.boot) seen = 0;
  for (auto& [k, n] : p.feed)
    if (n > seen) *out.add_slots() = p.synced.at(k);
}

}  // namespace dunlinwing::consensus
