// Records of votes that arrive together are synced together. What a pull may
// see is what has been synced.
#include "consensus/acceptor.hpp"

#include "base/log.hpp"
#include "consensus/refill.hpp"
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log logger("consensus");
// Pauses between two tries to write a failed disk anew, as parts of a round's limit: the first,
// and the longest, to which it doubles.
constexpr int kFirstPauseShare = 16;
constexpr int kLongestPauseShare = 2;
}  // namespace

struct Acceptor::Impl : std::enable_shared_from_this<Acceptor::Impl> {
  base::Ports& ports;
  base::Disk& disk;
  std::string node_name;
  ReplicaSetView& set;
  uint64_t epoch = 0;         // of the set under which asks are answered
  uint64_t synced_epoch = 0;  // of the set that is durable here; never above `epoch`
  Duration round;
  pb::ReplicaStage stage = pb::REPLICA_EMPTY;
  std::optional<pb::InitialBoot> first;
  bool bad = false;     // the disk failed, and was not yet written anew
  bool missed = false;  // memory changed while it was being written anew
  bool writing = false, refilling = false;
  TimePoint began{0};  // of the write under way
  uint64_t failures = 0;
  std::map<std::string, pb::RegisterState> slots, synced;
  std::map<std::string, uint64_t> feed;
  uint64_t boot = 0, count = 0;
  std::vector<pb::LogRecord> batch;
  uint64_t put = 0, done = 0;
  std::vector<std::shared_ptr<base::Condition>> waits;

  Impl(base::Ports& ports, base::Disk& d, std::string m, ReplicaSetView& s, Duration r)
      : ports(ports), disk(d), node_name(std::move(m)), set(s), round(r) {}

  std::vector<Replica> others() const {
    std::vector<Replica> out;
    for (auto& h : set.all())
      if (h.name != node_name) out.push_back(h);
    return out;
  }

  pb::Snapshot whole() const {
    pb::Snapshot im;
    im.set_stage(stage);
    if (epoch) *im.mutable_replica_set() = set.message();
    if (first && stage == pb::REPLICA_EMPTY) *im.mutable_initial_boot() = *first;
    for (auto& [k, s] : slots) *im.add_registers() = s;
    return im;
  }

  void publish(const pb::LogRecord& r) {
    if (r.has_replica_set()) synced_epoch = std::max(synced_epoch, r.replica_set().epoch());
    if (!r.has_register_state()) return;
    auto& state = synced[r.register_state().name()];
    if (!is_equal(state.accepted(), r.register_state().accepted())) feed[r.register_state().name()] = ++count;
    state = r.register_state();
  }

  // True once the record and all before it are synced; false when the disk fails, or answers
  // nothing for a round's limit. The write may then still complete, but is answered by nobody.
  bool sync(const pb::LogRecord& r) {
    if (bad) {
      missed = true;  // by the image being written
      return false;
    }
    batch.push_back(r);
    uint64_t mine = ++put, failures_before = failures;
    if (!writing) {
      writing = true;
      began = ports.clock.now();
      ports.tasks.spawn([me = shared_from_this()] { me->write_batches(); });
    }
    auto end = ports.clock.now() + round;
    while (done < mine && failures == failures_before && ports.clock.now() < end) {
      auto s = ports.tasks.condition();
      waits.push_back(s);
      s->wait(end - ports.clock.now());
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
      began = ports.clock.now();
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
    logger.error("{}: the disk failed; this replica is mute until it is written anew.", node_name);
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
      ports.clock.sleep(pause);
      pause = std::min<Duration>(pause * 2, std::max(Duration(1), round / kLongestPauseShare));
    }
    bad = false;
    logger.info("{}: the disk is written anew; this replica votes again.", node_name);
    if (stage != pb::REPLICA_VOTING && !refilling)
      ports.tasks.spawn([me = shared_from_this()] { me->fill(false); });
  }

  void publish_image(const pb::Snapshot& image) {
    pb::LogRecord r;
    if (image.has_replica_set()) *r.mutable_replica_set() = image.replica_set();
    publish(r);
    for (auto& slot : image.registers()) {
      *r.mutable_register_state() = slot;
      publish(r);
    }
  }

  // A write under way for longer than a round's limit: nothing more is queued behind it.
  bool stalled() const { return writing && ports.clock.now() - began > round; }

  // Refills until formed, over failures of the disk; one fiber at a time, for a second one
  // could take what it heard over a vote given since.
  void fill(bool told) {
    refilling = true;
    do refill(told);
    while (stage != pb::REPLICA_VOTING && !bad);
    refilling = false;
  }

