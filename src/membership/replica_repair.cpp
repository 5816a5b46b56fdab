#include "membership/replica_repair.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("repair");
constexpr size_t kMostReplicas = 9, kFewestReplicas = 3;
constexpr int kLooksPerBound = 8;      // how often each replica looks at the set
constexpr int kTurnsPerBound = 4;      // the next replica by name acts a bound's fourth later
constexpr int kJoinWaitsPerBound = 1;  // newcomers are waited for no longer before a change is finished

using ReplicaList = std::vector<consensus::Replica>;

const RepairNode* find_node(const ClusterView& view, const std::string& name) {
  auto found =
      std::find_if(view.nodes.begin(), view.nodes.end(), [&](auto& node) { return node.name == name; });
  return found == view.nodes.end() ? nullptr : &*found;
}

// One plan in the making: the list so far, and what it is for.
class Planner {
 public:
  explicit Planner(const ClusterView& view) : view_(view), list_(view.replicas) {
    for (auto& replica : list_)
      if (auto* node = find_node(view_, replica.name); node && !node->zone.empty()) ++zones_[node->zone];
  }

  std::optional<RepairStep> plan() {
    if (count_voting(view_.replicas) < consensus::majority_of(view_.replicas.size())) return {};
    replace_lost();
    grow();
    drop_gone();
    if (list_ == view_.replicas) return {};
    return RepairStep{list_, why_};
  }

 private:
  size_t wanted() const { return 2 * static_cast<size_t>(view_.tolerate) + 1; }

  bool votes(const consensus::Replica& replica) const {
    auto* node = find_node(view_, replica.name);
    return node && node->votes && contains(view_.replicas, replica);
  }

  size_t count_voting(const ReplicaList& list) const {
    return static_cast<size_t>(std::count_if(list.begin(), list.end(), [&](auto& r) { return votes(r); }));
  }

  // A change may not depend on newcomers: a majority of the new list has to vote already.
  // Sets that are smaller than any tolerance needs grow all the same.
  bool safe(const ReplicaList& list) const {
    return view_.replicas.size() < kFewestReplicas ||
           count_voting(list) >= consensus::majority_of(list.size());
  }

  // Why a member should give its place to a node that is at hand; nothing: it should not.
  std::optional<std::string> lost(const consensus::Replica& replica) const {
    auto* node = find_node(view_, replica.name);
    if (!node) return {};
    if (node->leaving) return replica.name + " leaves";
    if (!node->address.empty() && node->address != replica.address) return replica.name + " has moved";
    if (!node->votes && node->since_response >= lost_after(view_.bound)) return replica.name + " is silent";
    if (!node->votes && node->non_voting >= non_voting_limit(view_.bound))
      return replica.name + " cannot vote";
    return {};
  }

  // A present node with a disk, from the zone with fewest replicas.
  const RepairNode* candidate() const {
    const RepairNode* best = nullptr;
    for (auto& node : view_.nodes) {
      if (!node.disk || !node.present || node.address.empty()) continue;
      bool taken = std::any_of(list_.begin(), list_.end(), [&](auto& replica) {
        return replica.address == node.address || (replica.name == node.name && !lost(replica));
      });
      if (taken) continue;
      if (!best || zone_count(node.zone) < zone_count(best->zone)) best = &node;
    }
    return best;
  }

  size_t zone_count(const std::string& zone) const {
    auto found = zones_.find(zone);
    return found == zones_.end() ? 0 : found->second;
  }

  void take(ReplicaList list, const RepairNode& node, const std::string& why) {
    list_ = std::move(list);
    ++zones_[node.zone];
    why_ += (why_.empty() ? "" : ", ") + why;
  }

