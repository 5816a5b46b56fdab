// Leaders of the rollout that are frozen or cut off for longer than their lease, at each point
// between reading a register and having it written, while their successors write too.
#include "rollout/conductor.hpp"
#include "rollout/moves.hpp"
#include "rollout/shares.hpp"
#include "story.hpp"

namespace dunlinwing::test {
namespace {

constexpr size_t kMajority = 3;          // of the five replicas
constexpr uint64_t kPoints = 10;         // promises and accepts of one write, on five disks
constexpr Duration kPastTheLease{9000};  // the lease is four seconds, and a successor waits six at most

// The term that a value carries, when the register is one that only a leader decides.
std::optional<uint64_t> term_in(const std::string& name, const std::string& data) {
  if (name == rollout::kRolloutKey) {
    pb::Rollout r;
    r.ParseFromString(data);
    return r.term();
  }
  if (name.starts_with(rollout::service_key(""))) {
    pb::ServiceState s;
    s.ParseFromString(data);
    return s.term();
  }
  if (name.starts_with(rollout::share_key(""))) {
    pb::Shares s;
    s.ParseFromString(data);
    return s.term();
  }
  return {};
}

// What the disks say was chosen, version by version.
class History {
 public:
  void synced(const std::string& host, const pb::RegisterState& slot) {
    auto term = term_in(slot.name(), slot.value().data());
    if (!term || !slot.has_accepted()) return;
    auto& on = votes_[{slot.name(), slot.accepted().round(), slot.accepted().node()}];
    on.insert(host);
    if (on.size() != kMajority) return;
    auto& terms = terms_[slot.name()];
    auto at = terms.emplace(slot.value().version(), *term).first;
    highest = std::max(highest, *term);
    if (at != terms.begin() && std::prev(at)->second > *term) fault(slot.name(), *std::prev(at), *at);
    if (auto next = std::next(at); next != terms.end() && next->second < *term)
      fault(slot.name(), *at, *next);
  }
  std::string broken;
  uint64_t highest = 0;

 private:
  using VersionAndTerm = std::pair<const uint64_t, uint64_t>;
  void fault(const std::string& name, const VersionAndTerm& earlier, const VersionAndTerm& later) {
    broken = fmt::format("{} has term {} in version {} and term {} in version {}", name, earlier.second,
                         earlier.first, later.second, later.first);
  }
  std::map<std::tuple<std::string, uint64_t, std::string>, std::set<std::string>> votes_;
  std::map<std::string, std::map<uint64_t, uint64_t>> terms_;
};

// Springs on the leader when so many of its votes have reached a disk.
struct Trap {
  std::string leader;
  uint64_t votes_left = 0;
  bool freezes = false;
  uint64_t sprung = 0;

  void synced(Scene& s, const pb::RegisterState& slot) {
    if (leader.empty() || !term_in(slot.name(), "")) return;
    if (slot.promised().node() != leader || votes_left-- > 0) return;
    if (freezes)
      s.w.freeze(leader, s.w.now() + kPastTheLease);
    else
      s.f.cut_off(leader);
    leader.clear();
    ++sprung;
  }
};

void old_leader(Scene& s) {
  s.length = Duration(140000);
  s.must_meet = {"freeze", "cut"};
  s.story = [&s] {
    auto history = std::make_shared<History>();
    auto trap = std::make_shared<Trap>();
    s.w.synced = [&s, history, trap, before = s.w.synced](const std::string& host, const pb::Record& r) {
      before(host, r);
      if (!r.has_slot()) return;
      history->synced(host, r.slot());
      trap->synced(s, r.slot());
    };
    if (!begin(s, 60, sim_layout("\"1\",\"2\"", 4, 40))) return;
    for (int i = 0; i < 3; ++i) s.f.add_worker("app", "2", 0), s.f.add_worker("content", "2", 3);
    allow(s, "2");
    s.f.sleep(Duration(3000));
    for (uint64_t round = 0; round < 8; ++round) {
      put(s, fmt::format("r{}", round), sim_layout("\"1\",\"2\"", 3 + static_cast<int>(round), 40));
      for (auto* service : {"app", "content"})
        s.f.tell("PUT", std::string("/v1/services/") + service,
                 fmt::format(R"({{"version":"{}"}})", round % 2 ? "1" : "2"));
      auto* h = duty_holder(s);
      if (!h) {
        s.f.sleep(Duration(3000));
        continue;
      }
      trap->votes_left = s.w.below(kPoints);
      trap->freezes = s.w.random(500);
      trap->leader = h->name;
      s.f.until(Duration(3000), [&] { return trap->leader.empty(); });
      trap->leader.clear();
      s.f.sleep(kPastTheLease);
      s.w.mend();
      s.f.sleep(Duration(2500));
    }
    s.want(history->broken.empty(), history->broken);
    s.want(trap->sprung >= 4, fmt::format("only {} leaders were stopped in a write", trap->sprung));
    s.want(history->highest >= trap->sprung, "the leadership did not change hands");
    s.figures["leaders_stopped"] = trap->sprung;
    s.figures["highest_term"] = history->highest;
  };
}

}  // namespace

NamedCases fence_stories() { return {{"old_leader", old_leader}}; }

}  // namespace dunlinwing::test