  pb::PeerResponse vote(const VoteStep& st) {
    pb::PeerResponse out;
    auto* v = out.mutable_vote();
    if (st.must_sync) {
      slots[st.state.name()] = st.state;
      pb::LogRecord r;
      *r.mutable_register_state() = st.state;
      if (!sync(r)) {
        v->set_non_voting(true);
        return out;
      }
    }
    v->set_granted(st.granted);
    *v->mutable_register_state() = st.state;
    return out;
  }

  // True once the set, or a newer one, is durable here. Asks of lower epochs are rejected
  // from the first moment on.
  bool adopt(const pb::ReplicaSet& s) {
    if (s.epoch() <= synced_epoch) return true;
    set.adopt(s);
    epoch = std::max(epoch, s.epoch());
    pb::LogRecord r;
    *r.mutable_replica_set() = set.message();  // this one, or a newer one that memory has already
    return sync(r) && synced_epoch >= s.epoch();
  }

  // All that the others hold, in one sync. It was not accepted here, so it is no vote.
  bool take(std::map<std::string, pb::RegisterState>& got) {
    pb::LogRecord last;
    for (auto& [k, s] : got) {
      s.set_name(k);
      s.set_refilled(s.accepted().round() > 0);
      slots[k] = s;
      pb::LogRecord r;
      *r.mutable_register_state() = s;
      if (last.has_register_state()) {
        batch.push_back(std::exchange(last, r));
        ++put;
      } else {
        last = r;
      }
    }
    return got.empty() || sync(last);
  }

  void set_stage(pb::ReplicaStage s) {
    stage = s;
    pb::LogRecord r;
    r.set_stage(s);
    if (sync(r)) logger.info("{}: this disk is now {}.", node_name, pb::ReplicaStage_Name(s));
  }

  // What all others hold, waiting for each of them as long as a round may take.
  RefillSurvey survey() {
    auto others = this->others();
    pb::PeerRequest dump;
    dump.mutable_snapshot()->set_node(node_name);
    auto replies = call_replicas(
        ports, others, [&](size_t) { return dump; }, round, [](auto&) { return false; });
    RefillSurvey survey;
    survey.requested = others.size();
    for (size_t k = 0; k < replies.size(); ++k)
      if (replies[k] && replies[k]->has_snapshot())
        add_response(survey, others[k], replies[k]->snapshot(), set);
    return survey;
  }

  // Takes all that the others hold, under the present set; false when the disk fails.
  bool take_survey(RefillSurvey& survey) {
    if (!adopt(set.message()) || !take(survey.registers)) return false;
    logger.info("{}: refilled with {} registers from {} holders.", node_name, survey.registers.size(),
                survey.voting);
    set_stage(pb::REPLICA_VOTING);
    return true;
  }

  // Remembers the seeds of the first start before anything else, for a restart amid it.
  bool remember_first() {
    pb::LogRecord record;
    *record.mutable_initial_boot() = *first;
    return sync(record);
  }

  // Until formed, or the disk fails.
  void refill(bool told) {
    if (told && !first->seeds().empty() && !remember_first()) return;
    if (stage == pb::REPLICA_EMPTY) ports.clock.sleep(round);
    bool doubted = false;
    while (stage != pb::REPLICA_VOTING && !bad) {
      if (!set.has(node_name)) {  // no replica yet, or the set is not known
        ports.clock.sleep(round / 4);
        continue;
      }
      auto survey = this->survey();
      switch (next_step(survey, stage, set, node_name, first.has_value())) {
        case RefillStep::adopt_state:
          if (!take_survey(survey)) return;
          break;
        case RefillStep::become_joining:
          if (!adopt(set.message())) return;  // a born disk knows its set
          set_stage(pb::REPLICA_JOINING);
          break;
        case RefillStep::become_voting:
          set_stage(pb::REPLICA_VOTING);
          break;
        case RefillStep::undecidable:
          if (!std::exchange(doubted, true))
            logger.warn(
                "{}: this disk is blank, and the others cannot tell whether anything was ever recorded; it "
                "stays mute.",
                node_name);
          ports.clock.sleep(round / 4);
          break;
        case RefillStep::survey_again:
          ports.clock.sleep(round / 4);
          break;
      }
    }
  }
};

Acceptor::Acceptor(base::Ports& ports, base::Disk& disk, std::string node_name, ReplicaSetView& set,
                   Duration round)
    : impl_(std::make_shared<Impl>(ports, disk, std::move(node_name), set, round)) {}
Acceptor::~Acceptor() = default;