  void replace_lost() {
    for (auto& replica : view_.replicas) {
      auto why = lost(replica);
      if (!why) continue;
      auto* node = find_node(view_, replica.name);
      if (auto zone = zones_.find(node->zone); zone != zones_.end()) --zone->second;
      auto* successor = candidate();
      auto list = list_;
      if (successor) {
        auto place = std::find(list.begin(), list.end(), replica);
        *place = {successor->name, successor->address};
      }
      if (successor && safe(list))
        take(list, *successor, fmt::format("{}: {} takes its place", *why, successor->name));
      else if (!node->zone.empty())
        ++zones_[node->zone];
    }
  }

  void grow() {
    while (list_.size() < std::min(wanted(), kMostReplicas)) {
      auto* node = candidate();
      if (!node) return;
      auto list = list_;
      list.push_back({node->name, node->address});
      if (!safe(list)) return;
      take(list, *node, fmt::format("{} joins: {} of {} wanted", node->name, list.size(), wanted()));
    }
  }

  void drop_gone() {
    for (auto& replica : view_.replicas) {
      auto* node = find_node(view_, replica.name);
      bool gone = node && !node->votes && node->absent >= gone_after(view_.bound);
      if (!gone || !contains(list_, replica) || list_.size() <= std::max(wanted(), kFewestReplicas)) continue;
      auto list = list_;
      std::erase(list, replica);
      if (!safe(list)) continue;
      list_ = list;
      why_ += (why_.empty() ? "" : ", ") + replica.name + " is gone";
    }
  }

  const ClusterView& view_;
  ReplicaList list_;
  std::map<std::string, size_t> zones_;  // replicas in each
  std::string why_;
};

}  // namespace

std::optional<RepairStep> plan_repair(const ClusterView& view) {
  if (view.tolerate < 1 || view.replicas.empty()) return {};
  return Planner(view).plan();
}

