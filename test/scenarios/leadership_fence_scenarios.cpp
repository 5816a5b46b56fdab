// Rollout leaders are frozen or partitioned for longer than their lease, at each point between
// reading a register and completing its write, while their successors write too.
#include "limits/rate_quotas.hpp"
#include "rollout/rollout_controller.hpp"
#include "rollout/version_rollout.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

constexpr size_t kMajority = 3;             // of five replicas
constexpr uint64_t kVotesPerWrite = 10;     // promises and accepts of one write, on five disks
constexpr Duration kLongerThanLease{9000};  // the lease is four seconds, and a successor waits six at most

// The leader's term in a value, when only a leader may write the register.
std::optional<uint64_t> term_in(const std::string& name, const std::string& data) {
  if (name == rollout::kRolloutKey) {
    pb::RolloutState r;
    r.ParseFromString(data);
    return r.term();
  }
  if (name.starts_with(rollout::service_key(""))) {
    pb::ServiceState state;
    state.ParseFromString(data);
    return state.term();
  }
  if (name.starts_with(limits::quota_key(""))) {
    pb::RateQuotas quotas;
    quotas.ParseFromString(data);
    return quotas.term();
  }
  return {};
}

// The terms of the versions that were chosen according to the disks.
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
    if (at != terms.begin() && std::prev(at)->second > *term)
      report_violation(slot.name(), *std::prev(at), *at);
    if (auto next = std::next(at); next != terms.end() && next->second < *term)
      report_violation(slot.name(), *at, *next);
  }
  std::string violation;
  uint64_t highest = 0;

 private:
  using VersionAndTerm = std::pair<const uint64_t, uint64_t>;
  void report_violation(const std::string& name, const VersionAndTerm& earlier, const VersionAndTerm& later) {
    violation = fmt::format("{} has term {} in version {} and term {} in version {}", name, earlier.second,
                            earlier.first, later.second, later.first);
  }
  std::map<std::tuple<std::string, uint64_t, std::string>, std::set<std::string>> votes_;
  std::map<std::string, std::map<uint64_t, uint64_t>> terms_;
};

// Freezes or partitions the leader once the given number of its votes has reached a disk.
struct LeaderFault {
  std::string leader;
  uint64_t votes_left = 0;
  bool freezes = false;
  uint64_t times_triggered = 0;

  void synced(Scene& scene, const pb::RegisterState& slot) {
    if (leader.empty() || !term_in(slot.name(), "")) return;
    if (slot.promised().node() != leader || votes_left-- > 0) return;
    if (freezes)
      scene.world.freeze(leader, scene.world.now() + kLongerThanLease);
    else
      scene.fleet.isolate(leader);
    leader.clear();
    ++times_triggered;
  }
};

void old_leader(Scene& scene) {
  scene.duration = Duration(140000);
  scene.required_faults = {"freeze", "cut"};
  scene.script = [&scene] {
    auto history = std::make_shared<History>();
    auto leader_fault = std::make_shared<LeaderFault>();
    scene.world.on_record_synced = [&scene, history, leader_fault, before = scene.world.on_record_synced](
                                       const std::string& host, const pb::LogRecord& r) {
      before(host, r);
      if (!r.has_register_state()) return;
      history->synced(host, r.register_state());
      leader_fault->synced(scene, r.register_state());
    };
    if (!start_traffic(scene, 60, simulated_configuration("\"1\",\"2\"", 4, 40))) return;
    for (int i = 0; i < 3; ++i)
      scene.fleet.add_backend("app", "2", 0), scene.fleet.add_backend("content", "2", 3);
    allow_version(scene, "2");
    scene.fleet.sleep(Duration(3000));
    for (uint64_t round = 0; round < 8; ++round) {
      record_configuration(scene, fmt::format("r{}", round),
                           simulated_configuration("\"1\",\"2\"", 3 + static_cast<int>(round), 40));
      for (auto* service : {"app", "content"})
        scene.fleet.operator_call("PUT", std::string("/v1/services/") + service,
                                  fmt::format(R"({{"version":"{}"}})", round % 2 ? "1" : "2"));
      auto* h = leader_host(scene);
      if (!h) {
        scene.fleet.sleep(Duration(3000));
        continue;
      }
      leader_fault->votes_left = scene.world.below(kVotesPerWrite);
      leader_fault->freezes = scene.world.random(500);
      leader_fault->leader = h->name;
      scene.fleet.wait_until(Duration(3000), [&] { return leader_fault->leader.empty(); });
      leader_fault->leader.clear();
      scene.fleet.sleep(kLongerThanLease);
      scene.world.heal_all();
      scene.fleet.sleep(Duration(2500));
    }
    scene.require(history->violation.empty(), history->violation);
    scene.require(leader_fault->times_triggered >= 4,
                  fmt::format("only {} leaders were stopped during a write", leader_fault->times_triggered));
    scene.require(history->highest >= leader_fault->times_triggered,
                  "the leadership did not change often enough");
    scene.figures["leaders_stopped"] = leader_fault->times_triggered;
    scene.figures["highest_term"] = history->highest;
  };
}

}  // namespace

NamedCases leadership_fence_scenarios() { return {{"old_leader", old_leader}}; }

}  // namespace dunlinwing::test