void Acceptor::start(const std::optional<pb::InitialBoot>& first) {
  auto l = impl_->disk.load();
  impl_->boot = impl_->ports.random.draw() | 1;
  impl_->stage = l.snapshot.stage();
  impl_->set.adopt(l.snapshot.replica_set());
  impl_->epoch = impl_->synced_epoch = l.snapshot.replica_set().epoch();
  for (auto& state : l.snapshot.registers()) {
    impl_->slots[state.name()] = impl_->synced[state.name()] = state;
    impl_->feed[state.name()] = ++impl_->count;
  }
  logger.info("{}: the disk is {} and holds {} registers.", impl_->node_name,
              pb::ReplicaStage_Name(impl_->stage), impl_->slots.size());
  if (impl_->stage == pb::REPLICA_EMPTY && l.snapshot.has_initial_boot())
    impl_->first = l.snapshot.initial_boot();
  bool told =
      first && !impl_->first && impl_->stage == pb::REPLICA_EMPTY && impl_->slots.empty() && !impl_->epoch;
  if (told) impl_->first = first;
  if (l.unwritten) {
    impl_->bad = impl_->writing = true;
    impl_->ports.tasks.spawn([p = impl_] {
      p->recover();
      p->write_batches();
    });
  }
  if (impl_->stage != pb::REPLICA_VOTING) impl_->ports.tasks.spawn([p = impl_, told] { p->fill(told); });
}

std::optional<pb::InitialBoot> Acceptor::initial_boot() const { return impl_->first; }

bool Acceptor::non_voting() const { return impl_->bad || impl_->stage != pb::REPLICA_VOTING; }
bool Acceptor::adopt(const pb::ReplicaSet& set) { return impl_->adopt(set); }

std::vector<std::string> Acceptor::refilled_registers() const {
  std::vector<std::string> names;
  for (auto& [name, state] : impl_->synced)
    if (state.refilled()) names.push_back(name);
  return names;
}

pb::PeerResponse Acceptor::answer(const pb::PeerRequest& request) {
  auto& impl = *impl_;
  pb::PeerResponse out;
  if (request.has_snapshot()) {
    if (impl.bad) {
      out.set_error("the disk failed");
      return out;
    }
    auto* im = out.mutable_snapshot();
    im->set_stage(impl.stage);
    *im->mutable_replica_set() = impl.set.message();
    for (auto& [k, s] : impl.synced) *im->add_registers() = s;
    return out;
  }
  if (request.has_adopt()) {
    bool ok = !impl.bad && !impl.stalled() && adopt(request.adopt().replica_set());
    out.mutable_vote()->set_granted(ok);
    return out;
  }
  if (request.epoch() < impl.epoch) {
    *out.mutable_vote()->mutable_newer_set() = impl.set.message();
    out.mutable_vote()->set_non_voting(true);
    return out;
  }
  if (non_voting() || (impl.stalled() && !request.has_read_register())) {
    out.mutable_vote()->set_non_voting(true);
    return out;
  }
  if (request.has_prepare())
    return impl.vote(prepare(impl.slots[request.prepare().name()], request.prepare()));
  if (request.has_accept()) return impl.vote(accept(impl.slots[request.accept().name()], request.accept()));
  auto* v = out.mutable_vote();
  v->set_granted(true);
  if (auto f = impl.synced.find(request.read_register().name()); f != impl.synced.end())
    *v->mutable_register_state() = f->second;
  return out;
}

void Acceptor::append_changes(uint64_t boot, uint64_t seen, uint64_t most_bytes,
                              pb::PullResponse& out) const {
  auto& impl = *impl_;
  out.set_boot_id(impl.boot);
  out.set_position(non_voting() ? 0 : impl.count);  // of what is not told yet nothing was seen
  out.set_non_voting(non_voting());
  if (impl.epoch) *out.mutable_replica_set() = impl.set.message();
  out.set_adopted_epoch(impl.synced_epoch);
  if (non_voting()) return;
  if (boot != impl.boot) seen = 0;
  std::map<uint64_t, const std::string*> later;  // by the number of the change
  for (auto& [name, number] : impl.feed)
    if (number > seen) later[number] = &name;
  size_t bytes = 0;
  for (auto& [number, name] : later) {
    auto& state = impl.synced.at(*name);
    bytes += state.ByteSizeLong();
    if (most_bytes && bytes > most_bytes && out.registers_size() > 0) return out.set_more(true);
    *out.add_registers() = state;
    out.set_position(number);
  }
  out.set_position(impl.count);
}

}  // namespace dunlinwing::consensus