struct ReplicaRepair::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  consensus::Acceptor& acceptor;
  std::string node_name;
  int tolerate;
  Duration bound;
  std::map<std::string, TimePoint> session_seen;  // when each node's session last stood, as seen here
  std::map<std::string, uint64_t> behind;         // registers that this replica lacked at the last look
  // Since when the same need stands; the first replica by name acts on it at once.
  std::string need;
  TimePoint need_since{0};

  ClusterView view() {
    auto now = ports.clock.now();
    std::map<std::string, RepairNode> nodes;
    for (auto& replica : registers.set().current())
      nodes[replica.name] = {replica.name, "", replica.address, true};
    for (auto& member : state_cache.statuses().all(now))
      if (!member.info.zone().empty() && member.info.disk()) nodes[member.name] = node_of(member);
    for (auto& member : state_cache.statuses().members(now)) {
      session_seen[member.name] = now;
      if (auto node = nodes.find(member.name); node != nodes.end())
        node->second.present = !member.info.drained();
    }
    ClusterView out{registers.set().current(), {}, tolerate, bound};
    for (auto& [name, node] : nodes) {
      auto contact = state_cache.contact(name);
      node.votes = state_cache.is_voting(name);
      node.since_response = contact.since_response;
      node.non_voting = contact.since_vote;
      node.absent = now - session_seen.emplace(name, now).first->second;
      out.nodes.push_back(node);
    }
    return out;
  }

  static RepairNode node_of(const Member& member) {
    RepairNode node{member.name, member.info.zone(), member.info.peer_address(), member.info.disk()};
    node.leaving = member.info.leaving();
    return node;
  }

  // This node's place among the replicas that can act, by name; nothing: it cannot.
  std::optional<int> turn(const ClusterView& now) const {
    int before = 0;
    bool among = false;
    for (auto& replica : registers.set().all()) {
      auto* node = find_node(now, replica.name);
      if (replica.name == node_name) among = true;
      if (node && node->votes && node->present && replica.name < node_name) ++before;
    }
    if (!among || !state_cache.is_voting(node_name)) return {};
    return before;
  }

  // Whether a need that is the same as at the last look has stood for this node's turn.
  bool my_turn(const std::string& what, const ClusterView& now) {
    auto time = ports.clock.now();
    if (std::exchange(need, what) != what) need_since = time;
    auto place = turn(now);
    return place && time - need_since >= bound * *place / kTurnsPerBound;
  }

  consensus::RegisterNames names() {
    return [this] { return state_cache.register_names(bound); };
  }

  void finish(const ClusterView& now) {
    auto epoch = registers.set().epoch();
    bool joined = true;
    for (auto& replica : registers.set().current()) {
      auto* node = find_node(now, replica.name);
      joined &= node && (node->votes || !node->present);
    }
    auto what = fmt::format("finish {}", epoch);
    bool turn = my_turn(what, now);
    if (!joined && ports.clock.now() - need_since < bound / kJoinWaitsPerBound) return;
    if (!turn) return;
    auto from = ports.clock.now();
    auto result = registers.finish_change(names());
    if (auto* set = std::get_if<pb::ReplicaSet>(&result))
      logger.info("{}: the replicas of epoch {} are in force, {} of them, in {} ms.", node_name, set->epoch(),
                  set->replicas_size(), (ports.clock.now() - from).count());
    else
      logger.warn("{}: the change of epoch {} is not finished yet; the next look tries again.", node_name,
                  epoch);
  }

  void begin(const ClusterView& now) {
    auto step = plan_repair(now);
    if (!step) return need.clear();
    if (!my_turn(fmt::format("{} {}", registers.set().epoch(), step->why), now)) return;
    auto result = registers.begin_change(step->replicas);
    if (auto* set = std::get_if<pb::ReplicaSet>(&result)) {
      logger.info("{}: a change of the replicas begins, epoch {}: {}.", node_name, set->epoch(), step->why);
      state_cache.pull_soon();
    } else {
      logger.warn("{}: no change of the replicas ({}); the next look tries again.", node_name, step->why);
    }
  }

  // What came by a refill is no vote for anybody until it is accepted here; and what was
  // written while this replica was away is not on its disk until it is written again.
  void catch_up() {
    if (acceptor.non_voting()) return;
    if (auto copied = acceptor.refilled_registers(); !copied.empty()) registers.rewrite(copied);
    auto missing = state_cache.registers_behind(node_name);
    std::vector<std::string> still_missing;  // not just on their way
    for (auto& [name, round] : missing)
      if (auto before = behind.find(name); before != behind.end() && before->second == round)
        still_missing.push_back(name);
    behind = std::move(missing);
    if (!still_missing.empty()) registers.rewrite(still_missing);
  }

  void look() {
    if (!state_cache.has_read_lease()) {  // what was not seen is not absence
      session_seen.clear();
      need.clear();
      return;
    }
    catch_up();
    auto now = view();
    if (registers.set().joint())
      finish(now);
    else
      begin(now);
  }

  bool successor_at_hand() {
    for (auto& node : view().nodes)
      if (node.disk && node.present && !registers.set().has(node.name)) return true;
    return false;
  }
};

ReplicaRepair::ReplicaRepair(base::Ports& ports, consensus::RegisterClient& registers,
                             StateCache& state_cache, consensus::Acceptor& acceptor, std::string node_name,
                             int tolerate, Duration bound)
    : impl_(std::make_shared<Impl>(Impl{ports,
                                        registers,
                                        state_cache,
                                        acceptor,
                                        std::move(node_name),
                                        tolerate,
                                        bound,
                                        {},
                                        {},
                                        "",
                                        TimePoint(0)})) {}
ReplicaRepair::~ReplicaRepair() = default;

void ReplicaRepair::start() {
  impl_->ports.tasks.spawn([impl = impl_] {
    for (;;) {
      impl->ports.clock.sleep(impl->bound / kLooksPerBound);
      impl->look();
    }
  });
}

bool ReplicaRepair::successor_at_hand() const { return impl_->tolerate > 0 && impl_->successor_at_hand(); }

}  // namespace dunlinwing::membership
