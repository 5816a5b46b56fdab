// Records of votes that arrive together are synced together. What a pull may
// see is what has been synced.
#include "consensus/acceptor.hpp"

#include "base/log.hpp"
#include "consensus/refill.hpp"
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log lg("consensus");
// Pauses between two tries to write a failed disk anew, as parts of a round's limit: the first,
// and the longest, to which it doubles.
constexpr int kFirstPauseShare = 16;
constexpr int kLongestPauseShare = 2;
}  // namespace

struct Acceptor::Impl : std::enable_shared_from_this<Acceptor::Impl> {
  base::Ports& ps;
  base::Disk& disk;
  std::string me;
  ReplicaSetView& set;
  uint64_t epoch = 0;         // of the set under which asks are answered
  uint64_t synced_epoch = 0;  // of the set that is durable here; never above `epoch`
  Duration round;
  pb::Stage stage = pb::BLANK;
  std::optional<pb::First> first;
  bool bad = false;     // the disk failed, and was not yet written anew
  bool missed = false;  // memory changed while it was being written anew
  bool writing = false, refilling = false;
  TimePoint began{0};  // of the write under way
  uint64_t failures = 0;
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
    if (r.has_set()) synced_epoch = std::max(synced_epoch, r.set().epoch());
    if (!r.has_slot()) return;
    auto& s = synced[r.slot().name()];
    if (!equal(s.accepted(), r.slot().accepted())) feed[r.slot().name()] = ++count;
    s = r.slot();
  }

  // True once the record and all before it are synced; false when the disk fails, or answers
  // nothing for a round's limit. The write may then still complete, but is answered by nobody.
  bool sync(const pb::Record& r) {
    if (bad) {
      missed = true;  // by the image being written
      return false;
    }
    batch.push_back(r);
    uint64_t mine = ++put, failures_before = failures;
    if (!writing) {
      writing = true;
      began = ps.clock.now();
      ps.tasks.spawn([me = shared_from_this()] { me->write_batches(); });
    }
    auto end = ps.clock.now() + round;
    while (done < mine && failures == failures_before && ps.clock.now() < end) {
      auto s = ps.tasks.condition();
      waits.push_back(s);
      s->wait(end - ps.clock.now());
    }
    return done >= mine && failures == failures_before;
  }

  void wake_all() {
    for (auto& w : std::exchange(waits, {})) w->notify();
  }

  // What comes while a batch is being written goes into the next.
  void write_batches() {
    while (!batch.empty()) {
      auto b = std::exchange(batch, {});
      uint64_t upto = put;
      began = ps.clock.now();
      if (disk.save(b, [this] { return whole(); })) {
        recover();
        continue;
      }
      for (auto& x : b) publish(x);
      done = upto;
      wake_all();
    }
    writing = false;
  }

  // After a failed write nobody knows what of it is on the disk. The replica is mute until a
  // whole image of its memory is written beside what was there, synced and read back.
  //
  // Why that is safe. Let M be the memory when the image is made, and A all that this replica
  // ever answered for: promises, accepts, its set and its stage.
  // - A is in M, or superseded there: every answer is given from memory after its record is
  //   synced, and memory only rises in ballots and epochs. So no promise or accept that
  //   somebody counted is forgotten.
  // - M holds besides what was never answered for, for each such caller was told mute. A
  //   promise that nobody counted only turns lower ballots away. An accept that nobody
  //   counted is a value proposed at a ballot above every promise here, just as if the
  //   answer had been lost on its way: Paxos holds whether or not such an answer arrives.
  //   A later reader who counts it finds it on the disk.
  // - Nothing of M is told of before the image is synced: mute replicas answer no vote, peek,
  //   dump or pull. Then what is published is what is in the image.
  // - What changed in memory while the image was being written had its sync refused
  //   (`missed`), so another image follows before anything is answered.
  // - No caller of before is answered later: `failures` has risen, whatever `done` becomes.
  void recover() {
    bad = true;
    ++failures;
    wake_all();
    lg.error("{}: the disk failed; this replica is mute until it is written anew.", me);
    Duration pause = std::max(Duration(1), round / kFirstPauseShare);
    for (;;) {
      missed = false;
      batch.clear();  // all of it is in the image
      auto image = whole();
      if (!disk.rewrite(image)) {
        if (missed) continue;
        publish_image(image);
        break;
      }
      ps.clock.sleep(pause);
      pause = std::min<Duration>(pause * 2, std::max(Duration(1), round / kLongestPauseShare));
    }
    bad = false;
    lg.info("{}: the disk is written anew; this replica votes again.", me);
    if (stage != pb::FORMED && !refilling) ps.tasks.spawn([me = shared_from_this()] { me->fill(false); });
  }

  void publish_image(const pb::Image& image) {
    pb::Record r;
    if (image.has_set()) *r.mutable_set() = image.set();
    publish(r);
    for (auto& slot : image.slots()) {
      *r.mutable_slot() = slot;
      publish(r);
    }
  }

  // A write under way for longer than a round's limit: nothing more is queued behind it.
  bool stalled() const { return writing && ps.clock.now() - began > round; }

  // Refills until formed, over failures of the disk; one fiber at a time, for a second one
  // could take what it heard over a vote given since.
  void fill(bool told) {
    refilling = true;
    do refill(told);
    while (stage != pb::FORMED && !bad);
    refilling = false;
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
    if (s.epoch() <= synced_epoch) return true;
    set.adopt(s);
    epoch = std::max(epoch, s.epoch());
    pb::Record r;
    *r.mutable_set() = set.message();  // this one, or a newer one that memory has already
    return sync(r) && synced_epoch >= s.epoch();
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

  // What all others hold, waiting for each of them as long as a round may take.
  RefillSurvey survey() {
    auto others = this->others();
    pb::Ask dump;
    dump.mutable_dump()->set_node(me);
    auto replies = ask_all(
        ps, others, [&](size_t) { return dump; }, round, [](auto&) { return false; });
    RefillSurvey survey;
    survey.asked = others.size();
    for (size_t k = 0; k < replies.size(); ++k)
      if (replies[k] && replies[k]->has_image()) add_reply(survey, others[k], replies[k]->image(), set);
    return survey;
  }

  // Takes all that the others hold, under the present set; false when the disk fails.
  bool take_survey(RefillSurvey& survey) {
    if (!adopt(set.message()) || !take(survey.registers)) return false;
    lg.info("{}: refilled with {} registers from {} holders.", me, survey.registers.size(), survey.formed);
    set_stage(pb::FORMED);
    return true;
  }

  // Remembers the seeds of the first start before anything else, for a restart amid it.
  bool remember_first() {
    pb::Record record;
    *record.mutable_first() = *first;
    return sync(record);
  }

  // Until formed, or the disk fails.
  void refill(bool told) {
    if (told && !first->seeds().empty() && !remember_first()) return;
    if (stage == pb::BLANK) ps.clock.sleep(round);
    bool doubted = false;
    while (stage != pb::FORMED && !bad) {
      if (!set.has(me)) {  // no replica yet, or the set is not known
        ps.clock.sleep(round / 4);
        continue;
      }
      auto survey = this->survey();
      switch (next_step(survey, stage, set, me, first.has_value())) {
        case RefillStep::take:
          if (!take_survey(survey)) return;
          break;
        case RefillStep::become_born:
          if (!adopt(set.message())) return;  // a born disk knows its set
          set_stage(pb::BORN);
          break;
        case RefillStep::become_formed:
          set_stage(pb::FORMED);
          break;
        case RefillStep::doubtful:
          if (!std::exchange(doubted, true))
            lg.warn(
                "{}: this disk is blank, and the others cannot tell whether anything was ever recorded; it "
                "stays mute.",
                me);
          ps.clock.sleep(round / 4);
          break;
        case RefillStep::ask_again:
          ps.clock.sleep(round / 4);
          break;
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
  p_->epoch = p_->synced_epoch = l.image.set().epoch();
  for (auto& s : l.image.slots()) {
    p_->slots[s.name()] = p_->synced[s.name()] = s;
    p_->feed[s.name()] = ++p_->count;
  }
  lg.info("{}: the disk is {} and holds {} registers.", p_->me, pb::Stage_Name(p_->stage), p_->slots.size());
  if (p_->stage == pb::BLANK && l.image.has_first()) p_->first = l.image.first();
  bool told = first && !p_->first && p_->stage == pb::BLANK && p_->slots.empty() && !p_->epoch;
  if (told) p_->first = first;
  if (l.unwritten) {
    p_->bad = p_->writing = true;
    p_->ps.tasks.spawn([p = p_] {
      p->recover();
      p->write_batches();
    });
  }
  if (p_->stage != pb::FORMED) p_->ps.tasks.spawn([p = p_, told] { p->fill(told); });
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
    bool ok = !p.bad && !p.stalled() && adopt(a.adopt().set());
    out.mutable_vote()->set_yes(ok);
    return out;
  }
  if (a.epoch() < p.epoch) {
    *out.mutable_vote()->mutable_newer() = p.set.message();
    out.mutable_vote()->set_mute(true);
    return out;
  }
  if (mute() || (p.stalled() && !a.has_peek())) {
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

void Acceptor::changes(uint64_t boot, uint64_t seen, uint64_t most_bytes, pb::PullReply& out) const {
  auto& p = *p_;
  out.set_boot(p.boot);
  out.set_seen(mute() ? 0 : p.count);  // of what is not told yet nothing was seen
  out.set_mute(mute());
  if (p.epoch) *out.mutable_set() = p.set.message();
  out.set_adopted_epoch(p.synced_epoch);
  if (mute()) return;
  if (boot != p.boot) seen = 0;
  std::map<uint64_t, const std::string*> later;  // by the number of the change
  for (auto& [name, number] : p.feed)
    if (number > seen) later[number] = &name;
  size_t bytes = 0;
  for (auto& [number, name] : later) {
    auto& state = p.synced.at(*name);
    bytes += state.ByteSizeLong();
    if (most_bytes && bytes > most_bytes && out.slots_size() > 0) return out.set_more(true);
    *out.add_slots() = state;
    out.set_seen(number);
  }
  out.set_seen(p.count);
}

}  // namespace dunlinwing::consensus
